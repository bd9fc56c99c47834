#include "hawthornbank/listening_time.h"

#include <algorithm>

namespace hawthornbank {
namespace {

// Shorter differences of the two clocks come from the time between their
// readings.
constexpr Duration kMinSuspension = std::chrono::milliseconds{50};

}  // namespace

auto StartListening(TimePoint now, TimePoint awake_now) -> ListeningTime {
  return {.since = now,
          .paused_at = now,
          .last = now,
          .suspended = now - awake_now};
}

auto RecordListening(ListeningTime& listening,
                     TimePoint now,
                     TimePoint awake_now) -> Duration {
  if (now - listening.last >= kMinListeningPause) {
    listening.paused_at = listening.last;
    listening.since = now;
  }
  listening.last = now;
  const Duration suspended = now - awake_now - listening.suspended;
  if (suspended < kMinSuspension) {
    // The clocks were read closer to each other than before.
    listening.suspended += std::min(suspended, Duration::zero());
    return Duration::zero();
  }
  listening.suspended += suspended;
  return suspended;
}

auto ComputeMaxUnreadTime(const ListeningTime& listening) -> Duration {
  return listening.last - listening.since < kMinListeningPause
             ? listening.last - listening.paused_at
             : Duration::zero();
}

}  // namespace hawthornbank
