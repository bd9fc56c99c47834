// Openings of a port whose earlier flow is open at an agent's target.

#include "hawthornbank/target_flows.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

using Kind = TargetAction::Kind;

constexpr std::uint32_t kService = 77;
constexpr std::uint32_t kEarlier = 1000;  // Sequence numbers of openings.
constexpr std::uint32_t kOpen = 2000;
constexpr std::uint32_t kLater = 3000;
constexpr std::uint32_t kOpenAnswer = 900'000'000;  // Of the target's answers.
constexpr std::uint32_t kOtherAnswer = 2'000'000'000;
constexpr Endpoint kCaller{.address = 5, .port = 4000};
constexpr Endpoint kRoute{.address = 9, .port = 443};
constexpr Endpoint kBalancer{.address = 7, .port = 7000};
const TimePoint kNow{std::chrono::seconds{1000}};

}  // namespace

TEST_GROUP(ReopenedFlow) {
  TargetFlows target;
  std::vector<TargetAction> out;
  const std::vector<std::uint8_t> bytes = std::vector<std::uint8_t>(32);

  void setup() override {
    target.options.service = kService;
    target.options.self = {.address = 1, .port = 7100};
    target.status = {
        .state = TargetState::kReady, .started_at_ms = 5, .slots = 3};
    target.knows_all_flows = true;
    target.averaged_at = kNow;
    SendOpening(kOpen, kNow);
    Answer(kOpenAnswer, kNow);
    CHECK(SendData(kOpenAnswer + 1, kNow) == Kind::kDeliver);
  }

  auto Relay(const FlowPacket& packet, TimePoint now)->Kind {
    out.clear();
    OnRelayedPacket(target,
                    RelayHeader{.origin = kBalancer, .service = kService},
                    packet, bytes, now, out);
    return out.empty() ? Kind::kDrop : out[0].kind;
  }

  auto SendOpening(std::uint32_t sequence, TimePoint now)->Kind {
    return Relay(FlowPacket{.source = kCaller,
                            .destination = kRoute,
                            .is_opening = true,
                            .sequence = sequence},
                 now);
  }

  auto SendData(std::uint32_t acknowledgement, TimePoint now)->Kind {
    return Relay(FlowPacket{.source = kCaller,
                            .destination = kRoute,
                            .has_acknowledgement = true,
                            .sequence = 1,
                            .acknowledgement = acknowledgement,
                            .data_bytes = 100},
                 now);
  }

  auto Answer(std::uint32_t sequence, TimePoint now)->void {
    out.clear();
    OnTargetPacket(target,
                   FlowPacket{.source = kRoute,
                              .destination = kCaller,
                              .is_opening = true,
                              .has_acknowledgement = true,
                              .sequence = sequence},
                   now, out);
  }

  auto Query(std::uint32_t acknowledgement)->FlowOwnership {
    out.clear();
    OnFlowQuery(target,
                FlowQuery{.flow = {.caller = kCaller, .address = kRoute},
                          .origin = kBalancer,
                          .acknowledgement = acknowledgement,
                          .has_acknowledgement = true},
                kNow, out);
    return out.at(0).ownership;
  }

  auto ExpectOpenFlowGoesOn(TimePoint now)->void {
    CHECK(SendData(kOpenAnswer + 1, now) == Kind::kDeliver);
    CHECK(Query(kOpenAnswer + 1) == FlowOwnership::kHeld);
  }
};

TEST(ReopenedFlow, LateOpeningThatTheTargetAnswersDoesNotEndTheOpenFlow) {
  CHECK(SendOpening(kEarlier, kNow + 1s) == Kind::kDeliver);
  Answer(kOtherAnswer, kNow + 1s);
  CHECK(out.back().kind == Kind::kToCaller);
  ExpectOpenFlowGoesOn(kNow + 1s);
  ExpireFlowsAndRequests(target, kNow + 10s);
  ExpectOpenFlowGoesOn(kNow + 10s);
}

TEST(ReopenedFlow, LateOpeningWithoutAnswerDoesNotEndTheOpenFlow) {
  SendOpening(kEarlier, kNow + 1s);
  OnTargetTick(target, kNow + 2s, out);
  ExpectOpenFlowGoesOn(kNow + 2s);
}

TEST(ReopenedFlow, LateOpeningThatTheTargetReturnsDoesNotEndTheOpenFlow) {
  SendOpening(kEarlier, kNow + 1s);
  const std::uint32_t return_id = out.at(0).return_id;
  out.clear();
  OnTargetPacket(target,
                 FlowPacket{.source = kCaller,
                            .destination = kRoute,
                            .is_opening = true,
                            .is_returned = true,
                            .sequence = kEarlier,
                            .return_id = return_id},
                 kNow + 1s, out);
  CHECK(out.at(0).kind == Kind::kReturnToBalancer);
  ExpectOpenFlowGoesOn(kNow + 1s);
}

TEST(ReopenedFlow, LateOpeningThatTheAgentReturnsDoesNotEndTheOpenFlow) {
  target.status.state = TargetState::kDraining;
  CHECK(SendOpening(kEarlier, kNow + 1s) == Kind::kReturnToBalancer);
  ExpectOpenFlowGoesOn(kNow + 1s);
}

TEST(ReopenedFlow, CallerOpensThePortsLaterFlowAtTheSameTarget) {
  SendOpening(kLater, kNow + 1s);
  Answer(kOtherAnswer, kNow + 1s);
  CHECK(SendData(kOtherAnswer + 1, kNow + 1s) == Kind::kDeliver);
  CHECK(Query(kOtherAnswer + 1) == FlowOwnership::kHeld);
  CHECK(Query(kOpenAnswer + 1) == FlowOwnership::kNotHeld);
}

TEST(ReopenedFlow, SlotsAreCountedOnceWhenThePortOpensAnotherFlow) {
  SendOpening(kLater, kNow + 1s);
  Answer(kOtherAnswer, kNow + 1s);
  SendData(kOtherAnswer + 1, kNow + 1s);
  LONGS_EQUAL(1, target.running);
  LONGS_EQUAL(0, target.expected_requests);
}

// The caller has opened the port's later flow at another target.
TEST(ReopenedFlow, AgentDeniesALaterFlowOfThePort) {
  CHECK(Query(kOtherAnswer + 1) == FlowOwnership::kNotHeld);
}

TEST(ReopenedFlow, LatePacketOfAFlowThatHasSentMuchIsDelivered) {
  out.clear();
  OnTargetPacket(target,
                 FlowPacket{.source = kRoute,
                            .destination = kCaller,
                            .has_acknowledgement = true,
                            .sequence = kOpenAnswer + 10'000'000,
                            .data_bytes = 1200},
                 kNow, out);
  ExpectOpenFlowGoesOn(kNow);
}
