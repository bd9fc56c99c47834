#include "hawthornbank/fleet.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const Endpoint kSelf{.address = 0x0A000001, .port = 7000};
const Endpoint kOther{.address = 0x0A000002, .port = 7000};
const TimePoint kNow{std::chrono::seconds{1000}};

auto MakeFleet() -> Fleet {
  return Fleet{.self = {.control = kSelf, .incarnation = 50}};
}

auto MakeAgentRecord(std::uint64_t incarnation, std::uint32_t revision)
    -> HostRecord {
  return HostRecord{.control = kOther,
                    .role = HostRole::kAgent,
                    .incarnation = incarnation,
                    .revision = revision};
}

}  // namespace

TEST_GROUP(Fleet){};

TEST(Fleet, MergingInAnyOrderGivesTheSameRecords) {
  Fleet first = MakeFleet();
  Fleet second = MakeFleet();
  MergeHostRecord(first, MakeAgentRecord(1, 2), 0s, kNow);
  MergeHostRecord(first, MakeAgentRecord(2, 0), 0s, kNow);
  MergeHostRecord(second, MakeAgentRecord(2, 0), 0s, kNow);
  CHECK(MergeHostRecord(second, MakeAgentRecord(1, 2), 0s, kNow) ==
        MergeOutcome::kOlderRecord);
  CHECK(first.digest == second.digest);
  CHECK(first.hosts.at(kOther).record == second.hosts.at(kOther).record);
  LONGS_EQUAL(2, first.hosts.at(kOther).record.incarnation);
}

TEST(Fleet, KnownRecordUpdatesOnlyTheLastContact) {
  Fleet fleet = MakeFleet();
  CHECK(MergeHostRecord(fleet, MakeAgentRecord(1, 1), 500ms, kNow) ==
        MergeOutcome::kChanged);
  const auto digest = fleet.digest;
  CHECK(MergeHostRecord(fleet, MakeAgentRecord(1, 1), 0s, kNow) ==
        MergeOutcome::kKnownRecord);
  CHECK(fleet.digest == digest);
  CHECK(fleet.hosts.at(kOther).last_contact == kNow);
  // An older contact leaves the time of the last contact unchanged.
  MergeHostRecord(fleet, MakeAgentRecord(1, 1), 3s, kNow);
  CHECK(fleet.hosts.at(kOther).last_contact == kNow);
}

TEST(Fleet, ProcessWhoseClockWentBackTakesALargerIncarnation) {
  Fleet fleet = MakeFleet();
  HostRecord last{.control = kSelf, .incarnation = 70, .revision = 4};
  CHECK(MergeHostRecord(fleet, last, 0s, kNow) ==
        MergeOutcome::kOwnRecordSuperseded);
  LONGS_EQUAL(71, fleet.self.incarnation);
  CHECK(MergeHostRecord(fleet, last, 0s, kNow) == MergeOutcome::kKnownRecord);
}

TEST(Fleet, RestartedHostIsNoLongerSuspected) {
  Fleet fleet = MakeFleet();
  MergeHostRecord(fleet, MakeAgentRecord(1, 0), 0s, kNow);
  MarkHostSuspected(fleet.hosts.at(kOther), kNow);
  CHECK_FALSE(IsHostLive(fleet.hosts.at(kOther), kNow));
  MergeHostRecord(fleet, MakeAgentRecord(2, 0), 0s, kNow);
  CHECK(IsHostLive(fleet.hosts.at(kOther), kNow));
}

TEST(Fleet, HostWithAnOverdueReplyIsNotLive) {
  Fleet fleet = MakeFleet();
  MergeHostRecord(fleet, MakeAgentRecord(1, 0), 0s, kNow);
  KnownHost& host = fleet.hosts.at(kOther);
  RecordRequestToHost(host, kNow);
  // The timeout runs from the first unanswered message.
  RecordRequestToHost(host, kNow + kHostReplyTimeout / 2);
  CHECK(IsHostLive(host, kNow + kHostReplyTimeout / 2));
  CHECK_FALSE(IsHostLive(host, kNow + kHostReplyTimeout));
  RecordHostContact(host, kNow + kHostReplyTimeout);
  CHECK(IsHostLive(host, kNow + kHostReplyTimeout));
}

TEST(Fleet, SilentHostsAreSuspectedThenErased) {
  Fleet fleet = MakeFleet();
  const auto digest_without_host = fleet.digest;
  MergeHostRecord(fleet, MakeAgentRecord(1, 0), 0s, kNow);
  CHECK_FALSE(IsHostLive(fleet.hosts.at(kOther), kNow + kUnresponsiveAfter));
  CHECK(EraseSilentHosts(fleet, kNow + kHostExpiryTime - 1ms).empty());
  LONGS_EQUAL(1, EraseSilentHosts(fleet, kNow + kHostExpiryTime).size());
  CHECK(fleet.digest == digest_without_host);
  // An expired record that another host still holds doesn't add the host again.
  CHECK(MergeHostRecord(fleet, MakeAgentRecord(1, 0), kHostExpiryTime + 1s,
                        kNow) == MergeOutcome::kOlderRecord);
}

TEST(Fleet, OwnRecordGetsANewRevisionOnlyWhenItChanges) {
  Fleet fleet = MakeFleet();
  HostRecord record = fleet.self;
  CHECK_FALSE(UpdateOwnRecord(fleet, record));
  record.is_shutting_down = true;
  CHECK(UpdateOwnRecord(fleet, record));
  LONGS_EQUAL(1, fleet.self.revision);
  CHECK_FALSE(UpdateOwnRecord(fleet, record));
}

TEST(Fleet, AnnouncementsKeepWithinTheByteRateAtAnyFleetSize) {
  CHECK(ComputeAnnouncementInterval(6) == kMinAnnouncementInterval);
  for (const std::size_t balancers : {21U, 60U, 470U}) {
    const auto interval =
        std::chrono::duration<double>(ComputeAnnouncementInterval(balancers))
            .count();
    CHECK(static_cast<double>(balancers) * kAnnouncementBytes / interval <=
          kMaxAnnouncementBytesPerSecond + 1);
  }
}

TEST(Fleet, HostsOfALargeFleetAreSuspectedLater) {
  Fleet fleet = MakeFleet();
  MergeHostRecord(fleet, MakeAgentRecord(1, 0), 0s, kNow);
  KnownHost& host = fleet.hosts.at(kOther);
  host.unresponsive_after =
      kMaxMissedAnnouncements * ComputeAnnouncementInterval(100);
  CHECK(IsHostLive(host, kNow + 10s));
  CHECK_FALSE(IsHostLive(host, kNow + 20s));
}

TEST(Fleet, AgentsStoreRecordsOfBalancersOnly) {
  const HostRecord agent = MakeAgentRecord(1, 1);
  const HostRecord balancer{.control = kOther};
  CHECK(ShouldStoreRecord(balancer, HostRole::kAgent));
  CHECK_FALSE(ShouldStoreRecord(agent, HostRole::kAgent));
  CHECK(ShouldStoreRecord(agent, HostRole::kBalancer));
  CHECK(ShouldStoreRecord(balancer, HostRole::kBalancer));
}

// Load pattern: a record changes in a large fleet. When each balancer sent this
// record to each agent, rosters took 75 to 120 KB/s of a balancer's link.
TEST(Fleet, OnlyBalancersAndNewAgentsAreSentRosters) {
  const Fleet fleet = MakeFleet();
  CHECK_FALSE(
      LacksHostRecords(fleet, HostRole::kBalancer, fleet.digest, false));
  CHECK(LacksHostRecords(fleet, HostRole::kBalancer, fleet.digest + 1, false));
  CHECK_FALSE(
      LacksHostRecords(fleet, HostRole::kAgent, fleet.digest + 1, false));
  CHECK(LacksHostRecords(fleet, HostRole::kAgent, fleet.digest, true));
}

TEST(Fleet, BalancerIntroducesItselfUntilTheAgentAnnouncesItself) {
  Fleet fleet = MakeFleet();
  MergeHostRecord(fleet, MakeAgentRecord(1, 1), 0s, kNow);
  KnownHost& agent = fleet.hosts.at(kOther);
  // The agent's record came from another balancer, not from the agent.
  CHECK(MustIntroduceBalancer(agent, kNow));
  RecordTargetLoad(agent, {}, kNow);
  CHECK_FALSE(MustIntroduceBalancer(agent, kNow + 1s));
  CHECK(MustIntroduceBalancer(agent, kNow + agent.unresponsive_after));
  MergeHostRecord(fleet, HostRecord{.control = {.address = 9, .port = 1}}, 0s,
                  kNow);
  CHECK_FALSE(
      MustIntroduceBalancer(fleet.hosts.at({.address = 9, .port = 1}), kNow));
}

// Load pattern: all balancers restart while the store is down.
TEST(Fleet, OnlyAFewAgentsAreNotifiedOfNewerRoutes) {
  Fleet fleet = MakeFleet();
  const auto agent = [](std::uint32_t n) {
    return Endpoint{.address = 0x0A010000 + n, .port = 7000};
  };
  for (std::uint32_t n = 1; n <= 9; ++n) {
    MergeHostRecord(fleet,
                    HostRecord{.control = agent(n), .role = HostRole::kAgent},
                    0s, kNow);
  }
  MergeHostRecord(fleet, HostRecord{.control = {.address = 9, .port = 1}}, 0s,
                  kNow);
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
