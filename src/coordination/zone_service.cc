#include "hawthornbank/zone_service.h"

#include <algorithm>
#include <utility>

#include "hawthornbank/types.h"

namespace hawthornbank {
namespace {

auto IsEarlier(const StorePosition& a, const StorePosition& b) -> bool {
  return std::pair(a.era, a.revision) < std::pair(b.era, b.revision);
}

}  // namespace

auto MakeZonesOutOfService(StorePosition position,
                           std::vector<std::string> zones,
                           std::span<const std::string> known_zones)
    -> ZonesOutOfService {
  std::erase_if(zones, [](const std::string& it) {
    return it.empty() || it.size() > kMaxZoneNameLength;
  });
  std::sort(zones.begin(), zones.end());
  zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
  if (zones.size() > kMaxZonesOutOfService) {
    std::stable_partition(
        zones.begin(), zones.end(), [&](const std::string& it) {
          return std::find(known_zones.begin(), known_zones.end(), it) !=
                 known_zones.end();
        });
    zones.resize(kMaxZonesOutOfService);
    std::sort(zones.begin(), zones.end());
  }
  return ZonesOutOfService{.position = position, .zones = std::move(zones)};
}

auto IsOutOfService(const ZonesOutOfService& set, std::string_view zone)
    -> bool {
  return std::find(set.zones.begin(), set.zones.end(), zone) != set.zones.end();
}

auto ComputeZonesDigest(const ZonesOutOfService& set) -> std::uint64_t {
  std::string names;
  for (const auto& it : set.zones) {
    names += it;
    names += '\0';
  }
  return names.empty() ? 0 : HashName(names);
}

auto ReplaceZonesByStore(ZonesOutOfService& in_force,
                         ZonesOutOfService read,
                         bool has_lost_changes) -> bool {
  const bool has_era = read.position.era != 0;
  if (!has_era) {
    read.position.era = in_force.position.era;
    if (has_lost_changes && !IsEarlier(in_force.position, read.position)) {
      ++read.position.era;
    }
  }
  if (IsEarlier(read.position, in_force.position)) {
    return false;  // A peer has read the store later.
  }
  const bool has_changed = read.zones != in_force.zones;
  in_force = std::move(read);
  return has_changed;
}

auto ReplaceZonesIfNewer(ZonesOutOfService& in_force,
                         const ZonesOutOfService& reported)
    -> PeerZonesOutcome {
  PeerZonesOutcome outcome{.is_same = AreZonesKnown(reported) &&
                                      reported.zones == in_force.zones};
  if (IsEarlier(in_force.position, reported.position)) {
    outcome = {.has_changed = reported.zones != in_force.zones,
               .is_same = true};
    in_force = reported;
  }
  return outcome;
}

}  // namespace hawthornbank
