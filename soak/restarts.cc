#include "soak/restarts.h"

#include <algorithm>
#include <array>

#include "hawthornbank/random.h"
#include "soak/judge.h"

namespace hawthornbank::soak {
namespace {

using std::chrono::milliseconds;

// Streams of random numbers of the series: those of the kinds in kLateStarts
// are their own, so that the others are drawn as without them.
constexpr std::uint64_t kRandomStream = 38;
constexpr std::uint64_t kLateStartStream = 55;
constexpr std::uint64_t kAgeStream = 56;
constexpr milliseconds kMinEventPause{500};
constexpr milliseconds kMaxEventPause{1500};
constexpr milliseconds kMinClockStep{100};
constexpr milliseconds kMaxClockStep{10'000};
constexpr milliseconds kMinFirstOffset{2000};
constexpr milliseconds kMaxFirstOffset{6000};
constexpr milliseconds kMinDuration{500};
constexpr milliseconds kMaxDuration{4000};
constexpr milliseconds kMinRestartPause{100};
constexpr milliseconds kMaxRestartPause{1500};
constexpr milliseconds kMinLateness{100};
constexpr milliseconds kMaxLateness{5000};
constexpr milliseconds kMaxAgentStop{6000};
// Low idle timeouts are shorter than most long pauses of callers, high ones
// longer than all.
constexpr milliseconds kMinLowIdleTimeout{2000};
constexpr milliseconds kMaxLowIdleTimeout{6000};
constexpr milliseconds kMinHighIdleTimeout{38'000};
constexpr milliseconds kMaxHighIdleTimeout{55'000};
constexpr milliseconds kMinLateStartPause{3000};
constexpr milliseconds kMaxLateStartPause{9000};
constexpr milliseconds kMinClockLead{1000};
constexpr milliseconds kMaxClockLead{4000};
constexpr milliseconds kMinLateStartLateness{1000};
constexpr milliseconds kMaxAgeAtArrival{400};
constexpr std::array kLateStarts = {RestartKind::kUnheardStart,
                                    RestartKind::kDeregistrationAtStop};
constexpr std::uint32_t kMaxLateMessages = 4;
constexpr std::size_t kSubjects = 64;

constexpr std::array<const char*, static_cast<std::size_t>(RestartKind::kCount)>
    kNames = {"step_clock",           "earlier_heartbeat",
              "heartbeat_at_restart", "late_deregistration",
              "idle_timeout",         "replace_most",
              "drop_route",           "move_route",
              "unheard_start",        "deregistration_at_stop"};

auto DrawDuration(Random& random, Duration min, Duration max) -> Duration {
  return min + Duration{static_cast<Duration::rep>(
                   DrawRandomFraction(random) *
                   static_cast<double>((max - min).count()))};
}

auto DrawSigned(Random& random, Duration min, Duration max) -> Duration {
  const bool is_negative = random() % 2 == 0;
  const Duration amount = DrawDuration(random, min, max);
  return is_negative ? -amount : amount;
}

// In half of the cases, messages arrive so late that the target's crash doesn't
// excuse their effects any more.
auto DrawLateArrivals(Random& random, Duration pause) -> std::vector<Duration> {
  const Duration base = random() % 2 == 0 ? pause + kRecoveryTime : Duration{};
  std::vector<Duration> arrivals(1 + random() % kMaxLateMessages);
  for (auto& it : arrivals) {
    it = base + DrawDuration(random, kMinLateness, kMaxLateness);
  }
  return arrivals;
}

auto AppendLateStarts(std::uint64_t seed,
                      Duration length,
                      const std::vector<RestartKind>& kinds,
                      std::vector<RestartEvent>& events) -> void {
  Random random{seed, kLateStartStream};
  Random ages{seed, kAgeStream};
  const auto draw_pause = [&random] {
    return DrawDuration(random, kMinLateStartPause, kMaxLateStartPause);
  };
  for (Duration start = draw_pause(); !kinds.empty() && start < length;
       start += draw_pause()) {
    RestartEvent event{.kind = kinds[random() % kinds.size()],
                       .start_offset = start,
                       .subject_index = random() % kSubjects};
    event.pause = DrawDuration(random, kMinRestartPause, kMaxRestartPause);
    event.clock_lead = DrawDuration(random, kMinClockLead, kMaxClockLead);
    event.idle_timeout = kMinHighIdleTimeout;
    event.late_arrivals = {
        event.pause + kRecoveryTime +
        DrawDuration(random, kMinLateStartLateness, kMaxLateness)};
    if (ages() % 2 == 0) {
      event.age_at_arrival = DrawDuration(ages, Duration{}, kMaxAgeAtArrival);
    }
    events.push_back(std::move(event));
  }
}

}  // namespace

auto ParseRestartKind(const std::string& name) -> std::optional<RestartKind> {
  const auto* const it = std::find(kNames.begin(), kNames.end(), name);
  return it == kNames.end()
             ? std::nullopt
             : std::optional(static_cast<RestartKind>(it - kNames.begin()));
}

auto ToString(RestartKind kind) -> std::string {
  return kNames.at(static_cast<std::size_t>(kind));
}

auto GetAllRestartKinds() -> std::set<RestartKind> {
  std::set<RestartKind> kinds;
  for (std::size_t n = 0; n < kNames.size(); ++n) {
    kinds.insert(static_cast<RestartKind>(n));
  }
  return kinds;
}

auto GenerateRestartSeries(std::uint64_t seed,
                           Duration length,
                           const std::set<RestartKind>& kinds)
    -> std::vector<RestartEvent> {
  Random random{seed, kRandomStream};
  std::vector<RestartKind> drawn(kinds.begin(), kinds.end());
  std::vector<RestartKind> late_starts;
  for (const auto it : kLateStarts) {
    if (std::erase(drawn, it) > 0) {
      late_starts.push_back(it);
    }
  }
  // Pauses in which the idle timeout is once low don't count, so half of the
  // series have none.
  const bool has_low_idle_timeouts = random() % 2 == 0;
  std::vector<RestartEvent> events;
  AppendLateStarts(seed, length, late_starts, events);
  Duration start = DrawDuration(random, kMinEventPause, kMaxEventPause);
  while (!drawn.empty() && start < length) {
    RestartEvent event{.kind = drawn[random() % drawn.size()],
                       .start_offset = start,
                       .subject_index = random() % kSubjects};
    const Duration step = DrawSigned(random, kMinClockStep, kMaxClockStep);
    if (event.kind == RestartKind::kStepClock || random() % 2 == 0) {
      event.clock_step = step;
    }
    event.restarts = random() % 4 != 0;
    const Duration duration = DrawDuration(random, kMinDuration, kMaxDuration);
    if (event.kind == RestartKind::kDropRoute || random() % 2 == 0) {
      event.duration = duration;
    }
    event.pause = DrawDuration(random, kMinRestartPause, kMaxRestartPause);
    event.has_same_id = random() % 2 == 0;
    event.late_arrivals = DrawLateArrivals(random, event.pause);
    event.agent_stop = DrawDuration(random, Duration{}, kMaxAgentStop);
    const Duration low =
        DrawDuration(random, kMinLowIdleTimeout, kMaxLowIdleTimeout);
    const Duration high =
        DrawDuration(random, kMinHighIdleTimeout, kMaxHighIdleTimeout);
    event.idle_timeout =
        random() % 2 == 0 && has_low_idle_timeouts ? low : high;
    event.drains = random() % 2 == 0;
    event.has_early_balancers = random() % 2 == 0;
    event.is_first_heartbeat = random() % 3 == 0;
    event.replaces_last = random() % 2 == 0;
    event.has_joint_restarts = random() % 2 == 0;
    events.push_back(std::move(event));
    start += DrawDuration(random, kMinEventPause, kMaxEventPause);
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const RestartEvent& a, const RestartEvent& b) {
                     return a.start_offset < b.start_offset;
                   });
  return events;
}

auto DrawFirstClockOffset(std::uint64_t seed, std::size_t process) -> Duration {
  Random random{seed, kRandomStream + 1 + process};
  return DrawSigned(random, kMinFirstOffset, kMaxFirstOffset);
}

}  // namespace hawthornbank::soak
