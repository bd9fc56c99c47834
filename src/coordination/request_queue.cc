#include "coordination/request_queue.h"

#include <algorithm>
#include <cmath>

namespace hawthornbank {
namespace {

constexpr std::uint32_t kDoublesPerOrdinary = 2;
// A caller is greedy when it holds more than this, and this many times what
// the newcomer's caller holds. Nobody else loses a place in the queue.
constexpr std::size_t kGreedyItems = 4;
constexpr std::size_t kGreedyFactor = 3;
constexpr double kUsualLinesDecay = 0.99;  // With each request of the class.

auto ClassOf(RequestQueue& queue, const QueueItem& item) -> QueueClass& {
  return item.counts_double ? queue.double_ones : queue.ordinary;
}

auto ClassOf(const RequestQueue& queue, const QueueItem& item)
    -> const QueueClass& {
  return item.counts_double ? queue.double_ones : queue.ordinary;
}

auto CountOf(const QueueClass& from, std::uint64_t caller) -> std::size_t {
  const auto line = from.lines.find(caller);
  return line == from.lines.end() ? 0 : line->second.size();
}

auto PopFrom(QueueClass& from) -> QueueItem {
  const auto caller = from.turns.front();
  from.turns.pop_front();
  const auto line = from.lines.find(caller);
  const auto item = line->second.front();
  line->second.pop_front();
  --from.size;
  if (line->second.empty()) {
    from.lines.erase(line);
  } else {
    from.turns.push_back(caller);
  }
  return item;
}

// The most requests of the class served before a new one of a caller: one of
// every other line in each round, as lines may be refilled.
auto CountAheadIn(const QueueClass& from, std::uint64_t caller) -> std::size_t {
  const auto mine = CountOf(from, caller);
  const std::size_t own_line = mine > 0 ? 1 : 0;
  const auto others = from.lines.size() - own_line;
  const auto usual = static_cast<std::size_t>(std::ceil(from.usual_lines));
  // Callers that join later are served before all but the first of a line.
  const auto later = std::max(others, usual - std::min(usual, own_line));
  return mine + others + later * mine;
}

auto IsInUse(const QueueClass& it) -> bool {
  return it.size > 0 || it.pushes_since < kRecentPushes;
}

}  // namespace

auto SizeOf(const RequestQueue& queue) -> std::size_t {
  return queue.double_ones.size + queue.ordinary.size;
}

auto Push(RequestQueue& queue, const QueueItem& item) -> void {
  auto& to = ClassOf(queue, item);
  auto& line = to.lines[item.caller];
  if (line.empty()) {
    to.turns.push_back(item.caller);
  }
  line.push_back(item);
  ++to.size;
  ++queue.double_ones.pushes_since;
  ++queue.ordinary.pushes_since;
  to.pushes_since = 0;
  to.usual_lines = std::max(static_cast<double>(to.lines.size()),
                            to.usual_lines * kUsualLinesDecay);
}

auto Pop(RequestQueue& queue) -> std::optional<QueueItem> {
  if (SizeOf(queue) == 0) {
    return std::nullopt;
  }
  const bool take_double =
      queue.ordinary.size == 0 ||
      (queue.double_ones.size > 0 && queue.doubles_taken < kDoublesPerOrdinary);
  if (take_double) {
    ++queue.doubles_taken;
    return PopFrom(queue.double_ones);
  }
  queue.doubles_taken = 0;
  return PopFrom(queue.ordinary);
}

auto Remove(RequestQueue& queue, const QueueItem& item) -> bool {
  auto& from = ClassOf(queue, item);
  const auto line = from.lines.find(item.caller);
  if (line == from.lines.end()) {
    return false;
  }
  const auto removed = std::erase_if(line->second, [&](const QueueItem& it) {
    return it.request == item.request;
  });
  from.size -= removed;
  if (line->second.empty()) {
    from.lines.erase(line);
    std::erase(from.turns, item.caller);
  }
  return removed != 0;
}

auto CountAhead(const RequestQueue& queue, const QueueItem& item)
    -> std::size_t {
  const auto ahead = CountAheadIn(ClassOf(queue, item), item.caller);
  // More of the other class may arrive while this one waits.
  if (item.counts_double) {
    const bool contended = IsInUse(queue.ordinary);
    return contended ? ahead + 1 + ahead / kDoublesPerOrdinary : ahead;
  }
  const bool contended = IsInUse(queue.double_ones);
  return contended ? ahead + kDoublesPerOrdinary * (ahead + 1) : ahead;
}

auto ServingOrder(const RequestQueue& queue) -> std::vector<QueueItem> {
  std::vector<QueueItem> order;
  auto rest = queue;
  while (const auto item = Pop(rest)) {
    order.push_back(*item);
  }
  return order;
}

auto ChooseVictim(const RequestQueue& queue, const QueueItem& newcomer)
    -> std::optional<QueueItem> {
  const auto& from = ClassOf(queue, newcomer);
  const auto longest = std::max_element(
      from.lines.begin(), from.lines.end(), [](const auto& a, const auto& b) {
        return a.second.size() < b.second.size();
      });
  const auto mine = CountOf(from, newcomer.caller);
  const bool greedy =
      longest != from.lines.end() &&
      longest->second.size() > std::max(kGreedyItems, kGreedyFactor * mine);
  if (!greedy) {
    return std::nullopt;
  }
  return longest->second.back();
}

}  // namespace hawthornbank
