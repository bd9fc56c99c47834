#include "plan_decision.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace hawthornbank {
namespace detail {
namespace {

constexpr std::uint64_t kPercent = 100;

auto AddPercentToLoad(const CurrentLoad& load, std::uint32_t percent)
    -> CurrentLoad {
  const auto scale = [percent](std::uint64_t n) {
    return (n * (kPercent + percent) + kPercent - 1) / kPercent;
  };
  return CurrentLoad{.connections = scale(load.connections),
                     .slots_busy = scale(load.slots_busy)};
}

/// @return The map's entry for a service; an empty value if there is none.
template <class Map>
auto FindServiceEntry(const Map& map, ServiceId service) -> const
    typename Map::mapped_type& {
  static const typename Map::mapped_type none;
  const auto it = map.find(service);
  return it == map.end() ? none : it->second;
}

/// Sums the load of all live and suspected targets. Flows on resting targets
/// count too, because callers may reconnect to any target.
auto SumTargetLoads(const std::vector<const TargetRecord*>& targets)
    -> CurrentLoad {
  CurrentLoad load;
  for (const auto* it : targets) {
    if (it->state <= TargetState::kSuspect) {
      load.connections += it->load.connections;
      load.slots_busy += std::uint64_t{it->load.slots_busy} + it->load.queued;
    }
  }
  return load;
}

/// @return Number of targets that the plan needs for now and for one warm-up
///     ahead, the larger of both, regardless of the current load; kAllTargets
///     if no demand is stated.
auto ComputePlannedTargetCount(const PlanOptions& options,
                               const std::vector<DemandRow>& rows,
                               const Service& service,
                               const PlanView& view) -> std::uint64_t {
  const auto here =
      ComputePlannedTargets(rows, service, view.local_time, {}, options);
  if (here.reason == PlanReason::kNoDemandStated) {
    return kAllTargets;
  }
  PlanOptions ahead = options;
  ahead.cool_down = options.warm_up;
  ahead.warm_up = std::chrono::minutes{0};
  const auto then =
      ComputePlannedTargets(rows, service, view.local_after_warm_up, {}, ahead);
  return std::max({here.count, then.count, options.minimum_targets});
}

/// @return kAllTargets if `count` reaches service.target_count, so that the
///     largest demand also uses targets beyond that number; otherwise `count`.
auto ConvertCountToAllTargetsIfFull(std::uint64_t count, const Service& service)
    -> std::uint32_t {
  return count >= service.target_count ? kAllTargets
                                       : static_cast<std::uint32_t>(count);
}

auto IsLessLoaded(const TargetRecord* a, const TargetRecord* b) -> bool {
  const auto key = [](const TargetRecord* it) {
    return std::make_tuple(it->load.connections, it->load.slots_busy, it->id);
  };
  return key(a) < key(b);
}

auto WasRecentlyOrderedToReturn(const PlanExecutor& executor,
                                const std::string& name,
                                TimePoint now) -> bool {
  const auto it = executor.recent_returns.find(name);
  return it != executor.recent_returns.end() &&
         now - it->second < executor.options.settle_time;
}

}  // namespace

auto ContainsName(const std::vector<std::string>& names,
                  const std::string& name) -> bool {
  return std::find(names.begin(), names.end(), name) != names.end();
}

auto IndexPlanInputs(const Configuration& configuration, const PlanView& view)
    -> PlanIndex {
  PlanIndex index{.view = &view};
  for (const auto& it : view.targets) {
    index.targets[it.service].push_back(&it);
  }
  for (const auto& it : configuration.demand) {
    index.rows[it.service].push_back(it);
  }
  index.draining.insert(configuration.draining.begin(),
                        configuration.draining.end());
  index.resting.insert(configuration.resting.begin(),
                       configuration.resting.end());
  return index;
}

auto ComputeTargetBounds(const PlanExecutorOptions& options,
                         const PlanIndex& index,
                         const Service& service) -> NeededTargets {
  const auto planned = ComputePlannedTargetCount(
      options.plan, FindServiceEntry(index.rows, service.id), service,
      *index.view);
  const auto load = AddPercentToLoad(
      SumTargetLoads(FindServiceEntry(index.targets, service.id)),
      options.plan.headroom_percent);
  const auto count = [&](std::uint32_t margin_percent) {
    const auto needed = ComputeTargetCountForLoad(
        service, AddPercentToLoad(load, margin_percent));
    return ConvertCountToAllTargetsIfFull(std::max(planned, needed), service);
  };
  return NeededTargets{.return_below = count(options.return_margin_percent),
                       .rest_above = count(options.rest_margin_percent)};
}

auto GroupTargetsByState(const PlanExecutor& executor,
                         const PlanIndex& index,
                         ServiceId service,
                         TimePoint now) -> TargetGroups {
  TargetGroups groups;
  for (const auto* it : FindServiceEntry(index.targets, service)) {
    if (index.draining.contains(it->name)) {
      continue;
    }
    const bool serves = it->state == TargetState::kServing;
    const bool drains = it->state == TargetState::kDraining;
    if (index.resting.contains(it->name)) {
      (serves || drains ? groups.resting : groups.absent).push_back(it);
    } else if (serves || (drains && WasRecentlyOrderedToReturn(
                                        executor, it->name, now))) {
      groups.serving.push_back(it);
    }
  }
  std::sort(groups.serving.begin(), groups.serving.end(), IsLessLoaded);
  std::sort(groups.resting.begin(), groups.resting.end(), IsLessLoaded);
  return groups;
}

auto UpdateSurplusesAndShortages(PlanExecutor& executor,
                                 const Configuration& configuration,
                                 const PlanView& view,
                                 TimePoint now) -> void {
  const auto index = IndexPlanInputs(configuration, view);
  std::map<ServiceId, PlanSurplus> next;
  for (const auto& service : configuration.services) {
    const auto need = ComputeTargetBounds(executor.options, index, service);
    const auto groups = GroupTargetsByState(executor, index, service.id, now);
    if (view.is_membership_ready && groups.serving.size() < need.return_below &&
        need.return_below != kAllTargets) {
      executor.last_shortage[service.id] = now;
    }
    if (!view.is_membership_ready || groups.serving.size() <= need.rest_above) {
      continue;
    }
    const auto surplus =
        static_cast<std::uint32_t>(groups.serving.size()) - need.rest_above;
    const auto before = executor.surplus.find(service.id);
    next[service.id] = before == executor.surplus.end()
                           ? PlanSurplus{.since = now, .smallest = surplus}
                           : PlanSurplus{.since = before->second.since,
                                         .smallest = std::min(
                                             before->second.smallest, surplus)};
  }
  executor.surplus = std::move(next);
}

}  // namespace detail

namespace {

using detail::NeededTargets;
using detail::TargetGroups;

/// Chooses targets to rest, the least loaded first. The last serving target of
/// an availability zone is chosen only if `count` can't be reached otherwise.
auto ChooseTargetsToRest(const TargetGroups& groups,
                         std::size_t count,
                         PlanChange& out) -> void {
  std::map<std::string, std::size_t> left;
  for (const auto* it : groups.serving) {
    ++left[it->zone];
  }
  std::vector<const TargetRecord*> last;
  for (const auto* it : groups.serving) {
    if (count == 0) {
      return;
    }
    if (left[it->zone] == 1) {
      last.push_back(it);
      continue;
    }
    --left[it->zone];
    --count;
    out.targets_to_rest.push_back(it->name);
  }
  for (std::size_t n = 0; n < std::min(count, last.size()); ++n) {
    out.targets_to_rest.push_back(last[n]->name);
  }
}

/// Chooses resting targets to return: first live targets; if there are too few,
/// also all absent targets, which then serve once they are live again.
auto ChooseTargetsToReturn(const TargetGroups& groups,
                           std::size_t count,
                           PlanChange& out) -> void {
  const auto up = std::min(count, groups.resting.size());
  for (std::size_t n = 0; n < up; ++n) {
    out.targets_to_return.push_back(groups.resting[n]->name);
  }
  if (up < count) {
    for (const auto* it : groups.absent) {
      out.targets_to_return.push_back(it->name);
    }
  }
}

auto MayRestTargets(const PlanExecutor& executor,
                    ServiceId service,
                    TimePoint now) -> bool {
  const auto it = executor.surplus.find(service);
  const auto last = executor.last_shortage.find(service);
  const bool was_short = last != executor.last_shortage.end() &&
                         now - last->second < executor.options.shortage_hold;
  return it != executor.surplus.end() && !was_short &&
         now >= executor.next_rest_at &&
         now - it->second.since >= executor.options.surplus_hold;
}

auto ChooseTargetsToRestOrReturn(const PlanExecutor& executor,
                                 const detail::PlanIndex& index,
                                 const Service& service,
                                 TimePoint now,
                                 PlanChange& out) -> void {
  const auto need =
      detail::ComputeTargetBounds(executor.options, index, service);
  const auto groups =
      detail::GroupTargetsByState(executor, index, service.id, now);
  const std::size_t serving = groups.serving.size();
  if (serving < need.return_below) {
    ChooseTargetsToReturn(groups, need.return_below - serving, out);
    return;
  }
  if (serving <= need.rest_above ||
      !MayRestTargets(executor, service.id, now)) {
    return;
  }
  constexpr std::size_t kPercent = 100;
  const std::size_t step = std::max<std::size_t>(
      1, serving * executor.options.rest_step_percent / kPercent);
  const std::size_t smallest = executor.surplus.at(service.id).smallest;
  ChooseTargetsToRest(
      groups, std::min({step, smallest, serving - need.rest_above}), out);
}

}  // namespace

auto DecidePlanChange(const PlanExecutor& executor,
                      const Configuration& configuration,
                      const PlanView& view,
                      TimePoint now) -> PlanChange {
  PlanChange change;
  if (!view.is_membership_ready) {
    return change;
  }
  const auto index = detail::IndexPlanInputs(configuration, view);
  for (const auto& it : configuration.resting) {
    if (index.draining.contains(it)) {
      change.targets_to_return.push_back(it);
    }
  }
  for (const auto& it : configuration.services) {
    ChooseTargetsToRestOrReturn(executor, index, it, now, change);
  }
  return change;
}

}  // namespace hawthornbank
