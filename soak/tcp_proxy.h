#ifndef HAWTHORNBANK_SOAK_TCP_PROXY_H_
#define HAWTHORNBANK_SOAK_TCP_PROXY_H_

#include <asio.hpp>
#include <memory>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// A proxy between a node and the store that misbehaves on demand.
namespace hawthornbank::soak {

/// What a proxy does with bytes and new connections.
enum class ProxyMode : std::uint8_t {
  kPass,
  kDelay,      ///< Holds each piece of an answer back.
  kReset,      ///< Resets connections, old and new.
  kSilent,     ///< Takes bytes and passes nothing on.
  kNoAnswers,  ///< Passes calls on; answers are lost.
};

/// A proxy on one endpoint.
class TcpProxy {
 public:
  /// @param io Where it runs.
  /// @param local Where it listens.
  /// @param server Whom it connects to.
  TcpProxy(asio::io_context& io, Endpoint local, Endpoint server);

  /// Changes what it does from now on; kReset ends open connections at once.
  /// @param mode The mode.
  auto SetMode(ProxyMode mode) -> void;

  /// Open connections go silent for good, new ones work.
  auto SilenceOpen() -> void;

 private:
  struct Connection;
  auto Accept() -> void;
  auto Pump(const std::shared_ptr<Connection>& connection, bool is_answer)
      -> void;
  auto Forward(const std::shared_ptr<Connection>& connection,
               bool is_answer,
               std::size_t size) -> void;

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  Endpoint server_;
  ProxyMode mode_ = ProxyMode::kPass;
  std::vector<std::weak_ptr<Connection>> connections_;
};

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_TCP_PROXY_H_
