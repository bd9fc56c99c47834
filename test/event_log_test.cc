#include "transport/event_log.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace hawthornbank;
using namespace hawthornbank::transport;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};

}  // namespace

TEST_GROUP(EventLog) {
  std::array<int, 2> ends{};

  void setup() override {
    LONGS_EQUAL(0, ::pipe(ends.data()));
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
  LONGS_EQUAL(400, log.dropped_lines());
  log.WriteEvent(EventKind::kStateChange, kNow, "belief n={}", 1);
  LONGS_EQUAL(kMaxLinesPerSecond + 1, log.written_lines());
  (void)ReadLog();
  log.WriteEvent(EventKind::kFlow, kNow + 1s, "flow n={}", 1);
  STRCMP_CONTAINS("lines_left_out count=400", ReadLog().c_str());
}

// Guards against a log reader that stops for a minute: a blocking write would
// stall the forwarding of packets.
TEST(EventLog, StoppedReaderBlocksNoWriteAndOnlyLosesLines) {
  EventLog log(ends[1], "n");
  const std::string value(200, 'x');
  for (int second = 0; second < 60; ++second) {
    for (std::uint32_t n = 0; n < kMaxLinesPerSecond; ++n) {
      log.WriteEvent(EventKind::kFlow, kNow + second * 1s, "flow value={}",
                     value);
    }
  }
  CHECK(log.dropped_lines() > 0);
  // One extra line per second reports the number of dropped lines.
  CHECK(log.dropped_lines() + log.written_lines() >= 60 * kMaxLinesPerSecond);
  // The reader resumes: the buffered lines and the number of dropped lines
  // follow.
  for (int n = 0; n < 200; ++n) {
    (void)ReadLog();
    log.FlushPendingBytes();
    log.WriteEvent(EventKind::kFlow, kNow + 100s + n * 1s, "again n={}", n);
    if (ReadLog().find("again n=") != std::string::npos) {
      return;
    }
  }
  FAIL("the log wrote no line after the reader resumed");
}
