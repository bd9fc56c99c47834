#include "soak/flow_exemptions.h"

#include <algorithm>

#include "soak/judge.h"

namespace hawthornbank::soak {
namespace {

// Returns the smallest idle timeout that a balancer may have had in force at a
// time between `from` and `until`.
auto FindSmallestIdleTimeout(const FlowExemptions& exemptions,
                             TimePoint from,
                             TimePoint until) -> Duration {
  const auto& stored = exemptions.idle_timeouts;
  auto it = stored.upper_bound(from - kPropagationTime);
  Duration smallest =
      it == stored.begin() ? kDefaultIdleTimeout : std::prev(it)->second;
  for (; it != stored.end() && it->first <= until; ++it) {
    smallest = std::min(smallest, it->second);
  }
  return smallest;
}

}  // namespace

auto OnIdleTimeoutStored(FlowExemptions& exemptions,
                         Duration idle_timeout,
                         TimePoint now) -> void {
  exemptions.idle_timeouts[now] = idle_timeout;
}

auto OnRouteDropped(FlowExemptions& exemptions, Endpoint route, TimePoint now)
    -> void {
  exemptions.absences[ToString(route)].push_back({.dropped_at = now});
}

auto OnRouteReturned(FlowExemptions& exemptions, Endpoint route, TimePoint now)
    -> void {
  exemptions.absences[ToString(route)].back().returned_at = now;
}

auto IsExemptFlow(const FlowExemptions& exemptions,
                  const FlowTimes& flow,
                  TimePoint now) -> bool {
  if (now - flow.opened_at > kFlowLifetime ||
      flow.resumed_at - flow.idle_since >
          FindSmallestIdleTimeout(exemptions, flow.idle_since,
                                  flow.resumed_at)) {
    return true;
  }
  const auto found = exemptions.absences.find(ToString(flow.route));
  return found != exemptions.absences.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const RouteAbsence& it) {
                       // The longest time can't be added to.
                       return it.dropped_at <= now &&
                              it.returned_at >
                                  flow.opened_at - kPropagationTime;
                     });
}

}  // namespace hawthornbank::soak
