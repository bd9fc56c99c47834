#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "hawthornbank/error.h"
#include "soak/timeline.h"

using namespace hawthornbank;
using namespace hawthornbank::soak;
using namespace std::chrono_literals;

namespace {

const FlowKey kFlow{.caller = {.address = 0x7F0007FA, .port = 10033},
                    .address = {.address = 0xC6120001, .port = 443}};

auto MakePacket(std::int64_t time_ms, std::uint32_t opening) -> CallerPacket {
  return {.time_ms = time_ms,
          .caller = kFlow.caller,
          .route = kFlow.address,
          .opening_sequence = opening,
          .what = "opening",
          .copy = 1,
          .balancer = 2,
          .is_sent = true,
          .is_lost = true};
}

}  // namespace

TEST_GROUP(SoakTimeline) {
  std::filesystem::path path =
      std::filesystem::temp_directory_path() /
      ("soak-timeline-" + std::to_string(::getpid()) + ".log");
  InvariantChecker checker;
  CallerPackets packets;
  std::vector<std::string> events = {"2.50 kill_agent \"x\""};

  void setup() override {
    checker.started = TimePoint{1000s};
  }
  void teardown() override {
    std::filesystem::remove(path);
  }

  // Writes the soak's log and returns the timelines from this log alone.
  auto Print() const->std::string {
    WriteSoakLog(path, {.checker = checker,
                        .packets = packets,
                        .events = events,
                        .clock_offset = 1'700'000'000'000ms});
    std::ostringstream out;
    PrintTimelines(out, checker, {path});
    return out.str();
  }
};

TEST(SoakTimeline, ViolationShowsPacketsAndFaults) {
  RecordCallerPacket(packets, MakePacket(1'700'001'003'000, 7));
  RecordCallerPacket(packets, MakePacket(1'700'001'003'100, 8));
  checker.violations = {{.invariant = "broken flow",
                         .detail = "seen",
                         .at = TimePoint{1003200ms},
                         .flow = kFlow,
                         .opening_sequence = 7},
                        {.invariant = "grace", .detail = "without a flow"}};
  const std::string text = Print();
  STRCMP_CONTAINS("violation: broken flow: seen\n", text.c_str());
  STRCMP_CONTAINS("   -0.500 t=1700001002500 soak *** kill_agent 'x'\n",
                  text.c_str());
  STRCMP_CONTAINS(
      "*    +0.000 t=1700001003000 callers sent opening (copy 1) "
      "to balancer-2, lost on the way\n",
      text.c_str());
  CHECK(text.find("t=1700001003100") == std::string::npos);
  STRCMP_CONTAINS(
      "*    +0.200 t=1700001003200 soak *** BROKEN broken_flow: "
      "seen\n",
      text.c_str());
  STRCMP_CONTAINS("  broken_flow is broken: seen\n", text.c_str());
  CHECK(text.find("without a flow") == std::string::npos);
}

TEST(SoakTimeline, TimelinesAndPacketsAreBounded) {
  for (std::size_t n = 0; n < kMaxCallerPackets + 3; ++n) {
    RecordCallerPacket(packets, {.time_ms = static_cast<std::int64_t>(n)});
  }
  LONGS_EQUAL(kMaxCallerPackets, packets.packets.size());
  LONGS_EQUAL(3, packets.packets.front().time_ms);
  for (std::uint32_t n = 1; n <= 2 * kMaxPrintedTimelines; ++n) {
    checker.violations.push_back(
        {.invariant = "ROUTE", .flow = kFlow, .opening_sequence = n});
    checker.violations.push_back(checker.violations.back());
  }
  const std::string text = Print();
  STRCMP_CONTAINS("\n10 further timelines aren't shown", text.c_str());
  path = "/nonexistent/soak.log";
  CHECK_THROWS(Error, Print());
}
