#ifndef HAWTHORNBANK_CONFIGURATION_H_
#define HAWTHORNBANK_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// The configuration that operators write and every process puts in force.
namespace hawthornbank {

/// A service: one public address and the rules for its targets.
struct Service {
  ServiceId id{};
  std::string name;
  Transport transport = Transport::kUdp;
  Endpoint address;                ///< Address that callers send to.
  std::vector<std::string> zones;  ///< Availability zones of the targets.
  std::uint32_t slots = 3;         ///< Maximum concurrent requests of a target.
  /// Maximum number of flows of a target.
  std::uint32_t max_connections = 2000;
  /// Number of targets that the operator provides.
  std::uint32_t target_count = 0;
  std::uint32_t weight = 100;  ///< Share of work, in percent.
  bool non_idempotent_counts_double = false;
  /// Maximum lifetime of a flow after its target starts to drain.
  std::chrono::seconds drain_limit{3600};

  auto operator==(const Service&) const -> bool = default;
};

/// Request rate expected at a service from a time of day on.
struct DemandRow {
  ServiceId service{};
  std::string day;                ///< "daily", or a date such as "2026-12-24".
  std::chrono::minutes start{0};  ///< Time since local midnight.
  double requests_per_second = 0;
  /// Zones in which the date is a holiday; empty means all zones.
  std::vector<std::string> zones;

  auto operator==(const DemandRow&) const -> bool = default;
};

/// The complete configuration of one generation.
struct Configuration {
  Generation generation{};
  std::string operation;  ///< Identifier of the update that wrote this
                          ///< generation.
  /// Author of the update that wrote this generation. The author of a rejected
  /// concurrent update is shown this name.
  std::string author;
  std::vector<Service> services;      ///< Sorted by identifier.
  std::vector<std::string> draining;  ///< Names of targets that drain.
  std::vector<std::string> stopping;  ///< Names of balancers that shut down.
  /// Names of targets that the plan keeps in standby. These targets keep their
  /// flows and take no new flows.
  std::vector<std::string> resting;
  Epoch plan_epoch{};  ///< Lease epoch of the last plan update.
  std::vector<DemandRow> demand;
  /// Highest identifier given to a service; no identifier is reused.
  std::uint32_t last_service_id = 0;

  auto operator==(const Configuration&) const -> bool = default;
};

/// Encodes a configuration as the JSON value that the platform stores.
/// @param configuration Configuration to encode.
/// @return JSON text.
auto EncodeConfiguration(const Configuration& configuration) -> std::string;

/// Decodes a configuration from the JSON value that the platform stores.
/// @param text JSON text.
/// @return The configuration.
/// @throws Error kMalformed when the text is not valid JSON, a field is missing
///     or has a wrong type, or a transport is unknown; kInvalidSettings when an
///     address is invalid.
auto DecodeConfiguration(const std::string& text) -> Configuration;

/// Finds a service by its name.
/// @param configuration Configuration to search.
/// @param name The service's name.
/// @return The service, or null when no service has that name.
auto FindService(const Configuration& configuration, const std::string& name)
    -> const Service*;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_CONFIGURATION_H_
