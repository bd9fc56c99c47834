#ifndef HAWTHORNBANK_COORDINATION_CONFIGURATION_INTERNAL_H_
#define HAWTHORNBANK_COORDINATION_CONFIGURATION_INTERNAL_H_

#include <string>

#include "hawthornbank/configuration_store.h"

/// @file
/// Functions that the source files of the configuration store share.
namespace hawthornbank::detail {

/// Puts a value in force and offers it to peers if its generation is higher
/// than the generation in force.
/// @param confirmed Whether the value comes from the platform.
/// @return Whether the value is well-formed and not older than the value
///     in force.
auto PutConfigurationInForce(ConfigurationStore& store,
                             const std::string& value,
                             bool confirmed,
                             TimePoint now,
                             Random& random,
                             ConfigurationActions& actions) -> bool;

/// @return Offer of the generation in force at this process.
auto MakeConfigurationOffer(const ConfigurationStore& store, TimePoint now)
    -> ConfigurationOffer;

/// Determines from the live balancers whether this process watches the
/// platform and to which balancers it reports.
auto UpdateWatcherAndReportBalancers(ConfigurationStore& store) -> void;

/// Calls the platform if a call is due and the token bucket permits it.
auto CallPlatformWhenDue(ConfigurationStore& store,
                         TimePoint now,
                         Random& random,
                         ConfigurationActions& actions) -> void;

/// Sends a report, if one is due, to the balancer that counts this agent or
/// to the parent of this balancer in the report tree.
auto SendReportWhenDue(ConfigurationStore& store,
                       TimePoint now,
                       Random& random,
                       ConfigurationActions& actions) -> void;

/// @return The balancer that counts this agent, or 0 when none is live.
auto GetCountingBalancer(const ConfigurationStore& store) -> HostId;

/// Sends an agent's report to the balancer that counts it.
auto SendReportToCountingBalancer(const ConfigurationStore& store,
                                  ReportKind kind,
                                  TimePoint now,
                                  ConfigurationActions& actions) -> void;

/// Sends an agent's reports to the balancer that counts it and to the backup
/// balancer, the next one in the agent's list.
auto SendReportToCountingAndBackup(const ConfigurationStore& store,
                                   TimePoint now,
                                   ConfigurationActions& actions) -> void;

/// Records the report of a child balancer in the report tree.
auto RecordChildReport(ConfigurationStore& store,
                       HostId from,
                       const ConfigurationStatusReport& status,
                       TimePoint now) -> void;

/// Randomizes an interval so that processes do not act at the same time.
/// @return A random duration from 0.5 to 1.5 times `interval`.
auto AddJitter(Duration interval, Random& random) -> Duration;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_COORDINATION_CONFIGURATION_INTERNAL_H_
