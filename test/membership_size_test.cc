#include "common/membership_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;
using bench::FleetOptions;
using bench::MembershipFleet;

TEST_GROUP(MembershipSize){};

TEST(MembershipSize, AnHourOfLossAndJitterCausesNoFalseDeath) {
  MembershipFleet fleet(FleetOptions{.jitter = 100ms, .loss = 0.05});
  fleet.RunFor(1h);
  CHECK(fleet.IsRoutingComplete());
  LONGS_EQUAL(0, fleet.CountEvents(MembershipEvent::kDeclaredDead));
}

TEST(MembershipSize, NewBalancerIsNotReadyBeforeItKnowsAllTargets) {
  MembershipFleet fleet(FleetOptions{.balancers = 6, .agents = 600});
  fleet.RunFor(30s);
  CHECK(fleet.IsRoutingComplete());
  fleet.KillBalancer(4);
  fleet.RunFor(20s);
  fleet.StartBalancer(4);
  CHECK(!IsMembershipReady(fleet.GetBalancer(4)));
  const auto took = fleet.RunUntil(
      10s, [&] { return IsMembershipReady(fleet.GetBalancer(4)); });
  CHECK(took <= 2s);
  CHECK(fleet.IsRoutingComplete());
}

TEST(MembershipSize, AllBalancersLearnTheGenerationsInForce) {
  MembershipFleet fleet(FleetOptions{
      .balancers = 60, .agents = 60, .jitter = 100ms, .loss = 0.05});
  fleet.RunFor(20s);
  for (std::size_t n = 0; n < 60; ++n) {
    fleet.SetGeneration(n, Generation{2});
  }
  const auto all_know = [&] {
    for (std::size_t n = 0; n < 60; ++n) {
      for (const auto& it : ListBalancers(fleet.GetBalancer(n))) {
        if (it.generation != Generation{2}) {
          return false;
        }
      }
    }
    return true;
  };
  CHECK(fleet.RunUntil(30s, all_know) <= 14s);
}

TEST(MembershipSize, GenerationGossipCostsLessThanRecordGossip) {
  MembershipFleet fleet(FleetOptions{.balancers = 60, .agents = 60});
  const auto bytes_in = [&fleet](Duration duration) {
    fleet.ResetTraffic();
    fleet.RunFor(duration);
    std::uint64_t bytes = 0;
    for (std::size_t n = 0; n < 60; ++n) {
      bytes += fleet.balancer_traffic(n).bytes;
    }
    return bytes / 60;
  };
  fleet.RunFor(20s);
  const auto quiet = bytes_in(20s);
  for (std::size_t n = 0; n < 60; ++n) {
    fleet.SetGeneration(n, Generation{2});
  }
  // The allowed extra traffic lets each balancer send each record to two peers
  // in each of two gossip rounds.
  const auto records = 60 * ComputeEncodedSize(fleet.GetBalancer(0).self);
  CHECK(bytes_in(20s) <= quiet + 4 * records);
}

TEST(MembershipSize, TrafficStaysInTheBudget) {
  MembershipFleet fleet(FleetOptions{
      .balancers = 20, .agents = 200, .jitter = 100ms, .loss = 0.05});
  fleet.RunFor(30s);
  fleet.ResetTraffic();
  fleet.RunFor(60s);
  for (std::size_t n = 0; n < 20; ++n) {
    CHECK(fleet.balancer_traffic(n).bytes <= 60UL * 3072);
  }
  for (std::size_t n = 0; n < 200; ++n) {
    CHECK(fleet.agent_traffic(n).bytes <= 60UL * 3072);
  }
}
