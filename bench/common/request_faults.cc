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
constexpr std::size_t kFaultyTargets = 2;
constexpr seconds kFaultStart{8};
constexpr seconds kFaultEnd{16};
/// Time from the start of a fault until the faulty target gets only probes.
constexpr seconds kFaultDetectionTime{2};
constexpr seconds kZoneLossTime{10};
constexpr std::size_t kZoneTargets = 3;
/// Time from the loss of a zone until callers use only the remaining targets.
constexpr seconds kZoneLossDetectionTime{2};

auto CountStartedRequests(const RequestResult& result,
                          bool faulty,
                          seconds from,
                          seconds until) -> double {
  const auto count = std::count_if(
      result.runs.begin(), result.runs.end(), [&](const Run& run) {
        return (run.target <= kFaultyTargets) == faulty &&
               run.when >= TimePoint{from} && run.when < TimePoint{until};
      });
  return static_cast<double>(count);
}

// Computes the mean number of requests started at a faulty target over the
// mean number started at a healthy target.
auto ComputeFaultyTargetShare(const RequestResult& result,
                              seconds from,
                              seconds until) -> double {
  constexpr double kHealthyPerFaulty = 2.5;
  const auto healthy_starts = CountStartedRequests(result, false, from, until);
  return healthy_starts == 0 ? 0
                             : CountStartedRequests(result, true, from, until) *
                                   kHealthyPerFaulty / healthy_starts;
}

}  // namespace

auto ScheduleTargetRestarts(VirtualNetwork& net, Targets& targets) -> void {
  const auto restart = [&net, &targets](std::size_t n, seconds at,
                                        seconds down) {
    auto& target = *targets[n];
    net.ScheduleAction(TimePoint{at},
                       [&net, &target] { net.KillHost(target.host); });
    net.ScheduleAction(TimePoint{at + down}, [&net, &target] {
      net.ReviveHost(target.host);
      StartTargetHost(target, net);
    });
  };
  for (std::size_t n = 0; n < targets.size(); ++n) {
    restart(n, seconds{6 + static_cast<int>(n)}, seconds{1});
  }
  for (std::size_t n = 0; n < 3; ++n) {
    restart(n, seconds{16}, seconds{4});
  }
}

auto ScheduleHostPauses(VirtualNetwork& net, Targets& targets) -> void {
  for (std::size_t n = 0; n < 3; ++n) {
    auto& target = *targets[n];
    const seconds at{8 + 5 * static_cast<int>(n)};
    net.ScheduleAction(TimePoint{at},
                       [&net, &target] { net.FreezeHost(target.host); });
    net.ScheduleAction(TimePoint{at + seconds{3}},
                       [&net, &target] { net.ThawHost(target.host); });
  }
}

auto ScheduleGreyFailures(VirtualNetwork& net, Targets& targets) -> void {
  const auto set = [&net, &targets](std::size_t n, seconds at,
                                    TargetFault kind) {
    auto* target = targets[n].get();
    net.ScheduleAction(TimePoint{at}, [target, kind] { target->fault = kind; });
  };
  set(0, kFaultStart, TargetFault::kFails);
  set(1, kFaultStart, TargetFault::kStalls);
  set(0, kFaultEnd, TargetFault::kNone);
  set(1, kFaultEnd, TargetFault::kNone);
}

auto ScheduleZoneLoss(VirtualNetwork& net, Targets& targets) -> void {
  for (std::size_t n = 0; n < kZoneTargets; ++n) {
    auto* target = targets[n].get();
    net.ScheduleAction(TimePoint{kZoneLossTime},
                       [&net, target] { net.KillHost(target->host); });
    net.ScheduleAction(TimePoint{kZoneLossTime + kZoneLossDetectionTime},
                       [target] { target->is_routed = false; });
  }
}

auto ScheduleBalancerCrashes(VirtualNetwork& net, Targets& /*targets*/)
    -> void {
  net.SetLinkRule([&net](std::uint64_t, std::uint64_t) {
    constexpr seconds kFirstCrash{7};
    constexpr seconds kLastCrash{22};
    constexpr int kSecondsBetweenCrashes = 3;
    constexpr double kLossInCrash = 0.5;
    const auto second =
        std::chrono::floor<seconds>(net.now().time_since_epoch());
    const bool crashed =
        second >= kFirstCrash && second <= kLastCrash &&
        (second - kFirstCrash).count() % kSecondsBetweenCrashes == 0;
    return Link{.delay = milliseconds{3},
                .jitter = milliseconds{1},
                .loss = crashed ? kLossInCrash : 0};
  });
}

auto ComputeTimeToRestoreGoodput(const RequestResult& result) -> double {
  constexpr std::size_t kLossSecond = 16;
  for (auto n = kLossSecond + 1; n < result.served_by_second.size(); ++n) {
    const bool lasting = std::all_of(
        result.served_by_second.begin() + static_cast<std::ptrdiff_t>(n),
        result.served_by_second.end(),
        [](double served) { return served >= kGoodputFloor; });
    if (lasting) {
      return static_cast<double>(n - kLossSecond);
    }
  }
  return static_cast<double>(result.served_by_second.size() - kLossSecond);
}

auto ComputeFaultyTargetShareDuringGreyFailure(const RequestResult& result)
    -> double {
  return ComputeFaultyTargetShare(result, kFaultStart + kFaultDetectionTime,
                                  kFaultEnd);
}

auto ComputeTimeToRecoverFromGreyFailure(const RequestResult& result)
    -> double {
  constexpr double kHalf = 0.5;
  const seconds end{result.served_by_second.size()};
  for (auto at = kFaultEnd; at < end; ++at) {
    if (ComputeFaultyTargetShare(result, at, at + seconds{1}) >= kHalf) {
      return static_cast<double>((at - kFaultEnd).count());
    }
  }
  return static_cast<double>((end - kFaultEnd).count());
}

auto ComputeTimeToUseRemainingCapacity(const RequestResult& result,
                                       double capacity) -> double {
  constexpr std::size_t kWindow = 3;
  const auto& served = result.succeeded_by_second;
  const auto lost = static_cast<std::size_t>(kZoneLossTime.count());
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
