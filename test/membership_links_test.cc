#include "common/membership_fleet.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;
using bench::FleetOptions;
using bench::MembershipFleet;

namespace {

auto MakeLossyFleetOfNine(std::uint64_t seed) -> FleetOptions {
  return FleetOptions{
      .balancers = 9, .agents = 12, .jitter = 20ms, .loss = 0.01, .seed = seed};
}

/// Lists the balancers that watch the target of an agent.
auto ListWatchersOfAgent(const MembershipFleet& fleet, std::size_t agent)
    -> std::vector<std::size_t> {
  std::vector<std::size_t> watchers;
  for (std::size_t n = 0; n < 9; ++n) {
    const auto& targets = fleet.GetBalancer(n).targets;
    if (targets.at(fleet.target_id_of_agent(agent)).status.is_watched) {
      watchers.push_back(n);
    }
  }
  return watchers;
}

/// Counts the samples, ten per second, in which a balancer's number of routable
/// targets differs from the number of live agents.
auto CountSamplesWithIncompleteRouting(MembershipFleet& fleet,
                                       Duration duration) -> std::size_t {
  std::size_t gaps = 0;
  const auto end = fleet.now() + duration;
  while (fleet.now() < end) {
    fleet.RunFor(100ms);
    gaps += fleet.IsRoutingComplete() ? 0 : 1;
  }
  return gaps;
}

auto CountLiveBalancers(const Membership& membership) -> std::size_t {
  const auto balancers = ListBalancers(membership);
  return static_cast<std::size_t>(std::count_if(
      balancers.begin(), balancers.end(), [](const BalancerRecord& it) {
        return it.state == BalancerState::kAlive;
      }));
}

}  // namespace

TEST_GROUP(MembershipLinks){};

TEST(MembershipLinks, BalancerThatReceivesNothingRemovesNoTarget) {
  MembershipFleet fleet(FleetOptions{.jitter = 100ms, .loss = 0.05});
  fleet.RunFor(20s);
  fleet.SetInboundLoss(fleet.balancer_host(0), 1);
  for (int n = 0; n < 600; ++n) {
    fleet.RunFor(100ms);
    CHECK(fleet.IsRoutingComplete());
  }
  LONGS_EQUAL(0, fleet.CountEvents(MembershipEvent::kDeclaredDead));
}

TEST(MembershipLinks, BalancerThatLosesHalfItsPacketsDeclaresNoMemberDead) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    MembershipFleet fleet(
        FleetOptions{.jitter = 100ms, .loss = 0.05, .seed = seed});
    fleet.RunFor(20s);
    fleet.SetInboundLoss(fleet.balancer_host(0), 0.5);
    fleet.RunFor(5min);
    LONGS_EQUAL(0, fleet.CountEvents(MembershipEvent::kDeclaredDead));
  }
}

TEST(MembershipLinks, TargetStaysRoutableWhenOneWatcherReceivesNoHeartbeat) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    MembershipFleet fleet(MakeLossyFleetOfNine(seed));
    fleet.RunFor(20s);
    for (const auto watcher : ListWatchersOfAgent(fleet, 4)) {
      const auto suspicions = fleet.CountEvents(MembershipEvent::kSuspected);
      fleet.DropMessagesOneWay(fleet.agent_host(4),
                               fleet.balancer_host(watcher));
      LONGS_EQUAL(0, CountSamplesWithIncompleteRouting(fleet, 2min));
      fleet.EndOneWayDrops();
      CHECK(fleet.CountEvents(MembershipEvent::kSuspected) <= suspicions + 2);
    }
    LONGS_EQUAL(0, fleet.CountEvents(MembershipEvent::kDeclaredDead));
  }
}

TEST(MembershipLinks, TargetThatReceivesNothingFromAWatcherStaysRoutable) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    MembershipFleet fleet(MakeLossyFleetOfNine(seed));
    fleet.RunFor(20s);
    for (const auto watcher : ListWatchersOfAgent(fleet, 4)) {
      fleet.DropMessagesOneWay(fleet.balancer_host(watcher),
                               fleet.agent_host(4));
      LONGS_EQUAL(0, CountSamplesWithIncompleteRouting(fleet, 2min));
      fleet.EndOneWayDrops();
    }
    LONGS_EQUAL(0, fleet.CountEvents(MembershipEvent::kDeclaredDead));
  }
}

TEST(MembershipLinks, BalancersWithAOneWayCutStayAlive) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    MembershipFleet fleet(MakeLossyFleetOfNine(seed));
    fleet.RunFor(20s);
    for (std::size_t n = 1; n < 9; ++n) {
      fleet.DropMessagesOneWay(fleet.balancer_host(0), fleet.balancer_host(n));
      std::size_t gaps = CountSamplesWithIncompleteRouting(fleet, 1min);
      fleet.EndOneWayDrops();
      LONGS_EQUAL(0, gaps);
      LONGS_EQUAL(9, CountLiveBalancers(fleet.GetBalancer(n)));
    }
    LONGS_EQUAL(0, fleet.CountEvents(MembershipEvent::kDeclaredDead));
  }
}

TEST(MembershipLinks, CrashBehindAOneWayCutIsDetected) {
  MembershipFleet fleet(MakeLossyFleetOfNine(1));
  fleet.RunFor(20s);
  for (const auto watcher : ListWatchersOfAgent(fleet, 4)) {
    fleet.DropMessagesOneWay(fleet.agent_host(4), fleet.balancer_host(watcher));
    break;
  }
  fleet.RunFor(30s);
  fleet.KillAgent(4);
  const auto took = fleet.RunUntil(
      20s, [&] { return fleet.CountBalancersRoutingToTarget(4) == 0; });
  CHECK(took <= 5s);
}
