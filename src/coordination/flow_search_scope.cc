#include "coordination/flow_search_scope.h"

#include <algorithm>
#include <unordered_map>

#include "coordination/steering_internal.h"

namespace hawthornbank::detail {
namespace {

// Whether the agent doesn't know which start of its target is running. An agent
// whose target is silent knows it, but not whether it takes new flows.
auto IsTargetStartUnknown(const KnownHost& host) -> bool {
  return host.record.target.state == TargetState::kUnknown &&
         host.record.target.started_at_ms == 0;
}

// Number of targets of a service, or of all, by what is known of their start.
struct TargetStarts {
  std::size_t cold = 0;     // Announced as cold since their start.
  std::size_t unknown = 0;  // Of agents that don't know their target's state.
  std::size_t running = 0;  // May have been running for longer.

  auto Add(const KnownHost& host) -> void {
    if (IsTargetStartUnknown(host)) {
      ++unknown;
    } else if (WasTargetAnnouncedCold(host)) {
      ++cold;
    } else if (host.record.target.state != TargetState::kGone) {
      ++running;
    }
  }
};

// Targets can count as just started only in this period, and only while every
// known process has started with this balancer or later: one that has been up
// for longer shows that this balancer was restarted alone.
auto MayAllHaveJustStarted(const Steering& steering, TimePoint now) -> bool {
  return now - steering.started < steering.options.restart_period &&
         steering.fleet.earliest_start >=
             steering.started - steering.options.joint_start_time;
}

auto IsInRestartPeriod(const Steering& steering, TimePoint now) -> bool {
  return now - steering.started >= steering.options.restart_settling_time &&
         MayAllHaveJustStarted(steering, now);
}

// Returns whether this balancer and all targets of a service have certainly
// just started.
auto HaveTargetsJustStarted(const Steering& steering,
                            std::uint32_t service,
                            TimePoint now) -> bool {
  return IsInRestartPeriod(steering, now) &&
         HaveKnownTargetsJustStarted(steering, service, now);
}

// Order of the queries: agents that know their target's state first,
// agents that aren't live last.
enum class SearchPriority : std::uint8_t {
  kTargetKnown,
  kTargetUnknown,
  kTargetExited,
  kUnresponsive
};

auto GetSearchPriority(const KnownHost& host, TimePoint now) -> SearchPriority {
  if (!IsHostLive(host, now)) {
    return SearchPriority::kUnresponsive;
  }
  if (HasTargetExited(host, now)) {
    return SearchPriority::kTargetExited;
  }
  return IsTargetStartUnknown(host) ? SearchPriority::kTargetUnknown
                                    : SearchPriority::kTargetKnown;
}

// Whether the target of an agent's host holds no flows. An agent that is up may
// have got another target since it announced the exit of the one before.
auto HasExitedForGood(const KnownHost& host, TimePoint now) -> bool {
  return HasTargetExited(host, now) &&
         (host.record.is_shutting_down || !IsHostLive(host, now));
}

// Ranks the agents of one service that haven't been queried yet. Agents that
// don't know their target's state are left out when the others' targets have
// just started, unless they have restarted since or other agents have: their
// targets may have run on.
auto RankAgentsOfService(Steering& steering,
                         const FlowKey& flow,
                         const FlowSearch& search,
                         std::uint32_t service,
                         TimePoint now) -> std::vector<RankedAgent> {
  auto ranked = RankAgentsForFlow(steering.fleet, service, HashFlow(flow),
                                  search.queried_addresses);
  const bool just_started = !search.has_unsure_reply &&
                            HaveTargetsJustStarted(steering, service, now);
  std::erase_if(ranked, [now, just_started](const RankedAgent& it) {
    return HasExitedForGood(*it.host, now) ||
           (just_started && !it.host->has_restarted &&
            IsTargetStartUnknown(*it.host));
  });
  return ranked;
}

// Returns the services that the flow's route leads to, and then those that it
// led to when the flow may have been opened.
auto ListServicesOfFlow(const Steering& steering,
                        const FlowKey& flow,
                        TimePoint now) -> std::vector<std::uint32_t> {
  std::vector<std::uint32_t> services;
  if (const Route* const route = FindRoute(steering.routes, flow.address)) {
    for (const auto& it : route->shares) {
      services.push_back(it.service);
    }
  }
  for (const auto& it :
       FindFormerServices(steering.routes.history, flow.address)) {
    if (MayHaveOpenFlows(it, steering.options.flow_lifetime, now) &&
        std::find(services.begin(), services.end(), it.service) ==
            services.end()) {
      services.push_back(it.service);
    }
  }
  return services;
}

// Whether the flow may belong to a service that this balancer doesn't know.
// Before restart_settling_time it isn't known either whether the targets have
// just started; the caller sends its packet again after that time.
auto MayBelongToUnknownService(const Steering& steering, TimePoint now)
    -> bool {
  return now - steering.started >= steering.options.restart_settling_time &&
         !CoversFlowLifetime(
             steering.routes.history, steering.routes_confirmed_at,
             steering.max_routes_age, steering.options.flow_lifetime, now);
}

// Returns whether all targets of a service have just started, where the
// targets of all services tell whether most agents know their targets.
auto HaveJustStarted(const TargetStarts& service, const TargetStarts& all)
    -> bool {
  return service.running == 0 &&
         (service.cold > service.unknown || all.cold > all.unknown);
}

// Ranks the agents of all services whose targets haven't all just started.
auto RankAgentsOfAllServices(Steering& steering,
                             const FlowKey& flow,
                             const FlowSearch& search,
                             TimePoint now) -> std::vector<RankedAgent> {
  std::unordered_map<std::uint32_t, TargetStarts> starts;
  TargetStarts all;
  for (const auto& [control, host] : steering.fleet.hosts) {
    if (host.record.role == HostRole::kAgent) {
      starts[host.record.service].Add(host);
      all.Add(host);
    }
  }
  const bool in_restart_period = IsInRestartPeriod(steering, now);
  std::vector<RankedAgent> ranked;
  for (const auto& [service, it] : starts) {
    if (!in_restart_period || !HaveJustStarted(it, all)) {
      const auto of_service =
          RankAgentsOfService(steering, flow, search, service, now);
      ranked.insert(ranked.end(), of_service.begin(), of_service.end());
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedAgent& a, const RankedAgent& b) {
              return a.rank > b.rank;
            });
  return ranked;
}

}  // namespace

auto HaveKnownTargetsJustStarted(const Steering& steering,
                                 std::uint32_t service,
                                 TimePoint now) -> bool {
  if (!MayAllHaveJustStarted(steering, now)) {
    return false;
  }
  TargetStarts starts;
  for (const auto& [control, host] : steering.fleet.hosts) {
    if (host.record.role == HostRole::kAgent &&
        host.record.service == service) {
      starts.Add(host);
    }
  }
  return starts.running == 0 && starts.cold > starts.unknown;
}

auto RankAgentsToQuery(Steering& steering,
                       const FlowKey& flow,
                       FlowSearch& search,
                       TimePoint now) -> std::vector<RankedAgent> {
  auto ranked =
      RankAgentsOfService(steering, flow, search, search.service, now);
  if (ranked.empty()) {
    for (const auto service : ListServicesOfFlow(steering, flow, now)) {
      ranked = RankAgentsOfService(steering, flow, search, service, now);
      if (!ranked.empty()) {
        search.service = service;
        break;
      }
    }
  }
  if (ranked.empty() && MayBelongToUnknownService(steering, now)) {
    ranked = RankAgentsOfAllServices(steering, flow, search, now);
    search.is_widened = search.is_widened || !ranked.empty();
  }
  (void)MoveCandidatesToFront(ranked, steering.fleet.self.zone,
                              steering.options.placement);
  std::stable_sort(ranked.begin(), ranked.end(),
                   [read_until = GetReadTime(steering, now)](
                       const RankedAgent& a, const RankedAgent& b) {
                     return GetSearchPriority(*a.host, read_until) <
                            GetSearchPriority(*b.host, read_until);
                   });
  return ranked;
}

auto HaveSearchedTargetsJustStarted(const Steering& steering,
                                    const FlowKey& flow,
                                    const FlowSearch& search,
                                    TimePoint now) -> bool {
  if (search.is_widened || search.has_unsure_reply ||
      !HaveTargetsJustStarted(steering, search.service, now)) {
    return false;
  }
  const auto services = ListServicesOfFlow(steering, flow, now);
  return std::all_of(services.begin(), services.end(),
                     [&](std::uint32_t service) {
                       return HaveTargetsJustStarted(steering, service, now);
                     });
}

auto GetAgentLimit(const Steering& steering, const FlowSearch& search)
    -> std::size_t {
  const std::size_t limit = steering.options.search.max_agents;
  return search.is_widened ? 2 * limit : limit;
}

auto DescribeFoundService(const Steering& steering,
                          const FlowKey& flow,
                          std::uint32_t service,
                          TimePoint now) -> SteeringReason {
  const Route* const route = FindRoute(steering.routes, flow.address);
  if (route != nullptr && LeadsToService(*route, service)) {
    return SteeringReason::kAgentFound;
  }
  const auto services = ListServicesOfFlow(steering, flow, now);
  return std::find(services.begin(), services.end(), service) == services.end()
             ? SteeringReason::kFoundByWideSearch
             : SteeringReason::kFoundAtFormerService;
}

}  // namespace hawthornbank::detail
