#include <algorithm>
#include <string>
#include <utility>

#include "protocol/coap_gate_state.h"
#include "protocol/echo_token.h"

/// @file
/// From the typed gate's actions to CoAP datagrams.
namespace hawthornbank::detail {
namespace {

constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kMaxObservations = 64;
constexpr std::size_t kMaxCancellations = 32;

auto MakeTargetToken(std::uint64_t value) -> CoapToken {
  CoapToken token;
  for (auto n = sizeof(value); n > 0; --n) {
    token.push_back(static_cast<std::uint8_t>(value >> (n - 1) * kBitsPerByte));
  }
  return token;
}

// The target has to see the token under which it knows an observation.
auto ChooseTargetToken(CoapGateState& state,
                       Flow& flow,
                       const CoapMessage& request) -> CoapToken {
  const auto* observe = FindOption(request, CoapOptionNumber::kObserve);
  const auto it = std::find_if(
      flow.observations.begin(), flow.observations.end(),
      [&](const auto& known) { return known.caller_token == request.token; });
  if (observe != nullptr && it != flow.observations.end()) {
    return it->target_token;
  }
  return MakeTargetToken(state.next_target_token++);
}

// Tells the target how much time is left.
auto RewriteDeadline(CoapMessage& message, std::chrono::milliseconds left)
    -> void {
  constexpr std::string_view kPrefix = "deadline_ms=";
  for (auto& option : message.options) {
    const std::string text{option.value.begin(), option.value.end()};
    const bool is_query = option.number == static_cast<std::uint16_t>(
                                               CoapOptionNumber::kUriQuery);
    if (is_query && text.starts_with(kPrefix)) {
      const auto value = std::string{kPrefix} + std::to_string(left.count());
      option.value.assign(value.begin(), value.end());
    }
  }
}

auto StartRequest(CoapGateState& state,
                  const RequestAction& action,
                  TimePoint now,
                  GateActions& out) -> void {
  const auto& key = state.waiters.at(action.waiter);
  auto& flow = state.flows.at(key);
  auto* exchange = FindExchange(flow, action.waiter);
  exchange->handle = action.request;
  exchange->target_token = ChooseTargetToken(state, flow, exchange->request);
  exchange->target_id = flow.next_target_id++;
  state.starters.insert_or_assign(
      action.request, Starter{.flow = key, .waiter = action.waiter});
  CoapMessage message = exchange->request;
  message.id = exchange->target_id;
  message.token = exchange->target_token;
  RemoveOption(message, CoapOptionNumber::kEcho);
  RewriteDeadline(message, std::chrono::floor<std::chrono::milliseconds>(
                               action.deadline - now));
  SendToTarget(key, message, out);
}

auto NoteCancellation(Flow& flow, const CoapToken& token, RequestHandle handle)
    -> void {
  flow.cancellations.push_back({.target_token = token, .handle = handle});
  if (flow.cancellations.size() > kMaxCancellations) {
    flow.cancellations.pop_front();
  }
}

// Asks the target to stop work that nobody waits for.
auto CancelAtTarget(CoapGateState& state,
                    RequestHandle handle,
                    GateActions& out) -> void {
  const auto it = state.starters.find(handle);
  if (it == state.starters.end()) {
    return;
  }
  const auto starter = it->second;
  state.starters.erase(it);
  const auto flow = state.flows.find(starter.flow);
  auto* exchange = flow == state.flows.end()
                       ? nullptr
                       : FindExchange(flow->second, starter.waiter);
  const auto id =
      exchange == nullptr ? std::nullopt : QueryValue(exchange->request, "rid");
  if (!id) {
    return;
  }
  exchange->cancelled = true;
  CoapMessage message{.type = CoapType::kNon,
                      .code = kCoapGet,
                      .id = flow->second.next_target_id++,
                      .token = MakeTargetToken(state.next_target_token++)};
  NoteCancellation(flow->second, message.token, handle);
  for (const auto& option : exchange->request.options) {
    if (option.number ==
        static_cast<std::uint16_t>(CoapOptionNumber::kUriPath)) {
      message.options.push_back(option);
    }
  }
  AddOption(message, CoapOptionNumber::kUriQuery, "cancel=" + *id);
  SendToTarget(starter.flow, message, out);
}

auto NoteObservation(Flow& flow,
                     const Exchange& exchange,
                     const CoapMessage& answer) -> void {
  const auto* asked = FindOption(exchange.request, CoapOptionNumber::kObserve);
  if (asked == nullptr) {
    return;
  }
  std::erase_if(flow.observations, [&](const Observation& known) {
    return known.caller_token == exchange.request.token;
  });
  const bool accepted =
      UintValue(*asked) == 0 &&
      FindOption(answer, CoapOptionNumber::kObserve) != nullptr &&
      flow.observations.size() < kMaxObservations;
  if (accepted) {
    flow.observations.push_back({.target_token = exchange.target_token,
                                 .caller_token = exchange.request.token});
  }
}

// Ends an exchange with its final message.
auto Conclude(CoapGateState& state,
              const FlowKey& key,
              Exchange& exchange,
              const CoapMessage& reply,
              GateActions& out) -> void {
  state.waiters.erase(exchange.waiter);
  exchange.waiting = false;
  exchange.reply = EncodeCoap(reply);
  exchange.request.payload.clear();
  exchange.request.options.clear();
  out.push_back({.kind = GateAction::Kind::kToCaller,
                 .flow = key,
                 .bytes = exchange.reply});
}

auto PassAnswer(CoapGateState& state,
                const RequestAction& action,
                Random& random,
                GateActions& out) -> void {
  const auto key = state.waiters.at(action.waiter);
  auto& flow = state.flows.at(key);
  auto* exchange = FindExchange(flow, action.waiter);
  const auto answer = DecodeCoap(*action.answer, kMaxDatagram);
  auto reply =
      MakeReply(exchange->request, exchange->acknowledged, answer.code, random);
  reply.options = answer.options;
  reply.payload = answer.payload;
  const bool started_it = exchange->handle == action.request;
  if (started_it) {
    NoteObservation(flow, *exchange, answer);
  }
  state.starters.erase(action.request);
  if (started_it && answer.type != CoapType::kAck) {
    // The target's own message: the caller's ACK goes back to it.
    reply.type = answer.type;
    reply.id = answer.id;
  }
  if (started_it && answer.type == CoapType::kCon) {
    exchange->separate_id = answer.id;
  }
  Conclude(state, key, *exchange, reply, out);
}

auto PassRefusal(CoapGateState& state,
                 const RequestAction& action,
                 Random& random,
                 GateActions& out) -> void {
  const auto key = state.waiters.at(action.waiter);
  auto* exchange = FindExchange(state.flows.at(key), action.waiter);
  auto reply = MakeErrorReply(exchange->request, exchange->acknowledged,
                              action.error, action.retry_after, random);
  if (action.kind == RequestAction::Kind::kChallenge) {
    const auto id = QueryValue(exchange->request, "rid").value_or("");
    AddOption(
        reply, CoapOptionNumber::kEcho,
        EncodeEchoToken(action.token, id, state.options.token_keys.front()));
  }
  if (exchange->handle) {
    state.starters.erase(*exchange->handle);
  }
  Conclude(state, key, *exchange, reply, out);
}

}  // namespace

auto SendToCaller(const FlowKey& flow,
                  const CoapMessage& message,
                  GateActions& out) -> void {
  out.push_back({.kind = GateAction::Kind::kToCaller,
                 .flow = flow,
                 .bytes = EncodeCoap(message)});
}

auto SendToTarget(const FlowKey& flow,
                  const CoapMessage& message,
                  GateActions& out) -> void {
  out.push_back({.kind = GateAction::Kind::kToTarget,
                 .flow = flow,
                 .bytes = EncodeCoap(message)});
}

auto MakeEmpty(CoapType type, std::uint16_t id) -> CoapMessage {
  return {.type = type, .id = id};
}

auto MakeReply(const CoapMessage& request,
               bool acknowledged,
               std::uint8_t code,
               Random& random) -> CoapMessage {
  const bool piggyback = request.type == CoapType::kCon && !acknowledged;
  return {.type = piggyback ? CoapType::kAck : CoapType::kNon,
          .code = code,
          .id = piggyback ? request.id : static_cast<std::uint16_t>(random()),
          .token = request.token};
}

auto MakeErrorReply(const CoapMessage& request,
                    bool acknowledged,
                    ErrorKind error,
                    std::chrono::seconds retry_after,
                    Random& random) -> CoapMessage {
  const auto& answer = AnswerFor(error);
  const auto code =
      static_cast<std::uint8_t>(answer.coap_class << 5U | answer.coap_detail);
  auto reply = MakeReply(request, acknowledged, code, random);
  if (answer.retryable) {
    AddUintOption(reply, CoapOptionNumber::kMaxAge,
                  static_cast<std::uint32_t>(retry_after.count()));
  }
  reply.payload.assign(answer.name.begin(), answer.name.end());
  return reply;
}

auto ApplyActions(CoapGateState& state,
                  const RequestActions& actions,
                  TimePoint now,
                  Random& random,
                  GateActions& out) -> void {
  for (const auto& action : actions) {
    switch (action.kind) {
      case RequestAction::Kind::kStart:
        StartRequest(state, action, now, out);
        break;
      case RequestAction::Kind::kCancel:
        CancelAtTarget(state, action.request, out);
        break;
      case RequestAction::Kind::kAnswer:
        PassAnswer(state, action, random, out);
        break;
      case RequestAction::Kind::kRefuse:
      case RequestAction::Kind::kChallenge:
        PassRefusal(state, action, random, out);
        break;
    }
  }
}

auto FindExchange(Flow& flow, WaiterId waiter) -> Exchange* {
  const auto it = std::find_if(
      flow.exchanges.begin(), flow.exchanges.end(),
      [&](const Exchange& exchange) { return exchange.waiter == waiter; });
  return it == flow.exchanges.end() ? nullptr : &*it;
}

}  // namespace hawthornbank::detail
