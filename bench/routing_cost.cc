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
/// Cost of routing a packet whose flow is cached: allocations, bytes, and time
/// relative to a hash lookup.

namespace {

std::size_t allocation_count = 0;

}  // namespace

// The operators aren't inlined: the compiler would report an inlined malloc
// paired with delete, or new paired with an inlined free, as a mismatch.
[[gnu::noinline]] auto operator new(std::size_t size) -> void* {
  ++allocation_count;
  void* const memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

[[gnu::noinline]] auto operator delete(void* memory) noexcept -> void {
  std::free(memory);
}

[[gnu::noinline]] auto operator delete(void* memory, std::size_t) noexcept
    -> void {
  std::free(memory);
}

namespace hawthornbank::bench {
namespace {

constexpr std::uint32_t kFlows = 400'000;
constexpr std::uint32_t kPackets = 2'000'000;
constexpr std::size_t kCacheEntries = 500'000;
constexpr int kRounds = 5;
const Endpoint kServiceAddress{.address = 0x0A000001, .port = 5683};
const TimePoint kNow{std::chrono::seconds{1000}};

auto BuildFlowPackets() -> std::vector<Bytes> {
  std::vector<Bytes> packets;
  packets.reserve(kFlows);
  for (std::uint32_t n = 0; n < kFlows; ++n) {
    packets.push_back(
        BuildUdpPacket({.address = 0x0B000000 + n / 50000,
                        .port = static_cast<std::uint16_t>(1024 + n % 50000)},
                       kServiceAddress, Bytes(8, 0)));
  }
  return packets;
}

auto MakeRoutingTableOfOneService() -> RoutingTable {
  RoutingTable table;
  RoutedService service{.id = ServiceId{1}};
  for (std::uint32_t n = 0; n < 12; ++n) {
    const Endpoint agent{.address = 0x0A010000 + n, .port = 7000};
    service.candidates.push_back(Candidate{
        .id = TargetId{(n + 1) * 0x9E3779B97F4A7C15ULL}, .agent = agent});
    table.live_agents.emplace(agent, TimePoint{});
  }
  table.services.emplace(
      ServiceAddress{.address = kServiceAddress, .transport = Transport::kUdp},
      service);
  return table;
}

// Returns the index of the n-th flow to visit. The stride visits every flow,
// but not two adjacent flows in succession.
auto ComputeIndexOfNthFlow(std::uint32_t n) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::uint64_t{n} * 7919 % kFlows);
}

template <class Step>
auto MeasureNanosecondsPerStep(Step step) -> double {
  double best = 1e9;
  for (int round = 0; round < kRounds; ++round) {
    const auto start = std::chrono::steady_clock::now();
    for (std::uint32_t n = 0; n < kPackets; ++n) {
      step(ComputeIndexOfNthFlow(n));
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
  PrintRow(Row{.bench = "routing",
               .name = "cost",
               .variant = variant,
               .figure = figure,
               .value = value,
               .unit = unit,
               .seed = 1});
}

auto MeasureRoutingCost(bool measures_times) -> int {
  const auto packets = BuildFlowPackets();
  const RoutingTable table = MakeRoutingTableOfOneService();
  FlowCache cache(kCacheEntries);
  Counters counters;
  const BalancerContext context{.last_contact = kNow};
  std::uint64_t checksum = 0;
  const auto route = [&](std::uint32_t flow) {
    const auto decision = RoutePacket(
        table, cache, context, ParsePacket(packets[flow]), kNow, counters);
    checksum += decision.agent.address;
  };
  for (std::uint32_t flow = 0; flow < kFlows; ++flow) {
    route(flow);
  }
  const std::size_t allocations_before = allocation_count;
  const auto hits_before = ReadCounter(counters, Counter::kCacheHits);
  for (std::uint32_t flow = 0; flow < kFlows; ++flow) {
    route(flow);
  }
  PrintFigure("allocations",
              static_cast<double>(allocation_count - allocations_before),
              "allocations");
  PrintFigure("hit_share",
              static_cast<double>(ReadCounter(counters, Counter::kCacheHits) -
                                  hits_before) /
                  kFlows,
              "share");
  PrintFigure("bytes_per_flow", static_cast<double>(FlowCache::GetEntryBytes()),
              "bytes");
  // Routes twice as many flows as the cache can hold: the cache must stay
  // within its capacity, and every packet must still be forwarded.
  std::uint64_t unrouted = 0;
  for (std::uint32_t n = 0; n < 2 * kCacheEntries; ++n) {
    const auto bytes =
        BuildUdpPacket({.address = 0x0C000000 + n / 50000,
                        .port = static_cast<std::uint16_t>(1024 + n % 50000)},
                       kServiceAddress, {});
    const auto decision =
        RoutePacket(table, cache, context, ParsePacket(bytes), kNow, counters);
    unrouted += decision.verdict == RouteVerdict::kForward ? 0 : 1;
  }
  PrintFigure("unrouted_when_full", static_cast<double>(unrouted), "packets");
  PrintFigure("entries_over_capacity",
              static_cast<double>(cache.CountEntries()) /
                  static_cast<double>(cache.GetCapacity()),
              "ratio");
  if (!measures_times) {
    return GetExitCode();
  }
  FlowCache warm_cache(kCacheEntries);
  std::unordered_map<FlowKey, Endpoint> hash_table;
  std::vector<FlowKey> keys;
  for (const auto& it : packets) {
    const auto view = ParsePacket(it);
    keys.push_back(MakeFlowKey(ServiceId{1}, view));
    hash_table.emplace(keys.back(), kServiceAddress);
    warm_cache.InsertOrReplaceOwner(keys.back(),
                                    table.live_agents.begin()->first, kNow);
  }
  const double routing_ns = MeasureNanosecondsPerStep([&](std::uint32_t flow) {
    checksum += RoutePacket(table, warm_cache, context,
                            ParsePacket(packets[flow]), kNow, counters)
                    .agent.address;
  });
  const double lookup_ns = MeasureNanosecondsPerStep([&](std::uint32_t flow) {
    checksum += hash_table.find(keys[flow])->second.port;
  });
  PrintFigure("ns_per_packet", lookup_ns, "ns", "baseline_plain_hash_lookup");
  PrintFigure("ns_per_packet", routing_ns, "ns");
  PrintFigure("ns_per_packet_over_lookup", routing_ns / lookup_ns, "ratio");
  return checksum == 0 ? 1 : GetExitCode();
}

}  // namespace
}  // namespace hawthornbank::bench

// With the argument "counts", used by CI, the program measures only figures
// that don't vary between runs.
auto main(int argc, char** argv) -> int {
  return hawthornbank::bench::MeasureRoutingCost(
      argc < 2 || std::string(argv[1]) != "counts");
}
