#include "soak/callers.h"

#include <algorithm>
#include <utility>

#include "packet_head.h"
#include "soak/packets.h"
#include "transport/clock.h"

namespace hawthornbank::soak {
namespace {

constexpr std::size_t kMostFlows = 150;
constexpr int kFlowsPerStep = 2;
constexpr int kLongFlowOneIn = 8;
constexpr int kLongFlowRequests = 30;
constexpr std::chrono::milliseconds kFirstCopy{200};
constexpr std::chrono::milliseconds kSecondCopy{600};
constexpr std::chrono::milliseconds kOpeningTime{1400};
constexpr std::chrono::milliseconds kRepeat{200};
constexpr std::chrono::milliseconds kLongestRepeat{1600};
// A request on an open flow is given up after this; flows outlive freezes.
constexpr std::chrono::seconds kDeadline{8};
constexpr std::chrono::milliseconds kLeastPause{100};
constexpr std::uint32_t kPauseSpread = 500;  // Milliseconds.

}  // namespace

Callers::Callers(asio::io_context& io,
                 Endpoint local,
                 std::vector<Endpoint> balancers,
                 std::vector<CalledRoute> routes,
                 std::uint64_t seed,
                 CallerEvents events)
    : socket_(io, local),
      local_(local),
      balancers_(std::move(balancers)),
      in_rotation_(balancers_.size(), true),
      routes_(std::move(routes)),
      events_(std::move(events)),
      random_{seed} {
  socket_.Receive([this](Endpoint, ByteView bytes) { OnPacket(bytes); });
}

auto Callers::SetRotation(std::vector<bool> in_rotation) -> void {
  in_rotation_ = std::move(in_rotation);
}

auto Callers::Step(TimePoint now, bool quiet) -> void {
  quiet_ = quiet;
  for (int n = 0; n < kFlowsPerStep && flows_.size() < kMostFlows; ++n) {
    Open(now, quiet);
  }
  std::vector<std::uint16_t> given_up;
  for (auto& [port, flow] : flows_) {
    if (now >= flow.next_send && !Repeat(flow, now)) {
      given_up.push_back(port);
    }
  }
  for (const auto it : given_up) {
    Finish(it, false);
  }
}

auto Callers::Open(TimePoint now, bool quiet) -> void {
  CallerFlow flow{
      .route = routes_[random_() % routes_.size()],
      .port = next_port_++,
      .quiet = quiet,
      .requests_left = random_() % kLongFlowOneIn == 0 ? kLongFlowRequests : 0,
      .first_sent = now,
      .next_send = now + kFirstCopy};
  if (flows_.contains(flow.port)) {
    return;
  }
  CallerFlow& added = flows_[flow.port] = std::move(flow);
  Send(added, FlowPacket{.opens = true}, now);
}

// Returns false when the caller gives the flow up.
auto Callers::Repeat(CallerFlow& flow, TimePoint now) -> bool {
  const Duration since = now - flow.first_sent;
  if (!flow.open) {
    if (since >= kOpeningTime) {
      return false;
    }
    ++flow.copies;
    Send(flow,
         FlowPacket{.opens = true,
                    .acknowledgement = static_cast<std::uint32_t>(flow.copies)},
         now);
    flow.next_send =
        flow.first_sent + (flow.copies == 1 ? kSecondCopy : kOpeningTime);
    return true;
  }
  if (flow.request == 0) {
    SendRequest(flow, now, quiet_);
    return true;
  }
  if (since >= kDeadline) {
    return false;
  }
  ++flow.copies;
  Send(flow, FlowPacket{.acknowledges = true}, now);
  flow.next_send =
      now + std::min(kRepeat * (1 << std::min(flow.copies, 3)), kLongestRepeat);
  return true;
}

auto Callers::SendRequest(CallerFlow& flow, TimePoint now, bool quiet) -> void {
  flow.request = next_request_++;
  flow.quiet = quiet;
  flow.copies = 0;
  flow.first_sent = now;
  flow.next_send = now + kRepeat;
  events_.on_request(flow);
  Send(flow, FlowPacket{.acknowledges = true}, now);
}

auto Callers::Send(CallerFlow& flow, const FlowPacket& packet, TimePoint now)
    -> void {
  FlowPacket head = packet;
  head.source = {.address = local_.address, .port = flow.port};
  head.destination = flow.route.address;
  if (head.acknowledges) {
    head.acknowledgement = flow.sequence + 1;
  }
  const std::size_t balancer = Choose(flow.port);
  flow.takers[balancer] = now;
  if (DrawRandomFraction(random_) < loss_) {
    return;
  }
  const std::uint64_t request = head.opens ? 0 : flow.request;
  socket_.Send(balancers_[balancer],
               MakePacket(head, Payload{.request = request, .filler = 2}));
}

auto Callers::Choose(std::uint16_t port) const -> std::size_t {
  std::vector<std::size_t> used;
  for (std::size_t n = 0; n < balancers_.size(); ++n) {
    if (in_rotation_[n]) {
      used.push_back(n);
    }
  }
  const auto hash = std::uint32_t{port} * 2'654'435'761U >> 16U;
  // Routers use all balancers when fewer than half are in rotation.
  return used.size() * 2 < balancers_.size() ? hash % balancers_.size()
                                             : used[hash % used.size()];
}

auto Callers::OnPacket(ByteView bytes) -> void {
  const auto packet = platform::DecodeFlowPacket(bytes);
  if (!packet.has_value()) {
    return;
  }
  const auto it = flows_.find(packet->destination.port);
  if (it == flows_.end() || packet->source != it->second.route.address) {
    return;
  }
  CallerFlow& flow = it->second;
  const TimePoint now = transport::GetMonotonicTime();
  if (packet->resets) {
    flow.reset = true;
    if (flow.open && IsSystemReset(bytes)) {
      events_.on_reset(flow);
    }
    Finish(flow.port, false);
    return;
  }
  if (packet->opens) {
    if (!flow.open) {
      flow.open = true;
      flow.sequence = packet->sequence;
      SendRequest(flow, now, quiet_);
    }
    return;
  }
  const std::uint64_t answered = RequestOf(bytes);
  if (answered == 0 || flow.request == 0 || answered < flow.request) {
    return;  // An answer that came twice.
  }
  events_.on_answer(flow, answered);
  if (flow.requests_left == 0 || packet->ends) {
    const FlowPacket end{.acknowledges = true, .ends = true};
    flow.request = 0;
    Send(flow, end, now);
    Finish(flow.port, true);
    return;
  }
  events_.on_outcome(flow, true);
  --flow.requests_left;
  flow.request = 0;
  flow.next_send =
      now + kLeastPause + std::chrono::milliseconds{random_() % kPauseSpread};
}

auto Callers::Finish(std::uint16_t port, bool served) -> void {
  const auto it = flows_.find(port);
  events_.on_outcome(it->second, served);
  flows_.erase(it);
}

}  // namespace hawthornbank::soak
