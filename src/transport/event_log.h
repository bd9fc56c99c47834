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
/// Structured log lines (key=value) on standard output, bounded and never
/// blocking.
///
///     log.Write(EventKind::kFlow, now, "flow_placed flow={} agent={}", ...);
namespace hawthornbank::transport {

/// What a line tells of; each kind has its own budget.
enum class EventKind : std::uint8_t {
  kProcess,     ///< Start, stop, reload.
  kDependency,  ///< Something that is needed was lost or regained.
  kBelief,      ///< What the process believes changed.
  kFlow,        ///< A decision on a flow.
  kRefusal,     ///< A flow or request was refused, reset or lost.
  kInput,       ///< Something couldn't be read.
  kCount,
};

/// Number of kinds.
inline constexpr auto kEventKindCount =
    static_cast<std::size_t>(EventKind::kCount);

/// Lines a second of one kind. A balancer opens about forty flows a second at
/// the load of a busy day.
inline constexpr std::uint32_t kLinesPerSecond = 100;

/// Bytes that wait for a reader. Further lines are counted and left out.
inline constexpr std::size_t kLogBufferBytes = std::size_t{32} * 1024;

/// Writes log lines.
class EventLog {
 public:
  /// @param descriptor Where lines go; it is switched to non-blocking writes.
  /// @param name Name of this process in each line.
  EventLog(int descriptor, std::string name);

  EventLog(const EventLog&) = delete;
  auto operator=(const EventLog&) -> EventLog& = delete;
  ~EventLog();

  /// Writes a line.
  /// @param kind What it tells of.
  /// @param now The present instant.
  /// @param format An event's name, then key=value pairs.
  /// @param arguments The values.
  template <class... Arguments>
  auto Write(EventKind kind,
             TimePoint now,
             fmt::format_string<Arguments...> format,
             Arguments&&... arguments) -> void {
    if (!Admit(kind, now)) {
      return;
    }
    line_.clear();
    Begin(kind);
    fmt::format_to(std::back_inserter(line_), format,
                   std::forward<Arguments>(arguments)...);
    End();
  }

  /// Hands waiting bytes to the reader, as far as it takes them.
  auto Flush() -> void;

  /// @return Lines that were left out so far.
  [[nodiscard]] auto dropped() const -> std::uint64_t { return dropped_; }
  /// @return Lines that were written so far.
  [[nodiscard]] auto written() const -> std::uint64_t { return written_; }

 private:
  struct Budget {
    TimePoint second{};
    std::uint32_t used = 0;
    std::uint64_t left_out = 0;
  };

  auto Admit(EventKind kind, TimePoint now) -> bool;
  auto Begin(EventKind kind) -> void;
  auto End() -> void;

  int descriptor_;
  std::string name_;
  fmt::memory_buffer line_;
  std::string waiting_;
  std::array<Budget, kEventKindCount> budgets_;
  std::uint64_t dropped_ = 0;
  std::uint64_t written_ = 0;
};

/// @param flow A flow.
/// @return "caller>address", which links a complaint to lines.
auto FlowText(const FlowKey& flow) -> std::string;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_EVENT_LOG_H_
