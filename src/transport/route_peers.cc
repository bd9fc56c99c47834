#include "transport/route_peers.h"

#include <utility>

#include "transport/node_host.h"

namespace hawthornbank::transport {
namespace {

constexpr const char* kRoutesPath = "/routes";
constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

RoutePeers::RoutePeers(NodeHost& host, RouteFollower& follower, Adopter adopt)
    : host_(host),
      follower_(follower),
      adopt_(std::move(adopt)),
      server_(host.io(), host.settings().control, [this](const HttpCall& call) {
        return Answer(call);
      }) {}

auto RoutePeers::OnAnnounce(const HostAnnounce& announce,
                            std::uint64_t in_force,
                            TimePoint now) -> void {
  OnPeerVersion(follower_, announce.record.control, announce.version,
                std::chrono::milliseconds{announce.version_age_ms}, in_force,
                now);
  Fetch(in_force, now);
}

auto RoutePeers::Fetch(std::uint64_t in_force, TimePoint now) -> void {
  if (!ShouldAskPeer(follower_, in_force, now)) {
    return;
  }
  host_.log().Write(EventKind::kBelief, now,
                    "routes_asked peer={} version={} in_force={}",
                    ToString(follower_.peer), follower_.peer_version, in_force);
  client_ = std::make_unique<HttpClient>(host_.io(), follower_.peer);
  client_->Send(HttpRequest{.target = kRoutesPath}, kPeerTime,
                [this](const HttpReply& reply) {
                  const auto routes =
                      reply.status == kOk
                          ? host_.codec().decode_document(reply.body)
                          : std::nullopt;
                  if (routes.has_value()) {
                    adopt_(*routes, reply.body);
                  }
                });
}

auto RoutePeers::SetDocument(std::string document) -> void {
  document_ = std::move(document);
}

auto RoutePeers::Answer(const HttpCall& call) const -> HttpAnswer {
  if (call.target != kRoutesPath || document_.empty()) {
    return HttpAnswer{.status = kNotFound};
  }
  return HttpAnswer{.body = document_};
}

}  // namespace hawthornbank::transport
