#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <thread>

#include "soak/node_process.h"
#include "soak/node_settings.h"

// Sends signals to the program `hawthornnode` at moments at which no role
// waits for them.

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kHost = 0x7F000141;
constexpr auto kStepTimeout = 30s;
constexpr auto kPause = 5ms;

auto WaitUntil(const std::function<bool()>& condition) -> bool {
  const auto end = std::chrono::steady_clock::now() + kStepTimeout;
  bool holds = condition();
  while (!holds && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kPause);
    holds = condition();
  }
  return holds;
}

// A process whose settings file is a named pipe: it has begun and waits while
// the test hasn't written the settings.
class StartingProcess {
 public:
  StartingProcess()
      : path_(std::filesystem::temp_directory_path() /
              ("signals-" + std::to_string(::getpid()) + ".pipe")),
        log_path_(path_.string() + ".log") {
    std::filesystem::remove(path_);
    CHECK_EQUAL(0, ::mkfifo(path_.c_str(), 0600));
    std::string program = HAWTHORNNODE;
    std::string variable = "HAWTHORNBANK_NODE_FILE=" + path_.string();
    std::array<char*, 2> environment = {variable.data(), nullptr};
    std::array<char*, 2> arguments = {program.data(), nullptr};
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path_.c_str(),
                                     O_CREAT | O_TRUNC | O_WRONLY, 0600);
    CHECK_EQUAL(0, ::posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                 arguments.data(), environment.data()));
    posix_spawn_file_actions_destroy(&actions);
  }
  StartingProcess(const StartingProcess&) = delete;
  auto operator=(const StartingProcess&) -> StartingProcess& = delete;
  ~StartingProcess() {
    if (!PollExitCode().has_value() && pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    std::filesystem::remove(path_);
    std::filesystem::remove(log_path_);
  }

  // Waits until the process reads its settings, and keeps it from reading
  // further until WriteSettings() is called.
  auto WaitForReader() -> bool {
    return WaitUntil([this] {
             pipe_ = ::open(path_.c_str(), O_WRONLY | O_NONBLOCK);
             return pipe_ >= 0 || PollExitCode().has_value();
           }) &&
           pipe_ >= 0;
  }

  auto WriteSettings(const std::string& text) -> void {
    CHECK_EQUAL(static_cast<ssize_t>(text.size()),
                ::write(pipe_, text.data(), text.size()));
    ::close(pipe_);
    pipe_ = -1;
  }

  // Writes the settings, and puts a regular file in the place of the pipe.
  auto WriteLastSettings(const std::string& text) -> void {
    const std::string file = path_.string() + ".file";
    std::ofstream(file) << text;
    std::filesystem::rename(file, path_);
    WriteSettings(text);
  }

  auto SendSignal(int signal) const -> void { ::kill(pid_, signal); }

  auto WaitForLogLine(const std::string& text) -> bool {
    return WaitUntil([&] {
      std::ostringstream log;
      log << std::ifstream(log_path_).rdbuf();
      return log.str().find(text) != std::string::npos;
    });
  }

  // Exit code, or the negated number of the signal that ended the process.
  auto PollExitCode() -> std::optional<int> {
    int status = 0;
    if (!exit_code_.has_value() && ::waitpid(pid_, &status, WNOHANG) == pid_) {
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return exit_code_;
  }

 private:
  std::filesystem::path path_;
  std::filesystem::path log_path_;
  pid_t pid_ = 0;
  int pipe_ = -1;
  std::optional<int> exit_code_;
};

}  // namespace

TEST_GROUP(NodeSignals) {
  soak::HostPorts ports = soak::FindFreePorts(kHost);

  auto BuildSettings(const std::string& service)->std::string {
    return soak::FormatNodeSettings(
        ports,
        soak::NodeParameters{.name = "n",
                             .host = kHost,
                             .seed_hosts = {kHost},
                             .store = {.address = kHost, .port = ports.store},
                             .service = service});
  }

  static auto CountLines(const soak::NodeProcess& process,
                         const std::string& text)
      ->int {
    const std::string log = process.ReadLogFile();
    int count = 0;
    for (auto at = log.find(text); at != std::string::npos;
         at = log.find(text, at + 1)) {
      ++count;
    }
    return count;
  }

  void setup() override {
    ::signal(SIGPIPE, SIG_IGN);
  }
};

// Guards against a process that ends because its settings change while it
// starts.
TEST(NodeSignals, HangUpBeforeTheFirstRoleReadsTheSettingsAgain) {
  StartingProcess process;
  CHECK(process.WaitForReader());
  process.SendSignal(SIGHUP);
  std::this_thread::sleep_for(20 * kPause);
  CHECK_FALSE(process.PollExitCode().has_value());
  process.WriteSettings(BuildSettings("s"));
  CHECK(process.WaitForLogLine("event=start "));
  CHECK(process.WaitForReader());
  process.WriteLastSettings(BuildSettings("s"));
  CHECK(process.WaitForLogLine("event=reload cause=signal"));
  process.SendSignal(SIGTERM);
  CHECK(WaitUntil([&] { return process.PollExitCode().has_value(); }));
  LONGS_EQUAL(0, *process.PollExitCode());
}

TEST(NodeSignals, TerminationBeforeTheFirstRoleStopsIt) {
  StartingProcess process;
  CHECK(process.WaitForReader());
  process.SendSignal(SIGTERM);
  std::this_thread::sleep_for(20 * kPause);
  CHECK_FALSE(process.PollExitCode().has_value());
  process.WriteLastSettings(BuildSettings("s"));
  CHECK(WaitUntil([&] { return process.PollExitCode().has_value(); }));
  LONGS_EQUAL(0, *process.PollExitCode());
}

// Guards against a process that goes on after SIGTERM, as the signal was read
// together with one that made it another node.
TEST(NodeSignals, TerminationReadWithAChangeOfIdentityStopsTheProcess) {
  soak::NodeProcess process(HAWTHORNNODE, BuildSettings("s"), "signals");
  CHECK(WaitUntil([&] { return CountLines(process, "event=start ") == 1; }));
  process.SendSignal(SIGSTOP);
  process.WriteSettingsFile(BuildSettings("t"));
  process.SendSignal(SIGHUP);
  process.SendSignal(SIGTERM);
  process.SendSignal(SIGCONT);
  std::optional<int> code;
  CHECK(WaitUntil([&] {
    code = code.has_value() ? code : process.PollExitCode();
    return code.has_value() || CountLines(process, "event=start ") > 1;
  }));
  LONGS_EQUAL(0, code.value_or(-1));
}

TEST(NodeSignals, TerminationWhileAnAddressIsInUseIsLogged) {
  soak::NodeProcess former(HAWTHORNNODE, BuildSettings("s"), "former");
  CHECK(WaitUntil([&] { return CountLines(former, "event=start ") == 1; }));
  soak::NodeProcess process(HAWTHORNNODE, BuildSettings("t"), "waiting");
  CHECK(WaitUntil([&] { return CountLines(process, "bind_failed") == 1; }));
  process.SendSignal(SIGTERM);
  std::optional<int> code;
  CHECK(WaitUntil([&] {
    code = code.has_value() ? code : process.PollExitCode();
    return code.has_value();
  }));
  LONGS_EQUAL(0, *code);
  LONGS_EQUAL(1, CountLines(process, "event=stop cause=bind"));
}
