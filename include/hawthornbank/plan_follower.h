#ifndef HAWTHORNBANK_PLAN_FOLLOWER_H_
#define HAWTHORNBANK_PLAN_FOLLOWER_H_

#include <cstdint>
#include <string>

#include "hawthornbank/agent.h"
#include "hawthornbank/configuration.h"
#include "hawthornbank/lease.h"

/// @file
/// Agent side of the plan: whether a target serves, rests (is in standby: keeps
/// its flows, takes no new flows) or drains and leaves the service.
namespace hawthornbank {

/// What the configuration orders a target to do.
enum class TargetOrder : std::uint8_t {
  kServe,  ///< Take new flows.
  kRest,   ///< By the plan: take no new flows; no drain limit.
  kLeave,  ///< By an operator: drain up to the service's drain limit.
};

/// State of an agent that follows the plan's updates.
struct PlanFollower {
  std::string self;      ///< Name of the target.
  LeaseFence fence;      ///< Rejects updates of earlier lease holders.
  bool resting = false;  ///< By the last plan update that was accepted.
};

/// Determines what a configuration orders this target to do. The list of
/// resting targets is ignored and counted as refused if the configuration's
/// plan epoch is lower than an earlier one; the target then follows the last
/// accepted list.
/// @param follower Follower state of the target.
/// @param configuration Configuration in force.
/// @return Order for the target.
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
