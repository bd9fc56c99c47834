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
/// State of a request gate and the steps shared by its entry points.
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
  std::size_t ahead = 0;  ///< Waiting requests that are served before it.
  std::vector<WaiterId> waiters;
};

/// Work that nobody waits for and that the target may still be running.
struct CancelledWork {
  TimePoint started{};
  TimePoint cancelled{};
  bool answerable = true;  ///< Whether the target can still confirm it.
};

/// Everything a request gate knows.
struct RequestGateState {
  RequestGateOptions options;
  TargetHealth health;
  RequestQueue queue;
  RetryBudget budget;
  RequestLedger ledger;
  std::map<RequestHandle, PendingRequest> pending;
  std::unordered_map<WaiterId, RequestHandle> waiters;
  /// Requests whose waiters were told "unknown"; the answer may yet come.
  std::map<RequestHandle, std::string> given_up;
  /// Holds a slot for each of its entries.
  std::map<RequestHandle, CancelledWork> cancelled;
  std::array<std::uint64_t, static_cast<std::size_t>(GateCounter::kCount)>
      counters{};
  LatencyDistribution service_times;
  LatencyDistribution queue_waits;
  std::uint64_t next_handle = 1;
  std::uint32_t running = 0;  ///< Slots taken, also by cancelled work.
  TimePoint last_issued{};    ///< Issue instant of the newest token.
  TimePoint void_through{};   ///< Tokens up to here start nothing new.
  bool draining = false;
};

namespace detail {

/// Deviations from the mean wait that a request has to allow for. With service
/// times that vary as much as their mean, the time in which n requests end
/// deviates by the root of n service times.
inline constexpr double kWaitDeviations = 3;

/// Refuses one waiter.
auto Refuse(RequestGateState& state,
            WaiterId waiter,
            ErrorKind error,
            Random& random,
            RequestActions& out) -> void;

/// Ends a pending request that never ran, for good under its token.
auto EndNotRun(RequestGateState& state,
               RequestHandle handle,
               ErrorKind error,
               GateCounter reason,
               Random& random,
               RequestActions& out) -> void;

/// Ends a running request whose outcome is not known yet.
auto EndUnknown(RequestGateState& state,
                RequestHandle handle,
                GateCounter reason,
                TimePoint now,
                Random& random,
                RequestActions& out) -> void;

/// Frees the slot of cancelled work.
/// @return Whether it held one.
auto ReleaseCancelled(RequestGateState& state, RequestHandle handle) -> bool;

/// @return When cancelled work stops holding its slot, confirmed or not.
auto HoldEnd(const RequestGateState& state, const CancelledWork& work)
    -> TimePoint;

/// Frees the slots of cancelled work that the target never confirmed.
auto ReleaseOverdue(RequestGateState& state, TimePoint now) -> void;

/// @return Whether cancelled work that doesn't end holds all that is allowed.
auto IsStalled(const RequestGateState& state, TimePoint now) -> bool;

/// Starts what the slots allow, and refuses what has become hopeless.
auto Dispatch(RequestGateState& state,
              TimePoint now,
              Random& random,
              RequestActions& out) -> void;

/// @return Time within which a new request almost surely gets a slot.
auto EstimateWait(const RequestGateState& state,
                  const QueueItem& item,
                  TimePoint now) -> Duration;

/// @return The instant until which a token can start a request.
auto TokenExpiry(const RequestToken& token) -> TimePoint;

/// Adds one to a counter.
inline auto Bump(RequestGateState& state, GateCounter counter) -> void {
  ++state.counters[static_cast<std::size_t>(counter)];
}

}  // namespace detail
}  // namespace hawthornbank

#endif  // HAWTHORNBANK_COORDINATION_REQUEST_GATE_STATE_H_
