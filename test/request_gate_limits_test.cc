#include "hawthornbank/request_gate.h"

#include "request_gate_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP_BASE(RequestGateLimits, RequestGateFixture){};

TEST(RequestGateLimits, NothingStartsThatCannotEndInTime) {
  WarmUp();
  const auto first = FillSlots();
  CheckRefused(SendPlain(milliseconds{0}), ErrorKind::kDeadlineExpired);
  CheckRefused(SendPlain(milliseconds{150}), ErrorKind::kOverloaded);
  LONGS_EQUAL(1, Value(GateCounter::kRefusedWouldBeLate));
  SendPlain(milliseconds{250});
  LONGS_EQUAL(1, Load(gate, now).queued);
  now += milliseconds{240};
  Outcomes(first, Outcome::kSucceeded);
  CheckRefused(out.back(), ErrorKind::kDeadlineExpired);
}

TEST(RequestGateLimits, HopelessWaiterIsToldBeforeItsDeadline) {
  WarmUp();
  FillSlots();
  SendPlain(milliseconds{300});
  const auto wake = Tick();
  CHECK(wake < now + milliseconds{300});
  now = wake;
  Tick();
  CheckRefused(out.front(), ErrorKind::kDeadlineExpired);
}

TEST(RequestGateLimits, QueueIsBoundedAndDoubleOnesComeFirst) {
  WarmUp();
  FillSlots();
  for (int n = 0; n < 6; ++n) {
    SendPlain();
  }
  const auto refused = SendPlain();
  CheckRefused(refused, ErrorKind::kOverloaded);
  CHECK(refused.retry_after >= seconds{1});
  CHECK(refused.retry_after <= seconds{5});
  auto permit = Ask("");
  permit.idempotent = true;
  permit.counts_double = true;
  for (int n = 0; n < 3; ++n) {
    permit.waiter = WaiterId{next_waiter++};
    Send(permit);
  }
  // A quarter of the queue is theirs alone.
  LONGS_EQUAL(8, Load(gate, now).queued);
  CheckRefused(out.front(), ErrorKind::kOverloaded);
}

TEST(RequestGateLimits, OneGreedyCallerDoesNotShutOutAnother) {
  WarmUp();
  FillSlots();
  auto greedy = Ask("");
  greedy.idempotent = true;
  for (int n = 0; n < 20; ++n) {
    greedy.waiter = WaiterId{next_waiter++};
    Send(greedy);
  }
  LONGS_EQUAL(6, Load(gate, now).queued);
  SendPlain();
  LONGS_EQUAL(1, Value(GateCounter::kRefusedForFairness));
  LONGS_EQUAL(6, Load(gate, now).queued);
}

TEST(RequestGateLimits, RetriesWhatTheTargetShedUnderTheBudget) {
  WarmUp();  // Twelve first tries earn one retry.
  const auto first = SendPlain();
  Outcomes(first.request, Outcome::kShed);
  LONGS_EQUAL(0, out.size());
  now = Tick();
  Tick();
  CHECK(out.front().kind == Kind::kStart);
  CHECK(out.front().request == first.request);
  Outcomes(first.request, Outcome::kShed);
  CheckRefused(out.front(), ErrorKind::kOverloaded);
  LONGS_EQUAL(1, Value(GateCounter::kRetriedTargetShed));
  LONGS_EQUAL(1, Value(GateCounter::kRetryRefusedBudget));
}

TEST(RequestGateLimits, LostNonIdempotentIsNeverRetried) {
  WarmUp();
  const auto start = Send(WithToken("a"));
  Outcomes(start.request, Outcome::kLost);
  CheckRefused(out.back(), ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(0, Value(GateCounter::kRetriedLost));
}

TEST(RequestGateLimits, NoRetryPastTheDeadline) {
  WarmUp();
  Outcomes(SendPlain(milliseconds{55}).request, Outcome::kShed);
  CheckRefused(out.front(), ErrorKind::kOverloaded);
  LONGS_EQUAL(1, Value(GateCounter::kRetryRefusedDeadline));
}

TEST(RequestGateLimits, StalledTargetGetsNothingButProbes) {
  WarmUp();
  for (int n = 0; n < 5; ++n) {
    SendPlain(milliseconds{400});
    now += milliseconds{400};
    Tick();
  }
  CheckRefused(SendPlain(), ErrorKind::kUnhealthy);
  now += seconds{3};
  const auto probe = SendPlain();
  CHECK(probe.kind == Kind::kStart);
  CheckRefused(SendPlain(), ErrorKind::kUnhealthy);
  now += milliseconds{50};
  Outcomes(probe.request, Outcome::kSucceeded);
  CHECK(SendPlain().kind == Kind::kStart);
}

TEST(RequestGateLimits, ComeBackInstantsAreSpread) {
  WarmUp();
  for (std::uint32_t n = 0; n < options.slots + options.queue_limit; ++n) {
    SendPlain();
  }
  int counts[6] = {};
  for (int n = 0; n < 1000; ++n) {
    const auto refused = SendPlain();
    CheckRefused(refused, ErrorKind::kOverloaded);
    const auto after = refused.retry_after.count();
    CHECK(after >= 1 && after <= 5);
    ++counts[after];
  }
  for (int n = 2; n <= 5; ++n) {
    CHECK(counts[n] > 200);
  }
}

TEST(RequestGateLimits, RefusedOnceThoseAheadLeaveNoTime) {
  options.queue_limit = 64;
  Reset();
  WarmUp();
  FillSlots();
  for (int n = 0; n < 30; ++n) {
    SendPlain(seconds{1});
  }
  LONGS_EQUAL(30, Load(gate, now).queued);
  const auto arrived = now;
  now = Tick();
  // Before the last one 29 wait, of which 12 or more surely take their turns.
  CHECK(now > arrived + milliseconds{650});
  CHECK(now < arrived + milliseconds{750});
  Tick();
  LONGS_EQUAL(1, out.size());
  CheckRefused(out.back(), ErrorKind::kDeadlineExpired);
  LONGS_EQUAL(29, Load(gate, now).queued);
  while (Load(gate, now).queued > 0) {
    CHECK(now <= arrived + milliseconds{950});
    now = Tick();
  }
}
