#include "common/membership_slopes.h"

#include <algorithm>
#include <string>
#include <vector>

#include "common/membership_fleet.h"
#include "common/report.h"

namespace hawthornbank::bench {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr std::size_t kFullBalancers = 470;
constexpr std::size_t kAgentsPerBalancer = 10;
constexpr std::size_t kTargetsPerService = 11;
/// Bytes of the pointers, colour and padding in a node of std::map.
constexpr std::size_t kMapNodeBytes = 32;
constexpr std::uint64_t kSeed = 1;

/// Cost of membership per process at one fleet size.
struct ProcessCosts {
  std::size_t balancers = 0;
  double balancer_bytes = 0;     ///< Mean bytes sent per second.
  double balancer_messages = 0;  ///< Mean messages sent per second.
  double agent_bytes = 0;
  double agent_messages = 0;
  double state_bytes = 0;
  /// Wall time in a balancer's membership code, in percent of the virtual time;
  /// depends on the machine.
  double core_percent = 0;
  double balancer_calls = 0;  ///< Mean calls of the membership code per second.
  double balancer_call_ns = 0;  ///< Mean wall time of one call, in ns.
  double agent_core_percent = 0;
  double agent_calls = 0;
  double agent_call_ns = 0;
  /// Seconds from the start of all processes until every balancer routes to all
  /// live agents.
  double convergence_seconds = 0;
  double start_bytes = 0;  ///< Mean bytes sent by a balancer until convergence.
  /// Mean bytes sent by a balancer per membership change.
  double change_bytes = 0;
  /// Seconds until no balancer routes to a crashed target.
  double crash_seconds = 0;
  /// Seconds until no balancer routes to a draining target.
  double drain_seconds = 0;
  /// Mean bytes sent by a balancer for a new generation.
  double generation_bytes = 0;
  double join_seconds = 0;  ///< Seconds until a restarted balancer is ready.
};

auto ComputeMean(const std::vector<double>& values) -> double {
  double sum = 0;
  for (const double it : values) {
    sum += it;
  }
  return sum / static_cast<double>(values.size());
}

/// Returns the mean over the balancers of the value that `get` returns for a
/// balancer's traffic.
template <class Get>
auto ComputeMeanOverBalancers(const MembershipFleet& fleet,
                              std::size_t count,
                              Get get) -> double {
  std::vector<double> values;
  for (std::size_t n = 0; n < count; ++n) {
    values.push_back(static_cast<double>(get(fleet.balancer_traffic(n))));
  }
  return ComputeMean(values);
}

template <class Get>
auto ComputeMeanOverAgents(const MembershipFleet& fleet,
                           std::size_t count,
                           Get get) -> double {
  std::vector<double> values;
  for (std::size_t n = 0; n < count; ++n) {
    values.push_back(static_cast<double>(get(fleet.agent_traffic(n))));
  }
  return ComputeMean(values);
}

/// Estimates a balancer's memory use from the number of entries in its
/// membership containers.
auto ComputeMembershipStateBytes(const Membership& membership) -> double {
  const auto targets = membership.targets.size() *
                       (sizeof(detail::TargetEntry) + sizeof(TargetId) +
                        kMapNodeBytes + sizeof(TargetId));
  const auto balancers = membership.balancers.size() *
                         (sizeof(detail::BalancerEntry) + sizeof(HostId) +
                          kMapNodeBytes + sizeof(detail::RosterEntry));
  return static_cast<double>(sizeof(Membership) + targets + balancers);
}

/// Runs the fleet until a condition holds.
/// @return Elapsed virtual seconds, which reach kLimit on a timeout.
template <class Condition>
auto MeasureSecondsUntilCondition(MembershipFleet& fleet,
                                  Duration step,
                                  Condition condition) -> double {
  constexpr Duration kLimit = 120s;
  const auto begin = fleet.now();
  while (!condition() && fleet.now() - begin < kLimit) {
    fleet.RunFor(step);
  }
  return std::chrono::duration<double>(fleet.now() - begin).count();
}

auto GetBytesSentByProcess(const NodeTraffic& traffic) -> std::uint64_t {
  return traffic.bytes;
}

auto MeasureMembershipChanges(MembershipFleet& fleet, ProcessCosts& sample)
    -> void {
  constexpr double kSeconds = 20;
  fleet.ResetTraffic();
  fleet.KillAgent(5);
  sample.crash_seconds = MeasureSecondsUntilCondition(
      fleet, 50ms, [&] { return fleet.CountBalancersRoutingToTarget(5) == 0; });
  fleet.DrainAgent(7);
  sample.drain_seconds = MeasureSecondsUntilCondition(
      fleet, 50ms, [&] { return fleet.CountBalancersRoutingToTarget(7) == 0; });
  const double spent = sample.crash_seconds + sample.drain_seconds;
  fleet.RunFor(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kSeconds - spent)));
  const double bytes =
      ComputeMeanOverBalancers(fleet, sample.balancers, GetBytesSentByProcess);
  // A crash causes two membership changes (suspected, dead), a drain causes
  // one.
  constexpr double kChanges = 3;
  sample.change_bytes = (bytes - kSeconds * sample.balancer_bytes) / kChanges;
}

/// Measures the traffic when every balancer announces a new generation.
auto MeasureGenerationChange(MembershipFleet& fleet, ProcessCosts& sample)
    -> void {
  constexpr double kSeconds = 20;
  fleet.ResetTraffic();
  for (std::size_t n = 0; n < sample.balancers; ++n) {
    fleet.SetGeneration(n, Generation{2});
  }
  fleet.RunFor(20s);
  const double bytes =
      ComputeMeanOverBalancers(fleet, sample.balancers, GetBytesSentByProcess);
  sample.generation_bytes = bytes - kSeconds * sample.balancer_bytes;
}

auto MeasureBalancerJoin(MembershipFleet& fleet, ProcessCosts& sample) -> void {
  // Balancer 5 isn't one of the seeds.
  constexpr std::size_t kJoiningBalancer = 5;
  fleet.KillBalancer(kJoiningBalancer);
  fleet.RunFor(10s);
  fleet.StartBalancer(kJoiningBalancer);
  sample.join_seconds = MeasureSecondsUntilCondition(fleet, 50ms, [&] {
    return IsMembershipReady(fleet.GetBalancer(kJoiningBalancer));
  });
}

auto MakeFleetOptions(std::size_t balancers) -> FleetOptions {
  const auto agents = balancers * kAgentsPerBalancer;
  return FleetOptions{.balancers = balancers,
                      .agents = agents,
                      .zones = 6,
                      .services = agents / kTargetsPerService,
                      .jitter = 20ms,
                      .loss = 0.01,
                      .seed = kSeed};
}

auto MeasureProcessCosts(std::size_t balancers) -> ProcessCosts {
  ProcessCosts sample{.balancers = balancers};
  const auto agents = balancers * kAgentsPerBalancer;
  MembershipFleet fleet(MakeFleetOptions(balancers));
  sample.convergence_seconds = MeasureSecondsUntilCondition(
      fleet, 500ms, [&] { return fleet.IsRoutingComplete(); });
  sample.start_bytes =
      ComputeMeanOverBalancers(fleet, balancers, GetBytesSentByProcess);
  fleet.RunFor(20s);
  fleet.ResetTraffic();
  constexpr double kSteadySeconds = 30;
  fleet.RunFor(30s);
  const auto messages = [](const NodeTraffic& it) { return it.messages; };
  const auto core = [](const NodeTraffic& it) { return it.core_seconds; };
  sample.balancer_bytes =
      ComputeMeanOverBalancers(fleet, balancers, GetBytesSentByProcess) /
      kSteadySeconds;
  sample.balancer_messages =
      ComputeMeanOverBalancers(fleet, balancers, messages) / kSteadySeconds;
  sample.core_percent =
      100 * ComputeMeanOverBalancers(fleet, balancers, core) / kSteadySeconds;
  const auto calls = [](const NodeTraffic& it) { return it.calls; };
  constexpr double kPercentToNs = 1e7;
  sample.balancer_calls =
      ComputeMeanOverBalancers(fleet, balancers, calls) / kSteadySeconds;
  sample.balancer_call_ns =
      kPercentToNs * sample.core_percent / sample.balancer_calls;
  sample.agent_core_percent =
      100 * ComputeMeanOverAgents(fleet, agents, core) / kSteadySeconds;
  sample.agent_calls =
      ComputeMeanOverAgents(fleet, agents, calls) / kSteadySeconds;
  sample.agent_call_ns =
      kPercentToNs * sample.agent_core_percent / sample.agent_calls;
  sample.agent_bytes =
      ComputeMeanOverAgents(fleet, agents, GetBytesSentByProcess) /
      kSteadySeconds;
  sample.agent_messages =
      ComputeMeanOverAgents(fleet, agents, messages) / kSteadySeconds;
  sample.state_bytes = ComputeMembershipStateBytes(fleet.GetBalancer(0));
  MeasureMembershipChanges(fleet, sample);
  MeasureGenerationChange(fleet, sample);
  MeasureBalancerJoin(fleet, sample);
  return sample;
}

struct ProcessCostFigure {
  const char* name;
  double ProcessCosts::*value;
  const char* unit;
};

constexpr ProcessCostFigure kProcessCostFigures[] = {
    {"balancer_bytes_per_second", &ProcessCosts::balancer_bytes, "B/s"},
    {"balancer_messages_per_second", &ProcessCosts::balancer_messages, "1/s"},
    {"agent_bytes_per_second", &ProcessCosts::agent_bytes, "B/s"},
    {"agent_messages_per_second", &ProcessCosts::agent_messages, "1/s"},
    {"balancer_state", &ProcessCosts::state_bytes, "B"},
    {"balancer_core_wall_time", &ProcessCosts::core_percent, "% of a core"},
    {"balancer_core_calls_per_second", &ProcessCosts::balancer_calls, "1/s"},
    {"balancer_core_time_per_call", &ProcessCosts::balancer_call_ns, "ns"},
    {"agent_core_wall_time", &ProcessCosts::agent_core_percent, "% of a core"},
    {"agent_core_calls_per_second", &ProcessCosts::agent_calls, "1/s"},
    {"agent_core_time_per_call", &ProcessCosts::agent_call_ns, "ns"},
    {"start_of_everything_time", &ProcessCosts::convergence_seconds, "s"},
    {"start_of_everything_bytes", &ProcessCosts::start_bytes, "B"},
    {"bytes_per_change", &ProcessCosts::change_bytes, "B"},
    {"crash_time_to_stop_new_work", &ProcessCosts::crash_seconds, "s"},
    {"drain_time_to_stop_new_work", &ProcessCosts::drain_seconds, "s"},
    {"bytes_per_generation", &ProcessCosts::generation_bytes, "B"},
    {"newcomer_time_to_serve", &ProcessCosts::join_seconds, "s"},
};

/// Fits a line through the samples by least squares and returns the line's
/// value at full size, 470 balancers.
auto ExtrapolateToFullSize(const std::vector<ProcessCosts>& samples,
                           double ProcessCosts::*value) -> double {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const auto& it : samples) {
    const auto x = static_cast<double>(it.balancers);
    sum_x += x;
    sum_y += it.*value;
    sum_xx += x * x;
    sum_xy += x * (it.*value);
  }
  const auto count = static_cast<double>(samples.size());
  const double slope =
      (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  const double intercept = (sum_y - slope * sum_x) / count;
  return intercept + slope * kFullBalancers;
}

auto MakeCaseName(std::size_t balancers) -> std::string {
  return "slopes_" + std::to_string(balancers) + "_" +
         std::to_string(balancers * kAgentsPerBalancer);
}

auto PrintProcessCosts(const ProcessCosts& sample) -> void {
  for (const auto& it : kProcessCostFigures) {
    Row row{.bench = "membership",
            .name = MakeCaseName(sample.balancers),
            .figure = it.name,
            .value = sample.*it.value,
            .unit = it.unit,
            .seed = kSeed};
    PrintRow(row);
  }
}

/// Cost of a simultaneous start of all processes.
struct StartCosts {
  /// Seconds until every balancer routes to all live agents.
  double convergence_seconds = 0;
  double mean_bytes = 0;              ///< Mean bytes sent by a balancer.
  double busiest_balancer_bytes = 0;  ///< Bytes sent by the busiest balancer.
  double agent_bytes = 0;             ///< Bytes sent by the busiest agent.
};

auto MeasureFleetStartCosts(std::size_t balancers) -> StartCosts {
  MembershipFleet fleet(MakeFleetOptions(balancers));
  StartCosts start;
  start.convergence_seconds = MeasureSecondsUntilCondition(
      fleet, 250ms, [&] { return fleet.IsRoutingComplete(); });
  start.mean_bytes =
      ComputeMeanOverBalancers(fleet, balancers, GetBytesSentByProcess);
  for (std::size_t n = 0; n < balancers; ++n) {
    start.busiest_balancer_bytes =
        std::max(start.busiest_balancer_bytes,
                 static_cast<double>(fleet.balancer_traffic(n).bytes));
  }
  for (std::size_t n = 0; n < balancers * kAgentsPerBalancer; ++n) {
    start.agent_bytes = std::max(
        start.agent_bytes, static_cast<double>(fleet.agent_traffic(n).bytes));
  }
  return start;
}

}  // namespace

auto PrintFleetStartCosts(std::size_t balancers) -> void {
  const auto start = MeasureFleetStartCosts(balancers);
  Row row{.bench = "membership",
          .name = "start_" + MakeCaseName(balancers),
          .seed = kSeed};
  const auto print = [&row](const char* figure, double value,
                            const char* unit) {
    row.figure = figure;
    row.value = value;
    row.unit = unit;
    PrintRow(row);
  };
  print("time_to_whole", start.convergence_seconds, "s");
  print("bytes_of_a_balancer", start.mean_bytes, "B");
  print("bytes_of_busiest_balancer", start.busiest_balancer_bytes, "B");
  print("bytes_of_busiest_agent", start.agent_bytes, "B");
}

auto PrintProcessCostSlopes(bool full) -> void {
  std::vector<ProcessCosts> samples;
  for (const std::size_t balancers : {20U, 60U, 120U, 240U}) {
    samples.push_back(MeasureProcessCosts(balancers));
    PrintProcessCosts(samples.back());
  }
  for (const auto& it : kProcessCostFigures) {
    PrintRow(Row{.bench = "membership",
                 .name = "slopes_470_4700",
                 .variant = "worked_out",
                 .figure = it.name,
                 .value = ExtrapolateToFullSize(samples, it.value),
                 .unit = it.unit,
                 .seed = kSeed});
  }
  if (full) {
    PrintProcessCosts(MeasureProcessCosts(kFullBalancers));
  }
}

}  // namespace hawthornbank::bench
