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
/// The agent's link to its target: a socket a flow, with the request gate in
/// between, and the direct way back to callers.
namespace hawthornbank::transport {

/// Where the ends of the link are.
struct LinkOptions {
  Endpoint target;
  Endpoint return_path;  ///< Takes whole packets for callers.
};

/// What the link tells its agent.
struct LinkHandlers {
  std::function<void(const FlowKey& flow)> on_target_sent;
  std::function<void(const FlowKey& flow)> on_target_lost;
  /// Hands a caller's datagram to another target's agent.
  /// @return Whether that target is known.
  std::function<bool(TargetId target, const FlowKey& flow, ByteView datagram)>
      hand_over;
};

/// Sockets and gate of one target. All calls are made on its io_context.
class TargetLink {
 public:
  TargetLink(asio::io_context& io, LinkOptions options, LinkHandlers handlers);

  /// Opens the gate; until then datagrams are dropped.
  /// @param options Limits and identity.
  auto OpenGate(const CoapGateOptions& options) -> void;

  /// Takes a caller's datagram.
  auto Deliver(const FlowKey& flow, ByteView datagram) -> void;
  /// Ends a flow: its waiting requests are cancelled, its socket is freed.
  auto Close(const FlowKey& flow) -> void;
  /// Asks both ends of a flow for a sign of life.
  auto Probe(const FlowKey& flow) -> void;
  /// Sends a whole packet to a caller.
  auto SendToCaller(ByteView packet) -> void;
  /// Does what is due.
  /// @param now The present instant.
  auto Tick(TimePoint now) -> void;
  /// Refuses new requests from now on.
  auto BeginDrain() -> void;
  /// Takes new requests again.
  auto EndDrain() -> void;
  /// Ends every request at once, with a true answer to each.
  auto Abort() -> void;

  /// @return Whether nothing is left to answer.
  [[nodiscard]] auto IsDrained() const -> bool;
  /// @return How busy the target is.
  [[nodiscard]] auto Load() const -> GateLoadReport;
  /// @return The gate's counters.
  [[nodiscard]] auto Counters() const -> std::vector<CounterRow>;

 private:
  struct FlowSocket {
    std::shared_ptr<UdpSocket> socket;
    TimePoint last_used{};
  };

  auto SocketOf(const FlowKey& flow) -> UdpSocket&;
  auto HandleAnswer(const FlowKey& flow, ByteView datagram) -> void;
  auto HandleError(const FlowKey& flow, const asio::error_code& ec) -> void;
  auto Perform(GateActions& actions) -> void;
  auto TickGate(TimePoint now) -> void;
  auto FreeSocket(const FlowKey& flow) -> void;

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
