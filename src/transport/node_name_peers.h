#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_NAME_PEERS_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_NAME_PEERS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "hawthornbank/routes.h"
#include "hawthornbank/types.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

/// @file
/// Names of services for the logs of a process whose routes came from a peer:
/// routes that peers send contain hashes of names only.
namespace hawthornbank::transport {

class NodeHost;

/// Path at which a process serves the names that it knows.
inline constexpr const char* kServiceNamesPath = "/service-names";

/// Delay of the first call after the routes: names must not slow down routes
/// on a slow link, nor the start of a process.
inline constexpr Duration kNamesDelay = std::chrono::seconds{2};

/// Pause before a further call, and number of calls for one version of the
/// routes. Peers of an older build have no names.
inline constexpr Duration kNamesPause = std::chrono::seconds{20};
inline constexpr int kMaxNamesCalls = 3;

/// Asks peers for names that are missing, and serves the known ones.
class NamePeers {
 public:
  /// @param host Node host of this process.
  explicit NamePeers(NodeHost& host);

  /// Plans a call if names of the routes' services are missing.
  /// @param peer Control endpoint of the peer that sent the routes.
  /// @param routes The routes.
  /// @param now Current time.
  auto OnPeerRoutes(Endpoint peer, const RouteSet& routes, TimePoint now)
      -> void;

  /// Makes the planned call when it is due. To be called often.
  /// @param now Current time.
  auto AskIfDue(TimePoint now) -> void;

  /// @return Response to a request for kServiceNamesPath.
  [[nodiscard]] auto AnswerNamesRequest() const -> HttpServerResponse;

 private:
  auto OnNamesResponse(const HttpResponse& reply) -> void;
  auto ForgetNamedServices() -> void;

  NodeHost& host_;
  std::vector<std::uint32_t> unnamed_;  ///< Services without a name.
  Endpoint peer_;
  TimePoint next_call_at_{};
  int calls_left_ = 0;
  std::unique_ptr<HttpClient> client_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_NAME_PEERS_H_
