#ifndef HAWTHORNBANK_SOAK_TARGET_STANDIN_H_
#define HAWTHORNBANK_SOAK_TARGET_STANDIN_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "hawthornbank/flow_packet.h"
#include "hawthornbank/random.h"
#include "soak/node_settings.h"
#include "transport/http_client.h"
#include "transport/udp_socket.h"

/// @file
/// Stand-in for a target of the platform. The target accepts flows, executes
/// requests, returns packets of unknown flows, and sends heartbeats to the
/// agent on the same host.
namespace hawthornbank::soak {

/// Handlers of target events.
struct TargetEvents {
  std::function<void(const FlowPacket& packet, std::uint64_t request)>
      on_request_executed;
  /// Also called for an ended target that has announced its end. `is_known` is
  /// set for a copy of the opening of a flow that the target has.
  std::function<void(const FlowPacket& packet, bool is_known)>
      on_opening_received;
  /// Called for a packet that isn't an opening.
  std::function<void(const FlowPacket& packet, bool holds_flow)>
      on_flow_packet_received;
  std::function<void(const FlowPacket& packet, const std::string& detail)>
      on_forged_packet_received;
};

/// Faults of a target that a test of the judge plants.
struct TargetPlants {
  /// Added to the request numbers in answers.
  std::uint64_t answer_offset = 0;
  /// Service named in heartbeats, if not the target's own.
  std::string reported_service;
  /// Whether packets of unknown flows vanish instead of being returned.
  bool swallows_unknown = false;
};

/// A simulated target with flows and heartbeats.
class TargetStandin {
 public:
  /// @param io Event loop.
  /// @param host Address of the target's host.
  /// @param ports Port numbers, the same on all hosts.
  /// @param service Service of the target.
  /// @param zone Zone of the host.
  /// @param heartbeat_interval Time between two heartbeats.
  /// @param events Handlers of target events.
  TargetStandin(asio::io_context& io,
                std::uint32_t host,
                const HostPorts& ports,
                std::string service,
                std::string zone,
                std::chrono::milliseconds heartbeat_interval,
                TargetEvents events);

  /// Ends the target without notice to the agent. The target loses all flows
  /// and stops sending packets and heartbeats.
  auto CrashTarget() -> void;

  /// Starts the target again after a crash or shutdown, or instead of the
  /// running start. The next start has no flows.
  /// @param service Service of the target from now on.
  auto RestartTarget(const std::string& service) -> void;

  /// Starts a target of another service at the address of one that has ended.
  /// The first heartbeat is sent at once.
  /// @param service Service of the target from now on.
  /// @param has_same_id Whether the target has the former target's instance id.
  auto TakeOverAddress(const std::string& service, bool has_same_id) -> void;

  /// Keeps a further heartbeat of the present target.
  /// @return Function that sends the heartbeat to the agent at the target's
  /// address, also after the target has ended.
  [[nodiscard]] auto PrepareLateHeartbeat() const -> std::function<void()>;

  /// @param ahead Number of heartbeats from the last one sent.
  /// @return A further heartbeat of the present target, to be sent to
  /// `control()` when the target has ended.
  [[nodiscard]] auto MakeLateHeartbeat(std::uint64_t ahead) const
      -> transport::HttpRequest {
    return MakeHeartbeat(heartbeat_sequence_ + ahead);
  }

  /// @return The first heartbeat of the present target, as for
  /// MakeLateHeartbeat.
  [[nodiscard]] auto MakeFirstHeartbeat() const -> transport::HttpRequest {
    return MakeHeartbeat(1);
  }

  /// @return Announcement of the present target's shutdown, to be sent to
  /// `control()`.
  [[nodiscard]] auto MakeDeregistration() const -> transport::HttpRequest;

  /// Steps the target's time of day, from which its next start time is taken.
  /// @param step Negative for a step back.
  auto StepClock(Duration step) -> void { clock_offset_ += step; }

  /// @return Time by which the target's time of day is ahead of the machine's.
  [[nodiscard]] auto clock_offset() const -> Duration { return clock_offset_; }

  /// @param warmup_time Time after each later start for which heartbeats report
  /// that the target is slow.
  auto SetWarmupTime(Duration warmup_time) -> void {
    warmup_time_ = warmup_time;
  }

  /// Starts a drain: heartbeats report that the target drains, and each answer
  /// ends the flow on which the answer is sent.
  auto StartDraining() -> void;

  /// Ends the target and announces the shutdown to the agent.
  auto ShutDownTarget() -> void;

  /// @param unresponsive Whether the target ignores packets and sends no
  /// answers; heartbeats continue.
  auto SetTargetUnresponsive(bool unresponsive) -> void;

  /// @param plants Faults from now on.
  auto SetPlants(TargetPlants plants) -> void { plants_ = std::move(plants); }

  /// @param flow Key with the caller's endpoint and the called service address.
  /// @param opening_sequence Sequence number of the flow's opening packet.
  /// @return Whether the target is alive and has the flow open.
  [[nodiscard]] auto HoldsOpenFlow(const FlowKey& flow,
                                   std::uint32_t opening_sequence) const
      -> bool;

  [[nodiscard]] auto service_name() const -> const std::string& {
    return service_;
  }
  /// @return Address of the agent on the target's host.
  [[nodiscard]] auto control() const -> Endpoint { return control_; }
  [[nodiscard]] auto is_alive() const -> bool { return is_alive_; }
  [[nodiscard]] auto is_unresponsive() const -> bool {
    return is_unresponsive_;
  }
  [[nodiscard]] auto is_draining() const -> bool { return is_draining_; }
  [[nodiscard]] auto zone_name() const -> const std::string& { return zone_; }
  /// @return Endpoint at which the target receives packets.
  [[nodiscard]] auto app() const -> Endpoint { return app_; }
  /// @return Time at which the target last stopped being unresponsive; zero if
  /// it never was.
  [[nodiscard]] auto responsive_since() const -> TimePoint {
    return responsive_since_;
  }
  /// @return Time at which an agent acknowledged the target's end; zero if the
  /// target lives or no agent has acknowledged it.
  [[nodiscard]] auto end_acknowledged_at() const -> TimePoint {
    return end_acknowledged_at_;
  }
  /// @return Time at which an agent acknowledged the drain; zero if no agent
  /// has acknowledged a drain.
  [[nodiscard]] auto drain_acknowledged_at() const -> TimePoint {
    return drain_acknowledged_at_;
  }

 private:
  struct Flow {
    std::uint32_t sequence = 0;  ///< Initial sequence number of the target.
    bool is_open = false;  ///< Whether the caller has acknowledged `sequence`.
    std::uint64_t last_executed = 0;    ///< Last completed request; 0: none.
    std::uint64_t running_request = 0;  ///< Request being executed; 0: none.
  };

  // Flows of one caller's port to one route, by the sequence number of the
  // opening packet.
  using FlowsOfPort = std::map<std::uint32_t, Flow>;

  [[nodiscard]] auto FindFlow(const FlowPacket& packet) -> Flow*;
  [[nodiscard]] auto MakeHeartbeat(std::uint64_t sequence) const
      -> transport::HttpRequest;
  auto SendHeartbeat() -> void;
  auto OnPacketReceived(ByteView bytes) -> void;
  auto OnRequestReceived(const FlowPacket& packet,
                         Flow& flow,
                         std::uint64_t request) -> void;
  auto SendAnswer(const FlowPacket& packet, std::uint64_t request) -> void;
  auto SendPacket(const FlowPacket& packet, std::uint64_t request) -> void;

  asio::io_context& io_;
  Endpoint outbound_;
  Endpoint app_;
  Endpoint control_;
  transport::UdpSocket socket_;
  transport::HttpClient client_;
  asio::steady_timer heartbeat_timer_;
  std::chrono::milliseconds heartbeat_interval_;
  TargetEvents events_;
  std::string service_;
  std::string zone_;
  std::string instance_id_;
  Random random_;
  std::unordered_map<FlowKey, FlowsOfPort> flows_;
  std::uint64_t start_time_ms_ = 0;
  Duration clock_offset_{};
  Duration warmup_time_{};
  TimePoint warm_at_{};  ///< End of the present start's warm-up.
  std::uint64_t heartbeat_sequence_ = 0;
  TimePoint drain_acknowledged_at_{};
  TimePoint end_acknowledged_at_{};
  TimePoint responsive_since_{};
  TargetPlants plants_;
  bool is_alive_ = true;
  bool is_draining_ = false;
  bool is_unresponsive_ = false;
};

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_TARGET_STANDIN_H_
