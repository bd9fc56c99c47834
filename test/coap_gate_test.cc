#include "hawthornbank/coap_gate.h"

#include <algorithm>

#include "hawthornbank/error.h"
#include "protocol/coap_codec.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using std::chrono::milliseconds;
using std::chrono::seconds;
using ActionKind = GateAction::Kind;

TEST_GROUP(CoapGate) {
  CoapGateOptions options{
      .gate = {.target = TargetId{7}, .incarnation = Incarnation{3}},
      .max_connections = 3,
      .token_keys = {{1}},
      .has_double_weight = true};
  CoapGate gate = MakeCoapGate(options);
  FlowKey flow{.service = ServiceId{1}, .caller = {0x0A000001, 1000}};
  FlowKey moved_flow{.service = ServiceId{1}, .caller = {0x0A000001, 2000}};
  TimePoint now{seconds{100}};
  Random random{1};
  GateActions out;
  std::uint16_t next_id = 1;

  auto MakeRequestMessage(std::uint8_t code, const char* path, const char* rid)
      ->CoapMessage {
    CoapMessage message{.code = code,
                        .id = next_id++,
                        .token = {static_cast<std::uint8_t>(next_id)}};
    AddCoapOption(message, CoapOptionNumber::kUriPath, path);
    if (*rid != 0) {
      AddCoapOption(message, CoapOptionNumber::kUriQuery,
                    std::string("rid=") + rid);
    }
    return message;
  }
  auto DeliverFromCaller(const FlowKey& key, const CoapMessage& message)->void {
    out.clear();
    OnCallerDatagram(gate, key, EncodeCoapMessage(message), now, random, out);
  }
  auto DeliverFromTarget(const FlowKey& key, const CoapMessage& message)->void {
    out.clear();
    OnTargetDatagram(gate, key, EncodeCoapMessage(message), now, random, out);
  }
  auto DecodeSentMessage(std::size_t n, ActionKind kind)->CoapMessage {
    CHECK(n < out.size());
    CHECK(out[n].kind == kind);
    return DecodeCoapMessage(out[n].bytes, kMaxUdpPayloadBytes);
  }
  auto MakeTargetAnswer(const CoapMessage& request, const char* text)
      ->CoapMessage {
    CoapMessage answer{.type = CoapType::kAck,
                       .code = kCoapContent,
                       .id = request.id,
                       .token = request.token};
    answer.payload.assign(text, text + std::string_view{text}.size());
    return answer;
  }
  // Returns a new message that repeats a request with the Echo of a challenge.
  auto RepeatWithEcho(CoapMessage message, const CoapMessage& challenge)
      ->CoapMessage {
    message.id = next_id++;
    message.token = {static_cast<std::uint8_t>(next_id), 1};
    AddCoapOption(message, CoapOptionNumber::kEcho,
                  FindCoapOption(challenge, CoapOptionNumber::kEcho)->value);
    return message;
  }
  auto MakeBookingWithEcho(const char* rid)->CoapMessage {
    const auto first = MakeRequestMessage(kCoapPost, "quote", rid);
    DeliverFromCaller(flow, first);
    const auto challenge = DecodeSentMessage(0, ActionKind::kToCaller);
    LONGS_EQUAL(4 << 5 | 1, challenge.code);
    return RepeatWithEcho(first, challenge);
  }
  auto ConfirmCancellation(const CoapMessage& cancel)->void {
    auto reply = MakeTargetAnswer(cancel, "");
    reply.type = CoapType::kNon;
    reply.code = kCoapDeleted;
    DeliverFromTarget(flow, reply);
  }
  auto CheckErrorReply(const CoapMessage& reply, ErrorKind kind)->void {
    const auto& answer = LookUpErrorAnswer(kind);
    LONGS_EQUAL(answer.coap_class << 5 | answer.coap_detail, reply.code);
    const std::string text{reply.payload.begin(), reply.payload.end()};
    STRCMP_EQUAL(answer.name.data(), text.c_str());
    CHECK(answer.retryable ==
          (FindCoapOption(reply, CoapOptionNumber::kMaxAge) != nullptr));
  }
  auto GetCounterValue(std::string_view name)->std::uint64_t {
    const auto rows = ListGateCounters(gate);
    const auto it =
        std::find_if(rows.begin(), rows.end(),
                     [&](const auto& row) { return row.name == name; });
    CHECK(it != rows.end());
    return it->value;
  }
};

TEST(CoapGate, BookingRunsOnceAndRepeatsGetTheKeptAnswer) {
  const auto booking = MakeBookingWithEcho("a");
  DeliverFromCaller(flow, booking);
  LONGS_EQUAL(1, out.size());
  const auto target_request = DecodeSentMessage(0, ActionKind::kToTarget);
  POINTERS_EQUAL(nullptr,
                 FindCoapOption(target_request, CoapOptionNumber::kEcho));
  DeliverFromCaller(flow, booking);  // Retransmitted while the request runs.
  LONGS_EQUAL(0, out.size());
  DeliverFromTarget(flow, MakeTargetAnswer(target_request, "booked"));
  const auto reply = DecodeSentMessage(0, ActionKind::kToCaller);
  LONGS_EQUAL(booking.id, reply.id);
  CHECK(reply.token == booking.token);
  DeliverFromCaller(flow, booking);  // Retransmitted after the answer was lost.
  CHECK(DecodeSentMessage(0, ActionKind::kToCaller) == reply);
  auto repeat = booking;  // Sent from another port as a new message.
  repeat.id = 4711;
  repeat.token = {9, 9};
  DeliverFromCaller(moved_flow, repeat);
  const auto kept_answer = DecodeSentMessage(0, ActionKind::kToCaller);
  LONGS_EQUAL(4711, kept_answer.id);
  CHECK(kept_answer.token == repeat.token);
  CHECK(kept_answer.payload == reply.payload);
  LONGS_EQUAL(1, GetCounterValue("started"));
}

TEST(CoapGate, RepeatOnAnotherFlowJoinsTheRunningRequest) {
  const auto booking = MakeBookingWithEcho("a");
  DeliverFromCaller(flow, booking);
  const auto target_request = DecodeSentMessage(0, ActionKind::kToTarget);
  DeliverFromCaller(moved_flow, booking);
  LONGS_EQUAL(0, out.size());
  DeliverFromTarget(flow, MakeTargetAnswer(target_request, "booked"));
  LONGS_EQUAL(2, out.size());
  CHECK(out[0].flow == flow && out[1].flow == moved_flow);
  CHECK(out[0].bytes == out[1].bytes);
}

TEST(CoapGate, AnswersInReversedOrderAreMatchedToTheirRequests) {
  const auto a = MakeRequestMessage(kCoapGet, "x", "");
  const auto b = MakeRequestMessage(kCoapGet, "y", "");
  for (int n = 0; n < 4; ++n) {  // Slow start allows two slots afterwards.
    DeliverFromCaller(flow, MakeRequestMessage(kCoapGet, "w", ""));
    DeliverFromTarget(
        flow,
        MakeTargetAnswer(DecodeSentMessage(0, ActionKind::kToTarget), ""));
  }
  DeliverFromCaller(flow, a);
  const auto target_request_a = DecodeSentMessage(0, ActionKind::kToTarget);
  DeliverFromCaller(flow, b);
  const auto target_request_b = DecodeSentMessage(0, ActionKind::kToTarget);
  DeliverFromTarget(flow, MakeTargetAnswer(target_request_b, "b"));
  CHECK(DecodeSentMessage(0, ActionKind::kToCaller) ==
        MakeTargetAnswer(b, "b"));
  DeliverFromTarget(flow, MakeTargetAnswer(target_request_a, "a"));
  CHECK(DecodeSentMessage(0, ActionKind::kToCaller) ==
        MakeTargetAnswer(a, "a"));
  DeliverFromTarget(flow, MakeTargetAnswer(target_request_a, "a"));
  LONGS_EQUAL(0, out.size());
}

TEST(CoapGate, LateAnswerIsNotMatchedToANewRequestWithTheSameToken) {
  // Slow start allows two slots afterwards; the late request holds one of them.
  for (int n = 0; n < 4; ++n) {
    DeliverFromCaller(flow, MakeRequestMessage(kCoapGet, "w", ""));
    DeliverFromTarget(
        flow,
        MakeTargetAnswer(DecodeSentMessage(0, ActionKind::kToTarget), ""));
  }
  auto a = MakeRequestMessage(kCoapGet, "x", "");
  AddCoapOption(a, CoapOptionNumber::kUriQuery, "deadline_ms=1000");
  DeliverFromCaller(flow, a);
  const auto target_request_a = DecodeSentMessage(0, ActionKind::kToTarget);
  now += seconds{1};
  out.clear();
  OnCoapGateTick(gate, now, random, out);
  CheckErrorReply(DecodeSentMessage(0, ActionKind::kToCaller),
                  ErrorKind::kOutcomeUnknown);
  auto b = a;
  b.id = next_id++;
  DeliverFromCaller(flow, b);
  const auto target_request_b = DecodeSentMessage(0, ActionKind::kToTarget);
  auto late_answer = MakeTargetAnswer(target_request_a, "a");
  late_answer.type = CoapType::kNon;
  DeliverFromTarget(flow, late_answer);
  LONGS_EQUAL(0, out.size());
  DeliverFromTarget(flow, MakeTargetAnswer(target_request_b, "b"));
  CHECK(DecodeSentMessage(0, ActionKind::kToCaller) ==
        MakeTargetAnswer(b, "b"));
}

TEST(CoapGate, SeparateResponseAndItsAcknowledgementAreForwarded) {
  const auto a = MakeRequestMessage(kCoapGet, "x", "");
  DeliverFromCaller(flow, a);
  const auto target_request = DecodeSentMessage(0, ActionKind::kToTarget);
  DeliverFromTarget(flow, {.type = CoapType::kAck, .id = target_request.id});
  CHECK((DecodeSentMessage(0, ActionKind::kToCaller) ==
         CoapMessage{.type = CoapType::kAck, .id = a.id}));
  DeliverFromCaller(flow, a);
  LONGS_EQUAL(a.id, DecodeSentMessage(0, ActionKind::kToCaller).id);
  auto answer = MakeTargetAnswer(target_request, "late");
  answer.type = CoapType::kCon;
  answer.id = 0x7777;
  for (int n = 0; n < 2; ++n) {  // The caller's first ACK is lost.
    DeliverFromTarget(flow, answer);
    const auto reply = DecodeSentMessage(0, ActionKind::kToCaller);
    CHECK(reply.type == CoapType::kCon && reply.token == a.token);
    LONGS_EQUAL(0x7777, reply.id);
  }
  DeliverFromCaller(flow, {.type = CoapType::kAck, .id = 0x7777});
  LONGS_EQUAL(0x7777, DecodeSentMessage(0, ActionKind::kToTarget).id);
}

TEST(CoapGate, TokenOfAnEarlierIncarnationStartsNoRequest) {
  const auto booking = MakeBookingWithEcho("a");
  options.gate.incarnation = Incarnation{4};
  gate = MakeCoapGate(options);
  DeliverFromCaller(flow, booking);
  LONGS_EQUAL(1, out.size());
  CheckErrorReply(DecodeSentMessage(0, ActionKind::kToCaller),
                  ErrorKind::kOutcomeUnknown);
}

TEST(CoapGate, TokenOfAnotherTargetIsForwardedOrAnsweredWithOutcomeUnknown) {
  const auto booking = MakeBookingWithEcho("a");
  options.gate.target = TargetId{8};
  gate = MakeCoapGate(options);
  DeliverFromCaller(flow, booking);
  CheckErrorReply(DecodeSentMessage(0, ActionKind::kToCaller),
                  ErrorKind::kOutcomeUnknown);
  options.forwards_to_other_targets = true;
  gate = MakeCoapGate(options);
  DeliverFromCaller(flow, booking);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].target == TargetId{7});
  CHECK(DecodeSentMessage(0, ActionKind::kToOtherTarget) == booking);
  const auto forwarded_datagram = out[0].bytes;
  out.clear();
  RefuseForwardedDatagram(gate, flow, forwarded_datagram, random, out);
  CheckErrorReply(DecodeSentMessage(0, ActionKind::kToCaller),
                  ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(0, GetCounterValue("started"));
}

TEST(CoapGate, TokenIsRejectedForAnotherRequestIdentity) {
  const auto booking = MakeBookingWithEcho("a");
  auto other = MakeRequestMessage(kCoapPost, "quote", "b");
  AddCoapOption(other, CoapOptionNumber::kEcho,
                FindCoapOption(booking, CoapOptionNumber::kEcho)->value);
  DeliverFromCaller(flow, other);
  CheckErrorReply(DecodeSentMessage(0, ActionKind::kToCaller),
                  ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(1, GetCounterValue("unknown_token_forged"));
}

TEST(CoapGate, ObserverHoldsNoSlotAndGetsNotifications) {
  auto observe_request = MakeRequestMessage(kCoapGet, "board", "");
  AddCoapUintOption(observe_request, CoapOptionNumber::kObserve, 0);
  DeliverFromCaller(flow, observe_request);
  const auto target_request = DecodeSentMessage(0, ActionKind::kToTarget);
  auto answer = MakeTargetAnswer(target_request, "1");
  AddCoapUintOption(answer, CoapOptionNumber::kObserve, 1);
  DeliverFromTarget(flow, answer);
  CHECK(DecodeSentMessage(0, ActionKind::kToCaller).token ==
        observe_request.token);
  LONGS_EQUAL(0, ComputeCoapGateLoad(gate, now).slots_busy);
  answer.type = CoapType::kCon;
  for (std::uint16_t n = 100; n < 103; ++n) {
    answer.id = n;
    DeliverFromTarget(flow, answer);
    const auto notification = DecodeSentMessage(0, ActionKind::kToCaller);
    CHECK(notification.token == observe_request.token);
    LONGS_EQUAL(n, notification.id);
  }
  DeliverFromCaller(flow, {.type = CoapType::kRst, .id = 102});
  LONGS_EQUAL(102, DecodeSentMessage(0, ActionKind::kToTarget).id);
  auto stop_request = observe_request;
  stop_request.id = next_id++;
  RemoveCoapOptions(stop_request, CoapOptionNumber::kObserve);
  AddCoapUintOption(stop_request, CoapOptionNumber::kObserve, 1);
  DeliverFromCaller(flow, stop_request);
  const auto target_stop_request = DecodeSentMessage(0, ActionKind::kToTarget);
  CHECK(target_stop_request.token == target_request.token);
  DeliverFromTarget(flow, MakeTargetAnswer(target_stop_request, "1"));
  DeliverFromTarget(flow, answer);
  LONGS_EQUAL(0, std::count_if(out.begin(), out.end(), [](const auto& it) {
                return it.kind == ActionKind::kToCaller;
              }));
}

TEST(CoapGate, EachBlockOfAnUploadRunsOnce) {
  CoapMessage challenge;
  for (std::uint32_t n = 0; n < 4; ++n) {
    auto part = MakeRequestMessage(kCoapPost, "plan", "up");
    AddCoapUintOption(part, CoapOptionNumber::kBlock1, n << 4U | 8U | 6U);
    if (n == 0) {
      DeliverFromCaller(flow, part);
      challenge = DecodeSentMessage(0, ActionKind::kToCaller);
    }
    part = RepeatWithEcho(part, challenge);
    DeliverFromCaller(flow, part);
    const auto target_request = DecodeSentMessage(0, ActionKind::kToTarget);
    DeliverFromTarget(flow, MakeTargetAnswer(target_request, "part"));
    CHECK(DecodeSentMessage(0, ActionKind::kToCaller) ==
          MakeTargetAnswer(part, "part"));
  }
  LONGS_EQUAL(4, GetCounterValue("started"));
}

TEST(CoapGate, TargetReceivesTheTimeLeftUntilTheDeadline) {
  DeliverFromCaller(flow, MakeRequestMessage(kCoapGet, "w", ""));
  const auto busy_request = DecodeSentMessage(0, ActionKind::kToTarget);
  auto a = MakeRequestMessage(kCoapGet, "x", "");
  AddCoapOption(a, CoapOptionNumber::kUriQuery, "deadline_ms=5000");
  DeliverFromCaller(flow, a);
  LONGS_EQUAL(0, out.size());
  now += milliseconds{400};
  DeliverFromTarget(flow, MakeTargetAnswer(busy_request, ""));
  const auto target_request = DecodeSentMessage(1, ActionKind::kToTarget);
  STRCMP_EQUAL("4600",
               FindQueryParameter(target_request, "deadline_ms")->c_str());
}

TEST(CoapGate, CancelParameterAndCallersResetCancelTheRequest) {
  const auto booking = MakeBookingWithEcho("a");
  DeliverFromCaller(flow, booking);
  const auto target_request = DecodeSentMessage(0, ActionKind::kToTarget);
  auto cancel = MakeRequestMessage(kCoapGet, "quote", "");
  AddCoapOption(cancel, CoapOptionNumber::kUriQuery, "cancel=a");
  DeliverFromCaller(flow, cancel);
  STRCMP_EQUAL("a", FindQueryParameter(
                        DecodeSentMessage(0, ActionKind::kToTarget), "cancel")
                        ->c_str());
  CheckErrorReply(DecodeSentMessage(1, ActionKind::kToCaller),
                  ErrorKind::kOutcomeUnknown);
  LONGS_EQUAL(kCoapDeleted, DecodeSentMessage(2, ActionKind::kToCaller).code);
  LONGS_EQUAL(1, ComputeCoapGateLoad(gate, now).slots_busy);
  cancel.id = next_id++;
  DeliverFromCaller(flow, cancel);
  CheckErrorReply(DecodeSentMessage(0, ActionKind::kToCaller),
                  ErrorKind::kUnknownRequest);
  DeliverFromTarget(flow, MakeTargetAnswer(target_request, "booked"));
  LONGS_EQUAL(0, out.size());
  LONGS_EQUAL(0, ComputeCoapGateLoad(gate, now).slots_busy);
  const auto second = MakeBookingWithEcho("b");
  DeliverFromCaller(flow, second);
  DeliverFromCaller(flow, {.type = CoapType::kRst, .id = second.id});
  LONGS_EQUAL(1, ComputeCoapGateLoad(gate, now).slots_busy);
  ConfirmCancellation(DecodeSentMessage(1, ActionKind::kToTarget));
  LONGS_EQUAL(0, ComputeCoapGateLoad(gate, now).slots_busy);
  LONGS_EQUAL(1, GetCounterValue("cancel_confirmed"));
}

TEST(CoapGate, OnlyADeletedResponseConfirmsACancellation) {
  const auto booking = MakeBookingWithEcho("a");
  DeliverFromCaller(flow, booking);
  DeliverFromCaller(flow, {.type = CoapType::kRst, .id = booking.id});
  const auto cancel = DecodeSentMessage(1, ActionKind::kToTarget);
  // A target that doesn't implement cancellations answers the cancelling GET
  // like any other GET.
  DeliverFromTarget(flow, MakeTargetAnswer(cancel, "board"));
  LONGS_EQUAL(0, out.size());
  LONGS_EQUAL(1, ComputeCoapGateLoad(gate, now).slots_busy);
  ConfirmCancellation(cancel);
  LONGS_EQUAL(1, ComputeCoapGateLoad(gate, now).slots_busy);
  now += seconds{4};
  OnCoapGateTick(gate, now, random, out);
  LONGS_EQUAL(0, ComputeCoapGateLoad(gate, now).slots_busy);
  LONGS_EQUAL(1, GetCounterValue("cancel_unconfirmed"));
}

TEST(CoapGate, SlotOfAClosedFlowIsFreedAfterTheStallTimeout) {
  DeliverFromCaller(flow, MakeRequestMessage(kCoapGet, "x", ""));
  LONGS_EQUAL(1, ComputeCoapGateLoad(gate, now).slots_busy);
  OnFlowClosed(gate, flow, now, random, out);
  // The target can't confirm the cancellation on a closed flow, so the slot is
  // freed after the stall timeout.
  LONGS_EQUAL(1, ComputeCoapGateLoad(gate, now).slots_busy);
  now += milliseconds{400};
  OnCoapGateTick(gate, now, random, out);
  LONGS_EQUAL(0, ComputeCoapGateLoad(gate, now).slots_busy);
  LONGS_EQUAL(0, ComputeCoapGateLoad(gate, now).connections);
}

TEST(CoapGate, RequestOnAFlowOverTheConnectionLimitIsRefused) {
  for (std::uint16_t port = 1; port <= 3; ++port) {
    flow.caller.port = port;
    DeliverFromCaller(flow, MakeRequestMessage(kCoapGet, "x", ""));
  }
  flow.caller.port = 4;
  DeliverFromCaller(flow, MakeRequestMessage(kCoapGet, "x", ""));
  CheckErrorReply(DecodeSentMessage(0, ActionKind::kToCaller),
                  ErrorKind::kOverloaded);
  LONGS_EQUAL(1, GetCounterValue("refused_connections"));
  LONGS_EQUAL(3, ComputeCoapGateLoad(gate, now).connections);
}

TEST(CoapGate, InvalidRequestIsAnsweredWithItsErrorKind) {
  DeliverFromCaller(flow, MakeRequestMessage(kCoapPost, "quote", ""));
  CheckErrorReply(DecodeSentMessage(0, ActionKind::kToCaller),
                  ErrorKind::kMalformed);
  auto request = MakeRequestMessage(kCoapGet, "x", "");
  AddCoapOption(request, CoapOptionNumber::kUriQuery, "deadline_ms=soon");
  DeliverFromCaller(flow, request);
  CheckErrorReply(DecodeSentMessage(0, ActionKind::kToCaller),
                  ErrorKind::kMalformed);
  request = MakeRequestMessage(kCoapGet, "x", "");
  AddCoapOption(request, CoapOptionNumber::kUriQuery, "deadline_ms=0");
  DeliverFromCaller(flow, request);
  CheckErrorReply(DecodeSentMessage(0, ActionKind::kToCaller),
                  ErrorKind::kDeadlineExpired);
  request = MakeRequestMessage(kCoapPost, "quote", "a");
  request.payload.assign(kMaxCallerMessageBytes, 1);
  DeliverFromCaller(flow, request);
  CheckErrorReply(DecodeSentMessage(0, ActionKind::kToCaller),
                  ErrorKind::kTooLarge);
  out.clear();
  const std::vector<std::uint8_t> malformed_datagram = {0x40, 1, 0, 5, 0xFF};
  OnCallerDatagram(gate, flow, malformed_datagram, now, random, out);
  CheckErrorReply(DecodeSentMessage(0, ActionKind::kToCaller),
                  ErrorKind::kMalformed);
  DeliverFromCaller(flow, {.type = CoapType::kCon, .id = 77});
  CHECK(DecodeSentMessage(0, ActionKind::kToCaller).type == CoapType::kRst);
  LONGS_EQUAL(0, GetCounterValue("started"));
}

TEST(CoapGate, DrainRefusesNewRequestsAndCompletesRunningOnes) {
  DeliverFromCaller(flow, MakeRequestMessage(kCoapGet, "x", ""));
  const auto target_request = DecodeSentMessage(0, ActionKind::kToTarget);
  BeginGateDrain(gate);
  CHECK_FALSE(IsGateDrained(gate, now));
  DeliverFromCaller(flow, MakeRequestMessage(kCoapGet, "y", ""));
  CheckErrorReply(DecodeSentMessage(0, ActionKind::kToCaller),
                  ErrorKind::kDraining);
  DeliverFromTarget(flow, MakeTargetAnswer(target_request, "x"));
  STRCMP_EQUAL(
      "x",
      std::string(1, DecodeSentMessage(0, ActionKind::kToCaller).payload[0])
          .c_str());
  CHECK(IsGateDrained(gate, now));
}

TEST(CoapGate, RequestsAreAcceptedAfterTheDrainIsCancelled) {
  BeginGateDrain(gate);
  CHECK(IsGateDrained(gate, now));
  CancelGateDrain(gate);
  CHECK_FALSE(IsGateDrained(gate, now));
  DeliverFromCaller(flow, MakeRequestMessage(kCoapGet, "x", ""));
  CHECK(DecodeSentMessage(0, ActionKind::kToTarget).code == kCoapGet);
}

TEST(CoapGate, ShedAnswerWithoutRetryBudgetIsForwardedWithMaxAge) {
  DeliverFromCaller(flow, MakeRequestMessage(kCoapGet, "x", ""));
  auto shed_answer =
      MakeTargetAnswer(DecodeSentMessage(0, ActionKind::kToTarget), "");
  shed_answer.code = kCoapServiceUnavailable;
  DeliverFromTarget(flow, shed_answer);
  CheckErrorReply(DecodeSentMessage(0, ActionKind::kToCaller),
                  ErrorKind::kOverloaded);
  LONGS_EQUAL(1, GetCounterValue("retry_refused_budget"));
}
