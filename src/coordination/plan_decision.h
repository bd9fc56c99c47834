#ifndef HAWTHORNBANK_COORDINATION_PLAN_DECISION_H_
#define HAWTHORNBANK_COORDINATION_PLAN_DECISION_H_

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "hawthornbank/plan_executor.h"

/// @file
/// Computes how many targets a service needs by the plan and the current load,
/// and groups its targets by state.
namespace hawthornbank::detail {

/// Represents all targets of a service, regardless of their number.
inline constexpr auto kAllTargets = std::numeric_limits<std::uint32_t>::max();

/// Bounds of the number of serving targets of a service.
struct NeededTargets {
  std::uint32_t return_below = kAllTargets;  ///< With fewer, targets return.
  std::uint32_t rest_above = kAllTargets;    ///< With more, targets may rest.
};

/// Targets of a service, except those that an operator drained.
struct TargetGroups {
  std::vector<const TargetRecord*> serving;  ///< Including recently returned.
  std::vector<const TargetRecord*> resting;  ///< Resting and live.
  std::vector<const TargetRecord*> absent;   ///< Resting and not live.
};

/// Configuration and view of a decision, indexed by service.
struct PlanIndex {
  const PlanView* view = nullptr;
  std::map<ServiceId, std::vector<const TargetRecord*>> targets;
  std::map<ServiceId, std::vector<DemandRow>> rows;
  std::unordered_set<std::string> draining;
  std::unordered_set<std::string> resting;
};

/// Indexes a configuration and a view by service.
/// @param configuration Demand, draining and resting targets.
/// @param view Inputs of the decision; must outlive the index.
/// @return Index that points into the view.
auto IndexPlanInputs(const Configuration& configuration, const PlanView& view)
    -> PlanIndex;

/// Computes how many targets a service needs.
/// @param options Settings of the plan executor.
/// @param index Index of the decision's inputs.
/// @param service Service to compute for.
/// @return Bounds; kAllTargets if no demand is stated.
auto ComputeTargetBounds(const PlanExecutorOptions& options,
                         const PlanIndex& index,
                         const Service& service) -> NeededTargets;

/// Groups the targets of a service; serving and resting targets are sorted by
/// load, the least loaded first.
/// @param executor Executor state, with the targets that returned recently.
/// @param index Index of the decision's inputs.
/// @param service Service whose targets are grouped.
/// @param now Current time.
/// @return Groups that point into the view.
auto GroupTargetsByState(const PlanExecutor& executor,
                         const PlanIndex& index,
                         ServiceId service,
                         TimePoint now) -> TargetGroups;

/// Records for every service since when it has had more targets than it needs,
/// and when it was last short of targets.
/// @param executor Executor state.
/// @param configuration Configuration in force.
/// @param view Inputs of the decision.
/// @param now Current time.
auto UpdateServiceSurplus(PlanExecutor& executor,
                          const Configuration& configuration,
                          const PlanView& view,
                          TimePoint now) -> void;

/// @param names Names to search.
/// @param name Name to find.
/// @return Whether `names` contains `name`.
auto ContainsName(const std::vector<std::string>& names,
                  const std::string& name) -> bool;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_COORDINATION_PLAN_DECISION_H_
