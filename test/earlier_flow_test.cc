// Late messages of an earlier flow of a port, while the port's next flow is
// open at an agent's target. Each test guards against the fault of
// docs/incidents/open-flow-forgotten-by-a-late-packet.md: the agent forgot the
// open flow, denied it from then on, and balancers reset the caller.

#include "hawthornbank/target_flows.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

using Kind = TargetAction::Kind;

constexpr std::uint32_t kService = 77;
constexpr std::uint32_t kEarlier = 0x10000000;  // Of the caller's openings.
constexpr std::uint32_t kOpen = 0x90000000;
constexpr std::uint32_t kEarlierAnswer = 0x20000000;  // Of the target.
constexpr std::uint32_t kOpenAnswer = 0xA0000000;
constexpr std::uint16_t kRequestBytes = 100;
constexpr Endpoint kCaller{.address = 5, .port = 4000};
constexpr Endpoint kRoute{.address = 9, .port = 443};
constexpr Endpoint kBalancer{.address = 7, .port = 7000};
const TimePoint kNow{std::chrono::seconds{1000}};

// A packet that a caller sends after the first request of a flow.
auto MakeCallerPacket(std::uint32_t opening, std::uint32_t answer)
    -> FlowPacket {
  return FlowPacket{.source = kCaller,
                    .destination = kRoute,
                    .has_acknowledgement = true,
                    .sequence = opening + 1 + kRequestBytes,
                    .acknowledgement = answer + 1};
}

auto MakeRequest(std::uint32_t opening, std::uint32_t answer) -> FlowPacket {
  FlowPacket packet = MakeCallerPacket(opening, answer);
  packet.data_bytes = kRequestBytes;
  return packet;
}

// A caller's reset has no acknowledgement.
auto MakeReset(std::uint32_t opening) -> FlowPacket {
  FlowPacket packet = MakeCallerPacket(opening, 0);
  packet.has_acknowledgement = false;
  packet.acknowledgement = 0;
  packet.is_reset = true;
  return packet;
}

auto MakeTargetPacket(std::uint32_t opening, std::uint32_t answer)
    -> FlowPacket {
  return FlowPacket{.source = kRoute,
                    .destination = kCaller,
                    .has_acknowledgement = true,
                    .sequence = answer + 1,
                    .acknowledgement = opening + 1 + kRequestBytes};
}

}  // namespace

TEST_GROUP(EarlierFlow) {
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
  }

  auto Relay(const FlowPacket& packet)->Kind {
    out.clear();
    OnRelayedPacket(target,
                    RelayHeader{.origin = kBalancer, .service = kService},
                    packet, bytes, kNow, out);
    return out.empty() ? Kind::kDrop : out[0].kind;
  }

  auto SendOpening(std::uint32_t sequence)->Kind {
    return Relay(FlowPacket{.source = kCaller,
                            .destination = kRoute,
                            .is_opening = true,
                            .sequence = sequence});
  }

  auto ReceiveFromTarget(const FlowPacket& packet)->Kind {
    out.clear();
    OnTargetPacket(target, packet, kNow, out);
    return out.empty() ? Kind::kDrop : out[0].kind;
  }

  auto AcceptOpening(std::uint32_t opening, std::uint32_t answer)->void {
    FlowPacket packet = MakeTargetPacket(opening, answer);
    packet.is_opening = true;
    packet.sequence = answer;
    packet.acknowledgement = opening + 1;
    ReceiveFromTarget(packet);
  }

  auto OpenFlow()->void {
    SendOpening(kOpen);
    AcceptOpening(kOpen, kOpenAnswer);
    FlowPacket request = MakeRequest(kOpen, kOpenAnswer);
    request.sequence = kOpen + 1;
    CHECK(Relay(request) == Kind::kDeliver);
    CHECK(ReceiveFromTarget(MakeTargetPacket(kOpen, kOpenAnswer)) ==
          Kind::kToCaller);
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

  // The target returns the packet that was delivered to it last.
  auto ReturnDelivered(FlowPacket packet)->Kind {
    CHECK(out.at(0).kind == Kind::kDeliver);
    packet.is_returned = true;
    packet.return_id = out[0].return_id;
    return ReceiveFromTarget(packet);
  }

  // The open flow is known, also once a closed flow would be forgotten.
  auto ExpectOpenFlowIsKept()->void {
    ExpireFlowsAndRequests(target, kNow + 10s);
    CHECK(Query(kOpenAnswer + 1) == FlowOwnership::kHeld);
    CHECK(Relay(MakeRequest(kOpen, kOpenAnswer)) == Kind::kDeliver);
    CHECK(out[0].reason == TargetReason::kDelivered);
  }
};

// Guards against: a frozen balancer relays an old request when it wakes.
TEST(EarlierFlow, LateRequestLeavesTheOpenFlow) {
  OpenFlow();
  CHECK(Relay(MakeRequest(kEarlier, kEarlierAnswer)) ==
        Kind::kReturnToBalancer);
  CHECK(out[0].reason == TargetReason::kOtherFlow);
  ExpectOpenFlowIsKept();
}

// Guards against: a balancer asks about the flow of an old request.
TEST(EarlierFlow, QueryAboutItLeavesTheOpenFlow) {
  OpenFlow();
  CHECK(Query(kEarlierAnswer + 1) == FlowOwnership::kNotHeld);
  ExpectOpenFlowIsKept();
}

// Guards against: an old request arrives before the caller has acknowledged the
// target's acceptance of the next flow.
TEST(EarlierFlow, LateRequestLeavesAFlowThatHasJustBeenAccepted) {
  SendOpening(kOpen);
  AcceptOpening(kOpen, kOpenAnswer);
  CHECK(Query(kEarlierAnswer + 1) == FlowOwnership::kNotHeld);
  CHECK(Relay(MakeRequest(kEarlier, kEarlierAnswer)) ==
        Kind::kReturnToBalancer);
  ExpectOpenFlowIsKept();
}

// Guards against: an old reset counts as the end of the open flow, which is
// forgotten some seconds later.
TEST(EarlierFlow, LateResetLeavesTheOpenFlow) {
  OpenFlow();
  CHECK(Relay(MakeReset(kEarlier)) == Kind::kReturnToBalancer);
  ExpectOpenFlowIsKept();
}

// Guards against: an old reset whose number is close to the open flow's counts
// as that flow's end.
TEST(EarlierFlow, ResetThatCannotBeToldLeavesTheOpenFlow) {
  OpenFlow();
  CHECK(Relay(MakeReset(kOpen - 1'000'000)) == Kind::kDeliver);
  ExpectOpenFlowIsKept();
}

TEST(EarlierFlow, ResetOfTheOpenFlowEndsIt) {
  OpenFlow();
  CHECK(Relay(MakeReset(kOpen)) == Kind::kDeliver);
  ExpireFlowsAndRequests(target, kNow + 10s);
  LONGS_EQUAL(0, target.flows.size());
}

// Guards against: both ends' late ends of the earlier flow close the open one.
TEST(EarlierFlow, LateEndsLeaveTheOpenFlow) {
  OpenFlow();
  FlowPacket end = MakeCallerPacket(kEarlier, kEarlierAnswer);
  end.is_finish = true;
  CHECK(Relay(end) == Kind::kReturnToBalancer);
  end = MakeTargetPacket(kEarlier, kEarlierAnswer);
  end.is_finish = true;
  CHECK(ReceiveFromTarget(end) == Kind::kToCaller);
  ExpectOpenFlowIsKept();
}

// Guards against: the target answers data of its ended flow with a reset, which
// closes the open flow for the agent.
TEST(EarlierFlow, TargetsResetOfItLeavesTheOpenFlow) {
  OpenFlow();
  FlowPacket reset = MakeTargetPacket(kEarlier, kEarlierAnswer);
  reset.is_reset = true;
  CHECK(ReceiveFromTarget(reset) == Kind::kToCaller);
  ExpectOpenFlowIsKept();
}

// Guards against: the target returns a late packet that the agent couldn't
// tell from the open flow's, and the agent takes that flow for lost.
TEST(EarlierFlow, ReturnedPacketLeavesTheOpenFlow) {
  OpenFlow();
  Relay(MakeReset(kOpen - 1'000'000));
  CHECK(ReturnDelivered(MakeReset(kOpen - 1'000'000)) ==
        Kind::kReturnToBalancer);
  ExpectOpenFlowIsKept();
}

// Guards against: a packet that was offered to the target before the port's
// next flow opened is returned afterwards.
TEST(EarlierFlow, PacketReturnedAfterTheNextOpeningLeavesTheOpenFlow) {
  target.knows_all_flows = false;
  const FlowPacket late = MakeRequest(kEarlier, kEarlierAnswer);
  Relay(late);
  const std::vector<TargetAction> offered = out;
  OpenFlow();
  out = offered;
  CHECK(ReturnDelivered(late) == Kind::kReturnToBalancer);
  ExpectOpenFlowIsKept();
}

TEST(EarlierFlow, ReturnedPacketOfTheOpenFlowEndsIt) {
  OpenFlow();
  const FlowPacket request = MakeRequest(kOpen, kOpenAnswer);
  Relay(request);
  CHECK(ReturnDelivered(request) == Kind::kReturnToBalancer);
  LONGS_EQUAL(0, target.flows.size());
}

// Guards against: an agent that may not know all flows of its target denies one
// because the port has another.
TEST(EarlierFlow, OtherFlowIsOfferedIfTheAgentMayNotKnowIt) {
  OpenFlow();
  target.knows_all_flows = false;
  CHECK(Query(kEarlierAnswer + 1) == FlowOwnership::kUnsure);
  const FlowPacket request = MakeRequest(kEarlier, kEarlierAnswer);
  CHECK(Relay(request) == Kind::kDeliver);
  CHECK(out[0].reason == TargetReason::kOffered);
  CHECK(ReturnDelivered(request) == Kind::kReturnToBalancer);
  ExpectOpenFlowIsKept();
}

// Guards against: the target accepts an opening after a late copy of an earlier
// one has arrived, and the flow counts as that of the copy.
TEST(EarlierFlow, AcceptedOpeningIsNotTakenForALateCopy) {
  SendOpening(kOpen);
  SendOpening(kEarlier);
  AcceptOpening(kOpen, kOpenAnswer);
  ExpectOpenFlowIsKept();
}

// Guards against: a late packet of the target is taken for its answer to the
// next opening.
TEST(EarlierFlow, LatePacketOfTheTargetIsNoAnswerToTheNextOpening) {
  SendOpening(kOpen);
  CHECK(ReceiveFromTarget(MakeTargetPacket(kEarlier, kEarlierAnswer)) ==
        Kind::kToCaller);
  LONGS_EQUAL(1, out.size());  // No balancer is told that the flow is held.
  AcceptOpening(kOpen, kOpenAnswer);
  ExpectOpenFlowIsKept();
}
