#include "hawthornbank/request_gate.h"

#include "request_gate_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP_BASE(RequestGateEnd, RequestGateFixture){};

TEST(RequestGateEnd, DrainCutsNoAcceptedRequest) {
  WarmUp();
  const auto first = FillSlots();
  SendPlain();
  BeginDrain(gate);
  CheckRefused(SendPlain(), ErrorKind::kDraining);
  auto part = Ask("");
  part.idempotent = true;
  part.continuation = true;
  Send(part);
  LONGS_EQUAL(2, Load(gate, now).queued);
  Outcomes(first, Outcome::kSucceeded);
  CHECK(out.front().kind == Kind::kAnswer);
  CHECK(out.back().kind == Kind::kStart);
}

TEST(RequestGateEnd, AbortTellsEachWaiterTheTruth) {
  WarmUp();
  const auto running = WithToken("a");
  const auto queued = WithToken("b");
  Send(running);
  SendPlain();
  SendPlain();
  Send(queued);
  out.clear();
  Abort(gate, now, random, out);
  int unknown = 0;
  for (const auto& action : out) {
    unknown += action.error == ErrorKind::kOutcomeUnknown ? 1 : 0;
  }
  LONGS_EQUAL(3, unknown);
  CheckRefused(out.back(), ErrorKind::kDraining);
  CHECK(out.back().waiter == queued.waiter);
}

TEST(RequestGateEnd, WorkOfAGoneCallerFreesItsSlot) {
  WarmUp();
  const auto request = WithToken("a");
  Send(request);
  SendPlain();
  SendPlain();
  SendPlain();
  LONGS_EQUAL(1, Load(gate, now).queued);
  out.clear();
  DropWaiter(gate, request.waiter, now, random, out);
  CHECK(out.front().kind == Kind::kCancel);
  CHECK(out.back().kind == Kind::kStart);
  auto repeat = request;
  CheckRefused(Send(repeat), ErrorKind::kOutcomeUnknown);
}

TEST(RequestGateEnd, GivenUpAtTheDeadlineAndLateAnswerKept) {
  const auto request = WithToken("a", seconds{2});
  const auto start = Send(request);
  CHECK(Tick() <= now + seconds{2});
  now += seconds{2};
  Tick();
  LONGS_EQUAL(2, out.size());
  CHECK(out[0].kind == Kind::kCancel);
  CheckRefused(out[1], ErrorKind::kOutcomeUnknown);
  auto repeat = request;
  CheckRefused(Send(repeat), ErrorKind::kOutcomeUnknown);
  Outcomes(start.request, Outcome::kSucceeded);
  LONGS_EQUAL(0, out.size());
  CHECK(Send(repeat).kind == Kind::kAnswer);
  LONGS_EQUAL(1, Value(GateCounter::kLateAnswerKept));
  LONGS_EQUAL(0, Load(gate, now).slots_busy);
}
