#include "hawthornbank/target_presence.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};

auto MakeHeartbeat(std::uint64_t started_at_ms,
                   std::uint64_t sequence,
                   TargetState state) -> TargetHeartbeat {
  return TargetHeartbeat{.id = "i-1",
                         .service = "s",
                         .started_at_ms = started_at_ms,
                         .sequence = sequence,
                         .state = state,
                         .slots = 3};
}

}  // namespace

TEST_GROUP(TargetPresence) {
  TargetPresence presence{.service = "s"};

  auto ReceiveForeignHeartbeat(std::uint64_t started_at_ms,
                               std::uint64_t sequence, Duration after)
      ->PresenceOutcome {
    auto beat = MakeHeartbeat(started_at_ms, sequence, TargetState::kReady);
    beat.id = "i-2";
    beat.service = "other";
    return OnTargetHeartbeat(presence, beat, kNow + after);
  }

  auto ReceiveHeartbeat(std::uint64_t started_at_ms, std::uint64_t sequence,
                        TargetState state, Duration after = {})
      ->PresenceOutcome {
    return OnTargetHeartbeat(
        presence, MakeHeartbeat(started_at_ms, sequence, state), kNow + after);
  }
};

TEST(TargetPresence, HeartbeatsAreOrderedByStartTimeAndSequenceNumber) {
  CHECK(ReceiveHeartbeat(100, 1, TargetState::kReady) ==
        PresenceOutcome::kChanged);
  CHECK(ReceiveHeartbeat(100, 3, TargetState::kDraining) ==
        PresenceOutcome::kChanged);
  CHECK(ReceiveHeartbeat(100, 2, TargetState::kReady) ==
        PresenceOutcome::kLate);
  CHECK(ReceiveHeartbeat(100, 3, TargetState::kReady) ==
        PresenceOutcome::kLate);
  CHECK(presence.status.state == TargetState::kDraining);
  // Sequence numbers start again when a target restarts under the same id.
  CHECK(ReceiveHeartbeat(200, 1, TargetState::kReady, 1300ms) ==
        PresenceOutcome::kRestarted);
  CHECK(ReceiveHeartbeat(100, 9, TargetState::kDraining, 1300ms) ==
        PresenceOutcome::kOtherStart);
  CHECK(presence.status.state == TargetState::kReady);
}

TEST(TargetPresence, HeartbeatOfAnotherServiceIsRefused) {
  auto beat = MakeHeartbeat(100, 1, TargetState::kReady);
  beat.service = "other";
  CHECK(OnTargetHeartbeat(presence, beat, kNow) == PresenceOutcome::kForeign);
  CHECK(presence.status.state == TargetState::kUnknown);
}

TEST(TargetPresence, ShutdownOfAnotherIdIsIgnored) {
  ReceiveHeartbeat(100, 1, TargetState::kDraining);
  CHECK(OnTargetShutdownAnnounced(presence, "i-0", kNow) ==
        PresenceOutcome::kOtherStart);
  CHECK(OnTargetShutdownAnnounced(presence, "i-1", kNow) ==
        PresenceOutcome::kDeregistered);
  CHECK(OnTargetShutdownAnnounced(presence, "i-1", kNow) ==
        PresenceOutcome::kKnown);
  CHECK(ConfirmDeregistration(presence, 9s, kNow + 2300ms) ==
        PresenceOutcome::kChanged);
  CHECK(presence.status.state == TargetState::kGone);
  CHECK(OnTargetShutdownAnnounced(presence, "i-1", kNow + 3s) ==
        PresenceOutcome::kKnown);
}

// Guards against a late deregistration of an earlier start under the same id
// that ends a draining start: its agent reset all its flows when it was stopped
// before the next heartbeat.
TEST(TargetPresence, DeregistrationOfADrainingTargetNeedsSilence) {
  ReceiveHeartbeat(100, 1, TargetState::kReady);
  ReceiveHeartbeat(100, 2, TargetState::kDraining, 1s);
  const auto outcome =
      OnTargetShutdownAnnounced(presence, "i-1", kNow + 1400ms);
  CHECK(outcome == PresenceOutcome::kDeregistered);
  CHECK(IsAcknowledged(outcome));
  CHECK(presence.status.state == TargetState::kDraining);
  CHECK(DescribeTargetStatus(presence, kNow + 1400ms).state ==
        TargetState::kDraining);
  CHECK(ConfirmDeregistration(presence, 9s, kNow + 1999ms) ==
        PresenceOutcome::kKnown);
  ReceiveHeartbeat(100, 3, TargetState::kDraining, 2s);
  CHECK_FALSE(presence.deregistered_at.has_value());
  CHECK(ConfirmDeregistration(presence, 9s, kNow + 9s) ==
        PresenceOutcome::kKnown);
  OnTargetShutdownAnnounced(presence, "i-1", kNow + 2100ms);
  CHECK(ConfirmDeregistration(presence, 9s, kNow + 4299ms) ==
        PresenceOutcome::kKnown);
  CHECK(ConfirmDeregistration(presence, 9s, kNow + 4300ms) ==
        PresenceOutcome::kChanged);
  CHECK(presence.status.state == TargetState::kGone);
}

// Guards against a late deregistration of an earlier start that ends a later
// start with the same id.
TEST(TargetPresence, DeregistrationOfAReadyTargetNeedsSilence) {
  ReceiveHeartbeat(100, 1, TargetState::kReady);
  CHECK(OnTargetShutdownAnnounced(presence, "i-0", kNow) ==
        PresenceOutcome::kOtherStart);
  CHECK(kNow < ComputeSilenceStart(presence));
  const auto outcome = OnTargetShutdownAnnounced(presence, "i-1", kNow + 1s);
  CHECK(outcome == PresenceOutcome::kDeregistered);
  CHECK(IsAcknowledged(outcome));
  CHECK(OnTargetShutdownAnnounced(presence, "i-1", kNow + 1s) ==
        PresenceOutcome::kKnown);
  // Openings stop at once; balancers keep the flows.
  CHECK(ComputeSilenceStart(presence) < kNow);
  const TargetStatus status = DescribeTargetStatus(presence, kNow + 1s);
  CHECK(status.state == TargetState::kUnknown);
  LONGS_EQUAL(100, status.started_at_ms);
  CHECK(ConfirmDeregistration(presence, 9s, kNow + 2299ms) ==
        PresenceOutcome::kKnown);
  // The start runs after all.
  ReceiveHeartbeat(100, 2, TargetState::kReady, 2299ms);
  CHECK(DescribeTargetStatus(presence, kNow + 3s).state == TargetState::kReady);
  CHECK(kNow + 3s < ComputeSilenceStart(presence));
  CHECK(ConfirmDeregistration(presence, 9s, kNow + 9s) ==
        PresenceOutcome::kKnown);
  // It ends; heartbeats may lie unread while the agent is held up.
  OnTargetShutdownAnnounced(presence, "i-1", kNow + 3s);
  CHECK(ConfirmDeregistration(presence, 2299ms, kNow + 9s) ==
        PresenceOutcome::kKnown);
  CHECK(ConfirmDeregistration(presence, 2300ms, kNow + 4599ms) ==
        PresenceOutcome::kChanged);
  CHECK(presence.status.state == TargetState::kGone);
  CHECK(presence.deregistered_at == kNow + 3s);
  CHECK(ConfirmDeregistration(presence, 9s, kNow + 9s) ==
        PresenceOutcome::kKnown);
  ReceiveHeartbeat(100, 3, TargetState::kReady, 9s);
  CHECK(presence.status.state == TargetState::kReady);
  CHECK_FALSE(presence.deregistered_at.has_value());
}

TEST(TargetPresence, TargetOfARivalIsntGoneByADeregistration) {
  ReceiveHeartbeat(200, 1, TargetState::kReady);
  ReceiveHeartbeat(150, 1, TargetState::kReady, 1s);
  OnTargetShutdownAnnounced(presence, "i-1", kNow + 1s);
  CHECK(ConfirmDeregistration(presence, 9s, kNow + 5599ms) ==
        PresenceOutcome::kKnown);
  CHECK(ConfirmDeregistration(presence, 9s, kNow + 5600ms) ==
        PresenceOutcome::kChanged);
}

TEST(TargetPresence, AgentKnowsAllFlowsOnlyAfterAFirstHeartbeatOrARestart) {
  ReceiveHeartbeat(100, 2, TargetState::kReady);  // The agent started late.
  CHECK_FALSE(presence.knows_all_flows);
  ReceiveHeartbeat(100, 3, TargetState::kReady);
  CHECK_FALSE(presence.knows_all_flows);
  // Two starts that the agent has only heard of: either message may be late.
  CHECK(ReceiveHeartbeat(200, 2, TargetState::kReady) ==
        PresenceOutcome::kReplaced);
  CHECK_FALSE(presence.knows_all_flows);
  // The target was heard for two intervals and restarted.
  ReceiveHeartbeat(200, 3, TargetState::kReady, 1s);
  ReceiveHeartbeat(200, 4, TargetState::kReady, 2300ms);
  CHECK(ReceiveHeartbeat(300, 2, TargetState::kReady, 3600ms) ==
        PresenceOutcome::kRestarted);
  CHECK(presence.knows_all_flows);

  TargetPresence fresh{.service = "s"};
  OnTargetHeartbeat(fresh, MakeHeartbeat(100, 1, TargetState::kReady), kNow);
  CHECK(fresh.knows_all_flows);
}

TEST(TargetPresence, TargetWithoutAHeartbeatIsGoneAfterTwoIntervals) {
  CHECK(MarkSilentTargetGone(presence, 2200ms) == PresenceOutcome::kKnown);
  CHECK(MarkSilentTargetGone(presence, 2300ms) == PresenceOutcome::kChanged);
  CHECK(presence.status.state == TargetState::kGone);
  // The target's heartbeat was only delayed.
  ReceiveHeartbeat(100, 4, TargetState::kReady);
  CHECK(presence.status.state == TargetState::kReady);
  CHECK_FALSE(presence.knows_all_flows);
}

TEST(TargetPresence, WarmupEndIsKeptAsATime) {
  const auto receive = [&](std::uint64_t start, std::uint64_t sequence,
                           std::uint32_t warmup_ms, TimePoint now) {
    TargetHeartbeat beat = MakeHeartbeat(start, sequence, TargetState::kReady);
    beat.warmup_ms = warmup_ms;
    OnTargetHeartbeat(presence, beat, now);
  };
  CHECK_FALSE(presence.warm_at.has_value());
  receive(100, 4, 2500, kNow);
  CHECK(presence.warm_at == kNow + 2501ms);
  // A late heartbeat changes nothing.
  receive(100, 3, 9000, kNow + 1s);
  CHECK(presence.warm_at == kNow + 2501ms);
  // The end stays where it was once it has passed, and moves to the present
  // when the target is warm earlier.
  receive(100, 5, 0, kNow + 3s);
  CHECK(presence.warm_at == kNow + 2501ms);
  receive(100, 6, 4000, kNow + 4s);
  receive(100, 7, 0, kNow + 5s);
  CHECK(presence.warm_at == kNow + 5s);
  // A new start that is never cold.
  receive(200, 1, 0, kNow + 6300ms);
  CHECK(presence.warm_at == TimePoint{});
}

// Guards against a drain that is acknowledged and never applied, because the
// clock of the target's host went back before the target's last start.
TEST(TargetPresence, DrainOfAStartWithAnEarlierStartTimeIsApplied) {
  ReceiveHeartbeat(200, 1, TargetState::kReady);
  for (std::uint64_t n = 1; n <= 4; ++n) {
    ReceiveHeartbeat(150, n, TargetState::kReady, n * 1s);
  }
  LONGS_EQUAL(150, presence.status.started_at_ms);
  CHECK(ReceiveHeartbeat(150, 5, TargetState::kDraining, 5s) ==
        PresenceOutcome::kChanged);
  CHECK(presence.status.state == TargetState::kDraining);
}

// Guards against the acknowledgement of a state that isn't applied.
TEST(TargetPresence, HeartbeatOfAnotherStartIsAcknowledgedOnceItIsApplied) {
  ReceiveHeartbeat(200, 1, TargetState::kReady);
  const auto drain = [this](std::uint64_t sequence, Duration after) {
    return ReceiveHeartbeat(150, sequence, TargetState::kDraining, after);
  };
  CHECK_FALSE(IsAcknowledged(drain(1, 1s)));
  CHECK_FALSE(IsAcknowledged(drain(2, 2s)));
  CHECK(presence.status.state == TargetState::kReady);
  const auto outcome = drain(3, 3300ms);
  CHECK(outcome == PresenceOutcome::kReplaced);
  CHECK(IsAcknowledged(outcome));
  CHECK(presence.status.state == TargetState::kDraining);
  // The agent can't tell which flows the target holds.
  CHECK_FALSE(presence.knows_all_flows);
  CHECK_FALSE(IsAcknowledged(OnTargetShutdownAnnounced(presence, "i-0", kNow)));
}

// Guards against late heartbeats that take a running target for replaced.
TEST(TargetPresence, LateHeartbeatsDontReplaceARunningStart) {
  ReceiveHeartbeat(200, 7, TargetState::kReady);
  // Heartbeats that a partition delayed arrive together.
  for (std::uint64_t n = 1; n <= 9; ++n) {
    CHECK_FALSE(IsAcknowledged(
        ReceiveHeartbeat(100, n, TargetState::kDraining, 500ms)));
  }
  // Heartbeats that arrive between those of the running start.
  for (std::uint64_t n = 10; n < 30; ++n) {
    CHECK(ReceiveHeartbeat(200, n, TargetState::kReady, n * 1s) ==
          PresenceOutcome::kKnown);
    CHECK_FALSE(IsAcknowledged(
        ReceiveHeartbeat(100, n, TargetState::kDraining, n * 1s + 500ms)));
  }
  // A repeated message.
  ReceiveHeartbeat(200, 30, TargetState::kReady, 39s);
  for (int n = 0; n < 5; ++n) {
    CHECK_FALSE(IsAcknowledged(
        ReceiveHeartbeat(100, 40, TargetState::kDraining, 40s + n * 1s)));
  }
  LONGS_EQUAL(200, presence.status.started_at_ms);
  CHECK(presence.status.state == TargetState::kReady);
}

TEST(TargetPresence, LateHeartbeatsOfAReplacedStartAreIgnored) {
  ReceiveHeartbeat(200, 5, TargetState::kReady);
  for (std::uint64_t n = 1; n <= 4; ++n) {
    ReceiveHeartbeat(150, n, TargetState::kReady, n * 1s);
  }
  CHECK(ReceiveHeartbeat(200, 5, TargetState::kDraining, 5s) ==
        PresenceOutcome::kOtherStart);
  CHECK(ReceiveHeartbeat(200, 6, TargetState::kDraining, 5s) ==
        PresenceOutcome::kOtherStart);
  LONGS_EQUAL(150, presence.status.started_at_ms);
  // The replaced start was only silent and goes on.
  CHECK(ReceiveHeartbeat(200, 7, TargetState::kReady, 6s) ==
        PresenceOutcome::kOtherStart);
  CHECK(ReceiveHeartbeat(200, 8, TargetState::kReady, 8s) ==
        PresenceOutcome::kReplaced);
  LONGS_EQUAL(200, presence.status.started_at_ms);
}

TEST(TargetPresence, NumberOfReplacedStartsIsLimited) {
  for (std::uint64_t n = 1; n <= 100; ++n) {
    ReceiveHeartbeat(n, 1, TargetState::kReady, n * 1300ms);
  }
  LONGS_EQUAL(kMaxReplacedStarts, presence.replaced.size());
  LONGS_EQUAL(99, presence.replaced.back().started_at_ms);
}

// Guards against openings at an address that was given to another service.
TEST(TargetPresence, SilentTargetIsReadyOnlyUntilItsAddressCanBeUsedAgain) {
  using std::chrono::milliseconds;
  for (const auto& [interval, limit] :
       {std::pair{1200ms, 1700ms}, std::pair{770ms, 1700ms},
        std::pair{200ms, 700ms}}) {
    TargetPresence target{.service = "s", .heartbeat_interval = interval};
    CHECK(kNow >= ComputeSilenceStart(target));
    OnTargetHeartbeat(target, MakeHeartbeat(100, 1, TargetState::kReady), kNow);
    CHECK(ComputeSilenceStart(target) == kNow + limit);
    CHECK(DescribeTargetStatus(target, kNow + limit - 1ms).state ==
          TargetState::kReady);
    const TargetStatus silent = DescribeTargetStatus(target, kNow + limit);
    CHECK(silent.state == TargetState::kUnknown);
    LONGS_EQUAL(100, silent.started_at_ms);
    // A late heartbeat says nothing about the present.
    OnTargetHeartbeat(target, MakeHeartbeat(100, 1, TargetState::kReady),
                      kNow + limit);
    CHECK(ComputeSilenceStart(target) == kNow + limit);
    OnTargetHeartbeat(target, MakeHeartbeat(100, 2, TargetState::kReady),
                      kNow + limit);
    CHECK(DescribeTargetStatus(target, kNow + limit).state ==
          TargetState::kReady);
  }
}

TEST(TargetPresence, SilenceDoesntEndATargetNorADrain) {
  ReceiveHeartbeat(100, 1, TargetState::kDraining);
  CHECK(DescribeTargetStatus(presence, kNow + 9s).state ==
        TargetState::kDraining);
  ReceiveHeartbeat(100, 2, TargetState::kReady);
  CHECK(MarkSilentTargetGone(presence, 9s) == PresenceOutcome::kKnown);
  CHECK(presence.status.state == TargetState::kReady);
}

// Guards against openings at an address that was given to another service.
TEST(TargetPresence, LaterStartOfAnotherServiceTakesTheAddress) {
  ReceiveHeartbeat(200, 7, TargetState::kReady);
  // A late heartbeat of a target that had the address before.
  CHECK(ReceiveForeignHeartbeat(100, 40, 1s) == PresenceOutcome::kForeign);
  CHECK(presence.status.state == TargetState::kReady);
  const auto claim = ReceiveForeignHeartbeat(300, 1, 1s);
  CHECK(claim == PresenceOutcome::kClaimed);
  CHECK_FALSE(IsAcknowledged(claim));
  CHECK(ComputeSilenceStart(presence) < kNow);
  const TargetStatus claimed = DescribeTargetStatus(presence, kNow + 1s);
  CHECK(claimed.state == TargetState::kUnknown);
  LONGS_EQUAL(200, claimed.started_at_ms);
  CHECK(ReceiveForeignHeartbeat(300, 2, 2s) == PresenceOutcome::kForeign);
  const auto outcome = ReceiveForeignHeartbeat(300, 3, 3300ms);
  CHECK(outcome == PresenceOutcome::kGivenAway);
  CHECK_FALSE(IsAcknowledged(outcome));
  CHECK(presence.status.state == TargetState::kGone);
  LONGS_EQUAL(0, DescribeTargetStatus(presence, kNow).started_at_ms);
  STRCMP_EQUAL("other", presence.foreign_service.c_str());
  CHECK(ReceiveForeignHeartbeat(300, 4, 3500ms) == PresenceOutcome::kForeign);
  CHECK_FALSE(IsAcknowledged(OnTargetShutdownAnnounced(presence, "i-2", kNow)));
  // Late heartbeats of the crashed target, also a burst of them.
  for (std::uint64_t n = 8; n < 12; ++n) {
    CHECK(ReceiveHeartbeat(200, n, TargetState::kReady, 3600ms) ==
          PresenceOutcome::kOtherStart);
  }
  CHECK(presence.status.state == TargetState::kGone);
  // The own service gets the address again.
  CHECK(IsAcknowledged(ReceiveHeartbeat(400, 1, TargetState::kReady, 5s)));
  CHECK(presence.status.state == TargetState::kReady);
  CHECK(presence.foreign_service.empty());
  CHECK(ReceiveForeignHeartbeat(300, 5, 6s) == PresenceOutcome::kForeign);
  CHECK(presence.status.state == TargetState::kReady);
}

TEST(TargetPresence, EarlierStartOfAnotherServiceTakesASilentAddress) {
  ReceiveHeartbeat(200, 7, TargetState::kReady);
  CHECK(ReceiveForeignHeartbeat(100, 1, 1699ms) == PresenceOutcome::kForeign);
  CHECK(ReceiveForeignHeartbeat(100, 2, 1700ms) == PresenceOutcome::kClaimed);
  CHECK(ReceiveForeignHeartbeat(100, 3, 3999ms) == PresenceOutcome::kForeign);
  CHECK(presence.status.state == TargetState::kReady);
  CHECK(ReceiveForeignHeartbeat(100, 4, 4s) == PresenceOutcome::kGivenAway);
  CHECK(presence.status.state == TargetState::kGone);
  // The own target runs after all.
  ReceiveHeartbeat(200, 8, TargetState::kReady, 5s);
  CHECK(ReceiveHeartbeat(200, 11, TargetState::kReady, 8s) ==
        PresenceOutcome::kReplaced);
  CHECK(presence.status.state == TargetState::kReady);
}

TEST(TargetPresence, LateHeartbeatAfterAnotherServiceDoesntMakeATargetReady) {
  CHECK(ReceiveForeignHeartbeat(300, 1, 0s) == PresenceOutcome::kForeign);
  CHECK(ReceiveHeartbeat(200, 9, TargetState::kReady, 100ms) ==
        PresenceOutcome::kOtherStart);
  CHECK(presence.status.state == TargetState::kUnknown);
  LONGS_EQUAL(0, DescribeTargetStatus(presence, kNow).started_at_ms);
  ReceiveHeartbeat(400, 5, TargetState::kReady, 200ms);
  CHECK_FALSE(presence.knows_all_flows);
}

// Guards against the reset of open flows: the heartbeat of a crashed start
// reaches a restarted agent before that of the start which holds the flows.
TEST(TargetPresence, LateHeartbeatAtARestartedAgentIsNoRestart) {
  for (std::uint64_t n = 40; n < 44; ++n) {
    ReceiveHeartbeat(100, n, TargetState::kReady);
  }
  CHECK(ReceiveHeartbeat(200, 9, TargetState::kReady, 1s) ==
        PresenceOutcome::kReplaced);
  CHECK_FALSE(presence.knows_all_flows);
  CHECK(presence.status.state == TargetState::kReady);
}

// Guards against the denial of flows that an agent's earlier process has opened
// at a target which counts its heartbeats from 0.
TEST(TargetPresence, StartOfAnEarlierProcessIsntHeardFromItsBeginning) {
  for (std::uint64_t n = 0; n <= kFirstHeartbeatSequence; ++n) {
    TargetPresence heard{.service = "s"};
    OnTargetHeartbeat(heard, MakeHeartbeat(100, n, TargetState::kReady), kNow);
    CHECK(heard.knows_all_flows);
    // The record may arrive after the heartbeat.
    CHECK(RecordFormerStart(heard, 100));
    CHECK_FALSE(RecordFormerStart(heard, 100));
    CHECK_FALSE(heard.knows_all_flows);
    TargetPresence told{.service = "s"};
    RecordFormerStart(told, 100);
    OnTargetHeartbeat(told, MakeHeartbeat(100, n, TargetState::kReady), kNow);
    CHECK_FALSE(told.knows_all_flows);
    CHECK(told.status.state == TargetState::kReady);
  }
  for (std::uint64_t n = 1; n < 100; ++n) {
    RecordFormerStart(presence, n);
  }
  LONGS_EQUAL(kMaxReplacedStarts, presence.former_starts_ms.size());
  // A later start has opened no flows before.
  ReceiveHeartbeat(200, 1, TargetState::kReady);
  ReceiveHeartbeat(200, 2, TargetState::kReady, 2300ms);
  CHECK(presence.knows_all_flows);
}

// Guards against the denial of flows of a target that counts from 0, whose
// agent and all balancers restart between its first two heartbeats.
TEST(TargetPresence, NumberOneIsntProofOfAFirstHeartbeat) {
  const auto knows_all_flows =
      [](std::uint64_t sequence, Duration uptime,
         std::optional<std::chrono::milliseconds> age) {
        TargetPresence target{.service = "s",
                              .heartbeat_interval = 1200ms,
                              .process_started_at = kNow - uptime};
        auto beat = MakeHeartbeat(100, sequence, TargetState::kReady);
        beat.age = age;
        OnTargetHeartbeat(target, beat, kNow);
        return target.knows_all_flows;
      };
  // The agent's process is younger than two intervals.
  CHECK_FALSE(knows_all_flows(1, 800ms, 1200ms));
  CHECK_FALSE(knows_all_flows(1, 2699ms, 600ms));
  CHECK_FALSE(knows_all_flows(1, 800ms, std::nullopt));
  // The clock of the host has been set.
  CHECK_FALSE(knows_all_flows(1, 800ms, -600ms));
  CHECK_FALSE(knows_all_flows(1, 800ms, 1h));
  // The first heartbeat of a target that counts from 1.
  CHECK(knows_all_flows(1, 100ms, 0ms));
  CHECK(knows_all_flows(1, 800ms, 599ms));
  CHECK(knows_all_flows(1, 2700ms, 1h));
  // Number 0 is a first one, and no other number is.
  CHECK(knows_all_flows(0, 100ms, 1h));
  CHECK_FALSE(knows_all_flows(2, 1h, 0ms));
}

// Guards against the denial of a running start's flows after a late first
// heartbeat of a crashed start.
TEST(TargetPresence, LateFirstHeartbeatAtARestartedAgentIsNoProof) {
  RecordFormerStart(presence, 200);
  for (std::uint64_t n = 0; n < 9; ++n) {
    ReceiveHeartbeat(100, n, TargetState::kReady, n * 100ms);
    CHECK_FALSE(presence.knows_all_flows);
  }
  CHECK(ReceiveHeartbeat(200, 50, TargetState::kReady, 1s) ==
        PresenceOutcome::kReplaced);
  ReceiveHeartbeat(200, 51, TargetState::kReady, 9s);
  CHECK_FALSE(presence.knows_all_flows);
  // Nor if balancers answer after that heartbeat.
  TargetPresence told{.service = "s"};
  OnTargetHeartbeat(told, MakeHeartbeat(100, 1, TargetState::kReady), kNow);
  RecordFormerStart(told, 200);
  CHECK_FALSE(told.knows_all_flows);
  // The start runs.
  OnTargetHeartbeat(told, MakeHeartbeat(100, 4, TargetState::kReady),
                    kNow + 2299ms);
  CHECK_FALSE(told.knows_all_flows);
  OnTargetHeartbeat(told, MakeHeartbeat(100, 5, TargetState::kReady),
                    kNow + 2300ms);
  CHECK(told.knows_all_flows);
}

// Guards against a late heartbeat of a crashed start, whose start time was
// ahead as the clock had been, that ends the running start at an agent that has
// heard that one from its first heartbeat on: all its flows were reset.
TEST(TargetPresence, LateHeartbeatOfALaterStartTimeDoesntEndARunningStart) {
  for (std::uint64_t n = 1; n <= 9; ++n) {
    ReceiveHeartbeat(1000, n, TargetState::kReady, (n - 1) * 1s);
  }
  CHECK(presence.knows_all_flows);
  auto late = MakeHeartbeat(1600, 1, TargetState::kReady);
  late.id = "i-2";
  late.age = 9400ms;
  CHECK(OnTargetHeartbeat(presence, late, kNow + 8500ms) ==
        PresenceOutcome::kOtherStart);
  CHECK(ReceiveHeartbeat(1000, 10, TargetState::kReady, 9s) ==
        PresenceOutcome::kKnown);
  CHECK(presence.knows_all_flows);
  // A later start whose clock was set back since its start can't be told.
  late.age = -1000ms;
  CHECK(OnTargetHeartbeat(presence, late, kNow + 9100ms) ==
        PresenceOutcome::kOtherStart);
  // It counts once it has gone on while the present one was silent.
  late.age = 3400ms;
  late.sequence = 2;
  CHECK(OnTargetHeartbeat(presence, late, kNow + 11500ms) ==
        PresenceOutcome::kReplaced);
}

// Guards against a late heartbeat of the start that balancers remember, with a
// later start time, that replaces a start which has begun since the agent's:
// the target was draining, and its openings went on.
TEST(TargetPresence,
     LateHeartbeatOfTheFormerStartDoesntEndOneThatHasJustBegun) {
  presence.process_started_at = kNow;
  RecordFormerStart(presence, 1600);
  auto first = MakeHeartbeat(1000, 0, TargetState::kReady);
  first.age = 100ms;
  OnTargetHeartbeat(presence, first, kNow + 2s);
  ReceiveHeartbeat(1000, 1, TargetState::kDraining, 2500ms);
  auto late = MakeHeartbeat(1600, 1, TargetState::kReady);
  late.id = "i-2";
  late.age = 3500ms;
  CHECK(OnTargetHeartbeat(presence, late, kNow + 4s) ==
        PresenceOutcome::kOtherStart);
  CHECK(presence.status.state == TargetState::kDraining);
  // A start that may have begun before the agent's process is no evidence.
  TargetPresence unsure{.service = "s", .process_started_at = kNow};
  RecordFormerStart(unsure, 1600);
  first.age = 300ms;
  OnTargetHeartbeat(unsure, first, kNow + 100ms);
  CHECK(OnTargetHeartbeat(unsure, late, kNow + 1s) ==
        PresenceOutcome::kReplaced);
}

// Guards against a late first heartbeat of a crashed start that looks like that
// of a start which has just begun, as the clock was ahead by as much as it is
// late: all flows of the running start were reset.
TEST(TargetPresence, StartThatSeemsToHaveBegunDoesntEndOneThatIsHeard) {
  for (std::uint64_t n = 1; n <= 9; ++n) {
    ReceiveHeartbeat(1000, n, TargetState::kDraining, (n - 1) * 1s);
  }
  auto late = MakeHeartbeat(8900, 1, TargetState::kReady);
  late.id = "i-2";
  late.age = 300ms;
  CHECK(OnTargetHeartbeat(presence, late, kNow + 9200ms) ==
        PresenceOutcome::kOtherStart);
  // Heartbeats of the present start may lie unread beside it.
  late.unread_time = 2s;
  late.age = 700ms;
  CHECK(OnTargetHeartbeat(presence, late, kNow + 9600ms) ==
        PresenceOutcome::kOtherStart);
  CHECK(ReceiveHeartbeat(1000, 10, TargetState::kDraining, 9600ms) ==
        PresenceOutcome::kKnown);
  // Nor do further ones, when the present start is late once.
  late.sequence = 2;
  late.unread_time = {};
  late.age = 2100ms;
  CHECK(OnTargetHeartbeat(presence, late, kNow + 11s) ==
        PresenceOutcome::kOtherStart);
  CHECK(presence.status.state == TargetState::kDraining);
  CHECK(presence.knows_all_flows);
}

// Flows may have opened at the new start before it counts, so none is reset.
TEST(TargetPresence, StartThatBeganAfterAHeartbeatCountsFromItsSecondOne) {
  ReceiveHeartbeat(1000, 1, TargetState::kReady);
  auto beat = MakeHeartbeat(1400, 1, TargetState::kReady);
  beat.age = 100ms;
  CHECK(OnTargetHeartbeat(presence, beat, kNow + 500ms) ==
        PresenceOutcome::kOtherStart);
  // The same one, repeated.
  beat.age = 1s;
  CHECK(OnTargetHeartbeat(presence, beat, kNow + 1400ms) ==
        PresenceOutcome::kOtherStart);
  beat.age = 1100ms;
  beat.sequence = 2;
  CHECK(OnTargetHeartbeat(presence, beat, kNow + 1500ms) ==
        PresenceOutcome::kReplaced);
  LONGS_EQUAL(1400, presence.status.started_at_ms);
  CHECK_FALSE(presence.knows_all_flows);
  CHECK(presence.first_heard_at == kNow + 500ms);
}

TEST(TargetPresence, StartYoungerThanAnIntervalEndsARunningStartAtOnce) {
  ReceiveHeartbeat(1000, 1, TargetState::kReady);
  auto beat = MakeHeartbeat(9000, 1, TargetState::kReady);
  beat.age = 999ms;
  CHECK(OnTargetHeartbeat(presence, beat, kNow + 8s) ==
        PresenceOutcome::kRestarted);
  // The agent may have read the heartbeat late.
  beat.started_at_ms = 12000;
  beat.age = 1500ms;
  beat.unread_time = 600ms;
  CHECK(OnTargetHeartbeat(presence, beat, kNow + 12s) ==
        PresenceOutcome::kRestarted);
}

// Guards against the reset of a running start's flows by a late heartbeat of a
// crashed start with a later start time, which the agent's earlier process
// knew.
TEST(TargetPresence, LateHeartbeatDoesntEndTheStartOfAnEarlierProcess) {
  RecordFormerStart(presence, 200);
  for (std::uint64_t n = 1; n < 10; ++n) {
    ReceiveHeartbeat(200, 50 + n, TargetState::kReady, n * 1s);
    CHECK(ReceiveHeartbeat(300, 70 + n, TargetState::kDraining,
                           n * 1s + 500ms) == PresenceOutcome::kOtherStart);
  }
  LONGS_EQUAL(200, presence.status.started_at_ms);
  CHECK(presence.status.state == TargetState::kReady);
  // It runs: its heartbeats go on without the present start's.
  CHECK(ReceiveHeartbeat(300, 90, TargetState::kReady, 10s) ==
        PresenceOutcome::kOtherStart);
  CHECK(ReceiveHeartbeat(300, 91, TargetState::kReady, 12300ms) ==
        PresenceOutcome::kReplaced);
  // A restart is known at once by its first heartbeat.
  TargetPresence heard{.service = "s"};
  RecordFormerStart(heard, 200);
  OnTargetHeartbeat(heard, MakeHeartbeat(200, 50, TargetState::kReady), kNow);
  OnTargetHeartbeat(heard, MakeHeartbeat(200, 53, TargetState::kReady),
                    kNow + 3s);
  CHECK(OnTargetHeartbeat(heard, MakeHeartbeat(300, 1, TargetState::kReady),
                          kNow + 4300ms) == PresenceOutcome::kRestarted);
  CHECK(heard.knows_all_flows);
  CHECK(OnTargetHeartbeat(heard, MakeHeartbeat(400, 7, TargetState::kReady),
                          kNow + 5600ms) == PresenceOutcome::kRestarted);
}

// Guards against the reset of a running start's flows by a late heartbeat of a
// crashed start with a later start time, which balancers still took for the
// present one when the agent's process restarted.
TEST(TargetPresence, LateHeartbeatOfTheFormerStartDoesntEndARunningOne) {
  RecordFormerStart(presence, 300);
  for (std::uint64_t n = 1; n < 5; ++n) {
    ReceiveHeartbeat(200, 3 + n, TargetState::kReady, n * 1s);
  }
  CHECK(ReceiveHeartbeat(300, 8, TargetState::kReady, 4500ms) ==
        PresenceOutcome::kOtherStart);
  LONGS_EQUAL(200, presence.status.started_at_ms);
  CHECK(ReceiveHeartbeat(200, 8, TargetState::kReady, 5s) !=
        PresenceOutcome::kOtherStart);
  // It runs: its heartbeats go on without the present start's.
  CHECK(ReceiveHeartbeat(300, 9, TargetState::kReady, 6s) ==
        PresenceOutcome::kOtherStart);
  CHECK(ReceiveHeartbeat(300, 12, TargetState::kReady, 8300ms) ==
        PresenceOutcome::kReplaced);
}
