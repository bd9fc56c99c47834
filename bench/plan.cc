#include <algorithm>
#include <string>
#include <vector>

#include "common/plan_world.h"
#include "common/report.h"

/// @file
/// The plan executed through parts of days, in virtual time.
namespace {

using hawthornbank::DemandRow;
using hawthornbank::Duration;
using hawthornbank::LocalTime;
using hawthornbank::ParseDate;
using hawthornbank::PlanCounters;
using hawthornbank::ServiceId;
using hawthornbank::bench::PlanWorld;
using hawthornbank::bench::PlanWorldOptions;
using hawthornbank::bench::Print;
using hawthornbank::bench::Row;
using std::chrono::hours;
using std::chrono::minutes;
using namespace std::chrono_literals;

constexpr std::uint64_t kSeed = 1;
constexpr double kPeak = 100;
constexpr double kNight = 20;
constexpr minutes kRise = 7h;
constexpr minutes kFall = 19h;
constexpr minutes kRamp = 1h;

auto DemandFrom(minutes time, double rate, const char* day = "daily")
    -> DemandRow {
  return DemandRow{.service = ServiceId{1},
                   .day = day,
                   .start = time,
                   .requests_per_second = rate};
}

/// The sheet of an ordinary day.
auto DailyRows() -> std::vector<DemandRow> {
  return {DemandFrom(0min, kNight), DemandFrom(kRise, kPeak),
          DemandFrom(kFall + kRamp, kNight)};
}

/// Rows that expect nothing at any time, so that only the load counts: the
/// peak stands at an hour that no day has.
auto NothingExpected() -> std::vector<DemandRow> {
  return {DemandFrom(0min, 0.001), DemandFrom(24h, kPeak)};
}

/// The real demand of an ordinary day: a step up in the morning as an office
/// opens, and a slow fall in the evening.
auto OrdinaryDemand(minutes time) -> double {
  const minutes of_day = time % hours{24};
  if (of_day < kRise || of_day >= kFall + kRamp) {
    return kNight;
  }
  if (of_day < kFall) {
    return kPeak;
  }
  const double share = static_cast<double>((of_day - kFall).count()) /
                       static_cast<double>(kRamp.count());
  return kPeak - (kPeak - kNight) * share;
}

/// The demand of a day whose morning begins an hour before the sheet says,
/// over one hour.
auto EarlyDemand(minutes time) -> double {
  if (time < kRise - kRamp || time >= kRise) {
    return OrdinaryDemand(time);
  }
  const double share = static_cast<double>((time - kRise + kRamp).count()) /
                       static_cast<double>(kRamp.count());
  return kNight + (kPeak - kNight) * share;
}

/// One run of a case.
struct Case {
  std::string name;
  std::string variant = "hawthornbank";
  minutes from{0};  ///< Of the first day.
  Duration length{};
  std::vector<DemandRow> rows = DailyRows();
  double (*demand)(minutes) = OrdinaryDemand;
  bool stop_at_once = false;
  bool pause_holder = false;
  Duration pause = 2h;
};

auto PrintRow(const Case& of,
              const std::string& figure,
              double value,
              const std::string& unit) -> void {
  Print(Row{.bench = "plan",
            .name = of.name,
            .variant = of.variant,
            .figure = figure,
            .value = value,
            .unit = unit,
            .seed = kSeed});
}

auto Report(const Case& of, const PlanWorld& world, double rested_hours)
    -> void {
  const auto number = [](std::uint64_t n) { return static_cast<double>(n); };
  PrintRow(of, "broken_flows", number(world.broken_flows), "flows");
  PrintRow(of, "late_capacity", world.late_minutes, "minutes");
  PrintRow(of, "cut_requests", number(world.cut_requests), "requests");
  PrintRow(of, "older_acts", number(world.older_acts), "acts");
  PrintRow(of, "acts", number(world.Sum(&PlanCounters::acts)), "acts");
  PrintRow(of, "target_changes", number(world.target_changes), "changes");
  PrintRow(of, "rested", rested_hours, "target-hours");
  PrintRow(of, "duty_gap_seconds",
           std::chrono::duration<double>(world.longest_gap).count(), "s");
}

/// Pauses the holder between its last check and its next write.
auto PauseHolder(PlanWorld& world, const Case& of) -> void {
  if (const auto holder = world.Holder()) {
    world.balancers[*holder].delay_write = of.pause;
  }
}

auto Run(const Case& of) -> void {
  const auto from = of.from;
  PlanWorldOptions options{
      .seed = kSeed,
      .start = AddMinutesToLocalTime(LocalTime{.date = ParseDate("2026-12-24")},
                                     from),
      .rows = of.rows,
      .demand = [&of, from](minutes time) { return of.demand(from + time); },
      .stop_at_once = of.stop_at_once};
  PlanWorld world(options);
  constexpr minutes kSample{1};
  Duration rested{0};
  for (Duration passed{0}; passed < of.length; passed += kSample) {
    if (of.pause_holder && passed == 1h) {
      PauseHolder(world, of);
    }
    world.RunFor(kSample);
    rested += kSample * (hawthornbank::bench::kPlanTargets - world.Serving());
  }
  Report(of, world,
         std::chrono::duration<double, std::ratio<3600>>(rested).count());
}

auto AddBaselines(Case of, std::vector<Case>& cases) -> void {
  cases.push_back(of);
  Case reacting = of;
  reacting.variant = "baseline_no_warm_up";
  reacting.rows = NothingExpected();
  cases.push_back(reacting);
  of.variant = "baseline_stop_at_once";
  of.stop_at_once = true;
  cases.push_back(of);
}

/// December 25, a holiday on which the office stays closed.
auto HolidayRows() -> std::vector<DemandRow> {
  auto rows = DailyRows();
  rows.push_back(DemandFrom(0min, kNight, "2026-12-25"));
  return rows;
}

auto HolidayDemand(minutes time) -> double {
  const bool holiday = time >= 24h && time < 48h;
  return holiday ? kNight : OrdinaryDemand(time);
}

auto Cases() -> std::vector<Case> {
  std::vector<Case> cases;
  AddBaselines({.name = "morning_return", .from = 3h, .length = 6h}, cases);
  AddBaselines({.name = "night", .from = 18h, .length = 14h}, cases);
  AddBaselines({.name = "holiday",
                .from = 22h,
                .length = 34h,
                .rows = HolidayRows(),
                .demand = HolidayDemand},
               cases);
  cases.push_back({.name = "sheet_errors",
                   .from = 3h,
                   .length = 6h,
                   .demand = EarlyDemand});
  cases.push_back(
      {.name = "sheet_errors_no_rows", .from = 3h, .length = 6h, .rows = {}});
  // The sheet of the 25th is missing: the daily rows go on.
  cases.push_back({.name = "sheet_errors_late",
                   .from = 22h,
                   .length = 14h,
                   .demand = HolidayDemand});
  // The pause begins in the evening's fall and ends after it.
  cases.push_back({.name = "paused_holder",
                   .from = 18h + 30min,
                   .length = 6h,
                   .pause_holder = true});
  return cases;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  const std::string only = argc > 1 ? argv[1] : "";
  for (const auto& it : Cases()) {
    if (only.empty() || it.name.starts_with(only)) {
      Run(it);
    }
  }
  return hawthornbank::bench::ExitCode();
}
