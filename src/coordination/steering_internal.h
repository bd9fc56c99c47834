#ifndef HAWTHORNBANK_SRC_COORDINATION_STEERING_INTERNAL_H_
#define HAWTHORNBANK_SRC_COORDINATION_STEERING_INTERNAL_H_

#include <span>
#include <vector>

#include "hawthornbank/steering.h"

/// @file
/// Declarations shared by the source files of a balancer's steering.
namespace hawthornbank::detail {

/// Counts an action's reason and appends the action to `out`.
auto AddSteeringAction(Steering& steering,
                       SteeringAction action,
                       std::vector<SteeringAction>& out) -> void;

/// Appends a reset of the flow for its caller.
/// @param acknowledgement Acknowledgement number of the caller's packet, or 0
/// for an opening packet.
auto AddResetAction(Steering& steering,
                    const FlowKey& flow,
                    SteeringReason reason,
                    std::uint32_t acknowledgement,
                    std::vector<SteeringAction>& out) -> void;

/// Appends the drop of a packet and counts the reason.
auto AddDropAction(Steering& steering,
                   const FlowKey& flow,
                   SteeringReason reason,
                   std::vector<SteeringAction>& out) -> void;

/// Appends the relay of a packet to an agent.
/// @param kept Stored copy of the packet; empty to relay the packet that is
/// being handled.
auto AddRelayAction(Steering& steering,
                    const FlowKey& flow,
                    Endpoint agent,
                    RelayHeader header,
                    SteeringReason reason,
                    std::vector<std::uint8_t> kept,
                    std::vector<SteeringAction>& out) -> void;

/// Records the agent that a flow is steered to. Does nothing for a new flow
/// when max_remembered_flows is reached.
auto RecordFlowAgent(Steering& steering,
                     const FlowKey& flow,
                     Endpoint agent,
                     bool confirmed,
                     TimePoint now) -> void;

/// @return Whether a host's target has exited, so that its flows have ended.
auto HasTargetExited(const KnownHost& host, TimePoint now) -> bool;

/// Starts the search for the agent that holds a flow. The packet waits until
/// the search ends.
/// @param service Service that the flow probably belongs to.
/// @param agents_without_flow Addresses of agents that are known not to hold
/// the flow.
auto StartFlowSearch(Steering& steering,
                     const FlowKey& flow,
                     const FlowPacket& packet,
                     std::span<const std::uint8_t> bytes,
                     std::uint32_t service,
                     std::span<const std::uint32_t> agents_without_flow,
                     TimePoint now,
                     std::vector<SteeringAction>& out) -> void;

/// Holds a packet if a search for its flow is running. The packet is dropped
/// if too many packets are waiting.
/// @return Whether a search for the flow is running.
auto HoldPacketForSearch(Steering& steering,
                         const FlowKey& flow,
                         std::span<const std::uint8_t> bytes,
                         std::vector<SteeringAction>& out) -> bool;

/// Continues a flow search after an agent's reply.
auto OnFlowSearchReply(Steering& steering,
                       const FlowReply& reply,
                       TimePoint now,
                       std::vector<SteeringAction>& out) -> void;

/// Continues a flow search when a target that was offered a waiting packet
/// returned it.
/// @return Whether the search had offered a packet of this flow to `agent`.
auto OnOfferedPacketReturned(Steering& steering,
                             const FlowKey& flow,
                             Endpoint agent,
                             TimePoint now,
                             std::vector<SteeringAction>& out) -> bool;

/// Continues flow searches whose agents didn't answer within kHostReplyTimeout.
auto OnFlowSearchTick(Steering& steering,
                      TimePoint now,
                      std::vector<SteeringAction>& out) -> void;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_SRC_COORDINATION_STEERING_INTERNAL_H_
