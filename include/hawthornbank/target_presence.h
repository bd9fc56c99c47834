#ifndef HAWTHORNBANK_TARGET_PRESENCE_H_
#define HAWTHORNBANK_TARGET_PRESENCE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/types.h"

/// @file
/// State of an agent's target, as derived from the target's heartbeats.
///
/// Load pattern: delayed, duplicated and reordered heartbeats of the running
/// target or of an earlier start, and starts while the clock of the target's
/// host is wrong. Heartbeats of one start are ordered by their sequence number.
/// A start is identified by its id and start time; start times don't order
/// starts, because clocks may go back: of two starts at the same address only
/// one can be running, and that is the one that goes on sending heartbeats.
/// Heartbeats may also come from a writer that is no target; they say nothing
/// of this agent's target if they name another address.
///
/// A target that crashes sends nothing, and its address is given to a target of
/// another service after the reuse delay. Heartbeats show whose address it is:
/// a target is silent when the newest one is older than ComputeSilenceLimit().
namespace hawthornbank {

/// A heartbeat, in which a target reports its state to its agent.
struct TargetHeartbeat {
  std::string id;
  std::string service;
  Endpoint address;  ///< Address at which the target receives packets.
  std::uint64_t started_at_ms = 0;  ///< Start of the target, Unix milliseconds.
  std::uint64_t sequence = 0;       ///< Grows with each heartbeat of one start.
  TargetState state = TargetState::kUnknown;
  std::uint16_t slots = 1;
  std::uint32_t warmup_ms = 0;
  /// Longest time for which the agent may have left it unread.
  Duration unread_time{};
  /// Time since the target's start by the clock of the agent's host, which may
  /// have been set since.
  std::optional<std::chrono::milliseconds> age;
};

/// Time from the end of a target after which its address may be given to a
/// target of another service, unless the settings say otherwise.
inline constexpr Duration kDefaultReuseDelay = std::chrono::seconds{2};

/// Largest sequence number of the first heartbeat after a target's start: some
/// targets count from 0, others from 1. It doesn't show by itself that the
/// heartbeat is the first one, see IsFirstHeartbeat().
inline constexpr std::uint64_t kFirstHeartbeatSequence = 1;

/// A start of a target.
struct TargetStart {
  std::string id;
  std::uint64_t started_at_ms = 0;  ///< Unix milliseconds.
  std::uint64_t sequence = 0;  ///< Sequence number of the newest heartbeat.
};

/// A start that has sent heartbeats since the last heartbeat of the start that
/// counts as running.
struct RivalStart {
  TargetStart start;
  TimePoint first_heard_at{};
};

/// A start of another service that may have the address of the present start's
/// target. Its heartbeats may be late.
struct ForeignClaim {
  TargetStart start;
  /// When its first heartbeat since the newest one of the present start came.
  TimePoint first_heard_at{};
  /// When the first heartbeat of the present start since the newest one of this
  /// start came; empty if none has.
  std::optional<TimePoint> own_heard_at;
};

/// Heartbeats of one start of the own service, received while a start of
/// another service may have the address.
struct HeartbeatRun {
  TargetStart start;
  TimePoint first_heard_at{};
  TimePoint last_heard_at{};
};

/// Number of replaced starts that an agent remembers.
inline constexpr std::size_t kMaxReplacedStarts = 8;

/// State of an agent's target, as known from the heartbeats received.
struct TargetPresence {
  std::string service;  ///< Name of the service that the target serves.
  Endpoint address;     ///< Address to which the agent delivers packets.
  /// Mean time between two heartbeats of a target.
  Duration heartbeat_interval = std::chrono::seconds{1};
  /// Time from a target's end after which its address may be used again.
  Duration reuse_delay = kDefaultReuseDelay;
  TimePoint process_started_at{};  ///< When the agent's process started.
  std::string id;
  std::uint64_t sequence = 0;  ///< Sequence number of the newest heartbeat.
  TargetStatus status;
  TimePoint last_heartbeat_at{};
  /// Latest time at which the target certainly ran: the newest heartbeat may
  /// have lain unread.
  TimePoint heard_at{};
  /// When the first heartbeat of the present start was applied.
  TimePoint first_heartbeat_at{};
  /// When the first heartbeat of the present start came. It is earlier if the
  /// start was a rival then.
  TimePoint first_heard_at{};
  /// That one was the first heartbeat of its start.
  bool has_first_heartbeat = false;
  /// By that one and the clock of the target's host, the present start began
  /// after the agent's process: starts that balancers remember came before.
  bool has_begun_in_process_life = false;
  /// End of the target's warm-up; empty until a heartbeat tells it. Not later
  /// than the present for a target that is warm.
  std::optional<TimePoint> warm_at;
  /// Whether every flow since the target's last start
  /// has passed through this agent.
  bool knows_all_flows = false;
  /// When a deregistration of the present start's id came; empty if a heartbeat
  /// of the start has followed. Until silence confirms it, it may be a late one
  /// of an earlier start.
  std::optional<TimePoint> deregistered_at;
  std::optional<RivalStart> rival;
  std::optional<ForeignClaim> claim;
  /// Service of the present start when its target is of another service: the
  /// address has been given away. Empty otherwise.
  std::string foreign_service;
  /// Empty until a heartbeat of the own service follows one of another service.
  std::optional<HeartbeatRun> contested_run;
  /// The present start has outlasted the heartbeats of another service, see
  /// OnTargetHeartbeat().
  bool has_outlasted_claims = false;
  /// Starts that counted as running before, the latest last.
  std::vector<TargetStart> replaced;
  /// Start times of the starts that an earlier process of this agent had, in
  /// Unix milliseconds, as balancers remember them. Flows of these starts may
  /// have passed through that process only.
  std::vector<std::uint64_t> former_starts_ms;
};

/// Outcome of a heartbeat, of an announced shutdown or of missing heartbeats.
enum class PresenceOutcome : std::uint8_t {
  kKnown,    ///< The target's status is unchanged.
  kChanged,  ///< The target's status changed.
  /// The target has restarted and lost its flows: the start before was running
  /// while this agent was.
  kRestarted,
  /// Another start counts as running now. Which flows its target holds is known
  /// only to the target.
  kReplaced,
  kLate,        ///< A newer heartbeat of the same start is known.
  kOtherStart,  ///< Sent by a start that doesn't count as running; not applied.
  kForeign,     ///< The heartbeat belongs to another service.
  /// The heartbeat belongs to another service, which may have the target's
  /// address: the target's state is unknown, its flows go on.
  kClaimed,
  /// The target's address belongs to a target of another service now.
  kGivenAway,
  /// The target has deregistered. It may be that an earlier start has: a ready
  /// target's state is unknown, its flows go on.
  kDeregistered,
};

/// Tells whether a heartbeat or deregistration with this outcome is applied, or
/// its content was already known, so that it can be acknowledged. The sender of
/// one that isn't acknowledged sends another.
/// @param outcome The outcome.
/// @return Whether to acknowledge it.
constexpr auto IsAcknowledged(PresenceOutcome outcome) -> bool {
  return outcome != PresenceOutcome::kOtherStart &&
         outcome != PresenceOutcome::kForeign &&
         outcome != PresenceOutcome::kClaimed &&
         outcome != PresenceOutcome::kGivenAway;
}

/// Computes how long a running target can be silent.
/// @param interval Mean time between two heartbeats.
/// @return Two intervals and an allowance for delays.
auto ComputeHeartbeatTimeout(Duration interval) -> Duration;

/// Computes how long heartbeats of the own service must go on beside those of
/// another service to show that the address still belongs to the own target:
/// longer than late heartbeats of an ended target do.
/// @param interval Mean time between two heartbeats.
/// @return The time.
auto ComputeOutlastingTime(Duration interval) -> Duration;

/// Computes how long after the target's newest heartbeat openings are delivered
/// to the target: as long as a running target can be silent, but not until its
/// address can be in use by another target.
/// @param presence State of the target.
/// @return The time from the newest heartbeat.
auto ComputeSilenceLimit(const TargetPresence& presence) -> Duration;

/// Computes when the target counts as silent unless it sends a heartbeat.
/// @param presence State of the target.
/// @return The time; before the present if no heartbeat has been received, if
/// the target may have deregistered or if another service may have its address.
auto ComputeSilenceStart(const TargetPresence& presence) -> TimePoint;

/// Describes the target for balancers. A target that was ready and is silent or
/// may have deregistered, or whose address another service may have, is of
/// unknown state and keeps its start time: its flows may still be open. No
/// start time is given while a target of another service has the address.
/// @param presence State of the target.
/// @param now Current time.
/// @return The status.
auto DescribeTargetStatus(const TargetPresence& presence, TimePoint now)
    -> TargetStatus;

/// Tells whether a heartbeat is the first one of its start, before which the
/// target holds no flows. Number 0 is. Number 1 may be the second one, so it
/// counts only if the process has been running for so long that it would have
/// received number 0, or if the target is younger than half an interval by the
/// clock. Neither the number nor the clock shows it alone: targets begin to
/// count at different numbers, and a clock may have been set.
/// @param presence State of the target.
/// @param beat The heartbeat.
/// @param now Current time.
/// @return Whether the heartbeat is certainly the first one.
auto IsFirstHeartbeat(const TargetPresence& presence,
                      const TargetHeartbeat& beat,
                      TimePoint now) -> bool;

/// Applies a heartbeat of the target. A start that is unknown and started later
/// replaces the present one at once. If the present one was running during the
/// agent's life, it must have missed a heartbeat, and the other one must be
/// younger than an interval: its heartbeat may be a late one of a start that
/// has ended. Such a replacement counts as a restart. The present start was
/// running if the agent received its first heartbeat or heard it for
/// ComputeHeartbeatTimeout(); otherwise all that was heard of it may be a late
/// message. A start that is heard before the present one has missed a heartbeat
/// replaces it with its next one, which doesn't count as a restart. Any other
/// start replaces it when it has sent heartbeats for ComputeHeartbeatTimeout()
/// in which the present one has been silent. A start of another service claims
/// the address when it started later or the present one is silent: the target
/// counts as silent. It replaces the present one, and the target is gone, when
/// it has sent heartbeats for ComputeHeartbeatTimeout() in which the present
/// one has been silent. The claim is rejected when the present one has sent
/// heartbeats for as long in which the other one has been silent. Heartbeats of
/// another service can come from a writer that isn't a target and go on for
/// ever, so they don't outweigh those of the own service: a start of the own
/// service that sends heartbeats for ComputeOutlastingTime(), whatever another
/// service sends meanwhile, is the present one, and further claims are ignored
/// until it is silent.
/// @param presence State of the target.
/// @param beat The heartbeat.
/// @param now Current time.
/// @return Outcome of the heartbeat.
auto OnTargetHeartbeat(TargetPresence& presence,
                       const TargetHeartbeat& beat,
                       TimePoint now) -> PresenceOutcome;

/// Records the start that an earlier process of this agent had. If it is the
/// present one, the agent doesn't know all flows, whatever the number of the
/// first heartbeat that it has received: targets may count from any number.
/// Another start then replaces it at once only with a first heartbeat. If the
/// present start is another one, its first heartbeat may be a late message: the
/// agent knows all flows when it has heard it for ComputeHeartbeatTimeout().
/// @param presence State of the target.
/// @param started_at_ms Start time in Unix milliseconds.
/// @return Whether the start wasn't recorded before.
auto RecordFormerStart(TargetPresence& presence, std::uint64_t started_at_ms)
    -> bool;

/// Handles a deregistration. It carries no start, so it may be a late one of an
/// earlier start with the same id. A ready target counts as silent from now on.
/// The target is gone when ConfirmDeregistration() says so, unless it sends a
/// heartbeat before.
/// @param presence State of the target.
/// @param id Id of the target that is shutting down.
/// @param now Current time.
/// @return Outcome of the deregistration.
auto OnTargetShutdownAnnounced(TargetPresence& presence,
                               const std::string& id,
                               TimePoint now) -> PresenceOutcome;

/// Marks a target as gone that has deregistered and has sent no heartbeat for
/// ComputeHeartbeatTimeout() in which this agent has read its messages without
/// a pause. A rival start with the same id may have sent the deregistration, so
/// the present one isn't gone while a rival may still replace it.
/// @param presence State of the target.
/// @param listening Time for which the agent has read its messages without a
/// pause.
/// @param now Current time.
/// @return kChanged when this call marks the target as gone, otherwise kKnown.
auto ConfirmDeregistration(TargetPresence& presence,
                           Duration listening,
                           TimePoint now) -> PresenceOutcome;

/// Marks the target as gone when no heartbeat has arrived in the two intervals
/// (plus an allowance for delays) in which this agent has read its messages
/// without a pause since its start. A running target would have sent a
/// heartbeat, because a target sends heartbeats to its own agent only. Which
/// flows the target holds, if it runs after all, is known only to the target.
/// A target whose heartbeats aren't applied yet isn't gone.
/// @param presence State of the target.
/// @param listening Time for which the agent has read its messages without a
/// pause.
/// @return kChanged when this call marks the target as gone, otherwise kKnown.
auto MarkSilentTargetGone(TargetPresence& presence, Duration listening)
    -> PresenceOutcome;

/// @param outcome An outcome.
/// @return Name of the outcome in logs.
auto ToString(PresenceOutcome outcome) -> const char*;

/// @param state A target's state.
/// @return Name of the state in logs.
auto ToString(TargetState state) -> const char*;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_TARGET_PRESENCE_H_
