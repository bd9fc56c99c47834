#ifndef HAWTHORNBANK_SOAK_TCP_PROXY_H_
#define HAWTHORNBANK_SOAK_TCP_PROXY_H_

#include <asio.hpp>
#include <memory>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// A TCP proxy between a node and the store that injects faults.
namespace hawthornbank::soak {

/// Treatment of bytes and new connections by a proxy.
enum class ProxyMode : std::uint8_t {
  kForward,
  kDelay,      ///< Delays each read of answer bytes.
  kReset,      ///< Resets existing and new connections.
  kSilent,     ///< Reads bytes and discards them.
  kNoAnswers,  ///< Forwards calls and discards answers.
};

/// A proxy that listens on one endpoint and connects to one server.
class TcpProxy {
 public:
  /// @param io Event loop.
  /// @param local Endpoint that the proxy listens on.
  /// @param server Endpoint that the proxy connects to.
  TcpProxy(asio::io_context& io, Endpoint local, Endpoint server);

  /// Sets the mode of all connections; kReset resets open connections at once.
  /// @param mode The new mode.
  auto SetProxyMode(ProxyMode mode) -> void;

  /// Discards all further bytes of the open connections; new connections work.
  auto SilenceOpenConnections() -> void;

 private:
  struct Connection;
  auto AcceptConnections() -> void;
  auto RelayNextBytes(const std::shared_ptr<Connection>& connection,
                      bool is_answer) -> void;
  auto WriteBytesToPeer(const std::shared_ptr<Connection>& connection,
                        bool is_answer,
                        std::size_t size) -> void;

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  Endpoint server_;
  ProxyMode mode_ = ProxyMode::kForward;
  std::vector<std::weak_ptr<Connection>> connections_;
};

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_TCP_PROXY_H_
