#include "hawthornbank/route_history.h"

#include <CppUTest/TestHarness.h>

#include "hawthornbank/routes.h"

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kServiceA = 7;
constexpr std::uint32_t kServiceB = 8;
constexpr std::uint32_t kServiceC = 9;
constexpr Endpoint kAddress{.address = 0xC6120001, .port = 443};
const TimePoint kNow{1000s};

auto MakeRoutes(std::uint64_t version, std::vector<ServiceShare> shares)
    -> RouteSet {
  RouteSet routes{.version = version};
  routes.routes[kAddress] = Route{.shares = std::move(shares)};
  return routes;
}

// Routes as the store sends them, changed at `changed_at` and read at
// `read_at`.
auto MakeStoreRoutes(std::uint64_t version,
                     std::uint64_t changed_at,
                     std::uint64_t read_at) -> RouteSet {
  RouteSet routes = MakeRoutes(version, {{.service = kServiceA}});
  routes.changed_at = {.era = 1, .revision = changed_at};
  routes.read_at = {.era = 1, .revision = read_at};
  return routes;
}

}  // namespace

TEST_GROUP(RouteHistory) {
  RouteSet in_force;

  auto PutInForce(RouteSet routes, TimePoint now)->bool {
    return ReplaceRoutesIfNewer(in_force, std::move(routes), kFlowLifetime,
                                now);
  }

  auto CountFormerServices()->std::size_t {
    return FindFormerServices(in_force.history, kAddress).size();
  }
};

TEST(RouteHistory, ServiceOfAMovedRouteIsKept) {
  PutInForce(MakeRoutes(3, {{.service = kServiceA}, {.service = kServiceB}}),
             kNow);
  LONGS_EQUAL(0, CountFormerServices());
  PutInForce(MakeRoutes(5, {{.service = kServiceA}}), kNow + 5s);
  LONGS_EQUAL(1, CountFormerServices());
  const FormerService former =
      FindFormerServices(in_force.history, kAddress)[0];
  LONGS_EQUAL(kServiceB, former.service);
  CHECK(former.last_routed_at == kNow + 5s);
}

TEST(RouteHistory, RouteThatMovesThriceKeepsAllItsServices) {
  PutInForce(MakeRoutes(3, {{.service = kServiceA}}), kNow);
  PutInForce(MakeRoutes(4, {{.service = kServiceB}}), kNow + 1s);
  PutInForce(MakeRoutes(9, {{.service = kServiceC}}), kNow + 2s);
  LONGS_EQUAL(2, CountFormerServices());
}

TEST(RouteHistory, ServiceWhoseWeightBecomesZeroIsKept) {
  PutInForce(MakeRoutes(3, {{.service = kServiceA}, {.service = kServiceB}}),
             kNow);
  PutInForce(MakeRoutes(4, {{.service = kServiceA},
                            {.service = kServiceB, .weight = 0}}),
             kNow + 1s);
  PutInForce(MakeRoutes(5, {{.service = kServiceA}}), kNow + 2s);
  LONGS_EQUAL(1, CountFormerServices());
  CHECK(FindFormerServices(in_force.history, kAddress)[0].last_routed_at ==
        kNow + 1s);
}

TEST(RouteHistory, ServiceOfARouteThatIsRemovedAndAddedAgainIsKept) {
  PutInForce(MakeRoutes(3, {{.service = kServiceA}}), kNow);
  PutInForce(RouteSet{.version = 4}, kNow + 1s);
  PutInForce(MakeRoutes(5, {{.service = kServiceB}}), kNow + 2s);
  LONGS_EQUAL(1, CountFormerServices());
}

TEST(RouteHistory, ServiceIsErasedWhenItsFlowsHaveEnded) {
  PutInForce(MakeRoutes(3, {{.service = kServiceA}}), kNow);
  PutInForce(MakeRoutes(4, {{.service = kServiceB}}), kNow);
  const TimePoint end = kNow + kFlowLifetime + kRoutesPropagationTime;
  const FormerService former =
      FindFormerServices(in_force.history, kAddress)[0];
  CHECK(MayHaveOpenFlows(former, kFlowLifetime, end - 1ms));
  CHECK_FALSE(MayHaveOpenFlows(former, kFlowLifetime, end));
  PutInForce(MakeRoutes(5, {{.service = kServiceB}}), end);
  LONGS_EQUAL(0, in_force.history.former.size());
}

TEST(RouteHistory, HistoriesOfTwoProcessesAreMergedToTheLaterTimes) {
  PutInForce(MakeRoutes(3, {{.service = kServiceA}}), kNow);
  PutInForce(MakeRoutes(4, {{.service = kServiceB}}), kNow + 1s);
  RouteSet offered = MakeRoutes(5, {{.service = kServiceB}});
  RecordFormerService(offered.history, kAddress, kServiceA, kNow + 3s);
  RecordFormerService(offered.history, kAddress, kServiceC, kNow);
  PutInForce(offered, kNow + 4s);
  LONGS_EQUAL(2, CountFormerServices());
  CHECK(FindFormerServices(in_force.history, kAddress)[0].last_routed_at ==
        kNow + 3s);
}

TEST(RouteHistory, IsCompleteOnceAllFlowsOfUnknownVersionsHaveEnded) {
  const TimePoint end = kNow + kFlowLifetime + kRoutesPropagationTime;
  CHECK_FALSE(CoversFlowLifetime(in_force.history, kNow, kMaxRoutesAge,
                                 kFlowLifetime, kNow));
  PutInForce(MakeStoreRoutes(3, 10, 10), kNow);
  CHECK_FALSE(CoversFlowLifetime(in_force.history, end, kMaxRoutesAge,
                                 kFlowLifetime, end - 1ms));
  CHECK(CoversFlowLifetime(in_force.history, end, kMaxRoutesAge, kFlowLifetime,
                           end));
}

TEST(RouteHistory, StaysCompleteWhenTheNextVersionOfTheStoreFollows) {
  PutInForce(MakeStoreRoutes(3, 10, 10), kNow);
  // Another object was changed, and the routes were read again.
  CHECK_FALSE(PutInForce(MakeStoreRoutes(3, 10, 11), kNow + 1s));
  PutInForce(MakeStoreRoutes(7, 12, 12), kNow + 2s);
  CHECK(in_force.history.complete_since == kNow);
}

TEST(RouteHistory, BecomesIncompleteWhenAVersionMayHaveBeenMissed) {
  PutInForce(MakeStoreRoutes(3, 10, 10), kNow);
  PutInForce(MakeStoreRoutes(7, 12, 12), kNow + 2s);
  CHECK(in_force.history.complete_since == kNow + 2s);
  RouteSet restored = MakeStoreRoutes(8, 13, 13);
  restored.changed_at.era = 2;
  restored.read_at.era = 2;
  PutInForce(restored, kNow + 3s);
  CHECK(in_force.history.complete_since == kNow + 3s);
}

TEST(RouteHistory, IsAsCompleteAsThatOfThePeerThatSentTheRoutes) {
  PutInForce(MakeStoreRoutes(3, 10, 10), kNow);
  RouteSet offered = MakeRoutes(4, {{.service = kServiceB}});
  offered.history.complete_since = kNow - 30s;
  PutInForce(offered, kNow + 1s);
  CHECK(in_force.history.complete_since == kNow - 30s);
}

TEST(RouteHistory, IsIncompleteWhileNewerRoutesMayBeInForceElsewhere) {
  PutInForce(MakeStoreRoutes(3, 10, 10), kNow);
  const TimePoint later = kNow + 1h;
  CHECK(CoversFlowLifetime(in_force.history, later - kMaxRoutesAge,
                           kMaxRoutesAge, kFlowLifetime, later));
  CHECK_FALSE(CoversFlowLifetime(in_force.history, later - kMaxRoutesAge - 1ms,
                                 kMaxRoutesAge, kFlowLifetime, later));
}
