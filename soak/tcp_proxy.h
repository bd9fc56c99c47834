#ifndef HAWTHORNBANK_SOAK_TCP_PROXY_H_
#define HAWTHORNBANK_SOAK_TCP_PROXY_H_

#include <asio.hpp>
#include <memory>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// TCP proxy that injects faults into connections between a node and the store.
namespace hawthornbank::soak {

/// What a proxy does with received bytes and new connections.
enum class ProxyMode : std::uint8_t {
  kForward,
  kDelay,      ///< Forwards calls at once and answers after a delay.
  kReset,      ///< Resets existing and new connections.
  kSilent,     ///< Discards all bytes that the proxy receives.
  kNoAnswers,  ///< Forwards calls and discards answers.
};

/// Listens on one endpoint and connects each accepted connection to one server.
class TcpProxy {
 public:
  /// @param io Event loop.
  /// @param local Endpoint that the proxy listens on.
  /// @param server Endpoint that the proxy connects to.
  TcpProxy(asio::io_context& io, Endpoint local, Endpoint server);

  /// Sets the mode of open and new connections. With kReset, the proxy resets
  /// the open connections at once.
  /// @param mode The new mode.
  auto SetProxyMode(ProxyMode mode) -> void;

  /// Discards all further bytes of the connections that are open now.
  /// Connections opened later are not affected.
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
