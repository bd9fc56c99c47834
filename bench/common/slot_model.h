#ifndef HAWTHORNBANK_BENCH_COMMON_SLOT_MODEL_H_
#define HAWTHORNBANK_BENCH_COMMON_SLOT_MODEL_H_

#include <cstdint>

#include "hawthornbank/types.h"

/// @file
/// Model of the time that requests wait for a slot: one flow per request,
/// exponential service times, production agent code.
namespace hawthornbank::bench {

/// Size and load of a simulation.
struct SlotModelOptions {
  std::uint32_t targets = 7;
  std::uint32_t slots = 3;
  double load = 0.7;  ///< Demand over the capacity of all slots.
  std::uint32_t arrivals = 150'000;
  double crowded_factor = 1;  ///< Factor on service times at the first target.
  /// Period of the slowdown of the first target, which is slow in the first
  /// fifth of each period, as after a cold start. 0 means always slow.
  Duration cold_period{0};
  /// Maximum relative error of the mean number of connections that agents get.
  double report_error = 0;
  std::uint64_t seed = 1;
};

/// 99th percentiles of the wait for a slot, in mean service times.
struct SlotModelResult {
  double own_p99 = 0;
  /// Baseline that knows all queues and chooses the least loaded target.
  double oracle_p99 = 0;
  double hash_p99 = 0;  ///< Baseline that chooses the target by a plain hash.
};

/// Runs the same arrivals and service times under three policies.
/// @param options Size and load of the simulation.
/// @return 99th percentile of the wait under each policy.
auto SimulateSlotWaits(const SlotModelOptions& options) -> SlotModelResult;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_SLOT_MODEL_H_
