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
/// The gate of one target: decides which requests run there, when, and what
/// the others are told. It knows no wire protocol and does no I/O.
namespace hawthornbank {

/// One message that waits for an answer; chosen by the caller of the gate.
enum class WaiterId : std::uint64_t {};
/// One request inside the gate, whatever the number of its waiters.
enum class RequestHandle : std::uint64_t {};

/// What a token says; the protocol layer has checked its digest.
struct RequestToken {
  TargetId target{};
  Incarnation incarnation{};
  TimePoint issued{};  ///< Unique and rising within one incarnation.
  std::chrono::milliseconds validity{0};  ///< Starts nothing after this.
  bool authentic = false;                 ///< Whether the digest matched.
};

/// A request as it arrives.
struct Request {
  WaiterId waiter{};
  std::string id;                 ///< Caller's identity of the request.
  std::uint64_t fingerprint = 0;  ///< Hash of what is asked.
  std::uint64_t caller = 0;       ///< Who asks, for fairness.
  TimePoint deadline{};
  bool idempotent = true;
  bool counts_double = false;  ///< Worth two ordinary ones.
  bool continuation = false;   ///< A later part of a transfer under way.
  std::optional<RequestToken> token;
};

/// How the target dealt with a request.
enum class Outcome : std::uint8_t {
  kSucceeded,  ///< It ran, or was refused for the caller's fault.
  kFailed,     ///< It ran and failed for the target's fault.
  kShed,       ///< The target took no work; it did not run.
  kReset,      ///< The target knows nothing of it; it isn't running there.
  kLost,       ///< No answer can come any more; it may be running.
};

/// An encoded answer, shared by all who wait for it.
using Answer = std::shared_ptr<const std::vector<std::uint8_t>>;

/// What the gate wants done.
struct RequestAction {
  enum class Kind : std::uint8_t {
    kStart,      ///< Hand the waiter's message to the target.
    kCancel,     ///< Tell the target that nobody wants the result.
    kAnswer,     ///< Give the waiter the target's answer.
    kRefuse,     ///< Give the waiter the answer for `error`.
    kChallenge,  ///< Ask the waiter to repeat its request with `token`.
  };
  Kind kind{};
  WaiterId waiter{};
  RequestHandle request{};
  ErrorKind error{};
  std::chrono::seconds retry_after{0};  ///< When to come back, if retryable.
  RequestToken token;
  Answer answer;
  TimePoint deadline{};  ///< Of the request that starts.
};

/// Everything the gate counts: refusals, retries and duplicates by reason.
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
/// @return Its name in metrics, such as "refused_queue_full".
auto CounterName(GateCounter counter) -> std::string_view;

/// Limits and times of a gate.
struct RequestGateOptions {
  TargetId target{};
  Incarnation incarnation{};
  std::uint32_t slots = 3;         ///< Requests the target runs at once.
  std::uint32_t queue_limit = 64;  ///< Requests that wait for a slot.
  std::size_t ledger_entries = 16384;
  std::size_t ledger_bytes = std::size_t{32} << 20U;  ///< With kept answers.
  std::chrono::milliseconds token_validity{30000};
  std::chrono::milliseconds ledger_retention{120000};
  std::chrono::milliseconds initial_service_time{50};
  std::chrono::milliseconds probe_interval{1000};
  /// Longest that cancelled work holds its slot; afterwards the target counts
  /// as stalled.
  std::chrono::milliseconds cancel_limit{3000};
  double retry_share = 0.10;  ///< Retries allowed for each first try.
  std::uint32_t retry_burst = 10;
  std::chrono::milliseconds come_back_min{1000};
  std::chrono::milliseconds come_back_spread{4000};
};

/// What a gate holds at the moment.
struct GateLoadReport {
  std::uint32_t slots_busy = 0;
  std::uint32_t slots_cancelled = 0;  ///< Busy for work that nobody awaits.
  std::uint32_t slots_allowed = 0;    ///< After ramp-up and health.
  std::uint32_t queued = 0;
  std::uint32_t connections = 0;
  bool draining = false;
};

/// Summary of a distribution of times.
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
/// @return A gate that is cold: it ramps up as answers arrive.
auto MakeRequestGate(const RequestGateOptions& options) -> RequestGate;

/// Takes in one request; exactly one answer, refusal or challenge goes to its
/// waiter, now or later, unless the waiter is dropped before.
/// @param gate The gate.
/// @param request The request.
/// @param now The present instant.
/// @param random Spreads the instants at which refused callers return.
/// @param out Receives what has to be done.
auto Submit(RequestGate& gate,
            const Request& request,
            TimePoint now,
            Random& random,
            RequestActions& out) -> void;

/// Takes in the target's answer to a started request.
/// @param gate The gate.
/// @param request Handle from kStart.
/// @param outcome How the target dealt with it.
/// @param answer The encoded answer; may be null unless it ran.
/// @param now The present instant.
/// @param random Jitter of retries.
/// @param out Receives what has to be done.
auto OnOutcome(RequestGate& gate,
               RequestHandle request,
               Outcome outcome,
               const Answer& answer,
               TimePoint now,
               Random& random,
               RequestActions& out) -> void;

/// Takes in the target's word that it has stopped cancelled work, whose slot
/// is free from then on.
/// @param gate The gate.
/// @param request Handle from kCancel.
/// @param now The present instant.
/// @param random Generator of this run.
/// @param out Receives what has to be done.
auto OnCancelConfirmed(RequestGate& gate,
                       RequestHandle request,
                       TimePoint now,
                       Random& random,
                       RequestActions& out) -> void;

/// Drops a waiter; work that nobody waits for any more is cancelled.
/// @param gate The gate.
/// @param waiter The waiter that went away.
/// @param now The present instant.
/// @param random Generator of this run.
/// @param out Receives what has to be done.
auto DropWaiter(RequestGate& gate,
                WaiterId waiter,
                TimePoint now,
                Random& random,
                RequestActions& out) -> void;

/// Cancels a request by its identity and answers all its waiters.
/// @param gate The gate.
/// @param id Caller's identity of the request.
/// @param now The present instant.
/// @param random Generator of this run.
/// @param out Receives what has to be done.
/// @return Whether such a request was waiting or running.
auto CancelRequest(RequestGate& gate,
                   const std::string& id,
                   TimePoint now,
                   Random& random,
                   RequestActions& out) -> bool;

/// Acts on everything that is due: deadlines, delayed retries, probes.
/// @param gate The gate.
/// @param now The present instant.
/// @param random Generator of this run.
/// @param out Receives what has to be done.
/// @return When to call again at the latest.
auto OnTick(RequestGate& gate,
            TimePoint now,
            Random& random,
            RequestActions& out) -> TimePoint;

/// Stops taking new work; what was accepted runs to its end.
/// @param gate The gate.
auto BeginDrain(RequestGate& gate) -> void;

/// Takes new work again.
/// @param gate The gate.
auto EndDrain(RequestGate& gate) -> void;

/// Ends everything at once and tells each waiter what is known.
/// @param gate The gate.
/// @param now The present instant.
/// @param random Generator of this run.
/// @param out Receives the final answers.
auto Abort(RequestGate& gate,
           TimePoint now,
           Random& random,
           RequestActions& out) -> void;

/// @param gate The gate.
/// @param now The present instant.
/// @return What it holds; connections are left to the protocol layer.
auto Load(const RequestGate& gate, TimePoint now) -> GateLoadReport;

/// @param gate The gate.
/// @param counter Which counter.
/// @return Its value since the start.
auto CounterValue(const RequestGate& gate, GateCounter counter)
    -> std::uint64_t;

/// Adds one to a counter; for reasons that only the protocol layer sees.
/// @param gate The gate.
/// @param counter Which counter.
auto Count(RequestGate& gate, GateCounter counter) -> void;

/// @param gate The gate.
/// @return Distribution of the time from start to answer.
auto ServiceTimes(const RequestGate& gate) -> LatencySummary;

/// @param gate The gate.
/// @return Distribution of the time from arrival to start.
auto QueueWaits(const RequestGate& gate) -> LatencySummary;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_REQUEST_GATE_H_
