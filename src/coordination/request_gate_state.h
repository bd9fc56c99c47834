#ifndef HAWTHORNBANK_COORDINATION_REQUEST_GATE_STATE_H_
#define HAWTHORNBANK_COORDINATION_REQUEST_GATE_STATE_H_

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/request_queue.h"
#include "coordination/retry_budget.h"
#include "hawthornbank/request_gate.h"
#include "hawthornbank/target_health.h"
#include "state/latency_distribution.h"
#include "state/request_ledger.h"

/// @file
/// State of a request gate and the functions shared by its entry points.
namespace hawthornbank {

/// A request that was accepted and has no final answer yet.
struct PendingRequest {
  enum class Phase : std::uint8_t { kQueued, kRunning, kDelayed };
  Phase phase = Phase::kQueued;
  std::string id;  ///< Key in the ledger; empty for an idempotent request.
  std::string cancel_id;
  QueueItem item;
  TimePoint deadline{};
  TimePoint arrived{};
  TimePoint started{};
  TimePoint not_before{};  ///< End of the delay before a retry.
  std::uint32_t attempts = 0;
  /// Maximum number of queued requests that are served before this request.
  std::size_t requests_ahead = 0;
  std::vector<WaiterId> waiters;
};

/// Work without a waiter that the target may still be running.
struct CancelledWork {
  TimePoint started{};
  TimePoint cancelled{};
  /// Whether the target can still confirm that the work has stopped.
  bool is_confirmable = true;
};

/// Complete state of one request gate.
struct RequestGateState {
  RequestGateOptions options;
  TargetHealth health;
  RequestQueue queue;
  RetryBudget budget;
  RequestLedger ledger;
  std::map<RequestHandle, PendingRequest> pending;
  std::unordered_map<WaiterId, RequestHandle> waiters;
  /// Identities of requests whose callers got kOutcomeUnknown and whose answer
  /// from the target may still arrive.
  std::map<RequestHandle, std::string> unknown_outcomes;
  /// Cancelled work, of which each entry still holds a slot.
  std::map<RequestHandle, CancelledWork> cancelled;
  std::array<std::uint64_t, static_cast<std::size_t>(GateCounter::kCount)>
      counters{};
  LatencyDistribution service_times;
  LatencyDistribution queue_waits;
  std::uint64_t next_handle = 1;
  std::uint32_t running = 0;      ///< Slots taken, including cancelled work.
  TimePoint last_token_issued{};  ///< Issue time of the newest token.
  /// Tokens issued at or before this time can't start a request.
  TimePoint tokens_void_through{};
  bool draining = false;
};

namespace detail {

/// Number of standard deviations by which the longest expected wait (on
/// admission) and the shortest expected wait (in the queue) differ from the
/// mean wait. If the standard deviation of service times equals their mean, the
/// time in which n requests end has a standard deviation of sqrt(n) mean
/// service times.
inline constexpr double kWaitDeviations = 3;

/// Appends the refusal of one waiter's message, with the delay before a retry
/// if `error` is retryable.
auto RefuseWaiter(RequestGateState& state,
                  WaiterId waiter,
                  ErrorKind error,
                  Random& random,
                  RequestActions& out) -> void;

/// Ends a pending request that the target did not run, and refuses the waiters
/// of this request. The request's token can't start the request any more.
auto EndRequestAsNotRun(RequestGateState& state,
                        RequestHandle handle,
                        ErrorKind error,
                        GateCounter reason,
                        Random& random,
                        RequestActions& out) -> void;

/// Ends a running request whose outcome isn't known yet: refuses the waiters
/// with kOutcomeUnknown and asks the target to cancel. The slot stays taken.
auto EndRequestAsUnknown(RequestGateState& state,
                         RequestHandle handle,
                         GateCounter reason,
                         TimePoint now,
                         Random& random,
                         RequestActions& out) -> void;

/// Frees the slot of cancelled work.
/// @return Whether the work held a slot.
auto ReleaseCancelledSlot(RequestGateState& state, RequestHandle handle)
    -> bool;

/// @return Latest time at which the slot of cancelled work becomes free, even
///   if the target doesn't confirm the cancellation.
auto ComputeSlotReleaseTime(const RequestGateState& state,
                            const CancelledWork& work) -> TimePoint;

/// Frees the slots of cancelled work whose end the target hasn't confirmed in
/// time, and records a stall if the target could still have confirmed.
auto ReleaseUnconfirmedSlots(RequestGateState& state, TimePoint now) -> void;

/// @return Whether cancelled work holds all allowed slots and all of this work
///   has run longer than the target's stall timeout.
auto IsTargetStalled(const RequestGateState& state, TimePoint now) -> bool;

/// Starts queued requests while slots are free, and refuses those that can't
/// end before their deadline. Refuses all queued requests if the target is down
/// or stalled.
auto StartQueuedRequests(RequestGateState& state,
                         TimePoint now,
                         Random& random,
                         RequestActions& out) -> void;

/// @return Time within which a new request almost certainly gets a slot.
auto EstimateQueueWait(const RequestGateState& state,
                       const QueueItem& item,
                       TimePoint now) -> Duration;

/// @return The time until which a token can start a request.
auto ComputeTokenExpiry(const RequestToken& token) -> TimePoint;

/// Increments a counter by one.
inline auto IncrementGateCounter(RequestGateState& state, GateCounter counter)
    -> void {
  ++state.counters[static_cast<std::size_t>(counter)];
}

}  // namespace detail
}  // namespace hawthornbank

#endif  // HAWTHORNBANK_COORDINATION_REQUEST_GATE_STATE_H_
