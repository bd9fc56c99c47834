#ifndef HAWTHORNBANK_TARGET_HEALTH_H_
#define HAWTHORNBANK_TARGET_HEALTH_H_

#include <chrono>
#include <cstdint>

#include "hawthornbank/random.h"
#include "hawthornbank/types.h"

/// @file
/// Health of a target, computed only from the outcomes of the target's
/// requests. The health limits how many requests the target runs at once.
namespace hawthornbank {

/// Slow start, failure rate and service time of one target.
struct TargetHealth {
  std::uint32_t slots = 3;  ///< Maximum requests at once after the slow start.
  Duration service_time{std::chrono::milliseconds{50}};  ///< Moving average.
  Duration probe_interval{std::chrono::seconds{1}};
  /// Number of answers recorded in `service_time`.
  std::uint64_t service_time_samples = 0;
  /// Number of answers within the stall timeout since the target's start,
  /// counted until the slow start ends.
  std::uint32_t slow_start_successes = 0;
  double failure = 0;         ///< Moving average of the failure rate, 0 to 1.
  TimePoint next_probe_at{};  ///< Next probe of a target that is down.
};

/// @param health The target's health.
/// @return Whether the target gets only probes, single requests at intervals.
auto IsTargetDown(const TargetHealth& health) -> bool;

/// @param health The target's health.
/// @param now Current time.
/// @return Number of requests that the target may run at once.
auto ComputeAllowedSlots(const TargetHealth& health, TimePoint now)
    -> std::uint32_t;

/// Records that a request starts. When the target is down, the request is a
/// probe, and the next probe is due one to two probe intervals later.
/// @param health The target's health.
/// @param now Current time.
/// @param random Random number generator for the jitter of probes.
auto RecordRequestStart(TargetHealth& health, TimePoint now, Random& random)
    -> void;

/// Records an answered request. An answer that took longer than the stall
/// timeout counts as a failure.
/// @param health The target's health.
/// @param service_time Time from the request's start to its answer.
/// @param now Current time.
auto RecordRequestAnswer(TargetHealth& health,
                         Duration service_time,
                         TimePoint now) -> void;

/// Records one failure: a request that failed, was refused by the target, was
/// lost or given up, or was answered only after the stall timeout.
/// @param health The target's health.
/// @param now Current time.
auto RecordRequestFailure(TargetHealth& health, TimePoint now) -> void;

/// Records a request that is still unanswered after the stall timeout. The
/// target counts as down at once and gets only probes.
/// @param health The target's health.
/// @param when Time from which the request counts as stalled.
auto RecordRequestStall(TargetHealth& health, TimePoint when) -> void;

/// @param health The target's health.
/// @return Time that a request may run before the target counts as stalled.
auto ComputeStallTimeout(const TargetHealth& health) -> Duration;

/// @param health The target's health.
/// @param running Time that a request has been running.
/// @return Whether `running` is longer than the stall timeout.
auto ExceedsStallTimeout(const TargetHealth& health, Duration running) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_TARGET_HEALTH_H_
