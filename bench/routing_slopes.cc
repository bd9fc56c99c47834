#include <cstdint>
#include <iostream>

#include "common/report.h"
#include "common/routing_world.h"
#include "protocol/message.h"

/// @file
/// Control messages of routing by size, for docs/CAPACITY.md.

namespace hawthornbank::bench {
namespace {

constexpr std::uint32_t kFlowsPerTarget = 100;
constexpr int kPacketsPerFlow = 20;
constexpr std::uint64_t kSeed = 1;
/// IPv4 and UDP headers.
constexpr double kDatagramOverhead = 28;

struct Size {
  std::uint32_t balancers;
  std::uint32_t targets;
};

auto PrintFigure(const Size& size,
                 const char* figure,
                 double value,
                 const char* unit) -> void {
  Print(Row{.bench = "routing",
            .name = "slopes_" + std::to_string(size.balancers) + "_" +
                    std::to_string(size.targets),
            .figure = figure,
            .value = value,
            .unit = unit,
            .seed = kSeed});
}

auto CountAll(RoutingWorld& world, Counter counter) -> double {
  double sum = 0;
  for (std::uint32_t n = 0; n < world.target_count(); ++n) {
    sum += static_cast<double>(ReadCounter(world.agent(n).counters, counter));
  }
  return sum;
}

auto RunSize(const Size& size) -> void {
  RoutingWorld world({.balancers = size.balancers,
                      .targets = size.targets,
                      .duplicate_openings = 0.01,
                      .seed = kSeed});
  auto& network = world.network();
  const std::uint32_t flows = size.targets * kFlowsPerTarget;
  const TimePoint start = network.now();
  constexpr Duration kTime = std::chrono::seconds{20};
  for (std::uint32_t n = 0; n < flows; ++n) {
    network.At(start + kTime * n / flows, [&world]() { world.OpenFlow(); });
  }
  for (int n = 0; n < 20; ++n) {
    network.At(start + std::chrono::seconds{n}, [&world]() {
      world.SpreadMeanConnections(std::chrono::seconds{1});
    });
  }
  network.RunUntil(start + kTime + std::chrono::seconds{1});
  world.KeepTalking(std::chrono::seconds{1},
                    network.now() + std::chrono::seconds{kPacketsPerFlow});
  network.RunUntil(network.now() + std::chrono::seconds{kPacketsPerFlow + 1});
  PrintFigure(size, "hints_per_flow",
              CountAll(world, Counter::kHintsSent) / flows, "messages");
  PrintFigure(size, "pointers_per_flow",
              CountAll(world, Counter::kPointersSent) / flows, "messages");
  PrintFigure(size, "packets_passed_per_flow",
              CountAll(world, Counter::kPacketsPassed) / flows, "packets");
  PrintFigure(size, "extra_hops", world.ExtraHopShare(), "share");
  PrintFigure(size, "broken_flows", static_cast<double>(world.BrokenFlows()),
              "flows");
}

auto Run() -> int {
  const auto keys = DeriveKeyRing(std::string(64, 'a'), "");
  const auto bytes = [&keys](const Message& message) {
    return static_cast<double>(EncodeMessage(message, keys).size()) +
           kDatagramOverhead;
  };
  const Size none{0, 0};
  PrintFigure(none, "hint_bytes", bytes(FlowHint{}), "bytes");
  PrintFigure(none, "pointer_bytes", bytes(FlowPointerUpdate{}), "bytes");
  PrintFigure(none, "pointer_ack_bytes", bytes(FlowPointerAck{}), "bytes");
  PrintFigure(none, "owned_flow_bytes",
              sizeof(std::pair<const FlowKey, OwnedFlow>) + 2 * sizeof(void*),
              "bytes");
  PrintFigure(none, "pointer_entry_bytes",
              sizeof(std::pair<const FlowKey, FlowPointer>) + 2 * sizeof(void*),
              "bytes");
  for (const auto& it : {Size{3, 11}, Size{12, 11}, Size{47, 11}, Size{120, 11},
                         Size{3, 7}, Size{3, 30}, Size{3, 120}, Size{3, 460}}) {
    RunSize(it);
  }
  return ExitCode();
}

}  // namespace
}  // namespace hawthornbank::bench

auto main() -> int {
  return hawthornbank::bench::Run();
}
