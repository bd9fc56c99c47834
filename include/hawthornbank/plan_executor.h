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
/// configuration's list of resting targets and carries the lease's epoch. The
/// first update of a new holder writes the new epoch even if no target rests or
/// returns, so that an update of an earlier holder that is still in flight
/// fails the platform's version check. Targets return immediately, but rest
/// only in small steps after a lasting surplus. Drains that operators ordered
/// are never changed.
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
  /// Time after the executor's start during which no plan update begins,
  /// because not all targets have announced themselves yet.
  Duration start_delay = std::chrono::seconds{15};
  /// Time for which a target that was ordered to return counts as serving even
  /// if it still announces itself as draining.
  Duration settle_time = std::chrono::seconds{15};
  /// Minimum duration of a surplus before targets rest.
  Duration surplus_hold = std::chrono::minutes{5};
  /// Time after a service was last short of targets during which none of its
  /// targets is ordered to rest.
  Duration shortage_hold = std::chrono::minutes{30};
  /// Minimum time between two updates that order targets to rest, because each
  /// update creates a generation that all balancers announce to each other.
  Duration rest_interval = std::chrono::minutes{5};
  /// Maximum share of a service's serving targets, in percent, that one update
  /// orders to rest. One target may rest even if that exceeds the share.
  std::uint32_t rest_step_percent = 25;
  /// Percentage added to the current load, on top of the headroom, when
  /// deciding whether resting targets serve again; covers cold targets and a
  /// rise of demand that the plan doesn't state.
  std::uint32_t return_margin_percent = 25;
  /// Percentage added to the current load, on top of the headroom, when
  /// deciding whether targets rest; exceeds return_margin_percent, so that
  /// targets aren't ordered to serve right after they were ordered to rest.
  std::uint32_t rest_margin_percent = 50;
};

/// Inputs of a plan decision, as known to one balancer.
struct PlanView {
  LocalTime local_time;  ///< Current local time.
  /// Local time one warm-up after `local_time`, by the rules of the time zone.
  /// If daylight saving time skips an hour, the next rise of demand comes
  /// earlier.
  LocalTime local_after_warm_up;
  /// Whether this balancer knows enough targets to decide.
  bool is_membership_ready = false;
  /// Whether this balancer competes for the lease.
  bool is_lease_candidate = false;
  std::vector<TargetRecord> targets;  ///< Known targets of all services.
};

/// Event: a plan update was accepted.
struct PlanUpdateAccepted {
  Epoch epoch{};
  std::vector<std::string> rested;
  std::vector<std::string> returned;
  std::string value;  ///< Accepted configuration, as JSON.
};

/// Event: a plan update was abandoned. The loss of the lease causes no such
/// event.
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

/// Counts of accepted plan updates and, by reason, of abandoned updates.
struct PlanCounters {
  std::uint64_t acts = 0;            ///< Accepted plan updates.
  std::uint64_t rested = 0;          ///< Targets that were ordered to rest.
  std::uint64_t returned = 0;        ///< Targets that were ordered to return.
  std::uint64_t refused_fenced = 0;  ///< The stored plan epoch was higher.
  std::uint64_t lease_losses = 0;    ///< The lease was lost during the update.
  std::uint64_t conflicts = 0;       ///< Another change was written first.
  std::uint64_t unknown = 0;  ///< Whether the write took effect is not known.
  std::uint64_t platform_failures = 0;  ///< The read was not answered.
  std::uint64_t malformed = 0;          ///< The stored value can't be decoded.
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
  std::uint32_t smallest = 0;  ///< Minimum since `since`, in targets.
};

/// Plan update whose outcome is not known yet.
struct PlanUpdateInProgress {
  Epoch epoch{};
  Epoch stored_epoch{};  ///< Plan epoch of the stored configuration.
  PlanChange change;
  /// Set after the stored configuration has been read.
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
  /// Times at which targets were ordered to return, by target name; erased
  /// after `settle_time`.
  std::map<std::string, TimePoint> recent_returns;
  TimePoint started;
  TimePoint next_tick;
  TimePoint next_rest_at;
  std::uint64_t operations = 0;
  PlanCounters counters;
};

/// Answer of the platform to a ReadForUpdate.
struct PlanReadAnswer {
  bool was_answered = false;  ///< Whether the platform answered.
  /// Empty if the platform has no configuration or didn't answer.
  std::optional<StoredConfigurationObject> object;
};

/// Creates the state of a balancer that doesn't hold the lease.
/// @param options Settings of the executor.
/// @param now Current time.
/// @param random Random number generator; adds jitter to the first lease call.
/// @return Executor state.
auto MakePlanExecutor(PlanExecutorOptions options,
                      TimePoint now,
                      Random& random) -> PlanExecutor;

/// Renews or competes for the lease. Every `tick_interval`, unless a plan
/// update is in progress, also updates surpluses and shortages and, if this
/// balancer holds the lease, begins a plan update if one is needed.
/// @param executor Executor state.
/// @param in_force Configuration in force on this balancer.
/// @param view Inputs of the decision.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions List to which the actions are appended.
auto OnPlanTick(PlanExecutor& executor,
                const Configuration& in_force,
                const PlanView& view,
                TimePoint now,
                Random& random,
                PlanActions& actions) -> void;

/// Handles the answer to a LeaseRead.
/// @param executor Executor state.
/// @param answer Answer of the platform.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions List to which the actions are appended.
auto OnPlanLeaseReadAnswered(PlanExecutor& executor,
                             const LeaseReadAnswer& answer,
                             TimePoint now,
                             Random& random,
                             PlanActions& actions) -> void;

/// Handles the answer to a LeaseWrite.
/// @param executor Executor state.
/// @param answer Outcome of the write.
/// @param version New version of the object, if the write was accepted.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions List to which the actions are appended.
auto OnPlanLeaseWriteAnswered(PlanExecutor& executor,
                              LeaseWriteOutcome answer,
                              std::uint64_t version,
                              TimePoint now,
                              Random& random,
                              PlanActions& actions) -> void;

/// Handles the answer to a ReadForUpdate: decides again, from the stored
/// configuration, and requests the write unless the update is no longer needed
/// or the lease was lost.
/// @param executor Executor state.
/// @param answer Answer of the platform.
/// @param view Current inputs of the decision.
/// @param now Current time, read from the clock right before this call.
/// @param actions List to which the actions are appended.
auto OnPlanReadAnswered(PlanExecutor& executor,
                        const PlanReadAnswer& answer,
                        const PlanView& view,
                        TimePoint now,
                        PlanActions& actions) -> void;

/// Handles the answer to a WriteForUpdate.
/// @param executor Executor state.
/// @param answer Outcome of the write.
/// @param now Current time.
/// @param actions List to which the actions are appended.
auto OnPlanWriteAnswered(PlanExecutor& executor,
                         UpdateWriteAnswer answer,
                         TimePoint now,
                         PlanActions& actions) -> void;

/// Handles the answer to a ReadChangesForUpdate.
/// @param executor Executor state.
/// @param answer Answer of the platform, with the changes.
/// @param now Current time.
/// @param actions List to which the actions are appended.
auto OnPlanReadChangesAnswered(PlanExecutor& executor,
                               const ReadChangesAnswer& answer,
                               TimePoint now,
                               PlanActions& actions) -> void;

/// Decides which targets rest and which return. Targets that an operator
/// drained are not chosen to rest or return, but are removed from the plan's
/// list of resting targets. An incomplete membership causes no change.
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
