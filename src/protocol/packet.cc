#include "hawthornbank/packet.h"

#include "protocol/byte_order.h"

namespace hawthornbank {
namespace {

using detail::LoadBigEndian16;
using detail::LoadBigEndian32;

constexpr std::uint8_t kProtocolIcmp = 1;
constexpr std::uint8_t kProtocolTcp = 6;
constexpr std::uint8_t kProtocolUdp = 17;
constexpr std::uint16_t kMoreFragments = 0x2000;
constexpr std::uint16_t kFragmentOffsetMask = 0x1FFF;
constexpr std::uint8_t kTcpFin = 0x01;
constexpr std::uint8_t kTcpSyn = 0x02;
constexpr std::uint8_t kTcpRst = 0x04;
constexpr std::uint8_t kTcpAck = 0x10;
// Both the UDP and the TCP header begin with the source and destination ports.
constexpr std::size_t kPortFieldsBytes = 4;

auto IsIcmpErrorType(std::uint8_t type) -> bool {
  constexpr std::uint8_t kUnreachable = 3;
  constexpr std::uint8_t kTimeExceeded = 11;
  constexpr std::uint8_t kParameterProblem = 12;
  return type == kUnreachable || type == kTimeExceeded ||
         type == kParameterProblem;
}

auto ClassifyTcpFlags(std::uint8_t flags) -> PacketKind {
  if ((flags & kTcpRst) != 0) {
    return PacketKind::kReset;
  }
  if ((flags & (kTcpSyn | kTcpAck)) == kTcpSyn) {
    return PacketKind::kOpening;
  }
  return (flags & kTcpFin) != 0 ? PacketKind::kFinish : PacketKind::kData;
}

auto ParseTcpSegment(ByteView segment, PacketView& view) -> void {
  if (segment.size() < kTcpHeaderBytes) {
    return;
  }
  const std::size_t header_bytes = std::size_t{segment[12]} / 16 * 4;
  if (header_bytes < kTcpHeaderBytes || header_bytes > segment.size()) {
    return;
  }
  view.transport = Transport::kTcp;
  view.payload = segment.subspan(header_bytes);
  view.kind = ClassifyTcpFlags(segment[13]);
}

auto ParseUdpDatagram(ByteView segment, PacketView& view) -> void {
  if (segment.size() < kUdpHeaderBytes) {
    return;
  }
  const std::size_t length = LoadBigEndian16(segment.data() + 4);
  if (length < kUdpHeaderBytes || length > segment.size()) {
    return;
  }
  view.transport = Transport::kUdp;
  view.payload = segment.subspan(kUdpHeaderBytes, length - kUdpHeaderBytes);
  view.kind = PacketKind::kData;
}

// An ICMP error quotes the target's packet that caused the error. The flow's
// caller is therefore the destination of the quoted packet.
auto ParseIcmpError(ByteView message, PacketView& view) -> void {
  if (message.size() < kUdpHeaderBytes + kIpv4HeaderBytes ||
      !IsIcmpErrorType(message[0])) {
    return;
  }
  const ByteView quoted = message.subspan(kUdpHeaderBytes);
  const std::size_t header_bytes = std::size_t{quoted[0]} % 16 * 4;
  const bool is_known_protocol =
      quoted[9] == kProtocolTcp || quoted[9] == kProtocolUdp;
  if (quoted[0] / 16 != 4 || header_bytes < kIpv4HeaderBytes ||
      !is_known_protocol || quoted.size() < header_bytes + kPortFieldsBytes) {
    return;
  }
  const auto* const ports = quoted.data() + header_bytes;
  view.transport = static_cast<Transport>(quoted[9]);
  view.source = Endpoint{.address = LoadBigEndian32(quoted.data() + 16),
                         .port = LoadBigEndian16(ports + 2)};
  view.destination = Endpoint{.address = LoadBigEndian32(quoted.data() + 12),
                              .port = LoadBigEndian16(ports)};
  view.kind = PacketKind::kIcmpError;
}

}  // namespace

auto ParsePacket(ByteView bytes) -> PacketView {
  PacketView view{.bytes = bytes};
  if (bytes.size() < kIpv4HeaderBytes || bytes[0] / 16 != 4) {
    return view;
  }
  const std::size_t header_bytes = std::size_t{bytes[0]} % 16 * 4;
  const std::size_t packet_bytes = LoadBigEndian16(bytes.data() + 2);
  if (header_bytes < kIpv4HeaderBytes || packet_bytes < header_bytes ||
      packet_bytes > bytes.size()) {
    return view;
  }
  view.bytes = bytes.first(packet_bytes);
  view.source.address = LoadBigEndian32(bytes.data() + 12);
  view.destination.address = LoadBigEndian32(bytes.data() + 16);
  const std::uint16_t fragment = LoadBigEndian16(bytes.data() + 6);
  if ((fragment & (kMoreFragments | kFragmentOffsetMask)) != 0) {
    view.kind = PacketKind::kFragment;
    return view;
  }
  const ByteView segment = view.bytes.subspan(header_bytes);
  if (bytes[9] == kProtocolIcmp) {
    ParseIcmpError(segment, view);
    return view;
  }
  if (segment.size() < kPortFieldsBytes) {
    return view;
  }
  view.source.port = LoadBigEndian16(segment.data());
  view.destination.port = LoadBigEndian16(segment.data() + 2);
  if (bytes[9] == kProtocolTcp) {
    ParseTcpSegment(segment, view);
  } else if (bytes[9] == kProtocolUdp) {
    ParseUdpDatagram(segment, view);
  }
  return view;
}

}  // namespace hawthornbank
