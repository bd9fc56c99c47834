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

// The clock of an agent's host has gone back between two starts of the agent.
TEST(Fleet, AgentThatAnnouncesAnEarlierStartIsToldAndPutsItselfRight) {
  Fleet balancer = MakeFleet();
  HostRecord stopped = MakeAgentRecord(70, 4);
  stopped.is_shutting_down = true;
  MergeHostRecord(balancer, stopped, 0s, kNow - 1s);
  Fleet agent{.self = MakeAgentRecord(50, 1)};
  CHECK(MergeHostRecord(balancer, agent.self, 0s, kNow) ==
        MergeOutcome::kOlderRecord);
  KnownHost& known = balancer.hosts.at(kOther);
  CHECK(MustReturnRecord(known, agent.self.incarnation, kNow));
  CHECK(ShouldMergeRecord(agent, known.record));
  CHECK(MergeHostRecord(agent, known.record, 1s, kNow) ==
        MergeOutcome::kOwnRecordSuperseded);
  CHECK(MergeHostRecord(balancer, agent.self, 0s, kNow) ==
        MergeOutcome::kChanged);
  CHECK_FALSE(known.record.is_shutting_down);
  // What the earlier start sent late is answered too, and changes nothing.
  CHECK(MustReturnRecord(known, 70, kNow + kRecordReturnInterval));
  CHECK(MergeHostRecord(agent, known.record, 0s, kNow) ==
        MergeOutcome::kKnownRecord);
}

// Guards the budget of small control messages.
TEST(Fleet, RecordIsReturnedOnlyToEarlierStartsAndAtIntervals) {
  Fleet fleet = MakeFleet();
  MergeHostRecord(fleet, MakeAgentRecord(70, 4), 0s, kNow);
  KnownHost& known = fleet.hosts.at(kOther);
  CHECK_FALSE(MustReturnRecord(known, 70, kNow));
  CHECK_FALSE(MustReturnRecord(known, 71, kNow));
  CHECK(MustReturnRecord(known, 69, kNow));
  CHECK_FALSE(MustReturnRecord(known, 69, kNow + kRecordReturnInterval - 1ms));
  CHECK(MustReturnRecord(known, 69, kNow + kRecordReturnInterval));
  CHECK_FALSE(ShouldMergeRecord(Fleet{.self = {.role = HostRole::kAgent}},
                                MakeAgentRecord(1, 1)));
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

TEST(Fleet, HostIsSuspectedAfterItsOwnUnresponsiveTime) {
  Fleet fleet = MakeFleet();
  MergeHostRecord(fleet, MakeAgentRecord(1, 0), 0s, kNow);
  KnownHost& host = fleet.hosts.at(kOther);
  host.unresponsive_after = 16s;
  CHECK(IsHostLive(host, kNow + 15s));
  CHECK_FALSE(IsHostLive(host, kNow + 16s));
}

// Load pattern: a host of a large fleet died, and heartbeats would show this
// only after a minute.
TEST(Fleet, HostThatConfirmsNoOpeningIsSuspectedLongerEachTime) {
  Fleet fleet = MakeFleet();
  MergeHostRecord(fleet, MakeAgentRecord(1, 0), 0s, kNow);
  KnownHost& host = fleet.hosts.at(kOther);
  host.unresponsive_after = 1h;
  TimePoint now = kNow;
  for (const Duration expected :
       {Duration{800ms}, Duration{1600ms}, Duration{3200ms}, Duration{6400ms},
        Duration{6400ms}}) {
    MarkHostSuspected(host, now);
    CHECK_FALSE(IsHostLive(host, now + expected - 1ms));
    now += expected;
    CHECK(IsHostLive(host, now));
  }
  RecordHostContact(host, now);
  MarkHostSuspected(host, now);
  CHECK(IsHostLive(host, now + 800ms));
}

// Load pattern: one reply is lost, and the host's next heartbeat is far away.
TEST(Fleet, HostIsTriedAgainAfterALostReply) {
  Fleet fleet = MakeFleet();
  MergeHostRecord(fleet, MakeAgentRecord(1, 0), 0s, kNow);
  KnownHost& host = fleet.hosts.at(kOther);
  host.unresponsive_after = 1h;
  RecordRequestToHost(host, kNow);
  const TimePoint next_try = kNow + kHostReplyTimeout + kSuspicionTime;
  CHECK_FALSE(IsHostLive(host, next_try - 1ms));
  CHECK(IsHostLive(host, next_try));
  RecordRequestToHost(host, next_try);
  CHECK(IsHostLive(host, next_try + kHostReplyTimeout - 1ms));
  CHECK_FALSE(IsHostLive(host, next_try + kHostReplyTimeout));
}

// A flow is reset only when the agent that may hold it is unreachable, so two
// datagrams lost within some seconds must not be enough.
TEST(Fleet, HostIsUnreachableAfterSeveralUnansweredMessagesOnly) {
  Fleet fleet = MakeFleet();
  MergeHostRecord(fleet, MakeAgentRecord(1, 0), 0s, kNow);
  KnownHost& host = fleet.hosts.at(kOther);
  host.unresponsive_after = 1h;
  RecordRequestToHost(host, kNow);
  RecordRequestToHost(host, kNow + 4s);
  CHECK_FALSE(IsHostUnreachable(host, 3s, kNow + 5s));
  RecordRequestToHost(host, kNow + 5s);
  CHECK(IsHostUnreachable(host, 3s, kNow + 5s));
  RecordHostContact(host, kNow + 5s);
  CHECK_FALSE(IsHostUnreachable(host, 3s, kNow + 9s));
  for (int n = 0; n < 5; ++n) {
    RecordRequestToHost(host, kNow + 9s);
  }
  CHECK_FALSE(IsHostUnreachable(host, 3s, kNow + 12s - 1ms));
}

TEST(Fleet, HostIsUnreachableWhenDueHeartbeatsAreMissing) {
  Fleet fleet = MakeFleet();
  MergeHostRecord(fleet, MakeAgentRecord(1, 0), 0s, kNow);
  KnownHost& host = fleet.hosts.at(kOther);
  CHECK_FALSE(IsHostUnreachable(host, 3s, kNow + 3s - 1ms));
  CHECK(IsHostUnreachable(host, 3s, kNow + 3s));
  host.unresponsive_after = 10s;
  CHECK_FALSE(IsHostUnreachable(host, 3s, kNow + 9s));
}

TEST(Fleet, AgentsStoreRecordsOfBalancersOnly) {
  const HostRecord agent = MakeAgentRecord(1, 1);
  const HostRecord balancer{.control = kOther};
  CHECK(ShouldStoreRecord(balancer, HostRole::kAgent));
  CHECK_FALSE(ShouldStoreRecord(agent, HostRole::kAgent));
  CHECK(ShouldStoreRecord(agent, HostRole::kBalancer));
  CHECK(ShouldStoreRecord(balancer, HostRole::kBalancer));
}

// Guards against a process that ignores all others, or is ignored by all,
// because another writer sent one record with values out of range.
TEST(Fleet, RecordsWithValuesOutOfRangeCantBeUsed) {
  const HostRecord good{.control = {.address = 0x0A000001, .port = 7000},
                        .zone = "a",
                        .incarnation = 5};
  CHECK(CheckRecord(good) == nullptr);
  const auto check = [&](auto change) {
    HostRecord record = good;
    change(record);
    CHECK(CheckRecord(record) != nullptr);
  };
  check([](HostRecord& it) { it.control.port = 0; });
  check([](HostRecord& it) { it.control.address = 0; });
  check([](HostRecord& it) { it.control.address = 0xFFFFFFFF; });
  check([](HostRecord& it) { it.role = static_cast<HostRole>(9); });
  check([](HostRecord& it) { it.target.state = static_cast<TargetState>(9); });
  check([](HostRecord& it) { it.incarnation = UINT64_MAX; });
  check([](HostRecord& it) { it.zone = "a\nb"; });
  check([](HostRecord& it) { it.zone = "a\x7f"; });
  HostRecord named = good;
  named.zone = "f\xc3\xb8rde 2";  // UTF-8
  CHECK(CheckRecord(named) == nullptr);
}

// Guards against a restarted agent that can't tell whether its target has
// restarted too.
TEST(Fleet, RestartedAgentIsToldOnceInAWhileWhichTargetItHad) {
  Fleet balancer = MakeFleet();
  HostRecord record = MakeAgentRecord(1, 2);
  record.target.started_at_ms = 300;
  MergeHostRecord(balancer, record, 0s, kNow);
  KnownHost& host = balancer.hosts.at(kOther);
  CHECK_FALSE(MustSendFormerRecord(host, kNow));
  MergeHostRecord(balancer, MakeAgentRecord(2, 0), 0s, kNow);
  CHECK(MustSendFormerRecord(host, kNow));
  CHECK_FALSE(MustSendFormerRecord(host, kNow + kRecordReturnInterval - 1ms));
  // It restarts again before it has heard of its target.
  MergeHostRecord(balancer, MakeAgentRecord(3, 0), 0s, kNow);
  CHECK(MustSendFormerRecord(host, kNow + kRecordReturnInterval));

  Fleet agent{.self = MakeAgentRecord(3, 0)};
  const HostRecord former = MakeFormerRecord(host);
  CHECK(CheckRecord(former) == nullptr);
  CHECK(ShouldMergeRecord(agent, former));
  LONGS_EQUAL(300, FindFormerTargetStart(agent, former));
  CHECK(MergeHostRecord(agent, former, 0s, kNow) == MergeOutcome::kKnownRecord);
  LONGS_EQUAL(0, FindFormerTargetStart(agent, agent.self));
  LONGS_EQUAL(0, FindFormerTargetStart(MakeFleet(), former));
  HostRecord useless = former;
  useless.target.state = TargetState::kGone;
  LONGS_EQUAL(0, FindFormerTargetStart(agent, useless));
  useless = former;
  ++useless.service;
  LONGS_EQUAL(0, FindFormerTargetStart(agent, useless));
  // Once it has heard of its target, it needs no record.
  record = MakeAgentRecord(3, 1);
  record.target.started_at_ms = 300;
  MergeHostRecord(balancer, record, 0s, kNow);
  CHECK_FALSE(MustSendFormerRecord(host, kNow + 9s));
  // A target that has ended holds no flows.
  record.revision = 2;
  record.target.state = TargetState::kGone;
  MergeHostRecord(balancer, record, 0s, kNow);
  MergeHostRecord(balancer, MakeAgentRecord(4, 0), 0s, kNow);
  CHECK_FALSE(MustSendFormerRecord(host, kNow + 9s));
  // Nor has a target any that was of another service.
  record = MakeAgentRecord(4, 1);
  record.target.started_at_ms = 400;
  MergeHostRecord(balancer, record, 0s, kNow);
  record = MakeAgentRecord(5, 0);
  record.service = 7;
  MergeHostRecord(balancer, record, 0s, kNow);
  CHECK_FALSE(MustSendFormerRecord(host, kNow + 9s));
}
