#include "hawthornbank/request_gate.h"

#include <algorithm>
#include <vector>

#include "request_gate_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP_BASE(RequestGateDrainAndCancel, RequestGateFixture){};

TEST(RequestGateDrainAndCancel, AcceptedRequestsAreCompletedDuringADrain) {
  WarmUpTarget();
  const auto first = FillAllSlots();
  SendIdempotentRequest();
  BeginRequestGateDrain(gate);
  ExpectRefusal(SendIdempotentRequest(), ErrorKind::kDraining);
  auto part = MakeTestRequest("");
  part.idempotent = true;
  part.is_continuation = true;
  SendRequest(part);
  LONGS_EQUAL(2, ComputeGateLoad(gate, now).queued);
  ReportOutcome(first, RequestOutcome::kSucceeded);
  CHECK(out.front().kind == Kind::kAnswer);
  CHECK(out.back().kind == Kind::kStart);
}

TEST(RequestGateDrainAndCancel,
     DrainAndEndRequestsAnswersUnknownIfRunningAndDrainingIfQueued) {
  WarmUpTarget();
  const auto running = MakeTestRequestWithToken("a");
  const auto queued = MakeTestRequestWithToken("b");
  SendRequest(running);
  SendIdempotentRequest();
  SendIdempotentRequest();
  SendRequest(queued);
  out.clear();
  DrainAndEndRequests(gate, now, random, out);
  int unknown = 0;
  for (const auto& action : out) {
    unknown += action.error == ErrorKind::kOutcomeUnknown ? 1 : 0;
  }
  LONGS_EQUAL(3, unknown);
  ExpectRefusal(out.back(), ErrorKind::kDraining);
  CHECK(out.back().waiter == queued.waiter);
}

TEST(RequestGateDrainAndCancel,
     TargetThatIgnoresCancelsGetsNoMoreRequestsThanSlots) {
  WarmUpTarget();
  std::vector<RequestHandle> running;
  std::size_t max_running = 0;
  for (int n = 0; n < 30; ++n) {
    const auto request = MakeTestRequest("", seconds{5});
    auto plain = request;
    plain.idempotent = true;
    const auto action = SendRequest(plain);
    if (!out.empty() && action.kind == Kind::kStart) {
      running.push_back(action.request);
      RemoveWaiter(gate, plain.waiter, now, random, out);
    }
    max_running = std::max(max_running, running.size());
    now += milliseconds{20};
    if (n % 5 == 4) {
      ReportOutcome(running.front(), RequestOutcome::kSucceeded);
      running.erase(running.begin());
      for (const auto& it : out) {
        if (it.kind == Kind::kStart) {
          running.push_back(it.request);
        }
      }
    }
  }
  LONGS_EQUAL(3, max_running);
}

TEST(RequestGateDrainAndCancel,
     TargetThatConfirmsNoCancellationCountsAsStalled) {
  WarmUpTarget();
  auto plain = MakeTestRequest("", seconds{5});
  plain.idempotent = true;
  SendRequest(plain);
  RemoveWaiter(gate, plain.waiter, now, random, out);
  LONGS_EQUAL(1, ComputeGateLoad(gate, now).slots_busy);
  LONGS_EQUAL(1, ComputeGateLoad(gate, now).slots_cancelled);
  const auto cancelled = now;
  now = RunRequestGateTick();
  while (now < cancelled + seconds{3}) {
    LONGS_EQUAL(1, ComputeGateLoad(gate, now).slots_busy);
    now = RunRequestGateTick();
  }
  RunRequestGateTick();
  LONGS_EQUAL(0, ComputeGateLoad(gate, now).slots_busy);
  LONGS_EQUAL(1, GetCounterValue(GateCounter::kCancelUnconfirmed));
  ExpectRefusal(SendIdempotentRequest(), ErrorKind::kUnhealthy);
  now += seconds{1};
  CHECK(SendIdempotentRequest().kind == Kind::kStart);
}

TEST(RequestGateDrainAndCancel, DrainingRefusalAllowsAnImmediateRetry) {
  WarmUpTarget();
  BeginRequestGateDrain(gate);
  LONGS_EQUAL(0, SendIdempotentRequest().retry_after.count());
}

TEST(RequestGateDrainAndCancel,
     GateAcceptsRequestsAgainAfterTheDrainIsCancelled) {
  WarmUpTarget();
  BeginRequestGateDrain(gate);
  ExpectRefusal(SendIdempotentRequest(), ErrorKind::kDraining);
  CancelRequestGateDrain(gate);
  CHECK(SendIdempotentRequest().kind == Kind::kStart);
  CHECK_FALSE(ComputeGateLoad(gate, now).draining);
}

TEST(RequestGateDrainAndCancel, DrainDoesNotWaitForCancelledWork) {
  WarmUpTarget();
  const auto request = MakeTestRequestWithToken("a");
  SendRequest(request);
  BeginRequestGateDrain(gate);
  RemoveWaiter(gate, request.waiter, now, random, out);
  const auto load = ComputeGateLoad(gate, now);
  LONGS_EQUAL(load.slots_cancelled, load.slots_busy);
  LONGS_EQUAL(0, load.queued);
}

TEST(RequestGateDrainAndCancel,
     CancelledRequestFreesItsSlotOnceTheTargetConfirms) {
  WarmUpTarget();
  const auto request = MakeTestRequestWithToken("a");
  SendRequest(request);
  SendIdempotentRequest();
  SendIdempotentRequest();
  SendIdempotentRequest();
  LONGS_EQUAL(1, ComputeGateLoad(gate, now).queued);
  out.clear();
  RemoveWaiter(gate, request.waiter, now, random, out);
  LONGS_EQUAL(1, out.size());
  const auto cancel = out.front();
  CHECK(cancel.kind == Kind::kCancel);
  LONGS_EQUAL(1, ComputeGateLoad(gate, now).queued);
  out.clear();
  OnCancelConfirmed(gate, cancel.request, now, random, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out.back().kind == Kind::kStart);
  ExpectRefusal(SendRequest(request), ErrorKind::kOutcomeUnknown);
}

TEST(RequestGateDrainAndCancel,
     LateAnswerOfARequestPastItsDeadlineIsKeptForRepeats) {
  const auto request = MakeTestRequestWithToken("a", seconds{2});
  const auto start = SendRequest(request);
  CHECK(RunRequestGateTick() <= now + seconds{2});
  now += seconds{2};
  RunRequestGateTick();
  LONGS_EQUAL(2, out.size());
  CHECK(out[0].kind == Kind::kCancel);
  ExpectRefusal(out[1], ErrorKind::kOutcomeUnknown);
  ExpectRefusal(SendRequest(request), ErrorKind::kOutcomeUnknown);
  ReportOutcome(start.request, RequestOutcome::kSucceeded);
  LONGS_EQUAL(0, out.size());
  CHECK(SendRequest(request).kind == Kind::kAnswer);
  LONGS_EQUAL(1, GetCounterValue(GateCounter::kLateAnswerKept));
  LONGS_EQUAL(0, ComputeGateLoad(gate, now).slots_busy);
}
