#include "coordination/address_claim.h"

#include <algorithm>

namespace hawthornbank {
namespace detail {
namespace {

// Whether heartbeats of another service contradict those of the own service.
auto IsAddressContested(const TargetPresence& presence) -> bool {
  return presence.claim.has_value() || !presence.foreign_service.empty();
}

auto IsRunGoingOn(const TargetPresence& presence, TimePoint now) -> bool {
  return presence.contested_run.has_value() &&
         now - presence.contested_run->last_heard_at <=
             ComputeHeartbeatTimeout(presence.heartbeat_interval);
}

}  // namespace

auto IsSameStart(const TargetStart& start, const TargetHeartbeat& beat)
    -> bool {
  return start.started_at_ms == beat.started_at_ms && start.id == beat.id;
}

auto IsSameClaim(const TargetPresence& presence, const TargetHeartbeat& beat)
    -> bool {
  return presence.claim.has_value() && IsSameStart(presence.claim->start, beat);
}

auto RememberReplacedStart(TargetPresence& presence, const TargetStart& start)
    -> void {
  std::erase_if(presence.replaced, [&](const TargetStart& it) {
    return it.id == start.id && it.started_at_ms == start.started_at_ms;
  });
  presence.replaced.push_back(start);
  if (presence.replaced.size() > kMaxReplacedStarts) {
    presence.replaced.erase(presence.replaced.begin());
  }
}

auto RejectClaim(TargetPresence& presence) -> void {
  if (presence.claim.has_value()) {
    RememberReplacedStart(presence, presence.claim->start);
    presence.claim.reset();
  }
}

auto HasTakenAddress(TargetPresence& presence,
                     const TargetHeartbeat& beat,
                     TimePoint now) -> bool {
  if (!IsSameClaim(presence, beat) ||
      presence.claim->own_heard_at.has_value()) {
    RejectClaim(presence);
    presence.claim = ForeignClaim{.start = {.id = beat.id,
                                            .started_at_ms = beat.started_at_ms,
                                            .sequence = beat.sequence},
                                  .first_heard_at = now};
    return false;
  }
  presence.claim->start.sequence = beat.sequence;
  return now - beat.unread_time - presence.claim->first_heard_at >=
         ComputeHeartbeatTimeout(presence.heartbeat_interval);
}

auto AnswerClaim(TargetPresence& presence,
                 const TargetHeartbeat& beat,
                 TimePoint now) -> void {
  if (!presence.claim.has_value()) {
    return;
  }
  auto& own_heard_at = presence.claim->own_heard_at;
  if (!own_heard_at.has_value()) {
    own_heard_at = now;
  } else if (now - beat.unread_time - *own_heard_at >=
             ComputeHeartbeatTimeout(presence.heartbeat_interval)) {
    RejectClaim(presence);
  }
}

auto HasOutlastedOtherService(TargetPresence& presence,
                              const TargetHeartbeat& beat,
                              TimePoint now) -> bool {
  auto& run = presence.contested_run;
  if (!IsAddressContested(presence)) {
    run.reset();
    return false;
  }
  if (!IsRunGoingOn(presence, now) || !IsSameStart(run->start, beat)) {
    run = HeartbeatRun{.start = {.id = beat.id,
                                 .started_at_ms = beat.started_at_ms,
                                 .sequence = beat.sequence},
                       .first_heard_at = now,
                       .last_heard_at = now};
    return false;
  }
  if (beat.sequence <= run->start.sequence) {
    return false;
  }
  run->start.sequence = beat.sequence;
  run->last_heard_at = now;
  return now - beat.unread_time - run->first_heard_at >=
         ComputeOutlastingTime(presence.heartbeat_interval);
}

auto EraseEndedRun(TargetPresence& presence, TimePoint now) -> void {
  if (!IsRunGoingOn(presence, now)) {
    presence.contested_run.reset();
  }
}

auto IgnoresClaims(TargetPresence& presence, TimePoint now) -> bool {
  presence.has_outlasted_claims =
      presence.has_outlasted_claims &&
      now - presence.heard_at <
          ComputeHeartbeatTimeout(presence.heartbeat_interval);
  return presence.has_outlasted_claims;
}

}  // namespace detail

auto ComputeOutlastingTime(Duration interval) -> Duration {
  return 2 * ComputeHeartbeatTimeout(interval);
}

}  // namespace hawthornbank
