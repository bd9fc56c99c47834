#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include "membership_internal.h"

namespace hawthornbank::detail {
namespace {

/// Number of peers in the same zone to which a balancer sends a change in each
/// gossip round.
constexpr std::size_t kZoneFanout = 2;
/// Number of balancers per zone that forward changes to other zones of the
/// region.
constexpr std::size_t kZoneForwarderCount = 3;
/// Number of balancers per region that forward changes to other regions.
constexpr std::size_t kRegionForwarderCount = 2;
/// Share of the budget reserve that only changes of state may use, not changes
/// of load.
constexpr double kStateChangeReserveShare = 0.5;

/// Computes the score by which the forwarding balancers of a zone or region are
/// chosen.
auto ComputeForwardingScore(HostId id) -> std::uint64_t {
  std::uint64_t x = ToInteger(id) + 0x9E3779B97F4A7C15U;
  x = (x ^ (x >> 30U)) * 0xBF58476D1CE4E5B9U;
  return x ^ (x >> 27U);
}

/// @return Whether self is one of the `count` balancers with the highest scores
///   among the balancers that match.
template <class Match>
auto IsSelfAmongTopScores(const Membership& membership,
                          std::size_t count,
                          Match match) -> bool {
  const auto own = ComputeForwardingScore(membership.self.id);
  std::size_t better = 0;
  for (const auto& it : membership.roster) {
    if (match(it) && ComputeForwardingScore(it.id) > own) {
      ++better;
    }
  }
  return better < count;
}

template <class Match>
auto ListMatchingPeers(const Membership& membership, Match match)
    -> std::vector<Endpoint> {
  std::vector<Endpoint> peers;
  for (const auto& it : membership.roster) {
    if (it.id != membership.self.id && match(it)) {
      peers.push_back(it.peer);
    }
  }
  return peers;
}

/// Lists the balancers of a region that forward changes to other regions.
auto ListForwardersOfRegion(const Membership& membership, std::uint32_t region)
    -> std::vector<Endpoint> {
  std::vector<RosterEntry> entries;
  for (const auto& it : membership.roster) {
    if (it.region == region) {
      entries.push_back(it);
    }
  }
  std::sort(entries.begin(), entries.end(),
            [](const RosterEntry& a, const RosterEntry& b) {
              return ComputeForwardingScore(a.id) >
                     ComputeForwardingScore(b.id);
            });
  std::vector<Endpoint> peers;
  for (const auto& it : entries) {
    if (peers.size() < kRegionForwarderCount) {
      peers.push_back(it.peer);
    }
  }
  return peers;
}

/// If self forwards changes to other regions, appends a random forwarder of
/// each other region.
auto AppendPeersOfOtherRegionsIfForwarder(const Membership& membership,
                                          Random& random,
                                          std::vector<Endpoint>& peers)
    -> void {
  const auto own = membership.roster.front().region;
  const bool is_forwarder = IsSelfAmongTopScores(
      membership, kRegionForwarderCount,
      [own](const RosterEntry& it) { return it.region == own; });
  if (!is_forwarder) {
    return;
  }
  std::set<std::uint32_t> regions;
  for (const auto& it : membership.roster) {
    regions.insert(it.region);
  }
  regions.erase(own);
  for (const auto region : regions) {
    AppendRandomEndpoints(ListForwardersOfRegion(membership, region), 1, random,
                          peers);
  }
}

/// If self forwards changes to other zones, appends a random balancer of each
/// other zone of the region.
auto AppendPeersOfOtherZonesIfForwarder(const Membership& membership,
                                        Random& random,
                                        std::vector<Endpoint>& peers) -> void {
  const auto& self = membership.roster.front();
  const bool is_forwarder = IsSelfAmongTopScores(
      membership, kZoneForwarderCount,
      [&self](const RosterEntry& it) { return it.zone == self.zone; });
  if (!is_forwarder) {
    return;
  }
  std::set<std::uint32_t> zones;
  for (const auto& it : membership.roster) {
    if (it.region == self.region && it.zone != self.zone) {
      zones.insert(it.zone);
    }
  }
  for (const auto zone : zones) {
    const auto group = ListMatchingPeers(
        membership, [zone](const RosterEntry& it) { return it.zone == zone; });
    AppendRandomEndpoints(group, 1, random, peers);
  }
}

/// Appends the balancer of the zone that follows self in the order of ids, so
/// that each balancer receives heartbeats from at least one other balancer. If
/// self is alone in the zone, appends the next balancer of the region; if alone
/// in the region, the next balancer of all.
auto AppendNextBalancerById(const Membership& membership,
                            std::vector<Endpoint>& peers) -> void {
  const auto& self = membership.roster.front();
  const RosterEntry* best = nullptr;
  const auto rank = [&self](const RosterEntry& it) {
    // Ids above self's id come first, then the lower ids.
    return std::tuple(it.zone != self.zone, it.region != self.region,
                      it.id < self.id, it.id);
  };
  for (const auto& it : membership.roster) {
    if (it.id != self.id && (best == nullptr || rank(it) < rank(*best))) {
      best = &it;
    }
  }
  if (best != nullptr) {
    peers.push_back(best->peer);
  }
}

auto ChooseGossipPeers(const Membership& membership, Random& random)
    -> std::vector<Endpoint> {
  const auto zone = membership.roster.front().zone;
  std::vector<Endpoint> peers;
  const auto group = ListMatchingPeers(
      membership, [zone](const RosterEntry& it) { return it.zone == zone; });
  AppendRandomEndpoints(group, kZoneFanout, random, peers);
  AppendPeersOfOtherZonesIfForwarder(membership, random, peers);
  AppendPeersOfOtherRegionsIfForwarder(membership, random, peers);
  return peers;
}

auto AppendPendingTargetRecords(Membership& membership,
                                bool urgent,
                                Digest& digest,
                                std::size_t& bytes_left) -> void {
  for (auto it = membership.targets_to_gossip.begin();
       it != membership.targets_to_gossip.end();) {
    const auto target = membership.targets.find(*it);
    if (target == membership.targets.end()) {
      it = membership.targets_to_gossip.erase(it);
      continue;
    }
    auto& entry = target->second;
    if (entry.status.is_state_change != urgent) {
      ++it;
      continue;
    }
    const auto size = ComputeEncodedSize(entry.record);
    if (size > bytes_left) {
      return;
    }
    bytes_left -= size;
    digest.targets.push_back(entry.record);
    if (--entry.status.gossip_rounds_left == 0) {
      entry.status.is_state_change = false;
      it = membership.targets_to_gossip.erase(it);
    } else {
      ++it;
    }
  }
}

/// Appends a balancer's record, or only the generation if nothing else changed.
/// @return Whether the data fitted into the digest.
auto AppendBalancerRecordIfItFits(const BalancerEntry& entry,
                                  Digest& digest,
                                  std::size_t& bytes_left) -> bool {
  const auto& record = entry.record;
  const GenerationUpdate update{.id = record.id,
                                .incarnation = record.incarnation,
                                .generation = record.generation};
  const bool generation_only = entry.status.is_generation_only;
  const auto size =
      generation_only ? ComputeEncodedSize(update) : ComputeEncodedSize(record);
  if (size > bytes_left) {
    return false;
  }
  bytes_left -= size;
  if (generation_only) {
    digest.generations.push_back(update);
  } else {
    digest.balancers.push_back(record);
  }
  return true;
}

auto AppendPendingBalancerRecords(Membership& membership,
                                  Digest& digest,
                                  std::size_t& bytes_left) -> void {
  for (auto it = membership.balancers_to_gossip.begin();
       it != membership.balancers_to_gossip.end();) {
    const auto balancer = membership.balancers.find(*it);
    if (balancer == membership.balancers.end()) {
      it = membership.balancers_to_gossip.erase(it);
      continue;
    }
    auto& entry = balancer->second;
    if (!AppendBalancerRecordIfItFits(entry, digest, bytes_left)) {
      return;
    }
    it = --entry.status.gossip_rounds_left == 0
             ? membership.balancers_to_gossip.erase(it)
             : std::next(it);
  }
}

}  // namespace

auto DrawRandomIndex(Random& random, std::size_t count) -> std::size_t {
  return static_cast<std::size_t>(DrawRandomFraction(random) *
                                  static_cast<double>(count));
}

auto AppendRandomEndpoints(std::vector<Endpoint> group,
                           std::size_t count,
                           Random& random,
                           std::vector<Endpoint>& peers) -> void {
  for (; count > 0 && !group.empty(); --count) {
    const auto n = DrawRandomIndex(random, group.size());
    peers.push_back(group[n]);
    group.erase(group.begin() + static_cast<std::ptrdiff_t>(n));
  }
}

auto MakeEmptyDigest(const Membership& membership) -> Digest {
  return Digest{.sender = membership.self.id,
                .incarnation = membership.self.incarnation,
                .sequence = membership.self.sequence,
                .ready = membership.ready};
}

auto SendDigestTo(Membership& membership,
                  Endpoint to,
                  Digest digest,
                  Actions& out) -> void {
  membership.budget_bytes -=
      static_cast<double>(ComputeEncodedSize(digest) + kDatagramOverhead);
  out.emplace_back(SendDigest{.to = to, .digest = std::move(digest)});
}

auto SendHeartbeats(Membership& membership,
                    TimePoint now,
                    Random& random,
                    Actions& out) -> void {
  auto& self = membership.self;
  ++self.sequence;
  const auto zone = HashZoneOrRegionName(self.zone);
  auto& own = membership.zones[zone];
  ++own.beacon;
  own.last_advanced = now;
  Digest digest = MakeEmptyDigest(membership);
  for (const auto& [id, it] : membership.zones) {
    digest.beacons.push_back(ZoneBeacon{.zone = id, .beacon = it.beacon});
  }
  std::vector<Endpoint> peers;
  for (const auto& it : ChooseWatchers(membership, ToInteger(self.id), zone,
                                       HashZoneOrRegionName(self.region))) {
    peers.push_back(it.peer);
  }
  AppendNextBalancerById(membership, peers);
  AppendPeersOfOtherRegionsIfForwarder(membership, random, peers);
  std::sort(peers.begin(), peers.end(),
            [](const Endpoint& a, const Endpoint& b) {
              return std::tie(a.address, a.port) < std::tie(b.address, b.port);
            });
  peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
  for (const auto& it : peers) {
    SendDigestTo(membership, it, digest, out);
  }
}

auto SendGossip(Membership& membership, Random& random, Actions& out) -> void {
  const double reserve = ComputeBudgetReserve(membership);
  const bool urgent_allowed = membership.budget_bytes > 0;
  const bool load_allowed =
      membership.budget_bytes > reserve * kStateChangeReserveShare;
  Digest digest = MakeEmptyDigest(membership);
  std::size_t bytes_left = kMaxDigestBytes - ComputeEncodedSize(digest);
  if (membership.self_status.gossip_rounds_left > 0) {
    --membership.self_status.gossip_rounds_left;
    bytes_left -= ComputeEncodedSize(membership.self);
    digest.balancers.push_back(membership.self);
  }
  if (urgent_allowed) {
    AppendPendingTargetRecords(membership, true, digest, bytes_left);
    AppendPendingBalancerRecords(membership, digest, bytes_left);
  }
  if (load_allowed) {
    AppendPendingTargetRecords(membership, false, digest, bytes_left);
  } else if (!membership.targets_to_gossip.empty()) {
    AppendCountEventAction(MembershipEvent::kLoadPutOff, out);
  }
  if (digest.targets.empty() && digest.balancers.empty() &&
      digest.generations.empty()) {
    return;
  }
  for (const auto& it : ChooseGossipPeers(membership, random)) {
    SendDigestTo(membership, it, digest, out);
  }
}

}  // namespace hawthornbank::detail
