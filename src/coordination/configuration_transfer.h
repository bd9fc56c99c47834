#ifndef HAWTHORNBANK_COORDINATION_CONFIGURATION_TRANSFER_H_
#define HAWTHORNBANK_COORDINATION_CONFIGURATION_TRANSFER_H_

#include <optional>
#include <string>

#include "hawthornbank/configuration_store.h"

/// @file
/// Moves a configuration between peers in parts, as a difference if possible.
namespace hawthornbank::detail {

/// Starts to fetch a generation from a peer, unless a fetch of it runs.
auto StartTransfer(ConfigurationStore& store,
                   HostId from,
                   Generation generation,
                   TimePoint now,
                   ConfigurationActions& actions) -> void;

/// Asks again for parts that did not come, and gives up on a silent peer.
auto RepeatTransfer(ConfigurationStore& store,
                    TimePoint now,
                    ConfigurationActions& actions) -> void;

/// Sends the parts that a peer asks for.
auto ServeFetch(const ConfigurationStore& store,
                HostId from,
                const ConfigurationFetch& fetch,
                ConfigurationActions& actions) -> void;

/// Takes a part.
/// @return The whole value once all parts are there and fit the hash.
auto TakeChunk(ConfigurationStore& store,
               HostId from,
               const ConfigurationChunk& chunk,
               TimePoint now,
               ConfigurationActions& actions) -> std::optional<std::string>;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_COORDINATION_CONFIGURATION_TRANSFER_H_
