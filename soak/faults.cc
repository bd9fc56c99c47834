#include "soak/faults.h"

#include <array>

#include "hawthornbank/random.h"

namespace hawthornbank::soak {
namespace {

constexpr std::chrono::milliseconds kShortestPause{100};
constexpr std::chrono::milliseconds kLongestPause{1200};
constexpr std::chrono::milliseconds kShortest{300};
constexpr std::chrono::milliseconds kLongest{3500};
constexpr std::size_t kSubjects = 64;

constexpr std::array<std::string_view, kFaultKindCount> kNames = {
    "kill_balancer",      "kill_agent",   "kill_all_balancers",
    "stop_balancer",      "stop_agent",   "freeze_balancer",
    "freeze_agent",       "reload",       "store_reset",
    "store_silent",       "store_busy",   "store_slow",
    "store_no_answers",   "store_lapse",  "store_cut",
    "silent_connections", "target_crash", "target_replace",
    "target_reuse",       "target_mute",  "loss",
    "configure",
};
static_assert(!kNames.back().empty());

auto Draw(Random& random, Duration least, Duration most) -> Duration {
  return least + Duration{static_cast<Duration::rep>(
                     DrawRandomFraction(random) *
                     static_cast<double>((most - least).count()))};
}

}  // namespace

auto ToString(FaultKind kind) -> std::string_view {
  return kNames[static_cast<std::size_t>(kind)];
}

auto PlanFaults(std::uint64_t seed, Duration length) -> std::vector<Fault> {
  Random random{seed};
  std::vector<Fault> faults;
  Duration at = Draw(random, kShortestPause, kLongestPause);
  while (at < length) {
    faults.push_back(
        Fault{.kind = static_cast<FaultKind>(random() % kFaultKindCount),
              .at = at,
              .lasts = Draw(random, kShortest, kLongest),
              .subject = random() % kSubjects});
    at += Draw(random, kShortestPause, kLongestPause);
  }
  return faults;
}

}  // namespace hawthornbank::soak
