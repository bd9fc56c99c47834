#include "soak/faults.h"

#include <array>

#include "hawthornbank/random.h"

namespace hawthornbank::soak {
namespace {

constexpr std::chrono::milliseconds kMinFaultPause{100};
constexpr std::chrono::milliseconds kMaxFaultPause{1200};
constexpr std::chrono::milliseconds kMinFaultDuration{300};
constexpr std::chrono::milliseconds kMaxFaultDuration{3500};
constexpr std::size_t kSubjectCount = 64;

constexpr std::array<std::string_view, kFaultKindCount> kFaultKindNames = {
    "kill_balancer",      "kill_agent",   "kill_all_balancers",
    "stop_balancer",      "stop_agent",   "freeze_balancer",
    "freeze_agent",       "reload",       "store_reset",
    "store_silent",       "store_busy",   "store_slow",
    "store_no_answers",   "store_lapse",  "store_cut",
    "silent_connections", "target_crash", "target_replace",
    "target_reuse",       "target_mute",  "loss",
    "configure",
};
static_assert(!kFaultKindNames.back().empty());

auto DrawRandomDuration(Random& random, Duration min, Duration max)
    -> Duration {
  return min + Duration{static_cast<Duration::rep>(
                   DrawRandomFraction(random) *
                   static_cast<double>((max - min).count()))};
}

}  // namespace

auto ToString(FaultKind kind) -> std::string_view {
  return kFaultKindNames[static_cast<std::size_t>(kind)];
}

auto GenerateFaultSeries(std::uint64_t seed, Duration length)
    -> std::vector<Fault> {
  Random random{seed};
  std::vector<Fault> faults;
  Duration start_offset =
      DrawRandomDuration(random, kMinFaultPause, kMaxFaultPause);
  while (start_offset < length) {
    faults.push_back(Fault{
        .kind = static_cast<FaultKind>(random() % kFaultKindCount),
        .start_offset = start_offset,
        .duration =
            DrawRandomDuration(random, kMinFaultDuration, kMaxFaultDuration),
        .subject_index = random() % kSubjectCount});
    start_offset += DrawRandomDuration(random, kMinFaultPause, kMaxFaultPause);
  }
  return faults;
}

}  // namespace hawthornbank::soak
