#include "hawthornbank/coap_gate.h"

#include <algorithm>
#include <utility>

#include "hawthornbank/error.h"
#include "protocol/coap_gate_state.h"

namespace hawthornbank {
namespace {

using detail::Perform;
using detail::SendToCaller;
using detail::SendToTarget;

constexpr std::size_t kExchangesPerFlow = 32;
// EXCHANGE_LIFETIME of RFC 7252: until then a message identity isn't reused.
constexpr std::chrono::seconds kExchangeLifetime{247};

auto RefuseBadDatagram(CoapGateState& state,
                       const FlowKey& flow,
                       std::span<const std::uint8_t> bytes,
                       ErrorKind error,
                       Random& random,
                       GateActions& out) -> void {
  Count(state.gate, error == ErrorKind::kTooLarge
                        ? GateCounter::kRefusedTooLarge
                        : GateCounter::kRefusedMalformed);
  const auto header = DecodeCoapHeader(bytes);
  if (!header) {
    return;
  }
  if (IsRequestCode(header->code) && header->type != CoapType::kAck &&
      header->type != CoapType::kRst) {
    SendToCaller(flow,
                 detail::MakeErrorReply(*header, false, error,
                                        std::chrono::seconds{0}, random),
                 out);
  } else if (header->type == CoapType::kCon) {
    SendToCaller(flow, detail::MakeEmpty(CoapType::kRst, header->id), out);
  }
}

// Refuses a message for which no exchange is kept.
auto RefuseMessage(CoapGateState& state,
                   const FlowKey& flow,
                   const CoapMessage& message,
                   ErrorKind error,
                   GateCounter reason,
                   Random& random,
                   GateActions& out) -> void {
  Count(state.gate, reason);
  const auto& options = state.options.gate;
  const auto spread = NextFraction(random) *
                      static_cast<double>(options.come_back_spread.count());
  const auto retry_after = std::chrono::ceil<std::chrono::seconds>(
      options.come_back_min +
      std::chrono::milliseconds{static_cast<std::int64_t>(spread)});
  SendToCaller(
      flow, detail::MakeErrorReply(message, false, error, retry_after, random),
      out);
}

auto FindById(Flow& flow, std::uint16_t id) -> std::list<Exchange>::iterator {
  return std::find_if(
      flow.exchanges.begin(), flow.exchanges.end(),
      [&](const Exchange& exchange) { return exchange.request.id == id; });
}

// A message that the gate has seen before.
// @return Whether it was one.
auto HandleDuplicate(CoapGateState& state,
                     const FlowKey& key,
                     Flow& flow,
                     const CoapMessage& message,
                     TimePoint now,
                     GateActions& out) -> bool {
  const auto it = FindById(flow, message.id);
  if (it == flow.exchanges.end()) {
    return false;
  }
  const bool same = it->request.token == message.token &&
                    it->request.code == message.code &&
                    now < it->arrived + kExchangeLifetime;
  if (!same) {
    if (!it->waiting) {
      flow.exchanges.erase(it);
    }
    return false;
  }
  Count(state.gate, GateCounter::kDuplicateMessage);
  if (!it->waiting) {
    out.push_back(
        {.kind = GateAction::Kind::kToCaller, .flow = key, .bytes = it->reply});
  } else if (it->acknowledged) {
    SendToCaller(key, detail::MakeEmpty(CoapType::kAck, message.id), out);
  }
  return true;
}

// Makes room for one more exchange.
// @return False when every one of them is waiting for its answer.
auto MakeRoom(Flow& flow) -> bool {
  if (flow.exchanges.size() < kExchangesPerFlow) {
    return true;
  }
  // What was cancelled is needed to know the answer that may yet come.
  auto it = std::find_if(flow.exchanges.begin(), flow.exchanges.end(),
                         [](const Exchange& exchange) {
                           return !exchange.waiting && !exchange.cancelled;
                         });
  if (it == flow.exchanges.end()) {
    it = std::find_if(
        flow.exchanges.begin(), flow.exchanges.end(),
        [](const Exchange& exchange) { return !exchange.waiting; });
  }
  if (it == flow.exchanges.end()) {
    return false;
  }
  flow.exchanges.erase(it);
  return true;
}

auto HasTokenInUse(const Flow& flow, const CoapMessage& message) -> bool {
  return std::any_of(flow.exchanges.begin(), flow.exchanges.end(),
                     [&](const Exchange& exchange) {
                       return exchange.waiting &&
                              exchange.request.token == message.token;
                     });
}

auto HandleCancel(CoapGateState& state,
                  const FlowKey& key,
                  const CoapMessage& message,
                  const std::string& id,
                  TimePoint now,
                  Random& random,
                  GateActions& out) -> void {
  bool found = false;
  Perform(state, now, random, out, [&](RequestActions& actions) {
    found = CancelRequest(state.gate, id, now, random, actions);
  });
  if (found) {
    SendToCaller(key, detail::MakeReply(message, false, kCoapDeleted, random),
                 out);
  } else {
    SendToCaller(
        key,
        detail::MakeErrorReply(message, false, ErrorKind::kUnknownRequest,
                               std::chrono::seconds{0}, random),
        out);
  }
}

// Only the target that issued a token can know whether its request ran.
auto BelongsElsewhere(const CoapGateState& state, const Request& request)
    -> bool {
  return state.options.pass_to_other_targets && !request.idempotent &&
         request.token && request.token->authentic &&
         request.token->target != state.options.gate.target;
}

auto SubmitMessage(CoapGateState& state,
                   const FlowKey& key,
                   Flow& flow,
                   const CoapMessage& message,
                   TimePoint now,
                   Random& random,
                   GateActions& out) -> void {
  const WaiterId waiter{state.next_waiter++};
  const auto request =
      detail::MakeRequest(state.options, key, message, waiter, now);
  if (BelongsElsewhere(state, request)) {
    Count(state.gate, GateCounter::kPassedToOtherTarget);
    out.push_back({.kind = GateAction::Kind::kToOtherTarget,
                   .flow = key,
                   .bytes = EncodeCoap(message),
                   .target = request.token->target});
    return;
  }
  flow.exchanges.push_back(
      {.waiter = waiter, .request = message, .arrived = now});
  state.waiters.emplace(waiter, key);
  Perform(state, now, random, out, [&](RequestActions& actions) {
    Submit(state.gate, request, now, random, actions);
  });
}

auto HandleRequest(CoapGateState& state,
                   const FlowKey& key,
                   Flow& flow,
                   const CoapMessage& message,
                   TimePoint now,
                   Random& random,
                   GateActions& out) -> void {
  if (HandleDuplicate(state, key, flow, message, now, out)) {
    return;
  }
  if (const auto id = QueryValue(message, "cancel")) {
    HandleCancel(state, key, message, *id, now, random, out);
    return;
  }
  if (HasTokenInUse(flow, message)) {
    RefuseMessage(state, key, message, ErrorKind::kMalformed,
                  GateCounter::kRefusedMalformed, random, out);
    return;
  }
  if (!MakeRoom(flow)) {
    RefuseMessage(state, key, message, ErrorKind::kOverloaded,
                  GateCounter::kRefusedExchanges, random, out);
    return;
  }
  SubmitMessage(state, key, flow, message, now, random, out);
}

// A message without a code: ping, acknowledgement or reset.
auto HandleEmpty(CoapGateState& state,
                 const FlowKey& key,
                 Flow& flow,
                 const CoapMessage& message,
                 TimePoint now,
                 Random& random,
                 GateActions& out) -> void {
  if (message.type == CoapType::kCon) {
    SendToCaller(key, detail::MakeEmpty(CoapType::kRst, message.id), out);
    return;
  }
  SendToTarget(key, message, out);
  const auto it = FindById(flow, message.id);
  const bool cancels = message.type == CoapType::kRst &&
                       it != flow.exchanges.end() && it->waiting;
  if (cancels) {
    const auto waiter = it->waiter;
    Perform(state, now, random, out, [&](RequestActions& actions) {
      DropWaiter(state.gate, waiter, now, random, actions);
    });
    // Stays, so that an answer that comes yet is kept for a repeat.
    state.waiters.erase(waiter);
    it->waiting = false;
    it->reply = EncodeCoap(detail::MakeEmpty(CoapType::kRst, message.id));
  }
}

auto DispatchCallerMessage(CoapGateState& state,
                           const FlowKey& key,
                           const CoapMessage& message,
                           TimePoint now,
                           Random& random,
                           GateActions& out) -> void {
  auto it = state.flows.find(key);
  const bool is_request = IsRequestCode(message.code);
  if (it == state.flows.end() && is_request) {
    if (state.flows.size() >= state.options.max_connections) {
      RefuseMessage(state, key, message, ErrorKind::kOverloaded,
                    GateCounter::kRefusedConnections, random, out);
      return;
    }
    it = state.flows.emplace(key, Flow{}).first;
    it->second.next_target_id = static_cast<std::uint16_t>(random());
  }
  if (is_request &&
      (message.type == CoapType::kCon || message.type == CoapType::kNon)) {
    HandleRequest(state, key, it->second, message, now, random, out);
  } else if (message.code == kCoapEmpty && it != state.flows.end()) {
    HandleEmpty(state, key, it->second, message, now, random, out);
  } else if (message.code == kCoapEmpty && message.type == CoapType::kCon) {
    SendToCaller(key, detail::MakeEmpty(CoapType::kRst, message.id), out);
  } else {
    Count(state.gate, GateCounter::kRefusedMalformed);
  }
}

// Ends what only the exchanges of a flow that closes wait for.
auto EndExchanges(CoapGateState& state,
                  const Flow& flow,
                  TimePoint now,
                  Random& random,
                  RequestActions& actions) -> void {
  for (const auto& exchange : flow.exchanges) {
    if (exchange.waiting) {
      DropWaiter(state.gate, exchange.waiter, now, random, actions);
    }
    // Others may wait for it on other flows, but its answer would come here.
    if (exchange.handle && (exchange.waiting || exchange.cancelled)) {
      OnOutcome(state.gate, *exchange.handle, Outcome::kLost, nullptr, now,
                random, actions);
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
    throw Error(ErrorKind::kInvalidSettings, "the gate needs a token key");
  }
  CoapGate gate;
  gate.state = std::make_unique<CoapGateState>();
  gate.state->options = options;
  gate.state->gate = MakeRequestGate(options.gate);
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
    const auto message = DecodeCoap(bytes, kMaxCallerMessage);
    DispatchCallerMessage(state, flow, message, now, random, out);
  } catch (const Error& error) {
    RefuseBadDatagram(state, flow, bytes, error.kind(), random, out);
  }
}

auto RefusePassed(CoapGate& gate,
                  const FlowKey& flow,
                  std::span<const std::uint8_t> bytes,
                  Random& random,
                  GateActions& out) -> void {
  RefuseMessage(*gate.state, flow, DecodeCoap(bytes, kMaxCallerMessage),
                ErrorKind::kOutcomeUnknown, GateCounter::kUnknownOtherTarget,
                random, out);
}

auto OnGateTick(CoapGate& gate, TimePoint now, Random& random, GateActions& out)
    -> TimePoint {
  auto& state = *gate.state;
  TimePoint next{};
  Perform(state, now, random, out, [&](RequestActions& actions) {
    next = OnTick(state.gate, now, random, actions);
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
  Perform(state, now, random, out, [&](RequestActions& actions) {
    EndExchanges(state, it->second, now, random, actions);
  });
  for (const auto& exchange : it->second.exchanges) {
    state.waiters.erase(exchange.waiter);
  }
  state.flows.erase(it);
}

auto BeginGateDrain(CoapGate& gate) -> void {
  BeginDrain(gate.state->gate);
}

auto EndGateDrain(CoapGate& gate) -> void {
  EndDrain(gate.state->gate);
}

auto IsGateDrained(const CoapGate& gate, TimePoint now) -> bool {
  const auto load = Load(gate.state->gate, now);
  return load.draining && load.slots_busy == load.slots_cancelled &&
         load.queued == 0;
}

auto AbortGate(CoapGate& gate, TimePoint now, Random& random, GateActions& out)
    -> void {
  auto& state = *gate.state;
  Perform(state, now, random, out, [&](RequestActions& actions) {
    Abort(state.gate, now, random, actions);
  });
}

auto GateLoad(const CoapGate& gate, TimePoint now) -> GateLoadReport {
  auto load = Load(gate.state->gate, now);
  load.connections = static_cast<std::uint32_t>(gate.state->flows.size());
  return load;
}

auto GateCounters(const CoapGate& gate) -> std::vector<CounterRow> {
  std::vector<CounterRow> rows;
  for (std::size_t n = 0; n < static_cast<std::size_t>(GateCounter::kCount);
       ++n) {
    const auto counter = static_cast<GateCounter>(n);
    rows.push_back({.name = CounterName(counter),
                    .value = CounterValue(gate.state->gate, counter)});
  }
  return rows;
}

auto InnerGate(const CoapGate& gate) -> const RequestGate& {
  return gate.state->gate;
}

}  // namespace hawthornbank
