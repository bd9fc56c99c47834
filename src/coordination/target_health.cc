#include "hawthornbank/target_health.h"

#include <algorithm>

namespace hawthornbank {
namespace {

// Weight of the newest outcome in the moving average of the failure rate.
constexpr double kFailureWeight = 0.2;
// Average failure rate from which a target gets half of the slots that the slow
// start allows, at least one.
constexpr double kDegradedFailure = 0.45;
// Average failure rate from which a target counts as down: only probes.
constexpr double kDownFailure = 0.6;
// The slow start adds one slot after this number of answers that arrived within
// the stall timeout.
constexpr std::uint32_t kSuccessesPerSlot = 4;
// Maximum number of samples in the average service time.
constexpr std::uint64_t kMaxServiceTimeSamples = 64;
// Weight of the initial service time in the average service time, in samples.
constexpr std::uint64_t kInitialWeightSamples = 2;
// A sample is limited to this multiple of the average service time.
constexpr int kMaxSampleFactor = 4;
// Stall timeout as a multiple of the average service time.
constexpr int kStallFactor = 8;

auto ComputeSlowStartSlots(const TargetHealth& health) -> std::uint32_t {
  return std::min(health.slots,
                  1 + health.slow_start_successes / kSuccessesPerSlot);
}

}  // namespace

auto IsTargetDown(const TargetHealth& health) -> bool {
  return health.failure >= kDownFailure;
}

auto ComputeAllowedSlots(const TargetHealth& health, TimePoint now)
    -> std::uint32_t {
  if (IsTargetDown(health)) {
    return now >= health.next_probe_at ? 1 : 0;
  }
  const auto slow_start_slots = ComputeSlowStartSlots(health);
  if (health.failure >= kDegradedFailure) {
    return std::max(1U, slow_start_slots / 2);
  }
  return slow_start_slots;
}

auto RecordRequestStart(TargetHealth& health, TimePoint now, Random& random)
    -> void {
  const auto jitter = static_cast<Duration::rep>(
      DrawRandomFraction(random) *
      static_cast<double>(health.probe_interval.count()));
  if (IsTargetDown(health)) {
    health.next_probe_at = now + health.probe_interval + Duration{jitter};
  }
}

auto RecordRequestAnswer(TargetHealth& health,
                         Duration service_time,
                         TimePoint now) -> void {
  if (ExceedsStallTimeout(health, service_time)) {
    RecordRequestFailure(health, now);
  } else {
    health.failure *= 1 - kFailureWeight;
    health.slow_start_successes = std::min(health.slow_start_successes + 1,
                                           health.slots * kSuccessesPerSlot);
  }
  const auto sample =
      std::min(service_time, health.service_time * kMaxSampleFactor);
  ++health.service_time_samples;
  // The average is nearly a plain mean at first, so that it adapts quickly to a
  // cold target. The initial service time keeps some weight, so that after one
  // quick answer the next answers don't count as stalls.
  const auto divisor =
      std::min(health.service_time_samples + kInitialWeightSamples,
               kMaxServiceTimeSamples);
  health.service_time +=
      (sample - health.service_time) / static_cast<Duration::rep>(divisor);
}

auto RecordRequestFailure(TargetHealth& health, TimePoint now) -> void {
  const bool was_down = IsTargetDown(health);
  health.failure += kFailureWeight * (1 - health.failure);
  if (!was_down && IsTargetDown(health)) {
    health.next_probe_at = now + health.probe_interval;
  }
}

auto RecordRequestStall(TargetHealth& health, TimePoint when) -> void {
  if (!IsTargetDown(health)) {
    health.failure = kDownFailure;
    health.next_probe_at = when + health.probe_interval;
  }
}

auto ComputeStallTimeout(const TargetHealth& health) -> Duration {
  constexpr std::chrono::milliseconds kMinStallTimeout{100};
  return std::max<Duration>(health.service_time * kStallFactor,
                            kMinStallTimeout);
}

auto ExceedsStallTimeout(const TargetHealth& health, Duration running) -> bool {
  return running > ComputeStallTimeout(health);
}

}  // namespace hawthornbank
