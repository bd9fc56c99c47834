#include "coordination/request_gate_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornbank::detail {
namespace {

constexpr std::size_t kMaxUnknownOutcomes = 1024;

auto ChooseRetryAfter(const RequestGateState& state,
                      ErrorKind error,
                      Random& random) -> std::chrono::seconds {
  // The caller can retry at once: a new flow goes to another target.
  if (error == ErrorKind::kDraining) {
    return std::chrono::seconds{0};
  }
  const auto& options = state.options;
  const auto spread = std::chrono::milliseconds{static_cast<std::int64_t>(
      DrawRandomFraction(random) *
      static_cast<double>(options.retry_after_jitter.count()))};
  return std::chrono::ceil<std::chrono::seconds>(options.min_retry_after +
                                                 spread);
}

// Removes a request from every table except the ledger, and frees its slot.
auto RemovePendingRequest(RequestGateState& state, RequestHandle handle)
    -> PendingRequest {
  const auto it = state.pending.find(handle);
  PendingRequest request = std::move(it->second);
  state.pending.erase(it);
  if (request.phase == PendingRequest::Phase::kRunning) {
    --state.running;
  }
  if (request.phase == PendingRequest::Phase::kQueued) {
    RemoveRequest(state.queue, request.item);
  }
  for (const auto waiter : request.waiters) {
    state.waiters.erase(waiter);
  }
  return request;
}

auto RefuseAllWaiters(RequestGateState& state,
                      const PendingRequest& request,
                      ErrorKind error,
                      Random& random,
                      RequestActions& out) -> void {
  for (const auto waiter : request.waiters) {
    RefuseWaiter(state, waiter, error, random, out);
  }
}

// Returns whether the request is expected to finish by its deadline, or its
// deadline hasn't passed and the target is idle.
auto ShouldStartNow(const RequestGateState& state,
                    const PendingRequest& request,
                    TimePoint now) -> bool {
  if (now >= request.deadline) {
    return false;
  }
  // An idle target gets the request even if the mean service time is too long,
  // because that estimate may be wrong.
  return state.running == 0 ||
         now + state.health.service_time <= request.deadline;
}

auto StartPendingRequest(RequestGateState& state,
                         RequestHandle handle,
                         TimePoint now,
                         Random& random,
                         RequestActions& out) -> void {
  auto& request = state.pending.at(handle);
  if (request.attempts == 0) {
    RecordFirstAttempt(state.budget);
    RecordLatency(state.queue_waits, now - request.arrived);
  }
  ++request.attempts;
  request.phase = PendingRequest::Phase::kRunning;
  request.started = now;
  ++state.running;
  RecordRequestStart(state.health, now, random);
  IncrementGateCounter(state, GateCounter::kStarted);
  out.push_back({.kind = RequestAction::Kind::kStart,
                 .waiter = request.waiters.front(),
                 .request = handle,
                 .deadline = request.deadline});
}

auto RefuseQueuedRequests(RequestGateState& state,
                          ErrorKind error,
                          GateCounter reason,
                          Random& random,
                          RequestActions& out) -> void {
  std::vector<RequestHandle> queued;
  for (const auto& [handle, request] : state.pending) {
    if (request.phase == PendingRequest::Phase::kQueued) {
      queued.push_back(handle);
    }
  }
  for (const auto handle : queued) {
    EndRequestAsNotRun(state, handle, error, reason, random, out);
  }
}

}  // namespace

auto RefuseWaiter(RequestGateState& state,
                  WaiterId waiter,
                  ErrorKind error,
                  Random& random,
                  RequestActions& out) -> void {
  RequestAction action{
      .kind = RequestAction::Kind::kRefuse, .waiter = waiter, .error = error};
  if (LookUpErrorAnswer(error).retryable) {
    action.retry_after = ChooseRetryAfter(state, error, random);
  }
  out.push_back(std::move(action));
}

auto EndRequestAsNotRun(RequestGateState& state,
                        RequestHandle handle,
                        ErrorKind error,
                        GateCounter reason,
                        Random& random,
                        RequestActions& out) -> void {
  const auto request = RemovePendingRequest(state, handle);
  IncrementGateCounter(state, reason);
  if (auto* entry = FindLedgerEntry(state.ledger, request.id)) {
    entry->state = RequestState::kRefused;
    entry->error = error;
  }
  RefuseAllWaiters(state, request, error, random, out);
}

auto EndRequestAsUnknown(RequestGateState& state,
                         RequestHandle handle,
                         GateCounter reason,
                         TimePoint now,
                         Random& random,
                         RequestActions& out) -> void {
  const auto request = RemovePendingRequest(state, handle);
  IncrementGateCounter(state, reason);
  // The target may ignore the cancellation, so the slot stays taken.
  state.cancelled.emplace(
      handle, CancelledWork{.started = request.started, .cancelled = now});
  ++state.running;
  out.push_back({.kind = RequestAction::Kind::kCancel, .request = handle});
  if (auto* entry = FindLedgerEntry(state.ledger, request.id)) {
    entry->state = RequestState::kUnknown;
    entry->keep_until =
        std::max(entry->keep_until, now + state.options.ledger_retention);
  }
  state.unknown_outcomes.emplace(handle, request.id);
  if (state.unknown_outcomes.size() > kMaxUnknownOutcomes) {
    state.unknown_outcomes.erase(state.unknown_outcomes.begin());
  }
  RefuseAllWaiters(state, request, ErrorKind::kOutcomeUnknown, random, out);
}

auto ReleaseCancelledSlot(RequestGateState& state, RequestHandle handle)
    -> bool {
  if (state.cancelled.erase(handle) == 0) {
    return false;
  }
  --state.running;
  return true;
}

auto ComputeSlotReleaseTime(const RequestGateState& state,
                            const CancelledWork& work) -> TimePoint {
  const auto stall = ComputeStallTimeout(state.health);
  if (!work.is_confirmable) {
    return std::max(work.cancelled, work.started + stall);
  }
  return work.cancelled +
         std::max<Duration>(state.options.cancelled_slot_timeout, stall);
}

auto ReleaseUnconfirmedSlots(RequestGateState& state, TimePoint now) -> void {
  for (auto it = state.cancelled.begin(); it != state.cancelled.end();) {
    const auto end = ComputeSlotReleaseTime(state, it->second);
    if (now < end) {
      ++it;
      continue;
    }
    IncrementGateCounter(state, GateCounter::kCancelUnconfirmed);
    if (it->second.is_confirmable) {
      RecordRequestStall(state.health, end);
    }
    --state.running;
    it = state.cancelled.erase(it);
  }
}

auto IsTargetStalled(const RequestGateState& state, TimePoint now) -> bool {
  const auto allowed = std::max(1U, ComputeAllowedSlots(state.health, now));
  return state.cancelled.size() >= allowed &&
         std::all_of(state.cancelled.begin(), state.cancelled.end(),
                     [&](const auto& it) {
                       return ExceedsStallTimeout(state.health,
                                                  now - it.second.started);
                     });
}

auto StartQueuedRequests(RequestGateState& state,
                         TimePoint now,
                         Random& random,
                         RequestActions& out) -> void {
  while (state.running < ComputeAllowedSlots(state.health, now)) {
    const auto item = PopNextRequest(state.queue);
    if (!item) {
      break;
    }
    const auto& request = state.pending.at(item->request);
    if (ShouldStartNow(state, request, now)) {
      StartPendingRequest(state, item->request, now, random, out);
    } else {
      EndRequestAsNotRun(state, item->request, ErrorKind::kDeadlineExpired,
                         GateCounter::kRefusedExpiredInQueue, random, out);
    }
  }
  if (IsTargetDown(state.health) || IsTargetStalled(state, now)) {
    RefuseQueuedRequests(state, ErrorKind::kUnhealthy,
                         GateCounter::kRefusedUnhealthy, random, out);
  }
}

auto EstimateQueueWait(const RequestGateState& state,
                       const QueueItem& item,
                       TimePoint now) -> Duration {
  const auto slots = std::max(1U, ComputeAllowedSlots(state.health, now));
  if (state.running < slots && CountQueuedRequests(state.queue) == 0) {
    return Duration{0};
  }
  const auto ahead =
      static_cast<double>(ComputeMaxRequestsAhead(state.queue, item) + 1);
  const double services = (ahead + kWaitDeviations * std::sqrt(ahead)) / slots;
  return Duration{static_cast<Duration::rep>(
      static_cast<double>(state.health.service_time.count()) * services)};
}

auto ComputeTokenExpiry(const RequestToken& token) -> TimePoint {
  return token.issued + token.validity;
}

}  // namespace hawthornbank::detail
