#ifndef HAWTHORNBANK_PLAN_EXECUTOR_H_
#define HAWTHORNBANK_PLAN_EXECUTOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hawthornbank/configuration.h"
#include "hawthornbank/configuration_update.h"
#include "hawthornbank/error.h"
#include "hawthornbank/lease.h"
#include "hawthornbank/membership_messages.h"
#include "hawthornbank/plan.h"
#include "hawthornbank/random.h"
#include "hawthornbank/types.h"

/// @file
/// Executes the daily plan: decides which targets rest and which return to
/// service. A resting target is in standby: it keeps its flows and takes no new
/// flows.
///
/// Runs on every balancer; only the holder of the lease "plan" changes the
/// configuration. Each plan update is one conditional update of the
/// configuration's list of resting targets and carries the lease's epoch. A new
/// holder writes its epoch first, so that an update of an earlier holder that
/// is still in flight fails its version check. Targets return immediately, but
/// rest only in small steps after a surplus that has lasted. Drains that
/// operators ordered are never changed.
namespace hawthornbank {

/// Name of the lease that the executing balancer holds.
inline constexpr const char* kPlanLease = "plan";

/// Author of the configuration updates that the plan executor writes.
inline constexpr const char* kPlanAuthor = "plan";

/// Settings of the plan executor.
struct PlanExecutorOptions {
  std::string self;  ///< Name of the process, unique to each start.
  PlanOptions plan;
  LeaseTimes lease;
  Duration tick_interval = std::chrono::seconds{5};
  /// The executor begins no plan update this long after its start, because not
  /// all targets have announced themselves yet.
  Duration start_delay = std::chrono::seconds{15};
  /// A returned target that still announces itself as draining counts as
  /// serving this long, while its new state propagates.
  Duration settle_time = std::chrono::seconds{15};
  /// Minimum duration of a surplus before targets rest.
  Duration surplus_hold = std::chrono::minutes{5};
  /// No target of a service rests this long after the service was short of
  /// targets.
  Duration shortage_hold = std::chrono::minutes{30};
  /// Minimum time between two updates that rest targets, because each creates
  /// a generation that all balancers announce to each other.
  Duration rest_interval = std::chrono::minutes{5};
  /// Maximum share of the serving targets that one update rests, in percent;
  /// at least one target.
  std::uint32_t rest_step_percent = 25;
  /// Added to the current load, on top of the headroom, to decide whether
  /// targets return; covers a rise missing from the plan and cold targets.
  std::uint32_t return_margin_percent = 25;
  /// Added to the current load, on top of the headroom, to decide whether
  /// targets rest; exceeds return_margin_percent, so that resting targets don't
  /// return right afterwards.
  std::uint32_t rest_margin_percent = 50;
};

/// Inputs of a decision, as one balancer sees them.
struct PlanView {
  LocalTime local;
  /// Local time one warm-up after `local` by the rules of the time zone: the
  /// next rise comes earlier if daylight saving time skips an hour.
  LocalTime local_after_warm_up;
  bool is_membership_ready = false;  ///< Whether the membership is complete.
  /// Whether this balancer competes for the lease.
  bool is_lease_candidate = false;
  std::vector<TargetRecord> targets;  ///< Targets of all services.
};

/// Event: a plan update was accepted.
struct PlanUpdateAccepted {
  Epoch epoch{};
  std::vector<std::string> rested;
  std::vector<std::string> returned;
  std::string value;  ///< Accepted configuration, as JSON.
};

/// Event: a plan update was abandoned.
struct PlanUpdateAbandoned {
  ErrorKind reason = ErrorKind::kFenced;
};

using PlanAction = std::variant<LeaseRead,
                                LeaseWrite,
                                LeaseAcquired,
                                LeaseLost,
                                ReadForUpdate,
                                WriteForUpdate,
                                ReadChangesForUpdate,
                                PlanUpdateAccepted,
                                PlanUpdateAbandoned>;
using PlanActions = std::vector<PlanAction>;

/// Counts of plan updates and of the reasons for which updates failed.
struct PlanCounters {
  std::uint64_t acts = 0;            ///< Accepted plan updates.
  std::uint64_t rested = 0;          ///< Targets that were ordered to rest.
  std::uint64_t returned = 0;        ///< Targets that were ordered to return.
  std::uint64_t refused_fenced = 0;  ///< A later holder wrote a higher epoch.
  std::uint64_t lease_losses = 0;    ///< Abandoned because the lease was lost.
  std::uint64_t conflicts = 0;       ///< Another change was written first.
  std::uint64_t unknown = 0;         ///< Outcome could not be read back.
  std::uint64_t platform_failures = 0;  ///< Reads that were not answered.
  std::uint64_t malformed = 0;          ///< Stored value can't be decoded.
};

/// Names of the targets that an update orders to rest and to return.
struct PlanChange {
  std::vector<std::string> targets_to_rest;
  std::vector<std::string> targets_to_return;

  auto operator==(const PlanChange&) const -> bool = default;
};

/// Period in which a service has had more targets than it needs.
struct PlanSurplus {
  TimePoint since;
  std::uint32_t smallest = 0;  ///< Minimum surplus since then, in targets.
};

/// Plan update whose outcome is not known yet.
struct PlanUpdateInProgress {
  Epoch epoch{};
  Epoch stored_epoch{};  ///< Epoch of the stored configuration.
  PlanChange change;
  /// Set once the read of the stored configuration is answered.
  std::optional<ConfigurationUpdate> update;
};

/// State of the plan executor of one balancer.
struct PlanExecutor {
  PlanExecutorOptions options;
  Lease lease;
  std::optional<PlanUpdateInProgress> update_in_progress;
  std::map<ServiceId, PlanSurplus> surplus;
  /// Time at which each service was last short of targets.
  std::map<ServiceId, TimePoint> last_shortage;
  /// Return times by target name, kept for the settle time.
  std::map<std::string, TimePoint> recent_returns;
  TimePoint started;
  TimePoint next_tick;
  TimePoint next_rest_at;
  std::uint64_t operations = 0;
  PlanCounters counters;
};

/// Answer to a ReadForUpdate.
struct PlanReadAnswer {
  bool was_answered = false;  ///< Whether the platform answered.
  std::optional<StoredConfigurationObject> object;
};

/// Creates the state of a balancer that doesn't hold the lease.
/// @param options Settings of the executor.
/// @param now Current time.
/// @param random Random number generator; adds jitter to the first call.
/// @return Executor state.
auto MakePlanExecutor(PlanExecutorOptions options,
                      TimePoint now,
                      Random& random) -> PlanExecutor;

/// Renews or competes for the lease and begins a plan update if one is needed.
/// @param executor Executor state.
/// @param in_force Configuration in force on this balancer.
/// @param view Inputs of the decision.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions Actions are appended to it.
auto OnPlanTick(PlanExecutor& executor,
                const Configuration& in_force,
                const PlanView& view,
                TimePoint now,
                Random& random,
                PlanActions& actions) -> void;

/// Handles the answer to a LeaseRead.
/// @param executor Executor state.
/// @param seen Answer of the platform.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions Actions are appended to it.
auto OnPlanLeaseReadAnswered(PlanExecutor& executor,
                             const LeaseReadAnswer& seen,
                             TimePoint now,
                             Random& random,
                             PlanActions& actions) -> void;

/// Handles the answer to a LeaseWrite.
/// @param executor Executor state.
/// @param answer Outcome of the write.
/// @param version New version of the object, if the write was accepted.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions Actions are appended to it.
auto OnPlanLeaseWriteAnswered(PlanExecutor& executor,
                              LeaseWriteOutcome answer,
                              std::uint64_t version,
                              TimePoint now,
                              Random& random,
                              PlanActions& actions) -> void;

/// Handles the answer to a ReadForUpdate and decides again, from the stored
/// configuration.
/// @param executor Executor state.
/// @param stored Answer of the platform.
/// @param view Current inputs of the decision.
/// @param now Current time, read from the clock for this write.
/// @param actions Actions are appended to it.
auto OnPlanReadAnswered(PlanExecutor& executor,
                        const PlanReadAnswer& stored,
                        const PlanView& view,
                        TimePoint now,
                        PlanActions& actions) -> void;

/// Handles the answer to a WriteForUpdate.
/// @param executor Executor state.
/// @param answer Outcome of the write.
/// @param now Current time.
/// @param actions Actions are appended to it.
auto OnPlanWriteAnswered(PlanExecutor& executor,
                         UpdateWriteAnswer answer,
                         TimePoint now,
                         PlanActions& actions) -> void;

/// Handles the answer to a ReadChangesForUpdate.
/// @param executor Executor state.
/// @param history Changes that the platform returned.
/// @param now Current time.
/// @param actions Actions are appended to it.
auto OnPlanReadBackAnswered(PlanExecutor& executor,
                            const UpdateReadBackAnswer& history,
                            TimePoint now,
                            PlanActions& actions) -> void;

/// Decides which targets rest and which return. Drained targets are not chosen
/// for either; a resting target that an operator drains is removed from the
/// plan's list of resting targets.
/// @param executor Executor state: settings, surpluses and shortages.
/// @param configuration Services, demand, draining and resting targets.
/// @param view Inputs of the decision.
/// @param now Current time.
/// @return The change; empty if no target has to rest or return.
auto DecidePlanChange(const PlanExecutor& executor,
                      const Configuration& configuration,
                      const PlanView& view,
                      TimePoint now) -> PlanChange;

/// @param executor Executor state.
/// @param now Current time.
/// @return Whether this balancer holds the lease "plan".
auto HoldsPlanLease(const PlanExecutor& executor, TimePoint now) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PLAN_EXECUTOR_H_
