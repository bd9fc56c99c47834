#include <algorithm>
#include <tuple>

#include "membership_internal.h"

namespace hawthornbank::detail {
namespace {

/// Change of connections that is worth spreading, as a share of the old.
constexpr std::uint32_t kSignificantShare = 8;
/// Change of connections that is worth spreading at least.
constexpr std::uint32_t kSignificantConnections = 16;
/// Changes at a time above which gossip sends only those that self found out,
/// and these less often; the rest is left to synchronisation, as after a start
/// of everything.
constexpr std::size_t kBulkChanges = 40;
/// Gossip rounds of a change among many.
constexpr std::uint8_t kBulkRounds = 1;
/// Age of a sign of life that another watcher heard. Longer than its way here,
/// shorter than what two further questions before a suspicion leave.
constexpr Duration kIndirectAge = std::chrono::milliseconds{500};
/// Change of weight that is worth spreading, in percent points.
constexpr std::uint32_t kSignificantWeight = 10;

auto Difference(std::uint32_t a, std::uint32_t b) -> std::uint32_t {
  return a > b ? a - b : b - a;
}

/// Slots busy and queued are left out: no decision of a balancer needs them.
auto IsSignificant(const Membership& membership,
                   const TargetLoad& before,
                   const TargetLoad& after) -> bool {
  if (!membership.options.quantise_load) {
    return before != after;
  }
  const auto step =
      std::max(kSignificantConnections, before.connections / kSignificantShare);
  return before.slots != after.slots ||
         Difference(before.connections, after.connections) >= step ||
         Difference(before.weight_percent, after.weight_percent) >=
             kSignificantWeight ||
         (before.weight_percent != after.weight_percent &&
          after.weight_percent == 100);
}

template <class Record>
auto Age(const Record& record) {
  return std::tuple(record.incarnation, record.sequence, record.state);
}

auto IndexTarget(Membership& membership, const TargetRecord& record) -> void {
  auto& ids = membership.services[record.service];
  const auto it = std::lower_bound(ids.begin(), ids.end(), record.id);
  if (it == ids.end() || *it != record.id) {
    ids.insert(it, record.id);
  }
}

auto UnindexTarget(Membership& membership, const TargetRecord& record) -> void {
  auto& ids = membership.services[record.service];
  ids.erase(std::remove(ids.begin(), ids.end(), record.id), ids.end());
}

auto AddTarget(Membership& membership,
               const TargetRecord& record,
               TimePoint now,
               Actions& out) -> Merge {
  // A tombstone that has expired here mustn't come back from a peer.
  if (!IsPresent(record.state)) {
    return Merge::kSame;
  }
  auto& entry = membership.targets[record.id];
  entry = TargetEntry{.record = record, .spread_load = record.load};
  entry.status.first_seen = now;
  entry.status.heard = now;
  entry.status.changed = now;
  entry.status.refreshed = now;
  IndexTarget(membership, record);
  AssignWatch(membership, entry, now);
  MarkTarget(membership, entry, true);
  out.emplace_back(TargetsChanged{record.service});
  return Merge::kAdopted;
}

/// Gossips the newer record again when an old one says that it is gone.
auto RefuteTarget(Membership& membership,
                  TargetEntry& entry,
                  const TargetRecord& stale,
                  Actions& out) -> void {
  const bool accused =
      stale.state == TargetState::kSuspect || stale.state == TargetState::kDead;
  if (accused && entry.status.watched && entry.status.rounds == 0 &&
      entry.record.state < TargetState::kSuspect) {
    MarkTarget(membership, entry, true);
    Count(MembershipEvent::kRefuted, out);
  }
}

/// Doubts self when others heard what self suspected.
auto NoteRefutation(Membership& membership,
                    const TargetEntry& entry,
                    std::uint64_t suspected_sequence,
                    TimePoint now) -> void {
  // One announce that was lost here alone is chance, more are a fault here.
  constexpr std::uint64_t kMissedAnnounces = 2;
  if (entry.record.sequence >= suspected_sequence + kMissedAnnounces) {
    NoteWrongSuspicion(membership, now);
  }
}

auto ReplaceTarget(Membership& membership,
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
      IsSignificant(membership, entry.spread_load, record.load);
  entry.record = record;
  entry.status.refreshed = now;
  if (restarted) {
    entry.status.first_seen = now;
    entry.status.heard = now;
  }
  if (record.state < TargetState::kSuspect) {
    HearIndirectly(entry.status, now);
  }
  if (record.service != before.service) {
    UnindexTarget(membership, before);
    IndexTarget(membership, record);
    out.emplace_back(TargetsChanged{before.service});
  }
  if (record.zone != before.zone) {
    AssignWatch(membership, entry, now);
  }
  if (changed) {
    entry.status.changed = now;
    if (before.state >= TargetState::kSuspect &&
        record.state < TargetState::kSuspect) {
      Count(MembershipEvent::kRefuted, out);
      if (entry.status.watched && !restarted) {
        NoteRefutation(membership, entry, before.sequence, now);
      }
    }
  }
  const bool visible =
      changed || entry.spread_load.weight_percent != record.load.weight_percent;
  if (changed || significant) {
    entry.spread_load = record.load;
    MarkTarget(membership, entry, changed);
    if (visible) {
      out.emplace_back(TargetsChanged{record.service});
    }
    return;
  }
  // While its zone is quiet, its record must keep travelling.
  if (IsZoneQuiet(membership, PlaceHash(record.zone), now) &&
      entry.status.rounds == 0) {
    MarkTarget(membership, entry, false);
  }
}

}  // namespace

auto IsPresent(BalancerState state) -> bool {
  return state < BalancerState::kDead;
}

auto IsPresent(TargetState state) -> bool {
  return state < TargetState::kDead;
}

auto HearIndirectly(MemberStatus& status, TimePoint now) -> void {
  status.heard = std::max(status.heard, now - kIndirectAge);
}

auto MarkTarget(Membership& membership, TargetEntry& entry, bool urgent)
    -> void {
  const bool bulk = membership.hot_targets.size() > kBulkChanges;
  if (bulk && !entry.status.watched && entry.status.rounds == 0) {
    membership.behind = true;
    return;
  }
  entry.status.rounds = bulk ? kBulkRounds : membership.gossip_rounds;
  entry.status.urgent = entry.status.urgent || urgent;
  membership.hot_targets.insert(entry.record.id);
}

auto MarkBalancer(Membership& membership, BalancerEntry& entry) -> void {
  const bool bulk = membership.hot_balancers.size() > kBulkChanges;
  entry.status.rounds = bulk ? kBulkRounds : membership.gossip_rounds;
  entry.status.generation_only = false;
  membership.hot_balancers.insert(entry.record.id);
}

auto TakeGeneration(Membership& membership, const GenerationNote& note)
    -> void {
  const auto it = membership.balancers.find(note.id);
  if (it == membership.balancers.end()) {
    return;
  }
  auto& entry = it->second;
  if (note.incarnation != entry.record.incarnation ||
      note.generation <= entry.record.generation) {
    return;
  }
  entry.record.generation = note.generation;
  // A rumour of the whole record carries the generation too.
  const bool whole = entry.status.rounds > 0 && !entry.status.generation_only;
  if (!whole) {
    MarkBalancer(membership, entry);
    entry.status.generation_only = true;
  }
}

auto MarkSelf(Membership& membership) -> void {
  membership.self_status.rounds = membership.gossip_rounds;
}

auto ChangeTargetState(Membership& membership,
                       TargetEntry& entry,
                       TargetState state,
                       TimePoint now,
                       Actions& out) -> void {
  entry.record.state = state;
  entry.status.changed = now;
  MarkTarget(membership, entry, true);
  out.emplace_back(TargetsChanged{entry.record.service});
}

auto ChangeBalancerState(Membership& membership,
                         BalancerEntry& entry,
                         BalancerState state,
                         TimePoint now) -> void {
  const bool was_present = IsPresent(entry.record.state);
  entry.record.state = state;
  entry.status.changed = now;
  MarkBalancer(membership, entry);
  if (was_present != IsPresent(state)) {
    RebuildRoster(membership);
  }
}

auto MergeTarget(Membership& membership,
                 const TargetRecord& record,
                 TimePoint now,
                 Actions& out) -> Merge {
  const auto it = membership.targets.find(record.id);
  if (it == membership.targets.end()) {
    return AddTarget(membership, record, now, out);
  }
  auto& entry = it->second;
  if (Age(record) == Age(entry.record)) {
    return Merge::kSame;
  }
  if (Age(record) < Age(entry.record)) {
    RefuteTarget(membership, entry, record, out);
    return Merge::kStale;
  }
  ReplaceTarget(membership, entry, record, now, out);
  return Merge::kAdopted;
}

auto MergeBalancer(Membership& membership,
                   const BalancerRecord& record,
                   TimePoint now,
                   Actions& out) -> Merge {
  auto it = membership.balancers.find(record.id);
  if (it == membership.balancers.end()) {
    if (!IsPresent(record.state)) {
      return Merge::kSame;
    }
    it = membership.balancers.emplace(record.id, BalancerEntry{}).first;
    it->second.record = record;
    it->second.status.first_seen = now;
    it->second.status.heard = now;
    it->second.status.changed = now;
    MarkBalancer(membership, it->second);
    RebuildRoster(membership);
    return Merge::kAdopted;
  }
  auto& entry = it->second;
  TakeGeneration(membership, GenerationNote{.id = record.id,
                                            .incarnation = record.incarnation,
                                            .generation = record.generation});
  if (Age(record) == Age(entry.record)) {
    return Merge::kSame;
  }
  if (Age(record) < Age(entry.record)) {
    const bool accused = record.state != BalancerState::kAlive;
    if (accused && entry.status.watched && entry.status.rounds == 0 &&
        entry.record.state == BalancerState::kAlive) {
      MarkBalancer(membership, entry);
      Count(MembershipEvent::kRefuted, out);
    }
    return Merge::kStale;
  }
  const BalancerRecord before = entry.record;
  entry.record = record;
  if (record.incarnation == before.incarnation) {
    entry.record.generation = std::max(record.generation, before.generation);
  }
  if (record.state == BalancerState::kAlive) {
    HearIndirectly(entry.status, now);
  }
  const bool moved = record.peer != before.peer || record.zone != before.zone;
  if (record.state != before.state ||
      record.incarnation != before.incarnation || moved) {
    entry.status.changed = now;
    MarkBalancer(membership, entry);
  }
  if (IsPresent(record.state) != IsPresent(before.state) || moved) {
    RebuildRoster(membership);
  }
  return Merge::kAdopted;
}

}  // namespace hawthornbank::detail
