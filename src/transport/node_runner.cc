#include <asio.hpp>
#include <csignal>
#include <tuple>
#include <utility>

#include "transport/node.h"

namespace hawthornbank::transport {

auto HasSameIdentity(const NodeSettings& a, const NodeSettings& b) -> bool {
  const auto list_fields = [](const NodeSettings& it) {
    return std::tie(it.name, it.role, it.zone, it.control, it.data, it.outbound,
                    it.target, it.http);
  };
  return list_fields(a) == list_fields(b) &&
         (a.role != HostRole::kAgent || a.service == b.service);
}

auto RunNode(NodeSettings settings, const NodeCodec& codec) -> int {
  // Keeps a signal between two roles from ending the process; it is handled by
  // the next role.
  asio::io_context io;
  const asio::signal_set signals(io, SIGTERM, SIGHUP);
  while (true) {
    NodeExit end = settings.role == HostRole::kBalancer
                       ? RunBalancerNode(settings, codec)
                       : RunAgentNode(settings, codec);
    if (!end.changed.has_value()) {
      return end.code;
    }
    settings = std::move(*end.changed);
  }
}

}  // namespace hawthornbank::transport
