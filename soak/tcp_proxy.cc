#include "soak/tcp_proxy.h"

#include <array>
#include <chrono>

namespace hawthornbank::soak {
namespace {

using asio::ip::tcp;

// Longer than a usual answer, shorter than a call's deadline.
constexpr std::chrono::milliseconds kHeldBack{250};
constexpr std::size_t kPieceBytes = 16384;

auto ToTcp(Endpoint endpoint) -> tcp::endpoint {
  return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

}  // namespace

struct TcpProxy::Connection {
  explicit Connection(asio::io_context& io)
      : client(io), server(io), held_back(io) {}

  // A reset instead of an orderly end.
  auto Reset() -> void {
    asio::error_code ec;
    client.set_option(asio::socket_base::linger(true, 0), ec);
    client.close(ec);
    server.close(ec);
  }

  tcp::socket client;
  tcp::socket server;
  asio::steady_timer held_back;
  std::array<std::uint8_t, kPieceBytes> calls{};
  std::array<std::uint8_t, kPieceBytes> answers{};
  bool silent = false;
};

TcpProxy::TcpProxy(asio::io_context& io, Endpoint local, Endpoint server)
    : io_(io), acceptor_(io, ToTcp(local)), server_(server) {
  Accept();
}

auto TcpProxy::SetMode(ProxyMode mode) -> void {
  mode_ = mode;
  if (mode != ProxyMode::kReset) {
    return;
  }
  for (const auto& it : connections_) {
    if (const auto connection = it.lock()) {
      connection->Reset();
    }
  }
  connections_.clear();
}

auto TcpProxy::SilenceOpen() -> void {
  for (const auto& it : connections_) {
    if (const auto connection = it.lock()) {
      connection->silent = true;
    }
  }
}

auto TcpProxy::Accept() -> void {
  const auto connection = std::make_shared<Connection>(io_);
  acceptor_.async_accept(connection->client,
                         [this, connection](const asio::error_code& ec) {
                           if (ec == asio::error::operation_aborted) {
                             return;
                           }
                           asio::error_code failed;
                           connection->server.connect(ToTcp(server_), failed);
                           if (ec || failed || mode_ == ProxyMode::kReset) {
                             connection->Reset();
                           } else {
                             connections_.push_back(connection);
                             Pump(connection, false);
                             Pump(connection, true);
                           }
                           Accept();
                         });
}

auto TcpProxy::Pump(const std::shared_ptr<Connection>& connection,
                    bool is_answer) -> void {
  auto& from = is_answer ? connection->server : connection->client;
  auto& buf = is_answer ? connection->answers : connection->calls;
  from.async_read_some(
      asio::buffer(buf), [this, connection, is_answer](
                             const asio::error_code& ec, std::size_t size) {
        if (ec) {
          asio::error_code ignored;
          connection->client.close(ignored);
          connection->server.close(ignored);
          return;
        }
        const bool held = connection->silent || mode_ == ProxyMode::kSilent ||
                          (is_answer && mode_ == ProxyMode::kNoAnswers);
        if (held) {
          Pump(connection, is_answer);
        } else if (is_answer && mode_ == ProxyMode::kDelay) {
          connection->held_back.expires_after(kHeldBack);
          connection->held_back.async_wait(
              [this, connection, size](const asio::error_code&) {
                Forward(connection, true, size);
              });
        } else {
          Forward(connection, is_answer, size);
        }
      });
}

auto TcpProxy::Forward(const std::shared_ptr<Connection>& connection,
                       bool is_answer,
                       std::size_t size) -> void {
  auto& to = is_answer ? connection->client : connection->server;
  auto& buf = is_answer ? connection->answers : connection->calls;
  asio::async_write(
      to, asio::buffer(buf, size),
      [this, connection, is_answer](const asio::error_code& ec, std::size_t) {
        if (!ec) {
          Pump(connection, is_answer);
        }
      });
}

}  // namespace hawthornbank::soak
