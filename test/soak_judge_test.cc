#include "soak/judge.h"

#include <CppUTest/TestHarness.h>

#include <array>

#include "soak/faults.h"

using namespace hawthornbank;
using namespace hawthornbank::soak;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};

}  // namespace

TEST_GROUP(SoakJudge) {
  Judge judge;

  auto Rule()->const char* {
    return judge.violations.empty() ? "" : judge.violations[0].rule.c_str();
  }
};

TEST(SoakJudge, ARequestRunsOnceAtItsService) {
  OnRequestSent(judge, 1, "a");
  OnRequestRun(judge, 1, "a", kNow);
  STRCMP_EQUAL("", Rule());
  OnRequestRun(judge, 1, "a", kNow);
  STRCMP_EQUAL("at most once", Rule());
}

TEST(SoakJudge, ARequestAtAnotherServiceIsReported) {
  OnRequestSent(judge, 1, "a");
  OnRequestRun(judge, 1, "b", kNow);
  STRCMP_EQUAL("wrong service", Rule());
}

TEST(SoakJudge, ARequestThatNobodySentIsReported) {
  OnRequestRun(judge, 9, "a", kNow);
  STRCMP_EQUAL("unasked", Rule());
}

TEST(SoakJudge, AnotherRequestsAnswerIsReported) {
  OnAnswer(judge, 1, 1, kNow);
  STRCMP_EQUAL("", Rule());
  OnAnswer(judge, 1, 2, kNow);
  STRCMP_EQUAL("mixed answers", Rule());
}

TEST(SoakJudge, AResetOfAFlowThatItsTargetHoldsIsReportedWhileAllAreCalm) {
  const ResetRecord reset{
      .port = 1, .target_holds_flow = true, .agent = "t", .takers = {"b"}};
  Disturb(judge, "b", false, kNow);
  OnReset(judge, reset, kNow + 3s);
  STRCMP_EQUAL("", Rule());
  // A planned stop is no excuse.
  Disturb(judge, "b", true, kNow + 4s);
  OnReset(judge, reset, kNow + 4s);
  STRCMP_EQUAL("broken flow", Rule());
}

TEST(SoakJudge, AResetOfAFlowThatItsTargetHasLostIsRight) {
  OnReset(judge, ResetRecord{.port = 1, .agent = "t"}, kNow);
  STRCMP_EQUAL("", Rule());
  LONGS_EQUAL(1, judge.resets_excused);
}

TEST(SoakJudge, OpeningsAtADrainingTargetAreReportedAfterTheBound) {
  OnOpeningWhileDraining(judge, "t", kNow, kNow + 3s);
  STRCMP_EQUAL("", Rule());
  OnOpeningWhileDraining(judge, "t", kNow, kNow + 3001ms);
  STRCMP_EQUAL("drain", Rule());
}

TEST(SoakJudge, AVersionThatGoesBackIsReportedForEachStart) {
  OnVersion(judge, "b#1", "b", 5, kNow);
  OnVersion(judge, "b#2", "b", 3, kNow);
  STRCMP_EQUAL("", Rule());
  OnVersion(judge, "b#1", "b", 4, kNow);
  STRCMP_EQUAL("version back", Rule());
}

TEST(SoakJudge, AnAcceptedVersionIsInForceInTimeWhereAllIsCalm) {
  judge.accepted[7] = kNow;
  OnVersion(judge, "b#1", "b", 5, kNow + 3s);
  STRCMP_EQUAL("", Rule());
  Disturb(judge, "store", false, kNow + 1s);
  OnVersion(judge, "b#1", "b", 5, kNow + 4s);
  STRCMP_EQUAL("", Rule());
  OnVersion(judge, "b#1", "b", 5, kNow + 5s);
  STRCMP_EQUAL("not in force", Rule());
}

TEST(SoakJudge, AnEndThatNobodyAskedForIsReported) {
  OnEnd(judge, "b", true, -9, kNow);
  STRCMP_EQUAL("", Rule());
  OnEnd(judge, "b", false, 0, kNow);
  STRCMP_EQUAL("end of its own", Rule());
}

TEST(SoakJudge, TheQuietEndIsServed) {
  for (int n = 0; n < 99; ++n) {
    OnOutcome(judge, true, true);
  }
  OnOutcome(judge, false, true);
  CheckEnd(judge, kNow);
  STRCMP_EQUAL("", Rule());
  OnOutcome(judge, false, true);
  CheckEnd(judge, kNow);
  STRCMP_EQUAL("recovery", Rule());
}

TEST(SoakJudge, AnEndWithoutRequestsIsNoRecovery) {
  OnOutcome(judge, true, false);
  CheckEnd(judge, kNow);
  STRCMP_EQUAL("recovery", Rule());
}

TEST(SoakJudge, ASeedGivesTheSameFaultsAndAllKindsComeUp) {
  const auto faults = PlanFaults(5, 300s);
  const auto again = PlanFaults(5, 300s);
  LONGS_EQUAL(faults.size(), again.size());
  std::array<int, kFaultKindCount> counts{};
  for (std::size_t n = 0; n < faults.size(); ++n) {
    CHECK(faults[n].kind == again[n].kind && faults[n].at == again[n].at);
    ++counts.at(static_cast<std::size_t>(faults[n].kind));
  }
  for (const auto it : counts) {
    CHECK(it > 0);
  }
}
