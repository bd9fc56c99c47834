#include "hawthornbank/target_presence.h"

#include <algorithm>
#include <array>

#include "coordination/address_claim.h"

namespace hawthornbank {
namespace {

using detail::AnswerClaim;
using detail::EraseEndedRun;
using detail::HasOutlastedOtherService;
using detail::HasTakenAddress;
using detail::IgnoresClaims;
using detail::IsSameClaim;
using detail::IsSameStart;
using detail::RejectClaim;
using detail::RememberReplacedStart;

// Allowance for the delay and the retry of a heartbeat.
constexpr Duration kHeartbeatDelayAllowance = std::chrono::milliseconds{300};

// Allowance for the time between a heartbeat's sending and its receipt, and
// between an opening's check and its arrival at the target.
constexpr Duration kReuseAllowance = std::chrono::milliseconds{300};

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

auto GetPresentStart(const TargetPresence& presence) -> TargetStart {
  return TargetStart{.id = presence.id,
                     .started_at_ms = presence.status.started_at_ms,
                     .sequence = presence.sequence};
}

auto HasTarget(const TargetPresence& presence) -> bool {
  return presence.status.started_at_ms != 0;
}

auto FindReplacedStart(TargetPresence& presence, const TargetHeartbeat& beat)
    -> std::vector<TargetStart>::iterator {
  return std::find_if(
      presence.replaced.begin(), presence.replaced.end(),
      [&](const TargetStart& it) { return IsSameStart(it, beat); });
}

auto IsRival(const TargetPresence& presence, const TargetHeartbeat& beat)
    -> bool {
  return presence.rival.has_value() && IsSameStart(presence.rival->start, beat);
}

// Records a heartbeat of a start that may have replaced the present one.
// Returns whether it has: a single late message of an earlier start doesn't
// show it, and neither do several that arrive together. Heartbeats of the
// present one may lie unread beside one that has.
auto HasReplacedPresentStart(TargetPresence& presence,
                             const TargetHeartbeat& beat,
                             TimePoint now) -> bool {
  if (!IsRival(presence, beat)) {
    presence.rival = RivalStart{.start = {.id = beat.id,
                                          .started_at_ms = beat.started_at_ms,
                                          .sequence = beat.sequence},
                                .first_heard_at = now};
    return false;
  }
  RivalStart& rival = *presence.rival;
  if (beat.sequence <= rival.start.sequence) {
    return false;
  }
  rival.start.sequence = beat.sequence;
  return now - beat.unread_time - rival.first_heard_at >=
         ComputeHeartbeatTimeout(presence.heartbeat_interval);
}

auto HasOwnTarget(const TargetPresence& presence) -> bool {
  return HasTarget(presence) && presence.foreign_service.empty();
}

auto ApplyHeartbeat(TargetPresence& presence,
                    const TargetHeartbeat& beat,
                    TimePoint now) -> PresenceOutcome {
  const TargetStatus previous_status = presence.status;
  presence.id = beat.id;
  presence.sequence = beat.sequence;
  presence.last_heartbeat_at = now;
  presence.heard_at = now - beat.unread_time;
  presence.deregistered_at.reset();
  presence.rival.reset();
  presence.status = TargetStatus{.state = beat.state,
                                 .started_at_ms = beat.started_at_ms,
                                 .slots = beat.slots,
                                 .cold = beat.warmup_ms > 0};
  return previous_status == presence.status ? PresenceOutcome::kKnown
                                            : PresenceOutcome::kChanged;
}

// Whether a start had just begun, by the clock, when its first heartbeat came
// `known_for` ago, so that this one can be the first sign that it runs. One
// that was older than an interval has sent others, and this one may be late.
auto MayHaveJustStarted(const TargetPresence& presence,
                        const TargetHeartbeat& beat,
                        Duration known_for = {}) -> bool {
  if (!beat.age.has_value()) {
    return true;
  }
  const Duration age = *beat.age - known_for;
  return age > -presence.heartbeat_interval &&
         age - beat.unread_time < presence.heartbeat_interval;
}

// Applies the first heartbeat of a start that now counts as running.
auto ReplacePresentStart(TargetPresence& presence,
                         const TargetHeartbeat& beat,
                         TimePoint now) -> void {
  const auto known = FindReplacedStart(presence, beat);
  if (known != presence.replaced.end()) {
    presence.replaced.erase(known);
  }
  if (HasTarget(presence)) {
    RememberReplacedStart(presence, GetPresentStart(presence));
  }
  presence.warm_at = ComputeWarmupEnd(std::nullopt, beat.warmup_ms, now);
  presence.foreign_service.clear();
  presence.has_outlasted_claims = false;
  presence.first_heartbeat_at = now;
  presence.first_heard_at =
      IsRival(presence, beat) ? presence.rival->first_heard_at : now;
  presence.has_first_heartbeat = IsFirstHeartbeat(presence, beat, now);
  presence.has_begun_in_process_life =
      presence.has_first_heartbeat && beat.age.has_value() &&
      MayHaveJustStarted(presence, beat) &&
      now - presence.process_started_at >= *beat.age;
  ApplyHeartbeat(presence, beat, now);
}

// Makes a start of another service the present one.
auto FollowForeignStart(TargetPresence& presence,
                        const TargetHeartbeat& beat,
                        TargetState state,
                        TimePoint now) -> void {
  ReplacePresentStart(presence, beat, now);
  presence.claim.reset();
  presence.foreign_service = beat.service;
  presence.status =
      TargetStatus{.state = state, .started_at_ms = beat.started_at_ms};
  presence.warm_at.reset();
  presence.knows_all_flows = false;
}

// Whether a heartbeat of another service says nothing about the present: it was
// repeated or overtaken, or it is older than the present start, which is heard.
auto IsLateForeignHeartbeat(TargetPresence& presence,
                            const TargetHeartbeat& beat,
                            TimePoint now) -> bool {
  if (IsSameClaim(presence, beat)) {
    return beat.sequence <= presence.claim->start.sequence;
  }
  const auto known = FindReplacedStart(presence, beat);
  if (known != presence.replaced.end() && beat.sequence <= known->sequence) {
    return true;
  }
  return beat.started_at_ms <= presence.status.started_at_ms &&
         now < presence.heard_at + ComputeSilenceLimit(presence);
}

// Applies a heartbeat of a target of another service, which may be a late one
// of a target that had the address before.
auto OnForeignHeartbeat(TargetPresence& presence,
                        const TargetHeartbeat& beat,
                        TimePoint now) -> PresenceOutcome {
  EraseEndedRun(presence, now);
  if (IsSameStart(GetPresentStart(presence), beat) &&
      !presence.foreign_service.empty()) {
    if (beat.sequence > presence.sequence) {
      presence.sequence = beat.sequence;
      presence.last_heartbeat_at = now;
      presence.heard_at = now - beat.unread_time;
      presence.rival.reset();
    }
    return PresenceOutcome::kForeign;
  }
  if (beat.address != presence.address || IgnoresClaims(presence, now) ||
      IsLateForeignHeartbeat(presence, beat, now)) {
    return PresenceOutcome::kForeign;
  }
  if (!HasOwnTarget(presence)) {
    FollowForeignStart(presence, beat, presence.status.state, now);
    return PresenceOutcome::kForeign;
  }
  const bool was_claimed = presence.claim.has_value();
  presence.rival.reset();
  if (HasTakenAddress(presence, beat, now)) {
    FollowForeignStart(presence, beat, TargetState::kGone, now);
    return PresenceOutcome::kGivenAway;
  }
  return was_claimed ? PresenceOutcome::kForeign : PresenceOutcome::kClaimed;
}

auto IsFormerStart(const TargetPresence& presence, std::uint64_t started_at_ms)
    -> bool {
  const auto& starts = presence.former_starts_ms;
  return std::find(starts.begin(), starts.end(), started_at_ms) != starts.end();
}

// Whether the present start has been heard for so long that late messages of an
// earlier start can't be all that was heard, unless its very first one is late.
auto WasHeardForTwoIntervals(const TargetPresence& presence) -> bool {
  return presence.last_heartbeat_at - presence.first_heartbeat_at >=
         ComputeHeartbeatTimeout(presence.heartbeat_interval);
}

// Whether every flow has passed through this agent since the present start's
// first heartbeat, before which a target holds no flows. The first heartbeat of
// an earlier start may be late at an agent whose process has restarted.
auto WasHeardFromItsFirstHeartbeat(const TargetPresence& presence) -> bool {
  return presence.has_first_heartbeat &&
         !IsFormerStart(presence, presence.status.started_at_ms) &&
         (presence.former_starts_ms.empty() ||
          WasHeardForTwoIntervals(presence));
}

// Whether the present start was running while this agent was. Late messages of
// an earlier start can't show it, unless its very first message is late.
auto WasPresentStartRunning(const TargetPresence& presence) -> bool {
  return HasOwnTarget(presence) &&
         (presence.knows_all_flows || WasHeardForTwoIntervals(presence));
}

// Whether a start that is unknown to an agent whose process has restarted may
// be an earlier one, as it hasn't just sent its first heartbeat: the present
// start runs on from before, has begun since, or has gone on since, while
// balancers knew the other one.
auto MayHaveEndedBefore(const TargetPresence& presence,
                        const TargetHeartbeat& beat,
                        TimePoint now) -> bool {
  const bool has_just_started = IsFirstHeartbeat(presence, beat, now) &&
                                MayHaveJustStarted(presence, beat);
  return HasOwnTarget(presence) && !has_just_started &&
         (IsFormerStart(presence, presence.status.started_at_ms) ||
          (IsFormerStart(presence, beat.started_at_ms) &&
           (presence.has_begun_in_process_life ||
            WasPresentStartRunning(presence))));
}

// Whether the present start has missed a heartbeat, as one that has ended does.
auto HasMissedAHeartbeat(const TargetPresence& presence,
                         const TargetHeartbeat& beat,
                         TimePoint now) -> bool {
  return now - beat.unread_time - presence.last_heartbeat_at >=
         presence.heartbeat_interval + kHeartbeatDelayAllowance;
}

// Whether a start may have ended the present one, which ran. Unless that one
// has missed a heartbeat, another one of the start must follow: a late one
// looks like that of a start that has just begun if the clock was ahead by as
// much as the heartbeat is late.
auto MayHaveRestarted(const TargetPresence& presence,
                      const TargetHeartbeat& beat,
                      TimePoint now) -> bool {
  if (!IsRival(presence, beat)) {
    return MayHaveJustStarted(presence, beat) &&
           HasMissedAHeartbeat(presence, beat, now);
  }
  const RivalStart& rival = *presence.rival;
  return beat.sequence > rival.start.sequence &&
         MayHaveJustStarted(presence, beat, now - rival.first_heard_at) &&
         HasMissedAHeartbeat(presence, beat, now);
}

// Whether an unknown start replaces the present one at once. A start that ran
// while this agent did ends only by evidence: its flows are reset then.
auto MustReplaceAtOnce(const TargetPresence& presence,
                       const TargetHeartbeat& beat,
                       TimePoint now) -> bool {
  return beat.started_at_ms > presence.status.started_at_ms &&
         !MayHaveEndedBefore(presence, beat, now) &&
         (!WasPresentStartRunning(presence) ||
          MayHaveRestarted(presence, beat, now));
}

auto OnHeartbeatOfOtherStart(TargetPresence& presence,
                             const TargetHeartbeat& beat,
                             TimePoint now) -> PresenceOutcome {
  const auto known = FindReplacedStart(presence, beat);
  const bool is_known = known != presence.replaced.end();
  if (is_known && beat.sequence <= known->sequence) {
    return PresenceOutcome::kOtherStart;
  }
  const bool outlasts = HasOutlastedOtherService(presence, beat, now);
  if (!is_known && MustReplaceAtOnce(presence, beat, now)) {
    const bool had_target = HasTarget(presence);
    // Flows may have opened at a rival since it began.
    const bool ends_flows =
        WasPresentStartRunning(presence) && !presence.rival.has_value();
    ReplacePresentStart(presence, beat, now);
    // Every flow has passed through this agent in two cases: it has heard the
    // start from its first heartbeat on, or the target restarted while this
    // agent was running.
    presence.knows_all_flows =
        WasHeardFromItsFirstHeartbeat(presence) ||
        (ends_flows && !IsFormerStart(presence, beat.started_at_ms));
    if (presence.claim.has_value()) {
      presence.claim->own_heard_at = now;
      if (beat.started_at_ms > presence.claim->start.started_at_ms) {
        RejectClaim(presence);
      }
    }
    if (!had_target) {
      return PresenceOutcome::kChanged;
    }
    return ends_flows ? PresenceOutcome::kRestarted
                      : PresenceOutcome::kReplaced;
  }
  if (!HasReplacedPresentStart(presence, beat, now) && !outlasts) {
    return PresenceOutcome::kOtherStart;
  }
  presence.knows_all_flows = false;
  ReplacePresentStart(presence, beat, now);
  RejectClaim(presence);
  presence.has_outlasted_claims = outlasts;
  return PresenceOutcome::kReplaced;
}

}  // namespace

auto ComputeHeartbeatTimeout(Duration interval) -> Duration {
  return 2 * interval + kHeartbeatDelayAllowance;
}

auto ComputeSilenceLimit(const TargetPresence& presence) -> Duration {
  return std::min(ComputeHeartbeatTimeout(presence.heartbeat_interval),
                  presence.reuse_delay - kReuseAllowance);
}

auto ComputeSilenceStart(const TargetPresence& presence) -> TimePoint {
  const bool may_have_ended = presence.deregistered_at.has_value() &&
                              presence.status.state == TargetState::kReady;
  return HasTarget(presence) && !presence.claim.has_value() && !may_have_ended
             ? presence.heard_at + ComputeSilenceLimit(presence)
             : TimePoint{};
}

auto DescribeTargetStatus(const TargetPresence& presence, TimePoint now)
    -> TargetStatus {
  TargetStatus status = presence.status;
  if (status.state == TargetState::kReady &&
      now >= ComputeSilenceStart(presence)) {
    status.state = TargetState::kUnknown;
  }
  if (!presence.foreign_service.empty()) {
    status.started_at_ms = 0;
  }
  return status;
}

auto IsFirstHeartbeat(const TargetPresence& presence,
                      const TargetHeartbeat& beat,
                      TimePoint now) -> bool {
  if (beat.sequence == 0 || beat.sequence > kFirstHeartbeatSequence) {
    return beat.sequence == 0;
  }
  const Duration interval = presence.heartbeat_interval;
  return now - presence.process_started_at >=
             ComputeHeartbeatTimeout(interval) ||
         (beat.age.has_value() && 2 * std::chrono::abs(*beat.age) < interval);
}

auto OnTargetHeartbeat(TargetPresence& presence,
                       const TargetHeartbeat& beat,
                       TimePoint now) -> PresenceOutcome {
  if (beat.service != presence.service) {
    return OnForeignHeartbeat(presence, beat, now);
  }
  if (!IsSameStart(GetPresentStart(presence), beat)) {
    return OnHeartbeatOfOtherStart(presence, beat, now);
  }
  if (beat.sequence <= presence.sequence) {
    return PresenceOutcome::kLate;
  }
  presence.warm_at = ComputeWarmupEnd(presence.warm_at, beat.warmup_ms, now);
  AnswerClaim(presence, beat, now);
  if (HasOutlastedOtherService(presence, beat, now)) {
    RejectClaim(presence);
    presence.has_outlasted_claims = true;
  }
  const auto outcome = ApplyHeartbeat(presence, beat, now);
  presence.knows_all_flows =
      presence.knows_all_flows || WasHeardFromItsFirstHeartbeat(presence);
  return outcome;
}

auto RecordFormerStart(TargetPresence& presence, std::uint64_t started_at_ms)
    -> bool {
  auto& starts = presence.former_starts_ms;
  if (IsFormerStart(presence, started_at_ms)) {
    return false;
  }
  if (starts.size() >= kMaxReplacedStarts) {
    starts.erase(starts.begin());
  }
  starts.push_back(started_at_ms);
  if (!WasHeardForTwoIntervals(presence) ||
      IsFormerStart(presence, presence.status.started_at_ms)) {
    presence.knows_all_flows = false;
  }
  return true;
}

auto ToString(PresenceOutcome outcome) -> const char* {
  constexpr std::array kNames = {
      "known",       "changed", "restarted", "replaced",   "late",
      "other_start", "foreign", "claimed",   "given_away", "deregistered"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

auto ToString(TargetState state) -> const char* {
  constexpr std::array kNames = {"unknown", "ready", "draining", "gone"};
  return kNames.at(static_cast<std::size_t>(state));
}

}  // namespace hawthornbank
