#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <new>
#include <string>

#include "common/report.h"
#include "transport/node_steering_log.h"
#include "transport/node_target_log.h"

/// @file
/// Cost of the log lines of an opening at a balancer and at an agent, and of
/// its confirmation: processor time with the write to a pipe, bytes, and what
/// an event beyond the limit on lines costs.

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

using transport::EventLog;
using transport::ServiceNames;

constexpr int kRounds = 200;
constexpr std::uint32_t kService = 77;
constexpr std::uint32_t kAgents = 40;
constexpr Endpoint kAddress{.address = 0xC6120001, .port = 8443};
const TimePoint kNow{std::chrono::seconds{1000}};

auto GetProcessorTime() -> std::chrono::nanoseconds {
  timespec time{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return std::chrono::seconds{time.tv_sec} +
         std::chrono::nanoseconds{time.tv_nsec};
}

auto PrintFigure(const std::string& name,
                 const std::string& figure,
                 double value,
                 const std::string& unit) -> void {
  PrintRow(Row{.bench = "opening_log",
               .name = name,
               .figure = figure,
               .value = value,
               .unit = unit,
               .seed = 1});
}

auto MakeOpening(std::uint32_t n) -> FlowPacket {
  return FlowPacket{.source = {.address = 0x64420000 + n,
                               .port = static_cast<std::uint16_t>(1024 + n)},
                    .destination = kAddress,
                    .is_opening = true,
                    .sequence = n * 2654435761U};
}

// Reads what a log has written. Returns the number of bytes.
auto DrainPipe(int descriptor) -> std::size_t {
  std::array<char, 65536> buf{};
  std::size_t total = 0;
  for (;;) {
    const auto n = ::read(descriptor, buf.data(), buf.size());
    if (n <= 0) {
      return total;
    }
    total += static_cast<std::size_t>(n);
  }
}

// Measures `write(log, n, now)`, which logs the n-th opening, within the limit
// of `lines` a second and beyond it.
template <class Write>
auto MeasureLine(const std::string& name,
                 std::uint32_t lines,
                 const Write& write) -> void {
  std::array<int, 2> ends{};
  if (::pipe2(ends.data(), O_NONBLOCK) != 0 ||
      ::fcntl(ends[0], F_SETPIPE_SZ, 1 << 20) < 0) {
    std::abort();
  }
  double line_ns = 1e9;
  double counted_ns = 1e9;
  std::size_t bytes = 0;
  std::size_t allocations = 0;
  {
    EventLog log(ends[1], "edge-bergen-a-1");
    for (int round = 0; round < kRounds; ++round) {
      const TimePoint now = kNow + round * std::chrono::seconds{1};
      log.WriteCountsIfDue(now);
      DrainPipe(ends[0]);
      const auto start = GetProcessorTime();
      for (std::uint32_t n = 0; n < lines; ++n) {
        write(log, n, now);
      }
      const auto middle = GetProcessorTime();
      write(log, 0, now);  // Begins the count.
      const std::size_t allocations_before = allocation_count;
      const auto counted_start = GetProcessorTime();
      for (std::uint32_t n = 0; n < lines; ++n) {
        write(log, n, now);
      }
      const auto end = GetProcessorTime();
      allocations = allocation_count - allocations_before;
      bytes = DrainPipe(ends[0]);
      line_ns = std::min(line_ns,
                         static_cast<double>((middle - start).count()) / lines);
      counted_ns =
          std::min(counted_ns,
                   static_cast<double>((end - counted_start).count()) / lines);
    }
  }
  ::close(ends[0]);
  ::close(ends[1]);
  PrintFigure(name, "ns_per_line", line_ns, "ns");
  PrintFigure(name, "bytes_per_line", static_cast<double>(bytes) / lines,
              "bytes");
  PrintFigure(name, "ns_beyond_limit", counted_ns, "ns");
  PrintFigure(name, "allocations_beyond_limit",
              static_cast<double>(allocations), "allocations");
}

auto MeasureBalancerLine(const ServiceNames& names) -> void {
  Steering steering;
  steering.routes.version = 12;
  steering.routes.routes[kAddress] = Route{.shares = {{.service = kService}}};
  for (std::uint32_t n = 0; n < kAgents; ++n) {
    const Endpoint agent{.address = 0x0A010000 + n, .port = 7280};
    steering.fleet.hosts[agent].record =
        HostRecord{.control = agent,
                   .role = HostRole::kAgent,
                   .service = kService,
                   .incarnation = 1790036980058,
                   .target = {.started_at_ms = 1790036980062}};
  }
  MeasureLine("balancer", transport::kMaxOpeningLinesPerSecond,
              [&](EventLog& log, std::uint32_t n, TimePoint now) {
                const FlowPacket packet = MakeOpening(n);
                const auto opening =
                    transport::DescribeCallerOpening(steering, packet);
                const SteeringAction action{
                    .kind = SteeringAction::Kind::kRelay,
                    .reason = SteeringReason::kPlaced,
                    .flow = opening->flow,
                    .to = {.address = 0x0A010000 + n % kAgents, .port = 7280},
                    .header = {.service = kService}};
                transport::LogSteeringAction(
                    log, {.steering = steering, .services = names}, action,
                    opening, now);
              });
}

auto MeasureAgentLine(const ServiceNames& names) -> void {
  TargetFlows target{.options = {.service = kService},
                     .status = {.state = TargetState::kReady,
                                .started_at_ms = 1790036980062,
                                .slots = 4}};
  TargetPresence presence;
  presence.id = "quote-10-2-0-5-1";
  presence.last_heartbeat_at = kNow - std::chrono::seconds{1};
  MeasureLine("agent", transport::kMaxOpeningLinesPerSecond,
              [&](EventLog& log, std::uint32_t n, TimePoint now) {
                const FlowPacket packet = MakeOpening(n);
                const auto opening = transport::DescribeRelayedOpening(
                    target,
                    {.origin = {.address = 0x0A000003, .port = 7260},
                     .service = kService},
                    packet);
                const TargetAction action{.kind = TargetAction::Kind::kDeliver,
                                          .reason = TargetReason::kOpened,
                                          .flow = opening->flow};
                transport::LogTargetAction(
                    log,
                    {.target = target, .presence = presence, .services = names},
                    action, opening, now);
              });
}

auto MeasureConfirmationLine() -> void {
  MeasureLine(
      "confirmation", transport::kMaxLinesPerSecond,
      [](EventLog& log, std::uint32_t n, TimePoint now) {
        const FlowPacket packet = MakeOpening(n);
        const FlowReply reply{
            .flow = ExtractCallerFlowKey(packet),
            .agent = {.address = 0x0A010000 + n % kAgents, .port = 7280}};
        transport::LogConfirmation(log, reply, packet.sequence,
                                   std::chrono::microseconds{830}, now);
      });
}

}  // namespace
}  // namespace hawthornbank::bench

auto main() -> int {
  const hawthornbank::transport::ServiceNames names{
      .names = {{hawthornbank::bench::kService, "quote"}}};
  hawthornbank::bench::MeasureBalancerLine(names);
  hawthornbank::bench::MeasureAgentLine(names);
  hawthornbank::bench::MeasureConfirmationLine();
  return hawthornbank::bench::GetExitCode();
}
