#ifndef HAWTHORNBANK_HOST_REGISTRY_H_
#define HAWTHORNBANK_HOST_REGISTRY_H_

#include <span>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/types.h"

/// @file
/// Registry of balancers in the platform's store, for processes that start
/// while no seed replies.
///
/// Load pattern: a power failure of many processes that restart in any order,
/// entries that the store lost, entries of hosts that don't return and entries
/// of processes that aren't balancers.
namespace hawthornbank {

/// Minimum uptime of a process before the process removes registry entries. A
/// host of which this process has received no record in this time is in contact
/// with no process.
inline constexpr Duration kMinUptimeBeforeRemoval = std::chrono::seconds{90};

/// Changes to make to the registry.
struct RegistryChanges {
  std::vector<Endpoint> add;
  std::vector<Endpoint> remove;
};

/// Compares the registry with the hosts known to this process.
/// @param listed Entries of the registry.
/// @param fleet Known hosts and this process's record, which is compared too.
/// @param uptime Time since this process started.
/// @param now Current time.
/// @return Live balancers to add, and entries of unknown hosts to remove; none
///   are removed before kMinUptimeBeforeRemoval.
auto PlanRegistryChanges(std::span<const Endpoint> listed,
                         const Fleet& fleet,
                         Duration uptime,
                         TimePoint now) -> RegistryChanges;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_HOST_REGISTRY_H_
