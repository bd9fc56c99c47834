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
      RecordSuccess(health, milliseconds{50}, now);
    }
  }
  auto RecordFailures(int times)->void {
    for (int n = 0; n < times; ++n) {
      RecordFailure(health, now);
    }
  }
};

TEST(TargetHealth, ColdTargetGetsMoreSlotsWithEachFourSuccesses) {
  LONGS_EQUAL(1, AllowedSlots(health, now));
  RecordSuccesses(4);
  LONGS_EQUAL(2, AllowedSlots(health, now));
  RecordSuccesses(4);
  LONGS_EQUAL(3, AllowedSlots(health, now));
}

TEST(TargetHealth, FailuresReduceSlotsToProbesUntilTheTargetRecovers) {
  RecordSuccesses(20);
  RecordFailures(2);
  LONGS_EQUAL(3, AllowedSlots(health, now));
  RecordFailures(1);
  LONGS_EQUAL(1, AllowedSlots(health, now));
  RecordFailures(2);
  CHECK(IsDown(health));
  LONGS_EQUAL(0, AllowedSlots(health, now));
  now += seconds{1};
  LONGS_EQUAL(1, AllowedSlots(health, now));
  RecordStart(health, now, random);
  LONGS_EQUAL(0, AllowedSlots(health, now + milliseconds{999}));
  LONGS_EQUAL(1, AllowedSlots(health, now + seconds{2}));
  RecordSuccesses(10);
  LONGS_EQUAL(3, AllowedSlots(health, now));
}

TEST(TargetHealth, AnswersSlowerThanTheStallTimeoutCountAsFailures) {
  RecordSuccesses(20);
  for (int n = 0; n < 6; ++n) {
    RecordSuccess(health, seconds{60}, now);
  }
  CHECK(IsDown(health));
}

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, AllowsRetriesForATenthOfTheFirstAttempts) {
  RetryBudget budget{.share = 0.1, .limit = 10};
  CHECK_FALSE(SpendRetry(budget));
  int retries = 0;
  for (int n = 0; n < 1000; ++n) {
    OnFirstTry(budget);
    retries += SpendRetry(budget) ? 1 : 0;
  }
  LONGS_EQUAL(100, retries);
}

TEST(RetryBudget, AccumulatesRetriesUpToItsLimitOnly) {
  RetryBudget budget{.share = 0.1, .limit = 2};
  for (int n = 0; n < 1000; ++n) {
    OnFirstTry(budget);
  }
  CHECK(SpendRetry(budget));
  CHECK(SpendRetry(budget));
  CHECK_FALSE(SpendRetry(budget));
}

TEST(TargetHealth, OneQuickAnswerDoesNotMakeTheNextAnswersStalls) {
  RecordSuccess(health, milliseconds{2}, now);
  for (int n = 0; n < 5; ++n) {
    RecordSuccess(health, milliseconds{180}, now);
  }
  CHECK_FALSE(IsDown(health));
  DOUBLES_EQUAL(0, health.failure, 0.01);
}
