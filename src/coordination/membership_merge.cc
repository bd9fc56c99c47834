#include <algorithm>
#include <tuple>

#include "membership_internal.h"

namespace hawthornbank::detail {
namespace {

/// The last gossiped number of connections, divided by this number, is the
/// minimum change that is gossiped, but at least kSignificantConnections.
constexpr std::uint32_t kSignificantShareDivisor = 8;
/// Lower bound of the minimum change of connections that is gossiped.
constexpr std::uint32_t kSignificantConnections = 16;
/// Number of pending changes above which gossip sends only changes of targets
/// that self watches, and all changes in fewer rounds. Synchronisation
/// transfers the other changes, for example after all nodes start at once.
constexpr std::size_t kBulkChangeCount = 40;
/// Number of gossip rounds of a change while many changes are pending.
constexpr std::uint8_t kBulkRounds = 1;
/// Assumed age of a heartbeat that another watcher received. Exceeds the time
/// that the member's record takes to this balancer, and leaves time for two
/// more queries of other watchers before a suspicion.
constexpr Duration kIndirectHeartbeatAge = std::chrono::milliseconds{500};
/// Minimum change of weight that is gossiped, in percentage points.
constexpr std::uint32_t kSignificantWeightPoints = 10;

auto ComputeAbsoluteDifference(std::uint32_t a, std::uint32_t b)
    -> std::uint32_t {
  return a > b ? a - b : b - a;
}

/// Unless all load changes are gossiped, ignores slots_busy and queued, because
/// no decision of a balancer uses these two fields.
auto IsLoadChangeSignificant(const Membership& membership,
                             const TargetLoad& gossiped,
                             const TargetLoad& reported) -> bool {
  if (!membership.options.gossips_only_significant_load) {
    return gossiped != reported;
  }
  const auto step = std::max(kSignificantConnections,
                             gossiped.connections / kSignificantShareDivisor);
  return gossiped.slots != reported.slots ||
         ComputeAbsoluteDifference(gossiped.connections,
                                   reported.connections) >= step ||
         ComputeAbsoluteDifference(gossiped.weight_percent,
                                   reported.weight_percent) >=
             kSignificantWeightPoints ||
         (gossiped.weight_percent != reported.weight_percent &&
          reported.weight_percent == 100);
}

template <class Record>
auto MakeRecordVersion(const Record& record) {
  return std::tuple(record.incarnation, record.sequence, record.state);
}

auto AddTargetToServiceIndex(Membership& membership, const TargetRecord& record)
    -> void {
  auto& ids = membership.services[record.service];
  const auto it = std::lower_bound(ids.begin(), ids.end(), record.id);
  if (it == ids.end() || *it != record.id) {
    ids.insert(it, record.id);
  }
}

auto RemoveTargetFromServiceIndex(Membership& membership,
                                  const TargetRecord& record) -> void {
  auto& ids = membership.services[record.service];
  ids.erase(std::remove(ids.begin(), ids.end(), record.id), ids.end());
}

auto InsertTarget(Membership& membership,
                  const TargetRecord& record,
                  TimePoint now,
                  Actions& out) -> MergeResult {
  // A tombstone that has expired on this balancer must not be adopted again
  // from a peer.
  if (!IsPresentMemberState(record.state)) {
    return MergeResult::kSame;
  }
  auto& entry = membership.targets[record.id];
  entry = TargetEntry{.record = record, .gossiped_load = record.load};
  entry.status.first_seen = now;
  entry.status.last_contact = now;
  entry.status.state_changed = now;
  entry.status.last_record = now;
  AddTargetToServiceIndex(membership, record);
  UpdateTargetWatch(membership, entry, now);
  ScheduleTargetGossip(membership, entry, true);
  out.emplace_back(TargetsChanged{record.service});
  return MergeResult::kAdopted;
}

/// Gossips the held record of a watched target again if a stale record reports
/// the target as suspect or dead.
auto RefuteStaleTargetRecord(Membership& membership,
                             TargetEntry& entry,
                             const TargetRecord& stale,
                             Actions& out) -> void {
  const bool is_reported_down =
      stale.state == TargetState::kSuspect || stale.state == TargetState::kDead;
  if (is_reported_down && entry.status.is_watched &&
      entry.status.gossip_rounds_left == 0 &&
      entry.record.state < TargetState::kSuspect) {
    ScheduleTargetGossip(membership, entry, true);
    AppendCountEventAction(MembershipEvent::kRefuted, out);
  }
}

/// Raises the local health penalty if other watchers received at least two
/// heartbeats that self missed from a target that self suspected.
auto RaisePenaltyAfterWrongSuspicion(Membership& membership,
                                     const TargetEntry& entry,
                                     std::uint64_t suspected_sequence,
                                     TimePoint now) -> void {
  // A single announcement that only this balancer missed is random loss;
  // two or more indicate a fault of this balancer.
  constexpr std::uint64_t kMissedAnnouncements = 2;
  if (entry.record.sequence >= suspected_sequence + kMissedAnnouncements) {
    RaiseLocalHealthPenalty(membership, now);
  }
}

auto ReplaceTargetRecord(Membership& membership,
                         TargetEntry& entry,
                         const TargetRecord& record,
                         TimePoint now,
                         Actions& out) -> void {
  const TargetRecord before = entry.record;
  const bool restarted = record.incarnation != before.incarnation;
  const bool changed = restarted || record.state != before.state ||
                       record.agent != before.agent ||
                       record.service != before.service;
  const bool significant =
      IsLoadChangeSignificant(membership, entry.gossiped_load, record.load);
  entry.record = record;
  entry.status.last_record = now;
  if (restarted) {
    entry.status.first_seen = now;
    entry.status.last_contact = now;
  }
  if (record.state < TargetState::kSuspect) {
    RecordIndirectHeartbeat(entry.status, now);
  }
  if (record.service != before.service) {
    RemoveTargetFromServiceIndex(membership, before);
    AddTargetToServiceIndex(membership, record);
    out.emplace_back(TargetsChanged{before.service});
  }
  if (record.zone != before.zone) {
    UpdateTargetWatch(membership, entry, now);
  }
  if (changed) {
    entry.status.state_changed = now;
    if (before.state >= TargetState::kSuspect &&
        record.state < TargetState::kSuspect) {
      AppendCountEventAction(MembershipEvent::kRefuted, out);
      if (entry.status.is_watched && !restarted) {
        RaisePenaltyAfterWrongSuspicion(membership, entry, before.sequence,
                                        now);
      }
    }
  }
  const bool visible = changed || entry.gossiped_load.weight_percent !=
                                      record.load.weight_percent;
  if (changed || significant) {
    entry.gossiped_load = record.load;
    ScheduleTargetGossip(membership, entry, changed);
    if (visible) {
      out.emplace_back(TargetsChanged{record.service});
    }
    return;
  }
  // While the zone's beacon is overdue, newer records of the zone's targets are
  // gossiped even without a change, to show that the targets are alive.
  if (IsZoneBeaconOverdue(membership, HashZoneOrRegionName(record.zone), now) &&
      entry.status.gossip_rounds_left == 0) {
    ScheduleTargetGossip(membership, entry, false);
  }
}

}  // namespace

auto IsPresentMemberState(BalancerState state) -> bool {
  return state < BalancerState::kDead;
}

auto IsPresentMemberState(TargetState state) -> bool {
  return state < TargetState::kDead;
}

auto RecordIndirectHeartbeat(MemberStatus& status, TimePoint now) -> void {
  status.last_contact =
      std::max(status.last_contact, now - kIndirectHeartbeatAge);
}

auto ScheduleTargetGossip(Membership& membership,
                          TargetEntry& entry,
                          bool urgent) -> void {
  const bool bulk = membership.targets_to_gossip.size() > kBulkChangeCount;
  if (bulk && !entry.status.is_watched &&
      entry.status.gossip_rounds_left == 0) {
    membership.is_far_behind = true;
    return;
  }
  entry.status.gossip_rounds_left =
      bulk ? kBulkRounds : membership.gossip_rounds;
  entry.status.is_state_change = entry.status.is_state_change || urgent;
  membership.targets_to_gossip.insert(entry.record.id);
}

auto ScheduleBalancerGossip(Membership& membership, BalancerEntry& entry)
    -> void {
  const bool bulk = membership.balancers_to_gossip.size() > kBulkChangeCount;
  entry.status.gossip_rounds_left =
      bulk ? kBulkRounds : membership.gossip_rounds;
  entry.status.is_generation_only = false;
  membership.balancers_to_gossip.insert(entry.record.id);
}

auto ApplyGenerationUpdate(Membership& membership,
                           const GenerationUpdate& update) -> void {
  const auto it = membership.balancers.find(update.id);
  if (it == membership.balancers.end()) {
    return;
  }
  auto& entry = it->second;
  if (update.incarnation != entry.record.incarnation ||
      update.generation <= entry.record.generation) {
    return;
  }
  entry.record.generation = update.generation;
  // Pending gossip of the whole record already carries the generation.
  const bool whole =
      entry.status.gossip_rounds_left > 0 && !entry.status.is_generation_only;
  if (!whole) {
    ScheduleBalancerGossip(membership, entry);
    entry.status.is_generation_only = true;
  }
}

auto ScheduleSelfGossip(Membership& membership) -> void {
  membership.self_status.gossip_rounds_left = membership.gossip_rounds;
}

auto ChangeTargetState(Membership& membership,
                       TargetEntry& entry,
                       TargetState state,
                       TimePoint now,
                       Actions& out) -> void {
  entry.record.state = state;
  entry.status.state_changed = now;
  ScheduleTargetGossip(membership, entry, true);
  out.emplace_back(TargetsChanged{entry.record.service});
}

auto ChangeBalancerState(Membership& membership,
                         BalancerEntry& entry,
                         BalancerState state,
                         TimePoint now) -> void {
  const bool was_present = IsPresentMemberState(entry.record.state);
  entry.record.state = state;
  entry.status.state_changed = now;
  ScheduleBalancerGossip(membership, entry);
  if (was_present != IsPresentMemberState(state)) {
    RebuildRoster(membership);
  }
}

auto MergeTarget(Membership& membership,
                 const TargetRecord& record,
                 TimePoint now,
                 Actions& out) -> MergeResult {
  const auto it = membership.targets.find(record.id);
  if (it == membership.targets.end()) {
    return InsertTarget(membership, record, now, out);
  }
  auto& entry = it->second;
  if (MakeRecordVersion(record) == MakeRecordVersion(entry.record)) {
    return MergeResult::kSame;
  }
  if (MakeRecordVersion(record) < MakeRecordVersion(entry.record)) {
    RefuteStaleTargetRecord(membership, entry, record, out);
    return MergeResult::kStale;
  }
  ReplaceTargetRecord(membership, entry, record, now, out);
  return MergeResult::kAdopted;
}

auto MergeBalancer(Membership& membership,
                   const BalancerRecord& record,
                   TimePoint now,
                   Actions& out) -> MergeResult {
  auto it = membership.balancers.find(record.id);
  if (it == membership.balancers.end()) {
    if (!IsPresentMemberState(record.state)) {
      return MergeResult::kSame;
    }
    it = membership.balancers.emplace(record.id, BalancerEntry{}).first;
    it->second.record = record;
    it->second.status.first_seen = now;
    it->second.status.last_contact = now;
    it->second.status.state_changed = now;
    ScheduleBalancerGossip(membership, it->second);
    RebuildRoster(membership);
    return MergeResult::kAdopted;
  }
  auto& entry = it->second;
  ApplyGenerationUpdate(membership,
                        GenerationUpdate{.id = record.id,
                                         .incarnation = record.incarnation,
                                         .generation = record.generation});
  if (MakeRecordVersion(record) == MakeRecordVersion(entry.record)) {
    return MergeResult::kSame;
  }
  if (MakeRecordVersion(record) < MakeRecordVersion(entry.record)) {
    const bool is_reported_down = record.state != BalancerState::kAlive;
    if (is_reported_down && entry.status.is_watched &&
        entry.status.gossip_rounds_left == 0 &&
        entry.record.state == BalancerState::kAlive) {
      ScheduleBalancerGossip(membership, entry);
      AppendCountEventAction(MembershipEvent::kRefuted, out);
    }
    return MergeResult::kStale;
  }
  const BalancerRecord before = entry.record;
  entry.record = record;
  if (record.incarnation == before.incarnation) {
    entry.record.generation = std::max(record.generation, before.generation);
  }
  if (record.state == BalancerState::kAlive) {
    RecordIndirectHeartbeat(entry.status, now);
  }
  const bool moved = record.peer != before.peer || record.zone != before.zone;
  if (record.state != before.state ||
      record.incarnation != before.incarnation || moved) {
    entry.status.state_changed = now;
    ScheduleBalancerGossip(membership, entry);
  }
  if (IsPresentMemberState(record.state) !=
          IsPresentMemberState(before.state) ||
      moved) {
    RebuildRoster(membership);
  }
  return MergeResult::kAdopted;
}

}  // namespace hawthornbank::detail
