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

// The log library keeps its loggers until the process ends, which the
// harness's count of allocations takes for leaks. The leak sanitizer, which
// sees that they are reachable, does this check in the asan build.
[[maybe_unused]] const bool kAllocationsUncounted = [] {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return true;
}();

/// Collects standard error while it lives.
class Capture {
 public:
  Capture() : before_(std::cerr.rdbuf(text_.rdbuf())) {}
  ~Capture() { std::cerr.rdbuf(before_); }
  [[nodiscard]] auto Text() const -> std::string { return text_.str(); }

 private:
  std::ostringstream text_;
  std::streambuf* before_;
};

}  // namespace

TEST_GROUP(Logging){};

TEST(Logging, TextLayoutHasKeysAndQuotedValues) {
  InitLogging("info", "text");
  const Capture capture;
  Log(Layer::kState, LogLevel::kWarn, "flow_reset",
      {{"flow", "17"}, {"reason", "no owner"}, {"note", ""}});
  const std::string text = capture.Text();
  CHECK(text.starts_with("time="));
  CHECK(text.find("Z level=WARN layer=state event=flow_reset flow=17 "
                  "reason=\"no owner\" note=\"\"\n") != std::string::npos);
}

TEST(Logging, JsonLayoutIsAnObjectALine) {
  InitLogging("info", "json");
  const Capture capture;
  Log(Layer::kProtocol, LogLevel::kError, "refused",
      {{"reason", "a\"b\n\xFF"}, {"kind", "malformed"}});
  const auto value = nlohmann::json::parse(capture.Text());
  STRCMP_EQUAL("ERROR", value.at("level").get<std::string>().c_str());
  STRCMP_EQUAL("protocol", value.at("layer").get<std::string>().c_str());
  STRCMP_EQUAL("malformed", value.at("kind").get<std::string>().c_str());
}

TEST(Logging, EachLayerHasALevelOfItsOwn) {
  InitLogging("warn", "text");
  SetLogLevel("coordination", "debug");
  CHECK(IsLogged(Layer::kCoordination, LogLevel::kDebug));
  CHECK(!IsLogged(Layer::kCoordination, LogLevel::kTrace));
  CHECK(!IsLogged(Layer::kTransport, LogLevel::kInfo));
  const Capture capture;
  Log(Layer::kTransport, LogLevel::kInfo, "started");
  STRCMP_EQUAL("", capture.Text().c_str());
}

TEST(Logging, RefusesUnknownWords) {
  CHECK_THROWS(Error, InitLogging("loud", "text"));
  CHECK_THROWS(Error, InitLogging("info", "xml"));
  CHECK_THROWS(Error, SetLogLevel("sockets", "info"));
}

TEST(Logging, AFloodIsCountedNotWritten) {
  InitLogging("info", "text");
  LogLimit limit{.lines_per_window = 2};
  const Capture capture;
  const TimePoint start{std::chrono::seconds{100}};
  for (int n = 0; n < 1000; ++n) {
    LogLimited(limit, start, Layer::kState, LogLevel::kInfo, "dropped");
  }
  LogLimited(limit, start + std::chrono::seconds{1}, Layer::kState,
             LogLevel::kInfo, "dropped");
  const std::string text = capture.Text();
  LONGS_EQUAL(3, std::count(text.begin(), text.end(), '\n'));
  CHECK(text.find("event=dropped suppressed=998\n") != std::string::npos);
}
