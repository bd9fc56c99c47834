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

auto Record(std::uint64_t incarnation, std::uint32_t revision) -> HostRecord {
  return HostRecord{.control = kOther,
                    .role = HostRole::kAgent,
                    .incarnation = incarnation,
                    .revision = revision};
}

}  // namespace

TEST_GROUP(Fleet){};

TEST(Fleet, RecordsMergeToTheSameInAnyOrder) {
  Fleet one = MakeFleet();
  Fleet other = MakeFleet();
  MergeRecord(one, Record(1, 2), 0s, kNow);
  MergeRecord(one, Record(2, 0), 0s, kNow);
  MergeRecord(other, Record(2, 0), 0s, kNow);
  CHECK(MergeRecord(other, Record(1, 2), 0s, kNow) == MergeOutcome::kOld);
  CHECK(one.digest == other.digest);
  CHECK(one.hosts.at(kOther).record == other.hosts.at(kOther).record);
  LONGS_EQUAL(2, one.hosts.at(kOther).record.incarnation);
}

TEST(Fleet, KnownRecordsChangeNothingButTheTimeOfTheLastWord) {
  Fleet fleet = MakeFleet();
  CHECK(MergeRecord(fleet, Record(1, 1), 500ms, kNow) ==
        MergeOutcome::kChanged);
  const auto digest = fleet.digest;
  CHECK(MergeRecord(fleet, Record(1, 1), 0s, kNow) == MergeOutcome::kSame);
  CHECK(fleet.digest == digest);
  CHECK(fleet.hosts.at(kOther).heard == kNow);
  // An older word of it doesn't move the time back.
  MergeRecord(fleet, Record(1, 1), 3s, kNow);
  CHECK(fleet.hosts.at(kOther).heard == kNow);
}

TEST(Fleet, AProcessWhoseClockWentBackOutranksItsLastStart) {
  Fleet fleet = MakeFleet();
  HostRecord last{.control = kSelf, .incarnation = 70, .revision = 4};
  CHECK(MergeRecord(fleet, last, 0s, kNow) == MergeOutcome::kOutranked);
  LONGS_EQUAL(71, fleet.self.incarnation);
  CHECK(MergeRecord(fleet, last, 0s, kNow) == MergeOutcome::kSame);
}

TEST(Fleet, ANewStartIsNotDoubtedForWhatTheLastOneLeft) {
  Fleet fleet = MakeFleet();
  MergeRecord(fleet, Record(1, 0), 0s, kNow);
  DoubtHost(fleet.hosts.at(kOther), kNow);
  CHECK_FALSE(IsAnswering(fleet.hosts.at(kOther), kNow));
  MergeRecord(fleet, Record(2, 0), 0s, kNow);
  CHECK(IsAnswering(fleet.hosts.at(kOther), kNow));
}

TEST(Fleet, AHostThatOwesAnAnswerIsNotAnswering) {
  Fleet fleet = MakeFleet();
  MergeRecord(fleet, Record(1, 0), 0s, kNow);
  KnownHost& host = fleet.hosts.at(kOther);
  NoteAsked(host, kNow);
  NoteAsked(host, kNow + kAnswerTime / 2);  // The first question counts.
  CHECK(IsAnswering(host, kNow + kAnswerTime / 2));
  CHECK_FALSE(IsAnswering(host, kNow + kAnswerTime));
  NoteHeard(host, kNow + kAnswerTime);
  CHECK(IsAnswering(host, kNow + kAnswerTime));
}

TEST(Fleet, SilentHostsAreDoubtedThenForgotten) {
  Fleet fleet = MakeFleet();
  const auto alone = fleet.digest;
  MergeRecord(fleet, Record(1, 0), 0s, kNow);
  CHECK_FALSE(IsAnswering(fleet.hosts.at(kOther), kNow + kSilentAfter));
  CHECK(ForgetSilentHosts(fleet, kNow + kForgetAfter - 1ms).empty());
  LONGS_EQUAL(1, ForgetSilentHosts(fleet, kNow + kForgetAfter).size());
  CHECK(fleet.digest == alone);
  // Nor is it learned again from one that still remembers it.
  CHECK(MergeRecord(fleet, Record(1, 0), kForgetAfter + 1s, kNow) ==
        MergeOutcome::kOld);
}

TEST(Fleet, TheOwnRecordGetsARevisionOnlyWhenItChanges) {
  Fleet fleet = MakeFleet();
  HostRecord record = fleet.self;
  CHECK_FALSE(UpdateSelf(fleet, record));
  record.leaving = true;
  CHECK(UpdateSelf(fleet, record));
  LONGS_EQUAL(1, fleet.self.revision);
  CHECK_FALSE(UpdateSelf(fleet, record));
}

TEST(Fleet, AnnouncesKeepWithinTheirBytesAtAnySize) {
  CHECK(AnnounceInterval(6) == kAnnounceInterval);
  for (const std::size_t balancers : {21U, 60U, 470U}) {
    const auto interval =
        std::chrono::duration<double>(AnnounceInterval(balancers)).count();
    CHECK(static_cast<double>(balancers) * kAnnounceBytes / interval <=
          kAnnounceBytesPerSecond + 1);
  }
}

TEST(Fleet, HostsOfALargeFleetMayBeSilentForLonger) {
  Fleet fleet = MakeFleet();
  MergeRecord(fleet, Record(1, 0), 0s, kNow);
  KnownHost& host = fleet.hosts.at(kOther);
  host.silent_after = kMissedAnnounces * AnnounceInterval(100);
  CHECK(IsAnswering(host, kNow + 10s));
  CHECK_FALSE(IsAnswering(host, kNow + 20s));
}

TEST(Fleet, AgentsKeepBalancersOnly) {
  const HostRecord agent = Record(1, 1);
  const HostRecord balancer{.control = kOther};
  CHECK(IsOfUse(balancer, HostRole::kAgent));
  CHECK_FALSE(IsOfUse(agent, HostRole::kAgent));
  CHECK(IsOfUse(agent, HostRole::kBalancer));
  CHECK(IsOfUse(balancer, HostRole::kBalancer));
}

// Load pattern: a change in a large fleet. When each balancer told each agent
// of it, rosters took 75 to 120 KB/s of a balancer's link.
TEST(Fleet, OnlyBalancersAndNewcomersAreSentRosters) {
  const Fleet fleet = MakeFleet();
  CHECK_FALSE(NeedsRoster(fleet, HostRole::kBalancer, fleet.digest, false));
  CHECK(NeedsRoster(fleet, HostRole::kBalancer, fleet.digest + 1, false));
  CHECK_FALSE(NeedsRoster(fleet, HostRole::kAgent, fleet.digest + 1, false));
  CHECK(NeedsRoster(fleet, HostRole::kAgent, fleet.digest, true));
}

TEST(Fleet, ABalancerIntroducesItselfUntilTheAgentAnnouncesItselfToIt) {
  Fleet fleet = MakeFleet();
  MergeRecord(fleet, Record(1, 1), 0s, kNow);
  KnownHost& agent = fleet.hosts.at(kOther);
  // Another balancer has told of the agent.
  CHECK(NeedsIntroduction(agent, kNow));
  NoteLoad(agent, {}, kNow);
  CHECK_FALSE(NeedsIntroduction(agent, kNow + 1s));
  CHECK(NeedsIntroduction(agent, kNow + agent.silent_after));
  MergeRecord(fleet, HostRecord{.control = {.address = 9, .port = 1}}, 0s,
              kNow);
  CHECK_FALSE(
      NeedsIntroduction(fleet.hosts.at({.address = 9, .port = 1}), kNow));
}

// Load pattern: all balancers start again while the store is down.
TEST(Fleet, AFewAgentsAreToldOfNewerRoutes) {
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
  // One that is silent is replaced.
  DoubtHost(fleet.hosts.at(agent(1)), kNow);
  const std::vector others = {agent(3), agent(4), agent(5)};
  CHECK(KeepersToTell(fleet, 7, kNow) == others);
  CHECK(KeepersToTell(fleet, 0, kNow).empty());
}
