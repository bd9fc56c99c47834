#include "hawthornbank/target_presence.h"

#include <algorithm>
#include <array>

namespace hawthornbank {
namespace {

// Allowance for the delay and the retry of a heartbeat.
constexpr Duration kHeartbeatDelayAllowance = std::chrono::milliseconds{300};

// Allowance for the rounding of the time that a heartbeat states.
constexpr Duration kWarmupRounding = std::chrono::milliseconds{1};

// Returns the end of the warm-up. A heartbeat that was delayed gives a later
// end than the target's own, never an earlier one.
auto ComputeWarmupEnd(std::optional<TimePoint> previous_end,
                      std::uint32_t warmup_ms,
                      TimePoint now) -> TimePoint {
  if (warmup_ms > 0) {
    return now + std::chrono::milliseconds{warmup_ms} + kWarmupRounding;
  }
  return previous_end.has_value() ? std::min(*previous_end, now) : TimePoint{};
}

}  // namespace

auto OnTargetHeartbeat(TargetPresence& presence,
                       const TargetHeartbeat& beat,
                       TimePoint now) -> PresenceOutcome {
  if (beat.service != presence.service) {
    return PresenceOutcome::kForeign;
  }
  if (beat.started_at_ms < presence.status.started_at_ms) {
    return PresenceOutcome::kLate;
  }
  const bool is_new_start = beat.started_at_ms > presence.status.started_at_ms;
  if (!is_new_start && beat.sequence <= presence.sequence) {
    return PresenceOutcome::kLate;
  }
  const bool had_target = presence.status.started_at_ms != 0;
  presence.warm_at = ComputeWarmupEnd(
      is_new_start ? std::nullopt : presence.warm_at, beat.warmup_ms, now);
  if (is_new_start) {
    // Every flow has passed through this agent in two cases: the agent received
    // the target's first heartbeat, before which a target holds no flows, or
    // the target restarted while this agent was running.
    presence.knows_all_flows =
        had_target || beat.sequence <= kFirstHeartbeatSequence;
  }
  const TargetStatus previous_status = presence.status;
  presence.id = beat.id;
  presence.sequence = beat.sequence;
  presence.last_heartbeat_at = now;
  presence.status = TargetStatus{.state = beat.state,
                                 .started_at_ms = beat.started_at_ms,
                                 .slots = beat.slots,
                                 .cold = beat.warmup_ms > 0};
  if (is_new_start && had_target) {
    return PresenceOutcome::kRestarted;
  }
  return previous_status == presence.status ? PresenceOutcome::kKnown
                                            : PresenceOutcome::kChanged;
}

auto OnTargetShutdownAnnounced(TargetPresence& presence, const std::string& id)
    -> PresenceOutcome {
  if (id != presence.id) {
    return PresenceOutcome::kLate;
  }
  if (presence.status.state == TargetState::kGone) {
    return PresenceOutcome::kKnown;
  }
  presence.status.state = TargetState::kGone;
  return PresenceOutcome::kChanged;
}

auto MarkSilentTargetGone(TargetPresence& presence,
                          Duration interval,
                          Duration up) -> PresenceOutcome {
  if (presence.status.state != TargetState::kUnknown ||
      up < 2 * interval + kHeartbeatDelayAllowance) {
    return PresenceOutcome::kKnown;
  }
  presence.status.state = TargetState::kGone;
  presence.knows_all_flows = true;
  return PresenceOutcome::kChanged;
}

auto ToString(PresenceOutcome outcome) -> const char* {
  constexpr std::array kNames = {"known", "changed", "restarted", "late",
                                 "foreign"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

auto ToString(TargetState state) -> const char* {
  constexpr std::array kNames = {"unknown", "ready", "draining", "gone"};
  return kNames.at(static_cast<std::size_t>(state));
}

}  // namespace hawthornbank
