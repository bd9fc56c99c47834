#ifndef HAWTHORNBANK_BENCH_COMMON_PLAN_WORLD_H_
#define HAWTHORNBANK_BENCH_COMMON_PLAN_WORLD_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/virtual_network.h"
#include "hawthornbank/agent.h"
#include "hawthornbank/plan_executor.h"
#include "hawthornbank/plan_follower.h"

namespace hawthornbank::bench {

/// Size of the service of a PlanWorld: number of targets, slots per target and
/// connections per target.
inline constexpr std::uint32_t kPlanTargets = 7;
inline constexpr std::uint32_t kPlanSlots = 3;
inline constexpr std::uint32_t kPlanConnections = 200;
/// Slots that one request per second keeps busy: 100 requests per second take
/// 15 of the 21 slots.
inline constexpr double kSlotSeconds = 0.15;
/// Number of open flows for each request per second of demand.
inline constexpr double kFlowsPerRate = 10;

/// Settings of a PlanWorld.
struct PlanWorldOptions {
  std::size_t balancers = 3;
  std::uint64_t seed = 1;
  LocalTime start;
  std::vector<DemandRow> rows;
  /// Real demand, in requests per second, by the time since the start.
  std::function<double(std::chrono::minutes)> demand;
  PlanExecutorOptions executor;
  /// Whether targets that enter standby break their flows at once instead of
  /// draining.
  bool stop_at_once = false;
  /// Share of platform calls whose answer is lost.
  double lost_answers = 0.02;
  /// Time after a return from standby until a target counts as capacity.
  Duration cold_time = std::chrono::minutes{3};
};

/// Balancers that execute the plan of one service, a platform, and targets
/// with production agents that hold flows, in virtual time.
class PlanWorld {
 public:
  struct Balancer {
    PlanExecutor executor;
    Random random;
    bool frozen = false;
    /// Delay of the next write, as if the process were paused after its last
    /// check of the lease.
    std::optional<Duration> delay_write;
  };
  struct Target {
    std::string name;
    Agent agent;
    PlanFollower follower;
    bool up = true;
    TimePoint serves_since;
    Generation in_force{};
  };
  /// A write of the plan executor that the platform accepted.
  struct AcceptedWrite {
    TimePoint when;
    Epoch epoch{};
    std::size_t changes = 0;  ///< 1 if the write changed the resting targets.
  };

  explicit PlanWorld(PlanWorldOptions options);
  PlanWorld(const PlanWorld&) = delete;
  auto operator=(const PlanWorld&) -> PlanWorld& = delete;

  /// Runs the world for a duration.
  auto RunFor(Duration duration) -> void;
  /// Pauses a balancer and holds back its events until Thaw.
  auto Freeze(std::size_t balancer) -> void;
  auto Thaw(std::size_t balancer) -> void;
  /// Changes the stored configuration as an operator does.
  auto Edit(const std::function<void(Configuration&)>& edit) -> void;
  /// Kills a target, which loses its flows.
  auto Crash(std::size_t target) -> void;

  /// @return Index of the balancer that holds the plan lease; empty when no
  ///   balancer does.
  [[nodiscard]] auto FindLeaseHolder() const -> std::optional<std::size_t>;
  /// @return Configuration stored on the platform.
  [[nodiscard]] auto Stored() const -> Configuration;
  /// @return Number of targets that currently accept new flows.
  [[nodiscard]] auto Serving() const -> std::uint32_t;
  /// @return The sum of a counter over the balancers.
  [[nodiscard]] auto Sum(std::uint64_t PlanCounters::*counter) const
      -> std::uint64_t;

  VirtualNetwork network;
  std::vector<Balancer> balancers;
  std::array<Target, kPlanTargets> targets;
  std::vector<AcceptedWrite> acts;
  bool platform_down = false;
  std::uint64_t broken_flows = 0;
  std::uint64_t cut_requests = 0;  ///< Requests in flight when flows broke.
  /// Minutes with too few targets in each sample.
  std::uint32_t minutes_short_of_capacity = 0;
  Duration longest_gap{0};       ///< Longest time without a lease holder.
  std::uint64_t older_acts = 0;  ///< Accepted writes with an outdated epoch.
  /// Number of entries to and exits from standby.
  std::uint64_t target_changes = 0;
  std::uint64_t calls = 0;  ///< Number of platform calls.

 private:
  auto RunBalancerTick(std::size_t n) -> void;
  auto PerformPlanActions(std::size_t n, const PlanActions& actions) -> void;
  auto ReadLease(std::size_t n) -> void;
  auto WriteLease(std::size_t n, const LeaseWrite& write) -> void;
  auto ReadStoredConfiguration(std::size_t n) -> void;
  auto StartConfigurationWrite(std::size_t n, const WriteForUpdate& write)
      -> void;
  auto ApplyConfigurationWrite(std::size_t n, const WriteForUpdate& write)
      -> void;
  auto ReadConfigurationHistory(std::size_t n, const ReadChangesForUpdate& back)
      -> void;
  auto DeliverPlatformAnswer(std::size_t n,
                             std::function<void(PlanActions&)> handle_answer)
      -> void;
  auto StoreConfigurationOnPlatform(const std::string& value) -> void;
  auto PutConfigurationInForce(std::size_t target, const std::string& value)
      -> void;
  auto EndAndOpenFlows() -> void;
  auto OpenFlowsUpToCount(double wanted) -> void;
  auto BreakAllFlowsOfTarget(Target& target, std::size_t count) -> void;
  auto RecordTrafficAndEndRandomFlows() -> void;
  auto SampleLeaseHolderAndCapacity() -> void;
  auto MakePlanView(std::size_t n) const -> PlanView;
  auto MakeTargetRecord(const Target& target) const -> TargetRecord;
  auto GetCurrentDemand() const -> double;
  auto GetElapsedMinutes() const -> std::chrono::minutes;
  auto DrawWhetherPlatformAnswers() -> bool;

  PlanWorldOptions options_;
  Configuration in_force_;
  std::vector<StoredConfigurationObject> history_;
  LeaseRecord lease_;
  std::uint64_t lease_version_ = 0;
  std::uint64_t version_ = 0;
  std::uint32_t next_flow_ = 0;
  TimePoint lease_last_held_at_;
  bool was_lease_ever_held_ = false;
  std::uint32_t samples_short_of_capacity_ = 0;
  std::uint32_t samples_ = 0;
  Epoch highest_epoch_{};
};

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_PLAN_WORLD_H_
