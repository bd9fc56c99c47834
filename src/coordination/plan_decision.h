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

/// Bounds for the number of serving targets of a service.
struct NeededTargets {
  /// Targets return if fewer targets than this are serving.
  std::uint32_t return_below = kAllTargets;
  /// Targets may rest if more targets than this are serving.
  std::uint32_t rest_above = kAllTargets;
};

/// Targets of a service by state, without targets that an operator drained and
/// without targets that neither serve nor rest.
struct TargetGroups {
  /// Serving, or ordered to return within the last `settle_time`.
  std::vector<const TargetRecord*> serving;
  std::vector<const TargetRecord*> resting;  ///< Resting and live.
  /// Resting, but suspected, dead or shut down.
  std::vector<const TargetRecord*> absent;
};

/// Inputs of a plan decision: targets and demand rows by service, and the names
/// of draining and resting targets.
struct PlanIndex {
  const PlanView* view = nullptr;
  std::map<ServiceId, std::vector<const TargetRecord*>> targets;
  std::map<ServiceId, std::vector<DemandRow>> rows;
  std::unordered_set<std::string> draining;
  std::unordered_set<std::string> resting;
};

/// Indexes the inputs of a plan decision.
/// @param configuration Demand, draining and resting targets.
/// @param view Inputs of the decision; must outlive the index.
/// @return Index with pointers into `view`.
auto IndexPlanInputs(const Configuration& configuration, const PlanView& view)
    -> PlanIndex;

/// Computes how many targets a service needs by the plan and the current load.
/// @param options Settings of the plan executor.
/// @param index Index of the decision's inputs.
/// @param service Service to compute for.
/// @return Bounds; kAllTargets if no demand is stated or if the number needed
///     reaches service.target_count.
auto ComputeTargetBounds(const PlanExecutorOptions& options,
                         const PlanIndex& index,
                         const Service& service) -> NeededTargets;

/// Groups the targets of a service; serving and resting targets are sorted by
/// load, the least loaded first.
/// @param executor Executor state, with the targets that returned recently.
/// @param index Index of the decision's inputs.
/// @param service Service whose targets are grouped.
/// @param now Current time.
/// @return Groups with pointers into the view's targets.
auto GroupTargetsByState(const PlanExecutor& executor,
                         const PlanIndex& index,
                         ServiceId service,
                         TimePoint now) -> TargetGroups;

/// Records for each service since when it has had a surplus of serving targets,
/// the smallest surplus since then, and when it was last short of targets. An
/// incomplete membership ends all surpluses.
/// @param executor Executor state.
/// @param configuration Configuration in force.
/// @param view Inputs of the decision.
/// @param now Current time.
auto UpdateSurplusesAndShortages(PlanExecutor& executor,
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
