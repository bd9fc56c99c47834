#ifndef HAWTHORNBANK_SOAK_OPERATOR_EVENTS_H_
#define HAWTHORNBANK_SOAK_OPERATOR_EVENTS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Series of changes that the operator makes, determined by a seed. Each kind
/// has a random stream of its own, so that the other series of a seed stay the
/// same.
namespace hawthornbank::soak {

/// A zone that is taken out of service and returned.
struct ZoneOrder {
  Duration start_offset{};  ///< Offset from the start of the series.
  Duration duration{};
  std::size_t zone = 0;  ///< Index of the zone.
};

/// A route that leads to the other service from now on.
struct RouteChange {
  Duration start_offset{};  ///< Offset from the start of the series.
  std::size_t route = 0;    ///< Index of the route.
};

/// A target that drains, leaves for some time and comes back.
struct ScaleIn {
  Duration start_offset{};  ///< Offset from the start of the series.
  Duration away{};          ///< Time from the target's end to its next start.
  /// Index of the target, taken modulo the number of targets.
  std::size_t target = 0;
};

/// Time for which a target that is taken away drains.
inline constexpr Duration kScaleInDrain = std::chrono::seconds{4};

/// Draws orders, one at a time. Some end before the bound of EVAC.
/// @param length Length of the series; all orders end before.
/// @param zones Number of zones; with one, the series is empty.
/// @return The orders, ordered by start.
auto GenerateZoneOrders(std::uint64_t seed, Duration length, std::size_t zones)
    -> std::vector<ZoneOrder>;

/// Draws changes, some in quick succession.
/// @param length Length of the series; all changes start before.
/// @param routes Number of routes to draw from.
/// @return The changes, ordered by start.
auto GenerateRouteChanges(std::uint64_t seed,
                          Duration length,
                          std::size_t routes) -> std::vector<RouteChange>;

/// Draws targets that are taken away, of which some are away for longer than
/// the bound of DRAIN.
/// @param length Length of the series; all targets are back before its end.
/// @return The events, ordered by start.
auto GenerateScaleIns(std::uint64_t seed, Duration length)
    -> std::vector<ScaleIn>;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_OPERATOR_EVENTS_H_
