#include "common/membership_baseline.h"

#include <algorithm>
#include <string>
#include <vector>

#include "common/report.h"
#include "common/virtual_network.h"
#include "hawthornbank/membership_messages.h"

namespace hawthornbank::bench {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr std::size_t kBalancers = 3;
constexpr std::size_t kAgents = 10;
constexpr std::size_t kFullBalancers = 470;
constexpr double kOverhead = 28;
constexpr Duration kInterval = 1s;
/// As long as the watchers' suspicion and death together.
constexpr Duration kTimeout = 4s;

/// Heartbeats of all agents to all balancers.
class AllToAll {
 public:
  explicit AllToAll(std::uint64_t seed)
      : network_(seed), heard_(kBalancers * kAgents), alive_(kAgents, true) {
    network_.SetLinkRule([](std::uint64_t, std::uint64_t) {
      return Link{.delay = 4ms, .jitter = 100ms, .loss = 0.05};
    });
    for (std::size_t agent = 0; agent < kAgents; ++agent) {
      network_.At(TimePoint{} + agent * 97ms, [this, agent] { Beat(agent); });
    }
  }

  auto Run(Duration duration) -> void {
    network_.RunUntil(network_.now() + duration);
  }

  auto Kill(std::size_t agent) -> void { alive_[agent] = false; }

  [[nodiscard]] auto IsDead(std::size_t balancer, std::size_t agent) const
      -> bool {
    return network_.now() - heard_[balancer * kAgents + agent] > kTimeout;
  }

  /// @return Balancers that hold the agent for dead.
  [[nodiscard]] auto DeadCount(std::size_t agent) const -> std::size_t {
    std::size_t count = 0;
    for (std::size_t n = 0; n < kBalancers; ++n) {
      count += IsDead(n, agent) ? 1 : 0;
    }
    return count;
  }

 private:
  auto Beat(std::size_t agent) -> void {
    if (!alive_[agent]) {
      return;
    }
    for (std::size_t n = 0; n < kBalancers; ++n) {
      network_.Send(kBalancers + agent, n, [this, n, agent] {
        heard_[n * kAgents + agent] = network_.now();
      });
    }
    network_.At(network_.now() + kInterval, [this, agent] { Beat(agent); });
  }

  VirtualNetwork network_;
  std::vector<TimePoint> heard_;
  std::vector<bool> alive_;
};

auto PrintRow(const std::string& name,
              const std::string& figure,
              double value,
              const std::string& unit) -> void {
  Print(Row{.bench = "membership",
            .name = name,
            .variant = "baseline_all_to_all",
            .figure = figure,
            .value = value,
            .unit = unit,
            .seed = 1});
}

auto WorstTimeToStop() -> double {
  constexpr std::uint64_t kSeeds = 30;
  double worst = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    AllToAll fleet(seed);
    fleet.Run(20s);
    fleet.Kill(4);
    double seconds = 0;
    while (fleet.DeadCount(4) < kBalancers && seconds < 60) {
      fleet.Run(10ms);
      seconds += 0.01;
    }
    worst = std::max(worst, seconds);
  }
  return worst;
}

/// Deaths of live agents in an hour, each counted as it begins.
auto FalseDeaths() -> double {
  AllToAll fleet(1);
  fleet.Run(20s);
  std::vector<bool> dead(kBalancers * kAgents, false);
  double deaths = 0;
  for (int n = 0; n < 36000; ++n) {
    fleet.Run(100ms);
    for (std::size_t it = 0; it < dead.size(); ++it) {
      const bool now = fleet.IsDead(it / kAgents, it % kAgents);
      deaths += now && !dead[it] ? 1 : 0;
      dead[it] = now;
    }
  }
  return deaths;
}

}  // namespace

auto PrintAllToAll() -> void {
  const Announcement announcement{
      .target = TargetRecord{.name = "target-1",
                             .zone = "zone-1",
                             .incarnation = Incarnation{1},
                             .sequence = 1000,
                             .load = TargetLoad{.connections = 2000}}};
  const double size =
      static_cast<double>(ComputeEncodedSize(announcement)) + kOverhead;
  PrintRow("crash", "time_to_stop_new_work", WorstTimeToStop(), "s");
  PrintRow("steady", "false_deaths", FalseDeaths(), "targets");
  PrintRow("steady", "bytes_per_second", size * kBalancers, "B/s");
  PrintRow("steady", "bytes_per_second_full_size", size * kFullBalancers,
           "B/s");
}

}  // namespace hawthornbank::bench
