#include "hawthornbank/target_health.h"

#include "coordination/retry_budget.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(TargetHealth) {
  TargetHealth health;
  TimePoint now{};
  Random random{1};

  auto RecordSuccesses(int times)->void {
    for (int n = 0; n < times; ++n) {
      RecordRequestAnswer(health, milliseconds{50}, now);
    }
  }
  auto RecordFailures(int times)->void {
    for (int n = 0; n < times; ++n) {
      RecordRequestFailure(health, now);
    }
  }
};

TEST(TargetHealth, ColdTargetGetsOneMoreSlotPerFourSuccesses) {
  LONGS_EQUAL(1, ComputeAllowedSlots(health, now));
  RecordSuccesses(4);
  LONGS_EQUAL(2, ComputeAllowedSlots(health, now));
  RecordSuccesses(4);
  LONGS_EQUAL(3, ComputeAllowedSlots(health, now));
}

TEST(TargetHealth, TargetWithManyFailuresGetsOnlyProbesUntilItRecovers) {
  RecordSuccesses(20);
  RecordFailures(2);
  LONGS_EQUAL(3, ComputeAllowedSlots(health, now));
  RecordFailures(1);
  LONGS_EQUAL(1, ComputeAllowedSlots(health, now));
  RecordFailures(2);
  CHECK(IsTargetDown(health));
  LONGS_EQUAL(0, ComputeAllowedSlots(health, now));
  now += seconds{1};
  LONGS_EQUAL(1, ComputeAllowedSlots(health, now));
  RecordRequestStart(health, now, random);
  LONGS_EQUAL(0, ComputeAllowedSlots(health, now + milliseconds{999}));
  LONGS_EQUAL(1, ComputeAllowedSlots(health, now + seconds{2}));
  RecordSuccesses(10);
  LONGS_EQUAL(3, ComputeAllowedSlots(health, now));
}

TEST(TargetHealth, AnswersSlowerThanTheStallTimeoutCountAsFailures) {
  RecordSuccesses(20);
  for (int n = 0; n < 6; ++n) {
    RecordRequestAnswer(health, seconds{60}, now);
  }
  CHECK(IsTargetDown(health));
}

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, RetriesAreAllowedForATenthOfTheFirstAttempts) {
  RetryBudget budget{.share = 0.1, .limit = 10};
  CHECK_FALSE(TakeRetryFromBudget(budget));
  int retries = 0;
  for (int n = 0; n < 1000; ++n) {
    RecordFirstAttempt(budget);
    retries += TakeRetryFromBudget(budget) ? 1 : 0;
  }
  LONGS_EQUAL(100, retries);
}

TEST(RetryBudget, UnusedRetriesAccumulateUpToTheLimit) {
  RetryBudget budget{.share = 0.1, .limit = 2};
  for (int n = 0; n < 1000; ++n) {
    RecordFirstAttempt(budget);
  }
  CHECK(TakeRetryFromBudget(budget));
  CHECK(TakeRetryFromBudget(budget));
  CHECK_FALSE(TakeRetryFromBudget(budget));
}

TEST(TargetHealth, SlowerAnswersAfterOneQuickAnswerAreNotStalls) {
  RecordRequestAnswer(health, milliseconds{2}, now);
  for (int n = 0; n < 5; ++n) {
    RecordRequestAnswer(health, milliseconds{180}, now);
  }
  CHECK_FALSE(IsTargetDown(health));
  DOUBLES_EQUAL(0, health.failure, 0.01);
}
