#include "hawthornbank/listening_time.h"

#include <CppUTest/TestHarness.h>

#include "hawthornbank/target_presence.h"

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1000s};
const TimePoint kAwakeStart{400s};

}  // namespace

TEST_GROUP(ListeningTime) {
  ListeningTime listening = StartListening(kStart, kAwakeStart);

  // Records activities each 100 ms until `end`.
  auto ListenUntil(Duration end)->void {
    for (Duration it = listening.last - kStart; it <= end; it += 100ms) {
      RecordListening(listening, kStart + it, kAwakeStart + it);
    }
  }
};

// Guards against an agent that takes its live target for gone, and denies its
// flows, while heartbeats lie unread.
TEST(ListeningTime, AgentThatWasHeldUpDoesntTakeItsTargetForGone) {
  TargetPresence presence{.service = "s"};
  const auto mark = [&] {
    return MarkSilentTargetGone(presence, listening.last - listening.since);
  };
  ListenUntil(2s);
  CHECK(mark() == PresenceOutcome::kKnown);
  RecordListening(listening, kStart + 2400ms, kAwakeStart + 2400ms);
  CHECK(mark() == PresenceOutcome::kKnown);
  ListenUntil(4600ms);
  CHECK(mark() == PresenceOutcome::kKnown);
  ListenUntil(4800ms);
  CHECK(mark() == PresenceOutcome::kChanged);
  CHECK_FALSE(presence.knows_all_flows);
}

// Guards against a heartbeat that was sent before a pause and counts as new.
TEST(ListeningTime, MessagesReadAfterAPauseMayHaveLainUnread) {
  ListenUntil(1s);
  CHECK(ComputeMaxUnreadTime(listening) == 0s);
  RecordListening(listening, kStart + 4s, kAwakeStart + 4s);
  CHECK(ComputeMaxUnreadTime(listening) == 3s);
  TargetPresence presence{.service = "s"};
  OnTargetHeartbeat(
      presence,
      TargetHeartbeat{.id = "i",
                      .service = "s",
                      .started_at_ms = 100,
                      .sequence = 7,
                      .state = TargetState::kReady,
                      .unread_time = ComputeMaxUnreadTime(listening)},
      kAwakeStart + 4s);
  CHECK(DescribeTargetStatus(presence, kAwakeStart + 4s).state ==
        TargetState::kUnknown);
  ListenUntil(4300ms);
  CHECK(ComputeMaxUnreadTime(listening) == 0s);
}

TEST(ListeningTime, SuspensionsOfTheHostAreMeasuredByTwoClocks) {
  CHECK(RecordListening(listening, kStart + 100ms, kAwakeStart + 90ms) == 0s);
  CHECK(RecordListening(listening, kStart + 5100ms, kAwakeStart + 100ms) == 5s);
  CHECK(ComputeMaxUnreadTime(listening) == 5s);
  CHECK(RecordListening(listening, kStart + 5200ms, kAwakeStart + 200ms) == 0s);
}

// Guards against a suspension that is missed because an earlier reading of the
// two clocks was interrupted.
TEST(ListeningTime, InterruptedReadingOfTheClocksHidesNoLaterSuspension) {
  RecordListening(listening, kStart + 1100ms, kAwakeStart + 1s);
  CHECK(RecordListening(listening, kStart + 1200ms, kAwakeStart + 1200ms) ==
        0s);
  CHECK(RecordListening(listening, kStart + 1400ms, kAwakeStart + 1300ms) ==
        100ms);
}
