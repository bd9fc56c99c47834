#include "transport/logging.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "hawthornbank/error.h"

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace hawthornbank;
using namespace hawthornbank::transport;

namespace {

// The log library keeps its loggers until the process ends, which CppUTest's
// leak detector reports as leaks. The leak sanitizer, which sees that the
// loggers are reachable, checks for leaks in the asan build.
[[maybe_unused]] const bool kLeakDetectorOff = [] {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return true;
}();

/// Captures standard error during its lifetime.
class StderrCapture {
 public:
  StderrCapture() : before_(std::cerr.rdbuf(text_.rdbuf())) {}
  ~StderrCapture() { std::cerr.rdbuf(before_); }
  [[nodiscard]] auto GetCapturedText() const -> std::string {
    return text_.str();
  }

 private:
  std::ostringstream text_;
  std::streambuf* before_;
};

}  // namespace

TEST_GROUP(Logging){};

TEST(Logging, TextLayoutHasKeysAndQuotedValues) {
  InitialiseLogging("info", "text");
  const StderrCapture capture;
  LogEvent(Layer::kState, LogLevel::kWarn, "flow_reset",
           {{"flow", "17"}, {"reason", "no owner"}, {"note", ""}});
  const std::string text = capture.GetCapturedText();
  CHECK(text.starts_with("time="));
  CHECK(text.find("Z level=WARN layer=state event=flow_reset flow=17 "
                  "reason=\"no owner\" note=\"\"\n") != std::string::npos);
}

TEST(Logging, JsonLayoutWritesOneObjectPerLine) {
  InitialiseLogging("info", "json");
  const StderrCapture capture;
  LogEvent(Layer::kProtocol, LogLevel::kError, "refused",
           {{"reason", "a\"b\n\xFF"}, {"kind", "malformed"}});
  const auto value = nlohmann::json::parse(capture.GetCapturedText());
  STRCMP_EQUAL("ERROR", value.at("level").get<std::string>().c_str());
  STRCMP_EQUAL("protocol", value.at("layer").get<std::string>().c_str());
  STRCMP_EQUAL("malformed", value.at("kind").get<std::string>().c_str());
}

TEST(Logging, EachLayerHasItsOwnLevel) {
  InitialiseLogging("warn", "text");
  SetLogLevel("coordination", "debug");
  CHECK(IsLogLevelEnabled(Layer::kCoordination, LogLevel::kDebug));
  CHECK(!IsLogLevelEnabled(Layer::kCoordination, LogLevel::kTrace));
  CHECK(!IsLogLevelEnabled(Layer::kTransport, LogLevel::kInfo));
  const StderrCapture capture;
  LogEvent(Layer::kTransport, LogLevel::kInfo, "started");
  STRCMP_EQUAL("", capture.GetCapturedText().c_str());
}

TEST(Logging, UnknownLevelsLayersAndLayoutsAreRejected) {
  CHECK_THROWS(Error, InitialiseLogging("loud", "text"));
  CHECK_THROWS(Error, InitialiseLogging("info", "xml"));
  CHECK_THROWS(Error, SetLogLevel("sockets", "info"));
}

TEST(Logging, LinesOverTheRateLimitAreCountedNotWritten) {
  InitialiseLogging("info", "text");
  LogRateLimit limit{.lines_per_window = 2};
  const StderrCapture capture;
  const TimePoint start{std::chrono::seconds{100}};
  for (int n = 0; n < 1000; ++n) {
    LogWithRateLimit(limit, start, Layer::kState, LogLevel::kInfo, "dropped");
  }
  LogWithRateLimit(limit, start + std::chrono::seconds{1}, Layer::kState,
                   LogLevel::kInfo, "dropped");
  const std::string text = capture.GetCapturedText();
  LONGS_EQUAL(3, std::count(text.begin(), text.end(), '\n'));
  CHECK(text.find("event=dropped suppressed=998\n") != std::string::npos);
}
