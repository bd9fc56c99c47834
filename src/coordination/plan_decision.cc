#include "plan_decision.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace hawthornbank {
namespace detail {
namespace {

constexpr std::uint64_t kPercent = 100;

auto AddPercent(const PresentLoad& load, std::uint32_t percent) -> PresentLoad {
  const auto scale = [percent](std::uint64_t n) {
    return (n * (kPercent + percent) + kPercent - 1) / kPercent;
  };
  return PresentLoad{.connections = scale(load.connections),
                     .slots_busy = scale(load.slots_busy)};
}

/// @return The part of an index that belongs to a service.
template <class Map>
auto PartOf(const Map& map, ServiceId service) -> const
    typename Map::mapped_type& {
  static const typename Map::mapped_type none;
  const auto it = map.find(service);
  return it == map.end() ? none : it->second;
}

/// Flows of resting targets count too: callers reconnect to any target.
auto LoadOf(const std::vector<const TargetRecord*>& targets) -> PresentLoad {
  PresentLoad load;
  for (const auto* it : targets) {
    if (it->state <= TargetState::kSuspect) {
      load.connections += it->load.connections;
      load.slots_busy += std::uint64_t{it->load.slots_busy} + it->load.queued;
    }
  }
  return load;
}

/// @return What the plan wants, whatever the load.
auto PlannedCount(const PlanOptions& options,
                  const std::vector<DemandRow>& rows,
                  const Service& service,
                  const PlanView& view) -> std::uint64_t {
  const auto here = PlanTargets(rows, service, view.local, {}, options);
  if (here.reason == PlanReason::kNoPlan) {
    return kAllTargets;
  }
  PlanOptions ahead = options;
  ahead.linger = options.warm_up;
  ahead.warm_up = std::chrono::minutes{0};
  const auto then = PlanTargets(rows, service, view.local_ahead, {}, ahead);
  return std::max({here.count, then.count, options.minimum_targets});
}

/// The largest demand takes also targets beyond those that were provided.
auto OrAll(std::uint64_t count, const Service& service) -> std::uint32_t {
  return count >= service.target_count ? kAllTargets
                                       : static_cast<std::uint32_t>(count);
}

auto ByLoad(const TargetRecord* a, const TargetRecord* b) -> bool {
  const auto key = [](const TargetRecord* it) {
    return std::make_tuple(it->load.connections, it->load.slots_busy, it->id);
  };
  return key(a) < key(b);
}

auto ReturnedOfLate(const PlanExecutor& executor,
                    const std::string& name,
                    TimePoint now) -> bool {
  const auto it = executor.returned.find(name);
  return it != executor.returned.end() &&
         now - it->second < executor.options.settle_time;
}

}  // namespace

auto Contains(const std::vector<std::string>& names, const std::string& name)
    -> bool {
  return std::find(names.begin(), names.end(), name) != names.end();
}

auto MakePlanIndex(const Configuration& configuration, const PlanView& view)
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

auto NeedOf(const PlanExecutorOptions& options,
            const PlanIndex& index,
            const Service& service) -> PlanNeed {
  const auto planned = PlannedCount(
      options.plan, PartOf(index.rows, service.id), service, *index.view);
  const auto load = AddPercent(LoadOf(PartOf(index.targets, service.id)),
                               options.plan.headroom_percent);
  const auto count = [&](std::uint32_t margin_percent) {
    const auto needed =
        TargetsForLoad(service, AddPercent(load, margin_percent));
    return OrAll(std::max(planned, needed), service);
  };
  return PlanNeed{.rise = count(options.return_margin_percent),
                  .fall = count(options.rest_margin_percent)};
}

auto GroupTargets(const PlanExecutor& executor,
                  const PlanIndex& index,
                  ServiceId service,
                  TimePoint now) -> PlanGroups {
  PlanGroups groups;
  for (const auto* it : PartOf(index.targets, service)) {
    if (index.draining.contains(it->name)) {
      continue;
    }
    const bool serves = it->state == TargetState::kServing;
    const bool drains = it->state == TargetState::kDraining;
    if (index.resting.contains(it->name)) {
      (serves || drains ? groups.resting : groups.absent).push_back(it);
    } else if (serves || (drains && ReturnedOfLate(executor, it->name, now))) {
      groups.serving.push_back(it);
    }
  }
  std::sort(groups.serving.begin(), groups.serving.end(), ByLoad);
  std::sort(groups.resting.begin(), groups.resting.end(), ByLoad);
  return groups;
}

auto UpdateSurplus(PlanExecutor& executor,
                   const Configuration& configuration,
                   const PlanView& view,
                   TimePoint now) -> void {
  const auto index = MakePlanIndex(configuration, view);
  std::map<ServiceId, PlanSurplus> next;
  for (const auto& service : configuration.services) {
    const auto need = NeedOf(executor.options, index, service);
    const auto groups = GroupTargets(executor, index, service.id, now);
    if (view.ready && groups.serving.size() < need.rise &&
        need.rise != kAllTargets) {
      executor.last_short[service.id] = now;
    }
    if (!view.ready || groups.serving.size() <= need.fall) {
      continue;
    }
    const auto surplus =
        static_cast<std::uint32_t>(groups.serving.size()) - need.fall;
    const auto before = executor.surplus.find(service.id);
    next[service.id] =
        before == executor.surplus.end()
            ? PlanSurplus{.since = now, .least = surplus}
            : PlanSurplus{.since = before->second.since,
                          .least = std::min(before->second.least, surplus)};
  }
  executor.surplus = std::move(next);
}

}  // namespace detail

namespace {

using detail::PlanGroups;
using detail::PlanNeed;

/// Orders targets to rest: the least loaded, but a zone's last one at the end.
auto ChooseToRest(const PlanGroups& groups, std::size_t count, PlanChange& out)
    -> void {
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
    out.rest.push_back(it->name);
  }
  for (std::size_t n = 0; n < std::min(count, last.size()); ++n) {
    out.rest.push_back(last[n]->name);
  }
}

/// Returns targets that are up, and if they don't suffice the others too, so
/// that these serve when they come back.
auto ChooseToReturn(const PlanGroups& groups,
                    std::size_t count,
                    PlanChange& out) -> void {
  const auto up = std::min(count, groups.resting.size());
  for (std::size_t n = 0; n < up; ++n) {
    out.give_back.push_back(groups.resting[n]->name);
  }
  if (up < count) {
    for (const auto* it : groups.absent) {
      out.give_back.push_back(it->name);
    }
  }
}

auto MayRest(const PlanExecutor& executor, ServiceId service, TimePoint now)
    -> bool {
  const auto it = executor.surplus.find(service);
  const auto last = executor.last_short.find(service);
  const bool was_short = last != executor.last_short.end() &&
                         now - last->second < executor.options.shortage_hold;
  return it != executor.surplus.end() && !was_short &&
         now >= executor.next_rest &&
         now - it->second.since >= executor.options.surplus_hold;
}

auto DecideService(const PlanExecutor& executor,
                   const detail::PlanIndex& index,
                   const Service& service,
                   TimePoint now,
                   PlanChange& out) -> void {
  const auto need = detail::NeedOf(executor.options, index, service);
  const auto groups = detail::GroupTargets(executor, index, service.id, now);
  const std::size_t serving = groups.serving.size();
  if (serving < need.rise) {
    ChooseToReturn(groups, need.rise - serving, out);
    return;
  }
  if (serving <= need.fall || !MayRest(executor, service.id, now)) {
    return;
  }
  constexpr std::size_t kPercent = 100;
  const std::size_t step = std::max<std::size_t>(
      1, serving * executor.options.rest_step_percent / kPercent);
  const std::size_t least = executor.surplus.at(service.id).least;
  ChooseToRest(groups, std::min({step, least, serving - need.fall}), out);
}

}  // namespace

auto DecidePlan(const PlanExecutor& executor,
                const Configuration& configuration,
                const PlanView& view,
                TimePoint now) -> PlanChange {
  PlanChange change;
  if (!view.ready) {
    return change;
  }
  const auto index = detail::MakePlanIndex(configuration, view);
  for (const auto& it : configuration.resting) {
    if (index.draining.contains(it)) {
      change.give_back.push_back(it);
    }
  }
  for (const auto& it : configuration.services) {
    DecideService(executor, index, it, now, change);
  }
  return change;
}

}  // namespace hawthornbank
