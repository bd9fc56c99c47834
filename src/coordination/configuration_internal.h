#ifndef HAWTHORNBANK_COORDINATION_CONFIGURATION_INTERNAL_H_
#define HAWTHORNBANK_COORDINATION_CONFIGURATION_INTERNAL_H_

#include <string>

#include "hawthornbank/configuration_store.h"

/// @file
/// Parts of the configuration store that its source files share.
namespace hawthornbank::detail {

/// Puts a value in force if it is newer, and tells peers.
/// @param confirmed Whether it comes from the platform.
/// @return Whether the value is well-formed and not older.
auto Adopt(ConfigurationStore& store,
           const std::string& value,
           bool confirmed,
           TimePoint now,
           Random& random,
           ConfigurationActions& actions) -> bool;

/// @return What this process says of itself.
auto MakeOffer(const ConfigurationStore& store, TimePoint now)
    -> ConfigurationOffer;

/// Works out from the live balancers whether this process watches the
/// platform, and to whom it reports.
auto ChooseDuties(ConfigurationStore& store) -> void;

/// Calls the platform if this process should and may.
auto TickPlatform(ConfigurationStore& store,
                  TimePoint now,
                  Random& random,
                  ConfigurationActions& actions) -> void;

/// Reports to the balancer or parent that counts this process.
auto TickReport(ConfigurationStore& store,
                TimePoint now,
                Random& random,
                ConfigurationActions& actions) -> void;

/// @return The balancer that counts this agent, or 0.
auto CountingBalancer(const ConfigurationStore& store) -> HostId;

/// Sends an agent's report to the balancer that counts it.
auto ReportToBalancer(const ConfigurationStore& store,
                      ReportKind kind,
                      TimePoint now,
                      ConfigurationActions& actions) -> void;

/// Sends an agent's reports to the balancer that counts it and to the one
/// that stands by.
auto ReportToBoth(const ConfigurationStore& store,
                  TimePoint now,
                  ConfigurationActions& actions) -> void;

/// Records an agent's report.
auto TakeReport(ConfigurationStore& store,
                HostId from,
                const ConfigurationAck& ack,
                TimePoint now) -> void;

/// Chance added to an interval so that processes do not act together.
auto WithJitter(Duration interval, Random& random) -> Duration;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_COORDINATION_CONFIGURATION_INTERNAL_H_
