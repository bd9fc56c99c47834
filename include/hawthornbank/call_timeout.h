#ifndef HAWTHORNBANK_CALL_TIMEOUT_H_
#define HAWTHORNBANK_CALL_TIMEOUT_H_

#include "hawthornbank/types.h"

/// @file
/// Timeout of calls that are made one at a time.
///
/// Load pattern: a service that answers every call, but later than a fixed
/// timeout, beside one that doesn't answer at all. The timeout doubles with
/// each call that isn't answered in time, and then follows the time that
/// answers take. For calls that may be made side by side, see pending_calls.h.
namespace hawthornbank {

/// The timeout and its limits.
struct CallTimeout {
  Duration minimum{};
  Duration maximum{};
  Duration current{};  ///< Timeout of the next call.
};

/// @param minimum Timeout of a service that answers as usual.
/// @param maximum Timeout of a service that hasn't answered.
/// @return The timeout, at its minimum.
auto MakeCallTimeout(Duration minimum, Duration maximum) -> CallTimeout;

/// Handles a call that wasn't answered in time.
/// @param timeout The timeout.
auto OnCallTimedOut(CallTimeout& timeout) -> void;

/// Handles a call that was answered.
/// @param timeout The timeout.
/// @param took Duration of the call. The next timeout is twice as long, within
///   the limits.
auto OnCallAnswered(CallTimeout& timeout, Duration took) -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_CALL_TIMEOUT_H_
