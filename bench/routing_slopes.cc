#include <cstdint>
#include <iostream>

#include "common/report.h"
#include "common/routing_world.h"
#include "protocol/message.h"

/// @file
/// Routing control messages per flow for several numbers of balancers and
/// targets, and the sizes of the messages, for docs/CAPACITY.md.

namespace hawthornbank::bench {
namespace {

constexpr std::uint32_t kFlowsPerTarget = 100;
constexpr int kPacketsPerFlow = 20;
constexpr std::uint64_t kSeed = 1;
/// Size of the IPv4 and UDP headers.
constexpr double kDatagramHeaderBytes = 28;

struct WorldSize {
  std::uint32_t balancers;
  std::uint32_t targets;
};

auto PrintFigure(const WorldSize& size,
                 const char* figure,
                 double value,
                 const char* unit) -> void {
  PrintRow(Row{.bench = "routing",
               .name = "slopes_" + std::to_string(size.balancers) + "_" +
                       std::to_string(size.targets),
               .figure = figure,
               .value = value,
               .unit = unit,
               .seed = kSeed});
}

auto SumAgentCounters(RoutingWorld& world, Counter counter) -> double {
  double sum = 0;
  for (std::uint32_t n = 0; n < world.CountAllTargets(); ++n) {
    sum += static_cast<double>(
        ReadCounter(world.GetAgentOfTarget(n).counters, counter));
  }
  return sum;
}

auto MeasureMessagesPerFlow(const WorldSize& size) -> void {
  RoutingWorld world({.balancers = size.balancers,
                      .targets = size.targets,
                      .duplicate_openings = 0.01,
                      .seed = kSeed});
  auto& network = world.network();
  const std::uint32_t flows = size.targets * kFlowsPerTarget;
  const TimePoint start = network.now();
  constexpr Duration kOpeningTime = std::chrono::seconds{20};
  for (std::uint32_t n = 0; n < flows; ++n) {
    network.ScheduleAction(start + kOpeningTime * n / flows,
                           [&world]() { world.OpenFlow(); });
  }
  for (int n = 0; n < 20; ++n) {
    network.ScheduleAction(start + std::chrono::seconds{n}, [&world]() {
      world.SendMeanConnectionsToAgents(std::chrono::seconds{1});
    });
  }
  network.RunUntil(start + kOpeningTime + std::chrono::seconds{1});
  world.SchedulePacketsOfAllFlows(
      std::chrono::seconds{1},
      network.now() + std::chrono::seconds{kPacketsPerFlow});
  network.RunUntil(network.now() + std::chrono::seconds{kPacketsPerFlow + 1});
  PrintFigure(size, "hints_per_flow",
              SumAgentCounters(world, Counter::kHintsSent) / flows, "messages");
  PrintFigure(size, "pointers_per_flow",
              SumAgentCounters(world, Counter::kPointersSent) / flows,
              "messages");
  PrintFigure(size, "packets_passed_per_flow",
              SumAgentCounters(world, Counter::kPacketsPassed) / flows,
              "packets");
  PrintFigure(size, "extra_hops", world.ComputeExtraHopShare(), "share");
  PrintFigure(size, "broken_flows",
              static_cast<double>(world.CountBrokenFlows()), "flows");
}

auto MeasureControlMessages() -> int {
  const auto keys = DeriveKeyRing(std::string(64, 'a'), "");
  const auto bytes = [&keys](const Message& message) {
    return static_cast<double>(EncodeMessage(message, keys).size()) +
           kDatagramHeaderBytes;
  };
  const WorldSize no_world{0, 0};
  PrintFigure(no_world, "hint_bytes", bytes(FlowHint{}), "bytes");
  PrintFigure(no_world, "pointer_bytes", bytes(FlowPointerUpdate{}), "bytes");
  PrintFigure(no_world, "pointer_ack_bytes", bytes(FlowPointerAck{}), "bytes");
  PrintFigure(no_world, "owned_flow_bytes",
              sizeof(std::pair<const FlowKey, OwnedFlow>) + 2 * sizeof(void*),
              "bytes");
  PrintFigure(no_world, "pointer_entry_bytes",
              sizeof(std::pair<const FlowKey, FlowPointer>) + 2 * sizeof(void*),
              "bytes");
  for (const auto& it : {WorldSize{3, 11}, WorldSize{12, 11}, WorldSize{47, 11},
                         WorldSize{120, 11}, WorldSize{3, 7}, WorldSize{3, 30},
                         WorldSize{3, 120}, WorldSize{3, 460}}) {
    MeasureMessagesPerFlow(it);
  }
  return GetExitCode();
}

}  // namespace
}  // namespace hawthornbank::bench

auto main() -> int {
  return hawthornbank::bench::MeasureControlMessages();
}
