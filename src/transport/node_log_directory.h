#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_DIRECTORY_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_DIRECTORY_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "transport/node_log_line.h"

/// @file
/// Nodes and services that the lines of a log name.
namespace hawthornbank::transport {

/// Maximum number of nodes and of services that are kept.
inline constexpr std::size_t kMaxLogNodes = 20'000;
inline constexpr std::size_t kMaxLogServices = 4'096;

/// A node as its lines of starts describe it.
struct LogNode {
  std::string role;  ///< "balancer", "agent", or empty if not known.
  std::string zone;  ///< The latest one.
  std::set<std::string> controls;  ///< Control endpoints, "a.b.c.d:port".
};

/// Nodes by name, by control endpoint, and names of services.
struct LogDirectory {
  std::map<std::string, LogNode, std::less<>> nodes;
  /// Names of the nodes that have had a control endpoint.
  std::map<std::string, std::set<std::string>, std::less<>> names_by_control;
  /// Names of services by hash as lines have it, "#" and eight digits.
  std::map<std::string, std::string, std::less<>> services;
};

/// Records what a line tells about its node or about a service.
/// @param directory Receives it.
/// @param line Any line.
auto RecordInDirectory(LogDirectory& directory, const LogLine& line) -> void;

/// @param directory The nodes.
/// @param name Name of a node.
/// @param control A control endpoint, "a.b.c.d:port".
/// @return Whether the node may have the endpoint: it had, or no line tells.
auto MayHaveControl(const LogDirectory& directory,
                    std::string_view name,
                    std::string_view control) -> bool;

/// @param directory The services.
/// @param service Service as a line has it: a name, a hash or "-".
/// @return Its name, or the text itself if the name isn't known.
auto ResolveService(const LogDirectory& directory, std::string_view service)
    -> std::string;

/// @param directory The nodes.
/// @param control A control endpoint.
/// @return The endpoint with the name of the node that has it, if one is known.
auto DescribeControl(const LogDirectory& directory, std::string_view control)
    -> std::string;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_LOG_DIRECTORY_H_
