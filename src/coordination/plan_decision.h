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
/// What the plan and the present load ask of one service.
namespace hawthornbank::detail {

/// Stands for every target that there is.
inline constexpr auto kAllTargets = std::numeric_limits<std::uint32_t>::max();

/// How many targets a service needs.
struct PlanNeed {
  std::uint32_t rise = kAllTargets;  ///< With fewer, targets return.
  std::uint32_t fall = kAllTargets;  ///< With more, targets may rest.
};

/// The targets of a service, without those that an operator drained.
struct PlanGroups {
  std::vector<const TargetRecord*> serving;  ///< Or about to, after a return.
  std::vector<const TargetRecord*> resting;  ///< And up.
  std::vector<const TargetRecord*> absent;   ///< Resting, but not up.
};

/// What a decision looks up for each service.
struct PlanIndex {
  const PlanView* view = nullptr;
  std::map<ServiceId, std::vector<const TargetRecord*>> targets;
  std::map<ServiceId, std::vector<DemandRow>> rows;
  std::unordered_set<std::string> draining;
  std::unordered_set<std::string> resting;
};

/// Arranges a configuration and a view by service.
/// @param configuration Demand, and who rests and is drained.
/// @param view What is seen; must outlive the index.
/// @return The index.
auto MakePlanIndex(const Configuration& configuration, const PlanView& view)
    -> PlanIndex;

/// Says how many targets a service needs.
/// @param options How the plan is executed.
/// @param index What is seen.
/// @param service The service.
/// @return The need; all targets when no demand is stated.
auto NeedOf(const PlanExecutorOptions& options,
            const PlanIndex& index,
            const Service& service) -> PlanNeed;

/// Sorts the targets of a service into groups, the least loaded first.
/// @param executor Which targets returned of late.
/// @param index What is seen.
/// @param service The service.
/// @param now Present instant.
/// @return The groups; they point into the view.
auto GroupTargets(const PlanExecutor& executor,
                  const PlanIndex& index,
                  ServiceId service,
                  TimePoint now) -> PlanGroups;

/// Notes for every service how long it has had more targets than it needs.
/// @param executor State.
/// @param configuration In force.
/// @param view What is seen.
/// @param now Present instant.
auto UpdateSurplus(PlanExecutor& executor,
                   const Configuration& configuration,
                   const PlanView& view,
                   TimePoint now) -> void;

/// @param names Names.
/// @param name A name.
/// @return Whether it is among them.
auto Contains(const std::vector<std::string>& names, const std::string& name)
    -> bool;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_COORDINATION_PLAN_DECISION_H_
