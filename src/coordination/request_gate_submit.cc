#include <algorithm>
#include <utility>

#include "coordination/request_gate_state.h"

/// @file
/// Admission of requests. For a non-idempotent request, the ledger is checked
/// first, then the token, then the limits of the gate; for an idempotent one,
/// only the limits.
namespace hawthornbank {
namespace {

using detail::IncrementGateCounter;
using detail::RefuseWaiter;

// Number of mean service times that must be left between the end of the queue
// wait and the deadline. Requests admitted with less time left often end late.
constexpr int kReservedServiceTimes = 3;
// Fill level of the queue, in percent, from which the queue has no place for
// requests without double weight.
constexpr std::uint32_t kOrdinaryQueuePercent = 75;

struct Refusal {
  ErrorKind error;
  GateCounter reason;
};

auto MakeQueueItem(const Request& request, RequestHandle handle) -> QueueItem {
  return {.request = handle,
          .caller = request.caller,
          .has_double_weight =
              request.has_double_weight || request.is_continuation};
}

auto HasFreeQueuePlace(const RequestGateState& state, const QueueItem& item)
    -> bool {
  const auto limit = state.options.queue_limit;
  return CountQueuedRequests(state.queue) <
         (item.has_double_weight ? limit : limit * kOrdinaryQueuePercent / 100);
}

auto FindRefusalByTargetState(const RequestGateState& state,
                              const Request& request,
                              TimePoint now) -> std::optional<Refusal> {
  if (state.draining && !request.is_continuation) {
    return Refusal{ErrorKind::kDraining, GateCounter::kRefusedDraining};
  }
  const bool probe_due = ComputeAllowedSlots(state.health, now) > state.running;
  if ((IsTargetDown(state.health) && !probe_due) ||
      detail::IsTargetStalled(state, now)) {
    return Refusal{ErrorKind::kUnhealthy, GateCounter::kRefusedUnhealthy};
  }
  return std::nullopt;
}

// Returns the reason to refuse a request, or nothing if the request is
// admitted. Cheaper checks come first.
auto FindAdmissionRefusal(const RequestGateState& state,
                          const Request& request,
                          TimePoint now) -> std::optional<Refusal> {
  if (now >= request.deadline) {
    return Refusal{ErrorKind::kDeadlineExpired, GateCounter::kRefusedDeadline};
  }
  if (const auto refusal = FindRefusalByTargetState(state, request, now)) {
    return refusal;
  }
  const auto item = MakeQueueItem(request, RequestHandle{});
  if (!HasFreeQueuePlace(state, item) &&
      !ChooseRequestToEvict(state.queue, item)) {
    return Refusal{ErrorKind::kOverloaded, GateCounter::kRefusedQueueFull};
  }
  if (state.running == 0 && CountQueuedRequests(state.queue) == 0) {
    return std::nullopt;
  }
  const auto end = now + detail::EstimateQueueWait(state, item, now) +
                   state.health.service_time * kReservedServiceTimes;
  if (end > request.deadline) {
    return Refusal{ErrorKind::kOverloaded, GateCounter::kRefusedWouldBeLate};
  }
  return std::nullopt;
}

auto RefuseRequest(RequestGateState& state,
                   const Request& request,
                   const Refusal& refusal,
                   Random& random,
                   RequestActions& out) -> void {
  IncrementGateCounter(state, refusal.reason);
  RefuseWaiter(state, request.waiter, refusal.error, random, out);
}

auto ChallengeWaiter(RequestGateState& state,
                     const Request& request,
                     TimePoint now,
                     RequestActions& out) -> void {
  // Each token has a distinct issue time, so that tokens are ordered.
  state.last_token_issued =
      std::max(now, state.last_token_issued + Duration{1});
  // The token expires no later than the request's deadline, so that a repeat
  // with this token isn't started after the deadline, even if the repeat waited
  // unread in the socket of a paused process.
  const auto left = std::chrono::floor<std::chrono::milliseconds>(
      request.deadline - state.last_token_issued);
  IncrementGateCounter(state, GateCounter::kChallenged);
  out.push_back(
      {.kind = RequestAction::Kind::kChallenge,
       .waiter = request.waiter,
       .error = ErrorKind::kTokenRequired,
       .token = {.target = state.options.target,
                 .incarnation = state.options.incarnation,
                 .issued = state.last_token_issued,
                 .validity = std::min(state.options.token_validity, left),
                 .is_authentic = true}});
}

auto ChallengeOrRefuseRequest(RequestGateState& state,
                              const Request& request,
                              TimePoint now,
                              Random& random,
                              RequestActions& out) -> void {
  if (const auto refusal = FindAdmissionRefusal(state, request, now)) {
    RefuseRequest(state, request, *refusal, random, out);
    return;
  }
  ChallengeWaiter(state, request, now, out);
}

auto IsTokenOfThisIncarnation(const RequestGateState& state,
                              const RequestToken& token) -> bool {
  return token.is_authentic && token.target == state.options.target &&
         token.incarnation == state.options.incarnation;
}

// Answers or refuses a request from its ledger entry, or adds the waiter to the
// pending request of the same identity.
// @return False if there is no entry, or only a refusal that doesn't apply to
//   the request's token.
auto TryAnswerFromLedger(RequestGateState& state,
                         const Request& request,
                         Random& random,
                         RequestActions& out) -> bool {
  const auto* entry = FindLedgerEntry(state.ledger, request.id);
  if (entry == nullptr) {
    return false;
  }
  if (entry->fingerprint != request.fingerprint) {
    RefuseRequest(state, request,
                  {ErrorKind::kConflict, GateCounter::kRefusedConflict}, random,
                  out);
    return true;
  }
  switch (entry->state) {
    case RequestState::kPending:
      IncrementGateCounter(state, GateCounter::kJoinedRunning);
      state.pending.at(entry->request).waiters.push_back(request.waiter);
      state.waiters.emplace(request.waiter, entry->request);
      return true;
    case RequestState::kFinished:
      IncrementGateCounter(state, GateCounter::kKeptAnswer);
      out.push_back({.kind = RequestAction::Kind::kAnswer,
                     .waiter = request.waiter,
                     .answer = entry->answer});
      return true;
    case RequestState::kUnknown:
      RefuseRequest(state, request,
                    {ErrorKind::kOutcomeUnknown, GateCounter::kUnknownGaveUp},
                    random, out);
      return true;
    case RequestState::kRefused:
      break;
  }
  const bool repeats_refused_request =
      request.token && IsTokenOfThisIncarnation(state, *request.token) &&
      request.token->issued <= entry->issued;
  if (repeats_refused_request) {
    IncrementGateCounter(state, GateCounter::kKeptAnswer);
    RefuseWaiter(state, request.waiter, entry->error, random, out);
  }
  return repeats_refused_request;
}

// Returns why a token can't start a request at this gate, or nothing.
auto FindTokenRefusal(const RequestGateState& state,
                      const RequestToken& token,
                      TimePoint now) -> std::optional<Refusal> {
  constexpr auto kUnknown = ErrorKind::kOutcomeUnknown;
  // The digest check also fails for a genuine token whose key was retired, so
  // the request may have run.
  if (!token.is_authentic) {
    return Refusal{kUnknown, GateCounter::kUnknownTokenForged};
  }
  if (token.target != state.options.target) {
    return Refusal{kUnknown, GateCounter::kUnknownOtherTarget};
  }
  if (token.incarnation != state.options.incarnation) {
    return Refusal{kUnknown, GateCounter::kUnknownOtherIncarnation};
  }
  const auto keep_until =
      detail::ComputeTokenExpiry(token) + state.options.ledger_retention;
  if (now >= keep_until) {
    return Refusal{kUnknown, GateCounter::kUnknownTokenForgotten};
  }
  if (token.issued <= state.tokens_void_through) {
    return Refusal{ErrorKind::kOverloaded, GateCounter::kRefusedVoidToken};
  }
  return std::nullopt;
}

auto EvictRequestIfQueueFull(RequestGateState& state,
                             const QueueItem& item,
                             Random& random,
                             RequestActions& out) -> void {
  if (HasFreeQueuePlace(state, item)) {
    return;
  }
  if (const auto victim = ChooseRequestToEvict(state.queue, item)) {
    detail::EndRequestAsNotRun(state, victim->request, ErrorKind::kOverloaded,
                               GateCounter::kRefusedForFairness, random, out);
  }
}

auto EnqueueRequest(RequestGateState& state,
                    const Request& request,
                    TimePoint now,
                    Random& random,
                    RequestActions& out) -> void {
  const RequestHandle handle{state.next_handle++};
  if (auto* entry = FindLedgerEntry(state.ledger, request.id);
      entry != nullptr && !request.idempotent) {
    entry->request = handle;
  }
  const auto item = MakeQueueItem(request, handle);
  EvictRequestIfQueueFull(state, item, random, out);
  state.pending.emplace(
      handle, PendingRequest{.id = request.idempotent ? "" : request.id,
                             .cancel_id = request.id,
                             .item = item,
                             .deadline = request.deadline,
                             .arrived = now,
                             .waiters = {request.waiter}});
  state.waiters.emplace(request.waiter, handle);
  PushRequest(state.queue, item);
  detail::StartQueuedRequests(state, now, random, out);
}

// Admits a non-idempotent request that has a valid token, or refuses the
// request if a limit of the gate is reached.
auto AdmitNonIdempotentRequest(RequestGateState& state,
                               const Request& request,
                               TimePoint now,
                               Random& random,
                               RequestActions& out) -> void {
  const auto expiry = detail::ComputeTokenExpiry(*request.token);
  LedgerEntry entry{.fingerprint = request.fingerprint,
                    .issued = request.token->issued,
                    .keep_until = expiry + state.options.ledger_retention};
  const auto refusal = FindAdmissionRefusal(state, request, now);
  if (refusal) {
    entry.state = RequestState::kRefused;
    entry.error = refusal->error;
  }
  if (!AddOrReplaceLedgerEntry(state.ledger, request.id, std::move(entry),
                               now)) {
    // The full ledger can't record the refusal, so every token issued so far
    // becomes void: a late copy of this request must not run after its caller
    // got the answer that the request didn't run.
    state.tokens_void_through =
        std::max(state.tokens_void_through, state.last_token_issued);
    RefuseRequest(state, request,
                  {ErrorKind::kOverloaded, GateCounter::kRefusedLedgerFull},
                  random, out);
    return;
  }
  if (refusal) {
    RefuseRequest(state, request, *refusal, random, out);
    return;
  }
  EnqueueRequest(state, request, now, random, out);
}

auto SubmitNonIdempotentRequest(RequestGateState& state,
                                const Request& request,
                                TimePoint now,
                                Random& random,
                                RequestActions& out) -> void {
  if (request.id.empty()) {
    RefuseRequest(state, request,
                  {ErrorKind::kMalformed, GateCounter::kRefusedMalformed},
                  random, out);
    return;
  }
  if (TryAnswerFromLedger(state, request, random, out)) {
    return;
  }
  if (!request.token) {
    ChallengeOrRefuseRequest(state, request, now, random, out);
    return;
  }
  if (const auto refusal = FindTokenRefusal(state, *request.token, now)) {
    RefuseRequest(state, request, *refusal, random, out);
    return;
  }
  if (now >= detail::ComputeTokenExpiry(*request.token)) {
    // The request has not run, because the ledger would still hold its entry.
    // The expired token can't start the request any more.
    ChallengeOrRefuseRequest(state, request, now, random, out);
    return;
  }
  AdmitNonIdempotentRequest(state, request, now, random, out);
}

}  // namespace

auto SubmitRequest(RequestGate& gate,
                   const Request& request,
                   TimePoint now,
                   Random& random,
                   RequestActions& out) -> void {
  auto& state = *gate.state;
  detail::ReleaseUnconfirmedSlots(state, now);
  if (!request.idempotent) {
    SubmitNonIdempotentRequest(state, request, now, random, out);
    return;
  }
  if (const auto refusal = FindAdmissionRefusal(state, request, now)) {
    RefuseRequest(state, request, *refusal, random, out);
    return;
  }
  EnqueueRequest(state, request, now, random, out);
}

}  // namespace hawthornbank
