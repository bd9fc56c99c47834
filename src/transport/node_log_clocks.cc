#include "transport/node_log_clocks.h"

#include <algorithm>
#include <set>

namespace hawthornbank::transport {
namespace {

using std::chrono::milliseconds;

// Returns the length of the shortest path from `start` to each node, where the
// length of an edge is the greatest offset of a node's clock to another's, or
// nothing if there is a cycle of negative length. `is_reversed` turns all edges
// round.
auto FindShortestPaths(const ClockComparison& clocks,
                       const std::string& start,
                       bool is_reversed)
    -> std::optional<std::map<std::string, milliseconds>> {
  std::set<std::string> nodes;
  for (const auto& [pair, difference] : clocks.min_differences) {
    nodes.insert(pair.first);
    nodes.insert(pair.second);
  }
  std::map<std::string, milliseconds> lengths{{start, milliseconds{0}}};
  bool has_changed = true;
  for (std::size_t n = 0; n <= nodes.size() && has_changed; ++n) {
    has_changed = false;
    for (const auto& [pair, difference] : clocks.min_differences) {
      const auto& [from, to] =
          is_reversed ? std::pair(pair.second, pair.first) : pair;
      const auto it = lengths.find(from);
      if (it == lengths.end()) {
        continue;
      }
      const milliseconds length = it->second + difference + kLogDelay;
      const auto [known, is_new] = lengths.emplace(to, length);
      if (is_new || length < known->second) {
        known->second = length;
        has_changed = true;
      }
    }
  }
  return has_changed ? std::nullopt : std::optional(lengths);
}

}  // namespace

auto AddOrderedLines(ClockComparison& clocks,
                     const std::string& earlier,
                     std::int64_t earlier_ms,
                     const std::string& later,
                     std::int64_t later_ms) -> void {
  if (earlier == later) {
    return;
  }
  const milliseconds difference{later_ms - earlier_ms};
  const auto [it, is_new] =
      clocks.min_differences.emplace(std::pair(earlier, later), difference);
  it->second = std::min(it->second, difference);
}

auto ComputeClockOffsets(const ClockComparison& clocks,
                         const std::string& reference) -> ClockOffsets {
  const auto longest = FindShortestPaths(clocks, reference, false);
  const auto shortest = FindShortestPaths(clocks, reference, true);
  if (!longest.has_value() || !shortest.has_value()) {
    return {.is_consistent = false};
  }
  ClockOffsets result;
  for (const auto& [node, length] : *longest) {
    result.offsets[node].max = length;
  }
  for (const auto& [node, length] : *shortest) {
    result.offsets[node].min = -length;
  }
  result.offsets.erase(reference);
  return result;
}

auto ChooseCorrection(const ClockOffset& offset) -> milliseconds {
  if (!offset.is_certain()) {
    return milliseconds{0};
  }
  if (offset.min.has_value() && offset.max.has_value()) {
    return (*offset.min + *offset.max) / 2;
  }
  return offset.min.has_value() ? *offset.min : *offset.max;
}

}  // namespace hawthornbank::transport
