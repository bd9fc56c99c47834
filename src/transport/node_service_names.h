#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_SERVICE_NAMES_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_SERVICE_NAMES_H_

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

/// @file
/// Names of services in log lines. Records and relay headers contain hashes of
/// names only.
namespace hawthornbank::transport {

/// Maximum number of names that a node keeps.
inline constexpr std::size_t kMaxServiceNames = 1024;

/// Names of services by HashName, printable.
struct ServiceNames {
  std::unordered_map<std::uint32_t, std::string> names;
};

/// Records a service's name.
/// @param services The names that are known.
/// @param name The name, as the settings or the routes have it.
/// @return The service's hash if the name is new and was recorded, otherwise 0.
auto RecordServiceName(ServiceNames& services, std::string_view name)
    -> std::uint32_t;

/// Records names that a peer sent, made printable and short.
/// @param services The names that are known; they stay as they are.
/// @param names The peer's names by hash.
auto RecordPeerServiceNames(
    ServiceNames& services,
    const std::unordered_map<std::uint32_t, std::string>& names) -> void;

/// Appends a service's name, "#" and its hash as eight hexadecimal digits if
/// the name isn't known, or "-" for no service.
/// @param services The names that are known.
/// @param service HashName of the service's name, or 0.
/// @param line The text is appended to it.
auto AppendService(const ServiceNames& services,
                   std::uint32_t service,
                   fmt::memory_buffer& line) -> void;

/// @param services The names that are known.
/// @param service HashName of the service's name, or 0.
/// @return The text that AppendService() appends.
auto FormatService(const ServiceNames& services, std::uint32_t service)
    -> std::string;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_SERVICE_NAMES_H_
