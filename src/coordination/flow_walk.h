#ifndef HAWTHORNBANK_SRC_COORDINATION_FLOW_WALK_H_
#define HAWTHORNBANK_SRC_COORDINATION_FLOW_WALK_H_

#include <vector>

#include "hawthornbank/agent.h"

/// @file
/// How agents find the owner of a flow that they don't know, or choose one.
namespace hawthornbank::detail {

/// Most agents that one packet may visit before it is dropped.
inline constexpr std::uint8_t kMaxHops = 2 * kMaxWalk + 4;

/// Sends a packet on to another agent.
/// @param agent The agent.
/// @param key The packet's flow.
/// @param to The next agent.
/// @param header The header it goes with, but for the hop count.
/// @param out Receives the action.
auto Pass(Agent& agent,
          const FlowKey& key,
          Endpoint to,
          const TunnelHeader& header,
          std::vector<AgentAction>& out) -> void;

/// Tells a balancer that this agent owns a flow, within the budget.
/// @param agent The agent.
/// @param key The flow.
/// @param header Header of the packet that needed a hop.
/// @param now The present instant.
/// @param out Receives the action.
auto SendHint(Agent& agent,
              const FlowKey& key,
              const TunnelHeader& header,
              TimePoint now,
              std::vector<AgentAction>& out) -> void;

/// Time for which a walk is taken to be under way.
inline constexpr Duration kWalkTimeout = std::chrono::seconds{1};

/// Remembers where a flow went; the table is bounded.
/// @param agent The agent.
/// @param key The flow.
/// @param pointer Who owns it or decides on it.
auto KeepPointer(Agent& agent, const FlowKey& key, const FlowPointer& pointer)
    -> void;

/// Handles a packet of a flow that is neither owned nor pointed to here.
/// @param agent The agent.
/// @param key The packet's flow.
/// @param header Its tunnel header.
/// @param packet The packet.
/// @param now The present instant.
/// @param out Receives the actions.
auto HandleUnknownFlow(Agent& agent,
                       const FlowKey& key,
                       const TunnelHeader& header,
                       const PacketView& packet,
                       TimePoint now,
                       std::vector<AgentAction>& out) -> void;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_SRC_COORDINATION_FLOW_WALK_H_
