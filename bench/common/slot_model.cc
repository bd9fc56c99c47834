#include "common/slot_model.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

#include "common/routing_world.h"

namespace hawthornbank::bench {
namespace {

// Much longer than the link delay, so that waits depend only on the chosen
// targets.
constexpr Duration kMeanService = std::chrono::seconds{1};
constexpr double kPercentile = 0.99;
/// The first target is slow for `cold_period / kColdPeriodDivisor` per period.
constexpr int kColdPeriodDivisor = 5;

struct Job {
  Duration arrival{};
  Duration service{};
};

auto DrawExponentialDuration(Random& random, Duration mean) -> Duration {
  const double fraction = 1.0 - DrawRandomFraction(random);
  return Duration{static_cast<Duration::rep>(
      -std::log(fraction) * static_cast<double>(mean.count()))};
}

auto DrawRandomJobs(const SlotModelOptions& options) -> std::vector<Job> {
  Random random(options.seed);
  const double rate = options.load * options.targets * options.slots;
  const Duration gap{static_cast<Duration::rep>(
      static_cast<double>(kMeanService.count()) / rate)};
  std::vector<Job> jobs(options.arrivals);
  Duration now{0};
  for (auto& it : jobs) {
    now += DrawExponentialDuration(random, gap);
    it = Job{.arrival = now,
             .service = DrawExponentialDuration(random, kMeanService)};
  }
  return jobs;
}

/// Busy slots and waiting jobs of one target.
struct SlotQueue {
  std::uint32_t busy = 0;
  std::deque<std::uint32_t> waiting;
};

/// Runs each job on the target that a policy has chosen for the job.
class SlotSimulation {
 public:
  SlotSimulation(VirtualNetwork& network,
                 const std::vector<Job>& jobs,
                 const SlotModelOptions& options,
                 TimePoint start)
      : network_(network),
        jobs_(jobs),
        options_(options),
        start_(start),
        queues_(options.targets),
        waits_(jobs.size(), 0) {}

  std::function<void(std::uint32_t target)> on_queue_change;
  std::function<void(std::uint32_t job)> on_job_done;

  auto StartOrQueueJob(std::uint32_t job, std::uint32_t target) -> void {
    auto& queue = queues_[target];
    if (queue.busy < options_.slots) {
      ++queue.busy;
      StartServingJob(job, target);
    } else {
      queue.waiting.push_back(job);
    }
    NotifyQueueChange(target);
  }

  [[nodiscard]] auto GetQueuesOfTargets() const
      -> const std::vector<SlotQueue>& {
    return queues_;
  }

  // Ignores the first tenth of the jobs, in which the queues warm up.
  auto ComputeWaitP99() -> double {
    std::vector<double> waits(
        waits_.begin() + static_cast<std::ptrdiff_t>(waits_.size() / 10),
        waits_.end());
    const auto rank =
        waits.begin() + static_cast<std::ptrdiff_t>(
                            kPercentile * static_cast<double>(waits.size()));
    std::nth_element(waits.begin(), rank, waits.end());
    return *rank;
  }

 private:
  auto StartServingJob(std::uint32_t job, std::uint32_t target) -> void {
    const Duration wait = network_.now() - (start_ + jobs_[job].arrival);
    waits_[job] = static_cast<double>(wait.count()) /
                  static_cast<double>(kMeanService.count());
    const double factor = IsTargetSlow(target) ? options_.crowded_factor : 1;
    const Duration service{static_cast<Duration::rep>(
        static_cast<double>(jobs_[job].service.count()) * factor)};
    network_.ScheduleAction(network_.now() + service, [this, job, target]() {
      FinishJobAndStartNext(job, target);
    });
  }

  [[nodiscard]] auto IsTargetSlow(std::uint32_t target) const -> bool {
    const Duration period = options_.cold_period;
    return target == 0 &&
           (period == Duration{0} ||
            (network_.now() - start_) % period < period / kColdPeriodDivisor);
  }

  auto FinishJobAndStartNext(std::uint32_t job, std::uint32_t target) -> void {
    auto& queue = queues_[target];
    if (on_job_done) {
      on_job_done(job);
    }
    if (queue.waiting.empty()) {
      --queue.busy;
    } else {
      const std::uint32_t next = queue.waiting.front();
      queue.waiting.pop_front();
      StartServingJob(next, target);
    }
    NotifyQueueChange(target);
  }

  auto NotifyQueueChange(std::uint32_t target) -> void {
    if (on_queue_change) {
      on_queue_change(target);
    }
  }

  VirtualNetwork& network_;
  const std::vector<Job>& jobs_;
  const SlotModelOptions& options_;
  TimePoint start_;
  std::vector<SlotQueue> queues_;
  std::vector<double> waits_;
};

auto FindLeastLoadedTarget(const std::vector<SlotQueue>& queues)
    -> std::uint32_t {
  const auto it = std::min_element(
      queues.begin(), queues.end(), [](const SlotQueue& a, const SlotQueue& b) {
        return a.busy + a.waiting.size() < b.busy + b.waiting.size();
      });
  return static_cast<std::uint32_t>(it - queues.begin());
}

auto SimulateBaselinePolicy(const SlotModelOptions& options,
                            const std::vector<Job>& jobs,
                            bool knows_all_queues) -> double {
  VirtualNetwork network(options.seed);
  SlotSimulation run(network, jobs, options, network.now());
  Random random(options.seed + 1);
  for (std::uint32_t job = 0; job < jobs.size(); ++job) {
    const std::uint32_t hashed = random(options.targets);
    network.ScheduleAction(
        TimePoint{jobs[job].arrival}, [&run, job, hashed, knows_all_queues]() {
          run.StartOrQueueJob(
              job, knows_all_queues
                       ? FindLeastLoadedTarget(run.GetQueuesOfTargets())
                       : hashed);
        });
  }
  network.RunUntil(TimePoint{jobs.back().arrival} + kMeanService * 100);
  return run.ComputeWaitP99();
}

auto SimulateProductionAgents(const SlotModelOptions& options,
                              const std::vector<Job>& jobs) -> double {
  RoutingWorld world({.targets = options.targets,
                      .slots = options.slots,
                      .cache_entries = 2048,
                      .link = {.delay = std::chrono::microseconds{100}},
                      .seed = options.seed});
  auto& network = world.network();
  const TimePoint start = network.now();
  SlotSimulation run(network, jobs, options, start);
  run.on_queue_change = [&](std::uint32_t target) {
    const auto& queue = run.GetQueuesOfTargets()[target];
    world.GetAgentOfTarget(target).target_usage = {
        .slots = options.slots,
        .slots_busy = queue.busy,
        .queued = static_cast<std::uint32_t>(queue.waiting.size())};
  };
  run.on_job_done = [&world](std::uint32_t job) { world.EndFlowAtOwner(job); };
  world.SetFlowAcceptHandler([&run](std::uint32_t flow, std::uint32_t target) {
    run.StartOrQueueJob(flow, target);
  });
  for (std::uint32_t job = 0; job < jobs.size(); ++job) {
    network.ScheduleAction(start + jobs[job].arrival,
                           [&world]() { world.OpenFlow(); });
  }
  const TimePoint end = start + jobs.back().arrival + kMeanService * 100;
  for (auto now = start; now < end; now += std::chrono::seconds{1}) {
    network.ScheduleAction(now, [&world, &network, &options]() {
      const double error =
          (2 * DrawRandomFraction(network.random()) - 1) * options.report_error;
      world.SendMeanConnectionsToAgents(std::chrono::seconds{1}, 1 + error);
    });
  }
  network.RunUntil(end);
  return run.ComputeWaitP99();
}

}  // namespace

auto SimulateSlotWaits(const SlotModelOptions& options) -> SlotModelResult {
  const auto jobs = DrawRandomJobs(options);
  return SlotModelResult{
      .own_p99 = SimulateProductionAgents(options, jobs),
      .oracle_p99 = SimulateBaselinePolicy(options, jobs, true),
      .hash_p99 = SimulateBaselinePolicy(options, jobs, false)};
}

}  // namespace hawthornbank::bench
