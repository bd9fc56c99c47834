#include "hawthornbank/route_follower.h"

#include <CppUTest/TestHarness.h>

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
  (void)BeginStoreCallIfDue(follower, kFirst, kNow);
  OnStoreRoutes(follower, 7);
  return follower;
}

}  // namespace

TEST_GROUP(RouteFollower) {
  Random random{1};
};

TEST(RouteFollower, ProcessWithoutRoutesReadsThemAtOnce) {
  RouteFollower follower;
  CHECK(BeginStoreCallIfDue(follower, ReaderRank{.in_zone = 9}, kNow) ==
        StoreCall::kRoutes);
  CHECK(BeginStoreCallIfDue(follower, ReaderRank{.in_zone = 9}, kNow) ==
        StoreCall::kNone);
}

// Load pattern of the fault platform_compact: a watch of the store delivered
// nothing for six seconds, but reads worked.
TEST(RouteFollower, FirstRankedBalancerPollsTheRevisionWithinASecond) {
  RouteFollower follower = MakeFollower();
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 790ms) ==
        StoreCall::kNone);
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 800ms) ==
        StoreCall::kRevision);
  OnStoreRevision(follower, 8);
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 810ms) ==
        StoreCall::kRoutes);
}

// The first-ranked balancer polls every 0.8 s and tells the others at once,
// after at most 0.4 s for a slow reply of the store.
TEST(RouteFollower, OtherBalancersPollOnlyWhenTheFirstIsSilent) {
  for (const ReaderRank& rank : {kSecondZone, kSecondInZone}) {
    RouteFollower second = MakeFollower();
    for (auto at = 0ms; at < 20s; at += 1200ms) {
      CHECK(BeginStoreCallIfDue(second, rank, kNow + at) == StoreCall::kNone);
      OnPeerRoutesVersion(second, kPeer, 5, 0ms, 5, kNow + at);
    }
    CHECK(BeginStoreCallIfDue(second, rank, kNow + 20s + 1300ms) ==
          StoreCall::kRevision);
  }
}

// Load pattern: the first balancer of the fleet died. The first balancer of the
// next zone polls before the others, which it then tells.
TEST(RouteFollower, FirstBalancersOfOtherZonesPollBeforeTheRest) {
  RouteFollower second_zone = MakeFollower();
  RouteFollower in_zone = MakeFollower();
  CHECK(BeginStoreCallIfDue(in_zone, kSecondInZone, kNow + 1300ms) ==
        StoreCall::kNone);
  CHECK(BeginStoreCallIfDue(second_zone, kSecondZone, kNow + 1300ms) ==
        StoreCall::kRevision);
}

TEST(RouteFollower, AllBalancersPollWithin1800Ms) {
  for (std::size_t in_zone = 0; in_zone < 100; ++in_zone) {
    for (std::size_t zones = 0; zones < 6; ++zones) {
      RouteFollower follower = MakeFollower();
      CHECK(BeginStoreCallIfDue(follower, {.in_zone = in_zone, .zones = zones},
                                kNow + 1800ms) == StoreCall::kRevision);
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
                            kNow + follower.news_interval + 500ms) ==
        StoreCall::kNone);
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 800ms) ==
        StoreCall::kRevision);
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
    return BeginStoreCallIfDue(follower, rank, kNow + uptime) !=
           StoreCall::kNone;
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
  CHECK(BeginPeerFetchIfDue(follower, 0, kNow + 50ms));
  OnPeerRoutesInForce(follower, 5);
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 749ms) ==
        StoreCall::kNone);
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 750ms) ==
        StoreCall::kRoutes);
}

// Agents don't know whether the routes that they store are current.
TEST(RouteFollower, RoutesOfAnAgentAreCheckedAtOnce) {
  RouteFollower follower{.started = kNow};
  OnPeerRoutesVersion(follower, kPeer, 5, 1h, 0, kNow + 50ms);
  OnPeerRoutesInForce(follower, 5);
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 50ms) ==
        StoreCall::kRoutes);
}

TEST(RouteFollower, NewRevisionIsReadThoughAPeerConfirmsTheRoutes) {
  RouteFollower follower = MakeFollower();
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 800ms) ==
        StoreCall::kRevision);
  OnStoreRevision(follower, 8);
  OnPeerRoutesVersion(follower, kPeer, 5, 0ms, 5, kNow + 805ms);
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 805ms) ==
        StoreCall::kRoutes);
}

// Load pattern: the store is down for a long time in a large fleet.
TEST(RouteFollower, OnlyFirstBalancersOfZonesRetryOften) {
  const auto count_calls = [this](const ReaderRank& rank) {
    RouteFollower follower;
    int calls = 0;
    for (TimePoint now = kNow; now < kNow + 60s; now += 10ms) {
      if (BeginStoreCallIfDue(follower, rank, now) != StoreCall::kNone) {
        ++calls;
        OnStoreFailure(follower, now, random);
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
    if (BeginStoreCallIfDue(follower, kFirst, now) != StoreCall::kNone) {
      ++calls;
      OnStoreFailure(follower, now, random);
    }
    now += 10ms;
  }
  CHECK(calls >= 10);
  CHECK(calls <= 26);
  // A reply of the store resets the backoff. Retries are at most 0.9 s apart,
  // so a process without routes calls a store that is back within 0.9 s.
  OnStoreRoutes(follower, 3);
  LONGS_EQUAL(0, follower.failures);
}

TEST(RouteFollower,
     NewerRoutesOfAPeerAreFetchedAtOnceAndRetriedAfterAnInterval) {
  RouteFollower follower = MakeFollower();
  OnPeerRoutesVersion(follower, kPeer, 9, 0ms, 5, kNow);
  CHECK(BeginPeerFetchIfDue(follower, 5, kNow));
  CHECK_FALSE(BeginPeerFetchIfDue(follower, 5, kNow + 10ms));
  CHECK(BeginPeerFetchIfDue(follower, 5, kNow + 300ms));
  CHECK_FALSE(BeginPeerFetchIfDue(follower, 9, kNow + 600ms));
}

TEST(RouteFollower, OlderVersionOfAPeerDoesNotConfirmTheRoutes) {
  RouteFollower follower = MakeFollower();
  OnPeerRoutesVersion(follower, kPeer, 4, 0ms, 5, kNow + 700ms);
  CHECK_FALSE(BeginPeerFetchIfDue(follower, 5, kNow + 700ms));
  CHECK(BeginStoreCallIfDue(follower, kFirst, kNow + 800ms) ==
        StoreCall::kRevision);
}

TEST(RouteFollower, VersionInForceNeverDecreases) {
  RouteSet in_force;
  CHECK(ReplaceRoutesIfNewer(in_force, RouteSet{.version = 4}));
  CHECK_FALSE(ReplaceRoutesIfNewer(in_force, RouteSet{.version = 4}));
  CHECK_FALSE(ReplaceRoutesIfNewer(in_force, RouteSet{.version = 3}));
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
