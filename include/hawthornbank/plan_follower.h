#ifndef HAWTHORNBANK_PLAN_FOLLOWER_H_
#define HAWTHORNBANK_PLAN_FOLLOWER_H_

#include <cstdint>
#include <string>

#include "hawthornbank/agent.h"
#include "hawthornbank/configuration.h"
#include "hawthornbank/lease.h"

/// @file
/// Agent side of the plan: whether this target serves, rests or leaves.
namespace hawthornbank {

/// What the configuration tells a target.
enum class TargetOrder : std::uint8_t {
  kServe,
  kRest,   ///< The plan: take no new flows, keep the others without a limit.
  kLeave,  ///< An operator: as long as the service's drain limit.
};

/// What an agent remembers of the plan's acts.
struct PlanFollower {
  std::string self;  ///< Name of the target.
  LeaseFence fence;
  bool resting = false;  ///< By the last act that was not refused.
};

/// Reads what a configuration tells this target. The plan's part of a
/// configuration with an older epoch than one seen before is refused and
/// counted; the target then goes on as the last act said.
/// @param follower State.
/// @param configuration What came in force.
/// @return The order.
auto OrderFor(PlanFollower& follower, const Configuration& configuration)
    -> TargetOrder;

/// @param agent The agent.
/// @return The order that it follows now.
auto OrderOf(const Agent& agent) -> TargetOrder;

/// @param order An order.
/// @return Its name in logs.
auto OrderName(TargetOrder order) -> const char*;

/// Makes an agent follow an order.
/// @param agent The agent.
/// @param order The order.
/// @param now The present instant.
auto Follow(Agent& agent, TargetOrder order, TimePoint now) -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PLAN_FOLLOWER_H_
