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

/// Number of targets of the simulated service, and each target's slots and
/// maximum number of connections.
inline constexpr std::uint32_t kPlanTargets = 7;
inline constexpr std::uint32_t kPlanSlots = 3;
inline constexpr std::uint32_t kPlanConnections = 200;
/// Slots that one request per second keeps busy: 100 requests per second take
/// 15 of the 21 slots.
inline constexpr double kSlotSeconds = 0.15;
/// Number of open flows for each request per second of demand.
inline constexpr double kFlowsPerRate = 10;

/// Number of balancers, demand and faults of a PlanWorld.
struct PlanWorldOptions {
  std::size_t balancers = 3;
  std::uint64_t seed = 1;
  LocalTime start;
  std::vector<DemandRow> rows;
  /// Real demand, in requests per second, as a function of the time since the
  /// start of the run.
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

/// Simulates, in virtual time, the balancers that execute one service's plan,
/// the platform, and targets whose flows are held by production agents.
class PlanWorld {
 public:
  struct Balancer {
    PlanExecutor executor;
    Random random;
    bool frozen = false;
    /// Delay of the balancer's next configuration write, as if the process
    /// paused between its last check of the lease and the write.
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
  /// A configuration write of the plan executor that the platform accepted.
  struct AcceptedWrite {
    TimePoint when;
    Epoch epoch{};
    /// 1 if the write changed the resting targets, else 0.
    std::size_t changes = 0;
  };

  explicit PlanWorld(PlanWorldOptions options);
  PlanWorld(const PlanWorld&) = delete;
  auto operator=(const PlanWorld&) -> PlanWorld& = delete;

  /// Advances virtual time by a duration and runs all events in it.
  auto RunFor(Duration duration) -> void;
  /// Pauses a balancer and delays its events until ThawBalancer.
  auto FreezeBalancer(std::size_t balancer) -> void;
  auto ThawBalancer(std::size_t balancer) -> void;
  /// Changes the stored configuration as an operator does.
  auto EditStoredConfiguration(const std::function<void(Configuration&)>& edit)
      -> void;
  /// Kills a target, which loses its flows.
  auto CrashTarget(std::size_t target) -> void;

  /// @return Index of the balancer that holds the plan lease, if any.
  [[nodiscard]] auto FindLeaseHolder() const -> std::optional<std::size_t>;
  /// @return Configuration stored on the platform.
  [[nodiscard]] auto DecodeStoredConfiguration() const -> Configuration;
  /// @return Number of targets that currently accept new flows.
  [[nodiscard]] auto CountTargetsAcceptingFlows() const -> std::uint32_t;
  /// @return Sum of a plan counter over all balancers.
  [[nodiscard]] auto SumCounterOverBalancers(
      std::uint64_t PlanCounters::*counter) const -> std::uint64_t;

  VirtualNetwork network;
  std::vector<Balancer> balancers;
  std::array<Target, kPlanTargets> targets;
  std::vector<AcceptedWrite> accepted_writes;
  bool platform_down = false;
  std::uint64_t broken_flows = 0;
  std::uint64_t cut_requests = 0;  ///< Requests in flight on flows that broke.
  /// Number of minutes in which every sample found too few targets.
  std::uint32_t minutes_short_of_capacity = 0;
  Duration longest_time_without_lease_holder{
      0};  ///< Longest time without a lease holder.
  std::uint64_t writes_with_outdated_epoch =
      0;  ///< Accepted writes with an outdated epoch.
  /// Number of times that a target entered or left standby.
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
  auto ReadConfigurationChanges(std::size_t n, const ReadChangesForUpdate& back)
      -> void;
  auto DeliverPlatformAnswer(std::size_t n,
                             std::function<void(PlanActions&)> handle_answer)
      -> void;
  auto StoreConfigurationOnPlatform(const std::string& value) -> void;
  auto ApplyConfigurationToTarget(std::size_t target, const std::string& value)
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
  auto CountCallAndDrawWhetherAnswered() -> bool;

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
