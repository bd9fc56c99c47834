#ifndef HAWTHORNBANK_SRC_PROTOCOL_STATUS_JSON_H_
#define HAWTHORNBANK_SRC_PROTOCOL_STATUS_JSON_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hawthornbank/membership_messages.h"
#include "hawthornbank/types.h"

/// @file
/// What a process answers to GET /status, for operators and their tool.
namespace hawthornbank {

/// A target as a process knows it.
struct TargetStatus {
  std::string name;
  std::string service;
  std::string zone;
  std::string state;  ///< "serving", "suspect", "resting" or the like.
  std::uint64_t connections = 0;
  std::uint64_t slots_busy = 0;
};

/// A balancer as a process knows it.
struct BalancerStatus {
  std::string name;
  std::string zone;
  std::string state;        ///< "alive", "suspect", "dead" or "left".
  Generation generation{};  ///< In force there, as far as known here.
};

/// Balancers and agents that a balancer has summed up from reports.
struct HostsStatus {
  std::string root;  ///< The balancer whose sum covers all hosts.
  Generation generation{};
  std::uint64_t total = 0;  ///< 0 when nothing is summed up here.
  std::uint64_t in_force = 0;
  std::vector<std::string> lagging;  ///< A few that have it not in force.
};

/// State of one process and its view of the others.
struct ProcessStatus {
  std::string role;
  std::string name;
  std::string zone;
  Generation generation{};  ///< In force here.
  bool confirmed = false;   ///< The platform has confirmed it.
  std::vector<TargetStatus> targets;
  std::vector<BalancerStatus> balancers;  ///< Including this one.
  HostsStatus hosts;                      ///< Of a balancer alone.
  std::map<std::string, std::uint64_t> counters;
};

/// @param state State of a target.
/// @return Its name in a status.
auto StateName(TargetState state) -> std::string;

/// @param state State of a balancer.
/// @return Its name in a status.
auto StateName(BalancerState state) -> std::string;

/// Encodes a status.
/// @param status What to encode.
/// @return JSON text.
auto EncodeStatus(const ProcessStatus& status) -> std::string;

/// Decodes a status.
/// @param text JSON text.
/// @return The status.
/// @throws Error kMalformed when a field is missing or has a wrong type.
auto DecodeStatus(const std::string& text) -> ProcessStatus;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_STATUS_JSON_H_
