// Processes stop, crash and start in any order, clocks step, and messages are
// late, repeated or lost.

#include <CppUTest/TestHarness.h>

#include "restart_world.h"

using namespace hawthornbank;
using namespace hawthornbank::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration kStep = 10ms;

struct RandomRestarts : RestartWorld {
  using RestartWorld::RestartWorld;

  // In bursts, targets are replaced, then balancers and agents restart; clocks
  // step all the time.
  auto CauseEvent() -> void {
    const Duration phase = (now - kBegin) % 30s;
    const Endpoint agent = MakeAgentEndpoint(1 + Draw(kAgents));
    const Endpoint balancer = MakeBalancerEndpoint(1 + Draw(kBalancers));
    if (Draw(4) == 0) {
      processes[Draw(3) == 0 ? balancer : agent].clock_step =
          1ms * (static_cast<int>(Draw(6000)) - 3000);
    }
    if (phase < 6s) {
      StartTarget(agent.address & 0xFF);
    } else if (phase < 20s) {
      Stop(Draw(4) == 0 ? balancer : agent, Draw(5) == 0);
    }
  }

  auto RunStep() -> void {
    now += kStep;
    while (!network.empty() && network.begin()->first <= now) {
      const Datagram datagram = network.extract(network.begin()).mapped();
      Process& to = processes[datagram.to];
      if (!to.up) {
        continue;
      }
      if (const auto* it = std::get_if<RelayedPacket>(&datagram.content)) {
        OnRelayed(to, datagram.from, *it);
      } else {
        OnMessage(to, datagram.from, std::get<NodeMessage>(datagram.content));
      }
    }
    for (auto& [control, it] : processes) {
      RunProcess(control, it);
    }
    for (auto& [n, it] : targets) {
      if (now >= it.next_heartbeat) {
        SendTargetHeartbeat(n, it);
      }
    }
    if (Draw(40) == 0) {
      CauseEvent();
    }
    if (Draw(15) == 0) {
      SendCallerPacket(next_port, callers[next_port]);
      ++next_port;
    }
    for (const auto& [port, it] : std::map(callers)) {
      if (Draw(25) == 0 && callers.contains(port)) {
        SendCallerPacket(port, callers[port]);
      }
    }
  }

  auto RunProcess(Endpoint control, Process& it) -> void {
    if (!it.up) {
      if (now >= it.restart_at) {
        Start(control);
      }
      return;
    }
    if (now >= it.next_heartbeat) {
      SendHeartbeats(it);
    }
    if (it.steering) {
      std::vector<SteeringAction> out;
      OnSteeringTick(*it.steering, now, out);
      Perform(control, out, {});
    } else {
      std::vector<TargetAction> out;
      OnTargetTick(*it.flows, now, out);
      Perform(control, out, {});
    }
  }
};

}  // namespace

TEST_GROUP(RestartOrder){};

TEST(RestartOrder, NoOrderOfRestartsResetsAnOpenFlowOfALiveTarget) {
  int carried = 0;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    RandomRestarts world(seed);
    for (int n = 0; n < 9000; ++n) {
      world.RunStep();
    }
    STRCMP_EQUAL_TEXT("", world.wrong_resets.c_str(),
                      ("seed " + std::to_string(seed)).c_str());
    carried += world.carried;
  }
  CHECK(carried > 10'000);
}
