#ifndef HAWTHORNBANK_SOAK_NODE_PROCESS_H_
#define HAWTHORNBANK_SOAK_NODE_PROCESS_H_

#include <sys/types.h>

#include <filesystem>
#include <optional>
#include <string>

/// @file
/// A child process of the real program, killed when its object is destroyed.
namespace hawthornbank::soak {

/// A running hawthornnode.
class NodeProcess {
 public:
  /// Starts the process.
  /// @param program Path of hawthornnode.
  /// @param settings Text of the settings file.
  /// @param name Prefix of the names of the log and settings files in the
  /// directory of temporary files.
  /// @throws Error kInternal when the process can't be started.
  NodeProcess(const std::string& program,
              const std::string& settings,
              const std::string& name);
  NodeProcess(const NodeProcess&) = delete;
  auto operator=(const NodeProcess&) -> NodeProcess& = delete;
  ~NodeProcess();

  /// Sends a signal, unless the process is known to have ended.
  /// @param signal Number of the signal.
  auto SendSignal(int signal) const -> void;

  /// Replaces the settings file.
  /// @param settings Text of the file.
  auto WriteSettingsFile(const std::string& settings) const -> void;

  /// Checks without blocking whether the process has ended.
  /// @return Exit code, or the negated number of the signal that ended the
  /// process; nothing while the process runs and in later calls.
  auto PollExitCode() -> std::optional<int>;

  /// @return Text that the process has written to its log so far.
  [[nodiscard]] auto ReadLogFile() const -> std::string;

  /// Keeps the log file when the object ends.
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
