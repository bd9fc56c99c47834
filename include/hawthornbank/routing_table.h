#ifndef HAWTHORNBANK_ROUTING_TABLE_H_
#define HAWTHORNBANK_ROUTING_TABLE_H_

#include <functional>
#include <vector>

#include "hawthornbank/configuration.h"
#include "hawthornbank/membership.h"
#include "hawthornbank/routing.h"

/// @file
/// Builds the routing table from the configuration and the membership.
///
/// Draining targets stay in the table, as they are homes and owners of flows;
/// their agents refuse new flows. Suspected targets keep their flows but are no
/// homes.
namespace hawthornbank {

/// Converts an incarnation to the start of its process on the monotonic clock
/// of this host.
using IncarnationStartClock = std::function<TimePoint(Incarnation incarnation)>;

/// Time for which departed agents stay in the table, as callers may still send
/// packets of their flows.
inline constexpr Duration kDepartedAgentRetention = std::chrono::minutes{10};

/// Builds a balancer's routing table.
/// @param configuration Configuration in force.
/// @param membership The balancer's view of the targets.
/// @param previous The table that the new one replaces.
/// @param start_time_of Returns the start of a target's agent.
/// @param now Current time.
/// @return The new table.
auto BuildRoutingTable(const Configuration& configuration,
                       const Membership& membership,
                       const RoutingTable& previous,
                       const IncarnationStartClock& start_time_of,
                       TimePoint now) -> RoutingTable;

/// Lists the present targets of a view as candidates for an agent's ranking.
/// @param view The service's targets.
/// @param start_time_of Returns the start of a target's agent.
/// @return The targets that are neither dead nor left.
auto ListPresentCandidates(const ServiceView& view,
                           const IncarnationStartClock& start_time_of)
    -> std::vector<Candidate>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ROUTING_TABLE_H_
