#ifndef HAWTHORNBANK_REQUEST_GATE_H_
#define HAWTHORNBANK_REQUEST_GATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornbank/error.h"
#include "hawthornbank/random.h"
#include "hawthornbank/types.h"

/// @file
/// Admission control for one target: decides which requests run at the target
/// and when, and with which error the other requests are refused. The gate
/// knows no wire protocol and does no I/O.
namespace hawthornbank {

/// Identifies one message that waits for an answer. The code that calls the
/// gate chooses the value.
enum class WaiterId : std::uint64_t {};
/// Identifies one request inside the gate, whatever the number of its waiters.
enum class RequestHandle : std::uint64_t {};

/// Decoded content of a token, whose digest the protocol layer has checked.
struct RequestToken {
  TargetId target{};
  Incarnation incarnation{};
  TimePoint issued{};  ///< Unique and increasing within an incarnation.
  /// Time after `issued` during which the token can start a request.
  std::chrono::milliseconds validity{0};
  bool is_authentic = false;  ///< Whether the digest matched.
};

/// A request as it arrives at the gate.
struct Request {
  WaiterId waiter{};
  std::string id;  ///< Identity that the caller gave the request.
  std::uint64_t fingerprint = 0;  ///< Hash of the request's content.
  std::uint64_t caller = 0;  ///< Identity of the caller, for fair queueing.
  TimePoint deadline{};
  bool idempotent = true;
  bool has_double_weight = false;  ///< Two of these start per ordinary request.
  bool is_continuation = false;    ///< Later part of a multi-part transfer.
  std::optional<RequestToken> token;
};

/// Outcome of a request at the target.
enum class RequestOutcome : std::uint8_t {
  kSucceeded,  ///< Ran, or was refused for a caller's error.
  kFailed,     ///< Ran and failed with an error of the target.
  kShed,       ///< The target refused to run the request.
  kReset,      ///< Not running: the target doesn't know the request.
  kLost,       ///< No answer can arrive; the request may be running.
};

/// An encoded answer, shared by all waiters of a request.
using Answer = std::shared_ptr<const std::vector<std::uint8_t>>;

/// An action that the gate asks the protocol layer to perform.
struct RequestAction {
  enum class Kind : std::uint8_t {
    kStart,      ///< Send the waiter's message to the target.
    kCancel,     ///< Ask the target to cancel the request.
    kAnswer,     ///< Send the waiter the target's answer.
    kRefuse,     ///< Send the waiter the answer for `error`.
    kChallenge,  ///< Ask the waiter to repeat its request with `token`.
  };
  Kind kind{};
  WaiterId waiter{};
  RequestHandle request{};
  ErrorKind error{};
  std::chrono::seconds retry_after{0};  ///< Delay before an allowed retry.
  RequestToken token;
  Answer answer;
  TimePoint deadline{};  ///< Deadline of the request, for kStart only.
};

/// Events that the gate counts, such as refusals and retries by reason.
enum class GateCounter : std::uint8_t {
  kStarted,
  kAnswered,
  kChallenged,
  kKeptAnswer,
  kJoinedRunning,
  kDuplicateMessage,
  kPassedToOtherTarget,
  kRefusedMalformed,
  kRefusedTooLarge,
  kRefusedDeadline,
  kRefusedQueueFull,
  kRefusedWouldBeLate,
  kRefusedExpiredInQueue,
  kRefusedForFairness,
  kRefusedUnhealthy,
  kRefusedDraining,
  kRefusedConnections,
  kRefusedExchanges,
  kRefusedLedgerFull,
  kRefusedVoidToken,
  kRefusedConflict,
  kRefusedUnknownRequest,
  kRefusedByTarget,
  kUnknownTokenForged,
  kUnknownOtherTarget,
  kUnknownOtherIncarnation,
  kUnknownTokenForgotten,
  kUnknownGaveUp,
  kUnknownLost,
  kUnknownAborted,
  kCancelledQueued,
  kCancelledRunning,
  kRetriedTargetShed,
  kRetriedLost,
  kRetryRefusedBudget,
  kRetryRefusedDeadline,
  kLateAnswerKept,
  kLateAnswerDropped,
  kUnmatchedAnswer,
  kCancelConfirmed,
  kCancelUnconfirmed,
  kCount,
};

/// @param counter Any counter but kCount.
/// @return The counter's name in metrics, such as "refused_queue_full".
auto GetGateCounterName(GateCounter counter) -> std::string_view;

/// Limits and timeouts of a gate.
struct RequestGateOptions {
  TargetId target{};
  Incarnation incarnation{};
  std::uint32_t slots = 3;             ///< Maximum number of running requests.
  std::uint32_t queue_limit = 64;      ///< Maximum number of queued requests.
  std::size_t ledger_entries = 16384;  ///< Maximum entries of the ledger.
  /// Maximum memory of the ledger in bytes, including kept answers.
  std::size_t ledger_bytes = std::size_t{32} << 20U;
  std::chrono::milliseconds token_validity{30000};
  std::chrono::milliseconds ledger_retention{120000};
  std::chrono::milliseconds initial_service_time{50};
  std::chrono::milliseconds probe_interval{1000};
  /// Time for which cancelled work holds its slot if the target doesn't confirm
  /// the cancellation; at least the stall timeout. After this time the target
  /// counts as stalled.
  std::chrono::milliseconds cancelled_slot_timeout{3000};
  double retry_share = 0.10;  ///< Retries earned by each first attempt.
  std::uint32_t retry_burst = 10;
  std::chrono::milliseconds min_retry_after{1000};
  std::chrono::milliseconds retry_after_jitter{4000};
};

/// Current load of a gate.
struct GateLoadReport {
  std::uint32_t slots_busy = 0;
  std::uint32_t slots_cancelled = 0;  ///< Busy slots with cancelled work.
  std::uint32_t slots_allowed = 0;    ///< Limit by slow start and health.
  std::uint32_t queued = 0;  ///< Includes requests that wait for a retry.
  std::uint32_t connections = 0;
  bool draining = false;
};

/// Summary of a distribution of durations.
struct LatencySummary {
  std::uint64_t count = 0;
  Duration mean{0};
  Duration p50{0};
  Duration p99{0};
  Duration max{0};
};

struct RequestGateState;

/// Owner of the state of one gate.
struct RequestGate {
  std::unique_ptr<RequestGateState> state;

  RequestGate();
  RequestGate(RequestGate&&) noexcept;
  auto operator=(RequestGate&&) noexcept -> RequestGate&;
  ~RequestGate();
};

using RequestActions = std::vector<RequestAction>;

/// @param options Limits of the target.
/// @return A gate in slow start, in which answers increase the allowed slots.
auto MakeRequestGate(const RequestGateOptions& options) -> RequestGate;

/// Admits, refuses or challenges one request. The request's waiter gets exactly
/// one answer, refusal or challenge, now or later, unless RemoveWaiter is
/// called before.
/// @param gate The gate.
/// @param request The request.
/// @param now Current time.
/// @param random Random number generator, for the jitter of `retry_after`.
/// @param out List to append the actions to.
auto SubmitRequest(RequestGate& gate,
                   const Request& request,
                   TimePoint now,
                   Random& random,
                   RequestActions& out) -> void;

/// Handles the outcome of a started request.
/// @param gate The gate.
/// @param request Handle from kStart.
/// @param outcome Outcome of the request.
/// @param answer The encoded answer; null is allowed except for kSucceeded and
///   kFailed.
/// @param now Current time.
/// @param random Random number generator, for the jitter of retries.
/// @param out List to append the actions to.
auto OnRequestOutcome(RequestGate& gate,
                      RequestHandle request,
                      RequestOutcome outcome,
                      const Answer& answer,
                      TimePoint now,
                      Random& random,
                      RequestActions& out) -> void;

/// Handles the target's confirmation that it has stopped cancelled work, and
/// frees the slot of that work.
/// @param gate The gate.
/// @param request Handle from kCancel.
/// @param now Current time.
/// @param random Random number generator.
/// @param out List to append the actions to.
auto OnCancelConfirmed(RequestGate& gate,
                       RequestHandle request,
                       TimePoint now,
                       Random& random,
                       RequestActions& out) -> void;

/// Removes a waiter, and cancels the request if no other waiter is left.
/// @param gate The gate.
/// @param waiter The waiter to remove.
/// @param now Current time.
/// @param random Random number generator.
/// @param out List to append the actions to.
auto RemoveWaiter(RequestGate& gate,
                  WaiterId waiter,
                  TimePoint now,
                  Random& random,
                  RequestActions& out) -> void;

/// Cancels the request of the given identity and answers all of its waiters.
/// @param gate The gate.
/// @param id Identity that the caller gave the request.
/// @param now Current time.
/// @param random Random number generator.
/// @param out List to append the actions to.
/// @return Whether a request with this identity was queued, delayed before a
///   retry, or running.
auto CancelRequest(RequestGate& gate,
                   const std::string& id,
                   TimePoint now,
                   Random& random,
                   RequestActions& out) -> bool;

/// Handles expired deadlines, delayed retries and probes that are due.
/// @param gate The gate.
/// @param now Current time.
/// @param random Random number generator.
/// @param out List to append the actions to.
/// @return Latest time at which OnRequestGateTick has to be called again.
auto OnRequestGateTick(RequestGate& gate,
                       TimePoint now,
                       Random& random,
                       RequestActions& out) -> TimePoint;

/// Refuses new requests, except continuations, until CancelRequestGateDrain()
/// is called. Requests accepted before the drain are completed.
/// @param gate The gate.
auto BeginRequestGateDrain(RequestGate& gate) -> void;

/// Cancels the drain: accepts new requests again.
/// @param gate The gate.
auto CancelRequestGateDrain(RequestGate& gate) -> void;

/// Begins a drain and ends all requests at once. Waiters of running requests
/// get kOutcomeUnknown. All other waiters get kDraining, because their requests
/// did not run.
/// @param gate The gate.
/// @param now Current time.
/// @param random Random number generator.
/// @param out List to append the actions to.
auto DrainAndEndRequests(RequestGate& gate,
                         TimePoint now,
                         Random& random,
                         RequestActions& out) -> void;

/// @param gate The gate.
/// @param now Current time.
/// @return Current load, without `connections`, which the protocol layer sets.
auto ComputeGateLoad(const RequestGate& gate, TimePoint now) -> GateLoadReport;

/// @param gate The gate.
/// @param counter The counter to read.
/// @return Number of counted events since the gate was made.
auto ReadGateCounter(const RequestGate& gate, GateCounter counter)
    -> std::uint64_t;

/// Increments a counter, for events that only the protocol layer sees.
/// @param gate The gate.
/// @param counter The counter to increment.
auto IncrementCounter(RequestGate& gate, GateCounter counter) -> void;

/// @param gate The gate.
/// @return Summary of the times from start to successful answer.
auto SummarizeServiceTimes(const RequestGate& gate) -> LatencySummary;

/// @param gate The gate.
/// @return Summary of the times from arrival to first start.
auto SummarizeQueueWaits(const RequestGate& gate) -> LatencySummary;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_REQUEST_GATE_H_
