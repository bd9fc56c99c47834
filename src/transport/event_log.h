#ifndef HAWTHORNBANK_SRC_TRANSPORT_EVENT_LOG_H_
#define HAWTHORNBANK_SRC_TRANSPORT_EVENT_LOG_H_

#include <fmt/format.h>

#include <array>
#include <cstdint>
#include <iterator>
#include <string>
#include <string_view>

#include "hawthornbank/flow_key.h"
#include "hawthornbank/types.h"

/// @file
/// Structured log lines (key=value) on standard output. Writing never blocks,
/// and the number of lines and buffered bytes is limited.
///
///     log.WriteEvent(EventKind::kFlow, now, "flow_relayed flow={} agent={}",
///     ...);
namespace hawthornbank::transport {

/// Kind of a log line; each kind has its own rate limit.
enum class EventKind : std::uint8_t {
  kProcess,         ///< Start, stop, reload.
  kDependency,      ///< The store or registry failed or recovered.
  kStateChange,     ///< A change in the process's view of the system.
  kFlow,            ///< A decision about a flow.
  kRefusal,         ///< A flow or packet was refused, reset or dropped.
  kMalformedInput,  ///< Malformed or invalid input.
  kCount,
};

/// Number of event kinds.
inline constexpr auto kEventKindCount =
    static_cast<std::size_t>(EventKind::kCount);

/// Maximum number of lines of each kind per second. At the load of a busy day,
/// a balancer opens about forty flows per second.
inline constexpr std::uint32_t kMaxLinesPerSecond = 100;

/// Size of the buffer for bytes that the reader has not taken yet, in bytes.
/// While the buffer is full, new lines are dropped and counted.
inline constexpr std::size_t kMaxPendingLogBytes = std::size_t{32} * 1024;

/// Writes log lines.
class EventLog {
 public:
  /// @param descriptor File descriptor to write to, which is switched to
  /// non-blocking mode.
  /// @param name Name of this process, contained in each line.
  EventLog(int descriptor, std::string name);

  EventLog(const EventLog&) = delete;
  auto operator=(const EventLog&) -> EventLog& = delete;
  ~EventLog();

  /// Writes a log line, or drops it when a limit is reached.
  /// @param kind Kind of the event.
  /// @param now Current time.
  /// @param format Name of the event, then key=value pairs.
  /// @param arguments The values to insert into `format`.
  template <class... Arguments>
  auto WriteEvent(EventKind kind,
                  TimePoint now,
                  fmt::format_string<Arguments...> format,
                  Arguments&&... arguments) -> void {
    if (!CountLineAgainstLimits(kind, now)) {
      return;
    }
    line_.clear();
    BeginLogLine(kind);
    fmt::format_to(std::back_inserter(line_), format,
                   std::forward<Arguments>(arguments)...);
    FinishLogLine();
  }

  /// Writes as many buffered bytes as the reader accepts without blocking.
  auto FlushPendingBytes() -> void;

  /// @return Number of lines dropped since the log was created.
  [[nodiscard]] auto dropped_lines() const -> std::uint64_t {
    return dropped_lines_;
  }
  /// @return Number of lines written or buffered since the log was created.
  [[nodiscard]] auto written_lines() const -> std::uint64_t {
    return written_lines_;
  }

 private:
  struct LineBudget {
    TimePoint second_start{};
    std::uint32_t lines_used = 0;
    std::uint64_t dropped_lines = 0;
  };

  // Returns whether the line may be written. The first call in a new second
  // also writes how many lines of the kind were dropped before, if any.
  auto CountLineAgainstLimits(EventKind kind, TimePoint now) -> bool;
  auto BeginLogLine(EventKind kind) -> void;
  auto FinishLogLine() -> void;

  int descriptor_;
  std::string name_;
  fmt::memory_buffer line_;
  std::string pending_;
  std::array<LineBudget, kEventKindCount> budgets_;
  std::uint64_t dropped_lines_ = 0;
  std::uint64_t written_lines_ = 0;
};

/// @param flow A flow.
/// @return "caller>address". Operators search the log for this text when a user
/// reports a problem with the flow.
auto FormatFlow(const FlowKey& flow) -> std::string;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_EVENT_LOG_H_
