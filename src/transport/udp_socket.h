#ifndef HAWTHORNBANK_SRC_TRANSPORT_UDP_SOCKET_H_
#define HAWTHORNBANK_SRC_TRANSPORT_UDP_SOCKET_H_

#include <asio.hpp>
#include <functional>

#include "hawthornbank/packet.h"
#include "hawthornbank/types.h"

/// @file
/// UDP socket that receives in a loop and never blocks a sender.
namespace hawthornbank::transport {

/// Largest UDP datagram, in bytes.
inline constexpr std::size_t kMaxDatagramBytes = 65536;

/// @param endpoint Address and port.
/// @return The same for Asio.
auto ToAsio(Endpoint endpoint) -> asio::ip::udp::endpoint;

/// @param endpoint An IPv4 endpoint of Asio.
/// @return The same for the core.
auto FromAsio(const asio::ip::udp::endpoint& endpoint) -> Endpoint;

/// What passed a socket.
struct UdpTraffic {
  std::uint64_t received = 0;        ///< Datagrams.
  std::uint64_t received_bytes = 0;  ///< Their payload.
  std::uint64_t sent = 0;            ///< Datagrams.
  std::uint64_t sent_bytes = 0;      ///< Their payload.
  std::uint64_t unsent = 0;          ///< Datagrams that the system refused.
};

/// A UDP socket with a receive loop. All calls are made on its io_context.
class UdpSocket {
 public:
  using ReceiveHandler = std::function<void(Endpoint from, ByteView datagram)>;
  using ErrorHandler = std::function<void(const asio::error_code& ec)>;

  /// Binds a socket.
  /// @param io Where its handlers run.
  /// @param local Local endpoint; port 0 lets the system choose.
  /// @throws Error kInvalidSettings when it can't be bound.
  UdpSocket(asio::io_context& io, Endpoint local);

  /// Shares another socket's port, for a worker with its own io_context.
  /// @param io Where its handlers run.
  /// @param other The socket to share.
  UdpSocket(asio::io_context& io, const UdpSocket& other);

  /// Receives from one peer only.
  /// @param peer The only peer.
  auto Connect(Endpoint peer) -> void;

  /// Starts the receive loop.
  /// @param on_datagram Called for each datagram.
  /// @param on_error Called for each error, such as a refused connection.
  auto Receive(ReceiveHandler on_datagram, ErrorHandler on_error = {}) -> void;

  /// Sends one datagram; one that can't be sent at once is lost, as UDP may.
  /// @param to Receiver.
  /// @param datagram Payload.
  auto Send(Endpoint to, ByteView datagram) -> void;

  /// Sends one datagram to the connected peer.
  /// @param datagram Payload.
  auto Send(ByteView datagram) -> void;

  /// Closes the socket and ends the receive loop.
  auto Close() -> void;

  /// @return The local endpoint.
  [[nodiscard]] auto local() const -> Endpoint;

  /// @return What has passed it so far.
  [[nodiscard]] auto traffic() const -> const UdpTraffic& { return traffic_; }

 private:
  auto ReceiveNext() -> void;
  auto Drain() -> void;
  auto NoteSent(std::size_t size, const asio::error_code& ec) -> void;

  // Datagrams taken in one go before other handlers get their turn.
  static constexpr int kBatch = 64;

  mutable asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint from_;
  ReceiveHandler on_datagram_;
  ErrorHandler on_error_;
  UdpTraffic traffic_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_UDP_SOCKET_H_
