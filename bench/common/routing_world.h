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
/// Balancers and agents of one service over links in virtual time.
namespace hawthornbank::bench {

/// How packets find their target.
enum class Variant : std::uint8_t {
  kHawthornbank,
  kHashModulo,  ///< Baseline: hash modulo the number of live targets.
  kFlowTable,   ///< Baseline: modulo, with one flow table per balancer.
};

/// @param variant Any variant.
/// @return Its name in benchmark output.
auto VariantName(Variant variant) -> const char*;

/// Size and links of a world.
struct WorldOptions {
  Variant variant = Variant::kHawthornbank;
  std::uint32_t balancers = 3;
  std::uint32_t targets = 7;
  std::uint32_t slots = 0;  ///< 0: slots don't matter.
  std::size_t cache_entries = 65536;
  Link link{.delay = std::chrono::milliseconds{1}};
  double duplicate_openings = 0;  ///< Share sent by two balancers.
  Duration update_spread = std::chrono::seconds{2};
  std::uint64_t seed = 1;
};

/// What became of a caller's flow.
struct WorldFlow {
  FlowKey key;
  std::uint32_t owner = 0;  ///< Index of the target; kNobody before.
  std::uint32_t delivered = 0;
  std::uint32_t resets = 0;
  bool broken = false;  ///< Moved or reset while its target lived.
  bool target_crashed = false;
  TimePoint opened{};
};

/// One service with its balancers, agents and callers.
class RoutingWorld {
 public:
  static constexpr std::uint32_t kNobody = UINT32_MAX;

  /// Called when a target accepts its first packet of a flow.
  using AcceptHandler =
      std::function<void(std::uint32_t flow, std::uint32_t target)>;

  explicit RoutingWorld(const WorldOptions& options);

  /// Opens a flow; half of them are TCP.
  /// @return Its index.
  auto OpenFlow() -> std::uint32_t;
  /// Sends one more packet of a flow.
  auto SendPacket(std::uint32_t flow) -> void;
  /// Ends a flow at its owner, as its target would.
  auto CloseFlow(std::uint32_t flow) -> void;
  /// Sends packets of every open flow at an interval until an instant.
  auto KeepTalking(Duration interval, TimePoint end) -> void;

  /// Adds a balancer that knows the targets and has an empty cache.
  auto AddBalancer() -> std::uint32_t;
  /// Removes a balancer from the fabric; what it holds is lost.
  auto CrashBalancer(std::uint32_t balancer) -> void;
  /// Lets a balancer miss every update from now on.
  auto DeafenBalancer(std::uint32_t balancer) -> void;
  /// Adds a target; the news spread over update_spread.
  auto AddTarget() -> std::uint32_t;
  /// Tells a target to leave and spreads nothing: it refuses by itself.
  auto DrainTarget(std::uint32_t target) -> void;
  /// Stops a drained target as planned, which hands its pointers over.
  auto RemoveTarget(std::uint32_t target) -> void;
  /// Kills a target; the news spread after a detection time.
  auto CrashTarget(std::uint32_t target, Duration detection) -> void;
  /// Changes a target's weight.
  auto SetWeight(std::uint32_t target, std::uint16_t percent) -> void;

  /// @param target Index of a target.
  /// @return Its agent, to set its load or read its counters.
  auto agent(std::uint32_t target) -> Agent& { return *agents_[target].core; }
  auto network() -> VirtualNetwork& { return network_; }
  [[nodiscard]] auto flows() const -> const std::deque<WorldFlow>& {
    return flows_;
  }
  [[nodiscard]] auto target_count() const -> std::size_t {
    return agents_.size();
  }
  auto SetAcceptHandler(AcceptHandler handler) -> void {
    accept_handler_ = std::move(handler);
  }

  /// @return Flows that moved or were reset while their target lived.
  [[nodiscard]] auto BrokenFlows() const -> std::uint64_t;
  /// @return Share of deliveries that needed a hop between agents.
  [[nodiscard]] auto ExtraHopShare() const -> double;
  /// @return Largest number of connections of a serving target over the mean.
  [[nodiscard]] auto ConnectionsMaxOverMean() const -> double;
  /// @return Flows a target accepted in the time given after its drain began.
  [[nodiscard]] auto AcceptedAfterDrain(Duration grace) const -> std::uint64_t;
  /// @return Deliveries to an agent of another service.
  [[nodiscard]] auto WrongService() const -> std::uint64_t {
    return wrong_service_;
  }
  /// Copies mean connections, as of the call, to every agent after a lag.
  /// @param lag Age of the report on arrival.
  /// @param factor By which the report is wrong.
  auto SpreadMeanConnections(Duration lag, double factor = 1) -> void;

 private:
  struct BalancerHost {
    bool alive = true;
    bool deaf = false;
    std::shared_ptr<RoutingTable> table;
    std::unique_ptr<FlowCache> cache;
    std::unique_ptr<Counters> counters;
    std::unordered_map<FlowKey, Endpoint> flow_table;
  };
  struct AgentHost {
    bool alive = true;
    bool listed = true;
    std::unique_ptr<Agent> core;
    Candidate candidate;
    TimePoint drain_started = TimePoint::max();
  };
  using Packet = std::shared_ptr<const Bytes>;

  auto SendFromCaller(std::uint32_t flow, const Packet& packet) -> void;
  auto HandleAtBalancer(std::uint32_t balancer, const Packet& packet) -> void;
  auto RouteBaseline(BalancerHost& host, const PacketView& packet) -> Endpoint;
  auto HandleAtAgent(std::uint32_t target,
                     const TunnelHeader& header,
                     const Packet& packet) -> void;
  auto Perform(std::uint32_t target,
               const std::vector<AgentAction>& actions,
               const Packet& packet,
               const TunnelHeader& header) -> void;
  auto Deliver(std::uint32_t target, const FlowKey& key) -> void;
  auto Reset(const FlowKey& key) -> void;
  auto SpreadTargets() -> void;
  auto UpdateBalancer(BalancerHost& host, std::vector<Candidate> targets)
      -> void;
  auto UpdateAgent(std::uint32_t target, std::vector<Candidate> targets)
      -> void;
  auto Listed() const -> std::vector<Candidate>;
  auto RandomDelay() -> Duration;
  auto TickAgents() -> void;

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
