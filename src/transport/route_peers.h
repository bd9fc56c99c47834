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
/// Routes between processes: what one has in force is fetched by those that
/// have an older version.
namespace hawthornbank::transport {

class NodeHost;

/// Longest time for a peer's routes; the largest take 256 KB.
inline constexpr Duration kPeerTime = std::chrono::milliseconds{800};

/// Passes routes on and fetches newer ones.
class RoutePeers {
 public:
  /// Puts routes in force if they are newer.
  using Adopter =
      std::function<void(const RouteSet& routes, const std::string& document)>;

  /// @param host The process.
  /// @param follower What is known of peers' versions; outlives this.
  /// @param adopt Called for each set that a peer passes on.
  RoutePeers(NodeHost& host, RouteFollower& follower, Adopter adopt);

  /// Takes a peer's word of its version, and fetches it when it is newer.
  /// @param announce The peer's announce.
  /// @param in_force The own version.
  /// @param now The present instant.
  auto OnAnnounce(const HostAnnounce& announce,
                  std::uint64_t in_force,
                  TimePoint now) -> void;

  /// Fetches from a peer if that is due.
  /// @param in_force The own version.
  /// @param now The present instant.
  auto Fetch(std::uint64_t in_force, TimePoint now) -> void;

  /// @param document What is in force, as the platform wrote it.
  auto SetDocument(std::string document) -> void;

 private:
  auto Answer(const HttpCall& call) const -> HttpAnswer;

  NodeHost& host_;
  RouteFollower& follower_;
  Adopter adopt_;
  std::unique_ptr<HttpClient> client_;
  std::string document_;
  HttpServer server_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_ROUTE_PEERS_H_
