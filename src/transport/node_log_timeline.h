#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_TIMELINE_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_TIMELINE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornbank/flow_key.h"
#include "transport/node_log_clocks.h"
#include "transport/node_log_directory.h"
#include "transport/node_log_line.h"
#include "transport/node_log_pairs.h"

/// @file
/// Timeline of one flow from the logs of balancers and agents: the lines about
/// the flow, and what the nodes that these lines name knew and went through at
/// that time.
///
/// Load pattern: gigabytes of logs, read twice. The first pass collects the
/// flow's lines, the second one the lines around them. Memory is bounded.
namespace hawthornbank::transport {

/// Maximum number of lines about the flow, and of lines around them.
inline constexpr std::size_t kMaxFlowLines = 2'000;
inline constexpr std::size_t kMaxContextLines = 2'000;

/// Maximum number of nodes whose lines are collected.
inline constexpr std::size_t kMaxInvolvedNodes = 64;

/// Kinds of lines that only the soak writes: a caller's packets, what was done
/// to the processes, and broken rules.
inline constexpr std::string_view kCallerKind = "caller";
inline constexpr std::string_view kDisruptionKind = "disruption";
inline constexpr std::string_view kViolationKind = "violation";

/// What to look for.
struct TimelineQuery {
  FlowKey flow;
  /// Sequence number of an opening, where a port was used for several flows.
  std::optional<std::int64_t> opening;
  std::optional<std::int64_t> from_ms;  ///< First time of a line, Unix ms.
  std::optional<std::int64_t> to_ms;    ///< Last time of a line, Unix ms.
  /// Time around each of the flow's lines from which other lines are taken.
  std::chrono::milliseconds window = std::chrono::seconds{5};
};

/// How a line belongs to a timeline.
enum class LineRole : std::uint8_t {
  kFlow,     ///< About the flow.
  kAround,   ///< Of an involved node, close to a line of the flow.
  kEarlier,  ///< The last one of its event before that: what the node knew.
};

/// A line of a timeline.
struct TimelineLine {
  std::string text;               ///< As the log has it.
  std::int64_t time_ms = 0;       ///< As the log has it.
  std::int64_t corrected_ms = 0;  ///< On the reference node's clock.
  LineRole role = LineRole::kFlow;
};

/// Number of lines that were read, and of those skipped by fault.
struct LogReadCounts {
  std::uint64_t files = 0;
  std::uint64_t lines = 0;
  std::array<std::uint64_t, kLogLineFaultCount> skipped{};
  std::vector<std::string> unread;  ///< Files that can't be read, with reason.
};

/// The timeline of a flow.
struct Timeline {
  TimelineQuery query;
  LogReadCounts counts;
  LogDirectory directory;
  std::vector<TimelineLine> lines;  ///< By corrected time.
  std::set<std::string> involved;   ///< Names of the nodes.
  /// Node with whose clock the others are compared: the first balancer.
  std::string reference;
  ClockOffsets clocks;
  std::uint64_t left_out = 0;  ///< Lines beyond the limits.
  /// Events close to the flow that involved nodes have only counted.
  std::uint64_t unlogged = 0;
};

/// Collects the timeline of a flow from lines that are read twice.
class TimelineCollector {
 public:
  explicit TimelineCollector(const TimelineQuery& query);

  /// @param text A line, in the first pass.
  /// @param fault Fault of the line, if LogLineSplitter found one.
  auto OnFirstPassLine(std::string_view text, std::optional<LogLineFault> fault)
      -> void;

  /// Ends the first pass.
  /// @return Whether there are lines about the flow; otherwise a second pass
  /// has no use.
  auto BeginSecondPass() -> bool;

  /// @param text A line, in the second pass; one with a fault is ignored.
  auto OnSecondPassLine(std::string_view text) -> void;

  /// @return Counts of the first pass; the reader adds the files.
  auto counts() -> LogReadCounts& { return timeline_.counts; }

  /// Orders the lines. The collector can't be used any more.
  /// @return The timeline.
  auto FinishTimeline() -> Timeline;

 private:
  [[nodiscard]] auto IsAboutFlow(const LogLine& line) const -> bool;
  auto KeepLinesOfOpening() -> void;
  auto FindInvolvedNodes() -> void;
  [[nodiscard]] auto IsContext(const LogLine& line) const -> bool;
  [[nodiscard]] auto IsNearFlow(std::int64_t time_ms) const -> bool;
  auto KeepEarlierLine(const LogLine& line, std::string_view text) -> void;
  [[nodiscard]] auto CompareClocks() const -> ClockOffsets;

  Timeline timeline_;
  std::string flow_text_;
  std::set<std::string, std::less<>> agents_;     ///< Control endpoints.
  std::set<std::string, std::less<>> balancers_;  ///< Names.
  std::vector<std::int64_t> times_;  ///< Of the flow's lines, in order.
  /// Latest line before the flow by node, event and host.
  std::map<std::string, TimelineLine> earlier_;
  OpeningPairs pairs_;       ///< Of all flows close to the flow's lines.
  OpeningPairs flow_pairs_;  ///< Of the flow's own lines.
  std::size_t context_lines_ = 0;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_TIMELINE_H_
