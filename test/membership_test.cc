#include "hawthornbank/membership.h"

#include <algorithm>
#include <cereal/archives/binary.hpp>
#include <sstream>

#include "common/membership_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;
using bench::FleetOptions;
using bench::MembershipFleet;

namespace {

/// Runs until a condition holds.
/// @return How long that took, or the limit.
template <class Condition>
auto RunUntil(MembershipFleet& fleet, Duration limit, Condition condition)
    -> Duration {
  const auto begin = fleet.now();
  while (!condition() && fleet.now() - begin < limit) {
    fleet.Run(10ms);
  }
  return fleet.now() - begin;
}

auto Target(const std::string& name,
            std::uint64_t incarnation,
            std::uint64_t sequence) -> TargetRecord {
  return TargetRecord{.id = TargetId{HashName(name)},
                      .name = name,
                      .service = ServiceId{1},
                      .agent = Endpoint{.address = 2, .port = 2},
                      .zone = "a",
                      .incarnation = Incarnation{incarnation},
                      .sequence = sequence};
}

auto Alone() -> Membership {
  return MakeMembership(
      MembershipOptions{.self =
                            BalancerRecord{.id = HostId{1},
                                           .name = "b",
                                           .peer = {.address = 1, .port = 1},
                                           .zone = "a",
                                           .region = "r",
                                           .incarnation = Incarnation{1}}},
      TimePoint{});
}

auto CountOf(const std::vector<MembershipAction>& actions,
             MembershipEvent event) -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      actions.begin(), actions.end(), [event](const MembershipAction& it) {
        const auto* count = std::get_if<CountMembershipEvent>(&it);
        return count != nullptr && count->event == event;
      }));
}

}  // namespace

TEST_GROUP(MembershipMessages){};

TEST(MembershipMessages, SizeIsThatOfTheEncoding) {
  Digest digest{.sender = HostId{1},
                .incarnation = Incarnation{300},
                .sequence = 70000,
                .first_bucket = 200,
                .checksums = {1, 2},
                .beacons = {{.zone = 7, .beacon = 1000}},
                .targets = {Target("t", 9, 1000)},
                .balancers = {BalancerRecord{.name = "bb", .zone = "z"}}};
  std::ostringstream stream;
  cereal::BinaryOutputArchive archive(stream);
  archive(digest);
  LONGS_EQUAL(stream.str().size(), EncodedSize(digest));
  std::istringstream input(stream.str());
  Digest read;
  cereal::BinaryInputArchive{input}(read);
  CHECK(read.sequence == 70000);
  CHECK(read.targets.at(0).sequence == 1000);
  STRCMP_EQUAL("bb", read.balancers.at(0).name.c_str());
}

TEST(MembershipMessages, RefusesTooLongLists) {
  std::istringstream input(std::string("\xFF\xFF\xFF\x7F", 4));
  cereal::BinaryInputArchive archive(input);
  std::vector<ZoneBeacon> list;
  CHECK_THROWS(Error, wire::List(archive, list));
}

TEST_GROUP(MembershipRules){};

TEST(MembershipRules, OldAnnounceIsIgnoredAndCounted) {
  auto membership = Alone();
  std::vector<MembershipAction> out;
  const Endpoint from{.address = 2, .port = 2};
  OnAnnounce(membership, from, Announce{.target = Target("t", 5, 10)},
             TimePoint{1s}, out);
  auto drained = Target("t", 5, 9);
  drained.state = TargetState::kDraining;
  out.clear();
  OnAnnounce(membership, from, Announce{.target = drained}, TimePoint{2s}, out);
  LONGS_EQUAL(1, CountOf(out, MembershipEvent::kStaleAnnounce));
  drained.incarnation = Incarnation{4};
  drained.sequence = 99;
  OnAnnounce(membership, from, Announce{.target = drained}, TimePoint{2s}, out);
  LONGS_EQUAL(2, CountOf(out, MembershipEvent::kStaleAnnounce));
  LONGS_EQUAL(1, RoutableTargets(membership, ServiceId{1}).size());
}

TEST(MembershipRules, RestartReplacesAtOnceAndIsYoungAgain) {
  auto membership = Alone();
  std::vector<MembershipAction> out;
  OnAnnounce(membership, {}, Announce{.target = Target("t", 5, 10)},
             TimePoint{1s}, out);
  auto restarted = Target("t", 6, 1);
  restarted.agent.port = 77;
  OnAnnounce(membership, {}, Announce{.target = restarted}, TimePoint{9s}, out);
  const auto targets = RoutableTargets(membership, ServiceId{1});
  LONGS_EQUAL(1, targets.size());
  LONGS_EQUAL(77, targets[0].agent.port);
  CHECK(FirstSeen(membership, restarted.id) == TimePoint{9s});
}

TEST(MembershipRules, TargetCannotDeclareDeathOrOverweight) {
  auto membership = Alone();
  std::vector<MembershipAction> out;
  auto target = Target("t", 1, 1);
  target.load.weight_percent = 5000;
  OnAnnounce(membership, {}, Announce{.target = target}, TimePoint{1s}, out);
  LONGS_EQUAL(100, TargetsOf(membership, ServiceId{1})[0].load.weight_percent);
  target.state = TargetState::kDead;
  target.sequence = 2;
  OnAnnounce(membership, {}, Announce{.target = target}, TimePoint{1s}, out);
  LONGS_EQUAL(1, CountOf(out, MembershipEvent::kMalformedAnnounce));
  LONGS_EQUAL(1, RoutableTargets(membership, ServiceId{1}).size());
}

TEST(MembershipRules, ExpiredTombstoneDoesNotComeBack) {
  auto membership = Alone();
  std::vector<MembershipAction> out;
  auto dead = Target("t", 1, 1);
  dead.state = TargetState::kDead;
  OnDigest(membership, {}, Digest{.sender = HostId{2}, .targets = {dead}},
           TimePoint{1s}, out);
  LONGS_EQUAL(0, TargetsOf(membership, ServiceId{1}).size());
}

TEST_GROUP(MembershipDoubt) {
  Membership membership = Alone();
  Random random{1};
  std::vector<MembershipAction> out;
  std::uint64_t sequence = 0;

  /// Runs with some targets announcing each second.
  auto Run(Duration from, Duration to, const std::vector<std::string>& names)
      ->void {
    for (auto now = from; now < to; now += 100ms) {
      if (now % 1s == 0s) {
        ++sequence;
        for (const auto& it : names) {
          OnAnnounce(membership, {},
                     Announce{.target = Target(it, 1, sequence)},
                     TimePoint{now}, out);
        }
      }
      OnMembershipTick(membership, TimePoint{now}, random, out);
    }
  }
};

TEST(MembershipDoubt, OneSilentTargetIsSuspectedSoon) {
  Run(0s, 10s, {"a", "b", "c", "d", "e", "f"});
  Run(10s, 11400ms, {"a", "b", "c", "d", "e"});
  LONGS_EQUAL(6, RoutableTargets(membership, ServiceId{1}).size());
  Run(11400ms, 12s, {"a", "b", "c", "d", "e"});
  LONGS_EQUAL(5, RoutableTargets(membership, ServiceId{1}).size());
}

TEST(MembershipDoubt, MostSilentAtOnceAreSuspectedLate) {
  Run(0s, 10s, {"a", "b", "c", "d", "e", "f"});
  Run(10s, 13500ms, {"a", "b"});
  LONGS_EQUAL(6, RoutableTargets(membership, ServiceId{1}).size());
  CHECK(CountOf(out, MembershipEvent::kSelfDoubt) > 0);
  Run(14s, 20s, {"a", "b"});
  LONGS_EQUAL(2, RoutableTargets(membership, ServiceId{1}).size());
}

TEST(MembershipDoubt, WrongSuspicionStretchesTheNext) {
  const std::vector<std::string> others = {"a", "b", "c"};
  Run(0s, 10s, {"a", "b", "c", "d"});
  Run(10s, 13s, others);
  LONGS_EQUAL(1, CountOf(out, MembershipEvent::kSuspected));
  // Another watcher has heard it since; here it stays unheard.
  OnDigest(membership, {},
           Digest{.sender = HostId{2}, .targets = {Target("d", 1, 13)}},
           TimePoint{13s}, out);
  Run(13s, 16s, others);
  LONGS_EQUAL(1, CountOf(out, MembershipEvent::kSuspected));
  LONGS_EQUAL(4, RoutableTargets(membership, ServiceId{1}).size());
}

TEST(MembershipRules, StaleAccusationIsCorrected) {
  auto membership = Alone();
  std::vector<MembershipAction> out;
  OnAnnounce(membership, {}, Announce{.target = Target("t", 1, 10)},
             TimePoint{1s}, out);
  auto accused = Target("t", 1, 9);
  accused.state = TargetState::kSuspect;
  out.clear();
  const Endpoint from{.address = 9, .port = 9};
  OnDigest(membership, from, Digest{.sender = HostId{2}, .targets = {accused}},
           TimePoint{1s}, out);
  bool corrected = false;
  for (const auto& it : out) {
    const auto* send = std::get_if<SendDigest>(&it);
    corrected = corrected || (send != nullptr && send->to == from &&
                              send->digest.targets.size() == 1 &&
                              send->digest.targets[0].sequence == 10);
  }
  CHECK(corrected);
}

TEST_GROUP(MembershipFleet){};

TEST(MembershipFleet, EverybodyLearnsOfEverybody) {
  MembershipFleet fleet(FleetOptions{});
  const auto took = RunUntil(fleet, 10s, [&] { return fleet.IsWhole(); });
  CHECK(took <= 4s);
  LONGS_EQUAL(3, Balancers(fleet.balancer(0)).size());
}

TEST(MembershipFleet, CrashedTargetGetsNoNewFlowAfterFiveSeconds) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    MembershipFleet fleet(
        FleetOptions{.jitter = 100ms, .loss = 0.05, .seed = seed});
    fleet.Run(20s);
    CHECK(fleet.IsWhole());
    fleet.KillAgent(4);
    const auto took =
        RunUntil(fleet, 20s, [&] { return fleet.RoutingCount(4) == 0; });
    CHECK(took <= 5s);
  }
}

TEST(MembershipFleet, DrainingTargetGetsNoNewFlowAfterThreeSeconds) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    MembershipFleet fleet(
        FleetOptions{.jitter = 100ms, .loss = 0.05, .seed = seed});
    fleet.Run(20s);
    fleet.Drain(4);
    const auto took =
        RunUntil(fleet, 20s, [&] { return fleet.RoutingCount(4) == 0; });
    CHECK(took <= 3s);
  }
}

TEST(MembershipFleet, NoFalseDeathInAnHourOfLossAndJitter) {
  MembershipFleet fleet(FleetOptions{.jitter = 100ms, .loss = 0.05});
  fleet.Run(1h);
  CHECK(fleet.IsWhole());
  LONGS_EQUAL(0, fleet.events(MembershipEvent::kDeclaredDead));
}

TEST(MembershipFleet, NewcomerServesWithinTwoSeconds) {
  MembershipFleet fleet(FleetOptions{.jitter = 100ms, .loss = 0.05});
  fleet.Run(20s);
  fleet.KillBalancer(0);
  fleet.Run(20s);
  fleet.StartBalancer(0);
  const auto took = RunUntil(fleet, 10s, [&] {
    return IsReady(fleet.balancer(0)) && fleet.IsWhole();
  });
  CHECK(took <= 2s);
}

TEST(MembershipFleet, NewcomerIsNotReadyBeforeItKnowsAll) {
  MembershipFleet fleet(FleetOptions{.balancers = 6, .agents = 600});
  fleet.Run(30s);
  CHECK(fleet.IsWhole());
  fleet.KillBalancer(4);
  fleet.Run(20s);
  fleet.StartBalancer(4);
  CHECK(!IsReady(fleet.balancer(4)));
  const auto took =
      RunUntil(fleet, 10s, [&] { return IsReady(fleet.balancer(4)); });
  CHECK(took <= 2s);
  CHECK(fleet.IsWhole());
}

TEST(MembershipFleet, EverybodyLearnsTheGenerationsInForce) {
  MembershipFleet fleet(FleetOptions{
      .balancers = 60, .agents = 60, .jitter = 100ms, .loss = 0.05});
  fleet.Run(20s);
  for (std::size_t n = 0; n < 60; ++n) {
    fleet.SetGeneration(n, Generation{2});
  }
  const auto all_know = [&] {
    for (std::size_t n = 0; n < 60; ++n) {
      for (const auto& it : Balancers(fleet.balancer(n))) {
        if (it.generation != Generation{2}) {
          return false;
        }
      }
    }
    return true;
  };
  CHECK(RunUntil(fleet, 30s, all_know) <= 14s);
}

TEST(MembershipFleet, TargetLostWithItsZoneWatchersIsStillFound) {
  MembershipFleet fleet(FleetOptions{.balancers = 9, .agents = 12});
  fleet.Run(20s);
  CHECK(fleet.IsWhole());
  fleet.KillBalancer(0);
  fleet.KillBalancer(3);
  fleet.KillBalancer(6);
  fleet.KillAgent(0);
  LONGS_EQUAL(0, fleet.zone_of_agent(0));
  const auto took =
      RunUntil(fleet, 20s, [&] { return fleet.RoutingCount(0) == 0; });
  CHECK(took <= 5s);
}

TEST(MembershipFleet, LossOfARackLeavesTheOthers) {
  MembershipFleet fleet(FleetOptions{.jitter = 100ms, .loss = 0.05});
  fleet.Run(20s);
  // Service 2 has the agents 1, 3, 5, 7 and 9.
  fleet.KillAgent(1);
  fleet.KillAgent(7);
  const auto took = RunUntil(fleet, 20s, [&] {
    return fleet.RoutingCount(1) + fleet.RoutingCount(7) == 0;
  });
  CHECK(took <= 5s);
  LONGS_EQUAL(3, RoutableTargets(fleet.balancer(0), ServiceId{2}).size());
}

TEST(MembershipFleet, LossOfMostTargetsKeepsTheSuspects) {
  MembershipFleet fleet(FleetOptions{});
  fleet.Run(20s);
  for (const std::size_t n : {1U, 3U, 5U, 7U}) {
    fleet.KillAgent(n);
  }
  for (int second = 0; second < 40; ++second) {
    fleet.Run(1s);
    CHECK(RoutableTargets(fleet.balancer(0), ServiceId{2}).size() >= 2);
  }
  CHECK(fleet.events(MembershipEvent::kHeldByFloor) > 0);
  for (const std::size_t n : {1U, 3U, 5U, 7U}) {
    fleet.StartAgent(n);
  }
  fleet.Run(5s);
  CHECK(fleet.IsWhole());
}

TEST(MembershipFleet, RegionsPartAndMergeWithoutFlapping) {
  MembershipFleet fleet(FleetOptions{.balancers = 8,
                                     .agents = 16,
                                     .zones = 4,
                                     .zones_per_region = 2,
                                     .jitter = 20ms,
                                     .loss = 0.01});
  fleet.Run(20s);
  CHECK(fleet.IsWhole());
  fleet.CutZonesFrom(2);
  fleet.Run(15s);
  for (int second = 0; second < 165; ++second) {
    fleet.Run(1s);
    for (std::size_t n = 0; n < 16; ++n) {
      LONGS_EQUAL(4, fleet.RoutingCount(n));
    }
  }
  LONGS_EQUAL(0, fleet.events(MembershipEvent::kDeclaredDead));
  fleet.EndCut();
  CHECK(RunUntil(fleet, 20s, [&] { return fleet.IsWhole(); }) <= 10s);
  for (int n = 0; n < 600; ++n) {
    fleet.Run(100ms);
    CHECK(fleet.IsWhole());
  }
}

TEST(MembershipFleet, FrozenObserverDoubtsItself) {
  MembershipFleet fleet(FleetOptions{.jitter = 100ms, .loss = 0.05});
  fleet.Run(20s);
  fleet.network().Freeze(fleet.balancer_host(0));
  fleet.Run(10s);
  fleet.network().Thaw(fleet.balancer_host(0));
  for (int n = 0; n < 2000; ++n) {
    fleet.Run(10ms);
    CHECK(fleet.IsWhole());
  }
  CHECK(fleet.events(MembershipEvent::kSelfDoubt) > 0);
}

TEST(MembershipFleet, DeafObserverTakesNothingAway) {
  MembershipFleet fleet(FleetOptions{.jitter = 100ms, .loss = 0.05});
  fleet.Run(20s);
  fleet.Deafen(fleet.balancer_host(0), 1);
  for (int n = 0; n < 600; ++n) {
    fleet.Run(100ms);
    CHECK(fleet.IsWhole());
  }
  LONGS_EQUAL(0, fleet.events(MembershipEvent::kDeclaredDead));
}

TEST(MembershipFleet, HalfDeafObserverDeclaresNobodyDead) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    MembershipFleet fleet(
        FleetOptions{.jitter = 100ms, .loss = 0.05, .seed = seed});
    fleet.Run(20s);
    fleet.Deafen(fleet.balancer_host(0), 0.5);
    fleet.Run(5min);
    LONGS_EQUAL(0, fleet.events(MembershipEvent::kDeclaredDead));
  }
}

TEST(MembershipFleet, SuspicionOfALiveTargetIsRefuted) {
  MembershipFleet fleet(FleetOptions{});
  fleet.Run(20s);
  // Balancer 0 loses everything but a heartbeat now and then, so it suspects.
  fleet.Deafen(fleet.balancer_host(0), 0.9);
  fleet.Run(30s);
  fleet.Deafen(fleet.balancer_host(0), 0);
  fleet.Run(5s);
  CHECK(fleet.events(MembershipEvent::kSuspected) > 0);
  CHECK(fleet.events(MembershipEvent::kRefuted) > 0);
  CHECK(fleet.IsWhole());
}

TEST(MembershipFleet, RestartOfAllBalancersRecovers) {
  MembershipFleet fleet(FleetOptions{.jitter = 100ms, .loss = 0.05});
  fleet.Run(20s);
  for (std::size_t n = 0; n < 3; ++n) {
    fleet.KillBalancer(n);
    fleet.StartBalancer(n);
  }
  const auto took = RunUntil(fleet, 20s, [&] {
    return IsReady(fleet.balancer(0)) && fleet.IsWhole();
  });
  CHECK(took <= 10s);
}

TEST(MembershipFleet, TrafficStaysInTheBudget) {
  MembershipFleet fleet(FleetOptions{
      .balancers = 20, .agents = 200, .jitter = 100ms, .loss = 0.05});
  fleet.Run(30s);
  fleet.ResetTraffic();
  fleet.Run(60s);
  for (std::size_t n = 0; n < 20; ++n) {
    CHECK(fleet.balancer_traffic(n).bytes <= 60 * 3072);
  }
  for (std::size_t n = 0; n < 200; ++n) {
    CHECK(fleet.agent_traffic(n).bytes <= 60 * 3072);
  }
}

TEST(MembershipFleet, InsignificantLoadIsNotGossiped) {
  MembershipFleet fleet(FleetOptions{});
  fleet.Run(20s);
  const auto before = ViewOf(fleet.balancer(0), fleet.service_of(0)).version;
  SetLoad(fleet.agent(0), TargetLoad{.connections = 2010, .slots = 3});
  for (int step = 0; step < 100; ++step) {
    fleet.Run(50ms);
    CHECK(fleet.balancer(0).hot_targets.empty());
  }
  for (std::size_t n = 0; n < 3; ++n) {
    CHECK(before == ViewOf(fleet.balancer(n), fleet.service_of(0)).version);
  }
  SetLoad(fleet.agent(0), TargetLoad{.connections = 3000, .slots = 3});
  fleet.Run(5s);
  for (std::size_t n = 0; n < 3; ++n) {
    const auto view = ViewOf(fleet.balancer(n), fleet.service_of(0));
    DOUBLES_EQUAL(2200, view.mean_connections, 1);
  }
}

TEST(MembershipFleet, AgentsGetTheViewOfTheirService) {
  MembershipFleet fleet(FleetOptions{});
  fleet.Run(10s);
  LONGS_EQUAL(5, fleet.agent(2).view.targets.size());
  fleet.KillAgent(0);
  fleet.Run(6s);
  LONGS_EQUAL(4, fleet.agent(2).view.targets.size());
}
