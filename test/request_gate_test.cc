#include "hawthornbank/request_gate.h"

#include "request_gate_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP_BASE(RequestGate, RequestGateFixture){};

TEST(RequestGate, RepeatedRequestRunsOnlyOnce) {
  const auto request = MakeTestRequestWithToken("a");
  const auto start = SendRequest(request);
  CHECK(start.kind == Kind::kStart);
  auto repeat = request;
  repeat.waiter = WaiterId{1000};
  SendRequest(repeat);
  LONGS_EQUAL(0, out.size());
  ReportOutcome(start.request, RequestOutcome::kSucceeded);
  LONGS_EQUAL(2, out.size());
  CHECK(out[0].kind == Kind::kAnswer && out[1].kind == Kind::kAnswer);
  repeat.token.reset();
  CHECK(SendRequest(repeat).kind == Kind::kAnswer);
  LONGS_EQUAL(1, GetCounterValue(GateCounter::kStarted));
}

TEST(RequestGate, ReusedIdentityWithOtherContentIsAConflict) {
  const auto request = MakeTestRequestWithToken("a");
  SendRequest(request);
  auto other = request;
  other.fingerprint = 99;
  ExpectRefusal(SendRequest(other), ErrorKind::kConflict);
}

TEST(RequestGate, TokenFromBeforeATargetRestartStartsNoRequest) {
  const auto request = MakeTestRequestWithToken("a");
  options.incarnation = Incarnation{4};
  ResetGate();
  ExpectRefusal(SendRequest(request), ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(1, GetCounterValue(GateCounter::kUnknownOtherIncarnation));
  auto elsewhere = request;
  elsewhere.token->target = TargetId{8};
  ExpectRefusal(SendRequest(elsewhere), ErrorKind::kOutcomeUnknown);
  elsewhere.token->is_authentic = false;
  ExpectRefusal(SendRequest(elsewhere), ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(0, GetCounterValue(GateCounter::kStarted));
}

TEST(RequestGate, PausedGateDoesNotStartARequestPastItsDeadline) {
  const auto request = MakeTestRequestWithToken("a", seconds{2});
  now += seconds{3};
  auto late = request;
  // The deadline is computed when the socket is read, which is after the pause.
  late.deadline = now + seconds{2};
  CHECK(SendRequest(late).kind == Kind::kChallenge);
  LONGS_EQUAL(0, GetCounterValue(GateCounter::kStarted));
}

TEST(RequestGate, RepeatAfterItsLedgerEntryIsErasedIsRefused) {
  const auto request = MakeTestRequestWithToken("a");
  ReportOutcome(SendRequest(request).request, RequestOutcome::kSucceeded);
  now += seconds{1000};
  RunRequestGateTick();
  auto repeat = request;
  repeat.deadline = now + seconds{5};
  ExpectRefusal(SendRequest(repeat), ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(1, GetCounterValue(GateCounter::kStarted));
}

TEST(RequestGate, RefusalByAFullLedgerIsFinal) {
  options.ledger_entries = 1;
  ResetGate();
  const auto first = MakeTestRequestWithToken("a");
  const auto second = MakeTestRequestWithToken("b");
  const auto start = SendRequest(first);
  ExpectRefusal(SendRequest(second), ErrorKind::kOverloaded);
  ReportOutcome(start.request, RequestOutcome::kSucceeded);
  now += seconds{9};
  ExpectRefusal(SendRequest(second), ErrorKind::kOverloaded);
  now += seconds{130};
  RunRequestGateTick();
  // The ledger is no longer full, but a late copy of the request doesn't run.
  CHECK(SendRequest(second).kind != Kind::kStart);
  LONGS_EQUAL(1, GetCounterValue(GateCounter::kStarted));
}

TEST(RequestGate, VoidTokenStaysVoidAfterLedgerEntriesExpire) {
  options.ledger_entries = 1;
  options.ledger_retention = milliseconds{1};
  ResetGate();
  const auto first = MakeTestRequestWithToken("a", milliseconds{100});
  const auto second = MakeTestRequestWithToken("b", seconds{20});
  ReportOutcome(SendRequest(first).request, RequestOutcome::kSucceeded);
  ExpectRefusal(SendRequest(second), ErrorKind::kOverloaded);
  now += seconds{1};
  RunRequestGateTick();
  ExpectRefusal(SendRequest(second), ErrorKind::kOverloaded);
  LONGS_EQUAL(1, GetCounterValue(GateCounter::kStarted));
  CHECK(SendRequest(MakeTestRequestWithToken("b")).kind == Kind::kStart);
}

TEST(RequestGate, LateCopyOfARefusedRequestIsRefusedToo) {
  WarmUpTarget();
  const auto request = MakeTestRequestWithToken("a");
  const auto busy = FillAllSlots();
  for (int n = 0; n < 6; ++n) {
    SendIdempotentRequest();
  }
  ExpectRefusal(SendRequest(request), ErrorKind::kOverloaded);
  ReportOutcome(busy, RequestOutcome::kSucceeded);
  // The queue is no longer full, but the refusal is final for this token.
  ExpectRefusal(SendRequest(request), ErrorKind::kOverloaded);
  LONGS_EQUAL(5, ComputeGateLoad(gate, now).queued);
}

TEST(RequestGate, CancelledRequestIsAcceptedAgainWithANewToken) {
  WarmUpTarget();
  FillAllSlots();
  auto request = MakeTestRequestWithToken("a");
  SendRequest(request);
  CHECK(CancelRequest(gate, "a", now, random, out));
  ExpectRefusal(out.back(), ErrorKind::kCancelled);
  ExpectRefusal(SendRequest(request), ErrorKind::kCancelled);
  request = MakeTestRequestWithToken("a");
  SendRequest(request);
  LONGS_EQUAL(0, out.size());
  LONGS_EQUAL(1, ComputeGateLoad(gate, now).queued);
}

TEST(RequestGate, EveryCounterHasAName) {
  for (int n = 0; n < static_cast<int>(GateCounter::kCount); ++n) {
    CHECK(!GetGateCounterName(static_cast<GateCounter>(n)).empty());
  }
  STRCMP_EQUAL("unmatched_answer",
               GetGateCounterName(GateCounter::kUnmatchedAnswer).data());
}

TEST(RequestGate, GateMeasuresServiceTimesAndQueueWaits) {
  const auto start = SendIdempotentRequest();
  SendIdempotentRequest();
  now += milliseconds{40};
  ReportOutcome(start.request, RequestOutcome::kSucceeded);
  CHECK(SummarizeServiceTimes(gate).max == milliseconds{40});
  LONGS_EQUAL(1, SummarizeServiceTimes(gate).count);
  LONGS_EQUAL(2, SummarizeQueueWaits(gate).count);
}
