#include "hawthornbank/flow_search.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "hawthornbank/steering.h"

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

using Kind = SteeringAction::Kind;

constexpr std::uint32_t kService = 77;
const Endpoint kAddress{.address = 0xC6120001, .port = 443};
const TimePoint kStart{std::chrono::seconds{1000}};
const TimePoint kNow = kStart + 10s;

auto Agent(std::uint32_t n) -> Endpoint {
  return Endpoint{.address = 0x0A010000 + n, .port = 7000};
}

auto Packet(std::uint16_t port) -> FlowPacket {
  return FlowPacket{.source = {.address = 0x64400007, .port = port},
                    .destination = kAddress,
                    .acknowledges = true,
                    .acknowledgement = 900,
                    .length = 1200};
}

}  // namespace

TEST_GROUP(FlowSearch) {
  Steering steering{.started = kStart};
  std::vector<SteeringAction> out;

  void setup() override {
    steering.fleet.self = {
        .control = {.address = 1, .port = 7000}, .zone = "a", .incarnation = 1};
    steering.routes.version = 3;
    steering.routes.routes[kAddress] =
        Route{.name = "r", .shares = {{.service = kService}}};
    for (std::uint32_t n = 1; n <= 12; ++n) {
      MergeRecord(
          steering.fleet,
          HostRecord{
              .control = Agent(n),
              .role = HostRole::kAgent,
              .service = kService,
              .zone = "a",
              .incarnation = 1,
              .revision = 1,
              .target = {.state = TargetState::kReady, .born = 5, .slots = 3}},
          0s, kNow);
    }
  }

  auto Send(std::uint16_t port, std::uint8_t content, TimePoint now)->void {
    out.clear();
    OnCallerPacket(steering, Packet(port),
                   std::vector<std::uint8_t>(1232, content), now, out);
  }

  auto Note(std::uint16_t port, Endpoint agent, FlowHolding holding,
            TimePoint now)
      ->void {
    out.clear();
    OnFlowNote(steering,
               FlowNote{.flow = FlowFromCaller(Packet(port)),
                        .agent = agent,
                        .holding = holding},
               now, out);
  }

  // Lets all agents answer and returns the last one's action.
  auto AnswerAll(std::uint16_t port, FlowHolding holding)->void {
    while (out.size() == 1 && out[0].kind == Kind::kQuery) {
      const auto receivers = out[0].receivers;
      for (const auto it : receivers) {
        Note(port, it, holding, kNow);
      }
    }
  }
};

// Load pattern: a balancer joins, and an upload's sixteen packets in flight
// reach one that doesn't know the flow.
TEST(FlowSearch, AnUploadsPacketsWaitForOneSearchAndCrossTheLinkOnce) {
  Send(1, 0, kNow);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kQuery);
  const auto query = out[0];
  for (std::uint8_t n = 1; n < 16; ++n) {
    Send(1, n, kNow);
    LONGS_EQUAL(0, out.size());
  }
  Note(1, query.receivers[2], FlowHolding::kHeld, kNow + 1ms);
  LONGS_EQUAL(16, out.size());
  for (std::uint8_t n = 0; n < 16; ++n) {
    CHECK(out[n].kind == Kind::kRelay);
    CHECK(out[n].to == query.receivers[2]);
    LONGS_EQUAL(n, out[n].kept.at(0));
  }
  LONGS_EQUAL(0, steering.searches.packets);
  LONGS_EQUAL(0, steering.searches.flows.size());
}

TEST(FlowSearch, AQueryBearsTheAcknowledgementThatTellsTheChosenTarget) {
  Send(1, 0, kNow);
  CHECK(out[0].query.acknowledges);
  LONGS_EQUAL(900, out[0].query.acknowledgement);
}

TEST(FlowSearch, AnAgentThatIsSilentDoesNotHoldUpTheOthers) {
  Send(1, 0, kNow);
  const auto first = out[0].receivers;
  for (std::size_t n = 1; n < first.size(); ++n) {
    Note(1, first[n], FlowHolding::kNotHeld, kNow);
    LONGS_EQUAL(0, out.size());
  }
  OnSteeringTick(steering, kNow + kAnswerTime, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kQuery);
  CHECK(std::find(out[0].receivers.begin(), out[0].receivers.end(), first[0]) ==
        out[0].receivers.end());
  // Its late answer still counts.
  Note(1, first[0], FlowHolding::kHeld, kNow + 70ms);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].to == first[0]);
}

TEST(FlowSearch, ALateRefusalChangesNothing) {
  Send(1, 0, kNow);
  const auto first = out[0].receivers;
  out.clear();
  OnSteeringTick(steering, kNow + kAnswerTime, out);
  Note(1, first[0], FlowHolding::kNotHeld, kNow + 70ms);
  LONGS_EQUAL(0, out.size());
  LONGS_EQUAL(1, steering.searches.flows.size());
}

// Agents that have restarted can't know their targets' flows. Targets return
// what they don't hold, so they are tried one after the other.
TEST(FlowSearch, TargetsOfUnsureAgentsAreTriedOneAfterTheOther) {
  Send(1, 0, kNow);
  const auto first = out[0].receivers[0];
  const auto second = out[0].receivers[1];
  AnswerAll(1, FlowHolding::kUnsure);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kRelay);
  CHECK(out[0].reason == SteeringReason::kUnsureAgent);
  CHECK(out[0].to == first);
  Send(1, 1, kNow);
  LONGS_EQUAL(0, out.size());
  RelayHeader header{.service = kService, .sent_back = true};
  header.asked.push_back(first.address);
  const std::vector<std::uint8_t> bytes(1232);
  OnSentBack(steering, first, header, Packet(1), bytes, kNow, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].to == second);
  // The first packet is there; the others follow when the target answers.
  Note(1, second, FlowHolding::kHeld, kNow + 1ms);
  LONGS_EQUAL(1, out.size());
  LONGS_EQUAL(1, out[0].kept.at(0));
}

TEST(FlowSearch, AnOfferThatIsNotReturnedIsTakenForAccepted) {
  Send(1, 0, kNow);
  AnswerAll(1, FlowHolding::kUnsure);
  const auto offered = out[0].to;
  Send(1, 1, kNow);
  OnSteeringTick(steering, kNow + kAnswerTime, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].to == offered);
  LONGS_EQUAL(1, out[0].kept.at(0));
  CHECK(out[0].header.wants_note);
  // It isn't certain: once the agent is silent the flow is looked for again.
  Send(1, 2, kNow + 61ms);
  CHECK(out[0].kind == Kind::kRelay);
  Send(1, 3, kNow + 1h);
  CHECK(out[0].kind == Kind::kQuery);
}

TEST(FlowSearch, WaitingPacketsAreBounded) {
  steering.options.search.max_packets = 4;
  steering.options.search.max_all_packets = 6;
  for (std::uint8_t n = 0; n < 5; ++n) {
    Send(1, n, kNow);
  }
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].reason == SteeringReason::kSearchLimit);
  Send(2, 0, kNow);
  Send(2, 1, kNow);
  LONGS_EQUAL(0, out.size());
  Send(3, 0, kNow);
  CHECK(out[0].reason == SteeringReason::kSearchLimit);
  LONGS_EQUAL(6, steering.searches.packets);
}

TEST(FlowSearch, APacketThatItsAgentSendsBackIsLookedForElsewhere) {
  const FlowKey flow = FlowFromCaller(Packet(1));
  Note(1, Agent(3), FlowHolding::kHeld, kNow);
  RelayHeader header{.service = kService, .sent_back = true};
  header.asked.push_back(Agent(3).address);
  const std::vector<std::uint8_t> bytes(1232);
  OnSentBack(steering, Agent(3), header, Packet(1), bytes, kNow, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kQuery);
  const auto& asked = out[0].receivers;
  CHECK(std::find(asked.begin(), asked.end(), Agent(3)) == asked.end());
  CHECK_FALSE(steering.flows.contains(flow));
}

// Two targets accepted copies of an opening. The caller takes the first answer.
TEST(FlowSearch, ASecondTargetsNoteDoesNotMoveAFlow) {
  Note(1, Agent(3), FlowHolding::kHeld, kNow);
  Note(1, Agent(4), FlowHolding::kHeld, kNow);
  Send(1, 0, kNow);
  CHECK(out[0].to == Agent(3));
  // Unless the caller has chosen the other one.
  out.clear();
  RelayHeader header{.service = kService, .sent_back = true};
  header.asked.push_back(Agent(3).address);
  const std::vector<std::uint8_t> bytes(1232);
  OnSentBack(steering, Agent(3), header, Packet(1), bytes, kNow, out);
  Note(1, Agent(4), FlowHolding::kHeld, kNow);
  Send(1, 1, kNow);
  CHECK(out[0].to == Agent(4));
}
