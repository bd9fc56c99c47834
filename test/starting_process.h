#ifndef HAWTHORNBANK_TEST_STARTING_PROCESS_H_
#define HAWTHORNBANK_TEST_STARTING_PROCESS_H_

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <thread>

/// @file
/// A hawthornnode process that waits for its settings.
namespace hawthornbank::test {

inline constexpr auto kStepTimeout = std::chrono::seconds{30};
inline constexpr auto kPause = std::chrono::milliseconds{5};

/// Checks a condition every few milliseconds.
/// @param condition The condition; each call may change something.
/// @return Whether it has held, within a time far longer than any step takes.
inline auto WaitUntil(const std::function<bool()>& condition) -> bool {
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

  // Writes the settings that the process waits for, and puts a regular file in
  // the place of the pipe, with the same or other settings.
  auto WriteLastSettings(const std::string& text) -> void {
    WriteSettings(text, text);
  }
  auto WriteSettings(const std::string& text, const std::string& next) -> void {
    ReplaceFile(next);
    WriteSettings(text);
  }

  // Replaces the regular file at once; the new one has a modification time if
  // that is given. Returns its modification time.
  auto ReplaceFile(const std::string& text,
                   std::optional<std::filesystem::file_time_type> time = {})
      const -> std::filesystem::file_time_type {
    const std::string file = path_.string() + ".file";
    std::ofstream(file) << text;
    if (time.has_value()) {
      std::filesystem::last_write_time(file, *time);
    }
    std::filesystem::rename(file, path_);
    return std::filesystem::last_write_time(path_);
  }

  auto SendSignal(int signal) const -> void { ::kill(pid_, signal); }

  [[nodiscard]] auto CountLogLines(const std::string& text) const -> int {
    std::ifstream log(log_path_);
    int count = 0;
    for (std::string line; std::getline(log, line);) {
      count += line.find(text) != std::string::npos ? 1 : 0;
    }
    return count;
  }

  [[nodiscard]] auto WaitForLogLine(const std::string& text) const -> bool {
    return WaitForLogLines(text, 1);
  }
  [[nodiscard]] auto WaitForLogLines(const std::string& text, int count) const
      -> bool {
    return WaitUntil([&] { return CountLogLines(text) >= count; });
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

}  // namespace hawthornbank::test

#endif  // HAWTHORNBANK_TEST_STARTING_PROCESS_H_
