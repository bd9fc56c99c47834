#include "hawthornbank/target_flows.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

using Kind = TargetAction::Kind;

constexpr std::uint32_t kService = 77;
const Endpoint kSelf{.address = 0x0A010001, .port = 7000};
const Endpoint kBalancer{.address = 0x0A000001, .port = 7000};
const Endpoint kOtherBalancer{.address = 0x0A000002, .port = 7000};
const Endpoint kCaller{.address = 0x64400007, .port = 4000};
const Endpoint kAddress{.address = 0xC6120001, .port = 443};
const TimePoint kNow{std::chrono::seconds{1000}};

auto MakeCallerPacket(std::uint16_t port, bool opens, std::uint16_t length = 0)
    -> FlowPacket {
  return FlowPacket{.source = {.address = kCaller.address, .port = port},
                    .destination = kAddress,
                    .is_opening = opens,
                    .has_acknowledgement = !opens,
                    .acknowledgement = 900,
                    .data_bytes = length};
}

auto MakeTargetPacket(std::uint16_t port, std::uint16_t length = 0)
    -> FlowPacket {
  return FlowPacket{.source = kAddress,
                    .destination = {.address = kCaller.address, .port = port},
                    .has_acknowledgement = true,
                    .data_bytes = length};
}

}  // namespace

TEST_GROUP(TargetFlows) {
  TargetFlows target{.options = {.service = kService, .self = kSelf},
                     .status = {.state = TargetState::kReady,
                                .started_at_ms = 500,
                                .slots = 2},
                     .knows_all_flows = true,
                     .averaged_at = kNow};
  std::vector<TargetAction> out;
  const std::vector<std::uint8_t> bytes = std::vector<std::uint8_t>(32, 7);

  auto RelayCallerPacket(const FlowPacket& packet, RelayHeader header = {},
                         TimePoint now = kNow)
      ->Kind {
    header.service = kService;
    if (header.origin.port == 0) {
      header.origin = kBalancer;
    }
    out.clear();
    OnRelayedPacket(target, header, packet, bytes, now, out);
    return out.empty() ? Kind::kDrop : out[0].kind;
  }

  auto QueryFlow(std::uint16_t port)->void {
    out.clear();
    OnFlowQuery(
        target,
        FlowQuery{.flow = ExtractCallerFlowKey(MakeCallerPacket(port, false)),
                  .origin = kOtherBalancer,
                  .acknowledgement = 900,
                  .has_acknowledgement = true},
        kNow, out);
    LONGS_EQUAL(1, out.size());
    CHECK(out[0].kind == Kind::kReplyToBalancer);
  }

  auto ReceiveTargetPacket(const FlowPacket& packet, TimePoint now = kNow)
      ->Kind {
    out.clear();
    OnTargetPacket(target, packet, now, out);
    return out.empty() ? Kind::kDrop : out[0].kind;
  }

  // Opens a flow that the target accepts, and sends a request in the flow.
  auto OpenFlowWithRequest(std::uint16_t port)->void {
    RelayCallerPacket(MakeCallerPacket(port, true));
    ReceiveTargetPacket(MakeTargetPacket(port));
    RelayCallerPacket(MakeCallerPacket(port, false, 100));
  }

  // Opens `count` flows whose requests the target resets.
  auto OpenFlowsAndResetTheirRequests(std::uint16_t count)->void {
    for (std::uint16_t port = 1; port <= count; ++port) {
      RelayCallerPacket(MakeCallerPacket(port, true), {.returned_by = {1, 2}});
      ReceiveTargetPacket(MakeTargetPacket(port));
      RelayCallerPacket(MakeCallerPacket(port, false, 100));
      FlowPacket reset = MakeTargetPacket(port);
      reset.is_reset = true;
      ReceiveTargetPacket(reset);
    }
  }

  auto SetTargetState(TargetState state, std::uint64_t started_at_ms,
                      TimePoint now)
      ->void {
    out.clear();
    ApplyTargetStatus(
        target, {.state = state, .started_at_ms = started_at_ms, .slots = 2},
        now, out);
  }

  auto RunTargetFlowsTick(TimePoint now)->void {
    out.clear();
    OnTargetTick(target, now, out);
  }
};

TEST(TargetFlows, BalancerIsNotifiedWhenTheTargetAnswersAnOpening) {
  CHECK(RelayCallerPacket(MakeCallerPacket(1, true)) == Kind::kDeliver);
  CHECK(out[0].return_id != 0);
  ReceiveTargetPacket(MakeTargetPacket(1));
  LONGS_EQUAL(2, out.size());
  CHECK(out[0].kind == Kind::kReplyToBalancer);
  CHECK(out[0].to == kBalancer);
  CHECK(out[1].kind == Kind::kToCaller);
}

TEST(TargetFlows, PacketForAnotherServiceIsReturned) {
  RelayHeader header{.origin = kBalancer, .service = kService + 1};
  out.clear();
  OnRelayedPacket(target, header, MakeCallerPacket(1, true), bytes, kNow, out);
  CHECK(out[0].kind == Kind::kReturnToBalancer);
  CHECK(out[0].reason == TargetReason::kWrongService);
}

// A balancer that doesn't know the agent names a service by the routes of
// today.
TEST(TargetFlows, PacketOfAnOpenFlowIsDeliveredWhateverServiceItIsSentTo) {
  OpenFlowWithRequest(1);
  const RelayHeader header{.origin = kBalancer, .service = kService + 1};
  out.clear();
  OnRelayedPacket(target, header, MakeCallerPacket(1, false, 10), bytes, kNow,
                  out);
  CHECK(out[0].kind == Kind::kDeliver);
  out.clear();
  OnRelayedPacket(target, header, MakeCallerPacket(1, true), bytes, kNow, out);
  CHECK(out[0].kind == Kind::kDeliver);
}

// The agent started later than the target and doesn't know the target's flows.
TEST(TargetFlows, PacketThatMayBeOfAnOpenFlowIsOfferedWhateverItsService) {
  target.knows_all_flows = false;
  const RelayHeader header{.origin = kBalancer, .service = kService + 1};
  out.clear();
  OnRelayedPacket(target, header, MakeCallerPacket(1, false, 10), bytes, kNow,
                  out);
  CHECK(out[0].kind == Kind::kDeliver);
  CHECK(out[0].reason == TargetReason::kOffered);
}

TEST(TargetFlows, DrainingTargetGetsNoOpeningAndKeepsItsFlows) {
  OpenFlowWithRequest(1);
  SetTargetState(TargetState::kDraining, 500, kNow);
  CHECK(RelayCallerPacket(MakeCallerPacket(2, true)) ==
        Kind::kReturnToBalancer);
  CHECK(out[0].reason == TargetReason::kNotReady);
  CHECK(RelayCallerPacket(MakeCallerPacket(1, false, 10)) == Kind::kDeliver);
}

TEST(TargetFlows, AgentWithoutAHeartbeatOfItsTargetRefusesOpenings) {
  target.status = {};
  CHECK(RelayCallerPacket(MakeCallerPacket(1, true)) ==
        Kind::kReturnToBalancer);
}

// Load pattern: a burst of more requests than the target has slots.
TEST(TargetFlows, FullTargetRefusesOpeningsUntilTwoOtherAgentsHaveRefused) {
  for (std::uint16_t port = 1; port <= 3; ++port) {
    OpenFlowWithRequest(port);
  }
  LONGS_EQUAL(3, target.running);
  CHECK(RelayCallerPacket(MakeCallerPacket(9, true)) ==
        Kind::kReturnToBalancer);
  CHECK(out[0].reason == TargetReason::kFull);
  CHECK(out[0].header.returned_by == std::vector<std::uint32_t>{kSelf.address});
  CHECK(RelayCallerPacket(MakeCallerPacket(9, true),
                          RelayHeader{.returned_by = {1, 2}}) ==
        Kind::kDeliver);
  // The target's answers free slots.
  ReceiveTargetPacket(MakeTargetPacket(1, 400));
  ReceiveTargetPacket(MakeTargetPacket(2, 400));
  LONGS_EQUAL(2, target.running);
}

// Guards against a fault that a soak found: when a service had one target left,
// each opening that arrived while that target was busy was reset.
TEST(TargetFlows, FullTargetTakesAnOpeningThatNoOtherTargetCanTake) {
  for (std::uint16_t port = 1; port <= 5; ++port) {
    OpenFlowWithRequest(port);
  }
  CHECK(RelayCallerPacket(MakeCallerPacket(10, true)) ==
        Kind::kReturnToBalancer);
  CHECK(out[0].reason == TargetReason::kFull);
  CHECK(RelayCallerPacket(MakeCallerPacket(10, true),
                          {.is_last_candidate = true}) == Kind::kDeliver);
  OpenFlowsAndResetTheirRequests(10);
  CHECK(RelayCallerPacket(MakeCallerPacket(11, true),
                          {.is_last_candidate = true}) == Kind::kDeliver);
}

TEST(TargetFlows, OpeningReturnedByTheTargetIsReturnedWithItsHeader) {
  RelayCallerPacket(MakeCallerPacket(1, true), RelayHeader{.returned_by = {5}});
  FlowPacket returned = MakeCallerPacket(1, true);
  returned.is_returned = true;
  returned.return_id = out[0].return_id;
  CHECK(ReceiveTargetPacket(returned) == Kind::kReturnToBalancer);
  CHECK(out[0].to == kBalancer);
  LONGS_EQUAL(2, out[0].header.returned_by.size());
  LONGS_EQUAL(0, target.flows.size());
  LONGS_EQUAL(0, target.running);
  // A return id with the same table index but another value is unknown.
  returned.return_id += kReturnablePackets;
  CHECK(ReceiveTargetPacket(returned) == Kind::kDrop);
}

TEST(TargetFlows, UnansweredOpeningIsReturnedAfterTheTimeout) {
  RelayCallerPacket(MakeCallerPacket(1, true));
  RunTargetFlowsTick(kNow + 24ms);
  LONGS_EQUAL(0, out.size());
  RunTargetFlowsTick(kNow + 25ms);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].reason == TargetReason::kSilent);
  CHECK(out[0].opening == bytes);
  CHECK(RelayCallerPacket(MakeCallerPacket(2, true)) ==
        Kind::kReturnToBalancer);
  // A packet from the target shows that the target is responsive again.
  ReceiveTargetPacket(MakeTargetPacket(7));
  CHECK(RelayCallerPacket(MakeCallerPacket(3, true)) == Kind::kDeliver);
}

TEST(TargetFlows, AgentThatKnowsAllFlowsReturnsPacketsOfUnknownFlows) {
  CHECK(RelayCallerPacket(MakeCallerPacket(1, false, 10)) ==
        Kind::kReturnToBalancer);
  CHECK(out[0].reason == TargetReason::kNotHere);
}

TEST(TargetFlows, AgentThatDoesNotKnowAllFlowsDeliversPacketsOfUnknownFlows) {
  target.knows_all_flows = false;
  CHECK(RelayCallerPacket(MakeCallerPacket(1, false, 10)) == Kind::kDeliver);
  CHECK(out[0].reason == TargetReason::kOffered);
  // The target's answer shows that the target holds the flow.
  ReceiveTargetPacket(MakeTargetPacket(1, 10));
  CHECK(RelayCallerPacket(MakeCallerPacket(1, false, 10)) == Kind::kDeliver);
  CHECK(out[0].reason == TargetReason::kDelivered);
}

TEST(TargetFlows, QueryIsAnsweredWithHeldNotHeldOrUnsure) {
  OpenFlowWithRequest(1);
  QueryFlow(1);
  CHECK(out[0].ownership == FlowOwnership::kHeld);
  CHECK(out[0].to == kOtherBalancer);
  QueryFlow(2);
  CHECK(out[0].ownership == FlowOwnership::kNotHeld);
  target.knows_all_flows = false;
  QueryFlow(2);
  CHECK(out[0].ownership == FlowOwnership::kUnsure);
}

TEST(TargetFlows, UnansweredOpeningIsReportedAsUnsure) {
  RelayCallerPacket(MakeCallerPacket(1, true));
  QueryFlow(1);
  CHECK(out[0].ownership == FlowOwnership::kUnsure);
}

// Load pattern: an opening packet that wasn't confirmed in time is retried at a
// second target, and both targets accept it. The caller acknowledges the answer
// of one target.
// The other target neither serves nor returns the caller's packets.
TEST(TargetFlows, FlowOpenedAtAnotherTargetIsReportedAsNotHeld) {
  RelayCallerPacket(MakeCallerPacket(1, true));
  FlowPacket accepted = MakeTargetPacket(1);
  accepted.is_opening = true;
  accepted.sequence = 2'000'000;
  ReceiveTargetPacket(accepted);
  QueryFlow(1);
  CHECK(out[0].ownership == FlowOwnership::kNotHeld);
}

// The balancer holds back the flow's other packets until it receives the
// agent's reply to the first packet.
TEST(TargetFlows, UnknownFlowIsReportedAsHeldWhenTheTargetAnswers) {
  target.knows_all_flows = false;
  RelayCallerPacket(MakeCallerPacket(3, false, 100));
  CHECK(out[0].reason == TargetReason::kOffered);
  LONGS_EQUAL(1, out.size());
  // Another packet of the caller doesn't show that the target holds the flow.
  RelayCallerPacket(MakeCallerPacket(3, false, 100));
  LONGS_EQUAL(1, out.size());
  ReceiveTargetPacket(MakeTargetPacket(3, 50));
  LONGS_EQUAL(2, out.size());
  CHECK(out[0].kind == Kind::kReplyToBalancer);
  CHECK(out[0].to == kBalancer);
  CHECK(out[0].ownership == FlowOwnership::kHeld);
}

TEST(TargetFlows, PacketOfAFlowOpenedAtAnotherTargetIsReturned) {
  RelayCallerPacket(MakeCallerPacket(1, true));
  FlowPacket answer = MakeTargetPacket(1);
  answer.is_opening = true;
  answer.sequence = 5'000'000;
  ReceiveTargetPacket(answer);
  FlowPacket packet = MakeCallerPacket(1, false, 100);
  packet.acknowledgement = 70'000;
  CHECK(RelayCallerPacket(packet) == Kind::kReturnToBalancer);
  CHECK(out[0].reason == TargetReason::kNotHere);
  LONGS_EQUAL(0, target.flows.size());
  LONGS_EQUAL(0, target.running);
}

TEST(TargetFlows, FlowThatTheCallerOpenedAtThisTargetIsKept) {
  RelayCallerPacket(MakeCallerPacket(1, true));
  FlowPacket answer = MakeTargetPacket(1);
  answer.is_opening = true;
  answer.sequence = 0xFFFFFFFF;  // The next sequence number is zero.
  ReceiveTargetPacket(answer);
  FlowPacket packet = MakeCallerPacket(1, false, 100);
  packet.acknowledgement = 0;
  CHECK(RelayCallerPacket(packet) == Kind::kDeliver);
  // Later numbers are compared with what the target has sent since.
  answer.is_opening = false;
  answer.sequence = 900'000;
  ReceiveTargetPacket(answer);
  packet.acknowledgement = 900'000;
  CHECK(RelayCallerPacket(packet) == Kind::kDeliver);
}

TEST(TargetFlows, AnotherBalancerIsNotifiedOnceThatTheFlowIsHeld) {
  OpenFlowWithRequest(1);
  RelayCallerPacket(MakeCallerPacket(1, false, 10),
                    RelayHeader{.origin = kOtherBalancer});
  LONGS_EQUAL(2, out.size());
  CHECK(out[1].kind == Kind::kReplyToBalancer);
  CHECK(out[1].to == kOtherBalancer);
  RelayCallerPacket(MakeCallerPacket(1, false, 10),
                    RelayHeader{.origin = kOtherBalancer});
  LONGS_EQUAL(1, out.size());
}

TEST(TargetFlows, RestartOfTheTargetResetsItsFlowsAtOnce) {
  OpenFlowWithRequest(1);
  SetTargetState(TargetState::kReady, 600, kNow + 300ms);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kReset);
  CHECK(out[0].reason == TargetReason::kTargetRestarted);
  LONGS_EQUAL(900, out[0].acknowledgement);
  LONGS_EQUAL(0, target.running);
}

// A target serves its flows for up to two seconds after announcing its
// shutdown.
TEST(TargetFlows,
     OpenFlowsAreResetThreeSecondsAfterTheLastPacketOfADepartedTarget) {
  OpenFlowWithRequest(1);
  SetTargetState(TargetState::kGone, 500, kNow);
  RunTargetFlowsTick(kNow + 1900ms);
  LONGS_EQUAL(0, out.size());
  ReceiveTargetPacket(MakeTargetPacket(1, 100), kNow + 2s);
  RunTargetFlowsTick(kNow + 4900ms);
  LONGS_EQUAL(0, out.size());
  RunTargetFlowsTick(kNow + 5s);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kReset);
  CHECK(out[0].reason == TargetReason::kTargetGone);
}

TEST(TargetFlows, OpenFlowsOfAnEndedTargetAreReset) {
  OpenFlowWithRequest(1);
  SetTargetState(TargetState::kGone, 500, kNow);
  out.clear();
  ResetAllTargetFlows(target, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kReset);
}

TEST(TargetFlows, StatusOfAnEarlierStartResetsNoFlows) {
  OpenFlowWithRequest(1);
  SetTargetState(TargetState::kReady, 400, kNow);
  LONGS_EQUAL(0, out.size());
}

TEST(TargetFlows, ClosedFlowIsKeptForRetransmittedPackets) {
  OpenFlowWithRequest(1);
  FlowPacket end = MakeCallerPacket(1, false);
  end.is_finish = true;
  RelayCallerPacket(end);
  FlowPacket answer = MakeTargetPacket(1);
  answer.is_finish = true;
  ReceiveTargetPacket(answer);
  ExpireFlowsAndRequests(target, kNow + 3s);
  LONGS_EQUAL(1, target.flows.size());
  ExpireFlowsAndRequests(target, kNow + 5s);
  LONGS_EQUAL(0, target.flows.size());
}

TEST(TargetFlows, RequestOfACallerThatGaveUpNoLongerCountsAsRunning) {
  OpenFlowWithRequest(1);
  LONGS_EQUAL(1, target.running);
  ExpireFlowsAndRequests(target, kNow + 1600ms);
  LONGS_EQUAL(0, target.running);
  LONGS_EQUAL(1, target.flows.size());
}

// Load pattern: uploads of 17 packets through several balancers, of which a
// repeated packet often arrives after the answer. Each such packet occupied a
// slot for 1.5 s and counted as a failed request, so that idle targets refused
// openings as full, and a third of the uploads was reset when the third target
// of the service was down.
TEST(TargetFlows, RepeatedPacketAfterTheAnswerIsNoNewRequest) {
  RelayCallerPacket(MakeCallerPacket(1, true));
  ReceiveTargetPacket(MakeTargetPacket(1));
  FlowPacket data = MakeCallerPacket(1, false, 1200);
  for (data.sequence = 1; data.sequence < 1 + 17 * 1200;
       data.sequence += 1200) {
    RelayCallerPacket(data);
  }
  LONGS_EQUAL(1, target.running);
  FlowPacket answer = MakeTargetPacket(1, 300);
  answer.acknowledgement = data.sequence;
  ReceiveTargetPacket(answer);
  LONGS_EQUAL(0, target.running);
  FlowPacket repeated = data;
  repeated.sequence = 1 + 8 * 1200;
  CHECK(RelayCallerPacket(repeated) == Kind::kDeliver);
  LONGS_EQUAL(0, target.running);
  ExpireFlowsAndRequests(target, kNow + 2s);
  CHECK(target.health.failure == 0);
  // The next request of the flow counts.
  RelayCallerPacket(data);
  LONGS_EQUAL(1, target.running);
}

TEST(TargetFlows, SequenceNumbersWrapAround) {
  RelayCallerPacket(MakeCallerPacket(1, true));
  FlowPacket answer = MakeTargetPacket(1);
  answer.acknowledgement = 0xFFFFFF00;
  ReceiveTargetPacket(answer);
  FlowPacket data = MakeCallerPacket(1, false, 1200);
  data.sequence = 0xFFFFFF00;
  RelayCallerPacket(data);
  LONGS_EQUAL(1, target.running);
  answer.acknowledgement = data.sequence + 1200;
  answer.data_bytes = 300;
  ReceiveTargetPacket(answer);
  RelayCallerPacket(data);
  LONGS_EQUAL(0, target.running);
}

TEST(TargetFlows, FlowThatBothSidesEndedOccupiesNoSlot) {
  RelayCallerPacket(MakeCallerPacket(1, true));
  ReceiveTargetPacket(MakeTargetPacket(1));
  FlowPacket last = MakeCallerPacket(1, false, 100);
  last.is_finish = true;
  RelayCallerPacket(last);
  LONGS_EQUAL(1, target.running);
  FlowPacket end = MakeTargetPacket(1);
  end.is_finish = true;
  ReceiveTargetPacket(end);
  LONGS_EQUAL(0, target.running);
  RelayCallerPacket(last);
  LONGS_EQUAL(0, target.running);
}

TEST(TargetFlows, PacketsOfUnknownFlowsAreDeliveredWhenTheFlowTableIsFull) {
  target.options.max_flows = 1;
  OpenFlowWithRequest(1);
  RelayCallerPacket(MakeCallerPacket(2, true));
  CHECK(RelayCallerPacket(MakeCallerPacket(3, false, 10)) == Kind::kDeliver);
}

TEST(TargetFlows, ReportedLoadIsAveragedOverSeconds) {
  OpenFlowWithRequest(1);
  RunTargetFlowsTick(kNow + 1500ms);
  const TargetLoad load = ComputeTargetLoad(target, kNow);
  LONGS_EQUAL(1, load.running);
  CHECK(load.mean_in_flight_x16 >= 9 && load.mean_in_flight_x16 <= 11);
}

// Load pattern: grey failure. The target resets each request while its
// heartbeats are good. The target looks idle, so that balancers sent more and
// more flows to this target.
TEST(TargetFlows, TargetThatResetsRequestsGetsProbesOnly) {
  OpenFlowsAndResetTheirRequests(10);
  CHECK(ComputeTargetLoad(target, kNow).failing);
  CHECK(RelayCallerPacket(MakeCallerPacket(100, true)) ==
        Kind::kReturnToBalancer);
  CHECK(out[0].reason == TargetReason::kFailing);
  // A probe at intervals shows whether the target has recovered.
  CHECK(RelayCallerPacket(MakeCallerPacket(101, true), {}, kNow + 3s) ==
        Kind::kDeliver);
  CHECK(RelayCallerPacket(MakeCallerPacket(102, true), {}, kNow + 3s) ==
        Kind::kReturnToBalancer);
  // The target gets openings that enough other agents have refused.
  CHECK(RelayCallerPacket(MakeCallerPacket(103, true),
                          {.returned_by = {1, 2}}) == Kind::kDeliver);
}

TEST(TargetFlows, TargetThatAnswersAgainGetsNewFlowsAgain) {
  OpenFlowsAndResetTheirRequests(10);
  for (std::uint16_t port = 200; port < 204; ++port) {
    RelayCallerPacket(MakeCallerPacket(port, true), {.returned_by = {1, 2}});
    ReceiveTargetPacket(MakeTargetPacket(port));
    RelayCallerPacket(MakeCallerPacket(port, false, 100));
    ReceiveTargetPacket(MakeTargetPacket(port, 50));
  }
  CHECK_FALSE(ComputeTargetLoad(target, kNow).failing);
  CHECK(RelayCallerPacket(MakeCallerPacket(300, true)) == Kind::kDeliver);
}

TEST(TargetFlows, TargetThatNeverAnswersIsReportedAsFailing) {
  for (std::uint16_t port = 1; port <= 10; ++port) {
    OpenFlowWithRequest(port);
  }
  ExpireFlowsAndRequests(target, kNow + 1600ms);
  CHECK(ComputeTargetLoad(target, kNow).failing);
}

TEST(TargetFlows, RequestsGivenUpAfterTheStallTimeoutCountAsFailures) {
  for (std::uint16_t port = 1; port <= 10; ++port) {
    OpenFlowWithRequest(port);
    FlowPacket reset = MakeCallerPacket(port, false);
    reset.is_reset = true;
    RelayCallerPacket(reset, {}, kNow + (port <= 5 ? 10ms : 1200ms));
    CHECK_FALSE(port <= 5 && target.health.failure > 0);
  }
  CHECK(ComputeTargetLoad(target, kNow).failing);
}

TEST(TargetFlows, ResetsOfFlowsWithoutRequestsDoNotCountAsFailures) {
  for (std::uint16_t port = 1; port <= 20; ++port) {
    RelayCallerPacket(MakeCallerPacket(port, true));
    ReceiveTargetPacket(MakeTargetPacket(port));
    FlowPacket reset = MakeTargetPacket(port);
    reset.is_reset = true;
    if (port <= 10) {
      ReceiveTargetPacket(reset);
    }
  }
  ExpireFlowsAndRequests(target, kNow + 2s);
  DOUBLES_EQUAL(0, target.health.failure, 0);
}

// The opening went to two targets, because this one answered late, and the
// caller kept the other one's answer.
TEST(TargetFlows, RestartDoesNotResetAFlowThatTheCallerOpenedElsewhere) {
  RelayCallerPacket(MakeCallerPacket(1, true));
  FlowPacket accepting = MakeTargetPacket(1);
  accepting.is_opening = true;
  accepting.sequence = 5000;
  ReceiveTargetPacket(accepting);
  SetTargetState(TargetState::kReady, 900, kNow + 5s);
  LONGS_EQUAL(0, out.size());
  LONGS_EQUAL(0, target.flows.size());
}

TEST(TargetFlows, RestartClearsTheFailuresOfTheTarget) {
  OpenFlowsAndResetTheirRequests(10);
  SetTargetState(TargetState::kReady, 600, kNow);
  CHECK_FALSE(ComputeTargetLoad(target, kNow).failing);
}

// Guards against a fault that a soak found: a restarted target accepts a flow
// before the agent receives the target's first heartbeat. The agent attributed
// the flow to the target's previous start and reset the flow.
TEST(TargetFlows, FlowAcceptedBeforeTheFirstHeartbeatOfARestartIsKept) {
  OpenFlowWithRequest(1);
  const auto later = kNow + 1s;
  RelayCallerPacket(MakeCallerPacket(2, true), {}, later);
  ReceiveTargetPacket(MakeTargetPacket(2), later);
  SetTargetState(TargetState::kReady, 600, later + 50ms);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kReset);
  LONGS_EQUAL(1, out[0].flow.caller.port);
  // If the target doesn't hold the flow, it returns the flow's next packet.
  CHECK(RelayCallerPacket(MakeCallerPacket(2, false, 100), {}, later + 60ms) ==
        Kind::kDeliver);
  FlowPacket returned = MakeCallerPacket(2, false, 100);
  returned.is_returned = true;
  returned.return_id = out[0].return_id;
  CHECK(ReceiveTargetPacket(returned, later + 61ms) == Kind::kReturnToBalancer);
  LONGS_EQUAL(0, target.flows.size());
}

TEST(TargetFlows, FlowThatTheRestartedTargetAnswersIsReportedAsHeld) {
  const auto later = kNow + 1s;
  RelayCallerPacket(MakeCallerPacket(2, true), {}, later);
  ReceiveTargetPacket(MakeTargetPacket(2), later);
  SetTargetState(TargetState::kReady, 600, later + 50ms);
  RelayCallerPacket(MakeCallerPacket(2, false, 100), {}, later + 60ms);
  ReceiveTargetPacket(MakeTargetPacket(2, 50), later + 80ms);
  QueryFlow(2);
  CHECK(out[0].ownership == FlowOwnership::kHeld);
}

// Guards against resets of open flows when heartbeats show that another start
// runs than the agent took for running: which of the two opened the flows isn't
// known.
TEST(TargetFlows, FlowsAreCheckedWithATargetThatWasReplaced) {
  OpenFlowWithRequest(1);
  OpenFlowWithRequest(2);
  ApplyReplacedTarget(target,
                      {.state = TargetState::kDraining,
                       .started_at_ms = 400,  // The clock has gone back.
                       .slots = 2},
                      kNow + 5s, kNow + 5s);
  target.knows_all_flows = false;
  QueryFlow(1);
  CHECK(out[0].ownership == FlowOwnership::kUnsure);
  // The target answers on a flow that it holds.
  CHECK(RelayCallerPacket(MakeCallerPacket(1, false, 100), {}, kNow + 6s) ==
        Kind::kDeliver);
  CHECK(ReceiveTargetPacket(MakeTargetPacket(1, 50), kNow + 6s) ==
        Kind::kReplyToBalancer);
  QueryFlow(1);
  CHECK(out[0].ownership == FlowOwnership::kHeld);
  // The target returns packets of a flow that it doesn't hold.
  CHECK(RelayCallerPacket(MakeCallerPacket(2, false, 100), {}, kNow + 6s) ==
        Kind::kDeliver);
  FlowPacket returned = MakeCallerPacket(2, false, 100);
  returned.is_returned = true;
  returned.return_id = out[0].return_id;
  CHECK(ReceiveTargetPacket(returned, kNow + 6s) == Kind::kReturnToBalancer);
  // A later restart ends the flows of this start only.
  SetTargetState(TargetState::kReady, 450, kNow + 9s);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kReset);
  LONGS_EQUAL(1, out[0].flow.caller.port);
}

// Guards against packets of an open flow that are led to other targets, since
// the agent of its own one replies that this one may hold it: the flow had
// opened between the new start's first heartbeat and the one that put it in
// force.
TEST(TargetFlows, FlowOfAReplacingStartIsReportedAsHeld) {
  OpenFlowWithRequest(1);
  const auto heard = kNow + 1s;
  RelayCallerPacket(MakeCallerPacket(2, true), {}, heard + 100ms);
  ReceiveTargetPacket(MakeTargetPacket(2), heard + 100ms);
  ApplyReplacedTarget(
      target, {.state = TargetState::kReady, .started_at_ms = 600, .slots = 2},
      heard, heard + 800ms);
  target.knows_all_flows = false;
  QueryFlow(2);
  CHECK(out[0].ownership == FlowOwnership::kHeld);
  QueryFlow(1);
  CHECK(out[0].ownership == FlowOwnership::kUnsure);
  // A later restart ends the flow, too.
  SetTargetState(TargetState::kReady, 700, heard + 9s);
  CHECK(target.flows.empty());
}

// Guards against resets of flows that were idle for longer than a constant and
// shorter than the configured idle timeout: the agent had forgotten the flow
// and replied that its target doesn't hold it.
TEST(TargetFlows, IdleFlowIsReportedAsHeldForTheLifetimeOfAFlow) {
  OpenFlowWithRequest(1);
  ReceiveTargetPacket(MakeTargetPacket(1, 50));
  ExpireFlowsAndRequests(target, kNow + 59s);
  QueryFlow(1);
  CHECK(out[0].ownership == FlowOwnership::kHeld);
  ExpireFlowsAndRequests(target, kNow + 61s);
  QueryFlow(1);
  CHECK(out[0].ownership == FlowOwnership::kNotHeld);
}

// Guards against an opening that runs at a target of another service, which got
// the address of a target that had crashed.
TEST(TargetFlows, OpeningIsReturnedWhenTheTargetHasBeenSilentTooLong) {
  OpenFlowWithRequest(1);
  target.silent_from = kNow + 1s;
  CHECK(RelayCallerPacket(MakeCallerPacket(2, true), {}, kNow + 999ms) ==
        Kind::kDeliver);
  for (const std::uint16_t port : {1, 3}) {
    CHECK(RelayCallerPacket(MakeCallerPacket(port, true),
                            {.is_last_candidate = true},
                            kNow + 1s) == Kind::kReturnToBalancer);
    CHECK(out[0].reason == TargetReason::kNotHeard);
    // The open flow isn't to be rejected elsewhere.
    LONGS_EQUAL(port == 1, out[0].header.may_be_accepted);
  }
  CHECK(RelayCallerPacket(MakeCallerPacket(1, false, 10), {}, kNow + 9s) ==
        Kind::kDeliver);
  RunTargetFlowsTick(kNow + 9s);
  CHECK(
      target.flows.contains(ExtractCallerFlowKey(MakeCallerPacket(1, false))));
}
