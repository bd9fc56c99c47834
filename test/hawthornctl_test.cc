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
// After the harness, which it needs.
#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace hawthornbank;
using test::Ran;
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

auto RunTool(const std::string& arguments) -> Ran {
  return test::RunProgram("apps/hawthornctl", arguments);
}

/// A balancer's or agent's status page, which the test may change.
struct FakeProcess {
  explicit FakeProcess(ProcessStatus first) : status(std::move(first)) {
    while (!running.server.is_running()) {
      std::this_thread::yield();
    }
  }
  ~FakeProcess() { running.server.stop(); }

  auto Address() const -> std::string {
    return "127.0.0.1:" + std::to_string(running.port);
  }

  ProcessStatus status;
  std::function<void(ProcessStatus& status, int n)> before_answer = [](auto&,
                                                                       int) {};
  int answers = 0;
  Running<httplib::Server> running{
      [this](auto& server) {
        server.Get("/status", [this](const auto&, auto& response) {
          before_answer(status, answers++);
          response.set_content(EncodeStatus(status), "application/json");
        });
        server.Get("/metrics", [](const auto&, auto& response) {
          response.set_content("hawthornbank_drop_no_target 3\n", "text/plain");
        });
        return server.bind_to_any_port("127.0.0.1");
      },
      [](auto& server) { server.listen_after_bind(); }};
};

auto EntryStatus() -> ProcessStatus {
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

auto AgentStatus() -> ProcessStatus {
  return ProcessStatus{
      .role = "agent",
      .name = "fitquote-1",
      .counters = {{"refused_connections", 4}, {"drop_no_target", 1}}};
}

/// A port where nothing listens.
constexpr auto kNobody = "127.0.0.1:1";

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
  CheckRefused("service show a b", 2, "'b' is not expected here");
  CheckRefused("sheet import --wait-limit-s -5 " + kSheet, 2,
               "--wait-limit-s: '-5' is below 0");
  CheckRefused("sheet import --author '' " + kSheet, 2, "--author: is not one");
  CheckRefused("sheet import --author '\n' " + kSheet, 2,
               "--author: is not one");
  CheckRefused("sheet import --operation 'x y' " + kSheet, 2,
               "--operation: 'x y' is not a name");
  CheckRefused("watch --for -1 --balancer 127.0.0.1:1", 2,
               "--for: '-1' is below 0");
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
  CheckRefused("service set fitquote targets=8 targets=9", 2,
               "field 'targets' is given twice");
  CheckRefused("service set fitquote name=x", 2, "The fields: transport");
  CheckRefused("service set fitquote slots=1 --allow-shrink fitqoute", 3,
               "there is no service 'fitqoute'; did you mean 'fitquote'?");
  CheckRefused("sheet import " + kSheet + " --allow-drop fitqoute", 3,
               "there is no service 'fitqoute'; did you mean 'fitquote'?");
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

TEST(Hawthornctl, ARegionThatIsNoNameIsNotMade) {
  const Ran ran = Tool("sheet import --region 'x y' " + kSheet);
  LONGS_EQUAL(2, ran.code);
  STRCMP_CONTAINS("--region: 'x y' is not a name", ran.text.c_str());
  LONGS_EQUAL(
      0, PlatformClient(
             {.address = {.address = kLoopback,
                          .port = static_cast<std::uint16_t>(platform.port)}})
             .List("configuration")
             .size());
}

TEST(Hawthornctl, AFileThatIsNoSheetIsRefusedBriefly) {
  const Ran ran =
      RunTool("sheet check " TEST_DATA_DIR "/examples/balancer.ini");
  LONGS_EQUAL(2, ran.code);
  STRCMP_CONTAINS("column 'service' is missing", ran.text.c_str());
  CHECK(ran.text.find("row 2") == std::string::npos);
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
  const FakeProcess balancer(status);
  const std::string option = " --balancer " + balancer.Address();
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
}

TEST(Hawthornctl, StatusCountsAgentsAndSumsRefusals) {
  const FakeProcess balancer(EntryStatus());
  const FakeProcess agent(AgentStatus());
  const std::string options =
      "status --balancer " + balancer.Address() + " --agent " + agent.Address();
  const Ran ran = RunTool(options);
  LONGS_EQUAL(0, ran.code);
  STRCMP_CONTAINS(
      "generation 2 in force on 1 of 1 balancers\n"
      "generation 2 in force on 2 of 3 balancers and agents\n"
      "  lags: fitquote-1\n",
      ran.text.c_str());
  STRCMP_CONTAINS(
      "over 1 balancers and 1 agents that answered:\n"
      "  drop_no_target 4\n  refused_connections 4\n",
      ran.text.c_str());
  const auto value = nlohmann::json::parse(RunTool(options + " --json").text);
  LONGS_EQUAL(3, value.at("balancers_and_agents").at("total").get<int>());
  LONGS_EQUAL(4, value.at("refusals").at("drop_no_target").get<int>());
}

TEST(Hawthornctl, WaitsForAgentsToo) {
  Tool("sheet import " + kSheet);
  const FakeProcess balancer(EntryStatus());
  const std::string drain =
      "target drain fitquote-1 --wait --wait-limit-s 0 --balancer " +
      balancer.Address();
  const Ran lagging = Tool(drain);
  STRCMP_CONTAINS(
      "in force on 1 of 1 balancers, on 2 of 3 balancers and agents; missing: "
      "fitquote-1",
      lagging.text.c_str());
  LONGS_EQUAL(4, lagging.code);
  auto everywhere = EntryStatus();
  everywhere.generation = Generation{3};
  everywhere.balancers[0].generation = Generation{3};
  everywhere.hosts = {.root = "entry-1",
                      .generation = Generation{3},
                      .total = 3,
                      .in_force = 3,
                      .lagging = {}};
  const FakeProcess other(everywhere);
  const Ran done =
      Tool("target undrain fitquote-1 --wait --wait-limit-s 0 --balancer " +
           other.Address());
  STRCMP_CONTAINS("on 3 of 3 balancers and agents", done.text.c_str());
  LONGS_EQUAL(0, done.code);
}

TEST(Hawthornctl, StatusNamesTheBalancerThatSumsUp) {
  auto status = EntryStatus();
  status.hosts.root = "entry-9";
  const FakeProcess balancer(status);
  const Ran ran = RunTool("status --balancer " + balancer.Address() +
                          " --balancer " + kNobody);
  LONGS_EQUAL(0, ran.code);
  STRCMP_CONTAINS("agents: not known here; add the --balancer of entry-9",
                  ran.text.c_str());
  STRCMP_CONTAINS("127.0.0.1:1 does not answer", ran.text.c_str());
}

TEST(Hawthornctl, StatusOfANewerGenerationIsInForceNowhere) {
  const FakeProcess balancer(EntryStatus());
  for (const auto* const targets : {"8", "9", "10"}) {
    Tool("sheet import " + kSheet);
    Tool(std::string("service set fitquote targets=") + targets);
  }
  const Ran ran = Tool("status --balancer " + balancer.Address());
  STRCMP_CONTAINS("in force on 0 of 3 balancers and agents", ran.text.c_str());
}

TEST(Hawthornctl, WatchPrintsEachChange) {
  FakeProcess balancer(EntryStatus());
  balancer.before_answer = [](ProcessStatus& status, int n) {
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
  const Ran ran = RunTool("watch --for 1 --balancer " + balancer.Address());
  LONGS_EQUAL(0, ran.code);
  for (const auto* const line :
       {"in force on balancers: generation 2 on 1 of 1\n",
        "in force on balancers: generation 3 on 1 of 1\n",
        "balancers and agents: generation 2 on 2 of 3; lags: fitquote-1\n",
        "target fitquote-1: serving\n",
        "target fitquote-1: serving -> draining\n",
        "target fitquote-2: serving\n", "refusals: drop_no_target "}) {
    STRCMP_CONTAINS(line, ran.text.c_str());
  }
  CHECK(ran.text.find("packets_forwarded") == std::string::npos);
}

TEST(Hawthornctl, WatchPrintsAnObjectALine) {
  FakeProcess balancer(EntryStatus());
  balancer.before_answer = [](ProcessStatus& status, int n) {
    status.counters["drop_no_target"] += n;
  };
  const Ran ran =
      RunTool("watch --json --for 1 --balancer " + balancer.Address());
  std::istringstream lines(ran.text);
  bool rates = false;
  for (std::string line; std::getline(lines, line);) {
    const auto value = nlohmann::json::parse(line);
    CHECK(value.contains("time"));
    rates = rates || (value.at("event") == "refusals" &&
                      value.at("rates").contains("drop_no_target"));
  }
  CHECK(rates);
}

TEST(Hawthornctl, WatchSaysThatNothingAnswersAndGoesOn) {
  const Ran silent =
      RunTool(std::string("watch --for 1 --balancer ") + kNobody);
  LONGS_EQUAL(5, silent.code);
  STRCMP_CONTAINS("no balancer answers", silent.text.c_str());
}

TEST(Hawthornctl, SheetCheckAsJsonListsEveryFault) {
  const TemporaryFile file(
      Replaced(Replaced(ReadSheet(), "udp", "upd"), ",7,", ",x,"));
  const Ran ran = RunTool("sheet check --json " + file.Path());
  LONGS_EQUAL(2, ran.code);
  const auto value = nlohmann::json::parse(ran.text);
  CHECK(!value.at("ok").get<bool>());
  const auto& faults = value.at("faults");
  LONGS_EQUAL(2, faults.size());
  LONGS_EQUAL(2, faults[0].at("row").get<int>());
  STRCMP_EQUAL("C", faults[0].at("column").get<std::string>().c_str());
  STRCMP_EQUAL("transport", faults[0].at("key").get<std::string>().c_str());
  STRCMP_CONTAINS("udp", faults[0].at("why").get<std::string>().c_str());
  STRCMP_EQUAL("targets", faults[1].at("key").get<std::string>().c_str());
  const Ran good = RunTool("sheet check --json " + kSheet);
  LONGS_EQUAL(0, good.code);
  CHECK(nlohmann::json::parse(good.text).at("faults").empty());
}

TEST(Hawthornctl, SheetDiffAsJson) {
  Tool("sheet import " + kSheet);
  const TemporaryFile file(Replaced(ReadSheet(), ",7,", ",9,"));
  const auto changes =
      nlohmann::json::parse(Tool("sheet diff --json " + file.Path()).text);
  LONGS_EQUAL(1, changes.size());
  STRCMP_EQUAL("targets", changes[0].at("field").get<std::string>().c_str());
  STRCMP_EQUAL("9", changes[0].at("after").get<std::string>().c_str());
}

TEST(Hawthornctl, MetricsOfThoseThatAnswer) {
  const FakeProcess balancer(EntryStatus());
  const std::string options = std::string("metrics --balancer ") + kNobody +
                              " --balancer " + balancer.Address();
  const Ran ran = RunTool(options);
  LONGS_EQUAL(5, ran.code);
  STRCMP_CONTAINS("127.0.0.1:1 does not answer", ran.text.c_str());
  STRCMP_CONTAINS("hawthornbank_drop_no_target 3", ran.text.c_str());
  const auto value = nlohmann::json::parse(
      RunTool("metrics --json --balancer " + balancer.Address()).text);
  LONGS_EQUAL(
      3, value[0].at("metrics").at("hawthornbank_drop_no_target").get<int>());
}

TEST(Hawthornctl, NamesThatCannotBeCheckedNeedAFlag) {
  Tool("sheet import " + kSheet);
  const std::string silent = std::string(" --balancer ") + kNobody;
  CheckRefused("target drain fitquote-1" + silent, 5, "give --unchecked");
  CheckRefused("balancer stop entry-1" + silent, 5, "give --unchecked");
  CheckRefused("target drain fitquote-1", 2, "give --unchecked");
  CheckRefused("target drain 'fit quote' --unchecked" + silent, 2, "fit quote");
  for (const auto* const command :
       {"target drain fitquote-1", "balancer stop entry-1"}) {
    const Ran ran = Tool(std::string(command) + " --unchecked" + silent);
    LONGS_EQUAL(0, ran.code);
    STRCMP_CONTAINS("not checked whether there is a", ran.text.c_str());
  }
  // What leaves is in the configuration, so that no balancer is needed.
  LONGS_EQUAL(0, Tool("target undrain fitquote-1" + silent).code);
  LONGS_EQUAL(0, Tool("balancer resume entry-1" + silent).code);
}

TEST(Hawthornctl, ARetryIsNotRepeatedUnderALaterChange) {
  Tool("sheet import " + kSheet);
  Tool("service set fitquote weight=90 --operation op-90");
  Tool("service set fitquote weight=80");
  const Ran again = Tool("service set fitquote weight=90 --operation op-90");
  LONGS_EQUAL(0, again.code);
  STRCMP_CONTAINS("Accepted: generation 2, operation op-90",
                  again.text.c_str());
  LONGS_EQUAL(3, Version());
  Fault(R"({"forget_history":true})");
  const Ran unknown = Tool("service set fitquote weight=90 --operation op-90");
  LONGS_EQUAL(6, unknown.code);
  STRCMP_CONTAINS("Nothing is written now", unknown.text.c_str());
  LONGS_EQUAL(3, Version());
}

TEST(Hawthornctl, EveryChangeHasADryRun) {
  const FakeProcess balancer(EntryStatus());
  const std::string option = " --dry-run --balancer " + balancer.Address();
  CheckRefused("sheet import " + kSheet + option, 0, "nothing is written");
  Tool("sheet import " + kSheet);
  CheckRefused("service set fitquote weight=90" + option, 0,
               "~ service fitquote: weight 100 -> 90");
  CheckRefused("target drain fitquote-1" + option, 0,
               "~ target fitquote-1: state serving -> draining");
  CheckRefused("balancer stop entry-1" + option, 0,
               "~ balancer entry-1: state serving -> stopping");
  Tool("target drain fitquote-1 --unchecked");
  Tool("balancer stop entry-1 --unchecked");
  CheckRefused("target undrain fitquote-1" + option, 0,
               "~ target fitquote-1: state draining -> serving");
  CheckRefused("balancer resume entry-1" + option, 0,
               "~ balancer entry-1: state stopping -> serving");
}
