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
/// Draining targets stay in the table, because they are homes and owners of
/// flows; their agents refuse new flows. Suspected targets keep their flows,
/// but rank last as homes.
namespace hawthornbank {

/// Converts a process's incarnation to the start time of the process on this
/// host's monotonic clock.
using IncarnationStartClock = std::function<TimePoint(Incarnation incarnation)>;

/// Time for which departed agents stay in the table, because callers may still
/// send packets of the agents' flows.
inline constexpr Duration kDepartedAgentRetention = std::chrono::minutes{10};

/// Builds a balancer's routing table.
/// @param configuration Configuration in force.
/// @param membership The balancer's view of the targets.
/// @param previous The table that the new one replaces.
/// @param start_time_of Returns the start time of a target's agent.
/// @param now Current time.
/// @return The new table.
auto BuildRoutingTable(const Configuration& configuration,
                       const Membership& membership,
                       const RoutingTable& previous,
                       const IncarnationStartClock& start_time_of,
                       TimePoint now) -> RoutingTable;

/// Lists the present targets of a view as candidates for an agent's ranking.
/// @param view The service's targets.
/// @param start_time_of Returns the start time of a target's agent.
/// @return The targets that are neither dead nor have left the service.
auto ListPresentCandidates(const ServiceView& view,
                           const IncarnationStartClock& start_time_of)
    -> std::vector<Candidate>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ROUTING_TABLE_H_
