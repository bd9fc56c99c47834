#include <algorithm>
#include <utility>

#include "coordination/request_gate_state.h"

/// @file
/// Admission: ledger first, then the token, then the limits.
namespace hawthornbank {
namespace {

using detail::Bump;
using detail::Refuse;

// Mean service times that must be left after the wait; a request admitted
// with less often runs for nothing.
constexpr int kServiceReserve = 3;
// Share of the queue that requests which don't count double may fill.
constexpr std::uint32_t kOrdinaryPercent = 75;

struct Refusal {
  ErrorKind error;
  GateCounter reason;
};

auto MakeItem(const Request& request, RequestHandle handle) -> QueueItem {
  return {.request = handle,
          .caller = request.caller,
          .counts_double = request.counts_double || request.continuation};
}

auto HasRoom(const RequestGateState& state, const QueueItem& item) -> bool {
  const auto limit = state.options.queue_limit;
  return SizeOf(state.queue) <
         (item.counts_double ? limit : limit * kOrdinaryPercent / 100);
}

auto CheckTarget(const RequestGateState& state,
                 const Request& request,
                 TimePoint now) -> std::optional<Refusal> {
  if (state.draining && !request.continuation) {
    return Refusal{ErrorKind::kDraining, GateCounter::kRefusedDraining};
  }
  const bool probe_due = AllowedSlots(state.health, now) > state.running;
  if ((IsDown(state.health) && !probe_due) || detail::IsStalled(state, now)) {
    return Refusal{ErrorKind::kUnhealthy, GateCounter::kRefusedUnhealthy};
  }
  return std::nullopt;
}

// Reasons not to take a request in, the cheapest check first.
auto CheckLimits(const RequestGateState& state,
                 const Request& request,
                 TimePoint now) -> std::optional<Refusal> {
  if (now >= request.deadline) {
    return Refusal{ErrorKind::kDeadlineExpired, GateCounter::kRefusedDeadline};
  }
  if (const auto refusal = CheckTarget(state, request, now)) {
    return refusal;
  }
  const auto item = MakeItem(request, RequestHandle{});
  if (!HasRoom(state, item) && !ChooseVictim(state.queue, item)) {
    return Refusal{ErrorKind::kOverloaded, GateCounter::kRefusedQueueFull};
  }
  if (state.running == 0 && SizeOf(state.queue) == 0) {
    return std::nullopt;
  }
  const auto end = now + detail::EstimateWait(state, item, now) +
                   state.health.service_time * kServiceReserve;
  if (end > request.deadline) {
    return Refusal{ErrorKind::kOverloaded, GateCounter::kRefusedWouldBeLate};
  }
  return std::nullopt;
}

auto RefuseFor(RequestGateState& state,
               const Request& request,
               const Refusal& refusal,
               Random& random,
               RequestActions& out) -> void {
  Bump(state, refusal.reason);
  Refuse(state, request.waiter, refusal.error, random, out);
}

auto Challenge(RequestGateState& state,
               const Request& request,
               TimePoint now,
               RequestActions& out) -> void {
  // Each token has an instant of its own, so that tokens are ordered.
  state.last_issued = std::max(now, state.last_issued + Duration{1});
  // A request starts within the deadline it came with or not at all, also
  // when it waited unseen in the socket of a paused process.
  const auto left = std::chrono::floor<std::chrono::milliseconds>(
      request.deadline - state.last_issued);
  Bump(state, GateCounter::kChallenged);
  out.push_back(
      {.kind = RequestAction::Kind::kChallenge,
       .waiter = request.waiter,
       .error = ErrorKind::kTokenRequired,
       .token = {.target = state.options.target,
                 .incarnation = state.options.incarnation,
                 .issued = state.last_issued,
                 .validity = std::min(state.options.token_validity, left),
                 .authentic = true}});
}

auto OfferToken(RequestGateState& state,
                const Request& request,
                TimePoint now,
                Random& random,
                RequestActions& out) -> void {
  if (const auto refusal = CheckLimits(state, request, now)) {
    RefuseFor(state, request, *refusal, random, out);
    return;
  }
  Challenge(state, request, now, out);
}

auto IsOwnToken(const RequestGateState& state, const RequestToken& token)
    -> bool {
  return token.authentic && token.target == state.options.target &&
         token.incarnation == state.options.incarnation;
}

// Answers from the ledger.
// @return Whether the request needs nothing more.
auto AnswerKnown(RequestGateState& state,
                 const Request& request,
                 Random& random,
                 RequestActions& out) -> bool {
  const auto* entry = FindEntry(state.ledger, request.id);
  if (entry == nullptr) {
    return false;
  }
  if (entry->fingerprint != request.fingerprint) {
    RefuseFor(state, request,
              {ErrorKind::kConflict, GateCounter::kRefusedConflict}, random,
              out);
    return true;
  }
  switch (entry->state) {
    case RequestState::kPending:
      Bump(state, GateCounter::kJoinedRunning);
      state.pending.at(entry->request).waiters.push_back(request.waiter);
      state.waiters.emplace(request.waiter, entry->request);
      return true;
    case RequestState::kFinished:
      Bump(state, GateCounter::kKeptAnswer);
      out.push_back({.kind = RequestAction::Kind::kAnswer,
                     .waiter = request.waiter,
                     .answer = entry->answer});
      return true;
    case RequestState::kUnknown:
      RefuseFor(state, request,
                {ErrorKind::kOutcomeUnknown, GateCounter::kUnknownGaveUp},
                random, out);
      return true;
    case RequestState::kRefused:
      break;
  }
  const bool repeats_refused = request.token &&
                               IsOwnToken(state, *request.token) &&
                               request.token->issued <= entry->issued;
  if (repeats_refused) {
    Bump(state, GateCounter::kKeptAnswer);
    Refuse(state, request.waiter, entry->error, random, out);
  }
  return repeats_refused;
}

// What a token that can't start anything here means.
auto CheckToken(const RequestGateState& state,
                const RequestToken& token,
                TimePoint now) -> std::optional<Refusal> {
  constexpr auto kUnknown = ErrorKind::kOutcomeUnknown;
  // The digest of a genuine token fails too once its key is retired, so the
  // request may have run.
  if (!token.authentic) {
    return Refusal{kUnknown, GateCounter::kUnknownTokenForged};
  }
  if (token.target != state.options.target) {
    return Refusal{kUnknown, GateCounter::kUnknownOtherTarget};
  }
  if (token.incarnation != state.options.incarnation) {
    return Refusal{kUnknown, GateCounter::kUnknownOtherIncarnation};
  }
  const auto remembered =
      detail::TokenExpiry(token) + state.options.ledger_retention;
  if (now >= remembered) {
    return Refusal{kUnknown, GateCounter::kUnknownTokenForgotten};
  }
  if (token.issued <= state.void_through) {
    return Refusal{ErrorKind::kOverloaded, GateCounter::kRefusedVoidToken};
  }
  return std::nullopt;
}

auto MakeRoom(RequestGateState& state,
              const QueueItem& item,
              Random& random,
              RequestActions& out) -> void {
  if (HasRoom(state, item)) {
    return;
  }
  if (const auto victim = ChooseVictim(state.queue, item)) {
    detail::EndNotRun(state, victim->request, ErrorKind::kOverloaded,
                      GateCounter::kRefusedForFairness, random, out);
  }
}

auto Enqueue(RequestGateState& state,
             const Request& request,
             TimePoint now,
             Random& random,
             RequestActions& out) -> void {
  const RequestHandle handle{state.next_handle++};
  if (auto* entry = FindEntry(state.ledger, request.id);
      entry != nullptr && !request.idempotent) {
    entry->request = handle;
  }
  const auto item = MakeItem(request, handle);
  MakeRoom(state, item, random, out);
  state.pending.emplace(
      handle, PendingRequest{.id = request.idempotent ? "" : request.id,
                             .cancel_id = request.id,
                             .item = item,
                             .deadline = request.deadline,
                             .arrived = now,
                             .waiters = {request.waiter}});
  state.waiters.emplace(request.waiter, handle);
  Push(state.queue, item);
  detail::Dispatch(state, now, random, out);
}

// Takes in a non-idempotent request whose token is fit to start it.
auto AdmitOnce(RequestGateState& state,
               const Request& request,
               TimePoint now,
               Random& random,
               RequestActions& out) -> void {
  const auto expiry = detail::TokenExpiry(*request.token);
  LedgerEntry entry{.fingerprint = request.fingerprint,
                    .issued = request.token->issued,
                    .keep_until = expiry + state.options.ledger_retention};
  const auto refusal = CheckLimits(state, request, now);
  if (refusal) {
    entry.state = RequestState::kRefused;
    entry.error = refusal->error;
  }
  if (!AddEntry(state.ledger, request.id, std::move(entry), now)) {
    // Nothing can be noted down, so every token out there becomes void: a
    // late copy of this request must not run after "not run" was said.
    state.void_through = std::max(state.void_through, state.last_issued);
    RefuseFor(state, request,
              {ErrorKind::kOverloaded, GateCounter::kRefusedLedgerFull}, random,
              out);
    return;
  }
  if (refusal) {
    RefuseFor(state, request, *refusal, random, out);
    return;
  }
  Enqueue(state, request, now, random, out);
}

auto SubmitOnce(RequestGateState& state,
                const Request& request,
                TimePoint now,
                Random& random,
                RequestActions& out) -> void {
  if (request.id.empty()) {
    RefuseFor(state, request,
              {ErrorKind::kMalformed, GateCounter::kRefusedMalformed}, random,
              out);
    return;
  }
  if (AnswerKnown(state, request, random, out)) {
    return;
  }
  if (!request.token) {
    OfferToken(state, request, now, random, out);
    return;
  }
  if (const auto refusal = CheckToken(state, *request.token, now)) {
    RefuseFor(state, request, *refusal, random, out);
    return;
  }
  if (now >= detail::TokenExpiry(*request.token)) {
    // The ledger would still know it: it hasn't run, and no longer can.
    OfferToken(state, request, now, random, out);
    return;
  }
  AdmitOnce(state, request, now, random, out);
}

}  // namespace

auto Submit(RequestGate& gate,
            const Request& request,
            TimePoint now,
            Random& random,
            RequestActions& out) -> void {
  auto& state = *gate.state;
  detail::ReleaseOverdue(state, now);
  if (!request.idempotent) {
    SubmitOnce(state, request, now, random, out);
    return;
  }
  if (const auto refusal = CheckLimits(state, request, now)) {
    RefuseFor(state, request, *refusal, random, out);
    return;
  }
  Enqueue(state, request, now, random, out);
}

}  // namespace hawthornbank
