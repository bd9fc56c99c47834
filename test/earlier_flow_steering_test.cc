// Late packets of an earlier flow of a port at a balancer that remembers the
// port's next flow. Each test guards against the fault of
// docs/incidents/open-flow-forgotten-by-a-late-packet.md on the balancer's
// side: it forgot the open flow, held back its packets or reset its caller.

#include "steering_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace hawthornbank::test;
using namespace std::chrono_literals;

namespace {

using Kind = SteeringAction::Kind;

constexpr std::uint32_t kAgents = 3;
constexpr std::uint32_t kEarlier = 0x10000000;  // Of the caller's openings.
constexpr std::uint32_t kOpen = 0x90000000;
constexpr Endpoint kCaller{.address = 5, .port = 4000};
const FlowKey kFlow{.caller = kCaller, .address = kAddress};
const TimePoint kNow{std::chrono::seconds{1000}};

auto MakePacket(std::uint32_t sequence) -> FlowPacket {
  return FlowPacket{.source = kCaller,
                    .destination = kAddress,
                    .has_acknowledgement = true,
                    .sequence = sequence,
                    .acknowledgement = sequence / 2,
                    .data_bytes = 100};
}

}  // namespace

TEST_GROUP(EarlierFlowSteering) {
  Steering steering;
  std::vector<SteeringAction> out;
  Endpoint agent;  // Has the open flow.
  const std::vector<std::uint8_t> bytes = std::vector<std::uint8_t>(32);

  void setup() override {
    SetUpSteering(steering, kAgents, kNow);
    steering.started = kNow - 60s;
    out.clear();
    OnCallerPacket(steering,
                   FlowPacket{.source = kCaller,
                              .destination = kAddress,
                              .is_opening = true,
                              .sequence = kOpen},
                   bytes, kNow, out);
    agent = out.at(0).to;
  }

  auto Send(std::uint32_t sequence)->void {
    out.clear();
    OnCallerPacket(steering, MakePacket(sequence), bytes, kNow, out);
  }

  auto Reply(Endpoint from, FlowOwnership ownership)->void {
    OnFlowReply(steering,
                FlowReply{.flow = kFlow, .agent = from, .ownership = ownership},
                kNow, out);
  }

  // Each agent replies that it doesn't hold the flow that is searched for.
  auto DenyAll()->void {
    for (std::uint32_t n = 1; n <= kAgents; ++n) {
      Reply(MakeAgentEndpoint(n), FlowOwnership::kNotHeld);
    }
  }

  auto ExpectPacketGoesToTheAgent()->void {
    Send(kOpen + 1);
    LONGS_EQUAL(1, out.size());
    CHECK(out[0].kind == Kind::kRelay);
    CHECK(out[0].to == agent);
    CHECK(out[0].reason == SteeringReason::kKnownFlow);
  }
};

TEST(EarlierFlowSteering, LatePacketLeavesTheOpenFlow) {
  Reply(agent, FlowOwnership::kHeld);
  Send(kEarlier + 1);
  CHECK(out.at(0).kind == Kind::kQuery);
  ExpectPacketGoesToTheAgent();
}

TEST(EarlierFlowSteering, SearchForItSendsNoReset) {
  Reply(agent, FlowOwnership::kHeld);
  Send(kEarlier + 1);
  DenyAll();
  LONGS_EQUAL(0, steering.searches.flows.size());
  for (const auto& it : out) {
    CHECK(it.kind != Kind::kReset);
  }
  ExpectPacketGoesToTheAgent();
}

TEST(EarlierFlowSteering, LatePacketDoesNotConfirmThePendingOpening) {
  Send(kEarlier + 1);
  LONGS_EQUAL(1, steering.openings.size());
}

TEST(EarlierFlowSteering, FirstPacketConfirmsThePendingOpening) {
  Send(kOpen + 1);
  LONGS_EQUAL(0, steering.openings.size());
}

TEST(EarlierFlowSteering, ReturnedPacketLeavesTheOpenFlow) {
  Reply(agent, FlowOwnership::kHeld);
  out.clear();
  OnPacketReturnedByAgent(steering, agent,
                          {.service = kService,
                           .is_returned = true,
                           .returned_by = {agent.address}},
                          MakePacket(kEarlier + 1), bytes, kNow, out);
  ExpectPacketGoesToTheAgent();
}

// Guards against a second search for the port, which would lose the waiting
// packets of the first one.
TEST(EarlierFlowSteering, PacketWaitsForTheSearchIfItsAgentMayBeDown) {
  Send(kEarlier + 1);
  LONGS_EQUAL(1, steering.searches.packets);
  steering.flows.at(kFlow).may_be_open = true;
  Send(kOpen + 1);
  LONGS_EQUAL(0, out.size());
  LONGS_EQUAL(2, steering.searches.packets);
  LONGS_EQUAL(2, steering.searches.flows.at(kFlow).packets.size());
}

// Another balancer may have opened a later flow of the port.
TEST(EarlierFlowSteering, OtherFlowThatAnAgentHoldsIsRemembered) {
  Reply(agent, FlowOwnership::kHeld);
  Send(kEarlier + 1);
  const Endpoint holder =
      MakeAgentEndpoint(agent == MakeAgentEndpoint(1) ? 2 : 1);
  Reply(holder, FlowOwnership::kHeld);
  Send(kEarlier + 101);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].to == holder);
  CHECK(out[0].reason == SteeringReason::kKnownFlow);
}
