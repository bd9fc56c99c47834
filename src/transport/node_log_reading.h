#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_READING_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_READING_H_

#include <string>

#include "transport/node_log_directory.h"
#include "transport/node_log_line.h"

/// @file
/// Log lines in plain words.
namespace hawthornbank::transport {

/// @param line A line.
/// @param directory Names of nodes and services.
/// @return What the line tells, without its time and node; the fields as they
/// are if the event isn't known.
auto DescribeLogLine(const LogLine& line, const LogDirectory& directory)
    -> std::string;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_READING_H_
