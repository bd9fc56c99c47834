#ifndef HAWTHORNBANK_BENCH_COMMON_SLOT_MODEL_H_
#define HAWTHORNBANK_BENCH_COMMON_SLOT_MODEL_H_

#include <cstdint>

#include "hawthornbank/types.h"

/// @file
/// Waits for a slot: one flow a request, exponential service, the real agents.
namespace hawthornbank::bench {

/// Size and load of a run.
struct SlotModelOptions {
  std::uint32_t targets = 7;
  std::uint32_t slots = 3;
  double load = 0.7;  ///< Share of slot capacity in demand.
  std::uint32_t arrivals = 150'000;
  double crowded_factor = 1;  ///< How much slower the first target serves.
  /// It is slow only for a fifth of this time, as after a cold start; 0:
  /// always.
  Duration cold_period{0};
  double report_error = 0;  ///< Most by which a reported mean is off.
  std::uint64_t seed = 1;
};

/// 99th percentile waits for a slot, in mean service times.
struct SlotModelResult {
  double own_p99 = 0;
  double oracle_p99 = 0;  ///< All-knowing least-loaded dispatcher.
  double hash_p99 = 0;    ///< Plain hash.
};

/// Runs the same arrivals and service times under three policies.
/// @param options Size and load.
/// @return The waits.
auto RunSlotModel(const SlotModelOptions& options) -> SlotModelResult;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_SLOT_MODEL_H_
