#ifndef HAWTHORNBANK_SRC_COORDINATION_STEERING_INTERNAL_H_
#define HAWTHORNBANK_SRC_COORDINATION_STEERING_INTERNAL_H_

#include <span>
#include <vector>

#include "hawthornbank/steering.h"

/// @file
/// What the parts of a balancer's decisions share.
namespace hawthornbank::detail {

/// Counts an action's reason and adds the action.
auto AddAction(Steering& steering,
               SteeringAction action,
               std::vector<SteeringAction>& out) -> void;

/// Tells a flow's caller that it is over.
/// @param acknowledgement Of the caller's packet, or 0 for an opening.
auto AddReset(Steering& steering,
              const FlowKey& flow,
              SteeringReason reason,
              std::uint32_t acknowledgement,
              std::vector<SteeringAction>& out) -> void;

/// Drops a packet and counts it.
auto AddDrop(Steering& steering,
             const FlowKey& flow,
             SteeringReason reason,
             std::vector<SteeringAction>& out) -> void;

/// Relays a packet; `kept` is empty for the one that is being handled.
auto RelayTo(Steering& steering,
             const FlowKey& flow,
             Endpoint agent,
             RelayHeader header,
             SteeringReason reason,
             std::vector<std::uint8_t> kept,
             std::vector<SteeringAction>& out) -> void;

/// Remembers where a flow is.
auto Remember(Steering& steering,
              const FlowKey& flow,
              Endpoint agent,
              bool confirmed,
              TimePoint now) -> void;

/// @return Whether a host's target has ended, with all its flows.
auto HasTargetEnded(const KnownHost& host, TimePoint now) -> bool;

/// Looks for the agent that has a flow; the packet waits for it.
/// @param asked Addresses of agents that are known not to have it.
/// @param service Service that the flow probably belongs to.
auto StartSearch(Steering& steering,
                 const FlowKey& flow,
                 const FlowPacket& packet,
                 std::span<const std::uint8_t> bytes,
                 std::uint32_t service,
                 std::span<const std::uint32_t> asked,
                 TimePoint now,
                 std::vector<SteeringAction>& out) -> void;

/// Lets a packet wait if its flow is being looked for.
/// @return Whether it is.
auto HoldForSearch(Steering& steering,
                   const FlowKey& flow,
                   std::span<const std::uint8_t> bytes,
                   std::vector<SteeringAction>& out) -> bool;

/// Goes on with a search after an agent's note.
auto OnSearchNote(Steering& steering,
                  const FlowNote& note,
                  TimePoint now,
                  std::vector<SteeringAction>& out) -> void;

/// Goes on with a search when a target that was offered a packet returned it.
/// @return Whether `agent` was offered one of this flow's.
auto OnOfferReturned(Steering& steering,
                     const FlowKey& flow,
                     Endpoint agent,
                     TimePoint now,
                     std::vector<SteeringAction>& out) -> bool;

/// Goes on with searches whose agents don't answer.
auto OnSearchTick(Steering& steering,
                  TimePoint now,
                  std::vector<SteeringAction>& out) -> void;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_SRC_COORDINATION_STEERING_INTERNAL_H_
