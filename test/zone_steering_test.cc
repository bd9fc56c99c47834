#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "hawthornbank/steering.h"
#include "hawthornbank/target_flows.h"
#include "steering_fixture.h"

using namespace hawthornbank;
using namespace hawthornbank::test;
using namespace std::chrono_literals;

namespace {

using Kind = SteeringAction::Kind;

const TimePoint kNow{std::chrono::seconds{1000}};

auto MakeCallerPacket(std::uint16_t port, bool opens) -> FlowPacket {
  return FlowPacket{.source = {.address = 0x64400007, .port = port},
                    .destination = kAddress,
                    .is_opening = opens,
                    .has_acknowledgement = !opens,
                    .acknowledgement = 900};
}

auto MakeFlowKey(std::uint16_t port) -> FlowKey {
  return ExtractCallerFlowKey(MakeCallerPacket(port, true));
}

}  // namespace

// A balancer of zone "a" that knows agents 1 to 4 of zone "a" and 5 to 8 of
// zone "b".
TEST_GROUP(ZoneSteering) {
  Steering steering;
  std::vector<SteeringAction> out;
  const std::vector<std::uint8_t> bytes = std::vector<std::uint8_t>(32, 7);

  void setup() override {
    SetUpSteering(steering, 8, kNow);
    steering.started = kNow - 60s;
    const std::string zone_b("b");
    for (std::uint32_t n = 5; n <= 8; ++n) {
      steering.fleet.hosts.at(MakeAgentEndpoint(n)).record.zone = zone_b;
    }
  }

  auto TakeOut(std::vector<std::string> zones)->void {
    steering.zones = MakeZonesOutOfService(
        {.revision = steering.zones.position.revision + 1}, std::move(zones));
  }

  auto Handle(const FlowPacket& packet, TimePoint now = kNow)
      ->const SteeringAction& {
    out.clear();
    OnCallerPacket(steering, packet, bytes, now, out);
    CHECK_FALSE(out.empty());
    return out[0];
  }

  auto Return(const SteeringAction& offer, bool is_zone_out)
      ->const SteeringAction& {
    const Endpoint agent = offer.to;
    RelayHeader header = offer.header;
    header.is_returned = true;
    header.is_zone_out_of_service = is_zone_out;
    header.returned_by.push_back(agent.address);
    out.clear();
    OnPacketReturnedByAgent(steering, agent, header, MakeCallerPacket(1, true),
                            bytes, kNow, out);
    CHECK_FALSE(out.empty());
    return out[0];
  }

  auto Confirm(std::uint16_t port, Endpoint agent)->void {
    OnFlowReply(steering, FlowReply{.flow = MakeFlowKey(port), .agent = agent},
                kNow, out);
  }

  auto FindZone(Endpoint agent)->std::string {
    return steering.fleet.hosts.at(agent).record.zone;
  }
};

TEST(ZoneSteering, NoFlowOpensInAZoneOutOfService) {
  TakeOut({"a"});
  for (std::uint16_t port = 1; port < 200; ++port) {
    const SteeringAction& offer = Handle(MakeCallerPacket(port, true));
    CHECK(offer.kind == Kind::kRelay);
    STRCMP_EQUAL("b", FindZone(offer.to).c_str());
  }
  TakeOut({});
  bool is_used = false;
  for (std::uint16_t port = 200; port < 250; ++port) {
    is_used =
        is_used || FindZone(Handle(MakeCallerPacket(port, true)).to) == "a";
  }
  CHECK(is_used);
}

TEST(ZoneSteering, LastCandidateIsTheLastOneInService) {
  TakeOut({"a"});
  for (std::uint32_t n = 5; n <= 7; ++n) {
    steering.fleet.hosts.at(MakeAgentEndpoint(n)).record.target.state =
        TargetState::kDraining;
  }
  CHECK(Handle(MakeCallerPacket(1, true)).header.is_last_candidate);
}

TEST(ZoneSteering, OpeningIsResetAtOnceWhenNoZoneIsInService) {
  TakeOut({"a", "b"});
  const SteeringAction& action = Handle(MakeCallerPacket(1, true));
  CHECK(action.kind == Kind::kReset);
  CHECK(action.reason == SteeringReason::kZonesOut);
  CHECK(steering.openings.empty());
}

TEST(ZoneSteering, OpeningOfAServiceWithoutTargetKeepsItsReason) {
  TakeOut({"a", "b"});
  steering.fleet.hosts.clear();
  CHECK(Handle(MakeCallerPacket(1, true)).reason == SteeringReason::kNoTarget);
}

TEST(ZoneSteering, RepeatedOpeningOfAnUnconfirmedFlowMovesToAnotherZone) {
  STRCMP_EQUAL("a", FindZone(Handle(MakeCallerPacket(1, true)).to).c_str());
  TakeOut({"a"});
  const SteeringAction& offer = Handle(MakeCallerPacket(1, true));
  CHECK(offer.reason == SteeringReason::kPlaced);
  STRCMP_EQUAL("b", FindZone(offer.to).c_str());
}

TEST(ZoneSteering, ConfirmedFlowStaysInItsZone) {
  const Endpoint agent = Handle(MakeCallerPacket(1, true)).to;
  Confirm(1, agent);
  TakeOut({"a"});
  CHECK(Handle(MakeCallerPacket(1, true)).to == agent);
  const SteeringAction& action = Handle(MakeCallerPacket(1, false));
  CHECK(action.reason == SteeringReason::kKnownFlow);
  CHECK(action.to == agent);
}

// Load pattern: a router change moves an open flow to a balancer that doesn't
// remember it, while the flow's zone is out of service.
TEST(ZoneSteering, FlowSearchAsksAgentsOfAZoneOutOfService) {
  TakeOut({"a"});
  const SteeringAction& query = Handle(MakeCallerPacket(1, false));
  CHECK(query.kind == Kind::kQuery);
  CHECK(std::any_of(query.receivers.begin(), query.receivers.end(),
                    [&](Endpoint it) { return FindZone(it) == "a"; }));
  for (std::uint32_t n = 1; n <= 8; ++n) {
    Confirm(1, MakeAgentEndpoint(2));
  }
  CHECK(Handle(MakeCallerPacket(1, false)).to == MakeAgentEndpoint(2));
}

TEST(ZoneSteering, UnconfirmedOpeningMovesToAnotherZone) {
  Handle(MakeCallerPacket(1, true));
  TakeOut({"a"});
  out.clear();
  OnSteeringTick(steering, kNow + 50ms, out);
  LONGS_EQUAL(1, out.size());
  STRCMP_EQUAL("b", FindZone(out[0].to).c_str());
}

TEST(ZoneSteering, ReturnedOpeningMovesToAnotherZone) {
  const SteeringAction offer = Handle(MakeCallerPacket(1, true));
  TakeOut({"a"});
  STRCMP_EQUAL("b", FindZone(Return(offer, false).to).c_str());
}

// Load pattern: an agent has heard of the order before the balancer.
TEST(ZoneSteering, ReturnOfAnAgentWhoseZoneIsOutExcludesTheZone) {
  const SteeringAction offer = Handle(MakeCallerPacket(1, true));
  STRCMP_EQUAL("a", FindZone(offer.to).c_str());
  const SteeringAction second = Return(offer, true);
  STRCMP_EQUAL("b", FindZone(second.to).c_str());
  CHECK_FALSE(second.header.is_zone_out_of_service);
  const SteeringAction& last = Return(second, true);
  CHECK(last.kind == Kind::kReset);
  CHECK(last.reason == SteeringReason::kZonesOut);
}

TEST(ZoneSteering, StartingBalancerPlacesNothingBeforeItKnowsTheZones) {
  steering.started = kNow;
  steering.expects_zones = true;
  CHECK(MustWaitForZones(steering, kNow));
  const SteeringAction& action = Handle(MakeCallerPacket(1, true));
  CHECK(action.kind == Kind::kDrop);
  CHECK(action.reason == SteeringReason::kNoZonesYet);
  TakeOut({});
  CHECK_FALSE(MustWaitForZones(steering, kNow));
  CHECK(Handle(MakeCallerPacket(1, true)).kind == Kind::kRelay);
}

TEST(ZoneSteering, BalancerThatNobodyTellsTheZonesPlacesAfterItsLearningTime) {
  steering.started = kNow;
  steering.expects_zones = true;
  CHECK_FALSE(
      MustWaitForZones(steering, kNow + steering.options.learning_time));
  steering.expects_zones = false;
  CHECK_FALSE(MustWaitForZones(steering, kNow));
}

TEST_GROUP(ZoneTargetFlows) {
  TargetFlows target{
      .options = {.service = kService, .self = MakeAgentEndpoint(1)},
      .status = {.state = TargetState::kReady, .started_at_ms = 5, .slots = 2},
      .knows_all_flows = true,
      .averaged_at = kNow};
  std::vector<TargetAction> out;
  const std::vector<std::uint8_t> bytes = std::vector<std::uint8_t>(32, 7);

  auto Relay(const FlowPacket& packet)->const TargetAction& {
    out.clear();
    OnRelayedPacket(target,
                    RelayHeader{.origin = {.address = 1, .port = 7000},
                                .service = kService,
                                .is_last_candidate = true},
                    packet, bytes, kNow, out);
    CHECK_FALSE(out.empty());
    return out[0];
  }

  auto Accept(std::uint16_t port)->void {
    OnTargetPacket(
        target,
        FlowPacket{.source = kAddress,
                   .destination = {.address = 0x64400007, .port = port},
                   .is_opening = true,
                   .has_acknowledgement = true,
                   .sequence = 900},
        kNow, out);
  }
};

TEST(ZoneTargetFlows, AgentOfAZoneOutOfServiceReturnsEvenTheLastOpening) {
  target.is_zone_out_of_service = true;
  const TargetAction& action = Relay(MakeCallerPacket(1, true));
  CHECK(action.kind == TargetAction::Kind::kReturnToBalancer);
  CHECK(action.reason == TargetReason::kZoneOut);
  CHECK(action.header.is_zone_out_of_service);
  CHECK(target.flows.empty());
  target.is_zone_out_of_service = false;
  CHECK(Relay(MakeCallerPacket(1, true)).kind == TargetAction::Kind::kDeliver);
}

TEST(ZoneTargetFlows, AcceptedFlowGoesOnInAZoneOutOfService) {
  Relay(MakeCallerPacket(1, true));
  Accept(1);
  target.is_zone_out_of_service = true;
  CHECK(Relay(MakeCallerPacket(1, true)).reason == TargetReason::kDelivered);
  CHECK(Relay(MakeCallerPacket(1, false)).kind == TargetAction::Kind::kDeliver);
}
