#include "hawthornbank/target_presence.h"

#include <array>

namespace hawthornbank {

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
  const TargetStatus before = presence.status;
  presence.id = beat.id;
  presence.sequence = beat.sequence;
  presence.heard = now;
  presence.status = TargetStatus{.state = beat.state,
                                 .born = beat.born,
                                 .slots = beat.slots,
                                 .warmup_ms = beat.warmup_ms};
  if (is_new_start && had_one) {
    return PresenceOutcome::kRestarted;
  }
  // How long it stays slow counts down with each heartbeat; only the end of
  // it is news.
  TargetStatus compared = before;
  if (compared.warmup_ms > 0 && beat.warmup_ms > 0) {
    compared.warmup_ms = beat.warmup_ms;
  }
  return compared == presence.status ? PresenceOutcome::kKnown
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
