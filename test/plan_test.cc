#include "hawthornbank/plan.h"

#include "hawthornbank/error.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using std::chrono::hours;
using std::chrono::minutes;

namespace {

constexpr ServiceId kId{1};

auto Row(const char* day, minutes start, double rate) -> DemandRow {
  return DemandRow{
      .service = kId, .day = day, .start = start, .requests_per_second = rate};
}

auto Rows() -> std::vector<DemandRow> {
  return {Row("daily", hours{0}, 10), Row("daily", hours{7}, 100),
          Row("daily", hours{22}, 20), Row("2026-12-25", hours{8}, 5)};
}

const Service kService{.id = kId,
                       .slots = 3,
                       .max_connections = 2000,
                       .target_count = 10};

auto At(const char* date, minutes time) -> LocalTime {
  return LocalTime{.date = ParseDate(date), .time = time};
}

auto CountAt(const char* date, minutes time, const PresentLoad& load = {})
    -> std::uint32_t {
  return PlanTargets(Rows(), kService, At(date, time), load, {}).count;
}

}  // namespace

TEST_GROUP(Plan){};

TEST(Plan, DemandFollowsRowsAndCrossesMidnight) {
  const auto rows = Rows();
  CHECK(100 == DemandAt(rows, kId, At("2026-12-03", hours{12})));
  CHECK(20 == DemandAt(rows, kId, At("2026-12-03", hours{23})));
  CHECK(10 == DemandAt(rows, kId, At("2026-12-04", minutes{0})));
  CHECK(!DemandAt(rows, ServiceId{2}, At("2026-12-04", minutes{0})));
}

TEST(Plan, AHolidayReplacesTheDailyRows) {
  const auto rows = Rows();
  CHECK(5 == DemandAt(rows, kId, At("2026-12-25", hours{12})));
  // Before its first row, the evening of the day before goes on.
  CHECK(20 == DemandAt(rows, kId, At("2026-12-25", hours{7})));
  CHECK(10 == DemandAt(rows, kId, At("2026-12-26", hours{1})));
}

TEST(Plan, TargetsServeBeforeTheMorningAndAfterTheEvening) {
  LONGS_EQUAL(2, CountAt("2026-12-03", hours{6}));
  LONGS_EQUAL(2, CountAt("2026-12-03", hours{6} + minutes{44}));
  LONGS_EQUAL(10, CountAt("2026-12-03", hours{6} + minutes{45}));
  LONGS_EQUAL(10, CountAt("2026-12-03", hours{22} + minutes{14}));
  LONGS_EQUAL(3, CountAt("2026-12-03", hours{22} + minutes{15}));
}

TEST(Plan, WarmUpLooksAcrossMidnight) {
  std::vector<DemandRow> rows = {Row("daily", hours{0}, 100),
                                 Row("daily", hours{1}, 10)};
  const auto before = At("2026-12-31", hours{23} + minutes{44});
  LONGS_EQUAL(2, PlanTargets(rows, kService, before, {}, {}).count);
  const auto after = At("2026-12-31", hours{23} + minutes{45});
  LONGS_EQUAL(10, PlanTargets(rows, kService, after, {}, {}).count);
}

TEST(Plan, NeverGoesBelowWhatFlowsNeed) {
  LONGS_EQUAL(7, CountAt("2026-12-03", hours{3}, {.connections = 12001}));
  LONGS_EQUAL(5, CountAt("2026-12-03", hours{3}, {.slots_busy = 13}));
  LONGS_EQUAL(10, CountAt("2026-12-03", hours{3}, {.connections = 99999}));
  const auto planned = PlanTargets(Rows(), kService, At("2026-12-03", hours{3}),
                                   {.slots_busy = 13}, {});
  CHECK(PlanReason::kPresentLoad == planned.reason);
}

TEST(Plan, AllTargetsServeWithoutAPlan) {
  const auto now = At("2026-12-03", hours{3});
  const auto none = PlanTargets({}, kService, now, {}, {});
  LONGS_EQUAL(10, none.count);
  CHECK(PlanReason::kNoPlan == none.reason);
  const auto zero =
      PlanTargets({Row("daily", hours{0}, 0)}, kService, now, {}, {});
  LONGS_EQUAL(10, zero.count);
}

TEST(Plan, ServesAFewEvenWithoutDemand) {
  const std::vector<DemandRow> rows = {Row("daily", hours{0}, 0),
                                       Row("daily", hours{12}, 50)};
  const auto now = At("2026-12-03", hours{3});
  LONGS_EQUAL(2, PlanTargets(rows, kService, now, {}, {}).count);
  Service one = kService;
  one.target_count = 1;
  LONGS_EQUAL(1, PlanTargets(rows, one, now, {}, {}).count);
}

TEST(Plan, DatesRoundTripAndWrongOnesAreRefused) {
  STRCMP_EQUAL("2028-02-29", FormatDate(ParseDate("2028-02-29")).c_str());
  for (const auto* text : {"", "2026-02-29", "2026-1-1", "24/12/2026"}) {
    CHECK_THROWS(Error, ParseDate(text));
  }
  STRCMP_EQUAL(
      "2027-01-01",
      FormatDate(Advance(At("2026-12-31", hours{23}), hours{1}).date).c_str());
}

TEST(Plan, AHolidayInSomeZonesLeavesTheLargerDemand) {
  auto rows = Rows();
  rows.back().zones = {"depot-north"};
  CHECK(100 == DemandAt(rows, kId, At("2026-12-25", hours{12})));
  CHECK(20 == DemandAt(rows, kId, At("2026-12-25", hours{23})));
  rows.push_back(rows.back());
  rows.back().start = hours{9};
  rows.back().requests_per_second = 150;
  CHECK(150 == DemandAt(rows, kId, At("2026-12-25", hours{12})));
}
