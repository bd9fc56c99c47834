#ifndef HAWTHORNBANK_TARGET_FLOWS_H_
#define HAWTHORNBANK_TARGET_FLOWS_H_

#include <array>
#include <cstdint>
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
#include "hawthornbank/target_health.h"
#include "hawthornbank/types.h"

/// @file
/// What an agent does with packets to and from a target that returns those of
/// flows it doesn't hold.
///
/// Load pattern: openings while all slots are taken, a target that falls
/// silent or restarts, one that resets or never answers requests while its
/// heartbeats are good and it looks idle, an agent that restarts beside a
/// target that doesn't.
/// The agent knows the target's flows from the packets that pass it. One that
/// it can't know, as it started later than the flow, it offers to the target
/// once.
namespace hawthornbank {

/// Limits of an agent's decisions.
struct TargetFlowsOptions {
  std::uint32_t service = 0;  ///< HashName of the target's service.
  Endpoint self;              ///< The agent, for other processes.
  /// Time for the target to answer an opening; it is on the same host.
  Duration answer_timeout = std::chrono::milliseconds{25};
  /// Running requests a slot from which an opening is passed on.
  double full_factor = 1.5;
  /// Agents that refused an opening before one that is full takes it.
  std::size_t max_passes = 2;
  /// Silence of a target that has said that it goes, after which it has ended.
  /// It goes on serving its flows for up to two seconds.
  Duration exit_time = std::chrono::seconds{3};
  /// Time from a target's start until its first heartbeat is heard: it
  /// announces itself as it starts; covers the call's delay.
  Duration first_heartbeat = std::chrono::milliseconds{300};
  Duration flow_idle = std::chrono::seconds{30};
  /// Life of a closed flow's entry, for packets that come again.
  Duration closed_linger = std::chrono::seconds{4};
  /// Time without a packet after which a request no longer counts as running:
  /// its caller has given up.
  Duration longest_run = std::chrono::milliseconds{1500};
  std::size_t max_flows = 8192;
};

/// A flow of the target.
struct TargetFlow {
  Endpoint origin;  ///< Balancer that was told last who has it.
  std::uint64_t target_born = 0;
  std::uint32_t acknowledgement = 0;  ///< The caller's last one.
  TimePoint used{};
  TimePoint accepted_at{};  ///< When the target took it.
  TimePoint running_since{};
  TimePoint closed_at{};
  bool answered = false;  ///< The target took it.
  /// Sequence number with which it did, until the caller acknowledges it.
  std::optional<std::uint32_t> offered_sequence;
  bool running = false;    ///< A slot is taken; by an opening at first.
  bool requested = false;  ///< A request has no answer yet.
  bool caller_ended = false;
  bool target_ended = false;
};

/// An opening that the target hasn't answered.
struct UnansweredOpening {
  std::vector<std::uint8_t> packet;
  RelayHeader header;
  TimePoint delivered{};
};

/// A packet that the target may return.
struct OfferedPacket {
  std::uint32_t cursor = 0;
  RelayHeader header;
};

/// Why an agent did something with a packet.
enum class TargetReason : std::uint8_t {
  kDelivered,        ///< To the target, of a flow it has.
  kOpened,           ///< An opening, to the target.
  kOffered,          ///< Of an unknown flow; the target may have it.
  kAnswered,         ///< From the target to the caller.
  kWrongService,     ///< For a service that isn't here.
  kNotReady,         ///< The target takes no new flows.
  kFull,             ///< All slots are taken.
  kFailing,          ///< Most of the target's requests have failed.
  kNotHere,          ///< The target doesn't have the flow.
  kReturned,         ///< The target returned it.
  kSilent,           ///< The target didn't answer an opening.
  kTargetRestarted,  ///< The flow's target has restarted since.
  kTargetGone,       ///< The flow's target has left.
  kMalformed,        ///< The packet can't be read.
  kCount,
};

/// Number of reasons.
inline constexpr auto kTargetReasonCount =
    static_cast<std::size_t>(TargetReason::kCount);

/// @param reason A reason.
/// @return Its name in logs and metrics.
auto ToString(TargetReason reason) -> std::string_view;

/// What the binding does for an agent.
struct TargetAction {
  enum class Kind : std::uint8_t {
    kDeliver,   ///< Hand the packet to the target, with `cursor`.
    kSendBack,  ///< Send the header and the packet to its origin.
    kToCaller,  ///< Send the packet to the caller.
    kNote,      ///< Tell balancer `to` whether the flow is here.
    kReset,     ///< Tell the caller that the flow is over.
    kDrop,      ///< Nothing; it is counted.
  };
  Kind kind = Kind::kDrop;
  TargetReason reason = TargetReason::kDelivered;
  FlowKey flow;
  Endpoint to;
  RelayHeader header;
  std::uint32_t cursor = 0;
  std::vector<std::uint8_t> opening;  ///< The packet, when it was kept here.
  std::uint32_t acknowledgement = 0;  ///< For a reset.
  FlowHolding holding = FlowHolding::kHeld;  ///< For a note.
};

/// Packets that the target may still return.
inline constexpr std::size_t kOfferedPackets = 256;

/// Decisions of one agent.
struct TargetFlows {
  TargetFlowsOptions options;
  TargetStatus status;
  bool leaving = false;
  /// Whether every flow of the target passed this agent. False for an agent
  /// that started later than its target.
  bool knows_all = false;
  bool overflowed = false;  ///< More flows than `max_flows` were opened.
  std::unordered_map<FlowKey, TargetFlow> flows;
  std::unordered_map<FlowKey, UnansweredOpening> openings;
  std::array<OfferedPacket, kOfferedPackets> offered;
  std::uint32_t next_cursor = 1;
  std::uint16_t running = 0;
  double average_running = 0;
  TimePoint averaged{};
  TargetHealth health;       ///< Judged by how its requests end.
  Random random{1};          ///< Spreads probes of a failing target.
  TimePoint silent_until{};  ///< The target left openings unanswered.
  TimePoint gone_at{};       ///< When the target said that it goes.
  TimePoint last_from_target{};
  std::array<std::uint64_t, kTargetReasonCount> counts{};
};

/// Handles a packet that a balancer relayed.
/// @param target The agent.
/// @param header Its relay header.
/// @param packet The head of the caller's packet.
/// @param bytes The whole packet.
/// @param now The present instant.
/// @param out Receives the actions; they refer to `bytes`.
auto OnRelayedPacket(TargetFlows& target,
                     const RelayHeader& header,
                     const FlowPacket& packet,
                     std::span<const std::uint8_t> bytes,
                     TimePoint now,
                     std::vector<TargetAction>& out) -> void;

/// Answers a balancer that looks for a flow.
/// @param target The agent.
/// @param query The question.
/// @param out Receives a note.
auto OnFlowQuery(TargetFlows& target,
                 const FlowQuery& query,
                 std::vector<TargetAction>& out) -> void;

/// Handles a packet from the target, its own or a returned one.
/// @param target The agent.
/// @param packet Its head.
/// @param now The present instant.
/// @param out Receives the actions; they refer to the packet's bytes.
auto OnTargetPacket(TargetFlows& target,
                    const FlowPacket& packet,
                    TimePoint now,
                    std::vector<TargetAction>& out) -> void;

/// Takes a new status of the target. A new start ends all flows of the last.
/// @param target The agent.
/// @param status The status.
/// @param now The present instant.
/// @param out Receives resets of flows that the target lost.
auto SetTargetStatus(TargetFlows& target,
                     const TargetStatus& status,
                     TimePoint now,
                     std::vector<TargetAction>& out) -> void;

/// Sends back unanswered openings, ends the flows of a target that has left
/// and averages the load.
/// @param target The agent.
/// @param now The present instant.
/// @param out Receives the actions.
auto OnTargetTick(TargetFlows& target,
                  TimePoint now,
                  std::vector<TargetAction>& out) -> void;

/// Ends all flows, as the target has ended.
/// @param target The agent.
/// @param out Receives the resets.
auto EndTarget(TargetFlows& target, std::vector<TargetAction>& out) -> void;

/// Forgets flows that are closed or idle.
/// @param target The agent.
/// @param now The present instant.
auto ForgetOldFlows(TargetFlows& target, TimePoint now) -> void;

/// @param target The agent.
/// @return How busy its target is.
auto LoadOf(const TargetFlows& target) -> TargetLoad;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_TARGET_FLOWS_H_
