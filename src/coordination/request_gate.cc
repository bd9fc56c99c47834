#include "hawthornbank/request_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/request_gate_state.h"

namespace hawthornbank {
namespace {

using detail::IncrementGateCounter;
using Phase = PendingRequest::Phase;

constexpr std::chrono::seconds kMaxTickInterval{1};
constexpr std::chrono::milliseconds kMinRetryDelay{10};
constexpr std::chrono::milliseconds kRetryDelayJitter{30};
// A running request that is given up at its deadline counts as a failure of
// the target if it ran for at least this many mean service times.
constexpr int kGiveUpServiceTimes = 3;

// Schedules a retry of a request that did not run or is idempotent.
// @return False if the deadline, the target's health or the retry budget
//   forbids a retry.
auto ScheduleRetry(RequestGateState& state,
                   RequestHandle handle,
                   GateCounter reason,
                   TimePoint now,
                   Random& random) -> bool {
  auto& request = state.pending.at(handle);
  const auto jitter = std::chrono::milliseconds{static_cast<std::int64_t>(
      DrawRandomFraction(random) *
      static_cast<double>(kRetryDelayJitter.count()))};
  const auto not_before = now + kMinRetryDelay + jitter;
  if (not_before + state.health.service_time > request.deadline) {
    IncrementGateCounter(state, GateCounter::kRetryRefusedDeadline);
    return false;
  }
  if (IsTargetDown(state.health) || !TakeRetryFromBudget(state.budget)) {
    IncrementGateCounter(state, GateCounter::kRetryRefusedBudget);
    return false;
  }
  IncrementGateCounter(state, reason);
  request.phase = Phase::kDelayed;
  request.not_before = not_before;
  --state.running;
  return true;
}

auto FinishRequestWithAnswer(RequestGateState& state,
                             RequestHandle handle,
                             const Answer& answer,
                             TimePoint now,
                             RequestActions& out) -> void {
  const auto it = state.pending.find(handle);
  const PendingRequest request = std::move(it->second);
  state.pending.erase(it);
  --state.running;
  if (auto* entry = FindLedgerEntry(state.ledger, request.id)) {
    StoreLedgerAnswer(state.ledger, request.id, answer);
    entry->keep_until =
        std::max(entry->keep_until, now + state.options.ledger_retention);
  }
  for (const auto waiter : request.waiters) {
    state.waiters.erase(waiter);
    IncrementGateCounter(state, GateCounter::kAnswered);
    out.push_back({.kind = RequestAction::Kind::kAnswer,
                   .waiter = waiter,
                   .request = handle,
                   .answer = answer});
  }
}

// Stores the target's late answer to a request whose callers already got
// kOutcomeUnknown, so that a repeat of the request gets the target's answer.
// Drops the answer if the request did not run or isn't in the ledger any more.
auto StoreLateAnswer(RequestGateState& state,
                     RequestHandle handle,
                     RequestOutcome outcome,
                     const Answer& answer) -> void {
  const bool ran = outcome == RequestOutcome::kSucceeded ||
                   outcome == RequestOutcome::kFailed;
  const auto it = state.unknown_outcomes.find(handle);
  auto* entry = it == state.unknown_outcomes.end() || !ran
                    ? nullptr
                    : FindLedgerEntry(state.ledger, it->second);
  if (entry == nullptr || entry->request != handle) {
    IncrementGateCounter(state, GateCounter::kLateAnswerDropped);
    return;
  }
  IncrementGateCounter(state, GateCounter::kLateAnswerKept);
  StoreLedgerAnswer(state.ledger, it->second, answer);
  state.unknown_outcomes.erase(it);
}

auto OnRequestShed(RequestGateState& state,
                   RequestHandle handle,
                   TimePoint now,
                   Random& random,
                   RequestActions& out) -> void {
  RecordRequestFailure(state.health, now);
  if (!ScheduleRetry(state, handle, GateCounter::kRetriedTargetShed, now,
                     random)) {
    detail::EndRequestAsNotRun(state, handle, ErrorKind::kOverloaded,
                               GateCounter::kRefusedByTarget, random, out);
  }
}

auto OnRequestReset(RequestGateState& state,
                    RequestHandle handle,
                    TimePoint now,
                    Random& random,
                    RequestActions& out) -> void {
  RecordRequestFailure(state.health, now);
  const bool idempotent = state.pending.at(handle).id.empty();
  if (!idempotent ||
      !ScheduleRetry(state, handle, GateCounter::kRetriedLost, now, random)) {
    detail::EndRequestAsUnknown(state, handle, GateCounter::kUnknownLost, now,
                                random, out);
    detail::ReleaseCancelledSlot(state, handle);
  }
}

// Ends a lost request without a retry, because the target may still be running
// the first attempt.
auto OnRequestLost(RequestGateState& state,
                   RequestHandle handle,
                   TimePoint now,
                   Random& random,
                   RequestActions& out) -> void {
  RecordRequestFailure(state.health, now);
  detail::EndRequestAsUnknown(state, handle, GateCounter::kUnknownLost, now,
                              random, out);
  state.cancelled.at(handle).is_confirmable = false;
}

// Handles the outcome of a request that the gate has already ended.
auto HandleOutcomeOfEndedRequest(RequestGateState& state,
                                 RequestHandle handle,
                                 RequestOutcome outcome,
                                 const Answer& answer) -> void {
  const auto it = state.cancelled.find(handle);
  if (outcome != RequestOutcome::kLost) {
    detail::ReleaseCancelledSlot(state, handle);
    StoreLateAnswer(state, handle, outcome, answer);
  } else if (it != state.cancelled.end()) {
    it->second.is_confirmable = false;
  }
}

auto AbandonRunningRequest(RequestGateState& state,
                           RequestHandle handle,
                           TimePoint now,
                           Random& random,
                           RequestActions& out) -> void {
  const auto running_time = now - state.pending.at(handle).started;
  if (running_time >= state.health.service_time * kGiveUpServiceTimes) {
    RecordRequestFailure(state.health, now);
  }
  detail::EndRequestAsUnknown(state, handle, GateCounter::kUnknownGaveUp, now,
                              random, out);
}

// Returns the time at which a queued request is refused. A later start would be
// too late for the deadline even if the requests ahead end unusually early.
auto ComputeQueuedRefusalTime(const RequestGateState& state,
                              const PendingRequest& request) -> TimePoint {
  const auto ahead = static_cast<double>(request.requests_ahead);
  const auto least_services_ahead =
      std::max(0.0, ahead - detail::kWaitDeviations * std::sqrt(ahead)) /
      state.options.slots;
  return request.deadline -
         Duration{static_cast<Duration::rep>(
             static_cast<double>(state.health.service_time.count()) *
             (1 + least_services_ahead))};
}

// Sets `requests_ahead` of each pending request. This is normally the worst
// case, in which all other queued requests are served first. The exact order is
// computed only if a request would then miss its deadline, because computing
// the order copies the queue.
auto UpdateRequestsAhead(RequestGateState& state, TimePoint now) -> void {
  const auto size = CountQueuedRequests(state.queue);
  bool needs_exact_order = false;
  for (auto& [handle, request] : state.pending) {
    request.requests_ahead = size == 0 ? 0 : size - 1;
    needs_exact_order =
        needs_exact_order || (request.phase == Phase::kQueued &&
                              ComputeQueuedRefusalTime(state, request) <= now);
  }
  if (!needs_exact_order) {
    return;
  }
  std::size_t ahead = 0;
  for (const auto& item : ListRequestsInServingOrder(state.queue)) {
    state.pending.at(item.request).requests_ahead = ahead++;
  }
}

// Returns when OnRequestGateTick has to handle a pending request, unless the
// request ends earlier.
auto ComputePendingRequestDueTime(const RequestGateState& state,
                                  const PendingRequest& request) -> TimePoint {
  switch (request.phase) {
    case Phase::kDelayed:
      return request.not_before;
    case Phase::kQueued:
      return ComputeQueuedRefusalTime(state, request);
    case Phase::kRunning:
      break;
  }
  return request.deadline;
}

auto HandleDueRequest(RequestGateState& state,
                      RequestHandle handle,
                      TimePoint now,
                      Random& random,
                      RequestActions& out) -> void {
  auto& request = state.pending.at(handle);
  switch (request.phase) {
    case Phase::kDelayed:
      request.phase = Phase::kQueued;
      PushRequest(state.queue, request.item);
      break;
    case Phase::kQueued:
      detail::EndRequestAsNotRun(state, handle, ErrorKind::kDeadlineExpired,
                                 GateCounter::kRefusedExpiredInQueue, random,
                                 out);
      UpdateRequestsAhead(state, now);
      break;
    case Phase::kRunning:
      AbandonRunningRequest(state, handle, now, random, out);
      break;
  }
}

auto CancelPendingRequest(RequestGateState& state,
                          RequestHandle handle,
                          TimePoint now,
                          Random& random,
                          RequestActions& out) -> void {
  if (state.pending.at(handle).phase == Phase::kRunning) {
    detail::EndRequestAsUnknown(state, handle, GateCounter::kCancelledRunning,
                                now, random, out);
  } else {
    detail::EndRequestAsNotRun(state, handle, ErrorKind::kCancelled,
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
  // Earlier than any token's issue time, so that no token is void at the start.
  state.last_token_issued = TimePoint::min();
  state.tokens_void_through = TimePoint::min();
  return gate;
}

auto OnRequestOutcome(RequestGate& gate,
                      RequestHandle request,
                      RequestOutcome outcome,
                      const Answer& answer,
                      TimePoint now,
                      Random& random,
                      RequestActions& out) -> void {
  auto& state = *gate.state;
  const auto it = state.pending.find(request);
  if (it == state.pending.end() || it->second.phase != Phase::kRunning) {
    HandleOutcomeOfEndedRequest(state, request, outcome, answer);
    detail::StartQueuedRequests(state, now, random, out);
    return;
  }
  const auto service_time = now - it->second.started;
  switch (outcome) {
    case RequestOutcome::kSucceeded:
      RecordLatency(state.service_times, service_time);
      RecordRequestAnswer(state.health, service_time, now);
      FinishRequestWithAnswer(state, request, answer, now, out);
      break;
    case RequestOutcome::kFailed:
      RecordRequestFailure(state.health, now);
      FinishRequestWithAnswer(state, request, answer, now, out);
      break;
    case RequestOutcome::kShed:
      OnRequestShed(state, request, now, random, out);
      break;
    case RequestOutcome::kReset:
      OnRequestReset(state, request, now, random, out);
      break;
    case RequestOutcome::kLost:
      OnRequestLost(state, request, now, random, out);
      break;
  }
  detail::StartQueuedRequests(state, now, random, out);
}

auto OnCancelConfirmed(RequestGate& gate,
                       RequestHandle request,
                       TimePoint now,
                       Random& random,
                       RequestActions& out) -> void {
  auto& state = *gate.state;
  if (detail::ReleaseCancelledSlot(state, request)) {
    IncrementGateCounter(state, GateCounter::kCancelConfirmed);
    detail::StartQueuedRequests(state, now, random, out);
  }
}

auto RemoveWaiter(RequestGate& gate,
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
    CancelPendingRequest(state, handle, now, random, out);
    detail::StartQueuedRequests(state, now, random, out);
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
    IncrementGateCounter(state, GateCounter::kRefusedUnknownRequest);
    return false;
  }
  CancelPendingRequest(state, it->first, now, random, out);
  detail::StartQueuedRequests(state, now, random, out);
  return true;
}

auto OnRequestGateTick(RequestGate& gate,
                       TimePoint now,
                       Random& random,
                       RequestActions& out) -> TimePoint {
  auto& state = *gate.state;
  detail::ReleaseUnconfirmedSlots(state, now);
  UpdateRequestsAhead(state, now);
  std::vector<RequestHandle> due;
  for (const auto& [handle, request] : state.pending) {
    if (ComputePendingRequestDueTime(state, request) <= now) {
      due.push_back(handle);
    }
  }
  for (const auto handle : due) {
    // An earlier iteration may have ended this request, or ended another
    // request and so postponed the time at which this one is due.
    const auto it = state.pending.find(handle);
    if (it != state.pending.end() &&
        ComputePendingRequestDueTime(state, it->second) <= now) {
      HandleDueRequest(state, handle, now, random, out);
    }
  }
  detail::StartQueuedRequests(state, now, random, out);
  EraseExpiredEntries(state.ledger, now);
  UpdateRequestsAhead(state, now);
  auto next = now + kMaxTickInterval;
  for (const auto& [handle, request] : state.pending) {
    next = std::min(next, ComputePendingRequestDueTime(state, request));
  }
  for (const auto& [handle, work] : state.cancelled) {
    next = std::min(next, detail::ComputeSlotReleaseTime(state, work));
  }
  return std::max(next, now);
}

auto BeginRequestGateDrain(RequestGate& gate) -> void {
  gate.state->draining = true;
}

auto CancelRequestGateDrain(RequestGate& gate) -> void {
  gate.state->draining = false;
}

auto DrainAndEndRequests(RequestGate& gate,
                         TimePoint now,
                         Random& random,
                         RequestActions& out) -> void {
  auto& state = *gate.state;
  state.draining = true;
  while (!state.pending.empty()) {
    const auto [handle, request] = *state.pending.begin();
    if (request.phase == Phase::kRunning) {
      detail::EndRequestAsUnknown(state, handle, GateCounter::kUnknownAborted,
                                  now, random, out);
    } else {
      detail::EndRequestAsNotRun(state, handle, ErrorKind::kDraining,
                                 GateCounter::kRefusedDraining, random, out);
    }
  }
}

auto ComputeGateLoad(const RequestGate& gate, TimePoint now) -> GateLoadReport {
  const auto& state = *gate.state;
  const auto cancelled = static_cast<std::uint32_t>(state.cancelled.size());
  const auto pending = static_cast<std::uint32_t>(state.pending.size());
  return {.slots_busy = state.running,
          .slots_cancelled = cancelled,
          .slots_allowed = ComputeAllowedSlots(state.health, now),
          .queued = pending + cancelled - state.running,
          .draining = state.draining};
}

auto ReadGateCounter(const RequestGate& gate, GateCounter counter)
    -> std::uint64_t {
  return gate.state->counters[static_cast<std::size_t>(counter)];
}

auto IncrementCounter(RequestGate& gate, GateCounter counter) -> void {
  IncrementGateCounter(*gate.state, counter);
}

auto SummarizeServiceTimes(const RequestGate& gate) -> LatencySummary {
  return SummarizeLatency(gate.state->service_times);
}

auto SummarizeQueueWaits(const RequestGate& gate) -> LatencySummary {
  return SummarizeLatency(gate.state->queue_waits);
}

}  // namespace hawthornbank
