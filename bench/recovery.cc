#include <cstring>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/recovery_fleet.h"
#include "common/report.h"

/// @file
/// Recovery of whole fleets, membership and configuration together, in virtual
/// time.
namespace hawthornbank::bench {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;

constexpr std::uint64_t kSeed = 1;
constexpr Duration kMinute = 60s;
constexpr Duration kLimit = 60s;

/// Processes, links and how soon all must be right.
struct Size {
  std::string suffix;  ///< Of the case's name.
  FleetOptions options;
  Duration parted;  ///< After the change, in regions_parted_and_joined.
};

/// Both users' sites of today, or a tenth of the size to design for.
auto Sizes(std::size_t regions) -> std::vector<Size> {
  return {{.suffix = "",
           .options = {.balancers = 3 * regions,
                       .agents = 10 * regions,
                       .zones = 3 * regions,
                       .services = 2 * regions,
                       .jitter = 20ms,
                       .loss = 0.05,
                       .seed = kSeed},
           .parted = 4min},
          {.suffix = "_47_470",
           .options = {.balancers = 47,
                       .agents = 470,
                       .zones = 6,
                       .services = 42,
                       .jitter = 20ms,
                       .loss = 0.01,
                       .seed = kSeed},
           .parted = 30s}};
}

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

/// A fleet at rest, and the rows of its case.
struct Scenario {
  Scenario(const Size& size_of, const std::string& case_name)
      : size(size_of),
        name(case_name + size_of.suffix),
        fleet(size_of.options) {
    fleet.Run(30s);
    fleet.Change();
    fleet.Run(30s);
    fleet.ResetCounts();
    start = fleet.members.now();
  }

  auto Print(const std::string& figure,
             double value,
             const std::string& unit) const -> void {
    bench::Print(Row{.bench = "recovery",
                     .name = name,
                     .figure = figure,
                     .value = value,
                     .unit = unit,
                     .seed = kSeed});
  }

  /// Runs until all is right.
  auto MeasureRight() -> void {
    Print("time_to_right", Seconds(fleet.RunUntilRight(kLimit)), "s");
  }

  auto Report() -> void {
    const auto passed = fleet.members.now() - start;
    if (passed < kMinute) {
      fleet.Run(kMinute - passed);
    }
    Print("wrong_at_end", fleet.IsRight() ? 0 : 1, "fleets");
    PrintViews();
    Print("reverts", static_cast<double>(fleet.configuration.reverts),
          "processes");
    Print("bytes_per_second", fleet.BytesPerSecond(), "B/s");
  }

  /// Prints what the balancers' views were wrong about.
  auto PrintViews() const -> void {
    Print("lost_target_samples",
          static_cast<double>(fleet.lost_target_samples()), "samples");
    Print("false_death_samples",
          static_cast<double>(fleet.false_death_samples()), "samples");
  }

  [[nodiscard]] auto ZoneMembers(std::size_t zone) const
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

  Size size;
  std::string name;
  RecoveryFleet fleet;
  TimePoint start;
};

/// All balancers end and start with nothing; the agents go on.
auto RunBalancersRestartAll(const Size& size) -> void {
  Scenario scenario(size, "balancers_restart_all");
  for (std::size_t n = 0; n < size.options.balancers; ++n) {
    scenario.fleet.KillBalancer(n);
    scenario.fleet.StartBalancer(n);
  }
  scenario.MeasureRight();
  scenario.Report();
}

auto RunAgentsRestartAll(const Size& size) -> void {
  Scenario scenario(size, "agents_restart_all");
  for (std::size_t n = 0; n < size.options.agents; ++n) {
    scenario.fleet.KillAgent(n);
    scenario.fleet.StartAgent(n);
  }
  scenario.MeasureRight();
  scenario.Report();
}

/// The platform answers that it holds nothing, and later holds it all again.
/// A balancer and an agent start meanwhile.
auto RunPlatformEmpty(const Size& size) -> void {
  Scenario scenario(size, "platform_empty");
  auto& fleet = scenario.fleet;
  fleet.configuration.platform.empty = true;
  fleet.Run(1min);
  const auto& store = fleet.configuration.nodes[0].store;
  const bool confirmed = IsConfigurationConfirmed(store, fleet.members.now());
  scenario.Print("confirmed_by_nothing", confirmed ? 1 : 0, "processes");
  fleet.KillBalancer(1);
  fleet.StartBalancer(1);
  fleet.KillAgent(1);
  fleet.StartAgent(1);
  scenario.MeasureRight();
  fleet.Run(1min);
  fleet.configuration.platform.empty = false;
  fleet.Change();
  const auto change = fleet.RunUntilRight(kLimit);
  scenario.Print("time_in_force_after", Seconds(change), "s");
  scenario.Report();
}

/// The balancers and agents of a zone end at once and start a minute later,
/// after a change of configuration.
auto RunZoneLostAndBack(const Size& size) -> void {
  Scenario scenario(size, "zone_lost_and_back");
  auto& fleet = scenario.fleet;
  const auto [balancers, agents] = scenario.ZoneMembers(0);
  for (const auto n : balancers) {
    fleet.KillBalancer(n);
  }
  for (const auto n : agents) {
    fleet.KillAgent(n);
  }
  const auto stopped =
      fleet.RunUntil(kLimit, [&fleet] { return fleet.members.IsWhole(); });
  scenario.Print("time_to_stop_new_work", Seconds(stopped), "s");
  fleet.Change();
  fleet.Run(kMinute - stopped);
  scenario.PrintViews();
  fleet.ResetCounts();
  scenario.start = fleet.members.now();
  for (const auto n : balancers) {
    fleet.StartBalancer(n);
  }
  for (const auto n : agents) {
    fleet.StartAgent(n);
  }
  scenario.MeasureRight();
  scenario.Report();
}

/// Two regions lose each other for minutes, with a change meanwhile.
auto RunRegionsPartedAndJoined(const Size& size) -> void {
  Scenario scenario(size, "regions_parted_and_joined");
  auto& fleet = scenario.fleet;
  fleet.members.CutZonesFrom(3);
  fleet.Run(1min);
  fleet.Change();
  const auto change = fleet.RunUntil(kLimit, [&fleet] {
    return fleet.configuration.CountInForce(Generation{3}) ==
           fleet.configuration.CountAlive();
  });
  scenario.Print("time_in_force_parted", Seconds(change), "s");
  fleet.Run(size.parted);
  scenario.PrintViews();
  fleet.members.EndCut();
  fleet.ResetCounts();
  scenario.start = fleet.members.now();
  scenario.MeasureRight();
  fleet.Run(5s);
  const auto before = fleet.lost_target_samples();
  fleet.Run(1min);
  scenario.Print("flaps",
                 static_cast<double>(fleet.lost_target_samples() - before),
                 "samples");
  scenario.Report();
}

struct Case {
  std::string name;
  std::size_t regions;
  void (*run)(const Size& size);
};

auto Cases() -> std::vector<Case> {
  return {{"balancers_restart_all", 1, RunBalancersRestartAll},
          {"agents_restart_all", 1, RunAgentsRestartAll},
          {"platform_empty", 1, RunPlatformEmpty},
          {"zone_lost_and_back", 1, RunZoneLostAndBack},
          {"regions_parted_and_joined", 2, RunRegionsPartedAndJoined}};
}

}  // namespace
}  // namespace hawthornbank::bench

auto main(int argc, char** argv) -> int {
  using namespace hawthornbank::bench;
  const std::string wanted = argc > 1 ? argv[1] : "";
  for (const auto& it : Cases()) {
    for (const auto& size : Sizes(it.regions)) {
      if (wanted.empty() || wanted == it.name ||
          wanted == it.name + size.suffix) {
        it.run(size);
      }
    }
  }
  return ExitCode();
}
