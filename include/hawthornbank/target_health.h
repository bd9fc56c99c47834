#ifndef HAWTHORNBANK_TARGET_HEALTH_H_
#define HAWTHORNBANK_TARGET_HEALTH_H_

#include <chrono>
#include <cstdint>

#include "hawthornbank/random.h"
#include "hawthornbank/types.h"

/// @file
/// How much work a target gets, judged by its answers alone.
namespace hawthornbank {

/// Ramp-up, failures and speed of one target.
struct TargetHealth {
  std::uint32_t slots = 3;
  Duration service_time{std::chrono::milliseconds{50}};  ///< Moving average.
  Duration probe_interval{std::chrono::seconds{1}};
  std::uint64_t samples = 0;    ///< Answers in `service_time`.
  std::uint32_t successes = 0;  ///< Since the start, up to full ramp-up.
  double failure = 0;           ///< Moving average of failures, 0 to 1.
  TimePoint next_probe{};       ///< When a target that is down gets one try.
};

/// @param health The target's health.
/// @return Whether the target gets no work but probes.
auto IsDown(const TargetHealth& health) -> bool;

/// @param health The target's health.
/// @param now The present instant.
/// @return How many requests it may run at once now.
auto AllowedSlots(const TargetHealth& health, TimePoint now) -> std::uint32_t;

/// Accounts for a start; a target that is down gets its next probe later.
/// @param health The target's health.
/// @param now The present instant.
/// @param random Jitter of probes.
auto RecordStart(TargetHealth& health, TimePoint now, Random& random) -> void;

/// Accounts for an answer in time.
/// @param health The target's health.
/// @param service_time From start to answer.
/// @param now The present instant.
auto RecordSuccess(TargetHealth& health, Duration service_time, TimePoint now)
    -> void;

/// Accounts for a failure, a refusal by the target or a stall.
/// @param health The target's health.
/// @param now The present instant.
auto RecordFailure(TargetHealth& health, TimePoint now) -> void;

/// Accounts for work that never ended: the target gets nothing but probes.
/// @param health The target's health.
/// @param when When it became certain.
auto RecordStall(TargetHealth& health, TimePoint when) -> void;

/// @param health The target's health.
/// @return How long a request may run before the target counts as stalled.
auto StallTime(const TargetHealth& health) -> Duration;

/// @param health The target's health.
/// @param running How long a request has been running.
/// @return Whether it has taken so long that the target counts as stalled.
auto IsStall(const TargetHealth& health, Duration running) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_TARGET_HEALTH_H_
