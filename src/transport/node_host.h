#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_HOST_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_HOST_H_

#include <fmt/format.h>

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/random.h"
#include "protocol/node_message.h"
#include "transport/event_log.h"
#include "transport/http_server.h"
#include "transport/node.h"
#include "transport/node_binding.h"
#include "transport/node_gossip.h"
#include "transport/node_service_names.h"
#include "transport/node_traffic.h"
#include "transport/registry_client.h"
#include "transport/udp_socket.h"

/// @file
/// Runtime that both roles of a node share: event loop, control socket, gossip,
/// HTTP endpoints, signals and the settings file.
namespace hawthornbank::transport {

/// Interval at which a node erases expired flows and silent hosts.
inline constexpr Duration kHousekeepingInterval = std::chrono::seconds{1};

/// Interval at which a node checks whether the settings file has changed. It is
/// well below the time after which addresses are used again.
inline constexpr Duration kSettingsCheckInterval =
    std::chrono::milliseconds{500};

/// Interval at which a node logs its traffic counters.
inline constexpr Duration kTrafficReportInterval = std::chrono::seconds{10};

/// Callbacks through which a balancer or agent extends the node host.
struct NodeRole {
  /// Writes the node's current state to `record`; an agent also writes the
  /// target's load to `load`.
  std::function<void(HostRecord& record, TargetLoad& load)> describe_self;
  /// Handles a datagram that isn't a node message, such as a relayed packet.
  std::function<void(Endpoint from, ByteView datagram, TimePoint now)>
      on_relayed_datagram;
  std::function<void(const FlowReply& reply, TimePoint now)> on_flow_reply;
  std::function<void(const FlowQuery& query, TimePoint now)> on_flow_query;
  /// Handles the version of a peer's routes.
  std::function<void(Endpoint peer, const RoutesReport& report, TimePoint now)>
      on_routes_report;
  /// Handles the start time, in Unix milliseconds, of a target that an earlier
  /// start of this process had. Unset for balancers.
  std::function<void(std::uint64_t started_at_ms, TimePoint now)>
      on_former_target;
  std::function<HttpServerResponse(const HttpServerRequest& call)>
      on_http_request;
  std::function<void(TimePoint now)> on_housekeeping_tick;
  /// Called at the first SIGTERM.
  std::function<void(TimePoint now)> on_shutdown;
  /// Called before the event loop ends because the settings make this another
  /// node.
  std::function<void(TimePoint now)> on_identity_change;
  std::function<void(const NodeSettings& settings)> on_settings_reload;
  /// Returns the version and the age of the node's routes.
  std::function<RoutesReport(TimePoint now)> describe_routes;
};

/// Formats the packet counters as metrics.
/// @param counts Number of packets by reason.
/// @return One line for each reason, in the exposition format.
template <class Reason, std::size_t size>
auto FormatPacketCounters(const std::array<std::uint64_t, size>& counts)
    -> std::string {
  std::string text;
  for (std::size_t n = 0; n < size; ++n) {
    text += fmt::format("hawthornbank_packets_total{{reason=\"{}\"}} {}\n",
                        ToString(static_cast<Reason>(n)), counts.at(n));
  }
  return text;
}

/// Event loop and shared services of a node's process.
class NodeHost {
 public:
  /// @param settings Settings of the node.
  /// @param codec Encoders and decoders for the platform.
  /// @param fleet Records of all known hosts; must outlive the node host.
  NodeHost(NodeSettings settings, NodeCodec codec, Fleet& fleet);

  /// Opens the HTTP endpoints, starts receiving on the control socket and runs
  /// the event loop until StopEventLoop is called or the settings make this
  /// another node.
  /// @param role Callbacks of the role.
  /// @return How it ended.
  auto RunEventLoop(NodeRole role) -> NodeExit;

  /// Makes RunEventLoop return.
  auto StopEventLoop() -> void;

  /// Sends a datagram to another balancer or agent, and counts it.
  /// @param kind Kind of the datagram.
  /// @param to Control endpoint of the receiver.
  /// @param datagram Payload.
  auto SendControlDatagram(DatagramKind kind, Endpoint to, ByteView datagram)
      -> void;

  /// @param flow A flow.
  /// @return Endpoint where the flow's caller receives packets: the caller's
  /// address with this node's data port.
  [[nodiscard]] auto GetCallerEndpoint(const FlowKey& flow) const -> Endpoint;

  /// Sends a reset to a flow's caller.
  /// @param socket Socket to send from: a balancer's data socket or an agent's
  /// outbound socket. Callers accept resets from both.
  /// @param flow The flow.
  /// @param acknowledgement Acknowledgement of the caller's last packet.
  auto SendResetToCaller(UdpSocket& socket,
                         const FlowKey& flow,
                         std::uint32_t acknowledgement) const -> void;

  /// Calls a handler once after a delay.
  /// @param timer The timer to use. An earlier handler that still waits on this
  /// timer is cancelled.
  /// @param pause Delay before the call.
  /// @param handler The function to call.
  static auto ScheduleHandler(asio::steady_timer& timer,
                              Duration pause,
                              std::function<void(TimePoint now)> handler)
      -> void;

  /// Records the name of a service for log lines and logs which hash it has.
  /// @param name The name.
  /// @param now Current time.
  auto LearnServiceName(std::string_view name, TimePoint now) -> void;

  /// Records names of services that a peer sent with its routes, without a
  /// line for each: the nodes that read the store have logged them.
  /// @param names The names by hash.
  auto LearnPeerServiceNames(
      const std::unordered_map<std::uint32_t, std::string>& names) -> void {
    RecordPeerServiceNames(service_names_, names);
  }

  /// @return What this node sends to and hears from other processes.
  auto gossip() -> NodeGossip& { return gossip_; }
  auto io_context() -> asio::io_context& { return io_; }
  auto event_log() -> EventLog& { return log_; }
  [[nodiscard]] auto service_names() const -> const ServiceNames& {
    return service_names_;
  }
  /// @return The socket for datagrams between balancers and agents.
  [[nodiscard]] auto control_socket() const -> const UdpSocket& {
    return control_;
  }
  /// @return Counters of the datagrams between this node and other hosts.
  [[nodiscard]] auto traffic() const -> const NodeTraffic& { return traffic_; }
  auto registry_client() -> RegistryClient& { return *registry_; }
  [[nodiscard]] auto start_time() const -> TimePoint { return start_time_; }
  auto random() -> Random& { return random_; }
  [[nodiscard]] auto settings() const -> const NodeSettings& {
    return settings_;
  }
  [[nodiscard]] auto codec() const -> const NodeCodec& { return codec_; }
  [[nodiscard]] auto is_stopping() const -> bool { return is_stopping_; }

 private:
  [[nodiscard]] auto GetZoneScope(const KnownHost* host) const -> ZoneScope;
  [[nodiscard]] auto FindHost(Endpoint control) -> KnownHost*;
  auto OnControlDatagram(Endpoint from, ByteView datagram, TimePoint now)
      -> void;
  auto RunHousekeepingTick() -> void;
  auto CheckSettingsFile() -> void;
  auto WaitForSignal() -> void;
  auto ReloadSettings(TimePoint now, std::string_view cause) -> void;
  auto EndWithChangedIdentity(NodeSettings changed,
                              TimePoint now,
                              std::string_view cause) -> void;

  NodeSettings settings_;
  NodeCodec codec_;
  Fleet& fleet_;
  asio::io_context io_;
  EventLog log_;
  ServiceNames service_names_;
  Random random_;
  UdpSocket control_;
  std::unique_ptr<RegistryClient> registry_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  asio::steady_timer housekeeping_timer_;
  asio::steady_timer settings_timer_;
  asio::signal_set signals_;
  NodeRole role_;
  NodeTraffic traffic_;
  TimePoint start_time_;
  TimePoint next_traffic_report_{};
  /// The latest failure to read the settings again, if no success followed.
  std::string logged_failure_;
  NodeGossip gossip_;
  std::optional<NodeSettings> changed_;
  bool is_stopping_ = false;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_HOST_H_
