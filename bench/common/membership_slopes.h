#ifndef HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_SLOPES_H_
#define HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_SLOPES_H_

namespace hawthornbank::bench {

/// Measures what a node spends on membership at four sizes, prints it and
/// works out the figures at full size.
/// @param full Whether to run the full size as well; takes minutes.
auto PrintSlopes(bool full) -> void;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_SLOPES_H_
