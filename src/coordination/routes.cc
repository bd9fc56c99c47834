#include "hawthornbank/routes.h"

#include <utility>

namespace hawthornbank {

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

auto ReplaceRoutesIfNewer(RouteSet& in_force, RouteSet offered) -> bool {
  if (offered.version <= in_force.version) {
    return false;
  }
  in_force = std::move(offered);
  return true;
}

}  // namespace hawthornbank
