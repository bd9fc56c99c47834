#ifndef HAWTHORNBANK_SRC_TRANSPORT_ROUTE_PEERS_H_
#define HAWTHORNBANK_SRC_TRANSPORT_ROUTE_PEERS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "hawthornbank/route_follower.h"
#include "hawthornbank/routes.h"
#include "protocol/node_message.h"
#include "transport/call_pool.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/node_name_peers.h"

/// @file
/// Exchange of routes between balancers and agents: a process fetches the
/// routes from a peer that has a newer version.
namespace hawthornbank::transport {

class NodeHost;

/// Number of fetches by how they ended, and what they received.
struct RouteFetchCounts {
  std::uint64_t completed = 0;  ///< The whole document arrived.
  std::uint64_t failed = 0;     ///< The peer refused or the connection broke.
  std::uint64_t late = 0;       ///< Still pending when another could start.
  std::uint64_t cancelled = 0;  ///< Late, and no longer worth waiting for.
  std::uint64_t bytes = 0;      ///< Received by all of them.
};

/// @param counts Counts of a process's fetches.
/// @return The counts in the format of metrics.
auto FormatRouteFetchMetrics(const RouteFetchCounts& counts) -> std::string;

/// Media type of the output of EncodeRoutes().
inline constexpr const char* kEncodedRoutesType =
    "application/x-hawthornbank-route-set";

/// Media type of the output of EncodeRoutesWithHistory().
inline constexpr const char* kRoutesWithHistoryType =
    "application/x-hawthornbank-route-set-with-history";

/// A version of the routes as peers fetch it.
struct RoutesDocument {
  std::string encoded;  ///< Output of EncodeRoutes().
  /// JSON text, as the platform stores it, for peers of an older build; empty
  /// if the routes came from a peer that sent them encoded.
  std::string json;
  RouteHistory history;  ///< Former services that are sent with the routes.
};

/// Serves this process's routes to peers and fetches newer routes from them.
class RoutePeers {
 public:
  /// Receives the routes that were fetched from a peer.
  using RoutesHandler =
      std::function<void(const RouteSet& routes, RoutesDocument document)>;

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
  /// newer than `in_force` and a fetch is due. Also finds late fetches, so it
  /// is to be called often while one is pending.
  /// @param in_force Version of this process's routes.
  /// @param now Current time.
  auto FetchRoutesFromPeer(std::uint64_t in_force, TimePoint now) -> void;

  /// Sets the routes that this process serves to peers.
  /// @param document The routes.
  auto SetRoutesDocument(RoutesDocument document) -> void;

  /// @return Counts of this process's fetches.
  [[nodiscard]] auto fetch_counts() const -> const RouteFetchCounts& {
    return fetch_counts_;
  }

 private:
  auto MarkLateFetches(TimePoint now) -> void;
  auto OnFetchResponse(CallId id, Endpoint peer, const HttpResponse& reply)
      -> void;
  struct FetchedRoutes {
    RouteSet routes;
    RoutesDocument document;
  };

  [[nodiscard]] auto DecodeFetchedRoutes(const HttpResponse& reply,
                                         TimePoint now) const
      -> std::optional<FetchedRoutes>;
  auto AnswerRoutesRequest(const HttpServerRequest& call) const
      -> HttpServerResponse;

  NodeHost& host_;
  RouteFollower& follower_;
  RoutesHandler on_routes_;
  CallPool fetches_;
  RouteFetchCounts fetch_counts_;
  RoutesDocument document_;
  NamePeers names_;
  HttpServer server_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_ROUTE_PEERS_H_
