#include "transport/node_name_peers.h"

#include "hawthornbank/error.h"
#include "protocol/service_names_codec.h"
#include "transport/clock.h"
#include "transport/node_host.h"

namespace hawthornbank::transport {
namespace {

constexpr const char* kServiceNamesType =
    "application/x-hawthornbank-service-names";
constexpr Duration kNamesDeadline = std::chrono::seconds{10};
constexpr int kOk = 200;

static_assert(kMaxServiceNames <= kMaxEncodedNames);

}  // namespace

NamePeers::NamePeers(NodeHost& host) : host_(host) {}

auto NamePeers::OnPeerRoutes(Endpoint peer,
                             const RouteSet& routes,
                             TimePoint now) -> void {
  unnamed_.clear();
  for (const auto& [address, route] : routes.routes) {
    for (const auto& it : route.shares) {
      unnamed_.push_back(it.service);
    }
  }
  ForgetNamedServices();
  if (!unnamed_.empty()) {
    peer_ = peer;
    next_call_at_ = now + kNamesDelay;
    calls_left_ = kMaxNamesCalls;
  }
}

auto NamePeers::ForgetNamedServices() -> void {
  const auto& names = host_.service_names().names;
  std::erase_if(unnamed_, [&](std::uint32_t it) { return names.contains(it); });
}

auto NamePeers::AskIfDue(TimePoint now) -> void {
  if (client_ != nullptr && client_->HasCallInFlight()) {
    return;
  }
  client_.reset();  // The peer has few connections, which routes need too.
  if (unnamed_.empty() || calls_left_ == 0 || now < next_call_at_) {
    return;
  }
  --calls_left_;
  next_call_at_ = now + kNamesPause;
  client_ = std::make_unique<HttpClient>(host_.io_context(), peer_);
  client_->SendHttpRequest(
      HttpRequest{.target = kServiceNamesPath, .accept = kServiceNamesType},
      kNamesDeadline,
      [this](const HttpResponse& reply) { OnNamesResponse(reply); });
}

auto NamePeers::OnNamesResponse(const HttpResponse& reply) -> void {
  if (reply.status != kOk || reply.type != kServiceNamesType) {
    return;  // The routes are in use without names; a later call may succeed.
  }
  try {
    host_.LearnPeerServiceNames(DecodeServiceNames(reply.body));
    ForgetNamedServices();
  } catch (const Error& error) {
    host_.event_log().WriteEvent(
        EventKind::kMalformedInput, GetMonotonicTime(),
        "service_names_malformed peer={} reason=\"{}\"", ToString(peer_),
        error.what());
  }
}

auto NamePeers::AnswerNamesRequest() const -> HttpServerResponse {
  return HttpServerResponse{
      .type = kServiceNamesType,
      .body = EncodeServiceNames(host_.service_names().names)};
}

}  // namespace hawthornbank::transport
