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
  Flush();
}

auto EventLog::Admit(EventKind kind, TimePoint now) -> bool {
  Budget& budget = budgets_.at(static_cast<std::size_t>(kind));
  if (now - budget.second >= std::chrono::seconds{1}) {
    const std::uint64_t left_out = std::exchange(budget.left_out, 0);
    budget.second = now;
    budget.used = 0;
    if (left_out > 0) {
      line_.clear();
      Begin(kind);
      fmt::format_to(std::back_inserter(line_), "lines_left_out count={}",
                     left_out);
      End();
    }
  }
  if (budget.used >= kLinesPerSecond || waiting_.size() >= kLogBufferBytes) {
    ++budget.left_out;
    ++dropped_;
    return false;
  }
  ++budget.used;
  return true;
}

auto EventLog::Begin(EventKind kind) -> void {
  fmt::format_to(std::back_inserter(line_), "t={} node={} kind={} event=",
                 WallNow().time_since_epoch().count(), name_,
                 kKindNames.at(static_cast<std::size_t>(kind)));
}

auto EventLog::End() -> void {
  line_.push_back('\n');
  waiting_.append(line_.data(), line_.size());
  ++written_;
  Flush();
}

auto EventLog::Flush() -> void {
  while (!waiting_.empty()) {
    const auto n = ::write(descriptor_, waiting_.data(), waiting_.size());
    if (n <= 0) {
      return;  // Nobody reads; the bytes wait within their bound.
    }
    waiting_.erase(0, static_cast<std::size_t>(n));
  }
}

auto FlowText(const FlowKey& flow) -> std::string {
  return ToString(flow.caller) + ">" + ToString(flow.address);
}

}  // namespace hawthornbank::transport
