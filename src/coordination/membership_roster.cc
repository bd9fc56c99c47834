#include <algorithm>
#include <array>
#include <cmath>
#include <string>

#include "membership_internal.h"

namespace hawthornbank::detail {
namespace {

/// Number of gossip rounds of a change in a zone with a single balancer.
constexpr std::uint8_t kBaseGossipRounds = 3;

/// Computes the rendezvous score of a balancer for a member (splitmix64).
auto ComputeWatcherScore(std::uint64_t member, HostId host) -> std::uint64_t {
  std::uint64_t x = member ^ (ToInteger(host) * 0x9E3779B97F4A7C15U);
  x = (x ^ (x >> 30U)) * 0xBF58476D1CE4E5B9U;
  x = (x ^ (x >> 27U)) * 0x94D049BB133111EBU;
  return x ^ (x >> 31U);
}

struct Candidate {
  std::uint64_t score = 0;
  const RosterEntry* entry = nullptr;
};

/// The candidates of a group that have the highest scores, highest score first.
struct BestCandidates {
  std::array<Candidate, kWatcherCount> candidates;

  auto InsertIfBetter(Candidate candidate) -> void {
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

/// Appends up to `count` of a group's best candidates that aren't chosen yet,
/// until kWatcherCount balancers are chosen.
auto AppendUnchosenCandidates(const BestCandidates& best,
                              std::size_t count,
                              std::vector<RosterEntry>& chosen) -> void {
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

auto ContainsHost(const std::vector<RosterEntry>& entries, HostId id) -> bool {
  return std::any_of(entries.begin(), entries.end(),
                     [id](const RosterEntry& it) { return it.id == id; });
}

/// @return Hash of the region of a zone, or 0 if the roster has no balancer in
///   the zone.
auto FindRegionOfZone(const Membership& membership, std::uint32_t zone)
    -> std::uint32_t {
  for (const auto& it : membership.roster) {
    if (it.zone == zone) {
      return it.region;
    }
  }
  return 0;
}

/// Tests cheaply whether self may be among a member's watchers.
/// @return Whether fewer than kWatcherCount balancers as near to the member as
///   self (same zone, same region or elsewhere) have a higher score than self.
auto IsSelfPossibleWatcher(const Membership& membership,
                           std::uint64_t member,
                           std::uint32_t zone,
                           std::uint32_t region) -> bool {
  const auto& self = membership.roster.front();
  const auto place = [zone, region](const RosterEntry& it) {
    return it.zone == zone ? 0 : it.region == region ? 1 : 2;
  };
  const auto own_place = place(self);
  const auto own_score = ComputeWatcherScore(member, self.id);
  std::size_t better = 0;
  for (const auto& it : membership.roster) {
    if (place(it) == own_place && ToInteger(it.id) != member &&
        ComputeWatcherScore(member, it.id) > own_score &&
        ++better == kWatcherCount) {
      return false;
    }
  }
  return true;
}

auto UpdateWatchStatus(const Membership& membership,
                       MemberStatus& status,
                       std::uint64_t member,
                       std::uint32_t zone,
                       std::uint32_t region,
                       TimePoint now) -> void {
  const auto home_region =
      region != 0 ? region : FindRegionOfZone(membership, zone);
  const bool watched =
      IsSelfPossibleWatcher(membership, member, zone, home_region) &&
      ContainsHost(ChooseWatchers(membership, member, zone, home_region),
                   membership.self.id);
  // The timeout for the member's first heartbeat to a new watcher starts now.
  if (watched && !status.is_watched) {
    status.last_contact = now;
  }
  status.is_watched = watched;
}

}  // namespace

auto RebuildRoster(Membership& membership) -> void {
  const auto entry = [](const BalancerRecord& record) {
    return RosterEntry{.id = record.id,
                       .peer = record.peer,
                       .zone = HashZoneOrRegionName(record.zone),
                       .region = HashZoneOrRegionName(record.region)};
  };
  auto& roster = membership.roster;
  roster.clear();
  roster.push_back(entry(membership.self));
  for (const auto& [id, it] : membership.balancers) {
    if (IsPresentMemberState(it.record.state)) {
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
      kBaseGossipRounds + static_cast<int>(std::ceil(doublings / 2)));
  membership.are_watches_stale = true;
}

auto ChooseWatchers(const Membership& membership,
                    std::uint64_t member,
                    std::uint32_t zone,
                    std::uint32_t region) -> std::vector<RosterEntry> {
  const auto home_region =
      region != 0 ? region : FindRegionOfZone(membership, zone);
  BestCandidates same_zone;
  BestCandidates same_region;
  BestCandidates anywhere;
  for (const auto& it : membership.roster) {
    if (ToInteger(it.id) == member) {
      continue;
    }
    const Candidate candidate{.score = ComputeWatcherScore(member, it.id),
                              .entry = &it};
    if (it.zone == zone) {
      same_zone.InsertIfBetter(candidate);
    } else if (it.region == home_region) {
      same_region.InsertIfBetter(candidate);
    } else {
      anywhere.InsertIfBetter(candidate);
    }
  }
  std::vector<RosterEntry> chosen;
  AppendUnchosenCandidates(same_zone, kZoneWatcherCount, chosen);
  AppendUnchosenCandidates(same_region, kWatcherCount - kZoneWatcherCount,
                           chosen);
  AppendUnchosenCandidates(same_region, kWatcherCount, chosen);
  AppendUnchosenCandidates(same_zone, kWatcherCount, chosen);
  AppendUnchosenCandidates(anywhere, kWatcherCount, chosen);
  return chosen;
}

auto UpdateTargetWatch(Membership& membership,
                       TargetEntry& entry,
                       TimePoint now) -> void {
  UpdateWatchStatus(membership, entry.status, ToInteger(entry.record.id),
                    HashZoneOrRegionName(entry.record.zone), 0, now);
  if (entry.status.is_watched) {
    membership.watched_targets.push_back(entry.record.id);
  }
}

auto UpdateAllWatches(Membership& membership, TimePoint now) -> void {
  membership.are_watches_stale = false;
  membership.last_watch_assignment = now;
  membership.watched_targets.clear();
  membership.watched_balancers.clear();
  for (auto& [id, it] : membership.targets) {
    UpdateTargetWatch(membership, it, now);
  }
  for (auto& [id, it] : membership.balancers) {
    UpdateWatchStatus(membership, it.status, ToInteger(id),
                      HashZoneOrRegionName(it.record.zone),
                      HashZoneOrRegionName(it.record.region), now);
    if (it.status.is_watched) {
      membership.watched_balancers.push_back(id);
    }
  }
}

}  // namespace hawthornbank::detail
