#ifndef HAWTHORNBANK_BENCH_COMMON_ROUTING_WORLD_H_
#define HAWTHORNBANK_BENCH_COMMON_ROUTING_WORLD_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

#include "common/virtual_network.h"
#include "hawthornbank/agent.h"
#include "hawthornbank/routing.h"

/// @file
/// Simulation of the balancers and agents of one service in virtual time.
namespace hawthornbank::bench {

/// Method that chooses the target of a packet.
enum class Variant : std::uint8_t {
  kHawthornbank,
  kHashModulo,  ///< Baseline: hash modulo the number of live targets.
  kFlowTable,   ///< Baseline: hash modulo, with a flow table in each balancer.
};

/// @param variant Variant to name.
/// @return Name of the variant in benchmark output.
auto GetVariantName(Variant variant) -> const char*;

/// Routing method, number of hosts and links of a RoutingWorld.
struct WorldOptions {
  Variant variant = Variant::kHawthornbank;
  std::uint32_t balancers = 3;
  std::uint32_t targets = 7;
  std::uint32_t slots = 0;  ///< Slots per target; 0 if slots are ignored.
  std::size_t cache_entries = 65536;
  Link link{.delay = std::chrono::milliseconds{1}};
  /// Share of opening packets sent twice, each through a random balancer.
  double duplicate_openings = 0;
  /// Maximum delay until a host learns of a change of the targets.
  Duration update_spread = std::chrono::seconds{2};
  std::uint64_t seed = 1;
};

/// State of a caller's flow.
struct WorldFlow {
  FlowKey key;
  /// Index of the target that accepted the flow; kNobody before.
  std::uint32_t owner = 0;
  std::uint32_t delivered = 0;
  std::uint32_t resets = 0;
  /// Whether the flow moved to another target or was reset while its target was
  /// live.
  bool broken = false;
  bool target_crashed = false;
  TimePoint opened{};
};

/// One service with its balancers, agents and callers.
class RoutingWorld {
 public:
  static constexpr std::uint32_t kNobody = UINT32_MAX;

  /// Called when the first packet of a flow reaches a target.
  using AcceptHandler =
      std::function<void(std::uint32_t flow, std::uint32_t target)>;

  explicit RoutingWorld(const WorldOptions& options);

  /// Opens a flow; every second flow is TCP.
  /// @return Index of the flow.
  auto OpenFlow() -> std::uint32_t;
  /// Sends the next packet of a flow.
  auto SendNextPacketOfFlow(std::uint32_t flow) -> void;
  /// Ends a flow at its owner, the agent of the flow's target.
  auto EndFlowAtOwner(std::uint32_t flow) -> void;
  /// Schedules one packet of every flow per interval until `end`.
  auto SchedulePacketsOfAllFlows(Duration interval, TimePoint end) -> void;

  /// Adds a balancer that knows the targets and has an empty cache.
  auto AddBalancerWithEmptyCache() -> std::uint32_t;
  /// Removes a balancer from the fabric; its state is lost.
  auto CrashBalancer(std::uint32_t balancer) -> void;
  /// Makes a balancer miss every later update of the targets.
  auto StopUpdatesToBalancer(std::uint32_t balancer) -> void;
  /// Adds a target. Other hosts learn of the target within update_spread.
  auto AddTarget() -> std::uint32_t;
  /// Drains a target. The target's agent refuses new flows; other hosts get no
  /// update.
  auto DrainTarget(std::uint32_t target) -> void;
  /// Shuts down a drained target, whose agent first sends its pointers to their
  /// next homes.
  auto ShutDownDrainedTarget(std::uint32_t target) -> void;
  /// Kills a target. After the detection time, other hosts learn of the death
  /// within update_spread.
  auto CrashTarget(std::uint32_t target, Duration detection) -> void;
  /// Changes a target's weight. Other hosts learn of it within update_spread.
  auto SetTargetWeight(std::uint32_t target, std::uint16_t percent) -> void;

  /// @param target Index of a target.
  /// @return Agent of the target, to set its load or read its counters.
  auto GetAgentOfTarget(std::uint32_t target) -> Agent& {
    return *agents_[target].core;
  }
  auto network() -> VirtualNetwork& { return network_; }
  [[nodiscard]] auto GetOpenedFlows() const -> const std::deque<WorldFlow>& {
    return flows_;
  }
  [[nodiscard]] auto CountAllTargets() const -> std::size_t {
    return agents_.size();
  }
  auto SetFlowAcceptHandler(AcceptHandler handler) -> void {
    accept_handler_ = std::move(handler);
  }

  /// @return Number of flows that moved to another target or were reset while
  ///   their target was live.
  [[nodiscard]] auto CountBrokenFlows() const -> std::uint64_t;
  /// @return Share of delivered packets that one agent forwarded to another.
  [[nodiscard]] auto ComputeExtraHopShare() const -> double;
  /// @return Maximum number of connections of a serving target over the mean
  ///   number.
  [[nodiscard]] auto ComputeConnectionsMaxOverMean() const -> double;
  /// @return Number of flows that a draining target accepted more than `grace`
  ///   after the start of the drain.
  [[nodiscard]] auto CountFlowsOpenedAfterDrainStart(Duration grace) const
      -> std::uint64_t;
  /// @return Number of delivered packets that belong to no flow of this
  ///   service.
  [[nodiscard]] auto CountWrongServiceDeliveries() const -> std::uint64_t {
    return wrong_service_;
  }
  /// Computes the current mean number of connections of the serving targets and
  /// sets it at every agent after a delay.
  /// @param lag Delay until the agents get the mean.
  /// @param factor Ratio of the mean that the agents get to the real mean.
  auto SendMeanConnectionsToAgents(Duration lag, double factor = 1) -> void;

 private:
  struct BalancerHost {
    bool alive = true;
    bool misses_updates = false;
    std::shared_ptr<RoutingTable> table;
    std::unique_ptr<FlowCache> cache;
    std::unique_ptr<Counters> counters;
    std::unordered_map<FlowKey, Endpoint> flow_table;
  };
  struct AgentHost {
    bool alive = true;
    bool is_listed = true;
    std::unique_ptr<Agent> core;
    Candidate candidate;
    TimePoint drain_started = TimePoint::max();
  };
  using Packet = std::shared_ptr<const Bytes>;

  auto SendPacketFromCaller(std::uint32_t flow, const Packet& packet) -> void;
  auto HandlePacketAtBalancer(std::uint32_t balancer, const Packet& packet)
      -> void;
  auto ChooseBaselineAgent(BalancerHost& host, const PacketView& packet)
      -> Endpoint;
  auto HandlePacketAtAgent(std::uint32_t target,
                           const TunnelHeader& header,
                           const Packet& packet) -> void;
  auto PerformAgentActions(std::uint32_t target,
                           const std::vector<AgentAction>& actions,
                           const Packet& packet,
                           const TunnelHeader& header) -> void;
  auto RecordPacketDelivery(std::uint32_t target, const FlowKey& key) -> void;
  auto RecordFlowReset(const FlowKey& key) -> void;
  auto SendTargetListToHosts() -> void;
  auto UpdateRoutingTable(BalancerHost& host, std::vector<Candidate> targets)
      -> void;
  auto UpdateAgentView(std::uint32_t target, std::vector<Candidate> targets)
      -> void;
  auto BuildTargetList() const -> std::vector<Candidate>;
  auto DrawUpdateDelay() -> Duration;
  auto RunTicksOfAllAgents() -> void;

  WorldOptions options_;
  VirtualNetwork network_;
  std::vector<BalancerHost> balancers_;
  std::vector<AgentHost> agents_;
  std::deque<WorldFlow> flows_;
  std::unordered_map<FlowKey, std::uint32_t> flow_index_;
  AcceptHandler accept_handler_;
  std::vector<AgentAction> actions_;
  std::uint64_t deliveries_ = 0;
  std::uint64_t hops_ = 0;
  std::uint64_t wrong_service_ = 0;
};

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_ROUTING_WORLD_H_
