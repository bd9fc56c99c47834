#include <algorithm>
#include <string>
#include <vector>

#include "common/plan_world.h"
#include "common/report.h"

/// @file
/// Benchmarks of the execution of the capacity plan over parts of days, in
/// virtual time.
namespace {

using hawthornbank::DemandRow;
using hawthornbank::Duration;
using hawthornbank::LocalTime;
using hawthornbank::ParseDate;
using hawthornbank::PlanCounters;
using hawthornbank::ServiceId;
using hawthornbank::bench::PlanWorld;
using hawthornbank::bench::PlanWorldOptions;
using hawthornbank::bench::PrintRow;
using hawthornbank::bench::Row;
using std::chrono::hours;
using std::chrono::minutes;
using namespace std::chrono_literals;

constexpr std::uint64_t kSeed = 1;
constexpr double kPeakRequestsPerSecond = 100;
constexpr double kNightRequestsPerSecond = 20;
constexpr minutes kMorningRiseTime = 7h;
constexpr minutes kEveningFallTime = 19h;
constexpr minutes kRampDuration = 1h;

auto MakeDemandRow(minutes time, double rate, const char* day = "daily")
    -> DemandRow {
  return DemandRow{.service = ServiceId{1},
                   .day = day,
                   .start = time,
                   .requests_per_second = rate};
}

/// Returns the sheet's demand rows for an ordinary day.
auto MakeDailyRows() -> std::vector<DemandRow> {
  return {
      MakeDemandRow(0min, kNightRequestsPerSecond),
      MakeDemandRow(kMorningRiseTime, kPeakRequestsPerSecond),
      MakeDemandRow(kEveningFallTime + kRampDuration, kNightRequestsPerSecond)};
}

/// Returns demand rows that expect almost no demand at any time of the day, so
/// that only the targets' load counts. The rows' peak is at 24:00, which no day
/// reaches.
auto MakeRowsWithoutExpectedDemand() -> std::vector<DemandRow> {
  return {MakeDemandRow(0min, 0.001),
          MakeDemandRow(24h, kPeakRequestsPerSecond)};
}

/// Computes the real demand on an ordinary day, in requests per second: a
/// sudden rise in the morning when an office opens, and a slow fall in the
/// evening.
auto ComputeOrdinaryDemand(minutes time) -> double {
  const minutes of_day = time % hours{24};
  if (of_day < kMorningRiseTime || of_day >= kEveningFallTime + kRampDuration) {
    return kNightRequestsPerSecond;
  }
  if (of_day < kEveningFallTime) {
    return kPeakRequestsPerSecond;
  }
  const double share =
      static_cast<double>((of_day - kEveningFallTime).count()) /
      static_cast<double>(kRampDuration.count());
  return kPeakRequestsPerSecond -
         (kPeakRequestsPerSecond - kNightRequestsPerSecond) * share;
}

/// Computes the real demand, in requests per second, on a day whose morning
/// rise begins an hour earlier than the sheet says and takes one hour.
auto ComputeDemandWithEarlyRise(minutes time) -> double {
  if (time < kMorningRiseTime - kRampDuration || time >= kMorningRiseTime) {
    return ComputeOrdinaryDemand(time);
  }
  const double share =
      static_cast<double>((time - kMorningRiseTime + kRampDuration).count()) /
      static_cast<double>(kRampDuration.count());
  return kNightRequestsPerSecond +
         (kPeakRequestsPerSecond - kNightRequestsPerSecond) * share;
}

/// One benchmark case in one variant.
struct PlanCase {
  std::string name;
  std::string variant = "hawthornbank";
  minutes start_time{0};  ///< Start, as time since midnight of day 1.
  Duration run_time{};
  std::vector<DemandRow> rows = MakeDailyRows();
  double (*demand)(minutes) = ComputeOrdinaryDemand;
  bool stop_at_once = false;
  bool pauses_holder = false;
  Duration pause = 2h;
};

auto PrintFigure(const PlanCase& plan_case,
                 const std::string& figure,
                 double value,
                 const std::string& unit) -> void {
  PrintRow(Row{.bench = "plan",
               .name = plan_case.name,
               .variant = plan_case.variant,
               .figure = figure,
               .value = value,
               .unit = unit,
               .seed = kSeed});
}

auto PrintAllFigures(const PlanCase& plan_case,
                     const PlanWorld& world,
                     double rested_hours) -> void {
  const auto number = [](std::uint64_t n) { return static_cast<double>(n); };
  PrintFigure(plan_case, "broken_flows", number(world.broken_flows), "flows");
  PrintFigure(plan_case, "late_capacity", world.minutes_short_of_capacity,
              "minutes");
  PrintFigure(plan_case, "cut_requests", number(world.cut_requests),
              "requests");
  PrintFigure(plan_case, "older_acts", number(world.writes_with_outdated_epoch),
              "acts");
  PrintFigure(plan_case, "acts",
              number(world.SumCounterOverBalancers(&PlanCounters::acts)),
              "acts");
  PrintFigure(plan_case, "target_changes", number(world.target_changes),
              "changes");
  PrintFigure(plan_case, "rested", rested_hours, "target-hours");
  PrintFigure(
      plan_case, "duty_gap_seconds",
      std::chrono::duration<double>(world.longest_time_without_lease_holder)
          .count(),
      "s");
}

/// Delays the next write of the lease holder, as if the process paused between
/// the last check of the lease and the write.
auto DelayWriteOfLeaseHolder(PlanWorld& world, const PlanCase& plan_case)
    -> void {
  if (const auto holder = world.FindLeaseHolder()) {
    world.balancers[*holder].delay_write = plan_case.pause;
  }
}

auto SimulateAndPrintPlanCase(const PlanCase& plan_case) -> void {
  const auto start_time = plan_case.start_time;
  PlanWorldOptions options{
      .seed = kSeed,
      .start = AddMinutesToLocalTime(LocalTime{.date = ParseDate("2026-12-24")},
                                     start_time),
      .rows = plan_case.rows,
      .demand =
          [&plan_case, start_time](minutes time) {
            return plan_case.demand(start_time + time);
          },
      .stop_at_once = plan_case.stop_at_once};
  PlanWorld world(options);
  constexpr minutes kSample{1};
  Duration rested{0};
  for (Duration passed{0}; passed < plan_case.run_time; passed += kSample) {
    if (plan_case.pauses_holder && passed == 1h) {
      DelayWriteOfLeaseHolder(world, plan_case);
    }
    world.RunFor(kSample);
    rested += kSample * (hawthornbank::bench::kPlanTargets -
                         world.CountTargetsAcceptingFlows());
  }
  PrintAllFigures(
      plan_case, world,
      std::chrono::duration<double, std::ratio<3600>>(rested).count());
}

auto AddCaseWithBaselines(PlanCase plan_case, std::vector<PlanCase>& cases)
    -> void {
  cases.push_back(plan_case);
  PlanCase without_warm_up = plan_case;
  without_warm_up.variant = "baseline_no_warm_up";
  without_warm_up.rows = MakeRowsWithoutExpectedDemand();
  cases.push_back(without_warm_up);
  plan_case.variant = "baseline_stop_at_once";
  plan_case.stop_at_once = true;
  cases.push_back(plan_case);
}

/// Returns demand rows for ordinary days and for December 25, a holiday on
/// which the office stays closed.
auto MakeDailyAndHolidayRows() -> std::vector<DemandRow> {
  auto rows = MakeDailyRows();
  rows.push_back(MakeDemandRow(0min, kNightRequestsPerSecond, "2026-12-25"));
  return rows;
}

auto ComputeHolidayDemand(minutes time) -> double {
  const bool holiday = time >= 24h && time < 48h;
  return holiday ? kNightRequestsPerSecond : ComputeOrdinaryDemand(time);
}

auto ListPlanCases() -> std::vector<PlanCase> {
  std::vector<PlanCase> cases;
  AddCaseWithBaselines(
      {.name = "morning_return", .start_time = 3h, .run_time = 6h}, cases);
  AddCaseWithBaselines({.name = "night", .start_time = 18h, .run_time = 14h},
                       cases);
  AddCaseWithBaselines({.name = "holiday",
                        .start_time = 22h,
                        .run_time = 34h,
                        .rows = MakeDailyAndHolidayRows(),
                        .demand = ComputeHolidayDemand},
                       cases);
  cases.push_back({.name = "sheet_errors",
                   .start_time = 3h,
                   .run_time = 6h,
                   .demand = ComputeDemandWithEarlyRise});
  cases.push_back({.name = "sheet_errors_no_rows",
                   .start_time = 3h,
                   .run_time = 6h,
                   .rows = {}});
  // The sheet has no rows for the 25th, so the daily rows apply to the holiday.
  cases.push_back({.name = "sheet_errors_late",
                   .start_time = 22h,
                   .run_time = 14h,
                   .demand = ComputeHolidayDemand});
  // The pause begins while the evening's demand falls and ends after the fall.
  cases.push_back({.name = "paused_holder",
                   .start_time = 18h + 30min,
                   .run_time = 6h,
                   .pauses_holder = true});
  return cases;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  const std::string only = argc > 1 ? argv[1] : "";
  for (const auto& it : ListPlanCases()) {
    if (only.empty() || it.name.starts_with(only)) {
      SimulateAndPrintPlanCase(it);
    }
  }
  return hawthornbank::bench::GetExitCode();
}
