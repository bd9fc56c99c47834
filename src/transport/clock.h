#ifndef HAWTHORNBANK_SRC_TRANSPORT_CLOCK_H_
#define HAWTHORNBANK_SRC_TRANSPORT_CLOCK_H_

#include "hawthornbank/types.h"

/// @file
/// The only place where a daemon reads clocks.
namespace hawthornbank::transport {

/// @return The monotonic clock's present instant.
inline auto MonotonicNow() -> TimePoint {
  return TimePoint{std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch())};
}

/// @return The wall clock's present time.
inline auto WallNow() -> WallTime {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

/// A process has no disk to count its starts on, so the time of its start is
/// its incarnation.
/// @return The incarnation of a process that starts now.
inline auto MakeIncarnation() -> Incarnation {
  return Incarnation{
      static_cast<std::uint64_t>(WallNow().time_since_epoch().count())};
}

/// Places the start of a process on this host's monotonic clock. The offset
/// between the clocks is read once, so that the same start stays the same.
/// @param incarnation The process's incarnation.
/// @return When it started.
inline auto StartOf(Incarnation incarnation) -> TimePoint {
  static const Duration offset =
      MonotonicNow().time_since_epoch() - WallNow().time_since_epoch();
  const std::chrono::milliseconds start{
      static_cast<std::int64_t>(ToInteger(incarnation))};
  return TimePoint{start + offset};
}

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_CLOCK_H_
