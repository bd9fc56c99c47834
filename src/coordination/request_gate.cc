#include "hawthornbank/request_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/request_gate_state.h"

namespace hawthornbank {
namespace {

using detail::Bump;
using Phase = PendingRequest::Phase;

constexpr std::chrono::seconds kIdleWake{1};
constexpr std::chrono::milliseconds kRetryDelayMin{10};
constexpr std::chrono::milliseconds kRetryDelaySpread{30};
// Mean service times after which a request that is given up on counts
// against the target.
constexpr int kGiveUpFactor = 3;

// Plans another try of a request that did not run or is idempotent.
auto PlanRetry(RequestGateState& state,
               RequestHandle handle,
               GateCounter reason,
               TimePoint now,
               Random& random) -> bool {
  auto& request = state.pending.at(handle);
  const auto jitter = std::chrono::milliseconds{static_cast<std::int64_t>(
      NextFraction(random) * static_cast<double>(kRetryDelaySpread.count()))};
  const auto not_before = now + kRetryDelayMin + jitter;
  if (not_before + state.health.service_time > request.deadline) {
    Bump(state, GateCounter::kRetryRefusedDeadline);
    return false;
  }
  if (IsDown(state.health) || !SpendRetry(state.budget)) {
    Bump(state, GateCounter::kRetryRefusedBudget);
    return false;
  }
  Bump(state, reason);
  request.phase = Phase::kDelayed;
  request.not_before = not_before;
  --state.running;
  return true;
}

auto Finish(RequestGateState& state,
            RequestHandle handle,
            const Answer& answer,
            TimePoint now,
            RequestActions& out) -> void {
  const auto it = state.pending.find(handle);
  const PendingRequest request = std::move(it->second);
  state.pending.erase(it);
  --state.running;
  if (auto* entry = FindEntry(state.ledger, request.id)) {
    KeepAnswer(state.ledger, request.id, answer);
    entry->keep_until =
        std::max(entry->keep_until, now + state.options.ledger_retention);
  }
  for (const auto waiter : request.waiters) {
    state.waiters.erase(waiter);
    Bump(state, GateCounter::kAnswered);
    out.push_back({.kind = RequestAction::Kind::kAnswer,
                   .waiter = waiter,
                   .request = handle,
                   .answer = answer});
  }
}

// An answer to a request whose waiters were told that its outcome is unknown.
auto KeepLateAnswer(RequestGateState& state,
                    RequestHandle handle,
                    Outcome outcome,
                    const Answer& answer) -> void {
  const bool ran =
      outcome == Outcome::kSucceeded || outcome == Outcome::kFailed;
  const auto it = state.given_up.find(handle);
  auto* entry = it == state.given_up.end() || !ran
                    ? nullptr
                    : FindEntry(state.ledger, it->second);
  if (entry == nullptr || entry->request != handle) {
    Bump(state, GateCounter::kLateAnswerDropped);
    return;
  }
  Bump(state, GateCounter::kLateAnswerKept);
  KeepAnswer(state.ledger, it->second, answer);
  state.given_up.erase(it);
}

auto OnShed(RequestGateState& state,
            RequestHandle handle,
            TimePoint now,
            Random& random,
            RequestActions& out) -> void {
  RecordFailure(state.health, now);
  if (!PlanRetry(state, handle, GateCounter::kRetriedTargetShed, now, random)) {
    detail::EndNotRun(state, handle, ErrorKind::kOverloaded,
                      GateCounter::kRefusedByTarget, random, out);
  }
}

auto OnReset(RequestGateState& state,
             RequestHandle handle,
             TimePoint now,
             Random& random,
             RequestActions& out) -> void {
  RecordFailure(state.health, now);
  const bool idempotent = state.pending.at(handle).id.empty();
  if (!idempotent ||
      !PlanRetry(state, handle, GateCounter::kRetriedLost, now, random)) {
    detail::EndUnknown(state, handle, GateCounter::kUnknownLost, now, random,
                       out);
    detail::ReleaseCancelled(state, handle);
  }
}

// No retry, as the first try may be running.
auto OnLost(RequestGateState& state,
            RequestHandle handle,
            TimePoint now,
            Random& random,
            RequestActions& out) -> void {
  RecordFailure(state.health, now);
  detail::EndUnknown(state, handle, GateCounter::kUnknownLost, now, random,
                     out);
  state.cancelled.at(handle).answerable = false;
}

// An outcome of a request that isn't running any more.
auto OnLateOutcome(RequestGateState& state,
                   RequestHandle handle,
                   Outcome outcome,
                   const Answer& answer) -> void {
  const auto it = state.cancelled.find(handle);
  if (outcome != Outcome::kLost) {
    detail::ReleaseCancelled(state, handle);
    KeepLateAnswer(state, handle, outcome, answer);
  } else if (it != state.cancelled.end()) {
    it->second.answerable = false;
  }
}

auto GiveUp(RequestGateState& state,
            RequestHandle handle,
            TimePoint now,
            Random& random,
            RequestActions& out) -> void {
  const auto running = now - state.pending.at(handle).started;
  if (running >= state.health.service_time * kGiveUpFactor) {
    RecordFailure(state.health, now);
  }
  detail::EndUnknown(state, handle, GateCounter::kUnknownGaveUp, now, random,
                     out);
}

// The last instant at which a waiting request can still end in time, even if
// those before it end unusually soon.
auto LastChance(const RequestGateState& state, const PendingRequest& request)
    -> TimePoint {
  const auto ahead = static_cast<double>(request.ahead);
  const auto least =
      std::max(0.0, ahead - detail::kWaitDeviations * std::sqrt(ahead)) /
      state.options.slots;
  return request.deadline -
         Duration{static_cast<Duration::rep>(
             static_cast<double>(state.health.service_time.count()) *
             (1 + least))};
}

// Notes how many are served before each waiting request: all of them as long
// as even that leaves time, as the exact order costs a copy of the queue.
auto RankQueued(RequestGateState& state, TimePoint now) -> void {
  const auto size = SizeOf(state.queue);
  bool is_tight = false;
  for (auto& [handle, request] : state.pending) {
    request.ahead = size == 0 ? 0 : size - 1;
    is_tight = is_tight || (request.phase == Phase::kQueued &&
                            LastChance(state, request) <= now);
  }
  if (!is_tight) {
    return;
  }
  std::size_t ahead = 0;
  for (const auto& item : ServingOrder(state.queue)) {
    state.pending.at(item.request).ahead = ahead++;
  }
}

// When a pending request needs attention by itself.
auto DueAt(const RequestGateState& state, const PendingRequest& request)
    -> TimePoint {
  switch (request.phase) {
    case Phase::kDelayed:
      return request.not_before;
    case Phase::kQueued:
      return LastChance(state, request);
    case Phase::kRunning:
      break;
  }
  return request.deadline;
}

auto ActOnDue(RequestGateState& state,
              RequestHandle handle,
              TimePoint now,
              Random& random,
              RequestActions& out) -> void {
  auto& request = state.pending.at(handle);
  switch (request.phase) {
    case Phase::kDelayed:
      request.phase = Phase::kQueued;
      Push(state.queue, request.item);
      break;
    case Phase::kQueued:
      detail::EndNotRun(state, handle, ErrorKind::kDeadlineExpired,
                        GateCounter::kRefusedExpiredInQueue, random, out);
      RankQueued(state, now);
      break;
    case Phase::kRunning:
      GiveUp(state, handle, now, random, out);
      break;
  }
}

auto CancelHandle(RequestGateState& state,
                  RequestHandle handle,
                  TimePoint now,
                  Random& random,
                  RequestActions& out) -> void {
  if (state.pending.at(handle).phase == Phase::kRunning) {
    detail::EndUnknown(state, handle, GateCounter::kCancelledRunning, now,
                       random, out);
  } else {
    detail::EndNotRun(state, handle, ErrorKind::kCancelled,
                      GateCounter::kCancelledQueued, random, out);
  }
}

}  // namespace

RequestGate::RequestGate() = default;
RequestGate::RequestGate(RequestGate&&) noexcept = default;
auto RequestGate::operator=(RequestGate&&) noexcept -> RequestGate& = default;
RequestGate::~RequestGate() = default;

auto MakeRequestGate(const RequestGateOptions& options) -> RequestGate {
  RequestGate gate;
  gate.state = std::make_unique<RequestGateState>();
  auto& state = *gate.state;
  state.options = options;
  state.health.slots = options.slots;
  state.health.service_time = options.initial_service_time;
  state.health.probe_interval = options.probe_interval;
  state.budget.share = options.retry_share;
  state.budget.limit = options.retry_burst;
  state.ledger.limit = options.ledger_entries;
  state.ledger.byte_limit = options.ledger_bytes;
  // Before every instant, so that no token is void at the start.
  state.last_issued = TimePoint::min();
  state.void_through = TimePoint::min();
  return gate;
}

auto OnOutcome(RequestGate& gate,
               RequestHandle request,
               Outcome outcome,
               const Answer& answer,
               TimePoint now,
               Random& random,
               RequestActions& out) -> void {
  auto& state = *gate.state;
  const auto it = state.pending.find(request);
  if (it == state.pending.end() || it->second.phase != Phase::kRunning) {
    OnLateOutcome(state, request, outcome, answer);
    detail::Dispatch(state, now, random, out);
    return;
  }
  const auto service_time = now - it->second.started;
  switch (outcome) {
    case Outcome::kSucceeded:
      Record(state.service_times, service_time);
      RecordSuccess(state.health, service_time, now);
      Finish(state, request, answer, now, out);
      break;
    case Outcome::kFailed:
      RecordFailure(state.health, now);
      Finish(state, request, answer, now, out);
      break;
    case Outcome::kShed:
      OnShed(state, request, now, random, out);
      break;
    case Outcome::kReset:
      OnReset(state, request, now, random, out);
      break;
    case Outcome::kLost:
      OnLost(state, request, now, random, out);
      break;
  }
  detail::Dispatch(state, now, random, out);
}

auto OnCancelConfirmed(RequestGate& gate,
                       RequestHandle request,
                       TimePoint now,
                       Random& random,
                       RequestActions& out) -> void {
  auto& state = *gate.state;
  if (detail::ReleaseCancelled(state, request)) {
    Bump(state, GateCounter::kCancelConfirmed);
    detail::Dispatch(state, now, random, out);
  }
}

auto DropWaiter(RequestGate& gate,
                WaiterId waiter,
                TimePoint now,
                Random& random,
                RequestActions& out) -> void {
  auto& state = *gate.state;
  const auto it = state.waiters.find(waiter);
  if (it == state.waiters.end()) {
    return;
  }
  const auto handle = it->second;
  state.waiters.erase(it);
  auto& waiters = state.pending.at(handle).waiters;
  std::erase(waiters, waiter);
  if (waiters.empty()) {
    CancelHandle(state, handle, now, random, out);
    detail::Dispatch(state, now, random, out);
  }
}

auto CancelRequest(RequestGate& gate,
                   const std::string& id,
                   TimePoint now,
                   Random& random,
                   RequestActions& out) -> bool {
  auto& state = *gate.state;
  const auto it = std::find_if(
      state.pending.begin(), state.pending.end(),
      [&](const auto& pending) { return pending.second.cancel_id == id; });
  if (id.empty() || it == state.pending.end()) {
    Bump(state, GateCounter::kRefusedUnknownRequest);
    return false;
  }
  CancelHandle(state, it->first, now, random, out);
  detail::Dispatch(state, now, random, out);
  return true;
}

auto OnTick(RequestGate& gate,
            TimePoint now,
            Random& random,
            RequestActions& out) -> TimePoint {
  auto& state = *gate.state;
  detail::ReleaseOverdue(state, now);
  RankQueued(state, now);
  std::vector<RequestHandle> due;
  for (const auto& [handle, request] : state.pending) {
    if (DueAt(state, request) <= now) {
      due.push_back(handle);
    }
  }
  for (const auto handle : due) {
    // An earlier step of this loop may have ended it, or made way for it.
    const auto it = state.pending.find(handle);
    if (it != state.pending.end() && DueAt(state, it->second) <= now) {
      ActOnDue(state, handle, now, random, out);
    }
  }
  detail::Dispatch(state, now, random, out);
  ForgetOldEntries(state.ledger, now);
  RankQueued(state, now);
  auto next = now + kIdleWake;
  for (const auto& [handle, request] : state.pending) {
    next = std::min(next, DueAt(state, request));
  }
  for (const auto& [handle, work] : state.cancelled) {
    next = std::min(next, detail::HoldEnd(state, work));
  }
  return std::max(next, now);
}

auto BeginDrain(RequestGate& gate) -> void {
  gate.state->draining = true;
}

auto EndDrain(RequestGate& gate) -> void {
  gate.state->draining = false;
}

auto Abort(RequestGate& gate,
           TimePoint now,
           Random& random,
           RequestActions& out) -> void {
  auto& state = *gate.state;
  state.draining = true;
  while (!state.pending.empty()) {
    const auto [handle, request] = *state.pending.begin();
    if (request.phase == Phase::kRunning) {
      detail::EndUnknown(state, handle, GateCounter::kUnknownAborted, now,
                         random, out);
    } else {
      detail::EndNotRun(state, handle, ErrorKind::kDraining,
                        GateCounter::kRefusedDraining, random, out);
    }
  }
}

auto Load(const RequestGate& gate, TimePoint now) -> GateLoadReport {
  const auto& state = *gate.state;
  const auto cancelled = static_cast<std::uint32_t>(state.cancelled.size());
  const auto pending = static_cast<std::uint32_t>(state.pending.size());
  return {.slots_busy = state.running,
          .slots_cancelled = cancelled,
          .slots_allowed = AllowedSlots(state.health, now),
          .queued = pending + cancelled - state.running,
          .draining = state.draining};
}

auto CounterValue(const RequestGate& gate, GateCounter counter)
    -> std::uint64_t {
  return gate.state->counters[static_cast<std::size_t>(counter)];
}

auto Count(RequestGate& gate, GateCounter counter) -> void {
  Bump(*gate.state, counter);
}

auto ServiceTimes(const RequestGate& gate) -> LatencySummary {
  return Summarize(gate.state->service_times);
}

auto QueueWaits(const RequestGate& gate) -> LatencySummary {
  return Summarize(gate.state->queue_waits);
}

}  // namespace hawthornbank
