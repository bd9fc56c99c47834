#ifndef HAWTHORNBANK_ROUTE_FOLLOWER_H_
#define HAWTHORNBANK_ROUTE_FOLLOWER_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "hawthornbank/gossip_plan.h"
#include "hawthornbank/pending_calls.h"
#include "hawthornbank/random.h"
#include "hawthornbank/route_history.h"
#include "hawthornbank/store_position.h"
#include "hawthornbank/types.h"

/// @file
/// Decides when a process asks the store or a peer for newer routes.
///
/// Load pattern: changes in quick succession; a store that returns from a copy
/// with the same revision and other routes; a store that is down, slow or
/// silent, that refuses this host while it serves others, or whose watches
/// deliver nothing while reads work. A process therefore polls the store's
/// revision, which is a small reply, and reads the routes only when the
/// revision has changed. How long a call is waited for follows from
/// pending_calls.h. Routes that are arriving are not requested a second time
/// from another source, as both transfers would share the host's link. A
/// balancer that has polled tells others at once, and its message carries the
/// time since its routes were confirmed as the newest. A balancer polls when
/// this time reaches a limit that grows with the balancer's rank, so the other
/// balancers poll only when the first-ranked balancer doesn't. A balancer that
/// starts waits for its peers' routes first, unless it finds no peer.
///
/// Where the operator takes availability zones out of service, each poll also
/// lists these zones: the list is as small as the reply that tells the revision
/// alone. The zones are then always read before the routes, so that a
/// confirmation of both dates from the start of the poll. After a poll that
/// failed the routes are read without, and polls go on between them, so that
/// neither waits for the other while the store serves only one of the two.
namespace hawthornbank {

/// What a call to the store reads.
enum class StoreCallKind : std::uint8_t { kNone, kRevision, kRoutes };

/// A call to the store.
struct StoreCall {
  StoreCallKind kind = StoreCallKind::kNone;
  CallId id = 0;  ///< The call in RouteFollower::store_calls; 0 for kNone.
};

/// Intervals, delays and timeouts of a route follower.
struct RouteFollowerOptions {
  /// Time since the last confirmation of the routes after which the
  /// first-ranked balancer polls. A change must be in force within three
  /// seconds.
  Duration first_poll_age = std::chrono::milliseconds{800};
  /// Delay added for the first balancer of the second zone: a slow reply of the
  /// store and the network delay.
  Duration second_rank_extra = std::chrono::milliseconds{500};
  /// Delay added for each further zone and each further balancer of a zone.
  Duration further_rank_extra = std::chrono::milliseconds{100};
  /// Delay added for balancers that aren't the first of their zone: the first
  /// tells them what another zone's first balancer has told it.
  Duration in_zone_extra = std::chrono::milliseconds{600};
  /// Maximum delay added for any rank.
  Duration max_rank_extra = std::chrono::milliseconds{1000};
  /// Time after the process's start in which seeds can answer, before the first
  /// call to the store.
  Duration seed_reply_time = std::chrono::milliseconds{40};
  /// Delay of the first call added for each balancer of the zone and each zone
  /// that precede this balancer, and its maximum.
  Duration start_rank_extra = std::chrono::milliseconds{10};
  Duration max_start_extra = std::chrono::milliseconds{150};
  Duration min_retry_delay = std::chrono::milliseconds{150};
  Duration max_retry_delay = std::chrono::milliseconds{900};
  /// The same for balancers that aren't the first of their zone, which learn
  /// from the first that the store is back.
  Duration max_in_zone_retry_delay = std::chrono::milliseconds{2500};
  /// Minimum interval between the starts of two fetches from peers.
  Duration peer_retry_interval = std::chrono::milliseconds{300};
};

/// What a process knows of the routes of the store and of its peers.
struct RouteFollower {
  RouteFollowerOptions options;
  StorePosition position;    ///< Of the routes that were last read.
  bool is_current = false;   ///< The store's last reply had `position`.
  bool lists_zones = false;  ///< Polls list the zones out of service.
  /// Position of the newest answer of the store.
  StorePosition newest_position;
  /// Number of times that the store returned from a copy.
  std::uint64_t store_losses = 0;
  /// The store's last reply had another position, so the routes must be read.
  bool must_read_routes = false;
  TimePoint started{};  ///< When the process started.
  /// Interval at which balancers that poll tell their zone, if longer than
  /// `first_poll_age`; the limits of the others grow with it.
  Duration news_interval{};
  TimePoint news_sent_at{};  ///< When this process last told its zone.
  /// Calls to the store. The silence timeout allows for a store that is a
  /// hundred times slower than its usual 4 ms.
  PendingCalls store_calls;
  /// Start of the latest call that the store has answered.
  TimePoint answered_call_started_at{};
  TimePoint confirmed_at{};  ///< When the routes were last confirmed as newest.
  /// Number of store calls that failed or became late since the last answer.
  std::uint32_t failures = 0;
  /// While polls list zones: the next call reads the routes.
  bool is_routes_turn = false;
  StoreCallKind last_call = StoreCallKind::kNone;
  /// Kind of the call that failed last; kNone once such a call was answered.
  StoreCallKind failed_call = StoreCallKind::kNone;
  /// Number of answers to calls of the other kind while `failed_call` fails.
  std::uint32_t partial_answers = 0;
  /// Start of the latest answered poll.
  TimePoint polled_at{};
  bool is_zone_reader = true;  ///< First of its zone at the last store call.
  TimePoint store_retry_at{};
  std::uint64_t peer_version = 0;  ///< Newest routes version of any peer.
  Endpoint peer;                   ///< The peer that has `peer_version`.
  /// When `peer_version` was last confirmed as the newest version.
  TimePoint peer_confirmed_at{};
  TimePoint peer_retry_at{};
  /// Fetches from peers. Another peer is asked sooner than the store is called
  /// again, because most peers that report a version are up.
  PendingCalls peer_fetches{
      .options = {.silence_timeout = std::chrono::milliseconds{300},
                  .give_up_timeout = std::chrono::seconds{3},
                  .max_late_calls = 1}};
};

/// Chooses the call to the store that is due, and records the call as pending.
/// @param follower State of the follower.
/// @param rank Place of this balancer among those that read the store.
/// @param now Current time.
/// @return The call to make now; of kind kNone if none is due.
auto BeginStoreCallIfDue(RouteFollower& follower,
                         const ReaderRank& rank,
                         TimePoint now) -> StoreCall;

/// Handles the store's reply to a call for the store's revision. The reply to a
/// call that started before one that is already answered changes nothing.
/// @param follower State of the follower.
/// @param id The call.
/// @param position The store's position. An answer of an earlier era than a
///   known one confirms nothing; the routes are then read with each call.
/// @return Whether the answer is the newest, so that the zones in it count.
auto OnStoreRevision(RouteFollower& follower, CallId id, StorePosition position)
    -> bool;

/// Handles the store's reply to a call for the routes, as OnStoreRevision()
/// does.
/// @param follower State of the follower.
/// @param id The call.
/// @param position The store's position at the time of the reply.
auto OnStoreRoutes(RouteFollower& follower, CallId id, StorePosition position)
    -> void;

/// Handles a call that the store refused or that can't be answered any more;
/// schedules a retry, unless the call was late and another has been scheduled.
/// @param follower State of the follower.
/// @param id The call.
/// @param now Current time.
/// @param random Random number generator for the jitter of the retries.
auto OnStoreFailure(RouteFollower& follower,
                    CallId id,
                    TimePoint now,
                    Random& random) -> void;

/// Finds calls to the store that have become late; schedules a call beside
/// them.
/// @param follower State of the follower.
/// @param now Current time.
/// @param random Random number generator for the jitter of the retries.
/// @return The calls that became late and those to cancel.
auto MarkLateStoreCalls(RouteFollower& follower, TimePoint now, Random& random)
    -> LateCalls;

/// Handles a peer's report of the routes that the peer has in force.
/// @param follower State of the follower.
/// @param peer Address of the peer.
/// @param version Version of the peer's routes.
/// @param age Time since `version` was confirmed as the newest.
/// @param in_force Version of the routes that this process has in force.
/// @param now Current time.
/// @return Whether the report confirmed the routes in force at a later time
/// than
///   was known.
auto OnPeerRoutesVersion(RouteFollower& follower,
                         Endpoint peer,
                         std::uint64_t version,
                         Duration age,
                         std::uint64_t in_force,
                         TimePoint now) -> bool;

/// Handles routes that were fetched from a peer and put in force.
/// @param follower State of the follower.
/// @param version Version of the routes.
auto OnPeerRoutesInForce(RouteFollower& follower, std::uint64_t version)
    -> void;

/// Tells whether to tell other balancers now that the routes are current, and
/// records that they are told. New routes are told at once by the caller.
/// @param follower State of the follower.
/// @param now Current time.
/// @return Whether to tell them; at most once in the news interval.
auto BeginRoutesNewsIfDue(RouteFollower& follower, TimePoint now) -> bool;

/// Computes how old the confirmation of routes gets between two messages of the
/// balancer that polls the store, while no message is lost.
/// @param follower State of the follower.
/// @return The age; grows with the news interval in fleets whose balancers
///   aren't told of every poll.
auto ComputeMaxRoutesAge(const RouteFollower& follower) -> Duration;

/// Tells whether to fetch newer routes from the follower's `peer` now, and
/// records the fetch as pending. The next fetch is due after
/// `peer_retry_interval` if this one has ended or is late by then.
/// @param follower State of the follower.
/// @param in_force Version of the routes that this process has in force.
/// @param now Current time.
/// @return The fetch to make; nothing if none is due.
auto BeginPeerFetchIfDue(RouteFollower& follower,
                         std::uint64_t in_force,
                         TimePoint now) -> std::optional<CallId>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ROUTE_FOLLOWER_H_
