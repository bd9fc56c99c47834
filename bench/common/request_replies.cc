#include "common/request_world.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "hawthornbank/error.h"

/// @file
/// What the callers make of the replies.

namespace hawthornbank::bench::request_world {
namespace {

using std::chrono::seconds;

auto NoteSuccess(World& world, Call& call, const CoapMessage& reply) -> void {
  const auto expected = AnswerBody(BuildMessage(world, call));
  if (reply.payload != expected) {
    ++world.result.wrong_answers;
    return;
  }
  call.succeeded = true;
  const auto second = SecondOf(call.born);
  ++world.served_by_second[second];
  const auto answered = SecondOf(world.net.now());
  if (answered < world.result.succeeded_by_second.size()) {
    ++world.result.succeeded_by_second[answered];
  }
  if (IsMeasured(world, world.net.now())) {
    ++world.result.succeeded;
  }
}

auto KindOf(const CoapMessage& reply) -> ErrorKind {
  const std::string text{reply.payload.begin(), reply.payload.end()};
  for (const auto& answer : kErrorAnswers) {
    if (answer.name == text) {
      return answer.kind;
    }
  }
  return ErrorKind::kInternal;
}

// Left to the deadline when a request was refused after it was taken in.
auto NoteLateRefusal(World& world, const Call& call, ErrorKind kind) -> void {
  auto& result = world.result;
  ++result.late_refusals_by_kind[kind];
  const double left =
      static_cast<double>((call.deadline - world.net.now()).count()) /
      static_cast<double>(Duration{world.scenario.service_time}.count());
  result.late_refusal_left_min = std::min(result.late_refusal_left_min, left);
}

auto NoteRefusal(World& world, Call& call, const CoapMessage& reply) -> void {
  const auto& answer = LookUpErrorAnswer(KindOf(reply));
  if (answer.execution != Execution::kNotRun) {
    ++world.result.unknown;
    if (world.scenario.retry_without_budget) {
      Retry(world, call, kHastyRetryAfter);
    }
    return;
  }
  call.attempts.back().told_not_run = true;
  const Duration round_trip =
      world.scenario.link.delay * 2 + world.scenario.link.jitter * 2;
  const auto trips =
      static_cast<double>((world.net.now() - call.sent).count()) /
      static_cast<double>(round_trip.count());
  world.refusal_round_trips.push_back(trips);
  if (call.refused_on_arrival) {
    world.arrival_refusal_round_trips.push_back(trips);
  } else {
    NoteLateRefusal(world, call, answer.kind);
  }
  if (world.scenario.retry_without_budget) {
    Retry(world, call, kHastyRetryAfter);
  } else if (const auto* age =
                 FindCoapOption(reply, CoapOptionNumber::kMaxAge)) {
    Retry(world, call, seconds{DecodeUintOption(*age)});
  }
}

// An answer to a message that already has one, or to one given up on.
auto NoteRepeat(World& world,
                const Call& call,
                std::uint32_t exchange,
                const CoapMessage& reply) -> void {
  const bool gave_up = exchange == call.exchange && call.final_code != 0 &&
                       GetCoapCodeClass(call.final_code) != 2;
  // A challenge invites to ask again; it is no answer.
  const bool final = FindCoapOption(reply, CoapOptionNumber::kEcho) == nullptr;
  if (gave_up && final && reply.code != call.final_code) {
    ++world.result.answer_after_give_up;
  }
}

auto ExchangeOf(const CoapMessage& reply) -> std::uint32_t {
  std::uint32_t exchange = 0;
  for (const auto it : reply.token) {
    exchange = exchange << 8U | it;
  }
  return exchange;
}

}  // namespace

auto NoteDeparture(World& world, const std::vector<std::uint8_t>& bytes)
    -> void {
  const auto it = world.exchanges.find(
      ExchangeOf(DecodeCoapMessage(bytes, kMaxUdpPayloadBytes)));
  if (it != world.exchanges.end() && it->second->exchange == it->first) {
    auto& call = *it->second;
    call.refused_on_arrival = call.reached == world.net.now();
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
  SendWithCopies(world, caller, target.host, [&world, &target, flow, ack] {
    DeliverToTarget(target, world.net, flow, ack);
  });
}

auto ReceiveReply(World& world, const std::vector<std::uint8_t>& bytes)
    -> void {
  const auto reply = DecodeCoapMessage(bytes, kMaxUdpPayloadBytes);
  if (reply.code == kCoapEmpty) {
    return;  // The answer comes separately.
  }
  const auto exchange = ExchangeOf(reply);
  const auto it = world.exchanges.find(exchange);
  if (it == world.exchanges.end()) {
    ++world.result.wrong_answers;
    return;
  }
  auto& call = *it->second;
  if (call.ended || exchange != call.exchange) {
    NoteRepeat(world, call, exchange, reply);
    return;
  }
  const auto* echo = FindCoapOption(reply, CoapOptionNumber::kEcho);
  if (echo != nullptr) {
    call.echo = echo->value;
    SendMessage(world, call);
    return;
  }
  call.ended = true;
  call.final_code = reply.code;
  if (GetCoapCodeClass(reply.code) == 2) {
    NoteSuccess(world, call, reply);
  } else {
    NoteRefusal(world, call, reply);
  }
}

}  // namespace hawthornbank::bench::request_world
