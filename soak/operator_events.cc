#include "soak/operator_events.h"

#include "hawthornbank/random.h"

namespace hawthornbank::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinOrderPause{500};
constexpr milliseconds kMaxOrderPause{3000};
constexpr milliseconds kMinOrderLength{1000};
constexpr milliseconds kMaxOrderLength{12'000};
constexpr milliseconds kMinChangePause{100};
constexpr milliseconds kMaxQuickPause{1000};
constexpr milliseconds kMaxChangePause{8000};
// One in so many pauses between changes is a quick one.
constexpr std::uint64_t kPausesPerQuickOne = 3;
// Distinguish the streams of a seed.
constexpr std::uint64_t kZoneStream = 0x5A4F4E45;
constexpr std::uint64_t kRouteStream = 0x524F5554;
constexpr std::uint64_t kScaleStream = 0x5343414C;
constexpr milliseconds kMinScalePause{500};
constexpr milliseconds kMaxScalePause{6000};
constexpr milliseconds kMinAway{1000};
constexpr milliseconds kMaxAway{8000};
constexpr std::size_t kTargets = 64;

auto DrawDuration(Random& random, Duration min, Duration max) -> Duration {
  return min + Duration{static_cast<Duration::rep>(
                   DrawRandomFraction(random) *
                   static_cast<double>((max - min).count()))};
}

}  // namespace

auto GenerateZoneOrders(std::uint64_t seed, Duration length, std::size_t zones)
    -> std::vector<ZoneOrder> {
  std::vector<ZoneOrder> orders;
  if (zones < 2) {
    return orders;
  }
  Random random{seed ^ kZoneStream};
  Duration start = DrawDuration(random, kMinOrderPause, kMaxOrderPause);
  for (;;) {
    const ZoneOrder order{
        .start_offset = start,
        .duration = DrawDuration(random, kMinOrderLength, kMaxOrderLength),
        .zone = random() % zones};
    start += order.duration;
    if (start >= length) {
      return orders;
    }
    orders.push_back(order);
    start += DrawDuration(random, kMinOrderPause, kMaxOrderPause);
  }
}

auto GenerateRouteChanges(std::uint64_t seed,
                          Duration length,
                          std::size_t routes) -> std::vector<RouteChange> {
  std::vector<RouteChange> changes;
  if (routes == 0) {
    return changes;
  }
  Random random{seed ^ kRouteStream};
  Duration start{};
  for (;;) {
    const bool is_quick = random() % kPausesPerQuickOne == 0;
    start += DrawDuration(random, kMinChangePause,
                          is_quick ? kMaxQuickPause : kMaxChangePause);
    if (start >= length) {
      return changes;
    }
    changes.push_back({.start_offset = start, .route = random() % routes});
  }
}

auto GenerateScaleIns(std::uint64_t seed, Duration length)
    -> std::vector<ScaleIn> {
  Random random{seed ^ kScaleStream};
  std::vector<ScaleIn> events;
  Duration start = DrawDuration(random, kMinScalePause, kMaxScalePause);
  while (start < length) {
    const ScaleIn event{.start_offset = start,
                        .away = DrawDuration(random, kMinAway, kMaxAway),
                        .target = random() % kTargets};
    if (start + kScaleInDrain + event.away < length) {
      events.push_back(event);
    }
    start += DrawDuration(random, kMinScalePause, kMaxScalePause);
  }
  return events;
}

}  // namespace hawthornbank::soak
