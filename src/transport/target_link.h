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
  Endpoint return_path;  ///< Receives whole IP packets for callers.
};

/// Handlers through which the link reports events to its agent.
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

  /// Passes a caller's datagram through the gate to the target.
  auto DeliverCallerDatagram(const FlowKey& flow, ByteView datagram) -> void;
  /// Ends a flow: cancels the flow's waiting requests and frees its socket.
  auto CloseFlow(const FlowKey& flow) -> void;
  /// Sends a CoAP ping to the target and to the caller of a flow. Their answers
  /// show that the flow is alive.
  auto ProbeFlow(const FlowKey& flow) -> void;
  /// Sends a whole packet to a caller.
  auto SendToCaller(ByteView packet) -> void;
  /// Performs the gate's due work and frees idle sockets.
  /// @param now Current time.
  auto RunDueLinkWork(TimePoint now) -> void;
  /// Starts to refuse new requests.
  auto StartRefusingRequests() -> void;
  /// Accepts new requests again.
  auto AcceptRequestsAgain() -> void;
  /// Ends every request at once. Each answer says whether the request may have
  /// run.
  auto AbortAllRequests() -> void;

  /// @return Whether all requests have been answered.
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
