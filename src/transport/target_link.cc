#include "transport/target_link.h"

#include <algorithm>
#include <array>
#include <utility>

#include "transport/clock.h"

namespace hawthornbank::transport {
namespace {

/// CoAP ping (RFC 7252, 4.3): an empty confirmable message.
constexpr std::array<std::uint8_t, 4> kCoapPing = {0x40, 0x00, 0x70, 0x01};
constexpr Duration kShortestWait = std::chrono::milliseconds{1};
constexpr Duration kLongestWait = std::chrono::seconds{1};
/// Sockets of flows that were handed over here are freed after this.
constexpr std::chrono::minutes kSocketIdleTime{15};

}  // namespace

TargetLink::TargetLink(asio::io_context& io,
                       LinkOptions options,
                       LinkHandlers handlers)
    : io_(io),
      options_(options),
      handlers_(std::move(handlers)),
      random_(ToInteger(MakeIncarnation())),
      gate_timer_(io),
      return_socket_(io, Endpoint{.address = options.target.address}) {}

auto TargetLink::OpenGate(const CoapGateOptions& options) -> void {
  gate_ = MakeCoapGate(options);
}

auto TargetLink::Deliver(const FlowKey& flow, ByteView datagram) -> void {
  if (!gate_) {
    return;
  }
  GateActions actions;
  OnCallerDatagram(*gate_, flow, datagram, MonotonicNow(), random_, actions);
  Perform(actions);
  TickGate(MonotonicNow());
}

auto TargetLink::HandleAnswer(const FlowKey& flow, ByteView datagram) -> void {
  handlers_.on_target_sent(flow);
  GateActions actions;
  OnTargetDatagram(*gate_, flow, datagram, MonotonicNow(), random_, actions);
  Perform(actions);
  TickGate(MonotonicNow());
}

// A refused connection means that the target lost the flow.
auto TargetLink::HandleError(const FlowKey& flow, const asio::error_code& ec)
    -> void {
  if (ec == asio::error::connection_refused) {
    handlers_.on_target_lost(flow);
  }
}

auto TargetLink::SocketOf(const FlowKey& flow) -> UdpSocket& {
  FlowSocket& entry = sockets_[flow];
  entry.last_used = MonotonicNow();
  if (!entry.socket) {
    entry.socket = std::make_shared<UdpSocket>(
        io_, Endpoint{.address = options_.target.address});
    entry.socket->Connect(options_.target);
    entry.socket->Receive(
        [this, flow](Endpoint, ByteView datagram) {
          HandleAnswer(flow, datagram);
        },
        [this, flow](const asio::error_code& ec) { HandleError(flow, ec); });
  }
  return *entry.socket;
}

auto TargetLink::Perform(GateActions& actions) -> void {
  for (std::size_t n = 0; n < actions.size(); ++n) {
    const GateAction action = actions[n];
    switch (action.kind) {
      case GateAction::Kind::kToCaller:
        SendToCaller(BuildUdpPacket(action.flow.address, action.flow.caller,
                                    action.bytes));
        break;
      case GateAction::Kind::kToTarget:
        SocketOf(action.flow).Send(action.bytes);
        break;
      case GateAction::Kind::kToOtherTarget:
        if (!handlers_.hand_over(action.target, action.flow, action.bytes)) {
          RefusePassed(*gate_, action.flow, action.bytes, random_, actions);
        }
        break;
    }
  }
}

auto TargetLink::Close(const FlowKey& flow) -> void {
  if (gate_) {
    GateActions actions;
    OnFlowClosed(*gate_, flow, MonotonicNow(), random_, actions);
    Perform(actions);
  }
  FreeSocket(flow);
}

// The socket may be the one whose handler runs, so it is freed later.
auto TargetLink::FreeSocket(const FlowKey& flow) -> void {
  const auto it = sockets_.find(flow);
  if (it == sockets_.end()) {
    return;
  }
  it->second.socket->Close();
  asio::post(io_, [socket = std::move(it->second.socket)]() {});
  sockets_.erase(it);
}

auto TargetLink::Probe(const FlowKey& flow) -> void {
  if (flow.transport != Transport::kUdp) {
    return;
  }
  SocketOf(flow).Send(kCoapPing);
  SendToCaller(BuildUdpPacket(flow.address, flow.caller, kCoapPing));
}

auto TargetLink::SendToCaller(ByteView packet) -> void {
  return_socket_.Send(options_.return_path, packet);
}

auto TargetLink::Tick(TimePoint now) -> void {
  if (!gate_) {
    return;
  }
  TickGate(now);
  std::vector<FlowKey> idle;
  for (const auto& [flow, entry] : sockets_) {
    if (now - entry.last_used > kSocketIdleTime) {
      idle.push_back(flow);
    }
  }
  for (const auto& flow : idle) {
    FreeSocket(flow);
  }
}

// A deadline that passes is answered then, not at the next tick.
auto TargetLink::TickGate(TimePoint now) -> void {
  GateActions actions;
  const TimePoint next = OnGateTick(*gate_, now, random_, actions);
  Perform(actions);
  gate_timer_.expires_after(
      std::clamp(next - now, kShortestWait, kLongestWait));
  gate_timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec) {
      TickGate(MonotonicNow());
    }
  });
}

auto TargetLink::BeginDrain() -> void {
  if (gate_) {
    BeginGateDrain(*gate_);
  }
}

auto TargetLink::EndDrain() -> void {
  if (gate_) {
    EndGateDrain(*gate_);
  }
}

auto TargetLink::Abort() -> void {
  if (gate_) {
    GateActions actions;
    AbortGate(*gate_, MonotonicNow(), random_, actions);
    Perform(actions);
  }
}

auto TargetLink::IsDrained() const -> bool {
  return !gate_ || IsGateDrained(*gate_, MonotonicNow());
}

auto TargetLink::Load() const -> GateLoadReport {
  return gate_ ? GateLoad(*gate_, MonotonicNow()) : GateLoadReport{};
}

auto TargetLink::Counters() const -> std::vector<CounterRow> {
  return gate_ ? GateCounters(*gate_) : std::vector<CounterRow>{};
}

}  // namespace hawthornbank::transport
