#include "hawthornbank/target_presence.h"

#include <array>

namespace hawthornbank {
namespace {

// A heartbeat's own delay and retry.
constexpr Duration kHeartbeatSlack = std::chrono::milliseconds{300};

}  // namespace

auto OnHeartbeat(TargetPresence& presence,
                 const TargetHeartbeat& beat,
                 TimePoint now) -> PresenceOutcome {
  if (beat.service != presence.service) {
    return PresenceOutcome::kForeign;
  }
  if (beat.born < presence.status.born) {
    return PresenceOutcome::kLate;
  }
  const bool is_new_start = beat.born > presence.status.born;
  if (!is_new_start && beat.sequence <= presence.sequence) {
    return PresenceOutcome::kLate;
  }
  const bool had_one = presence.status.born != 0;
  if (is_new_start) {
    // A target has no flow before its first heartbeat is heard, and its later
    // starts are seen here.
    presence.seen_since_start = had_one || beat.sequence <= kFirstSequence;
  }
  const TargetStatus before = presence.status;
  presence.id = beat.id;
  presence.sequence = beat.sequence;
  presence.heard = now;
  presence.status = TargetStatus{.state = beat.state,
                                 .born = beat.born,
                                 .slots = beat.slots,
                                 .cold = beat.warmup_ms > 0};
  if (is_new_start && had_one) {
    return PresenceOutcome::kRestarted;
  }
  return before == presence.status ? PresenceOutcome::kKnown
                                   : PresenceOutcome::kChanged;
}

auto OnDeparture(TargetPresence& presence, const std::string& id)
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

auto OnSilence(TargetPresence& presence, Duration interval, Duration up)
    -> PresenceOutcome {
  if (presence.status.state != TargetState::kUnknown ||
      up < 2 * interval + kHeartbeatSlack) {
    return PresenceOutcome::kKnown;
  }
  presence.status.state = TargetState::kGone;
  presence.seen_since_start = true;
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
