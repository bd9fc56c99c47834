#ifndef HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_BASELINE_H_
#define HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_BASELINE_H_

namespace hawthornbank::bench {

/// Runs the baseline in which every agent sends a heartbeat to every balancer
/// and prints its rows: traffic today and at full size, detection, errors.
auto PrintAllToAll() -> void;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_BASELINE_H_
