#include "hawthornbank/plan_executor.h"

#include <algorithm>
#include <utility>

#include "plan_decision.h"

namespace hawthornbank {
namespace {

/// Appends the actions of the lease. If the lease was acquired, the next tick
/// decides on a plan update without waiting for `tick_interval`.
auto AppendLeaseActions(const LeaseActions& from,
                        PlanExecutor& executor,
                        PlanActions& out) -> void {
  for (const auto& action : from) {
    if (std::holds_alternative<LeaseAcquired>(action)) {
      executor.next_tick = TimePoint{};
    }
    std::visit([&out](const auto& it) { out.emplace_back(it); }, action);
  }
}

/// @return Whether the configuration has demand or resting targets but not the
///     lease's epoch, so that an update of an earlier holder could still take
///     effect.
auto NeedsLeaseEpoch(const Configuration& configuration, Epoch epoch) -> bool {
  const bool planned =
      !configuration.demand.empty() || !configuration.resting.empty();
  return planned && configuration.plan_epoch != epoch;
}

auto AbandonPlanUpdate(PlanExecutor& executor,
                       ErrorKind reason,
                       PlanActions& actions) -> void {
  auto& counters = executor.counters;
  switch (reason) {
    case ErrorKind::kFenced:
      ++counters.refused_fenced;
      break;
    case ErrorKind::kConflict:
      ++counters.conflicts;
      break;
    case ErrorKind::kOutcomeUnknown:
      ++counters.unknown;
      break;
    case ErrorKind::kPlatformUnavailable:
      ++counters.platform_failures;
      break;
    default:
      ++counters.malformed;
      break;
  }
  executor.update_in_progress.reset();
  actions.emplace_back(PlanUpdateAbandoned{.reason = reason});
}

/// Abandons the update in progress, without an event, if the lease was lost
/// since the update began.
/// @return Whether the update may continue.
auto AbandonUpdateUnlessLeaseHeld(PlanExecutor& executor, TimePoint now)
    -> bool {
  if (GetEpochIfLeaseHeld(executor.lease, now) ==
      executor.update_in_progress->epoch) {
    return true;
  }
  ++executor.counters.lease_losses;
  executor.update_in_progress.reset();
  return false;
}

auto ApplyPlanChange(const PlanChange& change,
                     Epoch epoch,
                     Configuration& configuration) -> void {
  auto& resting = configuration.resting;
  std::erase_if(resting, [&change](const std::string& it) {
    return detail::ContainsName(change.targets_to_return, it);
  });
  resting.insert(resting.end(), change.targets_to_rest.begin(),
                 change.targets_to_rest.end());
  std::sort(resting.begin(), resting.end());
  configuration.plan_epoch = epoch;
}

auto MakePlanUpdate(PlanExecutor& executor, const PlanView& view, TimePoint now)
    -> ConfigurationUpdate {
  return ConfigurationUpdate{
      .options = {
          .operation = executor.options.self + "/plan/" +
                       std::to_string(++executor.operations),
          .author = kPlanAuthor,
          .edit = [&executor, &view, now](Configuration& configuration) {
            auto& act = *executor.update_in_progress;
            act.stored_epoch = configuration.plan_epoch;
            LeaseFence fence{.highest_epoch = act.stored_epoch};
            CheckAndRecordEpoch(fence, act.epoch);
            act.change = DecidePlanChange(executor, configuration, view, now);
            ApplyPlanChange(act.change, act.epoch, configuration);
          }}};
}

auto RecordAcceptedUpdate(PlanExecutor& executor,
                          TimePoint now,
                          PlanActions& actions) -> void {
  const PlanUpdateInProgress act =
      *std::exchange(executor.update_in_progress, std::nullopt);
  auto& counters = executor.counters;
  ++counters.acts;
  counters.rested += act.change.targets_to_rest.size();
  counters.returned += act.change.targets_to_return.size();
  for (const auto& it : act.change.targets_to_return) {
    executor.recent_returns[it] = now;
  }
  if (!act.change.targets_to_rest.empty()) {
    executor.next_rest_at = now + executor.options.rest_interval;
  }
  actions.emplace_back(
      PlanUpdateAccepted{.epoch = act.epoch,
                         .rested = act.change.targets_to_rest,
                         .returned = act.change.targets_to_return,
                         .value = act.update->write.value});
}

auto HandleUpdateOutcome(PlanExecutor& executor,
                         const UpdateResult& done,
                         TimePoint now,
                         PlanActions& actions) -> void {
  if (done.outcome == UpdateOutcome::kAccepted) {
    RecordAcceptedUpdate(executor, now, actions);
    return;
  }
  const bool lost = done.outcome == UpdateOutcome::kConflict;
  AbandonPlanUpdate(executor,
                    lost ? ErrorKind::kConflict : ErrorKind::kOutcomeUnknown,
                    actions);
  executor.next_tick = now;
}

auto HandleUpdateStep(PlanExecutor& executor,
                      const UpdateStep& step,
                      TimePoint now,
                      PlanActions& actions) -> void {
  if (const auto* done = std::get_if<UpdateResult>(&step)) {
    HandleUpdateOutcome(executor, *done, now, actions);
  } else if (const auto* back = std::get_if<ReadChangesForUpdate>(&step)) {
    actions.emplace_back(*back);
  } else if (AbandonUpdateUnlessLeaseHeld(executor, now)) {
    actions.emplace_back(std::get<WriteForUpdate>(step));
  }
}

auto EraseReturnsAfterSettleTime(PlanExecutor& executor, TimePoint now)
    -> void {
  std::erase_if(executor.recent_returns, [&executor, now](const auto& it) {
    return now - it.second >= executor.options.settle_time;
  });
}

auto BeginPlanUpdateIfNeeded(PlanExecutor& executor,
                             const Configuration& in_force,
                             const PlanView& view,
                             TimePoint now,
                             PlanActions& actions) -> void {
  const auto epoch = GetEpochIfLeaseHeld(executor.lease, now);
  const bool settled = now - executor.started >= executor.options.start_delay;
  if (!epoch || !view.is_membership_ready || !settled) {
    return;
  }
  if (NeedsLeaseEpoch(in_force, *epoch) ||
      DecidePlanChange(executor, in_force, view, now) != PlanChange{}) {
    executor.update_in_progress = PlanUpdateInProgress{.epoch = *epoch};
    actions.emplace_back(ReadForUpdate{});
  }
}

}  // namespace

auto MakePlanExecutor(PlanExecutorOptions options,
                      TimePoint now,
                      Random& random) -> PlanExecutor {
  PlanExecutor executor{.options = std::move(options), .started = now};
  executor.lease = MakeLeaseState({.name = kPlanLease,
                                   .self = executor.options.self,
                                   .times = executor.options.lease},
                                  now, random);
  return executor;
}

auto OnPlanTick(PlanExecutor& executor,
                const Configuration& in_force,
                const PlanView& view,
                TimePoint now,
                Random& random,
                PlanActions& actions) -> void {
  if (view.is_lease_candidate || executor.lease.valid_until) {
    LeaseActions lease_actions;
    OnLeaseTick(executor.lease, now, random, lease_actions);
    AppendLeaseActions(lease_actions, executor, actions);
  }
  if (now < executor.next_tick || executor.update_in_progress) {
    return;
  }
  executor.next_tick = now + executor.options.tick_interval;
  EraseReturnsAfterSettleTime(executor, now);
  detail::UpdateSurplusesAndShortages(executor, in_force, view, now);
  BeginPlanUpdateIfNeeded(executor, in_force, view, now, actions);
}

auto OnPlanLeaseReadAnswered(PlanExecutor& executor,
                             const LeaseReadAnswer& answer,
                             TimePoint now,
                             Random& random,
                             PlanActions& actions) -> void {
  LeaseActions lease_actions;
  OnLeaseReadAnswered(executor.lease, answer, now, random, lease_actions);
  AppendLeaseActions(lease_actions, executor, actions);
}

auto OnPlanLeaseWriteAnswered(PlanExecutor& executor,
                              LeaseWriteOutcome answer,
                              std::uint64_t version,
                              TimePoint now,
                              Random& random,
                              PlanActions& actions) -> void {
  LeaseActions lease_actions;
  OnLeaseWriteAnswered(executor.lease, answer, version, now, random,
                       lease_actions);
  AppendLeaseActions(lease_actions, executor, actions);
}

auto OnPlanReadAnswered(PlanExecutor& executor,
                        const PlanReadAnswer& answer,
                        const PlanView& view,
                        TimePoint now,
                        PlanActions& actions) -> void {
  if (!executor.update_in_progress ||
      !AbandonUpdateUnlessLeaseHeld(executor, now)) {
    return;
  }
  if (!answer.was_answered) {
    AbandonPlanUpdate(executor, ErrorKind::kPlatformUnavailable, actions);
    return;
  }
  if (!answer.object) {
    executor.update_in_progress.reset();
    return;
  }
  try {
    auto update = MakePlanUpdate(executor, view, now);
    const auto step = OnConfigurationObjectRead(update, answer.object);
    // The edit function holds a reference to `view`, which is valid only during
    // this call.
    update.options.edit = nullptr;
    const bool claims =
        NeedsLeaseEpoch(update.base, executor.update_in_progress->epoch);
    if (!claims && executor.update_in_progress->change == PlanChange{}) {
      executor.update_in_progress.reset();
      return;
    }
    executor.update_in_progress->update = std::move(update);
    HandleUpdateStep(executor, step, now, actions);
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::kFenced) {
      LeaseActions lease_actions;
      StepDownForHigherEpoch(executor.lease,
                             executor.update_in_progress->stored_epoch, now,
                             lease_actions);
      AppendLeaseActions(lease_actions, executor, actions);
    }
    AbandonPlanUpdate(executor, error.kind(), actions);
  }
}

auto OnPlanWriteAnswered(PlanExecutor& executor,
                         UpdateWriteAnswer answer,
                         TimePoint now,
                         PlanActions& actions) -> void {
  if (executor.update_in_progress && executor.update_in_progress->update) {
    const auto step =
        OnUpdateWriteAnswered(*executor.update_in_progress->update, answer);
    HandleUpdateStep(executor, step, now, actions);
  }
}

auto OnPlanReadChangesAnswered(PlanExecutor& executor,
                               const ReadChangesAnswer& answer,
                               TimePoint now,
                               PlanActions& actions) -> void {
  if (executor.update_in_progress && executor.update_in_progress->update) {
    const auto step =
        OnUpdateChangesRead(*executor.update_in_progress->update, answer);
    HandleUpdateStep(executor, step, now, actions);
  }
}

auto HoldsPlanLease(const PlanExecutor& executor, TimePoint now) -> bool {
  return GetEpochIfLeaseHeld(executor.lease, now).has_value();
}

}  // namespace hawthornbank
