#ifndef HAWTHORNBANK_SOAK_STORE_STANDIN_H_
#define HAWTHORNBANK_SOAK_STORE_STANDIN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "hawthornbank/types.h"
#include "transport/http_server.h"

/// @file
/// Stand-in for the platform's store, which keeps objects by kind and name.
/// Each change of an object increases the store's revision.
namespace hawthornbank::soak {

/// A public address and the service that serves flows to the address.
struct StoredRoute {
  Endpoint address;
  std::string service;
};

/// State of the store stand-in.
struct StoreStandin {
  std::uint64_t revision = 10;
  /// `spec.version` of the object `config/main`, which holds the routes; 0: the
  /// store has no routes.
  std::uint64_t routes_version = 0;
  std::vector<StoredRoute> routes;
  /// Names of the objects `evacuations/ZONE`.
  std::set<std::string> zones_out;
  /// Idle timeout of flows in the configuration; 0: the configuration has none.
  std::chrono::milliseconds idle_timeout{};
  /// Objects of the load balancer's own kinds: JSON text by kind and name.
  std::map<std::string, std::map<std::string, std::string>>
      load_balancer_objects;
  bool is_busy = false;  ///< Whether all calls are answered with status 503.
  /// Number of entries of another writer beside the operator's, of each kind
  /// that the operator writes; their names come before the operator's.
  std::size_t other_entries = 0;
  std::size_t page_entries = 500;  ///< Maximum number of entries of a page.
};

/// Replaces the routes and increases the routes version by 2.
/// @param store The store.
/// @param routes The new routes.
/// @return Version of the new routes.
auto ReplaceRoutes(StoreStandin& store, std::vector<StoredRoute> routes)
    -> std::uint64_t;

/// Creates or deletes the operator's order that takes a zone out of service.
/// @param is_out Whether the zone is out of service from now on.
auto SetZoneOutOfService(StoreStandin& store,
                         const std::string& zone,
                         bool is_out) -> void;

/// Erases all objects of the load balancer's own kinds.
/// @param store The store.
auto EraseLoadBalancerObjects(StoreStandin& store) -> void;

/// Executes an HTTP call on the store.
/// @param store The store.
/// @param call The call.
/// @return Answer to the call.
auto ExecuteStoreCall(StoreStandin& store,
                      const transport::HttpServerRequest& call)
    -> transport::HttpServerResponse;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_STORE_STANDIN_H_
