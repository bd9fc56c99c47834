#include "coordination/request_queue.h"

#include <algorithm>

namespace hawthornbank {
namespace {

constexpr std::uint32_t kCreditPerTurn = 2;

auto CreditFor(const QueueItem& item) -> std::uint32_t {
  return item.counts_double ? 1 : kCreditPerTurn;
}

auto RemoveLine(RequestQueue& queue, std::uint64_t caller) -> void {
  queue.lines.erase(caller);
  std::erase(queue.turns, caller);
}

// The newest ordinary request of a line.
auto NewestOrdinary(const RequestQueue::Line& line)
    -> std::optional<QueueItem> {
  for (auto it = line.items.rbegin(); it != line.items.rend(); ++it) {
    if (!it->counts_double) {
      return *it;
    }
  }
  return std::nullopt;
}

auto LongestLine(const RequestQueue& queue) -> const RequestQueue::Line* {
  const auto it = std::max_element(
      queue.lines.begin(), queue.lines.end(), [](const auto& a, const auto& b) {
        return a.second.items.size() < b.second.items.size();
      });
  return it == queue.lines.end() ? nullptr : &it->second;
}

// An ordinary request, of the longest line if that has one.
auto FindOrdinary(const RequestQueue& queue, const RequestQueue::Line& longest)
    -> std::optional<QueueItem> {
  auto found = NewestOrdinary(longest);
  for (auto it = queue.lines.begin(); !found && it != queue.lines.end(); ++it) {
    found = NewestOrdinary(it->second);
  }
  return found;
}

}  // namespace

auto Push(RequestQueue& queue, const QueueItem& item) -> void {
  auto& line = queue.lines[item.caller];
  if (line.items.empty()) {
    queue.turns.push_back(item.caller);
    line.credit = kCreditPerTurn;
  }
  line.items.push_back(item);
  ++queue.size;
}

auto Pop(RequestQueue& queue) -> std::optional<QueueItem> {
  if (queue.size == 0) {
    return std::nullopt;
  }
  while (true) {
    const auto caller = queue.turns.front();
    auto& line = queue.lines[caller];
    const auto item = line.items.front();
    if (line.credit < CreditFor(item)) {
      line.credit = kCreditPerTurn;
      queue.turns.pop_front();
      queue.turns.push_back(caller);
      continue;
    }
    line.credit -= CreditFor(item);
    line.items.pop_front();
    --queue.size;
    if (line.items.empty()) {
      RemoveLine(queue, caller);
    }
    return item;
  }
}

auto Remove(RequestQueue& queue, const QueueItem& item) -> bool {
  const auto line = queue.lines.find(item.caller);
  if (line == queue.lines.end()) {
    return false;
  }
  const auto removed = std::erase_if(
      line->second.items,
      [&](const QueueItem& it) { return it.request == item.request; });
  queue.size -= removed;
  if (line->second.items.empty()) {
    RemoveLine(queue, item.caller);
  }
  return removed != 0;
}

auto CountAhead(const RequestQueue& queue, std::uint64_t caller)
    -> std::size_t {
  const auto own = queue.lines.find(caller);
  const auto mine = own == queue.lines.end() ? 0 : own->second.items.size();
  std::size_t ahead = mine;
  for (const auto& [other, line] : queue.lines) {
    if (other != caller) {
      ahead += std::min(line.items.size(), mine + 1);
    }
  }
  return ahead;
}

auto ChooseVictim(const RequestQueue& queue, const QueueItem& newcomer)
    -> std::optional<QueueItem> {
  const auto own = queue.lines.find(newcomer.caller);
  const auto mine = own == queue.lines.end() ? 0 : own->second.items.size();
  const auto* longest = LongestLine(queue);
  if (longest == nullptr) {
    return std::nullopt;
  }
  if (newcomer.counts_double) {
    if (const auto ordinary = FindOrdinary(queue, *longest)) {
      return ordinary;
    }
  }
  if (longest->items.size() <= mine + 1) {
    return std::nullopt;
  }
  const auto victim = longest->items.back();
  const bool worth_more = victim.counts_double && !newcomer.counts_double;
  return worth_more ? NewestOrdinary(*longest) : victim;
}

}  // namespace hawthornbank
