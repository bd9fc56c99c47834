#include "../apps/hawthornload/schedule.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include "../apps/hawthornload/arrivals.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace hawthornbank::load;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

auto MakeExampleSheetOptions() -> LoadOptions {
  return {.services = {{.workload = {.service = "fitquote",
                                     .request_path = "quote"}}},
          .duration = seconds(240),
          .seed = 1,
          .sheet_path = TEST_DATA_DIR "/examples/trentmoor.csv",
          .day = "daily"};
}

}  // namespace

TEST_GROUP(LoadSchedule){};

TEST(LoadSchedule, LastRateOfTheDayAppliesUntilTheFirstPoint) {
  const DayDemand demand = {{.start = hours(6), .per_second = 20},
                            {.start = hours(22), .per_second = 5}};
  DOUBLES_EQUAL(5, FindRateAtTimeOfDay(demand, minutes(0)), 0);
  DOUBLES_EQUAL(5, FindRateAtTimeOfDay(demand, hours(6) - minutes(1)), 0);
  DOUBLES_EQUAL(20, FindRateAtTimeOfDay(demand, hours(6)), 0);
  DOUBLES_EQUAL(5, FindRateAtTimeOfDay(demand, hours(23)), 0);
}

TEST(LoadSchedule, RunTimeIsMappedToTheTimeOfDay) {
  CHECK(MapRunTimeToTimeOfDay(seconds(0), seconds(60)) == hours(0));
  CHECK(MapRunTimeToTimeOfDay(seconds(30), seconds(60)) == hours(12));
  CHECK(MapRunTimeToTimeOfDay(seconds(90), seconds(60)) == hours(12));
}

TEST(LoadSchedule, DateWithRowsOverridesTheDailyDemand) {
  const Sheet sheet{
      .demand = {{.service = "fitquote",
                  .row = {.day = "daily", .requests_per_second = 90}},
                 {.service = "fitquote",
                  .row = {.day = "2026-12-25", .requests_per_second = 8}}}};
  const auto at_noon = [&sheet](const char* day) {
    return FindRateAtTimeOfDay(SelectDayDemand(sheet, "fitquote", day),
                               hours(12));
  };
  DOUBLES_EQUAL(8, at_noon("2026-12-25"), 0);
  DOUBLES_EQUAL(90, at_noon("2026-12-24"), 0);
  CHECK(SelectDayDemand(sheet, "planstore", "daily").empty());
}

TEST(LoadSchedule, ArrivalCountsFollowTheRatesOfTheSheet) {
  const auto options = MakeExampleSheetOptions();
  const auto start = Clock::time_point(seconds(1000));
  auto arrivals = CreateArrivals(options, start);
  // Midnight to 6:00 is a quarter of the run, at 6 requests per second; 9:00
  // to 12:00 is an eighth, at 90 requests per second.
  const auto night =
      TakeDueArrivals(arrivals, options, start + seconds(60)).size();
  TakeDueArrivals(arrivals, options, start + seconds(90));
  const auto day =
      TakeDueArrivals(arrivals, options, start + seconds(120)).size();
  DOUBLES_EQUAL(360, static_cast<double>(night), 60);
  DOUBLES_EQUAL(2700, static_cast<double>(day), 160);
}

namespace {

struct PlannedService {
  const char* sheet;
  const char* service;
  bool is_upload;
};

constexpr PlannedService kPlannedServices[] = {
    {"/examples/trentmoor.csv", "fitquote", false},
    {"/examples/trentmoor.csv", "planstore", true},
    {"/examples/tezontle.csv", "plan-core", false},
    {"/examples/tezontle.csv", "docs-in", true},
};

auto MakeLoadOptionsForService(const PlannedService& planned) -> LoadOptions {
  Workload workload{.service = planned.service};
  (planned.is_upload ? workload.upload_path : workload.request_path) = "x";
  return {.services = {{.workload = workload}},
          .duration = seconds(48),
          .seed = 7,
          .sheet_path = std::string(TEST_DATA_DIR) + planned.sheet,
          .day = "daily"};
}

/// @param step Interval at which due calls are polled.
/// @return Number of calls that become due in a whole run.
auto CountCallsOfRun(const LoadOptions& options, std::chrono::milliseconds step)
    -> std::size_t {
  const auto start = Clock::time_point(seconds(1000));
  const auto end = start + options.duration;
  auto arrivals = CreateArrivals(options, start);
  std::size_t count = 0;
  for (auto now = start; now < end + step; now += step) {
    count += TakeDueArrivals(arrivals, options, std::min(now, end)).size();
  }
  return count;
}

/// @return Expected number of calls in a day compressed into the run.
auto ComputeExpectedCalls(const LoadOptions& options) -> double {
  std::ifstream file(options.sheet_path);
  std::ostringstream text;
  text << file.rdbuf();
  const auto demand =
      SelectDayDemand(ParseSheet(text.str(), options.sheet_path),
                      options.services[0].workload.service, options.day);
  constexpr int kMinutes = 24 * 60;
  double sum = 0;
  for (int n = 0; n < kMinutes; ++n) {
    sum += FindRateAtTimeOfDay(demand, minutes(n));
  }
  return sum / kMinutes *
         std::chrono::duration<double>(options.duration).count();
}

}  // namespace

TEST(LoadSchedule, CompressedDayStartsTheExpectedCallsOfEachService) {
  for (const auto& it : kPlannedServices) {
    const auto options = MakeLoadOptionsForService(it);
    const double expected = ComputeExpectedCalls(options);
    CHECK(expected > 0);
    // The tolerance is five standard deviations of a Poisson count.
    DOUBLES_EQUAL(expected,
                  static_cast<double>(
                      CountCallsOfRun(options, std::chrono::milliseconds(2))),
                  5 * std::sqrt(expected));
  }
}

TEST(LoadSchedule, CallCountIsIndependentOfThePollingInterval) {
  for (const auto& it : kPlannedServices) {
    const auto options = MakeLoadOptionsForService(it);
    const auto count = CountCallsOfRun(options, std::chrono::milliseconds(2));
    LONGS_EQUAL(count,
                CountCallsOfRun(options, std::chrono::milliseconds(170)));
    LONGS_EQUAL(count, CountCallsOfRun(options, options.duration));
  }
}
