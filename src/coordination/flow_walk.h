#ifndef HAWTHORNBANK_SRC_COORDINATION_FLOW_WALK_H_
#define HAWTHORNBANK_SRC_COORDINATION_FLOW_WALK_H_

#include <vector>

#include "hawthornbank/agent.h"

/// @file
/// Walks over agents that find the owner of an unknown flow, or choose a target
/// for a new flow.
namespace hawthornbank::detail {

/// Maximum number of agents that one packet visits before it is dropped.
inline constexpr std::uint8_t kMaxHops = 2 * kMaxWalk + 4;

/// Forwards a packet to another agent, or drops it after too many hops.
/// @param agent The agent.
/// @param key The packet's flow.
/// @param to The next agent.
/// @param header Header of the packet; the copy that is sent counts one more
/// hop.
/// @param out Actions are appended to it.
auto ForwardToNextAgent(Agent& agent,
                        const FlowKey& key,
                        Endpoint to,
                        const TunnelHeader& header,
                        std::vector<AgentAction>& out) -> void;

/// Appends a hint to a balancer that this agent owns a flow, unless the token
/// bucket of hints is empty.
/// @param agent The agent.
/// @param key The flow.
/// @param header Header of the packet that reached the owner via other agents.
/// @param now Current time.
/// @param out Actions are appended to it.
auto SendOwnerHint(Agent& agent,
                   const FlowKey& key,
                   const TunnelHeader& header,
                   TimePoint now,
                   std::vector<AgentAction>& out) -> void;

/// Time for which an unconfirmed pointer counts as a walk in progress.
inline constexpr Duration kWalkTimeout = std::chrono::seconds{1};

/// Stores a flow's pointer. Evicts another pointer if the table is full.
/// @param agent The agent.
/// @param key The flow.
/// @param pointer The agent that owns the flow or decides on it.
auto StoreFlowPointer(Agent& agent,
                      const FlowKey& key,
                      const FlowPointer& pointer) -> void;

/// Handles a packet of a flow that the agent neither owns nor has a usable
/// pointer for.
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
