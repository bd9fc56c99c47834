#ifndef HAWTHORNBANK_PENDING_CALLS_H_
#define HAWTHORNBANK_PENDING_CALLS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Decides how long calls to a service are waited for.
///
/// Load pattern: a service that answers slowly, responses that are large for
/// the link, and connections that never deliver a byte. A fixed timeout cancels
/// the first two over and over, and every retry starts again at the first byte.
/// Here a call that makes no progress becomes late: another call may be made
/// beside it, and the late call is still answered if it can be.
///
///     const CallId id = StartPendingCall(calls, now);
///     RecordReceivedBytes(calls, id, 16'384, now);
///     for (const auto it : MarkLateCalls(calls, now).cancelled) { ... }
///     EndPendingCall(calls, id);
namespace hawthornbank {

/// Identifies a call within one PendingCalls; never 0.
using CallId = std::uint64_t;

/// Limits of the calls to a service.
struct PendingCallOptions {
  /// Time without a byte of the response after which a call is late.
  Duration silence_timeout = std::chrono::milliseconds{700};
  /// Time after the start of a call after which the call is late although its
  /// response is arriving.
  Duration transfer_timeout = std::chrono::seconds{2};
  /// Time without a byte of the response after which a late call is cancelled.
  Duration give_up_timeout = std::chrono::seconds{10};
  /// Maximum number of late calls that are kept. Of more, the one that started
  /// last is cancelled, because the others are closer to their responses.
  std::size_t max_late_calls = 2;
};

/// A call that has no complete response yet.
struct PendingCall {
  CallId id = 0;
  TimePoint started{};
  TimePoint last_byte_at{};  ///< The start, until a byte arrives.
  std::size_t received_bytes = 0;
  bool is_late = false;
};

/// The pending calls to a service, in the order of their start.
struct PendingCalls {
  PendingCallOptions options;
  std::vector<PendingCall> calls;
  CallId last_id = 0;
};

/// Calls whose state MarkLateCalls() changed.
struct LateCalls {
  std::vector<PendingCall> late;  ///< Became late.
  /// Are no longer pending and must be cancelled; some may be in `late` too.
  std::vector<CallId> cancelled;
};

/// Records a new call.
/// @param calls The pending calls.
/// @param now Current time.
/// @return The call's identifier.
auto StartPendingCall(PendingCalls& calls, TimePoint now) -> CallId;

/// Records how much of a call's response has arrived.
/// @param calls The pending calls.
/// @param id A call; ignored if it isn't pending.
/// @param received_bytes Bytes that have arrived since the call's start.
/// @param now Current time.
auto RecordReceivedBytes(PendingCalls& calls,
                         CallId id,
                         std::size_t received_bytes,
                         TimePoint now) -> void;

/// Records that a call goes on with a further request, after its response so
/// far has arrived.
/// @param calls The pending calls.
/// @param id A call; ignored if it isn't pending.
/// @param now Current time.
auto BeginNextResponse(PendingCalls& calls, CallId id, TimePoint now) -> void;

/// Removes a call that was answered or has failed.
/// @param calls The pending calls.
/// @param id A call.
/// @return The removed call; nothing if it wasn't pending.
auto EndPendingCall(PendingCalls& calls, CallId id)
    -> std::optional<PendingCall>;

/// Marks calls as late and removes those that aren't worth waiting for.
/// @param calls The pending calls.
/// @param now Current time.
/// @return The calls that became late and those to cancel.
auto MarkLateCalls(PendingCalls& calls, TimePoint now) -> LateCalls;

/// Removes all calls.
/// @param calls The pending calls.
/// @return The calls to cancel.
auto CancelPendingCalls(PendingCalls& calls) -> LateCalls;

/// @param calls The pending calls.
/// @return Whether a call is pending that isn't late.
auto HasCallInTime(const PendingCalls& calls) -> bool;

/// @param calls The pending calls.
/// @return Whether a part of the response to a call that isn't late has
///   arrived.
auto IsResponseArriving(const PendingCalls& calls) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PENDING_CALLS_H_
