#include "transport/node_log_directory.h"

#include <fmt/format.h>

namespace hawthornbank::transport {
namespace {

auto RecordNode(LogDirectory& directory, const LogLine& line) -> void {
  const std::string name(line.node);
  if (directory.nodes.size() >= kMaxLogNodes &&
      !directory.nodes.contains(name)) {
    return;
  }
  LogNode& node = directory.nodes[name];
  node.role = FindField(line, "role");
  node.zone = FindField(line, "zone");
  const std::string control(FindField(line, "control"));
  if (!control.empty() && node.controls.size() < kMaxLogNodes) {
    node.controls.insert(control);
    directory.names_by_control[control].insert(name);
  }
}

}  // namespace

auto RecordInDirectory(LogDirectory& directory, const LogLine& line) -> void {
  if (line.event == "start" || line.event == "identity_changed") {
    RecordNode(directory, line);
  } else if (line.event == "service_named" &&
             directory.services.size() < kMaxLogServices) {
    directory.services.emplace(FindField(line, "hash"),
                               FindField(line, "service"));
  }
}

auto MayHaveControl(const LogDirectory& directory,
                    std::string_view name,
                    std::string_view control) -> bool {
  const auto it = directory.nodes.find(name);
  return it == directory.nodes.end() || it->second.controls.empty() ||
         it->second.controls.contains(std::string(control));
}

auto ResolveService(const LogDirectory& directory, std::string_view service)
    -> std::string {
  const auto it = directory.services.find(service);
  return std::string(it == directory.services.end() ? service : it->second);
}

auto DescribeControl(const LogDirectory& directory, std::string_view control)
    -> std::string {
  const auto it = directory.names_by_control.find(control);
  if (it == directory.names_by_control.end()) {
    return std::string(control);
  }
  return fmt::format("{} ({}{})", *it->second.begin(), control,
                     it->second.size() > 1 ? ", also others" : "");
}

}  // namespace hawthornbank::transport
