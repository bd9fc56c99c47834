#include "soak_rules_fixture.h"

using namespace hawthornbank;
using namespace hawthornbank::soak;
using namespace std::chrono_literals;

TEST_GROUP_BASE(ConfigurationRule, RulesFixture){};

TEST(ConfigurationRule,
     ConfigIsAnOpeningHandledAsAnOlderVersionAfterThreeSeconds) {
  StoreRoute(1, "a", kNow - 60s);
  StoreRoute(2, "b", kNow);
  Open("a", kNow + 3s, kNow + 4s);
  STRCMP_EQUAL("", GetReported().c_str());
  Open("a", kNow + 3001ms, kNow + 3001ms);
  STRCMP_EQUAL("CONFIG", GetReported().c_str());
  CheckViolationNamesFlow();
}

TEST(ConfigurationRule, ConfigAllowsEachVersionThatMayBeInForce) {
  StoreRoute(1, "a", kNow - 60s);
  StoreRoute(2, "b", kNow);
  StoreRoute(3, "a", kNow + 1s);
  StoreRoute(4, "c", kNow + 2s);
  for (const auto* const it : {"a", "b", "c"}) {
    checker.seen_versions.clear();
    Open(it, kNow + 2s, kNow + 2s);
  }
  checker.seen_versions.clear();
  Open("a", kNow + 5s, kNow + 5s);
  STRCMP_EQUAL("", GetReported().c_str());
  Open("b", kNow + 4500ms, kNow + 4500ms);
  STRCMP_EQUAL("CONFIG", GetReported().c_str());
}

TEST(ConfigurationRule, ConfigHoldsForDroppedRoutes) {
  StoreRoute(1, "a", kNow - 60s);
  StoreRoute(2, "", kNow);
  Open("a", kNow + 3s, kNow + 3s);
  STRCMP_EQUAL("", GetReported().c_str());
  Open("a", kNow + 4s, kNow + 4s);
  STRCMP_EQUAL("CONFIG", GetReported().c_str());
}

TEST(ConfigurationRule, ConfigIsExcusedByDisturbancesOfStoreAgentAndBalancer) {
  StoreRoute(1, "a", kNow - 60s);
  StoreRoute(2, "b", kNow);
  for (const auto* const it : {"store", "t", "b"}) {
    checker.disturbances.clear();
    RecordDisturbance(checker, it, true, kNow + 1s);
    Open("a", kNow + 4s, kNow + 4s);
  }
  STRCMP_EQUAL("", GetReported().c_str());
  Open("a", kNow + 5s, kNow + 5s);
  STRCMP_EQUAL("CONFIG", GetReported().c_str());
}

TEST(ConfigurationRule, ConfigIsBrokenByAProcessThatRegresses) {
  StoreRoute(1, "a", kNow - 60s);
  StoreRoute(2, "b", kNow);
  Open("b", kNow + 1s, kNow + 1s);
  Open("a", kNow + 1250ms, kNow + 1300ms);
  STRCMP_EQUAL("", GetReported().c_str());
  // The disturbance multiplies the bound by eight.
  RecordDisturbance(checker, "b", false, kNow + 1s);
  Open("a", kNow + 2900ms, kNow + 2900ms);
  STRCMP_EQUAL("", GetReported().c_str());
  checker.disturbances.clear();
  Open("a", kNow + 1251ms, kNow + 1251ms);
  STRCMP_EQUAL("CONFIG", GetReported().c_str());
}

TEST(ConfigurationRule, ConfigTakesNoCopyOfAnOpeningForTheEffectOfAVersion) {
  StoreRoute(1, "a", kNow - 60s);
  StoreRoute(2, "b", kNow);
  StoreRoute(3, "a", kNow + 1s);
  Open("b", kNow + 1s, kNow + 1s);
  // Follows the flow that version 1 has led.
  OnOpeningSent(
      checker, kFlow, 1,
      SentOpening{.balancer = {.subject = "b", .number = 1}, .at = kNow + 1s});
  OnOpeningTaken(checker,
                 {.flow = kFlow, .copy = 1, .service = "a", .agent = "t"},
                 kNow + 1s);
  Open("b", kNow + 2s, kNow + 2s);
  STRCMP_EQUAL("", GetReported().c_str());
}

TEST(ConfigurationRule, ConfigKnowsEachStartOfAProcessAnew) {
  StoreRoute(1, "a", kNow - 60s);
  StoreRoute(2, "b", kNow);
  Open("b", kNow + 1s, kNow + 1s);
  OnOpeningSent(
      checker, kFlow, 0,
      SentOpening{.balancer = {.subject = "b", .number = 2}, .at = kNow + 2s});
  OnOpeningTaken(checker,
                 {.flow = kFlow, .service = "a", .agent = "t", .target = ""},
                 kNow + 2s);
  STRCMP_EQUAL("", GetReported().c_str());
}

TEST(ConfigurationRule, ResetOfAnOpeningIsReportedOnceItsNewRouteIsDue) {
  const RefusalRecord early{.flow = kFlow,
                            .balancers = {"b"},
                            .sent = kNow + 3s,
                            .ready_agents = {"t"}};
  RefusalRecord late = early;
  late.sent = kNow + 4s;
  StoreRoute(1, "", kNow - 60s);
  StoreRoute(2, "a", kNow);
  OnOpeningReset(checker, early, kNow + 4s);
  for (const auto* const it : {"store", "t", "b"}) {
    checker.disturbances.clear();
    RecordDisturbance(checker, it, true, kNow + 1s);
    OnOpeningReset(checker, late, kNow + 4s);
  }
  STRCMP_EQUAL("", GetReported().c_str());
  OnOpeningReset(checker, late, kNow + 5s);
  STRCMP_EQUAL("refused though routed", GetReported().c_str());
  CheckViolationNamesFlow();
  StoreRoute(3, "", kNow + 6s);
  late.sent = kNow + 7s;
  OnOpeningReset(checker, late, kNow + 7s);
  LONGS_EQUAL(1, checker.violations.size());
}

TEST(ConfigurationRule, ResetOfAnOpeningIsAllowedIfItsRouteWasAlwaysThere) {
  StoreRoute(1, "a", kNow - 60s);
  StoreRoute(2, "b", kNow);
  OnOpeningReset(checker,
                 {.flow = kFlow, .sent = kNow + 9s, .ready_agents = {"t"}},
                 kNow + 9s);
  STRCMP_EQUAL("", GetReported().c_str());
}

TEST(ConfigurationRule, ServicesInForceAreThoseOfTheDueVersionAndLaterOnes) {
  const auto find = [&](TimePoint sent) {
    return FindServicesInForce(checker, kFlow.key.address, sent);
  };
  StoreRoute(1, "a", kNow - 60s);
  StoreRoute(2, "", kNow);
  StoreRoute(3, "b", kNow + 1s);
  CHECK((find(kNow + 3s) == std::set<std::string>{"a", "b"}));
  CHECK((find(kNow + 3001ms) == std::set<std::string>{"b"}));
  CHECK((find(kNow + 60s) == std::set<std::string>{"b"}));
}
