#ifndef HAWTHORNBANK_COORDINATION_CONFIGURATION_INTERNAL_H_
#define HAWTHORNBANK_COORDINATION_CONFIGURATION_INTERNAL_H_

#include <string>

#include "hawthornbank/configuration_store.h"

/// @file
/// Functions that the source files of the configuration store share.
namespace hawthornbank::detail {

/// If a value's generation is higher than the generation in force, puts the
/// value in force and offers the new generation to peers.
/// @param confirmed Whether the platform has confirmed the value. If so, the
///     time of the confirmation is recorded, even if the generation of the
///     value is already in force.
/// @return Whether the value is well-formed and not older than the value
///     in force.
auto PutConfigurationInForceIfNewer(ConfigurationStore& store,
                                    const std::string& value,
                                    bool confirmed,
                                    TimePoint now,
                                    Random& random,
                                    ConfigurationActions& actions) -> bool;

/// @return Offer of the generation in force at this process.
auto MakeConfigurationOffer(const ConfigurationStore& store, TimePoint now)
    -> ConfigurationOffer;

/// Recomputes from the live balancers whether this process watches the platform
/// and, for an agent, to which balancers the agent may report.
auto RecomputeWatcherRoleAndReportReceivers(ConfigurationStore& store) -> void;

/// Appends a read or a watch of the configuration object if this process has to
/// call the platform now. Delays the call if the token bucket is empty.
auto CallPlatformWhenDue(ConfigurationStore& store,
                         TimePoint now,
                         Random& random,
                         ConfigurationActions& actions) -> void;

/// Sends a report if one is due: an agent to the balancer that counts the agent
/// (to the next balancer after kBalancerTimeout), and a balancer to its
/// parent in the report tree. A balancer also erases expired reports.
auto SendReportWhenDue(ConfigurationStore& store,
                       TimePoint now,
                       Random& random,
                       ConfigurationActions& actions) -> void;

/// @return The balancer that counts this agent; 0 for a balancer, or when no
///     balancer is known to be live.
auto GetCountingBalancer(const ConfigurationStore& store) -> HostId;

/// Sends this agent's report to the balancer that counts the agent.
auto SendReportToCountingBalancer(const ConfigurationStore& store,
                                  ReportKind kind,
                                  TimePoint now,
                                  ConfigurationActions& actions) -> void;

/// Sends this agent's report to the balancer that counts the agent and, as a
/// backup report, to the next balancer in `report_balancers`.
auto SendReportToCountingAndBackupBalancer(const ConfigurationStore& store,
                                           TimePoint now,
                                           ConfigurationActions& actions)
    -> void;

/// Records the report that a child balancer in the report tree has sent.
auto RecordChildBalancerReport(ConfigurationStore& store,
                               HostId from,
                               const ConfigurationStatusReport& status,
                               TimePoint now) -> void;

/// Randomizes an interval so that processes do not act at the same time.
/// @return A random duration from 0.5 to 1.5 times `interval`.
auto AddJitter(Duration interval, Random& random) -> Duration;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_COORDINATION_CONFIGURATION_INTERNAL_H_
