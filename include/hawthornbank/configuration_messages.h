#ifndef HAWTHORNBANK_CONFIGURATION_MESSAGES_H_
#define HAWTHORNBANK_CONFIGURATION_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "hawthornbank/types.h"
#include "hawthornbank/wire.h"

/// @file
/// Messages with which balancers and agents spread the configuration.
namespace hawthornbank {

/// Whether and how the receiver of an offer counts the sender among the hosts
/// below it in the report tree.
enum class ReportKind : std::uint8_t {
  kNone,       ///< The offer is no report; the sender is counted elsewhere.
  kPrimary,    ///< The sender is an agent that the receiver counts.
  kWithdrawn,  ///< The sender is an agent that another balancer counts now;
               ///< the receiver erases the agent's report.
  kBackup,     ///< The sender is an agent that another balancer counts; the
               ///< receiver also offers new generations to the agent.
};

/// States which generation the sender has in force. Generation 0 means none
/// and asks the receiver for an offer.
struct ConfigurationOffer {
  /// Value of `confirmed_age_ms` when the platform never confirmed the
  /// generation.
  static constexpr std::uint32_t kNeverConfirmed = 0xFFFFFFFF;

  Generation generation{};
  /// Time since the platform last confirmed the generation.
  std::uint32_t confirmed_age_ms = kNeverConfirmed;
  ReportKind report = ReportKind::kNone;
  std::string operation;  ///< Identifier of the update that made the
                          ///< generation.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(generation, confirmed_age_ms, report);
    wire::SerializeString(archive, operation);
  }
};

/// Requests parts of a configuration.
struct ConfigurationFetch {
  Generation generation{};
  Generation base{};                 ///< Generation in force at the sender;
                                     ///< 0 means none.
  std::vector<std::uint16_t> parts;  ///< Indices of the requested parts; an
                                     ///< empty list requests the first parts.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(generation, base);
    wire::SerializeList(archive, parts);
  }
};

/// Maximum size of one part in bytes.
inline constexpr std::uint64_t kMaxChunkBytes = 4096;

/// One part of a configuration or of its difference from a base generation.
struct ConfigurationChunk {
  Generation generation{};
  Generation base{};        ///< 0 when the parts form the whole value.
  std::uint64_t hash = 0;   ///< Hash of the resulting value.
  std::uint16_t count = 0;  ///< Number of parts.
  std::uint16_t index = 0;  ///< Index of this part.
  std::string bytes;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(generation, base, hash, count, index);
    wire::SerializeString(archive, bytes, kMaxChunkBytes);
  }
};

/// Report of a balancer to its parent in the report tree: how many hosts in
/// its subtree have a generation in force.
struct ConfigurationStatusReport {
  Generation generation{};
  std::uint32_t hosts = 0;      ///< Hosts in the subtree.
  std::uint32_t in_force = 0;   ///< Hosts that have the generation in force.
  std::vector<HostId> lagging;  ///< Some hosts without that generation, shown
                                ///< to the operator.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(generation, hosts, in_force);
    wire::SerializeList(archive, lagging);
  }
};

/// Any message that spreads the configuration.
using ConfigurationMessage = std::variant<ConfigurationOffer,
                                          ConfigurationFetch,
                                          ConfigurationChunk,
                                          ConfigurationStatusReport>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_CONFIGURATION_MESSAGES_H_
