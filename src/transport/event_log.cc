#include "transport/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

#include "transport/clock.h"

namespace hawthornbank::transport {
namespace {

constexpr std::array<std::string_view, kEventKindCount> kKindNames = {
    "process", "dependency", "belief", "flow", "refusal", "input",
};
static_assert(!kKindNames.back().empty());

}  // namespace

EventLog::EventLog(int descriptor, std::string name)
    : descriptor_(descriptor), name_(std::move(name)) {
  const int flags = ::fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

EventLog::~EventLog() {
  FlushPendingBytes();
}

auto EventLog::CountLineAgainstLimits(EventKind kind, TimePoint now) -> bool {
  LineBudget& budget = budgets_.at(static_cast<std::size_t>(kind));
  if (now - budget.second_start >= std::chrono::seconds{1}) {
    const std::uint64_t dropped_lines = std::exchange(budget.dropped_lines, 0);
    budget.second_start = now;
    budget.lines_used = 0;
    if (dropped_lines > 0) {
      line_.clear();
      BeginLogLine(kind);
      fmt::format_to(std::back_inserter(line_), "lines_left_out count={}",
                     dropped_lines);
      FinishLogLine();
    }
  }
  if (budget.lines_used >= kMaxLinesPerSecond ||
      pending_.size() >= kMaxPendingLogBytes) {
    ++budget.dropped_lines;
    ++dropped_lines_;
    return false;
  }
  ++budget.lines_used;
  return true;
}

auto EventLog::BeginLogLine(EventKind kind) -> void {
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

auto FormatFlow(const FlowKey& flow) -> std::string {
  return ToString(flow.caller) + ">" + ToString(flow.address);
}

}  // namespace hawthornbank::transport
