#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include "membership_internal.h"

namespace hawthornbank::detail {
namespace {

/// Peers of its own zone that a balancer sends a change to in each round.
constexpr std::size_t kZoneFanout = 2;
/// Balancers of a zone that pass changes on to the region's other zones.
constexpr std::size_t kBridgeCount = 3;
/// Balancers of a region that pass changes on to other regions.
constexpr std::size_t kGatewayCount = 2;
/// Share of the budget's reserve that load changes leave to changes of state.
constexpr double kReservedShare = 0.5;

/// Rank of a balancer for a duty of its zone or region.
auto DutyScore(HostId id) -> std::uint64_t {
  std::uint64_t x = ToInteger(id) + 0x9E3779B97F4A7C15U;
  x = (x ^ (x >> 30U)) * 0xBF58476D1CE4E5B9U;
  return x ^ (x >> 27U);
}

/// @return Whether self is among the count best of those that match.
template <class Match>
auto HasDuty(const Membership& membership, std::size_t count, Match match)
    -> bool {
  const auto own = DutyScore(membership.self.id);
  std::size_t better = 0;
  for (const auto& it : membership.roster) {
    if (match(it) && DutyScore(it.id) > own) {
      ++better;
    }
  }
  return better < count;
}

auto Draw(Random& random, std::size_t count) -> std::size_t {
  return static_cast<std::size_t>(NextFraction(random) *
                                  static_cast<double>(count));
}

/// Adds count random endpoints out of a group.
auto AddRandom(std::vector<Endpoint> group,
               std::size_t count,
               Random& random,
               std::vector<Endpoint>& peers) -> void {
  for (; count > 0 && !group.empty(); --count) {
    const auto n = Draw(random, group.size());
    peers.push_back(group[n]);
    group.erase(group.begin() + static_cast<std::ptrdiff_t>(n));
  }
}

template <class Match>
auto PeersWhere(const Membership& membership, Match match)
    -> std::vector<Endpoint> {
  std::vector<Endpoint> peers;
  for (const auto& it : membership.roster) {
    if (it.id != membership.self.id && match(it)) {
      peers.push_back(it.peer);
    }
  }
  return peers;
}

/// The gateways of another region.
auto GatewaysOf(const Membership& membership, std::uint32_t region)
    -> std::vector<Endpoint> {
  std::vector<RosterEntry> entries;
  for (const auto& it : membership.roster) {
    if (it.region == region) {
      entries.push_back(it);
    }
  }
  std::sort(entries.begin(), entries.end(),
            [](const RosterEntry& a, const RosterEntry& b) {
              return DutyScore(a.id) > DutyScore(b.id);
            });
  std::vector<Endpoint> peers;
  for (const auto& it : entries) {
    if (peers.size() < kGatewayCount) {
      peers.push_back(it.peer);
    }
  }
  return peers;
}

auto AddGateways(const Membership& membership,
                 Random& random,
                 std::vector<Endpoint>& peers) -> void {
  const auto own = membership.roster.front().region;
  const bool is_gateway =
      HasDuty(membership, kGatewayCount,
              [own](const RosterEntry& it) { return it.region == own; });
  if (!is_gateway) {
    return;
  }
  std::set<std::uint32_t> regions;
  for (const auto& it : membership.roster) {
    regions.insert(it.region);
  }
  regions.erase(own);
  for (const auto region : regions) {
    AddRandom(GatewaysOf(membership, region), 1, random, peers);
  }
}

auto AddBridges(const Membership& membership,
                Random& random,
                std::vector<Endpoint>& peers) -> void {
  const auto& self = membership.roster.front();
  const bool is_bridge =
      HasDuty(membership, kBridgeCount,
              [&self](const RosterEntry& it) { return it.zone == self.zone; });
  if (!is_bridge) {
    return;
  }
  std::set<std::uint32_t> zones;
  for (const auto& it : membership.roster) {
    if (it.region == self.region && it.zone != self.zone) {
      zones.insert(it.zone);
    }
  }
  for (const auto zone : zones) {
    const auto group = PeersWhere(
        membership, [zone](const RosterEntry& it) { return it.zone == zone; });
    AddRandom(group, 1, random, peers);
  }
}

/// The next balancer of a zone in the order of identity, so that each one
/// hears at least one other; of the region when the zone has no second.
auto AddSuccessor(const Membership& membership, std::vector<Endpoint>& peers)
    -> void {
  const auto& self = membership.roster.front();
  const RosterEntry* best = nullptr;
  const auto rank = [&self](const RosterEntry& it) {
    // Identities after self come first, then those that wrap around.
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

auto GossipPeers(const Membership& membership, Random& random)
    -> std::vector<Endpoint> {
  const auto zone = membership.roster.front().zone;
  std::vector<Endpoint> peers;
  const auto group = PeersWhere(
      membership, [zone](const RosterEntry& it) { return it.zone == zone; });
  AddRandom(group, kZoneFanout, random, peers);
  AddBridges(membership, random, peers);
  AddGateways(membership, random, peers);
  return peers;
}

auto AddTargets(Membership& membership,
                bool urgent,
                Digest& digest,
                std::size_t& room) -> void {
  for (auto it = membership.hot_targets.begin();
       it != membership.hot_targets.end();) {
    const auto target = membership.targets.find(*it);
    if (target == membership.targets.end()) {
      it = membership.hot_targets.erase(it);
      continue;
    }
    auto& entry = target->second;
    if (entry.status.urgent != urgent) {
      ++it;
      continue;
    }
    const auto size = EncodedSize(entry.record);
    if (size > room) {
      return;
    }
    room -= size;
    digest.targets.push_back(entry.record);
    if (--entry.status.rounds == 0) {
      entry.status.urgent = false;
      it = membership.hot_targets.erase(it);
    } else {
      ++it;
    }
  }
}

auto AddBalancers(Membership& membership, Digest& digest, std::size_t& room)
    -> void {
  for (auto it = membership.hot_balancers.begin();
       it != membership.hot_balancers.end();) {
    const auto balancer = membership.balancers.find(*it);
    if (balancer == membership.balancers.end()) {
      it = membership.hot_balancers.erase(it);
      continue;
    }
    auto& entry = balancer->second;
    const auto size = EncodedSize(entry.record);
    if (size > room) {
      return;
    }
    room -= size;
    digest.balancers.push_back(entry.record);
    it = --entry.status.rounds == 0 ? membership.hot_balancers.erase(it)
                                    : std::next(it);
  }
}

auto ChecksumOf(std::uint64_t id,
                Incarnation incarnation,
                std::uint64_t content) -> std::uint32_t {
  std::uint64_t x = id ^ (ToInteger(incarnation) * 0x9E3779B97F4A7C15U);
  x = (x ^ (x >> 29U) ^ (content << 7U)) * 0xBF58476D1CE4E5B9U;
  x = (x ^ (x >> 31U)) * 0x94D049BB133111EBU;
  return static_cast<std::uint32_t>(x >> 32U);
}

auto ChecksumOf(const TargetRecord& record) -> std::uint32_t {
  return ChecksumOf(ToInteger(record.id), record.incarnation,
                    static_cast<std::uint64_t>(record.state));
}

/// @return Checksum of all targets that are present.
auto TargetsChecksum(const Membership& membership) -> std::uint32_t {
  std::uint32_t sum = 0;
  for (const auto& [id, it] : membership.targets) {
    sum += IsPresent(it.record.state) ? ChecksumOf(it.record) : 0;
  }
  return sum;
}

auto BucketOf(std::uint64_t id) -> std::uint32_t {
  return static_cast<std::uint32_t>((id * 0x9E3779B97F4A7C15U) >> 57U);
}
static_assert(kBucketCount == 128, "BucketOf() gives seven bits");

/// Splits the records of some buckets into digests of allowed size.
class SyncWriter {
 public:
  SyncWriter(Membership& membership, Endpoint to, Actions& out)
      : membership_(membership),
        to_(to),
        out_(out),
        digest_(MakeDigest(membership)),
        room_(kMaxDigestBytes - EncodedSize(digest_)) {}

  auto Add(const TargetRecord& record) -> void {
    Reserve(EncodedSize(record));
    digest_.targets.push_back(record);
  }

  auto Add(const BalancerRecord& record) -> void {
    Reserve(EncodedSize(record));
    digest_.balancers.push_back(record);
  }

  auto Flush() -> void {
    if (!digest_.targets.empty() || !digest_.balancers.empty()) {
      Send(membership_, to_, std::move(digest_), out_);
      ++sent_;
    }
    digest_ = MakeDigest(membership_);
    room_ = kMaxDigestBytes - EncodedSize(digest_);
  }

  [[nodiscard]] auto sent() const -> std::size_t { return sent_; }

 private:
  auto Reserve(std::size_t size) -> void {
    if (size > room_) {
      Flush();
    }
    room_ -= size;
  }

  Membership& membership_;
  Endpoint to_;
  Actions& out_;
  Digest digest_;
  std::size_t room_ = 0;
  std::size_t sent_ = 0;
};

}  // namespace

auto MakeDigest(const Membership& membership) -> Digest {
  return Digest{.sender = membership.self.id,
                .incarnation = membership.self.incarnation,
                .sequence = membership.self.sequence,
                .ready = membership.ready};
}

auto Send(Membership& membership, Endpoint to, Digest digest, Actions& out)
    -> void {
  membership.budget_bytes -=
      static_cast<double>(EncodedSize(digest) + kDatagramOverhead);
  out.emplace_back(SendDigest{.to = to, .digest = std::move(digest)});
}

auto SendHeartbeats(Membership& membership,
                    TimePoint now,
                    Random& random,
                    Actions& out) -> void {
  auto& self = membership.self;
  ++self.sequence;
  const auto zone = PlaceHash(self.zone);
  auto& own = membership.zones[zone];
  ++own.beacon;
  own.advanced = now;
  Digest digest = MakeDigest(membership);
  for (const auto& [id, it] : membership.zones) {
    digest.beacons.push_back(ZoneBeacon{.zone = id, .beacon = it.beacon});
  }
  std::vector<Endpoint> peers;
  for (const auto& it : ChooseWatchers(membership, ToInteger(self.id), zone,
                                       PlaceHash(self.region))) {
    peers.push_back(it.peer);
  }
  AddSuccessor(membership, peers);
  AddGateways(membership, random, peers);
  std::sort(peers.begin(), peers.end());
  peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
  for (const auto& it : peers) {
    Send(membership, it, digest, out);
  }
}

auto SendGossip(Membership& membership, Random& random, Actions& out) -> void {
  const double reserve = BudgetReserve(membership);
  const bool urgent_allowed = membership.budget_bytes > 0;
  const bool load_allowed = membership.budget_bytes > reserve * kReservedShare;
  Digest digest = MakeDigest(membership);
  std::size_t room = kMaxDigestBytes - EncodedSize(digest);
  if (membership.self_status.rounds > 0) {
    --membership.self_status.rounds;
    room -= EncodedSize(membership.self);
    digest.balancers.push_back(membership.self);
  }
  if (urgent_allowed) {
    AddTargets(membership, true, digest, room);
    AddBalancers(membership, digest, room);
  }
  if (load_allowed) {
    AddTargets(membership, false, digest, room);
  } else if (!membership.hot_targets.empty()) {
    Count(MembershipEvent::kLoadPutOff, out);
  }
  if (digest.targets.empty() && digest.balancers.empty()) {
    return;
  }
  for (const auto& it : GossipPeers(membership, random)) {
    Send(membership, it, digest, out);
  }
}

auto BucketChecksums(const Membership& membership, std::uint32_t first)
    -> std::vector<std::uint32_t> {
  std::vector<std::uint32_t> sums(kBucketCount, 0);
  const auto add = [&](std::uint64_t id, std::uint32_t checksum) {
    sums[(BucketOf(id) + kBucketCount - first) % kBucketCount] += checksum;
  };
  for (const auto& [id, it] : membership.targets) {
    if (IsPresent(it.record.state)) {
      add(ToInteger(id), ChecksumOf(it.record));
    }
  }
  const auto add_balancer = [&](const BalancerRecord& record) {
    const auto content = (ToInteger(record.generation) << 2U) |
                         static_cast<std::uint64_t>(record.state);
    const auto id = ToInteger(record.id);
    add(id, ChecksumOf(~id, record.incarnation, content));
  };
  add_balancer(membership.self);
  for (const auto& [id, it] : membership.balancers) {
    if (IsPresent(it.record.state)) {
      add_balancer(it.record);
    }
  }
  return sums;
}

auto SendSync(Membership& membership,
              TimePoint now,
              Random& random,
              Actions& out) -> void {
  constexpr std::size_t kNewcomerFanout = 3;
  constexpr Duration kNewcomerInterval = std::chrono::milliseconds{200};
  const auto& options = membership.options;
  const auto interval = !membership.ready    ? kNewcomerInterval
                        : membership.in_step ? options.sync_interval
                                             : options.heartbeat_interval;
  if (now - membership.last_sync < interval) {
    return;
  }
  membership.last_sync = now;
  membership.in_step = false;
  std::vector<Endpoint> group =
      PeersWhere(membership, [](const RosterEntry&) { return true; });
  if (!membership.ready || group.empty()) {
    for (const auto& it : membership.options.seeds) {
      if (it != membership.self.peer) {
        group.push_back(it);
      }
    }
  }
  std::vector<Endpoint> peers;
  AddRandom(group, membership.ready ? 1 : kNewcomerFanout, random, peers);
  for (const auto& it : peers) {
    Digest digest = MakeDigest(membership);
    digest.probe = !membership.ready;
    digest.first_bucket =
        static_cast<std::uint32_t>(Draw(random, kBucketCount));
    digest.targets_checksum = TargetsChecksum(membership);
    digest.checksums = BucketChecksums(membership, digest.first_bucket);
    if (!membership.ready) {
      digest.balancers.push_back(membership.self);
    }
    Send(membership, it, std::move(digest), out);
  }
}

auto AnswerSync(Membership& membership,
                Endpoint to,
                const Digest& request,
                Actions& out) -> void {
  constexpr std::size_t kMaxAnswerDigests = 16;
  const auto first = request.first_bucket % kBucketCount;
  const auto sums = BucketChecksums(membership, first);
  Digest verdict = MakeDigest(membership);
  verdict.complete = request.checksums == sums;
  verdict.targets_complete =
      request.targets_checksum == TargetsChecksum(membership);
  if (verdict.complete || (request.probe && verdict.targets_complete)) {
    Send(membership, to, verdict, out);
  }
  if (verdict.complete) {
    return;
  }
  // Two that have just started have little to give each other.
  if (request.probe && !membership.ready) {
    Send(membership, to, MakeDigest(membership), out);
    return;
  }
  if (!request.probe && membership.budget_bytes <= 0) {
    return;
  }
  std::vector<std::vector<const TargetRecord*>> targets(kBucketCount);
  std::vector<std::vector<const BalancerRecord*>> balancers(kBucketCount);
  for (const auto& [id, it] : membership.targets) {
    targets[BucketOf(ToInteger(id))].push_back(&it.record);
  }
  for (const auto& [id, it] : membership.balancers) {
    balancers[BucketOf(ToInteger(id))].push_back(&it.record);
  }
  balancers[BucketOf(ToInteger(membership.self.id))].push_back(
      &membership.self);
  SyncWriter writer(membership, to, out);
  for (std::uint32_t n = 0; n < kBucketCount; ++n) {
    if (n < request.checksums.size() && request.checksums[n] == sums[n]) {
      continue;
    }
    const auto bucket = (first + n) % kBucketCount;
    for (const auto* it : balancers[bucket]) {
      writer.Add(*it);
    }
    for (const auto* it : targets[bucket]) {
      writer.Add(*it);
    }
    if (writer.sent() >= kMaxAnswerDigests) {
      break;
    }
  }
  writer.Flush();
}

}  // namespace hawthornbank::detail
