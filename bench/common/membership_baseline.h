#ifndef HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_BASELINE_H_
#define HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_BASELINE_H_

namespace hawthornbank::bench {

/// Runs the baseline in which every agent sends heartbeats to every balancer
/// and prints its figures: crash detection time, false deaths, and traffic with
/// 3 and with 470 balancers.
auto PrintAllToAllBaseline() -> void;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_BASELINE_H_
