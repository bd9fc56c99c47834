// Openings of a port that was used before, and copies of openings: a balancer
// and its agents together.

#include "hawthornbank/target_flows.h"
#include "steering_fixture.h"

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace hawthornbank::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kOtherService = kService + 1;
constexpr std::uint32_t kTargets = 3;
constexpr std::uint32_t kFirst = 1000;   // Sequence number of an opening.
constexpr std::uint32_t kSecond = 2000;  // Of the port's next opening.
const TimePoint kNow{std::chrono::seconds{1000}};

auto MakePacket(bool is_opening, std::uint32_t sequence) -> FlowPacket {
  return FlowPacket{
      .source = {.address = 5, .port = 4000},
      .destination = kAddress,
      .is_opening = is_opening,
      .has_acknowledgement = !is_opening,
      .sequence = sequence,
      .acknowledgement = is_opening ? 0U : 901U,
      .data_bytes = static_cast<std::uint16_t>(is_opening ? 0 : 100)};
}

// A target that took an opening.
struct Opened {
  Endpoint agent;
  std::uint32_t service = 0;
};

}  // namespace

TEST_GROUP(UsedPort) {
  Steering steering;
  std::map<std::uint32_t, TargetFlows> agents;  // By the address.
  std::vector<Opened> opened;
  std::vector<std::uint32_t> delivered;  // Agents whose targets got data.
  std::vector<SteeringAction> lost;      // Relayed to an address without agent.
  int resets = 0;
  int drops = 0;
  const std::string other_zone{"b"};
  const std::vector<std::uint8_t> bytes = std::vector<std::uint8_t>(32);

  void setup() override {
    SetUpSteering(steering, 0, kNow);
    steering.started = kNow - 60s;
    for (std::uint32_t n = 1; n <= kTargets; ++n) {
      StartAgent(n, kService, 1, kNow);
    }
  }

  auto StartAgent(std::uint32_t n, std::uint32_t service,
                  std::uint32_t incarnation, TimePoint now)
      ->void {
    StartAgentUnseen(n, service, now);
    MergeRecord(n, service, incarnation, TargetState::kReady, now);
  }

  // The balancer's record of the address stays as it is.
  auto StartAgentUnseen(std::uint32_t n, std::uint32_t service, TimePoint now)
      ->void {
    const Endpoint self = MakeAgentEndpoint(n);
    agents[self.address] =
        TargetFlows{.options = {.service = service, .self = self},
                    .status = {.state = TargetState::kReady,
                               .started_at_ms = 5,
                               .slots = 3},
                    .knows_all_flows = true,
                    .averaged_at = now};
  }

  auto MergeRecord(std::uint32_t n, std::uint32_t service,
                   std::uint32_t incarnation, TargetState state, TimePoint now)
      ->void {
    MergeHostRecord(
        steering.fleet,
        HostRecord{.control = MakeAgentEndpoint(n),
                   .role = HostRole::kAgent,
                   .service = service,
                   .zone = "a",
                   .incarnation = incarnation,
                   .revision = 1,
                   .target = {.state = state, .started_at_ms = 5, .slots = 3}},
        0s, now);
  }

  auto Send(bool is_opening, std::uint32_t sequence, TimePoint now)->void {
    for (auto& [control, host] : steering.fleet.hosts) {
      RecordHostContact(host, now);
    }
    std::vector<SteeringAction> out;
    const FlowPacket packet = MakePacket(is_opening, sequence);
    OnCallerPacket(steering, packet, bytes, now, out);
    Carry(out, packet, now);
  }

  auto Tick(const FlowPacket& packet, TimePoint now)->void {
    std::vector<SteeringAction> out;
    OnSteeringTick(steering, now, out);
    Carry(out, packet, now);
  }

  auto Carry(const std::vector<SteeringAction>& actions,
             const FlowPacket& packet, TimePoint now)
      ->void {
    for (const auto& it : actions) {
      resets += it.kind == SteeringAction::Kind::kReset ? 1 : 0;
      drops += it.kind == SteeringAction::Kind::kDrop ? 1 : 0;
      std::vector<TargetAction> out;
      if (it.kind == SteeringAction::Kind::kRelay) {
        const auto agent = agents.find(it.to.address);
        if (agent == agents.end()) {
          lost.push_back(it);
          continue;
        }
        OnRelayedPacket(agent->second, it.header, packet, bytes, now, out);
        CarryBack(it.to, out, packet, now);
      }
      for (const auto to : it.receivers) {
        const auto agent = agents.find(to.address);
        if (it.kind == SteeringAction::Kind::kQuery && agent != agents.end()) {
          out.clear();
          OnFlowQuery(agent->second, it.query, now, out);
          CarryBack(to, out, packet, now);
        }
      }
    }
  }

  auto CarryBack(Endpoint from, const std::vector<TargetAction>& actions,
                 const FlowPacket& packet, TimePoint now)
      ->void {
    std::vector<SteeringAction> out;
    std::vector<TargetAction> answers;
    for (const auto& it : actions) {
      out.clear();
      if (it.kind == TargetAction::Kind::kReturnToBalancer) {
        OnPacketReturnedByAgent(steering, from, it.header, packet, bytes, now,
                                out);
      } else if (it.kind == TargetAction::Kind::kReplyToBalancer) {
        Reply(from, it.ownership, packet, now);
      } else if (it.kind == TargetAction::Kind::kDeliver && packet.is_opening) {
        opened.push_back({from, agents.at(from.address).options.service});
        OnTargetPacket(agents.at(from.address),
                       FlowPacket{.source = kAddress,
                                  .destination = packet.source,
                                  .is_opening = true,
                                  .has_acknowledgement = true,
                                  .sequence = 900,
                                  .acknowledgement = packet.sequence + 1},
                       now, answers);
        CarryBack(from, answers, packet, now);
      } else if (it.kind == TargetAction::Kind::kDeliver) {
        delivered.push_back(from.address);
      }
      Carry(out, packet, now);
    }
  }

  auto Reply(Endpoint agent, FlowOwnership ownership, const FlowPacket& packet,
             TimePoint now)
      ->void {
    std::vector<SteeringAction> out;
    OnFlowReply(steering,
                FlowReply{.flow = ExtractCallerFlowKey(packet),
                          .agent = agent,
                          .ownership = ownership},
                now, out);
    Carry(out, packet, now);
  }

  // Opens a flow and returns the number of its agent.
  auto OpenFlow()->std::uint32_t {
    Send(true, kFirst, kNow);
    LONGS_EQUAL(1, opened.size());
    return opened[0].agent.address - MakeAgentEndpoint(0).address;
  }

  // A target of another service gets the address of the flow's target; then an
  // opening with the sequence number arrives.
  auto SendAfterAddressWasHandedOver(std::uint32_t sequence, Duration delay)
      ->void {
    const std::uint32_t n = OpenFlow();
    StartAgent(n, kOtherService, 2, kNow + delay);
    Send(true, sequence, kNow + delay);
    LONGS_EQUAL(2, opened.size());
    LONGS_EQUAL(kService, opened[1].service);
    LONGS_EQUAL(0, resets);
  }

  // Returns the address of the agent that the second opening was taken by.
  auto UsePortAgain(TimePoint now)->std::uint32_t {
    opened.clear();
    Send(true, kSecond, now);
    LONGS_EQUAL(1, opened.size());
    return opened[0].agent.address;
  }
};

TEST(UsedPort, CopyAfter200MsDoesNotOpenAtTheServiceThatGotTheAddress) {
  SendAfterAddressWasHandedOver(kFirst, 200ms);
}

TEST(UsedPort, CopyAfter600MsDoesNotOpenAtTheServiceThatGotTheAddress) {
  SendAfterAddressWasHandedOver(kFirst, 600ms);
}

TEST(UsedPort, PortUsedAfter5SDoesNotOpenAtTheServiceThatGotTheAddress) {
  SendAfterAddressWasHandedOver(kSecond, 5s);
}

TEST(UsedPort, PortUsedAfter20SDoesNotOpenAtTheServiceThatGotTheAddress) {
  SendAfterAddressWasHandedOver(kSecond, 20s);
}

// The balancer hasn't heard yet that another service has the address.
TEST(UsedPort, CopyReturnedByTheFlowsAgentIsOfferedToAnotherTarget) {
  StartAgentUnseen(OpenFlow(), kOtherService, kNow + 190ms);
  Send(true, kFirst, kNow + 200ms);
  LONGS_EQUAL(2, opened.size());
  LONGS_EQUAL(kService, opened[1].service);
}

TEST(UsedPort, CopyWhoseAgentIsSilentIsOfferedToAnotherTarget) {
  agents.erase(MakeAgentEndpoint(OpenFlow()).address);
  Send(true, kFirst, kNow + 200ms);
  LONGS_EQUAL(1, lost.size());
  Tick(MakePacket(true, kFirst), kNow + 245ms);
  LONGS_EQUAL(2, opened.size());
}

// The flow may be open at the agent that a copy doesn't reach.
TEST(UsedPort, CopyOfAnOpenFlowIsNotResetWhenNoTargetTakesIt) {
  agents.erase(MakeAgentEndpoint(OpenFlow()).address);
  for (auto& [address, agent] : agents) {
    agent.status.state = TargetState::kDraining;
  }
  Send(true, kFirst, kNow + 200ms);
  Tick(MakePacket(true, kFirst), kNow + 245ms);
  LONGS_EQUAL(0, resets);
  LONGS_EQUAL(1, drops);
}

TEST(UsedPort, CopyReachesTheTargetThatHasTheFlowInEachState) {
  const std::uint32_t n = OpenFlow();
  TargetFlows& agent = agents.at(MakeAgentEndpoint(n).address);
  agent.status.state = TargetState::kDraining;
  agent.is_zone_out_of_service = true;
  MergeRecord(n, kService, 2, TargetState::kDraining, kNow);
  steering.routes.routes[kAddress].shares = {{.service = kOtherService}};
  Send(true, kFirst, kNow + 200ms);
  LONGS_EQUAL(2, opened.size());
  CHECK(opened[1].agent == opened[0].agent);
}

TEST(UsedPort, UsedPortFollowsTheNewConfiguration) {
  (void)OpenFlow();
  StartAgent(kTargets + 1, kOtherService, 1, kNow + 5s);
  steering.routes.routes[kAddress].shares = {{.service = kOtherService}};
  LONGS_EQUAL(MakeAgentEndpoint(kTargets + 1).address, UsePortAgain(kNow + 5s));
}

TEST(UsedPort, UsedPortDoesNotOpenAtADrainingTarget) {
  const std::uint32_t n = OpenFlow();
  agents.at(MakeAgentEndpoint(n).address).status.state = TargetState::kDraining;
  CHECK(UsePortAgain(kNow + 5s) != MakeAgentEndpoint(n).address);
}

TEST(UsedPort, UsedPortDoesNotOpenInAZoneOutOfService) {
  const std::uint32_t n = OpenFlow();
  agents.at(MakeAgentEndpoint(n).address).is_zone_out_of_service = true;
  StartAgent(kTargets + 1, kService, 1, kNow);
  steering.fleet.hosts.at(MakeAgentEndpoint(kTargets + 1)).record.zone =
      other_zone;
  CHECK(UsePortAgain(kNow + 5s) != MakeAgentEndpoint(n).address);
}

// The agent has started later than the flow and learnt it from packets.
TEST(UsedPort, OpeningOfAFoundFlowDoesNotOpenAtADrainingTarget) {
  const std::uint32_t n = OpenFlow();
  TargetFlows& agent = agents.at(MakeAgentEndpoint(n).address);
  for (auto& it : agent.flows) {
    it.second = TargetFlow{.is_accepted = true};
  }
  agent.status.state = TargetState::kDraining;
  CHECK(UsePortAgain(kNow + 5s) != MakeAgentEndpoint(n).address);
}

TEST(UsedPort, OpeningOfAFlowFoundByASearchFollowsTheNewConfiguration) {
  (void)OpenFlow();
  steering.flows.clear();
  Send(false, kFirst + 1, kNow + 1s);
  LONGS_EQUAL(1, steering.flows.size());
  StartAgent(kTargets + 1, kOtherService, 1, kNow + 5s);
  steering.routes.routes[kAddress].shares = {{.service = kOtherService}};
  LONGS_EQUAL(MakeAgentEndpoint(kTargets + 1).address, UsePortAgain(kNow + 5s));
}

TEST(UsedPort, LateCopyOfAFlowFoundByASearchReachesItsTarget) {
  const Endpoint agent = MakeAgentEndpoint(OpenFlow());
  steering.flows.clear();
  Send(false, kFirst + 1, kNow + 190ms);
  Send(true, kFirst, kNow + 200ms);
  LONGS_EQUAL(2, opened.size());
  CHECK(opened[1].agent == agent);
  Send(false, kFirst + 1, kNow + 210ms);
  CHECK(delivered == std::vector<std::uint32_t>(2, agent.address));
}

// The opening may be a late copy of one that came before the open flow's.
TEST(UsedPort, OpeningThatTheAgentReturnsLeavesTheOpenFlow) {
  const std::uint32_t n = OpenFlow();
  TargetFlows& agent = agents.at(MakeAgentEndpoint(n).address);
  Send(false, kFirst + 1, kNow);
  LONGS_EQUAL(1, agent.running);
  agent.is_shutting_down = true;
  (void)UsePortAgain(kNow + 1s);
  LONGS_EQUAL(1, agent.running);
  LONGS_EQUAL(1, agent.flows.size());
}

// Another balancer has opened the port's later flow.
TEST(UsedPort, TargetThatExitedDoesNotEndALaterFlowOfThePort) {
  const Endpoint first = MakeAgentEndpoint(OpenFlow());
  Send(false, kFirst + 1, kNow);
  HostRecord& record = steering.fleet.hosts.at(first).record;
  record.target.state = TargetState::kGone;
  record.is_shutting_down = true;
  agents.erase(first.address);
  auto& later = *agents.begin();
  later.second.flows[ExtractCallerFlowKey(MakePacket(true, kSecond))] =
      TargetFlow{.is_accepted = true};
  constexpr std::uint32_t kFarSequence = 500'000'000;
  Send(false, kFarSequence, kNow + 5s);
  LONGS_EQUAL(0, resets);
  LONGS_EQUAL(later.first, delivered.back());
  Send(false, kFarSequence + 100, kNow + 5s);
  LONGS_EQUAL(later.first, delivered.back());
}

// The earlier flow's agent replies to a packet that it got before the port was
// used again.
TEST(UsedPort, LateReplyAboutTheEarlierFlowDoesNotMoveTheNewOne) {
  const Endpoint first = MakeAgentEndpoint(OpenFlow());
  steering.fleet.hosts.at(first).record.target.state = TargetState::kDraining;
  agents.clear();
  Send(true, kSecond, kNow + 5s);
  const FlowPacket opening = MakePacket(true, kSecond);
  const Endpoint second = lost.back().to;
  CHECK(second != first);
  Reply(first, FlowOwnership::kHeld, opening, kNow + 5s + 1ms);
  Reply(first, FlowOwnership::kRejected, opening, kNow + 5s + 1ms);
  Reply(second, FlowOwnership::kHeld, opening, kNow + 5s + 9ms);
  Send(false, kSecond + 1, kNow + 5s + 20ms);
  CHECK(lost.back().to == second);
  CHECK(lost.back().reason == SteeringReason::kKnownFlow);
}

TEST(UsedPort, LateReturnsOfTheEarlierFlowDoNotMoveTheNewOne) {
  const Endpoint first = MakeAgentEndpoint(OpenFlow());
  steering.fleet.hosts.at(first).record.target.state = TargetState::kDraining;
  agents.clear();
  Send(true, kSecond, kNow + 5s);
  for (const FlowPacket& packet :
       {MakePacket(false, kFirst + 101), MakePacket(true, kFirst)}) {
    std::vector<SteeringAction> out;
    OnPacketReturnedByAgent(steering, first,
                            {.service = kService, .is_returned = true}, packet,
                            bytes, kNow + 5s + 1ms, out);
    Carry(out, packet, kNow + 5s + 1ms);
  }
  LONGS_EQUAL(1, lost.size());
  LONGS_EQUAL(1, steering.openings.size());
}

TEST(UsedPort, PendingOpeningOfTheEarlierFlowEndsThoughTheFlowIsForgotten) {
  agents.clear();
  Send(true, kFirst, kNow);
  steering.flows.clear();
  for (std::uint32_t n = 1; n <= kTargets; ++n) {
    MergeRecord(n, kService, 2, TargetState::kDraining, kNow);
  }
  Send(true, kSecond, kNow + 10ms);
  LONGS_EQUAL(0, steering.openings.size());
}

// Packets of the earlier flow wait for a search.
TEST(UsedPort, SearchForTheEarlierFlowDoesNotResetTheNewOne) {
  std::vector<SteeringAction> out;
  OnCallerPacket(steering, MakePacket(false, kFirst + 1), bytes, kNow, out);
  LONGS_EQUAL(1, steering.searches.flows.size());
  (void)UsePortAgain(kNow + 5ms);
  LONGS_EQUAL(0, steering.searches.packets);
  for (std::uint32_t n = 1; n <= kTargets; ++n) {
    Reply(MakeAgentEndpoint(n), FlowOwnership::kNotHeld,
          MakePacket(false, kFirst + 1), kNow + 6ms);
  }
  LONGS_EQUAL(0, resets);
}
