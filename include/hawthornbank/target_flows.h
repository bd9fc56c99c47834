#ifndef HAWTHORNBANK_TARGET_FLOWS_H_
#define HAWTHORNBANK_TARGET_FLOWS_H_

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/flow_key.h"
#include "hawthornbank/flow_packet.h"
#include "hawthornbank/random.h"
#include "hawthornbank/relay.h"
#include "hawthornbank/route_history.h"
#include "hawthornbank/target_health.h"
#include "hawthornbank/types.h"
#include "hawthornbank/warmup_limit.h"
#include "hawthornbank/work_order.h"

/// @file
/// Packet handling of an agent whose target returns packets of flows that the
/// target doesn't hold.
///
/// Load patterns and failures handled: a burst of opening packets while all
/// slots are taken; a target that stops answering or restarts; grey failure, in
/// which the target resets requests or never answers them while its heartbeats
/// are good and it looks idle; an agent that restarts while its target runs on.
/// The agent learns the target's flows from the packets that pass through the
/// agent. A packet of a flow that may be older than the agent is sent to the
/// target, which returns packets of flows that it doesn't hold.
namespace hawthornbank {

/// Limits and timeouts of an agent.
struct TargetFlowsOptions {
  std::uint32_t service = 0;  ///< HashName of the target's service.
  Endpoint self;  ///< Address at which other processes reach the agent.
  /// Timeout for the target's answer to an opening packet. It is short because
  /// the target runs on the agent's host.
  Duration answer_timeout = std::chrono::milliseconds{25};
  /// Number of running requests per slot at which the agent begins to return
  /// opening packets.
  double max_running_per_slot = 1.5;
  /// Number of agents that must have refused an opening packet before the
  /// packet is delivered to a full or failing target.
  std::size_t max_refusals = 2;
  /// Time without a packet from a target that has announced its shutdown, after
  /// which the target counts as ended. A target serves its flows for up to two
  /// seconds after the announcement.
  Duration exit_timeout = std::chrono::seconds{3};
  /// Longest time from a target's start until the agent receives the target's
  /// first heartbeat. The target sends the heartbeat while starting; the limit
  /// allows for the delivery.
  Duration max_first_heartbeat_delay = std::chrono::milliseconds{300};
  /// Time without packets after which a flow is forgotten: the maximum lifetime
  /// of a flow. The configured idle timeout is shorter, but may be raised while
  /// a flow is idle, and an agent may not know it.
  Duration flow_lifetime = kFlowLifetime;
  /// Time for which a closed flow's entry is kept,
  /// because packets of the flow may be retransmitted.
  Duration closed_flow_retention = std::chrono::seconds{4};
  /// Time without a packet of a flow after which the flow's request no longer
  /// counts as running, because the caller has given up.
  Duration request_idle_timeout = std::chrono::milliseconds{1500};
  /// Time from the delivery of an opening packet in which the flow's first
  /// request is expected: the handshake takes one round trip to the caller. A
  /// caller that has given up, or that opened the flow at another target, sends
  /// none.
  Duration first_request_timeout = std::chrono::milliseconds{100};
  /// Number of stored flows at which packets of callers add no more flows.
  /// Packets of the target still add flows.
  std::size_t max_flows = 8192;
};

/// A flow that the target holds or may hold.
struct TargetFlow {
  /// Balancer that relayed the flow's latest packet or sent the latest query
  /// answered with kHeld. The agent notifies this balancer when the target
  /// accepts the flow.
  Endpoint last_balancer;
  /// Start of the target that holds the flow, in Unix milliseconds.
  std::uint64_t target_started_at_ms = 0;
  /// Latest acknowledgement number sent by the caller, for a reset.
  std::uint32_t acknowledgement = 0;
  TimePoint last_packet_at{};  ///< Last packet from the caller or the target.
  TimePoint accepted_at{};     ///< Time of the target's first packet.
  TimePoint running_since{};   ///< When `occupies_slot` was set.
  TimePoint closed_at{};       ///< When both sides had ended the flow.
  bool is_accepted = false;    ///< The target has sent a packet of the flow.
  /// Sequence number of the caller's opening; empty if the agent has started
  /// later.
  std::optional<std::uint32_t> opening_sequence;
  /// Sequence number of the packet in which the target accepted the opening;
  /// empty once the caller has acknowledged that packet.
  std::optional<std::uint32_t> unacknowledged_sequence;
  /// Sequence number of the packet in which the target accepted the opening;
  /// empty if the agent hasn't seen that packet.
  std::optional<std::uint32_t> accepted_sequence;
  /// Number after the latest byte that the target has sent.
  std::optional<std::uint32_t> sent_sequence;
  /// Latest acknowledgement number sent by the target. Data before it is a
  /// repetition and no new request.
  std::optional<std::uint32_t> acknowledged_by_target;
  /// An opening or a request of the flow counts in TargetFlows::running.
  bool occupies_slot = false;
  bool has_unanswered_request = false;
  /// The first request of the flow counts in TargetFlows::expected_requests.
  bool is_request_expected = false;
  /// When the opening was counted in TargetFlows::warmup; empty once a request
  /// was sent.
  std::optional<TimePoint> opening_counted_at;
  RequestId request_id = 0;        ///< Request in TargetFlows::order, or 0.
  std::optional<FlowTerms> terms;  ///< The latest that a balancer sent.
  bool caller_ended = false;
  bool target_ended = false;
};

/// A flow that the target has accepted while an earlier flow of the same port
/// was open, and that the caller hasn't confirmed yet.
struct ReopenedFlow {
  RelayHeader header;  ///< Relay header of the opening.
  /// Sequence number of the opening; empty if the answer came late.
  std::optional<std::uint32_t> opening_sequence;
  std::uint32_t accepted_sequence = 0;  ///< See TargetFlow.
  TimePoint accepted_at{};
};

/// An opening packet that the target hasn't answered yet.
struct UnansweredOpening {
  std::vector<std::uint8_t> packet;
  std::uint32_t sequence = 0;  ///< Sequence number of `packet`.
  RelayHeader header;
  TimePoint delivered_at{};
};

/// An opening packet whose flow's first request may not have arrived yet.
struct DeliveredOpening {
  FlowKey flow;
  TimePoint delivered_at{};
};

/// Relay header of a packet that was sent to the target and may be returned.
struct ReturnablePacket {
  /// Id that the agent sets in a delivered packet; the target copies the id
  /// into a packet that it returns.
  std::uint32_t return_id = 0;
  RelayHeader header;
};

/// Reason of an agent's action on a packet.
enum class TargetReason : std::uint8_t {
  kDelivered,        ///< Packet of a known flow, sent to the target.
  kOpened,           ///< Opening packet, sent to the target.
  kOffered,          ///< Packet of an unknown flow, which the target may hold.
  kAnswered,         ///< Packet of the target, sent to the caller.
  kWrongService,     ///< The packet is for a service of another target.
  kNotReady,         ///< The target or the agent takes no new flows.
  kFull,             ///< The limit of running requests is reached.
  kFailing,          ///< Most of the target's recent requests failed.
  kNotHere,          ///< The target doesn't hold the flow.
  kReturned,         ///< The target returned the packet.
  kSilent,           ///< The target left this or a recent opening unanswered.
  kTargetRestarted,  ///< The target has restarted and lost the flow.
  kTargetGone,       ///< The target that held the flow has ended.
  kMalformed,        ///< The packet couldn't be decoded.
  kZoneOut,          ///< The agent's availability zone is out of service.
  kWarmup,           ///< The limit of the target's warm-up is reached.
  kWaiting,          ///< Packet of a request that waits for a place.
  kHandedOver,  ///< Packet of a request that has waited, sent to the target.
  kNotHeard,    ///< The target's newest heartbeat is too old.
  /// The packet is of another flow of the port than the one that is recorded.
  kOtherFlow,
  kCount,
};

/// Number of values of TargetReason.
inline constexpr auto kTargetReasonCount =
    static_cast<std::size_t>(TargetReason::kCount);

/// @param reason A reason.
/// @return Name of the reason in logs and metrics.
auto ToString(TargetReason reason) -> std::string_view;

/// An action that the agent's process carries out for a packet or flow.
struct TargetAction {
  enum class Kind : std::uint8_t {
    kDeliver,           ///< Send the packet to the target, with `return_id`.
    kReturnToBalancer,  ///< Send header and packet to balancer `to`.
    kToCaller,          ///< Send the packet to the caller.
    kReplyToBalancer,   ///< Reply to balancer `to` whether the flow is held.
    kReset,             ///< Send the caller a reset of the flow.
    kDrop,              ///< Drop the packet; the reason is counted.
    kKeep,              ///< The packet was stored and is delivered later.
  };
  Kind kind = Kind::kDrop;
  TargetReason reason = TargetReason::kDelivered;
  FlowKey flow;
  Endpoint to;
  RelayHeader header;
  std::uint32_t return_id = 0;
  /// Stored opening to return or stored packet to deliver;
  /// if empty, the packet being handled is meant.
  std::vector<std::uint8_t> opening;
  /// For kHandedOver: why the request was handed over, and its wait.
  HandOverReason hand_over_reason = HandOverReason::kRoom;
  Duration waited{};
  /// Latest acknowledgement number of the caller, for kReset.
  std::uint32_t acknowledgement = 0;
  /// For kReplyToBalancer: whether the target holds the flow.
  FlowOwnership ownership = FlowOwnership::kHeld;
};

/// Number of relay headers stored for packets that the target may return.
inline constexpr std::size_t kReturnablePackets = 256;

/// State of one agent and its target.
struct TargetFlows {
  TargetFlowsOptions options;
  TargetStatus status;
  bool is_shutting_down = false;  ///< The agent is shutting down.
  /// The agent's availability zone is out of service.
  bool is_zone_out_of_service = false;
  /// Whether every flow of the target has passed through this agent. False for
  /// an agent that started later than the target's latest start.
  bool knows_all_flows = false;
  /// An opened flow wasn't stored because `max_flows` was reached.
  bool has_untracked_flows = false;
  std::unordered_map<FlowKey, TargetFlow> flows;
  std::unordered_map<FlowKey, UnansweredOpening> openings;
  std::unordered_map<FlowKey, ReopenedFlow> reopened;
  std::array<ReturnablePacket, kReturnablePackets> returnable_packets;
  /// Return id of the next packet; 0 until the first one draws it. The ids of
  /// two processes of an agent would be the same if all began with one number.
  std::uint32_t next_return_id = 0;
  std::uint16_t running = 0;  ///< Number of flows with `occupies_slot`.
  /// Number of flows with `is_request_expected`.
  std::size_t expected_requests = 0;
  /// Openings of the last first_request_timeout, oldest first.
  std::deque<DeliveredOpening> delivered_openings;
  double average_running = 0;
  TimePoint averaged_at{};
  WarmupLimit warmup;   ///< Requests that the target gets while it is cold.
  WorkOrder order;      ///< Requests that the target has or that wait.
  TargetHealth health;  ///< Computed from the outcomes of requests.
  Random random{1};     ///< Gives jitter to probes of a failing target.
  /// Opening packets are refused from this time on, because the target's
  /// address may belong to a target of another service by then.
  TimePoint silent_from = TimePoint::max();
  /// Opening packets are refused until this time,
  /// because the target left an opening packet unanswered.
  TimePoint unresponsive_until{};
  TimePoint gone_since{};  ///< Time when the state became kGone, or zero.
  TimePoint last_target_packet_at{};
  /// Number of actions by reason.
  std::array<std::uint64_t, kTargetReasonCount> counts{};
};

/// Handles a packet that a balancer relayed.
/// @param target What the agent keeps about its target's flows.
/// @param header Relay header of the packet.
/// @param packet Parsed header of the caller's packet.
/// @param bytes The whole packet.
/// @param now Current time.
/// @param out Actions are appended to it; they refer to `bytes`.
auto OnRelayedPacket(TargetFlows& target,
                     const RelayHeader& header,
                     const FlowPacket& packet,
                     std::span<const std::uint8_t> bytes,
                     TimePoint now,
                     std::vector<TargetAction>& out) -> void;

/// Replies to a balancer's query whether the target holds a flow. A query about
/// another flow of the port leaves the recorded one as it is.
/// @param target What the agent keeps about its target's flows.
/// @param query The balancer's query.
/// @param now Current time.
/// @param out A reply is appended to it.
auto OnFlowQuery(TargetFlows& target,
                 const FlowQuery& query,
                 TimePoint now,
                 std::vector<TargetAction>& out) -> void;

/// Handles a packet that the target sent to a caller,
/// or a caller's packet that the target returned.
/// @param target What the agent keeps about its target's flows.
/// @param packet Parsed header of the packet.
/// @param now Current time.
/// @param out Actions are appended to it; they refer to the packet's bytes.
auto OnTargetPacket(TargetFlows& target,
                    const FlowPacket& packet,
                    TimePoint now,
                    std::vector<TargetAction>& out) -> void;

/// Applies a new status of the target. A restart of the target ends the flows
/// of the target's previous start. Recent flows are kept because the restarted
/// target may have accepted them.
/// @param target What the agent keeps about its target's flows.
/// @param status The new status.
/// @param now Current time.
/// @param out Resets of the lost flows are appended to it.
auto ApplyTargetStatus(TargetFlows& target,
                       const TargetStatus& status,
                       TimePoint now,
                       std::vector<TargetAction>& out) -> void;

/// Applies the status of a start that has replaced the present one without a
/// certain sign of a restart. No flow is reset: the target returns the packets
/// of flows that it doesn't hold. It holds those that it has accepted since a
/// heartbeat of the new start came, whichever of the two starts runs.
/// @param target What the agent keeps about its target's flows.
/// @param status The new status.
/// @param heard_since When the first heartbeat of the new start came.
/// @param now Current time.
auto ApplyReplacedTarget(TargetFlows& target,
                         const TargetStatus& status,
                         TimePoint heard_since,
                         TimePoint now) -> void;

/// Returns opening packets that the target didn't answer in time to the
/// balancers that relayed them, delivers requests whose wait has ended, resets
/// the flows of a target that has shut down and updates the average load.
/// @param target What the agent keeps about its target's flows.
/// @param now Current time.
/// @param out Actions are appended to it.
auto OnTargetTick(TargetFlows& target,
                  TimePoint now,
                  std::vector<TargetAction>& out) -> void;

/// Erases all flows because the target has ended, and sends resets to the
/// callers of flows that were accepted and not closed.
/// @param target What the agent keeps about its target's flows.
/// @param out Resets are appended to it.
auto ResetAllTargetFlows(TargetFlows& target, std::vector<TargetAction>& out)
    -> void;

/// Erases flows whose retention after the close has expired or that have been
/// without packets for the lifetime of a flow, and counts requests whose
/// callers have given up as failed.
/// @param target What the agent keeps about its target's flows.
/// @param now Current time.
auto ExpireFlowsAndRequests(TargetFlows& target, TimePoint now) -> void;

/// @param target What the agent keeps about its target's flows.
/// @param now Current time.
/// @return The target's load, as reported to balancers.
auto ComputeTargetLoad(const TargetFlows& target, TimePoint now) -> TargetLoad;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_TARGET_FLOWS_H_
