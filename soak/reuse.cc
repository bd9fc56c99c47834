#include "soak/reuse.h"

#include <algorithm>
#include <array>

#include "hawthornbank/random.h"

namespace hawthornbank::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinEventPause{700};
constexpr milliseconds kMaxEventPause{1300};
constexpr milliseconds kJustBefore{-50};
constexpr milliseconds kMinAgentDelay{50};
constexpr milliseconds kMaxAgentDelay{1500};
constexpr milliseconds kMaxHeartbeatDelay{2000};
constexpr milliseconds kMinSuspension{1000};
constexpr milliseconds kMaxSuspension{5000};
constexpr std::size_t kSubjects = 64;

constexpr std::array<const char*, static_cast<std::size_t>(ReuseKind::kCount)>
    kNames = {"reuse_ports",        "late_copies",  "together",
              "early_agent",        "late_agent",   "kept_agent",
              "kept_agent_sighup",  "drained",      "late_heartbeat",
              "suspended_balancer", "killed_agent", "late_packets"};

auto DrawDuration(Random& random, Duration min, Duration max) -> Duration {
  return min + Duration{static_cast<Duration::rep>(
                   DrawRandomFraction(random) *
                   static_cast<double>((max - min).count()))};
}

auto DrawAgentEnd(Random& random, ReuseKind kind, const ReuseOptions& options)
    -> std::optional<Duration> {
  const Duration late = options.agent_delay.value_or(
      DrawDuration(random, kMinAgentDelay, kMaxAgentDelay));
  const Duration early = DrawDuration(random, -kAddressReuseTime, kJustBefore);
  const bool is_late = random() % 2 == 0;
  switch (kind) {
    case ReuseKind::kLateAgent:
      return late;
    case ReuseKind::kEarlyAgent:
      return early;
    case ReuseKind::kDrained:
      return is_late ? late : early;
    case ReuseKind::kKeptAgent:
    case ReuseKind::kKeptAgentSighup:
      return std::nullopt;
    default:
      return kJustBefore;
  }
}

}  // namespace

auto ParseReuseKind(const std::string& name) -> std::optional<ReuseKind> {
  const auto* const it = std::find(kNames.begin(), kNames.end(), name);
  return it == kNames.end()
             ? std::nullopt
             : std::optional(static_cast<ReuseKind>(it - kNames.begin()));
}

auto ToString(ReuseKind kind) -> std::string {
  return kNames.at(static_cast<std::size_t>(kind));
}

auto GetAllReuseKinds() -> std::set<ReuseKind> {
  std::set<ReuseKind> kinds;
  for (std::size_t n = 0; n < kNames.size(); ++n) {
    kinds.insert(static_cast<ReuseKind>(n));
  }
  return kinds;
}

auto GetHandOverKinds() -> std::set<ReuseKind> {
  std::set<ReuseKind> kinds = GetAllReuseKinds();
  for (const auto it : {ReuseKind::kPorts, ReuseKind::kLateCopies,
                        ReuseKind::kSuspendedBalancer, ReuseKind::kKilledAgent,
                        ReuseKind::kLatePackets}) {
    kinds.erase(it);
  }
  return kinds;
}

auto GenerateReuseSeries(std::uint64_t seed,
                         Duration length,
                         const ReuseOptions& options)
    -> std::vector<ReuseEvent> {
  Random random{seed};
  std::vector<ReuseKind> kinds(options.kinds.begin(), options.kinds.end());
  std::erase(kinds, ReuseKind::kPorts);
  std::erase(kinds, ReuseKind::kLateCopies);
  std::erase(kinds, ReuseKind::kLatePackets);
  std::vector<ReuseEvent> events;
  if (kinds.empty()) {
    return events;
  }
  Duration start = DrawDuration(random, kMinEventPause, kMaxEventPause);
  while (start < length) {
    ReuseEvent event{.kind = kinds[random() % kinds.size()],
                     .start_offset = start,
                     .subject_index = random() % kSubjects};
    event.agent_end = DrawAgentEnd(random, event.kind, options);
    const Duration heartbeat_base =
        random() % 2 == 0 ? kAddressReuseTime : Duration{};
    const Duration heartbeat_delay =
        DrawDuration(random, Duration{}, kMaxHeartbeatDelay);
    if (event.kind == ReuseKind::kLateHeartbeat) {
      event.late_heartbeat = heartbeat_base + heartbeat_delay;
    }
    event.has_same_id = random() % 2 == 0;
    event.duration = DrawDuration(random, kMinSuspension, kMaxSuspension);
    event.ends_suspended = random() % 2 == 0;
    events.push_back(event);
    start += DrawDuration(random, kMinEventPause, kMaxEventPause);
  }
  return events;
}

}  // namespace hawthornbank::soak
