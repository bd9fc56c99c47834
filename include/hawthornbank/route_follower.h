#ifndef HAWTHORNBANK_ROUTE_FOLLOWER_H_
#define HAWTHORNBANK_ROUTE_FOLLOWER_H_

#include <cstdint>

#include "hawthornbank/random.h"
#include "hawthornbank/types.h"

/// @file
/// When a process asks whom for newer routes.
///
/// Load pattern: changes in quick succession, a store that is down, slow,
/// silent, or that turns this host away while it serves others. A waiting
/// watch is the usual way; peers that have a newer version are asked when the
/// watch hasn't brought it.
namespace hawthornbank {

/// Whom to ask.
enum class FollowCall : std::uint8_t { kNone, kList, kWatch };

/// Limits of following.
struct RouteFollowerOptions {
  /// How long the store holds a watch. Its end shows that the store is there.
  Duration watch_time = std::chrono::seconds{25};
  /// Longest time for an answer. Covers a store that is fifty times slower
  /// than its usual 4 ms.
  Duration answer_time = std::chrono::milliseconds{1200};
  Duration first_retry = std::chrono::milliseconds{120};
  Duration last_retry = std::chrono::milliseconds{900};
  /// Time for the watch to bring a version that a peer already has.
  Duration peer_wait = std::chrono::milliseconds{150};
};

/// What a process knows of the store and its peers.
struct RouteFollower {
  RouteFollowerOptions options;
  std::uint64_t revision = 0;  ///< Where the watch goes on; 0: list first.
  bool calling = false;        ///< A call to the store is under way.
  std::uint32_t failures = 0;  ///< In a row.
  TimePoint retry_at{};
  std::uint64_t peer_version = 0;  ///< Newest that a peer has.
  Endpoint peer;                   ///< Who has it.
  TimePoint peer_since{};          ///< When that was first heard.
  TimePoint peer_retry_at{};
};

/// Chooses the next call to the store.
/// @param follower What is known.
/// @param now The present instant.
/// @return What to ask; `calling` is set unless it is kNone.
auto NextStoreCall(RouteFollower& follower, TimePoint now) -> FollowCall;

/// Notes the store's answer.
/// @param follower What is known.
/// @param revision The store's revision.
auto OnStoreAnswer(RouteFollower& follower, std::uint64_t revision) -> void;

/// Notes that the history at `revision` is gone; the objects are listed next.
/// @param follower What is known.
auto OnHistoryGone(RouteFollower& follower) -> void;

/// Notes that the store refused a call or didn't answer.
/// @param follower What is known.
/// @param now The present instant.
/// @param random Spreads retries of many processes.
auto OnStoreFailure(RouteFollower& follower, TimePoint now, Random& random)
    -> void;

/// Notes the version that a peer has in force.
/// @param follower What is known.
/// @param peer Who has it.
/// @param version Its version.
/// @param in_force The own version.
/// @param now The present instant.
auto OnPeerVersion(RouteFollower& follower,
                   Endpoint peer,
                   std::uint64_t version,
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
