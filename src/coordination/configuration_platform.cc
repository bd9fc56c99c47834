#include <algorithm>
#include <utility>

#include "coordination/configuration_internal.h"
#include "hawthornbank/configuration_store.h"

namespace hawthornbank {
namespace {

/// First and longest wait after a failed call.
constexpr std::chrono::milliseconds kFirstBackoff{500};
constexpr std::chrono::milliseconds kMaxBackoff{8000};
/// Wait before looking again for an object that does not exist.
constexpr std::chrono::milliseconds kMissingInterval{1000};
/// Time to let peers answer before a process that watches nothing asks the
/// platform itself.
constexpr std::chrono::milliseconds kPeersFirst{2000};
/// Budget of a process: calls a second, and how many it may save up.
constexpr double kCallsPerSecond = 2;
constexpr double kMaxTokens = 6;

/// Takes one call from the budget.
auto TakeToken(ConfigurationPlatform& platform, TimePoint now) -> bool {
  const std::chrono::duration<double> passed = now - platform.tokens_at;
  platform.tokens =
      std::min(kMaxTokens, platform.tokens + kCallsPerSecond * passed.count());
  platform.tokens_at = now;
  if (platform.tokens < 1) {
    return false;
  }
  platform.tokens -= 1;
  return true;
}

auto ShouldCall(const ConfigurationStore& store, TimePoint now) -> bool {
  if (store.options.role == ConfigurationRole::kAgent) {
    return false;
  }
  const bool alone = !store.in_force && now - store.started >= kPeersFirst;
  return IsWatcher(store) || alone || store.platform.candidate.has_value();
}

auto BackOff(ConfigurationPlatform& platform, TimePoint now, Random& random)
    -> void {
  platform.backoff =
      std::clamp<Duration>(platform.backoff * 2, kFirstBackoff, kMaxBackoff);
  platform.next_call = now + detail::WithJitter(platform.backoff, random) / 2 +
                       platform.backoff / 4;
}

/// Takes a value that was read or watched.
auto TakeValue(ConfigurationStore& store,
               const PlatformAnswer& answer,
               TimePoint now,
               Random& random,
               ConfigurationActions& actions) -> void {
  auto& platform = store.platform;
  const bool was_read = !platform.version.has_value();
  platform.version = answer.version;
  if (was_read && !store.in_force) {
    // A read may be stale, and there is nothing to compare it with: a watch
    // from its version tells at once whether there is something newer.
    platform.candidate = answer.value;
    return;
  }
  platform.candidate.reset();
  if (!detail::Adopt(store, *answer.value, true, now, random, actions)) {
    platform.next_call = now + detail::WithJitter(kFirstBackoff, random);
  }
}

/// Takes a watch that ended without a change.
auto TakeQuiet(ConfigurationStore& store,
               const PlatformAnswer& answer,
               TimePoint now,
               Random& random,
               ConfigurationActions& actions) -> void {
  auto& platform = store.platform;
  if (!platform.version) {
    platform.next_call = now + detail::WithJitter(kMissingInterval, random);
    return;
  }
  // A platform that has lost versions stands behind nothing: list again.
  if (answer.version < *platform.version) {
    platform.version.reset();
    platform.candidate.reset();
    platform.next_call = now + detail::WithJitter(kMissingInterval, random);
    return;
  }
  platform.version = answer.version;
  if (platform.candidate) {
    const auto value = std::move(*platform.candidate);
    platform.candidate.reset();
    detail::Adopt(store, value, true, now, random, actions);
  } else if (store.in_force) {
    store.last_confirmed = now;
  }
}

}  // namespace

namespace detail {

auto TickPlatform(ConfigurationStore& store,
                  TimePoint now,
                  Random& random,
                  ConfigurationActions& actions) -> void {
  auto& platform = store.platform;
  if (platform.waiting || now < platform.next_call || !ShouldCall(store, now)) {
    return;
  }
  if (!TakeToken(platform, now)) {
    ++store.counters.budget_waits;
    platform.next_call = now + WithJitter(kFirstBackoff, random);
    return;
  }
  platform.waiting = true;
  ++store.counters.platform_calls;
  if (!platform.version) {
    actions.push_back(CallPlatformGet{});
    return;
  }
  actions.push_back(CallPlatformWatch{
      .from = *platform.version,
      .timeout = platform.candidate ? std::chrono::milliseconds{0}
                                    : kConfigurationWatch});
}

}  // namespace detail

auto OnPlatformAnswer(ConfigurationStore& store,
                      const PlatformAnswer& answer,
                      TimePoint now,
                      Random& random,
                      ConfigurationActions& actions) -> void {
  auto& platform = store.platform;
  platform.waiting = false;
  if (!answer.reached) {
    ++store.counters.platform_failures;
    BackOff(platform, now, random);
    return;
  }
  platform.backoff = Duration{0};
  platform.next_call = now;
  if (answer.gone) {
    platform.version.reset();
    platform.candidate.reset();
    platform.next_call = now + detail::WithJitter(kFirstBackoff, random);
  } else if (answer.value) {
    TakeValue(store, answer, now, random, actions);
  } else {
    TakeQuiet(store, answer, now, random, actions);
  }
}

auto IsWatcher(const ConfigurationStore& store) -> bool {
  return store.watcher;
}

}  // namespace hawthornbank
