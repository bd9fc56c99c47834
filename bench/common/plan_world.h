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

/// What the service of a PlanWorld is like.
inline constexpr std::uint32_t kPlanTargets = 7;
inline constexpr std::uint32_t kPlanSlots = 3;
inline constexpr std::uint32_t kPlanConnections = 200;
/// Slots that one request per second keeps busy: 100 requests per second take
/// 15 of the 21 slots.
inline constexpr double kSlotSeconds = 0.15;
/// Flows that one request per second comes with.
inline constexpr double kFlowsPerRate = 10;

/// How the world is set up.
struct PlanWorldOptions {
  std::size_t balancers = 3;
  std::uint64_t seed = 1;
  LocalTime start;
  std::vector<DemandRow> rows;
  /// Real demand, in requests per second, at a time since the start.
  std::function<double(std::chrono::minutes)> demand;
  PlanExecutorOptions executor;
  /// Targets are ended when they are to rest, instead of drained.
  bool stop_at_once = false;
  double lost_answers = 0.02;  ///< Share of calls without an answer.
  /// After a return, until a target counts as capacity.
  Duration cold_time = std::chrono::minutes{3};
};

/// Balancers that execute the plan of one service, a platform, and targets
/// with real agents that hold flows, in virtual time.
class PlanWorld {
 public:
  struct Balancer {
    PlanExecutor executor;
    Random random;
    bool frozen = false;
    /// Holds the next write back for this long, as if the process had been
    /// paused after its last check.
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
  /// An accepted act.
  struct Act {
    TimePoint when;
    Epoch epoch{};
    std::size_t changes = 0;
  };

  explicit PlanWorld(PlanWorldOptions options);
  PlanWorld(const PlanWorld&) = delete;
  auto operator=(const PlanWorld&) -> PlanWorld& = delete;

  /// Runs for a time.
  auto RunFor(Duration duration) -> void;
  /// Stops a balancer and holds what is meant for it.
  auto Freeze(std::size_t balancer) -> void;
  auto Thaw(std::size_t balancer) -> void;
  /// Changes the stored configuration as an operator does.
  auto Edit(const std::function<void(Configuration&)>& edit) -> void;
  /// Ends a target at once.
  auto Crash(std::size_t target) -> void;

  /// @return The balancer that holds the duty, if one does.
  [[nodiscard]] auto Holder() const -> std::optional<std::size_t>;
  /// @return What is stored.
  [[nodiscard]] auto Stored() const -> Configuration;
  /// @return Targets that take new flows now.
  [[nodiscard]] auto Serving() const -> std::uint32_t;
  /// @return The sum of a counter over the balancers.
  [[nodiscard]] auto Sum(std::uint64_t PlanCounters::*counter) const
      -> std::uint64_t;

  VirtualNetwork network;
  std::vector<Balancer> balancers;
  std::array<Target, kPlanTargets> targets;
  std::vector<Act> acts;
  bool platform_down = false;
  std::uint64_t broken_flows = 0;
  std::uint64_t cut_requests = 0;    ///< In flight on flows that were cut.
  std::uint32_t late_minutes = 0;    ///< Short of targets at each look.
  Duration longest_gap{0};           ///< Without a holder.
  std::uint64_t older_acts = 0;      ///< Accepted with an older epoch.
  std::uint64_t target_changes = 0;  ///< Rests and returns in force.
  std::uint64_t calls = 0;           ///< To the platform.

 private:
  auto TickBalancer(std::size_t n) -> void;
  auto Perform(std::size_t n, const PlanActions& actions) -> void;
  auto ReadLease(std::size_t n) -> void;
  auto WriteLease(std::size_t n, const LeaseWrite& write) -> void;
  auto ReadStored(std::size_t n) -> void;
  auto Write(std::size_t n, const WriteForUpdate& write) -> void;
  auto TakeWrite(std::size_t n, const WriteForUpdate& write) -> void;
  auto ReadBack(std::size_t n, const ReadChangesForUpdate& back) -> void;
  auto Answer(std::size_t n, std::function<void(PlanActions&)> take) -> void;
  auto Store(const std::string& value) -> void;
  auto PutInForce(std::size_t target, const std::string& value) -> void;
  auto TickFlows() -> void;
  auto AddFlows(double wanted) -> void;
  auto CutFlows(Target& target, std::size_t count) -> void;
  auto KeepFlows() -> void;
  auto Look() -> void;
  auto ViewAt(std::size_t n) const -> PlanView;
  auto RecordOf(const Target& target) const -> TargetRecord;
  auto Demand() const -> double;
  auto Elapsed() const -> std::chrono::minutes;
  auto Reached() -> bool;

  PlanWorldOptions options_;
  Configuration in_force_;
  std::vector<StoredConfigurationObject> history_;
  LeaseRecord lease_;
  std::uint64_t lease_version_ = 0;
  std::uint64_t version_ = 0;
  std::uint32_t next_flow_ = 0;
  TimePoint held_at_;
  bool held_ = false;
  std::uint32_t looks_short_ = 0;
  std::uint32_t looks_ = 0;
  Epoch highest_epoch_{};
};

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_PLAN_WORLD_H_
