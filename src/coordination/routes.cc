#include "hawthornbank/routes.h"

#include <algorithm>
#include <utility>

namespace hawthornbank {
namespace {

// Records the services that routes of the version in force lead to and those of
// the next version don't.
auto RecordReplacedServices(const RouteSet& in_force,
                            const RouteSet& next,
                            RouteHistory& history,
                            TimePoint now) -> void {
  for (const auto& [address, route] : in_force.routes) {
    const Route* const next_route = FindRoute(next, address);
    for (const auto& it : route.shares) {
      if (it.weight > 0 &&
          (next_route == nullptr || !LeadsToService(*next_route, it.service))) {
        RecordFormerService(history, address, it.service, now);
      }
    }
  }
}

// Whether the store changed nothing between its answer that confirmed the
// routes in force and its change to the next version.
auto IsNextVersionOfStore(const RouteSet& in_force, const RouteSet& next)
    -> bool {
  return next.changed_at != StorePosition{} &&
         in_force.read_at != StorePosition{} &&
         next.changed_at.era == in_force.read_at.era &&
         next.changed_at.revision == in_force.read_at.revision + 1;
}

}  // namespace

auto FindRoute(const RouteSet& routes, Endpoint address) -> const Route* {
  const auto it = routes.routes.find(address);
  return it == routes.routes.end() ? nullptr : &it->second;
}

auto ChooseService(const Route& route, std::uint64_t flow_hash)
    -> std::uint32_t {
  std::uint64_t total = 0;
  for (const auto& it : route.shares) {
    total += it.weight;
  }
  if (total == 0) {
    return 0;
  }
  std::uint64_t point = (flow_hash >> 16U) % total;
  for (const auto& it : route.shares) {
    if (point < it.weight) {
      return it.service;
    }
    point -= it.weight;
  }
  return 0;
}

auto LeadsToService(const Route& route, std::uint32_t service) -> bool {
  return std::any_of(route.shares.begin(), route.shares.end(),
                     [service](const ServiceShare& it) {
                       return it.service == service && it.weight > 0;
                     });
}

auto ReplaceRoutesIfNewer(RouteSet& in_force,
                          RouteSet offered,
                          Duration flow_lifetime,
                          TimePoint now) -> bool {
  if (offered.version <= in_force.version) {
    if (offered.version == in_force.version &&
        offered.read_at != StorePosition{}) {
      in_force.read_at = offered.read_at;
    }
    return false;
  }
  RouteHistory history = std::move(in_force.history);
  if (!IsNextVersionOfStore(in_force, offered)) {
    history.complete_since = std::min(offered.history.complete_since, now);
  }
  RecordReplacedServices(in_force, offered, history, now);
  MergeFormerServices(history, offered.history);
  EraseExpiredServices(history, flow_lifetime, now);
  in_force = std::move(offered);
  in_force.history = std::move(history);
  return true;
}

}  // namespace hawthornbank
