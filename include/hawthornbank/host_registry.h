#ifndef HAWTHORNBANK_HOST_REGISTRY_H_
#define HAWTHORNBANK_HOST_REGISTRY_H_

#include <span>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/gossip_plan.h"
#include "hawthornbank/store_position.h"
#include "hawthornbank/types.h"

/// @file
/// Registry of balancers in the platform's store, for processes that start
/// while no seed replies.
///
/// Load pattern: a power failure of many processes that restart in any order,
/// entries that the store lost, entries of hosts that don't return and entries
/// of processes that aren't balancers. The balancer that reads the store for
/// the fleet compares the registry with the balancers that it knows, so that
/// each entry is written once.
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

/// Uptime of a process from which it knows most balancers of its fleet.
inline constexpr Duration kMinUptimeBeforeRepair = std::chrono::seconds{1};

/// Minimum time between two comparisons of the registry.
inline constexpr Duration kMinRegistryRepairInterval = std::chrono::seconds{1};

/// What a process compared the registry with.
struct RegistryRepair {
  TimePoint compared_at{};
  StorePosition position;       ///< Position of the store.
  std::uint64_t balancers = 0;  ///< Digest of the known balancers' addresses.
};

/// Tells whether this process compares the registry now, and records that it
/// does: the store's position or the known balancers have changed since the
/// last comparison, and no other live balancer precedes this one.
/// @param repair State of the comparisons.
/// @param fleet Known hosts and this process's record.
/// @param position Position of the store.
/// @param uptime Time since this process started.
/// @param now Current time.
/// @return Whether to compare the registry now.
auto BeginRegistryRepairIfDue(RegistryRepair& repair,
                              const Fleet& fleet,
                              const StorePosition& position,
                              Duration uptime,
                              TimePoint now) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_HOST_REGISTRY_H_
