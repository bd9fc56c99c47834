#include "hawthornbank/route_follower.h"

#include <algorithm>

namespace hawthornbank {
namespace {

constexpr std::uint32_t kMostDoublings = 8;

auto ReadAfter(const RouteFollowerOptions& options, std::size_t rank)
    -> Duration {
  if (rank == 0) {
    return options.read_after;
  }
  const Duration added =
      options.second_adds + options.next_adds * static_cast<int>(rank - 1);
  return options.read_after + std::min(added, options.most_added);
}

}  // namespace

auto NextStoreCall(RouteFollower& follower, std::size_t rank, TimePoint now)
    -> FollowCall {
  if (follower.calling || now < follower.retry_at) {
    return FollowCall::kNone;
  }
  auto call = FollowCall::kNone;
  if (!follower.is_current) {
    call = FollowCall::kRoutes;
  } else if (now - follower.confirmed_at >= ReadAfter(follower.options, rank)) {
    call = FollowCall::kRevision;
  }
  if (call != FollowCall::kNone) {
    follower.calling = true;
    follower.called_at = now;
  }
  return call;
}

auto OnStoreRevision(RouteFollower& follower, std::uint64_t revision) -> void {
  follower.calling = false;
  follower.failures = 0;
  follower.is_current = revision == follower.revision;
  if (follower.is_current) {
    follower.confirmed_at = std::max(follower.confirmed_at, follower.called_at);
  }
}

auto OnStoreRoutes(RouteFollower& follower, std::uint64_t revision) -> void {
  follower.revision = revision;
  OnStoreRevision(follower, revision);
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
                   Duration age,
                   std::uint64_t in_force,
                   TimePoint now) -> void {
  if (version == 0 || version < in_force) {
    return;
  }
  if (version == in_force) {
    follower.confirmed_at = std::max(follower.confirmed_at, now - age);
    return;
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
  follower.peer_retry_at = now + follower.options.peer_retry;
  return true;
}

}  // namespace hawthornbank
