#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_PAIRS_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_PAIRS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "transport/node_log_clocks.h"
#include "transport/node_log_directory.h"
#include "transport/node_log_line.h"

/// @file
/// Pairs of a balancer's and an agent's lines about the same offer of an
/// opening, for the comparison of their clocks.
namespace hawthornbank::transport {

/// Maximum number of lines of each kind that wait for their partner.
inline constexpr std::size_t kMaxUnpairedLines = 100'000;

/// Lines about openings, in any order.
class OpeningPairs {
 public:
  /// Keeps what a line tells about an opening; other lines are ignored.
  /// @param line Any line.
  auto AddLine(const LogLine& line) -> void;

  /// @param directory Nodes and their control endpoints.
  /// @return All pairs of lines whose order is known: an agent's line follows
  /// the balancer's offer; the balancer's next offer follows the agent's
  /// return, its line of the confirmation the agent's delivery.
  [[nodiscard]] auto CompareClocks(const LogDirectory& directory) const
      -> ClockComparison;

 private:
  struct Side {
    std::string node;
    std::string peer;  ///< Control endpoint of the other node.
    std::int64_t time_ms = 0;
    std::size_t opening = 0;  ///< Hash of flow and opening.
  };
  /// By hash of flow, opening, copy and number of agents that were asked.
  using Sides = std::unordered_map<std::size_t, Side>;

  auto AddOffer(const LogLine& line, const std::string& key) -> void;
  auto AddDecision(const LogLine& line, const std::string& key) -> void;

  Sides offers_;
  Sides offers_after_return_;  ///< By number of agents asked before less one.
  Sides decisions_;
  Sides returns_;
  Sides confirmations_;  ///< By flow and opening.
  /// First deliveries, by flow, opening and agent's node.
  Sides deliveries_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_PAIRS_H_
