#include "transport/node_log_timeline.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "transport/event_log.h"

namespace hawthornbank::transport {
namespace {

// Fields with the control endpoint of an agent that had to do with the flow.
constexpr auto kAgentKeys =
    std::to_array<std::string_view>({"agent", "remembered_agent"});

// Events of involved nodes that tell nothing about a flow.
constexpr auto kOtherEvents = std::to_array<std::string_view>(
    {"traffic", "service_named", "routes_asked", "routes_fetch_late",
     "routes_fetch_ended", "routes_kept", "registry_read", "registry_changed",
     "registry_unread", "own_record", "packet_malformed",
     "datagram_malformed"});

// Events whose last line before the flow tells what the node knew.
constexpr auto kKnowledgeEvents = std::to_array<std::string_view>(
    {"start", "identity_changed", "host_changed", "routes_in_force",
     "zones_out_of_service"});

// Longest time between two lines of a flow from which all other lines are
// taken. Packets of an open flow that its balancer remembers have no lines.
constexpr std::chrono::milliseconds kMaxQuietTime = std::chrono::minutes{2};

template <class List>
auto Contains(const List& list, std::string_view text) -> bool {
  return std::find(list.begin(), list.end(), text) != list.end();
}

auto IsNodeLine(const LogLine& line) -> bool {
  return line.kind != kCallerKind && line.kind != kDisruptionKind &&
         line.kind != kViolationKind;
}

auto IsAboutTarget(std::string_view event) -> bool {
  return event.starts_with("target_");
}

auto IsAboutHost(std::string_view event) -> bool {
  return event == "host_changed" || event == "host_forgotten";
}

// Parses a line that was parsed before.
auto ParseKeptLine(std::string_view text) -> LogLine {
  const auto parsed = ParseLogLine(text);
  const auto* const line = std::get_if<LogLine>(&parsed);
  return line == nullptr ? LogLine{} : *line;
}

// Returns the place of a line among lines of the same time: what a node knew,
// then the caller's packet, then offers of an opening in their order, each
// before the agent's decision.
auto GetRank(const LogLine& line) -> std::int64_t {
  constexpr std::int64_t kMaxCopies = 1000;
  constexpr std::int64_t kMaxAgents = 1000;
  constexpr std::int64_t kLast = 4 * kMaxCopies * kMaxAgents;
  const auto asked = FindNumber(line, "asked");
  if (line.kind == kCallerKind) {
    return 1;
  }
  if (!asked.has_value()) {
    const bool is_last =
        line.event == "flow_confirmed" || line.kind == kViolationKind;
    return is_last ? kLast : 0;
  }
  const auto copy = std::clamp<std::int64_t>(
      FindNumber(line, "copy").value_or(0), 0, kMaxCopies - 1);
  const auto place =
      copy * kMaxAgents + std::clamp<std::int64_t>(*asked, 0, kMaxAgents - 1);
  return 2 + 2 * place + (line.event == "flow_relayed" ? 0 : 1);
}

// Removes the lines without an opening's number that belong to another flow of
// the port: those before the opening and after the next one.
auto EraseLinesOfOtherOpenings(std::vector<TimelineLine>& lines,
                               std::int64_t opening) -> void {
  std::map<std::int64_t, std::int64_t> first_times;  // By opening.
  for (const auto& it : lines) {
    const auto number = FindNumber(ParseKeptLine(it.text), "opening");
    if (number.has_value()) {
      const auto [first, is_new] = first_times.emplace(*number, it.time_ms);
      first->second = std::min(first->second, it.time_ms);
    }
  }
  const auto own = first_times.find(opening);
  const bool has_own = own != first_times.end();
  std::optional<std::int64_t> next;
  for (const auto& [number, time_ms] : first_times) {
    if (has_own && time_ms > own->second) {
      next = std::min(next.value_or(time_ms), time_ms);
    }
  }
  std::erase_if(lines, [&](const TimelineLine& it) {
    const auto number = FindNumber(ParseKeptLine(it.text), "opening");
    return number.has_value() ? number != opening
                              : !has_own || it.time_ms < own->second ||
                                    (next.has_value() && it.time_ms >= *next);
  });
}

}  // namespace

TimelineCollector::TimelineCollector(const TimelineQuery& query)
    : flow_text_(FormatFlow(query.flow)) {
  timeline_.query = query;
}

auto TimelineCollector::OnFirstPassLine(std::string_view text,
                                        std::optional<LogLineFault> fault)
    -> void {
  ++timeline_.counts.lines;
  const auto parsed = fault.has_value()
                          ? std::variant<LogLine, LogLineFault>(*fault)
                          : ParseLogLine(text);
  if (const auto* const found = std::get_if<LogLineFault>(&parsed)) {
    ++timeline_.counts.skipped.at(static_cast<std::size_t>(*found));
    return;
  }
  const auto& line = std::get<LogLine>(parsed);
  RecordInDirectory(timeline_.directory, line);
  if (line.fields.find(flow_text_) == std::string_view::npos ||
      !IsAboutFlow(line)) {
    return;
  }
  if (timeline_.lines.size() >= kMaxFlowLines) {
    ++timeline_.left_out;
    return;
  }
  timeline_.lines.push_back(TimelineLine{.text = std::string(text),
                                         .time_ms = line.time_ms,
                                         .corrected_ms = line.time_ms});
}

auto TimelineCollector::IsAboutFlow(const LogLine& line) const -> bool {
  const TimelineQuery& query = timeline_.query;
  if (line.time_ms < query.from_ms.value_or(line.time_ms) ||
      line.time_ms > query.to_ms.value_or(line.time_ms)) {
    return false;
  }
  return line.event == "events_counted"
             ? FindField(line, "first") == flow_text_ ||
                   FindField(line, "last") == flow_text_
             : FindField(line, "flow") == flow_text_;
}

auto TimelineCollector::BeginSecondPass() -> bool {
  if (timeline_.query.opening.has_value()) {
    EraseLinesOfOtherOpenings(timeline_.lines, *timeline_.query.opening);
  }
  std::stable_sort(timeline_.lines.begin(), timeline_.lines.end(),
                   [](const TimelineLine& a, const TimelineLine& b) {
                     return a.time_ms < b.time_ms;
                   });
  FindInvolvedNodes();
  return !timeline_.lines.empty();
}

auto TimelineCollector::FindInvolvedNodes() -> void {
  std::set<std::string>& involved = timeline_.involved;
  bool has_offer = false;
  for (const auto& it : timeline_.lines) {
    times_.push_back(it.time_ms);
    const LogLine line = ParseKeptLine(it.text);
    if (!IsNodeLine(line)) {
      continue;
    }
    if (involved.size() < kMaxInvolvedNodes) {
      involved.emplace(line.node);
    }
    if (line.event == "events_counted") {
      continue;
    }
    flow_pairs_.AddLine(line);
    const bool is_offer = line.event == "flow_relayed";
    if (timeline_.reference.empty() || (is_offer && !has_offer)) {
      timeline_.reference = line.node;
    }
    has_offer = has_offer || is_offer;
    if (FindField(line, "from").empty() && line.event != "flow_offered") {
      balancers_.emplace(line.node);
    }
    for (const auto key : kAgentKeys) {
      const std::string_view agent = FindField(line, key);
      if (!agent.empty()) {
        agents_.emplace(agent);
      }
    }
    if (line.event == "packet_dropped" && !FindField(line, "first").empty()) {
      agents_.emplace(FindField(line, "first"));  // It gave no answer.
    }
  }
  for (const auto& it : agents_) {
    const auto names = timeline_.directory.names_by_control.find(it);
    if (names != timeline_.directory.names_by_control.end() &&
        involved.size() + names->second.size() <= kMaxInvolvedNodes) {
      involved.insert(names->second.begin(), names->second.end());
    }
  }
}

auto TimelineCollector::IsNearFlow(std::int64_t time_ms) const -> bool {
  const std::int64_t window = timeline_.query.window.count();
  const auto next = std::upper_bound(times_.begin(), times_.end(), time_ms);
  const bool has_next = next != times_.end();
  const bool has_previous = next != times_.begin();
  return (has_next && *next - time_ms <= window) ||
         (has_previous && time_ms - *std::prev(next) <= window) ||
         (has_next && has_previous &&
          *next - *std::prev(next) <= kMaxQuietTime.count());
}

auto TimelineCollector::IsContext(const LogLine& line) const -> bool {
  if (line.kind == kDisruptionKind) {
    return true;
  }
  if (!timeline_.involved.contains(std::string(line.node)) ||
      Contains(kOtherEvents, line.event)) {
    return false;
  }
  if (IsAboutHost(line.event)) {
    return balancers_.contains(line.node) &&
           agents_.contains(FindField(line, "host"));
  }
  return line.event == "events_counted" ||
         (line.kind != "opening" && line.kind != "flow" &&
          line.kind != "refusal");
}

auto TimelineCollector::OnSecondPassLine(std::string_view text) -> void {
  const auto parsed = ParseLogLine(text);
  const auto* const line = std::get_if<LogLine>(&parsed);
  if (line == nullptr) {
    return;
  }
  const bool is_near = IsNearFlow(line->time_ms);
  if (is_near && timeline_.involved.contains(std::string(line->node))) {
    pairs_.AddLine(*line);
  }
  if (!IsContext(*line) || IsAboutFlow(*line)) {
    return;
  }
  if (line->event == "events_counted") {
    const auto count = FindNumber(*line, "count").value_or(0);
    timeline_.unlogged +=
        is_near ? static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0))
                : 0;
  } else if (!is_near) {
    KeepEarlierLine(*line, text);
  } else if (context_lines_ < kMaxContextLines) {
    ++context_lines_;
    timeline_.lines.push_back(TimelineLine{.text = std::string(text),
                                           .time_ms = line->time_ms,
                                           .corrected_ms = line->time_ms,
                                           .role = LineRole::kAround});
  } else {
    ++timeline_.left_out;
  }
}

auto TimelineCollector::KeepEarlierLine(const LogLine& line,
                                        std::string_view text) -> void {
  const bool is_target = IsAboutTarget(line.event);
  if (line.time_ms >= times_.front() ||
      !(is_target || Contains(kKnowledgeEvents, line.event))) {
    return;
  }
  const std::string key =
      fmt::format("{} {} {}", line.node, is_target ? "target" : line.event,
                  FindField(line, "host"));
  const auto it = earlier_.find(key);
  if (it == earlier_.end() && earlier_.size() >= kMaxContextLines) {
    ++timeline_.left_out;
    return;
  }
  TimelineLine& kept = earlier_[key];
  if (line.time_ms >= kept.time_ms) {
    kept = TimelineLine{.text = std::string(text),
                        .time_ms = line.time_ms,
                        .corrected_ms = line.time_ms,
                        .role = LineRole::kEarlier};
  }
}

// A clock that was set close to the flow makes the lines of other flows
// contradict each other, but mostly not those of the flow.
auto TimelineCollector::CompareClocks() const -> ClockOffsets {
  const LogDirectory& directory = timeline_.directory;
  ClockOffsets offsets =
      ComputeClockOffsets(pairs_.CompareClocks(directory), timeline_.reference);
  if (offsets.is_consistent) {
    return offsets;
  }
  offsets = ComputeClockOffsets(flow_pairs_.CompareClocks(directory),
                                timeline_.reference);
  offsets.is_of_flow_only = true;
  return offsets;
}

auto TimelineCollector::FinishTimeline() -> Timeline {
  for (auto& [key, line] : earlier_) {
    timeline_.lines.push_back(std::move(line));
  }
  timeline_.clocks = CompareClocks();
  std::vector<std::pair<std::int64_t, TimelineLine>> ranked;
  ranked.reserve(timeline_.lines.size());
  for (auto& it : timeline_.lines) {
    const LogLine line = ParseKeptLine(it.text);
    const auto offset = timeline_.clocks.offsets.find(std::string(line.node));
    if (offset != timeline_.clocks.offsets.end()) {
      it.corrected_ms -= ChooseCorrection(offset->second).count();
    }
    ranked.emplace_back(GetRank(line), std::move(it));
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const auto& a, const auto& b) {
                     return std::pair(a.second.corrected_ms, a.first) <
                            std::pair(b.second.corrected_ms, b.first);
                   });
  timeline_.lines.clear();
  std::set<std::string> known;  // Folders may hold copies of a file.
  for (auto& [rank, line] : ranked) {
    if (known.insert(line.text).second) {
      timeline_.lines.push_back(std::move(line));
    }
  }
  return std::move(timeline_);
}

}  // namespace hawthornbank::transport
