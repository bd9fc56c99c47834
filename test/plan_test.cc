#include "hawthornbank/plan.h"

#include "hawthornbank/error.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using std::chrono::hours;
using std::chrono::minutes;

namespace {

constexpr ServiceId kId{1};

auto MakeRow(const char* day, minutes start, double rate) -> DemandRow {
  return DemandRow{
      .service = kId, .day = day, .start = start, .requests_per_second = rate};
}

auto MakeRows() -> std::vector<DemandRow> {
  return {MakeRow("daily", hours{0}, 10), MakeRow("daily", hours{7}, 100),
          MakeRow("daily", hours{22}, 20), MakeRow("2026-12-25", hours{8}, 5)};
}

const Service kService{.id = kId,
                       .slots = 3,
                       .max_connections = 2000,
                       .target_count = 10};

auto MakeLocalTime(const char* date, minutes time) -> LocalTime {
  return LocalTime{.date = ParseDate(date), .time = time};
}

auto CountPlannedTargetsAt(const char* date,
                           minutes time,
                           const CurrentLoad& load = {}) -> std::uint32_t {
  return ComputePlannedTargets(MakeRows(), kService, MakeLocalTime(date, time),
                               load, {})
      .count;
}

}  // namespace

TEST_GROUP(Plan){};

TEST(Plan, DemandFollowsRowsAcrossMidnight) {
  const auto rows = MakeRows();
  CHECK(100 == FindDemandAt(rows, kId, MakeLocalTime("2026-12-03", hours{12})));
  CHECK(20 == FindDemandAt(rows, kId, MakeLocalTime("2026-12-03", hours{23})));
  CHECK(10 == FindDemandAt(rows, kId, MakeLocalTime("2026-12-04", minutes{0})));
  CHECK(!FindDemandAt(rows, ServiceId{2},
                      MakeLocalTime("2026-12-04", minutes{0})));
}

TEST(Plan, HolidayRowsReplaceTheDailyRows) {
  const auto rows = MakeRows();
  CHECK(5 == FindDemandAt(rows, kId, MakeLocalTime("2026-12-25", hours{12})));
  // Before the holiday's first row, the last row of the previous day applies.
  CHECK(20 == FindDemandAt(rows, kId, MakeLocalTime("2026-12-25", hours{7})));
  CHECK(10 == FindDemandAt(rows, kId, MakeLocalTime("2026-12-26", hours{1})));
}

TEST(Plan, TargetsServeOneWarmUpEarlierAndOneCoolDownLonger) {
  LONGS_EQUAL(2, CountPlannedTargetsAt("2026-12-03", hours{6}));
  LONGS_EQUAL(2, CountPlannedTargetsAt("2026-12-03", hours{6} + minutes{44}));
  LONGS_EQUAL(10, CountPlannedTargetsAt("2026-12-03", hours{6} + minutes{45}));
  LONGS_EQUAL(10, CountPlannedTargetsAt("2026-12-03", hours{22} + minutes{14}));
  LONGS_EQUAL(3, CountPlannedTargetsAt("2026-12-03", hours{22} + minutes{15}));
}

TEST(Plan, WarmUpLooksAheadAcrossMidnight) {
  std::vector<DemandRow> rows = {MakeRow("daily", hours{0}, 100),
                                 MakeRow("daily", hours{1}, 10)};
  const auto before = MakeLocalTime("2026-12-31", hours{23} + minutes{44});
  LONGS_EQUAL(2, ComputePlannedTargets(rows, kService, before, {}, {}).count);
  const auto after = MakeLocalTime("2026-12-31", hours{23} + minutes{45});
  LONGS_EQUAL(10, ComputePlannedTargets(rows, kService, after, {}, {}).count);
}

TEST(Plan, PlanHasAtLeastTheTargetsThatTheLoadNeeds) {
  LONGS_EQUAL(
      7, CountPlannedTargetsAt("2026-12-03", hours{3}, {.connections = 12001}));
  LONGS_EQUAL(
      5, CountPlannedTargetsAt("2026-12-03", hours{3}, {.slots_busy = 13}));
  LONGS_EQUAL(10, CountPlannedTargetsAt("2026-12-03", hours{3},
                                        {.connections = 99999}));
  const auto planned = ComputePlannedTargets(
      MakeRows(), kService, MakeLocalTime("2026-12-03", hours{3}),
      {.slots_busy = 13}, {});
  CHECK(PlanReason::kCurrentLoad == planned.reason);
}

TEST(Plan, AllTargetsServeWhenNoDailyRowHasDemand) {
  const auto now = MakeLocalTime("2026-12-03", hours{3});
  const auto none = ComputePlannedTargets({}, kService, now, {}, {});
  LONGS_EQUAL(10, none.count);
  CHECK(PlanReason::kNoDemandStated == none.reason);
  const auto zero = ComputePlannedTargets({MakeRow("daily", hours{0}, 0)},
                                          kService, now, {}, {});
  LONGS_EQUAL(10, zero.count);
}

TEST(Plan, MinimumTargetsServeDuringHoursWithoutDemand) {
  const std::vector<DemandRow> rows = {MakeRow("daily", hours{0}, 0),
                                       MakeRow("daily", hours{12}, 50)};
  const auto now = MakeLocalTime("2026-12-03", hours{3});
  LONGS_EQUAL(2, ComputePlannedTargets(rows, kService, now, {}, {}).count);
  Service one = kService;
  one.target_count = 1;
  LONGS_EQUAL(1, ComputePlannedTargets(rows, one, now, {}, {}).count);
}

TEST(Plan, DatesRoundTripAndInvalidDatesAreRejected) {
  STRCMP_EQUAL("2028-02-29", FormatDate(ParseDate("2028-02-29")).c_str());
  for (const auto* text : {"", "2026-02-29", "2026-1-1", "24/12/2026"}) {
    CHECK_THROWS(Error, ParseDate(text));
  }
  STRCMP_EQUAL("2027-01-01",
               FormatDate(AddMinutesToLocalTime(
                              MakeLocalTime("2026-12-31", hours{23}), hours{1})
                              .date)
                   .c_str());
}

TEST(Plan, HolidayInSomeZonesUsesTheLargerDemand) {
  auto rows = MakeRows();
  rows.back().zones = {"depot-north"};
  CHECK(100 == FindDemandAt(rows, kId, MakeLocalTime("2026-12-25", hours{12})));
  CHECK(20 == FindDemandAt(rows, kId, MakeLocalTime("2026-12-25", hours{23})));
  rows.push_back(rows.back());
  rows.back().start = hours{9};
  rows.back().requests_per_second = 150;
  CHECK(150 == FindDemandAt(rows, kId, MakeLocalTime("2026-12-25", hours{12})));
}
