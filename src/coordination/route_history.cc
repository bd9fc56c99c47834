#include "hawthornbank/route_history.h"

#include <algorithm>

namespace hawthornbank {

auto RecordFormerService(RouteHistory& history,
                         Endpoint address,
                         std::uint32_t service,
                         TimePoint last_routed_at) -> void {
  auto& services = history.former[address];
  const auto known = std::find_if(
      services.begin(), services.end(),
      [service](const FormerService& it) { return it.service == service; });
  if (known == services.end()) {
    services.push_back(
        FormerService{.service = service, .last_routed_at = last_routed_at});
  } else {
    known->last_routed_at = std::max(known->last_routed_at, last_routed_at);
  }
}

auto MergeFormerServices(RouteHistory& history, const RouteHistory& other)
    -> void {
  for (const auto& [address, services] : other.former) {
    for (const auto& it : services) {
      RecordFormerService(history, address, it.service, it.last_routed_at);
    }
  }
}

auto EraseExpiredServices(RouteHistory& history,
                          Duration flow_lifetime,
                          TimePoint now) -> void {
  for (auto& [address, services] : history.former) {
    std::erase_if(services, [&](const FormerService& it) {
      return !MayHaveOpenFlows(it, flow_lifetime, now);
    });
  }
  std::erase_if(history.former,
                [](const auto& it) { return it.second.empty(); });
}

auto FindFormerServices(const RouteHistory& history, Endpoint address)
    -> std::span<const FormerService> {
  const auto it = history.former.find(address);
  return it == history.former.end() ? std::span<const FormerService>{}
                                    : std::span(it->second);
}

auto MayHaveOpenFlows(const FormerService& former,
                      Duration flow_lifetime,
                      TimePoint now) -> bool {
  return now - former.last_routed_at < flow_lifetime + kRoutesPropagationTime;
}

auto CoversFlowLifetime(const RouteHistory& history,
                        TimePoint confirmed_at,
                        Duration max_routes_age,
                        Duration flow_lifetime,
                        TimePoint now) -> bool {
  // Compared this way round because complete_since may be TimePoint::max().
  return history.complete_since <=
             now - flow_lifetime - kRoutesPropagationTime &&
         confirmed_at >= now - max_routes_age;
}

}  // namespace hawthornbank
