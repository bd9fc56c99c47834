#ifndef HAWTHORNBANK_RELAY_H_
#define HAWTHORNBANK_RELAY_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/flow_key.h"
#include "hawthornbank/types.h"
#include "hawthornbank/wire.h"

/// @file
/// What travels between balancers and agents.
///
/// A relayed packet goes from a balancer to an agent. An agent whose target
/// doesn't take it sends it back, and the balancer asks the next one. A
/// balancer that doesn't know who has a flow asks with a query; a note tells a
/// balancer whether an agent has it.
namespace hawthornbank {

/// Most agents that one packet is offered to.
inline constexpr std::size_t kMaxOffers = 60;

/// Head of a relayed packet; the caller's packet follows it.
struct RelayHeader {
  Endpoint origin;            ///< The balancer that took the packet.
  std::uint32_t service = 0;  ///< Service that the flow belongs to.
  bool wants_note = false;    ///< The balancer doesn't know who has the flow.
  bool sent_back = false;     ///< From an agent to the origin.
  bool last_offer = false;    ///< No other target is left for an opening.
  std::vector<std::uint32_t> asked;  ///< Addresses of agents that refused it.

  auto operator==(const RelayHeader&) const -> bool = default;
};

/// Whether an agent has a flow.
enum class FlowHolding : std::uint8_t {
  kHeld,     ///< Its target took the flow.
  kNotHeld,  ///< It doesn't, for certain.
  kUnsure,   ///< Only its target knows, as the agent started later.
};

/// Tells a balancer whether an agent has a flow.
struct FlowNote {
  FlowKey flow;
  Endpoint agent;
  TargetLoad load;
  FlowHolding holding = FlowHolding::kHeld;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(flow.caller, flow.address, agent, load, holding);
    wire::CheckRange(holding, FlowHolding::kUnsure);
  }
};

/// Asks an agent whether it has a flow. It takes a twentieth of a full packet.
struct FlowQuery {
  FlowKey flow;
  Endpoint origin;  ///< The balancer that asks.
  /// Acknowledgement number of the caller's packet. It tells which of two
  /// targets that accepted an opening the caller has chosen.
  std::uint32_t acknowledgement = 0;
  bool acknowledges = false;  ///< The packet has such a number.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(flow.caller, flow.address, origin, acknowledgement);
    wire::Flag(archive, acknowledges);
  }
};

/// Writes a header.
/// @param header What to write.
/// @param out Receives the bytes at its end.
auto EncodeRelayHeader(const RelayHeader& header,
                       std::vector<std::uint8_t>& out) -> void;

/// Reads a header.
/// @param bytes A datagram between processes.
/// @param size Receives the header's length in bytes.
/// @return The header, or nothing when the datagram isn't a relayed packet.
auto DecodeRelayHeader(std::span<const std::uint8_t> bytes, std::size_t& size)
    -> std::optional<RelayHeader>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_RELAY_H_
