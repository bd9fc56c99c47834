#ifndef HAWTHORNBANK_ROUTE_FOLLOWER_H_
#define HAWTHORNBANK_ROUTE_FOLLOWER_H_

#include <cstddef>
#include <cstdint>

#include "hawthornbank/random.h"
#include "hawthornbank/types.h"

/// @file
/// When a process asks the store or a peer for newer routes.
///
/// Load pattern: changes in quick succession, a store that is down, slow or
/// silent, that turns this host away while it serves others, or whose watches
/// bring nothing while its reads are right. So the store's revision is read,
/// which is a small answer, and the routes only when it has grown. Each word
/// carries how old its knowledge is: the first of the fleet reads before the
/// others' knowledge is old enough, and they read only when it doesn't.
namespace hawthornbank {

/// What to ask the store.
enum class FollowCall : std::uint8_t { kNone, kRevision, kRoutes };

/// Limits of following.
struct RouteFollowerOptions {
  /// Age of knowledge at which the first of the fleet reads. A change is to be
  /// in force within three seconds.
  Duration read_after = std::chrono::milliseconds{800};
  /// What the second adds: an interval of announces and the way.
  Duration second_adds = std::chrono::milliseconds{500};
  /// What each further one adds.
  Duration next_adds = std::chrono::milliseconds{100};
  /// Most that the others add together.
  Duration most_added = std::chrono::milliseconds{1000};
  /// Longest time for an answer. Covers a store that is a hundred times slower
  /// than its usual 4 ms.
  Duration answer_time = std::chrono::milliseconds{700};
  Duration first_retry = std::chrono::milliseconds{150};
  Duration last_retry = std::chrono::milliseconds{900};
  /// Pause between two calls to peers.
  Duration peer_retry = std::chrono::milliseconds{300};
};

/// What a process knows of the store and its peers.
struct RouteFollower {
  RouteFollowerOptions options;
  std::uint64_t revision = 0;  ///< Of the store when the routes were read.
  bool is_current = false;     ///< No larger revision is known.
  bool calling = false;        ///< A call to the store is under way.
  TimePoint called_at{};
  TimePoint confirmed_at{};    ///< When the routes were last the newest.
  std::uint32_t failures = 0;  ///< In a row.
  TimePoint retry_at{};
  std::uint64_t peer_version = 0;  ///< Newest that a peer has.
  Endpoint peer;                   ///< Who has it.
  TimePoint peer_retry_at{};
};

/// Chooses the next call to the store.
/// @param follower What is known.
/// @param rank Balancers that read before this one.
/// @param now The present instant.
/// @return What to ask; `calling` is set unless it is kNone.
auto NextStoreCall(RouteFollower& follower, std::size_t rank, TimePoint now)
    -> FollowCall;

/// Notes the store's revision.
/// @param follower What is known.
/// @param revision The revision.
auto OnStoreRevision(RouteFollower& follower, std::uint64_t revision) -> void;

/// Notes that the store gave its routes.
/// @param follower What is known.
/// @param revision The store's revision then.
auto OnStoreRoutes(RouteFollower& follower, std::uint64_t revision) -> void;

/// Notes that the store refused a call or didn't answer.
/// @param follower What is known.
/// @param now The present instant.
/// @param random Spreads retries of many processes.
auto OnStoreFailure(RouteFollower& follower, TimePoint now, Random& random)
    -> void;

/// Notes what a peer has in force.
/// @param follower What is known.
/// @param peer Who has it.
/// @param version Its version.
/// @param age Since that was the newest.
/// @param in_force The own version.
/// @param now The present instant.
auto OnPeerVersion(RouteFollower& follower,
                   Endpoint peer,
                   std::uint64_t version,
                   Duration age,
                   std::uint64_t in_force,
                   TimePoint now) -> void;

/// Tells whether to fetch the routes from `peer` now.
/// @param follower What is known.
/// @param in_force The own version.
/// @param now The present instant.
/// @return Whether to fetch; the next try is then due later.
auto ShouldAskPeer(RouteFollower& follower,
                   std::uint64_t in_force,
                   TimePoint now) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ROUTE_FOLLOWER_H_
