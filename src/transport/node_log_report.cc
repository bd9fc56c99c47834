#include "transport/node_log_report.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <iterator>
#include <nlohmann/json.hpp>
#include <numeric>

#include "transport/event_log.h"
#include "transport/node_log_findings.h"
#include "transport/node_log_reading.h"

namespace hawthornbank::transport {
namespace {

using nlohmann::json;

constexpr std::int64_t kMsPerSecond = 1000;

auto FormatUtc(std::int64_t time_ms) -> std::string {
  const std::chrono::system_clock::time_point time{
      std::chrono::milliseconds{time_ms}};
  return fmt::format("{:%Y-%m-%d %H:%M:%S}.{:03} UTC",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(time)),
                     time_ms % kMsPerSecond);
}

auto FormatBound(const std::optional<std::chrono::milliseconds>& bound)
    -> std::string {
  return bound.has_value() ? fmt::format("{:+} ms", bound->count()) : "?";
}

auto FormatClock(const Timeline& timeline, const std::string& node)
    -> std::string {
  if (node == timeline.reference) {
    return "its clock is the reference";
  }
  const auto it = timeline.clocks.offsets.find(node);
  if (it == timeline.clocks.offsets.end()) {
    return "clock not compared";
  }
  const ClockOffset& offset = it->second;
  return fmt::format(
      "clock {} to {}, {}", FormatBound(offset.min), FormatBound(offset.max),
      offset.is_certain() ? fmt::format("corrected by {:+} ms",
                                        -ChooseCorrection(offset).count())
                          : std::string("not corrected"));
}

auto AppendNodes(const Timeline& timeline, std::string& text) -> void {
  text += "nodes\n";
  for (const auto& name : timeline.involved) {
    const auto it = timeline.directory.nodes.find(name);
    const bool is_known = it != timeline.directory.nodes.end();
    std::string controls;
    if (is_known) {
      for (const auto& control : it->second.controls) {
        controls += control + " ";
      }
    }
    text += fmt::format("  {} {} {}zone {}; {}\n", name,
                        is_known ? it->second.role : "?", controls,
                        is_known ? it->second.zone : "?",
                        FormatClock(timeline, name));
  }
  if (!timeline.clocks.is_consistent) {
    text +=
        "  the times of these nodes contradict each other: a clock was set or "
        "a node was suspended; nothing is corrected\n";
  } else if (timeline.clocks.is_of_flow_only) {
    text +=
        "  a clock was set or a node was suspended around that time: clocks "
        "are "
        "compared by the flow's own lines only, and other lines may be out of "
        "place\n";
  }
}

auto AppendLine(const Timeline& timeline,
                const TimelineLine& entry,
                std::int64_t start_ms,
                std::string& text) -> void {
  const auto parsed = ParseLogLine(entry.text);
  const auto* const line = std::get_if<LogLine>(&parsed);
  if (line == nullptr) {
    return;
  }
  const auto seconds =
      static_cast<double>(entry.corrected_ms - start_ms) / kMsPerSecond;
  text += fmt::format("{}{:+9.3f} t={} {} {}\n",
                      entry.role == LineRole::kFlow ? "* " : "  ", seconds,
                      entry.time_ms, line->node,
                      DescribeLogLine(*line, timeline.directory));
}

// Returns the time of the first line about the flow.
auto FindStart(const Timeline& timeline) -> std::int64_t {
  for (const auto& it : timeline.lines) {
    if (it.role == LineRole::kFlow) {
      return it.corrected_ms;
    }
  }
  return 0;
}

auto FormatQuery(const TimelineQuery& query) -> std::string {
  return fmt::format("flow {}{}", FormatFlow(query.flow),
                     query.opening.has_value()
                         ? fmt::format(", opening {}", *query.opening)
                         : "");
}

}  // namespace

auto FormatReadCounts(const LogReadCounts& counts) -> std::string {
  const auto skipped = std::accumulate(counts.skipped.begin(),
                                       counts.skipped.end(), std::uint64_t{0});
  std::string text = fmt::format("read {} files, {} lines; skipped {}",
                                 counts.files, counts.lines, skipped);
  const char* separator = ": ";
  for (std::size_t n = 0; n < kLogLineFaultCount; ++n) {
    if (counts.skipped.at(n) != 0) {
      text += fmt::format("{}{} {}", separator, counts.skipped.at(n),
                          ToString(static_cast<LogLineFault>(n)));
      separator = ", ";
    }
  }
  return text;
}

auto FormatTimeline(const Timeline& timeline) -> std::string {
  std::string text = FormatQuery(timeline.query) + "\n" +
                     FormatReadCounts(timeline.counts) + "\n";
  for (const auto& it : timeline.counts.unread) {
    text += "can't be read: " + it + "\n";
  }
  AppendNodes(timeline, text);
  const std::int64_t start_ms = FindStart(timeline);
  text += fmt::format(
      "timeline in seconds from {}; t is the time in the log; * marks lines "
      "about the flow\n",
      FormatUtc(start_ms));
  for (const auto& it : timeline.lines) {
    AppendLine(timeline, it, start_ms, text);
  }
  if (timeline.left_out != 0) {
    text += fmt::format(
        "  {} further lines are left out; limit the time or the opening\n",
        timeline.left_out);
  }
  if (timeline.unlogged != 0) {
    text += fmt::format(
        "  these nodes wrote no line for {} events around that time, as their "
        "lines are limited: lines about the flow may be missing\n",
        timeline.unlogged);
  }
  text += "conclusion\n";
  for (const auto& it : FindConclusions(timeline)) {
    if (it.rule.empty()) {
      text += fmt::format("  {}\n", it.text);
    } else {
      text += fmt::format("  {} {}: {}\n", it.rule,
                          it.is_seen ? "is broken" : "looks broken", it.text);
    }
  }
  return text;
}

auto FormatTimelineAsJson(const Timeline& timeline) -> std::string {
  json skipped = json::object();
  for (std::size_t n = 0; n < kLogLineFaultCount; ++n) {
    skipped[std::string(ToString(static_cast<LogLineFault>(n)))] =
        timeline.counts.skipped.at(n);
  }
  json nodes = json::array();
  for (const auto& it : timeline.involved) {
    nodes.push_back({{"node", it}, {"clock", FormatClock(timeline, it)}});
  }
  json lines = json::array();
  for (const auto& it : timeline.lines) {
    const auto parsed = ParseLogLine(it.text);
    const auto* const line = std::get_if<LogLine>(&parsed);
    if (line != nullptr) {
      lines.push_back(
          {{"corrected_ms", it.corrected_ms},
           {"about_flow", it.role == LineRole::kFlow},
           {"text", it.text},
           {"reading", DescribeLogLine(*line, timeline.directory)}});
    }
  }
  json findings = json::array();
  for (const auto& it : FindConclusions(timeline)) {
    findings.push_back(
        {{"rule", it.rule}, {"seen", it.is_seen}, {"text", it.text}});
  }
  return json{{"flow", FormatFlow(timeline.query.flow)},
              {"files", timeline.counts.files},
              {"unread", timeline.counts.unread},
              {"read_lines", timeline.counts.lines},
              {"skipped", skipped},
              {"clocks_consistent", timeline.clocks.is_consistent},
              {"nodes", nodes},
              {"lines", lines},
              {"left_out", timeline.left_out},
              {"unlogged", timeline.unlogged},
              {"conclusion", findings}}
             .dump(2, ' ', false, json::error_handler_t::replace) +
         "\n";
}

}  // namespace hawthornbank::transport
