#ifndef HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_SLOPES_H_
#define HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_SLOPES_H_

#include <cstddef>

namespace hawthornbank::bench {

/// Measures the cost of membership per node at four fleet sizes, prints it and
/// extrapolates it to full size.
/// @param full Whether to run the full size as well, which takes minutes.
auto PrintNodeCostSlopes(bool full) -> void;

/// Starts all balancers and agents at the same time and prints the time and
/// traffic until they converge.
/// @param balancers Number of balancers; ten agents run per balancer.
auto PrintFleetStartCosts(std::size_t balancers) -> void;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_SLOPES_H_
