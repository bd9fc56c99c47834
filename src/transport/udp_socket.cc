#include "transport/udp_socket.h"

#include <unistd.h>

#include <array>
#include <utility>

#include "transport/bind_error.h"
#include "transport/clock.h"

namespace hawthornbank::transport {
namespace {

constexpr int kReceiveBufferBytes = 4 * 1024 * 1024;

}  // namespace

auto ConvertToAsioEndpoint(Endpoint endpoint) -> asio::ip::udp::endpoint {
  return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

auto ConvertFromAsioEndpoint(const asio::ip::udp::endpoint& endpoint)
    -> Endpoint {
  return Endpoint{.address = endpoint.address().to_v4().to_uint(),
                  .port = endpoint.port()};
}

UdpSocket::UdpSocket(asio::io_context& io, Endpoint local) : socket_(io) {
  asio::error_code ec;
  socket_.open(asio::ip::udp::v4(), ec);
  socket_.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ec);
  socket_.bind(ConvertToAsioEndpoint(local), ec);
  if (ec) {
    throw BindError("can't bind " + ToString(local) + ": " + ec.message());
  }
  socket_.non_blocking(true);
}

UdpSocket::UdpSocket(asio::io_context& io, const UdpSocket& other)
    : socket_(io) {
  socket_.assign(asio::ip::udp::v4(), ::dup(other.socket_.native_handle()));
  socket_.non_blocking(true);
}

auto UdpSocket::ConnectToPeer(Endpoint peer) -> void {
  asio::error_code ec;
  socket_.connect(ConvertToAsioEndpoint(peer), ec);
}

auto UdpSocket::StartReceiving(ReceiveHandler on_datagram,
                               ErrorHandler on_error) -> void {
  on_datagram_ = std::move(on_datagram);
  on_error_ = std::move(on_error);
  WaitForDatagrams();
}

auto UdpSocket::WaitForDatagrams() -> void {
  socket_.async_wait(
      asio::ip::udp::socket::wait_read, [this](const asio::error_code& ec) {
        if (ec == asio::error::operation_aborted || !socket_.is_open()) {
          return;
        }
        ReceiveDatagramBatch();
      });
}

auto UdpSocket::ReceiveDatagramBatch() -> void {
  // One buffer per thread, because an agent has a socket for each of its flows.
  static thread_local std::array<std::uint8_t, kMaxDatagramBytes> buf;
  bool is_at_end = false;
  for (int n = 0; n < kMaxDatagramsPerBatch; ++n) {
    asio::error_code ec;
    const std::size_t size =
        socket_.receive_from(asio::buffer(buf), from_, 0, ec);
    if (ec == asio::error::would_block) {
      is_at_end = true;
      break;
    }
    if (ec) {
      if (on_error_) {
        on_error_(ec);
      }
    } else {
      ++traffic_.received;
      traffic_.received_bytes += size;
      on_datagram_(ConvertFromAsioEndpoint(from_), ByteView(buf).first(size));
    }
    if (!socket_.is_open()) {
      return;
    }
  }
  has_unread_datagrams_ = !is_at_end;
  if (is_at_end) {
    read_to_end_at_ = GetMonotonicTime();
  }
  WaitForDatagrams();
}

auto UdpSocket::SendDatagram(Endpoint to, ByteView datagram) -> void {
  asio::error_code ec;
  socket_.send_to(asio::buffer(datagram.data(), datagram.size()),
                  ConvertToAsioEndpoint(to), 0, ec);
  RecordSendResult(datagram.size(), ec);
}

auto UdpSocket::SendDatagram(ByteView datagram) -> void {
  asio::error_code ec;
  socket_.send(asio::buffer(datagram.data(), datagram.size()), 0, ec);
  RecordSendResult(datagram.size(), ec);
}

auto UdpSocket::RecordSendResult(std::size_t size, const asio::error_code& ec)
    -> void {
  if (ec) {
    ++traffic_.send_failures;
    return;
  }
  ++traffic_.sent;
  traffic_.sent_bytes += size;
}

auto UdpSocket::CloseSocket() -> void {
  asio::error_code ec;
  socket_.close(ec);
}

auto UdpSocket::local_endpoint() const -> Endpoint {
  return ConvertFromAsioEndpoint(socket_.local_endpoint());
}

}  // namespace hawthornbank::transport
