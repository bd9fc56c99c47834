#include "transport/control_channel.h"

#include <utility>

#include "hawthornbank/error.h"

namespace hawthornbank::transport {

ControlChannel::ControlChannel(asio::io_context& io,
                               Endpoint local,
                               const KeyRing& keys)
    : keys_(keys),
      tunnel_keys_{keys.tunnel},
      socket_(io, local),
      buf_(kMaxDatagramBytes + kMaxTunnelHeaderBytes) {
  if (keys.previous_tunnel) {
    tunnel_keys_.push_back(*keys.previous_tunnel);
  }
}

auto ControlChannel::StartReceiving(MessageHandler on_message,
                                    PacketHandler on_packet) -> void {
  on_message_ = std::move(on_message);
  on_packet_ = std::move(on_packet);
  socket_.StartReceiving([this](Endpoint from, ByteView datagram) {
    HandleReceivedDatagram(from, datagram);
  });
}

auto ControlChannel::HandleReceivedDatagram(Endpoint from, ByteView datagram)
    -> void {
  if (!HasControlMessageMagic(datagram)) {
    const auto packet = DecodeTunnelPacket(datagram, tunnel_keys_);
    if (packet) {
      on_packet_(*packet);
    } else {
      ++counters_.unauthenticated;
    }
    return;
  }
  counters_.bytes_received += datagram.size();
  try {
    const Message message = DecodeMessage(datagram, keys_);
    ++counters_.messages_received;
    on_message_(from, message);
  } catch (const Error& error) {
    error.kind() == ErrorKind::kUnauthenticated ? ++counters_.unauthenticated
                                                : ++counters_.malformed;
  }
}

auto ControlChannel::SendMessage(Endpoint to, const Message& message) -> void {
  const Bytes datagram = EncodeMessage(message, keys_);
  ++counters_.messages_sent;
  counters_.bytes_sent += datagram.size();
  socket_.SendDatagram(to, datagram);
}

auto ControlChannel::SendTunnelPacket(Endpoint to,
                                      const TunnelHeader& header,
                                      ByteView packet) -> void {
  const std::size_t size =
      EncodeTunnelPacket(header, packet, keys_.tunnel, buf_);
  socket_.SendDatagram(to, ByteView(buf_).first(size));
}

}  // namespace hawthornbank::transport
