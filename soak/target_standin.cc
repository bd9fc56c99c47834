#include "soak/target_standin.h"

#include <fmt/format.h>

#include <algorithm>
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

constexpr std::chrono::milliseconds kAgentCallTimeout{1000};
constexpr std::uint32_t kMinWorkMs = 5;
constexpr std::uint32_t kWorkSpreadMs = 30;
// Maximum difference between the first acknowledgement from a caller and the
// target's initial sequence number. A larger difference means that the caller
// acknowledges bytes of another target.
constexpr std::uint32_t kMaxAcknowledgementLead = 76'800;

auto FormatInstanceId(std::uint32_t host) -> std::string {
  return "t-" + std::to_string(host & 0xFF);
}

// Returns the current time by the target's clock in milliseconds. Two starts
// with the same time would be one start, so a time that equals `last` is
// increased.
auto ComputeNextStartTimeMs(std::uint64_t last, Duration clock_offset)
    -> std::uint64_t {
  const auto now = static_cast<std::uint64_t>(
      (GetWallTime().time_since_epoch() +
       std::chrono::duration_cast<std::chrono::milliseconds>(clock_offset))
          .count());
  return now == last ? last + 1 : now;
}

}  // namespace

TargetStandin::TargetStandin(asio::io_context& io,
                             std::uint32_t host,
                             const HostPorts& ports,
                             std::string service,
                             std::string zone,
                             std::chrono::milliseconds heartbeat_interval,
                             TargetEvents events)
    : io_(io),
      outbound_{.address = host, .port = ports.outbound},
      app_{.address = host, .port = ports.app},
      control_{.address = host, .port = ports.control},
      socket_(io, app_),
      client_(io, control_),
      heartbeat_timer_(io),
      heartbeat_interval_(heartbeat_interval),
      events_(std::move(events)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      instance_id_(FormatInstanceId(host)),
      random_{host},
      start_time_ms_(ComputeNextStartTimeMs(0, {})) {
  socket_.StartReceiving(
      [this](Endpoint, ByteView bytes) { OnPacketReceived(bytes); });
  SendHeartbeat();
}

auto TargetStandin::CrashTarget() -> void {
  is_alive_ = false;
  flows_.clear();
  client_.CancelCallInFlight();
}

auto TargetStandin::RestartTarget(const std::string& service) -> void {
  flows_.clear();
  service_ = service;
  is_alive_ = true;
  is_draining_ = false;
  is_unresponsive_ = false;
  drain_acknowledged_at_ = {};
  end_acknowledged_at_ = {};
  heartbeat_sequence_ = 0;
  warm_at_ = GetMonotonicTime() + warmup_time_;
  start_time_ms_ = ComputeNextStartTimeMs(start_time_ms_, clock_offset_);
}

auto TargetStandin::TakeOverAddress(const std::string& service,
                                    bool has_same_id) -> void {
  RestartTarget(service);
  if (!has_same_id) {
    instance_id_ =
        FormatInstanceId(app_.address) + '-' + std::to_string(start_time_ms_);
  }
  SendHeartbeat();
}

auto TargetStandin::PrepareLateHeartbeat() const -> std::function<void()> {
  return [&io = io_, control = control_,
          request = MakeHeartbeat(heartbeat_sequence_ + 1)] {
    const auto client = std::make_shared<transport::HttpClient>(io, control);
    client->SendHttpRequest(request, kAgentCallTimeout,
                            [client](const HttpResponse&) {});
  };
}

auto TargetStandin::StartDraining() -> void {
  is_draining_ = true;
}

auto TargetStandin::ShutDownTarget() -> void {
  CrashTarget();
  client_.SendHttpRequest(MakeDeregistration(), kAgentCallTimeout,
                          [this](const HttpResponse& reply) {
                            if (!is_alive_ && reply.status / 100 == 2) {
                              end_acknowledged_at_ = GetMonotonicTime();
                            }
                          });
}

auto TargetStandin::MakeDeregistration() const -> HttpRequest {
  return HttpRequest{.method = "DELETE",
                     .target = "/api/instances/" + instance_id_};
}

auto TargetStandin::SetTargetUnresponsive(bool unresponsive) -> void {
  if (is_unresponsive_ && !unresponsive) {
    responsive_since_ = GetMonotonicTime();
  }
  is_unresponsive_ = unresponsive;
}

auto TargetStandin::HoldsOpenFlow(const FlowKey& flow,
                                  std::uint32_t opening_sequence) const
    -> bool {
  const auto it = flows_.find(flow);
  if (!is_alive_ || it == flows_.end()) {
    return false;
  }
  const auto held = it->second.find(opening_sequence);
  return held != it->second.end() && held->second.is_open;
}

// Returns null for an unknown flow. Callers don't count the bytes that they
// send: all packets after the opening have the sequence number that follows the
// opening's.
auto TargetStandin::FindFlow(const FlowPacket& packet) -> Flow* {
  FlowsOfPort& flows = flows_[ExtractCallerFlowKey(packet)];
  const auto it = flows.find(packet.sequence - 1);
  return it == flows.end() ? nullptr : &it->second;
}

auto TargetStandin::MakeHeartbeat(std::uint64_t sequence) const -> HttpRequest {
  const auto warmup = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(warm_at_ - GetMonotonicTime(), Duration{}));
  const nlohmann::json body = {
      {"service",
       plants_.reported_service.empty() ? service_ : plants_.reported_service},
      {"addr", ToString(app_)},
      {"zone", zone_},
      {"version", "v1"},
      {"slots", 3},
      {"state", is_draining_ ? "draining" : "ready"},
      {"warmup_ms", warmup.count()},
      {"seq", sequence},
      {"born", start_time_ms_}};
  return HttpRequest{.method = "PUT",
                     .target = "/api/instances/" + instance_id_,
                     .body = body.dump()};
}

auto TargetStandin::SendHeartbeat() -> void {
  if (is_alive_ && !client_.HasCallInFlight()) {
    const bool is_draining = is_draining_;
    client_.SendHttpRequest(
        MakeHeartbeat(++heartbeat_sequence_), kAgentCallTimeout,
        [this, is_draining](const HttpResponse& reply) {
          if (is_draining && is_draining_ && reply.status == 200 &&
              drain_acknowledged_at_ == TimePoint{}) {
            drain_acknowledged_at_ = GetMonotonicTime();
          }
        });
  }
  heartbeat_timer_.expires_after(heartbeat_interval_);
  heartbeat_timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec) {
      SendHeartbeat();
    }
  });
}

auto TargetStandin::OnPacketReceived(ByteView bytes) -> void {
  const auto packet = platform::DecodeFlowPacket(bytes);
  if (!packet.has_value() || !HasValidChecksum(bytes) ||
      (packet->is_opening && packet->has_acknowledgement)) {
    events_.on_forged_packet_received(
        packet.value_or(FlowPacket{}),
        fmt::format("packet of {} bytes that isn't as a caller wrote it",
                    bytes.size()));
    return;
  }
  if (!is_alive_ && packet->is_opening && end_acknowledged_at_ != TimePoint{}) {
    events_.on_opening_received(*packet, false);
  }
  if (!is_alive_ || is_unresponsive_) {
    return;
  }
  if (packet->is_opening) {
    const auto [it, added] =
        flows_[ExtractCallerFlowKey(*packet)].try_emplace(packet->sequence);
    events_.on_opening_received(*packet, !added);
    if (added) {
      it->second.sequence = static_cast<std::uint32_t>(random_());
    }
    SendPacket(FlowPacket{.source = packet->destination,
                          .destination = packet->source,
                          .is_opening = true,
                          .has_acknowledgement = true,
                          .sequence = it->second.sequence,
                          .acknowledgement = packet->sequence + 1},
               0);
    return;
  }
  Flow* const flow = FindFlow(*packet);
  const bool holds_flow =
      flow != nullptr &&
      (flow->is_open ||
       packet->acknowledgement - flow->sequence <= kMaxAcknowledgementLead);
  events_.on_flow_packet_received(*packet, holds_flow);
  if (!holds_flow) {
    if (!plants_.swallows_unknown) {
      socket_.SendDatagram(outbound_, MarkPacketAsReturned(bytes));
    }
    return;
  }
  flow->is_open = true;
  if (packet->is_reset || packet->is_finish) {
    flows_[ExtractCallerFlowKey(*packet)].erase(packet->sequence - 1);
    return;
  }
  const std::uint64_t request = ReadRequestNumber(bytes);
  if (request != 0) {
    OnRequestReceived(*packet, *flow, request);
  }
}

auto TargetStandin::OnRequestReceived(const FlowPacket& packet,
                                      Flow& flow,
                                      std::uint64_t request) -> void {
  if (flow.running_request == request || request < flow.last_executed) {
    return;  // Copy of the running request or of an earlier request.
  }
  if (flow.last_executed == request) {
    SendAnswer(packet, request);
    return;
  }
  flow.running_request = request;
  events_.on_request_executed(packet, request);
  const auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(
      std::chrono::milliseconds{kMinWorkMs + random_() % kWorkSpreadMs});
  timer->async_wait(
      [this, timer, packet, request,
       start_time_ms = start_time_ms_](const asio::error_code& ec) {
        Flow* const answered = FindFlow(packet);
        if (ec || !is_alive_ || start_time_ms != start_time_ms_ ||
            answered == nullptr) {
          return;
        }
        answered->running_request = 0;
        answered->last_executed = request;
        SendAnswer(packet, request);
      });
}

auto TargetStandin::SendAnswer(const FlowPacket& packet, std::uint64_t request)
    -> void {
  if (is_unresponsive_) {
    return;
  }
  SendPacket(FlowPacket{.source = packet.destination,
                        .destination = packet.source,
                        .has_acknowledgement = true,
                        .is_finish = is_draining_,
                        .sequence = packet.acknowledgement,
                        // Callers' later requests have the same number.
                        .acknowledgement = packet.sequence},
             request + plants_.answer_offset);
}

auto TargetStandin::SendPacket(const FlowPacket& packet, std::uint64_t request)
    -> void {
  socket_.SendDatagram(outbound_,
                       EncodeFlowPacket(packet, Payload{.request = request}));
}

}  // namespace hawthornbank::soak
