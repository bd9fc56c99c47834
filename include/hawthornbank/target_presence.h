#ifndef HAWTHORNBANK_TARGET_PRESENCE_H_
#define HAWTHORNBANK_TARGET_PRESENCE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "hawthornbank/fleet.h"
#include "hawthornbank/types.h"

/// @file
/// State of an agent's target, as derived from the target's heartbeats.
///
/// Load pattern: delayed, duplicated and reordered heartbeats of the running
/// target or of an earlier start. Heartbeats are ordered only by the target's
/// start time and the sequence number.
namespace hawthornbank {

/// A heartbeat, in which a target reports its state to its agent.
struct TargetHeartbeat {
  std::string id;
  std::string service;
  std::uint64_t started_at_ms = 0;  ///< Start of the target, Unix milliseconds.
  std::uint64_t sequence = 0;       ///< Grows with each heartbeat of one start.
  TargetState state = TargetState::kUnknown;
  std::uint16_t slots = 1;
  std::uint32_t warmup_ms = 0;
};

/// Sequence number of the first heartbeat after a target's start.
inline constexpr std::uint64_t kFirstHeartbeatSequence = 1;

/// State of an agent's target, as known from the heartbeats received.
struct TargetPresence {
  std::string service;  ///< Name of the service that the target serves.
  std::string id;
  std::uint64_t sequence = 0;  ///< Sequence number of the newest heartbeat.
  TargetStatus status;
  TimePoint last_heartbeat_at{};
  /// End of the target's warm-up; empty until a heartbeat tells it. Not later
  /// than the present for a target that is warm.
  std::optional<TimePoint> warm_at;
  /// Whether every flow since the target's last start
  /// has passed through this agent.
  bool knows_all_flows = false;
};

/// Outcome of a heartbeat, of an announced shutdown or of missing heartbeats.
enum class PresenceOutcome : std::uint8_t {
  kKnown,      ///< The target's status is unchanged.
  kChanged,    ///< The target's status changed.
  kRestarted,  ///< The target has restarted and lost its flows.
  kLate,       ///< A newer heartbeat, start or id is known.
  kForeign,    ///< The heartbeat belongs to another service.
};

/// Applies a heartbeat of the target.
/// @param presence State of the target.
/// @param beat The heartbeat.
/// @param now Current time.
/// @return Outcome of the heartbeat.
auto OnTargetHeartbeat(TargetPresence& presence,
                       const TargetHeartbeat& beat,
                       TimePoint now) -> PresenceOutcome;

/// Handles the shutdown announcement of a target.
/// @param presence State of the target.
/// @param id Id of the target that is shutting down.
/// @return Outcome of the announcement.
auto OnTargetShutdownAnnounced(TargetPresence& presence, const std::string& id)
    -> PresenceOutcome;

/// Marks the target as gone when no heartbeat has arrived in the two intervals
/// (plus an allowance for delays) after this agent's start. A running target
/// would have sent a heartbeat, because a target sends heartbeats to its own
/// agent only. Also sets knows_all_flows, because a gone target holds no flows.
/// @param presence State of the target.
/// @param interval Interval of heartbeats.
/// @param up Time since this agent started.
/// @return kChanged when this call marks the target as gone, otherwise kKnown.
auto MarkSilentTargetGone(TargetPresence& presence,
                          Duration interval,
                          Duration up) -> PresenceOutcome;

/// @param outcome An outcome.
/// @return Name of the outcome in logs.
auto ToString(PresenceOutcome outcome) -> const char*;

/// @param state A target's state.
/// @return Name of the state in logs.
auto ToString(TargetState state) -> const char*;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_TARGET_PRESENCE_H_
