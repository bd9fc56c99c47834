#ifndef HAWTHORNBANK_CONFIGURATION_H_
#define HAWTHORNBANK_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// The configuration that operators accept and every process puts in force.
namespace hawthornbank {

/// A service: one public address and the rules for its targets.
struct Service {
  ServiceId id{};
  std::string name;
  Transport transport = Transport::kUdp;
  Endpoint address;                      ///< Where callers reach it.
  std::vector<std::string> zones;        ///< Availability zones it spans.
  std::uint32_t slots = 3;               ///< Requests a target runs at once.
  std::uint32_t max_connections = 2000;  ///< Flows a target holds.
  std::uint32_t target_count = 0;        ///< Targets the operator provides.
  std::uint32_t weight = 100;            ///< Share of work, in percent.
  bool non_idempotent_counts_double = false;
  std::chrono::seconds drain_limit{3600};  ///< Longest life of a leaving flow.

  auto operator==(const Service&) const -> bool = default;
};

/// Expected demand of a service from a time of day on.
struct DemandRow {
  ServiceId service{};
  std::string day;                ///< "daily" or a date, "2026-12-24".
  std::chrono::minutes start{0};  ///< Since local midnight.
  double requests_per_second = 0;
  /// Zones that the date is a holiday in; empty when it is one everywhere.
  std::vector<std::string> zones;

  auto operator==(const DemandRow&) const -> bool = default;
};

/// Everything that is in force at one generation.
struct Configuration {
  Generation generation{};
  std::string operation;              ///< Identifies the update that made it.
  std::string author;                 ///< Who made it, for the losing racer.
  std::vector<Service> services;      ///< In the order of their identities.
  std::vector<std::string> draining;  ///< Names of targets told to leave.
  std::vector<std::string> stopping;  ///< Names of balancers told to leave.
  std::vector<std::string> resting;   ///< Names of targets the plan rests.
  Epoch plan_epoch{};                 ///< Lease epoch of the plan's last act.
  std::vector<DemandRow> demand;
  std::uint32_t last_service_id = 0;  ///< Identities are never reused.

  auto operator==(const Configuration&) const -> bool = default;
};

/// Encodes a configuration as the platform's JSON value.
/// @param configuration What to encode.
/// @return JSON text.
auto EncodeConfiguration(const Configuration& configuration) -> std::string;

/// Decodes a configuration from the platform's JSON value.
/// @param text JSON text.
/// @return The configuration.
/// @throws Error kMalformed when a field is missing or has a wrong type.
auto DecodeConfiguration(const std::string& text) -> Configuration;

/// Finds a service by its name.
/// @param configuration Where to look.
/// @param name The service's name.
/// @return The service, or null.
auto FindService(const Configuration& configuration, const std::string& name)
    -> const Service*;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_CONFIGURATION_H_
