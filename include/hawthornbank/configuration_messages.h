#ifndef HAWTHORNBANK_CONFIGURATION_MESSAGES_H_
#define HAWTHORNBANK_CONFIGURATION_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "hawthornbank/types.h"
#include "hawthornbank/wire.h"

/// @file
/// Messages by which processes pass the configuration on.
namespace hawthornbank {

/// What an offer means for the count of the receiver.
enum class ReportKind : std::uint8_t {
  kNone,     ///< The sender is counted elsewhere.
  kReports,  ///< The sender is an agent; the receiver counts it.
  kLeaves,   ///< The sender is an agent that another balancer counts now.
  kStandby,  ///< The sender is an agent that another balancer counts; the
             ///< receiver tells it of new generations too.
};

/// Says which generation the sender has in force. Generation 0 asks.
struct ConfigurationOffer {
  /// Age of a confirmation that never was.
  static constexpr std::uint32_t kNeverConfirmed = 0xFFFFFFFF;

  Generation generation{};
  std::uint32_t confirmed_age_ms = kNeverConfirmed;  ///< Since the platform
                                                     ///< last confirmed it.
  ReportKind report = ReportKind::kNone;
  std::string operation;  ///< Of the update that made the generation.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(generation, confirmed_age_ms, report);
    wire::Text(archive, operation);
  }
};

/// Asks for parts of a configuration.
struct ConfigurationFetch {
  Generation generation{};
  Generation base{};                 ///< What the sender has; 0 is nothing.
  std::vector<std::uint16_t> parts;  ///< Missing parts; empty is the first.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(generation, base);
    wire::List(archive, parts);
  }
};

/// Most bytes of one part.
inline constexpr std::uint64_t kMaxChunkBytes = 4096;

/// One part of a configuration, or of its difference from a base.
struct ConfigurationChunk {
  Generation generation{};
  Generation base{};        ///< 0 when the parts form the whole value.
  std::uint64_t hash = 0;   ///< Of the resulting value.
  std::uint16_t count = 0;  ///< Number of parts.
  std::uint16_t index = 0;  ///< Of this part.
  std::string bytes;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(generation, base, hash, count, index);
    wire::Text(archive, bytes, kMaxChunkBytes);
  }
};

/// Counts the hosts below a balancer that have a generation in force.
struct ConfigurationAck {
  Generation generation{};
  std::uint32_t hosts = 0;
  std::uint32_t in_force = 0;
  std::vector<HostId> lagging;  ///< A few that have not, for the operator.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(generation, hosts, in_force);
    wire::List(archive, lagging);
  }
};

/// Any of the messages above.
using ConfigurationMessage = std::variant<ConfigurationOffer,
                                          ConfigurationFetch,
                                          ConfigurationChunk,
                                          ConfigurationAck>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_CONFIGURATION_MESSAGES_H_
