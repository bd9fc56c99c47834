#include "hawthornbank/zone_service.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

#include "hawthornbank/gossip_plan.h"
#include "hawthornbank/relay.h"
#include "protocol/node_message.h"

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};

auto MakeSet(std::uint64_t revision, std::vector<std::string> zones = {})
    -> ZonesOutOfService {
  return MakeZonesOutOfService({.revision = revision}, std::move(zones));
}

auto MakeHeartbeat(const ZonesOutOfService& zones) -> HostHeartbeat {
  return HostHeartbeat{
      .incarnation = 1777777777777,
      .revision = 300,
      .load = {.running = 2, .flows = 40},
      .roster_digest = 99,
      .routes = {.version = 70000, .age_ms = 3'600'000, .zones = zones}};
}

}  // namespace

TEST_GROUP(ZoneService){};

TEST(ZoneService, SetIsSortedAndLeavesOutUnusableNames) {
  const auto set =
      MakeSet(3, {"b", "a", "b", "", std::string(kMaxZoneNameLength + 1, 'x')});
  CHECK(set.zones == (std::vector<std::string>{"a", "b"}));
  CHECK(IsOutOfService(set, "a"));
  CHECK_FALSE(IsOutOfService(set, "c"));
  CHECK(MakeSet(3, std::vector<std::string>(1, "a")).zones.size() == 1);
}

// Guards against an operator's order that entries of another writer push out of
// the set.
TEST(ZoneService, KnownZonesAreKeptBeforeOtherNames) {
  std::vector<std::string> names = {"zone-a", "zone-b"};
  for (std::size_t n = 0; n < kMaxZonesOutOfService + 8; ++n) {
    names.push_back("area-" + std::to_string(n));
  }
  const std::vector<std::string> known = {"zone-b", "zone-a", "zone-c"};
  const auto set = MakeZonesOutOfService({.revision = 3}, names, known);
  LONGS_EQUAL(kMaxZonesOutOfService, set.zones.size());
  CHECK(IsOutOfService(set, "zone-a"));
  CHECK(IsOutOfService(set, "zone-b"));
  CHECK_FALSE(IsOutOfService(set, "zone-c"));
  CHECK(std::is_sorted(set.zones.begin(), set.zones.end()));
}

TEST(ZoneService, SetOfALaterPositionReplacesAnEarlierOne) {
  ZonesOutOfService in_force = MakeSet(5, {"a"});
  const auto older = ReplaceZonesIfNewer(in_force, MakeSet(4));
  CHECK_FALSE(older.has_changed);
  CHECK_FALSE(older.is_same);
  CHECK(IsOutOfService(in_force, "a"));
  const auto newer = ReplaceZonesIfNewer(in_force, MakeSet(6));
  CHECK(newer.has_changed);
  CHECK(newer.is_same);
  CHECK_FALSE(IsOutOfService(in_force, "a"));
  const auto same = ReplaceZonesIfNewer(in_force, MakeSet(9));
  CHECK_FALSE(same.has_changed);
  CHECK(same.is_same);
  LONGS_EQUAL(9, in_force.position.revision);
}

TEST(ZoneService, UnknownSetOfAPeerChangesAndConfirmsNothing) {
  ZonesOutOfService in_force;
  const auto outcome = ReplaceZonesIfNewer(in_force, {});
  CHECK_FALSE(outcome.has_changed);
  CHECK_FALSE(outcome.is_same);
  CHECK_FALSE(AreZonesKnown(in_force));
}

// Load pattern: the store returns from a copy without its latest changes.
TEST(ZoneService, LaterEraReplacesAHigherRevision) {
  ZonesOutOfService in_force =
      MakeZonesOutOfService({.era = 1, .revision = 90}, {"a"});
  CHECK(ReplaceZonesByStore(
      in_force, MakeZonesOutOfService({.era = 2, .revision = 50}, {}), true));
  CHECK_FALSE(
      ReplaceZonesIfNewer(
          in_force, MakeZonesOutOfService({.era = 1, .revision = 99}, {"a"}))
          .has_changed);
  CHECK_FALSE(ReplaceZonesByStore(
      in_force, MakeZonesOutOfService({.era = 1, .revision = 99}, {"a"}),
      false));
}

TEST(ZoneService, ReturnOfAStoreWithoutErasStartsANextEra) {
  ZonesOutOfService reader = MakeSet(90, {"a"});
  ZonesOutOfService peer = reader;
  CHECK(ReplaceZonesByStore(reader, MakeSet(50), true));
  CHECK(ReplaceZonesIfNewer(peer, reader).has_changed);
  CHECK_FALSE(ReplaceZonesIfNewer(reader, MakeSet(91, {"a"})).has_changed);
  // A process that knows the set only from a peer reads the store itself.
  CHECK(ReplaceZonesByStore(peer, MakeSet(51, {"b"}), false));
  CHECK(ReplaceZonesIfNewer(reader, peer).has_changed);
}

TEST(ZoneService, HeartbeatWithAnEmptySetKeepsItsSize) {
  CHECK(EncodeNodeMessage(MakeHeartbeat(MakeSet(1'000'000))).size() + 28 <=
        kHeartbeatBytes);
  CHECK(EncodeNodeMessage(MakeHeartbeat({})).size() + 4 ==
        EncodeNodeMessage(MakeHeartbeat(MakeSet(1000))).size() + 1);
}

TEST(ZoneService, HeartbeatCarriesTheSetAndTheLargestFitsADatagram) {
  std::vector<std::string> names;
  for (std::size_t n = 0; n < 2 * kMaxZonesOutOfService; ++n) {
    names.push_back(std::string(kMaxZoneNameLength - 2, 'z') +
                    std::to_string(10 + n));
  }
  const auto set = MakeSet(1'000'000, names);
  LONGS_EQUAL(kMaxZonesOutOfService, set.zones.size());
  const auto datagram = EncodeNodeMessage(MakeHeartbeat(set));
  CHECK(datagram.size() <= 1400);
  const auto message = DecodeNodeMessage(datagram);
  CHECK(std::get<HostHeartbeat>(*message).routes.zones == set);
  for (std::size_t size = 0; size < datagram.size(); ++size) {
    CHECK_FALSE(DecodeNodeMessage(ByteView(datagram).first(size)).has_value());
  }
}

TEST(ZoneService, RelayHeaderTellsThatTheZoneIsOutOfService) {
  const RelayHeader sent{
      .is_returned = true, .is_zone_out_of_service = true, .returned_by = {5}};
  std::vector<std::uint8_t> bytes;
  AppendRelayHeader(sent, bytes);
  std::size_t size = 0;
  CHECK(*DecodeRelayHeader(bytes, size) == sent);
}

namespace {

// Records two balancers and `agents` agents in each of the zones "a" and "b";
// the process itself is the first balancer of zone "a".
auto MakeFleet(std::uint32_t agents) -> Fleet {
  Fleet fleet;
  fleet.self = {.control = {.address = 0x0A000001, .port = 7000},
                .role = HostRole::kBalancer,
                .zone = "a",
                .incarnation = 1};
  std::uint32_t address = 0x0A000001;
  const auto add = [&](HostRole role, const char* zone) {
    MergeHostRecord(fleet,
                    HostRecord{.control = {.address = ++address, .port = 7000},
                               .role = role,
                               .zone = zone,
                               .incarnation = 1,
                               .revision = 1},
                    Duration::zero(), kNow);
  };
  add(HostRole::kBalancer, "a");
  add(HostRole::kBalancer, "b");
  for (std::uint32_t n = 0; n < agents; ++n) {
    add(HostRole::kAgent, "a");
    add(HostRole::kAgent, "b");
  }
  return fleet;
}

}  // namespace

TEST(ZoneService, FirstBalancerOfAZoneTellsItsAgentsUntilTheyReportTheSet) {
  Fleet fleet = MakeFleet(5);
  const auto digest = ComputeZonesDigest(MakeSet(4, {"b"}));
  CHECK(ListAgentsToNotifyOfZones(fleet, 0, 0, kNow).empty());
  const auto told = ListAgentsToNotifyOfZones(fleet, digest, 0, kNow);
  LONGS_EQUAL(5, told.size());
  for (const auto it : told) {
    CHECK(fleet.hosts.at(it).record.zone == "a");
    fleet.hosts.at(it).zones_digest = digest;
  }
  CHECK(ListAgentsToNotifyOfZones(fleet, digest, 1, kNow).empty());
  LONGS_EQUAL(5, ListAgentsToNotifyOfZones(fleet, 0, 2, kNow).size());
  fleet.self.control.address = 0x0A0000FF;
  CHECK(ListAgentsToNotifyOfZones(fleet, digest, 0, kNow).empty());
}

// Load pattern: all balancers of the zone that is taken out are down.
TEST(ZoneService, AgentsOfAZoneWithoutLiveBalancerAreToldByTheFirstOfAll) {
  Fleet fleet = MakeFleet(5);
  fleet.hosts.at({.address = 0x0A000003, .port = 7000})
      .record.is_shutting_down = true;
  LONGS_EQUAL(10, ListAgentsToNotifyOfZones(
                      fleet, ComputeZonesDigest(MakeSet(4, {"b"})), 0, kNow)
                      .size());
}

TEST(ZoneService, NoticesToManyAgentsAreBoundedAndReachAll) {
  const Fleet fleet = MakeFleet(1500);
  const auto digest = ComputeZonesDigest(MakeSet(4, {"b"}));
  std::set<std::uint32_t> told;
  for (std::uint64_t round = 0; round < 24; ++round) {
    const auto agents = ListAgentsToNotifyOfZones(fleet, digest, round, kNow);
    LONGS_EQUAL(kMaxZoneNoticesPerRound, agents.size());
    for (const auto it : agents) {
      told.insert(it.address);
    }
  }
  LONGS_EQUAL(1500, told.size());
}
