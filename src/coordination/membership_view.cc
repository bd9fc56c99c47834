#include <algorithm>
#include <cmath>
#include <string>

#include "membership_internal.h"

namespace hawthornbank {
namespace detail {
namespace {

/// A view's version changes with the mean number of connections only by whole
/// steps; a doubling of the mean has this number of steps.
constexpr double kMeanStepsPerDoubling = 8;

auto ComputeEffectiveState(const TargetEntry& entry) -> TargetState {
  const bool hidden =
      entry.status.is_unreachable && entry.record.state < TargetState::kSuspect;
  return hidden ? TargetState::kSuspect : entry.record.state;
}

struct ServiceCounts {
  std::uint32_t known = 0;
  std::uint32_t live = 0;
};

auto CountTargetsOfService(const Membership& membership, ServiceId service)
    -> ServiceCounts {
  ServiceCounts counts;
  const auto it = membership.services.find(service);
  if (it == membership.services.end()) {
    return counts;
  }
  for (const auto id : it->second) {
    const auto state = ComputeEffectiveState(membership.targets.at(id));
    // Draining targets are excluded because they were withdrawn on purpose: at
    // night many targets rest (in standby).
    const bool meant_to_serve =
        state != TargetState::kLeft && state != TargetState::kDraining;
    counts.known += meant_to_serve ? 1 : 0;
    counts.live += state == TargetState::kServing ? 1 : 0;
  }
  return counts;
}

auto MixIntoHash(std::uint64_t hash, std::uint64_t value) -> std::uint64_t {
  hash ^= value + 0x9E3779B97F4A7C15U + (hash << 6U) + (hash >> 2U);
  return hash * 0xBF58476D1CE4E5B9U;
}

auto ComputeViewVersion(const ServiceView& view) -> std::uint64_t {
  std::uint64_t hash = ToInteger(view.service) + 1U;
  for (const auto& it : view.targets) {
    hash = MixIntoHash(hash, ToInteger(it.id));
    hash = MixIntoHash(
        hash, (std::uint64_t{it.agent.address} << 16U) | it.agent.port);
    hash = MixIntoHash(hash, static_cast<std::uint64_t>(it.state));
    hash = MixIntoHash(hash, it.weight_percent);
    hash = MixIntoHash(hash, ToInteger(it.incarnation));
  }
  const double steps =
      std::round(kMeanStepsPerDoubling * std::log2(1 + view.mean_connections));
  hash = MixIntoHash(hash, static_cast<std::uint64_t>(steps));
  return hash == 0 ? 1 : hash;
}

}  // namespace

auto HashZoneOrRegionName(const std::string& name) -> std::uint32_t {
  return static_cast<std::uint32_t>(HashName(name));
}

auto IsServiceBelowFloor(const Membership& membership, ServiceId service)
    -> bool {
  const auto counts = CountTargetsOfService(membership, service);
  return counts.live * 100 <
         counts.known * membership.options.live_floor_percent;
}

auto RecordZoneBeacon(Membership& membership,
                      const ZoneBeacon& beacon,
                      TimePoint now) -> void {
  auto& zone = membership.zones[beacon.zone];
  if (beacon.beacon > zone.beacon) {
    zone.beacon = beacon.beacon;
    zone.last_advanced = now;
  }
}

auto IsZoneBeaconOverdue(const Membership& membership,
                         std::uint32_t zone,
                         TimePoint now) -> bool {
  const auto it = membership.zones.find(zone);
  return it != membership.zones.end() &&
         now - it->second.last_advanced > membership.options.zone_timeout / 2;
}

auto UpdateSilentZones(Membership& membership, TimePoint now, Actions& out)
    -> void {
  const auto timeout =
      membership.options.zone_timeout * (1 + membership.local_health_penalty);
  if (HasReceiveTimedOut(membership, now)) {
    for (auto& [id, it] : membership.zones) {
      it.last_advanced = it.is_silent ? it.last_advanced : now;
    }
  }
  bool check_targets = false;
  for (auto& [id, it] : membership.zones) {
    const bool silent = now - it.last_advanced > timeout;
    if (silent != it.is_silent) {
      AppendCountEventAction(
          silent ? MembershipEvent::kZoneSilent : MembershipEvent::kZoneBack,
          out);
    }
    check_targets = check_targets || silent || it.is_silent;
    it.is_silent = silent;
  }
  if (!check_targets) {
    return;
  }
  for (auto& [id, entry] : membership.targets) {
    const auto zone =
        membership.zones.find(HashZoneOrRegionName(entry.record.zone));
    const bool silent =
        zone != membership.zones.end() && zone->second.is_silent;
    const bool vouched = now - entry.status.last_record <= timeout;
    const bool unreachable = silent && !vouched;
    if (unreachable != entry.status.is_unreachable) {
      entry.status.is_unreachable = unreachable;
      out.emplace_back(TargetsChanged{entry.record.service});
    }
  }
}

}  // namespace detail

auto ListTargets(const Membership& membership, ServiceId service)
    -> std::vector<TargetRecord> {
  std::vector<TargetRecord> records;
  const auto it = membership.services.find(service);
  if (it == membership.services.end()) {
    return records;
  }
  for (const auto id : it->second) {
    const auto& entry = membership.targets.at(id);
    records.push_back(entry.record);
    records.back().state = detail::ComputeEffectiveState(entry);
  }
  return records;
}

auto ListRoutableTargets(const Membership& membership, ServiceId service)
    -> std::vector<TargetRecord> {
  const bool below_floor = detail::IsServiceBelowFloor(membership, service);
  auto records = ListTargets(membership, service);
  const auto end = std::remove_if(
      records.begin(), records.end(), [below_floor](const TargetRecord& it) {
        const bool routable =
            it.state == TargetState::kServing ||
            (below_floor && it.state == TargetState::kSuspect);
        return !routable;
      });
  records.erase(end, records.end());
  return records;
}

auto GetFirstSeenTime(const Membership& membership, TargetId target)
    -> TimePoint {
  const auto it = membership.targets.find(target);
  return it == membership.targets.end() ? TimePoint::max()
                                        : it->second.status.first_seen;
}

auto ListBalancers(const Membership& membership)
    -> std::vector<BalancerRecord> {
  std::vector<BalancerRecord> records;
  bool self_listed = false;
  for (const auto& [id, it] : membership.balancers) {
    if (!self_listed && membership.self.id < id) {
      records.push_back(membership.self);
      self_listed = true;
    }
    records.push_back(it.record);
  }
  if (!self_listed) {
    records.push_back(membership.self);
  }
  return records;
}

auto ListWatchers(const Membership& membership,
                  std::uint64_t member,
                  const std::string& zone,
                  const std::string& region) -> std::vector<Endpoint> {
  const auto region_hash =
      region.empty() ? 0 : detail::HashZoneOrRegionName(region);
  std::vector<Endpoint> endpoints;
  for (const auto& it : detail::ChooseWatchers(
           membership, member, detail::HashZoneOrRegionName(zone),
           region_hash)) {
    endpoints.push_back(it.peer);
  }
  return endpoints;
}

auto BuildServiceView(const Membership& membership, ServiceId service)
    -> ServiceView {
  ServiceView view{.service = service};
  const auto it = membership.services.find(service);
  if (it == membership.services.end()) {
    return view;
  }
  double connections = 0;
  std::uint32_t serving = 0;
  for (const auto id : it->second) {
    const auto& entry = membership.targets.at(id);
    const auto state = detail::ComputeEffectiveState(entry);
    if (!detail::IsPresentMemberState(state)) {
      continue;
    }
    const auto& load = entry.gossiped_load;
    view.targets.push_back(ViewTarget{.id = id,
                                      .agent = entry.record.agent,
                                      .state = state,
                                      .weight_percent = load.weight_percent,
                                      .incarnation = entry.record.incarnation});
    if (state == TargetState::kServing) {
      connections += load.connections;
      ++serving;
    }
  }
  view.mean_connections = serving == 0 ? 0 : connections / serving;
  view.version = detail::ComputeViewVersion(view);
  return view;
}

auto IsMembershipReady(const Membership& membership) -> bool {
  return membership.ready;
}

}  // namespace hawthornbank
