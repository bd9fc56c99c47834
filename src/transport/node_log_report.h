#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_REPORT_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_REPORT_H_

#include <string>

#include "transport/node_log_timeline.h"

/// @file
/// The timeline of a flow as text and as JSON.
namespace hawthornbank::transport {

/// @param timeline A timeline with lines.
/// @return The text that operators read: what was read, the nodes with their
/// clocks, the lines in plain words, conclusions. Each line ends with "\n".
auto FormatTimeline(const Timeline& timeline) -> std::string;

/// @param timeline A timeline.
/// @return The same as a JSON object, with the lines as the logs have them.
auto FormatTimelineAsJson(const Timeline& timeline) -> std::string;

/// @param counts Counts of a reader.
/// @return What was read and skipped, in one line without a line end.
auto FormatReadCounts(const LogReadCounts& counts) -> std::string;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_REPORT_H_
