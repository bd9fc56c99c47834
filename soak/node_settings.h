#ifndef HAWTHORNBANK_SOAK_NODE_SETTINGS_H_
#define HAWTHORNBANK_SOAK_NODE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Settings files of nodes on loopback, in the platform's format. Each host is
/// an address of 127.0.0.0/8. All hosts use the same port numbers, as the
/// platform's hosts do.
namespace hawthornbank::soak {

/// Port numbers, the same on all hosts.
struct HostPorts {
  std::uint16_t data = 0;
  std::uint16_t internal = 0;
  std::uint16_t control = 0;
  std::uint16_t ready = 0;
  std::uint16_t outbound = 0;
  std::uint16_t app = 0;
  std::uint16_t store = 0;
};

/// Finds TCP ports that are free on a host, and leaves the ports unbound.
/// @param host Address of the host.
/// @return Different ports, chosen by the operating system.
auto FindFreePorts(std::uint32_t host) -> HostPorts;

/// Settings in which the nodes differ.
struct NodeParameters {
  std::string name;
  std::uint32_t host = 0;
  std::vector<std::uint32_t> seed_hosts;
  Endpoint store;
  std::string service;  ///< Service of an agent's target; empty for a balancer.
  std::string zone = "a";
  std::vector<std::string> zones;  ///< Zones of the platform that it tells.
  /// Bound of zones out of service; 0: the node doesn't read them.
  std::chrono::milliseconds evacuation_time{};
  /// Mean time between two heartbeats of a target.
  std::chrono::milliseconds heartbeat_interval{200};
};

/// @param ports Port numbers, the same on all hosts.
/// @param parameters Settings in which the nodes differ.
/// @return Text of the node's settings file.
auto FormatNodeSettings(const HostPorts& ports,
                        const NodeParameters& parameters) -> std::string;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_NODE_SETTINGS_H_
