#include "common/membership_fleet.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;
using bench::FleetOptions;
using bench::MembershipFleet;

namespace {

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

auto CountDeadTargets(const Membership& membership) -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      membership.targets.begin(), membership.targets.end(), [](const auto& it) {
        return it.second.record.state == TargetState::kDead;
      }));
}

}  // namespace

TEST_GROUP(MembershipFleet){};

TEST(MembershipFleet, AllBalancersLearnAllMembers) {
  MembershipFleet fleet(FleetOptions{});
  const auto took =
      fleet.RunUntil(10s, [&] { return fleet.IsRoutingComplete(); });
  CHECK(took <= 4s);
  LONGS_EQUAL(3, ListBalancers(fleet.GetBalancer(0)).size());
}

TEST(MembershipFleet, CrashedTargetGetsNoNewFlowsAfterFiveSeconds) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    MembershipFleet fleet(
        FleetOptions{.jitter = 100ms, .loss = 0.05, .seed = seed});
    fleet.RunFor(20s);
    CHECK(fleet.IsRoutingComplete());
    fleet.KillAgent(4);
    const auto took = fleet.RunUntil(
        20s, [&] { return fleet.CountBalancersRoutingToTarget(4) == 0; });
    CHECK(took <= 5s);
  }
}

TEST(MembershipFleet, DrainingTargetGetsNoNewFlowsAfterThreeSeconds) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    MembershipFleet fleet(
        FleetOptions{.jitter = 100ms, .loss = 0.05, .seed = seed});
    fleet.RunFor(20s);
    fleet.DrainAgent(4);
    const auto took = fleet.RunUntil(
        20s, [&] { return fleet.CountBalancersRoutingToTarget(4) == 0; });
    CHECK(took <= 3s);
  }
}

TEST(MembershipFleet, NewBalancerServesWithinTwoSeconds) {
  MembershipFleet fleet(FleetOptions{.jitter = 100ms, .loss = 0.05});
  fleet.RunFor(20s);
  fleet.KillBalancer(0);
  fleet.RunFor(20s);
  fleet.StartBalancer(0);
  const auto took = fleet.RunUntil(10s, [&] {
    return IsMembershipReady(fleet.GetBalancer(0)) && fleet.IsRoutingComplete();
  });
  CHECK(took <= 2s);
}

TEST(MembershipFleet, CrashIsDetectedWhenTheZoneWatchersCrashToo) {
  MembershipFleet fleet(FleetOptions{.balancers = 9, .agents = 12});
  fleet.RunFor(20s);
  CHECK(fleet.IsRoutingComplete());
  fleet.KillBalancer(0);
  fleet.KillBalancer(3);
  fleet.KillBalancer(6);
  fleet.KillAgent(0);
  LONGS_EQUAL(0, fleet.zone_of_agent(0));
  const auto took = fleet.RunUntil(
      20s, [&] { return fleet.CountBalancersRoutingToTarget(0) == 0; });
  CHECK(took <= 5s);
}

TEST(MembershipFleet, LossOfARackKeepsTheOtherTargetsRoutable) {
  MembershipFleet fleet(FleetOptions{.jitter = 100ms, .loss = 0.05});
  fleet.RunFor(20s);
  // Service 2 has the agents 1, 3, 5, 7 and 9.
  fleet.KillAgent(1);
  fleet.KillAgent(7);
  const auto took = fleet.RunUntil(20s, [&] {
    return fleet.CountBalancersRoutingToTarget(1) +
               fleet.CountBalancersRoutingToTarget(7) ==
           0;
  });
  CHECK(took <= 5s);
  LONGS_EQUAL(3,
              ListRoutableTargets(fleet.GetBalancer(0), ServiceId{2}).size());
}

TEST(MembershipFleet, LossOfMostTargetsKeepsSuspectsRoutable) {
  MembershipFleet fleet(FleetOptions{});
  fleet.RunFor(20s);
  for (const std::size_t n : {1U, 3U, 5U, 7U}) {
    fleet.KillAgent(n);
  }
  for (int second = 0; second < 40; ++second) {
    fleet.RunFor(1s);
    CHECK(ListRoutableTargets(fleet.GetBalancer(0), ServiceId{2}).size() >= 2);
  }
  CHECK(fleet.CountEvents(MembershipEvent::kHeldByFloor) > 0);
  for (const std::size_t n : {1U, 3U, 5U, 7U}) {
    fleet.StartAgent(n);
  }
  fleet.RunFor(5s);
  CHECK(fleet.IsRoutingComplete());
}

TEST(MembershipFleet, PartitionedRegionsMergeWithoutFlapping) {
  MembershipFleet fleet(FleetOptions{.balancers = 8,
                                     .agents = 16,
                                     .zones = 4,
                                     .zones_per_region = 2,
                                     .jitter = 20ms,
                                     .loss = 0.01});
  fleet.RunFor(20s);
  CHECK(fleet.IsRoutingComplete());
  fleet.PartitionZonesFrom(2);
  fleet.RunFor(15s);
  for (int second = 0; second < 165; ++second) {
    fleet.RunFor(1s);
    for (std::size_t n = 0; n < 16; ++n) {
      LONGS_EQUAL(4, fleet.CountBalancersRoutingToTarget(n));
    }
  }
  LONGS_EQUAL(0, fleet.CountEvents(MembershipEvent::kDeclaredDead));
  fleet.EndZonePartition();
  CHECK(fleet.RunUntil(20s, [&] { return fleet.IsRoutingComplete(); }) <= 10s);
  for (int n = 0; n < 600; ++n) {
    fleet.RunFor(100ms);
    CHECK(fleet.IsRoutingComplete());
  }
}

TEST(MembershipFleet, RegionsWithOneBalancerPerZoneMergeAfterPartition) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    MembershipFleet fleet(FleetOptions{.balancers = 6,
                                       .agents = 20,
                                       .zones = 6,
                                       .zones_per_region = 3,
                                       .services = 4,
                                       .jitter = 20ms,
                                       .loss = 0.05,
                                       .seed = seed});
    fleet.RunFor(20s);
    CHECK(fleet.IsRoutingComplete());
    fleet.PartitionZonesFrom(3);
    for (int minute = 0; minute < 15; ++minute) {
      fleet.RunFor(1min);
      LONGS_EQUAL(0, CountDeadTargets(fleet.GetBalancer(0)));
      LONGS_EQUAL(0, CountDeadTargets(fleet.GetBalancer(5)));
    }
    fleet.EndZonePartition();
    CHECK(fleet.RunUntil(60s, [&] { return fleet.IsRoutingComplete(); }) <=
          14s);
    fleet.RunFor(5s);
    LONGS_EQUAL(0, CountSamplesWithIncompleteRouting(fleet, 60s));
  }
}

TEST(MembershipFleet, LocalHealthWorsensAfterAFreezeButRoutingStaysComplete) {
  MembershipFleet fleet(FleetOptions{.jitter = 100ms, .loss = 0.05});
  fleet.RunFor(20s);
  fleet.network().FreezeHost(fleet.balancer_host(0));
  fleet.RunFor(10s);
  fleet.network().ThawHost(fleet.balancer_host(0));
  for (int n = 0; n < 2000; ++n) {
    fleet.RunFor(10ms);
    CHECK(fleet.IsRoutingComplete());
  }
  CHECK(fleet.CountEvents(MembershipEvent::kLocalHealthWorsened) > 0);
}

TEST(MembershipFleet, SuspicionOfALiveTargetIsRefuted) {
  MembershipFleet fleet(FleetOptions{});
  fleet.RunFor(20s);
  // Balancer 0 loses 90% of the packets it receives, so it suspects live
  // targets.
  fleet.SetInboundLoss(fleet.balancer_host(0), 0.9);
  fleet.RunFor(30s);
  fleet.SetInboundLoss(fleet.balancer_host(0), 0);
  fleet.RunFor(5s);
  CHECK(fleet.CountEvents(MembershipEvent::kSuspected) > 0);
  CHECK(fleet.CountEvents(MembershipEvent::kRefuted) > 0);
  CHECK(fleet.IsRoutingComplete());
}

TEST(MembershipFleet, AllBalancersRecoverWhenRestartedTogether) {
  MembershipFleet fleet(FleetOptions{.jitter = 100ms, .loss = 0.05});
  fleet.RunFor(20s);
  for (std::size_t n = 0; n < 3; ++n) {
    fleet.KillBalancer(n);
    fleet.StartBalancer(n);
  }
  const auto took = fleet.RunUntil(20s, [&] {
    return IsMembershipReady(fleet.GetBalancer(0)) && fleet.IsRoutingComplete();
  });
  CHECK(took <= 10s);
}

TEST(MembershipFleet, InsignificantLoadIsNotGossiped) {
  MembershipFleet fleet(FleetOptions{});
  fleet.RunFor(20s);
  const auto before =
      BuildServiceView(fleet.GetBalancer(0), fleet.service_of_agent(0)).version;
  SetTargetLoad(fleet.GetAgent(0), TargetLoad{.connections = 2010, .slots = 3});
  for (int step = 0; step < 100; ++step) {
    fleet.RunFor(50ms);
    CHECK(fleet.GetBalancer(0).targets_to_gossip.empty());
  }
  for (std::size_t n = 0; n < 3; ++n) {
    CHECK(before ==
          BuildServiceView(fleet.GetBalancer(n), fleet.service_of_agent(0))
              .version);
  }
  SetTargetLoad(fleet.GetAgent(0), TargetLoad{.connections = 3000, .slots = 3});
  fleet.RunFor(5s);
  for (std::size_t n = 0; n < 3; ++n) {
    const auto view =
        BuildServiceView(fleet.GetBalancer(n), fleet.service_of_agent(0));
    DOUBLES_EQUAL(2200, view.mean_connections, 1);
  }
}

TEST(MembershipFleet, AgentsReceiveTheViewOfTheirService) {
  MembershipFleet fleet(FleetOptions{});
  fleet.RunFor(10s);
  LONGS_EQUAL(5, fleet.GetAgent(2).view.targets.size());
  fleet.KillAgent(0);
  fleet.RunFor(6s);
  LONGS_EQUAL(4, fleet.GetAgent(2).view.targets.size());
}
