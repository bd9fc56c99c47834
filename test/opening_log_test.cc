#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>
#include <vector>

#include "steering_fixture.h"
#include "transport/node_steering_log.h"
#include "transport/node_target_log.h"

using namespace hawthornbank;
using namespace hawthornbank::transport;
using namespace hawthornbank::test;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};
const FlowPacket kOpening{.source = {.address = 0x64420012, .port = 1148},
                          .destination = kAddress,
                          .is_opening = true,
                          .sequence = 4711,
                          .acknowledgement = 1};
constexpr const char* kFlowText = " flow=100.66.0.18:1148>198.18.0.1:443 ";
constexpr std::uint32_t kOtherService = 0xAB;

}  // namespace

TEST_GROUP(OpeningLog) {
  std::array<int, 2> ends{};
  ServiceNames names;
  Steering steering;
  std::vector<SteeringAction> steering_actions;
  TargetFlows target;
  TargetPresence presence{.service = "quote"};
  std::vector<TargetAction> target_actions;

  void setup() override {
    LONGS_EQUAL(0, ::pipe2(ends.data(), O_NONBLOCK));
    SetUpSteering(steering, 1, kNow);
    names.names[kService] = "quote";
    target.options.service = kService;
    presence.id = "t-1";
    presence.last_heartbeat_at = kNow - 250ms;
    presence.status = target.status = {
        .state = TargetState::kReady, .started_at_ms = 5, .slots = 2};
  }
  void teardown() override {
    ::close(ends[0]);
    ::close(ends[1]);
  }

  // Returns the line of an action.
  template <class Write>
  auto ReadLine(const Write& write)->std::string {
    {
      EventLog log(ends[1], "n");
      write(log);
    }
    std::string text(1 << 12U, '\0');
    const auto n = ::read(ends[0], text.data(), text.size());
    text.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
    return text;
  }

  auto LogSteering(const SteeringAction& action,
                   const std::optional<SteeredOpening>& opening)
      ->std::string {
    return ReadLine([&](EventLog& log) {
      LogSteeringAction(log, {.steering = steering, .services = names}, action,
                        opening, kNow);
    });
  }

  auto LogTarget(const TargetAction& action,
                 const std::optional<TargetOpening>& opening)
      ->std::string {
    return ReadLine([&](EventLog& log) {
      LogTargetAction(
          log, {.target = target, .presence = presence, .services = names},
          action, opening, kNow);
    });
  }

  // Returns the line of an opening that a balancer relays to the agent.
  auto RelayToTarget(const RelayHeader& header)->std::string {
    const auto opening = DescribeRelayedOpening(target, header, kOpening);
    target_actions.clear();
    OnRelayedPacket(target, header, kOpening, {}, kNow, target_actions);
    return LogTarget(target_actions.front(), opening);
  }
};

TEST(OpeningLog, PlacedOpeningNamesServiceRecordAndMemory) {
  const auto opening = DescribeCallerOpening(steering, kOpening);
  OnCallerPacket(steering, kOpening, {}, kNow, steering_actions);
  const std::string line = LogSteering(steering_actions.back(), opening);
  STRCMP_CONTAINS("kind=opening event=flow_relayed flow=", line.c_str());
  STRCMP_CONTAINS(kFlowText, line.c_str());
  STRCMP_CONTAINS(
      " reason=placed opening=4711 copy=1 agent=10.1.0.1:7000 service=quote "
      "record=quote incarnation=1 born=5 remembered=no asked=0 score=",
      line.c_str());
  STRCMP_CONTAINS(" version=3\n", line.c_str());
}

// Guards against a report of a request at a service that its route doesn't lead
// to which can't be explained from the balancer's line.
TEST(OpeningLog, OpeningForAnotherServiceThanTheRoutesNamesBoth) {
  steering.fleet.hosts.at(MakeAgentEndpoint(1)).record.service = kOtherService;
  auto opening = DescribeCallerOpening(steering, kOpening);
  opening->remembered = SteeredFlow{.agent = MakeAgentEndpoint(1),
                                    .target_started_at_ms = 4,
                                    .confirmed = true,
                                    .last_used = kNow - 3s};
  SteeringAction action{.kind = SteeringAction::Kind::kRelay,
                        .reason = SteeringReason::kDuplicateOpening,
                        .flow = opening->flow,
                        .to = MakeAgentEndpoint(1),
                        .header = {.service = kOtherService}};
  STRCMP_CONTAINS(
      " reason=repeated opening=4711 copy=1 agent=10.1.0.1:7000 "
      "service=#000000ab route=quote record=#000000ab incarnation=1 born=5 "
      "remembered=confirmed remembered_ms=3000 remembered_born=4 asked=0 "
      "version=3\n",
      LogSteering(action, opening).c_str());
  action.to = MakeAgentEndpoint(9);
  STRCMP_CONTAINS(
      " record=none remembered=confirmed remembered_ms=3000 "
      "remembered_agent=10.1.0.1:7000 ",
      LogSteering(action, opening).c_str());
}

TEST(OpeningLog, RefusedOpeningNamesItsRoute) {
  OnCallerPacket(steering, kOpening, std::vector<std::uint8_t>{1}, kNow,
                 steering_actions);
  steering_actions.clear();
  OnSteeringTick(steering, kNow + kUnresponsiveAfter, steering_actions);
  const SteeringAction& action = steering_actions.back();
  LONGS_EQUAL(1, action.kept.size());  // The opening is decoded for the line.
  const std::string line = LogSteering(action, DescribeStoredOpening(kOpening));
  STRCMP_CONTAINS("kind=refusal event=flow_reset flow=", line.c_str());
  STRCMP_CONTAINS(
      " reason=nobody_took opening=4711 copy=1 route=quote version=3\n",
      line.c_str());
}

TEST(OpeningLog, ConfirmationNamesItsOpening) {
  OnCallerPacket(steering, kOpening, {}, kNow, steering_actions);
  const FlowReply reply{.flow = ExtractCallerFlowKey(kOpening),
                        .agent = MakeAgentEndpoint(1)};
  const auto opening = FindPendingOpening(steering, reply.flow);
  const Duration took =
      OnFlowReply(steering, reply, kNow + 3ms, steering_actions);
  CHECK(!FindPendingOpening(steering, reply.flow).has_value());
  const std::string line = ReadLine([&](EventLog& log) {
    LogConfirmation(log, reply, opening, took, kNow + 3ms);
  });
  STRCMP_CONTAINS(
      "event=flow_confirmed flow=100.66.0.18:1148>198.18.0.1:443 opening=4711 "
      "agent=10.1.0.1:7000 took_us=3000\n",
      line.c_str());
}

TEST(OpeningLog, DroppedOpeningNamesItsRoute) {
  OnCallerPacket(steering, kOpening, std::vector<std::uint8_t>{1}, kNow,
                 steering_actions);
  steering_actions.clear();
  OnSteeringTick(steering, kNow + 1s, steering_actions);
  const SteeringAction& action = steering_actions.back();
  LONGS_EQUAL(1, action.kept.size());
  const std::string line = LogSteering(action, DescribeStoredOpening(kOpening));
  STRCMP_CONTAINS("kind=refusal event=packet_dropped flow=", line.c_str());
  STRCMP_CONTAINS(
      " reason=nobody_took opening=4711 copy=1 route=quote version=3 ",
      line.c_str());
}

TEST(OpeningLog, ReturnAfterTheConfirmationHasALine) {
  const std::string line = ReadLine([&](EventLog& log) {
    LogIgnoredReturn(log, {.steering = steering, .services = names},
                     MakeAgentEndpoint(1), {.service = kService}, kOpening,
                     kNow);
  });
  STRCMP_CONTAINS(kFlowText, line.c_str());
  STRCMP_CONTAINS(
      " reason=settled opening=4711 copy=1 agent=10.1.0.1:7000 service=quote\n",
      line.c_str());
}

TEST(OpeningLog, DeliveredOpeningNamesServicesAndTarget) {
  const RelayHeader header{.origin = {.address = 0x0A000001, .port = 7260},
                           .service = kService};
  const std::string opened = RelayToTarget(header);
  STRCMP_CONTAINS("kind=opening event=flow_opened flow=", opened.c_str());
  STRCMP_CONTAINS(kFlowText, opened.c_str());
  STRCMP_CONTAINS(
      " reason=opened opening=4711 copy=1 service=quote own=quote "
      "from=10.0.0.1:7260 target=t-1 born=5 state=ready heartbeat_ms=250 "
      "known=no asked=0 running=1 slots=2 flows=1 knows_all=false\n",
      opened.c_str());
  // A copy of an accepted flow's opening is delivered whatever its service.
  TargetFlow& flow = target.flows.begin()->second;
  flow.is_accepted = true;
  flow.target_started_at_ms = 4;
  flow.last_packet_at = kNow - 40ms;
  const auto copy = DescribeRelayedOpening(
      target, {.service = kOtherService, .returned_by = {1}}, kOpening);
  const std::string delivered = LogTarget({.kind = TargetAction::Kind::kDeliver,
                                           .reason = TargetReason::kDelivered,
                                           .flow = copy->flow},
                                          copy);
  STRCMP_CONTAINS(" event=opening_delivered flow=", delivered.c_str());
  STRCMP_CONTAINS(
      " reason=delivered opening=4711 copy=1 service=#000000ab "
      "own=quote ",
      delivered.c_str());
  STRCMP_CONTAINS(" known=accepted known_ms=40 known_born=4 asked=1 ",
                  delivered.c_str());
}

TEST(OpeningLog, ReturnedOpeningNamesItsReason) {
  STRCMP_CONTAINS(
      " reason=wrong_service opening=4711 copy=1 "
      "service=#000000ab own=quote ",
      RelayToTarget({.service = kOtherService}).c_str());
  target.status.state = TargetState::kGone;
  STRCMP_CONTAINS(" reason=not_ready opening=4711 ",
                  RelayToTarget({.service = kService}).c_str());
  const TargetAction silent{
      .kind = TargetAction::Kind::kReturnToBalancer,
      .reason = TargetReason::kSilent,
      .flow = ExtractCallerFlowKey(kOpening),
      .header = {.service = kService, .returned_by = {1, 2}}};
  STRCMP_CONTAINS(
      " reason=silent opening=4711 copy=1 service=quote own=quote ",
      LogTarget(silent, DescribeReturnedOpening(silent, kOpening)).c_str());
}

TEST(OpeningLog, IgnoredHeartbeatNamesBothServices) {
  STRCMP_CONTAINS(
      "event=heartbeat_ignored id=t-2 outcome=foreign service=upload own=quote "
      "born=9 seq=3 present_id=t-1 present_born=5 ",
      ReadLine([&](EventLog& log) {
        LogIgnoredHeartbeat(log, presence,
                            {.id = "t-2",
                             .service = "upload",
                             .started_at_ms = 9,
                             .sequence = 3},
                            PresenceOutcome::kForeign, kNow);
      }).c_str());
}

TEST(OpeningLog, ServiceWithoutAKnownNameIsWrittenAsItsHash) {
  const std::uint32_t service = RecordServiceName(names, "up load\n");
  LONGS_EQUAL(static_cast<std::uint32_t>(HashName("up load\n")), service);
  STRCMP_EQUAL("up?load?", FormatService(names, service).c_str());
  LONGS_EQUAL(0, RecordServiceName(names, "up load\n"));
  STRCMP_EQUAL("#000000ab", FormatService(names, kOtherService).c_str());
  STRCMP_EQUAL("-", FormatService(names, 0).c_str());
}

// Guards against a line that shows another time than the one that decided: the
// agent was held up, so the last heartbeat may be older than its receipt.
TEST(OpeningLog, NotHeardOpeningNamesTheTimeThatDecided) {
  presence.heard_at = kNow - 1800ms;
  target.silent_from = kNow - 100ms;
  const std::string line = RelayToTarget({.service = kService});
  STRCMP_CONTAINS(" reason=not_heard ", line.c_str());
  STRCMP_CONTAINS(" state=ready heartbeat_ms=250 heard_ms=1800 known=no",
                  line.c_str());
  target.silent_from = TimePoint::max();
  const std::string opened = RelayToTarget({.service = kService});
  CHECK(opened.find("heard_ms=") == std::string::npos);
}
