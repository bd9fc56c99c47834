#include "hawthornbank/plan_executor.h"

#include <algorithm>

#include "common/plan_world.h"
#include "hawthornbank/error.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;
using bench::PlanWorld;
using bench::PlanWorldOptions;
using std::chrono::minutes;

namespace {

constexpr ServiceId kId{1};

auto MakeRow(const char* day, minutes start, double rate) -> DemandRow {
  return DemandRow{
      .service = kId, .day = day, .start = start, .requests_per_second = rate};
}

auto MakeDailyRows() -> std::vector<DemandRow> {
  return {MakeRow("daily", 0min, 20), MakeRow("daily", 7h, 100),
          MakeRow("daily", 20h, 20)};
}

auto GetQuietDemand(minutes) -> double {
  return 20;
}

auto MakeOptionsWithStart(const char* date, minutes time) -> PlanWorldOptions {
  return {.start = {.date = ParseDate(date), .time = time},
          .rows = MakeDailyRows(),
          .demand = GetQuietDemand};
}

/// @return Options of a world that starts at 01:00, when the plan needs two of
///     seven targets.
auto MakeNightOptions() -> PlanWorldOptions {
  return MakeOptionsWithStart("2026-12-03", 1h);
}

auto GetRestingTargets(const PlanWorld& world) -> std::vector<std::string> {
  return world.DecodeStoredConfiguration().resting;
}

}  // namespace

TEST_GROUP(PlanExecutor){};

TEST(PlanExecutor, TargetsRestAtNightInSteps) {
  PlanWorld world(MakeNightOptions());
  world.RunFor(5min);
  LONGS_EQUAL(7, world.CountTargetsAcceptingFlows());
  world.RunFor(1min);
  CHECK(world.CountTargetsAcceptingFlows() < 7);
  CHECK(world.CountTargetsAcceptingFlows() >= 5);
  world.RunFor(25min);
  LONGS_EQUAL(2, world.CountTargetsAcceptingFlows());
  LONGS_EQUAL(0, world.broken_flows);
}

TEST(PlanExecutor, RestingTargetKeepsFlowsBeyondTheDrainLimit) {
  PlanWorld world(MakeNightOptions());
  world.RunFor(3h);
  LONGS_EQUAL(2, world.CountTargetsAcceptingFlows());
  LONGS_EQUAL(0, world.broken_flows);
  const auto kept = std::count_if(
      world.targets.begin(), world.targets.end(), [](const auto& it) {
        return it.agent.draining && !it.agent.flows.empty();
      });
  CHECK(kept > 0);
}

TEST(PlanExecutor, TargetsReturnOneWarmUpBeforeTheMorningRise) {
  PlanWorld world(MakeOptionsWithStart("2026-12-03", 5h));
  world.RunFor(1h + 44min);
  LONGS_EQUAL(2, world.CountTargetsAcceptingFlows());
  world.RunFor(1min + 10s);
  LONGS_EQUAL(7, world.CountTargetsAcceptingFlows());
}

TEST(PlanExecutor, TargetsReturnWhenLoadExceedsThePlan) {
  auto options = MakeNightOptions();
  options.demand = [](minutes time) { return time < 1h ? 20.0 : 80.0; };
  PlanWorld world(options);
  world.RunFor(1h);
  LONGS_EQUAL(2, world.CountTargetsAcceptingFlows());
  world.RunFor(1min);
  // 12 busy slots: 15 with 20% headroom, 19 with 25% margin, so 7 targets of 3
  // slots.
  CHECK(world.CountTargetsAcceptingFlows() >= 5);
}

TEST(PlanExecutor, TargetsDoNotFlapWhenLoadOscillates) {
  auto options = MakeNightOptions();
  options.demand = [](minutes time) {
    return time.count() % 4 < 2 ? 20.0 : 40.0;
  };
  PlanWorld world(options);
  world.RunFor(1h);
  const auto changes = world.target_changes;
  world.RunFor(4h);
  LONGS_EQUAL(changes, world.target_changes);
}

TEST(PlanExecutor, PlanDoesNotChangeAnOperatorsDrain) {
  PlanWorld world(MakeNightOptions());
  world.RunFor(40min);
  const auto resting = GetRestingTargets(world);
  LONGS_EQUAL(5, resting.size());
  // The operator drains one serving and one resting target.
  std::string serving;
  for (const auto& it : world.targets) {
    serving = it.agent.draining ? serving : it.name;
  }
  const std::vector<std::string> drained = {resting.front(), serving};
  world.EditStoredConfiguration(
      [&](Configuration& it) { it.draining = drained; });
  world.RunFor(2min);
  CHECK(drained == world.DecodeStoredConfiguration().draining);
  LONGS_EQUAL(2, world.CountTargetsAcceptingFlows());
  const auto now = GetRestingTargets(world);
  CHECK(std::find(now.begin(), now.end(), resting.front()) == now.end());
}

TEST(PlanExecutor, OperatorsConcurrentChangeIsKept) {
  auto options = MakeNightOptions();
  options.lost_answers = 0;
  PlanWorld world(options);
  world.RunFor(4min);
  const auto holder = world.FindLeaseHolder();
  CHECK(holder.has_value());
  world.balancers[*holder].delay_write = 1s;
  while (!world.balancers[*holder].frozen) {
    world.RunFor(10ms);
  }
  world.EditStoredConfiguration(
      [](Configuration& it) { it.services[0].weight = 50; });
  world.RunFor(1min);
  LONGS_EQUAL(1, world.SumCounterOverBalancers(&PlanCounters::conflicts));
  LONGS_EQUAL(50, world.DecodeStoredConfiguration().services[0].weight);
  CHECK(!GetRestingTargets(world).empty());
}

TEST(PlanExecutor, DelayedWriteOfAPausedHolderRestsNoTarget) {
  PlanWorld world(MakeNightOptions());
  world.RunFor(4min + 50s);
  const auto holder = world.FindLeaseHolder();
  CHECK(holder.has_value());
  // The holder is paused after its last check of the lease, right before a
  // write that orders targets to rest.
  world.balancers[*holder].delay_write = 6h;
  world.RunFor(1min);
  CHECK(world.balancers[*holder].frozen);
  const auto other = world.FindLeaseHolder();
  CHECK(other.has_value());
  CHECK(*other != *holder);
  world.RunFor(5h + 50min);
  LONGS_EQUAL(7, world.CountTargetsAcceptingFlows());  // At 06:55.
  world.RunFor(30min);
  CHECK(!world.balancers[*holder].frozen);
  LONGS_EQUAL(7, world.CountTargetsAcceptingFlows());
  LONGS_EQUAL(0, world.writes_with_outdated_epoch);
  CHECK(world.balancers[*holder].executor.counters.conflicts +
            world.balancers[*holder].executor.counters.lease_losses >
        0);
  CHECK(world.longest_time_without_lease_holder < 14s);
}

TEST(PlanExecutor, NewHoldersEpochMakesAnEarlierWriteConflict) {
  auto options = MakeNightOptions();
  options.lost_answers = 0;
  PlanWorld world(options);
  world.RunFor(1min);
  const auto holder = world.FindLeaseHolder();
  CHECK(holder.has_value());
  // The next holder orders no target to rest and writes only the new epoch.
  for (std::size_t n = 0; n < world.balancers.size(); ++n) {
    auto& settings = world.balancers[n].executor.options;
    settings.surplus_hold = n == *holder ? settings.surplus_hold : 48h;
  }
  world.balancers[*holder].delay_write = 2h;
  world.RunFor(2h + 10min);
  CHECK(!world.balancers[*holder].frozen);
  LONGS_EQUAL(0, world.target_changes);
  LONGS_EQUAL(1, world.SumCounterOverBalancers(&PlanCounters::conflicts));
}

TEST(PlanExecutor, ReadAnsweredAfterLeaseExpiryCausesNoWrite) {
  auto options = MakeNightOptions();
  options.lost_answers = 0;
  PlanWorld world(options);
  world.RunFor(1min);
  const auto holder = world.FindLeaseHolder();
  CHECK(holder.has_value());
  auto& executor = world.balancers[*holder].executor;
  while (!executor.update_in_progress) {
    world.RunFor(1ms);
  }
  world.FreezeBalancer(*holder);
  // While the platform is down, no balancer can take over the lease and change
  // the configuration's version.
  world.platform_down = true;
  world.RunFor(1min);
  world.platform_down = false;
  const auto acts = world.accepted_writes.size();
  world.ThawBalancer(*holder);
  world.RunFor(100ms);
  LONGS_EQUAL(1, executor.counters.lease_losses);
  LONGS_EQUAL(acts, world.accepted_writes.size());
}

TEST(PlanExecutor, UpdateWithAnEpochBelowTheStoredOneIsRefusedAndCounted) {
  auto options = MakeNightOptions();
  options.lost_answers = 0;
  PlanWorld world(options);
  world.RunFor(1min);
  world.EditStoredConfiguration(
      [](Configuration& it) { it.plan_epoch = Epoch{1000}; });
  world.RunFor(1h);
  CHECK(world.SumCounterOverBalancers(&PlanCounters::refused_fenced) > 0);
  LONGS_EQUAL(0, world.writes_with_outdated_epoch);
  // The holder acquired the lease again with an epoch above 1000, as after a
  // loss of the lease object.
  LONGS_EQUAL(2, world.CountTargetsAcceptingFlows());
  CHECK(Epoch{1000} < world.DecodeStoredConfiguration().plan_epoch);
}

TEST(PlanExecutor, HolderWritesAMissingEpochAgain) {
  auto options = MakeNightOptions();
  options.lost_answers = 0;
  PlanWorld world(options);
  world.RunFor(40min);
  LONGS_EQUAL(2, world.CountTargetsAcceptingFlows());
  // Simulates a tool that drops `resting` and `plan_epoch` because the tool
  // doesn't know these fields.
  world.EditStoredConfiguration([](Configuration& it) {
    it.resting.clear();
    it.plan_epoch = Epoch{};
  });
  world.RunFor(30s);
  CHECK(Epoch{} != world.DecodeStoredConfiguration().plan_epoch);
  LONGS_EQUAL(7, world.CountTargetsAcceptingFlows());
}

TEST(PlanExecutor, AnotherBalancerTakesOverWithin14SecondsOfAFreeze) {
  PlanWorld world(MakeNightOptions());
  world.RunFor(1min);
  for (int n = 0; n < 4; ++n) {
    const auto holder = world.FindLeaseHolder();
    CHECK(holder.has_value());
    world.FreezeBalancer(*holder);
    world.RunFor(14s);
    CHECK(world.FindLeaseHolder().has_value());
    world.ThawBalancer(*holder);
    world.RunFor(1min);
  }
  LONGS_EQUAL(0, world.writes_with_outdated_epoch);
  CHECK(world.longest_time_without_lease_holder < 14s);
}

TEST(PlanExecutor, AllTargetsServeWhenDemandIsRemoved) {
  auto options = MakeNightOptions();
  PlanWorld world(options);
  world.RunFor(40min);
  LONGS_EQUAL(2, world.CountTargetsAcceptingFlows());
  world.EditStoredConfiguration([](Configuration& it) { it.demand.clear(); });
  world.RunFor(30s);
  LONGS_EQUAL(7, world.CountTargetsAcceptingFlows());
  CHECK(GetRestingTargets(world).empty());
}

TEST(PlanExecutor, RestingTargetsReturnWhenServingOnesCrash) {
  PlanWorld world(MakeNightOptions());
  world.RunFor(40min);
  for (std::size_t n = 0; n < world.targets.size(); ++n) {
    if (!world.targets[n].agent.draining) {
      world.CrashTarget(n);
    }
  }
  LONGS_EQUAL(0, world.CountTargetsAcceptingFlows());
  world.RunFor(10s);
  LONGS_EQUAL(2, world.CountTargetsAcceptingFlows());
}

TEST(PlanExecutor, TargetsKeepRestingAcrossMidnight) {
  PlanWorld world(MakeOptionsWithStart("2026-12-31", 22h));
  world.RunFor(1h + 50min);
  LONGS_EQUAL(2, world.CountTargetsAcceptingFlows());
  const auto changes = world.target_changes;
  world.RunFor(1h);
  LONGS_EQUAL(changes, world.target_changes);
}

TEST(PlanExecutor, HolidayRowsReplaceTheMorningRise) {
  auto options = MakeOptionsWithStart("2026-12-25", 5h);
  options.rows.push_back(MakeRow("2026-12-25", 0min, 20));
  PlanWorld world(options);
  world.RunFor(4h);
  LONGS_EQUAL(2, world.CountTargetsAcceptingFlows());
}

TEST(PlanExecutor, HolidayInOneZoneUsesTheLargerDemand) {
  auto options = MakeOptionsWithStart("2026-12-25", 5h);
  options.rows.push_back(MakeRow("2026-12-25", 0min, 20));
  options.rows.back().zones = {"a"};
  PlanWorld world(options);
  world.RunFor(4h);
  LONGS_EQUAL(7, world.CountTargetsAcceptingFlows());
}

TEST(PlanExecutor, TargetsReturnEarlierWhenDaylightSavingTimeSkipsAnHour) {
  Configuration configuration{
      .services = {Service{.id = kId, .target_count = 4}},
      .resting = {"t-2", "t-3"},
      .demand = {MakeRow("daily", 0min, 10), MakeRow("daily", 3h, 100)}};
  Random random(1);
  const auto executor = MakePlanExecutor({.self = "a"}, {}, random);
  // The local time is 01:50, and 15 minutes later 03:05, because the clock
  // skips an hour.
  PlanView view{
      .local_time = {.date = ParseDate("2026-03-29"), .time = 110min},
      .local_after_warm_up = {.date = ParseDate("2026-03-29"), .time = 185min},
      .is_membership_ready = true};
  for (const auto* name : {"t-0", "t-1", "t-2", "t-3"}) {
    view.targets.push_back(TargetRecord{
        .id = TargetId{HashName(name)}, .name = name, .service = kId});
  }
  LONGS_EQUAL(2, DecidePlanChange(executor, configuration, view, {})
                     .targets_to_return.size());
  view.local_after_warm_up.time = 125min;
  CHECK(DecidePlanChange(executor, configuration, view, {})
            .targets_to_return.empty());
}

TEST(PlanExecutor, HolderChangesNothingWhileMembershipIsIncomplete) {
  Configuration configuration{
      .services = {Service{.id = kId, .target_count = 4}}, .resting = {"t-1"}};
  Random random(1);
  const auto executor = MakePlanExecutor({.self = "a"}, {}, random);
  const PlanView view{.local_time = {.date = ParseDate("2026-03-29")},
                      .local_after_warm_up = {.date = ParseDate("2026-03-29")},
                      .is_membership_ready = false};
  CHECK(PlanChange{} == DecidePlanChange(executor, configuration, view, {}));
}

TEST(PlanExecutor, OlderEpochIsRejectedWithErrorKindFenced) {
  LeaseFence fence{.highest_epoch = Epoch{5}};
  try {
    CheckAndRecordEpoch(fence, Epoch{4});
    FAIL("not refused");
  } catch (const Error& error) {
    CHECK(ErrorKind::kFenced == error.kind());
  }
}

TEST(PlanExecutor, DrainedTargetIsNotChosenToRest) {
  Configuration configuration{
      .services = {Service{.id = kId, .target_count = 4}},
      .draining = {"t-0"},
      .demand = {MakeRow("daily", 0min, 1), MakeRow("daily", 20h, 100)}};
  Random random(1);
  auto executor = MakePlanExecutor({.self = "a"}, {}, random);
  executor.surplus[kId] = PlanSurplus{.since = {}, .smallest = 2};
  PlanView view{
      .local_time = {.date = ParseDate("2026-03-29"), .time = 3h},
      .local_after_warm_up = {.date = ParseDate("2026-03-29"), .time = 3h},
      .is_membership_ready = true};
  for (const auto* name : {"t-0", "t-1", "t-2", "t-3"}) {
    view.targets.push_back(TargetRecord{.id = TargetId{HashName(name)},
                                        .name = name,
                                        .service = kId,
                                        .load = {.connections = 5}});
  }
  view.targets[0].load.connections = 0;
  const auto change =
      DecidePlanChange(executor, configuration, view, TimePoint{10min});
  LONGS_EQUAL(1, change.targets_to_rest.size());
  CHECK(change.targets_to_rest[0] != "t-0");
  configuration.draining.emplace_back("t-1");
  CHECK(PlanChange{} ==
        DecidePlanChange(executor, configuration, view, TimePoint{10min}));
}

TEST(PlanExecutor, ZoneKeepsItsLastServingTarget) {
  const Configuration configuration{
      .services = {Service{.id = kId, .target_count = 4}},
      .demand = {MakeRow("daily", 0min, 1), MakeRow("daily", 20h, 100)}};
  Random random(1);
  auto executor =
      MakePlanExecutor({.self = "a", .rest_step_percent = 50}, {}, random);
  executor.surplus[kId] = PlanSurplus{.since = {}, .smallest = 2};
  PlanView view{
      .local_time = {.date = ParseDate("2026-03-29"), .time = 3h},
      .local_after_warm_up = {.date = ParseDate("2026-03-29"), .time = 3h},
      .is_membership_ready = true};
  std::uint32_t connections = 0;
  for (const auto* name : {"a-0", "a-1", "b-0", "b-1"}) {
    view.targets.push_back(TargetRecord{.id = TargetId{HashName(name)},
                                        .name = name,
                                        .service = kId,
                                        .zone = std::string(1, name[0]),
                                        .load = {.connections = connections}});
    ++connections;
  }
  const std::vector<std::string> expected = {"a-0", "b-0"};
  CHECK(expected ==
        DecidePlanChange(executor, configuration, view, TimePoint{10min})
            .targets_to_rest);
}
