#ifndef HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_FLEET_H_
#define HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_FLEET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/virtual_network.h"
#include "hawthornbank/announcer.h"
#include "hawthornbank/membership.h"

namespace hawthornbank::bench {

/// Size, places and links of a fleet.
struct FleetOptions {
  std::size_t balancers = 3;
  std::size_t agents = 10;
  std::size_t zones = 3;
  std::size_t zones_per_region = 3;
  std::size_t services = 2;
  std::size_t seeds = 3;
  Duration link_delay = std::chrono::milliseconds{4};
  Duration jitter{0};
  double loss = 0;
  bool gossips_only_significant_load = true;
  std::uint32_t budget_bytes_per_second = 3072;
  std::uint64_t seed = 1;
};

/// What one process sent and what its core cost.
struct NodeTraffic {
  std::uint64_t bytes = 0;  ///< With IPv4 and UDP headers.
  std::uint64_t messages = 0;
  std::uint64_t calls = 0;  ///< Of the core, for ticks and messages.
  double core_seconds = 0;  ///< Wall time inside the core.
};

/// Binds membership of some balancers and agents to virtual time.
class MembershipFleet {
 public:
  explicit MembershipFleet(const FleetOptions& options);
  MembershipFleet(const MembershipFleet&) = delete;
  auto operator=(const MembershipFleet&) -> MembershipFleet& = delete;

  auto network() -> VirtualNetwork& { return network_; }
  [[nodiscard]] auto now() const -> TimePoint { return network_.now(); }
  /// Runs the fleet for some time.
  auto Run(Duration duration) -> void;
  /// Runs until a condition holds.
  /// @return How long that took, or the limit.
  auto RunUntil(Duration limit, const std::function<bool()>& condition)
      -> Duration;

  [[nodiscard]] auto balancer(std::size_t n) const -> const Membership&;
  auto agent(std::size_t n) -> Announcer&;
  [[nodiscard]] auto agent_id(std::size_t n) const -> TargetId;
  [[nodiscard]] auto service_of(std::size_t n) const -> ServiceId;
  [[nodiscard]] auto zone_of_balancer(std::size_t n) const -> std::size_t;
  [[nodiscard]] auto zone_of_agent(std::size_t n) const -> std::size_t;
  [[nodiscard]] auto balancer_host(std::size_t n) const -> std::uint64_t;
  [[nodiscard]] auto agent_host(std::size_t n) const -> std::uint64_t;

  auto StartBalancer(std::size_t n) -> void;
  auto StartAgent(std::size_t n) -> void;
  auto KillBalancer(std::size_t n) -> void;
  auto KillAgent(std::size_t n) -> void;
  auto Drain(std::size_t n) -> void;
  auto SetGeneration(std::size_t n, Generation generation) -> void;
  /// Loses every message between hosts of the two groups of zones.
  auto CutZonesFrom(std::size_t first_zone) -> void { cut_ = first_zone; }
  auto EndCut() -> void { cut_ = SIZE_MAX; }
  /// Loses every message from one host to another, not those that go back.
  auto CutOneWay(std::uint64_t from, std::uint64_t to) -> void {
    one_way_cuts_.emplace(from, to);
  }
  auto EndOneWayCuts() -> void { one_way_cuts_.clear(); }
  /// Loses a share of what a host is sent.
  auto Deafen(std::uint64_t host, double loss) -> void { deaf_[host] = loss; }

  /// @return Whether a live balancer gives new flows to a target.
  [[nodiscard]] auto Routes(std::size_t balancer, std::size_t agent) const
      -> bool;
  /// @return Number of live balancers that give new flows to a target.
  [[nodiscard]] auto RoutingCount(std::size_t agent) const -> std::size_t;
  /// @return Whether a balancer's process runs.
  [[nodiscard]] auto IsAlive(std::size_t balancer) const -> bool {
    return balancers_[balancer].alive;
  }
  /// @return Number of the balancer with an endpoint.
  [[nodiscard]] auto IndexOfBalancer(Endpoint peer) const -> std::size_t;
  /// @return Number of targets that a balancer gives new flows to.
  [[nodiscard]] auto RoutableCountAt(std::size_t balancer) const -> std::size_t;
  /// @return Whether every live balancer routes to all live agents.
  [[nodiscard]] auto IsWhole() const -> bool;

  [[nodiscard]] auto events(MembershipEvent event) const -> std::uint64_t {
    return events_[static_cast<std::size_t>(event)];
  }
  [[nodiscard]] auto balancer_traffic(std::size_t n) const
      -> const NodeTraffic& {
    return balancers_[n].traffic;
  }
  [[nodiscard]] auto agent_traffic(std::size_t n) const -> const NodeTraffic& {
    return agents_[n].traffic;
  }
  [[nodiscard]] auto changes() const -> std::uint64_t { return changes_; }
  auto ResetTraffic() -> void;

 private:
  struct BalancerNode {
    std::unique_ptr<Membership> core;
    NodeTraffic traffic;
    std::uint64_t run = 0;
    bool alive = false;
  };
  struct AgentNode {
    std::unique_ptr<Announcer> core;
    NodeTraffic traffic;
    std::uint64_t run = 0;
    bool alive = false;
  };

  auto LinkBetween(std::uint64_t from, std::uint64_t to) const -> Link;
  auto ZoneOfHost(std::uint64_t host) const -> std::size_t;
  auto PerformBalancer(std::size_t n, std::vector<MembershipAction>& actions)
      -> void;
  auto PerformAgent(std::size_t n, std::vector<AnnouncerAction>& actions)
      -> void;
  auto SendToBalancer(std::size_t n, const SendDigest& send) -> void;
  auto TickBalancer(std::size_t n, std::uint64_t run) -> void;
  auto TickAgent(std::size_t n, std::uint64_t run) -> void;

  FleetOptions options_;
  VirtualNetwork network_;
  std::vector<BalancerNode> balancers_;
  std::vector<AgentNode> agents_;
  std::array<std::uint64_t, kMembershipEventCount> events_{};
  std::uint64_t changes_ = 0;
  std::size_t cut_ = SIZE_MAX;
  std::map<std::uint64_t, double> deaf_;
  std::set<std::pair<std::uint64_t, std::uint64_t>> one_way_cuts_;
};

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_FLEET_H_
