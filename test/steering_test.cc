#include "hawthornbank/steering.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "steering_fixture.h"

using namespace hawthornbank;
using namespace hawthornbank::test;
using namespace std::chrono_literals;

namespace {

using Kind = SteeringAction::Kind;

const Endpoint kSelf{.address = 0x0A000001, .port = 7000};
const TimePoint kStart{std::chrono::seconds{1000}};
const TimePoint kNow = kStart + 10s;

auto MakeCallerPacket(std::uint16_t port, bool opens) -> FlowPacket {
  return FlowPacket{.source = {.address = 0x64400007, .port = port},
                    .destination = kAddress,
                    .is_opening = opens,
                    .has_acknowledgement = !opens,
                    .acknowledgement = opens ? 0U : 900U,
                    .data_bytes = static_cast<std::uint16_t>(opens ? 0 : 100)};
}

}  // namespace

TEST_GROUP(Steering) {
  Steering steering{.started = kStart};
  std::vector<SteeringAction> out;
  std::vector<Endpoint> asked;
  const std::vector<std::uint8_t> bytes = std::vector<std::uint8_t>(32, 7);

  void setup() override {
    steering.fleet.self = {.control = kSelf, .zone = "a", .incarnation = 1};
    steering.fleet.knows_agents_since = kStart - kFlowLifetime;
    steering.routes.version = 3;
    steering.routes.routes[kAddress] = Route{.shares = {{.service = kService}}};
    for (std::uint32_t n = 1; n <= 5; ++n) {
      MergeAgentRecord(n, TargetState::kReady);
    }
  }

  // A balancer that has just started knows the agents since then.
  auto StartBalancer(TimePoint start)->void {
    steering.started = steering.fleet.knows_agents_since = start;
  }

  auto MergeAgentRecord(std::uint32_t n, TargetState state, bool cold = false,
                        std::uint32_t revision = 1, bool leaving = false)
      ->void {
    // An agent that doesn't know its target names no start.
    const std::uint64_t started_at_ms =
        state == TargetState::kUnknown ? 0 : 500;
    MergeAgentStart(n, state, started_at_ms, cold, revision, leaving);
  }

  auto MergeAgentStart(std::uint32_t n, TargetState state,
                       std::uint64_t started_at_ms, bool cold,
                       std::uint32_t revision, bool leaving = false)
      ->void {
    MergeHostRecord(steering.fleet,
                    HostRecord{.control = MakeAgentEndpoint(n),
                               .role = HostRole::kAgent,
                               .is_shutting_down = leaving,
                               .service = kService,
                               .zone = "a",
                               .incarnation = 1,
                               .revision = revision,
                               .target = {.state = state,
                                          .started_at_ms = started_at_ms,
                                          .slots = 3,
                                          .cold = cold}},
                    0s, kNow);
  }

  auto RecordContactWithAllHosts(TimePoint now)->void {
    for (auto& [control, host] : steering.fleet.hosts) {
      RecordHostContact(host, now);
    }
  }

  auto SendCallerPacket(const FlowPacket& packet, TimePoint now)
      ->SteeringAction {
    out.clear();
    OnCallerPacket(steering, packet, bytes, now, out);
    LONGS_EQUAL(1, out.size());
    return out[0];
  }

  auto ReturnPacketFromAgent(const SteeringAction& action,
                             const FlowPacket& packet, TimePoint now)
      ->SteeringAction {
    RelayHeader header = action.header;
    header.is_returned = true;
    header.returned_by.push_back(action.to.address);
    out.clear();
    OnPacketReturnedByAgent(steering, action.to, header, packet, bytes, now,
                            out);
    LONGS_EQUAL(1, out.size());
    return out[0];
  }

  auto DeliverReply(const FlowKey& flow, Endpoint agent,
                    FlowOwnership ownership, TimePoint now)
      ->void {
    out.clear();
    OnFlowReply(steering,
                FlowReply{.flow = flow, .agent = agent, .ownership = ownership},
                now, out);
  }

  auto ConfirmOpening(const SteeringAction& action, TimePoint now)->void {
    DeliverReply(action.flow, action.to, FlowOwnership::kHeld, now);
  }

  // Lets each queried agent reply with `ownership` until the search results in
  // another action than a query, or queries the agent `silent`.
  auto AnswerAllQueries(SteeringAction action, FlowOwnership ownership,
                        TimePoint now, Endpoint silent = {})
      ->SteeringAction {
    while (action.kind == Kind::kQuery) {
      const SteeringAction query = action;
      for (const auto it : query.receivers) {
        if (it == silent) {
          return query;
        }
        asked.push_back(it);
        DeliverReply(query.flow, it, ownership, now);
      }
      LONGS_EQUAL(1, out.size());
      action = out[0];
    }
    return action;
  }

  // Sends a packet and lets every agent reply
  // that the agent's target doesn't hold the flow.
  auto SearchForFlowThatNoAgentHolds(const FlowPacket& packet, TimePoint now)
      ->SteeringAction {
    return AnswerAllQueries(SendCallerPacket(packet, now),
                            FlowOwnership::kNotHeld, now);
  }

  // Searches for a flow while agent 3 has been silent for the given time; the
  // other agents reply that their targets don't hold the flow.
  auto SearchWhileAgentIsSilent(Duration silence)->SteeringAction {
    const auto later = kNow + silence;
    RecordContactWithAllHosts(later);
    steering.fleet.hosts.at(MakeAgentEndpoint(3)).last_contact = kNow;
    const auto query =
        AnswerAllQueries(SendCallerPacket(MakeCallerPacket(1, false), later),
                         FlowOwnership::kNotHeld, later, MakeAgentEndpoint(3));
    // The silent agent is queried last.
    LONGS_EQUAL(4, asked.size());
    CHECK(query.receivers == std::vector{MakeAgentEndpoint(3)});
    out.clear();
    OnSteeringTick(steering, later + kHostReplyTimeout - 1ms, out);
    LONGS_EQUAL(0, out.size());
    // Agent 3 has still been silent for the given time when its query times
    // out.
    steering.fleet.hosts.at(MakeAgentEndpoint(3)).last_contact =
        kNow + kHostReplyTimeout;
    OnSteeringTick(steering, later + kHostReplyTimeout, out);
    LONGS_EQUAL(1, out.size());
    CHECK(steering.searches.flows.empty());
    return out[0];
  }

  auto WasAgentQueried(Endpoint agent) const->bool {
    return std::find(asked.begin(), asked.end(), agent) != asked.end();
  }
};

TEST(Steering, LaterPacketsAreRelayedToTheConfirmingAgent) {
  const auto opening = SendCallerPacket(MakeCallerPacket(1, true), kNow);
  CHECK(opening.kind == Kind::kRelay);
  CHECK(opening.header.wants_flow_reply);
  ConfirmOpening(opening, kNow + 5ms);
  const auto next = SendCallerPacket(MakeCallerPacket(1, false), kNow + 6ms);
  CHECK(next.to == opening.to);
  CHECK(next.reason == SteeringReason::kKnownFlow);
  CHECK_FALSE(next.header.wants_flow_reply);
  CHECK(steering.openings.empty());
}

TEST(Steering, UnconfirmedOpeningIsOfferedToTheNextTarget) {
  const auto first = SendCallerPacket(MakeCallerPacket(1, true), kNow);
  out.clear();
  OnSteeringTick(steering, kNow + 44ms, out);
  LONGS_EQUAL(0, out.size());
  OnSteeringTick(steering, kNow + 45ms, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].reason == SteeringReason::kUnconfirmed);
  CHECK_FALSE(first.header.may_be_accepted);
  CHECK(out[0].header.may_be_accepted);
  CHECK(out[0].to != first.to);
  CHECK(out[0].kept == bytes);
  // The suspected agent gets no new flows until it sends a message or
  // kSuspicionTime has passed.
  for (std::uint16_t port = 2; port < 40; ++port) {
    CHECK(SendCallerPacket(MakeCallerPacket(port, true), kNow + 46ms).to !=
          first.to);
  }
}

// The reply that confirms the opening is lost.
TEST(Steering, OpeningThatTheCallerHasAcknowledgedIsNotOfferedOrReset) {
  const auto first = SendCallerPacket(MakeCallerPacket(1, true), kNow);
  FlowPacket acknowledgement = MakeCallerPacket(1, false);
  acknowledgement.has_acknowledgement = true;
  CHECK(SendCallerPacket(acknowledgement, kNow + 10ms).to == first.to);
  out.clear();
  OnSteeringTick(steering, kNow + 45ms, out);
  LONGS_EQUAL(0, out.size());
}

// The reply that confirms the opening is lost, and the caller's acknowledgement
// goes through another balancer.
TEST(Steering, UnconfirmedOpeningIsDroppedWhenNoTargetIsLeft) {
  for (std::uint32_t n = 1; n <= 4; ++n) {
    MergeAgentRecord(n, TargetState::kDraining, false, 2);
  }
  CHECK(SendCallerPacket(MakeCallerPacket(1, true), kNow).kind == Kind::kRelay);
  out.clear();
  OnSteeringTick(steering, kNow + 45ms, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kDrop);
  CHECK(out[0].reason == SteeringReason::kAllTargetsRefused);
  CHECK(steering.openings.empty());
}

// Guards against openings that are dropped for minutes in a large fleet, whose
// hosts send heartbeats to a balancer that far apart.
TEST(Steering, OpeningsForALastTargetWhoseHostHasEndedAreReset) {
  for (std::uint32_t n = 1; n <= 4; ++n) {
    MergeAgentRecord(n, TargetState::kDraining, false, 2);
  }
  steering.fleet.hosts.at(MakeAgentEndpoint(5)).unresponsive_after = 160s;
  for (std::uint16_t port = 1; port <= 4; ++port) {
    const TimePoint at = kNow + port * 2s;
    SendCallerPacket(MakeCallerPacket(port, true), at);
    out.clear();
    OnSteeringTick(steering, at + 45ms, out);
  }
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kReset);
}

TEST(Steering, OpeningForATargetWhoseAgentIsSilentIsReset) {
  for (std::uint32_t n = 1; n <= 4; ++n) {
    MergeAgentRecord(n, TargetState::kDraining, false, 2);
  }
  steering.fleet.hosts.at(MakeAgentEndpoint(5)).last_contact = kNow - 3s;
  CHECK(SendCallerPacket(MakeCallerPacket(1, true), kNow).kind == Kind::kRelay);
  out.clear();
  OnSteeringTick(steering, kNow + 45ms, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kReset);
}

TEST(Steering, OpeningRefusedByAllTargetsIsResetAtOnce) {
  auto action = SendCallerPacket(MakeCallerPacket(1, true), kNow);
  int offers = 0;
  while (action.kind == Kind::kRelay) {
    ++offers;
    action = ReturnPacketFromAgent(action, MakeCallerPacket(1, true), kNow);
  }
  LONGS_EQUAL(5, offers);
  CHECK(action.kind == Kind::kReset);
  CHECK(action.reason == SteeringReason::kAllTargetsRefused);
  CHECK(steering.openings.empty());
}

// Guards against the reset of a flow that opens at a slow target: its agent
// returned the opening after some time without an answer, and then all others
// refused it.
TEST(Steering, OpeningThatATargetMayStillAcceptIsNotReset) {
  auto action = SendCallerPacket(MakeCallerPacket(1, true), kNow);
  action.header.may_be_accepted = true;
  while (action.kind == Kind::kRelay) {
    action = ReturnPacketFromAgent(action, MakeCallerPacket(1, true), kNow);
  }
  CHECK(action.kind == Kind::kDrop);
  CHECK(action.reason == SteeringReason::kAllTargetsRefused);
  // The same holds for the caller's next copy, which is offered again.
  FlowPacket copy = MakeCallerPacket(1, true);
  copy.acknowledgement = 1;
  action = SendCallerPacket(copy, kNow + 200ms);
  int offers = 0;
  for (; action.kind == Kind::kRelay; ++offers) {
    action = ReturnPacketFromAgent(action, copy, kNow + 200ms);
  }
  CHECK(offers >= 5);
  CHECK(action.kind == Kind::kDrop);
  // The target has accepted it: the flow is searched for.
  action = SendCallerPacket(MakeCallerPacket(1, false), kNow + 300ms);
  CHECK(action.kind == Kind::kQuery);
}

TEST(Steering, OpeningThatAnAgentMayHaveAcceptedStaysMarked) {
  auto action = SendCallerPacket(MakeCallerPacket(1, true), kNow);
  action = ReturnPacketFromAgent(action, MakeCallerPacket(1, true), kNow);
  CHECK_FALSE(action.header.may_be_accepted);
  action.header.may_be_accepted = true;
  action = ReturnPacketFromAgent(action, MakeCallerPacket(1, true), kNow);
  CHECK(action.header.may_be_accepted);
  action.header.may_be_accepted = false;
  action = ReturnPacketFromAgent(action, MakeCallerPacket(1, true), kNow);
  CHECK(action.header.may_be_accepted);
}

TEST(Steering, LastPossibleOfferIsMarkedInTheRelayHeader) {
  auto action = SendCallerPacket(MakeCallerPacket(1, true), kNow);
  for (int offers = 1; offers < 5; ++offers) {
    CHECK_FALSE(action.header.is_last_candidate);
    action = ReturnPacketFromAgent(action, MakeCallerPacket(1, true), kNow);
  }
  CHECK(action.header.is_last_candidate);
  for (std::uint32_t n = 1; n <= 4; ++n) {
    MergeAgentRecord(n, TargetState::kDraining, false, 2);
  }
  CHECK(SendCallerPacket(MakeCallerPacket(2, true), kNow)
            .header.is_last_candidate);
}

TEST(Steering, DrainingTargetsGetNoNewFlows) {
  for (std::uint32_t n = 1; n <= 4; ++n) {
    MergeAgentRecord(n, TargetState::kDraining, false, 2);
  }
  for (std::uint16_t port = 1; port < 20; ++port) {
    CHECK(SendCallerPacket(MakeCallerPacket(port, true), kNow).to ==
          MakeAgentEndpoint(5));
  }
}

TEST(Steering, DuplicateOpeningIsRelayedToTheAgentOfTheFirstCopy) {
  const auto first = SendCallerPacket(MakeCallerPacket(1, true), kNow);
  ConfirmOpening(first, kNow + 5ms);
  const auto copy = SendCallerPacket(MakeCallerPacket(1, true), kNow + 200ms);
  CHECK(copy.to == first.to);
  CHECK(copy.reason == SteeringReason::kDuplicateOpening);
}

TEST(Steering, FirstRankedAgentsAreQueriedForAnUnknownFlow) {
  const auto opening = SendCallerPacket(MakeCallerPacket(1, true), kNow);
  ConfirmOpening(opening, kNow);
  steering.flows.clear();
  const auto query = SendCallerPacket(MakeCallerPacket(1, false), kNow);
  CHECK(query.reason == SteeringReason::kSearchStarted);
  // A flow is placed at one of the first four agents of the flow's ranking if
  // these accept new flows. The first four agents are queried in parallel.
  LONGS_EQUAL(4, query.receivers.size());
  CHECK(std::find(query.receivers.begin(), query.receivers.end(), opening.to) !=
        query.receivers.end());
  ConfirmOpening(opening, kNow + 5ms);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kRelay);
  CHECK(out[0].to == opening.to);
  CHECK(out[0].kept == bytes);
  CHECK(SendCallerPacket(MakeCallerPacket(1, false), kNow + 6ms).reason ==
        SteeringReason::kKnownFlow);
}

TEST(Steering, FlowHeldByNoAgentIsResetWithTheCallersAcknowledgement) {
  const auto end =
      SearchForFlowThatNoAgentHolds(MakeCallerPacket(1, false), kNow);
  CHECK(end.kind == Kind::kReset);
  CHECK(end.reason == SteeringReason::kFlowUnknown);
  LONGS_EQUAL(900, end.acknowledgement);
}

// Guards against the reset of open flows of agents that a balancer doesn't
// know: they knew only balancers that have gone, and hear of it late.
TEST(Steering, UnknownFlowIsNotResetBeforeTheBalancerKnowsAllAgents) {
  const auto search = [this](Duration known_for) {
    steering.fleet.knows_agents_since = kNow - known_for;
    return SearchForFlowThatNoAgentHolds(MakeCallerPacket(1, false), kNow);
  };
  for (const Duration known_for :
       {Duration{2s}, Duration{10s}, kFlowLifetime - 1ms}) {
    CHECK(search(known_for).kind == Kind::kDrop);
    CHECK(search(known_for).reason == SteeringReason::kAgentNotFound);
  }
  CHECK(search(kFlowLifetime).kind == Kind::kReset);
}

TEST(Steering, UnknownFlowIsNotResetIfAnAgentIsSilentForLessThanThreeSeconds) {
  const auto action = SearchWhileAgentIsSilent(2900ms);
  CHECK(action.kind == Kind::kDrop);
  CHECK(action.reason == SteeringReason::kAgentNotFound);
  CHECK(action.receivers == std::vector{MakeAgentEndpoint(3)});
}

// Load pattern: after a power loss, agents of exited targets became
// unreachable. For a minute no lost flow was reset,
// because the target of one of these agents might have held the flow.
TEST(Steering, UnknownFlowIsResetIfAnAgentIsSilentForThreeSeconds) {
  const auto action = SearchWhileAgentIsSilent(3s);
  CHECK(action.kind == Kind::kReset);
  CHECK(action.reason == SteeringReason::kFlowUnknown);
}

TEST(Steering, UnknownFlowIsNotResetWhenMostAgentsAreUnreachable) {
  const auto later = kNow + 10s;
  RecordHostContact(steering.fleet.hosts.at(MakeAgentEndpoint(1)), later);
  RecordHostContact(steering.fleet.hosts.at(MakeAgentEndpoint(2)), later);
  auto action = SendCallerPacket(MakeCallerPacket(1, false), later);
  DeliverReply(action.flow, MakeAgentEndpoint(1), FlowOwnership::kNotHeld,
               later);
  DeliverReply(action.flow, MakeAgentEndpoint(2), FlowOwnership::kNotHeld,
               later);
  auto now = later;
  while (!steering.searches.flows.empty()) {
    now += kHostReplyTimeout;
    out.clear();
    OnSteeringTick(steering, now, out);
  }
  CHECK(out[0].kind == Kind::kDrop);
}

TEST(Steering, OldFlowsAreResetAfterAPowerLossBeforeFullSettling) {
  for (std::uint32_t n = 1; n <= 4; ++n) {
    MergeAgentRecord(n, TargetState::kReady, true, 2);
  }
  MergeAgentRecord(5, TargetState::kUnknown, false, 2);
  // An agent that knows no target doesn't prevent resets,
  // not even when the agent is suspected.
  MarkHostSuspected(steering.fleet.hosts.at(MakeAgentEndpoint(5)), kNow);
  StartBalancer(kNow - 300ms);
  CHECK(SearchForFlowThatNoAgentHolds(MakeCallerPacket(1, false), kNow).kind ==
        Kind::kDrop);
  StartBalancer(kNow - 500ms);
  CHECK(SearchForFlowThatNoAgentHolds(MakeCallerPacket(1, false), kNow).kind ==
        Kind::kReset);
  // A target that started before the power loss may hold the flow.
  MergeAgentRecord(5, TargetState::kReady, false, 3);
  CHECK(SearchForFlowThatNoAgentHolds(MakeCallerPacket(1, false), kNow).kind ==
        Kind::kDrop);
}

// Guards against the reset of an open flow whose target's heartbeats are late.
TEST(Steering, SilentTargetCountsAsRunningAndGetsNoOpening) {
  for (std::uint32_t n = 1; n <= 4; ++n) {
    MergeAgentRecord(n, TargetState::kReady, true, 2);
  }
  MergeAgentStart(5, TargetState::kUnknown, 500, false, 2);
  StartBalancer(kNow - 500ms);
  CHECK(SearchForFlowThatNoAgentHolds(MakeCallerPacket(1, false), kNow).kind ==
        Kind::kDrop);
  for (std::uint16_t port = 2; port < 40; ++port) {
    CHECK(SendCallerPacket(MakeCallerPacket(port, true), kNow).to !=
          MakeAgentEndpoint(5));
  }
}

// Load pattern: a power loss in a large fleet. Targets were warm again after
// two seconds, but a balancer certainly knew all agents only after five. In
// between, callers of lost flows got no answer until their deadlines.
TEST(Steering, OldFlowsAreResetAfterAPowerLossWhenTargetsAreWarm) {
  for (std::uint32_t n = 100; n < 125; ++n) {
    MergeHostRecord(steering.fleet,
                    HostRecord{.control = MakeAgentEndpoint(n),
                               .role = HostRole::kBalancer,
                               .incarnation = 1},
                    0s, kNow);
  }
  for (std::uint32_t n = 1; n <= 5; ++n) {
    MergeAgentRecord(n, TargetState::kReady, true, 2);
    MergeAgentRecord(n, TargetState::kReady, false, 3);
  }
  StartBalancer(kNow - 4s);
  CHECK(SearchForFlowThatNoAgentHolds(MakeCallerPacket(1, false), kNow).kind ==
        Kind::kReset);
}

// Load pattern: a power loss during a release. Agents whose targets had ended
// started again, knew no target and were stopped two seconds later. From three
// seconds on, every search for a lost flow waited for them and reset nothing.
TEST(Steering, AgentStoppedAfterAPowerLossDoesNotPreventResets) {
  for (std::uint32_t n = 1; n <= 4; ++n) {
    MergeAgentRecord(n, TargetState::kReady, true, 2);
  }
  MergeAgentRecord(5, TargetState::kUnknown, false, 2);
  MergeAgentRecord(5, TargetState::kUnknown, false, 3, true);
  for (const auto up : {4s, 19s}) {
    StartBalancer(kNow - up);
    const auto end =
        SearchForFlowThatNoAgentHolds(MakeCallerPacket(1, false), kNow);
    CHECK(end.kind == Kind::kReset);
  }
  CHECK_FALSE(WasAgentQueried(MakeAgentEndpoint(5)));
}

TEST(Steering, AgentOfAnExitedTargetIsNotQueried) {
  MergeAgentRecord(1, TargetState::kGone, false, 2, true);
  for (std::uint16_t port = 1; port < 20; ++port) {
    SearchForFlowThatNoAgentHolds(MakeCallerPacket(port, false), kNow);
  }
  CHECK(WasAgentQueried(MakeAgentEndpoint(2)));
  CHECK_FALSE(WasAgentQueried(MakeAgentEndpoint(1)));
}

// A target serves its flows for up to two seconds after announcing that it is
// shutting down. The target counts as exited when its agent leaves too.
TEST(Steering, FlowOfATargetThatShutsDownIsResetWhenItsAgentLeaves) {
  const auto opening = SendCallerPacket(MakeCallerPacket(1, true), kNow);
  ConfirmOpening(opening, kNow);
  const std::uint32_t n = opening.to.address & 0xFF;
  MergeAgentRecord(n, TargetState::kGone, false, 2);
  CHECK(SendCallerPacket(MakeCallerPacket(1, false), kNow + 1s).kind ==
        Kind::kRelay);
  steering.flows.clear();
  const auto action = AnswerAllQueries(
      SendCallerPacket(MakeCallerPacket(1, false), kNow + 1s),
      FlowOwnership::kNotHeld, kNow + 1s, MakeAgentEndpoint(n));
  CHECK(action.kind == Kind::kQuery);
  DeliverReply(action.flow, MakeAgentEndpoint(n), FlowOwnership::kHeld,
               kNow + 1s);
  MergeAgentRecord(n, TargetState::kGone, false, 3, true);
  const auto end = SendCallerPacket(MakeCallerPacket(1, false), kNow + 2s);
  CHECK(end.kind == Kind::kReset);
  CHECK(end.reason == SteeringReason::kTargetLost);
}

TEST(Steering, OpeningIsNotResetWhileRoutesAreBeingLearned) {
  steering.routes = {};
  steering.started = kNow - 100ms;
  CHECK(SendCallerPacket(MakeCallerPacket(1, true), kNow).kind == Kind::kDrop);
  CHECK(SendCallerPacket(MakeCallerPacket(1, true), kNow + 2s).kind ==
        Kind::kReset);
}

TEST(Steering, OpeningToAnAddressWithoutARouteIsResetAtOnce) {
  FlowPacket packet = MakeCallerPacket(1, true);
  packet.destination.port = 444;
  const auto action = SendCallerPacket(packet, kNow);
  CHECK(action.kind == Kind::kReset);
  CHECK(action.reason == SteeringReason::kNoRoute);
}

TEST(Steering, NewFlowsGoToTheLeastLoadedTarget) {
  for (std::uint32_t n = 1; n <= 5; ++n) {
    RecordTargetLoad(
        steering.fleet.hosts.at(MakeAgentEndpoint(n)),
        TargetLoad{.running = static_cast<std::uint16_t>(n == 2 ? 0 : 9)},
        kNow);
  }
  int flows_to_agent_2 = 0;
  for (std::uint16_t port = 1; port <= 50; ++port) {
    flows_to_agent_2 +=
        SendCallerPacket(MakeCallerPacket(port, true), kNow).to ==
                MakeAgentEndpoint(2)
            ? 1
            : 0;
    // Clears the openings since the last load report, which count as load.
    steering.fleet.hosts.at(MakeAgentEndpoint(2)).openings_since_load = 0;
  }
  // Agent 2 is one of the four candidates for about 40 of 50 flows.
  CHECK(flows_to_agent_2 >= 30);
}

TEST(Steering, BurstOfOpeningsIsSpreadWithoutLoadReports) {
  std::vector<int> counts(6);
  for (std::uint16_t port = 1; port <= 50; ++port) {
    ++counts.at(
        SendCallerPacket(MakeCallerPacket(port, true), kNow).to.address & 0xFF);
  }
  CHECK(*std::max_element(counts.begin(), counts.end()) <= 14);
}

TEST(Steering, IdleFlowsAreErased) {
  steering.routes.idle_timeout = 30s;
  ConfirmOpening(SendCallerPacket(MakeCallerPacket(1, true), kNow), kNow);
  EraseIdleFlows(steering, kNow + 29s);
  LONGS_EQUAL(1, steering.flows.size());
  EraseIdleFlows(steering, kNow + 31s);
  LONGS_EQUAL(0, steering.flows.size());
}

// Guards against a constant in place of the configured idle timeout.
TEST(Steering, FlowsAreRememberedForTheConfiguredIdleTimeout) {
  steering.routes.idle_timeout = 50s;
  ConfirmOpening(SendCallerPacket(MakeCallerPacket(1, true), kNow), kNow);
  EraseIdleFlows(steering, kNow + 49s);
  LONGS_EQUAL(1, steering.flows.size());
  // No flow is older than its lifetime.
  steering.routes.idle_timeout = 1h;
  EraseIdleFlows(steering, kNow + steering.options.flow_lifetime + 1s);
  LONGS_EQUAL(0, steering.flows.size());
}

TEST(Steering, FlowIsNotResetWhenMaxAgentsEndsTheSearch) {
  const auto most =
      static_cast<std::uint32_t>(steering.options.search.max_agents);
  for (std::uint32_t n = 6; n <= most + 5; ++n) {
    MergeAgentRecord(n, TargetState::kReady);
  }
  const auto end =
      SearchForFlowThatNoAgentHolds(MakeCallerPacket(1, false), kNow);
  CHECK(end.kind == Kind::kDrop);
  CHECK(end.reason == SteeringReason::kAgentNotFound);
}

// Load pattern: a restarted balancer of a large fleet. A settling time of eight
// announcement intervals left callers without an answer for 20 s at 59
// balancers.
TEST(Steering, BalancerWithThePeersRecordsKnowsAllAgentsAtOnce) {
  for (std::uint32_t n = 100; n < 159; ++n) {
    MergeHostRecord(steering.fleet,
                    HostRecord{.control = MakeAgentEndpoint(n),
                               .role = HostRole::kBalancer,
                               .incarnation = 1},
                    0s, kNow);
  }
  steering.started = kNow - 300ms;
  steering.fleet.knows_agents_since = steering.started;
  const auto search = [this] {
    return SearchForFlowThatNoAgentHolds(MakeCallerPacket(1, false), kNow).kind;
  };
  KnownHost& peer = steering.fleet.hosts.at(MakeAgentEndpoint(100));
  const auto digest = steering.fleet.digest;
  // The peer has restarted, too.
  peer.knows_agents_since = kNow - 1s;
  LearnOfAgentsFrom(steering.fleet, peer, digest);
  CHECK(search() == Kind::kDrop);
  // It has another record.
  peer.knows_agents_since = kNow - kFlowLifetime;
  LearnOfAgentsFrom(steering.fleet, peer, digest + 1);
  CHECK(search() == Kind::kDrop);
  // An agent's records are those of balancers only.
  KnownHost& agent = steering.fleet.hosts.at(MakeAgentEndpoint(1));
  agent.knows_agents_since = kNow - kFlowLifetime;
  LearnOfAgentsFrom(steering.fleet, agent, digest);
  CHECK(search() == Kind::kDrop);
  LearnOfAgentsFrom(steering.fleet, peer, digest);
  CHECK(search() == Kind::kReset);
  // A new start of the peer has yet to announce what it knows.
  HostRecord restarted = peer.record;
  restarted.incarnation = 2;
  MergeHostRecord(steering.fleet, restarted, 0s, kNow);
  CHECK(peer.knows_agents_since == TimePoint::max());
}

// Guards against this fault: an agent that had started without a target was
// stopped. Every search ended with a query to this agent, which no longer
// answered, so that no lost flow was reset.
TEST(Steering, AgentThatStoppedAndDidNotRestartIsNotQueried) {
  MergeAgentRecord(5, TargetState::kUnknown, false, 2, true);
  const auto within_restart_time = kNow + 5s;
  const auto after_restart_time = kNow + 6s;
  for (const auto now : {within_restart_time, after_restart_time}) {
    for (std::uint32_t n = 1; n <= 4; ++n) {
      RecordHostContact(steering.fleet.hosts.at(MakeAgentEndpoint(n)), now);
    }
    const auto action =
        AnswerAllQueries(SendCallerPacket(MakeCallerPacket(1, false), now),
                         FlowOwnership::kNotHeld, now, MakeAgentEndpoint(5));
    CHECK(action.kind ==
          (now == within_restart_time ? Kind::kQuery : Kind::kReset));
    OnSteeringTick(steering, now + kHostReplyTimeout, out);
  }
}

// Load pattern: the weights of a route's services change while flows are open.
TEST(Steering, RejectedOpeningIsOfferedToNoOtherTargetAndForgotten) {
  const auto opening = SendCallerPacket(MakeCallerPacket(1, true), kNow);
  DeliverReply(opening.flow, opening.to, FlowOwnership::kRejected, kNow);
  CHECK(out.empty());
  CHECK(steering.openings.empty());
  CHECK(steering.flows.empty());
  OnSteeringTick(steering, kNow + 1s, out);
  CHECK(out.empty());
}

TEST(Steering, RouteWeightChangesDoNotMoveOpenFlows) {
  constexpr std::uint32_t kOther = kService + 1;
  MergeHostRecord(steering.fleet,
                  HostRecord{.control = MakeAgentEndpoint(9),
                             .role = HostRole::kAgent,
                             .service = kOther,
                             .incarnation = 1,
                             .target = {.state = TargetState::kReady,
                                        .started_at_ms = 500}},
                  0s, kNow);
  const auto opening = SendCallerPacket(MakeCallerPacket(1, true), kNow);
  ConfirmOpening(opening, kNow);
  steering.routes.routes[kAddress].shares = {
      {.service = kOther, .weight = 1}, {.service = kService, .weight = 0}};
  const auto next = SendCallerPacket(MakeCallerPacket(1, false), kNow);
  CHECK(next.to == opening.to);
  LONGS_EQUAL(kService, next.header.service);
  // A balancer that doesn't remember the flow searches both services.
  steering.flows.clear();
  const auto action =
      AnswerAllQueries(SendCallerPacket(MakeCallerPacket(1, false), kNow),
                       FlowOwnership::kNotHeld, kNow, opening.to);
  CHECK(WasAgentQueried(MakeAgentEndpoint(9)));
  CHECK(action.kind == Kind::kQuery);
  DeliverReply(action.flow, opening.to, FlowOwnership::kHeld, kNow);
  CHECK(out[0].to == opening.to);
  LONGS_EQUAL(kService, out[0].header.service);
}
