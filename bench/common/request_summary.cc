#include "common/request_world.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

/// @file
/// Computes the figures of a request scenario from its recorded calls and runs.

namespace hawthornbank::bench::request_world {
namespace {

struct ServedCount {
  double offered = 0;
  double served = 0;

  [[nodiscard]] auto ComputeServedRatio() const -> double {
    return offered == 0 ? 0 : served / offered;
  }
};

// Computes the served shares of permit checks and other requests from callers
// that don't flood, and the weighted goodput.
auto ComputeServedSharesAndWeightedGoodput(World& world) -> void {
  ServedCount permits;
  ServedCount ordinary;
  double served_weight = 0;
  for (const auto& call : world.calls) {
    if (!IsInMeasuredTime(world, call->created)) {
      continue;
    }
    served_weight += call->succeeded ? (call->is_booking ? 2 : 1) : 0;
    const bool is_flooding =
        world.scenario.flood_share > 0 && call->caller == 0;
    if (!is_flooding) {
      auto& group = call->is_booking ? permits : ordinary;
      group.offered += 1;
      group.served += call->succeeded ? 1 : 0;
    }
  }
  const double time =
      std::chrono::duration<double>{world.scenario.end - world.scenario.start}
          .count();
  world.result.others_permits_ratio = permits.ComputeServedRatio();
  world.result.others_ordinary_ratio = ordinary.ComputeServedRatio();
  world.result.weighted_goodput =
      served_weight / (ComputeCapacityPerSecond(world.scenario) * time);
}

auto SumCountersOfTargets(World& world) -> void {
  auto& result = world.result;
  for (const auto& target : world.targets) {
    result.running_max = std::max(result.running_max, target->running_max);
    result.cancelled += target->cancelled;
    result.unacknowledged += target->unacknowledged.size();
    result.slots_freed += target->slots_freed;
  }
}

}  // namespace

auto IsInMeasuredTime(const World& world, TimePoint when) -> bool {
  return when >= TimePoint{world.scenario.start} &&
         when < TimePoint{world.scenario.end};
}

auto GetSecondOfRun(TimePoint when) -> std::size_t {
  return static_cast<std::size_t>(
      std::chrono::floor<std::chrono::seconds>(when.time_since_epoch())
          .count());
}

auto ComputeCapacityPerSecond(const RequestScenario& scenario) -> double {
  constexpr double kSlots = 3;
  const double service =
      std::chrono::duration<double>{scenario.service_time}.count();
  return static_cast<double>(scenario.targets) * kSlots / service;
}

auto CountRepeatedAndMisreportedRuns(World& world) -> void {
  std::map<std::string, std::vector<TimePoint>> starts;
  for (const auto& run : world.runs) {
    starts[run.id].push_back(run.when);
  }
  for (const auto& call : world.calls) {
    const auto it = starts.find(call->id);
    if (!call->is_booking || it == starts.end()) {
      continue;
    }
    world.result.doubled += it->second.size() > 1 ? 1 : 0;
    for (const auto& attempt : call->attempts) {
      const bool ran = std::any_of(
          it->second.begin(), it->second.end(), [&](TimePoint when) {
            return when >= attempt.start && when < attempt.next_attempt_start;
          });
      world.result.falsely_not_run += attempt.reported_not_run && ran ? 1 : 0;
    }
  }
}

auto ComputeResultRatios(World& world) -> void {
  auto& result = world.result;
  double weight = 0;
  double shed = 0;
  for (const auto& call : world.calls) {
    const double value = call->is_booking && world.scenario.permits ? 2 : 1;
    weight += value;
    shed += call->attempts.front().reported_not_run ? value : 0;
  }
  result.shed_share = weight == 0 ? 0 : shed / weight;
  const double time =
      std::chrono::duration<double>{world.scenario.end - world.scenario.start}
          .count();
  const auto succeeded = static_cast<double>(result.succeeded);
  result.goodput_ratio =
      succeeded / (ComputeCapacityPerSecond(world.scenario) * time);
  result.served_ratio = succeeded / static_cast<double>(result.offered);
  auto& trips = world.refusal_round_trips;
  if (!trips.empty()) {
    const auto rank =
        trips.begin() + static_cast<std::ptrdiff_t>(trips.size() * 99 / 100);
    std::nth_element(trips.begin(), rank, trips.end());
    result.refusal_round_trips_p99 = *rank;
    const auto late = std::count_if(trips.begin(), trips.end(),
                                    [](double it) { return it > 1; });
    result.late_refusals =
        static_cast<double>(late) / static_cast<double>(trips.size());
  }
  const auto& on_arrival = world.arrival_refusal_round_trips;
  if (!on_arrival.empty()) {
    result.arrival_refusal_round_trips_p100 =
        *std::max_element(on_arrival.begin(), on_arrival.end());
  }
  for (std::size_t n = 0; n < world.offered_by_second.size(); ++n) {
    const auto offered = static_cast<double>(world.offered_by_second[n]);
    result.served_by_second.push_back(
        offered == 0
            ? 0
            : static_cast<double>(world.served_by_second[n]) / offered);
  }
  result.capacity = ComputeCapacityPerSecond(world.scenario);
  SumCountersOfTargets(world);
  ComputeServedSharesAndWeightedGoodput(world);
}

}  // namespace hawthornbank::bench::request_world
