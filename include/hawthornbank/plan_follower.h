#ifndef HAWTHORNBANK_PLAN_FOLLOWER_H_
#define HAWTHORNBANK_PLAN_FOLLOWER_H_

#include <cstdint>
#include <string>

#include "hawthornbank/agent.h"
#include "hawthornbank/configuration.h"
#include "hawthornbank/lease.h"

/// @file
/// Agent side of the plan: whether a target serves, rests or drains and leaves
/// the service. A resting target is in standby: it keeps its flows and takes no
/// new flows.
namespace hawthornbank {

/// What the configuration orders a target to do.
enum class TargetOrder : std::uint8_t {
  kServe,  ///< Take new flows.
  kRest,   ///< By the plan: take no new flows, keep flows without a time limit.
  kLeave,  ///< By an operator: drain, at most for the service's drain limit.
};

/// State of an agent that follows the plan's updates.
struct PlanFollower {
  std::string target_name;  ///< Target that the agent serves.
  LeaseFence fence;         ///< Rejects updates of earlier lease holders.
  /// Whether the last accepted plan update lists the target as resting.
  bool resting = false;
};

/// Determines what a configuration orders this target to do, and records the
/// configuration's plan epoch. If an accepted configuration had a higher plan
/// epoch, the list of resting targets is ignored and counted as refused; the
/// target then follows the last accepted list.
/// @param follower Follower state of the target.
/// @param configuration Configuration in force.
/// @return Order for the target; an operator's drain overrides the plan.
auto DetermineTargetOrder(PlanFollower& follower,
                          const Configuration& configuration) -> TargetOrder;

/// @param agent Agent of a target.
/// @return Order that the agent currently follows.
auto GetCurrentOrder(const Agent& agent) -> TargetOrder;

/// @param order Order for a target.
/// @return Name of the order in log lines.
auto GetTargetOrderName(TargetOrder order) -> const char*;

/// Starts or ends the agent's drain or rest according to an order.
/// @param agent Agent of a target.
/// @param order Order to follow.
/// @param now Current time.
auto ApplyOrderToAgent(Agent& agent, TargetOrder order, TimePoint now) -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PLAN_FOLLOWER_H_
