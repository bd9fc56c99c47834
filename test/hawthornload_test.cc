#include <httplib.h>
#include <spawn.h>
#include <unistd.h>

#include <asio.hpp>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "../apps/hawthornload/arrivals.h"
#include "run_program.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace hawthornbank::load;
using nlohmann::json;

namespace {

const std::string kSheet = TEST_DATA_DIR "/examples/trentmoor.csv";
constexpr std::chrono::milliseconds kRun{1200};
constexpr std::uint64_t kSeed = 7;

/// @return A port of loopback that is free for now.
auto FreePort() -> int {
  asio::io_context io;
  const asio::ip::tcp::acceptor acceptor(io,
                                         {asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

auto Loopback(int port) -> std::string {
  return "127.0.0.1:" + std::to_string(port);
}

/// A stand-in of a target in a process of its own.
class TargetProcess {
 public:
  explicit TargetProcess(const std::string& kind) {
    const auto self = std::filesystem::read_symlink("/proc/self/exe");
    const auto path =
        self.parent_path().parent_path() / "standins/standin_target";
    std::vector<std::string> words = {
        path.string(), "--listen", Address(), "--stats", Loopback(stats_),
        "--name",      kind,       "--kind",  kind};
    std::vector<char*> arguments;
    for (auto& it : words) {
      arguments.push_back(it.data());
    }
    arguments.push_back(nullptr);
    if (posix_spawn(&pid_, path.c_str(), nullptr, nullptr, arguments.data(),
                    environ) != 0) {
      pid_ = 0;
    }
    while (IsRunning() && Stats().empty()) {
      std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
  }
  TargetProcess(const TargetProcess&) = delete;
  auto operator=(const TargetProcess&) -> TargetProcess& = delete;
  ~TargetProcess() {
    if (IsRunning()) {
      kill(pid_, SIGTERM);
      waitpid(pid_, nullptr, 0);
    }
  }

  auto Address() const -> std::string { return Loopback(port_); }
  auto Stats() const -> json {
    const auto answer = httplib::Client("127.0.0.1", stats_).Get("/stats");
    return answer ? json::parse(answer->body) : json::object();
  }

 private:
  /// Forgets a process that has ended, as its id may be used again.
  auto IsRunning() -> bool {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) != 0) {
      pid_ = 0;
    }
    return pid_ > 0;
  }

  int port_ = FreePort();
  int stats_ = FreePort();
  pid_t pid_ = 0;  ///< 0 when it is not running.
};

/// @return Calls that the sheet's day asks of a service, by the seed alone.
auto CountPlanned(const Workload& workload) -> std::size_t {
  const LoadOptions options{.services = {{.workload = workload}},
                            .duration = kRun,
                            .seed = kSeed,
                            .sheet = kSheet,
                            .day = "daily"};
  const Clock::time_point start(std::chrono::seconds{1});
  auto arrivals = MakeArrivals(options, start);
  return TakeDue(arrivals, options, start + kRun).size();
}

/// Runs a compressed day against one target.
auto RunDay(const TargetProcess& target, const std::string& service) -> json {
  const auto report = std::filesystem::temp_directory_path() /
                      ("hawthornload_test_" + std::to_string(getpid()));
  const auto ran = test::RunProgram(
      "apps/hawthornload",
      "--service " + service + "=" + target.Address() + " --sheet " + kSheet +
          " --seconds 1.2 --seed 7 --upload-bytes 3000 --report " +
          report.string());
  LONGS_EQUAL_TEXT(0, ran.code, ran.text.c_str());
  std::ifstream file(report);
  const auto value = json::parse(file, nullptr, false);
  std::filesystem::remove(report);
  return value.is_object() ? value : json::object();
}

/// Each call that the sheet asks for is started, and ends in one way.
auto CheckCalls(const json& report,
                const json::json_pointer& place,
                std::size_t planned) -> void {
  const auto calls = report.value(place, json::object());
  const auto count = [&calls](const char* name) {
    return calls.value(name, std::size_t{0});
  };
  CHECK(planned > 0);
  LONGS_EQUAL(planned, count("started"));
  LONGS_EQUAL(planned, count("answered") + count("refused") + count("unknown") +
                           count("lost"));
  LONGS_EQUAL(0, count("crossed"));
}

}  // namespace

TEST_GROUP(Hawthornload){};

TEST(Hawthornload, ADayOfRequestsIsStartedAsTheSheetAsks) {
  const TargetProcess target("fitquote");
  const auto report = RunDay(target, "fitquote");
  CheckCalls(report, json::json_pointer("/requests/fitquote"),
             CountPlanned({.service = "fitquote", .request_path = "quote"}));
  LONGS_EQUAL(0, target.Stats().value("wrong_service", -1));
}

TEST(Hawthornload, ADayOfUploadsIsStartedAsTheSheetAsks) {
  const TargetProcess target("planstore");
  const auto report = RunDay(target, "planstore");
  CheckCalls(report, json::json_pointer("/uploads/planstore"),
             CountPlanned({.service = "planstore", .upload_path = "plan"}));
  LONGS_EQUAL(0, target.Stats().value("wrong_service", -1));
}

TEST(Hawthornload, ACallerOfAnotherServiceIsSeen) {
  const TargetProcess target("planstore");
  RunDay(target, "fitquote");
  CHECK(target.Stats().value("wrong_service", 0) > 0);
}
