#include "hawthornbank/route_follower.h"

#include <CppUTest/TestHarness.h>

#include "hawthornbank/routes.h"

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};
const Endpoint kPeer{.address = 0x0A000002, .port = 7000};

// Creates a follower that read the routes at revision 7 at time kNow.
auto MakeFollower() -> RouteFollower {
  RouteFollower follower;
  (void)BeginStoreCallIfDue(follower, 0, kNow);
  OnStoreRoutes(follower, 7);
  return follower;
}

}  // namespace

TEST_GROUP(RouteFollower) {
  Random random{1};
};

TEST(RouteFollower, ProcessWithoutRoutesReadsThemAtOnce) {
  RouteFollower follower;
  CHECK(BeginStoreCallIfDue(follower, 9, kNow) == StoreCall::kRoutes);
  CHECK(BeginStoreCallIfDue(follower, 9, kNow) == StoreCall::kNone);
}

// Load pattern of the fault platform_compact: a watch of the store delivered
// nothing for six seconds, but reads worked.
TEST(RouteFollower, FirstRankedBalancerPollsTheRevisionWithinASecond) {
  RouteFollower follower = MakeFollower();
  CHECK(BeginStoreCallIfDue(follower, 0, kNow + 790ms) == StoreCall::kNone);
  CHECK(BeginStoreCallIfDue(follower, 0, kNow + 800ms) == StoreCall::kRevision);
  OnStoreRevision(follower, 8);
  CHECK(BeginStoreCallIfDue(follower, 0, kNow + 810ms) == StoreCall::kRoutes);
}

TEST(RouteFollower, OtherBalancersPollOnlyWhenTheFirstIsSilent) {
  RouteFollower second = MakeFollower();
  // The first-ranked balancer polls every 0.8 s and announces every 0.4 s.
  for (auto at = 0ms; at < 20s; at += 400ms) {
    CHECK(BeginStoreCallIfDue(second, 1, kNow + at) == StoreCall::kNone);
    OnPeerRoutesVersion(second, kPeer, 5, 800ms, 5, kNow + at + 10ms);
  }
  CHECK(BeginStoreCallIfDue(second, 1, kNow + 20s + 1300ms) ==
        StoreCall::kRevision);
}

TEST(RouteFollower, AllBalancersPollWithin1800Ms) {
  for (std::size_t rank = 0; rank < 500; ++rank) {
    RouteFollower follower = MakeFollower();
    CHECK(BeginStoreCallIfDue(follower, rank, kNow + 1800ms) ==
          StoreCall::kRevision);
  }
}

TEST(RouteFollower, FailedCallsAreRetriedWithBackoffUpToAboutASecond) {
  RouteFollower follower;
  TimePoint now = kNow;
  int calls = 0;
  while (now < kNow + 10s) {
    if (BeginStoreCallIfDue(follower, 0, now) != StoreCall::kNone) {
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
  CHECK(BeginStoreCallIfDue(follower, 0, kNow + 800ms) == StoreCall::kRevision);
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
