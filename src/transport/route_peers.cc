#include "transport/route_peers.h"

#include <fmt/format.h>

#include <utility>

#include "hawthornbank/error.h"
#include "protocol/route_codec.h"
#include "transport/clock.h"
#include "transport/node_host.h"

namespace hawthornbank::transport {
namespace {

constexpr const char* kRoutesPath = "/routes";
// A peer of an older build sends JSON, whatever is accepted.
constexpr const char* kAcceptedTypes =
    "application/x-hawthornbank-route-set-with-history, "
    "application/x-hawthornbank-route-set;q=0.8, application/json;q=0.5";
constexpr int kOk = 200;
constexpr int kNotFound = 404;

auto CountMilliseconds(Duration time) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}  // namespace

auto FormatRouteFetchMetrics(const RouteFetchCounts& counts) -> std::string {
  return fmt::format(
      "hawthornbank_route_fetches_total{{outcome=\"completed\"}} {}\n"
      "hawthornbank_route_fetches_total{{outcome=\"failed\"}} {}\n"
      "hawthornbank_route_fetches_total{{outcome=\"late\"}} {}\n"
      "hawthornbank_route_fetches_total{{outcome=\"cancelled\"}} {}\n"
      "hawthornbank_route_fetch_bytes_total {}\n",
      counts.completed, counts.failed, counts.late, counts.cancelled,
      counts.bytes);
}

RoutePeers::RoutePeers(NodeHost& host,
                       RouteFollower& follower,
                       RoutesHandler on_routes)
    : host_(host),
      follower_(follower),
      on_routes_(std::move(on_routes)),
      fetches_(host.io_context(), follower.peer_fetches),
      names_(host),
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
  MarkLateFetches(now);
  names_.AskIfDue(now);
  const auto id = BeginPeerFetchIfDue(follower_, in_force, now);
  if (!id.has_value()) {
    return;
  }
  const Endpoint peer = follower_.peer;
  host_.event_log().WriteEvent(EventKind::kStateChange, now,
                               "routes_asked peer={} version={} in_force={}",
                               ToString(peer), follower_.peer_version,
                               in_force);
  fetches_.SendRequest(
      *id, peer, HttpRequest{.target = kRoutesPath, .accept = kAcceptedTypes},
      [this, id = *id, peer](const HttpResponse& reply) {
        OnFetchResponse(id, peer, reply);
      });
}

auto RoutePeers::MarkLateFetches(TimePoint now) -> void {
  fetches_.RecordProgress(now);
  const LateCalls changes = MarkLateCalls(follower_.peer_fetches, now);
  fetches_.ApplyLateCalls(changes);
  fetch_counts_.late += changes.late.size();
  fetch_counts_.cancelled += changes.cancelled.size();
  for (const auto& it : changes.late) {
    host_.event_log().WriteEvent(
        EventKind::kStateChange, now, "routes_fetch_late bytes={} took_ms={}",
        it.received_bytes, CountMilliseconds(now - it.started));
  }
}

auto RoutePeers::OnFetchResponse(CallId id,
                                 Endpoint peer,
                                 const HttpResponse& reply) -> void {
  const TimePoint now = GetMonotonicTime();
  const auto call = EndPendingCall(follower_.peer_fetches, id);
  auto routes = DecodeFetchedRoutes(reply, now);
  ++(routes.has_value() ? fetch_counts_.completed : fetch_counts_.failed);
  fetch_counts_.bytes += reply.received_bytes;
  host_.event_log().WriteEvent(
      EventKind::kStateChange, now,
      "routes_fetch_ended peer={} done={} status={} reason=\"{}\" bytes={} "
      "took_ms={}",
      ToString(peer), routes.has_value(), reply.status, reply.failure,
      reply.received_bytes,
      CountMilliseconds(call.has_value() ? now - call->started : Duration{}));
  if (routes.has_value()) {
    names_.OnPeerRoutes(peer, routes->routes, now);
    on_routes_(routes->routes, std::move(routes->document));
  }
}

auto RoutePeers::DecodeFetchedRoutes(const HttpResponse& reply,
                                     TimePoint now) const
    -> std::optional<FetchedRoutes> {
  if (reply.status != kOk) {
    return std::nullopt;
  }
  try {
    if (reply.type == kRoutesWithHistoryType) {
      auto [encoded, history] = DecodeRoutesWithHistory(reply.body, now);
      RouteSet routes = DecodeRoutes(encoded);
      routes.history = history;
      return FetchedRoutes{.routes = std::move(routes),
                           .document = {.encoded = std::move(encoded),
                                        .history = std::move(history)}};
    }
    if (reply.type == kEncodedRoutesType) {
      return FetchedRoutes{.routes = DecodeRoutes(reply.body),
                           .document = {.encoded = reply.body}};
    }
  } catch (const Error& error) {
    host_.event_log().WriteEvent(EventKind::kMalformedInput, now,
                                 "routes_malformed reason=\"{}\"",
                                 error.what());
    return std::nullopt;
  }
  auto routes = host_.codec().decode_routes_document(reply.body);
  if (!routes.has_value()) {
    return std::nullopt;
  }
  RoutesDocument document{.encoded = EncodeRoutes(*routes), .json = reply.body};
  return FetchedRoutes{.routes = std::move(*routes),
                       .document = std::move(document)};
}

auto RoutePeers::SetRoutesDocument(RoutesDocument document) -> void {
  document_ = std::move(document);
}

auto RoutePeers::AnswerRoutesRequest(const HttpServerRequest& call) const
    -> HttpServerResponse {
  if (call.target == kServiceNamesPath) {
    return names_.AnswerNamesRequest();
  }
  if (call.target != kRoutesPath || document_.encoded.empty()) {
    return HttpServerResponse{.status = kNotFound};
  }
  if (call.accept.find(kRoutesWithHistoryType) != std::string::npos) {
    return HttpServerResponse{
        .type = kRoutesWithHistoryType,
        .body = EncodeRoutesWithHistory(document_.encoded, document_.history,
                                        GetMonotonicTime())};
  }
  if (call.accept.find(kEncodedRoutesType) != std::string::npos) {
    return HttpServerResponse{.type = kEncodedRoutesType,
                              .body = document_.encoded};
  }
  return document_.json.empty() ? HttpServerResponse{.status = kNotFound}
                                : HttpServerResponse{.body = document_.json};
}

}  // namespace hawthornbank::transport
