#include "hawthornbank/route_follower.h"

#include <algorithm>

namespace hawthornbank {
namespace {

constexpr std::uint32_t kMaxBackoffDoublings = 8;

auto IsFirstReader(const ReaderRank& rank) -> bool {
  return rank.in_zone == 0 && rank.zones == 0;
}

// Returns the age of the last confirmation at which a balancer polls.
auto ComputeConfirmationAgeForPoll(const RouteFollower& follower,
                                   const ReaderRank& rank) -> Duration {
  const RouteFollowerOptions& options = follower.options;
  if (IsFirstReader(rank)) {
    return options.first_poll_age;
  }
  const Duration extra =
      rank.in_zone == 0
          ? options.second_rank_extra +
                options.further_rank_extra * static_cast<int>(rank.zones - 1)
          : options.in_zone_extra +
                options.further_rank_extra * static_cast<int>(rank.in_zone);
  return std::max(options.first_poll_age, follower.news_interval) +
         std::min(extra, options.max_rank_extra);
}

// Returns whether a starting balancer still waits for its peers' routes.
auto IsWaitingForPeers(const RouteFollower& follower,
                       const ReaderRank& rank,
                       TimePoint now) -> bool {
  const RouteFollowerOptions& options = follower.options;
  const Duration extra =
      options.start_rank_extra * static_cast<int>(rank.in_zone + rank.zones);
  return now < follower.started + options.seed_reply_time +
                   std::min(extra, options.max_start_extra);
}

// Returns whether the next call reads the routes. A store that serves only
// polls or only the routes is asked for both in turn.
auto MustReadRoutesNext(const RouteFollower& follower) -> bool {
  return follower.lists_zones ? follower.is_routes_turn : !follower.is_current;
}

// Records a failed or late call. While polls list zones, the next call is of
// the other kind.
auto RecordFailedCall(RouteFollower& follower) -> void {
  follower.failed_call = follower.last_call;
  follower.is_routes_turn = follower.last_call == StoreCallKind::kRevision;
}

// Ends the back-off after an answer, or limits the rate of calls while calls of
// the other kind still fail.
auto RecordAnsweredCall(RouteFollower& follower,
                        StoreCallKind kind,
                        TimePoint started) -> void {
  if (follower.lists_zones && follower.failed_call != StoreCallKind::kNone &&
      follower.failed_call != kind) {
    const auto doublings =
        std::min(follower.partial_answers++, kMaxBackoffDoublings);
    follower.store_retry_at =
        started + std::min(follower.options.min_retry_delay * (1U << doublings),
                           follower.options.max_retry_delay);
    return;
  }
  follower.failed_call = StoreCallKind::kNone;
  follower.partial_answers = 0;
  follower.failures = 0;
  follower.store_retry_at = {};
}

auto ScheduleStoreRetry(RouteFollower& follower, TimePoint now, Random& random)
    -> void {
  const auto doublings = std::min(follower.failures, kMaxBackoffDoublings);
  const Duration delay = std::min(
      follower.options.min_retry_delay * (1U << doublings),
      follower.is_zone_reader ? follower.options.max_retry_delay
                              : follower.options.max_in_zone_retry_delay);
  ++follower.failures;
  const double jitter_factor = 0.5 + DrawRandomFraction(random) / 2;
  follower.store_retry_at =
      now + Duration{static_cast<Duration::rep>(
                static_cast<double>(delay.count()) * jitter_factor)};
}

// Ends an answered call. Returns whether the answer is the newest: replies to
// several calls may arrive in any order. After a loss of changes in the store,
// the routes that were read before have no position.
auto BeginStoreAnswer(RouteFollower& follower,
                      CallId id,
                      StoreCallKind kind,
                      const StorePosition& position) -> bool {
  const auto call = EndPendingCall(follower.store_calls, id);
  if (!call.has_value()) {
    return false;
  }
  RecordAnsweredCall(follower, kind, call->started);
  if (call->started < follower.answered_call_started_at) {
    return false;
  }
  follower.answered_call_started_at = call->started;
  follower.is_routes_turn = kind == StoreCallKind::kRevision;
  if (position.era < follower.newest_position.era) {
    // The store's positions can't be compared any more, so the routes are read
    // with each call; their version decides whether they are newer.
    follower.is_current = false;
    follower.store_retry_at = call->started + follower.options.max_retry_delay;
    return false;
  }
  if (HasStoreLostChanges(follower.newest_position, position)) {
    ++follower.store_losses;
    follower.position = {};
  }
  follower.newest_position = position;
  if (kind == StoreCallKind::kRevision) {
    follower.polled_at = call->started;
  }
  return true;
}

auto ComparePosition(RouteFollower& follower, const StorePosition& position)
    -> void {
  follower.is_current = position == follower.position;
  follower.must_read_routes = !follower.is_current;
  if (follower.is_current) {
    follower.confirmed_at =
        std::max(follower.confirmed_at,
                 follower.lists_zones ? follower.polled_at
                                      : follower.answered_call_started_at);
  }
}

}  // namespace

auto BeginStoreCallIfDue(RouteFollower& follower,
                         const ReaderRank& rank,
                         TimePoint now) -> StoreCall {
  const bool is_due = follower.must_read_routes ||
                      now - follower.confirmed_at >=
                          ComputeConfirmationAgeForPoll(follower, rank);
  if (!is_due || HasCallInTime(follower.store_calls) ||
      now < follower.store_retry_at || IsWaitingForPeers(follower, rank, now)) {
    return {};
  }
  const bool reads_routes = MustReadRoutesNext(follower);
  if (reads_routes && IsResponseArriving(follower.peer_fetches)) {
    return {};
  }
  follower.is_zone_reader = rank.in_zone == 0;
  follower.last_call =
      reads_routes ? StoreCallKind::kRoutes : StoreCallKind::kRevision;
  return StoreCall{.kind = follower.last_call,
                   .id = StartPendingCall(follower.store_calls, now)};
}

auto OnStoreRevision(RouteFollower& follower, CallId id, StorePosition position)
    -> bool {
  if (!BeginStoreAnswer(follower, id, StoreCallKind::kRevision, position)) {
    return false;
  }
  ComparePosition(follower, position);
  follower.is_routes_turn = follower.must_read_routes;
  return true;
}

auto OnStoreRoutes(RouteFollower& follower, CallId id, StorePosition position)
    -> void {
  if (BeginStoreAnswer(follower, id, StoreCallKind::kRoutes, position)) {
    follower.position = position;
    ComparePosition(follower, position);
  }
}

auto OnStoreFailure(RouteFollower& follower,
                    CallId id,
                    TimePoint now,
                    Random& random) -> void {
  const auto call = EndPendingCall(follower.store_calls, id);
  if (call.has_value() && !call->is_late) {
    RecordFailedCall(follower);
    ScheduleStoreRetry(follower, now, random);
  }
}

auto MarkLateStoreCalls(RouteFollower& follower, TimePoint now, Random& random)
    -> LateCalls {
  LateCalls changes = MarkLateCalls(follower.store_calls, now);
  if (!changes.late.empty()) {
    RecordFailedCall(follower);
    ScheduleStoreRetry(follower, now, random);
  }
  return changes;
}

auto OnPeerRoutesVersion(RouteFollower& follower,
                         Endpoint peer,
                         std::uint64_t version,
                         Duration age,
                         std::uint64_t in_force,
                         TimePoint now) -> bool {
  if (version == 0 || version < in_force) {
    return false;
  }
  if (version == in_force) {
    const bool is_later = now - age > follower.confirmed_at;
    follower.confirmed_at = std::max(follower.confirmed_at, now - age);
    return is_later;
  }
  if (version >= follower.peer_version) {
    follower.peer_version = version;
    follower.peer = peer;
    follower.peer_confirmed_at = now - age;
  }
  return false;
}

auto OnPeerRoutesInForce(RouteFollower& follower, std::uint64_t version)
    -> void {
  if (version == follower.peer_version) {
    follower.confirmed_at =
        std::max(follower.confirmed_at, follower.peer_confirmed_at);
  }
}

auto BeginRoutesNewsIfDue(RouteFollower& follower, TimePoint now) -> bool {
  if (now - follower.news_sent_at < follower.news_interval) {
    return false;
  }
  follower.news_sent_at = now;
  return true;
}

auto ComputeMaxRoutesAge(const RouteFollower& follower) -> Duration {
  const bool is_each_poll_told =
      follower.news_interval <= follower.options.first_poll_age;
  return is_each_poll_told ? kMaxRoutesAge
                           : kMaxRoutesAge + follower.news_interval;
}

auto BeginPeerFetchIfDue(RouteFollower& follower,
                         std::uint64_t in_force,
                         TimePoint now) -> std::optional<CallId> {
  if (follower.peer_version <= in_force || now < follower.peer_retry_at ||
      HasCallInTime(follower.peer_fetches) ||
      IsResponseArriving(follower.store_calls)) {
    return std::nullopt;
  }
  follower.peer_retry_at = now + follower.options.peer_retry_interval;
  return StartPendingCall(follower.peer_fetches, now);
}

}  // namespace hawthornbank
