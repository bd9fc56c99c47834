#include "hawthornbank/warmup_limit.h"

#include <algorithm>
#include <cmath>

namespace hawthornbank {
namespace {

auto IsRestartSuspected(const WarmupLimit& warmup) -> bool {
  return warmup.restart_suspected_at != TimePoint{} &&
         warmup.heartbeat_at <= warmup.restart_suspected_at;
}

}  // namespace

auto SetWarmupLimit(WarmupLimit& warmup, std::uint16_t requests_per_second)
    -> void {
  warmup.requests_per_second = requests_per_second;
}

auto SetWarmupEnd(WarmupLimit& warmup,
                  std::optional<TimePoint> warm_at,
                  TimePoint heartbeat_at) -> void {
  warmup.warm_at = warm_at;
  warmup.heartbeat_at = heartbeat_at;
}

auto SuspectTargetRestart(WarmupLimit& warmup, TimePoint now) -> void {
  warmup.restart_suspected_at = now;
}

auto CountWarmupRequest(WarmupLimit& warmup, TimePoint now) -> void {
  if (warmup.requests_per_second == 0) {
    return;
  }
  while (!warmup.requests.empty() &&
         now - warmup.requests.front() > kWarmupWindow) {
    warmup.requests.pop_front();
  }
  warmup.requests.push_back(now);
}

auto CountWarmupFlowRequest(WarmupLimit& warmup,
                            std::optional<TimePoint>& opening_counted_at,
                            TimePoint now) -> void {
  if (!opening_counted_at.has_value() ||
      now - *opening_counted_at > kWarmupWindow) {
    CountWarmupRequest(warmup, now);
  }
  opening_counted_at.reset();
}

auto ComputeWarmupLimitInForce(const WarmupLimit& warmup, TimePoint now)
    -> std::optional<double> {
  const double limit = warmup.requests_per_second;
  if (limit == 0) {
    return std::nullopt;
  }
  if (!warmup.warm_at.has_value() || IsRestartSuspected(warmup)) {
    return limit;
  }
  const Duration rising_for = now - (*warmup.warm_at + kWarmupWindow);
  if (rising_for <= Duration::zero()) {
    return limit;
  }
  if (rising_for >= kWarmupRampTime) {
    return std::nullopt;
  }
  return limit * std::exp2(std::chrono::duration<double>(rising_for) /
                           std::chrono::duration<double>(kWarmupDoublingTime));
}

auto CountWarmupRequestsInWindow(const WarmupLimit& warmup, TimePoint now)
    -> std::size_t {
  const auto first = std::lower_bound(
      warmup.requests.begin(), warmup.requests.end(), now - kWarmupWindow);
  return static_cast<std::size_t>(warmup.requests.end() - first);
}

auto CountWarmupOpeningsLeft(const WarmupLimit& warmup,
                             bool knows_all_requests,
                             TimePoint now) -> std::uint8_t {
  const auto limit = ComputeWarmupLimitInForce(warmup, now);
  if (!limit.has_value()) {
    return kUnlimitedOpenings;
  }
  if (!knows_all_requests && now - warmup.counting_since < kWarmupWindow) {
    return 0;  // An earlier process of the agent may have used up the second.
  }
  constexpr double kMost = kMaxReportedOpenings;
  const auto requests =
      static_cast<double>(CountWarmupRequestsInWindow(warmup, now));
  return static_cast<std::uint8_t>(
      std::clamp(std::floor(*limit) - requests, 0.0, kMost));
}

}  // namespace hawthornbank
