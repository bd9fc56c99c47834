#ifndef HAWTHORNBANK_ROUTE_HISTORY_H_
#define HAWTHORNBANK_ROUTE_HISTORY_H_

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Services that routes led to before their latest change.
///
/// A flow stays at its target when its route is changed, so the target may
/// belong to a service that the route no longer names.
///
/// Load pattern: routes that change several times within the lifetime of a
/// flow, and balancers that start after a change or miss some versions.
namespace hawthornbank {

/// Default of the maximum lifetime of a flow.
inline constexpr Duration kFlowLifetime = std::chrono::seconds{60};

/// Time for which a balancer may still open flows by routes that another
/// balancer has replaced.
inline constexpr Duration kRoutesPropagationTime = std::chrono::seconds{10};

/// Maximum time since the last confirmation of the routes as the newest ones
/// for which they count as such, in fleets whose balancers are told of every
/// poll of the store.
inline constexpr Duration kMaxRoutesAge = std::chrono::seconds{1};

/// A service that a route led to.
struct FormerService {
  std::uint32_t service = 0;   ///< HashName of the service's name.
  TimePoint last_routed_at{};  ///< When the route last led to the service.
};

/// Former services of all routes.
struct RouteHistory {
  /// By address of the route. A service that the route leads to again may
  /// still be listed.
  std::unordered_map<Endpoint, std::vector<FormerService>> former;
  /// Time from which on every service of every route is known, up to the
  /// version in force. TimePoint::max() while no routes are known.
  TimePoint complete_since = TimePoint::max();
};

/// Records that a route leads to a service until now.
/// @param history The history.
/// @param address Address of the route.
/// @param service The service.
/// @param last_routed_at When the route last led to the service.
auto RecordFormerService(RouteHistory& history,
                         Endpoint address,
                         std::uint32_t service,
                         TimePoint last_routed_at) -> void;

/// Adds the former services that another process knows.
/// @param history The history.
/// @param other History of the other process.
auto MergeFormerServices(RouteHistory& history, const RouteHistory& other)
    -> void;

/// Erases former services whose flows have all ended.
/// @param history The history.
/// @param flow_lifetime Maximum lifetime of a flow.
/// @param now Current time.
auto EraseExpiredServices(RouteHistory& history,
                          Duration flow_lifetime,
                          TimePoint now) -> void;

/// @param history The history.
/// @param address Address of a route.
/// @return Former services of the route, expired ones included until the next
/// change of the routes.
auto FindFormerServices(const RouteHistory& history, Endpoint address)
    -> std::span<const FormerService>;

/// @param former A former service of a route.
/// @param flow_lifetime Maximum lifetime of a flow.
/// @param now Current time.
/// @return Whether flows may be open that were opened while the route led to
/// the service.
auto MayHaveOpenFlows(const FormerService& former,
                      Duration flow_lifetime,
                      TimePoint now) -> bool;

/// Tells whether a history contains every service at which a flow can be open.
/// @param history The history.
/// @param confirmed_at When the routes in force were last confirmed as the
/// newest ones.
/// @param max_routes_age Time since `confirmed_at` from which newer routes may
/// be in force elsewhere.
/// @param flow_lifetime Maximum lifetime of a flow.
/// @param now Current time.
/// @return Whether all routes of the last `flow_lifetime` are known.
auto CoversFlowLifetime(const RouteHistory& history,
                        TimePoint confirmed_at,
                        Duration max_routes_age,
                        Duration flow_lifetime,
                        TimePoint now) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ROUTE_HISTORY_H_
