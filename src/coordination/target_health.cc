#include "hawthornbank/target_health.h"

#include <algorithm>

namespace hawthornbank {
namespace {

constexpr double kFailureGain = 0.2;   // Weight of the newest answer.
constexpr double kWeakFailure = 0.45;  // Half of the slots from here on.
constexpr double kDownFailure = 0.6;   // Probes only from here on.
constexpr std::uint32_t kSuccessesPerSlot = 4;  // Ramp-up of a cold target.
constexpr std::uint64_t kServiceGainDivisor = 64;
constexpr std::uint64_t kInitialWeight = 2;  // Of the first guess, in samples.
constexpr int kClipFactor = 4;   // Most that one sample moves the average.
constexpr int kStallFactor = 8;  // Times the average service time.

auto RampedSlots(const TargetHealth& health) -> std::uint32_t {
  return std::min(health.slots, 1 + health.successes / kSuccessesPerSlot);
}

}  // namespace

auto IsDown(const TargetHealth& health) -> bool {
  return health.failure >= kDownFailure;
}

auto AllowedSlots(const TargetHealth& health, TimePoint now) -> std::uint32_t {
  if (IsDown(health)) {
    return now >= health.next_probe ? 1 : 0;
  }
  const auto ramped = RampedSlots(health);
  if (health.failure >= kWeakFailure) {
    return std::max(1U, ramped / 2);
  }
  return ramped;
}

auto RecordStart(TargetHealth& health, TimePoint now, Random& random) -> void {
  const auto jitter = static_cast<Duration::rep>(
      NextFraction(random) *
      static_cast<double>(health.probe_interval.count()));
  if (IsDown(health)) {
    health.next_probe = now + health.probe_interval + Duration{jitter};
  }
}

auto RecordSuccess(TargetHealth& health, Duration service_time, TimePoint now)
    -> void {
  if (IsStall(health, service_time)) {
    RecordFailure(health, now);
  } else {
    health.failure *= 1 - kFailureGain;
    health.successes =
        std::min(health.successes + 1, health.slots * kSuccessesPerSlot);
  }
  const auto sample = std::min(service_time, health.service_time * kClipFactor);
  ++health.samples;
  // Nearly a plain mean at first, so that a cold target is soon known; one
  // quick answer alone must not make the next ones look like stalls.
  const auto divisor =
      std::min(health.samples + kInitialWeight, kServiceGainDivisor);
  health.service_time +=
      (sample - health.service_time) / static_cast<Duration::rep>(divisor);
}

auto RecordFailure(TargetHealth& health, TimePoint now) -> void {
  const bool was_down = IsDown(health);
  health.failure += kFailureGain * (1 - health.failure);
  if (!was_down && IsDown(health)) {
    health.next_probe = now + health.probe_interval;
  }
}

auto RecordStall(TargetHealth& health, TimePoint when) -> void {
  if (!IsDown(health)) {
    health.failure = kDownFailure;
    health.next_probe = when + health.probe_interval;
  }
}

auto StallTime(const TargetHealth& health) -> Duration {
  constexpr std::chrono::milliseconds kShortestStall{100};
  return std::max<Duration>(health.service_time * kStallFactor, kShortestStall);
}

auto IsStall(const TargetHealth& health, Duration running) -> bool {
  return running > StallTime(health);
}

}  // namespace hawthornbank
