#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_FILES_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_FILES_H_

#include <filesystem>
#include <string>
#include <vector>

#include "transport/node_log_timeline.h"

/// @file
/// Reads the log files of a folder for a timeline.
namespace hawthornbank::transport {

/// @param folder A folder.
/// @return All files below it, in the order of their paths; symbolic links to
/// folders aren't followed.
/// @throws Error kInvalidSettings if the folder can't be read or has no files.
auto ListLogFiles(const std::filesystem::path& folder)
    -> std::vector<std::filesystem::path>;

/// Reads files twice and collects the timeline of a flow. Files that can't be
/// read are listed in the counts.
/// @param files The files.
/// @param query The flow.
/// @return The timeline; without lines if no file has a line about the flow.
auto ReadTimeline(const std::vector<std::filesystem::path>& files,
                  const TimelineQuery& query) -> Timeline;

/// Looks for the flow of a request. Balancers and agents don't read request
/// ids, so only lines of callers or targets can name them.
/// @param files The files.
/// @param id The request's id.
/// @return Flows of the lines that have `flow=` and `request=ID` or `id=#ID`,
/// at most kMaxRequestFlows.
auto FindFlowsOfRequest(const std::vector<std::filesystem::path>& files,
                        const std::string& id) -> std::vector<std::string>;

/// Maximum number of flows that FindFlowsOfRequest() returns.
inline constexpr std::size_t kMaxRequestFlows = 16;

/// @param text "CALLER>ADDRESS", both as "a.b.c.d:port".
/// @return The flow.
/// @throws Error kInvalidSettings if the text is malformed.
auto ParseFlow(const std::string& text) -> FlowKey;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_FILES_H_
