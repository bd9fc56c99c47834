#include <algorithm>

#include "coordination/steering_internal.h"

namespace hawthornbank {
namespace detail {

auto EraseAgentsOutOfService(const Steering& steering,
                             const PendingOpening& opening,
                             std::vector<RankedAgent>& ranked) -> bool {
  if (steering.zones.zones.empty() && opening.excluded_zones.empty()) {
    return false;
  }
  bool has_excluded_target = false;
  std::erase_if(ranked, [&](const RankedAgent& it) {
    const std::string& zone = it.host->record.zone;
    const bool is_excluded =
        IsOutOfService(steering.zones, zone) ||
        std::find(opening.excluded_zones.begin(), opening.excluded_zones.end(),
                  zone) != opening.excluded_zones.end();
    has_excluded_target =
        has_excluded_target || (is_excluded && AcceptsNewFlows(*it.host));
    return is_excluded;
  });
  return has_excluded_target;
}

auto ChooseRefusalReason(const PendingOpening& opening,
                         bool has_excluded_target) -> SteeringReason {
  const auto& returned_by = opening.header.returned_by;
  const bool only_zones_refused =
      returned_by.size() == opening.excluded_zones.size();
  if (only_zones_refused &&
      (has_excluded_target || !opening.excluded_zones.empty())) {
    return SteeringReason::kZonesOut;
  }
  return returned_by.empty() ? SteeringReason::kNoTarget
                             : SteeringReason::kAllTargetsRefused;
}

}  // namespace detail

auto MustWaitForZones(const Steering& steering, TimePoint now) -> bool {
  return steering.expects_zones && !AreZonesKnown(steering.zones) &&
         now - steering.started < steering.options.learning_time;
}

}  // namespace hawthornbank
