#include "hawthornbank/request_gate.h"

#include "request_gate_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP_BASE(RequestGateLimits, RequestGateFixture){};

TEST(RequestGateLimits, RequestThatCannotEndBeforeItsDeadlineIsNotStarted) {
  WarmUpTarget();
  const auto first = FillAllSlots();
  ExpectRefusal(SendIdempotentRequest(milliseconds{0}),
                ErrorKind::kDeadlineExpired);
  ExpectRefusal(SendIdempotentRequest(milliseconds{150}),
                ErrorKind::kOverloaded);
  LONGS_EQUAL(1, GetCounterValue(GateCounter::kRefusedWouldBeLate));
  SendIdempotentRequest(milliseconds{250});
  LONGS_EQUAL(1, ComputeGateLoad(gate, now).queued);
  now += milliseconds{240};
  ReportOutcome(first, RequestOutcome::kSucceeded);
  ExpectRefusal(out.back(), ErrorKind::kDeadlineExpired);
}

TEST(RequestGateLimits,
     QueuedRequestThatCannotEndInTimeIsRefusedBeforeItsDeadline) {
  WarmUpTarget();
  FillAllSlots();
  SendIdempotentRequest(milliseconds{300});
  const auto wake = RunRequestGateTick();
  CHECK(wake < now + milliseconds{300});
  now = wake;
  RunRequestGateTick();
  ExpectRefusal(out.front(), ErrorKind::kDeadlineExpired);
}

TEST(RequestGateLimits, QueueReservesPlacesForDoubleWeightRequests) {
  WarmUpTarget();
  FillAllSlots();
  for (int n = 0; n < 6; ++n) {
    SendIdempotentRequest();
  }
  const auto refused = SendIdempotentRequest();
  ExpectRefusal(refused, ErrorKind::kOverloaded);
  CHECK(refused.retry_after >= seconds{1});
  CHECK(refused.retry_after <= seconds{5});
  auto double_request = MakeTestRequest("");
  double_request.idempotent = true;
  double_request.has_double_weight = true;
  for (int n = 0; n < 3; ++n) {
    double_request.waiter = WaiterId{next_waiter++};
    SendRequest(double_request);
  }
  // A quarter of the queue is reserved for double-weight requests.
  LONGS_EQUAL(8, ComputeGateLoad(gate, now).queued);
  ExpectRefusal(out.front(), ErrorKind::kOverloaded);
}

TEST(RequestGateLimits, GreedyCallersRequestIsEvictedForAnotherCaller) {
  WarmUpTarget();
  FillAllSlots();
  auto greedy = MakeTestRequest("");
  greedy.idempotent = true;
  for (int n = 0; n < 20; ++n) {
    greedy.waiter = WaiterId{next_waiter++};
    SendRequest(greedy);
  }
  LONGS_EQUAL(6, ComputeGateLoad(gate, now).queued);
  SendIdempotentRequest();
  LONGS_EQUAL(1, GetCounterValue(GateCounter::kRefusedForFairness));
  LONGS_EQUAL(6, ComputeGateLoad(gate, now).queued);
}

TEST(RequestGateLimits, RequestShedByTheTargetIsRetriedWithinTheBudget) {
  WarmUpTarget();  // Twelve first attempts allow one retry.
  const auto first = SendIdempotentRequest();
  ReportOutcome(first.request, RequestOutcome::kShed);
  LONGS_EQUAL(0, out.size());
  now = RunRequestGateTick();
  RunRequestGateTick();
  CHECK(out.front().kind == Kind::kStart);
  CHECK(out.front().request == first.request);
  ReportOutcome(first.request, RequestOutcome::kShed);
  ExpectRefusal(out.front(), ErrorKind::kOverloaded);
  LONGS_EQUAL(1, GetCounterValue(GateCounter::kRetriedTargetShed));
  LONGS_EQUAL(1, GetCounterValue(GateCounter::kRetryRefusedBudget));
}

TEST(RequestGateLimits, LostNonIdempotentRequestIsNeverRetried) {
  WarmUpTarget();
  const auto start = SendRequest(MakeTestRequestWithToken("a"));
  ReportOutcome(start.request, RequestOutcome::kLost);
  ExpectRefusal(out.back(), ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(0, GetCounterValue(GateCounter::kRetriedLost));
}

TEST(RequestGateLimits, RequestIsNotRetriedPastItsDeadline) {
  WarmUpTarget();
  ReportOutcome(SendIdempotentRequest(milliseconds{55}).request,
                RequestOutcome::kShed);
  ExpectRefusal(out.front(), ErrorKind::kOverloaded);
  LONGS_EQUAL(1, GetCounterValue(GateCounter::kRetryRefusedDeadline));
}

TEST(RequestGateLimits, StalledTargetGetsOnlyProbes) {
  WarmUpTarget();
  for (int n = 0; n < 5; ++n) {
    SendIdempotentRequest(milliseconds{400});
    now += milliseconds{400};
    RunRequestGateTick();
  }
  ExpectRefusal(SendIdempotentRequest(), ErrorKind::kUnhealthy);
  now += seconds{3};
  const auto probe = SendIdempotentRequest();
  CHECK(probe.kind == Kind::kStart);
  ExpectRefusal(SendIdempotentRequest(), ErrorKind::kUnhealthy);
  now += milliseconds{50};
  ReportOutcome(probe.request, RequestOutcome::kSucceeded);
  CHECK(SendIdempotentRequest().kind == Kind::kStart);
}

TEST(RequestGateLimits, RetryAfterValuesAreSpreadByJitter) {
  WarmUpTarget();
  for (std::uint32_t n = 0; n < options.slots + options.queue_limit; ++n) {
    SendIdempotentRequest();
  }
  int counts[6] = {};
  for (int n = 0; n < 1000; ++n) {
    const auto refused = SendIdempotentRequest();
    ExpectRefusal(refused, ErrorKind::kOverloaded);
    const auto after = refused.retry_after.count();
    CHECK(after >= 1 && after <= 5);
    ++counts[after];
  }
  for (int n = 2; n <= 5; ++n) {
    CHECK(counts[n] > 200);
  }
}

TEST(RequestGateLimits,
     QueuedRequestIsRefusedWhenRequestsAheadLeaveTooLittleTime) {
  options.queue_limit = 64;
  ResetGate();
  WarmUpTarget();
  FillAllSlots();
  for (int n = 0; n < 30; ++n) {
    SendIdempotentRequest(seconds{1});
  }
  LONGS_EQUAL(30, ComputeGateLoad(gate, now).queued);
  const auto arrived = now;
  now = RunRequestGateTick();
  // Of the 29 requests ahead of the last request, at least 12 are almost
  // certainly served first.
  CHECK(now > arrived + milliseconds{650});
  CHECK(now < arrived + milliseconds{750});
  RunRequestGateTick();
  LONGS_EQUAL(1, out.size());
  ExpectRefusal(out.back(), ErrorKind::kDeadlineExpired);
  LONGS_EQUAL(29, ComputeGateLoad(gate, now).queued);
  while (ComputeGateLoad(gate, now).queued > 0) {
    CHECK(now <= arrived + milliseconds{950});
    now = RunRequestGateTick();
  }
}
