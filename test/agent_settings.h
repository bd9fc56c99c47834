#ifndef HAWTHORNBANK_TEST_AGENT_SETTINGS_H_
#define HAWTHORNBANK_TEST_AGENT_SETTINGS_H_

#include <cstdint>
#include <string>

#include "soak/node_settings.h"

/// @file
/// Settings of an agent that runs alone.
namespace hawthornbank::test {

/// @param ports Ports of the agent.
/// @param host Address of the agent, which is also its only seed and the
/// address of a store that isn't there.
/// @param service Service of the agent's target.
/// @return Text of the settings file.
inline auto FormatAgentSettings(const soak::HostPorts& ports,
                                std::uint32_t host,
                                const std::string& service) -> std::string {
  return soak::FormatNodeSettings(
      ports,
      soak::NodeParameters{.name = "n",
                           .host = host,
                           .seed_hosts = {host},
                           .store = {.address = host, .port = ports.store},
                           .service = service});
}

}  // namespace hawthornbank::test

#endif  // HAWTHORNBANK_TEST_AGENT_SETTINGS_H_
