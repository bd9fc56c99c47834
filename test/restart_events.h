#ifndef HAWTHORNBANK_TEST_RESTART_EVENTS_H_
#define HAWTHORNBANK_TEST_RESTART_EVENTS_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

#include <fmt/format.h>

#include "hawthornbank/types.h"

/// @file
/// The order of events in a model, for the report of a failure.
namespace hawthornbank::test {

inline constexpr std::size_t kMaxRecordedEvents = 8192;
inline constexpr std::size_t kMaxReportedEvents = 60;

struct Event {
  TimePoint at{};
  std::uint32_t agent = 0;  // Number of the agent and its target; 0 for all.
  std::uint16_t port = 0;   // Of the flow's caller; 0 for all flows.
  std::string text;
};

// The latest events of a world, oldest first.
struct EventOrder {
  TimePoint begin{};
  std::deque<Event> events;

  auto Record(Event event) -> void {
    events.push_back(std::move(event));
    if (events.size() > kMaxRecordedEvents) {
      events.pop_front();
    }
  }

  auto Format(const Event& event) const -> std::string {
    return fmt::format("  {:6} ms: {}\n",
                       (event.at - begin) / std::chrono::milliseconds{1},
                       event.text);
  }

  // Lists the latest events that concern a target, its agent, the balancers and
  // one flow.
  auto Describe(std::uint32_t agent, std::uint16_t port) const -> std::string {
    std::deque<std::string> lines;
    for (auto it = events.rbegin();
         it != events.rend() && lines.size() < kMaxReportedEvents; ++it) {
      if ((it->agent == 0 || it->agent == agent) &&
          (it->port == 0 || it->port == port)) {
        lines.push_front(Format(*it));
      }
    }
    std::string text;
    for (const auto& it : lines) {
      text += it;
    }
    return text;
  }
};

}  // namespace hawthornbank::test

#endif  // HAWTHORNBANK_TEST_RESTART_EVENTS_H_
