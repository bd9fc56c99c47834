#include "soak/target_standin.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "packet_head.h"
#include "soak/packets.h"
#include "transport/clock.h"

namespace hawthornbank::soak {
namespace {

using transport::GetMonotonicTime;
using transport::GetWallTime;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr std::chrono::milliseconds kBeatInterval{200};
constexpr std::chrono::milliseconds kBeatTime{1000};
constexpr std::uint32_t kShortestWork = 5;  // Milliseconds.
constexpr std::uint32_t kWorkSpread = 30;
// A caller's acknowledgement is this far above the number it acknowledges.
constexpr std::uint32_t kWindow = 76'800;

auto IdOf(std::uint32_t host) -> std::string {
  return "t-" + std::to_string(host & 0xFF);
}

// Start times are whole milliseconds and grow.
auto NextBorn(std::uint64_t last) -> std::uint64_t {
  const auto now =
      static_cast<std::uint64_t>(GetWallTime().time_since_epoch().count());
  return now > last ? now : last + 1;
}

}  // namespace

TargetStandin::TargetStandin(asio::io_context& io,
                             std::uint32_t host,
                             const Ports& ports,
                             std::string service,
                             TargetEvents events)
    : io_(io),
      outbound_{.address = host, .port = ports.outbound},
      app_{.address = host, .port = ports.app},
      socket_(io, app_),
      client_(io, Endpoint{.address = host, .port = ports.control}),
      beat_timer_(io),
      events_(std::move(events)),
      service_(std::move(service)),
      random_{host},
      born_(NextBorn(0)) {
  socket_.Receive([this](Endpoint, ByteView bytes) { OnPacket(bytes); });
  Beat();
}

auto TargetStandin::Crash() -> void {
  alive_ = false;
  flows_.clear();
  client_.Cancel();
}

auto TargetStandin::Restart(const std::string& service) -> void {
  service_ = service;
  alive_ = true;
  draining_ = false;
  mute_ = false;
  drain_acknowledged_ = {};
  sequence_ = 0;
  born_ = NextBorn(born_);
}

auto TargetStandin::Drain() -> void {
  draining_ = true;
}

auto TargetStandin::Depart() -> void {
  Crash();
  client_.Send(HttpRequest{.method = "DELETE",
                           .target = "/api/instances/" + IdOf(app_.address)},
               kBeatTime, [](const HttpResponse&) {});
}

auto TargetStandin::Holds(const FlowKey& flow) const -> bool {
  const auto it = flows_.find(flow);
  return alive_ && it != flows_.end() && it->second.open;
}

auto TargetStandin::Beat() -> void {
  if (alive_ && !client_.busy()) {
    const bool draining = draining_;
    const nlohmann::json body = {
        {"service", service_}, {"addr", ToString(app_)},
        {"zone", "a"},         {"version", "v1"},
        {"slots", 3},          {"state", draining ? "draining" : "ready"},
        {"warmup_ms", 0},      {"seq", ++sequence_},
        {"born", born_}};
    client_.Send(HttpRequest{.method = "PUT",
                             .target = "/api/instances/" + IdOf(app_.address),
                             .body = body.dump()},
                 kBeatTime, [this, draining](const HttpResponse& reply) {
                   if (draining && draining_ && reply.status == 200 &&
                       drain_acknowledged_ == TimePoint{}) {
                     drain_acknowledged_ = GetMonotonicTime();
                   }
                 });
  }
  beat_timer_.expires_after(kBeatInterval);
  beat_timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec) {
      Beat();
    }
  });
}

auto TargetStandin::OnPacket(ByteView bytes) -> void {
  const auto packet = platform::DecodeFlowPacket(bytes);
  if (!alive_ || mute_ || !packet.has_value()) {
    return;
  }
  const FlowKey key = ExtractCallerFlowKey(*packet);
  if (packet->opens) {
    events_.on_opening();
    const auto [it, added] = flows_.try_emplace(key);
    if (added) {
      it->second.sequence = static_cast<std::uint32_t>(random_());
    }
    Send(FlowPacket{.source = packet->destination,
                    .destination = packet->source,
                    .opens = true,
                    .acknowledges = true,
                    .sequence = it->second.sequence},
         0);
    return;
  }
  const auto it = flows_.find(key);
  const bool holds = it != flows_.end() &&
                     (it->second.open ||
                      packet->acknowledgement - it->second.sequence <= kWindow);
  if (!holds) {
    socket_.Send(outbound_, MarkReturned(bytes));
    return;
  }
  it->second.open = true;
  if (packet->resets || packet->ends) {
    flows_.erase(it);
    return;
  }
  const std::uint64_t request = RequestOf(bytes);
  if (request != 0) {
    OnRequest(*packet, it->second, request);
  }
}

auto TargetStandin::OnRequest(const FlowPacket& packet,
                              Flow& flow,
                              std::uint64_t request) -> void {
  if (flow.running == request || request < flow.answered) {
    return;  // A copy, or data that the flow has left behind.
  }
  if (flow.answered == request) {
    Answer(packet, request);
    return;
  }
  flow.running = request;
  events_.on_run(request);
  const auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(
      std::chrono::milliseconds{kShortestWork + random_() % kWorkSpread});
  timer->async_wait(
      [this, timer, packet, request, born = born_](const asio::error_code& ec) {
        const auto it = flows_.find(ExtractCallerFlowKey(packet));
        if (ec || !alive_ || born != born_ || it == flows_.end()) {
          return;
        }
        it->second.running = 0;
        it->second.answered = request;
        Answer(packet, request);
      });
}

auto TargetStandin::Answer(const FlowPacket& packet, std::uint64_t request)
    -> void {
  if (mute_) {
    return;
  }
  Send(FlowPacket{.source = packet.destination,
                  .destination = packet.source,
                  .acknowledges = true,
                  .ends = draining_,
                  .sequence = packet.acknowledgement},
       request);
}

auto TargetStandin::Send(const FlowPacket& packet, std::uint64_t request)
    -> void {
  socket_.Send(outbound_, MakePacket(packet, Payload{.request = request}));
}

}  // namespace hawthornbank::soak
