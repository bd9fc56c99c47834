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

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_OPERATOR_EVENTS_H_
