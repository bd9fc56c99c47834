#include "hawthornbank/host_registry.h"

#include <algorithm>

namespace hawthornbank {
namespace {

auto ContainsEndpoint(std::span<const Endpoint> endpoints, Endpoint endpoint)
    -> bool {
  return std::find(endpoints.begin(), endpoints.end(), endpoint) !=
         endpoints.end();
}

auto ComputeBalancersDigest(const Fleet& fleet) -> std::uint64_t {
  std::uint64_t digest = 0;
  for (const auto& [control, host] : fleet.hosts) {
    if (host.record.role == HostRole::kBalancer) {
      digest += (std::uint64_t{control.address} << 16U | control.port) *
                0x9E3779B97F4A7C15ULL;
    }
  }
  return digest;
}

}  // namespace

auto PlanRegistryChanges(std::span<const Endpoint> listed,
                         const Fleet& fleet,
                         Duration uptime,
                         TimePoint now) -> RegistryChanges {
  RegistryChanges changes;
  const auto add_unlisted = [&](const HostRecord& record) {
    if (record.role == HostRole::kBalancer && !record.is_shutting_down &&
        !ContainsEndpoint(listed, record.control)) {
      changes.add.push_back(record.control);
    }
  };
  add_unlisted(fleet.self);
  for (const auto& [control, host] : fleet.hosts) {
    if (IsHostLive(host, now)) {
      add_unlisted(host.record);
    }
  }
  if (uptime < kMinUptimeBeforeRemoval) {
    return changes;
  }
  for (const auto it : listed) {
    if (it != fleet.self.control && !fleet.hosts.contains(it)) {
      changes.remove.push_back(it);
    }
  }
  return changes;
}

auto BeginRegistryRepairIfDue(RegistryRepair& repair,
                              const Fleet& fleet,
                              const StorePosition& position,
                              Duration uptime,
                              TimePoint now) -> bool {
  if (uptime < kMinUptimeBeforeRepair ||
      now - repair.compared_at < kMinRegistryRepairInterval) {
    return false;
  }
  const std::uint64_t balancers = ComputeBalancersDigest(fleet);
  const bool has_changed =
      position != repair.position || balancers != repair.balancers;
  const ReaderRank rank = ComputeReaderRank(fleet, now);
  if (!has_changed || rank.in_zone != 0 || rank.zones != 0) {
    return false;
  }
  repair = {.compared_at = now, .position = position, .balancers = balancers};
  return true;
}

}  // namespace hawthornbank
