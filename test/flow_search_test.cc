#include "hawthornbank/flow_search.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "hawthornbank/steering.h"
#include "steering_fixture.h"

using namespace hawthornbank;
using namespace hawthornbank::test;
using namespace std::chrono_literals;

namespace {

using Kind = SteeringAction::Kind;

const TimePoint kStart{std::chrono::seconds{1000}};
const TimePoint kNow = kStart + 10s;

auto MakeCallerPacket(std::uint16_t port) -> FlowPacket {
  return FlowPacket{.source = {.address = 0x64400007, .port = port},
                    .destination = kAddress,
                    .has_acknowledgement = true,
                    .acknowledgement = 900,
                    .data_bytes = 1200};
}

}  // namespace

TEST_GROUP(FlowSearch) {
  Steering steering{.started = kStart};
  std::vector<SteeringAction> out;

  void setup() override {
    SetUpSteering(steering, 12, kNow);
  }

  auto SendCallerPacket(std::uint16_t port, std::uint8_t content, TimePoint now)
      ->void {
    out.clear();
    OnCallerPacket(steering, MakeCallerPacket(port),
                   std::vector<std::uint8_t>(1232, content), now, out);
  }

  auto DeliverReply(std::uint16_t port, Endpoint agent, FlowOwnership ownership,
                    TimePoint now)
      ->void {
    out.clear();
    OnFlowReply(steering,
                FlowReply{.flow = ExtractCallerFlowKey(MakeCallerPacket(port)),
                          .agent = agent,
                          .ownership = ownership},
                now, out);
  }

  // Lets each queried agent reply with `ownership` until the search results in
  // another action than a query. That action is left in `out`.
  auto AnswerAllQueries(std::uint16_t port, FlowOwnership ownership)->void {
    while (out.size() == 1 && out[0].kind == Kind::kQuery) {
      const auto receivers = out[0].receivers;
      for (const auto it : receivers) {
        DeliverReply(port, it, ownership, kNow);
      }
    }
  }
};

// Load pattern: a balancer joins, and an upload's sixteen packets in flight
// reach a balancer that doesn't know the flow.
TEST(FlowSearch, UploadPacketsWaitForOneSearchAndAreRelayedOnce) {
  SendCallerPacket(1, 0, kNow);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kQuery);
  const auto query = out[0];
  for (std::uint8_t n = 1; n < 16; ++n) {
    SendCallerPacket(1, n, kNow);
    LONGS_EQUAL(0, out.size());
  }
  DeliverReply(1, query.receivers[2], FlowOwnership::kHeld, kNow + 1ms);
  LONGS_EQUAL(16, out.size());
  for (std::uint8_t n = 0; n < 16; ++n) {
    CHECK(out[n].kind == Kind::kRelay);
    CHECK(out[n].to == query.receivers[2]);
    LONGS_EQUAL(n, out[n].kept.at(0));
  }
  LONGS_EQUAL(0, steering.searches.packets);
  LONGS_EQUAL(0, steering.searches.flows.size());
}

TEST(FlowSearch, QueryCarriesTheAcknowledgementOfTheCallersPacket) {
  SendCallerPacket(1, 0, kNow);
  CHECK(out[0].query.has_acknowledgement);
  LONGS_EQUAL(900, out[0].query.acknowledgement);
}

TEST(FlowSearch, UnresponsiveAgentDoesNotBlockTheSearch) {
  SendCallerPacket(1, 0, kNow);
  const auto first = out[0].receivers;
  for (std::size_t n = 1; n < first.size(); ++n) {
    DeliverReply(1, first[n], FlowOwnership::kNotHeld, kNow);
    LONGS_EQUAL(0, out.size());
  }
  OnSteeringTick(steering, kNow + kHostReplyTimeout, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kQuery);
  CHECK(std::find(out[0].receivers.begin(), out[0].receivers.end(), first[0]) ==
        out[0].receivers.end());
  // A late reply that the target holds the flow still ends the search.
  DeliverReply(1, first[0], FlowOwnership::kHeld, kNow + 70ms);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].to == first[0]);
}

TEST(FlowSearch, LateReplyThatTheFlowIsNotHeldIsIgnored) {
  SendCallerPacket(1, 0, kNow);
  const auto first = out[0].receivers;
  out.clear();
  OnSteeringTick(steering, kNow + kHostReplyTimeout, out);
  DeliverReply(1, first[0], FlowOwnership::kNotHeld, kNow + 70ms);
  LONGS_EQUAL(0, out.size());
  LONGS_EQUAL(1, steering.searches.flows.size());
}

// Agents that have restarted don't know their targets' flows. A target returns
// packets of flows that it doesn't hold, so the targets are tried in sequence.
TEST(FlowSearch, TargetsOfUnsureAgentsAreTriedInSequence) {
  SendCallerPacket(1, 0, kNow);
  const auto first = out[0].receivers[0];
  const auto second = out[0].receivers[1];
  AnswerAllQueries(1, FlowOwnership::kUnsure);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kRelay);
  CHECK(out[0].reason == SteeringReason::kOfferedToUnsureAgent);
  CHECK(out[0].to == first);
  SendCallerPacket(1, 1, kNow);
  LONGS_EQUAL(0, out.size());
  RelayHeader header{.service = kService, .is_returned = true};
  header.returned_by.push_back(first.address);
  const std::vector<std::uint8_t> bytes(1232);
  OnPacketReturnedByAgent(steering, first, header, MakeCallerPacket(1), bytes,
                          kNow, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].to == second);
  // The second target already has the first packet; the other packets are
  // relayed when the second agent replies.
  DeliverReply(1, second, FlowOwnership::kHeld, kNow + 1ms);
  LONGS_EQUAL(1, out.size());
  LONGS_EQUAL(1, out[0].kept.at(0));
}

// Guards against a flow whose packets all go to an agent whose target is gone:
// it returns nothing, and the flow's own target gets none of them.
TEST(FlowSearch, OfferedPacketThatIsNotReturnedIsOfferedToTheNextAgentToo) {
  SendCallerPacket(1, 0, kNow);
  AnswerAllQueries(1, FlowOwnership::kUnsure);
  const auto first = out[0].to;
  SendCallerPacket(1, 1, kNow);
  out.clear();
  OnSteeringTick(steering, kNow + kHostReplyTimeout - 1ms, out);
  LONGS_EQUAL(0, out.size());
  OnSteeringTick(steering, kNow + kHostReplyTimeout, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].reason == SteeringReason::kOfferedToUnsureAgent);
  const auto second = out[0].to;
  CHECK(second != first);
  LONGS_EQUAL(0, out[0].kept.at(0));
  // The first agent's target answers late; it already has the first packet.
  DeliverReply(1, first, FlowOwnership::kHeld, kNow + 61ms);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].to == first);
  LONGS_EQUAL(1, out[0].kept.at(0));
  SendCallerPacket(1, 2, kNow + 62ms);
  CHECK(out[0].reason == SteeringReason::kKnownFlow);
}

// Guards against the same when no target answers in time: one that holds the
// flow may wait for the rest of a request.
TEST(FlowSearch, PacketsAreRelayedToAllAgentsThatHaveNotReturnedTheFirst) {
  SendCallerPacket(1, 0, kNow);
  AnswerAllQueries(1, FlowOwnership::kUnsure);
  std::vector<Endpoint> offered{out[0].to};
  SendCallerPacket(1, 1, kNow);
  auto now = kNow;
  RelayHeader header{.service = kService, .is_returned = true};
  while (offered.size() < 12) {
    out.clear();
    if (offered.size() < 3) {
      now += kHostReplyTimeout;
      OnSteeringTick(steering, now, out);
    } else {
      header.returned_by = {offered.back().address};
      OnPacketReturnedByAgent(steering, offered.back(), header,
                              MakeCallerPacket(1),
                              std::vector<std::uint8_t>(1232), now, out);
    }
    LONGS_EQUAL(1, out.size());
    offered.push_back(out[0].to);
  }
  // The second agent returns the packet after all.
  out.clear();
  header.returned_by = {offered[1].address};
  OnPacketReturnedByAgent(steering, offered[1], header, MakeCallerPacket(1),
                          std::vector<std::uint8_t>(1232), now, out);
  LONGS_EQUAL(0, out.size());
  OnSteeringTick(steering, now + kHostReplyTimeout, out);
  LONGS_EQUAL(2, out.size());
  CHECK(out[0].to == offered[0]);
  CHECK(out[1].to == offered[11]);
  for (const auto& it : out) {
    LONGS_EQUAL(1, it.kept.at(0));
    CHECK(it.header.wants_flow_reply);
  }
  LONGS_EQUAL(0, steering.searches.packets);
  // None of them counts as the flow's agent.
  SendCallerPacket(1, 2, now + 61ms);
  CHECK(out[0].kind == Kind::kQuery);
}

// An agent whose target is silent is offered the packet last.
TEST(FlowSearch, SilentTargetsAreTriedLast) {
  SendCallerPacket(1, 0, kNow);
  const auto first = out[0].receivers[0];
  steering.fleet.hosts.at(first).record.target.state = TargetState::kUnknown;
  AnswerAllQueries(1, FlowOwnership::kUnsure);
  auto now = kNow;
  for (int n = 0; n < 11; ++n) {
    CHECK(out[0].to != first);
    now += kHostReplyTimeout;
    out.clear();
    OnSteeringTick(steering, now, out);
  }
  CHECK(out[0].to == first);
}

TEST(FlowSearch, WaitingPacketsAreLimitedPerFlowAndInTotal) {
  steering.options.search.max_packets_per_flow = 4;
  steering.options.search.max_waiting_packets = 6;
  for (std::uint8_t n = 0; n < 5; ++n) {
    SendCallerPacket(1, n, kNow);
  }
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].reason == SteeringReason::kSearchLimit);
  SendCallerPacket(2, 0, kNow);
  SendCallerPacket(2, 1, kNow);
  LONGS_EQUAL(0, out.size());
  SendCallerPacket(3, 0, kNow);
  CHECK(out[0].reason == SteeringReason::kSearchLimit);
  LONGS_EQUAL(6, steering.searches.packets);
}

TEST(FlowSearch, ReturnedPacketStartsASearchAtOtherAgents) {
  const FlowKey flow = ExtractCallerFlowKey(MakeCallerPacket(1));
  DeliverReply(1, MakeAgentEndpoint(3), FlowOwnership::kHeld, kNow);
  RelayHeader header{.service = kService, .is_returned = true};
  header.returned_by.push_back(MakeAgentEndpoint(3).address);
  const std::vector<std::uint8_t> bytes(1232);
  OnPacketReturnedByAgent(steering, MakeAgentEndpoint(3), header,
                          MakeCallerPacket(1), bytes, kNow, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kQuery);
  const auto& asked = out[0].receivers;
  CHECK(std::find(asked.begin(), asked.end(), MakeAgentEndpoint(3)) ==
        asked.end());
  CHECK_FALSE(steering.flows.contains(flow));
}

// Two targets accepted copies of an opening. The caller keeps the first answer.
TEST(FlowSearch, SecondAgentThatHoldsTheFlowReplacesTheFirstOnlyInASearch) {
  DeliverReply(1, MakeAgentEndpoint(3), FlowOwnership::kHeld, kNow);
  DeliverReply(1, MakeAgentEndpoint(4), FlowOwnership::kHeld, kNow);
  SendCallerPacket(1, 0, kNow);
  CHECK(out[0].to == MakeAgentEndpoint(3));
  // The recorded agent returns a packet
  // when the caller kept the answer of the other target.
  out.clear();
  RelayHeader header{.service = kService, .is_returned = true};
  header.returned_by.push_back(MakeAgentEndpoint(3).address);
  const std::vector<std::uint8_t> bytes(1232);
  OnPacketReturnedByAgent(steering, MakeAgentEndpoint(3), header,
                          MakeCallerPacket(1), bytes, kNow, out);
  DeliverReply(1, MakeAgentEndpoint(4), FlowOwnership::kHeld, kNow);
  SendCallerPacket(1, 1, kNow);
  CHECK(out[0].to == MakeAgentEndpoint(4));
}
