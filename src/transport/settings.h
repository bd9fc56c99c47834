#ifndef HAWTHORNBANK_SRC_TRANSPORT_SETTINGS_H_
#define HAWTHORNBANK_SRC_TRANSPORT_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Settings of one process, read from its INI file.
namespace hawthornbank::transport {

/// Role of a daemon process.
enum class Role : std::uint8_t { kBalancer, kAgent };

/// Settings of one process. An endpoint that is not set has port 0.
struct Settings {
  Role role = Role::kBalancer;
  std::string name;                 ///< Unique name; agents: the target's name.
  std::string zone;                 ///< Availability zone of the host.
  std::string region = "main";      ///< Name of the configuration object.
  Endpoint packets;                 ///< Balancer: packets from the fabric.
  Endpoint peer;                    ///< UDP endpoint for other processes.
  Endpoint metrics;                 ///< HTTP endpoint of metrics and status.
  Endpoint platform;                ///< Endpoint of the platform's object API.
  std::vector<Endpoint> balancers;  ///< Seed addresses of balancers.
  std::string key;                  ///< Message key: 64 hexadecimal digits.
  std::string previous_key;         ///< Old key, still accepted; may be empty.
  std::string service;      ///< Agent: the service that its target serves.
  Endpoint target_address;  ///< Agent: where the target listens.
  Endpoint return_address;  ///< Agent: where it sends packets for callers.
  std::string log_level = "info";
  std::string log_layout = "text";
  std::uint32_t workers = 1;
  std::uint32_t flow_cache_entries = 500'000;
  std::chrono::milliseconds drain_limit{std::chrono::hours{1}};
  std::uint32_t retry_budget_percent = 10;
  bool execute_plan = true;  ///< Balancer: whether it may execute the plan.
};

/// Reads settings from INI text.
/// @param text The text of the file.
/// @param file Name of the file in error messages.
/// @param role Role that decides which keys are required and allowed.
/// @return The settings.
/// @throws Error kInvalidSettings; its message lists all faults, one per line:
///         "file:line: section.key: reason".
auto ParseSettings(const std::string& text, const std::string& file, Role role)
    -> Settings;

/// Reads settings from an INI file.
/// @param path The file.
/// @param role Role that decides which keys are required and allowed.
/// @return The settings.
/// @throws Error kInvalidSettings as for ParseSettings, and when the file can't
///         be read.
auto ReadSettingsFile(const std::string& path, Role role) -> Settings;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_SETTINGS_H_
