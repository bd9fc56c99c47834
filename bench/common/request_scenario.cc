#include "common/request_scenario.h"

#include <chrono>
#include <cmath>
#include <utility>

#include "common/request_world.h"

namespace hawthornbank::bench {
namespace request_world {
namespace {

auto ScheduleAllCalls(World& world) -> void {
  const double rate =
      ComputeCapacityPerSecond(world.scenario) * world.scenario.load;
  double seconds_from_start = 0;
  const double end = std::chrono::duration<double>{world.scenario.end}.count();
  for (std::uint64_t n = 0;; ++n) {
    seconds_from_start +=
        -std::log(1 - DrawRandomFraction(world.net.random())) / rate;
    if (seconds_from_start >= end) {
      return;
    }
    const auto call_time = TimePoint{std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>{seconds_from_start})};
    world.net.ScheduleAction(call_time, [&world, n] { StartCall(world, n); });
  }
}

auto MakeTargetHost(World& world, std::size_t n)
    -> std::unique_ptr<TargetHost> {
  auto target = std::make_unique<TargetHost>();
  target->host = n + 1;
  target->kind = world.scenario.gate;
  target->options.gate.target = TargetId{n + 1};
  target->options.token_keys = {{1, 2, 3}};
  target->options.has_double_weight =
      world.scenario.permits && world.scenario.prefer_permits;
  target->service_time = world.scenario.service_time;
  target->options.forwards_to_other_targets = true;
  target->ignores_cancel = world.scenario.targets_ignore_cancel;
  target->separate_answers = world.scenario.separate_answers;
  target->runs = &world.runs;
  target->forward_to_target = [&world, host = target->host](
                                  TargetId other, const FlowKey& flow,
                                  std::vector<std::uint8_t> bytes) {
    auto* next = world.targets.at(ToInteger(other) - 1).get();
    world.net.SendMessage(
        host, next->host, [&world, next, flow, bytes = std::move(bytes)] {
          DeliverDatagramToTarget(*next, world.net, flow, bytes);
        });
  };
  target->send_to_caller = [&world, host = target->host](
                               const FlowKey& flow,
                               std::vector<std::uint8_t> bytes) {
    RecordWhetherReplyIsImmediate(world, bytes);
    const auto caller = kFirstCallerHost + (flow.caller.address & 0xFFFFU);
    auto* sender = world.targets.at(host - 1).get();
    SendDatagramWithCopies(world, host, caller,
                           [&world, sender, flow, bytes = std::move(bytes)] {
                             AcknowledgeReply(world, *sender, flow, bytes);
                             HandleReplyAtCaller(world, bytes);
                           });
  };
  return target;
}

}  // namespace

auto SendDatagramWithCopies(World& world,
                            std::uint64_t from,
                            std::uint64_t to,
                            const std::function<void()>& deliver) -> void {
  world.net.SendMessage(from, to, deliver);
  const auto& scenario = world.scenario;
  if (scenario.copy_share == 0 ||
      DrawRandomFraction(world.net.random()) >= scenario.copy_share) {
    return;
  }
  for (std::size_t n = 0; n < scenario.copies; ++n) {
    const auto delay = static_cast<Duration::rep>(
        DrawRandomFraction(world.net.random()) *
        static_cast<double>(scenario.copy_delay.count()));
    world.net.ScheduleAction(world.net.now() + Duration{delay},
                             [&world, from, to, deliver] {
                               world.net.SendMessage(from, to, deliver);
                             });
  }
}

namespace {

// Creates a scenario's targets and callers, runs the scenario and computes its
// figures.
auto RunScenarioInNewWorld(const RequestScenario& scenario) -> RequestResult {
  using std::chrono::seconds;
  World world{scenario};
  world.net.SetLinkRule(
      [&scenario](std::uint64_t, std::uint64_t) { return scenario.link; });
  world.callers.resize(scenario.callers);
  for (auto& caller : world.callers) {
    caller.next_id = static_cast<std::uint16_t>(world.net.random()());
  }
  const auto length = static_cast<std::size_t>(scenario.end.count());
  world.offered_by_second.resize(length);
  world.served_by_second.resize(length);
  world.result.succeeded_by_second.resize(length);
  for (std::size_t n = 0; n < scenario.targets; ++n) {
    world.targets.push_back(MakeTargetHost(world, n));
    StartTargetHost(*world.targets.back(), world.net);
  }
  ScheduleAllCalls(world);
  if (scenario.faults) {
    scenario.faults(world.net, world.targets);
  }
  constexpr seconds kSettlingTime{20};
  world.net.RunUntil(TimePoint{scenario.end + kSettlingTime});
  CountRepeatedAndMisreportedRuns(world);
  ComputeResultRatios(world);
  world.result.runs = std::move(world.runs);
  return world.result;
}

}  // namespace
}  // namespace request_world

auto RunRequestScenario(const RequestScenario& scenario) -> RequestResult {
  return request_world::RunScenarioInNewWorld(scenario);
}

}  // namespace hawthornbank::bench
