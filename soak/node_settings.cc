#include "soak/node_settings.h"

#include <fmt/format.h>

#include <asio.hpp>

namespace hawthornbank::soak {

auto FindFreePorts(std::uint32_t host) -> HostPorts {
  asio::io_context io;
  std::vector<asio::ip::tcp::acceptor> acceptors;
  const auto reserve_port = [&] {
    acceptors.emplace_back(
        io, asio::ip::tcp::endpoint(asio::ip::address_v4(host), 0));
    return acceptors.back().local_endpoint().port();
  };
  return HostPorts{.data = reserve_port(),
                   .internal = reserve_port(),
                   .control = reserve_port(),
                   .ready = reserve_port(),
                   .outbound = reserve_port(),
                   .app = reserve_port(),
                   .store = reserve_port()};
}

auto FormatNodeSettings(const HostPorts& ports,
                        const NodeParameters& parameters) -> std::string {
  const auto format_endpoint = [&](std::uint16_t port) {
    return ToString(Endpoint{.address = parameters.host, .port = port});
  };
  std::string seeds;
  for (const auto it : parameters.seed_hosts) {
    seeds +=
        fmt::format("{}\"{}\"", seeds.empty() ? "" : ",",
                    ToString(Endpoint{.address = it, .port = ports.control}));
  }
  const std::string address = format_endpoint(0);
  const bool is_agent = !parameters.service.empty();
  std::string text = fmt::format(
      "node = \"{}\"\nzone = \"{}\"\nip = \"{}\"\ninternal_ports = [{}]\n"
      "heartbeat_ms = {}\nseeds = [{}]\n",
      parameters.name, parameters.zone, address.substr(0, address.find(':')),
      ports.internal, parameters.heartbeat_interval.count(), seeds);
  if (is_agent) {
    text += fmt::format("service = \"{}\"\napp = \"{}\"\n", parameters.service,
                        format_endpoint(ports.app));
  }
  text += fmt::format(
      "[listen]\ndata_addr = \"{}\"\nready = \"{}\"\ncontrol = \"{}\"\n",
      format_endpoint(ports.data), format_endpoint(ports.ready),
      format_endpoint(ports.control));
  if (is_agent) {
    text += fmt::format("outbound = \"{}\"\n", format_endpoint(ports.outbound));
  }
  text += "[bounds]\ngrace_s = 6\n";
  if (parameters.evacuation_time.count() > 0) {
    text +=
        fmt::format("evacuate_ms = {}\n", parameters.evacuation_time.count());
  }
  text +=
      fmt::format("[platform]\naddr = \"{}\"\n", ToString(parameters.store));
  if (!parameters.zones.empty()) {
    text += "[zones]\n";
    for (const auto& it : parameters.zones) {
      text += fmt::format("{} = \"r\"\n", it);
    }
  }
  return text;
}

}  // namespace hawthornbank::soak
