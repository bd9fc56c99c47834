#include <CppUTest/TestHarness.h>

#include <array>
#include <utility>

#include "hawthornbank/steering.h"
#include "hawthornbank/target_flows.h"
#include "steering_fixture.h"

/// @file
/// Several balancers and the agents of cold targets, without delays between
/// them: what is served, refused and returned.

using namespace hawthornbank;
using namespace hawthornbank::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kAgents = 12;
constexpr std::uint32_t kBalancers = 3;
constexpr std::uint16_t kLimit = 17;
const TimePoint kStart{std::chrono::seconds{1000}};

}  // namespace

TEST_GROUP(WarmupFleet) {
  std::array<Steering, kBalancers> balancers;
  std::array<TargetFlows, kAgents> agents;
  std::uint32_t next_caller = 1;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  std::uint64_t returned = 0;
  std::uint64_t served_warm = 0;

  void setup() override {
    for (auto& it : balancers) {
      it.started = kStart - 10s;
      SetUpSteering(it, kAgents, kStart);
      it.routes.services[kService] = {.warmup_requests_per_second = kLimit};
    }
    for (std::uint32_t n = 0; n < kAgents; ++n) {
      agents.at(n) = TargetFlows{.options = {.service = kService,
                                             .self = MakeAgentEndpoint(n + 1),
                                             .max_running_per_slot = 1000},
                                 .status = {.state = TargetState::kReady,
                                            .started_at_ms = 500,
                                            .slots = 3},
                                 .knows_all_flows = true,
                                 .averaged_at = kStart};
      SetCold(n, true);
    }
  }

  auto SetCold(std::uint32_t agent, bool cold)->void {
    for (auto& it : balancers) {
      it.fleet.hosts.at(MakeAgentEndpoint(agent + 1)).record.target.cold = cold;
    }
    SetWarmupEnd(agents.at(agent).warmup,
                 cold ? std::nullopt : std::optional(TimePoint{}), kStart);
  }

  // Delivers an offered opening; the target answers it and the request at once.
  auto OfferToAgent(Steering & balancer, const SteeringAction& offer,
                    TimePoint now)
      ->std::vector<SteeringAction> {
    const auto index = offer.to.address - MakeAgentEndpoint(1).address;
    TargetFlows& agent = agents.at(index);
    const FlowPacket opening{.source = offer.flow.caller,
                             .destination = offer.flow.address,
                             .is_opening = true};
    std::vector<TargetAction> actions;
    OnRelayedPacket(agent, offer.header, opening, {}, now, actions);
    std::vector<SteeringAction> next;
    if (actions[0].kind == TargetAction::Kind::kReturnToBalancer) {
      ++returned;
      OnPacketReturnedByAgent(balancer, offer.to, actions[0].header, opening,
                              {}, now, next);
      return next;
    }
    ++served;
    served_warm += agent.warmup.warm_at.has_value() ? 1 : 0;
    OnTargetPacket(agent,
                   FlowPacket{.source = offer.flow.address,
                              .destination = offer.flow.caller,
                              .is_finish = true},
                   now, actions);
    OnFlowReply(balancer,
                FlowReply{.flow = offer.flow,
                          .agent = offer.to,
                          .load = ComputeTargetLoad(agent, now)},
                now, next);
    return next;
  }

  auto SendOpening(Steering & balancer, TimePoint now)->void {
    const FlowPacket opening{.source = {.address = next_caller++, .port = 4000},
                             .destination = kAddress,
                             .is_opening = true};
    std::vector<SteeringAction> actions;
    OnCallerPacket(balancer, opening, {}, now, actions);
    while (!actions.empty() &&
           actions[0].kind == SteeringAction::Kind::kRelay) {
      actions = OfferToAgent(balancer, actions[0], now);
    }
    if (!actions.empty()) {
      ++refused;
      CHECK(actions[0].kind == SteeringAction::Kind::kReset);
    }
  }

  // Sends openings at even intervals for four seconds.
  auto SendOpenings(Duration interval)->void {
    for (TimePoint now = kStart; now < kStart + 4s; now += interval) {
      for (auto& it : balancers) {
        for (auto& [control, host] : it.fleet.hosts) {
          RecordHostContact(host, now);
        }
      }
      SendOpening(balancers.at(next_caller % kBalancers), now);
    }
  }
};

TEST(WarmupFleet, ColdTargetsServeNineTenthsOfTheirLimits) {
  SendOpenings(1ms);
  const double limit = 4.0 * kLimit * kAgents;
  CHECK(static_cast<double>(served) >= 0.9 * limit);
  CHECK(static_cast<double>(served) <= limit);
  LONGS_EQUAL(4000, served + refused);
}

TEST(WarmupFleet, OpeningsAreRarelyReturnedWhileAWarmTargetHasRoom) {
  SetCold(0, false);
  SetCold(1, false);
  SendOpenings(1ms);
  LONGS_EQUAL(0, refused);
  LONGS_EQUAL(4000, served);
  CHECK(static_cast<double>(returned) <= 0.1 * static_cast<double>(served));
  CHECK(served_warm >= 4000 - 4 * kLimit * (kAgents - 2));
}
