#include <algorithm>
#include <string>
#include <utility>

#include "protocol/coap_gate_state.h"
#include "protocol/echo_token.h"

/// @file
/// Converts the request gate's actions into CoAP datagrams.
namespace hawthornbank::detail {
namespace {

constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kMaxObservationsPerFlow = 64;
constexpr std::size_t kMaxCancellationsPerFlow = 32;

auto EncodeTargetToken(std::uint64_t value) -> CoapToken {
  CoapToken token;
  for (auto n = sizeof(value); n > 0; --n) {
    token.push_back(static_cast<std::uint8_t>(value >> (n - 1) * kBitsPerByte));
  }
  return token;
}

// Returns the token of a message to the target. A message about a known
// observation must carry the token under which the target registered that
// observation; any other message gets a new token.
auto ChooseTargetToken(CoapGateState& state,
                       CallerFlow& flow,
                       const CoapMessage& request) -> CoapToken {
  const auto* observe = FindCoapOption(request, CoapOptionNumber::kObserve);
  const auto it =
      std::find_if(flow.observations.begin(), flow.observations.end(),
                   [&](const auto& observation) {
                     return observation.caller_token == request.token;
                   });
  if (observe != nullptr && it != flow.observations.end()) {
    return it->target_token;
  }
  return EncodeTargetToken(state.next_target_token_number++);
}

// Sets the deadline parameter to the time left until the request's deadline.
auto RewriteDeadlineParameter(CoapMessage& message,
                              std::chrono::milliseconds time_left) -> void {
  constexpr std::string_view kPrefix = "deadline_ms=";
  for (auto& option : message.options) {
    const std::string text{option.value.begin(), option.value.end()};
    const bool is_query = option.number == static_cast<std::uint16_t>(
                                               CoapOptionNumber::kUriQuery);
    if (is_query && text.starts_with(kPrefix)) {
      const auto value =
          std::string{kPrefix} + std::to_string(time_left.count());
      option.value.assign(value.begin(), value.end());
    }
  }
}

auto StartRequestAtTarget(CoapGateState& state,
                          const RequestAction& action,
                          TimePoint now,
                          GateActions& out) -> void {
  const auto& key = state.flows_by_waiter.at(action.waiter);
  auto& flow = state.flows.at(key);
  auto* exchange = FindExchangeByWaiter(flow, action.waiter);
  exchange->handle = action.request;
  exchange->target_token = ChooseTargetToken(state, flow, exchange->request);
  exchange->target_message_id = flow.next_target_message_id++;
  state.origins_by_request.insert_or_assign(
      action.request, RequestOrigin{.flow = key, .waiter = action.waiter});
  CoapMessage message = exchange->request;
  message.id = exchange->target_message_id;
  message.token = exchange->target_token;
  RemoveCoapOptions(message, CoapOptionNumber::kEcho);
  RewriteDeadlineParameter(
      message,
      std::chrono::floor<std::chrono::milliseconds>(action.deadline - now));
  AppendMessageToTarget(key, message, out);
}

auto RecordPendingCancellation(CallerFlow& flow,
                               const CoapToken& token,
                               RequestHandle handle) -> void {
  flow.pending_cancellations.push_back(
      {.target_token = token, .handle = handle});
  if (flow.pending_cancellations.size() > kMaxCancellationsPerFlow) {
    flow.pending_cancellations.pop_front();
  }
}

// Asks the target to cancel a request whose answer no caller waits for.
// Requests without a `rid` can't be cancelled at the target.
auto CancelRequestAtTarget(CoapGateState& state,
                           RequestHandle handle,
                           GateActions& out) -> void {
  const auto it = state.origins_by_request.find(handle);
  if (it == state.origins_by_request.end()) {
    return;
  }
  const auto origin = it->second;
  state.origins_by_request.erase(it);
  const auto flow = state.flows.find(origin.flow);
  auto* exchange = flow == state.flows.end()
                       ? nullptr
                       : FindExchangeByWaiter(flow->second, origin.waiter);
  const auto id = exchange == nullptr
                      ? std::nullopt
                      : FindQueryParameter(exchange->request, "rid");
  if (!id) {
    return;
  }
  exchange->is_cancelled = true;
  CoapMessage message{
      .type = CoapType::kNon,
      .code = kCoapGet,
      .id = flow->second.next_target_message_id++,
      .token = EncodeTargetToken(state.next_target_token_number++)};
  RecordPendingCancellation(flow->second, message.token, handle);
  for (const auto& option : exchange->request.options) {
    if (option.number ==
        static_cast<std::uint16_t>(CoapOptionNumber::kUriPath)) {
      message.options.push_back(option);
    }
  }
  AddCoapOption(message, CoapOptionNumber::kUriQuery, "cancel=" + *id);
  AppendMessageToTarget(origin.flow, message, out);
}

auto UpdateObservations(CallerFlow& flow,
                        const Exchange& exchange,
                        const CoapMessage& answer) -> void {
  const auto* observe_request =
      FindCoapOption(exchange.request, CoapOptionNumber::kObserve);
  if (observe_request == nullptr) {
    return;
  }
  std::erase_if(flow.observations, [&](const Observation& observation) {
    return observation.caller_token == exchange.request.token;
  });
  const bool is_accepted =
      DecodeUintOption(*observe_request) == 0 &&
      FindCoapOption(answer, CoapOptionNumber::kObserve) != nullptr &&
      flow.observations.size() < kMaxObservationsPerFlow;
  if (is_accepted) {
    flow.observations.push_back({.target_token = exchange.target_token,
                                 .caller_token = exchange.request.token});
  }
}

// Appends the final reply of an exchange and keeps the reply for duplicates.
auto CompleteExchange(CoapGateState& state,
                      const FlowKey& key,
                      Exchange& exchange,
                      const CoapMessage& reply,
                      GateActions& out) -> void {
  state.flows_by_waiter.erase(exchange.waiter);
  exchange.is_waiting = false;
  exchange.reply = EncodeCoapMessage(reply);
  exchange.request.payload.clear();
  exchange.request.options.clear();
  out.push_back({.kind = GateAction::Kind::kToCaller,
                 .flow = key,
                 .bytes = exchange.reply});
}

auto ForwardAnswerToCaller(CoapGateState& state,
                           const RequestAction& action,
                           Random& random,
                           GateActions& out) -> void {
  const auto key = state.flows_by_waiter.at(action.waiter);
  auto& flow = state.flows.at(key);
  auto* exchange = FindExchangeByWaiter(flow, action.waiter);
  const auto answer = DecodeCoapMessage(*action.answer, kMaxUdpPayloadBytes);
  auto reply = MakeCallerReply(exchange->request, exchange->is_acknowledged,
                               answer.code, random);
  reply.options = answer.options;
  reply.payload = answer.payload;
  const bool started_request = exchange->handle == action.request;
  if (started_request) {
    UpdateObservations(flow, *exchange, answer);
  }
  state.origins_by_request.erase(action.request);
  if (started_request && answer.type != CoapType::kAck) {
    // A separate response keeps the target's message ID, so that the caller's
    // ACK of it can be forwarded to the target.
    reply.type = answer.type;
    reply.id = answer.id;
  }
  if (started_request && answer.type == CoapType::kCon) {
    exchange->separate_response_id = answer.id;
  }
  CompleteExchange(state, key, *exchange, reply, out);
}

auto CompleteExchangeWithError(CoapGateState& state,
                               const RequestAction& action,
                               Random& random,
                               GateActions& out) -> void {
  const auto key = state.flows_by_waiter.at(action.waiter);
  auto* exchange = FindExchangeByWaiter(state.flows.at(key), action.waiter);
  auto reply = MakeErrorReply(exchange->request, exchange->is_acknowledged,
                              action.error, action.retry_after, random);
  if (action.kind == RequestAction::Kind::kChallenge) {
    const auto id = FindQueryParameter(exchange->request, "rid").value_or("");
    AddCoapOption(
        reply, CoapOptionNumber::kEcho,
        EncodeEchoToken(action.token, id, state.options.token_keys.front()));
  }
  if (exchange->handle) {
    state.origins_by_request.erase(*exchange->handle);
  }
  CompleteExchange(state, key, *exchange, reply, out);
}

}  // namespace

auto AppendMessageToCaller(const FlowKey& flow,
                           const CoapMessage& message,
                           GateActions& out) -> void {
  out.push_back({.kind = GateAction::Kind::kToCaller,
                 .flow = flow,
                 .bytes = EncodeCoapMessage(message)});
}

auto AppendMessageToTarget(const FlowKey& flow,
                           const CoapMessage& message,
                           GateActions& out) -> void {
  out.push_back({.kind = GateAction::Kind::kToTarget,
                 .flow = flow,
                 .bytes = EncodeCoapMessage(message)});
}

auto MakeEmptyMessage(CoapType type, std::uint16_t id) -> CoapMessage {
  return {.type = type, .id = id};
}

auto MakeCallerReply(const CoapMessage& request,
                     bool is_acknowledged,
                     std::uint8_t code,
                     Random& random) -> CoapMessage {
  const bool is_piggybacked =
      request.type == CoapType::kCon && !is_acknowledged;
  return {
      .type = is_piggybacked ? CoapType::kAck : CoapType::kNon,
      .code = code,
      .id = is_piggybacked ? request.id : static_cast<std::uint16_t>(random()),
      .token = request.token};
}

auto MakeErrorReply(const CoapMessage& request,
                    bool is_acknowledged,
                    ErrorKind error,
                    std::chrono::seconds retry_after,
                    Random& random) -> CoapMessage {
  const auto& answer = LookUpErrorAnswer(error);
  const auto code =
      static_cast<std::uint8_t>(answer.coap_class << 5U | answer.coap_detail);
  auto reply = MakeCallerReply(request, is_acknowledged, code, random);
  if (answer.retryable) {
    AddCoapUintOption(reply, CoapOptionNumber::kMaxAge,
                      static_cast<std::uint32_t>(retry_after.count()));
  }
  reply.payload.assign(answer.name.begin(), answer.name.end());
  return reply;
}

auto ApplyRequestActions(CoapGateState& state,
                         const RequestActions& actions,
                         TimePoint now,
                         Random& random,
                         GateActions& out) -> void {
  for (const auto& action : actions) {
    switch (action.kind) {
      case RequestAction::Kind::kStart:
        StartRequestAtTarget(state, action, now, out);
        break;
      case RequestAction::Kind::kCancel:
        CancelRequestAtTarget(state, action.request, out);
        break;
      case RequestAction::Kind::kAnswer:
        ForwardAnswerToCaller(state, action, random, out);
        break;
      case RequestAction::Kind::kRefuse:
      case RequestAction::Kind::kChallenge:
        CompleteExchangeWithError(state, action, random, out);
        break;
    }
  }
}

auto FindExchangeByWaiter(CallerFlow& flow, WaiterId waiter) -> Exchange* {
  const auto it = std::find_if(
      flow.exchanges.begin(), flow.exchanges.end(),
      [&](const Exchange& exchange) { return exchange.waiter == waiter; });
  return it == flow.exchanges.end() ? nullptr : &*it;
}

}  // namespace hawthornbank::detail
