#include <algorithm>
#include <memory>

#include "hawthornbank/error.h"
#include "protocol/coap_gate_state.h"

/// @file
/// Handles the target's datagrams: responses, notifications, acknowledgements
/// and resets.
namespace hawthornbank {
namespace {

using detail::AppendMessageToCaller;
using detail::AppendMessageToTarget;

constexpr std::uint8_t kServerErrorClass = 5;

auto ClassifyResponseCode(std::uint8_t code) -> RequestOutcome {
  if (code == kCoapServiceUnavailable) {
    return RequestOutcome::kShed;
  }
  return GetCoapCodeClass(code) == kServerErrorClass
             ? RequestOutcome::kFailed
             : RequestOutcome::kSucceeded;
}

auto FindExchangeByTargetToken(CallerFlow& flow, const CoapToken& token)
    -> Exchange* {
  const auto it =
      std::find_if(flow.exchanges.rbegin(), flow.exchanges.rend(),
                   [&](const Exchange& exchange) {
                     return exchange.handle && exchange.target_token == token;
                   });
  return it == flow.exchanges.rend() ? nullptr : &*it;
}

auto FindExchangeByTargetMessageId(CallerFlow& flow, std::uint16_t id)
    -> Exchange* {
  const auto it =
      std::find_if(flow.exchanges.rbegin(), flow.exchanges.rend(),
                   [&](const Exchange& exchange) {
                     return exchange.handle &&
                            (exchange.is_waiting || exchange.is_cancelled) &&
                            exchange.target_message_id == id;
                   });
  return it == flow.exchanges.rend() ? nullptr : &*it;
}

auto PassOutcomeToRequestGate(CoapGateState& state,
                              RequestHandle handle,
                              RequestOutcome outcome,
                              const Answer& answer,
                              TimePoint now,
                              Random& random,
                              GateActions& out) -> void {
  detail::CallRequestGateAndApplyActions(
      state, now, random, out, [&](RequestActions& actions) {
        OnRequestOutcome(state.request_gate, handle, outcome, answer, now,
                         random, actions);
      });
}

// Handles the target's empty ACK or RST for a request that the gate sent.
auto HandleEmptyTargetMessage(CoapGateState& state,
                              const FlowKey& key,
                              CallerFlow& flow,
                              const CoapMessage& message,
                              TimePoint now,
                              Random& random,
                              GateActions& out) -> void {
  auto* exchange = FindExchangeByTargetMessageId(flow, message.id);
  if (exchange == nullptr || message.type == CoapType::kCon ||
      message.type == CoapType::kNon) {
    IncrementCounter(state.request_gate, GateCounter::kUnmatchedAnswer);
    return;
  }
  if (message.type == CoapType::kRst) {
    PassOutcomeToRequestGate(state, *exchange->handle, RequestOutcome::kReset,
                             nullptr, now, random, out);
    return;
  }
  if (exchange->is_waiting && exchange->request.type == CoapType::kCon &&
      !exchange->is_acknowledged) {
    exchange->is_acknowledged = true;
    AppendMessageToCaller(
        key, detail::MakeEmptyMessage(CoapType::kAck, exchange->request.id),
        out);
  }
}

auto AcknowledgeIfConfirmable(const FlowKey& key,
                              const CoapMessage& message,
                              GateActions& out) -> void {
  if (message.type == CoapType::kCon) {
    AppendMessageToTarget(
        key, detail::MakeEmptyMessage(CoapType::kAck, message.id), out);
  }
}

// Handles the target's response to a request whose caller already has a final
// reply, such as kOutcomeUnknown.
auto HandleLateResponse(CoapGateState& state,
                        const FlowKey& key,
                        Exchange& exchange,
                        const CoapMessage& message,
                        const Answer& answer,
                        TimePoint now,
                        Random& random,
                        GateActions& out) -> void {
  if (exchange.separate_response_id == message.id &&
      message.type == CoapType::kCon) {
    // The target retransmits because the caller's ACK was lost, so the reply is
    // sent to the caller again.
    out.push_back({.kind = GateAction::Kind::kToCaller,
                   .flow = key,
                   .bytes = exchange.reply});
    return;
  }
  AcknowledgeIfConfirmable(key, message, out);
  exchange.is_cancelled = false;
  PassOutcomeToRequestGate(state, *exchange.handle,
                           ClassifyResponseCode(message.code), answer, now,
                           random, out);
}

// Handles the target's response to a cancellation. Only 2.02 Deleted confirms
// that the work has stopped; a target that doesn't implement cancellations
// answers with another code.
// @return Whether the message is a response to a cancellation.
auto HandleCancelResponse(CoapGateState& state,
                          const FlowKey& key,
                          CallerFlow& flow,
                          const CoapMessage& message,
                          TimePoint now,
                          Random& random,
                          GateActions& out) -> bool {
  const auto it = std::find_if(
      flow.pending_cancellations.begin(), flow.pending_cancellations.end(),
      [&](const PendingCancellation& cancellation) {
        return cancellation.target_token == message.token;
      });
  if (it == flow.pending_cancellations.end()) {
    return false;
  }
  const auto handle = it->handle;
  flow.pending_cancellations.erase(it);
  AcknowledgeIfConfirmable(key, message, out);
  if (message.code == kCoapDeleted) {
    detail::CallRequestGateAndApplyActions(
        state, now, random, out, [&](RequestActions& actions) {
          OnCancelConfirmed(state.request_gate, handle, now, random, actions);
        });
  }
  return true;
}

auto ForwardNotificationToCaller(const FlowKey& key,
                                 const Observation& observation,
                                 CoapMessage message,
                                 GateActions& out) -> void {
  message.token = observation.caller_token;
  AppendMessageToCaller(key, message, out);
}

auto FindObservationByTargetToken(const CallerFlow& flow,
                                  const CoapToken& token)
    -> const Observation* {
  const auto it =
      std::find_if(flow.observations.begin(), flow.observations.end(),
                   [&](const Observation& observation) {
                     return observation.target_token == token;
                   });
  return it == flow.observations.end() ? nullptr : &*it;
}

auto HandleTargetResponse(CoapGateState& state,
                          const FlowKey& key,
                          CallerFlow& flow,
                          const CoapMessage& message,
                          const Answer& answer,
                          TimePoint now,
                          Random& random,
                          GateActions& out) -> void {
  auto* exchange = FindExchangeByTargetToken(flow, message.token);
  if (exchange != nullptr && exchange->is_waiting) {
    const bool shed =
        ClassifyResponseCode(message.code) == RequestOutcome::kShed;
    if (shed) {
      AcknowledgeIfConfirmable(key, message, out);
    }
    PassOutcomeToRequestGate(state, *exchange->handle,
                             ClassifyResponseCode(message.code), answer, now,
                             random, out);
    return;
  }
  if (const auto* observation =
          FindObservationByTargetToken(flow, message.token)) {
    ForwardNotificationToCaller(key, *observation, message, out);
    return;
  }
  if (exchange != nullptr) {
    HandleLateResponse(state, key, *exchange, message, answer, now, random,
                       out);
    return;
  }
  if (HandleCancelResponse(state, key, flow, message, now, random, out)) {
    return;
  }
  IncrementCounter(state.request_gate, GateCounter::kUnmatchedAnswer);
  if (message.type == CoapType::kCon) {
    AppendMessageToTarget(
        key, detail::MakeEmptyMessage(CoapType::kRst, message.id), out);
  }
}

}  // namespace

auto OnTargetDatagram(CoapGate& gate,
                      const FlowKey& flow,
                      std::span<const std::uint8_t> bytes,
                      TimePoint now,
                      Random& random,
                      GateActions& out) -> void {
  auto& state = *gate.state;
  const auto it = state.flows.find(flow);
  if (it == state.flows.end()) {
    IncrementCounter(state.request_gate, GateCounter::kUnmatchedAnswer);
    return;
  }
  try {
    const auto message = DecodeCoapMessage(bytes, kMaxUdpPayloadBytes);
    if (message.code == kCoapEmpty) {
      HandleEmptyTargetMessage(state, flow, it->second, message, now, random,
                               out);
      return;
    }
    const auto answer = std::make_shared<const std::vector<std::uint8_t>>(
        bytes.begin(), bytes.end());
    HandleTargetResponse(state, flow, it->second, message, answer, now, random,
                         out);
  } catch (const Error&) {
    IncrementCounter(state.request_gate, GateCounter::kUnmatchedAnswer);
  }
}

}  // namespace hawthornbank
