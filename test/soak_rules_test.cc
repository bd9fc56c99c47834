#include "soak_rules_fixture.h"

using namespace hawthornbank;
using namespace hawthornbank::soak;
using namespace std::chrono_literals;

TEST_GROUP_BASE(Rules, RulesFixture){};

TEST(Rules, MixedIsAnAnswerThatTheFlowDoesNotWaitFor) {
  const FlowId other{.key = {.caller = kKey.caller, .address = kOtherRoute}};
  OnRequestSent(checker, 1, RequestRecord{.flow = kFlow});
  OnRequestSent(checker, 2, RequestRecord{.flow = kFlow});
  OnRequestSent(checker, 3, RequestRecord{.flow = other});
  OnAnswerReceived(checker, kFlow, 2, 2, kNow);
  OnAnswerReceived(checker, kFlow, 2, 1, kNow);  // Repeated.
  OnAnswerReceived(checker, kFlow, 0, 2, kNow);  // Repeated.
  STRCMP_EQUAL("", GetReported().c_str());
  OnAnswerReceived(checker, kFlow, 2, 3, kNow);
  OnAnswerReceived(checker, kFlow, 0, 3, kNow);
  OnAnswerReceived(checker, kFlow, 2, 9, kNow);
  STRCMP_EQUAL("MIXED,MIXED,MIXED", GetReported().c_str());
  CheckViolationNamesFlow();
}

TEST(Rules, MixedAndUnaskedAreForgedPackets) {
  OnForgedPacketAtCaller(checker, kFlow, "bytes", kNow);
  OnForgedPacketAtTarget(checker, kFlow, "bytes", kNow);
  STRCMP_EQUAL("MIXED,UNASKED", GetReported().c_str());
  CheckViolationNamesFlow();
}

TEST(Rules, UnaskedIsAnOpeningOrACopyThatNoCallerSent) {
  StoreRoute(1, "a", kNow);
  Open("a", kNow, kNow);
  STRCMP_EQUAL("", GetReported().c_str());
  Open("a", kNow, kNow, {.copy = 1});
  STRCMP_EQUAL("UNASKED", GetReported().c_str());
  CheckViolationNamesFlow();
}

TEST(Rules, RouteIsReportedOnceForAFlowTakenByAServiceWithoutItsRoute) {
  StoreRoute(1, "a", kNow);
  StoreRoute(2, "b", kNow);
  Open("a", kNow, kNow);
  Open("b", kNow, kNow);
  STRCMP_EQUAL("", GetReported().c_str());
  Open("other", kNow, kNow);
  Open("other", kNow, kNow);
  STRCMP_EQUAL("ROUTE", GetReported().c_str());
  CheckViolationNamesFlow();
}

TEST(Rules, DrainIsAnOpeningMoreThanThreeSecondsAfterTheAcknowledgement) {
  StoreRoute(1, "a", kNow);
  Open("a", kNow, kNow + 3s, {.leaving_since = kNow});
  STRCMP_EQUAL("", GetReported().c_str());
  Open("a", kNow, kNow + 3001ms, {.leaving_since = kNow});
  Open("a", kNow, kNow + 3001ms, {.leaving_since = kNow, .is_gone = true});
  STRCMP_EQUAL("DRAIN,DRAIN", GetReported().c_str());
  CheckViolationNamesFlow();
}

TEST(Rules, DrainIsExcusedByADisturbedAgentAndRenamedByADisturbedBalancer) {
  StoreRoute(1, "a", kNow);
  RecordDisturbance(checker, "t", true, kNow);
  Open("a", kNow, kNow + 3900ms, {.leaving_since = kNow});
  STRCMP_EQUAL("", GetReported().c_str());
  RecordDisturbance(checker, "b", true, kNow + 1s);
  Open("a", kNow, kNow + 4s, {.leaving_since = kNow});
  STRCMP_EQUAL("late opening", GetReported().c_str());
  Open("a", kNow, kNow + 5s, {.leaving_since = kNow});
  STRCMP_EQUAL("late opening,DRAIN", GetReported().c_str());
}

TEST(Rules, CopiesOfOpeningsThatTheTargetHasTakenBeforeAreOnlyUnasked) {
  StoreRoute(1, "a", kNow - 60s);
  StoreRoute(2, "b", kNow);
  OnZoneOut(checker, "z", kNow);
  Open("a", kNow + 9s, kNow + 9s, {.zone = "z", .is_known = true});
  Open("other", kNow + 9s, kNow + 9s, {.is_known = true});
  Open("b", kNow + 9s, kNow + 9s, {.leaving_since = kNow, .is_known = true});
  STRCMP_EQUAL("", GetReported().c_str());
  Open("b", kNow, kNow, {.copy = 1, .is_known = true});
  STRCMP_EQUAL("UNASKED", GetReported().c_str());
}

TEST(Rules, EvacIsAnOpeningInAZoneOutOfServiceForMoreThanFiveSeconds) {
  StoreRoute(1, "a", kNow);
  OnZoneOut(checker, "z", kNow);
  Open("a", kNow, kNow + 5s, {.zone = "z"});
  Open("a", kNow, kNow + 9s, {.zone = "y"});
  STRCMP_EQUAL("", GetReported().c_str());
  Open("a", kNow, kNow + 5001ms, {.zone = "z"});
  STRCMP_EQUAL("EVAC", GetReported().c_str());
  CheckViolationNamesFlow();
  OnZoneReturned(checker, "z");
  Open("a", kNow, kNow + 9s, {.zone = "z"});
  LONGS_EQUAL(1, checker.violations.size());
}

TEST(Rules, EvacIsExcusedByDisturbancesOfStoreAgentAndBalancer) {
  StoreRoute(1, "a", kNow);
  OnZoneOut(checker, "z", kNow);
  for (const auto* const it : {"store", "t", "b"}) {
    checker.disturbances.clear();
    RecordDisturbance(checker, it, true, kNow + 3s);
    Open("a", kNow + 6s, kNow + 6s, {.zone = "z"});
  }
  STRCMP_EQUAL("", GetReported().c_str());
  Open("a", kNow + 7s, kNow + 7s, {.zone = "z"});
  STRCMP_EQUAL("EVAC", GetReported().c_str());
}

TEST(Rules, FlowIsAResetExcusedOnlyByUnplannedDisturbance) {
  const ResetRecord reset{.flow = kFlow,
                          .target_holds_flow = true,
                          .agent = "t",
                          .recent_balancers = {"b"}};
  RecordDisturbance(checker, "b", false, kNow);
  OnFlowReset(checker, reset, kNow + 3s);
  STRCMP_EQUAL("", GetReported().c_str());
  // A planned stop doesn't excuse a reset, and the unplanned disturbance is 4 s
  // ago.
  RecordDisturbance(checker, "b", true, kNow + 4s);
  OnFlowReset(checker, reset, kNow + 4s);
  STRCMP_EQUAL("FLOW", GetReported().c_str());
  CheckViolationNamesFlow();
}

TEST(Rules, FlowAllowsResetsOfFlowsThatNoTargetHolds) {
  OnFlowReset(checker, ResetRecord{.flow = kFlow, .agent = "t"}, kNow);
  STRCMP_EQUAL("", GetReported().c_str());
  LONGS_EQUAL(1, checker.excused_resets);
}

TEST(Rules, FlowAllowsResetsByADisturbedTargetAndOfExemptFlows) {
  ResetRecord reset{.flow = kFlow,
                    .target_holds_flow = true,
                    .agent = "a",
                    .target = "t",
                    .recent_balancers = {"b"}};
  RecordDisturbance(checker, "t", false, kNow);
  OnFlowReset(checker, reset, kNow + 3999ms);
  reset.is_exempt = true;
  OnFlowReset(checker, reset, kNow + 4s);
  STRCMP_EQUAL("", GetReported().c_str());
  LONGS_EQUAL(2, checker.excused_resets);
  reset.is_exempt = false;
  OnFlowReset(checker, reset, kNow + 4s);
  STRCMP_EQUAL("FLOW", GetReported().c_str());
}

TEST(Rules, FlowIsThreePacketsInTwoSecondsAtOtherTargetsOnly) {
  const FlowPacketRecord stray{.flow = kFlow, .holder_agent = "t"};
  const FlowPacketRecord own{.flow = kFlow, .is_at_holder = true};
  for (const auto it : {0ms, 1000ms, 1999ms}) {
    OnFlowPacketAtTarget(checker, stray, kNow + it);
  }
  OnFlowPacketAtTarget(checker, own, kNow + 1999ms);
  for (const auto it : {2000ms, 4000ms}) {
    OnFlowPacketAtTarget(checker, stray, kNow + it);
  }
  STRCMP_EQUAL("", GetReported().c_str());
  OnFlowPacketAtTarget(checker, stray, kNow + 4001ms);
  STRCMP_EQUAL("FLOW", GetReported().c_str());
  CheckViolationNamesFlow();
}

TEST(Rules, FlowAllowsStrayPacketsWithoutHolderOrUnderUnplannedDisturbance) {
  const FlowPacketRecord unheld{.flow = kFlow};
  const FlowPacketRecord stray{
      .flow = kFlow, .holder_agent = "t", .recent_balancers = {"b"}};
  const FlowPacketRecord exempt{
      .flow = kFlow, .holder_agent = "t", .is_exempt = true};
  for (const auto it : {0s, 1s, 2s, 3s}) {
    OnFlowPacketAtTarget(checker, unheld, kNow + it);
    OnFlowPacketAtTarget(checker, exempt, kNow + it);
  }
  RecordDisturbance(checker, "b", false, kNow);
  for (const auto it : {0s, 1s, 2s, 3s, 4s, 5s}) {
    OnFlowPacketAtTarget(checker, stray, kNow + it);
  }
  STRCMP_EQUAL("", GetReported().c_str());
  RecordDisturbance(checker, "b", true, kNow + 6s);
  OnFlowPacketAtTarget(checker, stray, kNow + 6s);
  STRCMP_EQUAL("FLOW", GetReported().c_str());
}

TEST(Rules, ExitIsAProcessThatEndsByItself) {
  OnProcessExited(checker, "b", true, -9, kNow);
  OnProcessExited(checker, "b", true, 0, kNow);
  STRCMP_EQUAL("", GetReported().c_str());
  OnProcessExited(checker, "b", false, 0, kNow);
  STRCMP_EQUAL("EXIT", GetReported().c_str());
}

TEST(Rules, ExitIsRenamedInADisturbanceAndASecondAfter) {
  RecordDisturbance(checker, "b", true, kNow);
  OnProcessExited(checker, "b", false, -11, kNow + 999ms);
  OnProcessExited(checker, "b", true, -11, kNow + 5s);
  OnProcessExited(checker, "b", false, -11, kNow + 1s);
  STRCMP_EQUAL("exit in a disturbance,exit in a disturbance,EXIT",
               GetReported().c_str());
}

TEST(Rules, RecoverIsLessThanAQuarterServedAfterTheLastFault) {
  OnRequestFinished(checker, true, false);
  OnFaultStarted(checker);
  for (int n = 0; n < 4; ++n) {
    OnRequestFinished(checker, n == 0, true);
  }
  CheckServedShareOfFinalPhase(checker, kNow);
  STRCMP_EQUAL("served share", GetReported().c_str());
  OnRequestFinished(checker, false, true);
  CheckServedShareOfFinalPhase(checker, kNow);
  STRCMP_EQUAL("served share,RECOVER", GetReported().c_str());
}

TEST(Rules, RecoverHoldsFromSixSecondsAfterTheLastDisturbanceOn) {
  OnRequestFinished(checker, true, false);
  OnRequestFinished(checker, false, true);
  RecordDisturbance(checker, "b", true, kNow);
  OnFinalPhaseStarted(checker, kNow + 5999ms);
  CheckServedShareOfFinalPhase(checker, kNow + 9s);
  STRCMP_EQUAL("served share", GetReported().c_str());
  OnFinalPhaseStarted(checker, kNow + 6s);
  CheckServedShareOfFinalPhase(checker, kNow + 9s);
  STRCMP_EQUAL("served share,RECOVER", GetReported().c_str());
}

TEST(Rules, RecoverNeedsAQuarterServedBeforeTheLastFault) {
  for (int n = 0; n < 5; ++n) {
    OnRequestFinished(checker, n == 0, false);
  }
  OnFaultStarted(checker);
  OnRequestFinished(checker, false, true);
  CheckServedShareOfFinalPhase(checker, kNow);
  STRCMP_EQUAL("served share", GetReported().c_str());
}
