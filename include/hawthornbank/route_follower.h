#ifndef HAWTHORNBANK_ROUTE_FOLLOWER_H_
#define HAWTHORNBANK_ROUTE_FOLLOWER_H_

#include <cstddef>
#include <cstdint>

#include "hawthornbank/random.h"
#include "hawthornbank/types.h"

/// @file
/// Decides when a process asks the store or a peer for newer routes.
///
/// Load pattern: changes in quick succession; a store that is down, slow or
/// silent, that refuses this host while it serves others, or whose watches
/// deliver nothing while reads work. A process therefore polls the store's
/// revision, which is a small reply, and reads the routes only when the
/// revision has changed. Each announcement carries the time since the sender's
/// routes were confirmed as the newest. A balancer polls when this time reaches
/// a limit that grows with the balancer's rank, so the other balancers poll
/// only when the first-ranked balancer doesn't.
namespace hawthornbank {

/// Next call to the store.
enum class StoreCall : std::uint8_t { kNone, kRevision, kRoutes };

/// Intervals, delays and timeouts of a route follower.
struct RouteFollowerOptions {
  /// Time since the last confirmation of the routes after which the
  /// first-ranked balancer polls. A change must be in force within three
  /// seconds.
  Duration first_poll_age = std::chrono::milliseconds{800};
  /// Delay added for the second-ranked balancer: one announcement interval and
  /// the network delay.
  Duration second_rank_extra = std::chrono::milliseconds{500};
  /// Delay added for each further rank.
  Duration further_rank_extra = std::chrono::milliseconds{100};
  /// Maximum delay added for any rank.
  Duration max_rank_extra = std::chrono::milliseconds{1000};
  /// Timeout of a call to the store. Allows for a store that is a hundred times
  /// slower than its usual 4 ms.
  Duration store_timeout = std::chrono::milliseconds{700};
  Duration min_retry_delay = std::chrono::milliseconds{150};
  Duration max_retry_delay = std::chrono::milliseconds{900};
  /// Interval between two requests to peers.
  Duration peer_retry_interval = std::chrono::milliseconds{300};
};

/// What a process knows of the routes of the store and of its peers.
struct RouteFollower {
  RouteFollowerOptions options;
  std::uint64_t revision = 0;  ///< Revision of the routes that were last read.
  bool is_current = false;     ///< The store's last reply had `revision`.
  bool has_call_in_flight = false;  ///< A call to the store is in flight.
  TimePoint store_call_started_at{};
  TimePoint confirmed_at{};  ///< When the routes were last confirmed as newest.
  std::uint32_t failures = 0;  ///< Number of consecutive failed store calls.
  TimePoint store_retry_at{};
  std::uint64_t peer_version = 0;  ///< Newest routes version of any peer.
  Endpoint peer;                   ///< The peer that has `peer_version`.
  TimePoint peer_retry_at{};
};

/// Chooses the call to the store that is due, and records the call as in
/// flight.
/// @param follower State of the follower.
/// @param rank Number of balancers that poll before this one.
/// @param now Current time.
/// @return The call to make now; kNone if none is due.
auto BeginStoreCallIfDue(RouteFollower& follower,
                         std::size_t rank,
                         TimePoint now) -> StoreCall;

/// Handles the store's reply to a call for the store's revision.
/// @param follower State of the follower.
/// @param revision The store's revision.
auto OnStoreRevision(RouteFollower& follower, std::uint64_t revision) -> void;

/// Handles the store's reply to a call for the routes.
/// @param follower State of the follower.
/// @param revision The store's revision at the time of the reply.
auto OnStoreRoutes(RouteFollower& follower, std::uint64_t revision) -> void;

/// Handles a call that the store refused or didn't reply to; schedules a retry.
/// @param follower State of the follower.
/// @param now Current time.
/// @param random Random number generator for the jitter of the retries.
auto OnStoreFailure(RouteFollower& follower, TimePoint now, Random& random)
    -> void;

/// Handles a peer's report of the routes that the peer has in force.
/// @param follower State of the follower.
/// @param peer Address of the peer.
/// @param version Version of the peer's routes.
/// @param age Time since `version` was confirmed as the newest.
/// @param in_force Version of the routes that this process has in force.
/// @param now Current time.
auto OnPeerRoutesVersion(RouteFollower& follower,
                         Endpoint peer,
                         std::uint64_t version,
                         Duration age,
                         std::uint64_t in_force,
                         TimePoint now) -> void;

/// Tells whether to fetch newer routes from the follower's `peer` now, and
/// schedules the next attempt.
/// @param follower State of the follower.
/// @param in_force Version of the routes that this process has in force.
/// @param now Current time.
/// @return Whether to fetch; the next attempt is then due after
///   `peer_retry_interval`.
auto BeginPeerFetchIfDue(RouteFollower& follower,
                         std::uint64_t in_force,
                         TimePoint now) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ROUTE_FOLLOWER_H_
