#include "transport/event_log.h"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <string>

using namespace hawthornbank;
using namespace hawthornbank::transport;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};

auto MakeFlow(std::uint32_t number) -> FlowKey {
  return {.caller = {.address = 0x0A000000 + number, .port = 40000},
          .address = {.address = 0xC6120001, .port = 443}};
}

}  // namespace

TEST_GROUP(EventLog) {
  std::array<int, 2> ends{};

  void setup() override {
    LONGS_EQUAL(0, ::pipe2(ends.data(), O_NONBLOCK));
  }
  void teardown() override {
    ::close(ends[0]);
    ::close(ends[1]);
  }

  auto ReadLog() const->std::string {
    std::string text(1 << 20U, '\0');
    const auto n = ::read(ends[0], text.data(), text.size());
    text.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
    return text;
  }
};

TEST(EventLog, LineContainsProcessNameKindAndEvent) {
  EventLog log(ends[1], "edge-1");
  log.WriteEvent(EventKind::kFlow, kNow, "flow_placed agent={}", "10.0.0.1:7");
  const std::string text = ReadLog();
  STRCMP_CONTAINS("node=edge-1 kind=flow event=flow_placed agent=10.0.0.1:7\n",
                  text.c_str());
}

TEST(EventLog, EachKindHasItsOwnLimitPerSecond) {
  EventLog log(ends[1], "n");
  for (int n = 0; n < 500; ++n) {
    log.WriteEvent(EventKind::kFlow, kNow, "flow n={}", n);
  }
  LONGS_EQUAL(kMaxLinesPerSecond, log.written_lines());
  LONGS_EQUAL(400, log.counted_events());
  log.WriteEvent(EventKind::kStateChange, kNow, "belief n={}", 1);
  LONGS_EQUAL(kMaxLinesPerSecond + 1, log.written_lines());
  (void)ReadLog();
  log.WriteEvent(EventKind::kFlow, kNow + 1s, "flow n={}", 1);
  STRCMP_CONTAINS(
      "kind=flow event=events_counted name=flow reason=- count=400 first=- "
      "last=- span_ms=1000\n",
      ReadLog().c_str());
}

// Load pattern: after a loss of power 3,000 callers reconnect to a target in
// half a second, and the agent rejects them for three reasons.
TEST(EventLog, BurstOfRejectionsIsAccountedForInEveryTenthOfASecond) {
  constexpr std::array kReasons = {"full", "flow_unknown", "target_gone"};
  EventLog log(ends[1], "n");
  std::string text;
  for (std::uint32_t n = 0; n < 3000; ++n) {
    log.WriteFlowEvent(EventKind::kRefusal, kNow + n * 167us,
                       {.name = "flow_reset",
                        .flow = MakeFlow(n),
                        .reason = kReasons.at(n % kReasons.size())},
                       "born={}", 7);
    text += ReadLog();
  }
  log.WriteCountsIfDue(kNow + 700ms);
  text += ReadLog();
  std::size_t lines = 0;
  std::size_t counted = 0;
  std::size_t summaries = 0;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    const auto count = line.find(" count=");
    if (count == std::string::npos) {
      ++lines;
      continue;
    }
    ++summaries;
    counted += std::stoul(line.substr(count + 7));
  }
  LONGS_EQUAL(kMaxRefusalLinesPerSecond, lines);
  LONGS_EQUAL(3000, lines + counted);
  // One line for each reason and tenth of a second.
  CHECK_COMPARE(summaries, <=, 5 * kReasons.size());
  CHECK_COMPARE(summaries, >=, 4 * kReasons.size());
  const std::string first = "first=" + FormatFlow(MakeFlow(300)) + " last=";
  CHECK(text.find("name=flow_reset reason=full count=") != std::string::npos);
  CHECK(text.find(first) != std::string::npos);
}

TEST(EventLog, RefusalsKeepTheirFlowsForLongerThanOtherDecisions) {
  EventLog log(ends[1], "n");
  for (std::uint32_t n = 0; n < kMaxRefusalLinesPerSecond; ++n) {
    log.WriteFlowEvent(EventKind::kFlow, kNow,
                       {.name = "flow_confirmed", .flow = MakeFlow(n)}, "");
    log.WriteFlowEvent(
        EventKind::kRefusal, kNow,
        {.name = "flow_reset", .flow = MakeFlow(n), .reason = "full"}, "");
  }
  LONGS_EQUAL(kMaxLinesPerSecond + kMaxRefusalLinesPerSecond,
              log.written_lines());
}

// Guards against a wrong placement whose line was left out: openings shared
// their limit with the other lines about flows.
TEST(EventLog, OtherLinesLeaveOutNoOpeningBelowItsLimit) {
  EventLog log(ends[1], "n");
  std::uint32_t formatted = 0;
  for (std::uint32_t n = 0; n < 2 * kMaxOpeningLinesPerSecond; ++n) {
    log.WriteFlowEvent(EventKind::kFlow, kNow,
                       {.name = "flow_confirmed", .flow = MakeFlow(n)}, "");
    log.AppendFlowEvent(
        EventKind::kOpening, kNow,
        {.name = "flow_opened", .flow = MakeFlow(n), .reason = "opened"},
        [&](fmt::memory_buffer&) { ++formatted; });
  }
  LONGS_EQUAL(kMaxOpeningLinesPerSecond, formatted);
  LONGS_EQUAL(kMaxLinesPerSecond + kMaxOpeningLinesPerSecond,
              log.written_lines());
  (void)ReadLog();
  log.WriteCountsIfDue(kNow + kSummaryInterval);
  STRCMP_CONTAINS(
      "kind=opening event=events_counted name=flow_opened "
      "reason=opened count=300 first=10.0.1.44:40000>",
      ReadLog().c_str());
}

TEST(EventLog, NumberOfSeparateCountsIsLimited) {
  EventLog log(ends[1], "n");
  for (std::uint32_t n = 0; n < 1000; ++n) {
    log.WriteEvent(EventKind::kMalformedInput, kNow, "event_{} n=1", n);
  }
  (void)ReadLog();
  log.WriteCountsIfDue(kNow + kSummaryInterval);
  const std::string text = ReadLog();
  LONGS_EQUAL(kMaxEventCounts, std::count(text.begin(), text.end(), '\n'));
  STRCMP_CONTAINS("name=other reason=- count=837 ", text.c_str());
}

// Guards against a log reader that stops for a minute: a blocking write would
// stall the forwarding of packets.
TEST(EventLog, StoppedReaderBlocksNoWriteAndEventsAreCounted) {
  EventLog log(ends[1], "n");
  const std::string value(200, 'x');
  for (int second = 0; second < 60; ++second) {
    for (std::uint32_t n = 0; n < kMaxLinesPerSecond; ++n) {
      log.WriteEvent(EventKind::kFlow, kNow + second * 1s, "flow value={}",
                     value);
    }
  }
  CHECK(log.counted_events() > 0);
  LONGS_EQUAL(60 * kMaxLinesPerSecond,
              log.counted_events() + log.written_lines());
  // The reader resumes: the buffered lines and the counts follow.
  std::string text;
  for (int n = 0; n < 200; ++n) {
    text += ReadLog();
    log.FlushPendingBytes();
    log.WriteEvent(EventKind::kFlow, kNow + 100s + n * 1s, "again n={}", n);
    text += ReadLog();
    if (text.find("again n=") != std::string::npos) {
      STRCMP_CONTAINS("events_counted name=flow ", text.c_str());
      return;
    }
  }
  FAIL("the log wrote no line after the reader resumed");
}
