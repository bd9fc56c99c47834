#include "transport/node_service_names.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "hawthornbank/types.h"
#include "protocol/log_text.h"

namespace hawthornbank::transport {
namespace {

auto MakePrintable(std::string_view name) -> std::string {
  std::string printable = FormatForLog(name, kMaxLoggedName);
  std::replace(printable.begin(), printable.end(), ' ', '?');
  return printable;
}

}  // namespace

auto RecordServiceName(ServiceNames& services, std::string_view name)
    -> std::uint32_t {
  const auto service = static_cast<std::uint32_t>(HashName(std::string(name)));
  if (name.empty() || services.names.size() >= kMaxServiceNames ||
      services.names.contains(service)) {
    return 0;
  }
  services.names.emplace(service, MakePrintable(name));
  return service;
}

auto RecordPeerServiceNames(
    ServiceNames& services,
    const std::unordered_map<std::uint32_t, std::string>& names) -> void {
  for (const auto& [service, name] : names) {
    if (service != 0 && !name.empty() &&
        services.names.size() < kMaxServiceNames) {
      services.names.emplace(service, MakePrintable(name));
    }
  }
}

auto AppendService(const ServiceNames& services,
                   std::uint32_t service,
                   fmt::memory_buffer& line) -> void {
  const auto it = services.names.find(service);
  if (it != services.names.end()) {
    line.append(it->second);
  } else if (service == 0) {
    line.push_back('-');
  } else {
    fmt::format_to(std::back_inserter(line), "#{:08x}", service);
  }
}

auto FormatService(const ServiceNames& services, std::uint32_t service)
    -> std::string {
  fmt::memory_buffer line;
  AppendService(services, service, line);
  return fmt::to_string(line);
}

}  // namespace hawthornbank::transport
