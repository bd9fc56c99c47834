#ifndef HAWTHORNBANK_TEST_SOAK_RULES_FIXTURE_H_
#define HAWTHORNBANK_TEST_SOAK_RULES_FIXTURE_H_

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

#include "soak/judge.h"

/// @file
/// Fixture of the tests of the soak's rules.
namespace hawthornbank::soak {

using namespace std::chrono_literals;

inline const TimePoint kNow{std::chrono::seconds{1000}};
inline constexpr Endpoint kRoute{.address = 0xC6120001, .port = 443};
inline constexpr Endpoint kOtherRoute{.address = 0xC6120002, .port = 443};
inline constexpr FlowKey kKey{.caller = {.address = 0x7F0007FA, .port = 1025},
                              .address = kRoute};
inline constexpr FlowId kFlow{.key = kKey, .opening_sequence = 77};

/// Base of the test groups.
struct RulesFixture : Utest {
  InvariantChecker checker;

  auto GetReported() -> std::string {
    std::string names;
    for (const auto& it : checker.violations) {
      names += (names.empty() ? "" : ",") + it.invariant;
    }
    return names;
  }

  auto StoreRoute(std::uint64_t version, const char* service, TimePoint at)
      -> void {
    std::vector<std::pair<Endpoint, std::string>> routes = {
        {kOtherRoute, "other"}};
    if (*service != '\0') {
      routes.emplace_back(kRoute, service);
    }
    OnRoutesStored(checker, version, routes, at);
  }

  // An opening through "b" at a target of "t".
  auto Open(const char* service,
            TimePoint sent,
            TimePoint now,
            TakenOpening opening = {}) -> void {
    opening.flow = kFlow;
    opening.service = service;
    opening.agent = "t";
    OnOpeningSent(
        checker, kFlow, 0,
        SentOpening{.balancer = {.subject = "b", .number = 1}, .at = sent});
    OnOpeningTaken(checker, opening, now);
  }

  auto CheckViolationNamesFlow() -> void {
    CHECK(!checker.violations.empty());
    for (const auto& it : checker.violations) {
      CHECK(it.flow == kKey);
      LONGS_EQUAL(77, it.opening_sequence);
    }
  }
};

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_TEST_SOAK_RULES_FIXTURE_H_
