#ifndef HAWTHORNBANK_SOAK_STORE_STANDIN_H_
#define HAWTHORNBANK_SOAK_STORE_STANDIN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hawthornbank/types.h"
#include "transport/http_server.h"

/// @file
/// The platform's store: objects by kind and name, and a revision that grows.
namespace hawthornbank::soak {

/// An address and the service that it leads to.
struct StoredRoute {
  Endpoint address;
  std::string service;
};

/// What the store holds.
struct StoreStandin {
  std::uint64_t revision = 10;
  std::uint64_t version = 0;  ///< Of the configuration.
  std::vector<StoredRoute> routes;
  /// Kinds of the system's own: text of each object by name.
  std::map<std::string, std::map<std::string, std::string>> kinds;
  bool busy = false;  ///< Answers 503.
};

/// Puts a configuration in.
/// @param store The store.
/// @param routes Its routes.
/// @return Its version.
auto Configure(StoreStandin& store, std::vector<StoredRoute> routes)
    -> std::uint64_t;

/// Takes the objects of the system's own kinds away.
/// @param store The store.
auto Lapse(StoreStandin& store) -> void;

/// @param store The store.
/// @param call A call.
/// @return Its answer.
auto AnswerCall(StoreStandin& store, const transport::HttpServerRequest& call)
    -> transport::HttpServerResponse;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_STORE_STANDIN_H_
