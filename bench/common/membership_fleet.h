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

/// Size, zones and links of a fleet.
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

/// Traffic that a process sent, and time that its membership code took.
struct NodeTraffic {
  std::uint64_t bytes = 0;  ///< Bytes sent, with IPv4 and UDP headers.
  std::uint64_t messages = 0;
  /// Number of calls of the membership code: ticks and messages.
  std::uint64_t calls = 0;
  /// Wall time inside the membership code, in seconds.
  double core_seconds = 0;
};

/// Runs the membership of balancers and agents in virtual time.
class MembershipFleet {
 public:
  explicit MembershipFleet(const FleetOptions& options);
  MembershipFleet(const MembershipFleet&) = delete;
  auto operator=(const MembershipFleet&) -> MembershipFleet& = delete;

  auto network() -> VirtualNetwork& { return network_; }
  [[nodiscard]] auto now() const -> TimePoint { return network_.now(); }
  /// Advances virtual time by a duration and runs all events in it.
  auto RunFor(Duration duration) -> void;
  /// Runs until a condition holds or the limit has passed.
  /// @return Elapsed virtual time, which reaches `limit` on a timeout.
  auto RunUntil(Duration limit, const std::function<bool()>& condition)
      -> Duration;

  [[nodiscard]] auto GetBalancer(std::size_t n) const -> const Membership&;
  auto GetAgent(std::size_t n) -> Announcer&;
  [[nodiscard]] auto target_id_of_agent(std::size_t n) const -> TargetId;
  [[nodiscard]] auto service_of_agent(std::size_t n) const -> ServiceId;
  [[nodiscard]] auto zone_of_balancer(std::size_t n) const -> std::size_t;
  [[nodiscard]] auto zone_of_agent(std::size_t n) const -> std::size_t;
  [[nodiscard]] auto balancer_host(std::size_t n) const -> std::uint64_t;
  [[nodiscard]] auto agent_host(std::size_t n) const -> std::uint64_t;

  auto StartBalancer(std::size_t n) -> void;
  auto StartAgent(std::size_t n) -> void;
  auto KillBalancer(std::size_t n) -> void;
  auto KillAgent(std::size_t n) -> void;
  auto DrainAgent(std::size_t n) -> void;
  auto SetGeneration(std::size_t n, Generation generation) -> void;
  /// Partitions the fleet: drops every message between a host in a zone below
  /// `first_zone` and a host in any later zone.
  auto PartitionZonesFrom(std::size_t first_zone) -> void {
    first_zone_beyond_cut_ = first_zone;
  }
  auto EndZonePartition() -> void { first_zone_beyond_cut_ = SIZE_MAX; }
  /// Drops every message from one host to another; messages in the opposite
  /// direction still arrive.
  auto DropMessagesOneWay(std::uint64_t from, std::uint64_t to) -> void {
    one_way_cuts_.emplace(from, to);
  }
  auto EndOneWayDrops() -> void { one_way_cuts_.clear(); }
  /// Drops a random share (0 to 1) of the messages sent to a host.
  auto SetInboundLoss(std::uint64_t host, double loss) -> void {
    inbound_loss_[host] = loss;
  }

  /// @return Whether a balancer is live and routes new flows to an agent's
  ///   target.
  [[nodiscard]] auto DoesBalancerRouteToTarget(std::size_t balancer,
                                               std::size_t agent) const -> bool;
  /// @return Number of live balancers that route new flows to an agent's
  ///   target.
  [[nodiscard]] auto CountBalancersRoutingToTarget(std::size_t agent) const
      -> std::size_t;
  /// @return Whether a balancer's process runs.
  [[nodiscard]] auto IsBalancerLive(std::size_t balancer) const -> bool {
    return balancers_[balancer].alive;
  }
  /// @return Index of the balancer whose membership endpoint is `peer`.
  [[nodiscard]] auto GetBalancerIndex(Endpoint peer) const -> std::size_t;
  /// @return Number of targets that a balancer routes new flows to.
  [[nodiscard]] auto CountRoutableTargets(std::size_t balancer) const
      -> std::size_t;
  /// @return Whether every live balancer routes to as many targets as there are
  ///   live agents.
  [[nodiscard]] auto IsRoutingComplete() const -> bool;

  [[nodiscard]] auto CountEvents(MembershipEvent event) const -> std::uint64_t {
    return events_[static_cast<std::size_t>(event)];
  }
  [[nodiscard]] auto balancer_traffic(std::size_t n) const
      -> const NodeTraffic& {
    return balancers_[n].traffic;
  }
  [[nodiscard]] auto agent_traffic(std::size_t n) const -> const NodeTraffic& {
    return agents_[n].traffic;
  }
  [[nodiscard]] auto membership_changes() const -> std::uint64_t {
    return membership_changes_;
  }
  auto ResetTraffic() -> void;

 private:
  struct BalancerNode {
    std::unique_ptr<Membership> core;
    NodeTraffic traffic;
    /// Number of the current run; ticks of older runs are ignored.
    std::uint64_t run_number = 0;
    bool alive = false;
  };
  struct AgentNode {
    std::unique_ptr<Announcer> core;
    NodeTraffic traffic;
    /// Number of the current run; ticks of older runs are ignored.
    std::uint64_t run_number = 0;
    bool alive = false;
  };

  auto GetLinkBetweenHosts(std::uint64_t from, std::uint64_t to) const -> Link;
  auto GetZoneOfHost(std::uint64_t host) const -> std::size_t;
  auto PerformBalancerActions(std::size_t n,
                              std::vector<MembershipAction>& actions) -> void;
  auto PerformAgentActions(std::size_t n, std::vector<AnnouncerAction>& actions)
      -> void;
  auto SendDigestToBalancer(std::size_t n, const SendDigest& send) -> void;
  auto RunBalancerTick(std::size_t n, std::uint64_t run_number) -> void;
  auto RunAgentTick(std::size_t n, std::uint64_t run_number) -> void;

  FleetOptions options_;
  VirtualNetwork network_;
  std::vector<BalancerNode> balancers_;
  std::vector<AgentNode> agents_;
  std::array<std::uint64_t, kMembershipEventCount> events_{};
  std::uint64_t membership_changes_ = 0;
  /// SIZE_MAX if the fleet is not partitioned.
  std::size_t first_zone_beyond_cut_ = SIZE_MAX;
  std::map<std::uint64_t, double> inbound_loss_;
  std::set<std::pair<std::uint64_t, std::uint64_t>> one_way_cuts_;
};

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_MEMBERSHIP_FLEET_H_
