#ifndef HAWTHORNBANK_SOAK_CALLERS_H_
#define HAWTHORNBANK_SOAK_CALLERS_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hawthornbank/flow_packet.h"
#include "hawthornbank/random.h"
#include "soak/caller_packets.h"
#include "soak/caller_ports.h"
#include "transport/udp_socket.h"

/// @file
/// Callers with short and long flows. Simulated routers distribute the callers'
/// packets among the balancers. Callers retransmit unanswered packets, as the
/// platform's callers do.
namespace hawthornbank::soak {

/// A public address that callers open flows to, and the service behind it.
struct CalledRoute {
  Endpoint address;
  std::string service;
};

/// A caller's flow.
struct CallerFlow {
  CalledRoute route;
  std::uint16_t port = 0;
  /// Initial sequence number that the caller chose for the flow.
  std::uint32_t opening_sequence = 0;
  /// Whether an earlier flow to the same route used the port.
  bool is_port_reused = false;
  bool is_open = false;
  /// Whether the opening or the last request was sent in the final phase.
  bool in_final_phase = false;
  bool was_reset = false;  ///< Whether the caller received a reset.
  /// Initial sequence number that the target chose for the flow.
  std::uint32_t target_sequence = 0;
  /// Identifies the unanswered request; 0 if all requests are answered.
  std::uint64_t pending_request = 0;
  /// Number of requests still to send after the pending request; if none is
  /// pending, after the request that is sent next.
  int requests_left = 0;
  /// Number of retransmissions of the opening or of the pending request.
  int retransmissions = 0;
  bool has_long_pauses = false;  ///< Whether pauses last for seconds.
  TimePoint opened_at{};         ///< Time of the first opening packet.
  TimePoint idle_since{};        ///< Time of the last answer or opening.
  TimePoint resumed_at{};        ///< Time of the request after `idle_since`.
  TimePoint first_sent{};
  TimePoint next_send{};
  TimePoint ended_at{};  ///< Zero while the flow goes on.
  /// Time of the flow's last packet to each balancer, by balancer index.
  std::map<std::size_t, TimePoint> balancer_last_used;
};

/// @param flow A flow of a caller.
/// @param caller Address of the caller.
/// @return Key of the flow.
auto MakeFlowKey(const CallerFlow& flow, std::uint32_t caller) -> FlowKey;

/// Handlers of caller events.
struct CallerEvents {
  std::function<
      void(const CallerFlow& flow, std::uint32_t copy, std::size_t balancer)>
      on_opening_sent;
  std::function<void(const CallerFlow& flow)> on_request_sent;
  std::function<void(const CallerFlow& flow, std::uint64_t answered)>
      on_answer_received;
  std::function<void(const CallerFlow& flow)> on_flow_reset;
  std::function<void(const CallerFlow& flow)> on_opening_reset;
  std::function<void(const FlowPacket& packet, const std::string& detail)>
      on_forged_packet_received;
  std::function<void(const CallerFlow& flow, bool served)> on_request_finished;
};

/// All callers of a soak.
class Callers {
 public:
  /// @param io Event loop.
  /// @param local Endpoint that all callers send from and receive on.
  /// @param balancers Data endpoints of all balancers.
  /// @param routes Addresses that callers open flows to.
  /// @param ports Choice of the callers' ports.
  /// @param seed Seed of the random addresses, flow lengths, pauses between
  /// requests and packet losses.
  /// @param events Handlers of caller events.
  Callers(asio::io_context& io,
          Endpoint local,
          std::vector<Endpoint> balancers,
          std::vector<CalledRoute> routes,
          CallerPorts ports,
          std::uint64_t seed,
          CallerEvents events);

  /// Opens new flows, sends the packets that are due and ends flows that have
  /// timed out. Called every 20 ms.
  /// @param now Current time.
  /// @param in_final_phase Whether the soak's final phase has begun.
  auto OpenFlowsAndSendDuePackets(TimePoint now, bool in_final_phase) -> void;

  /// Sets the balancers in rotation. The routers send packets only to these
  /// balancers, or to all balancers when fewer than half are in rotation.
  /// @param in_rotation For each balancer, whether the balancer is in rotation.
  auto SetBalancersInRotation(std::vector<bool> in_rotation) -> void;

  /// Lets some flows pause for 2 to 36 s between their requests from now on.
  /// @param seed Seed of the choice of these flows and of their pauses.
  auto StartFlowsWithLongPauses(std::uint64_t seed) -> void {
    pause_random_ = Random{seed, kPauseStream};
  }

  /// Lets packets of some ended flows arrive late from now on.
  /// @param seed Seed of the choice of these packets.
  auto StartLatePackets(std::uint64_t seed) -> void {
    late_packet_random_ = Random{seed, kLatePacketStream};
  }

  /// @param share Share of packets from callers to balancers to drop, 0 to 1.
  auto SetPacketLossShare(double share) -> void { loss_share_ = share; }

  /// @return The latest packets of all callers.
  [[nodiscard]] auto packets() const -> const CallerPackets& {
    return packets_;
  }

  /// Called with each packet that a caller sends; returns whether the packet
  /// still goes to its balancer.
  using PacketTap = std::function<bool(const FlowPacket& packet, ByteView)>;

  /// Passes the callers' packets through a tap, by which a test of the judge
  /// plants faults.
  auto SetPacketTap(PacketTap tap) -> void { tap_ = std::move(tap); }

  /// @param flow Key of the flow.
  /// @return The caller's present flow, or null if it has ended.
  [[nodiscard]] auto FindFlow(const FlowKey& flow) const -> const CallerFlow*;

  /// @return Flows that haven't ended, by port.
  [[nodiscard]] auto flows() const
      -> const std::map<std::uint16_t, CallerFlow>& {
    return flows_;
  }

 private:
  // Stream of the random numbers of long pauses.
  static constexpr std::uint64_t kPauseStream = 15;
  // Stream of the random numbers of late packets.
  static constexpr std::uint64_t kLatePacketStream = 16;

  auto OpenFlow(TimePoint now, bool in_final_phase) -> void;
  auto SendDuePacket(CallerFlow& flow, TimePoint now) -> bool;
  auto SendRequest(CallerFlow& flow, TimePoint now, bool in_final_phase)
      -> void;
  auto SendPacket(CallerFlow& flow, const FlowPacket& packet, TimePoint now)
      -> void;
  auto ChooseBalancer(std::uint16_t port) const -> std::size_t;
  auto OnPacketReceived(ByteView bytes) -> void;
  auto OnAnswerReceived(CallerFlow& flow,
                        const FlowPacket& packet,
                        std::uint64_t answered) -> void;
  auto OnResetReceived(CallerFlow& flow,
                       const FlowPacket& packet,
                       bool is_by_load_balancer) -> void;
  auto SendLateCopies(TimePoint now) -> void;
  auto KeepLatePacket(const CallerFlow& ended, TimePoint now) -> void;
  auto SendLatePackets(TimePoint now) -> void;
  auto FinishFlow(std::uint16_t port, bool served) -> void;
  auto RecordSentPacket(const CallerFlow& flow,
                        const FlowPacket& packet,
                        std::size_t balancer,
                        bool is_lost) -> void;
  auto RecordReceivedPacket(const CallerFlow& flow,
                            const FlowPacket& packet,
                            ByteView bytes) -> void;
  auto RecordPacket(const CallerFlow& flow, CallerPacket packet) -> void;

  transport::UdpSocket socket_;
  Endpoint local_;
  std::vector<Endpoint> balancers_;
  std::vector<bool> in_rotation_;
  std::vector<CalledRoute> routes_;
  CallerEvents events_;
  PacketTap tap_;
  Random random_;
  Random sequence_random_;
  std::optional<Random> pause_random_;  ///< If some flows have long pauses.
  std::map<std::uint16_t, CallerFlow> flows_;
  CallerPorts ports_;
  CallerPackets packets_;
  /// Copies of opening packets of ended flows, by the time at which they
  /// arrive at a balancer.
  std::multimap<TimePoint, CallerFlow> late_copies_;
  /// Chooses the packets of ended flows that arrive late, if any do.
  std::optional<Random> late_packet_random_;
  std::multimap<TimePoint, FlowPacket> late_packets_;  ///< By arrival.
  std::uint64_t next_request_ = 1;
  double loss_share_ = 0;
  bool in_final_phase_ = false;
};

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_CALLERS_H_
