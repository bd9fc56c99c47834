#ifndef HAWTHORNBANK_SRC_COORDINATION_FLOW_WALK_H_
#define HAWTHORNBANK_SRC_COORDINATION_FLOW_WALK_H_

#include <vector>

#include "hawthornbank/agent.h"

/// @file
/// Walks over agents, which find the owner of an unknown flow or choose a
/// target for a new flow.
namespace hawthornbank::detail {

/// Maximum number of times that agents forward one packet.
/// A packet that needs more hops is dropped.
inline constexpr std::uint8_t kMaxHops = 2 * kMaxWalk + 4;

/// Forwards a packet to another agent, or drops it after too many hops.
/// @param agent The agent.
/// @param key The packet's flow.
/// @param to The next agent.
/// @param header Tunnel header of the packet; the forwarded packet's header
/// counts one more hop.
/// @param out Actions are appended to it.
auto ForwardToNextAgent(Agent& agent,
                        const FlowKey& key,
                        Endpoint to,
                        const TunnelHeader& header,
                        std::vector<AgentAction>& out) -> void;

/// Appends a hint to the balancer of a packet that this agent owns the packet's
/// flow. Does nothing if no other agent forwarded the packet, if the header
/// names no balancer, or if the token bucket of hints is empty.
/// @param agent The agent.
/// @param key The flow.
/// @param header Tunnel header of the packet.
/// @param now Current time.
/// @param out Actions are appended to it.
auto AppendOwnerHint(Agent& agent,
                     const FlowKey& key,
                     const TunnelHeader& header,
                     TimePoint now,
                     std::vector<AgentAction>& out) -> void;

/// Time after a walk stored an unconfirmed pointer
/// in which the walk is assumed to be in progress.
inline constexpr Duration kWalkTimeout = std::chrono::seconds{1};

/// Stores a flow's pointer. Evicts another pointer if the table is full. Does
/// nothing if this agent owns the flow or the pointer names this agent.
/// @param agent The agent.
/// @param key The flow.
/// @param pointer Names the flow's owner or the next agent of a walk.
auto StoreFlowPointer(Agent& agent,
                      const FlowKey& key,
                      const FlowPointer& pointer) -> void;

/// Handles a packet of a flow that the agent doesn't own
/// and for which the agent has no usable pointer.
/// @param agent The agent.
/// @param key The packet's flow.
/// @param header The packet's tunnel header.
/// @param packet The packet.
/// @param now Current time.
/// @param out Actions are appended to it.
auto HandleUnknownFlowPacket(Agent& agent,
                             const FlowKey& key,
                             const TunnelHeader& header,
                             const PacketView& packet,
                             TimePoint now,
                             std::vector<AgentAction>& out) -> void;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_SRC_COORDINATION_FLOW_WALK_H_
