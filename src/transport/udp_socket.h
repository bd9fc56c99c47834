#ifndef HAWTHORNBANK_SRC_TRANSPORT_UDP_SOCKET_H_
#define HAWTHORNBANK_SRC_TRANSPORT_UDP_SOCKET_H_

#include <asio.hpp>
#include <functional>
#include <optional>

#include "hawthornbank/packet.h"
#include "hawthornbank/types.h"

/// @file
/// Non-blocking UDP socket with a receive loop.
namespace hawthornbank::transport {

/// Upper bound of the size of a UDP datagram, in bytes.
inline constexpr std::size_t kMaxDatagramBytes = 65536;

/// Converts an endpoint to Asio's type.
/// @param endpoint Address and port.
/// @return The same endpoint in Asio's type.
auto ConvertToAsioEndpoint(Endpoint endpoint) -> asio::ip::udp::endpoint;

/// Converts an endpoint from Asio's type.
/// @param endpoint An IPv4 endpoint of Asio.
/// @return The same endpoint in the library's type.
auto ConvertFromAsioEndpoint(const asio::ip::udp::endpoint& endpoint)
    -> Endpoint;

/// Traffic counters of a socket.
struct UdpTraffic {
  std::uint64_t received = 0;        ///< Datagrams received.
  std::uint64_t received_bytes = 0;  ///< Payload bytes received.
  std::uint64_t sent = 0;            ///< Datagrams sent.
  std::uint64_t sent_bytes = 0;      ///< Payload bytes sent.
  /// Datagrams that the kernel did not accept for sending.
  std::uint64_t send_failures = 0;
};

/// A UDP socket with a receive loop. All calls must be made on its io_context.
class UdpSocket {
 public:
  using ReceiveHandler = std::function<void(Endpoint from, ByteView datagram)>;
  using ErrorHandler = std::function<void(const asio::error_code& ec)>;

  /// Binds a socket.
  /// @param io Runs the socket's handlers.
  /// @param local Local endpoint; port 0 lets the system choose.
  /// @throws Error kInvalidSettings when the endpoint can't be bound.
  UdpSocket(asio::io_context& io, Endpoint local);

  /// Duplicates another socket, for a worker with its own io_context.
  /// @param io Runs the socket's handlers.
  /// @param other The socket to share.
  UdpSocket(asio::io_context& io, const UdpSocket& other);

  /// Connects the socket, which then receives from one peer only.
  /// @param peer The peer.
  auto ConnectToPeer(Endpoint peer) -> void;

  /// Starts the receive loop.
  /// @param on_datagram Called for each datagram.
  /// @param on_error Called for each error, such as a refused connection.
  auto StartReceiving(ReceiveHandler on_datagram, ErrorHandler on_error = {})
      -> void;

  /// Sends one datagram. A datagram that can't be sent without blocking is
  /// counted as a send failure and dropped, which UDP allows.
  /// @param to Receiver.
  /// @param datagram Payload.
  auto SendDatagram(Endpoint to, ByteView datagram) -> void;

  /// Sends one datagram to the connected peer.
  /// @param datagram Payload.
  auto SendDatagram(ByteView datagram) -> void;

  /// Closes the socket and ends the receive loop.
  auto CloseSocket() -> void;

  /// @return The local endpoint.
  [[nodiscard]] auto local_endpoint() const -> Endpoint;

  /// @return While the last batch left datagrams unread: when the socket was
  ///   last read to its end. Otherwise nothing.
  [[nodiscard]] auto read_until() const -> std::optional<TimePoint> {
    return has_unread_datagrams_ ? std::optional(read_to_end_at_)
                                 : std::nullopt;
  }

  /// @return Traffic counters of this socket.
  [[nodiscard]] auto traffic() const -> const UdpTraffic& { return traffic_; }

 private:
  auto WaitForDatagrams() -> void;
  auto ReceiveDatagramBatch() -> void;
  auto RecordSendResult(std::size_t size, const asio::error_code& ec) -> void;

  // Maximum number of datagrams received in one batch before other handlers
  // run.
  static constexpr int kMaxDatagramsPerBatch = 64;

  mutable asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint from_;
  ReceiveHandler on_datagram_;
  ErrorHandler on_error_;
  UdpTraffic traffic_;
  TimePoint read_to_end_at_{};
  bool has_unread_datagrams_ = false;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_UDP_SOCKET_H_
