#include <algorithm>
#include <memory>

#include "hawthornbank/error.h"
#include "protocol/coap_gate_state.h"

/// @file
/// The target's datagrams: answers, notifications, acknowledgements, resets.
namespace hawthornbank {
namespace {

using detail::SendToCaller;
using detail::SendToTarget;

constexpr std::uint8_t kTargetFault = 5;

auto OutcomeOf(std::uint8_t code) -> Outcome {
  if (code == kCoapServiceUnavailable) {
    return Outcome::kShed;
  }
  return CodeClass(code) == kTargetFault ? Outcome::kFailed
                                         : Outcome::kSucceeded;
}

auto FindByTargetToken(Flow& flow, const CoapToken& token) -> Exchange* {
  const auto it =
      std::find_if(flow.exchanges.rbegin(), flow.exchanges.rend(),
                   [&](const Exchange& exchange) {
                     return exchange.handle && exchange.target_token == token;
                   });
  return it == flow.exchanges.rend() ? nullptr : &*it;
}

auto FindByTargetId(Flow& flow, std::uint16_t id) -> Exchange* {
  const auto it = std::find_if(
      flow.exchanges.rbegin(), flow.exchanges.rend(),
      [&](const Exchange& exchange) {
        return exchange.handle && (exchange.waiting || exchange.cancelled) &&
               exchange.target_id == id;
      });
  return it == flow.exchanges.rend() ? nullptr : &*it;
}

auto Report(CoapGateState& state,
            RequestHandle handle,
            Outcome outcome,
            const Answer& answer,
            TimePoint now,
            Random& random,
            GateActions& out) -> void {
  detail::Perform(state, now, random, out, [&](RequestActions& actions) {
    OnOutcome(state.gate, handle, outcome, answer, now, random, actions);
  });
}

// An empty ACK or RST for a message of the gate.
auto HandleEmpty(CoapGateState& state,
                 const FlowKey& key,
                 Flow& flow,
                 const CoapMessage& message,
                 TimePoint now,
                 Random& random,
                 GateActions& out) -> void {
  auto* exchange = FindByTargetId(flow, message.id);
  if (exchange == nullptr || message.type == CoapType::kCon ||
      message.type == CoapType::kNon) {
    Count(state.gate, GateCounter::kUnmatchedAnswer);
    return;
  }
  if (message.type == CoapType::kRst) {
    Report(state, *exchange->handle, Outcome::kReset, nullptr, now, random,
           out);
    return;
  }
  if (exchange->waiting && exchange->request.type == CoapType::kCon &&
      !exchange->acknowledged) {
    exchange->acknowledged = true;
    SendToCaller(key, detail::MakeEmpty(CoapType::kAck, exchange->request.id),
                 out);
  }
}

auto AcknowledgeIfAsked(const FlowKey& key,
                        const CoapMessage& message,
                        GateActions& out) -> void {
  if (message.type == CoapType::kCon) {
    SendToTarget(key, detail::MakeEmpty(CoapType::kAck, message.id), out);
  }
}

// A response to a request that has its final answer already.
auto HandleLate(CoapGateState& state,
                const FlowKey& key,
                Exchange& exchange,
                const CoapMessage& message,
                const Answer& answer,
                TimePoint now,
                Random& random,
                GateActions& out) -> void {
  if (exchange.separate_id == message.id && message.type == CoapType::kCon) {
    // The caller's ACK was lost: the same message goes to it again.
    out.push_back({.kind = GateAction::Kind::kToCaller,
                   .flow = key,
                   .bytes = exchange.reply});
    return;
  }
  AcknowledgeIfAsked(key, message, out);
  exchange.cancelled = false;
  Report(state, *exchange.handle, OutcomeOf(message.code), answer, now, random,
         out);
}

// The target's response to a cancellation. Only "deleted" says that the work
// has stopped; a target that knows no cancellations answers something else.
// @return Whether it was one.
auto HandleCancelResponse(CoapGateState& state,
                          const FlowKey& key,
                          Flow& flow,
                          const CoapMessage& message,
                          TimePoint now,
                          Random& random,
                          GateActions& out) -> bool {
  const auto it =
      std::find_if(flow.cancellations.begin(), flow.cancellations.end(),
                   [&](const Cancellation& cancellation) {
                     return cancellation.target_token == message.token;
                   });
  if (it == flow.cancellations.end()) {
    return false;
  }
  const auto handle = it->handle;
  flow.cancellations.erase(it);
  AcknowledgeIfAsked(key, message, out);
  if (message.code == kCoapDeleted) {
    detail::Perform(state, now, random, out, [&](RequestActions& actions) {
      OnCancelConfirmed(state.gate, handle, now, random, actions);
    });
  }
  return true;
}

auto PassNotification(const FlowKey& key,
                      const Observation& observation,
                      CoapMessage message,
                      GateActions& out) -> void {
  message.token = observation.caller_token;
  SendToCaller(key, message, out);
}

auto FindObservation(const Flow& flow, const CoapToken& token)
    -> const Observation* {
  const auto it = std::find_if(
      flow.observations.begin(), flow.observations.end(),
      [&](const Observation& known) { return known.target_token == token; });
  return it == flow.observations.end() ? nullptr : &*it;
}

auto HandleResponse(CoapGateState& state,
                    const FlowKey& key,
                    Flow& flow,
                    const CoapMessage& message,
                    const Answer& answer,
                    TimePoint now,
                    Random& random,
                    GateActions& out) -> void {
  auto* exchange = FindByTargetToken(flow, message.token);
  if (exchange != nullptr && exchange->waiting) {
    const bool shed = OutcomeOf(message.code) == Outcome::kShed;
    if (shed) {
      AcknowledgeIfAsked(key, message, out);
    }
    Report(state, *exchange->handle, OutcomeOf(message.code), answer, now,
           random, out);
    return;
  }
  if (const auto* observation = FindObservation(flow, message.token)) {
    PassNotification(key, *observation, message, out);
    return;
  }
  if (exchange != nullptr) {
    HandleLate(state, key, *exchange, message, answer, now, random, out);
    return;
  }
  if (HandleCancelResponse(state, key, flow, message, now, random, out)) {
    return;
  }
  Count(state.gate, GateCounter::kUnmatchedAnswer);
  if (message.type == CoapType::kCon) {
    SendToTarget(key, detail::MakeEmpty(CoapType::kRst, message.id), out);
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
    Count(state.gate, GateCounter::kUnmatchedAnswer);
    return;
  }
  try {
    const auto message = DecodeCoap(bytes, kMaxDatagram);
    if (message.code == kCoapEmpty) {
      HandleEmpty(state, flow, it->second, message, now, random, out);
      return;
    }
    const auto answer = std::make_shared<const std::vector<std::uint8_t>>(
        bytes.begin(), bytes.end());
    HandleResponse(state, flow, it->second, message, answer, now, random, out);
  } catch (const Error&) {
    Count(state.gate, GateCounter::kUnmatchedAnswer);
  }
}

}  // namespace hawthornbank
