#include "transport/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "transport/clock.h"

namespace hawthornbank::transport {
namespace {

constexpr std::array<std::string_view, kEventKindCount> kKindNames = {
    "process", "dependency", "belief", "opening", "flow", "refusal", "input",
};
static_assert(!kKindNames.back().empty());

constexpr auto GetMaxLinesPerSecond(EventKind kind) -> std::uint32_t {
  switch (kind) {
    case EventKind::kOpening:
      return kMaxOpeningLinesPerSecond;
    case EventKind::kRefusal:
      return kMaxRefusalLinesPerSecond;
    default:
      return kMaxLinesPerSecond;
  }
}

// Name of all events beyond kMaxEventCounts.
constexpr const char* kOtherEvents = "other";

}  // namespace

EventLog::EventLog(int descriptor, std::string name)
    : descriptor_(descriptor), name_(std::move(name)) {
  const int flags = ::fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

EventLog::~EventLog() {
  WriteCounts(GetMonotonicTime());
  FlushPendingBytes();
}

auto EventLog::TakeLine(EventKind kind, TimePoint now) -> bool {
  LineBudget& budget = budgets_.at(static_cast<std::size_t>(kind));
  if (now - budget.second_start >= std::chrono::seconds{1}) {
    budget = {.second_start = now};
  }
  if (budget.lines_used >= GetMaxLinesPerSecond(kind) ||
      pending_.size() >= kMaxPendingLogBytes) {
    return false;
  }
  ++budget.lines_used;
  return true;
}

auto EventLog::FindOrAddCount(EventKind kind,
                              std::string_view name,
                              std::string_view reason,
                              TimePoint now) -> EventCount& {
  const auto it = std::find_if(
      counts_.begin(), counts_.end(), [&](const EventCount& other) {
        return other.name == name && other.reason == reason;
      });
  if (it != counts_.end()) {
    return *it;
  }
  if (counts_.size() >= kMaxEventCounts) {
    return counts_.back();
  }
  const bool is_last = counts_.size() + 1 == kMaxEventCounts;
  return counts_.emplace_back(
      EventCount{.kind = kind,
                 .name = is_last ? kOtherEvents : std::string(name),
                 .reason = std::string(reason),
                 .since = now});
}

auto EventLog::CountEvent(EventKind kind,
                          std::string_view name,
                          std::string_view reason,
                          const std::optional<FlowKey>& flow,
                          TimePoint now) -> void {
  EventCount& it = FindOrAddCount(kind, name, reason, now);
  if (it.count == 0) {
    it.first = flow;
  }
  it.last = flow;
  ++it.count;
  ++counted_events_;
}

// Counts that the buffer has no room for are kept and go on.
auto EventLog::WriteCounts(TimePoint now) -> void {
  auto it = counts_.begin();
  for (; it != counts_.end() && pending_.size() < kMaxPendingLogBytes; ++it) {
    BeginLogLine(it->kind);
    fmt::format_to(
        std::back_inserter(line_),
        "events_counted name={} reason={} count={} first={} last={} "
        "span_ms={}",
        it->name, it->reason.empty() ? "-" : it->reason, it->count,
        it->first.has_value() ? FormatFlow(*it->first) : "-",
        it->last.has_value() ? FormatFlow(*it->last) : "-",
        std::chrono::duration_cast<std::chrono::milliseconds>(now - it->since)
            .count());
    FinishLogLine();
  }
  counts_.erase(counts_.begin(), it);
}

auto EventLog::AppendNameAndFlow(const FlowEvent& event) -> void {
  fmt::format_to(std::back_inserter(line_), "{} flow=", event.name);
  AppendEndpoint(event.flow.caller, line_);
  line_.push_back('>');
  AppendEndpoint(event.flow.address, line_);
  line_.push_back(' ');
  if (!event.reason.empty()) {
    fmt::format_to(std::back_inserter(line_), "reason={} ", event.reason);
  }
}

auto EventLog::BeginLogLine(EventKind kind) -> void {
  line_.clear();
  fmt::format_to(std::back_inserter(line_), "t={} node={} kind={} event=",
                 GetWallTime().time_since_epoch().count(), name_,
                 kKindNames.at(static_cast<std::size_t>(kind)));
}

auto EventLog::FinishLogLine() -> void {
  line_.push_back('\n');
  pending_.append(line_.data(), line_.size());
  ++written_lines_;
  FlushPendingBytes();
}

auto EventLog::FlushPendingBytes() -> void {
  while (!pending_.empty()) {
    const auto n = ::write(descriptor_, pending_.data(), pending_.size());
    if (n <= 0) {
      return;  // The reader accepts no bytes; the rest stays buffered.
    }
    pending_.erase(0, static_cast<std::size_t>(n));
  }
}

auto AppendEndpoint(Endpoint endpoint, fmt::memory_buffer& line) -> void {
  constexpr std::uint32_t kByte = 0xFF;
  fmt::format_to(std::back_inserter(line), "{}.{}.{}.{}:{}",
                 endpoint.address >> 24U, (endpoint.address >> 16U) & kByte,
                 (endpoint.address >> 8U) & kByte, endpoint.address & kByte,
                 endpoint.port);
}

auto FormatFlow(const FlowKey& flow) -> std::string {
  return ToString(flow.caller) + ">" + ToString(flow.address);
}

}  // namespace hawthornbank::transport
