#ifndef HAWTHORNBANK_SRC_PROTOCOL_STATUS_JSON_H_
#define HAWTHORNBANK_SRC_PROTOCOL_STATUS_JSON_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hawthornbank/membership_messages.h"
#include "hawthornbank/types.h"

/// @file
/// Response of a process to GET /status, for operators and hawthornctl.
namespace hawthornbank {

/// Status of a target as one process sees it.
struct TargetStatus {
  std::string name;
  std::string service;
  std::string zone;
  std::string state;  ///< "serving", "suspect", "resting" or the like.
  std::uint64_t connections = 0;
  std::uint64_t slots_busy = 0;
};

/// Status of a balancer as one process sees it.
struct BalancerStatus {
  std::string name;
  std::string zone;
  std::string state;        ///< "alive", "suspect", "dead" or "left".
  Generation generation{};  ///< Last known generation in force.
};

/// Counts of balancers and agents that a balancer has aggregated from reports.
struct HostsStatus {
  std::string root;  ///< The balancer whose counts cover all hosts.
  Generation generation{};
  std::uint64_t total = 0;  ///< 0 when nothing is aggregated.
  std::uint64_t in_force = 0;
  /// Names of some hosts where `generation` isn't in force.
  std::vector<std::string> lagging;
};

/// Status of one process and its view of the other processes.
struct ProcessStatus {
  std::string role;
  std::string name;
  std::string zone;
  Generation generation{};  ///< In force in this process.
  bool confirmed = false;   ///< The platform confirmed `generation`.
  std::vector<TargetStatus> targets;
  std::vector<BalancerStatus> balancers;  ///< Includes the process itself.
  HostsStatus hosts;                      ///< Filled by balancers only.
  std::map<std::string, std::uint64_t> counters;
};

/// @param state State of a target.
/// @return The state's name in a status.
auto GetStateName(TargetState state) -> std::string;

/// @param state State of a balancer.
/// @return The state's name in a status.
auto GetStateName(BalancerState state) -> std::string;

/// Encodes a status.
/// @param status The status.
/// @return JSON text.
auto EncodeStatus(const ProcessStatus& status) -> std::string;

/// Decodes a status.
/// @param text JSON text.
/// @return The status.
/// @throws Error kMalformed when a field is missing or has a wrong type.
auto DecodeStatus(const std::string& text) -> ProcessStatus;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_STATUS_JSON_H_
