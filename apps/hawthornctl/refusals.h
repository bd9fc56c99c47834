#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_REFUSALS_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_REFUSALS_H_

#include <cstdint>
#include <map>
#include <string>

#include "in_force.h"

/// @file
/// Counters that say why something was refused, dropped, ended or retried.
namespace hawthornbank::hawthornctl {

/// Counts by reason.
using Refusals = std::map<std::string, std::uint64_t>;

/// @param counter Name of a counter.
/// @return Whether it counts refusals or retries for one reason.
auto IsRefusal(const std::string& counter) -> bool;

/// Sums up over the processes that answered.
/// @param pages Their status pages.
/// @return The reasons that were counted at all.
auto SumRefusals(const StatusPages& pages) -> Refusals;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_REFUSALS_H_
