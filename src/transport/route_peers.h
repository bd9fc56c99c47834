#ifndef HAWTHORNBANK_SRC_TRANSPORT_ROUTE_PEERS_H_
#define HAWTHORNBANK_SRC_TRANSPORT_ROUTE_PEERS_H_

#include <functional>
#include <memory>
#include <string>

#include "hawthornbank/route_follower.h"
#include "hawthornbank/routes.h"
#include "protocol/node_message.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

/// @file
/// Exchange of routes between balancers and agents: a process fetches the
/// routes from a peer that has a newer version.
namespace hawthornbank::transport {

class NodeHost;

/// Timeout of a fetch of a peer's routes. The routes take up to 256 KB.
inline constexpr Duration kPeerFetchTimeout = std::chrono::milliseconds{800};

/// Serves this process's routes to peers and fetches newer routes from them.
class RoutePeers {
 public:
  /// Receives the routes that were fetched from a peer.
  using RoutesHandler =
      std::function<void(const RouteSet& routes, const std::string& document)>;

  /// @param host Node host of this process.
  /// @param follower Receives the routes versions that peers announce; must
  /// outlive this object.
  /// @param on_routes Called with the routes of each successful fetch.
  RoutePeers(NodeHost& host, RouteFollower& follower, RoutesHandler on_routes);

  /// Records the routes version that a peer reports and fetches routes from a
  /// peer if a peer has a newer version and a fetch is due.
  /// @param peer Control endpoint of the peer.
  /// @param report The peer's report.
  /// @param in_force Version of this process's routes.
  /// @param now Current time.
  /// @return Whether the report confirmed this process's routes at a later time
  /// than was known.
  auto OnPeerReport(Endpoint peer,
                    const RoutesReport& report,
                    std::uint64_t in_force,
                    TimePoint now) -> bool;

  /// Fetches routes from the peer with the newest version, if that version is
  /// newer than `in_force` and a fetch is due.
  /// @param in_force Version of this process's routes.
  /// @param now Current time.
  auto FetchRoutesFromPeer(std::uint64_t in_force, TimePoint now) -> void;

  /// Sets the routes document that this process serves to peers.
  /// @param document JSON text of the routes, as the platform stores them.
  auto SetRoutesDocument(std::string document) -> void;

 private:
  auto AnswerRoutesRequest(const HttpServerRequest& call) const
      -> HttpServerResponse;

  NodeHost& host_;
  RouteFollower& follower_;
  RoutesHandler on_routes_;
  std::unique_ptr<HttpClient> client_;
  std::string document_;
  HttpServer server_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_ROUTE_PEERS_H_
