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
/// Executes the daily plan: decides which targets rest and which return.
///
/// Runs at every balancer; the holder of the lease "plan" acts. An act is one
/// conditional update of the configuration's list of resting targets and
/// carries the lease's epoch. A new holder writes its epoch before anything
/// else, so that an act of an earlier holder that is still on its way loses
/// the condition of its update. Targets return at once, and rest only in small
/// steps after a surplus that lasted. Operators' own drains are never changed.
namespace hawthornbank {

/// Name of the lease of the duty.
inline constexpr const char* kPlanLease = "plan";

/// Author of the configuration updates that execute the plan.
inline constexpr const char* kPlanAuthor = "plan";

/// How the plan is executed.
struct PlanExecutorOptions {
  std::string self;  ///< Unique to this start of this process.
  PlanOptions plan;
  LeaseTimes lease;
  Duration tick_interval = std::chrono::seconds{5};
  /// After the start, while targets have not all announced themselves.
  Duration start_delay = std::chrono::seconds{15};
  /// After a return, while the target's new state spreads.
  Duration settle_time = std::chrono::seconds{15};
  /// How long a surplus lasts before targets rest.
  Duration surplus_hold = std::chrono::minutes{5};
  /// After a service was short of targets, before any of it rest.
  Duration shortage_hold = std::chrono::minutes{30};
  /// Between two acts that rest targets; each is a generation that all
  /// balancers tell each other of.
  Duration rest_interval = std::chrono::minutes{5};
  std::uint32_t rest_step_percent = 25;  ///< Of the serving; one at least.
  /// On top of the headroom, present load counts this much more: when targets
  /// are to return, for a rise that nobody stated and for cold targets,
  std::uint32_t return_margin_percent = 25;
  /// and when they are to rest, so that they don't return right after.
  std::uint32_t rest_margin_percent = 50;
};

/// What a balancer sees when it decides.
struct PlanView {
  LocalTime local;
  /// Local time one warm-up later, by the time zone's own rules: an hour that
  /// daylight saving leaves out brings the next rise nearer.
  LocalTime local_ahead;
  bool ready = false;      ///< Membership is complete.
  bool candidate = false;  ///< This balancer is to compete for the lease.
  std::vector<TargetRecord> targets;  ///< Of all services.
};

/// An act took effect.
struct PlanActed {
  Epoch epoch{};
  std::vector<std::string> rested;
  std::vector<std::string> returned;
  std::string value;  ///< The accepted configuration, as JSON.
};

/// An act was given up.
struct PlanRefused {
  ErrorKind reason = ErrorKind::kFenced;
};

using PlanAction = std::variant<LeaseRead,
                                LeaseWrite,
                                LeaseGained,
                                LeaseLost,
                                UpdateRead,
                                UpdateWrite,
                                UpdateReadBack,
                                PlanActed,
                                PlanRefused>;
using PlanActions = std::vector<PlanAction>;

/// Counts of acts and of their refusals.
struct PlanCounters {
  std::uint64_t acts = 0;
  std::uint64_t rested = 0;
  std::uint64_t returned = 0;
  std::uint64_t refused_fenced = 0;     ///< A later holder has acted.
  std::uint64_t lease_lapsed = 0;       ///< Given up right before the write.
  std::uint64_t conflicts = 0;          ///< Another change was first.
  std::uint64_t unknown = 0;            ///< The outcome could not be read back.
  std::uint64_t platform_failures = 0;  ///< Reads without an answer.
  std::uint64_t malformed = 0;          ///< The stored value can't be read.
};

/// Targets that are to rest and to return.
struct PlanChange {
  std::vector<std::string> rest;
  std::vector<std::string> give_back;

  auto operator==(const PlanChange&) const -> bool = default;
};

/// Since when a service has had more targets than it needs.
struct PlanSurplus {
  TimePoint since;
  std::uint32_t least = 0;  ///< The smallest surplus since then.
};

/// The act that is under way.
struct PlanAct {
  Epoch epoch{};
  Epoch stored{};  ///< As read.
  PlanChange change;
  std::optional<ConfigurationUpdate> update;  ///< Once the read is answered.
};

/// State of the execution at one balancer.
struct PlanExecutor {
  PlanExecutorOptions options;
  Lease lease;
  std::optional<PlanAct> act;
  std::map<ServiceId, PlanSurplus> surplus;
  std::map<ServiceId, TimePoint> last_short;  ///< Of targets.
  std::map<std::string, TimePoint> returned;  ///< By target, within settling.
  TimePoint started;
  TimePoint next_tick;
  TimePoint next_rest;
  std::uint64_t operations = 0;
  PlanCounters counters;
};

/// Answer to an UpdateRead.
struct PlanStored {
  bool reached = false;  ///< Whether there was an answer.
  std::optional<UpdateObject> object;
};

/// Makes the state of a balancer that holds nothing.
/// @param options Settings.
/// @param now Present instant.
/// @param random Spreads the first calls.
/// @return The state.
auto MakePlanExecutor(PlanExecutorOptions options,
                      TimePoint now,
                      Random& random) -> PlanExecutor;

/// Keeps the lease and begins an act when one is needed.
/// @param executor State.
/// @param in_force The configuration in force at this balancer.
/// @param view What this balancer sees.
/// @param now Present instant.
/// @param random Generator.
/// @param actions Where actions are appended.
auto TickPlan(PlanExecutor& executor,
              const Configuration& in_force,
              const PlanView& view,
              TimePoint now,
              Random& random,
              PlanActions& actions) -> void;

/// Takes the answer to a LeaseRead.
/// @param executor State.
/// @param seen What came.
/// @param now Present instant.
/// @param random Generator.
/// @param actions Where actions are appended.
auto OnPlanLeaseSeen(PlanExecutor& executor,
                     const LeaseSeen& seen,
                     TimePoint now,
                     Random& random,
                     PlanActions& actions) -> void;

/// Takes the answer to a LeaseWrite.
/// @param executor State.
/// @param answer What came.
/// @param version New version, when it was accepted.
/// @param now Present instant.
/// @param random Generator.
/// @param actions Where actions are appended.
auto OnPlanLeaseWritten(PlanExecutor& executor,
                        LeaseWritten answer,
                        std::uint64_t version,
                        TimePoint now,
                        Random& random,
                        PlanActions& actions) -> void;

/// Takes the answer to an UpdateRead and decides anew on what is stored.
/// @param executor State.
/// @param stored What came.
/// @param view What this balancer sees now.
/// @param now Present instant, read anew for this act.
/// @param actions Where actions are appended.
auto OnPlanStored(PlanExecutor& executor,
                  const PlanStored& stored,
                  const PlanView& view,
                  TimePoint now,
                  PlanActions& actions) -> void;

/// Takes the answer to an UpdateWrite.
/// @param executor State.
/// @param answer What came.
/// @param now Present instant.
/// @param actions Where actions are appended.
auto OnPlanWritten(PlanExecutor& executor,
                   UpdateWritten answer,
                   TimePoint now,
                   PlanActions& actions) -> void;

/// Takes the answer to an UpdateReadBack.
/// @param executor State.
/// @param history What came.
/// @param now Present instant.
/// @param actions Where actions are appended.
auto OnPlanReadBack(PlanExecutor& executor,
                    const UpdateHistory& history,
                    TimePoint now,
                    PlanActions& actions) -> void;

/// Decides which targets rest and return. A target that an operator drained
/// is neither; if it rested, it leaves the plan's list.
/// @param executor Options, and what has lasted how long.
/// @param configuration Services, demand and who rests already.
/// @param view What is seen.
/// @param now Present instant.
/// @return The change; empty when nothing is to be done.
auto DecidePlan(const PlanExecutor& executor,
                const Configuration& configuration,
                const PlanView& view,
                TimePoint now) -> PlanChange;

/// @param executor State.
/// @param now Present instant.
/// @return Whether this process holds the duty.
auto HoldsPlan(const PlanExecutor& executor, TimePoint now) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PLAN_EXECUTOR_H_
