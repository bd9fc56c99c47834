#include "hawthornbank/membership.h"

#include <algorithm>
#include <utility>

#include "membership_internal.h"

namespace hawthornbank {
namespace {

using detail::Actions;

/// Period in seconds over which average traffic stays within the byte budget.
constexpr double kBudgetReserveSeconds = 600;
/// Delay after the start at which a balancer that has received no digest from a
/// ready peer becomes ready, because no other balancer seems to be ready.
constexpr Duration kFirstBalancerDelay = std::chrono::milliseconds{1500};
/// Maximum weight that a target can announce, in percent.
constexpr std::uint16_t kMaxWeightPercent = 100;

/// Records the header of a digest as a heartbeat of the digest's sender. A
/// sender of an earlier incarnation than is known is sent its record: if it
/// runs, its clock has gone back, and it takes a larger incarnation.
/// @return Whether the sender's full record must be requested.
auto RecordSenderHeartbeat(Membership& membership,
                           Endpoint from,
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
    detail::AppendCountEventAction(MembershipEvent::kStaleRecord, out);
    Digest answer = detail::MakeEmptyDigest(membership);
    answer.balancers.push_back(held);
    detail::SendDigestTo(membership, from, std::move(answer), out);
    return false;
  }
  if (digest.incarnation == held.incarnation &&
      digest.sequence < held.sequence) {
    return false;
  }
  entry.status.last_contact = now;
  // A new incarnation may change any field of the record, so the full record is
  // requested.
  if (digest.incarnation > held.incarnation) {
    return true;
  }
  const bool newer = digest.sequence > held.sequence;
  entry.record.sequence = digest.sequence;
  if (newer && held.state != BalancerState::kAlive) {
    detail::AppendCountEventAction(MembershipEvent::kRefuted, out);
    if (entry.status.is_watched) {
      detail::RaiseLocalHealthPenalty(membership, now);
    }
    detail::ChangeBalancerState(membership, entry, BalancerState::kAlive, now);
  }
  return false;
}

/// Handles a received record of self: raises self's incarnation above a higher
/// incarnation in the record. If the record reports self as not alive, raises
/// self's sequence above the record's sequence. Does nothing after self has
/// announced the shutdown.
auto RefuteRecordOfSelf(Membership& membership, const BalancerRecord& record)
    -> void {
  auto& self = membership.self;
  if (self.state == BalancerState::kLeft) {
    return;
  }
  if (record.incarnation > self.incarnation &&
      record.incarnation < kMaxUsableIncarnation) {
    self.incarnation = Incarnation{ToInteger(record.incarnation) + 1};
    detail::ScheduleSelfGossip(membership);
    return;
  }
  const bool is_reported_down = record.state != BalancerState::kAlive;
  if (is_reported_down && record.incarnation == self.incarnation &&
      record.sequence >= self.sequence) {
    self.sequence = record.sequence + 1;
    detail::ScheduleSelfGossip(membership);
  }
}

/// Collects this balancer's records of members whose records in a digest are
/// older and have another state or incarnation.
class RecordCorrections {
 public:
  auto AddCorrectionOfStaleRecord(const Membership& membership,
                                  const TargetRecord& stale) -> void {
    const auto& held = membership.targets.at(stale.id).record;
    if (held.state != stale.state || held.incarnation != stale.incarnation) {
      targets_.push_back(held);
    }
  }

  auto AddCorrectionOfStaleRecord(const Membership& membership,
                                  const BalancerRecord& stale) -> void {
    const auto& held = membership.balancers.at(stale.id).record;
    if (held.state != stale.state || held.incarnation != stale.incarnation) {
      balancers_.push_back(held);
    }
  }

  auto SendCorrectionsTo(Membership& membership, Endpoint to, Actions& out)
      -> void {
    if (targets_.empty() && balancers_.empty()) {
      return;
    }
    Digest digest = detail::MakeEmptyDigest(membership);
    digest.targets = std::move(targets_);
    digest.balancers = std::move(balancers_);
    detail::SendDigestTo(membership, to, std::move(digest), out);
  }

 private:
  std::vector<TargetRecord> targets_;
  std::vector<BalancerRecord> balancers_;
};

/// Tells whether a received record can be used; counts and logs it if not.
template <class Record>
auto IsUsable(const Record& record, Actions& out) -> bool {
  const char* const failure = CheckRecord(record);
  if (failure == nullptr) {
    return true;
  }
  detail::AppendCountEventAction(MembershipEvent::kMalformedRecord, out);
  out.emplace_back(
      LogIgnoredRecord{.id = ToInteger(record.id), .reason = failure});
  return false;
}

auto MergeDigestRecords(Membership& membership,
                        Endpoint from,
                        const Digest& digest,
                        TimePoint now,
                        Actions& out) -> void {
  RecordCorrections corrections;
  for (const auto& it : digest.balancers) {
    if (!IsUsable(it, out)) {
      continue;
    }
    if (it.id == membership.self.id) {
      RefuteRecordOfSelf(membership, it);
      continue;
    }
    if (detail::MergeBalancer(membership, it, now, out) ==
        detail::MergeResult::kStale) {
      corrections.AddCorrectionOfStaleRecord(membership, it);
    }
  }
  for (const auto& it : digest.generations) {
    detail::ApplyGenerationUpdate(membership, it);
  }
  for (const auto& it : digest.targets) {
    if (!IsUsable(it, out)) {
      continue;
    }
    if (detail::MergeTarget(membership, it, now, out) ==
        detail::MergeResult::kStale) {
      corrections.AddCorrectionOfStaleRecord(membership, it);
    }
  }
  corrections.SendCorrectionsTo(membership, from, out);
}

/// Sends self's record to a peer; if `ask` is true, also asks for the peer's
/// record.
auto SendRecordOfSelf(Membership& membership,
                      Endpoint to,
                      bool ask,
                      Actions& out) -> void {
  ++membership.self.sequence;
  Digest answer = detail::MakeEmptyDigest(membership);
  answer.probe = ask;
  answer.balancers.push_back(membership.self);
  detail::SendDigestTo(membership, to, std::move(answer), out);
}

auto AcknowledgeAnnouncementIfNeeded(Membership& membership,
                                     Endpoint from,
                                     const Announcement& announcement,
                                     Actions& out) -> void {
  const auto& held = membership.targets.at(announcement.target.id);
  AnnouncementAck ack{.target = announcement.target.id,
                      .state = held.record.state,
                      .incarnation = held.record.incarnation,
                      .sequence = held.record.sequence};
  const bool superseded =
      held.record.incarnation > announcement.target.incarnation;
  if (membership.ready) {
    ack.watchers = ListWatchers(membership, ToInteger(announcement.target.id),
                                announcement.target.zone, {});
    if (announcement.wants_view) {
      ack.view = BuildServiceView(membership, announcement.target.service);
      ack.has_view = ack.view.version != announcement.view_version;
    }
  }
  const bool misplaced = membership.ready && !held.status.is_watched;
  if (!announcement.wants_ack && !ack.has_view && !misplaced && !superseded) {
    return;
  }
  membership.budget_bytes -=
      static_cast<double>(ComputeEncodedSize(ack) + detail::kDatagramOverhead);
  out.emplace_back(SendAnnouncementAck{.to = from, .ack = std::move(ack)});
}

auto RemoveExpiredTombstones(Membership& membership,
                             TimePoint now,
                             Actions& out) -> void {
  const auto lifetime = membership.options.tombstone_lifetime;
  for (auto it = membership.targets.begin(); it != membership.targets.end();) {
    const auto& entry = it->second;
    if (detail::IsPresentMemberState(entry.record.state) ||
        now - entry.status.state_changed < lifetime) {
      ++it;
      continue;
    }
    auto& ids = membership.services[entry.record.service];
    ids.erase(std::remove(ids.begin(), ids.end(), it->first), ids.end());
    out.emplace_back(TargetsChanged{entry.record.service});
    it = membership.targets.erase(it);
  }
  std::erase_if(membership.balancers, [&](const auto& it) {
    return !detail::IsPresentMemberState(it.second.record.state) &&
           now - it.second.status.state_changed >= lifetime;
  });
}

}  // namespace

auto detail::ComputeBudgetReserve(const Membership& membership) -> double {
  return kBudgetReserveSeconds * membership.options.budget_bytes_per_second;
}

auto detail::AppendCountEventAction(MembershipEvent event, Actions& out)
    -> void {
  out.emplace_back(CountMembershipEvent{event});
}

auto GetMembershipEventName(MembershipEvent event) -> const char* {
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
    case MembershipEvent::kLocalHealthWorsened:
      return "self_doubt";
    case MembershipEvent::kHeldByFloor:
      return "held_by_floor";
    case MembershipEvent::kZoneSilent:
      return "zone_silent";
    case MembershipEvent::kZoneBack:
      return "zone_back";
    case MembershipEvent::kLoadPutOff:
      return "load_put_off";
    case MembershipEvent::kMalformedRecord:
      return "malformed_record";
  }
  return "unknown";
}

auto MakeMembership(const MembershipOptions& options, TimePoint now)
    -> Membership {
  Membership membership{.options = options, .self = options.self};
  membership.started = now;
  membership.last_tick = now;
  membership.last_received = now;
  membership.budget_bytes =
      kBudgetReserveSeconds * options.budget_bytes_per_second;
  membership.last_heartbeat = now - options.heartbeat_interval;
  membership.last_sync = now - options.sync_interval;
  detail::RefillSyncAllowance(membership, std::chrono::seconds{1});
  membership.last_watch_assignment = now - options.heartbeat_interval;
  detail::RebuildRoster(membership);
  detail::ScheduleSelfGossip(membership);
  return membership;
}

auto OnAnnouncement(Membership& membership,
                    Endpoint from,
                    const Announcement& announcement,
                    TimePoint now,
                    std::vector<MembershipAction>& out) -> void {
  TargetRecord record = announcement.target;
  if (!IsUsable(record, out)) {
    return;
  }
  if (record.state == TargetState::kSuspect ||
      record.state == TargetState::kDead) {
    detail::AppendCountEventAction(MembershipEvent::kMalformedAnnounce, out);
    return;
  }
  record.load.weight_percent =
      std::min(record.load.weight_percent, kMaxWeightPercent);
  membership.last_received = now;
  const auto merged = detail::MergeTarget(membership, record, now, out);
  const auto it = membership.targets.find(record.id);
  if (it == membership.targets.end()) {
    return;
  }
  if (merged == detail::MergeResult::kAdopted) {
    it->second.status.last_contact = now;
  } else {
    detail::AppendCountEventAction(MembershipEvent::kStaleAnnounce, out);
  }
  AcknowledgeAnnouncementIfNeeded(membership, from, announcement, out);
}

auto OnDigestReceived(Membership& membership,
                      Endpoint from,
                      const Digest& digest,
                      TimePoint now,
                      std::vector<MembershipAction>& out) -> void {
  if (digest.sender == membership.self.id) {
    return;
  }
  membership.last_received = now;
  membership.has_heard_ready_peer =
      membership.has_heard_ready_peer || digest.ready;
  for (const auto& it : digest.beacons) {
    detail::RecordZoneBeacon(membership, it, now);
  }
  // Records are merged before the header, because the sender's record may have
  // the sequence of the header and would afterwards count as already known.
  MergeDigestRecords(membership, from, digest, now, out);
  const bool ask = RecordSenderHeartbeat(membership, from, digest, now, out);
  membership.ready =
      membership.ready || (digest.targets_complete && digest.ready);
  membership.is_in_sync = membership.is_in_sync || digest.is_complete;
  if (!digest.bucket_checksums.empty()) {
    detail::AnswerSyncRequest(membership, from, digest, out);
  }
  if (!digest.listed_buckets.empty()) {
    detail::AnswerHeldChecksums(membership, from, digest, out);
  }
  if (!digest.wanted_checksums.empty()) {
    detail::SendWantedRecords(membership, from, digest, out);
  }
  if (!digest.unheard_members.empty()) {
    detail::SendRequestedRecordsOfWatchedMembers(membership, from, digest, now,
                                                 out);
  }
  if (ask || (digest.probe && digest.bucket_checksums.empty())) {
    SendRecordOfSelf(membership, from, ask, out);
  }
}

auto OnMembershipTick(Membership& membership,
                      TimePoint now,
                      Random& random,
                      std::vector<MembershipAction>& out) -> TimePoint {
  const auto& options = membership.options;
  detail::UpdateLocalHealthPenalty(membership, now, out);
  const double elapsed =
      std::chrono::duration<double>(now - membership.last_tick).count();
  detail::RefillSyncAllowance(membership, now - membership.last_tick);
  membership.last_tick = now;
  const double limit = options.budget_bytes_per_second;
  membership.budget_bytes = std::min(kBudgetReserveSeconds * limit,
                                     membership.budget_bytes + elapsed * limit);
  if (!membership.has_heard_ready_peer &&
      now - membership.started > kFirstBalancerDelay) {
    membership.ready = true;
  }
  const bool assign_due =
      now - membership.last_watch_assignment >= options.heartbeat_interval;
  if (membership.are_watches_stale && assign_due) {
    detail::UpdateAllWatches(membership, now);
  }
  if (now - membership.last_heartbeat >= options.heartbeat_interval) {
    membership.last_heartbeat = now;
    detail::SendHeartbeats(membership, now, random, out);
    detail::UpdateSilentZones(membership, now, out);
    RemoveExpiredTombstones(membership, now, out);
  }
  detail::CheckWatchedMembers(membership, now, out);
  detail::SendSyncRequests(membership, now, random, out);
  detail::SendGossip(membership, random, out);
  return now + options.tick_interval;
}

auto SetGeneration(Membership& membership, Generation generation) -> void {
  if (membership.self.generation != generation) {
    membership.self.generation = generation;
    ++membership.self.sequence;
    detail::ScheduleSelfGossip(membership);
  }
}

auto AnnounceShutdown(Membership& membership,
                      std::vector<MembershipAction>& out) -> void {
  membership.self.state = BalancerState::kLeft;
  ++membership.self.sequence;
  Digest digest = detail::MakeEmptyDigest(membership);
  digest.balancers.push_back(membership.self);
  for (const auto& it : detail::ChooseWatchers(
           membership, ToInteger(membership.self.id),
           detail::HashZoneOrRegionName(membership.self.zone),
           detail::HashZoneOrRegionName(membership.self.region))) {
    detail::SendDigestTo(membership, it.peer, digest, out);
  }
}

}  // namespace hawthornbank
