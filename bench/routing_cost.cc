#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <new>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/report.h"
#include "hawthornbank/routing.h"

/// @file
/// Cost of a cached packet's decision: allocations, bytes, time as a ratio.

namespace {

std::size_t allocations = 0;

}  // namespace

// Inlined, the pair would look mismatched to the compiler.
[[gnu::noinline]] auto operator new(std::size_t size) -> void* {
  ++allocations;
  void* const place = std::malloc(size);
  if (place == nullptr) {
    throw std::bad_alloc();
  }
  return place;
}

[[gnu::noinline]] auto operator delete(void* place) noexcept -> void {
  std::free(place);
}

[[gnu::noinline]] auto operator delete(void* place, std::size_t) noexcept
    -> void {
  std::free(place);
}

namespace hawthornbank::bench {
namespace {

constexpr std::uint32_t kFlows = 400'000;
constexpr std::uint32_t kPackets = 2'000'000;
constexpr std::size_t kCacheEntries = 500'000;
constexpr int kRounds = 5;
const Endpoint kAddress{.address = 0x0A000001, .port = 5683};
const TimePoint kNow{std::chrono::seconds{1000}};

auto Packets() -> std::vector<Bytes> {
  std::vector<Bytes> packets;
  packets.reserve(kFlows);
  for (std::uint32_t n = 0; n < kFlows; ++n) {
    packets.push_back(
        BuildUdpPacket({.address = 0x0B000000 + n / 50000,
                        .port = static_cast<std::uint16_t>(1024 + n % 50000)},
                       kAddress, Bytes(8, 0)));
  }
  return packets;
}

auto MakeTable() -> RoutingTable {
  RoutingTable table;
  RoutedService service{.id = ServiceId{1}};
  for (std::uint32_t n = 0; n < 12; ++n) {
    const Endpoint agent{.address = 0x0A010000 + n, .port = 7000};
    service.candidates.push_back(Candidate{
        .id = TargetId{(n + 1) * 0x9E3779B97F4A7C15ULL}, .agent = agent});
    table.live_agents.emplace(agent, TimePoint{});
  }
  table.services.emplace(
      ServiceAddress{.address = kAddress, .transport = Transport::kUdp},
      service);
  return table;
}

// A stride that visits every flow and no two neighbours.
auto FlowAt(std::uint32_t n) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::uint64_t{n} * 7919 % kFlows);
}

template <class Step>
auto NanosecondsPerStep(Step step) -> double {
  double best = 1e9;
  for (int round = 0; round < kRounds; ++round) {
    const auto start = std::chrono::steady_clock::now();
    for (std::uint32_t n = 0; n < kPackets; ++n) {
      step(FlowAt(n));
    }
    const std::chrono::duration<double, std::nano> time =
        std::chrono::steady_clock::now() - start;
    best = std::min(best, time.count() / kPackets);
  }
  return best;
}

auto PrintFigure(const std::string& figure,
                 double value,
                 const std::string& unit,
                 const std::string& variant = "hawthornbank") -> void {
  Print(Row{.bench = "routing",
            .name = "cost",
            .variant = variant,
            .figure = figure,
            .value = value,
            .unit = unit,
            .seed = 1});
}

auto Run(bool with_times) -> int {
  const auto packets = Packets();
  const RoutingTable table = MakeTable();
  FlowCache cache(kCacheEntries);
  Counters counters;
  const BalancerContext context{.last_contact = kNow};
  std::uint64_t sum = 0;
  const auto route = [&](std::uint32_t flow) {
    const auto decision = RoutePacket(
        table, cache, context, ParsePacket(packets[flow]), kNow, counters);
    sum += decision.agent.address;
  };
  for (std::uint32_t flow = 0; flow < kFlows; ++flow) {
    route(flow);
  }
  const std::size_t before = allocations;
  const auto hits = ReadCounter(counters, Counter::kCacheHits);
  for (std::uint32_t flow = 0; flow < kFlows; ++flow) {
    route(flow);
  }
  PrintFigure("allocations", static_cast<double>(allocations - before),
              "allocations");
  PrintFigure(
      "hit_share",
      static_cast<double>(ReadCounter(counters, Counter::kCacheHits) - hits) /
          kFlows,
      "share");
  PrintFigure("bytes_per_flow", static_cast<double>(FlowCache::EntryBytes()),
              "bytes");
  // Twice as many flows as fit: the cache stays bounded and every packet goes
  // somewhere all the same.
  std::uint64_t unrouted = 0;
  for (std::uint32_t n = 0; n < 2 * kCacheEntries; ++n) {
    const auto bytes =
        BuildUdpPacket({.address = 0x0C000000 + n / 50000,
                        .port = static_cast<std::uint16_t>(1024 + n % 50000)},
                       kAddress, {});
    const auto decision =
        RoutePacket(table, cache, context, ParsePacket(bytes), kNow, counters);
    unrouted += decision.verdict == RouteVerdict::kForward ? 0 : 1;
  }
  PrintFigure("unrouted_when_full", static_cast<double>(unrouted), "packets");
  PrintFigure(
      "entries_over_capacity",
      static_cast<double>(cache.Size()) / static_cast<double>(cache.Capacity()),
      "ratio");
  if (!with_times) {
    return ExitCode();
  }
  FlowCache warm(kCacheEntries);
  std::unordered_map<FlowKey, Endpoint> plain;
  std::vector<FlowKey> keys;
  for (const auto& it : packets) {
    const auto view = ParsePacket(it);
    keys.push_back(MakeFlowKey(ServiceId{1}, view));
    plain.emplace(keys.back(), kAddress);
    warm.Insert(keys.back(), table.live_agents.begin()->first, kNow);
  }
  const double own = NanosecondsPerStep([&](std::uint32_t flow) {
    sum += RoutePacket(table, warm, context, ParsePacket(packets[flow]), kNow,
                       counters)
               .agent.address;
  });
  const double lookup = NanosecondsPerStep(
      [&](std::uint32_t flow) { sum += plain.find(keys[flow])->second.port; });
  PrintFigure("ns_per_packet", lookup, "ns", "baseline_plain_hash_lookup");
  PrintFigure("ns_per_packet", own, "ns");
  PrintFigure("ns_per_packet_over_lookup", own / lookup, "ratio");
  return sum == 0 ? 1 : ExitCode();
}

}  // namespace
}  // namespace hawthornbank::bench

// With "counts" only what can't vary is measured, for CI.
auto main(int argc, char** argv) -> int {
  return hawthornbank::bench::Run(argc < 2 || std::string(argv[1]) != "counts");
}
