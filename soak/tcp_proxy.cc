#include "soak/tcp_proxy.h"

#include <array>
#include <chrono>

namespace hawthornbank::soak {
namespace {

using asio::ip::tcp;

// Longer than the usual time to an answer, but shorter than the deadline of a
// call to the store.
constexpr std::chrono::milliseconds kAnswerDelay{250};
constexpr std::size_t kBufferBytes = 16384;

auto ConvertToTcpEndpoint(Endpoint endpoint) -> tcp::endpoint {
  return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

}  // namespace

struct TcpProxy::Connection {
  explicit Connection(asio::io_context& io)
      : client(io), server(io), delay_timer(io) {}

  // Closes both sockets. With a linger time of zero, the client receives a
  // reset instead of an orderly close.
  auto ResetConnection() -> void {
    asio::error_code ec;
    client.set_option(asio::socket_base::linger(true, 0), ec);
    client.close(ec);
    server.close(ec);
  }

  tcp::socket client;
  tcp::socket server;
  asio::steady_timer delay_timer;
  std::array<std::uint8_t, kBufferBytes> call_buffer{};
  std::array<std::uint8_t, kBufferBytes> answer_buffer{};
  bool is_silent = false;
};

TcpProxy::TcpProxy(asio::io_context& io, Endpoint local, Endpoint server)
    : io_(io), acceptor_(io, ConvertToTcpEndpoint(local)), server_(server) {
  AcceptConnections();
}

auto TcpProxy::SetProxyMode(ProxyMode mode) -> void {
  mode_ = mode;
  if (mode != ProxyMode::kReset) {
    return;
  }
  for (const auto& it : connections_) {
    if (const auto connection = it.lock()) {
      connection->ResetConnection();
    }
  }
  connections_.clear();
}

auto TcpProxy::SilenceOpenConnections() -> void {
  for (const auto& it : connections_) {
    if (const auto connection = it.lock()) {
      connection->is_silent = true;
    }
  }
}

auto TcpProxy::AcceptConnections() -> void {
  const auto connection = std::make_shared<Connection>(io_);
  acceptor_.async_accept(
      connection->client, [this, connection](const asio::error_code& ec) {
        if (ec == asio::error::operation_aborted) {
          return;
        }
        asio::error_code failed;
        connection->server.connect(ConvertToTcpEndpoint(server_), failed);
        if (ec || failed || mode_ == ProxyMode::kReset) {
          connection->ResetConnection();
        } else {
          connections_.push_back(connection);
          RelayNextBytes(connection, false);
          RelayNextBytes(connection, true);
        }
        AcceptConnections();
      });
}

auto TcpProxy::RelayNextBytes(const std::shared_ptr<Connection>& connection,
                              bool is_answer) -> void {
  auto& from = is_answer ? connection->server : connection->client;
  auto& buf = is_answer ? connection->answer_buffer : connection->call_buffer;
  from.async_read_some(
      asio::buffer(buf), [this, connection, is_answer](
                             const asio::error_code& ec, std::size_t size) {
        if (ec) {
          asio::error_code ignored;
          connection->client.close(ignored);
          connection->server.close(ignored);
          return;
        }
        const bool is_discarded = connection->is_silent ||
                                  mode_ == ProxyMode::kSilent ||
                                  (is_answer && mode_ == ProxyMode::kNoAnswers);
        if (is_discarded) {
          RelayNextBytes(connection, is_answer);
        } else if (is_answer && mode_ == ProxyMode::kDelay) {
          connection->delay_timer.expires_after(kAnswerDelay);
          connection->delay_timer.async_wait(
              [this, connection, size](const asio::error_code&) {
                WriteBytesToPeer(connection, true, size);
              });
        } else {
          WriteBytesToPeer(connection, is_answer, size);
        }
      });
}

auto TcpProxy::WriteBytesToPeer(const std::shared_ptr<Connection>& connection,
                                bool is_answer,
                                std::size_t size) -> void {
  auto& to = is_answer ? connection->client : connection->server;
  auto& buf = is_answer ? connection->answer_buffer : connection->call_buffer;
  asio::async_write(
      to, asio::buffer(buf, size),
      [this, connection, is_answer](const asio::error_code& ec, std::size_t) {
        if (!ec) {
          RelayNextBytes(connection, is_answer);
        }
      });
}

}  // namespace hawthornbank::soak
