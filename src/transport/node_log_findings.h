#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_FINDINGS_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_FINDINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "transport/node_log_timeline.h"

/// @file
/// Conclusions from the timeline of a flow: where it was opened, and which
/// rules look broken.
namespace hawthornbank::transport {

/// Age of a target's last heartbeat from which another target may have its
/// address, with the default delay before an address is used again.
inline constexpr std::chrono::milliseconds kDoubtfulHeartbeatAge{1700};

/// A conclusion.
struct TimelineFinding {
  std::string rule;  ///< Name of the rule that looks broken, or empty.
  std::string text;
  bool is_seen = false;  ///< The soak has seen that the rule was broken.
};

/// @param timeline The timeline of a flow.
/// @return What follows from its lines, by opening.
auto FindConclusions(const Timeline& timeline) -> std::vector<TimelineFinding>;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_FINDINGS_H_
