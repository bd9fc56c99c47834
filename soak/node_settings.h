#ifndef HAWTHORNBANK_SOAK_NODE_SETTINGS_H_
#define HAWTHORNBANK_SOAK_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Settings of nodes on loopback, in the platform's format. Hosts are addresses
/// of 127.0.0.0/8 and share their ports, as those of a platform do.
namespace hawthornbank::soak {

/// Ports that are the same on all hosts.
struct Ports {
  std::uint16_t data = 0;
  std::uint16_t internal = 0;
  std::uint16_t control = 0;
  std::uint16_t ready = 0;
  std::uint16_t outbound = 0;
  std::uint16_t app = 0;
  std::uint16_t store = 0;
};

/// @param host Address on which the ports are free.
/// @return Ports that the system chose.
auto FreePorts(std::uint32_t host) -> Ports;

/// A node's place.
struct NodePlace {
  std::string name;
  std::uint32_t host = 0;
  std::vector<std::uint32_t> seeds;
  Endpoint store;
  std::string service;  ///< Empty for a balancer.
};

/// @param ports Ports of all hosts.
/// @param place The node's place.
/// @return Text of its settings file.
auto SettingsText(const Ports& ports, const NodePlace& place) -> std::string;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_NODE_SETTINGS_H_
