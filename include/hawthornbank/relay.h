#ifndef HAWTHORNBANK_RELAY_H_
#define HAWTHORNBANK_RELAY_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/flow_key.h"
#include "hawthornbank/types.h"

/// @file
/// What travels between balancers and agents.
///
/// A relayed packet goes from a balancer to an agent. An agent whose target
/// doesn't take it sends it back, and the balancer asks the next one. A note
/// tells a balancer which agent has a flow.
namespace hawthornbank {

/// Most agents that one packet is offered to.
inline constexpr std::size_t kMaxOffers = 60;

/// Head of a relayed packet; the caller's packet follows it.
struct RelayHeader {
  Endpoint origin;            ///< The balancer that took the packet.
  std::uint32_t service = 0;  ///< Service that the flow belongs to.
  bool wants_note = false;    ///< The balancer doesn't know who has the flow.
  bool sent_back = false;     ///< From an agent to the origin.
  bool lost = false;          ///< The flow's target is gone for certain.
  std::vector<std::uint32_t> asked;  ///< Addresses of agents that refused it.

  auto operator==(const RelayHeader&) const -> bool = default;
};

/// Tells a balancer that an agent has a flow.
struct FlowNote {
  FlowKey flow;
  Endpoint agent;
  TargetLoad load;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(flow.caller, flow.address, agent, load);
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
