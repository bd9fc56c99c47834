#include "hawthornbank/gossip_plan.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};

auto MakeControl(std::uint32_t zone, std::uint32_t n) -> Endpoint {
  return Endpoint{.address = 0x0A000000 + (zone << 16U) + n, .port = 7000};
}

auto MakeRecord(std::uint32_t zone, std::uint32_t n, HostRole role)
    -> HostRecord {
  return HostRecord{.control = MakeControl(zone, n),
                    .role = role,
                    .zone = "zone-" + std::to_string(zone),
                    .incarnation = 1};
}

// Makes the fleet as the n-th balancer of a zone knows it.
auto MakeFleet(std::uint32_t zone,
               std::uint32_t n,
               std::uint32_t zones,
               std::uint32_t balancers_per_zone) -> Fleet {
  Fleet fleet{.self = MakeRecord(zone, n, HostRole::kBalancer)};
  for (std::uint32_t z = 0; z < zones; ++z) {
    for (std::uint32_t i = 0; i < balancers_per_zone; ++i) {
      if (MakeControl(z, i) != fleet.self.control) {
        MergeHostRecord(fleet, MakeRecord(z, i, HostRole::kBalancer), 0s, kNow);
      }
    }
  }
  return fleet;
}

auto CountInZone(const std::vector<Endpoint>& endpoints, std::uint32_t zone)
    -> std::ptrdiff_t {
  return std::count_if(endpoints.begin(), endpoints.end(), [zone](Endpoint it) {
    return (it.address >> 16U & 0xFFU) == zone;
  });
}

// Numbers of hosts: balancers and agents of a zone, and zones.
struct Size {
  std::uint32_t zones;
  std::uint32_t balancers;
  std::uint32_t agents;
};

// 17, 30, 100, 300 and 1,000 hosts, and the design size.
constexpr Size kSizes[] = {{3, 2, 3},   {5, 2, 4},    {5, 6, 14},
                           {5, 18, 42}, {5, 60, 140}, {6, 78, 783}};

}  // namespace

TEST_GROUP(GossipPlan){};

// Guards against agents that never send to a balancer again which shut down and
// started again: they took the balancers that had gone for ones they know.
TEST(GossipPlan, BalancersThatHaveShutDownArentKnown) {
  Fleet fleet{.self = MakeRecord(0, 9, HostRole::kAgent)};
  CHECK_FALSE(KnowsAnyBalancer(fleet, kNow));
  CHECK_FALSE(KnowsHost(fleet, MakeControl(0, 0), kNow));
  HostRecord record = MakeRecord(0, 0, HostRole::kBalancer);
  MergeHostRecord(fleet, record, 0s, kNow);
  CHECK(KnowsHost(fleet, record.control, kNow + 1h));
  record.is_shutting_down = true;
  record.revision = 2;
  MergeHostRecord(fleet, record, 0s, kNow);
  // It may still send and forward packets for its grace period.
  CHECK(KnowsAnyBalancer(fleet, kNow + kBalancerShutdownTime - 1ms));
  CHECK(KnowsHost(fleet, record.control, kNow + kBalancerShutdownTime - 1ms));
  CHECK_FALSE(KnowsAnyBalancer(fleet, kNow + kBalancerShutdownTime));
  CHECK_FALSE(KnowsHost(fleet, record.control, kNow + kBalancerShutdownTime));
  record.is_shutting_down = false;
  record.incarnation = 2;
  MergeHostRecord(fleet, record, 0s, kNow + 7s);
  CHECK(KnowsAnyBalancer(fleet, kNow + 7s));
}

TEST(GossipPlan, SmallFleetTellsAllBalancers) {
  const Fleet fleet = MakeFleet(0, 0, 3, 4);
  LONGS_EQUAL(11, ListHeartbeatReceivers(fleet, 5, kNow).size());
  LONGS_EQUAL(11, ListChangeReceivers(fleet, kNow).size());
  LONGS_EQUAL(11, ListRoutesNewsReceivers(fleet, false, kNow).size());
  CHECK(ListRelayReceivers(fleet, kNow).empty());
  CHECK(ComputeUnresponsiveTime(CountBalancers(fleet), false) ==
        kUnresponsiveAfter);
}

TEST(GossipPlan, ChangeGoesToTheOwnZoneAndTwoRelaysOfEachOther) {
  const Fleet fleet = MakeFleet(2, 7, 5, 20);
  const auto receivers = ListChangeReceivers(fleet, kNow);
  LONGS_EQUAL(19, CountInZone(receivers, 2));
  for (const std::uint32_t zone : {0U, 1U, 3U, 4U}) {
    LONGS_EQUAL(kRelaysPerZone, CountInZone(receivers, zone));
  }
  const auto relayed_to = ListRelayReceivers(fleet, kNow);
  LONGS_EQUAL(19, relayed_to.size());
  LONGS_EQUAL(19, CountInZone(relayed_to, 2));
}

TEST(GossipPlan, ChangesOfManyHostsAreSpreadOverTheRelays) {
  std::map<std::uint32_t, int> changes;
  for (std::uint32_t n = 0; n < 20; ++n) {
    for (const auto it : ListChangeReceivers(MakeFleet(0, n, 2, 20), kNow)) {
      changes[it.address] += CountInZone({it}, 1) == 1 ? 1 : 0;
    }
  }
  for (const auto& [address, count] : changes) {
    CHECK(count <= 6);  // Two on average.
  }
}

// A heartbeat reaches each balancer of the zone, and of the other zones, before
// the process is suspected there.
TEST(GossipPlan, HeartbeatsReachEveryBalancerWithinTheUnresponsiveTime) {
  for (const Size& it : kSizes) {
    const Fleet fleet = MakeFleet(1, 1, it.zones, it.balancers);
    const FleetSize size = CountBalancers(fleet);
    const Duration interval = ComputeHeartbeatInterval(size);
    for (const bool is_same_zone : {true, false}) {
      const auto rounds = static_cast<std::uint64_t>(
          ComputeUnresponsiveTime(size, is_same_zone) / interval);
      // One heartbeat to each may be lost.
      std::map<std::uint32_t, int> heartbeats;
      for (std::uint64_t round = 9; round < 9 + rounds; ++round) {
        for (const auto receiver : ListHeartbeatReceivers(fleet, round, kNow)) {
          if ((CountInZone({receiver}, 1) == 1) == is_same_zone) {
            ++heartbeats[receiver.address];
          }
        }
      }
      const std::size_t expected =
          is_same_zone ? it.balancers - 1 : (it.zones - 1) * it.balancers;
      LONGS_EQUAL(expected, heartbeats.size());
      for (const auto& [address, count] : heartbeats) {
        CHECK(count >= 2);
      }
    }
  }
}

// Load pattern: a day without changes, at any size of the fleet.
TEST(GossipPlan, HeartbeatsAndNewsStayWithinABalancersByteRate) {
  constexpr double kMaxBytesPerSecond = 3072;
  for (const Size& it : kSizes) {
    const Fleet fleet = MakeFleet(0, 0, it.zones, it.balancers);
    const FleetSize size = CountBalancers(fleet);
    const double interval =
        std::chrono::duration<double>(ComputeHeartbeatInterval(size)).count();
    const double balancers = it.zones * it.balancers;
    const double hosts = balancers + it.zones * it.agents;
    const double sent =
        static_cast<double>(ListHeartbeatReceivers(fleet, 0, kNow).size()) *
        kHeartbeatBytes / interval;
    const double received = sent * hosts / balancers;
    CHECK(received <= kMaxBytesPerSecond);
    // The first balancer of the fleet also tells others of its routes.
    const double news_interval = std::max(
        0.8,
        std::chrono::duration<double>(ComputeRoutesNewsInterval(size)).count());
    const double news =
        static_cast<double>(ListRoutesNewsReceivers(fleet, true, kNow).size()) *
        kHeartbeatBytes / news_interval;
    CHECK(sent + news <= kMaxBytesPerSecond);
  }
}

TEST(GossipPlan, SettlingTimeIsBoundedAtAnySize) {
  for (const Size& it : kSizes) {
    const FleetSize size =
        CountBalancers(MakeFleet(0, 0, it.zones, it.balancers));
    CHECK(ComputeSettlingTime(size) >= 3s);
    CHECK(ComputeSettlingTime(size) <= 5200ms);
    CHECK(ComputeSettlingTime(size) >= 2 * ComputeHeartbeatInterval(size));
  }
}

// Load pattern: all balancers of a large fleet restart while the agents run on.
// Comparisons within the own zone alone left balancers without the agents of
// other zones for up to ten seconds, and they reset flows of these agents.
TEST(GossipPlan, StartingBalancerComparesItsRecordsWithAllZonesInTurn) {
  const Fleet fleet = MakeFleet(2, 3, 5, 20);
  Random random{5};
  std::set<std::uint32_t> peers;
  for (std::uint64_t round = 0; round < 10; round += 5) {
    for (std::uint32_t zone = 0; zone < 5; ++zone) {
      const auto peer = ChooseComparisonPeer(fleet, round + zone, random, kNow);
      CHECK(peer.has_value());
      LONGS_EQUAL(1, CountInZone({*peer}, zone));
      CHECK(*peer != fleet.self.control);
      peers.insert(peer->address);
    }
  }
  CHECK(peers.size() > 5);
  CHECK_FALSE(ChooseComparisonPeer(Fleet{.self = fleet.self}, 0, random, kNow)
                  .has_value());
}

// Load pattern: all hosts lose power and the seeds start last. They know one
// another at once, but nobody knows that they are back.
TEST(GossipPlan, StartingBalancerJoinsListedBalancersThatItDoesNotKnow) {
  const Fleet fleet = MakeFleet(0, 0, 1, 3);
  std::vector<Endpoint> listed;
  for (std::uint32_t n = 0; n < 10; ++n) {
    listed.push_back(MakeControl(0, n));
  }
  Random random{5};
  const auto joined = ListBalancersToJoin(fleet, listed, random);
  LONGS_EQUAL(7, joined.size());
  for (std::uint32_t n = 0; n < 10; ++n) {
    const bool is_listed = std::find(joined.begin(), joined.end(),
                                     MakeControl(0, n)) != joined.end();
    CHECK_EQUAL(n >= 3, is_listed);
  }
}

TEST(GossipPlan, StartingBalancersOfALargeFleetJoinAFewDifferentOnes) {
  const Fleet fleet{.self = MakeRecord(0, 1000, HostRole::kBalancer)};
  std::vector<Endpoint> listed;
  for (std::uint32_t n = 0; n < 470; ++n) {
    listed.push_back(MakeControl(0, n));
  }
  std::set<std::uint32_t> asked;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random{seed};
    const auto joined = ListBalancersToJoin(fleet, listed, random);
    LONGS_EQUAL(kMaxBalancersToJoin, joined.size());
    asked.insert(joined.front().address);
  }
  CHECK(asked.size() >= 15);
}

TEST(GossipPlan, BalancerInShutdownIsToldUntilItHasEnded) {
  Fleet fleet = MakeFleet(0, 0, 1, 4);
  HostRecord record = MakeRecord(0, 2, HostRole::kBalancer);
  record.is_shutting_down = true;
  record.revision = 1;
  MergeHostRecord(fleet, record, 0s, kNow);
  LONGS_EQUAL(3, ListChangeReceivers(fleet, kNow + 5s).size());
  LONGS_EQUAL(2, ListChangeReceivers(fleet, kNow + 6s).size());
}

TEST(GossipPlan, OneBalancerOfTheFleetAndThenOneOfEachZoneReadTheStore) {
  std::set<std::uint32_t> first_of_zones;
  for (std::uint32_t zone = 0; zone < 3; ++zone) {
    for (std::uint32_t n = 0; n < 10; ++n) {
      const ReaderRank rank =
          ComputeReaderRank(MakeFleet(zone, n, 3, 10), kNow);
      LONGS_EQUAL(n, rank.in_zone);
      LONGS_EQUAL(zone, rank.zones);
    }
  }
}

TEST(GossipPlan, NextBalancerOfTheZoneFollowsWhenTheFirstIsNotLive) {
  Fleet fleet = MakeFleet(1, 1, 3, 10);
  MarkHostSuspected(fleet.hosts.at(MakeControl(1, 0)), kNow);
  LONGS_EQUAL(0, ComputeReaderRank(fleet, kNow).in_zone);
  LONGS_EQUAL(1, ComputeReaderRank(fleet, kNow).zones);
  for (std::uint32_t n = 0; n < 10; ++n) {
    MarkHostSuspected(fleet.hosts.at(MakeControl(0, n)), kNow);
  }
  LONGS_EQUAL(0, ComputeReaderRank(fleet, kNow).zones);
}

TEST(GossipPlan, NewsOfTheStoreReachesTheFirstBalancerOfEachZone) {
  const Fleet fleet = MakeFleet(0, 0, 5, 20);
  const auto receivers = ListRoutesNewsReceivers(fleet, true, kNow);
  LONGS_EQUAL(19, CountInZone(receivers, 0));
  for (std::uint32_t zone = 1; zone < 5; ++zone) {
    LONGS_EQUAL(1, CountInZone(receivers, zone));
    CHECK(std::find(receivers.begin(), receivers.end(), MakeControl(zone, 0)) !=
          receivers.end());
  }
  LONGS_EQUAL(19, ListRoutesNewsReceivers(fleet, false, kNow).size());
}

TEST(GossipPlan, BalancerIntroducesItselfUntilTheAgentAnnouncesItself) {
  Fleet fleet = MakeFleet(0, 0, 5, 20);
  const auto add_agent = [&](std::uint32_t zone) -> KnownHost& {
    MergeHostRecord(fleet, MakeRecord(zone, 1000, HostRole::kAgent), 0s, kNow);
    return fleet.hosts.at(MakeControl(zone, 1000));
  };
  add_agent(1);
  KnownHost& agent = add_agent(0);
  const FleetSize size = CountBalancers(fleet);
  const auto must_introduce = [&](const KnownHost& host, TimePoint now) {
    return MustIntroduceBalancer(fleet, size, host, now);
  };
  // The agent's record came from another balancer, not from the agent.
  CHECK(must_introduce(agent, kNow));
  RecordTargetLoad(agent, {}, kNow);
  CHECK_FALSE(must_introduce(agent, kNow + 1s));
  CHECK(must_introduce(agent, kNow + agent.unresponsive_after));
  // Agents of other zones tell their changes to this zone's relays.
  const KnownHost& remote = fleet.hosts.at(MakeControl(1, 1000));
  CHECK_FALSE(must_introduce(remote, kNow));
  CHECK(MustIntroduceBalancer(fleet, {.balancers = 3}, remote, kNow));
  CHECK_FALSE(must_introduce(fleet.hosts.at(MakeControl(0, 1)), kNow));
}

// Load pattern: all balancers restart while the store is down.
TEST(GossipPlan, OnlyAFewAgentsAreNotifiedOfNewerRoutes) {
  Fleet fleet = MakeFleet(0, 0, 1, 2);
  const auto agent = [](std::uint32_t n) { return MakeControl(0, 100 + n); };
  for (std::uint32_t n = 1; n <= 9; ++n) {
    MergeHostRecord(fleet, MakeRecord(0, 100 + n, HostRole::kAgent), 0s, kNow);
  }
  fleet.hosts.at(agent(2)).version = 7;
  fleet.hosts.at(agent(3)).version = 6;
  const std::vector expected = {agent(1), agent(3), agent(4)};
  CHECK(ListAgentsToNotifyOfRoutes(fleet, 7, kNow) == expected);
  // The next agent by address replaces a suspected agent.
  MarkHostSuspected(fleet.hosts.at(agent(1)), kNow);
  const std::vector expected_without_first = {agent(3), agent(4), agent(5)};
  CHECK(ListAgentsToNotifyOfRoutes(fleet, 7, kNow) == expected_without_first);
  CHECK(ListAgentsToNotifyOfRoutes(fleet, 0, kNow).empty());
}

TEST(GossipPlan, EachZoneOfALargeFleetHasAgentsThatStoreTheRoutes) {
  Fleet fleet = MakeFleet(1, 0, 3, 10);
  for (std::uint32_t zone = 0; zone < 3; ++zone) {
    for (std::uint32_t n = 0; n < 6; ++n) {
      MergeHostRecord(fleet, MakeRecord(zone, 100 + n, HostRole::kAgent), 0s,
                      kNow);
    }
  }
  const auto agents = ListAgentsToNotifyOfRoutes(fleet, 7, kNow);
  LONGS_EQUAL(kRouteHolderCount, agents.size());
  LONGS_EQUAL(kRouteHolderCount, CountInZone(agents, 1));
}
