#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_REFUSALS_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_REFUSALS_H_

#include <cstdint>
#include <map>
#include <string>

#include "in_force.h"

/// @file
/// Counters of packets, flows and requests that were refused, dropped, ended or
/// retried; one counter for each reason.
namespace hawthornbank::hawthornctl {

/// Counts of refusals and retries, by counter name.
using RefusalCounts = std::map<std::string, std::uint64_t>;

/// @param counter Name of a counter.
/// @return Whether the counter counts refusals or retries by reason, judged by
///     the prefix of its name.
auto IsRefusalCounter(const std::string& counter) -> bool;

/// Sums each refusal counter over all processes that answered.
/// @param pages Status pages of the processes.
/// @return The sums; counters at 0 are left out.
auto SumRefusalsByReason(const StatusPages& pages) -> RefusalCounts;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_REFUSALS_H_
