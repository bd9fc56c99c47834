#ifndef HAWTHORNBANK_SRC_TRANSPORT_TARGET_LINK_H_
#define HAWTHORNBANK_SRC_TRANSPORT_TARGET_LINK_H_

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "hawthornbank/coap_gate.h"
#include "hawthornbank/packet.h"
#include "transport/udp_socket.h"

/// @file
/// The agent's link to its target: one socket for each flow, the request gate
/// in front of the target, and the direct return path to callers.
namespace hawthornbank::transport {

/// Endpoints of the link.
struct LinkOptions {
  Endpoint target;
  Endpoint return_path;  ///< Where the agent sends IP packets for callers.
};

/// Handlers through which a TargetLink reports events to the agent.
struct LinkHandlers {
  std::function<void(const FlowKey& flow)> on_target_sent;
  std::function<void(const FlowKey& flow)> on_flow_lost;
  /// Forwards a caller's datagram to the agent of another target.
  /// @return Whether that target is known.
  std::function<bool(TargetId target, const FlowKey& flow, ByteView datagram)>
      forward_to_other_target;
};

/// Sockets and request gate of one target. All calls must be made on the link's
/// io_context.
class TargetLink {
 public:
  TargetLink(asio::io_context& io, LinkOptions options, LinkHandlers handlers);

  /// Opens the request gate. Before this call, datagrams are dropped.
  /// @param options Limits and identity of the gate.
  auto OpenRequestGate(const CoapGateOptions& options) -> void;

  /// Passes a caller's datagram to the gate, which sends the datagram to the
  /// target, queues it or answers the caller.
  auto DeliverCallerDatagram(const FlowKey& flow, ByteView datagram) -> void;
  /// Ends a flow: cancels the requests that only this flow waits for and frees
  /// the flow's socket.
  auto CloseFlow(const FlowKey& flow) -> void;
  /// Sends a CoAP ping to the target and to the caller of a UDP flow. The
  /// answers of target and caller show that the flow is alive.
  auto ProbeFlow(const FlowKey& flow) -> void;
  /// Sends an IP packet to a caller over the return path.
  auto SendToCaller(ByteView packet) -> void;
  /// Runs the gate's tick and frees idle sockets; does nothing before
  /// OpenRequestGate is called.
  /// @param now Current time.
  auto RunLinkTick(TimePoint now) -> void;
  /// Makes the gate refuse new requests, for the target's drain.
  auto StartRefusingRequests() -> void;
  /// Makes the gate accept new requests again after a cancelled drain.
  auto AcceptRequestsAgain() -> void;
  /// Ends every request at once and refuses new requests. Each answer says
  /// whether the request may have run.
  auto AbortAllRequests() -> void;

  /// @return Whether the gate refuses new requests and all earlier requests
  /// have been answered; true before OpenRequestGate is called.
  [[nodiscard]] auto IsGateDrainComplete() const -> bool;
  /// @return Allowed slots, busy slots and queue length of the target.
  [[nodiscard]] auto GetGateLoad() const -> GateLoadReport;
  /// @return The gate's counters.
  [[nodiscard]] auto CollectGateCounters() const -> std::vector<GateCounterRow>;

 private:
  struct FlowSocket {
    std::shared_ptr<UdpSocket> socket;
    TimePoint last_used{};
  };

  auto GetOrOpenSocket(const FlowKey& flow) -> UdpSocket&;
  auto HandleTargetDatagram(const FlowKey& flow, ByteView datagram) -> void;
  auto HandleSocketError(const FlowKey& flow, const asio::error_code& ec)
      -> void;
  auto PerformGateActions(GateActions& actions) -> void;
  auto RunGateTick(TimePoint now) -> void;
  auto ReleaseFlowSocket(const FlowKey& flow) -> void;

  asio::io_context& io_;
  LinkOptions options_;
  LinkHandlers handlers_;
  Random random_;
  std::optional<CoapGate> gate_;
  asio::steady_timer gate_timer_;
  UdpSocket return_socket_;
  std::unordered_map<FlowKey, FlowSocket> sockets_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_TARGET_LINK_H_
