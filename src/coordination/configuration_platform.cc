#include <algorithm>
#include <utility>

#include "coordination/configuration_internal.h"
#include "hawthornbank/configuration_store.h"

namespace hawthornbank {
namespace {

/// Maximum wait after the first failed call; mean wait after a call delayed by
/// the token bucket, an expired history or a rejected value.
constexpr std::chrono::milliseconds kInitialBackoff{500};
/// Maximum wait after repeated failed calls.
constexpr std::chrono::milliseconds kMaxBackoff{8000};
/// Mean wait before the next read of the object, if the object did not exist or
/// the platform's version went back.
constexpr std::chrono::milliseconds kMissingObjectInterval{1000};
/// How long after its start a balancer waits for a configuration from peers.
/// A balancer still without a configuration then calls the platform, even if
/// the balancer isn't a watcher.
constexpr std::chrono::milliseconds kPeerAnswerWait{2000};
/// Refill rate of a process's token bucket, in tokens (calls) per second.
constexpr double kPlatformCallsPerSecond = 2;
/// Capacity of the token bucket; limits the number of calls in a burst.
constexpr double kMaxPlatformCallTokens = 6;

/// Takes a token for one call from the token bucket.
/// @return Whether a token was available.
auto TakePlatformCallToken(PlatformCallState& platform, TimePoint now) -> bool {
  const std::chrono::duration<double> passed = now - platform.tokens_updated;
  platform.tokens =
      std::min(kMaxPlatformCallTokens,
               platform.tokens + kPlatformCallsPerSecond * passed.count());
  platform.tokens_updated = now;
  if (platform.tokens < 1) {
    return false;
  }
  platform.tokens -= 1;
  return true;
}

auto ShouldCallPlatform(const ConfigurationStore& store, TimePoint now)
    -> bool {
  if (store.options.role == ConfigurationRole::kAgent) {
    return false;
  }
  const bool alone = !store.in_force && now - store.started >= kPeerAnswerWait;
  return IsPlatformWatcher(store) || alone ||
         store.platform.unproven_value.has_value();
}

auto BackOffPlatformCalls(PlatformCallState& platform,
                          TimePoint now,
                          Random& random) -> void {
  platform.backoff =
      std::clamp<Duration>(platform.backoff * 2, kInitialBackoff, kMaxBackoff);
  platform.next_call = now + detail::AddJitter(platform.backoff, random) / 2 +
                       platform.backoff / 4;
}

/// Handles a platform answer with a value, which may come from a read or a
/// watch.
auto HandlePlatformAnswerWithValue(ConfigurationStore& store,
                                   const PlatformAnswer& answer,
                                   TimePoint now,
                                   Random& random,
                                   ConfigurationActions& actions) -> void {
  auto& platform = store.platform;
  const bool was_read = !platform.version.has_value();
  platform.version = answer.version;
  if (was_read && !store.in_force) {
    // A read may return a stale value, and this process has no generation to
    // compare the value with. A watch from the version of the read shows at
    // once whether there is a newer value.
    platform.unproven_value = answer.value;
    return;
  }
  platform.unproven_value.reset();
  if (!detail::PutConfigurationInForceIfNewer(store, *answer.value, true, now,
                                              random, actions)) {
    platform.next_call = now + detail::AddJitter(kInitialBackoff, random);
  }
}

/// Handles a platform answer without a value, which means that the object does
/// not exist or that the watch ended without a change.
auto HandlePlatformAnswerWithoutValue(ConfigurationStore& store,
                                      const PlatformAnswer& answer,
                                      TimePoint now,
                                      Random& random,
                                      ConfigurationActions& actions) -> void {
  auto& platform = store.platform;
  if (!platform.version) {
    platform.next_call =
        now + detail::AddJitter(kMissingObjectInterval, random);
    return;
  }
  // A platform whose version went back has lost data, so its answer confirms
  // nothing. The next call reads the object again.
  if (answer.version < *platform.version) {
    platform.version.reset();
    platform.unproven_value.reset();
    platform.next_call =
        now + detail::AddJitter(kMissingObjectInterval, random);
    return;
  }
  platform.version = answer.version;
  if (platform.unproven_value) {
    const auto value = std::move(*platform.unproven_value);
    platform.unproven_value.reset();
    detail::PutConfigurationInForceIfNewer(store, value, true, now, random,
                                           actions);
  } else if (store.in_force) {
    store.last_confirmed = now;
  }
}

}  // namespace

namespace detail {

auto CallPlatformWhenDue(ConfigurationStore& store,
                         TimePoint now,
                         Random& random,
                         ConfigurationActions& actions) -> void {
  auto& platform = store.platform;
  if (platform.is_call_outstanding || now < platform.next_call ||
      !ShouldCallPlatform(store, now)) {
    return;
  }
  if (!TakePlatformCallToken(platform, now)) {
    ++store.counters.budget_waits;
    platform.next_call = now + AddJitter(kInitialBackoff, random);
    return;
  }
  platform.is_call_outstanding = true;
  ++store.counters.platform_calls;
  if (!platform.version) {
    actions.push_back(ReadConfigurationObject{});
    return;
  }
  actions.push_back(WatchConfigurationObject{
      .from = *platform.version,
      .timeout = platform.unproven_value ? std::chrono::milliseconds{0}
                                         : kPlatformWatchTimeout});
}

}  // namespace detail

auto OnPlatformAnswer(ConfigurationStore& store,
                      const PlatformAnswer& answer,
                      TimePoint now,
                      Random& random,
                      ConfigurationActions& actions) -> void {
  auto& platform = store.platform;
  platform.is_call_outstanding = false;
  if (!answer.was_answered) {
    ++store.counters.platform_failures;
    BackOffPlatformCalls(platform, now, random);
    return;
  }
  platform.backoff = Duration{0};
  platform.next_call = now;
  if (answer.history_expired) {
    platform.version.reset();
    platform.unproven_value.reset();
    platform.next_call = now + detail::AddJitter(kInitialBackoff, random);
  } else if (answer.value) {
    HandlePlatformAnswerWithValue(store, answer, now, random, actions);
  } else {
    HandlePlatformAnswerWithoutValue(store, answer, now, random, actions);
  }
}

auto IsPlatformWatcher(const ConfigurationStore& store) -> bool {
  return store.is_platform_watcher;
}

}  // namespace hawthornbank
