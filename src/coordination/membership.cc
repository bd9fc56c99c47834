#include "hawthornbank/membership.h"

#include <algorithm>
#include <utility>

#include "membership_internal.h"

namespace hawthornbank {
namespace {

using detail::Actions;

/// Span over which the budget holds on average.
constexpr double kReserveSeconds = 600;
/// Time after which a balancer that hears no ready peer is the first.
constexpr Duration kFirstBalancerDelay = std::chrono::milliseconds{1500};
/// Most weight a target can claim, in percent.
constexpr std::uint16_t kMaxWeight = 100;

/// Takes the head of a digest as its sender's heartbeat.
/// @return Whether the sender's record must be asked for.
auto HearSender(Membership& membership,
                const Digest& digest,
                TimePoint now,
                Actions& out) -> bool {
  const auto it = membership.balancers.find(digest.sender);
  if (it == membership.balancers.end()) {
    return true;
  }
  auto& entry = it->second;
  const auto& held = entry.record;
  if (digest.incarnation < held.incarnation) {
    detail::Count(MembershipEvent::kStaleRecord, out);
    return false;
  }
  if (digest.incarnation == held.incarnation &&
      digest.sequence < held.sequence) {
    return false;
  }
  entry.status.heard = now;
  // Its record may have changed in other ways; it is adopted only whole.
  if (digest.incarnation > held.incarnation) {
    return true;
  }
  const bool newer = digest.sequence > held.sequence;
  entry.record.sequence = digest.sequence;
  if (newer && held.state != BalancerState::kAlive) {
    detail::Count(MembershipEvent::kRefuted, out);
    if (entry.status.watched) {
      detail::NoteWrongSuspicion(membership, now);
    }
    detail::ChangeBalancerState(membership, entry, BalancerState::kAlive, now);
  }
  return false;
}

/// Answers an accusation of self by a later sequence.
auto HearOfSelf(Membership& membership, const BalancerRecord& record) -> void {
  auto& self = membership.self;
  if (self.state == BalancerState::kLeft) {
    return;
  }
  if (record.incarnation > self.incarnation) {
    self.incarnation = Incarnation{ToInteger(record.incarnation) + 1};
    detail::MarkSelf(membership);
    return;
  }
  const bool accused = record.state != BalancerState::kAlive;
  if (accused && record.incarnation == self.incarnation &&
      record.sequence >= self.sequence) {
    self.sequence = record.sequence + 1;
    detail::MarkSelf(membership);
  }
}

/// Records held that are newer than those in a digest and differ from them.
class Corrections {
 public:
  auto Add(const Membership& membership, const TargetRecord& stale) -> void {
    const auto& held = membership.targets.at(stale.id).record;
    if (held.state != stale.state || held.incarnation != stale.incarnation) {
      targets_.push_back(held);
    }
  }

  auto Add(const Membership& membership, const BalancerRecord& stale) -> void {
    const auto& held = membership.balancers.at(stale.id).record;
    if (held.state != stale.state || held.incarnation != stale.incarnation) {
      balancers_.push_back(held);
    }
  }

  auto SendTo(Membership& membership, Endpoint to, Actions& out) -> void {
    if (targets_.empty() && balancers_.empty()) {
      return;
    }
    Digest digest = detail::MakeDigest(membership);
    digest.targets = std::move(targets_);
    digest.balancers = std::move(balancers_);
    detail::Send(membership, to, std::move(digest), out);
  }

 private:
  std::vector<TargetRecord> targets_;
  std::vector<BalancerRecord> balancers_;
};

auto MergeRecords(Membership& membership,
                  Endpoint from,
                  const Digest& digest,
                  TimePoint now,
                  Actions& out) -> void {
  Corrections corrections;
  for (const auto& it : digest.balancers) {
    if (it.id == membership.self.id) {
      HearOfSelf(membership, it);
      continue;
    }
    if (detail::MergeBalancer(membership, it, now, out) ==
        detail::Merge::kStale) {
      corrections.Add(membership, it);
    }
  }
  for (const auto& it : digest.generations) {
    detail::TakeGeneration(membership, it);
  }
  for (const auto& it : digest.targets) {
    if (detail::MergeTarget(membership, it, now, out) ==
        detail::Merge::kStale) {
      corrections.Add(membership, it);
    }
  }
  corrections.SendTo(membership, from, out);
}

/// Sends self's record and the sender's, as this balancer holds it.
auto AnswerProbe(Membership& membership, Endpoint to, bool ask, Actions& out)
    -> void {
  ++membership.self.sequence;
  Digest answer = detail::MakeDigest(membership);
  answer.probe = ask;
  answer.balancers.push_back(membership.self);
  detail::Send(membership, to, std::move(answer), out);
}

auto AnswerAnnounce(Membership& membership,
                    Endpoint from,
                    const Announce& announce,
                    Actions& out) -> void {
  const auto& held = membership.targets.at(announce.target.id);
  AnnounceAck ack{.target = announce.target.id,
                  .state = held.record.state,
                  .incarnation = held.record.incarnation,
                  .sequence = held.record.sequence};
  const bool superseded = held.record.incarnation > announce.target.incarnation;
  if (membership.ready) {
    ack.watchers = WatchersOf(membership, ToInteger(announce.target.id),
                              announce.target.zone, {});
    if (announce.wants_view) {
      ack.view = ViewOf(membership, announce.target.service);
      ack.has_view = ack.view.version != announce.view_version;
    }
  }
  const bool misplaced = membership.ready && !held.status.watched;
  if (!announce.wants_ack && !ack.has_view && !misplaced && !superseded) {
    return;
  }
  membership.budget_bytes -=
      static_cast<double>(EncodedSize(ack) + detail::kDatagramOverhead);
  out.emplace_back(SendAnnounceAck{.to = from, .ack = std::move(ack)});
}

auto RemoveTombstones(Membership& membership, TimePoint now, Actions& out)
    -> void {
  const auto lifetime = membership.options.tombstone_lifetime;
  for (auto it = membership.targets.begin(); it != membership.targets.end();) {
    const auto& entry = it->second;
    if (detail::IsPresent(entry.record.state) ||
        now - entry.status.changed < lifetime) {
      ++it;
      continue;
    }
    auto& ids = membership.services[entry.record.service];
    ids.erase(std::remove(ids.begin(), ids.end(), it->first), ids.end());
    out.emplace_back(TargetsChanged{entry.record.service});
    it = membership.targets.erase(it);
  }
  std::erase_if(membership.balancers, [&](const auto& it) {
    return !detail::IsPresent(it.second.record.state) &&
           now - it.second.status.changed >= lifetime;
  });
}

}  // namespace

auto detail::BudgetReserve(const Membership& membership) -> double {
  return kReserveSeconds * membership.options.budget_bytes_per_second;
}

auto detail::Count(MembershipEvent event, Actions& out) -> void {
  out.emplace_back(CountMembershipEvent{event});
}

auto MembershipEventName(MembershipEvent event) -> const char* {
  switch (event) {
    case MembershipEvent::kStaleAnnounce:
      return "stale_announce";
    case MembershipEvent::kStaleRecord:
      return "stale_record";
    case MembershipEvent::kMalformedAnnounce:
      return "malformed_announce";
    case MembershipEvent::kSuspected:
      return "suspected";
    case MembershipEvent::kRefuted:
      return "refuted";
    case MembershipEvent::kDeclaredDead:
      return "declared_dead";
    case MembershipEvent::kSelfDoubt:
      return "self_doubt";
    case MembershipEvent::kHeldByFloor:
      return "held_by_floor";
    case MembershipEvent::kZoneSilent:
      return "zone_silent";
    case MembershipEvent::kZoneBack:
      return "zone_back";
    case MembershipEvent::kLoadPutOff:
      return "load_put_off";
  }
  return "unknown";
}

auto MakeMembership(const MembershipOptions& options, TimePoint now)
    -> Membership {
  Membership membership{.options = options, .self = options.self};
  membership.started = now;
  membership.last_tick = now;
  membership.last_received = now;
  membership.budget_bytes = kReserveSeconds * options.budget_bytes_per_second;
  membership.last_heartbeat = now - options.heartbeat_interval;
  membership.last_sync = now - options.sync_interval;
  detail::RefillSyncAllowance(membership, std::chrono::seconds{1});
  membership.last_assign = now - options.heartbeat_interval;
  detail::RebuildRoster(membership);
  detail::MarkSelf(membership);
  return membership;
}

auto OnAnnounce(Membership& membership,
                Endpoint from,
                const Announce& announce,
                TimePoint now,
                std::vector<MembershipAction>& out) -> void {
  TargetRecord record = announce.target;
  if (record.state == TargetState::kSuspect ||
      record.state == TargetState::kDead) {
    detail::Count(MembershipEvent::kMalformedAnnounce, out);
    return;
  }
  record.load.weight_percent = std::min(record.load.weight_percent, kMaxWeight);
  membership.last_received = now;
  const auto merged = detail::MergeTarget(membership, record, now, out);
  const auto it = membership.targets.find(record.id);
  if (it == membership.targets.end()) {
    return;
  }
  if (merged == detail::Merge::kAdopted) {
    it->second.status.heard = now;
  } else {
    detail::Count(MembershipEvent::kStaleAnnounce, out);
  }
  AnswerAnnounce(membership, from, announce, out);
}

auto OnDigest(Membership& membership,
              Endpoint from,
              const Digest& digest,
              TimePoint now,
              std::vector<MembershipAction>& out) -> void {
  if (digest.sender == membership.self.id) {
    return;
  }
  membership.last_received = now;
  membership.ready_peer = membership.ready_peer || digest.ready;
  for (const auto& it : digest.beacons) {
    detail::AdvanceBeacon(membership, it, now);
  }
  // Records first: the sender's own may be news at the head's sequence.
  MergeRecords(membership, from, digest, now, out);
  const bool ask = HearSender(membership, digest, now, out);
  membership.ready =
      membership.ready || (digest.targets_complete && digest.ready);
  membership.in_step = membership.in_step || digest.complete;
  if (!digest.checksums.empty()) {
    detail::AnswerSync(membership, from, digest, out);
  }
  if (!digest.buckets.empty()) {
    detail::AnswerHeld(membership, from, digest, out);
  }
  if (!digest.wanted.empty()) {
    detail::AnswerWanted(membership, from, digest, out);
  }
  if (!digest.asked.empty()) {
    detail::AnswerAsked(membership, from, digest, now, out);
  }
  if (ask || (digest.probe && digest.checksums.empty())) {
    AnswerProbe(membership, from, ask, out);
  }
}

auto OnMembershipTick(Membership& membership,
                      TimePoint now,
                      Random& random,
                      std::vector<MembershipAction>& out) -> TimePoint {
  const auto& options = membership.options;
  detail::CheckOwnHealth(membership, now, out);
  const double elapsed =
      std::chrono::duration<double>(now - membership.last_tick).count();
  detail::RefillSyncAllowance(membership, now - membership.last_tick);
  membership.last_tick = now;
  const double limit = options.budget_bytes_per_second;
  membership.budget_bytes = std::min(kReserveSeconds * limit,
                                     membership.budget_bytes + elapsed * limit);
  if (!membership.ready_peer &&
      now - membership.started > kFirstBalancerDelay) {
    membership.ready = true;
  }
  const bool assign_due =
      now - membership.last_assign >= options.heartbeat_interval;
  if (membership.watches_stale && assign_due) {
    detail::AssignWatches(membership, now);
  }
  if (now - membership.last_heartbeat >= options.heartbeat_interval) {
    membership.last_heartbeat = now;
    detail::SendHeartbeats(membership, now, random, out);
    detail::CheckZones(membership, now, out);
    RemoveTombstones(membership, now, out);
  }
  detail::CheckWatches(membership, now, out);
  detail::SendSync(membership, now, random, out);
  detail::SendGossip(membership, random, out);
  return now + options.tick_interval;
}

auto SetGeneration(Membership& membership, Generation generation) -> void {
  if (membership.self.generation != generation) {
    membership.self.generation = generation;
    ++membership.self.sequence;
    detail::MarkSelf(membership);
  }
}

auto BeginLeave(Membership& membership, std::vector<MembershipAction>& out)
    -> void {
  membership.self.state = BalancerState::kLeft;
  ++membership.self.sequence;
  Digest digest = detail::MakeDigest(membership);
  digest.balancers.push_back(membership.self);
  for (const auto& it :
       detail::ChooseWatchers(membership, ToInteger(membership.self.id),
                              detail::PlaceHash(membership.self.zone),
                              detail::PlaceHash(membership.self.region))) {
    detail::Send(membership, it.peer, digest, out);
  }
}

}  // namespace hawthornbank
