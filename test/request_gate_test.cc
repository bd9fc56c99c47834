#include "hawthornbank/request_gate.h"

#include "request_gate_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP_BASE(RequestGate, RequestGateFixture){};

TEST(RequestGate, OnceOnlyUnderRepeats) {
  const auto request = WithToken("a");
  const auto start = Send(request);
  CHECK(start.kind == Kind::kStart);
  auto repeat = request;
  repeat.waiter = WaiterId{1000};
  Send(repeat);
  LONGS_EQUAL(0, out.size());
  Outcomes(start.request, Outcome::kSucceeded);
  LONGS_EQUAL(2, out.size());
  CHECK(out[0].kind == Kind::kAnswer && out[1].kind == Kind::kAnswer);
  repeat.token.reset();
  CHECK(Send(repeat).kind == Kind::kAnswer);
  LONGS_EQUAL(1, Value(GateCounter::kStarted));
}

TEST(RequestGate, SameIdentityForAnotherRequestIsAConflict) {
  const auto request = WithToken("a");
  Send(request);
  auto other = request;
  other.fingerprint = 99;
  CheckRefused(Send(other), ErrorKind::kConflict);
}

TEST(RequestGate, TokenOfARestartedTargetIsUnknownAndNeverRuns) {
  const auto request = WithToken("a");
  options.incarnation = Incarnation{4};
  Reset();
  CheckRefused(Send(request), ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(1, Value(GateCounter::kUnknownOtherIncarnation));
  auto elsewhere = request;
  elsewhere.token->target = TargetId{8};
  CheckRefused(Send(elsewhere), ErrorKind::kOutcomeUnknown);
  elsewhere.token->authentic = false;
  CheckRefused(Send(elsewhere), ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(0, Value(GateCounter::kStarted));
}

TEST(RequestGate, PausedGateDoesNotStartWhatItsCallerGaveUp) {
  const auto request = WithToken("a", seconds{2});
  now += seconds{3};
  auto late = request;
  late.deadline = now + seconds{2};  // As read from the socket on waking.
  CHECK(Send(late).kind == Kind::kChallenge);
  LONGS_EQUAL(0, Value(GateCounter::kStarted));
}

TEST(RequestGate, ForgottenTokenIsUnknownAndNeverRuns) {
  const auto request = WithToken("a");
  Outcomes(Send(request).request, Outcome::kSucceeded);
  now += seconds{1000};
  Tick();
  auto repeat = request;
  repeat.deadline = now + seconds{5};
  CheckRefused(Send(repeat), ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(1, Value(GateCounter::kStarted));
}

TEST(RequestGate, FullLedgerRefusesForGood) {
  options.ledger_entries = 1;
  Reset();
  const auto first = WithToken("a");
  const auto second = WithToken("b");
  const auto start = Send(first);
  CheckRefused(Send(second), ErrorKind::kOverloaded);
  Outcomes(start.request, Outcome::kSucceeded);
  now += seconds{9};
  CheckRefused(Send(second), ErrorKind::kOverloaded);
  now += seconds{130};
  Tick();
  // There is room now, and a late copy still doesn't run.
  CHECK(Send(second).kind != Kind::kStart);
  LONGS_EQUAL(1, Value(GateCounter::kStarted));
}

TEST(RequestGate, VoidTokenStaysVoidWhenTheLedgerHasRoomAgain) {
  options.ledger_entries = 1;
  options.ledger_retention = milliseconds{1};
  Reset();
  const auto first = WithToken("a", milliseconds{100});
  const auto second = WithToken("b", seconds{20});
  Outcomes(Send(first).request, Outcome::kSucceeded);
  CheckRefused(Send(second), ErrorKind::kOverloaded);
  now += seconds{1};
  Tick();
  CheckRefused(Send(second), ErrorKind::kOverloaded);
  LONGS_EQUAL(1, Value(GateCounter::kStarted));
  CHECK(Send(WithToken("b")).kind == Kind::kStart);
}

TEST(RequestGate, NotRunStaysTrueForLateCopies) {
  WarmUp();
  const auto request = WithToken("a");
  const auto busy = FillSlots();
  for (int n = 0; n < 6; ++n) {
    SendPlain();
  }
  CheckRefused(Send(request), ErrorKind::kOverloaded);
  Outcomes(busy, Outcome::kSucceeded);
  // There is room in the queue again, but this token's try is over.
  CheckRefused(Send(request), ErrorKind::kOverloaded);
  LONGS_EQUAL(5, Load(gate, now).queued);
}

TEST(RequestGate, RefusedRequestRunsUnderANewToken) {
  WarmUp();
  FillSlots();
  auto request = WithToken("a");
  Send(request);
  CHECK(CancelRequest(gate, "a", now, random, out));
  CheckRefused(out.back(), ErrorKind::kCancelled);
  CheckRefused(Send(request), ErrorKind::kCancelled);
  request = WithToken("a");
  Send(request);
  LONGS_EQUAL(0, out.size());
  LONGS_EQUAL(1, Load(gate, now).queued);
}

TEST(RequestGate, EveryCounterHasAName) {
  for (int n = 0; n < static_cast<int>(GateCounter::kCount); ++n) {
    CHECK(!CounterName(static_cast<GateCounter>(n)).empty());
  }
  STRCMP_EQUAL("unmatched_answer",
               CounterName(GateCounter::kUnmatchedAnswer).data());
}

TEST(RequestGate, MeasuresServiceTimesAndWaits) {
  const auto start = SendPlain();
  SendPlain();
  now += milliseconds{40};
  Outcomes(start.request, Outcome::kSucceeded);
  CHECK(ServiceTimes(gate).max == milliseconds{40});
  LONGS_EQUAL(1, ServiceTimes(gate).count);
  LONGS_EQUAL(2, QueueWaits(gate).count);
}
