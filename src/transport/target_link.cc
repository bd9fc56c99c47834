#include "transport/target_link.h"

#include <algorithm>
#include <array>
#include <utility>

#include "transport/clock.h"

namespace hawthornbank::transport {
namespace {

/// CoAP ping (RFC 7252, 4.3): an empty confirmable message.
constexpr std::array<std::uint8_t, 4> kCoapPing = {0x40, 0x00, 0x70, 0x01};
constexpr Duration kMinGateTimerDelay = std::chrono::milliseconds{1};
constexpr Duration kMaxGateTimerDelay = std::chrono::seconds{1};
/// Idle time after which the agent frees a flow's socket, such as the socket
/// for a request that another agent handed over.
constexpr std::chrono::minutes kSocketIdleTimeout{15};

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

auto TargetLink::OpenRequestGate(const CoapGateOptions& options) -> void {
  gate_ = MakeCoapGate(options);
}

auto TargetLink::DeliverCallerDatagram(const FlowKey& flow, ByteView datagram)
    -> void {
  if (!gate_) {
    return;
  }
  GateActions actions;
  OnCallerDatagram(*gate_, flow, datagram, GetMonotonicTime(), random_,
                   actions);
  PerformGateActions(actions);
  RunGateTick(GetMonotonicTime());
}

auto TargetLink::HandleTargetDatagram(const FlowKey& flow, ByteView datagram)
    -> void {
  handlers_.on_target_sent(flow);
  GateActions actions;
  OnTargetDatagram(*gate_, flow, datagram, GetMonotonicTime(), random_,
                   actions);
  PerformGateActions(actions);
  RunGateTick(GetMonotonicTime());
}

// Reports the flow as lost if the target's host refused a datagram, because
// then the target no longer holds the flow. Ignores other errors.
auto TargetLink::HandleSocketError(const FlowKey& flow,
                                   const asio::error_code& ec) -> void {
  if (ec == asio::error::connection_refused) {
    handlers_.on_flow_lost(flow);
  }
}

auto TargetLink::GetOrOpenSocket(const FlowKey& flow) -> UdpSocket& {
  FlowSocket& entry = sockets_[flow];
  entry.last_used = GetMonotonicTime();
  if (!entry.socket) {
    entry.socket = std::make_shared<UdpSocket>(
        io_, Endpoint{.address = options_.target.address});
    entry.socket->ConnectToPeer(options_.target);
    entry.socket->StartReceiving(
        [this, flow](Endpoint, ByteView datagram) {
          HandleTargetDatagram(flow, datagram);
        },
        [this, flow](const asio::error_code& ec) {
          HandleSocketError(flow, ec);
        });
  }
  return *entry.socket;
}

auto TargetLink::PerformGateActions(GateActions& actions) -> void {
  for (std::size_t n = 0; n < actions.size(); ++n) {
    const GateAction action = actions[n];
    switch (action.kind) {
      case GateAction::Kind::kToCaller:
        SendToCaller(BuildUdpPacket(action.flow.address, action.flow.caller,
                                    action.bytes));
        break;
      case GateAction::Kind::kToTarget:
        GetOrOpenSocket(action.flow).SendDatagram(action.bytes);
        break;
      case GateAction::Kind::kToOtherTarget:
        if (!handlers_.forward_to_other_target(action.target, action.flow,
                                               action.bytes)) {
          RefuseForwardedDatagram(*gate_, action.flow, action.bytes, random_,
                                  actions);
        }
        break;
    }
  }
}

auto TargetLink::CloseFlow(const FlowKey& flow) -> void {
  if (gate_) {
    GateActions actions;
    OnFlowClosed(*gate_, flow, GetMonotonicTime(), random_, actions);
    PerformGateActions(actions);
  }
  ReleaseFlowSocket(flow);
}

// Closes the flow's socket now, but destroys the socket in a later handler,
// because the running handler may belong to the socket.
auto TargetLink::ReleaseFlowSocket(const FlowKey& flow) -> void {
  const auto it = sockets_.find(flow);
  if (it == sockets_.end()) {
    return;
  }
  it->second.socket->CloseSocket();
  asio::post(io_, [socket = std::move(it->second.socket)]() {});
  sockets_.erase(it);
}

auto TargetLink::ProbeFlow(const FlowKey& flow) -> void {
  if (flow.transport != Transport::kUdp) {
    return;
  }
  GetOrOpenSocket(flow).SendDatagram(kCoapPing);
  SendToCaller(BuildUdpPacket(flow.address, flow.caller, kCoapPing));
}

auto TargetLink::SendToCaller(ByteView packet) -> void {
  return_socket_.SendDatagram(options_.return_path, packet);
}

auto TargetLink::RunLinkTick(TimePoint now) -> void {
  if (!gate_) {
    return;
  }
  RunGateTick(now);
  std::vector<FlowKey> idle;
  for (const auto& [flow, entry] : sockets_) {
    if (now - entry.last_used > kSocketIdleTimeout) {
      idle.push_back(flow);
    }
  }
  for (const auto& flow : idle) {
    ReleaseFlowSocket(flow);
  }
}

// Sets the timer to the gate's next deadline, so that the gate answers an
// expired request at its deadline and not at the agent's next tick.
auto TargetLink::RunGateTick(TimePoint now) -> void {
  GateActions actions;
  const TimePoint next = OnCoapGateTick(*gate_, now, random_, actions);
  PerformGateActions(actions);
  gate_timer_.expires_after(
      std::clamp(next - now, kMinGateTimerDelay, kMaxGateTimerDelay));
  gate_timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec) {
      RunGateTick(GetMonotonicTime());
    }
  });
}

auto TargetLink::StartRefusingRequests() -> void {
  if (gate_) {
    BeginGateDrain(*gate_);
  }
}

auto TargetLink::AcceptRequestsAgain() -> void {
  if (gate_) {
    CancelGateDrain(*gate_);
  }
}

auto TargetLink::AbortAllRequests() -> void {
  if (gate_) {
    GateActions actions;
    DrainAndEndCoapRequests(*gate_, GetMonotonicTime(), random_, actions);
    PerformGateActions(actions);
  }
}

auto TargetLink::IsGateDrainComplete() const -> bool {
  return !gate_ || IsGateDrained(*gate_, GetMonotonicTime());
}

auto TargetLink::GetGateLoad() const -> GateLoadReport {
  return gate_ ? ComputeCoapGateLoad(*gate_, GetMonotonicTime())
               : GateLoadReport{};
}

auto TargetLink::CollectGateCounters() const -> std::vector<GateCounterRow> {
  return gate_ ? ListGateCounters(*gate_) : std::vector<GateCounterRow>{};
}

}  // namespace hawthornbank::transport
