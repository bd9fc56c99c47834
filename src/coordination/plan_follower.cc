#include "hawthornbank/plan_follower.h"

#include <algorithm>

#include "hawthornbank/error.h"
#include "plan_decision.h"

namespace hawthornbank {

auto DetermineTargetOrder(PlanFollower& follower,
                          const Configuration& configuration) -> TargetOrder {
  try {
    CheckAndRecordEpoch(follower.fence, configuration.plan_epoch);
    follower.resting =
        detail::ContainsName(configuration.resting, follower.target_name);
  } catch (const Error&) {
    // The configuration's list of resting targets is from an earlier lease
    // holder and is not followed. The fence has counted the refusal.
  }
  if (detail::ContainsName(configuration.draining, follower.target_name)) {
    return TargetOrder::kLeave;
  }
  return follower.resting ? TargetOrder::kRest : TargetOrder::kServe;
}

auto GetCurrentOrder(const Agent& agent) -> TargetOrder {
  if (!agent.draining) {
    return TargetOrder::kServe;
  }
  return agent.resting ? TargetOrder::kRest : TargetOrder::kLeave;
}

auto GetTargetOrderName(TargetOrder order) -> const char* {
  switch (order) {
    case TargetOrder::kServe:
      return "serve";
    case TargetOrder::kRest:
      return "rest";
    case TargetOrder::kLeave:
      return "leave";
  }
  return "";
}

auto ApplyOrderToAgent(Agent& agent, TargetOrder order, TimePoint now) -> void {
  switch (order) {
    case TargetOrder::kServe:
      EndDrain(agent);
      break;
    case TargetOrder::kRest:
      if (agent.draining && !agent.resting) {
        EndDrain(agent);
      }
      BeginStandby(agent, now);
      break;
    case TargetOrder::kLeave:
      BeginDrain(agent, now);
      break;
  }
}

}  // namespace hawthornbank
