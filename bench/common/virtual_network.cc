#include "common/virtual_network.h"

#include <algorithm>

#include <utility>

namespace hawthornbank::bench {

auto VirtualNetwork::ScheduleAction(TimePoint when, Action action) -> void {
  events_.push(Event{.when = std::max(when, now_),
                     .order = next_order_++,
                     .action = std::move(action)});
}

auto VirtualNetwork::ScheduleActionOnHost(std::uint64_t host,
                                          TimePoint when,
                                          Action action) -> void {
  ScheduleAction(when, [this, host, action = std::move(action)]() {
    if (dead_.contains(host)) {
      return;
    }
    if (frozen_.contains(host)) {
      held_.push_back(HeldAction{.host = host, .action = action});
      return;
    }
    action();
  });
}

auto VirtualNetwork::SendMessage(std::uint64_t from,
                                 std::uint64_t to,
                                 Action deliver) -> void {
  const Link link = link_rule_ ? link_rule_(from, to) : Link{};
  if (DrawRandomFraction(random_) < link.loss) {
    return;
  }
  const auto jitter = static_cast<Duration::rep>(
      DrawRandomFraction(random_) * static_cast<double>(link.jitter.count()));
  ScheduleActionOnHost(to, now_ + link.delay + Duration{jitter},
                       std::move(deliver));
}

auto VirtualNetwork::ThawHost(std::uint64_t host) -> void {
  frozen_.erase(host);
  std::vector<HeldAction> still_held;
  for (auto& it : held_) {
    if (it.host == host) {
      ScheduleActionOnHost(host, now_, std::move(it.action));
    } else {
      still_held.push_back(std::move(it));
    }
  }
  held_ = std::move(still_held);
}

auto VirtualNetwork::RunUntil(TimePoint end) -> void {
  while (!events_.empty() && events_.top().when <= end) {
    // top() returns a const reference. The event may be moved from because
    // pop() removes it next.
    Event event = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_ = event.when;
    event.action();
  }
  now_ = end;
}

}  // namespace hawthornbank::bench
