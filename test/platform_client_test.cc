#include "transport/platform_client.h"

#include <thread>

#include "../standins/platform_standin.h"
#include "hawthornbank/error.h"

#include <CppUTest/TestHarness.h>
// After the harness, which it needs.
#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace hawthornbank;
using namespace std::chrono_literals;
using transport::PlatformClient;

namespace {

/// CppUTest's own leak detector is not safe with the server's threads; the
/// sanitizer build looks for leaks instead.
const bool kLeakDetectorOff = [] {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return true;
}();

constexpr std::uint32_t kLoopback = 0x7F000001;

/// The stand-in on a port of the system's choice, in a thread.
struct RunningStandin {
  RunningStandin() {
    port = standin.Bind("127.0.0.1", 0);
    thread = std::thread([this] { standin.Run(); });
    while (!standin.running()) {
      std::this_thread::yield();
    }
  }
  ~RunningStandin() {
    standin.Stop();
    thread.join();
  }
  auto Fault(const std::string& body) const -> void {
    httplib::Client("127.0.0.1", port)
        .Post("/v1/faults", body, "application/json");
  }

  standins::PlatformStandin standin;
  std::thread thread;
  int port = -1;
};

auto KindOf(const std::function<void()>& action) -> ErrorKind {
  try {
    action();
  } catch (const Error& error) {
    return error.kind();
  }
  return ErrorKind::kInternal;
}

}  // namespace

TEST_GROUP(PlatformClient) {
  RunningStandin running;
  PlatformClient client{
      {.address = {kLoopback, static_cast<std::uint16_t>(running.port)},
       .timeout = 5s}};
};

TEST(PlatformClient, WritesConditionally) {
  CHECK(!client.Get("configuration", "mx/1 a"));
  const auto first = client.Put("configuration", "mx/1 a", 0, "op1", "{}");
  CHECK(KindOf([&] {
          client.Put("configuration", "mx/1 a", 0, "op2", "{}");
        }) == ErrorKind::kConflict);
  const auto second =
      client.Put("configuration", "mx/1 a", first, "op3", R"({"n":1})");
  CHECK(second > first);
  const auto object = client.Get("configuration", "mx/1 a");
  STRCMP_EQUAL(R"({"n":1})", object->value.c_str());
  STRCMP_EQUAL("mx/1 a", object->name.c_str());
  LONGS_EQUAL(second, object->version);
  LONGS_EQUAL(1, client.List("configuration").size());
  LONGS_EQUAL(0, client.List("lease").size());
}

TEST(PlatformClient, LostAnswerTookEffect) {
  running.Fault(R"({"lose_answers":1})");
  CHECK(KindOf([&] { client.Put("lease", "plan", 0, "op1", "{}"); }) ==
        ErrorKind::kPlatformUnavailable);
  CHECK(client.Get("lease", "plan").has_value());
}

TEST(PlatformClient, DownIsNotMissing) {
  running.Fault(R"({"down":true})");
  CHECK(KindOf([&] { client.Get("lease", "plan"); }) ==
        ErrorKind::kPlatformUnavailable);
  CHECK(KindOf([&] { client.Watch("lease", 0, 1ms); }) ==
        ErrorKind::kPlatformUnavailable);
  running.Fault(R"({"down":false})");
  CHECK(!client.Get("lease", "plan"));
}

TEST(PlatformClient, RefusesLargeValues) {
  const auto value = "\"" + std::string(std::size_t{1} << 20U, 'x') + "\"";
  CHECK(KindOf([&] { client.Put("lease", "plan", 0, "op1", value); }) ==
        ErrorKind::kTooLarge);
}

TEST(PlatformClient, WatchResumesAndReportsGone) {
  const auto first = client.Put("lease", "plan", 0, "op1", "1");
  client.Put("other", "x", 0, "op2", "{}");
  const auto second = client.Put("lease", "plan", first, "op3", "2");
  const auto result = client.Watch("lease", first, 5s);
  LONGS_EQUAL(1, result.objects.size());
  LONGS_EQUAL(second, result.version);
  CHECK(client.Watch("lease", second, 1ms).objects.empty());
  running.Fault(R"({"forget_history":true})");
  CHECK(client.Watch("lease", first, 5s).gone);
  CHECK(!client.Watch("lease", second, 1ms).gone);
}

TEST(PlatformClient, StaleReadShowsThePast) {
  const auto first = client.Put("lease", "plan", 0, "op1", "1");
  client.Put("lease", "plan", first, "op2", "2");
  running.Fault(R"({"stale_reads":1})");
  LONGS_EQUAL(first, client.Get("lease", "plan")->version);
  STRCMP_EQUAL("2", client.Get("lease", "plan")->value.c_str());
}

TEST(PlatformClient, NobodyListens) {
  PlatformClient lonely{{.address = {kLoopback, 1}, .timeout = 500ms}};
  CHECK(KindOf([&] { lonely.List("lease"); }) ==
        ErrorKind::kPlatformUnavailable);
}
