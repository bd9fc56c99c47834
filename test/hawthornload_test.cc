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
constexpr std::chrono::milliseconds kRunDuration{1200};
constexpr std::uint64_t kSeed = 7;

/// @return A TCP port of the loopback address that is currently free.
auto FindFreePort() -> int {
  asio::io_context io;
  const asio::ip::tcp::acceptor acceptor(io,
                                         {asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

auto FormatLoopbackAddress(int port) -> std::string {
  return "127.0.0.1:" + std::to_string(port);
}

/// Runs a stand-in of a target in its own process.
class TargetProcess {
 public:
  explicit TargetProcess(const std::string& kind) {
    const auto self = std::filesystem::read_symlink("/proc/self/exe");
    const auto path =
        self.parent_path().parent_path() / "standins/standin_target";
    std::vector<std::string> words = {path.string(),
                                      "--listen",
                                      FormatAddress(),
                                      "--stats",
                                      FormatLoopbackAddress(stats_port_),
                                      "--name",
                                      kind,
                                      "--kind",
                                      kind};
    std::vector<char*> arguments;
    for (auto& it : words) {
      arguments.push_back(it.data());
    }
    arguments.push_back(nullptr);
    if (posix_spawn(&pid_, path.c_str(), nullptr, nullptr, arguments.data(),
                    environ) != 0) {
      pid_ = 0;
    }
    while (ReapAndCheckProcess() && FetchStats().empty()) {
      std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
  }
  TargetProcess(const TargetProcess&) = delete;
  auto operator=(const TargetProcess&) -> TargetProcess& = delete;
  ~TargetProcess() {
    if (ReapAndCheckProcess()) {
      kill(pid_, SIGTERM);
      waitpid(pid_, nullptr, 0);
    }
  }

  auto FormatAddress() const -> std::string {
    return FormatLoopbackAddress(port_);
  }
  auto FetchStats() const -> json {
    const auto answer = httplib::Client("127.0.0.1", stats_port_).Get("/stats");
    return answer ? json::parse(answer->body) : json::object();
  }

 private:
  /// Reaps the process if it has ended, and clears its ID, because the
  /// operating system may reuse the ID.
  /// @return Whether the process is still running.
  auto ReapAndCheckProcess() -> bool {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) != 0) {
      pid_ = 0;
    }
    return pid_ > 0;
  }

  int port_ = FindFreePort();
  int stats_port_ = FindFreePort();
  pid_t pid_ = 0;  ///< Process ID; 0 when the process isn't running.
};

/// @return Number of calls of a service that the sheet's daily demand and kSeed
/// produce in a run of kRunDuration.
auto CountPlannedCalls(const Workload& workload) -> std::size_t {
  const LoadOptions options{.services = {{.workload = workload}},
                            .duration = kRunDuration,
                            .seed = kSeed,
                            .sheet_path = kSheet,
                            .day = "daily"};
  const Clock::time_point start(std::chrono::seconds{1});
  auto arrivals = CreateArrivals(options, start);
  return TakeDueArrivals(arrivals, options, start + kRunDuration).size();
}

/// Runs hawthornload against one target, with a day compressed into 1.2 s.
/// @return The JSON report of the run.
auto RunCompressedDay(const TargetProcess& target, const std::string& service)
    -> json {
  const auto report = std::filesystem::temp_directory_path() /
                      ("hawthornload_test_" + std::to_string(getpid()));
  const auto ran = test::RunBuiltProgram(
      "apps/hawthornload",
      "--service " + service + "=" + target.FormatAddress() + " --sheet " +
          kSheet + " --seconds 1.2 --seed 7 --upload-bytes 3000 --report " +
          report.string());
  LONGS_EQUAL_TEXT(0, ran.exit_code, ran.output.c_str());
  std::ifstream file(report);
  const auto value = json::parse(file, nullptr, false);
  std::filesystem::remove(report);
  return value.is_object() ? value : json::object();
}

/// Checks that each planned call was started and ended with exactly one
/// outcome, and that no call received the response to another call.
auto CheckCallCounts(const json& report,
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

TEST(Hawthornload, AllRequestsOfACompressedDayAreStarted) {
  const TargetProcess target("fitquote");
  const auto report = RunCompressedDay(target, "fitquote");
  CheckCallCounts(
      report, json::json_pointer("/requests/fitquote"),
      CountPlannedCalls({.service = "fitquote", .request_path = "quote"}));
  LONGS_EQUAL(0, target.FetchStats().value("wrong_service", -1));
}

TEST(Hawthornload, AllUploadsOfACompressedDayAreStarted) {
  const TargetProcess target("planstore");
  const auto report = RunCompressedDay(target, "planstore");
  CheckCallCounts(
      report, json::json_pointer("/uploads/planstore"),
      CountPlannedCalls({.service = "planstore", .upload_path = "plan"}));
  LONGS_EQUAL(0, target.FetchStats().value("wrong_service", -1));
}

TEST(Hawthornload, TargetCountsRequestsForAnotherService) {
  const TargetProcess target("planstore");
  RunCompressedDay(target, "fitquote");
  CHECK(target.FetchStats().value("wrong_service", 0) > 0);
}
