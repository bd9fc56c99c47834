#ifndef HAWTHORNBANK_COORDINATION_CONFIGURATION_TRANSFER_H_
#define HAWTHORNBANK_COORDINATION_CONFIGURATION_TRANSFER_H_

#include <optional>
#include <string>

#include "hawthornbank/configuration_store.h"

/// @file
/// Transfers a configuration between peers in parts. The parts form the whole
/// value or, if smaller, the difference from an earlier generation.
namespace hawthornbank::detail {

/// Starts to fetch a generation from a peer, unless a transfer of that or a
/// later generation is in progress. Replaces a transfer of an older generation.
auto StartConfigurationTransfer(ConfigurationStore& store,
                                HostId from,
                                Generation generation,
                                TimePoint now,
                                ConfigurationActions& actions) -> void;

/// Requests missing parts again if no new part has arrived within a timeout;
/// abandons the transfer after too many retries.
auto RetryOrAbandonStalledTransfer(ConfigurationStore& store,
                                   TimePoint now,
                                   ConfigurationActions& actions) -> void;

/// Sends the parts that a peer requests, up to the maximum number per fetch.
auto SendRequestedParts(ConfigurationStore& store,
                        HostId from,
                        const ConfigurationFetch& fetch,
                        ConfigurationActions& actions) -> void;

/// Records a received part of the transfer in progress, and requests further
/// parts once all requested parts have arrived. The last part ends the
/// transfer.
/// @return The whole value when the last part has arrived and the value matches
///     the hash; otherwise empty.
auto HandleConfigurationPart(ConfigurationStore& store,
                             HostId from,
                             const ConfigurationPart& part,
                             TimePoint now,
                             ConfigurationActions& actions)
    -> std::optional<std::string>;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_COORDINATION_CONFIGURATION_TRANSFER_H_
