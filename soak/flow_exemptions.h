#ifndef HAWTHORNBANK_SOAK_FLOW_EXEMPTIONS_H_
#define HAWTHORNBANK_SOAK_FLOW_EXEMPTIONS_H_

#include <map>
#include <string>
#include <vector>

#include "hawthornbank/types.h"
#include "soak/rules.h"

/// @file
/// Open flows that the load balancer may reset although their targets hold
/// them: those that are too old or were idle for too long, and those whose
/// route a configuration dropped.
namespace hawthornbank::soak {

/// Idle timeout of a configuration that sets none.
inline constexpr Duration kDefaultIdleTimeout = std::chrono::seconds{15};

/// Time in which the store's configuration had no route.
struct RouteAbsence {
  TimePoint dropped_at{};
  TimePoint returned_at = TimePoint::max();
};

/// What the store accepted that concerns open flows.
struct FlowExemptions {
  /// Idle timeouts by the time at which the store accepted them.
  std::map<TimePoint, Duration> idle_timeouts;
  /// By the route's address, in the order of time.
  std::map<std::string, std::vector<RouteAbsence>> absences;
};

/// Times of a flow as its caller knows them.
struct FlowTimes {
  Endpoint route;
  TimePoint opened_at{};   ///< Time of the first opening packet.
  TimePoint idle_since{};  ///< Start of the last pause between two requests.
  TimePoint resumed_at{};  ///< End of that pause; not before its start.
};

/// Records an idle timeout that the store accepted.
auto OnIdleTimeoutStored(FlowExemptions& exemptions,
                         Duration idle_timeout,
                         TimePoint now) -> void;

/// Records that the store accepted a configuration without a route that the
/// configuration before had.
auto OnRouteDropped(FlowExemptions& exemptions, Endpoint route, TimePoint now)
    -> void;

/// Records that the store accepted a configuration that has a dropped route
/// again.
auto OnRouteReturned(FlowExemptions& exemptions, Endpoint route, TimePoint now)
    -> void;

/// Checks whether a flow is older than kFlowLifetime, whether its last pause
/// exceeded an idle timeout that was in force during the pause, and whether its
/// route was dropped while it was open. A configuration counts as in force for
/// kPropagationTime after the store accepted the next one.
/// @param now Time of the flow's reset.
/// @return Whether the flow's reset breaks no rule.
auto IsExemptFlow(const FlowExemptions& exemptions,
                  const FlowTimes& flow,
                  TimePoint now) -> bool;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_FLOW_EXEMPTIONS_H_
