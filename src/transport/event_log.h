#ifndef HAWTHORNBANK_SRC_TRANSPORT_EVENT_LOG_H_
#define HAWTHORNBANK_SRC_TRANSPORT_EVENT_LOG_H_

#include <fmt/format.h>

#include <array>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hawthornbank/flow_key.h"
#include "hawthornbank/types.h"

/// @file
/// Structured log lines (key=value) on standard output. Writing never blocks,
/// and the number of lines and buffered bytes is limited. Events beyond a limit
/// are counted by event and reason, and each count is written as one line with
/// the first and the last flow, so that every decision can be accounted for.
///
///     log.WriteEvent(EventKind::kStateChange, now, "routes_in_force
///     version={}",
///     ...);
///     log.WriteFlowEvent(EventKind::kRefusal, now,
///                        {.name = "flow_reset", .flow = flow, .reason =
///                        "full"}, "version={}", ...);
namespace hawthornbank::transport {

/// Kind of a log line; each kind has its own rate limit.
enum class EventKind : std::uint8_t {
  kProcess,         ///< Start, stop, reload.
  kDependency,      ///< The store or registry failed or recovered.
  kStateChange,     ///< A change in the process's view of the system.
  kOpening,         ///< A decision about the opening of a flow.
  kFlow,            ///< Another decision about a flow.
  kRefusal,         ///< A flow or packet was refused, reset or dropped.
  kMalformedInput,  ///< Malformed or invalid input.
  kCount,
};

/// Number of event kinds.
inline constexpr auto kEventKindCount =
    static_cast<std::size_t>(EventKind::kCount);

/// Maximum number of lines of a kind per second.
inline constexpr std::uint32_t kMaxLinesPerSecond = 100;

/// The same for openings, so that each has its lines: at the load of a busy
/// day, a balancer opens about forty flows per second, and 37,000 new flows per
/// second at 470 nodes are eighty per node. An opening can have copies and
/// several offers.
inline constexpr std::uint32_t kMaxOpeningLinesPerSecond = 300;

/// The same for refusals: callers complain of these, so their lines keep their
/// flows for longer than those of other kinds.
inline constexpr std::uint32_t kMaxRefusalLinesPerSecond = 300;

/// Interval at which the counts of events without a line of their own are
/// written.
inline constexpr Duration kSummaryInterval = std::chrono::milliseconds{100};

/// Maximum number of pairs of event and reason that are counted separately.
inline constexpr std::size_t kMaxEventCounts = 64;

/// Size of the buffer for bytes that the reader has not taken yet, in bytes.
/// While the buffer is full, events are counted only.
inline constexpr std::size_t kMaxPendingLogBytes = std::size_t{32} * 1024;

/// A decision about a flow.
struct FlowEvent {
  std::string_view name;
  FlowKey flow;
  std::string_view reason;  ///< May be empty.
};

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

  /// Writes a log line, or counts the event when a limit is reached.
  /// @param kind Kind of the event.
  /// @param now Current time.
  /// @param format Name of the event, then key=value pairs.
  /// @param arguments The values to insert into `format`.
  template <class... Arguments>
  auto WriteEvent(EventKind kind,
                  TimePoint now,
                  fmt::format_string<Arguments...> format,
                  Arguments&&... arguments) -> void {
    WriteCountsIfDue(now);
    if (!TakeLine(kind, now)) {
      const std::string text =
          fmt::format(format, std::forward<Arguments>(arguments)...);
      CountEvent(kind, std::string_view(text).substr(0, text.find(' ')), {},
                 std::nullopt, now);
      return;
    }
    BeginLogLine(kind);
    fmt::format_to(std::back_inserter(line_), format,
                   std::forward<Arguments>(arguments)...);
    FinishLogLine();
  }

  /// Writes a log line about a flow, or counts the event when a limit is
  /// reached.
  /// @param kind Kind of the event.
  /// @param now Current time.
  /// @param event Name, flow and reason.
  /// @param format Further key=value pairs.
  /// @param arguments The values to insert into `format`.
  template <class... Arguments>
  auto WriteFlowEvent(EventKind kind,
                      TimePoint now,
                      const FlowEvent& event,
                      fmt::format_string<Arguments...> format,
                      Arguments&&... arguments) -> void {
    AppendFlowEvent(kind, now, event, [&](fmt::memory_buffer& line) {
      fmt::format_to(std::back_inserter(line), format,
                     std::forward<Arguments>(arguments)...);
    });
  }

  /// Writes a log line about a flow whose further text is expensive, or counts
  /// the event when a limit is reached.
  /// @param kind Kind of the event.
  /// @param now Current time.
  /// @param event Name, flow and reason.
  /// @param append Called with the line, only if the line is written; appends
  /// further key=value pairs.
  template <class Append>
  auto AppendFlowEvent(EventKind kind,
                       TimePoint now,
                       const FlowEvent& event,
                       const Append& append) -> void {
    WriteCountsIfDue(now);
    if (!TakeLine(kind, now)) {
      CountEvent(kind, event.name, event.reason, event.flow, now);
      return;
    }
    BeginLogLine(kind);
    AppendNameAndFlow(event);
    append(line_);
    FinishLogLine();
  }

  /// Writes as many buffered bytes as the reader accepts without blocking.
  auto FlushPendingBytes() -> void;

  /// Writes the counts of events without a line of their own, once every
  /// kSummaryInterval.
  /// @param now Current time.
  auto WriteCountsIfDue(TimePoint now) -> void {
    if (!counts_.empty() && now - counts_.front().since >= kSummaryInterval) {
      WriteCounts(now);
    }
  }

  /// @return Number of events without a line of their own since the log was
  /// created.
  [[nodiscard]] auto counted_events() const -> std::uint64_t {
    return counted_events_;
  }
  /// @return Number of lines written or buffered since the log was created.
  [[nodiscard]] auto written_lines() const -> std::uint64_t {
    return written_lines_;
  }

 private:
  struct LineBudget {
    TimePoint second_start{};
    std::uint32_t lines_used = 0;
  };

  // Events of one name and reason without a line of their own.
  struct EventCount {
    EventKind kind = EventKind::kProcess;
    std::string name;
    std::string reason;
    std::uint64_t count = 0;
    std::optional<FlowKey> first;
    std::optional<FlowKey> last;
    TimePoint since{};
  };

  // Returns whether the limits allow a line of the kind, and counts it.
  auto TakeLine(EventKind kind, TimePoint now) -> bool;
  auto CountEvent(EventKind kind,
                  std::string_view name,
                  std::string_view reason,
                  const std::optional<FlowKey>& flow,
                  TimePoint now) -> void;
  auto FindOrAddCount(EventKind kind,
                      std::string_view name,
                      std::string_view reason,
                      TimePoint now) -> EventCount&;
  auto WriteCounts(TimePoint now) -> void;
  auto BeginLogLine(EventKind kind) -> void;
  auto AppendNameAndFlow(const FlowEvent& event) -> void;
  auto FinishLogLine() -> void;

  int descriptor_;
  std::string name_;
  fmt::memory_buffer line_;
  std::string pending_;
  std::array<LineBudget, kEventKindCount> budgets_;
  std::vector<EventCount> counts_;  ///< The oldest first.
  std::uint64_t counted_events_ = 0;
  std::uint64_t written_lines_ = 0;
};

/// Appends an endpoint like ToString(), without a string of its own.
/// @param endpoint The endpoint.
/// @param line The text is appended to it.
auto AppendEndpoint(Endpoint endpoint, fmt::memory_buffer& line) -> void;

/// @param flow A flow.
/// @return "caller>address". Operators search the log for this text when a user
/// reports a problem with the flow.
auto FormatFlow(const FlowKey& flow) -> std::string;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_EVENT_LOG_H_
