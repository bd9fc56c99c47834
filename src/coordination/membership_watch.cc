#include <algorithm>
#include <array>
#include <cmath>
#include <string>

#include "membership_internal.h"

namespace hawthornbank::detail {
namespace {

/// Gossip rounds of a change in a zone of one balancer.
constexpr std::uint8_t kBaseRounds = 3;
/// Most steps by which self-doubt stretches timeouts.
constexpr std::uint32_t kMaxHealth = 3;
/// Stretch of timeouts while nothing is heard; declares nobody in practice.
constexpr std::uint32_t kDeafStretch = 1000;
/// Lateness of a tick that makes a balancer doubt itself.
constexpr Duration kLateTick = std::chrono::milliseconds{500};
/// Time without lateness that takes one step of doubt away.
constexpr Duration kRecoveryTime = std::chrono::seconds{5};
/// Fewest watched members that can show a fault of the observer.
constexpr std::size_t kMinWatchedForDoubt = 4;

/// Mixes two identities into a rendezvous score (splitmix64).
auto Score(std::uint64_t member, HostId host) -> std::uint64_t {
  std::uint64_t x = member ^ (ToInteger(host) * 0x9E3779B97F4A7C15U);
  x = (x ^ (x >> 30U)) * 0xBF58476D1CE4E5B9U;
  x = (x ^ (x >> 27U)) * 0x94D049BB133111EBU;
  return x ^ (x >> 31U);
}

struct Candidate {
  std::uint64_t score = 0;
  const RosterEntry* entry = nullptr;
};

/// The best few of a group, best first.
struct Best {
  std::array<Candidate, kWatcherCount> candidates;

  auto Offer(Candidate candidate) -> void {
    for (auto& it : candidates) {
      if (it.entry == nullptr || candidate.score > it.score) {
        std::swap(it, candidate);
      }
      if (candidate.entry == nullptr) {
        return;
      }
    }
  }
};

/// Appends up to count members of a group that aren't chosen yet.
auto Take(const Best& best, std::size_t count, std::vector<RosterEntry>& chosen)
    -> void {
  for (const auto& it : best.candidates) {
    if (count == 0 || chosen.size() == kWatcherCount || it.entry == nullptr) {
      return;
    }
    const bool taken = std::any_of(
        chosen.begin(), chosen.end(),
        [&it](const RosterEntry& other) { return other.id == it.entry->id; });
    if (!taken) {
      chosen.push_back(*it.entry);
      --count;
    }
  }
}

auto Contains(const std::vector<RosterEntry>& entries, HostId id) -> bool {
  return std::any_of(entries.begin(), entries.end(),
                     [id](const RosterEntry& it) { return it.id == id; });
}

/// @return Hash of the region a zone is in, or 0 when no balancer tells.
auto RegionOfZone(const Membership& membership, std::uint32_t zone)
    -> std::uint32_t {
  for (const auto& it : membership.roster) {
    if (it.zone == zone) {
      return it.region;
    }
  }
  return 0;
}

/// @return Whether self may be among the watchers. A cheap test: of those that
///   are as near to the member, fewer than kWatcherCount go before self.
auto MayWatch(const Membership& membership,
              std::uint64_t member,
              std::uint32_t zone,
              std::uint32_t region) -> bool {
  const auto& self = membership.roster.front();
  const auto place = [zone, region](const RosterEntry& it) {
    return it.zone == zone ? 0 : it.region == region ? 1 : 2;
  };
  const auto own_place = place(self);
  const auto own_score = Score(member, self.id);
  std::size_t better = 0;
  for (const auto& it : membership.roster) {
    if (place(it) == own_place && ToInteger(it.id) != member &&
        Score(member, it.id) > own_score && ++better == kWatcherCount) {
      return false;
    }
  }
  return true;
}

auto SetWatched(const Membership& membership,
                MemberStatus& status,
                std::uint64_t member,
                std::uint32_t zone,
                std::uint32_t region,
                TimePoint now) -> void {
  const auto home_region =
      region != 0 ? region : RegionOfZone(membership, zone);
  const bool watched =
      MayWatch(membership, member, zone, home_region) &&
      Contains(ChooseWatchers(membership, member, zone, home_region),
               membership.self.id);
  // A new watcher gives the member the whole timeout to be heard.
  if (watched && !status.watched) {
    status.heard = now;
  }
  status.watched = watched;
}

auto SendProbe(Membership& membership, const TargetEntry& entry, Actions& out)
    -> void {
  const auto& record = entry.record;
  AnnounceAck ack{.target = record.id,
                  .state = TargetState::kSuspect,
                  .incarnation = record.incarnation,
                  .sequence = record.sequence};
  if (membership.ready) {
    ack.watchers =
        WatchersOf(membership, ToInteger(record.id), record.zone, {});
  }
  membership.budget_bytes -=
      static_cast<double>(EncodedSize(ack) + kDatagramOverhead);
  out.emplace_back(SendAnnounceAck{.to = record.agent, .ack = ack});
}

auto SendProbe(Membership& membership, const BalancerEntry& entry, Actions& out)
    -> void {
  Digest digest = MakeDigest(membership);
  digest.probe = true;
  digest.balancers = {membership.self, entry.record};
  Send(membership, entry.record.peer, std::move(digest), out);
}

/// Asks the other watchers whether they hear a member that is about to be
/// suspected: the fault may be of one link, or of one of its directions.
auto AskWatchers(Membership& membership,
                 std::uint64_t member,
                 const MemberStatus& status,
                 std::uint32_t zone,
                 TimePoint now,
                 Actions& out) -> void {
  constexpr int kTries = 2;
  const auto& options = membership.options;
  if (now - status.heard <
      options.suspect_timeout - kTries * options.probe_interval) {
    return;
  }
  for (const auto& it : ChooseWatchers(membership, member, zone, 0)) {
    if (it.id != membership.self.id) {
      Digest digest = MakeDigest(membership);
      digest.asked.push_back(member);
      Send(membership, it.peer, std::move(digest), out);
    }
  }
}

/// @return Whether a target's zone lies in another region. Its silence is no
///   evidence then: the regions may have lost each other.
auto IsForeign(const Membership& membership, const TargetRecord& record)
    -> bool {
  const auto it = membership.zone_regions.find(PlaceHash(record.zone));
  return it != membership.zone_regions.end() &&
         it->second != membership.roster.front().region;
}

/// What a watcher is to do about a member.
enum class Verdict : std::uint8_t { kNone, kProbe, kSuspect, kDead };

auto Judge(const Membership& membership,
           const MemberStatus& status,
           bool suspected,
           std::uint32_t stretch,
           TimePoint now) -> Verdict {
  const auto& options = membership.options;
  const Duration silent = now - status.heard;
  if (silent <= options.probe_timeout) {
    return Verdict::kNone;
  }
  if (silent > options.suspect_timeout * stretch) {
    if (!suspected) {
      return Verdict::kSuspect;
    }
    if (now - status.changed > options.dead_timeout * stretch) {
      return Verdict::kDead;
    }
  }
  return now - status.probed > options.probe_interval ? Verdict::kProbe
                                                      : Verdict::kNone;
}

auto CheckTarget(Membership& membership,
                 TargetEntry& entry,
                 std::uint32_t stretch,
                 TimePoint now,
                 Actions& out) -> void {
  const bool suspected = entry.record.state == TargetState::kSuspect;
  const auto verdict = Judge(membership, entry.status, suspected, stretch, now);
  if (verdict == Verdict::kProbe) {
    entry.status.probed = now;
    SendProbe(membership, entry, out);
    AskWatchers(membership, ToInteger(entry.record.id), entry.status,
                PlaceHash(entry.record.zone), now, out);
  } else if (verdict == Verdict::kSuspect) {
    Count(MembershipEvent::kSuspected, out);
    ChangeTargetState(membership, entry, TargetState::kSuspect, now, out);
  } else if (verdict == Verdict::kDead) {
    const bool hold =
        IsBelowFloor(membership, entry.record.service) &&
        now - entry.status.changed < membership.options.floor_hold;
    if (hold) {
      const bool probe =
          now - entry.status.probed > membership.options.heartbeat_interval;
      if (probe) {
        entry.status.probed = now;
        Count(MembershipEvent::kHeldByFloor, out);
        SendProbe(membership, entry, out);
      }
      return;
    }
    Count(MembershipEvent::kDeclaredDead, out);
    ChangeTargetState(membership, entry, TargetState::kDead, now, out);
  }
}

auto CheckBalancer(Membership& membership,
                   BalancerEntry& entry,
                   std::uint32_t stretch,
                   TimePoint now,
                   Actions& out) -> void {
  const bool suspected = entry.record.state == BalancerState::kSuspect;
  const auto verdict = Judge(membership, entry.status, suspected, stretch, now);
  if (verdict == Verdict::kProbe) {
    entry.status.probed = now;
    SendProbe(membership, entry, out);
    AskWatchers(membership, ToInteger(entry.record.id), entry.status,
                PlaceHash(entry.record.zone), now, out);
  } else if (verdict == Verdict::kSuspect) {
    Count(MembershipEvent::kSuspected, out);
    ChangeBalancerState(membership, entry, BalancerState::kSuspect, now);
  } else if (verdict == Verdict::kDead) {
    Count(MembershipEvent::kDeclaredDead, out);
    ChangeBalancerState(membership, entry, BalancerState::kDead, now);
  }
}

/// @return Whether more than half of the watched members are silent.
auto AreMostSilent(const Membership& membership, TimePoint now) -> bool {
  // Two probes have had their time by then, so chance losses count little.
  const auto after =
      membership.options.suspect_timeout - membership.options.probe_interval;
  std::size_t watched = 0;
  std::size_t silent = 0;
  const auto add = [&](const MemberStatus& status) {
    ++watched;
    silent += now - status.heard > after ? 1 : 0;
  };
  for (const auto id : membership.watched_targets) {
    const auto it = membership.targets.find(id);
    if (it != membership.targets.end() &&
        it->second.record.state < TargetState::kSuspect) {
      add(it->second.status);
    }
  }
  for (const auto id : membership.watched_balancers) {
    const auto it = membership.balancers.find(id);
    if (it != membership.balancers.end() &&
        it->second.record.state < BalancerState::kSuspect) {
      add(it->second.status);
    }
  }
  return watched >= kMinWatchedForDoubt && silent * 2 > watched;
}

}  // namespace

auto RebuildRoster(Membership& membership) -> void {
  const auto entry = [](const BalancerRecord& record) {
    return RosterEntry{.id = record.id,
                       .peer = record.peer,
                       .zone = PlaceHash(record.zone),
                       .region = PlaceHash(record.region)};
  };
  auto& roster = membership.roster;
  roster.clear();
  roster.push_back(entry(membership.self));
  for (const auto& [id, it] : membership.balancers) {
    if (IsPresent(it.record.state)) {
      roster.push_back(entry(it.record));
    }
  }
  for (const auto& it : roster) {
    membership.zone_regions[it.zone] = it.region;
  }
  const auto in_zone = std::count_if(
      roster.begin(), roster.end(),
      [&](const RosterEntry& it) { return it.zone == roster.front().zone; });
  const double doublings = std::log2(static_cast<double>(in_zone));
  membership.gossip_rounds = static_cast<std::uint8_t>(
      kBaseRounds + static_cast<int>(std::ceil(doublings / 2)));
  membership.watches_stale = true;
}

auto ChooseWatchers(const Membership& membership,
                    std::uint64_t member,
                    std::uint32_t zone,
                    std::uint32_t region) -> std::vector<RosterEntry> {
  const auto home_region =
      region != 0 ? region : RegionOfZone(membership, zone);
  Best same_zone;
  Best same_region;
  Best anywhere;
  for (const auto& it : membership.roster) {
    if (ToInteger(it.id) == member) {
      continue;
    }
    const Candidate candidate{.score = Score(member, it.id), .entry = &it};
    if (it.zone == zone) {
      same_zone.Offer(candidate);
    } else if (it.region == home_region) {
      same_region.Offer(candidate);
    } else {
      anywhere.Offer(candidate);
    }
  }
  std::vector<RosterEntry> chosen;
  Take(same_zone, kZoneWatcherCount, chosen);
  Take(same_region, kWatcherCount - kZoneWatcherCount, chosen);
  Take(same_region, kWatcherCount, chosen);
  Take(same_zone, kWatcherCount, chosen);
  Take(anywhere, kWatcherCount, chosen);
  return chosen;
}

auto AssignWatch(Membership& membership, TargetEntry& entry, TimePoint now)
    -> void {
  SetWatched(membership, entry.status, ToInteger(entry.record.id),
             PlaceHash(entry.record.zone), 0, now);
  if (entry.status.watched) {
    membership.watched_targets.push_back(entry.record.id);
  }
}

auto AssignWatches(Membership& membership, TimePoint now) -> void {
  membership.watches_stale = false;
  membership.last_assign = now;
  membership.watched_targets.clear();
  membership.watched_balancers.clear();
  for (auto& [id, it] : membership.targets) {
    AssignWatch(membership, it, now);
  }
  for (auto& [id, it] : membership.balancers) {
    SetWatched(membership, it.status, ToInteger(id), PlaceHash(it.record.zone),
               PlaceHash(it.record.region), now);
    if (it.status.watched) {
      membership.watched_balancers.push_back(id);
    }
  }
}

auto CheckWatches(Membership& membership, TimePoint now, Actions& out) -> void {
  const bool doubt = AreMostSilent(membership, now);
  if (doubt &&
      now - membership.health_changed > membership.options.heartbeat_interval) {
    membership.health_changed = now;
    membership.health = std::max(membership.health, 1U);
    Count(MembershipEvent::kSelfDoubt, out);
  }
  const std::uint32_t stretch =
      IsDeaf(membership, now) ? kDeafStretch : 1 + membership.health;
  for (const auto id : membership.watched_targets) {
    const auto it = membership.targets.find(id);
    if (it != membership.targets.end() && IsPresent(it->second.record.state) &&
        it->second.status.watched &&
        !IsForeign(membership, it->second.record)) {
      CheckTarget(membership, it->second, stretch, now, out);
    }
  }
  for (const auto id : membership.watched_balancers) {
    const auto it = membership.balancers.find(id);
    if (it != membership.balancers.end() &&
        IsPresent(it->second.record.state)) {
      CheckBalancer(membership, it->second, stretch, now, out);
    }
  }
}

auto AnswerAsked(Membership& membership,
                 Endpoint to,
                 const Digest& request,
                 TimePoint now,
                 Actions& out) -> void {
  const auto heard = [&](const MemberStatus& status) {
    return status.watched &&
           now - status.heard <= membership.options.probe_timeout;
  };
  Digest answer = MakeDigest(membership);
  for (const auto id : request.asked) {
    const auto target = membership.targets.find(TargetId{id});
    if (target != membership.targets.end() && heard(target->second.status)) {
      answer.targets.push_back(target->second.record);
    }
    const auto balancer = membership.balancers.find(HostId{id});
    if (balancer != membership.balancers.end() &&
        heard(balancer->second.status)) {
      answer.balancers.push_back(balancer->second.record);
    }
  }
  if (!answer.targets.empty() || !answer.balancers.empty()) {
    Send(membership, to, std::move(answer), out);
  }
}

auto IsDeaf(const Membership& membership, TimePoint now) -> bool {
  return now - membership.last_received > membership.options.probe_timeout;
}

auto NoteWrongSuspicion(Membership& membership, TimePoint now) -> void {
  if (now - membership.health_changed > membership.options.heartbeat_interval) {
    membership.health = std::min(membership.health + 1, kMaxHealth);
    membership.health_changed = now;
  }
}

auto CheckOwnHealth(Membership& membership, TimePoint now, Actions& out)
    -> void {
  const Duration expected = membership.options.tick_interval;
  if (now - membership.last_tick <= expected + kLateTick) {
    if (membership.health > 0 &&
        now - membership.health_changed > kRecoveryTime) {
      --membership.health;
      membership.health_changed = now;
    }
    return;
  }
  membership.health = std::min(membership.health + 1, kMaxHealth);
  membership.health_changed = now;
  Count(MembershipEvent::kSelfDoubt, out);
  // What was missed while late is no evidence: all timers begin again.
  for (auto& [id, it] : membership.targets) {
    it.status.heard = now;
  }
  for (auto& [id, it] : membership.balancers) {
    it.status.heard = now;
  }
  for (auto& [id, it] : membership.zones) {
    it.advanced = now;
  }
}

}  // namespace hawthornbank::detail
