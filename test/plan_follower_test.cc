#include "hawthornbank/plan_follower.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;

TEST_GROUP(PlanFollower) {
  PlanFollower follower{.target_name = "a-1"};
  Configuration configuration{.resting = {"a-1"}, .plan_epoch = Epoch{3}};
};

TEST(PlanFollower, TargetFollowsRestingAndDrainingLists) {
  CHECK(TargetOrder::kRest == DetermineTargetOrder(follower, configuration));
  configuration.draining = {"a-1"};
  CHECK(TargetOrder::kLeave == DetermineTargetOrder(follower, configuration));
  configuration.draining.clear();
  configuration.resting.clear();
  CHECK(TargetOrder::kServe == DetermineTargetOrder(follower, configuration));
}

TEST(PlanFollower, RestingListWithAnOlderPlanEpochIsIgnored) {
  DetermineTargetOrder(follower, configuration);
  const Configuration older{.plan_epoch = Epoch{2}};
  CHECK(TargetOrder::kRest == DetermineTargetOrder(follower, older));
  LONGS_EQUAL(1, follower.fence.refused);
  const Configuration newer{.plan_epoch = Epoch{4}};
  CHECK(TargetOrder::kServe == DetermineTargetOrder(follower, newer));
}

TEST(PlanFollower, DrainAfterARestGetsTheFullDrainLimit) {
  Agent agent;
  ApplyOrderToAgent(agent, TargetOrder::kRest, TimePoint{1h});
  CHECK(agent.draining);
  CHECK(agent.resting);
  ApplyOrderToAgent(agent, TargetOrder::kLeave, TimePoint{9h});
  CHECK(!agent.resting);
  CHECK(TimePoint{9h} == agent.drain_started);
  ApplyOrderToAgent(agent, TargetOrder::kRest, TimePoint{10h});
  CHECK(agent.resting);
  ApplyOrderToAgent(agent, TargetOrder::kServe, TimePoint{11h});
  CHECK(!agent.draining);
}
