#include "coordination/request_gate_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornbank::detail {
namespace {

constexpr std::size_t kGivenUpLimit = 1024;

auto ComeBack(const RequestGateState& state, ErrorKind error, Random& random)
    -> std::chrono::seconds {
  // Another target takes the request at once, over a new flow.
  if (error == ErrorKind::kDraining) {
    return std::chrono::seconds{0};
  }
  const auto& options = state.options;
  const auto spread = std::chrono::milliseconds{static_cast<std::int64_t>(
      NextFraction(random) *
      static_cast<double>(options.come_back_spread.count()))};
  return std::chrono::ceil<std::chrono::seconds>(options.come_back_min +
                                                 spread);
}

// Takes a request out of every table but the ledger.
auto Forget(RequestGateState& state, RequestHandle handle) -> PendingRequest {
  const auto it = state.pending.find(handle);
  PendingRequest request = std::move(it->second);
  state.pending.erase(it);
  if (request.phase == PendingRequest::Phase::kRunning) {
    --state.running;
  }
  if (request.phase == PendingRequest::Phase::kQueued) {
    Remove(state.queue, request.item);
  }
  for (const auto waiter : request.waiters) {
    state.waiters.erase(waiter);
  }
  return request;
}

auto RefuseAll(RequestGateState& state,
               const PendingRequest& request,
               ErrorKind error,
               Random& random,
               RequestActions& out) -> void {
  for (const auto waiter : request.waiters) {
    Refuse(state, waiter, error, random, out);
  }
}

auto CanEndInTime(const RequestGateState& state,
                  const PendingRequest& request,
                  TimePoint now) -> bool {
  if (now >= request.deadline) {
    return false;
  }
  // An idle target is tried anyway: the estimate may be wrong.
  return state.running == 0 ||
         now + state.health.service_time <= request.deadline;
}

auto Start(RequestGateState& state,
           RequestHandle handle,
           TimePoint now,
           Random& random,
           RequestActions& out) -> void {
  auto& request = state.pending.at(handle);
  if (request.attempts == 0) {
    OnFirstTry(state.budget);
    Record(state.queue_waits, now - request.arrived);
  }
  ++request.attempts;
  request.phase = PendingRequest::Phase::kRunning;
  request.started = now;
  ++state.running;
  RecordStart(state.health, now, random);
  Bump(state, GateCounter::kStarted);
  out.push_back({.kind = RequestAction::Kind::kStart,
                 .waiter = request.waiters.front(),
                 .request = handle,
                 .deadline = request.deadline});
}

auto RefuseQueued(RequestGateState& state,
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
    EndNotRun(state, handle, error, reason, random, out);
  }
}

}  // namespace

auto Refuse(RequestGateState& state,
            WaiterId waiter,
            ErrorKind error,
            Random& random,
            RequestActions& out) -> void {
  RequestAction action{
      .kind = RequestAction::Kind::kRefuse, .waiter = waiter, .error = error};
  if (AnswerFor(error).retryable) {
    action.retry_after = ComeBack(state, error, random);
  }
  out.push_back(std::move(action));
}

auto EndNotRun(RequestGateState& state,
               RequestHandle handle,
               ErrorKind error,
               GateCounter reason,
               Random& random,
               RequestActions& out) -> void {
  const auto request = Forget(state, handle);
  Bump(state, reason);
  if (auto* entry = FindEntry(state.ledger, request.id)) {
    entry->state = RequestState::kRefused;
    entry->error = error;
  }
  RefuseAll(state, request, error, random, out);
}

auto EndUnknown(RequestGateState& state,
                RequestHandle handle,
                GateCounter reason,
                TimePoint now,
                Random& random,
                RequestActions& out) -> void {
  const auto request = Forget(state, handle);
  Bump(state, reason);
  // The target may ignore the cancellation, so its slot stays taken.
  state.cancelled.emplace(
      handle, CancelledWork{.started = request.started, .cancelled = now});
  ++state.running;
  out.push_back({.kind = RequestAction::Kind::kCancel, .request = handle});
  if (auto* entry = FindEntry(state.ledger, request.id)) {
    entry->state = RequestState::kUnknown;
    entry->keep_until =
        std::max(entry->keep_until, now + state.options.ledger_retention);
  }
  state.given_up.emplace(handle, request.id);
  if (state.given_up.size() > kGivenUpLimit) {
    state.given_up.erase(state.given_up.begin());
  }
  RefuseAll(state, request, ErrorKind::kOutcomeUnknown, random, out);
}

auto ReleaseCancelled(RequestGateState& state, RequestHandle handle) -> bool {
  if (state.cancelled.erase(handle) == 0) {
    return false;
  }
  --state.running;
  return true;
}

auto HoldEnd(const RequestGateState& state, const CancelledWork& work)
    -> TimePoint {
  const auto stall = StallTime(state.health);
  if (!work.answerable) {
    return std::max(work.cancelled, work.started + stall);
  }
  return work.cancelled + std::max<Duration>(state.options.cancel_limit, stall);
}

auto ReleaseOverdue(RequestGateState& state, TimePoint now) -> void {
  for (auto it = state.cancelled.begin(); it != state.cancelled.end();) {
    const auto end = HoldEnd(state, it->second);
    if (now < end) {
      ++it;
      continue;
    }
    Bump(state, GateCounter::kCancelUnconfirmed);
    if (it->second.answerable) {
      RecordStall(state.health, end);
    }
    --state.running;
    it = state.cancelled.erase(it);
  }
}

auto IsStalled(const RequestGateState& state, TimePoint now) -> bool {
  const auto allowed = std::max(1U, AllowedSlots(state.health, now));
  return state.cancelled.size() >= allowed &&
         std::all_of(state.cancelled.begin(), state.cancelled.end(),
                     [&](const auto& it) {
                       return IsStall(state.health, now - it.second.started);
                     });
}

auto Dispatch(RequestGateState& state,
              TimePoint now,
              Random& random,
              RequestActions& out) -> void {
  while (state.running < AllowedSlots(state.health, now)) {
    const auto item = Pop(state.queue);
    if (!item) {
      break;
    }
    const auto& request = state.pending.at(item->request);
    if (CanEndInTime(state, request, now)) {
      Start(state, item->request, now, random, out);
    } else {
      EndNotRun(state, item->request, ErrorKind::kDeadlineExpired,
                GateCounter::kRefusedExpiredInQueue, random, out);
    }
  }
  if (IsDown(state.health) || IsStalled(state, now)) {
    RefuseQueued(state, ErrorKind::kUnhealthy, GateCounter::kRefusedUnhealthy,
                 random, out);
  }
}

auto EstimateWait(const RequestGateState& state,
                  const QueueItem& item,
                  TimePoint now) -> Duration {
  const auto slots = std::max(1U, AllowedSlots(state.health, now));
  if (state.running < slots && SizeOf(state.queue) == 0) {
    return Duration{0};
  }
  const auto ahead = static_cast<double>(CountAhead(state.queue, item) + 1);
  const double services = (ahead + kWaitDeviations * std::sqrt(ahead)) / slots;
  return Duration{static_cast<Duration::rep>(
      static_cast<double>(state.health.service_time.count()) * services)};
}

auto TokenExpiry(const RequestToken& token) -> TimePoint {
  return token.issued + token.validity;
}

}  // namespace hawthornbank::detail
