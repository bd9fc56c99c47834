#ifndef HAWTHORNBANK_CONFIGURATION_MESSAGES_H_
#define HAWTHORNBANK_CONFIGURATION_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "hawthornbank/types.h"
#include "hawthornbank/wire.h"

/// @file
/// Messages by which balancers and agents pass on the configuration.
namespace hawthornbank {

/// Whether an offer is also the report of an agent, and how the receiver counts
/// that agent.
enum class ReportKind : std::uint8_t {
  kNone,       ///< The offer is not a report.
  kPrimary,    ///< The sender is an agent that the receiver counts.
  kWithdrawn,  ///< The sender is an agent that changes to another balancer;
               ///< the receiver erases the agent's report.
  kBackup,     ///< The sender is an agent that another balancer counts; the
               ///< receiver only offers new generations to the agent.
};

/// States which generation the sender has in force. Generation 0 means that the
/// sender has no configuration and asks the receiver for an offer.
struct ConfigurationOffer {
  /// Value of `confirmed_age_ms` when the sender knows of no confirmation of
  /// the generation by the platform.
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

/// Requests parts of the configuration of one generation.
struct ConfigurationFetch {
  Generation generation{};
  Generation base{};                 ///< Generation in force at the sender;
                                     ///< 0 means none.
  std::vector<std::uint16_t> parts;  ///< Indices of the requested parts; an
                                     ///< empty list requests the first parts
                                     ///< (up to 16).

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(generation, base);
    wire::SerializeList(archive, parts);
  }
};

/// Maximum size of one part in bytes.
inline constexpr std::uint64_t kMaxPartBytes = 4096;

/// One part of a configuration or of its difference from a base generation.
struct ConfigurationPart {
  Generation generation{};
  Generation base{};        ///< 0: the parts form the whole value.
  std::uint64_t hash = 0;   ///< Hash of the whole JSON value.
  std::uint16_t count = 0;  ///< Number of parts.
  std::uint16_t index = 0;  ///< Index of this part.
  std::string bytes;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(generation, base, hash, count, index);
    wire::SerializeString(archive, bytes, kMaxPartBytes);
  }
};

/// Report of a balancer to its parent in the report tree: how many hosts in the
/// balancer's subtree have `generation` in force.
struct ConfigurationStatusReport {
  Generation generation{};      ///< Newest generation known in the subtree.
  std::uint32_t hosts = 0;      ///< Hosts in the subtree.
  std::uint32_t in_force = 0;   ///< Hosts with `generation` in force.
  std::vector<HostId> lagging;  ///< Some hosts that don't have `generation` in
                                ///< force; shown to the operator.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(generation, hosts, in_force);
    wire::SerializeList(archive, lagging);
  }
};

/// Any message by which processes pass on the configuration.
using ConfigurationMessage = std::variant<ConfigurationOffer,
                                          ConfigurationFetch,
                                          ConfigurationPart,
                                          ConfigurationStatusReport>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_CONFIGURATION_MESSAGES_H_
