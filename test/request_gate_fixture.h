#ifndef HAWTHORNBANK_TEST_REQUEST_GATE_FIXTURE_H_
#define HAWTHORNBANK_TEST_REQUEST_GATE_FIXTURE_H_

#include "hawthornbank/request_gate.h"

#include <CppUTest/TestHarness.h>

/// @file
/// Fixture of the gate tests: a gate, a clock, and helpers to send requests and
/// to report their outcomes.
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

  auto ResetGate() -> void { gate = MakeRequestGate(options); }

  auto MakeTestRequest(const char* id, Duration time_left = seconds{10})
      -> Request {
    return {.waiter = WaiterId{next_waiter++},
            .id = id,
            .caller = next_waiter,
            .deadline = now + time_left,
            .idempotent = false};
  }
  // Submits a request and returns the first action, or an empty action.
  auto SendRequest(const Request& request) -> RequestAction {
    out.clear();
    SubmitRequest(gate, request, now, random, out);
    return out.empty() ? RequestAction{} : out.front();
  }
  auto ReportOutcome(RequestHandle handle, RequestOutcome outcome) -> void {
    out.clear();
    OnRequestOutcome(gate, handle, outcome, answer, now, random, out);
  }
  auto RunRequestGateTick() -> TimePoint {
    out.clear();
    return OnRequestGateTick(gate, now, random, out);
  }
  // Sends a request without a token, and returns a repeat with the token of the
  // gate's challenge.
  auto MakeTestRequestWithToken(const char* id,
                                Duration time_left = seconds{10}) -> Request {
    auto request = MakeTestRequest(id, time_left);
    const auto challenge = SendRequest(request);
    CHECK(challenge.kind == Kind::kChallenge);
    request.waiter = WaiterId{next_waiter++};
    request.token = challenge.token;
    return request;
  }
  auto SendIdempotentRequest(Duration time_left = seconds{10})
      -> RequestAction {
    auto request = MakeTestRequest("", time_left);
    request.idempotent = true;
    return SendRequest(request);
  }
  // Ends the slow start of a cold target with twelve successful requests.
  auto WarmUpTarget() -> void {
    for (int n = 0; n < 12; ++n) {
      const auto start = SendIdempotentRequest();
      now += milliseconds{50};
      ReportOutcome(start.request, RequestOutcome::kSucceeded);
    }
  }
  // Starts a request in every slot and returns the handle of the first request.
  auto FillAllSlots() -> RequestHandle {
    RequestHandle first{};
    for (std::uint32_t n = 0; n < options.slots; ++n) {
      const auto action = SendIdempotentRequest();
      CHECK(action.kind == Kind::kStart);
      first = n == 0 ? action.request : first;
    }
    return first;
  }
  auto GetCounterValue(GateCounter counter) -> std::uint64_t {
    return ReadGateCounter(gate, counter);
  }
  auto ExpectRefusal(const RequestAction& action, ErrorKind error) -> void {
    CHECK(action.kind == Kind::kRefuse);
    STRCMP_EQUAL(LookUpErrorAnswer(error).name.data(),
                 LookUpErrorAnswer(action.error).name.data());
  }
};

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_TEST_REQUEST_GATE_FIXTURE_H_
