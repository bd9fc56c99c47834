#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_CLOCKS_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_CLOCKS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

/// @file
/// Compares the clocks of nodes by lines whose order is known, such as a
/// balancer's line of a relayed opening and the agent's line of the same one.
namespace hawthornbank::transport {

/// Time by which a line may be written after the packet that it is about was
/// sent, and rounding to milliseconds. Longer stalls between the two are rare.
inline constexpr std::chrono::milliseconds kLogDelay{20};

/// Difference between a node's clock and the reference node's; a bound is
/// absent if no pair of lines gives it.
struct ClockOffset {
  std::optional<std::chrono::milliseconds> min;
  std::optional<std::chrono::milliseconds> max;

  /// @return Whether the clocks differ for certain.
  [[nodiscard]] auto is_certain() const -> bool {
    return (min.has_value() && min->count() > 0) ||
           (max.has_value() && max->count() < 0);
  }
};

/// Pairs of lines of different nodes whose order is known.
struct ClockComparison {
  /// For each pair of nodes, of which the first one's line comes first: the
  /// smallest difference of the times in the lines.
  std::map<std::pair<std::string, std::string>, std::chrono::milliseconds>
      min_differences;
};

/// Adds a pair of lines.
/// @param clocks Receives the pair.
/// @param earlier Node whose line comes first.
/// @param earlier_ms Time in that line, in Unix milliseconds.
/// @param later Node of the other line.
/// @param later_ms Time in that line.
auto AddOrderedLines(ClockComparison& clocks,
                     const std::string& earlier,
                     std::int64_t earlier_ms,
                     const std::string& later,
                     std::int64_t later_ms) -> void;

/// Offsets of the nodes' clocks.
struct ClockOffsets {
  std::map<std::string, ClockOffset> offsets;  ///< By node, not the reference.
  /// Whether constant offsets explain all pairs; otherwise a clock was set or
  /// a node was suspended between packet and line, and `offsets` is empty.
  bool is_consistent = true;
  /// Only the flow's own lines were compared, as others contradict each other.
  bool is_of_flow_only = false;
};

/// Computes the possible offsets, also of nodes that share lines with the
/// reference only through other nodes.
/// @param clocks The pairs of lines.
/// @param reference Name of the node whose clock the others are compared with.
/// @return The offsets.
auto ComputeClockOffsets(const ClockComparison& clocks,
                         const std::string& reference) -> ClockOffsets;

/// @param offset Offset of a node's clock.
/// @return What to subtract from the node's times: zero unless the offset is
/// certain, the middle of the interval, or the bound if there is only one.
auto ChooseCorrection(const ClockOffset& offset) -> std::chrono::milliseconds;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_CLOCKS_H_
