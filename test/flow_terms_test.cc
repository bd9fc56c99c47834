#include "hawthornbank/flow_terms.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kLimited = 7;
constexpr std::uint32_t kUnlimited = 8;

}  // namespace

TEST_GROUP(FlowTerms) {
  RouteSet routes{.services = {{kLimited, {.warmup_requests_per_second = 8}}}};
  Route route{.terms = {.priority = 1, .goal = 300ms, .timeout = 1500ms}};
};

TEST(FlowTerms, LimitOfWarmupIsTheRateWithTheAllowanceRoundedDown) {
  const auto terms =
      DescribeFlowTerms(routes, route, kLimited, {.factor = 1.5, .extra = 5.9});
  LONGS_EQUAL(17, terms.warmup_limit);
  LONGS_EQUAL(1, terms.priority);
  LONGS_EQUAL(300, terms.goal_ms);
  LONGS_EQUAL(1500, terms.timeout_ms);
}

TEST(FlowTerms, ServiceWithoutARateHasNoLimit) {
  LONGS_EQUAL(
      0,
      DescribeFlowTerms(routes, route, kUnlimited, {.extra = 5}).warmup_limit);
}

TEST(FlowTerms, TimesBeyondAMinuteAreSentAsTheLongestOne) {
  route.terms.timeout = 10min;
  LONGS_EQUAL(0xFFFF,
              DescribeFlowTerms(routes, route, kLimited, {}).timeout_ms);
}
