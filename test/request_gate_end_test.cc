#include "hawthornbank/request_gate.h"

#include <algorithm>
#include <vector>

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

TEST(RequestGateEnd, TargetThatIgnoresCancelsNeverRunsMoreThanItsSlots) {
  WarmUp();
  std::vector<RequestHandle> running;
  std::size_t most = 0;
  for (int n = 0; n < 30; ++n) {
    const auto request = Ask("", seconds{5});
    auto plain = request;
    plain.idempotent = true;
    const auto action = Send(plain);
    if (!out.empty() && action.kind == Kind::kStart) {
      running.push_back(action.request);
      DropWaiter(gate, plain.waiter, now, random, out);
    }
    most = std::max(most, running.size());
    now += milliseconds{20};
    if (n % 5 == 4) {
      Outcomes(running.front(), Outcome::kSucceeded);
      running.erase(running.begin());
      for (const auto& it : out) {
        if (it.kind == Kind::kStart) {
          running.push_back(it.request);
        }
      }
    }
  }
  LONGS_EQUAL(3, most);
}

TEST(RequestGateEnd, UnconfirmedCancellationEndsInAStall) {
  WarmUp();
  auto plain = Ask("", seconds{5});
  plain.idempotent = true;
  Send(plain);
  DropWaiter(gate, plain.waiter, now, random, out);
  LONGS_EQUAL(1, Load(gate, now).slots_busy);
  LONGS_EQUAL(1, Load(gate, now).slots_cancelled);
  const auto cancelled = now;
  now = Tick();
  while (now < cancelled + seconds{3}) {
    LONGS_EQUAL(1, Load(gate, now).slots_busy);
    now = Tick();
  }
  Tick();
  LONGS_EQUAL(0, Load(gate, now).slots_busy);
  LONGS_EQUAL(1, Value(GateCounter::kCancelUnconfirmed));
  CheckRefused(SendPlain(), ErrorKind::kUnhealthy);
  now += seconds{1};
  CHECK(SendPlain().kind == Kind::kStart);
}

TEST(RequestGateEnd, DrainDoesNotWaitForCancelledWork) {
  WarmUp();
  const auto request = WithToken("a");
  Send(request);
  BeginDrain(gate);
  DropWaiter(gate, request.waiter, now, random, out);
  const auto load = Load(gate, now);
  LONGS_EQUAL(load.slots_cancelled, load.slots_busy);
  LONGS_EQUAL(0, load.queued);
}

TEST(RequestGateEnd, WorkOfAGoneCallerFreesItsSlotWhenItHasStopped) {
  WarmUp();
  const auto request = WithToken("a");
  Send(request);
  SendPlain();
  SendPlain();
  SendPlain();
  LONGS_EQUAL(1, Load(gate, now).queued);
  out.clear();
  DropWaiter(gate, request.waiter, now, random, out);
  LONGS_EQUAL(1, out.size());
  const auto cancel = out.front();
  CHECK(cancel.kind == Kind::kCancel);
  LONGS_EQUAL(1, Load(gate, now).queued);
  out.clear();
  OnCancelConfirmed(gate, cancel.request, now, random, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out.back().kind == Kind::kStart);
  CheckRefused(Send(request), ErrorKind::kOutcomeUnknown);
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
  CheckRefused(Send(request), ErrorKind::kOutcomeUnknown);
  Outcomes(start.request, Outcome::kSucceeded);
  LONGS_EQUAL(0, out.size());
  CHECK(Send(request).kind == Kind::kAnswer);
  LONGS_EQUAL(1, Value(GateCounter::kLateAnswerKept));
  LONGS_EQUAL(0, Load(gate, now).slots_busy);
}
