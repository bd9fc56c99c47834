#include "hawthornbank/plan_follower.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;

TEST_GROUP(PlanFollower) {
  PlanFollower follower{.self = "a-1"};
  Configuration configuration{.resting = {"a-1"}, .plan_epoch = Epoch{3}};
};

TEST(PlanFollower, TargetFollowsRestingAndDrainingLists) {
  CHECK(TargetOrder::kRest == OrderFor(follower, configuration));
  configuration.draining = {"a-1"};
  CHECK(TargetOrder::kLeave == OrderFor(follower, configuration));
  configuration.draining.clear();
  configuration.resting.clear();
  CHECK(TargetOrder::kServe == OrderFor(follower, configuration));
}

TEST(PlanFollower, ListWithAnOlderEpochIsRefused) {
  OrderFor(follower, configuration);
  const Configuration older{.plan_epoch = Epoch{2}};
  CHECK(TargetOrder::kRest == OrderFor(follower, older));
  LONGS_EQUAL(1, follower.fence.refused);
  const Configuration newer{.plan_epoch = Epoch{4}};
  CHECK(TargetOrder::kServe == OrderFor(follower, newer));
}

TEST(PlanFollower, DrainAfterARestGetsItsFullTimeLimit) {
  Agent agent;
  Follow(agent, TargetOrder::kRest, TimePoint{1h});
  CHECK(agent.draining);
  CHECK(agent.resting);
  Follow(agent, TargetOrder::kLeave, TimePoint{9h});
  CHECK(!agent.resting);
  CHECK(TimePoint{9h} == agent.drain_started);
  Follow(agent, TargetOrder::kRest, TimePoint{10h});
  CHECK(agent.resting);
  Follow(agent, TargetOrder::kServe, TimePoint{11h});
  CHECK(!agent.draining);
}
