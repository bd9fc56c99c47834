#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "../standins/platform_standin.h"
#include "protocol/status_json.h"
#include "transport/platform_client.h"

#include <CppUTest/TestHarness.h>
// After the harness, which it needs.
#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace hawthornbank;
using transport::PlatformClient;

namespace {

/// CppUTest's own leak detector is not safe with the server's threads; the
/// sanitizer build looks for leaks instead.
[[maybe_unused]] const bool kLeakDetectorOff = [] {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return true;
}();

constexpr std::uint32_t kLoopback = 0x7F000001;
const std::string kSheet = TEST_DATA_DIR "/examples/trentmoor.csv";

/// A server on a port of the system's choice, in a thread.
template <class Server>
struct Running {
  template <class Bind, class Run>
  Running(Bind bind, Run run) {
    port = bind(server);
    thread = std::thread([this, run] { run(server); });
  }
  ~Running() { thread.join(); }

  Server server;
  std::thread thread;
  int port = -1;
};

/// Exit code and both outputs of one run of the tool.
struct Ran {
  int code = -1;
  std::string text;
};

auto Program() -> std::string {
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  return (self.parent_path().parent_path() / "apps/hawthornctl").string();
}

auto RunTool(const std::string& arguments) -> Ran {
  const std::string line =
      "env -u HAWTHORNCTL_PLATFORM -u "
      "HAWTHORNCTL_BALANCERS USER=ana " +
      Program() + " " + arguments + " 2>&1";
  Ran ran;
  FILE* const pipe = popen(line.c_str(), "r");
  CHECK(pipe != nullptr);
  std::array<char, 4096> buf = {};
  while (const auto n = fread(buf.data(), 1, buf.size(), pipe)) {
    ran.text.append(buf.data(), n);
  }
  ran.code = WEXITSTATUS(pclose(pipe));
  return ran;
}

/// A file that goes with the test.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("hawthornctl_test_" + std::to_string(getpid()) + ".csv")) {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  [[nodiscard]] auto Path() const -> std::string { return path_.string(); }

 private:
  std::filesystem::path path_;
};

auto ReadSheet() -> std::string {
  const std::ifstream file(kSheet);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

auto Replaced(std::string text, const std::string& from, const std::string& to)
    -> std::string {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_GROUP(Hawthornctl) {
  Running<standins::PlatformStandin> platform{
      [](auto& server) { return server.Bind("127.0.0.1", 0); },
      [](auto& server) { server.Run(); }};

  auto setup()->void override {
    while (!platform.server.running()) {
      std::this_thread::yield();
    }
  }
  auto teardown()->void override {
    platform.server.Stop();
  }

  auto Address() const->std::string {
    return "127.0.0.1:" + std::to_string(platform.port);
  }
  auto Tool(const std::string& arguments) const->Ran {
    return RunTool(arguments + " --platform " + Address());
  }
  auto Fault(const std::string& body) const->void {
    httplib::Client("127.0.0.1", platform.port)
        .Post("/v1/faults", body, "application/json");
  }
  /// Version of the configuration object; 0 when there is none.
  auto Version() const->std::uint64_t {
    PlatformClient client(
        {.address = {.address = kLoopback,
                     .port = static_cast<std::uint16_t>(platform.port)}});
    const auto object = client.Get("configuration", "main");
    return object ? object->version : 0;
  }
  /// Checks exit code and message of a wrong input that changes nothing.
  auto CheckRefused(const std::string& arguments, int code,
                    const std::string& message) const->void {
    const auto before = Version();
    const Ran ran = Tool(arguments);
    LONGS_EQUAL_TEXT(code, ran.code, arguments.c_str());
    STRCMP_CONTAINS_TEXT(message.c_str(), ran.text.c_str(), arguments.c_str());
    LONGS_EQUAL_TEXT(before, Version(), arguments.c_str());
  }
};

TEST(Hawthornctl, ImportsASheetOnce) {
  const Ran first = Tool("sheet import " + kSheet);
  LONGS_EQUAL(0, first.code);
  STRCMP_CONTAINS("Accepted: generation 1", first.text.c_str());
  STRCMP_CONTAINS("+ service fitquote: targets 7", first.text.c_str());
  STRCMP_CONTAINS("Nothing to change",
                  Tool("sheet import " + kSheet).text.c_str());
  LONGS_EQUAL(1, Version());
  STRCMP_CONTAINS("fitquote", Tool("service list --json").text.c_str());
}

TEST(Hawthornctl, ADryRunWritesNothing) {
  const Ran ran = Tool("sheet import --dry-run " + kSheet);
  LONGS_EQUAL(0, ran.code);
  STRCMP_CONTAINS("nothing is written", ran.text.c_str());
  LONGS_EQUAL(0, Version());
}

TEST(Hawthornctl, LooksUpALostAnswer) {
  Fault(R"({"lose_answers":1})");
  const Ran ran = Tool("sheet import " + kSheet);
  LONGS_EQUAL(0, ran.code);
  STRCMP_CONTAINS("looked up by operation", ran.text.c_str());
  LONGS_EQUAL(1, Version());
}

TEST(Hawthornctl, AnOperationIsNotRepeated) {
  Tool("sheet import --operation op-1 " + kSheet);
  const Ran again = Tool("sheet import --operation op-1 " + kSheet);
  STRCMP_CONTAINS("Accepted: generation 1, operation op-1", again.text.c_str());
  LONGS_EQUAL(1, Version());
}

TEST(Hawthornctl, SaysWhenThePlatformIsDown) {
  Fault(R"({"down":true})");
  const Ran ran = Tool("sheet import " + kSheet);
  LONGS_EQUAL(8, ran.code);
  STRCMP_CONTAINS("platform get: HTTP status 503", ran.text.c_str());
}

TEST(Hawthornctl, AnswersWrongCommandLines) {
  CheckRefused("sheet imprt x", 2, "did you mean 'sheet import'?");
  CheckRefused("sheet import --dry-rnu x", 2, "did you mean '--dry-run'?");
  CheckRefused("sheet import", 2, "Required argument missing: file");
  CheckRefused("sheet import /nonexistent.csv", 2, "there is no such file");
  CheckRefused("status", 2, "no balancer is given: give --balancer");
  CheckRefused("status --balancer 127.0.0.1:99999", 2,
               "--balancer: '127.0.0.1:99999' is not an address");
  CheckRefused("plan show --date 2026-02-30", 2,
               "there is no day '2026-02-30'");
  LONGS_EQUAL(2, RunTool("service list").code);
}

TEST(Hawthornctl, AnswersWrongValuesAndChangesNothing) {
  Tool("sheet import " + kSheet);
  CheckRefused("service show fitqoute", 3, "did you mean 'fitquote'?");
  CheckRefused("service set fitquote slts=4", 2, "did you mean 'slots'?");
  CheckRefused("service set fitquote slots=4 targets=x", 2,
               "targets: 'x' is not a whole number");
  CheckRefused("service set fitquote address=10.20.0.11:5683", 2,
               "is also the address of service 'planstore'");
  CheckRefused("service set fitquote targets=3", 2, "--allow-shrink fitquote");
  CheckRefused("target undrain fitquote-1", 3,
               "there is no draining target 'fitquote-1'");
  CheckRefused("target drain fitquote-1", 2, "no balancer is given");
  CheckRefused("service set fitquote weight=90 --wait", 2,
               "no balancer is given");
}

TEST(Hawthornctl, AnswersWrongSheetsAndChangesNothing) {
  Tool("sheet import " + kSheet);
  const auto check = [this](const std::string& text, const char* message) {
    const TemporaryFile file(text);
    CheckRefused("sheet import " + file.Path(), 2, message);
  };
  check(Replaced(ReadSheet(), "udp", "upd"), "row 2, column C (transport)");
  check(Replaced(ReadSheet(), ",7,", ",3,"), "--allow-shrink fitquote");
  check(Replaced(ReadSheet(), "planstore,daily", "plans,daily"),
        "row 5, column A (service): service 'planstore' has no daily row");
  check("", "the sheet is empty");
}

TEST(Hawthornctl, StatusNamesWhoLags) {
  const ProcessStatus status{
      .role = "balancer",
      .name = "entry-1",
      .generation = Generation{2},
      .targets = {{.name = "fitquote-1",
                   .service = "fitquote",
                   .state = "serving"}},
      .balancers = {
          {.name = "entry-2", .state = "alive", .generation = Generation{1}},
          {.name = "entry-3", .state = "dead"}}};
  Running<httplib::Server> balancer{
      [&status](auto& server) {
        server.Get("/status", [&status](const auto&, auto& response) {
          response.set_content(EncodeStatus(status), "application/json");
        });
        return server.bind_to_any_port("127.0.0.1");
      },
      [](auto& server) { server.listen_after_bind(); }};
  while (!balancer.server.is_running()) {
    std::this_thread::yield();
  }
  const std::string option =
      " --balancer 127.0.0.1:" + std::to_string(balancer.port);
  const Ran shown = RunTool("status" + option);
  STRCMP_CONTAINS(
      "generation 2 in force on 1 of 2 balancers\n  lags: entry-2 "
      "(generation 1)",
      shown.text.c_str());
  CheckRefused("target drain fitquote-2" + option, 3,
               "there is no target 'fitquote-2'; did you mean 'fitquote-1'?");
  Tool("sheet import " + kSheet);
  const Ran waited =
      Tool("target drain fitquote-1 --wait --wait-limit-s 0" + option);
  STRCMP_CONTAINS("~ target fitquote-1: state serving -> draining",
                  waited.text.c_str());
  STRCMP_CONTAINS("missing: entry-2 (generation 1)", waited.text.c_str());
  LONGS_EQUAL(4, waited.code);
  balancer.server.stop();
}
