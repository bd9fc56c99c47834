#ifndef HAWTHORNBANK_TEST_REQUEST_GATE_FIXTURE_H_
#define HAWTHORNBANK_TEST_REQUEST_GATE_FIXTURE_H_

#include "hawthornbank/request_gate.h"

#include <CppUTest/TestHarness.h>

/// @file
/// A gate with its clock and the requests that the tests send to it.
namespace hawthornbank {

/// Base of the test groups of the request gate.
struct RequestGateFixture : Utest {
  using Kind = RequestAction::Kind;
  using milliseconds = std::chrono::milliseconds;
  using seconds = std::chrono::seconds;

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

  auto Reset() -> void { gate = MakeRequestGate(options); }

  auto Ask(const char* id, Duration time_left = seconds{10}) -> Request {
    return {.waiter = WaiterId{next_waiter++},
            .id = id,
            .caller = next_waiter,
            .deadline = now + time_left,
            .idempotent = false};
  }
  auto Send(const Request& request) -> RequestAction {
    out.clear();
    Submit(gate, request, now, random, out);
    return out.empty() ? RequestAction{} : out.front();
  }
  auto Outcomes(RequestHandle handle, Outcome outcome) -> void {
    out.clear();
    OnOutcome(gate, handle, outcome, answer, now, random, out);
  }
  auto Tick() -> TimePoint {
    out.clear();
    return OnTick(gate, now, random, out);
  }
  auto WithToken(const char* id, Duration time_left = seconds{10}) -> Request {
    auto request = Ask(id, time_left);
    const auto challenge = Send(request);
    CHECK(challenge.kind == Kind::kChallenge);
    request.waiter = WaiterId{next_waiter++};
    request.token = challenge.token;
    return request;
  }
  auto SendPlain(Duration time_left = seconds{10}) -> RequestAction {
    auto request = Ask("", time_left);
    request.idempotent = true;
    return Send(request);
  }
  // Ends the ramp-up of a cold target.
  auto WarmUp() -> void {
    for (int n = 0; n < 12; ++n) {
      const auto start = SendPlain();
      now += milliseconds{50};
      Outcomes(start.request, Outcome::kSucceeded);
    }
  }
  auto FillSlots() -> RequestHandle {
    RequestHandle first{};
    for (std::uint32_t n = 0; n < options.slots; ++n) {
      const auto action = SendPlain();
      CHECK(action.kind == Kind::kStart);
      first = n == 0 ? action.request : first;
    }
    return first;
  }
  auto Value(GateCounter counter) -> std::uint64_t {
    return CounterValue(gate, counter);
  }
  auto CheckRefused(const RequestAction& action, ErrorKind error) -> void {
    CHECK(action.kind == Kind::kRefuse);
    STRCMP_EQUAL(AnswerFor(error).name.data(),
                 AnswerFor(action.error).name.data());
  }
};

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_TEST_REQUEST_GATE_FIXTURE_H_
