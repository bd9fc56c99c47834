#ifndef HAWTHORNBANK_RELAY_H_
#define HAWTHORNBANK_RELAY_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/flow_key.h"
#include "hawthornbank/flow_terms.h"
#include "hawthornbank/types.h"
#include "hawthornbank/wire.h"

/// @file
/// Messages between balancers and agents.
///
/// A balancer relays a caller's packet to an agent. An agent whose target
/// doesn't take the packet returns the packet, and the balancer relays it to
/// another agent. A balancer that doesn't know which agent's target holds a
/// flow sends queries to agents, and each agent replies whether the agent's
/// target holds the flow.
namespace hawthornbank {

/// Maximum number of addresses in RelayHeader::returned_by when encoded.
inline constexpr std::size_t kMaxReturnedByAddresses = 60;

/// Header of a relayed packet; the caller's packet follows it.
struct RelayHeader {
  Endpoint origin;            ///< Balancer that received the caller's packet.
  std::uint32_t service = 0;  ///< Service that the flow belongs to.
  /// The balancer asks for a FlowReply if the agent's target holds the flow.
  bool wants_flow_reply = false;
  bool is_returned = false;  ///< An agent returns the packet to `origin`.
  /// The packet is an opening that will be offered to no further target.
  bool is_last_candidate = false;
  /// The agent's availability zone is out of service: no other agent of the
  /// zone takes the returned opening either.
  bool is_zone_out_of_service = false;
  /// The opening is returned because of the limit of the target's warm-up.
  bool is_at_warmup_limit = false;
  /// The packet is an opening that an earlier target may have accepted, so it
  /// isn't to be rejected.
  bool may_be_accepted = false;
  /// Addresses of agents that returned the packet, or that didn't confirm it in
  /// time if the packet is an opening.
  std::vector<std::uint32_t> returned_by;
  /// Sent with openings and with packets that ask for a FlowReply.
  std::optional<FlowTerms> terms;

  auto operator==(const RelayHeader&) const -> bool = default;
};

/// Whether an agent's target holds a flow.
enum class FlowOwnership : std::uint8_t {
  kHeld,     ///< The target has accepted the flow.
  kNotHeld,  ///< The target certainly doesn't hold the flow.
  /// The agent can't tell whether the target holds the flow, for example
  /// because the flow is older than the agent.
  kUnsure,
  /// The agent has rejected the opening and reset the caller, so the flow has
  /// ended before it opened.
  kRejected,
};

/// Message from an agent that tells a balancer
/// whether the agent's target holds a flow.
struct FlowReply {
  FlowKey flow;
  Endpoint agent;
  TargetLoad load;
  FlowOwnership ownership = FlowOwnership::kHeld;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(flow.caller, flow.address, agent, load, ownership);
    wire::CheckEnumRange(ownership, FlowOwnership::kRejected);
  }
};

/// A balancer's query whether an agent's target holds a flow. A query is at
/// most a twentieth as large as a full packet.
struct FlowQuery {
  FlowKey flow;
  Endpoint origin;  ///< Balancer that sends the query.
  /// Acknowledgement number of the caller's packet. When two targets accepted
  /// the same opening packet, the number identifies the target
  /// whose answer the caller kept.
  std::uint32_t acknowledgement = 0;
  bool has_acknowledgement = false;  ///< `acknowledgement` is valid.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(flow.caller, flow.address, origin, acknowledgement);
    wire::SerializeBool(archive, has_acknowledgement);
  }
};

/// Encodes a relay header.
/// @param header The header.
/// @param out The encoded bytes are appended to it.
auto AppendRelayHeader(const RelayHeader& header,
                       std::vector<std::uint8_t>& out) -> void;

/// Decodes a relay header.
/// @param bytes A datagram from a balancer or an agent.
/// @param size Set to the length of the encoded header in bytes
/// if the function returns a header.
/// @return The header, or nothing
/// when the datagram doesn't begin with a valid relay header.
auto DecodeRelayHeader(std::span<const std::uint8_t> bytes, std::size_t& size)
    -> std::optional<RelayHeader>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_RELAY_H_
