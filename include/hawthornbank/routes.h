#ifndef HAWTHORNBANK_ROUTES_H_
#define HAWTHORNBANK_ROUTES_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "hawthornbank/route_history.h"
#include "hawthornbank/store_position.h"
#include "hawthornbank/types.h"

/// @file
/// Routes: which service handles the flows to an address that callers use.
namespace hawthornbank {

/// Share of a route's new flows that one service gets.
struct ServiceShare {
  std::uint32_t service = 0;  ///< HashName of the service's name.
  std::uint32_t weight = 1;
};

/// What callers of a route expect of the requests on its flows.
struct RequestTerms {
  std::uint8_t priority = 0;  ///< 0 is the most urgent.
  /// Requests are idempotent: a caller may send one again, whatever became of
  /// the first try.
  bool is_repeatable = false;
  Duration goal{};     ///< Time in which an answer is useful; 0: unknown.
  Duration timeout{};  ///< Time after which nobody waits; 0: unknown.

  auto operator==(const RequestTerms&) const -> bool = default;
};

/// An address and the services that get its new flows.
struct Route {
  std::vector<ServiceShare> shares;
  RequestTerms terms;
};

/// What is configured of a service.
struct ServiceSettings {
  /// Requests that a cold target bears in a second; 0: no limit.
  double warmup_requests_per_second = 0;
};

/// All routes of one version.
struct RouteSet {
  std::uint64_t version = 0;  ///< 0 when no routes are known yet.
  std::unordered_map<Endpoint, Route> routes;
  /// By HashName of the service's name. Services without settings of their own
  /// aren't listed.
  std::unordered_map<std::uint32_t, ServiceSettings> services;
  /// Names of the routes' services by HashName, for logs; empty if the routes
  /// came from a peer, which sends hashes only.
  std::unordered_map<std::uint32_t, std::string> service_names;
  Duration idle_timeout = std::chrono::seconds{15};
  /// Services that the routes led to before. Of offered routes: what the peer
  /// that sent them knows; empty if they were read from the store.
  RouteHistory history;
  /// Position of the store at its last change of the routes, and the latest
  /// position at which the routes were read; zero if they came from a peer.
  StorePosition changed_at;
  StorePosition read_at;
};

/// Finds the route of an address that callers use.
/// @param routes The routes in force.
/// @param address Destination address of a flow.
/// @return The route, or null when the address has none.
auto FindRoute(const RouteSet& routes, Endpoint address) -> const Route*;

/// Chooses the service of a new flow.
/// @param route The flow's route.
/// @param flow_hash HashFlow of the flow; the same hash gives the same service.
/// @return The service, or 0 when the weights of the route's services sum to 0.
auto ChooseService(const Route& route, std::uint64_t flow_hash)
    -> std::uint32_t;

/// @param route A route.
/// @param service A service.
/// @return Whether the route leads new flows to the service.
auto LeadsToService(const Route& route, std::uint32_t service) -> bool;

/// Replaces the routes in force if the offered routes have a larger version.
/// The version in force never decreases. Services that a route no longer leads
/// to are added to the history, which is complete only if no version between
/// the two can have been missed, or from the time on that the sender tells.
/// @param in_force The routes in force.
/// @param offered Routes from the store or from a peer.
/// @param flow_lifetime Maximum lifetime of a flow.
/// @param now Current time.
/// @return Whether the routes in force were replaced.
auto ReplaceRoutesIfNewer(RouteSet& in_force,
                          RouteSet offered,
                          Duration flow_lifetime,
                          TimePoint now) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ROUTES_H_
