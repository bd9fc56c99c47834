#ifndef HAWTHORNBANK_LISTENING_TIME_H_
#define HAWTHORNBANK_LISTENING_TIME_H_

#include "hawthornbank/types.h"

/// @file
/// How long a process has been reading its messages without a pause.
///
/// Failures handled: a process that is held up by a busy host, stopped or
/// suspended with its host. Messages that arrive meanwhile are read late, so
/// that their time of reading says little, and a sender that was heard nothing
/// from may have sent some.
namespace hawthornbank {

/// Shortest time without an activity that counts as a pause.
inline constexpr Duration kMinListeningPause = std::chrono::milliseconds{250};

/// Times are those of a clock that includes suspensions of the host.
struct ListeningTime {
  TimePoint since{};      ///< End of the latest pause, or the start.
  TimePoint paused_at{};  ///< Beginning of the latest pause, or the start.
  TimePoint last{};       ///< Latest activity.
  /// By how much the clock without suspensions is behind.
  Duration suspended{};
};

/// @param now Current time of a clock with suspensions.
/// @param awake_now Current time of a clock without suspensions.
/// @return State of a process that starts.
auto StartListening(TimePoint now, TimePoint awake_now) -> ListeningTime;

/// Records an activity: the receipt of a message or a timer, of which there is
/// one in less than kMinListeningPause.
/// @param listening State of the process.
/// @param now Current time of a clock with suspensions.
/// @param awake_now Current time of a clock without suspensions.
/// @return Time for which the host was suspended since the last activity.
auto RecordListening(ListeningTime& listening,
                     TimePoint now,
                     TimePoint awake_now) -> Duration;

/// @param listening State of the process, whose latest activity is the present.
/// @return Longest time for which a message that is read now can have lain
/// unread; 0 if it is less than kMinListeningPause.
auto ComputeMaxUnreadTime(const ListeningTime& listening) -> Duration;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_LISTENING_TIME_H_
