#include "common/request_scenario.h"

#include "common/request_faults.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank::bench;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(RequestScenario) {
  // Most datagrams have late copies, and half of the bookings are sent to two
  // targets.
  RequestScenario copy_storm{.seed = 11,
                             .targets = 3,
                             .callers = 20,
                             .copy_share = 0.8,
                             .copies = 3,
                             .copy_delay = seconds{4},
                             .second_home_share = 0.5,
                             .start = seconds{1},
                             .end = seconds{4}};
  RequestScenario overload{.seed = 11,
                           .targets = 2,
                           .callers = 20,
                           .load = 3,
                           .start = seconds{3},
                           .end = seconds{8}};
};

TEST(RequestScenario, GateRunsNoBookingTwiceUnderManyCopies) {
  const auto result = RunRequestScenario(copy_storm);
  CHECK(result.calls > 200);
  LONGS_EQUAL(0, result.doubled);
  LONGS_EQUAL(0, result.falsely_not_run);
  LONGS_EQUAL(0, result.wrong_answers);
  LONGS_EQUAL(0, result.answer_after_give_up);
  LONGS_EQUAL(0, result.unknown);
}

TEST(RequestScenario, BookingsRunTwiceWithoutAGateOrWithAnUnboundedQueue) {
  copy_storm.gate = GateKind::kNone;
  CHECK(RunRequestScenario(copy_storm).doubled > 0);
  copy_storm.gate = GateKind::kUnboundedQueue;
  CHECK(RunRequestScenario(copy_storm).doubled > 0);
}

TEST(RequestScenario, GateKeepsGoodputThatAnUnboundedQueueLosesUnderOverload) {
  const auto result = RunRequestScenario(overload);
  CHECK(result.goodput_ratio >= 0.9);
  CHECK(result.attempts <= result.calls * 11 / 10);
  overload.gate = GateKind::kUnboundedQueue;
  CHECK(RunRequestScenario(overload).goodput_ratio < 0.5);
}

TEST(RequestScenario, RetriesWithoutBudgetMoreThanDoubleAttempts) {
  overload.retry_without_budget = true;
  overload.start = seconds{1};
  overload.end = seconds{2};
  const auto result = RunRequestScenario(overload);
  CHECK(result.attempts > result.calls * 2);
}

TEST(RequestScenario, GateRunsNoBookingTwiceUnderRestartsAndLoss) {
  copy_storm.link.loss = 0.2;
  copy_storm.faults = [](VirtualNetwork& net, auto& targets) {
    for (int n = 0; n < 6; ++n) {
      auto& target = *targets[static_cast<std::size_t>(n) % targets.size()];
      net.ScheduleAction(hawthornbank::TimePoint{milliseconds{500 * n + 700}},
                         [&net, &target] { StartTargetHost(target, net); });
    }
  };
  const auto result = RunRequestScenario(copy_storm);
  LONGS_EQUAL(0, result.doubled);
  LONGS_EQUAL(0, result.falsely_not_run);
  CHECK(result.unknown > 0);
}

TEST(RequestScenario, PermitChecksOfOtherCallersAreServedWhileOneCallerFloods) {
  overload.booking_share = 0.4;
  overload.permits = true;
  overload.flood_share = 0.75;
  overload.deadline = milliseconds{3000};
  overload.service_time = milliseconds{80};
  overload.targets = 4;
  const auto weighed = RunRequestScenario(overload);
  CHECK(weighed.others_permits_ratio >= 0.95);
  overload.prefer_permits = false;
  const auto equal = RunRequestScenario(overload);
  CHECK(weighed.weighted_goodput > equal.weighted_goodput * 1.1);
}

TEST(RequestScenario, FaultyTargetsGetFewRequestsAndRecover) {
  RequestScenario grey_failure{.seed = 11, .faults = ScheduleGreyFailures};
  const auto result = RunRequestScenario(grey_failure);
  CHECK(ComputeFaultyTargetShareDuringGreyFailure(result) <= 0.1);
  CHECK(ComputeTimeToRecoverFromGreyFailure(result) <= 5);
  grey_failure.gate = GateKind::kUnboundedQueue;
  CHECK(ComputeFaultyTargetShareDuringGreyFailure(
            RunRequestScenario(grey_failure)) > 0.3);
}

TEST(RequestScenario, CallersAcknowledgeAndMatchSeparateAnswers) {
  copy_storm.separate_answers = true;
  copy_storm.link = {
      .delay = milliseconds{3}, .jitter = milliseconds{600}, .loss = 0.1};
  const auto result = RunRequestScenario(copy_storm);
  CHECK(result.succeeded > 200);
  LONGS_EQUAL(0, result.doubled);
  LONGS_EQUAL(0, result.wrong_answers);
  LONGS_EQUAL(0, result.answer_after_give_up);
  CHECK(result.unacknowledged * 100 <= result.succeeded);
}
