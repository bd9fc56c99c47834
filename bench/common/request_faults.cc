#include "common/request_faults.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>

namespace hawthornbank::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kGoodputFloor = 0.95;
constexpr std::size_t kSickTargets = 2;
constexpr seconds kSickFrom{8};
constexpr seconds kSickUntil{16};
constexpr seconds kNoticeTime{2};  // Until a sick target gets only probes.
constexpr seconds kZoneLost{10};
constexpr std::size_t kZoneTargets = 3;
constexpr seconds kDetection{2};  // Until callers go elsewhere.

auto CountStarts(const RequestResult& result,
                 bool sick,
                 seconds from,
                 seconds until) -> double {
  const auto count = std::count_if(
      result.runs.begin(), result.runs.end(), [&](const Run& run) {
        return (run.target <= kSickTargets) == sick &&
               run.when >= TimePoint{from} && run.when < TimePoint{until};
      });
  return static_cast<double>(count);
}

// Starts at a sick target over those at a well one.
auto ShareOfSick(const RequestResult& result, seconds from, seconds until)
    -> double {
  constexpr double kWellPerSick = 2.5;
  const auto well = CountStarts(result, false, from, until);
  return well == 0
             ? 0
             : CountStarts(result, true, from, until) * kWellPerSick / well;
}

}  // namespace

auto PlanRestarts(VirtualNetwork& net, Targets& targets) -> void {
  const auto restart = [&net, &targets](std::size_t n, seconds at,
                                        seconds down) {
    auto& target = *targets[n];
    net.At(TimePoint{at}, [&net, &target] { net.Kill(target.host); });
    net.At(TimePoint{at + down}, [&net, &target] {
      net.Revive(target.host);
      StartTarget(target, net);
    });
  };
  for (std::size_t n = 0; n < targets.size(); ++n) {
    restart(n, seconds{6 + static_cast<int>(n)}, seconds{1});
  }
  for (std::size_t n = 0; n < 3; ++n) {
    restart(n, seconds{16}, seconds{4});
  }
}

auto PlanPauses(VirtualNetwork& net, Targets& targets) -> void {
  for (std::size_t n = 0; n < 3; ++n) {
    auto& target = *targets[n];
    const seconds at{8 + 5 * static_cast<int>(n)};
    net.At(TimePoint{at}, [&net, &target] { net.Freeze(target.host); });
    net.At(TimePoint{at + seconds{3}},
           [&net, &target] { net.Thaw(target.host); });
  }
}

auto PlanSickness(VirtualNetwork& net, Targets& targets) -> void {
  const auto set = [&net, &targets](std::size_t n, seconds at, Sickness kind) {
    auto* target = targets[n].get();
    net.At(TimePoint{at}, [target, kind] { target->sickness = kind; });
  };
  set(0, kSickFrom, Sickness::kFails);
  set(1, kSickFrom, Sickness::kStalls);
  set(0, kSickUntil, Sickness::kNone);
  set(1, kSickUntil, Sickness::kNone);
}

auto PlanZoneLoss(VirtualNetwork& net, Targets& targets) -> void {
  for (std::size_t n = 0; n < kZoneTargets; ++n) {
    auto* target = targets[n].get();
    net.At(TimePoint{kZoneLost}, [&net, target] { net.Kill(target->host); });
    net.At(TimePoint{kZoneLost + kDetection},
           [target] { target->routed = false; });
  }
}

auto PlanBalancerCrashes(VirtualNetwork& net, Targets& /*targets*/) -> void {
  net.SetLinkRule([&net](std::uint64_t, std::uint64_t) {
    constexpr seconds kFirst{7};
    constexpr seconds kLast{22};
    constexpr int kEvery = 3;
    constexpr double kShareOfOne = 0.5;
    const auto second =
        std::chrono::floor<seconds>(net.now().time_since_epoch());
    const bool crashed = second >= kFirst && second <= kLast &&
                         (second - kFirst).count() % kEvery == 0;
    return Link{.delay = milliseconds{3},
                .jitter = milliseconds{1},
                .loss = crashed ? kShareOfOne : 0};
  });
}

auto TimeToGoodput(const RequestResult& result) -> double {
  constexpr std::size_t kLost = 16;
  for (auto n = kLost + 1; n < result.served_by_second.size(); ++n) {
    const bool lasting = std::all_of(
        result.served_by_second.begin() + static_cast<std::ptrdiff_t>(n),
        result.served_by_second.end(),
        [](double served) { return served >= kGoodputFloor; });
    if (lasting) {
      return static_cast<double>(n - kLost);
    }
  }
  return static_cast<double>(result.served_by_second.size() - kLost);
}

auto ShareWhileSick(const RequestResult& result) -> double {
  return ShareOfSick(result, kSickFrom + kNoticeTime, kSickUntil);
}

auto TimeToRecover(const RequestResult& result) -> double {
  constexpr double kHalf = 0.5;
  const seconds end{result.served_by_second.size()};
  for (auto at = kSickUntil; at < end; ++at) {
    if (ShareOfSick(result, at, at + seconds{1}) >= kHalf) {
      return static_cast<double>((at - kSickUntil).count());
    }
  }
  return static_cast<double>((end - kSickUntil).count());
}

auto TimeToCapacityLeft(const RequestResult& result, double capacity)
    -> double {
  constexpr std::size_t kWindow = 3;
  const auto& served = result.succeeded_by_second;
  const auto lost = static_cast<std::size_t>(kZoneLost.count());
  const auto is_used = [&](std::size_t from, std::size_t until) {
    double sum = 0;
    for (auto n = from; n < until; ++n) {
      sum += static_cast<double>(served[n]);
    }
    return sum >= kGoodputFloor * capacity * static_cast<double>(until - from);
  };
  for (auto n = lost; n + kWindow <= served.size(); ++n) {
    if (is_used(n, n + kWindow) && is_used(n, served.size())) {
      return static_cast<double>(n - lost);
    }
  }
  return static_cast<double>(served.size() - lost);
}

}  // namespace hawthornbank::bench
