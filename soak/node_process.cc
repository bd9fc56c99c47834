#include "soak/node_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <sstream>

#include "hawthornbank/error.h"

namespace hawthornbank::soak {

NodeProcess::NodeProcess(const std::string& program,
                         const std::string& settings,
                         const std::string& name,
                         std::vector<std::string> environment) {
  const auto base_path = std::filesystem::temp_directory_path() /
                         (name + '-' + std::to_string(::getpid()));
  log_path_ = base_path.string() + ".log";
  settings_path_ = base_path.string() + ".toml";
  WriteSettingsFile(settings);
  std::string program_path = program;
  environment.push_back("HAWTHORNBANK_NODE_FILE=" + settings_path_.string());
  std::vector<char*> variables;
  variables.reserve(environment.size() + 1);
  for (auto& it : environment) {
    variables.push_back(it.data());
  }
  variables.push_back(nullptr);
  std::array<char*, 2> arguments = {program_path.data(), nullptr};
  posix_spawn_file_actions_t actions{};
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path_.c_str(),
                                   O_CREAT | O_APPEND | O_WRONLY, 0600);
  const int ec = ::posix_spawn(&pid_, program_path.c_str(), &actions, nullptr,
                               arguments.data(), variables.data());
  posix_spawn_file_actions_destroy(&actions);
  if (ec != 0) {
    throw Error(ErrorKind::kInternal, program + ": process can't be started");
  }
}

NodeProcess::~NodeProcess() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  std::error_code ec;
  if (!keeps_log_file_) {
    std::filesystem::remove(log_path_, ec);
  }
  std::filesystem::remove(settings_path_, ec);
}

auto NodeProcess::SendSignal(int signal) const -> void {
  if (pid_ > 0) {
    ::kill(pid_, signal);
  }
}

auto NodeProcess::WriteSettingsFile(const std::string& settings) const -> void {
  std::ofstream(settings_path_) << settings;
}

auto NodeProcess::PollExitCode() -> std::optional<int> {
  int status = 0;
  if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) {
    return std::nullopt;
  }
  pid_ = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

auto NodeProcess::ReadLogFile() const -> std::string {
  std::ostringstream text;
  text << std::ifstream(log_path_).rdbuf();
  return text.str();
}

auto NodeProcess::KeepLogFile() -> std::string {
  keeps_log_file_ = true;
  return log_path_.string();
}

}  // namespace hawthornbank::soak
