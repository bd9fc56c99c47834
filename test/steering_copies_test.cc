// Copies of openings: a caller repeats its first packet while it has no answer.

#include <CppUTest/TestHarness.h>

#include "hawthornbank/steering.h"
#include "steering_fixture.h"

using namespace hawthornbank;
using namespace hawthornbank::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kAgents = 3;
const TimePoint kNow{std::chrono::seconds{1000}};

}  // namespace

TEST_GROUP(SteeringCopies) {
  Steering steering;
  std::vector<SteeringAction> out;

  void setup() override {
    SetUpSteering(steering, kAgents, kNow);
    steering.started = kNow - 60s;
  }

  auto SendOpening(std::uint32_t earlier_copies, TimePoint now)
      ->SteeringAction {
    out.clear();
    const std::vector<std::uint8_t> bytes(32);
    OnCallerPacket(steering,
                   FlowPacket{.source = {.address = 5, .port = 4000},
                              .destination = kAddress,
                              .is_opening = true,
                              .acknowledgement = earlier_copies},
                   bytes, now, out);
    return out.at(0);
  }

  // All targets announce that they have just started.
  auto RestartTargets()->void {
    for (std::uint32_t n = 1; n <= kAgents; ++n) {
      HostRecord record = steering.fleet.hosts.at(MakeAgentEndpoint(n)).record;
      record.revision = 2;
      record.target.started_at_ms = 9000;
      record.target.cold = true;
      MergeHostRecord(steering.fleet, record, Duration::zero(), kNow);
    }
  }
};

TEST(SteeringCopies, FirstPacketMayBeRejected) {
  CHECK_FALSE(SendOpening(0, kNow).header.may_be_accepted);
}

TEST(SteeringCopies, CopyThatCameThroughAnotherBalancerIsNotRejected) {
  CHECK(SendOpening(1, kNow).header.may_be_accepted);
}

TEST(SteeringCopies, CopyOfARememberedFlowIsNotRejected) {
  RestartTargets();
  steering.started = kNow;
  (void)SendOpening(0, kNow);
  const auto copy = SendOpening(1, kNow + 40ms);
  CHECK(copy.reason == SteeringReason::kDuplicateOpening);
  CHECK(copy.header.may_be_accepted);
}

TEST(SteeringCopies, CopyWhoseFirstAgentIsSilentIsNotRejected) {
  RestartTargets();
  steering.started = kNow;
  const auto first = SendOpening(0, kNow);
  steering.openings.clear();
  MarkHostSuspected(steering.fleet.hosts.at(first.to), kNow + 200ms);
  const auto copy = SendOpening(1, kNow + 200ms);
  CHECK(copy.to != first.to);
  CHECK(copy.header.may_be_accepted);
}

// After a loss of power no target can have accepted what was sent before.
TEST(SteeringCopies, CopySentBeforeAllTargetsStartedMayBeRejected) {
  RestartTargets();
  steering.started = kNow;
  CHECK_FALSE(SendOpening(1, kNow + 10ms).header.may_be_accepted);
}

TEST(SteeringCopies, TargetsThatRestartLaterDoNotAllowRejections) {
  RestartTargets();
  CHECK(SendOpening(1, kNow + 10ms).header.may_be_accepted);
}

TEST(SteeringCopies, OneTargetThatHasBeenRunningPreventsRejections) {
  RestartTargets();
  steering.started = kNow;
  HostRecord record = steering.fleet.hosts.at(MakeAgentEndpoint(1)).record;
  record.control = MakeAgentEndpoint(kAgents + 1);
  record.target.cold = false;
  MergeHostRecord(steering.fleet, record, Duration::zero(), kNow);
  CHECK(SendOpening(1, kNow + 10ms).header.may_be_accepted);
}
