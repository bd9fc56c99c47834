#include "../apps/hawthornload/schedule.h"

#include "../apps/hawthornload/arrivals.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace hawthornbank::load;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

auto TrentmoorOptions() -> LoadOptions {
  return {.services = {{.workload = {.service = "fitquote",
                                     .request_path = "quote"}}},
          .duration = seconds(240),
          .seed = 1,
          .sheet = TEST_DATA_DIR "/examples/trentmoor.csv",
          .day = "daily"};
}

}  // namespace

TEST_GROUP(LoadSchedule){};

TEST(LoadSchedule, EveningLastsUntilTheFirstPoint) {
  const DayDemand demand = {{.start = hours(6), .per_second = 20},
                            {.start = hours(22), .per_second = 5}};
  DOUBLES_EQUAL(5, RateAt(demand, minutes(0)), 0);
  DOUBLES_EQUAL(5, RateAt(demand, hours(6) - minutes(1)), 0);
  DOUBLES_EQUAL(20, RateAt(demand, hours(6)), 0);
  DOUBLES_EQUAL(5, RateAt(demand, hours(23)), 0);
}

TEST(LoadSchedule, RunStandsForADay) {
  CHECK(TimeOfDay(seconds(0), seconds(60)) == hours(0));
  CHECK(TimeOfDay(seconds(30), seconds(60)) == hours(12));
  CHECK(TimeOfDay(seconds(90), seconds(60)) == hours(12));
}

TEST(LoadSchedule, HolidayHasItsOwnDemand) {
  const Sheet sheet{
      .demand = {{.service = "fitquote",
                  .row = {.day = "daily", .requests_per_second = 90}},
                 {.service = "fitquote",
                  .row = {.day = "2026-12-25", .requests_per_second = 8}}}};
  const auto at_noon = [&sheet](const char* day) {
    return RateAt(DemandOfDay(sheet, "fitquote", day), hours(12));
  };
  DOUBLES_EQUAL(8, at_noon("2026-12-25"), 0);
  DOUBLES_EQUAL(90, at_noon("2026-12-24"), 0);
  CHECK(DemandOfDay(sheet, "planstore", "daily").empty());
}

TEST(LoadSchedule, ArrivalsFollowTheSheet) {
  const auto options = TrentmoorOptions();
  const auto start = Clock::time_point(seconds(1000));
  auto arrivals = MakeArrivals(options, start);
  // Midnight to 6:00 is the first quarter of the run, at 6 a second; 9:00 to
  // 12:00 an eighth, at 90 a second.
  const auto night = TakeDue(arrivals, options, start + seconds(60)).size();
  TakeDue(arrivals, options, start + seconds(90));
  const auto day = TakeDue(arrivals, options, start + seconds(120)).size();
  DOUBLES_EQUAL(360, static_cast<double>(night), 60);
  DOUBLES_EQUAL(2700, static_cast<double>(day), 160);
}
