#include "hawthornbank/pending_calls.h"

#include <algorithm>
#include <utility>

namespace hawthornbank {
namespace {

auto FindCall(PendingCalls& calls, CallId id)
    -> std::vector<PendingCall>::iterator {
  return std::find_if(calls.calls.begin(), calls.calls.end(),
                      [id](const PendingCall& it) { return it.id == id; });
}

auto IsLate(const PendingCall& call,
            const PendingCallOptions& options,
            TimePoint now) -> bool {
  return now - call.last_byte_at >= options.silence_timeout ||
         now - call.started >= options.transfer_timeout;
}

}  // namespace

auto StartPendingCall(PendingCalls& calls, TimePoint now) -> CallId {
  calls.calls.push_back(
      PendingCall{.id = ++calls.last_id, .started = now, .last_byte_at = now});
  return calls.last_id;
}

auto RecordReceivedBytes(PendingCalls& calls,
                         CallId id,
                         std::size_t received_bytes,
                         TimePoint now) -> void {
  const auto call = FindCall(calls, id);
  if (call != calls.calls.end() && received_bytes > call->received_bytes) {
    call->received_bytes = received_bytes;
    call->last_byte_at = now;
  }
}

auto BeginNextResponse(PendingCalls& calls, CallId id, TimePoint now) -> void {
  const auto call = FindCall(calls, id);
  if (call != calls.calls.end()) {
    call->received_bytes = 0;
    call->last_byte_at = now;
  }
}

auto EndPendingCall(PendingCalls& calls, CallId id)
    -> std::optional<PendingCall> {
  const auto it = FindCall(calls, id);
  if (it == calls.calls.end()) {
    return std::nullopt;
  }
  const PendingCall call = *it;
  calls.calls.erase(it);
  return call;
}

auto MarkLateCalls(PendingCalls& calls, TimePoint now) -> LateCalls {
  LateCalls changes;
  std::size_t late_calls = 0;
  for (auto& it : calls.calls) {
    const bool is_late = it.is_late || IsLate(it, calls.options, now);
    if (is_late && !it.is_late) {
      it.is_late = true;
      changes.late.push_back(it);
    }
    if (!is_late) {
      continue;
    }
    // The calls are in the order of their start, so the oldest are kept.
    if (late_calls == calls.options.max_late_calls ||
        now - it.last_byte_at >= calls.options.give_up_timeout) {
      changes.cancelled.push_back(it.id);
    } else {
      ++late_calls;
    }
  }
  for (const auto id : changes.cancelled) {
    EndPendingCall(calls, id);
  }
  return changes;
}

auto CancelPendingCalls(PendingCalls& calls) -> LateCalls {
  LateCalls changes;
  for (const auto& it : std::exchange(calls.calls, {})) {
    changes.cancelled.push_back(it.id);
  }
  return changes;
}

auto HasCallInTime(const PendingCalls& calls) -> bool {
  return std::any_of(calls.calls.begin(), calls.calls.end(),
                     [](const PendingCall& it) { return !it.is_late; });
}

auto IsResponseArriving(const PendingCalls& calls) -> bool {
  return std::any_of(calls.calls.begin(), calls.calls.end(),
                     [](const PendingCall& it) {
                       return !it.is_late && it.received_bytes > 0;
                     });
}

}  // namespace hawthornbank
