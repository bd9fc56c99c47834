#include <CppUTest/TestHarness.h>

#include <set>

#include "hawthornbank/steering.h"
#include "steering_fixture.h"

/// @file
/// Openings that a balancer places while targets are at the limit of their
/// warm-ups.

using namespace hawthornbank;
using namespace hawthornbank::test;
using namespace std::chrono_literals;

namespace {

using Kind = SteeringAction::Kind;

constexpr std::uint32_t kAgents = 12;
const TimePoint kStart{std::chrono::seconds{1000}};
const TimePoint kNow = kStart + 10s;

auto MakeOpening(std::uint16_t port) -> FlowPacket {
  return FlowPacket{.source = {.address = 0x64400007, .port = port},
                    .destination = kAddress,
                    .is_opening = true};
}

}  // namespace

TEST_GROUP(WarmupSteering) {
  Steering steering{.started = kStart};
  std::vector<SteeringAction> out;
  const std::vector<std::uint8_t> bytes = std::vector<std::uint8_t>(32, 7);

  void setup() override {
    steering.fleet.self = {.control = {.address = 0x0A000001, .port = 7000},
                           .zone = "a",
                           .incarnation = 1};
    steering.routes.version = 3;
    steering.routes.routes[kAddress] = Route{.shares = {{.service = kService}}};
    for (std::uint32_t n = 1; n <= kAgents; ++n) {
      MergeAgent(n, true);
    }
  }

  auto MergeAgent(std::uint32_t n, bool cold)->void {
    MergeHostRecord(steering.fleet,
                    HostRecord{.control = MakeAgentEndpoint(n),
                               .role = HostRole::kAgent,
                               .service = kService,
                               .zone = "a",
                               .incarnation = 1,
                               .revision = cold ? 1U : 2U,
                               .target = {.state = TargetState::kReady,
                                          .started_at_ms = 500,
                                          .slots = 3,
                                          .cold = cold}},
                    0s, kNow);
  }

  auto GetHost(std::uint32_t n)->KnownHost& {
    return steering.fleet.hosts.at(MakeAgentEndpoint(n));
  }

  auto SendOpening(std::uint16_t port, TimePoint now)->SteeringAction {
    out.clear();
    OnCallerPacket(steering, MakeOpening(port), bytes, now, out);
    LONGS_EQUAL(1, out.size());
    return out[0];
  }

  auto ReturnOpening(const SteeringAction& action, std::uint16_t port,
                     TimePoint now)
      ->SteeringAction {
    RelayHeader header = action.header;
    header.is_returned = true;
    header.is_at_warmup_limit = true;
    header.returned_by.push_back(action.to.address);
    out.clear();
    OnPacketReturnedByAgent(steering, action.to, header, MakeOpening(port),
                            bytes, now, out);
    LONGS_EQUAL(1, out.size());
    return out[0];
  }

  // Returns the opening at each target; gives the number of offers.
  auto ReturnAtAllTargets(std::uint16_t port, TimePoint now)->int {
    SteeringAction action = SendOpening(port, now);
    int offers = 0;
    while (action.kind == Kind::kRelay) {
      ++offers;
      action = ReturnOpening(action, port, now);
    }
    CHECK(action.kind == Kind::kReset);
    CHECK(action.reason == SteeringReason::kWarmupLimit);
    return offers;
  }
};

TEST(WarmupSteering, WarmTargetIsNextAfterAReturnAtTheLimit) {
  MergeAgent(7, false);
  RecordTargetLoad(GetHost(7), {.running = 4, .mean_in_flight_x16 = 64}, kNow);
  const auto first = SendOpening(1, kNow);
  CHECK_FALSE(first.to == MakeAgentEndpoint(7));
  const auto second = ReturnOpening(first, 1, kNow + 5ms);
  CHECK(second.kind == Kind::kRelay);
  CHECK(second.to == MakeAgentEndpoint(7));
}

TEST(WarmupSteering, TargetAtItsLimitIsAvoidedWhileOthersHaveRoom) {
  const auto first = SendOpening(1, kNow);
  ReturnOpening(first, 1, kNow);
  for (std::uint16_t port = 2; port < 200; ++port) {
    CHECK_FALSE(SendOpening(port, kNow + 390ms).to == first.to);
  }
  std::set<std::uint32_t> used;
  for (std::uint16_t port = 200; port < 400; ++port) {
    used.insert(SendOpening(port, kNow + 401ms).to.address);
  }
  CHECK(used.contains(first.to.address));
}

TEST(WarmupSteering, TargetAtItsLimitIsTriedAgainSoonWhenNoneHasRoom) {
  for (std::uint32_t n = 1; n <= kAgents; ++n) {
    GetHost(n).warmup_limited_at = kNow;
  }
  CHECK(SendOpening(1, kNow + 90ms).kind == Kind::kReset);
  CHECK(SendOpening(2, kNow + 101ms).kind == Kind::kRelay);
}

TEST(WarmupSteering, ReportedRoomIsntExceeded) {
  for (std::uint32_t n = 1; n <= kAgents; ++n) {
    RecordTargetLoad(GetHost(n), {.openings_left = 2}, kNow);
  }
  for (std::uint16_t port = 1; port <= 2 * kAgents; ++port) {
    CHECK(SendOpening(port, kNow).kind == Kind::kRelay);
  }
  for (std::uint32_t n = 1; n <= kAgents; ++n) {
    LONGS_EQUAL(2, GetHost(n).openings_since_load);
  }
  CHECK(SendOpening(99, kNow).reason == SteeringReason::kWarmupLimit);
}

TEST(WarmupSteering, CallerIsResetAtOnceWhenAllTargetsAreAtTheirLimits) {
  // The first openings find out; later ones aren't offered to anyone.
  LONGS_EQUAL(8, ReturnAtAllTargets(1, kNow));
  LONGS_EQUAL(4, ReturnAtAllTargets(2, kNow));
  LONGS_EQUAL(0, ReturnAtAllTargets(3, kNow));
  CHECK(steering.openings.empty());
  CHECK(steering.flows.empty());
  // Also by a balancer that has just started.
  steering.started = kNow;
  LONGS_EQUAL(0, ReturnAtAllTargets(4, kNow));
}

TEST(WarmupSteering, UnreachableTargetsAreNoSubstituteForThoseAtTheirLimits) {
  for (std::uint32_t n = 1; n <= kAgents; ++n) {
    if (n % 2 == 0) {
      MarkHostSuspected(GetHost(n), kNow);
    } else {
      GetHost(n).warmup_limited_at = kNow;
    }
  }
  CHECK(SendOpening(1, kNow).reason == SteeringReason::kWarmupLimit);
}

TEST(WarmupSteering, ReportWithRoomEndsTheTimeAtTheLimit) {
  GetHost(1).warmup_limited_at = kNow;
  CHECK(IsAtWarmupLimit(GetHost(1), kWarmupLimitRetryTime, kNow));
  RecordTargetLoad(GetHost(1), {.openings_left = 1}, kNow);
  CHECK_FALSE(IsAtWarmupLimit(GetHost(1), kWarmupLimitRetryTime, kNow));
  RecordTargetLoad(GetHost(1), {.openings_left = 0}, kNow);
  CHECK(IsAtWarmupLimit(GetHost(1), kWarmupLimitRetryTime, kNow));
  CHECK_FALSE(IsAtWarmupLimit(GetHost(1), kWarmupLimitRetryTime,
                              kNow + kWarmupLimitRetryTime));
  RecordTargetLoad(GetHost(1), {}, kNow);
  CHECK_FALSE(IsAtWarmupLimit(GetHost(1), kWarmupLimitRetryTime, kNow));
}

TEST(WarmupSteering, OnlyTargetBelowItsLimitIsTheLastCandidate) {
  for (std::uint32_t n = 2; n <= kAgents; ++n) {
    GetHost(n).warmup_limited_at = kNow;
  }
  const auto action = SendOpening(1, kNow);
  CHECK(action.to == MakeAgentEndpoint(1));
  CHECK(action.header.is_last_candidate);
}
