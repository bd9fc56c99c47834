#ifndef HAWTHORNBANK_HOST_REGISTRY_H_
#define HAWTHORNBANK_HOST_REGISTRY_H_

#include <span>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/types.h"

/// @file
/// Which balancers are listed in the platform's store, for processes that
/// start while no seed answers.
///
/// Load pattern: many processes that lose power at once and come back in any
/// order, entries that the store lost, entries of hosts that are gone for good
/// and of writers that aren't balancers.
namespace hawthornbank {

/// Time that a reader must have been up before it removes entries. A host that
/// it hasn't heard in that time is silent for all.
inline constexpr Duration kRegistryPatience = std::chrono::seconds{90};

/// What to change in the store.
struct RegistryChange {
  std::vector<Endpoint> add;
  std::vector<Endpoint> remove;
};

/// Compares the registry with the balancers that are heard.
/// @param listed Entries of the registry.
/// @param fleet What this process knows; its own record counts.
/// @param up Time since this process started.
/// @param now The present instant.
/// @return Entries to add and to remove.
auto PlanRegistry(std::span<const Endpoint> listed,
                  const Fleet& fleet,
                  Duration up,
                  TimePoint now) -> RegistryChange;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_HOST_REGISTRY_H_
