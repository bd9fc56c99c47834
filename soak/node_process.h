#ifndef HAWTHORNBANK_SOAK_NODE_PROCESS_H_
#define HAWTHORNBANK_SOAK_NODE_PROCESS_H_

#include <sys/types.h>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Child process that runs hawthornnode and is killed by the destructor.
namespace hawthornbank::soak {

/// A hawthornnode process with a settings file and a log file.
class NodeProcess {
 public:
  /// Writes the settings file and starts the process.
  /// @param program Path of hawthornnode.
  /// @param settings Text of the settings file.
  /// @param name Prefix of the names of the log file and the settings file,
  /// which are in the system's directory for temporary files.
  /// @param environment Further environment variables, each as "NAME=value".
  /// @throws Error kInternal when the process can't be started.
  NodeProcess(const std::string& program,
              const std::string& settings,
              const std::string& name,
              std::vector<std::string> environment = {});
  NodeProcess(const NodeProcess&) = delete;
  auto operator=(const NodeProcess&) -> NodeProcess& = delete;
  ~NodeProcess();

  /// Sends a signal, unless PollExitCode has already reported the exit.
  /// @param signal Number of the signal.
  auto SendSignal(int signal) const -> void;

  /// Replaces the settings file.
  /// @param settings Text of the file.
  auto WriteSettingsFile(const std::string& settings) const -> void;

  /// Checks without blocking whether the process has ended.
  /// @return Exit code, or the negated number of the signal that ended the
  /// process; nothing while the process runs, and in calls after the call that
  /// returned the code.
  auto PollExitCode() -> std::optional<int>;

  /// @return Content of the log file, which gets the process's standard output.
  [[nodiscard]] auto ReadLogFile() const -> std::string;

  /// Makes the destructor keep the log file instead of removing it.
  /// @return Path of the log file.
  auto KeepLogFile() -> std::string;

 private:
  std::filesystem::path log_path_;
  std::filesystem::path settings_path_;
  pid_t pid_ = 0;
  bool keeps_log_file_ = false;
};

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_NODE_PROCESS_H_
