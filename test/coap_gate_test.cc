#include "hawthornbank/coap_gate.h"

#include <algorithm>

#include "hawthornbank/error.h"
#include "protocol/coap_codec.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using std::chrono::milliseconds;
using std::chrono::seconds;
using To = GateAction::Kind;

TEST_GROUP(CoapGate) {
  CoapGateOptions options{
      .gate = {.target = TargetId{7}, .incarnation = Incarnation{3}},
      .max_connections = 3,
      .token_keys = {{1}},
      .counts_double = true};
  CoapGate gate = MakeCoapGate(options);
  FlowKey flow{.service = ServiceId{1}, .caller = {0x0A000001, 1000}};
  FlowKey moved{.service = ServiceId{1}, .caller = {0x0A000001, 2000}};
  TimePoint now{seconds{100}};
  Random random{1};
  GateActions out;
  std::uint16_t next_id = 1;

  auto Make(std::uint8_t code, const char* path, const char* rid)->CoapMessage {
    CoapMessage message{.code = code,
                        .id = next_id++,
                        .token = {static_cast<std::uint8_t>(next_id)}};
    AddOption(message, CoapOptionNumber::kUriPath, path);
    if (*rid != 0) {
      AddOption(message, CoapOptionNumber::kUriQuery,
                std::string("rid=") + rid);
    }
    return message;
  }
  auto FromCaller(const FlowKey& key, const CoapMessage& message)->void {
    out.clear();
    OnCallerDatagram(gate, key, EncodeCoap(message), now, random, out);
  }
  auto FromTarget(const FlowKey& key, const CoapMessage& message)->void {
    out.clear();
    OnTargetDatagram(gate, key, EncodeCoap(message), now, random, out);
  }
  auto Sent(std::size_t n, To kind)->CoapMessage {
    CHECK(n < out.size());
    CHECK(out[n].kind == kind);
    return DecodeCoap(out[n].bytes, kMaxDatagram);
  }
  auto AnswerOf(const CoapMessage& request, const char* text)->CoapMessage {
    CoapMessage answer{.type = CoapType::kAck,
                       .code = kCoapContent,
                       .id = request.id,
                       .token = request.token};
    answer.payload.assign(text, text + std::string_view{text}.size());
    return answer;
  }
  // The same request again, in a message of its own and with the Echo.
  auto Repeat(CoapMessage message, const CoapMessage& challenge)->CoapMessage {
    message.id = next_id++;
    message.token = {static_cast<std::uint8_t>(next_id), 1};
    AddOption(message, CoapOptionNumber::kEcho,
              FindOption(challenge, CoapOptionNumber::kEcho)->value);
    return message;
  }
  auto Booking(const char* rid)->CoapMessage {
    const auto first = Make(kCoapPost, "quote", rid);
    FromCaller(flow, first);
    const auto challenge = Sent(0, To::kToCaller);
    LONGS_EQUAL(4 << 5 | 1, challenge.code);
    return Repeat(first, challenge);
  }
  auto Confirm(const CoapMessage& cancel)->void {
    auto reply = AnswerOf(cancel, "");
    reply.type = CoapType::kNon;
    reply.code = kCoapDeleted;
    FromTarget(flow, reply);
  }
  auto CheckError(const CoapMessage& reply, ErrorKind kind)->void {
    const auto& answer = AnswerFor(kind);
    LONGS_EQUAL(answer.coap_class << 5 | answer.coap_detail, reply.code);
    const std::string text{reply.payload.begin(), reply.payload.end()};
    STRCMP_EQUAL(answer.name.data(), text.c_str());
    CHECK(answer.retryable ==
          (FindOption(reply, CoapOptionNumber::kMaxAge) != nullptr));
  }
  auto Value(std::string_view name)->std::uint64_t {
    const auto rows = GateCounters(gate);
    const auto it =
        std::find_if(rows.begin(), rows.end(),
                     [&](const auto& row) { return row.name == name; });
    CHECK(it != rows.end());
    return it->value;
  }
};

TEST(CoapGate, BookingRunsOnceAndRepeatsGetTheKeptAnswer) {
  const auto booking = Booking("a");
  FromCaller(flow, booking);
  LONGS_EQUAL(1, out.size());
  const auto run = Sent(0, To::kToTarget);
  POINTERS_EQUAL(nullptr, FindOption(run, CoapOptionNumber::kEcho));
  FromCaller(flow, booking);  // Retransmitted while it runs.
  LONGS_EQUAL(0, out.size());
  FromTarget(flow, AnswerOf(run, "booked"));
  const auto reply = Sent(0, To::kToCaller);
  LONGS_EQUAL(booking.id, reply.id);
  CHECK(reply.token == booking.token);
  FromCaller(flow, booking);  // Its answer was lost.
  CHECK(Sent(0, To::kToCaller) == reply);
  auto repeat = booking;  // From another address, with another message.
  repeat.id = 4711;
  repeat.token = {9, 9};
  FromCaller(moved, repeat);
  const auto kept = Sent(0, To::kToCaller);
  LONGS_EQUAL(4711, kept.id);
  CHECK(kept.token == repeat.token);
  CHECK(kept.payload == reply.payload);
  LONGS_EQUAL(1, Value("started"));
}

TEST(CoapGate, RepeatOnAnotherFlowJoinsTheRunningOne) {
  const auto booking = Booking("a");
  FromCaller(flow, booking);
  const auto run = Sent(0, To::kToTarget);
  FromCaller(moved, booking);
  LONGS_EQUAL(0, out.size());
  FromTarget(flow, AnswerOf(run, "booked"));
  LONGS_EQUAL(2, out.size());
  CHECK(out[0].flow == flow && out[1].flow == moved);
  CHECK(out[0].bytes == out[1].bytes);
}

TEST(CoapGate, CrossedAnswersReachTheirOwnRequests) {
  const auto a = Make(kCoapGet, "x", "");
  const auto b = Make(kCoapGet, "y", "");
  for (int n = 0; n < 4; ++n) {  // Warm up, so that both run at once.
    FromCaller(flow, Make(kCoapGet, "w", ""));
    FromTarget(flow, AnswerOf(Sent(0, To::kToTarget), ""));
  }
  FromCaller(flow, a);
  const auto run_a = Sent(0, To::kToTarget);
  FromCaller(flow, b);
  const auto run_b = Sent(0, To::kToTarget);
  FromTarget(flow, AnswerOf(run_b, "b"));
  CHECK(Sent(0, To::kToCaller) == AnswerOf(b, "b"));
  FromTarget(flow, AnswerOf(run_a, "a"));
  CHECK(Sent(0, To::kToCaller) == AnswerOf(a, "a"));
  FromTarget(flow, AnswerOf(run_a, "a"));
  LONGS_EQUAL(0, out.size());
}

TEST(CoapGate, LateAnswerIsNotTakenForThatOfAReusedToken) {
  for (int n = 0; n < 4; ++n) {  // Warm up, as the late one holds its slot.
    FromCaller(flow, Make(kCoapGet, "w", ""));
    FromTarget(flow, AnswerOf(Sent(0, To::kToTarget), ""));
  }
  auto a = Make(kCoapGet, "x", "");
  AddOption(a, CoapOptionNumber::kUriQuery, "deadline_ms=1000");
  FromCaller(flow, a);
  const auto run_a = Sent(0, To::kToTarget);
  now += seconds{1};
  out.clear();
  OnGateTick(gate, now, random, out);
  CheckError(Sent(0, To::kToCaller), ErrorKind::kOutcomeUnknown);
  auto b = a;
  b.id = next_id++;
  FromCaller(flow, b);
  const auto run_b = Sent(0, To::kToTarget);
  auto late = AnswerOf(run_a, "a");
  late.type = CoapType::kNon;
  FromTarget(flow, late);
  LONGS_EQUAL(0, out.size());
  FromTarget(flow, AnswerOf(run_b, "b"));
  CHECK(Sent(0, To::kToCaller) == AnswerOf(b, "b"));
}

TEST(CoapGate, SeparateAnswerKeepsItsAcknowledgement) {
  const auto a = Make(kCoapGet, "x", "");
  FromCaller(flow, a);
  const auto run = Sent(0, To::kToTarget);
  FromTarget(flow, {.type = CoapType::kAck, .id = run.id});
  CHECK((Sent(0, To::kToCaller) ==
         CoapMessage{.type = CoapType::kAck, .id = a.id}));
  FromCaller(flow, a);
  LONGS_EQUAL(a.id, Sent(0, To::kToCaller).id);
  auto answer = AnswerOf(run, "late");
  answer.type = CoapType::kCon;
  answer.id = 0x7777;
  for (int n = 0; n < 2; ++n) {  // The caller's ACK is lost once.
    FromTarget(flow, answer);
    const auto reply = Sent(0, To::kToCaller);
    CHECK(reply.type == CoapType::kCon && reply.token == a.token);
    LONGS_EQUAL(0x7777, reply.id);
  }
  FromCaller(flow, {.type = CoapType::kAck, .id = 0x7777});
  LONGS_EQUAL(0x7777, Sent(0, To::kToTarget).id);
}

TEST(CoapGate, RestartedTargetSaysUnknownAndNeverRuns) {
  const auto booking = Booking("a");
  options.gate.incarnation = Incarnation{4};
  gate = MakeCoapGate(options);
  FromCaller(flow, booking);
  LONGS_EQUAL(1, out.size());
  CheckError(Sent(0, To::kToCaller), ErrorKind::kOutcomeUnknown);
}

TEST(CoapGate, TokenOfAnotherTargetIsPassedOnOrUnknown) {
  const auto booking = Booking("a");
  options.gate.target = TargetId{8};
  gate = MakeCoapGate(options);
  FromCaller(flow, booking);
  CheckError(Sent(0, To::kToCaller), ErrorKind::kOutcomeUnknown);
  options.pass_to_other_targets = true;
  gate = MakeCoapGate(options);
  FromCaller(flow, booking);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].target == TargetId{7});
  CHECK(Sent(0, To::kToOtherTarget) == booking);
  const auto passed = out[0].bytes;
  out.clear();
  RefusePassed(gate, flow, passed, random, out);
  CheckError(Sent(0, To::kToCaller), ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(0, Value("started"));
}

TEST(CoapGate, TokenIsBoundToItsRequest) {
  const auto booking = Booking("a");
  auto other = Make(kCoapPost, "quote", "b");
  AddOption(other, CoapOptionNumber::kEcho,
            FindOption(booking, CoapOptionNumber::kEcho)->value);
  FromCaller(flow, other);
  CheckError(Sent(0, To::kToCaller), ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(1, Value("unknown_token_forged"));
}

TEST(CoapGate, ObserverHoldsNoSlotAndGetsNotifications) {
  auto watch = Make(kCoapGet, "board", "");
  AddUintOption(watch, CoapOptionNumber::kObserve, 0);
  FromCaller(flow, watch);
  const auto run = Sent(0, To::kToTarget);
  auto answer = AnswerOf(run, "1");
  AddUintOption(answer, CoapOptionNumber::kObserve, 1);
  FromTarget(flow, answer);
  CHECK(Sent(0, To::kToCaller).token == watch.token);
  LONGS_EQUAL(0, GateLoad(gate, now).slots_busy);
  answer.type = CoapType::kCon;
  for (std::uint16_t n = 100; n < 103; ++n) {
    answer.id = n;
    FromTarget(flow, answer);
    const auto notification = Sent(0, To::kToCaller);
    CHECK(notification.token == watch.token);
    LONGS_EQUAL(n, notification.id);
  }
  FromCaller(flow, {.type = CoapType::kRst, .id = 102});
  LONGS_EQUAL(102, Sent(0, To::kToTarget).id);
  auto stop = watch;
  stop.id = next_id++;
  RemoveOption(stop, CoapOptionNumber::kObserve);
  AddUintOption(stop, CoapOptionNumber::kObserve, 1);
  FromCaller(flow, stop);
  const auto stop_run = Sent(0, To::kToTarget);
  CHECK(stop_run.token == run.token);
  FromTarget(flow, AnswerOf(stop_run, "1"));
  FromTarget(flow, answer);
  LONGS_EQUAL(0, std::count_if(out.begin(), out.end(), [](const auto& it) {
                return it.kind == To::kToCaller;
              }));
}

TEST(CoapGate, PartsOfAnUploadPassEachOnce) {
  CoapMessage challenge;
  for (std::uint32_t n = 0; n < 4; ++n) {
    auto part = Make(kCoapPost, "plan", "up");
    AddUintOption(part, CoapOptionNumber::kBlock1, n << 4U | 8U | 6U);
    if (n == 0) {
      FromCaller(flow, part);
      challenge = Sent(0, To::kToCaller);
    }
    part = Repeat(part, challenge);
    FromCaller(flow, part);
    const auto run = Sent(0, To::kToTarget);
    FromTarget(flow, AnswerOf(run, "part"));
    CHECK(Sent(0, To::kToCaller) == AnswerOf(part, "part"));
  }
  LONGS_EQUAL(4, Value("started"));
}

TEST(CoapGate, DeadlineTravelsToTheTarget) {
  FromCaller(flow, Make(kCoapGet, "w", ""));
  const auto busy = Sent(0, To::kToTarget);
  auto a = Make(kCoapGet, "x", "");
  AddOption(a, CoapOptionNumber::kUriQuery, "deadline_ms=5000");
  FromCaller(flow, a);
  LONGS_EQUAL(0, out.size());
  now += milliseconds{400};
  FromTarget(flow, AnswerOf(busy, ""));
  const auto run = Sent(1, To::kToTarget);
  STRCMP_EQUAL("4600", QueryValue(run, "deadline_ms")->c_str());
}

TEST(CoapGate, CancelAndResetEndTheWork) {
  const auto booking = Booking("a");
  FromCaller(flow, booking);
  const auto run = Sent(0, To::kToTarget);
  auto cancel = Make(kCoapGet, "quote", "");
  AddOption(cancel, CoapOptionNumber::kUriQuery, "cancel=a");
  FromCaller(flow, cancel);
  STRCMP_EQUAL("a", QueryValue(Sent(0, To::kToTarget), "cancel")->c_str());
  CheckError(Sent(1, To::kToCaller), ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(kCoapDeleted, Sent(2, To::kToCaller).code);
  LONGS_EQUAL(1, GateLoad(gate, now).slots_busy);
  cancel.id = next_id++;
  FromCaller(flow, cancel);
  CheckError(Sent(0, To::kToCaller), ErrorKind::kUnknownRequest);
  FromTarget(flow, AnswerOf(run, "booked"));
  LONGS_EQUAL(0, out.size());
  LONGS_EQUAL(0, GateLoad(gate, now).slots_busy);
  const auto second = Booking("b");
  FromCaller(flow, second);
  FromCaller(flow, {.type = CoapType::kRst, .id = second.id});
  LONGS_EQUAL(1, GateLoad(gate, now).slots_busy);
  Confirm(Sent(1, To::kToTarget));
  LONGS_EQUAL(0, GateLoad(gate, now).slots_busy);
  LONGS_EQUAL(1, Value("cancel_confirmed"));
}

TEST(CoapGate, OnlyDeletedConfirmsACancellation) {
  const auto booking = Booking("a");
  FromCaller(flow, booking);
  FromCaller(flow, {.type = CoapType::kRst, .id = booking.id});
  const auto cancel = Sent(1, To::kToTarget);
  // A target that knows no cancellations takes it for a read.
  FromTarget(flow, AnswerOf(cancel, "board"));
  LONGS_EQUAL(0, out.size());
  LONGS_EQUAL(1, GateLoad(gate, now).slots_busy);
  Confirm(cancel);
  LONGS_EQUAL(1, GateLoad(gate, now).slots_busy);
  now += seconds{4};
  OnGateTick(gate, now, random, out);
  LONGS_EQUAL(0, GateLoad(gate, now).slots_busy);
  LONGS_EQUAL(1, Value("cancel_unconfirmed"));
}

TEST(CoapGate, ClosedFlowFreesItsSlots) {
  FromCaller(flow, Make(kCoapGet, "x", ""));
  LONGS_EQUAL(1, GateLoad(gate, now).slots_busy);
  OnFlowClosed(gate, flow, now, random, out);
  // No confirmation can come, so the slot is free when the work must have
  // ended.
  LONGS_EQUAL(1, GateLoad(gate, now).slots_busy);
  now += milliseconds{400};
  OnGateTick(gate, now, random, out);
  LONGS_EQUAL(0, GateLoad(gate, now).slots_busy);
  LONGS_EQUAL(0, GateLoad(gate, now).connections);
}

TEST(CoapGate, ConnectionLimit) {
  for (std::uint16_t port = 1; port <= 3; ++port) {
    flow.caller.port = port;
    FromCaller(flow, Make(kCoapGet, "x", ""));
  }
  flow.caller.port = 4;
  FromCaller(flow, Make(kCoapGet, "x", ""));
  CheckError(Sent(0, To::kToCaller), ErrorKind::kOverloaded);
  LONGS_EQUAL(1, Value("refused_connections"));
  LONGS_EQUAL(3, GateLoad(gate, now).connections);
}

TEST(CoapGate, BadInputGetsItsOwnAnswer) {
  FromCaller(flow, Make(kCoapPost, "quote", ""));
  CheckError(Sent(0, To::kToCaller), ErrorKind::kMalformed);
  auto request = Make(kCoapGet, "x", "");
  AddOption(request, CoapOptionNumber::kUriQuery, "deadline_ms=soon");
  FromCaller(flow, request);
  CheckError(Sent(0, To::kToCaller), ErrorKind::kMalformed);
  request = Make(kCoapGet, "x", "");
  AddOption(request, CoapOptionNumber::kUriQuery, "deadline_ms=0");
  FromCaller(flow, request);
  CheckError(Sent(0, To::kToCaller), ErrorKind::kDeadlineExpired);
  request = Make(kCoapPost, "quote", "a");
  request.payload.assign(kMaxCallerMessage, 1);
  FromCaller(flow, request);
  CheckError(Sent(0, To::kToCaller), ErrorKind::kTooLarge);
  out.clear();
  const std::vector<std::uint8_t> broken = {0x40, 1, 0, 5, 0xFF};
  OnCallerDatagram(gate, flow, broken, now, random, out);
  CheckError(Sent(0, To::kToCaller), ErrorKind::kMalformed);
  FromCaller(flow, {.type = CoapType::kCon, .id = 77});
  CHECK(Sent(0, To::kToCaller).type == CoapType::kRst);
  LONGS_EQUAL(0, Value("started"));
}

TEST(CoapGate, DrainRefusesNewAndEndsTheRest) {
  FromCaller(flow, Make(kCoapGet, "x", ""));
  const auto run = Sent(0, To::kToTarget);
  BeginGateDrain(gate);
  CHECK_FALSE(IsGateDrained(gate, now));
  FromCaller(flow, Make(kCoapGet, "y", ""));
  CheckError(Sent(0, To::kToCaller), ErrorKind::kDraining);
  FromTarget(flow, AnswerOf(run, "x"));
  STRCMP_EQUAL("x", std::string(1, Sent(0, To::kToCaller).payload[0]).c_str());
  CHECK(IsGateDrained(gate, now));
}

TEST(CoapGate, EndOfDrainTakesRequestsAgain) {
  BeginGateDrain(gate);
  CHECK(IsGateDrained(gate, now));
  EndGateDrain(gate);
  CHECK_FALSE(IsGateDrained(gate, now));
  FromCaller(flow, Make(kCoapGet, "x", ""));
  CHECK(Sent(0, To::kToTarget).code == kCoapGet);
}

TEST(CoapGate, TargetsRefusalIsRetriedThenPassedWithComeBack) {
  FromCaller(flow, Make(kCoapGet, "x", ""));
  auto shed = AnswerOf(Sent(0, To::kToTarget), "");
  shed.code = kCoapServiceUnavailable;
  FromTarget(flow, shed);
  CheckError(Sent(0, To::kToCaller), ErrorKind::kOverloaded);
  LONGS_EQUAL(1, Value("retry_refused_budget"));
}
