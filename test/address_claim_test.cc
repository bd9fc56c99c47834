#include <CppUTest/TestHarness.h>

#include "hawthornbank/target_presence.h"

// Heartbeats of another service's target, which may have a target's address.

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};

}  // namespace

TEST_GROUP(AddressClaim) {
  TargetPresence presence{.service = "s"};

  auto Receive(const std::string& service, std::uint64_t started_at_ms,
               std::uint64_t sequence, Duration after, Duration unread_time)
      ->PresenceOutcome {
    return OnTargetHeartbeat(presence,
                             TargetHeartbeat{.id = "i-" + service,
                                             .service = service,
                                             .started_at_ms = started_at_ms,
                                             .sequence = sequence,
                                             .state = TargetState::kReady,
                                             .unread_time = unread_time},
                             kNow + after);
  }

  auto ReceiveHeartbeat(std::uint64_t started_at_ms, std::uint64_t sequence,
                        Duration after, Duration unread_time = {})
      ->PresenceOutcome {
    return Receive("s", started_at_ms, sequence, after, unread_time);
  }

  auto ReceiveForeignHeartbeat(std::uint64_t started_at_ms,
                               std::uint64_t sequence, Duration after,
                               Duration unread_time = {})
      ->PresenceOutcome {
    return Receive("other", started_at_ms, sequence, after, unread_time);
  }

  // Whether the own target, which was ready, is announced as of unknown state
  // with its start time and gets no openings.
  auto IsClosedForOpenings(Duration after)->bool {
    const auto status = DescribeTargetStatus(presence, kNow + after);
    return status.state == TargetState::kUnknown &&
           status.started_at_ms == presence.status.started_at_ms &&
           presence.foreign_service.empty() &&
           kNow + after >= ComputeSilenceStart(presence);
  }
};

// Guards against late heartbeats of a former service's target that end a live
// target and its flows.
TEST(AddressClaim, LateHeartbeatsOfAnotherServiceDontEndARunningTarget) {
  ReceiveHeartbeat(200, 1, 0s);
  for (std::uint64_t n = 1; n < 4; ++n) {
    CHECK(ReceiveForeignHeartbeat(300, n, n * 1s - 1ms) !=
          PresenceOutcome::kGivenAway);
    CHECK(IsClosedForOpenings(n * 1s - 1ms));
    CHECK(ReceiveHeartbeat(200, n + 1, n * 1s) == PresenceOutcome::kKnown);
    CHECK(IsClosedForOpenings(n * 1s));
  }
  CHECK(presence.knows_all_flows);
  // Repeated messages.
  for (std::uint64_t n = 1; n < 4; ++n) {
    CHECK(ReceiveForeignHeartbeat(300, n, 4s) == PresenceOutcome::kForeign);
  }
  ReceiveHeartbeat(200, 22, 5299ms);
  CHECK(IsClosedForOpenings(5299ms));
  ReceiveHeartbeat(200, 23, 5300ms);
  CHECK_FALSE(IsClosedForOpenings(5300ms));
  CHECK(ReceiveForeignHeartbeat(300, 3, 6s) == PresenceOutcome::kForeign);
  CHECK_FALSE(IsClosedForOpenings(6s));
  CHECK(ReceiveForeignHeartbeat(300, 20, 6s) == PresenceOutcome::kClaimed);
  // The claim is rejected a second time.
  ReceiveHeartbeat(200, 24, 7s);
  ReceiveHeartbeat(200, 25, 10s);
  CHECK(ReceiveForeignHeartbeat(300, 20, 10s) == PresenceOutcome::kForeign);
  CHECK_FALSE(IsClosedForOpenings(10s));
}

// Guards against a writer that isn't a target and goes on for ever: a running
// target would get no openings.
TEST(AddressClaim, OwnTargetOutlastsTheHeartbeatsOfAnotherWriter) {
  ReceiveHeartbeat(200, 1, 0s);
  for (std::uint64_t n = 1; n < 40; ++n) {
    // Each heartbeat but the first is of another start.
    CHECK(ReceiveForeignHeartbeat(300 + n / 2, n, n * 1s - 1ms) !=
          PresenceOutcome::kGivenAway);
    CHECK(ReceiveHeartbeat(200, n + 1, n * 1s) == PresenceOutcome::kKnown);
    CHECK(IsClosedForOpenings(n * 1s) == (n < 6));
    CHECK(presence.knows_all_flows);
  }
  // The target ends, and one of another service gets its address.
  CHECK(ReceiveForeignHeartbeat(400, 1, 41299ms) == PresenceOutcome::kForeign);
  CHECK(IsClosedForOpenings(41299ms));
  CHECK(ReceiveForeignHeartbeat(400, 2, 41300ms) == PresenceOutcome::kClaimed);
  CHECK(ReceiveForeignHeartbeat(400, 3, 43600ms) ==
        PresenceOutcome::kGivenAway);
}

// Guards against the same at an agent that has just started, which would take
// its target for gone: no request would be served, and its flows be reset.
TEST(AddressClaim, OwnTargetOutlastsAnotherWriterAtARestartedAgent) {
  ReceiveForeignHeartbeat(300, 1, 0s);
  for (std::uint64_t n = 1; n < 10; ++n) {
    const auto outcome = ReceiveHeartbeat(200, 70 + n, n * 1s);
    CHECK(IsAcknowledged(outcome) == (n >= 6));
    CHECK((outcome == PresenceOutcome::kReplaced) == (n == 6));
    CHECK(MarkSilentTargetGone(presence, n * 1s) == PresenceOutcome::kKnown);
    CHECK(ReceiveForeignHeartbeat(300, n + 1, n * 1s + 500ms) ==
          PresenceOutcome::kForeign);
  }
  CHECK(presence.status.state == TargetState::kReady);
  CHECK_FALSE(IsClosedForOpenings(10s));
  CHECK_FALSE(presence.knows_all_flows);
}

// Guards against a claim by a writer that names another address.
TEST(AddressClaim, HeartbeatThatNamesAnotherAddressClaimsNothing) {
  presence.address = {.address = 1, .port = 2};
  ReceiveHeartbeat(200, 1, 0s);
  TargetHeartbeat beat{.service = "other",
                       .address = {.address = 1, .port = 3},
                       .started_at_ms = 300,
                       .sequence = 1};
  CHECK(OnTargetHeartbeat(presence, beat, kNow) == PresenceOutcome::kForeign);
  CHECK_FALSE(IsClosedForOpenings(0s));
  beat.address = presence.address;
  CHECK(OnTargetHeartbeat(presence, beat, kNow) == PresenceOutcome::kClaimed);
}

// Guards against a few late heartbeats that count as a running target's.
TEST(AddressClaim, LateOwnHeartbeatsWithGapsDontOutlastAnotherService) {
  ReceiveForeignHeartbeat(300, 1, 0s);
  for (std::uint64_t n = 1; n < 10; ++n) {
    CHECK(ReceiveHeartbeat(200, 70 + n, n * 2400ms - 50ms) ==
          PresenceOutcome::kOtherStart);
    CHECK(ReceiveForeignHeartbeat(300, n + 1, n * 2400ms) ==
          PresenceOutcome::kForeign);
  }
  CHECK(MarkSilentTargetGone(presence, 24s) == PresenceOutcome::kKnown);
  ReceiveForeignHeartbeat(300, 30, 24s);
  CHECK(MarkSilentTargetGone(presence, 24s) == PresenceOutcome::kChanged);
}

// Guards against openings at a target of another service after late heartbeats
// of the target that had the address before.
TEST(AddressClaim, LateOwnHeartbeatsDontReopenAClaimedAddress) {
  ReceiveHeartbeat(200, 1, 0s);
  ReceiveForeignHeartbeat(300, 1, 5s);
  for (std::uint64_t n = 2; n < 9; ++n) {
    ReceiveHeartbeat(200, n, 5s + n * 100ms);
    CHECK(IsClosedForOpenings(5s + n * 100ms));
  }
  ReceiveForeignHeartbeat(300, 2, 6s);
  // An earlier start than the claiming one.
  CHECK(ReceiveHeartbeat(250, 7, 7100ms) == PresenceOutcome::kRestarted);
  CHECK(IsClosedForOpenings(7100ms));
  ReceiveForeignHeartbeat(300, 3, 8s);
  CHECK(ReceiveForeignHeartbeat(300, 4, 10300ms) ==
        PresenceOutcome::kGivenAway);
}

// Guards against a claim that is confirmed or rejected by heartbeats read after
// a pause, beside which those of the other start may lie unread.
TEST(AddressClaim, UnreadHeartbeatsDecideNoClaim) {
  ReceiveHeartbeat(200, 1, 0s);
  ReceiveForeignHeartbeat(300, 1, 0s);
  CHECK(ReceiveForeignHeartbeat(300, 2, 9s, 9s) == PresenceOutcome::kForeign);
  CHECK(presence.status.state == TargetState::kReady);
  ReceiveHeartbeat(200, 2, 10s);
  ReceiveHeartbeat(200, 3, 13200ms, 1s);
  CHECK(IsClosedForOpenings(13200ms));
  ReceiveHeartbeat(200, 4, 13500ms);
  CHECK_FALSE(IsClosedForOpenings(13500ms));
  // Nor do they show that another own start has replaced the present one.
  ReceiveHeartbeat(100, 1, 14s);
  CHECK(ReceiveHeartbeat(100, 2, 17s, 3s) == PresenceOutcome::kOtherStart);
}

TEST(AddressClaim, LaterOwnStartRejectsAClaim) {
  ReceiveHeartbeat(200, 1, 0s);
  ReceiveForeignHeartbeat(300, 1, 0s);
  CHECK(ReceiveHeartbeat(400, 1, 1300ms) == PresenceOutcome::kRestarted);
  CHECK_FALSE(IsClosedForOpenings(1300ms));
}

TEST(AddressClaim, OwnStartThatReplacesThePresentOneRejectsAClaim) {
  ReceiveHeartbeat(200, 1, 0s);
  ReceiveForeignHeartbeat(300, 1, 0s);
  ReceiveHeartbeat(100, 1, 1s);
  ReceiveForeignHeartbeat(300, 2, 2s);
  ReceiveHeartbeat(100, 2, 2100ms);
  CHECK(ReceiveHeartbeat(100, 3, 4399ms) == PresenceOutcome::kOtherStart);
  CHECK(IsClosedForOpenings(4399ms));
  CHECK(ReceiveHeartbeat(100, 4, 4400ms) == PresenceOutcome::kReplaced);
  CHECK_FALSE(IsClosedForOpenings(4400ms));
}

// Guards against an agent that has just started, hears late heartbeats of other
// services and takes its live target for gone.
TEST(AddressClaim, TargetThatIsHeardAfterAnotherServiceIsntGone) {
  ReceiveForeignHeartbeat(300, 1, 0s);
  ReceiveForeignHeartbeat(400, 1, 100ms);
  CHECK(presence.status.state == TargetState::kUnknown);
  ReceiveHeartbeat(200, 8, 500ms);
  ReceiveHeartbeat(200, 9, 1500ms);
  CHECK(MarkSilentTargetGone(presence, 2500ms) == PresenceOutcome::kKnown);
  CHECK(ReceiveHeartbeat(200, 10, 2800ms) == PresenceOutcome::kReplaced);
  CHECK(presence.status.state == TargetState::kReady);
}
