#include "hawthornbank/route_follower.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "hawthornbank/routes.h"

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};
const Endpoint kPeer{.address = 0x0A000002, .port = 7000};

constexpr ReaderRank kFirst;
constexpr ReaderRank kSecondZone{.zones = 1};
constexpr ReaderRank kSecondInZone{.in_zone = 1};

// Creates a follower that read the routes at revision 7 at time kNow.
auto MakeFollower() -> RouteFollower {
  RouteFollower follower;
  const auto call = BeginStoreCallIfDue(follower, kFirst, kNow);
  OnStoreRoutes(follower, call.id, {.revision = 7});
  return follower;
}

}  // namespace

TEST_GROUP(RouteFollower) {
  Random random{1};
};

TEST(RouteFollower, ProcessWithoutRoutesReadsThemAtOnce) {
  RouteFollower follower;
  CHECK(BeginStoreCallIfDue(follower, ReaderRank{.in_zone = 9}, kNow).kind ==
        StoreCallKind::kRoutes);
  CHECK(BeginStoreCallIfDue(follower, ReaderRank{.in_zone = 9}, kNow).kind ==
        StoreCallKind::kNone);
}

// Load pattern of the fault platform_compact: a watch of the store delivered
// nothing for six seconds, but reads worked.
TEST(RouteFollower, FirstRankedBalancerPollsTheRevisionWithinASecond) {
  RouteFollower follower = MakeFollower();
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 790ms).kind ==
        StoreCallKind::kNone);
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 800ms).kind ==
        StoreCallKind::kRevision);
  OnStoreRevision(follower, follower.store_calls.last_id, {.revision = 8});
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 810ms).kind ==
        StoreCallKind::kRoutes);
}

// The first-ranked balancer polls every 0.8 s and tells the others at once,
// after at most 0.4 s for a slow reply of the store.
TEST(RouteFollower, OtherBalancersPollOnlyWhenTheFirstIsSilent) {
  for (const ReaderRank& rank : {kSecondZone, kSecondInZone}) {
    RouteFollower second = MakeFollower();
    for (auto at = 0ms; at < 20s; at += 1200ms) {
      CHECK(BeginStoreCallIfDue(second, rank, kNow + at).kind ==
            StoreCallKind::kNone);
      OnPeerRoutesVersion(second, kPeer, 5, 0ms, 5, kNow + at);
    }
    CHECK(BeginStoreCallIfDue(second, rank, kNow + 20s + 1300ms).kind ==
          StoreCallKind::kRevision);
  }
}

// Load pattern: the first balancer of the fleet died. The first balancer of the
// next zone polls before the others, which it then tells.
TEST(RouteFollower, FirstBalancersOfOtherZonesPollBeforeTheRest) {
  RouteFollower second_zone = MakeFollower();
  RouteFollower in_zone = MakeFollower();
  CHECK(BeginStoreCallIfDue(in_zone, kSecondInZone, kNow + 1300ms).kind ==
        StoreCallKind::kNone);
  CHECK(BeginStoreCallIfDue(second_zone, kSecondZone, kNow + 1300ms).kind ==
        StoreCallKind::kRevision);
}

TEST(RouteFollower, AllBalancersPollWithin1800Ms) {
  for (std::size_t in_zone = 0; in_zone < 100; ++in_zone) {
    for (std::size_t zones = 0; zones < 6; ++zones) {
      RouteFollower follower = MakeFollower();
      CHECK(BeginStoreCallIfDue(follower, {.in_zone = in_zone, .zones = zones},
                                kNow + 1800ms)
                .kind == StoreCallKind::kRevision);
    }
  }
}

// Load pattern: zones of a hundred balancers, which the first balancer tells
// that the routes are current every 3.5 s only, to bound its traffic.
TEST(RouteFollower, LimitsGrowWithTheIntervalOfTheNews) {
  const FleetSize size{.balancers = 500, .zone_balancers = 100};
  RouteFollower follower = MakeFollower();
  follower.news_interval = ComputeRoutesNewsInterval(size);
  CHECK(follower.news_interval * kMaxRoutesNewsBytesPerSecond >=
        Duration{1s} * kHeartbeatBytes * 100);
  CHECK(BeginStoreCallIfDue(follower, kSecondInZone,
                            kNow + follower.news_interval + 500ms)
            .kind == StoreCallKind::kNone);
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 800ms).kind ==
        StoreCallKind::kRevision);
  CHECK(BeginRoutesNewsIfDue(follower, kNow + 10s));
  CHECK_FALSE(BeginRoutesNewsIfDue(follower,
                                   kNow + 10s + follower.news_interval - 1ms));
  CHECK(BeginRoutesNewsIfDue(follower, kNow + 10s + follower.news_interval));
}

// Load pattern: all balancers start at once; each would read the routes though
// one of them can tell the others.
TEST(RouteFollower, StartingBalancersWaitForTheirPeersByRank) {
  const auto is_due = [](const ReaderRank& rank, Duration uptime) {
    RouteFollower follower{.started = kNow};
    return BeginStoreCallIfDue(follower, rank, kNow + uptime).kind !=
           StoreCallKind::kNone;
  };
  CHECK_FALSE(is_due(kFirst, 39ms));
  CHECK(is_due(kFirst, 40ms));
  CHECK_FALSE(is_due(kSecondInZone, 49ms));
  CHECK(is_due(kSecondInZone, 50ms));
  CHECK_FALSE(is_due({.in_zone = 70, .zones = 4}, 189ms));
  CHECK(is_due({.in_zone = 70, .zones = 4}, 190ms));
}

TEST(RouteFollower, RoutesOfAPeerAreAsCurrentAsThePeerReported) {
  RouteFollower follower{.started = kNow};
  OnPeerRoutesVersion(follower, kPeer, 5, 100ms, 0, kNow + 50ms);
  CHECK(BeginPeerFetchIfDue(follower, 0, kNow + 50ms).has_value());
  OnPeerRoutesInForce(follower, 5);
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 749ms).kind ==
        StoreCallKind::kNone);
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 750ms).kind ==
        StoreCallKind::kRoutes);
}

// Agents don't know whether the routes that they store are current.
TEST(RouteFollower, RoutesOfAnAgentAreCheckedAtOnce) {
  RouteFollower follower{.started = kNow};
  OnPeerRoutesVersion(follower, kPeer, 5, 1h, 0, kNow + 50ms);
  OnPeerRoutesInForce(follower, 5);
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 50ms).kind ==
        StoreCallKind::kRoutes);
}

TEST(RouteFollower, NewRevisionIsReadThoughAPeerConfirmsTheRoutes) {
  RouteFollower follower = MakeFollower();
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 800ms).kind ==
        StoreCallKind::kRevision);
  OnStoreRevision(follower, follower.store_calls.last_id, {.revision = 8});
  OnPeerRoutesVersion(follower, kPeer, 5, 0ms, 5, kNow + 805ms);
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 805ms).kind ==
        StoreCallKind::kRoutes);
}

// Load pattern: the store is down for a long time in a large fleet.
TEST(RouteFollower, OnlyFirstBalancersOfZonesRetryOften) {
  const auto count_calls = [this](const ReaderRank& rank) {
    RouteFollower follower;
    int calls = 0;
    for (TimePoint now = kNow; now < kNow + 60s; now += 10ms) {
      if (BeginStoreCallIfDue(follower, rank, now).kind !=
          StoreCallKind::kNone) {
        ++calls;
        OnStoreFailure(follower, follower.store_calls.last_id, now, random);
      }
    }
    return calls;
  };
  CHECK(count_calls(kSecondZone) >= 60);
  CHECK(count_calls(kSecondInZone) <= 40);
}

TEST(RouteFollower, FailedCallsAreRetriedWithBackoffUpToAboutASecond) {
  RouteFollower follower;
  TimePoint now = kNow;
  int calls = 0;
  while (now < kNow + 10s) {
    if (BeginStoreCallIfDue(follower, kFirst, now).kind !=
        StoreCallKind::kNone) {
      ++calls;
      OnStoreFailure(follower, follower.store_calls.last_id, now, random);
    }
    now += 10ms;
  }
  CHECK(calls >= 10);
  CHECK(calls <= 26);
  // A reply of the store resets the backoff. Retries are at most 0.9 s apart,
  // so a process without routes calls a store that is back within 0.9 s.
  const auto call = BeginStoreCallIfDue(follower, kFirst, now + 1s);
  OnStoreRoutes(follower, call.id, {.revision = 3});
  LONGS_EQUAL(0, follower.failures);
}

TEST(RouteFollower,
     NewerRoutesOfAPeerAreFetchedAtOnceAndRetriedAfterAnInterval) {
  RouteFollower follower = MakeFollower();
  OnPeerRoutesVersion(follower, kPeer, 9, 0ms, 5, kNow);
  const auto fetch = BeginPeerFetchIfDue(follower, 5, kNow);
  CHECK(fetch.has_value());
  CHECK_FALSE(BeginPeerFetchIfDue(follower, 5, kNow + 10ms).has_value());
  EndPendingCall(follower.peer_fetches, *fetch);
  CHECK_FALSE(BeginPeerFetchIfDue(follower, 5, kNow + 299ms).has_value());
  CHECK(BeginPeerFetchIfDue(follower, 5, kNow + 300ms).has_value());
  CHECK_FALSE(BeginPeerFetchIfDue(follower, 9, kNow + 600ms).has_value());
}

TEST(RouteFollower, SilentPeerIsReplacedAfterAnInterval) {
  RouteFollower follower = MakeFollower();
  OnPeerRoutesVersion(follower, kPeer, 9, 0ms, 5, kNow);
  CHECK(BeginPeerFetchIfDue(follower, 5, kNow).has_value());
  LONGS_EQUAL(1,
              MarkLateCalls(follower.peer_fetches, kNow + 300ms).late.size());
  CHECK(BeginPeerFetchIfDue(follower, 5, kNow + 300ms).has_value());
}

// Load pattern: routes that take longer than the retry interval to arrive.
TEST(RouteFollower, FetchThatMakesProgressIsNotReplaced) {
  RouteFollower follower = MakeFollower();
  OnPeerRoutesVersion(follower, kPeer, 9, 0ms, 5, kNow);
  const auto fetch = BeginPeerFetchIfDue(follower, 5, kNow);
  for (auto at = 100ms; at < 1900ms; at += 100ms) {
    RecordReceivedBytes(follower.peer_fetches, *fetch,
                        static_cast<std::size_t>(at.count()) * 1500, kNow + at);
    LONGS_EQUAL(0, MarkLateCalls(follower.peer_fetches, kNow + at).late.size());
    CHECK_FALSE(BeginPeerFetchIfDue(follower, 5, kNow + at).has_value());
  }
}

TEST(RouteFollower, RoutesAreNotReadFromTheStoreWhileAPeersRoutesArrive) {
  RouteFollower follower = MakeFollower();
  const auto poll = BeginStoreCallIfDue(follower, kFirst, kNow + 800ms);
  OnStoreRevision(follower, poll.id, {.revision = 8});
  OnPeerRoutesVersion(follower, kPeer, 9, 0ms, 5, kNow + 810ms);
  const auto fetch = BeginPeerFetchIfDue(follower, 5, kNow + 810ms);
  RecordReceivedBytes(follower.peer_fetches, *fetch, 1500, kNow + 820ms);
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 830ms).kind ==
        StoreCallKind::kNone);
  MarkLateCalls(follower.peer_fetches, kNow + 1120ms);
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 1120ms).kind ==
        StoreCallKind::kRoutes);
}

TEST(RouteFollower, RoutesAreNotFetchedFromAPeerWhileTheStoresRoutesArrive) {
  RouteFollower follower;
  const auto call = BeginStoreCallIfDue(follower, kFirst, kNow);
  RecordReceivedBytes(follower.store_calls, call.id, 1500, kNow + 10ms);
  OnPeerRoutesVersion(follower, kPeer, 9, 0ms, 0, kNow + 20ms);
  CHECK_FALSE(BeginPeerFetchIfDue(follower, 0, kNow + 20ms).has_value());
  MarkLateStoreCalls(follower, kNow + 710ms, random);
  CHECK(BeginPeerFetchIfDue(follower, 0, kNow + 710ms).has_value());
}

// Load pattern: a store that answers all calls, three seconds late.
TEST(RouteFollower, LateAnswerOfTheStoreConfirmsTheRoutes) {
  RouteFollower follower;
  std::vector<StoreCall> calls;
  for (auto at = 0ms; at <= 3s; at += 50ms) {
    MarkLateStoreCalls(follower, kNow + at, random);
    const auto call = BeginStoreCallIfDue(follower, kFirst, kNow + at);
    if (call.kind != StoreCallKind::kNone) {
      calls.push_back(call);
    }
    CHECK(follower.store_calls.calls.size() <= 3);
  }
  CHECK(calls.size() >= 2);
  CHECK(follower.failures > 0);
  OnStoreRoutes(follower, calls.front().id, {.revision = 7});
  CHECK(follower.is_current);
  CHECK(follower.confirmed_at == kNow);
  LONGS_EQUAL(0, follower.failures);
}

TEST(RouteFollower, AnswerToAnEarlierCallThanTheLastAnsweredChangesNothing) {
  RouteFollower follower;
  const auto first = BeginStoreCallIfDue(follower, kFirst, kNow);
  MarkLateStoreCalls(follower, kNow + 700ms, random);
  const auto second = BeginStoreCallIfDue(follower, kFirst, kNow + 1s);
  CHECK(second.kind == StoreCallKind::kRoutes);
  OnStoreRoutes(follower, second.id, {.revision = 9});
  OnStoreRoutes(follower, first.id, {.revision = 8});
  CHECK(follower.is_current);
  LONGS_EQUAL(9, follower.position.revision);
  CHECK(follower.confirmed_at == kNow + 1s);
}

// Load pattern: a store that returns from a copy and gives its revisions out
// again, several times in a row.
TEST(RouteFollower, SameRevisionOfALaterEraIsReadAgain) {
  RouteFollower follower = MakeFollower();
  for (std::uint64_t era = 1; era < 4; ++era) {
    const TimePoint now = kNow + std::chrono::seconds{era};
    const auto poll = BeginStoreCallIfDue(follower, kFirst, now);
    CHECK(poll.kind == StoreCallKind::kRevision);
    OnStoreRevision(follower, poll.id, {.era = era, .revision = 7});
    CHECK_FALSE(follower.is_current);
    LONGS_EQUAL(era, follower.store_losses);
    const auto read = BeginStoreCallIfDue(follower, kFirst, now);
    CHECK(read.kind == StoreCallKind::kRoutes);
    OnStoreRoutes(follower, read.id, {.era = era, .revision = 7});
    CHECK(follower.is_current);
  }
}

TEST(RouteFollower, RevisionThatGoesBackMeansLostChangesWithoutAnEra) {
  RouteFollower follower = MakeFollower();
  auto poll = BeginStoreCallIfDue(follower, kFirst, kNow + 1s);
  OnStoreRevision(follower, poll.id, {.revision = 9});
  poll = BeginStoreCallIfDue(follower, kFirst, kNow + 2s);
  OnStoreRevision(follower, poll.id, {.revision = 7});
  CHECK_FALSE(follower.is_current);
  LONGS_EQUAL(1, follower.store_losses);
}

TEST(RouteFollower, FirstAnswerOfAStoreWithAnEraIsNoLoss) {
  RouteFollower follower;
  const auto call = BeginStoreCallIfDue(follower, kFirst, kNow);
  OnStoreRoutes(follower, call.id, {.era = 5, .revision = 3});
  CHECK(follower.is_current);
  LONGS_EQUAL(0, follower.store_losses);
}

// Load pattern: a store that no longer sends its era, or an earlier one.
TEST(RouteFollower, AnswersOfAnEarlierEraConfirmNothingAndRoutesAreRead) {
  RouteFollower follower = MakeFollower();
  auto call = BeginStoreCallIfDue(follower, kFirst, kNow + 1s);
  OnStoreRoutes(follower, call.id, {.era = 2, .revision = 3});
  CHECK(follower.is_current);
  int calls = 0;
  for (auto at = 2s + 0ms; at < 12s; at += 10ms) {
    call = BeginStoreCallIfDue(follower, kFirst, kNow + at);
    if (call.kind == StoreCallKind::kRevision) {
      LONGS_EQUAL(0, calls);
      OnStoreRevision(follower, call.id, {.revision = 4});
    } else if (call.kind == StoreCallKind::kRoutes) {
      OnStoreRoutes(follower, call.id, {.revision = 4});
    }
    calls += call.kind == StoreCallKind::kNone ? 0 : 1;
  }
  CHECK(calls >= 10);
  CHECK(calls <= 13);
  CHECK(follower.newest_position == (StorePosition{.era = 2, .revision = 3}));
  CHECK(follower.confirmed_at == kNow + 1s);
}

TEST(RouteFollower, SilentStoreIsCalledAgainWithinASecond) {
  RouteFollower follower;
  (void)BeginStoreCallIfDue(follower, kFirst, kNow);
  LONGS_EQUAL(1,
              MarkLateStoreCalls(follower, kNow + 700ms, random).late.size());
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 850ms).kind ==
        StoreCallKind::kRoutes);
}

TEST(RouteFollower, OlderVersionOfAPeerDoesNotConfirmTheRoutes) {
  RouteFollower follower = MakeFollower();
  OnPeerRoutesVersion(follower, kPeer, 4, 0ms, 5, kNow + 700ms);
  CHECK_FALSE(BeginPeerFetchIfDue(follower, 5, kNow + 700ms).has_value());
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 800ms).kind ==
        StoreCallKind::kRevision);
}

TEST(RouteFollower, VersionInForceNeverDecreases) {
  RouteSet in_force;
  CHECK(ReplaceRoutesIfNewer(in_force, RouteSet{.version = 4}, kFlowLifetime,
                             kNow));
  CHECK_FALSE(ReplaceRoutesIfNewer(in_force, RouteSet{.version = 4},
                                   kFlowLifetime, kNow));
  CHECK_FALSE(ReplaceRoutesIfNewer(in_force, RouteSet{.version = 3},
                                   kFlowLifetime, kNow));
  LONGS_EQUAL(4, in_force.version);
}

TEST(RouteFollower, NewFlowsAreSplitByServiceWeight) {
  const Route route{
      .shares = {{.service = 1, .weight = 90}, {.service = 2, .weight = 10}}};
  int second = 0;
  for (std::uint64_t n = 0; n < 10000; ++n) {
    second += ChooseService(route, n * 0x9E3779B97F4A7C15ULL) == 2 ? 1 : 0;
  }
  CHECK(second > 800 && second < 1200);
  LONGS_EQUAL(0, ChooseService(Route{}, 1));
}
