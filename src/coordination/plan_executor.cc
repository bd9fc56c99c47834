#include "hawthornbank/plan_executor.h"

#include <algorithm>
#include <utility>

#include "plan_decision.h"

namespace hawthornbank {
namespace {

auto Append(const LeaseActions& from, PlanExecutor& executor, PlanActions& out)
    -> void {
  for (const auto& action : from) {
    if (std::holds_alternative<LeaseGained>(action)) {
      executor.next_tick = TimePoint{};
    }
    std::visit([&out](const auto& it) { out.emplace_back(it); }, action);
  }
}

/// @return Whether an earlier holder's act could still take effect.
auto NeedsClaim(const Configuration& configuration, Epoch epoch) -> bool {
  const bool planned =
      !configuration.demand.empty() || !configuration.resting.empty();
  return planned && configuration.plan_epoch != epoch;
}

auto Refuse(PlanExecutor& executor, ErrorKind reason, PlanActions& actions)
    -> void {
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
  executor.act.reset();
  actions.emplace_back(PlanRefused{.reason = reason});
}

/// Gives an act up when the duty ended since it began.
/// @return Whether it may go on.
auto CheckLease(PlanExecutor& executor, TimePoint now) -> bool {
  if (EpochForAct(executor.lease, now) == executor.act->epoch) {
    return true;
  }
  ++executor.counters.lease_lapsed;
  executor.act.reset();
  return false;
}

auto Apply(const PlanChange& change, Epoch epoch, Configuration& configuration)
    -> void {
  auto& resting = configuration.resting;
  std::erase_if(resting, [&change](const std::string& it) {
    return detail::Contains(change.give_back, it);
  });
  resting.insert(resting.end(), change.rest.begin(), change.rest.end());
  std::sort(resting.begin(), resting.end());
  configuration.plan_epoch = epoch;
}

auto MakeUpdate(PlanExecutor& executor, const PlanView& view, TimePoint now)
    -> ConfigurationUpdate {
  return ConfigurationUpdate{
      .options = {
          .operation = executor.options.self + "/plan/" +
                       std::to_string(++executor.operations),
          .author = kPlanAuthor,
          .edit = [&executor, &view, now](Configuration& configuration) {
            auto& act = *executor.act;
            act.stored = configuration.plan_epoch;
            LeaseFence fence{.highest = act.stored};
            CheckFence(fence, act.epoch);
            act.change = DecidePlan(executor, configuration, view, now);
            Apply(act.change, act.epoch, configuration);
          }}};
}

auto Finish(PlanExecutor& executor, TimePoint now, PlanActions& actions)
    -> void {
  const PlanAct act = *std::exchange(executor.act, std::nullopt);
  auto& counters = executor.counters;
  ++counters.acts;
  counters.rested += act.change.rest.size();
  counters.returned += act.change.give_back.size();
  for (const auto& it : act.change.give_back) {
    executor.returned[it] = now;
  }
  if (!act.change.rest.empty()) {
    executor.next_rest = now + executor.options.rest_interval;
  }
  actions.emplace_back(PlanActed{.epoch = act.epoch,
                                 .rested = act.change.rest,
                                 .returned = act.change.give_back,
                                 .value = act.update->write.value});
}

auto Conclude(PlanExecutor& executor,
              const UpdateDone& done,
              TimePoint now,
              PlanActions& actions) -> void {
  if (done.outcome == UpdateOutcome::kAccepted) {
    Finish(executor, now, actions);
    return;
  }
  const bool lost = done.outcome == UpdateOutcome::kConflict;
  Refuse(executor, lost ? ErrorKind::kConflict : ErrorKind::kOutcomeUnknown,
         actions);
  executor.next_tick = now;
}

auto Proceed(PlanExecutor& executor,
             const UpdateStep& step,
             TimePoint now,
             PlanActions& actions) -> void {
  if (const auto* done = std::get_if<UpdateDone>(&step)) {
    Conclude(executor, *done, now, actions);
  } else if (const auto* back = std::get_if<UpdateReadBack>(&step)) {
    actions.emplace_back(*back);
  } else if (CheckLease(executor, now)) {
    actions.emplace_back(std::get<UpdateWrite>(step));
  }
}

auto ForgetReturned(PlanExecutor& executor, TimePoint now) -> void {
  std::erase_if(executor.returned, [&executor, now](const auto& it) {
    return now - it.second >= executor.options.settle_time;
  });
}

auto BeginAct(PlanExecutor& executor,
              const Configuration& in_force,
              const PlanView& view,
              TimePoint now,
              PlanActions& actions) -> void {
  const auto epoch = EpochForAct(executor.lease, now);
  const bool settled = now - executor.started >= executor.options.start_delay;
  if (!epoch || !view.ready || !settled) {
    return;
  }
  if (NeedsClaim(in_force, *epoch) ||
      DecidePlan(executor, in_force, view, now) != PlanChange{}) {
    executor.act = PlanAct{.epoch = *epoch};
    actions.emplace_back(UpdateRead{});
  }
}

}  // namespace

auto MakePlanExecutor(PlanExecutorOptions options,
                      TimePoint now,
                      Random& random) -> PlanExecutor {
  PlanExecutor executor{.options = std::move(options), .started = now};
  executor.lease = MakeLease({.name = kPlanLease,
                              .self = executor.options.self,
                              .times = executor.options.lease},
                             now, random);
  return executor;
}

auto TickPlan(PlanExecutor& executor,
              const Configuration& in_force,
              const PlanView& view,
              TimePoint now,
              Random& random,
              PlanActions& actions) -> void {
  if (view.candidate || executor.lease.valid_until) {
    LeaseActions lease_actions;
    TickLease(executor.lease, now, random, lease_actions);
    Append(lease_actions, executor, actions);
  }
  if (now < executor.next_tick || executor.act) {
    return;
  }
  executor.next_tick = now + executor.options.tick_interval;
  ForgetReturned(executor, now);
  detail::UpdateSurplus(executor, in_force, view, now);
  BeginAct(executor, in_force, view, now, actions);
}

auto OnPlanLeaseSeen(PlanExecutor& executor,
                     const LeaseSeen& seen,
                     TimePoint now,
                     Random& random,
                     PlanActions& actions) -> void {
  LeaseActions lease_actions;
  OnLeaseSeen(executor.lease, seen, now, random, lease_actions);
  Append(lease_actions, executor, actions);
}

auto OnPlanLeaseWritten(PlanExecutor& executor,
                        LeaseWritten answer,
                        std::uint64_t version,
                        TimePoint now,
                        Random& random,
                        PlanActions& actions) -> void {
  LeaseActions lease_actions;
  OnLeaseWritten(executor.lease, answer, version, now, random, lease_actions);
  Append(lease_actions, executor, actions);
}

auto OnPlanStored(PlanExecutor& executor,
                  const PlanStored& stored,
                  const PlanView& view,
                  TimePoint now,
                  PlanActions& actions) -> void {
  if (!executor.act || !CheckLease(executor, now)) {
    return;
  }
  if (!stored.reached) {
    Refuse(executor, ErrorKind::kPlatformUnavailable, actions);
    return;
  }
  if (!stored.object) {
    executor.act.reset();
    return;
  }
  try {
    auto update = MakeUpdate(executor, view, now);
    const auto step = OnUpdateRead(update, stored.object);
    update.options.edit = nullptr;  // It refers to the view of this call.
    const bool claims = NeedsClaim(update.base, executor.act->epoch);
    if (!claims && executor.act->change == PlanChange{}) {
      executor.act.reset();
      return;
    }
    executor.act->update = std::move(update);
    Proceed(executor, step, now, actions);
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::kFenced) {
      LeaseActions lease_actions;
      RaiseEpoch(executor.lease, executor.act->stored, now, lease_actions);
      Append(lease_actions, executor, actions);
    }
    Refuse(executor, error.kind(), actions);
  }
}

auto OnPlanWritten(PlanExecutor& executor,
                   UpdateWritten answer,
                   TimePoint now,
                   PlanActions& actions) -> void {
  if (executor.act && executor.act->update) {
    const auto step = OnUpdateWritten(*executor.act->update, answer);
    Proceed(executor, step, now, actions);
  }
}

auto OnPlanReadBack(PlanExecutor& executor,
                    const UpdateHistory& history,
                    TimePoint now,
                    PlanActions& actions) -> void {
  if (executor.act && executor.act->update) {
    const auto step = OnUpdateReadBack(*executor.act->update, history);
    Proceed(executor, step, now, actions);
  }
}

auto HoldsPlan(const PlanExecutor& executor, TimePoint now) -> bool {
  return EpochForAct(executor.lease, now).has_value();
}

}  // namespace hawthornbank
