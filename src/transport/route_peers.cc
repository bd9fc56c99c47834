#include "transport/route_peers.h"

#include <utility>

#include "transport/node_host.h"

namespace hawthornbank::transport {
namespace {

constexpr const char* kRoutesPath = "/routes";
constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

RoutePeers::RoutePeers(NodeHost& host,
                       RouteFollower& follower,
                       RoutesHandler on_routes)
    : host_(host),
      follower_(follower),
      on_routes_(std::move(on_routes)),
      server_(host.io_context(),
              host.settings().control,
              [this](const HttpServerRequest& call) {
                return AnswerRoutesRequest(call);
              }) {}

auto RoutePeers::OnPeerReport(Endpoint peer,
                              const RoutesReport& report,
                              std::uint64_t in_force,
                              TimePoint now) -> bool {
  const bool is_confirmed = OnPeerRoutesVersion(
      follower_, peer, report.version, std::chrono::milliseconds{report.age_ms},
      in_force, now);
  FetchRoutesFromPeer(in_force, now);
  return is_confirmed;
}

auto RoutePeers::FetchRoutesFromPeer(std::uint64_t in_force, TimePoint now)
    -> void {
  if (!BeginPeerFetchIfDue(follower_, in_force, now)) {
    return;
  }
  host_.event_log().WriteEvent(EventKind::kStateChange, now,
                               "routes_asked peer={} version={} in_force={}",
                               ToString(follower_.peer), follower_.peer_version,
                               in_force);
  client_ = std::make_unique<HttpClient>(host_.io_context(), follower_.peer);
  client_->SendHttpRequest(
      HttpRequest{.target = kRoutesPath}, kPeerFetchTimeout,
      [this](const HttpResponse& reply) {
        const auto routes =
            reply.status == kOk
                ? host_.codec().decode_routes_document(reply.body)
                : std::nullopt;
        if (routes.has_value()) {
          on_routes_(*routes, reply.body);
        }
      });
}

auto RoutePeers::SetRoutesDocument(std::string document) -> void {
  document_ = std::move(document);
}

auto RoutePeers::AnswerRoutesRequest(const HttpServerRequest& call) const
    -> HttpServerResponse {
  if (call.target != kRoutesPath || document_.empty()) {
    return HttpServerResponse{.status = kNotFound};
  }
  return HttpServerResponse{.body = document_};
}

}  // namespace hawthornbank::transport
