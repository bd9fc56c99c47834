#include <CppUTest/TestHarness.h>

#include "hawthornbank/route_follower.h"

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};
constexpr ReaderRank kFirst;

}  // namespace

// A follower whose polls list the zones out of service.
TEST_GROUP(ZoneFollower) {
  Random random{1};
  RouteFollower follower{.lists_zones = true};

  auto Begin(Duration at)->StoreCall {
    return BeginStoreCallIfDue(follower, kFirst, kNow + at);
  }

  // Makes a follower that read both at revision 7 at kNow.
  auto ReadAll()->void {
    CHECK(OnStoreRevision(follower, Begin(0ms).id, {.revision = 7}));
    OnStoreRoutes(follower, Begin(0ms).id, {.revision = 7});
  }
};

TEST(ZoneFollower, ProcessThatStartsReadsTheZonesAndThenTheRoutes) {
  const StoreCall poll = Begin(0ms);
  CHECK(poll.kind == StoreCallKind::kRevision);
  CHECK(OnStoreRevision(follower, poll.id, {.revision = 7}));
  CHECK(follower.confirmed_at == TimePoint{});
  const StoreCall read = Begin(5ms);
  CHECK(read.kind == StoreCallKind::kRoutes);
  OnStoreRoutes(follower, read.id, {.revision = 7});
  CHECK(follower.is_current);
  CHECK(follower.confirmed_at == kNow);
  CHECK(Begin(799ms).kind == StoreCallKind::kNone);
}

TEST(ZoneFollower, QuietStoreIsPolledAsOftenAsWithoutZones) {
  ReadAll();
  std::size_t calls = 0;
  for (auto at = 0ms; at < 80s; at += 10ms) {
    const StoreCall call = Begin(at);
    if (call.kind != StoreCallKind::kNone) {
      ++calls;
      CHECK(call.kind == StoreCallKind::kRevision);
      OnStoreRevision(follower, call.id, {.revision = 7});
    }
  }
  LONGS_EQUAL(99, calls);
}

// Load pattern: another writer changes the store between any two calls. The
// routes that were read later than the zones confirm neither at a later time.
TEST(ZoneFollower, StoreThatChangesAllTheTimeIsReadAtABoundedRate) {
  ReadAll();
  std::uint64_t revision = 7;
  std::size_t calls = 0;
  TimePoint last_poll{};
  for (auto at = 0ms; at < 80s; at += 10ms) {
    const StoreCall call = Begin(at);
    if (call.kind == StoreCallKind::kRevision) {
      last_poll = kNow + at;
      OnStoreRevision(follower, call.id, {.revision = ++revision});
    } else if (call.kind == StoreCallKind::kRoutes) {
      OnStoreRoutes(follower, call.id, {.revision = ++revision});
      CHECK(follower.confirmed_at == last_poll);
    }
    calls += call.kind != StoreCallKind::kNone ? 1 : 0;
  }
  CHECK(calls >= 190);
  CHECK(calls <= 200);
}

// Load pattern: the store serves the routes, but not the list of zones.
TEST(ZoneFollower, NewRoutesAreReadWhilePollsFail) {
  ReadAll();
  std::size_t polls = 0;
  std::size_t reads = 0;
  for (auto at = 800ms; at < 20s; at += 10ms) {
    const StoreCall call = Begin(at);
    if (call.kind == StoreCallKind::kRevision) {
      ++polls;
      OnStoreFailure(follower, call.id, kNow + at, random);
    } else if (call.kind == StoreCallKind::kRoutes) {
      ++reads;
      OnStoreRoutes(follower, call.id, {.revision = 9});
    }
  }
  CHECK(reads >= 10);
  CHECK(polls >= 10);
  CHECK(polls + reads <= 60);
  CHECK(follower.confirmed_at == kNow);
}

TEST(ZoneFollower, ZonesAreReadWhileTheRoutesFail) {
  ReadAll();
  std::size_t polls = 0;
  std::size_t reads = 0;
  for (auto at = 800ms; at < 20s; at += 10ms) {
    const StoreCall call = Begin(at);
    if (call.kind == StoreCallKind::kRevision) {
      ++polls;
      CHECK(OnStoreRevision(follower, call.id, {.revision = 9}));
    } else if (call.kind == StoreCallKind::kRoutes) {
      ++reads;
      OnStoreFailure(follower, call.id, kNow + at, random);
    }
  }
  CHECK(reads >= 10);
  CHECK(polls >= 10);
  CHECK(polls + reads <= 60);
  CHECK(follower.confirmed_at == kNow);
}

TEST(ZoneFollower, RecoveredStoreIsReadWithinItsRetryDelay) {
  ReadAll();
  auto at = 800ms;
  for (; at < 10s; at += 10ms) {
    const StoreCall call = Begin(at);
    if (call.kind != StoreCallKind::kNone) {
      OnStoreFailure(follower, call.id, kNow + at, random);
    }
  }
  const auto recovered = at;
  for (; follower.confirmed_at < kNow + recovered; at += 10ms) {
    CHECK(at < recovered + 1100ms);
    const StoreCall call = Begin(at);
    if (call.kind == StoreCallKind::kRevision) {
      OnStoreRevision(follower, call.id, {.revision = 9});
    } else if (call.kind == StoreCallKind::kRoutes) {
      OnStoreRoutes(follower, call.id, {.revision = 9});
    }
  }
}

TEST(ZoneFollower, ZonesOfAnEarlierEraOrAnEarlierCallDontCount) {
  ReadAll();
  const StoreCall late = Begin(800ms);
  MarkLateStoreCalls(follower, kNow + 1600ms, random);
  const StoreCall read = Begin(2500ms);
  CHECK(read.kind == StoreCallKind::kRoutes);
  OnStoreRoutes(follower, read.id, {.era = 2, .revision = 3});
  CHECK_FALSE(OnStoreRevision(follower, late.id, {.revision = 8}));
  const StoreCall poll = Begin(3500ms);
  CHECK(poll.kind == StoreCallKind::kRevision);
  CHECK_FALSE(OnStoreRevision(follower, poll.id, {.era = 1, .revision = 9}));
}
