#include <algorithm>

#include "membership_internal.h"

namespace hawthornbank::detail {
namespace {

/// Maximum of Membership::local_health_penalty, in steps.
constexpr std::uint32_t kMaxLocalHealthPenalty = 3;
/// Delay of a tick beyond which the local health penalty rises.
constexpr Duration kMaxTickLateness = std::chrono::milliseconds{500};
/// Time without a late tick after which the local health penalty falls by one
/// step.
constexpr Duration kLocalHealthRecoveryTime = std::chrono::seconds{5};
/// Minimum number of watched members from which a fault of the watcher itself
/// can be inferred.
constexpr std::size_t kMinWatchedForLocalHealth = 4;

}  // namespace

auto AreMostWatchedMembersSilent(const Membership& membership, TimePoint now)
    -> bool {
  // A member counts as silent one probe interval before suspect_timeout, when
  // at least two probes could have been answered. So random packet loss has
  // little effect.
  const auto after =
      membership.options.suspect_timeout - membership.options.probe_interval;
  std::size_t watched = 0;
  std::size_t silent = 0;
  const auto add = [&](const MemberStatus& status) {
    ++watched;
    silent += now - status.last_contact > after ? 1 : 0;
  };
  for (const auto id : membership.watched_targets) {
    const auto it = membership.targets.find(id);
    if (it != membership.targets.end() &&
        it->second.record.state < TargetState::kSuspect) {
      add(it->second.status);
    }
  }
  for (const auto id : membership.watched_balancers) {
    const auto it = membership.balancers.find(id);
    if (it != membership.balancers.end() &&
        it->second.record.state < BalancerState::kSuspect) {
      add(it->second.status);
    }
  }
  return watched >= kMinWatchedForLocalHealth && silent * 2 > watched;
}

auto HasReceiveTimedOut(const Membership& membership, TimePoint now) -> bool {
  return now - membership.last_received > membership.options.probe_timeout;
}

auto RaiseLocalHealthPenalty(Membership& membership, TimePoint now) -> void {
  if (now - membership.local_health_penalty_changed >
      membership.options.heartbeat_interval) {
    membership.local_health_penalty =
        std::min(membership.local_health_penalty + 1, kMaxLocalHealthPenalty);
    membership.local_health_penalty_changed = now;
  }
}

auto UpdateLocalHealthPenalty(Membership& membership,
                              TimePoint now,
                              Actions& out) -> void {
  const Duration expected = membership.options.tick_interval;
  if (now - membership.last_tick <= expected + kMaxTickLateness) {
    if (membership.local_health_penalty > 0 &&
        now - membership.local_health_penalty_changed >
            kLocalHealthRecoveryTime) {
      --membership.local_health_penalty;
      membership.local_health_penalty_changed = now;
    }
    return;
  }
  membership.local_health_penalty =
      std::min(membership.local_health_penalty + 1, kMaxLocalHealthPenalty);
  membership.local_health_penalty_changed = now;
  AppendCountEventAction(MembershipEvent::kLocalHealthWorsened, out);
  // Heartbeats missed during the delay of the tick do not show a failure of the
  // senders, so all silence timers restart.
  for (auto& [id, it] : membership.targets) {
    it.status.last_contact = now;
  }
  for (auto& [id, it] : membership.balancers) {
    it.status.last_contact = now;
  }
  for (auto& [id, it] : membership.zones) {
    it.last_advanced = now;
  }
}

}  // namespace hawthornbank::detail
