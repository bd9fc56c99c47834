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
  MergeRecord(first, MakeAgentRecord(1, 2), 0s, kNow);
  MergeRecord(first, MakeAgentRecord(2, 0), 0s, kNow);
  MergeRecord(second, MakeAgentRecord(2, 0), 0s, kNow);
  CHECK(MergeRecord(second, MakeAgentRecord(1, 2), 0s, kNow) ==
        MergeOutcome::kOld);
  CHECK(first.digest == second.digest);
  CHECK(first.hosts.at(kOther).record == second.hosts.at(kOther).record);
  LONGS_EQUAL(2, first.hosts.at(kOther).record.incarnation);
}

TEST(Fleet, KnownRecordUpdatesOnlyTheLastContact) {
  Fleet fleet = MakeFleet();
  CHECK(MergeRecord(fleet, MakeAgentRecord(1, 1), 500ms, kNow) ==
        MergeOutcome::kChanged);
  const auto digest = fleet.digest;
  CHECK(MergeRecord(fleet, MakeAgentRecord(1, 1), 0s, kNow) ==
        MergeOutcome::kSame);
  CHECK(fleet.digest == digest);
  CHECK(fleet.hosts.at(kOther).heard == kNow);
  // An older contact doesn't move the time back.
  MergeRecord(fleet, MakeAgentRecord(1, 1), 3s, kNow);
  CHECK(fleet.hosts.at(kOther).heard == kNow);
}

TEST(Fleet, ProcessWhoseClockWentBackTakesALargerIncarnation) {
  Fleet fleet = MakeFleet();
  HostRecord last{.control = kSelf, .incarnation = 70, .revision = 4};
  CHECK(MergeRecord(fleet, last, 0s, kNow) == MergeOutcome::kOutranked);
  LONGS_EQUAL(71, fleet.self.incarnation);
  CHECK(MergeRecord(fleet, last, 0s, kNow) == MergeOutcome::kSame);
}

TEST(Fleet, RestartedHostIsNotSuspectedForItsLastIncarnation) {
  Fleet fleet = MakeFleet();
  MergeRecord(fleet, MakeAgentRecord(1, 0), 0s, kNow);
  DoubtHost(fleet.hosts.at(kOther), kNow);
  CHECK_FALSE(IsAnswering(fleet.hosts.at(kOther), kNow));
  MergeRecord(fleet, MakeAgentRecord(2, 0), 0s, kNow);
  CHECK(IsAnswering(fleet.hosts.at(kOther), kNow));
}

TEST(Fleet, HostWithAnOverdueReplyIsNotAnswering) {
  Fleet fleet = MakeFleet();
  MergeRecord(fleet, MakeAgentRecord(1, 0), 0s, kNow);
  KnownHost& host = fleet.hosts.at(kOther);
  NoteAsked(host, kNow);
  // The time of the first unanswered message counts.
  NoteAsked(host, kNow + kAnswerTime / 2);
  CHECK(IsAnswering(host, kNow + kAnswerTime / 2));
  CHECK_FALSE(IsAnswering(host, kNow + kAnswerTime));
  NoteHeard(host, kNow + kAnswerTime);
  CHECK(IsAnswering(host, kNow + kAnswerTime));
}

TEST(Fleet, SilentHostsAreSuspectedThenErased) {
  Fleet fleet = MakeFleet();
  const auto digest_without_host = fleet.digest;
  MergeRecord(fleet, MakeAgentRecord(1, 0), 0s, kNow);
  CHECK_FALSE(IsAnswering(fleet.hosts.at(kOther), kNow + kUnresponsiveAfter));
  CHECK(ForgetSilentHosts(fleet, kNow + kHostExpiryTime - 1ms).empty());
  LONGS_EQUAL(1, ForgetSilentHosts(fleet, kNow + kHostExpiryTime).size());
  CHECK(fleet.digest == digest_without_host);
  // An expired record that another host still holds doesn't add the host again.
  CHECK(MergeRecord(fleet, MakeAgentRecord(1, 0), kHostExpiryTime + 1s, kNow) ==
        MergeOutcome::kOld);
}

TEST(Fleet, OwnRecordGetsANewRevisionOnlyWhenItChanges) {
  Fleet fleet = MakeFleet();
  HostRecord record = fleet.self;
  CHECK_FALSE(UpdateSelf(fleet, record));
  record.leaving = true;
  CHECK(UpdateSelf(fleet, record));
  LONGS_EQUAL(1, fleet.self.revision);
  CHECK_FALSE(UpdateSelf(fleet, record));
}

TEST(Fleet, AnnouncementsKeepWithinTheByteRateAtAnyFleetSize) {
  CHECK(AnnounceInterval(6) == kMinAnnouncementInterval);
  for (const std::size_t balancers : {21U, 60U, 470U}) {
    const auto interval =
        std::chrono::duration<double>(AnnounceInterval(balancers)).count();
    CHECK(static_cast<double>(balancers) * kAnnouncementBytes / interval <=
          kMaxAnnouncementBytesPerSecond + 1);
  }
}

TEST(Fleet, HostsOfALargeFleetAreSuspectedLater) {
  Fleet fleet = MakeFleet();
  MergeRecord(fleet, MakeAgentRecord(1, 0), 0s, kNow);
  KnownHost& host = fleet.hosts.at(kOther);
  host.silent_after = kMissedAnnounces * AnnounceInterval(100);
  CHECK(IsAnswering(host, kNow + 10s));
  CHECK_FALSE(IsAnswering(host, kNow + 20s));
}

TEST(Fleet, AgentsStoreRecordsOfBalancersOnly) {
  const HostRecord agent = MakeAgentRecord(1, 1);
  const HostRecord balancer{.control = kOther};
  CHECK(IsOfUse(balancer, HostRole::kAgent));
  CHECK_FALSE(IsOfUse(agent, HostRole::kAgent));
  CHECK(IsOfUse(agent, HostRole::kBalancer));
  CHECK(IsOfUse(balancer, HostRole::kBalancer));
}

// Load pattern: a change in a large fleet. When each balancer sent the changed
// record to each agent, rosters took 75 to 120 KB/s of a balancer's link.
TEST(Fleet, OnlyBalancersAndNewAgentsAreSentRosters) {
  const Fleet fleet = MakeFleet();
  CHECK_FALSE(NeedsRoster(fleet, HostRole::kBalancer, fleet.digest, false));
  CHECK(NeedsRoster(fleet, HostRole::kBalancer, fleet.digest + 1, false));
  CHECK_FALSE(NeedsRoster(fleet, HostRole::kAgent, fleet.digest + 1, false));
  CHECK(NeedsRoster(fleet, HostRole::kAgent, fleet.digest, true));
}

TEST(Fleet, BalancerIntroducesItselfUntilTheAgentAnnouncesItself) {
  Fleet fleet = MakeFleet();
  MergeRecord(fleet, MakeAgentRecord(1, 1), 0s, kNow);
  KnownHost& agent = fleet.hosts.at(kOther);
  // Another balancer has sent the record of the agent.
  CHECK(NeedsIntroduction(agent, kNow));
  NoteLoad(agent, {}, kNow);
  CHECK_FALSE(NeedsIntroduction(agent, kNow + 1s));
  CHECK(NeedsIntroduction(agent, kNow + agent.silent_after));
  MergeRecord(fleet, HostRecord{.control = {.address = 9, .port = 1}}, 0s,
              kNow);
  CHECK_FALSE(
      NeedsIntroduction(fleet.hosts.at({.address = 9, .port = 1}), kNow));
}

// Load pattern: all balancers restart while the store is down.
TEST(Fleet, OnlyAFewAgentsAreNotifiedOfNewerRoutes) {
  Fleet fleet = MakeFleet();
  const auto agent = [](std::uint32_t n) {
    return Endpoint{.address = 0x0A010000 + n, .port = 7000};
  };
  for (std::uint32_t n = 1; n <= 9; ++n) {
    MergeRecord(fleet,
                HostRecord{.control = agent(n), .role = HostRole::kAgent}, 0s,
                kNow);
  }
  MergeRecord(fleet, HostRecord{.control = {.address = 9, .port = 1}}, 0s,
              kNow);
  fleet.hosts.at(agent(2)).version = 7;
  fleet.hosts.at(agent(3)).version = 6;
  const std::vector expected = {agent(1), agent(3), agent(4)};
  CHECK(KeepersToTell(fleet, 7, kNow) == expected);
  // The next agent by address replaces a suspected one.
  DoubtHost(fleet.hosts.at(agent(1)), kNow);
  const std::vector expected_without_first = {agent(3), agent(4), agent(5)};
  CHECK(KeepersToTell(fleet, 7, kNow) == expected_without_first);
  CHECK(KeepersToTell(fleet, 0, kNow).empty());
}
