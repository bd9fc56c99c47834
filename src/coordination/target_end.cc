#include "hawthornbank/target_presence.h"

namespace hawthornbank {
namespace {

// Whether a start that sends heartbeats could still replace the present one:
// it takes ComputeHeartbeatTimeout() and the time until its next heartbeat.
auto MayRivalReplacePresentStart(const TargetPresence& presence, TimePoint now)
    -> bool {
  return presence.rival.has_value() &&
         now - presence.rival->first_heard_at <
             2 * ComputeHeartbeatTimeout(presence.heartbeat_interval);
}

}  // namespace

auto OnTargetShutdownAnnounced(TargetPresence& presence,
                               const std::string& id,
                               TimePoint now) -> PresenceOutcome {
  if (presence.status.started_at_ms == 0) {
    return PresenceOutcome::kKnown;  // An unknown target takes no new flows.
  }
  if (id != presence.id) {
    return PresenceOutcome::kOtherStart;
  }
  if (!presence.foreign_service.empty()) {
    return PresenceOutcome::kForeign;
  }
  if (presence.status.state == TargetState::kGone ||
      presence.deregistered_at.has_value()) {
    return PresenceOutcome::kKnown;
  }
  presence.deregistered_at = now;
  return PresenceOutcome::kDeregistered;
}

auto ConfirmDeregistration(TargetPresence& presence,
                           Duration listening,
                           TimePoint now) -> PresenceOutcome {
  const Duration timeout = ComputeHeartbeatTimeout(presence.heartbeat_interval);
  if (!presence.deregistered_at.has_value() ||
      presence.status.state == TargetState::kGone || listening < timeout ||
      now - presence.last_heartbeat_at < timeout ||
      MayRivalReplacePresentStart(presence, now)) {
    return PresenceOutcome::kKnown;
  }
  presence.status.state = TargetState::kGone;
  return PresenceOutcome::kChanged;
}

auto MarkSilentTargetGone(TargetPresence& presence, Duration listening)
    -> PresenceOutcome {
  if (presence.status.state != TargetState::kUnknown ||
      presence.rival.has_value() || presence.contested_run.has_value() ||
      listening < ComputeHeartbeatTimeout(presence.heartbeat_interval)) {
    return PresenceOutcome::kKnown;
  }
  presence.status.state = TargetState::kGone;
  return PresenceOutcome::kChanged;
}

}  // namespace hawthornbank
