#ifndef HAWTHORNBANK_SOAK_NODE_PROCESS_H_
#define HAWTHORNBANK_SOAK_NODE_PROCESS_H_

#include <sys/types.h>

#include <filesystem>
#include <optional>
#include <string>

/// @file
/// A process of the real program. It ends with its object.
namespace hawthornbank::soak {

/// A running hawthornnode.
class NodeProcess {
 public:
  /// Starts it.
  /// @param program Path of hawthornnode.
  /// @param settings Text of its settings file.
  /// @param name Names its files in the directory of temporary files.
  /// @throws Error kInternal when it can't be started.
  NodeProcess(const std::string& program,
              const std::string& settings,
              const std::string& name);
  NodeProcess(const NodeProcess&) = delete;
  auto operator=(const NodeProcess&) -> NodeProcess& = delete;
  ~NodeProcess();

  /// @param signal What to send, unless it has ended.
  auto Signal(int signal) const -> void;

  /// Replaces the settings file.
  /// @param settings Its text.
  auto WriteSettings(const std::string& settings) const -> void;

  /// @return The exit code, or minus a signal's number, once it has ended.
  auto TryWait() -> std::optional<int>;

  /// @return What it has written so far.
  [[nodiscard]] auto Log() const -> std::string;

  /// Keeps the log file when the object ends.
  /// @return Its path.
  auto KeepLog() -> std::string;

 private:
  std::filesystem::path log_;
  std::filesystem::path settings_;
  pid_t pid_ = 0;
  bool keep_log_ = false;
};

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_NODE_PROCESS_H_
