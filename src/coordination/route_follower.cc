#include "hawthornbank/route_follower.h"

#include <algorithm>

namespace hawthornbank {
namespace {

constexpr std::uint32_t kMaxBackoffDoublings = 8;

auto ComputeConfirmationAgeForPoll(const RouteFollowerOptions& options,
                                   std::size_t rank) -> Duration {
  if (rank == 0) {
    return options.first_poll_age;
  }
  const Duration extra =
      options.second_rank_extra +
      options.further_rank_extra * static_cast<int>(rank - 1);
  return options.first_poll_age + std::min(extra, options.max_rank_extra);
}

}  // namespace

auto BeginStoreCallIfDue(RouteFollower& follower,
                         std::size_t rank,
                         TimePoint now) -> StoreCall {
  if (follower.has_call_in_flight || now < follower.store_retry_at) {
    return StoreCall::kNone;
  }
  auto call = StoreCall::kNone;
  if (!follower.is_current) {
    call = StoreCall::kRoutes;
  } else if (now - follower.confirmed_at >=
             ComputeConfirmationAgeForPoll(follower.options, rank)) {
    call = StoreCall::kRevision;
  }
  if (call != StoreCall::kNone) {
    follower.has_call_in_flight = true;
    follower.store_call_started_at = now;
  }
  return call;
}

auto OnStoreRevision(RouteFollower& follower, std::uint64_t revision) -> void {
  follower.has_call_in_flight = false;
  follower.failures = 0;
  follower.is_current = revision == follower.revision;
  if (follower.is_current) {
    follower.confirmed_at =
        std::max(follower.confirmed_at, follower.store_call_started_at);
  }
}

auto OnStoreRoutes(RouteFollower& follower, std::uint64_t revision) -> void {
  follower.revision = revision;
  OnStoreRevision(follower, revision);
}

auto OnStoreFailure(RouteFollower& follower, TimePoint now, Random& random)
    -> void {
  follower.has_call_in_flight = false;
  const auto doublings = std::min(follower.failures, kMaxBackoffDoublings);
  const Duration delay =
      std::min(follower.options.min_retry_delay * (1U << doublings),
               follower.options.max_retry_delay);
  ++follower.failures;
  const double jitter_factor = 0.5 + DrawRandomFraction(random) / 2;
  follower.store_retry_at =
      now + Duration{static_cast<Duration::rep>(
                static_cast<double>(delay.count()) * jitter_factor)};
}

auto OnPeerRoutesVersion(RouteFollower& follower,
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

auto BeginPeerFetchIfDue(RouteFollower& follower,
                         std::uint64_t in_force,
                         TimePoint now) -> bool {
  if (follower.peer_version <= in_force || now < follower.peer_retry_at) {
    return false;
  }
  follower.peer_retry_at = now + follower.options.peer_retry_interval;
  return true;
}

}  // namespace hawthornbank
