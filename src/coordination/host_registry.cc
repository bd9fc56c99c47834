#include "hawthornbank/host_registry.h"

#include <algorithm>

namespace hawthornbank {
namespace {

auto ContainsEndpoint(std::span<const Endpoint> endpoints, Endpoint endpoint)
    -> bool {
  return std::find(endpoints.begin(), endpoints.end(), endpoint) !=
         endpoints.end();
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

}  // namespace hawthornbank
