#ifndef HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_SLOPES_H_
#define HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_SLOPES_H_

#include <cstddef>

namespace hawthornbank::bench {

/// Measures the cost of membership per node at four fleet sizes, prints it and
/// extrapolates it to full size.
/// @param full Whether to run the full size as well, which takes minutes.
auto PrintSlopes(bool full) -> void;

/// Measures a simultaneous start of all balancers and agents and prints its
/// cost.
/// @param balancers Number of balancers; ten agents run for each.
auto PrintStart(std::size_t balancers) -> void;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_SLOPES_H_
