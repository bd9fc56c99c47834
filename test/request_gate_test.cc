#include "hawthornbank/request_gate.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = RequestAction::Kind;

TEST_GROUP(RequestGate) {
  RequestGateOptions options{.target = TargetId{7},
                             .incarnation = Incarnation{3},
                             .slots = 3,
                             .queue_limit = 8};
  RequestGate gate = MakeRequestGate(options);
  TimePoint now{seconds{100}};
  Random random{1};
  RequestActions out;
  std::uint64_t next_waiter = 1;
  Answer answer = std::make_shared<const std::vector<std::uint8_t>>(
      std::vector<std::uint8_t>{1});

  auto Reset()->void {
    gate = MakeRequestGate(options);
  }

  auto Ask(const char* id, Duration time_left = seconds{10})->Request {
    return {.waiter = WaiterId{next_waiter++},
            .id = id,
            .caller = next_waiter,
            .deadline = now + time_left,
            .idempotent = false};
  }
  auto Send(const Request& request)->RequestAction {
    out.clear();
    Submit(gate, request, now, random, out);
    return out.empty() ? RequestAction{} : out.front();
  }
  auto Outcomes(RequestHandle handle, Outcome outcome)->void {
    out.clear();
    OnOutcome(gate, handle, outcome, answer, now, random, out);
  }
  auto Tick()->TimePoint {
    out.clear();
    return OnTick(gate, now, random, out);
  }
  auto WithToken(const char* id, Duration time_left = seconds{10})->Request {
    auto request = Ask(id, time_left);
    const auto challenge = Send(request);
    CHECK(challenge.kind == Kind::kChallenge);
    request.waiter = WaiterId{next_waiter++};
    request.token = challenge.token;
    return request;
  }
  auto SendPlain(Duration time_left = seconds{10})->RequestAction {
    auto request = Ask("", time_left);
    request.idempotent = true;
    return Send(request);
  }
  // Ends the ramp-up of a cold target.
  auto WarmUp()->void {
    for (int n = 0; n < 12; ++n) {
      const auto start = SendPlain();
      now += milliseconds{50};
      Outcomes(start.request, Outcome::kSucceeded);
    }
  }
  auto FillSlots()->RequestHandle {
    RequestHandle first{};
    for (std::uint32_t n = 0; n < options.slots; ++n) {
      const auto action = SendPlain();
      CHECK(action.kind == Kind::kStart);
      first = n == 0 ? action.request : first;
    }
    return first;
  }
  auto Value(GateCounter counter)->std::uint64_t {
    return CounterValue(gate, counter);
  }
  auto CheckRefused(const RequestAction& action, ErrorKind error)->void {
    CHECK(action.kind == Kind::kRefuse);
    STRCMP_EQUAL(AnswerFor(error).name.data(),
                 AnswerFor(action.error).name.data());
  }
};

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

TEST(RequestGate, GivenUpAtTheDeadlineAndLateAnswerKept) {
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

TEST(RequestGate, NothingStartsThatCannotEndInTime) {
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

TEST(RequestGate, HopelessWaiterIsToldBeforeItsDeadline) {
  WarmUp();
  FillSlots();
  SendPlain(milliseconds{300});
  const auto wake = Tick();
  CHECK(wake < now + milliseconds{300});
  now = wake;
  Tick();
  CheckRefused(out.front(), ErrorKind::kDeadlineExpired);
}

TEST(RequestGate, QueueIsBoundedAndDoubleOnesComeFirst) {
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

TEST(RequestGate, OneGreedyCallerDoesNotShutOutAnother) {
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

TEST(RequestGate, RetriesWhatTheTargetShedUnderTheBudget) {
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

TEST(RequestGate, LostNonIdempotentIsNeverRetried) {
  WarmUp();
  const auto start = Send(WithToken("a"));
  Outcomes(start.request, Outcome::kLost);
  CheckRefused(out.back(), ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(0, Value(GateCounter::kRetriedLost));
}

TEST(RequestGate, NoRetryPastTheDeadline) {
  WarmUp();
  Outcomes(SendPlain(milliseconds{55}).request, Outcome::kShed);
  CheckRefused(out.front(), ErrorKind::kOverloaded);
  LONGS_EQUAL(1, Value(GateCounter::kRetryRefusedDeadline));
}

TEST(RequestGate, DrainCutsNoAcceptedRequest) {
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

TEST(RequestGate, DrainSendsCallersElsewhereAtOnce) {
  WarmUp();
  BeginDrain(gate);
  LONGS_EQUAL(0, SendPlain().retry_after.count());
}

TEST(RequestGate, EndOfDrainTakesNewWorkAgain) {
  WarmUp();
  BeginDrain(gate);
  CheckRefused(SendPlain(), ErrorKind::kDraining);
  EndDrain(gate);
  CHECK(SendPlain().kind == Kind::kStart);
  CHECK_FALSE(Load(gate, now).draining);
}

TEST(RequestGate, AbortTellsEachWaiterTheTruth) {
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

TEST(RequestGate, WorkOfAGoneCallerFreesItsSlot) {
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

TEST(RequestGate, StalledTargetGetsNothingButProbes) {
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

TEST(RequestGate, ComeBackInstantsAreSpread) {
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
