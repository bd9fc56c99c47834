#ifndef HAWTHORNBANK_COORDINATION_PLAN_DECISION_H_
#define HAWTHORNBANK_COORDINATION_PLAN_DECISION_H_

#include <cstdint>
#include <limits>
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

/// Says how many targets a service needs.
/// @param options How the plan is executed.
/// @param configuration Demand of all services.
/// @param service The service.
/// @param view What is seen.
/// @return The need; all targets when no demand is stated.
auto NeedOf(const PlanExecutorOptions& options,
            const Configuration& configuration,
            const Service& service,
            const PlanView& view) -> PlanNeed;

/// Sorts the targets of a service into groups, the least loaded first.
/// @param executor Which targets returned of late.
/// @param configuration Who rests and who is drained.
/// @param service The service.
/// @param view What is seen.
/// @param now Present instant.
/// @return The groups; they point into the view.
auto GroupTargets(const PlanExecutor& executor,
                  const Configuration& configuration,
                  ServiceId service,
                  const PlanView& view,
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
