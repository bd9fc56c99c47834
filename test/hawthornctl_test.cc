#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "../standins/platform_standin.h"
#include "protocol/status_json.h"
#include "run_program.h"
#include "transport/platform_client.h"

#include <CppUTest/TestHarness.h>
// Must come after TestHarness.h, because it uses definitions of TestHarness.h.
#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace hawthornbank;
using test::ProgramResult;
using transport::PlatformClient;

namespace {

/// CppUTest's leak detector is not safe with the server's threads; the
/// sanitizer build detects leaks instead.
[[maybe_unused]] const bool kLeakDetectorOff = [] {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return true;
}();

constexpr std::uint32_t kLoopback = 0x7F000001;
const std::string kExampleSheet = TEST_DATA_DIR "/examples/trentmoor.csv";

/// Runs a server in a thread, on a port that the operating system chooses.
template <class Server>
struct ServerThread {
  template <class Bind, class Run>
  ServerThread(Bind bind, Run run) {
    port = bind(server);
    thread = std::thread([this, run] { run(server); });
  }
  ~ServerThread() { thread.join(); }

  Server server;
  std::thread thread;
  int port = -1;
};

auto RunHawthornctl(const std::string& arguments) -> ProgramResult {
  return test::RunBuiltProgram("apps/hawthornctl", arguments);
}

/// Serves the status page and metrics of a balancer or agent. `before_reply`
/// may change the page before each reply.
struct FakeProcess {
  explicit FakeProcess(ProcessStatus first) : status(std::move(first)) {
    while (!running.server.is_running()) {
      std::this_thread::yield();
    }
  }
  ~FakeProcess() { running.server.stop(); }

  auto GetAddress() const -> std::string {
    return "127.0.0.1:" + std::to_string(running.port);
  }

  ProcessStatus status;
  std::function<void(ProcessStatus& status, int n)> before_reply = [](auto&,
                                                                      int) {};
  int reply_count = 0;
  ServerThread<httplib::Server> running{
      [this](auto& server) {
        server.Get("/status", [this](const auto&, auto& response) {
          before_reply(status, reply_count++);
          response.set_content(EncodeStatus(status), "application/json");
        });
        server.Get("/metrics", [](const auto&, auto& response) {
          response.set_content("hawthornbank_drop_no_target 3\n", "text/plain");
        });
        return server.bind_to_any_port("127.0.0.1");
      },
      [](auto& server) { server.listen_after_bind(); }};
};

auto MakeBalancerStatus() -> ProcessStatus {
  return ProcessStatus{
      .role = "balancer",
      .name = "entry-1",
      .generation = Generation{2},
      .targets = {{.name = "fitquote-1",
                   .service = "fitquote",
                   .state = "serving"}},
      .balancers = {{.name = "entry-1",
                     .state = "alive",
                     .generation = Generation{2}}},
      .hosts = {.root = "entry-1",
                .generation = Generation{2},
                .total = 3,
                .in_force = 2,
                .lagging = {"fitquote-1"}},
      .counters = {{"drop_no_target", 3}, {"packets_forwarded", 9}}};
}

auto MakeAgentStatus() -> ProcessStatus {
  return ProcessStatus{
      .role = "agent",
      .name = "fitquote-1",
      .counters = {{"refused_connections", 4}, {"drop_no_target", 1}}};
}

/// Address at which no process listens.
constexpr auto kUnusedAddress = "127.0.0.1:1";

/// A file that is deleted when this object is destroyed.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("hawthornctl_test_" + std::to_string(getpid()) + ".csv")) {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  [[nodiscard]] auto GetPath() const -> std::string { return path_.string(); }

 private:
  std::filesystem::path path_;
};

auto ReadExampleSheet() -> std::string {
  const std::ifstream file(kExampleSheet);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

auto ReplaceFirstMatch(std::string text,
                       const std::string& from,
                       const std::string& to) -> std::string {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_GROUP(Hawthornctl) {
  ServerThread<standins::PlatformStandin> platform{
      [](auto& server) { return server.BindServer("127.0.0.1", 0); },
      [](auto& server) { server.Run(); }};

  auto setup()->void override {
    while (!platform.server.is_running()) {
      std::this_thread::yield();
    }
  }
  auto teardown()->void override {
    platform.server.StopServer();
  }

  auto GetAddress() const->std::string {
    return "127.0.0.1:" + std::to_string(platform.port);
  }
  auto RunWithPlatform(const std::string& arguments) const->ProgramResult {
    return RunHawthornctl(arguments + " --platform " + GetAddress());
  }
  auto InjectFault(const std::string& body) const->void {
    httplib::Client("127.0.0.1", platform.port)
        .Post("/v1/faults", body, "application/json");
  }
  /// @return Version of the platform's configuration object; 0 if missing.
  auto ReadConfigurationVersion() const->std::uint64_t {
    PlatformClient client(
        {.address = {.address = kLoopback,
                     .port = static_cast<std::uint16_t>(platform.port)}});
    const auto object = client.ReadObject("configuration", "main");
    return object ? object->version : 0;
  }
  /// Checks the exit code and the message of a command, and that the command
  /// does not change the configuration.
  auto RunAndExpectNoChange(const std::string& arguments, int code,
                            const std::string& message) const->void {
    const auto before = ReadConfigurationVersion();
    const ProgramResult result = RunWithPlatform(arguments);
    LONGS_EQUAL_TEXT(code, result.exit_code, arguments.c_str());
    STRCMP_CONTAINS_TEXT(message.c_str(), result.output.c_str(),
                         arguments.c_str());
    LONGS_EQUAL_TEXT(before, ReadConfigurationVersion(), arguments.c_str());
  }
};

TEST(Hawthornctl, ImportingTheSameSheetAgainChangesNothing) {
  const ProgramResult first = RunWithPlatform("sheet import " + kExampleSheet);
  LONGS_EQUAL(0, first.exit_code);
  STRCMP_CONTAINS("Accepted: generation 1", first.output.c_str());
  STRCMP_CONTAINS("+ service fitquote: targets 7", first.output.c_str());
  STRCMP_CONTAINS(
      "Nothing to change",
      RunWithPlatform("sheet import " + kExampleSheet).output.c_str());
  LONGS_EQUAL(1, ReadConfigurationVersion());
  STRCMP_CONTAINS("fitquote",
                  RunWithPlatform("service list --json").output.c_str());
}

TEST(Hawthornctl, DryRunWritesNothing) {
  const ProgramResult result =
      RunWithPlatform("sheet import --dry-run " + kExampleSheet);
  LONGS_EQUAL(0, result.exit_code);
  STRCMP_CONTAINS("nothing is written", result.output.c_str());
  LONGS_EQUAL(0, ReadConfigurationVersion());
}

TEST(Hawthornctl, ChangeWithLostAnswerIsLookedUpByOperation) {
  InjectFault(R"({"lose_answers":1})");
  const ProgramResult result = RunWithPlatform("sheet import " + kExampleSheet);
  LONGS_EQUAL(0, result.exit_code);
  STRCMP_CONTAINS("looked up by operation", result.output.c_str());
  LONGS_EQUAL(1, ReadConfigurationVersion());
}

TEST(Hawthornctl, LatestAcceptedOperationIsNotRepeated) {
  RunWithPlatform("sheet import --operation op-1 " + kExampleSheet);
  const ProgramResult again =
      RunWithPlatform("sheet import --operation op-1 " + kExampleSheet);
  STRCMP_CONTAINS("Accepted: generation 1, operation op-1",
                  again.output.c_str());
  LONGS_EQUAL(1, ReadConfigurationVersion());
}

TEST(Hawthornctl, UnavailablePlatformIsReported) {
  InjectFault(R"({"down":true})");
  const ProgramResult result = RunWithPlatform("sheet import " + kExampleSheet);
  LONGS_EQUAL(8, result.exit_code);
  STRCMP_CONTAINS("platform get: HTTP status 503", result.output.c_str());
}

// Load pattern: a platform whose answers take three seconds.
TEST(Hawthornctl, ChangeOnAPlatformThatAnswersLateIsAccepted) {
  InjectFault(R"({"delay_ms":3000})");
  const ProgramResult result = RunWithPlatform("sheet import " + kExampleSheet);
  InjectFault(R"({"delay_ms":0})");
  LONGS_EQUAL(0, result.exit_code);
  STRCMP_CONTAINS("Accepted: generation 1", result.output.c_str());
}

TEST(Hawthornctl, ExplainShowsTheTimelineOfAFlow) {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("explain-" + std::to_string(::getpid()));
  std::filesystem::create_directory(folder);
  const std::string words = "explain " + folder.string();
  const auto expect = [&](const std::string& arguments, int code,
                          const char* text) {
    const ProgramResult result = RunHawthornctl(words + arguments);
    LONGS_EQUAL(code, result.exit_code);
    STRCMP_CONTAINS(text, result.output.c_str());
  };
  const std::string flow = " --flow '10.0.0.1:5>10.0.0.2:6'";
  expect(flow, 2, "the folder has no files");
  std::ofstream(folder / "edge.log")
      << "t=1790036980058 node=edge-1 kind=refusal event=flow_reset "
         "flow=10.0.0.1:5>10.0.0.2:6 reason=no_route opening=7 copy=0 route=- "
         "version=4\nt=17900";
  std::ofstream(folder / "caller.log")
      << "request=12 flow=10.0.0.1:5>10.0.0.2:6\n";
  expect(flow, 0, "edge-1 resets the caller: no_route (the address has no");
  expect(" --request 12", 0, "2 files, 3 lines; skipped 2: 1 cut, 1 without a");
  expect(flow + " --json", 0, "\"about_flow\": true");
  expect(" --request 1", 3, "balancers and agents don't read request ids");
  expect(flow + " --from 1790036980059", 3, "no line about the flow");
  expect(" --flow 10.0.0.1:5", 2, "is not a flow: give CALLER>ADDRESS");
  expect("", 2, "give either --flow or --request");
  expect(flow + " --window 86401", 2, "--window: at most 86400");
  std::filesystem::remove_all(folder);
  expect(flow, 2, "No such file or directory");
}

TEST(Hawthornctl, WrongCommandLinesAreRefusedWithAHint) {
  RunAndExpectNoChange("sheet imprt x", 2, "did you mean 'sheet import'?");
  RunAndExpectNoChange("sheet import --dry-rnu x", 2,
                       "did you mean '--dry-run'?");
  RunAndExpectNoChange("sheet import", 2, "Required argument missing: file");
  RunAndExpectNoChange("service show a b", 2, "'b' is not expected here");
  RunAndExpectNoChange("sheet import --wait-limit-s -5 " + kExampleSheet, 2,
                       "--wait-limit-s: '-5' is below 0");
  RunAndExpectNoChange("sheet import --author '' " + kExampleSheet, 2,
                       "--author: is not one");
  RunAndExpectNoChange("sheet import --author '\n' " + kExampleSheet, 2,
                       "--author: is not one");
  RunAndExpectNoChange("sheet import --operation 'x y' " + kExampleSheet, 2,
                       "--operation: 'x y' is not a name");
  RunAndExpectNoChange("watch --for -1 --balancer 127.0.0.1:1", 2,
                       "--for: '-1' is below 0");
  RunAndExpectNoChange("sheet import /nonexistent.csv", 2,
                       "there is no such file");
  RunAndExpectNoChange("status", 2, "no balancer is given: give --balancer");
  RunAndExpectNoChange("status --balancer 127.0.0.1:99999", 2,
                       "--balancer: '127.0.0.1:99999' is not an address");
  RunAndExpectNoChange("plan show --date 2026-02-30", 2,
                       "there is no day '2026-02-30'");
  LONGS_EQUAL(2, RunHawthornctl("service list").exit_code);
}

TEST(Hawthornctl, WrongValuesAreRefusedAndChangeNothing) {
  RunWithPlatform("sheet import " + kExampleSheet);
  RunAndExpectNoChange("service show fitqoute", 3, "did you mean 'fitquote'?");
  RunAndExpectNoChange("service set fitquote slts=4", 2,
                       "did you mean 'slots'?");
  RunAndExpectNoChange("service set fitquote slots=4 targets=x", 2,
                       "targets: 'x' is not a whole number");
  RunAndExpectNoChange("service set fitquote address=10.20.0.11:5683", 2,
                       "is also the address of service 'planstore'");
  RunAndExpectNoChange("service set fitquote targets=3", 2,
                       "--allow-shrink fitquote");
  RunAndExpectNoChange("service set fitquote targets=8 targets=9", 2,
                       "field 'targets' is given twice");
  RunAndExpectNoChange("service set fitquote name=x", 2,
                       "The fields: transport");
  RunAndExpectNoChange(
      "service set fitquote slots=1 --allow-shrink fitqoute", 3,
      "there is no service 'fitqoute'; did you mean 'fitquote'?");
  RunAndExpectNoChange(
      "sheet import " + kExampleSheet + " --allow-drop fitqoute", 3,
      "there is no service 'fitqoute'; did you mean 'fitquote'?");
  RunAndExpectNoChange("target undrain fitquote-1", 3,
                       "there is no draining target 'fitquote-1'");
  RunAndExpectNoChange("target drain fitquote-1", 2, "no balancer is given");
  RunAndExpectNoChange("service set fitquote weight=90 --wait", 2,
                       "no balancer is given");
}

TEST(Hawthornctl, WrongSheetsAreRefusedAndChangeNothing) {
  RunWithPlatform("sheet import " + kExampleSheet);
  const auto check = [this](const std::string& text, const char* message) {
    const TemporaryFile file(text);
    RunAndExpectNoChange("sheet import " + file.GetPath(), 2, message);
  };
  check(ReplaceFirstMatch(ReadExampleSheet(), "udp", "upd"),
        "row 2, column C (transport)");
  check(ReplaceFirstMatch(ReadExampleSheet(), ",7,", ",3,"),
        "--allow-shrink fitquote");
  check(ReplaceFirstMatch(ReadExampleSheet(), "planstore,daily", "plans,daily"),
        "row 5, column A (service): service 'planstore' has no daily row");
  check("", "the sheet is empty");
}

TEST(Hawthornctl, InvalidRegionNameCreatesNoConfiguration) {
  const ProgramResult result =
      RunWithPlatform("sheet import --region 'x y' " + kExampleSheet);
  LONGS_EQUAL(2, result.exit_code);
  STRCMP_CONTAINS("--region: 'x y' is not a name", result.output.c_str());
  LONGS_EQUAL(
      0, PlatformClient(
             {.address = {.address = kLoopback,
                          .port = static_cast<std::uint16_t>(platform.port)}})
             .ListObjects("configuration")
             .size());
}

TEST(Hawthornctl, FileThatIsNotASheetIsReportedWithoutRowErrors) {
  const ProgramResult result =
      RunHawthornctl("sheet check " TEST_DATA_DIR "/examples/balancer.ini");
  LONGS_EQUAL(2, result.exit_code);
  STRCMP_CONTAINS("column 'service' is missing", result.output.c_str());
  CHECK(result.output.find("row 2") == std::string::npos);
}

TEST(Hawthornctl, StatusAndWaitListLaggingBalancers) {
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
  const FakeProcess balancer(status);
  const std::string option = " --balancer " + balancer.GetAddress();
  const ProgramResult shown = RunHawthornctl("status" + option);
  STRCMP_CONTAINS(
      "generation 2 in force on 1 of 2 balancers\n  lags: entry-2 "
      "(generation 1)",
      shown.output.c_str());
  RunAndExpectNoChange(
      "target drain fitquote-2" + option, 3,
      "there is no target 'fitquote-2'; did you mean 'fitquote-1'?");
  RunWithPlatform("sheet import " + kExampleSheet);
  const ProgramResult waited = RunWithPlatform(
      "target drain fitquote-1 --wait --wait-limit-s 0" + option);
  STRCMP_CONTAINS("~ target fitquote-1: state serving -> draining",
                  waited.output.c_str());
  STRCMP_CONTAINS("missing: entry-2 (generation 1)", waited.output.c_str());
  LONGS_EQUAL(4, waited.exit_code);
}

TEST(Hawthornctl, StatusCountsAgentsAndSumsRefusals) {
  const FakeProcess balancer(MakeBalancerStatus());
  const FakeProcess agent(MakeAgentStatus());
  const std::string options = "status --balancer " + balancer.GetAddress() +
                              " --agent " + agent.GetAddress();
  const ProgramResult result = RunHawthornctl(options);
  LONGS_EQUAL(0, result.exit_code);
  STRCMP_CONTAINS(
      "generation 2 in force on 1 of 1 balancers\n"
      "generation 2 in force on 2 of 3 balancers and agents\n"
      "  lags: fitquote-1\n",
      result.output.c_str());
  STRCMP_CONTAINS(
      "over 1 balancers and 1 agents that answered:\n"
      "  drop_no_target 4\n  refused_connections 4\n",
      result.output.c_str());
  const auto value =
      nlohmann::json::parse(RunHawthornctl(options + " --json").output);
  LONGS_EQUAL(3, value.at("balancers_and_agents").at("total").get<int>());
  LONGS_EQUAL(4, value.at("refusals").at("drop_no_target").get<int>());
}

TEST(Hawthornctl, WaitIncludesAgentsReportedByTheRootBalancer) {
  RunWithPlatform("sheet import " + kExampleSheet);
  const FakeProcess balancer(MakeBalancerStatus());
  const std::string drain =
      "target drain fitquote-1 --wait --wait-limit-s 0 --balancer " +
      balancer.GetAddress();
  const ProgramResult lagging = RunWithPlatform(drain);
  STRCMP_CONTAINS(
      "in force on 1 of 1 balancers, on 2 of 3 balancers and agents; missing: "
      "fitquote-1",
      lagging.output.c_str());
  LONGS_EQUAL(4, lagging.exit_code);
  auto everywhere = MakeBalancerStatus();
  everywhere.generation = Generation{3};
  everywhere.balancers[0].generation = Generation{3};
  everywhere.hosts = {.root = "entry-1",
                      .generation = Generation{3},
                      .total = 3,
                      .in_force = 3,
                      .lagging = {}};
  const FakeProcess other(everywhere);
  const ProgramResult done = RunWithPlatform(
      "target undrain fitquote-1 --wait --wait-limit-s 0 --balancer " +
      other.GetAddress());
  STRCMP_CONTAINS("on 3 of 3 balancers and agents", done.output.c_str());
  LONGS_EQUAL(0, done.exit_code);
}

TEST(Hawthornctl, StatusNamesTheBalancerThatAggregatesAgentReports) {
  auto status = MakeBalancerStatus();
  status.hosts.root = "entry-9";
  const FakeProcess balancer(status);
  const ProgramResult result =
      RunHawthornctl("status --balancer " + balancer.GetAddress() +
                     " --balancer " + kUnusedAddress);
  LONGS_EQUAL(0, result.exit_code);
  STRCMP_CONTAINS("agents: not known here; add the --balancer of entry-9",
                  result.output.c_str());
  STRCMP_CONTAINS("127.0.0.1:1 does not answer", result.output.c_str());
}

TEST(Hawthornctl, GenerationNewerThanTheRootBalancersIsInForceOnNoHost) {
  const FakeProcess balancer(MakeBalancerStatus());
  for (const auto* const targets : {"8", "9", "10"}) {
    RunWithPlatform("sheet import " + kExampleSheet);
    RunWithPlatform(std::string("service set fitquote targets=") + targets);
  }
  const ProgramResult result =
      RunWithPlatform("status --balancer " + balancer.GetAddress());
  STRCMP_CONTAINS("in force on 0 of 3 balancers and agents",
                  result.output.c_str());
}

TEST(Hawthornctl, WatchPrintsEachChange) {
  FakeProcess balancer(MakeBalancerStatus());
  balancer.before_reply = [](ProcessStatus& status, int n) {
    if (n == 0) {
      return;
    }
    status.targets[0].state = "draining";
    status.targets.push_back({.name = "fitquote-2", .state = "serving"});
    status.targets.resize(2);
    status.balancers[0].generation = status.generation = Generation{3};
    status.counters["drop_no_target"] += 1000;
    status.counters["packets_forwarded"] += 1000;
  };
  const ProgramResult result =
      RunHawthornctl("watch --for 1 --balancer " + balancer.GetAddress());
  LONGS_EQUAL(0, result.exit_code);
  for (const auto* const line :
       {"in force on balancers: generation 2 on 1 of 1\n",
        "in force on balancers: generation 3 on 1 of 1\n",
        "balancers and agents: generation 2 on 2 of 3; lags: fitquote-1\n",
        "target fitquote-1: serving\n",
        "target fitquote-1: serving -> draining\n",
        "target fitquote-2: serving\n", "refusals: drop_no_target "}) {
    STRCMP_CONTAINS(line, result.output.c_str());
  }
  CHECK(result.output.find("packets_forwarded") == std::string::npos);
}

TEST(Hawthornctl, WatchPrintsOneJsonObjectPerLine) {
  FakeProcess balancer(MakeBalancerStatus());
  balancer.before_reply = [](ProcessStatus& status, int n) {
    status.counters["drop_no_target"] += n;
  };
  const ProgramResult result = RunHawthornctl(
      "watch --json --for 1 --balancer " + balancer.GetAddress());
  std::istringstream lines(result.output);
  bool rates = false;
  for (std::string line; std::getline(lines, line);) {
    const auto value = nlohmann::json::parse(line);
    CHECK(value.contains("time"));
    rates = rates || (value.at("event") == "refusals" &&
                      value.at("rates").contains("drop_no_target"));
  }
  CHECK(rates);
}

TEST(Hawthornctl, WatchReportsThatNoBalancerAnswers) {
  const ProgramResult silent =
      RunHawthornctl(std::string("watch --for 1 --balancer ") + kUnusedAddress);
  LONGS_EQUAL(5, silent.exit_code);
  STRCMP_CONTAINS("no balancer answers", silent.output.c_str());
}

TEST(Hawthornctl, SheetCheckAsJsonListsEveryFault) {
  const TemporaryFile file(ReplaceFirstMatch(
      ReplaceFirstMatch(ReadExampleSheet(), "udp", "upd"), ",7,", ",x,"));
  const ProgramResult result =
      RunHawthornctl("sheet check --json " + file.GetPath());
  LONGS_EQUAL(2, result.exit_code);
  const auto value = nlohmann::json::parse(result.output);
  CHECK(!value.at("ok").get<bool>());
  const auto& faults = value.at("faults");
  LONGS_EQUAL(2, faults.size());
  LONGS_EQUAL(2, faults[0].at("row").get<int>());
  STRCMP_EQUAL("C", faults[0].at("column").get<std::string>().c_str());
  STRCMP_EQUAL("transport", faults[0].at("key").get<std::string>().c_str());
  STRCMP_CONTAINS("udp", faults[0].at("why").get<std::string>().c_str());
  STRCMP_EQUAL("targets", faults[1].at("key").get<std::string>().c_str());
  const ProgramResult good =
      RunHawthornctl("sheet check --json " + kExampleSheet);
  LONGS_EQUAL(0, good.exit_code);
  CHECK(nlohmann::json::parse(good.output).at("faults").empty());
}

TEST(Hawthornctl, SheetDiffPrintsChangesAsJson) {
  RunWithPlatform("sheet import " + kExampleSheet);
  const TemporaryFile file(ReplaceFirstMatch(ReadExampleSheet(), ",7,", ",9,"));
  const auto changes = nlohmann::json::parse(
      RunWithPlatform("sheet diff --json " + file.GetPath()).output);
  LONGS_EQUAL(1, changes.size());
  STRCMP_EQUAL("targets", changes[0].at("field").get<std::string>().c_str());
  STRCMP_EQUAL("9", changes[0].at("after").get<std::string>().c_str());
}

TEST(Hawthornctl, MetricsPrintBalancersThatAnswerAndReportTheOthers) {
  const FakeProcess balancer(MakeBalancerStatus());
  const std::string options = std::string("metrics --balancer ") +
                              kUnusedAddress + " --balancer " +
                              balancer.GetAddress();
  const ProgramResult result = RunHawthornctl(options);
  LONGS_EQUAL(5, result.exit_code);
  STRCMP_CONTAINS("127.0.0.1:1 does not answer", result.output.c_str());
  STRCMP_CONTAINS("hawthornbank_drop_no_target 3", result.output.c_str());
  const auto value = nlohmann::json::parse(
      RunHawthornctl("metrics --json --balancer " + balancer.GetAddress())
          .output);
  LONGS_EQUAL(
      3, value[0].at("metrics").at("hawthornbank_drop_no_target").get<int>());
}

TEST(Hawthornctl, NamesThatCannotBeCheckedRequireTheUncheckedOption) {
  RunWithPlatform("sheet import " + kExampleSheet);
  const std::string silent = std::string(" --balancer ") + kUnusedAddress;
  RunAndExpectNoChange("target drain fitquote-1" + silent, 5,
                       "give --unchecked");
  RunAndExpectNoChange("balancer stop entry-1" + silent, 5, "give --unchecked");
  RunAndExpectNoChange("target drain fitquote-1", 2, "give --unchecked");
  RunAndExpectNoChange("target drain 'fit quote' --unchecked" + silent, 2,
                       "fit quote");
  for (const auto* const command :
       {"target drain fitquote-1", "balancer stop entry-1"}) {
    const ProgramResult result =
        RunWithPlatform(std::string(command) + " --unchecked" + silent);
    LONGS_EQUAL(0, result.exit_code);
    STRCMP_CONTAINS("not checked whether there is a", result.output.c_str());
  }
  // Draining targets and stopping balancers are listed in the configuration, so
  // undrain and resume need no balancer.
  LONGS_EQUAL(0,
              RunWithPlatform("target undrain fitquote-1" + silent).exit_code);
  LONGS_EQUAL(0, RunWithPlatform("balancer resume entry-1" + silent).exit_code);
}

TEST(Hawthornctl, OperationAcceptedBeforeALaterChangeIsNotRepeated) {
  RunWithPlatform("sheet import " + kExampleSheet);
  RunWithPlatform("service set fitquote weight=90 --operation op-90");
  RunWithPlatform("service set fitquote weight=80");
  const ProgramResult again =
      RunWithPlatform("service set fitquote weight=90 --operation op-90");
  LONGS_EQUAL(0, again.exit_code);
  STRCMP_CONTAINS("Accepted: generation 2, operation op-90",
                  again.output.c_str());
  LONGS_EQUAL(3, ReadConfigurationVersion());
  InjectFault(R"({"forget_history":true})");
  const ProgramResult unknown =
      RunWithPlatform("service set fitquote weight=90 --operation op-90");
  LONGS_EQUAL(6, unknown.exit_code);
  STRCMP_CONTAINS("Nothing is written now", unknown.output.c_str());
  LONGS_EQUAL(3, ReadConfigurationVersion());
}

TEST(Hawthornctl, EveryChangeCommandHasADryRun) {
  const FakeProcess balancer(MakeBalancerStatus());
  const std::string option = " --dry-run --balancer " + balancer.GetAddress();
  RunAndExpectNoChange("sheet import " + kExampleSheet + option, 0,
                       "nothing is written");
  RunWithPlatform("sheet import " + kExampleSheet);
  RunAndExpectNoChange("service set fitquote weight=90" + option, 0,
                       "~ service fitquote: weight 100 -> 90");
  RunAndExpectNoChange("target drain fitquote-1" + option, 0,
                       "~ target fitquote-1: state serving -> draining");
  RunAndExpectNoChange("balancer stop entry-1" + option, 0,
                       "~ balancer entry-1: state serving -> stopping");
  RunWithPlatform("target drain fitquote-1 --unchecked");
  RunWithPlatform("balancer stop entry-1 --unchecked");
  RunAndExpectNoChange("target undrain fitquote-1" + option, 0,
                       "~ target fitquote-1: state draining -> serving");
  RunAndExpectNoChange("balancer resume entry-1" + option, 0,
                       "~ balancer entry-1: state stopping -> serving");
}
