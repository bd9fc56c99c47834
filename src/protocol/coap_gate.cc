#include "hawthornbank/coap_gate.h"

#include <algorithm>
#include <utility>

#include "hawthornbank/error.h"
#include "protocol/coap_gate_state.h"

namespace hawthornbank {
namespace {

using detail::AppendMessageToCaller;
using detail::AppendMessageToTarget;
using detail::CallRequestGateAndApplyActions;

constexpr std::size_t kMaxExchangesPerFlow = 32;
// EXCHANGE_LIFETIME of RFC 7252: a message ID isn't reused within this time.
constexpr std::chrono::seconds kExchangeLifetime{247};

auto RefuseInvalidDatagram(CoapGateState& state,
                           const FlowKey& flow,
                           std::span<const std::uint8_t> bytes,
                           ErrorKind error,
                           Random& random,
                           GateActions& out) -> void {
  IncrementCounter(state.request_gate, error == ErrorKind::kTooLarge
                                           ? GateCounter::kRefusedTooLarge
                                           : GateCounter::kRefusedMalformed);
  const auto header = DecodeCoapHeader(bytes);
  if (!header) {
    return;
  }
  if (IsCoapRequestCode(header->code) && header->type != CoapType::kAck &&
      header->type != CoapType::kRst) {
    AppendMessageToCaller(
        flow,
        detail::MakeErrorReply(*header, false, error, std::chrono::seconds{0},
                               random),
        out);
  } else if (header->type == CoapType::kCon) {
    AppendMessageToCaller(
        flow, detail::MakeEmptyMessage(CoapType::kRst, header->id), out);
  }
}

// Refuses a request message without adding an exchange to the flow.
auto RefuseRequestMessage(CoapGateState& state,
                          const FlowKey& flow,
                          const CoapMessage& message,
                          ErrorKind error,
                          GateCounter reason,
                          Random& random,
                          GateActions& out) -> void {
  IncrementCounter(state.request_gate, reason);
  const auto& options = state.options.gate;
  const auto jitter = DrawRandomFraction(random) *
                      static_cast<double>(options.retry_after_jitter.count());
  const auto retry_after = std::chrono::ceil<std::chrono::seconds>(
      options.min_retry_after +
      std::chrono::milliseconds{static_cast<std::int64_t>(jitter)});
  AppendMessageToCaller(
      flow, detail::MakeErrorReply(message, false, error, retry_after, random),
      out);
}

auto FindExchangeByMessageId(CallerFlow& flow, std::uint16_t id)
    -> std::list<Exchange>::iterator {
  return std::find_if(
      flow.exchanges.begin(), flow.exchanges.end(),
      [&](const Exchange& exchange) { return exchange.request.id == id; });
}

// Handles a retransmitted request message: sends the reply or ACK of the first
// copy again, or nothing if none was sent. For a new request that reuses the
// message ID of an answered exchange, erases this exchange instead.
// @return Whether the message is a duplicate.
auto HandleDuplicateRequest(CoapGateState& state,
                            const FlowKey& key,
                            CallerFlow& flow,
                            const CoapMessage& message,
                            TimePoint now,
                            GateActions& out) -> bool {
  const auto it = FindExchangeByMessageId(flow, message.id);
  if (it == flow.exchanges.end()) {
    return false;
  }
  const bool is_duplicate = it->request.token == message.token &&
                            it->request.code == message.code &&
                            now < it->arrival_time + kExchangeLifetime;
  if (!is_duplicate) {
    if (!it->is_waiting) {
      flow.exchanges.erase(it);
    }
    return false;
  }
  IncrementCounter(state.request_gate, GateCounter::kDuplicateMessage);
  if (!it->is_waiting) {
    out.push_back(
        {.kind = GateAction::Kind::kToCaller, .flow = key, .bytes = it->reply});
  } else if (it->is_acknowledged) {
    AppendMessageToCaller(
        key, detail::MakeEmptyMessage(CoapType::kAck, message.id), out);
  }
  return true;
}

// Erases the oldest answered exchange if the flow has kMaxExchangesPerFlow.
// @return False if the flow is full and all its exchanges wait for an answer.
auto EvictExchangeIfFull(CallerFlow& flow) -> bool {
  if (flow.exchanges.size() < kMaxExchangesPerFlow) {
    return true;
  }
  // Cancelled exchanges are erased last, because late answers of the target are
  // matched to cancelled exchanges.
  auto it =
      std::find_if(flow.exchanges.begin(), flow.exchanges.end(),
                   [](const Exchange& exchange) {
                     return !exchange.is_waiting && !exchange.is_cancelled;
                   });
  if (it == flow.exchanges.end()) {
    it = std::find_if(
        flow.exchanges.begin(), flow.exchanges.end(),
        [](const Exchange& exchange) { return !exchange.is_waiting; });
  }
  if (it == flow.exchanges.end()) {
    return false;
  }
  flow.exchanges.erase(it);
  return true;
}

auto HasWaitingExchangeWithToken(const CallerFlow& flow,
                                 const CoapMessage& message) -> bool {
  return std::any_of(flow.exchanges.begin(), flow.exchanges.end(),
                     [&](const Exchange& exchange) {
                       return exchange.is_waiting &&
                              exchange.request.token == message.token;
                     });
}

auto HandleCancelRequest(CoapGateState& state,
                         const FlowKey& key,
                         const CoapMessage& message,
                         const std::string& id,
                         TimePoint now,
                         Random& random,
                         GateActions& out) -> void {
  bool was_found = false;
  CallRequestGateAndApplyActions(
      state, now, random, out, [&](RequestActions& actions) {
        was_found = CancelRequest(state.request_gate, id, now, random, actions);
      });
  if (was_found) {
    AppendMessageToCaller(
        key, detail::MakeCallerReply(message, false, kCoapDeleted, random),
        out);
  } else {
    AppendMessageToCaller(
        key,
        detail::MakeErrorReply(message, false, ErrorKind::kUnknownRequest,
                               std::chrono::seconds{0}, random),
        out);
  }
}

// Only the target that issued a token knows whether the token's request ran.
auto ShouldForwardToOtherTarget(const CoapGateState& state,
                                const Request& request) -> bool {
  return state.options.forwards_to_other_targets && !request.idempotent &&
         request.token && request.token->is_authentic &&
         request.token->target != state.options.gate.target;
}

auto SubmitRequestMessage(CoapGateState& state,
                          const FlowKey& key,
                          CallerFlow& flow,
                          const CoapMessage& message,
                          TimePoint now,
                          Random& random,
                          GateActions& out) -> void {
  const WaiterId waiter{state.next_waiter_id++};
  const auto request =
      detail::ConvertToGateRequest(state.options, key, message, waiter, now);
  if (ShouldForwardToOtherTarget(state, request)) {
    IncrementCounter(state.request_gate, GateCounter::kPassedToOtherTarget);
    out.push_back({.kind = GateAction::Kind::kToOtherTarget,
                   .flow = key,
                   .bytes = EncodeCoapMessage(message),
                   .target = request.token->target});
    return;
  }
  flow.exchanges.push_back(
      {.waiter = waiter, .request = message, .arrival_time = now});
  state.flows_by_waiter.emplace(waiter, key);
  CallRequestGateAndApplyActions(
      state, now, random, out, [&](RequestActions& actions) {
        SubmitRequest(state.request_gate, request, now, random, actions);
      });
}

auto HandleRequestMessage(CoapGateState& state,
                          const FlowKey& key,
                          CallerFlow& flow,
                          const CoapMessage& message,
                          TimePoint now,
                          Random& random,
                          GateActions& out) -> void {
  if (HandleDuplicateRequest(state, key, flow, message, now, out)) {
    return;
  }
  if (const auto id = FindQueryParameter(message, "cancel")) {
    HandleCancelRequest(state, key, message, *id, now, random, out);
    return;
  }
  if (HasWaitingExchangeWithToken(flow, message)) {
    RefuseRequestMessage(state, key, message, ErrorKind::kMalformed,
                         GateCounter::kRefusedMalformed, random, out);
    return;
  }
  if (!EvictExchangeIfFull(flow)) {
    RefuseRequestMessage(state, key, message, ErrorKind::kOverloaded,
                         GateCounter::kRefusedExchanges, random, out);
    return;
  }
  SubmitRequestMessage(state, key, flow, message, now, random, out);
}

// Handles a caller's empty message (code 0.00): ping, acknowledgement or reset.
auto HandleEmptyCallerMessage(CoapGateState& state,
                              const FlowKey& key,
                              CallerFlow& flow,
                              const CoapMessage& message,
                              TimePoint now,
                              Random& random,
                              GateActions& out) -> void {
  if (message.type == CoapType::kCon) {
    AppendMessageToCaller(
        key, detail::MakeEmptyMessage(CoapType::kRst, message.id), out);
    return;
  }
  AppendMessageToTarget(key, message, out);
  const auto it = FindExchangeByMessageId(flow, message.id);
  const bool is_reset_of_waiting = message.type == CoapType::kRst &&
                                   it != flow.exchanges.end() && it->is_waiting;
  if (is_reset_of_waiting) {
    const auto waiter = it->waiter;
    CallRequestGateAndApplyActions(
        state, now, random, out, [&](RequestActions& actions) {
          RemoveWaiter(state.request_gate, waiter, now, random, actions);
        });
    // The exchange stays, so that the target's late answer can be matched and
    // stored for a repeat of the request.
    state.flows_by_waiter.erase(waiter);
    it->is_waiting = false;
    it->reply =
        EncodeCoapMessage(detail::MakeEmptyMessage(CoapType::kRst, message.id));
  }
}

auto DispatchCallerMessage(CoapGateState& state,
                           const FlowKey& key,
                           const CoapMessage& message,
                           TimePoint now,
                           Random& random,
                           GateActions& out) -> void {
  auto it = state.flows.find(key);
  const bool is_request = IsCoapRequestCode(message.code);
  if (it == state.flows.end() && is_request) {
    if (state.flows.size() >= state.options.max_connections) {
      RefuseRequestMessage(state, key, message, ErrorKind::kOverloaded,
                           GateCounter::kRefusedConnections, random, out);
      return;
    }
    it = state.flows.emplace(key, CallerFlow{}).first;
    it->second.next_target_message_id = static_cast<std::uint16_t>(random());
  }
  if (is_request &&
      (message.type == CoapType::kCon || message.type == CoapType::kNon)) {
    HandleRequestMessage(state, key, it->second, message, now, random, out);
  } else if (message.code == kCoapEmpty && it != state.flows.end()) {
    HandleEmptyCallerMessage(state, key, it->second, message, now, random, out);
  } else if (message.code == kCoapEmpty && message.type == CoapType::kCon) {
    AppendMessageToCaller(
        key, detail::MakeEmptyMessage(CoapType::kRst, message.id), out);
  } else {
    IncrementCounter(state.request_gate, GateCounter::kRefusedMalformed);
  }
}

// Removes the waiters of a flow that closes, which cancels requests that no
// other flow waits for. Reports unanswered requests that this flow started to
// the request gate as lost.
auto EndExchangesOfClosedFlow(CoapGateState& state,
                              const CallerFlow& flow,
                              TimePoint now,
                              Random& random,
                              RequestActions& actions) -> void {
  for (const auto& exchange : flow.exchanges) {
    if (exchange.is_waiting) {
      RemoveWaiter(state.request_gate, exchange.waiter, now, random, actions);
    }
    // Waiters on other flows may share this request, but the target would send
    // the answer to the closed flow, so the answer is lost.
    if (exchange.handle && (exchange.is_waiting || exchange.is_cancelled)) {
      OnRequestOutcome(state.request_gate, *exchange.handle,
                       RequestOutcome::kLost, nullptr, now, random, actions);
    }
  }
}

}  // namespace

CoapGate::CoapGate() = default;
CoapGate::CoapGate(CoapGate&&) noexcept = default;
auto CoapGate::operator=(CoapGate&&) noexcept -> CoapGate& = default;
CoapGate::~CoapGate() = default;

auto MakeCoapGate(const CoapGateOptions& options) -> CoapGate {
  if (options.token_keys.empty()) {
    throw Error(ErrorKind::kInvalidSettings,
                "CoAP gate options hold no token key, expected at least one");
  }
  CoapGate gate;
  gate.state = std::make_unique<CoapGateState>();
  gate.state->options = options;
  gate.state->request_gate = MakeRequestGate(options.gate);
  return gate;
}

auto OnCallerDatagram(CoapGate& gate,
                      const FlowKey& flow,
                      std::span<const std::uint8_t> bytes,
                      TimePoint now,
                      Random& random,
                      GateActions& out) -> void {
  auto& state = *gate.state;
  try {
    const auto message = DecodeCoapMessage(bytes, kMaxCallerMessageBytes);
    DispatchCallerMessage(state, flow, message, now, random, out);
  } catch (const Error& error) {
    RefuseInvalidDatagram(state, flow, bytes, error.kind(), random, out);
  }
}

auto RefuseForwardedDatagram(CoapGate& gate,
                             const FlowKey& flow,
                             std::span<const std::uint8_t> bytes,
                             Random& random,
                             GateActions& out) -> void {
  RefuseRequestMessage(*gate.state, flow,
                       DecodeCoapMessage(bytes, kMaxCallerMessageBytes),
                       ErrorKind::kOutcomeUnknown,
                       GateCounter::kUnknownOtherTarget, random, out);
}

auto OnCoapGateTick(CoapGate& gate,
                    TimePoint now,
                    Random& random,
                    GateActions& out) -> TimePoint {
  auto& state = *gate.state;
  TimePoint next{};
  CallRequestGateAndApplyActions(
      state, now, random, out, [&](RequestActions& actions) {
        next = OnRequestGateTick(state.request_gate, now, random, actions);
      });
  return next;
}

auto OnFlowClosed(CoapGate& gate,
                  const FlowKey& flow,
                  TimePoint now,
                  Random& random,
                  GateActions& out) -> void {
  auto& state = *gate.state;
  const auto it = state.flows.find(flow);
  if (it == state.flows.end()) {
    return;
  }
  CallRequestGateAndApplyActions(
      state, now, random, out, [&](RequestActions& actions) {
        EndExchangesOfClosedFlow(state, it->second, now, random, actions);
      });
  for (const auto& exchange : it->second.exchanges) {
    state.flows_by_waiter.erase(exchange.waiter);
  }
  state.flows.erase(it);
}

auto BeginGateDrain(CoapGate& gate) -> void {
  BeginRequestGateDrain(gate.state->request_gate);
}

auto CancelGateDrain(CoapGate& gate) -> void {
  CancelRequestGateDrain(gate.state->request_gate);
}

auto IsGateDrained(const CoapGate& gate, TimePoint now) -> bool {
  const auto load = ComputeGateLoad(gate.state->request_gate, now);
  return load.draining && load.slots_busy == load.slots_cancelled &&
         load.queued == 0;
}

auto DrainAndEndCoapRequests(CoapGate& gate,
                             TimePoint now,
                             Random& random,
                             GateActions& out) -> void {
  auto& state = *gate.state;
  CallRequestGateAndApplyActions(
      state, now, random, out, [&](RequestActions& actions) {
        DrainAndEndRequests(state.request_gate, now, random, actions);
      });
}

auto ComputeCoapGateLoad(const CoapGate& gate, TimePoint now)
    -> GateLoadReport {
  auto load = ComputeGateLoad(gate.state->request_gate, now);
  load.connections = static_cast<std::uint32_t>(gate.state->flows.size());
  return load;
}

auto ListGateCounters(const CoapGate& gate) -> std::vector<GateCounterRow> {
  std::vector<GateCounterRow> rows;
  for (std::size_t n = 0; n < static_cast<std::size_t>(GateCounter::kCount);
       ++n) {
    const auto counter = static_cast<GateCounter>(n);
    rows.push_back(
        {.name = GetGateCounterName(counter),
         .value = ReadGateCounter(gate.state->request_gate, counter)});
  }
  return rows;
}

auto GetRequestGate(const CoapGate& gate) -> const RequestGate& {
  return gate.state->request_gate;
}

}  // namespace hawthornbank
