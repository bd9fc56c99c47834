#include <cstring>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/recovery_fleet.h"
#include "common/report.h"

/// @file
/// Benchmarks of the recovery of whole fleets after failures, with membership
/// and configuration together, in virtual time.
namespace hawthornbank::bench {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;

constexpr std::uint64_t kSeed = 1;
constexpr Duration kMinute = 60s;
constexpr Duration kRecoveryTimeLimit = 60s;

/// Number of processes, their links, and the length of the partition.
struct FleetSize {
  std::string suffix;  ///< Suffix of the case's name.
  FleetOptions options;
  /// Time from the change being in force until the partition ends, in the case
  /// regions_parted_and_joined.
  Duration partition_time;
};

/// Returns two fleet sizes: today's sites of both users, and a tenth of the
/// design size.
auto ListFleetSizes(std::size_t regions) -> std::vector<FleetSize> {
  return {{.suffix = "",
           .options = {.balancers = 3 * regions,
                       .agents = 10 * regions,
                       .zones = 3 * regions,
                       .services = 2 * regions,
                       .jitter = 20ms,
                       .loss = 0.05,
                       .seed = kSeed},
           .partition_time = 4min},
          {.suffix = "_47_470",
           .options = {.balancers = 47,
                       .agents = 470,
                       .zones = 6,
                       .services = 42,
                       .jitter = 20ms,
                       .loss = 0.01,
                       .seed = kSeed},
           .partition_time = 30s}};
}

auto ConvertToSeconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

/// A fleet in a steady state, and the figures printed for its case.
struct Scenario {
  Scenario(const FleetSize& fleet_size, const std::string& case_name)
      : size(fleet_size),
        name(case_name + fleet_size.suffix),
        fleet(fleet_size.options) {
    fleet.RunFor(30s);
    fleet.StoreNextGeneration();
    fleet.RunFor(30s);
    fleet.ResetTrafficAndErrorCounts();
    start = fleet.members.now();
  }

  auto PrintFigure(const std::string& figure,
                   double value,
                   const std::string& unit) const -> void {
    bench::PrintRow(Row{.bench = "recovery",
                        .name = name,
                        .figure = figure,
                        .value = value,
                        .unit = unit,
                        .seed = kSeed});
  }

  /// Runs until the fleet has recovered, and prints the elapsed time.
  auto RunUntilRecoveredAndPrintTime() -> void {
    PrintFigure("time_to_right",
                ConvertToSeconds(fleet.RunUntilRecovered(kRecoveryTimeLimit)),
                "s");
  }

  auto PrintAllFigures() -> void {
    const auto elapsed = fleet.members.now() - start;
    if (elapsed < kMinute) {
      fleet.RunFor(kMinute - elapsed);
    }
    PrintFigure("wrong_at_end", fleet.HasRecovered() ? 0 : 1, "fleets");
    PrintViewErrorCounts();
    PrintFigure("reverts",
                static_cast<double>(fleet.configuration.generation_decreases),
                "processes");
    PrintFigure("bytes_per_second", fleet.ComputeMaxBytesPerSecond(), "B/s");
  }

  /// Prints how many samples found a target missing or wrongly dead in a
  /// balancer's view.
  auto PrintViewErrorCounts() const -> void {
    PrintFigure("lost_target_samples",
                static_cast<double>(fleet.lost_target_samples()), "samples");
    PrintFigure("false_death_samples",
                static_cast<double>(fleet.false_death_samples()), "samples");
  }

  [[nodiscard]] auto ListBalancersAndAgentsOfZone(std::size_t zone) const
      -> std::pair<std::vector<std::size_t>, std::vector<std::size_t>> {
    std::pair<std::vector<std::size_t>, std::vector<std::size_t>> found;
    for (std::size_t n = 0; n < size.options.balancers; ++n) {
      if (fleet.members.zone_of_balancer(n) == zone) {
        found.first.push_back(n);
      }
    }
    for (std::size_t n = 0; n < size.options.agents; ++n) {
      if (fleet.members.zone_of_agent(n) == zone) {
        found.second.push_back(n);
      }
    }
    return found;
  }

  FleetSize size;
  std::string name;
  RecoveryFleet fleet;
  TimePoint start;
};

/// Measures a restart of all balancers without their state, while the agents
/// keep running.
auto MeasureRestartOfAllBalancers(const FleetSize& size) -> void {
  Scenario scenario(size, "balancers_restart_all");
  for (std::size_t n = 0; n < size.options.balancers; ++n) {
    scenario.fleet.KillBalancer(n);
    scenario.fleet.StartBalancer(n);
  }
  scenario.RunUntilRecoveredAndPrintTime();
  scenario.PrintAllFigures();
}

auto MeasureRestartOfAllAgents(const FleetSize& size) -> void {
  Scenario scenario(size, "agents_restart_all");
  for (std::size_t n = 0; n < size.options.agents; ++n) {
    scenario.fleet.KillAgent(n);
    scenario.fleet.StartAgent(n);
  }
  scenario.RunUntilRecoveredAndPrintTime();
  scenario.PrintAllFigures();
}

/// Measures restarts of a balancer and an agent while the platform answers as
/// if its storage were empty.
auto MeasureRestartsWithEmptyPlatform(const FleetSize& size) -> void {
  Scenario scenario(size, "platform_empty");
  auto& fleet = scenario.fleet;
  fleet.configuration.platform.empty = true;
  fleet.RunFor(1min);
  const auto& store = fleet.configuration.nodes[0].store;
  const bool confirmed = IsConfigurationConfirmed(store, fleet.members.now());
  scenario.PrintFigure("confirmed_by_nothing", confirmed ? 1 : 0, "processes");
  fleet.KillBalancer(1);
  fleet.StartBalancer(1);
  fleet.KillAgent(1);
  fleet.StartAgent(1);
  scenario.RunUntilRecoveredAndPrintTime();
  fleet.RunFor(1min);
  fleet.configuration.platform.empty = false;
  fleet.StoreNextGeneration();
  const auto time_in_force = fleet.RunUntilRecovered(kRecoveryTimeLimit);
  scenario.PrintFigure("time_in_force_after", ConvertToSeconds(time_in_force),
                       "s");
  scenario.PrintAllFigures();
}

/// Measures the loss and return of a zone: its balancers and agents die at the
/// same time and start a minute later, after a configuration change.
auto MeasureZoneLossAndReturn(const FleetSize& size) -> void {
  Scenario scenario(size, "zone_lost_and_back");
  auto& fleet = scenario.fleet;
  const auto [balancers, agents] = scenario.ListBalancersAndAgentsOfZone(0);
  for (const auto n : balancers) {
    fleet.KillBalancer(n);
  }
  for (const auto n : agents) {
    fleet.KillAgent(n);
  }
  const auto time_to_stop = fleet.RunUntil(kRecoveryTimeLimit, [&fleet] {
    return fleet.members.IsRoutingComplete();
  });
  scenario.PrintFigure("time_to_stop_new_work", ConvertToSeconds(time_to_stop),
                       "s");
  fleet.StoreNextGeneration();
  fleet.RunFor(kMinute - time_to_stop);
  scenario.PrintViewErrorCounts();
  fleet.ResetTrafficAndErrorCounts();
  scenario.start = fleet.members.now();
  for (const auto n : balancers) {
    fleet.StartBalancer(n);
  }
  for (const auto n : agents) {
    fleet.StartAgent(n);
  }
  scenario.RunUntilRecoveredAndPrintTime();
  scenario.PrintAllFigures();
}

/// Measures a partition of two regions that lasts for minutes, and a
/// configuration change during the partition.
auto MeasureRegionPartition(const FleetSize& size) -> void {
  Scenario scenario(size, "regions_parted_and_joined");
  auto& fleet = scenario.fleet;
  fleet.members.PartitionZonesFrom(3);
  fleet.RunFor(1min);
  fleet.StoreNextGeneration();
  const auto time_in_force = fleet.RunUntil(kRecoveryTimeLimit, [&fleet] {
    return fleet.configuration.CountProcessesInForce(Generation{3}) ==
           fleet.configuration.CountLiveProcesses();
  });
  scenario.PrintFigure("time_in_force_parted", ConvertToSeconds(time_in_force),
                       "s");
  fleet.RunFor(size.partition_time);
  scenario.PrintViewErrorCounts();
  fleet.members.EndZonePartition();
  fleet.ResetTrafficAndErrorCounts();
  scenario.start = fleet.members.now();
  scenario.RunUntilRecoveredAndPrintTime();
  fleet.RunFor(5s);
  const auto before = fleet.lost_target_samples();
  fleet.RunFor(1min);
  scenario.PrintFigure(
      "flaps", static_cast<double>(fleet.lost_target_samples() - before),
      "samples");
  scenario.PrintAllFigures();
}

struct RecoveryCase {
  std::string name;
  std::size_t regions;
  void (*run)(const FleetSize& size);
};

auto ListRecoveryCases() -> std::vector<RecoveryCase> {
  return {{"balancers_restart_all", 1, MeasureRestartOfAllBalancers},
          {"agents_restart_all", 1, MeasureRestartOfAllAgents},
          {"platform_empty", 1, MeasureRestartsWithEmptyPlatform},
          {"zone_lost_and_back", 1, MeasureZoneLossAndReturn},
          {"regions_parted_and_joined", 2, MeasureRegionPartition}};
}

}  // namespace
}  // namespace hawthornbank::bench

auto main(int argc, char** argv) -> int {
  using namespace hawthornbank::bench;
  const std::string wanted = argc > 1 ? argv[1] : "";
  for (const auto& it : ListRecoveryCases()) {
    for (const auto& size : ListFleetSizes(it.regions)) {
      if (wanted.empty() || wanted == it.name ||
          wanted == it.name + size.suffix) {
        it.run(size);
      }
    }
  }
  return GetExitCode();
}
