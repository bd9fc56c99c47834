#ifndef HAWTHORNBANK_SRC_TRANSPORT_CONTROL_CHANNEL_H_
#define HAWTHORNBANK_SRC_TRANSPORT_CONTROL_CHANNEL_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>

#include "protocol/message.h"
#include "transport/udp_socket.h"

/// @file
/// The UDP endpoint for control messages and tunnelled packets between
/// processes.
namespace hawthornbank::transport {

/// Counts of the control messages that a channel sent and received, and of the
/// datagrams that the channel rejected.
struct ChannelCounters {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t unauthenticated = 0;
  std::uint64_t malformed = 0;
};

/// Sends and receives authenticated control messages and tunnelled packets.
class ControlChannel {
 public:
  using MessageHandler =
      std::function<void(Endpoint from, const Message& message)>;
  using PacketHandler = std::function<void(const TunnelPacket& packet)>;

  /// Binds the endpoint `local`.
  /// @param io Context on which the handlers run.
  /// @param local The endpoint to bind.
  /// @param keys Keys of this process.
  /// @throws Error kInvalidSettings when the endpoint can't be bound.
  ControlChannel(asio::io_context& io, Endpoint local, const KeyRing& keys);

  /// Starts receiving datagrams. Rejected datagrams are only counted.
  /// @param on_message Called for each authentic control message.
  /// @param on_packet Called for each authentic tunnelled packet.
  auto StartReceiving(MessageHandler on_message, PacketHandler on_packet)
      -> void;

  /// Sends a control message.
  /// @param to Endpoint of the receiver.
  /// @param message The message.
  auto SendMessage(Endpoint to, const Message& message) -> void;

  /// Sends a caller's packet to an agent through the tunnel.
  /// @param to Endpoint of the receiver.
  /// @param header The packet's tunnel header.
  /// @param packet The caller's packet.
  auto SendTunnelPacket(Endpoint to,
                        const TunnelHeader& header,
                        ByteView packet) -> void;

  /// @return Counts of messages sent and received, and of rejected datagrams.
  [[nodiscard]] auto counters() const -> const ChannelCounters& {
    return counters_;
  }

 private:
  auto HandleReceivedDatagram(Endpoint from, ByteView datagram) -> void;

  KeyRing keys_;
  std::vector<TunnelKey> tunnel_keys_;
  UdpSocket socket_;
  MessageHandler on_message_;
  PacketHandler on_packet_;
  ChannelCounters counters_;
  Bytes buf_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_CONTROL_CHANNEL_H_
