#ifndef HAWTHORNBANK_SRC_TRANSPORT_CLOCK_H_
#define HAWTHORNBANK_SRC_TRANSPORT_CLOCK_H_

#include <ctime>

#include "hawthornbank/types.h"

/// @file
/// The only place where a daemon reads clocks.
namespace hawthornbank::transport {

/// @return The current time of the monotonic clock.
inline auto GetMonotonicTime() -> TimePoint {
  return TimePoint{std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch())};
}

/// @return The current time of the monotonic clock that goes on while the host
/// is suspended.
inline auto GetTimeWithSuspensions() -> TimePoint {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint{std::chrono::seconds{time.tv_sec} +
                   std::chrono::nanoseconds{time.tv_nsec}};
}

/// @return The current time of the wall clock.
inline auto GetWallTime() -> WallTime {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

/// Uses the start time of a process as its incarnation, because a process has
/// no disk on which it could count its starts.
/// @return The incarnation of a process that starts now.
inline auto MakeIncarnation() -> Incarnation {
  return Incarnation{
      static_cast<std::uint64_t>(GetWallTime().time_since_epoch().count())};
}

/// Converts the start time of a process to this host's monotonic clock. The
/// offset between the clocks is read once, so that the same incarnation always
/// gives the same time.
/// @param incarnation The process's incarnation.
/// @return The process's start time on the monotonic clock.
inline auto ConvertIncarnationToMonotonicTime(Incarnation incarnation)
    -> TimePoint {
  static const Duration offset =
      GetMonotonicTime().time_since_epoch() - GetWallTime().time_since_epoch();
  const std::chrono::milliseconds start{
      static_cast<std::int64_t>(ToInteger(incarnation))};
  return TimePoint{start + offset};
}

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_CLOCK_H_
