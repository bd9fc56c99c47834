#ifndef HAWTHORNBANK_COORDINATION_CONFIGURATION_TRANSFER_H_
#define HAWTHORNBANK_COORDINATION_CONFIGURATION_TRANSFER_H_

#include <optional>
#include <string>

#include "hawthornbank/configuration_store.h"

/// @file
/// Transfers a configuration between peers in parts, as a difference from an
/// earlier generation if that is smaller.
namespace hawthornbank::detail {

/// Starts to fetch a generation from a peer, unless a transfer of that or a
/// later generation is in progress.
auto StartConfigurationTransfer(ConfigurationStore& store,
                                HostId from,
                                Generation generation,
                                TimePoint now,
                                ConfigurationActions& actions) -> void;

/// Requests missing parts again after a timeout, and abandons the transfer
/// after too many retries.
auto RetryStalledTransfer(ConfigurationStore& store,
                          TimePoint now,
                          ConfigurationActions& actions) -> void;

/// Appends messages with the parts that a peer requests.
auto SendRequestedParts(ConfigurationStore& store,
                        HostId from,
                        const ConfigurationFetch& fetch,
                        ConfigurationActions& actions) -> void;

/// Records a received part, and requests further parts once all requested parts
/// have arrived.
/// @return The whole value once all parts have arrived and match the hash.
auto HandleConfigurationChunk(ConfigurationStore& store,
                              HostId from,
                              const ConfigurationChunk& chunk,
                              TimePoint now,
                              ConfigurationActions& actions)
    -> std::optional<std::string>;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_COORDINATION_CONFIGURATION_TRANSFER_H_
