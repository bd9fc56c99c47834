#include "soak/callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "packet_head.h"
#include "soak/packets.h"
#include "transport/clock.h"

namespace hawthornbank::soak {
namespace {

constexpr std::size_t kMaxFlows = 150;
constexpr int kFlowsPerStep = 2;
// One of so many ended flows has a late packet.
constexpr std::uint32_t kFlowsPerLatePacket = 4;
constexpr std::uint32_t kLatePacketKinds = 4;
constexpr std::chrono::milliseconds kMinPacketLateness{200};
constexpr std::uint32_t kPacketLatenessSpreadMs = 9800;
// Greatest difference between a reset's sequence number and the caller's last
// acknowledgement number, in both directions.
constexpr std::int64_t kMaxResetDistance = 76'800;
constexpr int kFlowsPerLongFlow = 8;
constexpr int kLongFlowRequests = 30;
constexpr std::chrono::milliseconds kFirstOpeningRetry{200};
constexpr std::chrono::milliseconds kSecondOpeningRetry{600};
constexpr std::chrono::milliseconds kOpeningTimeout{1400};
constexpr std::chrono::milliseconds kRequestRetryInterval{200};
constexpr std::chrono::milliseconds kMaxRequestRetryInterval{1600};
// Timeout of a request on an open flow. The timeout exceeds the longest freeze
// of a balancer or agent, so that flows survive freezes.
constexpr std::chrono::seconds kRequestTimeout{8};
constexpr std::chrono::milliseconds kMinRequestPause{100};
constexpr std::uint32_t kRequestPauseSpreadMs = 500;
constexpr std::uint32_t kLongFlowsPerPausingFlow = 6;
constexpr int kPausingFlowRequests = 3;
constexpr std::uint32_t kMinLongPauseMs = 2000;
constexpr std::uint32_t kLongPauseSpreadMs = 10'000;
// Every few pauses last longer than any constant that the load balancer may
// have in place of the configured idle timeout.
constexpr std::uint32_t kPausesPerVeryLongPause = 6;
constexpr std::uint32_t kMinVeryLongPauseMs = 31'000;
constexpr std::uint32_t kVeryLongPauseSpreadMs = 5000;

auto IsResetOfFlow(const CallerFlow& flow, std::uint32_t sequence) -> bool {
  const auto distance =
      static_cast<std::int32_t>(sequence - (flow.target_sequence + 1));
  return std::abs(std::int64_t{distance}) <= kMaxResetDistance;
}

auto DrawLongPause(Random& random) -> std::chrono::milliseconds {
  const bool is_very_long = random() % kPausesPerVeryLongPause == 0;
  return std::chrono::milliseconds{
      is_very_long ? kMinVeryLongPauseMs + random() % kVeryLongPauseSpreadMs
                   : kMinLongPauseMs + random() % kLongPauseSpreadMs};
}

}  // namespace

auto MakeFlowKey(const CallerFlow& flow, std::uint32_t caller) -> FlowKey {
  return FlowKey{.caller = {.address = caller, .port = flow.port},
                 .address = flow.route.address};
}

Callers::Callers(asio::io_context& io,
                 Endpoint local,
                 std::vector<Endpoint> balancers,
                 std::vector<CalledRoute> routes,
                 CallerPorts ports,
                 std::uint64_t seed,
                 CallerEvents events)
    : socket_(io, local),
      local_(local),
      balancers_(std::move(balancers)),
      in_rotation_(balancers_.size(), true),
      routes_(std::move(routes)),
      events_(std::move(events)),
      random_{seed},
      sequence_random_{~seed},
      ports_(std::move(ports)) {
  socket_.StartReceiving(
      [this](Endpoint, ByteView bytes) { OnPacketReceived(bytes); });
}

auto Callers::SetBalancersInRotation(std::vector<bool> in_rotation) -> void {
  in_rotation_ = std::move(in_rotation);
}

auto Callers::OpenFlowsAndSendDuePackets(TimePoint now, bool in_final_phase)
    -> void {
  in_final_phase_ = in_final_phase;
  SendLateCopies(now);
  SendLatePackets(now);
  for (int n = 0; n < kFlowsPerStep && flows_.size() < kMaxFlows; ++n) {
    OpenFlow(now, in_final_phase);
  }
  std::vector<std::uint16_t> timed_out;
  for (auto& [port, flow] : flows_) {
    if (now >= flow.next_send && !SendDuePacket(flow, now)) {
      timed_out.push_back(port);
    }
  }
  for (const auto it : timed_out) {
    FinishFlow(it, false);
  }
}

auto Callers::OpenFlow(TimePoint now, bool in_final_phase) -> void {
  CallerFlow flow{
      .route = routes_[random_() % routes_.size()],
      .port = ports_.TakePort(now),
      .opening_sequence = static_cast<std::uint32_t>(sequence_random_()),
      .in_final_phase = in_final_phase,
      .requests_left =
          random_() % kFlowsPerLongFlow == 0 ? kLongFlowRequests : 0,
      .opened_at = now,
      .first_sent = now,
      .next_send = now + kFirstOpeningRetry};
  if (flows_.contains(flow.port)) {
    return;
  }
  if (pause_random_.has_value() && flow.requests_left != 0 &&
      (*pause_random_)() % kLongFlowsPerPausingFlow == 0) {
    flow.has_long_pauses = true;
    flow.requests_left = kPausingFlowRequests;
  }
  flow.is_port_reused = ports_.NoteFlow(flow.port, flow.route.address);
  CallerFlow& added = flows_[flow.port] = std::move(flow);
  SendPacket(added, FlowPacket{.is_opening = true}, now);
}

// Sends the packet that is due on a flow: a copy of the opening packet, the
// next request or a copy of the pending request. Returns false, and sends
// nothing, when the opening or the pending request has timed out.
auto Callers::SendDuePacket(CallerFlow& flow, TimePoint now) -> bool {
  const Duration elapsed = now - flow.first_sent;
  if (!flow.is_open) {
    if (elapsed >= kOpeningTimeout) {
      return false;
    }
    ++flow.retransmissions;
    SendPacket(flow,
               FlowPacket{.is_opening = true,
                          .acknowledgement =
                              static_cast<std::uint32_t>(flow.retransmissions)},
               now);
    flow.next_send =
        flow.first_sent +
        (flow.retransmissions == 1 ? kSecondOpeningRetry : kOpeningTimeout);
    return true;
  }
  if (flow.pending_request == 0) {
    SendRequest(flow, now, in_final_phase_);
    return true;
  }
  if (elapsed >= kRequestTimeout) {
    return false;
  }
  ++flow.retransmissions;
  SendPacket(flow, FlowPacket{.has_acknowledgement = true}, now);
  flow.next_send = now + std::min(kRequestRetryInterval *
                                      (1 << std::min(flow.retransmissions, 3)),
                                  kMaxRequestRetryInterval);
  return true;
}

auto Callers::SendRequest(CallerFlow& flow, TimePoint now, bool in_final_phase)
    -> void {
  flow.pending_request = next_request_++;
  flow.in_final_phase = in_final_phase;
  flow.retransmissions = 0;
  flow.first_sent = flow.resumed_at = now;
  flow.next_send = now + kRequestRetryInterval;
  events_.on_request_sent(flow);
  SendPacket(flow, FlowPacket{.has_acknowledgement = true}, now);
}

auto Callers::SendPacket(CallerFlow& flow,
                         const FlowPacket& packet,
                         TimePoint now) -> void {
  FlowPacket head = packet;
  head.source = {.address = local_.address, .port = flow.port};
  head.destination = flow.route.address;
  head.sequence = flow.opening_sequence + (head.is_opening ? 0 : 1);
  if (head.has_acknowledgement) {
    head.acknowledgement = flow.target_sequence + 1;
  }
  const std::size_t balancer = ChooseBalancer(flow.port);
  flow.balancer_last_used[balancer] = now;
  if (DrawRandomFraction(random_) < loss_share_) {
    RecordSentPacket(flow, head, balancer, true);
    return;
  }
  RecordSentPacket(flow, head, balancer, false);
  const std::uint64_t request = head.is_opening ? 0 : flow.pending_request;
  if (head.is_opening) {
    events_.on_opening_sent(flow, head.acknowledgement, balancer);
  }
  const Bytes bytes =
      EncodeFlowPacket(head, Payload{.request = request, .filler_blocks = 2});
  if (!tap_ || tap_(head, bytes)) {
    socket_.SendDatagram(balancers_[balancer], bytes);
  }
}

auto Callers::ChooseBalancer(std::uint16_t port) const -> std::size_t {
  std::vector<std::size_t> in_use;
  for (std::size_t n = 0; n < balancers_.size(); ++n) {
    if (in_rotation_[n]) {
      in_use.push_back(n);
    }
  }
  const auto hash = std::uint32_t{port} * 2'654'435'761U >> 16U;
  // Routers use all balancers when fewer than half are in rotation.
  return in_use.size() * 2 < balancers_.size() ? hash % balancers_.size()
                                               : in_use[hash % in_use.size()];
}

auto Callers::FindFlow(const FlowKey& flow) const -> const CallerFlow* {
  const auto it = flows_.find(flow.caller.port);
  return it != flows_.end() && it->second.route.address == flow.address
             ? &it->second
             : nullptr;
}

auto Callers::OnPacketReceived(ByteView bytes) -> void {
  const auto packet = platform::DecodeFlowPacket(bytes);
  const bool is_by_load_balancer =
      packet.has_value() && IsResetByLoadBalancer(bytes);
  if (!packet.has_value() ||
      (!is_by_load_balancer && !HasValidChecksum(bytes))) {
    events_.on_forged_packet_received(
        packet.value_or(FlowPacket{}),
        fmt::format("packet of {} bytes that isn't as a target wrote it",
                    bytes.size()));
    return;
  }
  const auto it = flows_.find(packet->destination.port);
  if (it == flows_.end() || packet->source != it->second.route.address) {
    return;
  }
  CallerFlow& flow = it->second;
  RecordReceivedPacket(flow, *packet, bytes);
  if (packet->is_reset) {
    OnResetReceived(flow, *packet, is_by_load_balancer);
    return;
  }
  if (packet->is_opening) {
    const bool is_answer = packet->acknowledgement == flow.opening_sequence + 1;
    if (!flow.is_open && is_answer) {
      flow.is_open = true;
      flow.target_sequence = packet->sequence;
      flow.idle_since = transport::GetMonotonicTime();
      SendRequest(flow, flow.idle_since, in_final_phase_);
    }
    return;
  }
  const std::uint64_t answered = ReadRequestNumber(bytes);
  if (answered != 0) {
    OnAnswerReceived(flow, *packet, answered);
  }
}

auto Callers::OnResetReceived(CallerFlow& flow,
                              const FlowPacket& packet,
                              bool is_by_load_balancer) -> void {
  if (flow.is_open && flow.is_port_reused &&
      !IsResetOfFlow(flow, packet.sequence)) {
    return;  // Reset of an earlier flow of the port.
  }
  flow.was_reset = true;
  if (is_by_load_balancer) {
    (flow.is_open ? events_.on_flow_reset : events_.on_opening_reset)(flow);
  }
  FinishFlow(flow.port, false);
}

auto Callers::OnAnswerReceived(CallerFlow& flow,
                               const FlowPacket& packet,
                               std::uint64_t answered) -> void {
  events_.on_answer_received(flow, answered);
  if (flow.pending_request == 0 || answered < flow.pending_request) {
    return;  // Duplicate answer to an earlier request.
  }
  const TimePoint now = transport::GetMonotonicTime();
  if (flow.requests_left == 0 || packet.is_finish) {
    const FlowPacket end{.has_acknowledgement = true, .is_finish = true};
    flow.pending_request = 0;
    SendPacket(flow, end, now);
    FinishFlow(flow.port, true);
    return;
  }
  events_.on_request_finished(flow, true);
  --flow.requests_left;
  flow.pending_request = 0;
  flow.idle_since = flow.resumed_at = now;
  flow.next_send =
      now + (flow.has_long_pauses
                 ? DrawLongPause(*pause_random_)
                 : kMinRequestPause + std::chrono::milliseconds{
                                          random_() % kRequestPauseSpreadMs});
}

// Sends copies of the opening packets of flows that have ended, of which each
// is as late as if its flow were still to be opened.
auto Callers::SendLateCopies(TimePoint now) -> void {
  while (!late_copies_.empty() && late_copies_.begin()->first <= now) {
    CallerFlow flow = std::move(late_copies_.begin()->second);
    late_copies_.erase(late_copies_.begin());
    SendPacket(flow,
               FlowPacket{.is_opening = true,
                          .acknowledgement =
                              static_cast<std::uint32_t>(flow.retransmissions)},
               now);
  }
}

// Keeps a packet of a flow that its caller and target have ended: data, an end,
// or a reset without or with an acknowledgement.
auto Callers::KeepLatePacket(const CallerFlow& ended, TimePoint now) -> void {
  if (!late_packet_random_.has_value() ||
      (*late_packet_random_)() % kFlowsPerLatePacket != 0) {
    return;
  }
  Random& random = *late_packet_random_;
  const std::uint32_t kind = random() % kLatePacketKinds;
  const bool is_reset = kind >= 2;
  const FlowPacket packet{
      .source = {.address = local_.address, .port = ended.port},
      .destination = ended.route.address,
      .has_acknowledgement = kind != 2,
      .is_finish = kind == 1,
      .is_reset = is_reset,
      .sequence = ended.opening_sequence + 1,
      .acknowledgement = kind != 2 ? ended.target_sequence + 1 : 0};
  late_packets_.emplace(
      now + kMinPacketLateness +
          std::chrono::milliseconds{random() % kPacketLatenessSpreadMs},
      packet);
}

auto Callers::SendLatePackets(TimePoint now) -> void {
  while (!late_packets_.empty() && late_packets_.begin()->first <= now) {
    const FlowPacket packet =
        late_packets_.extract(late_packets_.begin()).mapped();
    const std::size_t balancer = (*late_packet_random_)() % balancers_.size();
    RecordPacket(CallerFlow{.route = {.address = packet.destination},
                            .port = packet.source.port,
                            .opening_sequence = packet.sequence - 1},
                 {.what = packet.is_reset    ? "late reset"
                          : packet.is_finish ? "late end"
                                             : "late data",
                  .balancer = balancer,
                  .is_sent = true});
    socket_.SendDatagram(
        balancers_[balancer],
        EncodeFlowPacket(packet, Payload{.request = 0, .filler_blocks = 2}));
  }
}

auto Callers::RecordSentPacket(const CallerFlow& flow,
                               const FlowPacket& packet,
                               std::size_t balancer,
                               bool is_lost) -> void {
  const char* what = "request";
  if (packet.is_opening || packet.is_finish) {
    what = packet.is_opening ? "opening" : "end";
  }
  RecordPacket(flow, {.what = what,
                      .request = packet.is_opening ? 0 : flow.pending_request,
                      .copy = flow.retransmissions,
                      .balancer = balancer,
                      .is_sent = true,
                      .is_lost = is_lost});
}

auto Callers::RecordReceivedPacket(const CallerFlow& flow,
                                   const FlowPacket& packet,
                                   ByteView bytes) -> void {
  const char* what = "answer";
  if (packet.is_reset) {
    what = IsResetByLoadBalancer(bytes) ? "reset of the load balancer"
                                        : "reset of a target";
  } else if (packet.is_opening) {
    what = packet.acknowledgement == flow.opening_sequence + 1
               ? "acceptance"
               : "acceptance of another opening";
  }
  const bool has_request = !packet.is_reset && !packet.is_opening;
  RecordPacket(flow, {.what = what,
                      .request = has_request ? ReadRequestNumber(bytes) : 0});
}

auto Callers::RecordPacket(const CallerFlow& flow, CallerPacket packet)
    -> void {
  packet.time_ms = transport::GetWallTime().time_since_epoch().count();
  packet.caller = {.address = local_.address, .port = flow.port};
  packet.route = flow.route.address;
  packet.opening_sequence = flow.opening_sequence;
  RecordCallerPacket(packets_, packet);
}

auto Callers::FinishFlow(std::uint16_t port, bool served) -> void {
  const auto it = flows_.find(port);
  events_.on_request_finished(it->second, served);
  CallerFlow ended = std::move(it->second);
  flows_.erase(it);
  const TimePoint now = transport::GetMonotonicTime();
  if (served) {
    KeepLatePacket(ended, now);
  }
  if (!ports_.ReleasePort(port, now)) {
    return;
  }
  ended.ended_at = now;
  ended.retransmissions = 0;
  for (const auto delay : {kFirstOpeningRetry, kSecondOpeningRetry}) {
    ++ended.retransmissions;
    if (ended.opened_at + delay > now) {
      late_copies_.emplace(ended.opened_at + delay, ended);
    }
  }
}

}  // namespace hawthornbank::soak
