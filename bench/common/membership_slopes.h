#ifndef HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_SLOPES_H_
#define HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_SLOPES_H_

#include <cstddef>

namespace hawthornbank::bench {

/// Measures what a node spends on membership at four sizes, prints it and
/// works out the figures at full size.
/// @param full Whether to run the full size as well; takes minutes.
auto PrintSlopes(bool full) -> void;

/// Measures a start of all balancers and agents at once and prints it.
/// @param balancers Number of balancers; there are ten agents to each.
auto PrintStart(std::size_t balancers) -> void;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_SLOPES_H_
