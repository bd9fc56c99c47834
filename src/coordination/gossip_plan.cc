#include "hawthornbank/gossip_plan.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string_view>
#include <utility>

namespace hawthornbank {
namespace {

// Number of heartbeat intervals to a receiver after which two heartbeats are
// certainly missing.
constexpr double kMissedHeartbeatIntervals = 2.5;

// Shortest settling time: several heartbeats in a small fleet.
constexpr Duration kMinSettlingTime = std::chrono::seconds{3};
// Time in which comparisons spread a record to all balancers.
constexpr Duration kComparisonsTime = std::chrono::seconds{2};

auto HasShutDown(const KnownHost& host, TimePoint now) -> bool {
  return host.record.is_shutting_down &&
         now - host.changed >= kBalancerShutdownTime;
}

auto IsEndpointBefore(Endpoint a, Endpoint b) -> bool {
  return std::pair(a.address, a.port) < std::pair(b.address, b.port);
}

auto ScaleDuration(Duration duration, double factor) -> Duration {
  return Duration{static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor)};
}

// Balancers other than this process, ordered by address, without those that
// have shut down.
struct BalancersByZone {
  std::vector<Endpoint> same_zone;
  std::vector<Endpoint> other_zones;
};

auto ListBalancersByZone(const Fleet& fleet, TimePoint now) -> BalancersByZone {
  BalancersByZone balancers;
  for (const auto& [control, host] : fleet.hosts) {
    if (host.record.role == HostRole::kBalancer && !HasShutDown(host, now)) {
      (host.record.zone == fleet.self.zone ? balancers.same_zone
                                           : balancers.other_zones)
          .push_back(control);
    }
  }
  std::sort(balancers.same_zone.begin(), balancers.same_zone.end(),
            IsEndpointBefore);
  std::sort(balancers.other_zones.begin(), balancers.other_zones.end(),
            IsEndpointBefore);
  return balancers;
}

auto JoinLists(std::vector<Endpoint> a, const std::vector<Endpoint>& b)
    -> std::vector<Endpoint> {
  a.insert(a.end(), b.begin(), b.end());
  return a;
}

// Appends `count` elements of a list, starting where the round before ended.
auto AppendInTurn(const std::vector<Endpoint>& list,
                  std::uint64_t round,
                  std::size_t count,
                  std::vector<Endpoint>& out) -> void {
  const std::size_t taken = std::min(list.size(), count);
  for (std::size_t n = 0; n < taken; ++n) {
    out.push_back(list[(round * taken + n) % list.size()]);
  }
}

auto ComputeRelayRank(Endpoint process, Endpoint relay) -> std::uint64_t {
  std::uint64_t hash = (std::uint64_t{process.address} << 32U | relay.address) ^
                       (std::uint64_t{relay.port} << 16U);
  hash = (hash ^ (hash >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  hash = (hash ^ (hash >> 27U)) * 0x94D049BB133111EBULL;
  return hash ^ (hash >> 31U);
}

// The first live balancer of each zone by address; this process counts as live.
auto FindFirstBalancers(const Fleet& fleet, TimePoint now)
    -> std::map<std::string_view, Endpoint> {
  std::map<std::string_view, Endpoint> first;
  const auto add = [&first](std::string_view zone, Endpoint control) {
    const auto [it, added] = first.try_emplace(zone, control);
    if (!added && IsEndpointBefore(control, it->second)) {
      it->second = control;
    }
  };
  if (fleet.self.role == HostRole::kBalancer && !fleet.self.is_shutting_down) {
    add(fleet.self.zone, fleet.self.control);
  }
  for (const auto& [control, host] : fleet.hosts) {
    if (host.record.role == HostRole::kBalancer &&
        !host.record.is_shutting_down && IsHostLive(host, now)) {
      add(host.record.zone, control);
    }
  }
  return first;
}

}  // namespace

auto CountBalancers(const Fleet& fleet) -> FleetSize {
  const std::size_t self = fleet.self.role == HostRole::kBalancer ? 1 : 0;
  FleetSize size{.balancers = self, .zone_balancers = self};
  for (const auto& [control, host] : fleet.hosts) {
    if (host.record.role == HostRole::kBalancer) {
      ++size.balancers;
      size.zone_balancers += host.record.zone == fleet.self.zone ? 1 : 0;
    }
  }
  return size;
}

auto KnowsHost(const Fleet& fleet, Endpoint control, TimePoint now) -> bool {
  const auto host = fleet.hosts.find(control);
  return host != fleet.hosts.end() && !HasShutDown(host->second, now);
}

auto KnowsAnyBalancer(const Fleet& fleet, TimePoint now) -> bool {
  return std::any_of(fleet.hosts.begin(), fleet.hosts.end(),
                     [now](const auto& it) {
                       return it.second.record.role == HostRole::kBalancer &&
                              !HasShutDown(it.second, now);
                     });
}

auto ComputeHeartbeatInterval(const FleetSize& size) -> Duration {
  const double factor = static_cast<double>(size.balancers) /
                        static_cast<double>(kBalancersAtMinHeartbeatInterval);
  return std::clamp(ScaleDuration(kMinHeartbeatInterval, factor),
                    kMinHeartbeatInterval, kMaxHeartbeatInterval);
}

auto ComputeUnresponsiveTime(const FleetSize& size, bool is_same_zone)
    -> Duration {
  std::size_t rounds = 1;
  if (!IsFullMesh(size)) {
    const std::size_t receivers =
        is_same_zone
            ? size.zone_balancers
            : size.balancers - std::min(size.zone_balancers, size.balancers);
    const std::size_t fanout =
        is_same_zone ? kHeartbeatFanout : kOtherZoneHeartbeatFanout;
    rounds = std::max<std::size_t>((receivers + fanout - 1) / fanout, 1);
  }
  return ScaleDuration(ComputeHeartbeatInterval(size),
                       kMissedHeartbeatIntervals * static_cast<double>(rounds));
}

auto ComputeExpiryTime(const FleetSize& size, HostRole role) -> Duration {
  if (role == HostRole::kAgent) {
    return kBalancerExpiryTimeAtAgents;
  }
  return std::max(kHostExpiryTime, 2 * ComputeUnresponsiveTime(size, false));
}

auto ComputeSettlingTime(const FleetSize& size) -> Duration {
  return IsFullMesh(size)
             ? kMinSettlingTime
             : std::max(kMinSettlingTime,
                        2 * ComputeHeartbeatInterval(size) + kComparisonsTime);
}

auto ComputeRoutesNewsInterval(const FleetSize& size) -> Duration {
  const auto receivers =
      IsFullMesh(size) ? size.balancers : size.zone_balancers;
  return Duration{std::chrono::seconds{1}} * kHeartbeatBytes *
         static_cast<std::int64_t>(receivers) / kMaxRoutesNewsBytesPerSecond;
}

auto ListHeartbeatReceivers(const Fleet& fleet,
                            std::uint64_t round,
                            TimePoint now) -> std::vector<Endpoint> {
  const BalancersByZone balancers = ListBalancersByZone(fleet, now);
  if (IsFullMesh(CountBalancers(fleet))) {
    return JoinLists(balancers.same_zone, balancers.other_zones);
  }
  std::vector<Endpoint> receivers;
  // Processes that start together begin with different balancers.
  const std::uint64_t offset = ComputeRelayRank(fleet.self.control, {}) >> 32U;
  AppendInTurn(balancers.same_zone, round + offset, kHeartbeatFanout,
               receivers);
  AppendInTurn(balancers.other_zones, round + offset, kOtherZoneHeartbeatFanout,
               receivers);
  return receivers;
}

auto ListChangeReceivers(const Fleet& fleet, TimePoint now)
    -> std::vector<Endpoint> {
  const BalancersByZone balancers = ListBalancersByZone(fleet, now);
  if (IsFullMesh(CountBalancers(fleet))) {
    return JoinLists(balancers.same_zone, balancers.other_zones);
  }
  std::map<std::string_view, std::vector<Endpoint>> zones;
  for (const auto it : balancers.other_zones) {
    zones[fleet.hosts.at(it).record.zone].push_back(it);
  }
  std::vector<Endpoint> receivers = balancers.same_zone;
  for (auto& [zone, relays] : zones) {
    const std::size_t count = std::min(relays.size(), kRelaysPerZone);
    const auto end = relays.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(relays.begin(), end, relays.end(),
                      [&fleet](Endpoint a, Endpoint b) {
                        return ComputeRelayRank(fleet.self.control, a) >
                               ComputeRelayRank(fleet.self.control, b);
                      });
    receivers.insert(receivers.end(), relays.begin(), end);
  }
  return receivers;
}

auto ListBalancersToJoin(const Fleet& fleet,
                         std::span<const Endpoint> listed,
                         Random& random) -> std::vector<Endpoint> {
  std::vector<Endpoint> unknown;
  std::copy_if(listed.begin(), listed.end(), std::back_inserter(unknown),
               [&fleet](Endpoint it) {
                 return it != fleet.self.control && !fleet.hosts.contains(it);
               });
  std::shuffle(unknown.begin(), unknown.end(), random);
  unknown.resize(std::min(unknown.size(), kMaxBalancersToJoin));
  return unknown;
}

auto ChooseComparisonPeer(const Fleet& fleet,
                          std::uint64_t round,
                          Random& random,
                          TimePoint now) -> std::optional<Endpoint> {
  const BalancersByZone balancers = ListBalancersByZone(fleet, now);
  std::map<std::string_view, std::vector<Endpoint>> zones;
  for (const auto it : balancers.other_zones) {
    zones[fleet.hosts.at(it).record.zone].push_back(it);
  }
  if (!balancers.same_zone.empty()) {
    zones[fleet.self.zone] = balancers.same_zone;
  }
  if (zones.empty()) {
    return std::nullopt;
  }
  auto zone = zones.begin();
  std::advance(zone, static_cast<std::ptrdiff_t>(round % zones.size()));
  return zone->second[random() % zone->second.size()];
}

auto ListRelayReceivers(const Fleet& fleet, TimePoint now)
    -> std::vector<Endpoint> {
  return IsFullMesh(CountBalancers(fleet))
             ? std::vector<Endpoint>{}
             : ListBalancersByZone(fleet, now).same_zone;
}

auto ListRoutesNewsReceivers(const Fleet& fleet, bool from_store, TimePoint now)
    -> std::vector<Endpoint> {
  const BalancersByZone balancers = ListBalancersByZone(fleet, now);
  if (IsFullMesh(CountBalancers(fleet))) {
    return JoinLists(balancers.same_zone, balancers.other_zones);
  }
  std::vector<Endpoint> receivers = balancers.same_zone;
  if (from_store) {
    for (const auto& [zone, first] : FindFirstBalancers(fleet, now)) {
      if (zone != fleet.self.zone) {
        receivers.push_back(first);
      }
    }
  }
  return receivers;
}

auto ComputeReaderRank(const Fleet& fleet, TimePoint now) -> ReaderRank {
  ReaderRank rank;
  for (const auto& [control, host] : fleet.hosts) {
    if (host.record.role == HostRole::kBalancer &&
        host.record.zone == fleet.self.zone && !host.record.is_shutting_down &&
        IsHostLive(host, now) &&
        IsEndpointBefore(control, fleet.self.control)) {
      ++rank.in_zone;
    }
  }
  const auto first = FindFirstBalancers(fleet, now);
  const auto own = first.find(fleet.self.zone);
  const Endpoint own_first =
      own != first.end() ? own->second : fleet.self.control;
  for (const auto& [zone, control] : first) {
    rank.zones += IsEndpointBefore(control, own_first) ? 1 : 0;
  }
  return rank;
}

auto MustIntroduceBalancer(const Fleet& fleet,
                           const FleetSize& size,
                           const KnownHost& host,
                           TimePoint now) -> bool {
  return host.record.role == HostRole::kAgent &&
         (IsFullMesh(size) || host.record.zone == fleet.self.zone) &&
         (host.load_reported_at == TimePoint{} ||
          now - host.last_contact >= host.unresponsive_after);
}

auto ListAgentsToNotifyOfRoutes(const Fleet& fleet,
                                std::uint64_t version,
                                TimePoint now) -> std::vector<Endpoint> {
  const bool is_full_mesh = IsFullMesh(CountBalancers(fleet));
  std::vector<const KnownHost*> agents;
  for (const auto& [control, host] : fleet.hosts) {
    if (host.record.role == HostRole::kAgent && !host.record.is_shutting_down &&
        (is_full_mesh || host.record.zone == fleet.self.zone) &&
        IsHostLive(host, now)) {
      agents.push_back(&host);
    }
  }
  const auto count = std::min(agents.size(), kRouteHolderCount);
  std::partial_sort(
      agents.begin(), agents.begin() + static_cast<std::ptrdiff_t>(count),
      agents.end(), [](const KnownHost* a, const KnownHost* b) {
        return IsEndpointBefore(a->record.control, b->record.control);
      });
  std::vector<Endpoint> endpoints;
  for (std::size_t n = 0; n < count; ++n) {
    if (agents[n]->version < version) {
      endpoints.push_back(agents[n]->record.control);
    }
  }
  return endpoints;
}

auto ListAgentsToNotifyOfZones(const Fleet& fleet,
                               std::uint64_t zones_digest,
                               std::uint64_t round,
                               TimePoint now) -> std::vector<Endpoint> {
  std::vector<Endpoint> agents;
  for (const auto& [control, host] : fleet.hosts) {
    if (host.record.role == HostRole::kAgent &&
        host.zones_digest != zones_digest && IsHostLive(host, now)) {
      agents.push_back(control);
    }
  }
  if (agents.empty()) {
    return agents;
  }
  const auto first = FindFirstBalancers(fleet, now);
  const auto first_of_all = std::min_element(
      first.begin(), first.end(), [](const auto& a, const auto& b) {
        return IsEndpointBefore(a.second, b.second);
      });
  std::erase_if(agents, [&](Endpoint agent) {
    auto notifier = first.find(fleet.hosts.at(agent).record.zone);
    if (notifier == first.end()) {
      notifier = first_of_all;
    }
    return notifier == first.end() || notifier->second != fleet.self.control;
  });
  std::sort(agents.begin(), agents.end(), IsEndpointBefore);
  std::vector<Endpoint> receivers;
  AppendInTurn(agents, round, kMaxZoneNoticesPerRound, receivers);
  return receivers;
}

}  // namespace hawthornbank
