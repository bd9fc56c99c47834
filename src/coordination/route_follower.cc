#include "hawthornbank/route_follower.h"

#include <algorithm>

namespace hawthornbank {
namespace {

constexpr Duration kPeerRetry = std::chrono::milliseconds{400};
constexpr std::uint32_t kMostDoublings = 8;

}  // namespace

auto NextStoreCall(RouteFollower& follower, TimePoint now) -> FollowCall {
  if (follower.calling || now < follower.retry_at) {
    return FollowCall::kNone;
  }
  follower.calling = true;
  return follower.revision == 0 ? FollowCall::kList : FollowCall::kWatch;
}

auto OnStoreAnswer(RouteFollower& follower, std::uint64_t revision) -> void {
  follower.calling = false;
  follower.failures = 0;
  follower.retry_at = {};
  follower.revision = revision;
}

auto OnHistoryGone(RouteFollower& follower) -> void {
  follower.calling = false;
  follower.revision = 0;
}

auto OnStoreFailure(RouteFollower& follower, TimePoint now, Random& random)
    -> void {
  follower.calling = false;
  const auto doublings = std::min(follower.failures, kMostDoublings);
  const Duration pause =
      std::min(follower.options.first_retry * (1U << doublings),
               follower.options.last_retry);
  ++follower.failures;
  const double share = 0.5 + NextFraction(random) / 2;
  follower.retry_at = now + Duration{static_cast<Duration::rep>(
                                static_cast<double>(pause.count()) * share)};
}

auto OnPeerVersion(RouteFollower& follower,
                   Endpoint peer,
                   std::uint64_t version,
                   std::uint64_t in_force,
                   TimePoint now) -> void {
  if (version <= in_force) {
    return;
  }
  if (follower.peer_version <= in_force) {
    follower.peer_since = now;
  }
  if (version >= follower.peer_version) {
    follower.peer_version = version;
    follower.peer = peer;
  }
}

auto ShouldAskPeer(RouteFollower& follower,
                   std::uint64_t in_force,
                   TimePoint now) -> bool {
  if (follower.peer_version <= in_force || now < follower.peer_retry_at) {
    return false;
  }
  // A process without routes has nothing to lose by asking at once.
  if (in_force != 0 && now - follower.peer_since < follower.options.peer_wait) {
    return false;
  }
  follower.peer_retry_at = now + kPeerRetry;
  return true;
}

}  // namespace hawthornbank
