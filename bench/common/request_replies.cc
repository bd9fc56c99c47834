#include "common/request_world.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "hawthornbank/error.h"

/// @file
/// The callers' side of a request scenario: handling of replies.

namespace hawthornbank::bench::request_world {
namespace {

using std::chrono::seconds;

auto CheckAndRecordSuccessfulAnswer(World& world,
                                    Call& call,
                                    const CoapMessage& reply) -> void {
  const auto expected = BuildAnswerBody(BuildRequestMessage(world, call));
  if (reply.payload != expected) {
    ++world.result.wrong_answers;
    return;
  }
  call.succeeded = true;
  const auto second = GetSecondOfRun(call.created);
  ++world.served_by_second[second];
  const auto answered = GetSecondOfRun(world.net.now());
  if (answered < world.result.succeeded_by_second.size()) {
    ++world.result.succeeded_by_second[answered];
  }
  if (IsInMeasuredTime(world, world.net.now())) {
    ++world.result.succeeded;
  }
}

auto ParseErrorKind(const CoapMessage& reply) -> ErrorKind {
  const std::string text{reply.payload.begin(), reply.payload.end()};
  for (const auto& answer : kErrorAnswers) {
    if (answer.name == text) {
      return answer.kind;
    }
  }
  return ErrorKind::kInternal;
}

// Records the refusal of an accepted request and the time left until the call's
// deadline.
auto RecordRefusalAfterAcceptance(World& world,
                                  const Call& call,
                                  ErrorKind kind) -> void {
  auto& result = world.result;
  ++result.late_refusals_by_kind[kind];
  const double left =
      static_cast<double>((call.deadline - world.net.now()).count()) /
      static_cast<double>(Duration{world.scenario.service_time}.count());
  result.late_refusal_left_min = std::min(result.late_refusal_left_min, left);
}

auto HandleRefusalAtCaller(World& world, Call& call, const CoapMessage& reply)
    -> void {
  const auto& answer = LookUpErrorAnswer(ParseErrorKind(reply));
  if (answer.execution != Execution::kNotRun) {
    ++world.result.unknown;
    if (world.scenario.retry_without_budget) {
      ScheduleRetry(world, call, kUnbudgetedRetryDelay);
    }
    return;
  }
  call.attempts.back().reported_not_run = true;
  const Duration round_trip =
      world.scenario.link.delay * 2 + world.scenario.link.jitter * 2;
  const auto trips =
      static_cast<double>((world.net.now() - call.sent).count()) /
      static_cast<double>(round_trip.count());
  world.refusal_round_trips.push_back(trips);
  if (call.replied_on_arrival) {
    world.arrival_refusal_round_trips.push_back(trips);
  } else {
    RecordRefusalAfterAcceptance(world, call, answer.kind);
  }
  if (world.scenario.retry_without_budget) {
    ScheduleRetry(world, call, kUnbudgetedRetryDelay);
  } else if (const auto* age =
                 FindCoapOption(reply, CoapOptionNumber::kMaxAge)) {
    ScheduleRetry(world, call, seconds{DecodeUintOption(*age)});
  }
}

// Handles a reply to a message that is already answered or that the caller has
// given up on. Counts a final answer whose code differs from an earlier error.
auto CountAnswerAfterGiveUp(World& world,
                            const Call& call,
                            std::uint32_t exchange,
                            const CoapMessage& reply) -> void {
  const bool has_given_up = exchange == call.exchange && call.final_code != 0 &&
                            GetCoapCodeClass(call.final_code) != 2;
  // An Echo challenge asks the caller to repeat the request and is no final
  // answer.
  const bool is_final =
      FindCoapOption(reply, CoapOptionNumber::kEcho) == nullptr;
  if (has_given_up && is_final && reply.code != call.final_code) {
    ++world.result.answer_after_give_up;
  }
}

auto ParseExchangeNumber(const CoapMessage& reply) -> std::uint32_t {
  std::uint32_t exchange = 0;
  for (const auto it : reply.token) {
    exchange = exchange << 8U | it;
  }
  return exchange;
}

}  // namespace

auto RecordWhetherReplyIsImmediate(World& world,
                                   const std::vector<std::uint8_t>& bytes)
    -> void {
  const auto it = world.exchanges.find(
      ParseExchangeNumber(DecodeCoapMessage(bytes, kMaxUdpPayloadBytes)));
  if (it != world.exchanges.end() && it->second->exchange == it->first) {
    auto& call = *it->second;
    call.replied_on_arrival = call.arrived == world.net.now();
  }
}

auto AcknowledgeReply(World& world,
                      TargetHost& target,
                      const FlowKey& flow,
                      const std::vector<std::uint8_t>& bytes) -> void {
  const auto reply = DecodeCoapMessage(bytes, kMaxUdpPayloadBytes);
  if (reply.type != CoapType::kCon) {
    return;
  }
  const auto caller = kFirstCallerHost + (flow.caller.address & 0xFFFFU);
  const auto ack = EncodeCoapMessage({.type = CoapType::kAck, .id = reply.id});
  SendDatagramWithCopies(
      world, caller, target.host, [&world, &target, flow, ack] {
        DeliverDatagramToTarget(target, world.net, flow, ack);
      });
}

auto HandleReplyAtCaller(World& world, const std::vector<std::uint8_t>& bytes)
    -> void {
  const auto reply = DecodeCoapMessage(bytes, kMaxUdpPayloadBytes);
  // After an empty acknowledgement, the answer follows in a separate message.
  if (reply.code == kCoapEmpty) {
    return;
  }
  const auto exchange = ParseExchangeNumber(reply);
  const auto it = world.exchanges.find(exchange);
  if (it == world.exchanges.end()) {
    ++world.result.wrong_answers;
    return;
  }
  auto& call = *it->second;
  if (call.attempt_ended || exchange != call.exchange) {
    CountAnswerAfterGiveUp(world, call, exchange, reply);
    return;
  }
  const auto* echo = FindCoapOption(reply, CoapOptionNumber::kEcho);
  if (echo != nullptr) {
    call.echo = echo->value;
    SendRequestMessage(world, call);
    return;
  }
  call.attempt_ended = true;
  call.final_code = reply.code;
  if (GetCoapCodeClass(reply.code) == 2) {
    CheckAndRecordSuccessfulAnswer(world, call, reply);
  } else {
    HandleRefusalAtCaller(world, call, reply);
  }
}

}  // namespace hawthornbank::bench::request_world
