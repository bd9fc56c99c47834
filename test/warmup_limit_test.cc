#include "hawthornbank/warmup_limit.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

#include "transport/node_warmup_metrics.h"

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};

// Sends requests until the limit is reached; returns their number.
auto FillSecond(WarmupLimit& warmup, TimePoint now) -> int {
  int sent = 0;
  while (sent < 1000 && CountWarmupOpeningsLeft(warmup, true, now) > 0) {
    CountWarmupRequest(warmup, now);
    ++sent;
  }
  return sent;
}

}  // namespace

TEST_GROUP(WarmupLimit) {
  WarmupLimit warmup{
      .requests_per_second = 5, .warm_at = kNow + 10s, .heartbeat_at = kNow};
};

TEST(WarmupLimit, ServiceWithoutRateHasNoLimit) {
  SetWarmupLimit(warmup, 0);
  CountWarmupRequest(warmup, kNow);
  CHECK(warmup.requests.empty());
  LONGS_EQUAL(kUnlimitedOpenings, CountWarmupOpeningsLeft(warmup, true, kNow));
  LONGS_EQUAL(kUnlimitedOpenings, CountWarmupOpeningsLeft(warmup, false, kNow));
}

TEST(WarmupLimit, SecondSlides) {
  CountWarmupRequest(warmup, kNow);
  CountWarmupRequest(warmup, kNow + 900ms);
  LONGS_EQUAL(3, FillSecond(warmup, kNow + 1s));
  LONGS_EQUAL(1, FillSecond(warmup, kNow + 1s + 21ms));
  LONGS_EQUAL(0, FillSecond(warmup, kNow + 1900ms));
  LONGS_EQUAL(1, FillSecond(warmup, kNow + 1921ms));
}

TEST(WarmupLimit, TargetIsColdUntilAHeartbeatTellsOtherwise) {
  SetWarmupEnd(warmup, std::nullopt, {});
  LONGS_EQUAL(5, FillSecond(warmup, kNow));
  SetWarmupEnd(warmup, TimePoint{}, kNow);
  LONGS_EQUAL(kUnlimitedOpenings, CountWarmupOpeningsLeft(warmup, true, kNow));
}

TEST(WarmupLimit, WarmupEndsWithoutAHeartbeat) {
  CHECK(ComputeWarmupLimitInForce(warmup, kNow + 10s + kWarmupWindow) ==
        std::optional(5.0));
  CHECK(ComputeWarmupLimitInForce(warmup, kNow + 10s + kWarmupWindow +
                                              kWarmupRampTime) == std::nullopt);
}

TEST(WarmupLimit, LimitRisesWithoutAStep) {
  const TimePoint start = kNow + 10s + kWarmupWindow;
  double previous = 5;
  for (auto t = 0ms; t < kWarmupRampTime; t += 10ms) {
    const double limit = ComputeWarmupLimitInForce(warmup, start + t).value();
    CHECK(limit >= previous);
    CHECK(limit < previous * 1.02);
    previous = limit;
  }
  CHECK(previous > 30 * 5);
}

TEST(WarmupLimit, SuspectedRestartLimitsUntilTheNextHeartbeat) {
  SetWarmupEnd(warmup, TimePoint{}, kNow);
  SuspectTargetRestart(warmup, kNow + 100ms);
  LONGS_EQUAL(5, CountWarmupOpeningsLeft(warmup, true, kNow + 200ms));
  // The heartbeat of a target that hasn't restarted.
  SetWarmupEnd(warmup, TimePoint{}, kNow + 800ms);
  LONGS_EQUAL(kUnlimitedOpenings,
              CountWarmupOpeningsLeft(warmup, true, kNow + 800ms));
}

TEST(WarmupLimit, RestartedAgentWaitsForTheSecondOfItsPredecessor) {
  warmup.counting_since = kNow;
  LONGS_EQUAL(0, CountWarmupOpeningsLeft(warmup, false, kNow + 1s));
  LONGS_EQUAL(5, CountWarmupOpeningsLeft(warmup, false, kNow + kWarmupWindow));
  LONGS_EQUAL(5, CountWarmupOpeningsLeft(warmup, true, kNow));
}

TEST(WarmupLimit, RequestsOnOpenFlowsUseUpTheSecond) {
  std::optional<TimePoint> opening_counted_at = kNow;
  CountWarmupRequest(warmup, kNow);
  CountWarmupFlowRequest(warmup, opening_counted_at, kNow + 50ms);
  LONGS_EQUAL(4, CountWarmupOpeningsLeft(warmup, true, kNow + 50ms));
  CountWarmupFlowRequest(warmup, opening_counted_at, kNow + 90ms);
  LONGS_EQUAL(3, CountWarmupOpeningsLeft(warmup, true, kNow + 90ms));
  for (int n = 0; n < 9; ++n) {
    CountWarmupFlowRequest(warmup, opening_counted_at, kNow + 90ms);
  }
  LONGS_EQUAL(0, CountWarmupOpeningsLeft(warmup, true, kNow + 90ms));
}

TEST(WarmupLimit, LateFirstRequestOfAFlowCountsInItsOwnSecond) {
  std::optional<TimePoint> opening_counted_at = kNow;
  CountWarmupFlowRequest(warmup, opening_counted_at, kNow + 3s);
  LONGS_EQUAL(4, CountWarmupOpeningsLeft(warmup, true, kNow + 3s));
}

TEST(WarmupLimit, LargeLimitIsReportedBelowTheMarkForNone) {
  SetWarmupLimit(warmup, 0xFFFF);
  LONGS_EQUAL(kMaxReportedOpenings,
              CountWarmupOpeningsLeft(warmup, true, kNow));
}

TEST(WarmupLimit, MetricsShowTheLimitAndItsUse) {
  CountWarmupRequest(warmup, kNow);
  STRCMP_EQUAL(
      "hawthornbank_warmup_limit 5\nhawthornbank_warmup_limit_use 0.200\n",
      transport::FormatWarmupMetrics(warmup, kNow).c_str());
  STRCMP_EQUAL(
      "hawthornbank_warmup_limit 0\nhawthornbank_warmup_limit_use 0.000\n",
      transport::FormatWarmupMetrics(warmup, kNow + 1h).c_str());
}
