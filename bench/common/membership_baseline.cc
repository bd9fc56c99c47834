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
constexpr double kIpUdpHeaderBytes = 28;
constexpr Duration kHeartbeatInterval = 1s;
/// Sum of two membership timeouts: until watchers suspect a target, and from
/// the suspicion until they declare the target dead.
constexpr Duration kHeartbeatTimeout = 4s;

/// Agents that send heartbeats to every balancer.
class AllToAllFleet {
 public:
  explicit AllToAllFleet(std::uint64_t seed)
      : network_(seed),
        last_heartbeat_(kBalancers * kAgents),
        alive_(kAgents, true) {
    network_.SetLinkRule([](std::uint64_t, std::uint64_t) {
      return Link{.delay = 4ms, .jitter = 100ms, .loss = 0.05};
    });
    for (std::size_t agent = 0; agent < kAgents; ++agent) {
      network_.ScheduleAction(TimePoint{} + agent * 97ms,
                              [this, agent] { SendHeartbeats(agent); });
    }
  }

  auto RunFor(Duration duration) -> void {
    network_.RunUntil(network_.now() + duration);
  }

  auto KillAgent(std::size_t agent) -> void { alive_[agent] = false; }

  [[nodiscard]] auto IsAgentConsideredDead(std::size_t balancer,
                                           std::size_t agent) const -> bool {
    return network_.now() - last_heartbeat_[balancer * kAgents + agent] >
           kHeartbeatTimeout;
  }

  /// @return Number of balancers that consider the agent dead.
  [[nodiscard]] auto CountBalancersConsideringAgentDead(std::size_t agent) const
      -> std::size_t {
    std::size_t count = 0;
    for (std::size_t n = 0; n < kBalancers; ++n) {
      count += IsAgentConsideredDead(n, agent) ? 1 : 0;
    }
    return count;
  }

 private:
  auto SendHeartbeats(std::size_t agent) -> void {
    if (!alive_[agent]) {
      return;
    }
    for (std::size_t n = 0; n < kBalancers; ++n) {
      network_.SendMessage(kBalancers + agent, n, [this, n, agent] {
        last_heartbeat_[n * kAgents + agent] = network_.now();
      });
    }
    network_.ScheduleAction(network_.now() + kHeartbeatInterval,
                            [this, agent] { SendHeartbeats(agent); });
  }

  VirtualNetwork network_;
  std::vector<TimePoint> last_heartbeat_;
  std::vector<bool> alive_;
};

auto PrintBaselineFigure(const std::string& name,
                         const std::string& figure,
                         double value,
                         const std::string& unit) -> void {
  PrintRow(Row{.bench = "membership",
               .name = name,
               .variant = "baseline_all_to_all",
               .figure = figure,
               .value = value,
               .unit = unit,
               .seed = 1});
}

auto MeasureWorstCrashDetectionTime() -> double {
  constexpr std::uint64_t kSeeds = 30;
  double worst = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    AllToAllFleet fleet(seed);
    fleet.RunFor(20s);
    fleet.KillAgent(4);
    double seconds = 0;
    while (fleet.CountBalancersConsideringAgentDead(4) < kBalancers &&
           seconds < 60) {
      fleet.RunFor(10ms);
      seconds += 0.01;
    }
    worst = std::max(worst, seconds);
  }
  return worst;
}

/// Counts how often balancers declare a live agent dead within an hour.
auto CountFalseDeathsInOneHour() -> double {
  AllToAllFleet fleet(1);
  fleet.RunFor(20s);
  std::vector<bool> dead(kBalancers * kAgents, false);
  double deaths = 0;
  for (int n = 0; n < 36000; ++n) {
    fleet.RunFor(100ms);
    for (std::size_t it = 0; it < dead.size(); ++it) {
      const bool now = fleet.IsAgentConsideredDead(it / kAgents, it % kAgents);
      deaths += now && !dead[it] ? 1 : 0;
      dead[it] = now;
    }
  }
  return deaths;
}

}  // namespace

auto PrintAllToAllBaseline() -> void {
  const Announcement announcement{
      .target = TargetRecord{.name = "target-1",
                             .zone = "zone-1",
                             .incarnation = Incarnation{1},
                             .sequence = 1000,
                             .load = TargetLoad{.connections = 2000}}};
  const double size =
      static_cast<double>(ComputeEncodedSize(announcement)) + kIpUdpHeaderBytes;
  PrintBaselineFigure("crash", "time_to_stop_new_work",
                      MeasureWorstCrashDetectionTime(), "s");
  PrintBaselineFigure("steady", "false_deaths", CountFalseDeathsInOneHour(),
                      "targets");
  PrintBaselineFigure("steady", "bytes_per_second", size * kBalancers, "B/s");
  PrintBaselineFigure("steady", "bytes_per_second_full_size",
                      size * kFullBalancers, "B/s");
}

}  // namespace hawthornbank::bench
