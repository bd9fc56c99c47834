#ifndef HAWTHORNBANK_SOAK_PROCESS_CLOCK_H_
#define HAWTHORNBANK_SOAK_PROCESS_CLOCK_H_

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Time of day of a single process, whose program is linked with
/// soak/clock_standin.cc: an offset is added to the machine's time of day.
namespace hawthornbank::soak {

/// Offset of a process's time of day, kept over restarts of the process.
class ProcessClock {
 public:
  /// @param name Prefix of the name of the file that holds the offset, which is
  /// in the system's directory for temporary files.
  /// @throws Error kInternal when the file can't be written.
  explicit ProcessClock(const std::string& name);
  ProcessClock(const ProcessClock&) = delete;
  auto operator=(const ProcessClock&) -> ProcessClock& = delete;
  ~ProcessClock();

  /// Steps the time of day; a process that runs sees the step at once.
  /// @param step Added to the offset; negative for a step back.
  /// @throws Error kInternal when the file can't be written.
  auto StepBy(Duration step) -> void;

  [[nodiscard]] auto offset() const -> Duration { return offset_; }

  /// @return Environment variables of a process that follows this clock, each
  /// as "NAME=value".
  [[nodiscard]] auto GetEnvironment() const -> std::vector<std::string>;

 private:
  auto WriteOffset() const -> void;

  std::filesystem::path path_;
  int file_ = -1;
  Duration offset_{};
};

/// @param log Log of a node, as hawthornnode writes it.
/// @return Time of day in the log's first complete line, in Unix milliseconds;
/// nothing if there is no such line.
auto ReadFirstLogTime(const std::string& log) -> std::optional<std::int64_t>;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_PROCESS_CLOCK_H_
