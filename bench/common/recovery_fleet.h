#ifndef HAWTHORNBANK_BENCH_COMMON_RECOVERY_FLEET_H_
#define HAWTHORNBANK_BENCH_COMMON_RECOVERY_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "common/configuration_fixture.h"
#include "common/membership_fleet.h"

namespace hawthornbank::bench {

/// Processes that run membership and configuration together, over the same
/// links in virtual time. On a balancer, membership tells the configuration
/// store which balancers of the region are live; an agent reads the balancers
/// of its region from its settings.
class RecoveryFleet {
 public:
  explicit RecoveryFleet(const FleetOptions& options);
  RecoveryFleet(const RecoveryFleet&) = delete;
  auto operator=(const RecoveryFleet&) -> RecoveryFleet& = delete;

  MembershipFleet members;
  ConfigurationFixture configuration;

  auto KillBalancer(std::size_t n) -> void;
  auto StartBalancer(std::size_t n) -> void;
  auto KillAgent(std::size_t n) -> void;
  auto StartAgent(std::size_t n) -> void;
  /// Stores the next generation of the configuration on the platform.
  auto StoreNextGeneration() -> void;

  /// Runs the fleet and samples the balancers' membership twice a second.
  auto RunFor(Duration duration) -> void;
  /// Runs until HasRecovered() holds or the limit has passed.
  /// @return Elapsed virtual time, which reaches `limit` on a timeout.
  auto RunUntilRecovered(Duration limit) -> Duration;
  /// Runs until a condition holds or the limit has passed.
  /// @return Elapsed virtual time, which reaches `limit` on a timeout.
  auto RunUntil(Duration limit, const std::function<bool()>& condition)
      -> Duration;
  /// @return Whether every live balancer is ready and routes to all live
  ///   targets, and the newest configuration is in force everywhere.
  [[nodiscard]] auto HasRecovered() const -> bool;
  /// Resets the traffic counts and the counts of errors in the balancers'
  /// views.
  auto ResetTrafficAndErrorCounts() -> void;

  /// @return Mean bytes per second that the busiest process sent since
  ///   ResetTrafficAndErrorCounts().
  [[nodiscard]] auto ComputeMaxBytesPerSecond() const -> double;
  /// @return Number of samples since ResetTrafficAndErrorCounts() in which a
  ///   balancer wrongly declared dead a target that had run for over five
  ///   seconds.
  [[nodiscard]] auto false_death_samples() const -> std::uint64_t {
    return false_death_samples_;
  }
  /// @return Number of samples since ResetTrafficAndErrorCounts() in which a
  ///   ready balancer didn't route to a target that had run for over five
  ///   seconds.
  [[nodiscard]] auto lost_target_samples() const -> std::uint64_t {
    return lost_target_samples_;
  }
  [[nodiscard]] auto options() const -> const FleetOptions& { return options_; }

 private:
  auto SetLiveBalancersAndSampleViews() -> void;
  auto RecordSampleOfBalancerView(std::size_t n,
                                  const std::vector<TargetId>& settled) -> void;
  [[nodiscard]] auto ListTargetsPastSettlingTime() const
      -> std::vector<TargetId>;
  [[nodiscard]] auto GetRegionOfZone(std::size_t zone) const -> std::size_t;
  auto SetLiveBalancersOfAgent(std::size_t n) -> void;
  auto SetLiveBalancersOfAllBalancers() -> void;
  auto SetLiveBalancersOfBalancer(std::size_t n) -> void;

  FleetOptions options_;
  /// Live balancers last passed to each balancer's configuration store.
  std::vector<std::vector<std::size_t>> passed_balancers_;
  /// Start time of each agent; empty for killed agents.
  std::vector<std::optional<TimePoint>> agent_start_times_;
  TimePoint last_sample_time_{};
  std::uint64_t generation_ = 1;
  std::uint64_t lost_target_samples_ = 0;
  std::uint64_t false_death_samples_ = 0;
  TimePoint reset_at_{};
};

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_RECOVERY_FLEET_H_
