#ifndef HAWTHORNBANK_ROUTING_TABLE_H_
#define HAWTHORNBANK_ROUTING_TABLE_H_

#include <functional>
#include <vector>

#include "hawthornbank/configuration.h"
#include "hawthornbank/membership.h"
#include "hawthornbank/routing.h"

/// @file
/// From configuration and membership to the table that packets are routed by.
///
/// Draining targets stay in it, as they are homes and owners of flows; they
/// refuse new ones themselves. Suspects keep their flows and are no homes.
namespace hawthornbank {

/// Places the start of a process on this host's monotonic clock.
using StartClock = std::function<TimePoint(Incarnation incarnation)>;

/// Time for which a flow of a target that is gone may still send packets.
inline constexpr Duration kDepartureMemory = std::chrono::minutes{10};

/// Builds a balancer's table.
/// @param configuration Configuration in force.
/// @param membership What the balancer knows of targets.
/// @param previous The table so far.
/// @param start_of Gives the start of a target's agent.
/// @param now The present instant.
/// @return The table.
auto BuildRoutingTable(const Configuration& configuration,
                       const Membership& membership,
                       const RoutingTable& previous,
                       const StartClock& start_of,
                       TimePoint now) -> RoutingTable;

/// Lists a view's targets as an agent ranks them.
/// @param view The service's targets.
/// @param start_of Gives the start of a target's agent.
/// @return The targets that are present.
auto CandidatesOf(const ServiceView& view, const StartClock& start_of)
    -> std::vector<Candidate>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ROUTING_TABLE_H_
