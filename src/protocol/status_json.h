#ifndef HAWTHORNBANK_SRC_PROTOCOL_STATUS_JSON_H_
#define HAWTHORNBANK_SRC_PROTOCOL_STATUS_JSON_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hawthornbank/membership_messages.h"
#include "hawthornbank/types.h"

/// @file
/// The answer of a process to GET /status, for operators and hawthornctl.
namespace hawthornbank {

/// Status of a target as known to the process that answers.
struct TargetStatus {
  std::string name;
  std::string service;
  std::string zone;
  std::string state;  ///< Such as "serving", "suspect" or "resting".
  std::uint64_t connections = 0;
  std::uint64_t slots_busy = 0;
};

/// Status of a balancer as known to the process that answers.
struct BalancerStatus {
  std::string name;
  std::string zone;
  std::string state;        ///< "alive", "suspect", "dead" or "left".
  Generation generation{};  ///< Generation last known to be in force there.
};

/// Number of hosts (balancers and agents) that the answering balancer counts
/// from reports, and how many of the hosts have the newest generation in force.
struct HostsStatus {
  std::string root;            ///< The balancer that counts all hosts.
  Generation generation{};     ///< Newest generation known from reports.
  std::uint64_t total = 0;     ///< Number of hosts; 0: no hosts were counted.
  std::uint64_t in_force = 0;  ///< Hosts with `generation` in force.
  /// Names of some hosts where `generation` isn't in force.
  std::vector<std::string> lagging;
};

/// Status of the process that answers, and what it knows of other processes.
struct ProcessStatus {
  std::string role;
  std::string name;
  std::string zone;
  Generation generation{};  ///< In force in this process.
  /// Whether IsConfigurationConfirmed holds in this process.
  bool confirmed = false;
  std::vector<TargetStatus> targets;
  std::vector<BalancerStatus> balancers;  ///< Empty in an agent's status.
  HostsStatus hosts;                      ///< Filled by balancers only.
  std::map<std::string, std::uint64_t> counters;
  /// Entries of a decoded status that can't be used, and why; or empty.
  std::string skipped;
};

/// @param state State of a target.
/// @return Name of the state in the JSON of a status.
auto GetTargetStateName(TargetState state) -> std::string;

/// @param state State of a balancer.
/// @return Name of the state in the JSON of a status.
auto GetBalancerStateName(BalancerState state) -> std::string;

/// Encodes a status as JSON.
/// @param status The status.
/// @return JSON text.
auto EncodeStatus(const ProcessStatus& status) -> std::string;

/// Decodes a status from JSON.
/// @param text JSON text.
/// @return The status.
/// @throws Error kMalformed when the text is not valid JSON, or a required
///     field is missing or has a wrong type.
auto DecodeStatus(const std::string& text) -> ProcessStatus;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_STATUS_JSON_H_
