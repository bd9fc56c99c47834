#include "hawthornbank/host_registry.h"

#include <algorithm>

namespace hawthornbank {
namespace {

auto Contains(std::span<const Endpoint> endpoints, Endpoint endpoint) -> bool {
  return std::find(endpoints.begin(), endpoints.end(), endpoint) !=
         endpoints.end();
}

}  // namespace

auto PlanRegistry(std::span<const Endpoint> listed,
                  const Fleet& fleet,
                  Duration up,
                  TimePoint now) -> RegistryChange {
  RegistryChange change;
  const auto add = [&](const HostRecord& record) {
    if (record.role == HostRole::kBalancer && !record.leaving &&
        !Contains(listed, record.control)) {
      change.add.push_back(record.control);
    }
  };
  add(fleet.self);
  for (const auto& [control, host] : fleet.hosts) {
    if (IsAnswering(host, now)) {
      add(host.record);
    }
  }
  if (up < kRegistryPatience) {
    return change;
  }
  for (const auto it : listed) {
    if (it != fleet.self.control && !fleet.hosts.contains(it)) {
      change.remove.push_back(it);
    }
  }
  return change;
}

}  // namespace hawthornbank
