#ifndef HAWTHORNBANK_ROUTES_H_
#define HAWTHORNBANK_ROUTES_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Which service a caller's address leads to, at one version of the routes.
namespace hawthornbank {

/// A part of a route's new flows.
struct ServiceShare {
  std::uint32_t service = 0;  ///< HashName of its name.
  std::uint32_t weight = 1;
};

/// Where new flows to one address go.
struct Route {
  std::string name;
  std::vector<ServiceShare> shares;
};

/// All routes at one version.
struct RouteSet {
  std::uint64_t version = 0;  ///< 0: none known yet.
  std::unordered_map<Endpoint, Route> routes;
  Duration idle_timeout = std::chrono::seconds{15};
};

/// Finds the route of an address.
/// @param routes The routes in force.
/// @param address The address that a caller uses.
/// @return The route, or null.
auto FindRoute(const RouteSet& routes, Endpoint address) -> const Route*;

/// Chooses the service of a new flow.
/// @param route The flow's route.
/// @param flow_hash HashFlow of the flow; the same flow gets the same service.
/// @return The service, or 0 when the route leads nowhere.
auto ChooseService(const Route& route, std::uint64_t flow_hash)
    -> std::uint32_t;

/// Puts routes in force unless they are older. A version never goes back.
/// @param in_force The routes in force.
/// @param offered Other routes.
/// @return Whether they were newer.
auto PutInForce(RouteSet& in_force, RouteSet offered) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ROUTES_H_
