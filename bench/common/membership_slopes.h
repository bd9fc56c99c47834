#ifndef HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_SLOPES_H_
#define HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_SLOPES_H_

#include <cstddef>

namespace hawthornbank::bench {

/// Measures and prints the membership cost per process at four fleet sizes, and
/// extrapolates the cost to 470 balancers and 4,700 agents.
/// @param full Whether to simulate the full size as well, which takes minutes.
auto PrintProcessCostSlopes(bool full) -> void;

/// Starts all balancers and agents at the same time. Prints the time and
/// traffic until every balancer routes to all live agents.
/// @param balancers Number of balancers; ten agents run per balancer.
auto PrintFleetStartCosts(std::size_t balancers) -> void;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_SLOPES_H_
