#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_STORIES_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_STORIES_H_

#include <string_view>
#include <vector>

#include "transport/node_log_line.h"
#include "transport/node_log_timeline.h"

/// @file
/// The lines of a timeline by the openings that they are about.
namespace hawthornbank::transport {

/// Lines about one opening, and those without a number after it. The texts
/// refer to the timeline.
struct OpeningStory {
  std::string_view number;             ///< Empty if no line names an opening.
  std::vector<LogLine> offers;         ///< By balancers.
  std::vector<LogLine> deliveries;     ///< To a target, first and repeated.
  std::vector<LogLine> returns;        ///< By agents.
  std::vector<LogLine> confirmations;  ///< At balancers.
  std::vector<LogLine> resets;         ///< Of the opening or of the open flow.
  std::vector<LogLine> violations;     ///< That the soak has seen.
};

/// @param timeline The timeline of a flow, which must outlive the result.
/// @return Its openings in the order of their first lines.
auto CollectStories(const Timeline& timeline) -> std::vector<OpeningStory>;

/// @param story The lines of an opening.
/// @param delivery An agent's line of a delivery.
/// @return The offer that the delivery follows, or null.
auto FindOffer(const OpeningStory& story, const LogLine& delivery)
    -> const LogLine*;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_STORIES_H_
