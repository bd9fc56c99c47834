#include "hawthornbank/packet.h"

#include "protocol/byte_order.h"

namespace hawthornbank {
namespace {

using detail::Load16;
using detail::Load32;

constexpr std::uint8_t kProtocolIcmp = 1;
constexpr std::uint8_t kProtocolTcp = 6;
constexpr std::uint8_t kProtocolUdp = 17;
constexpr std::uint16_t kMoreFragments = 0x2000;
constexpr std::uint16_t kFragmentOffsetMask = 0x1FFF;
constexpr std::uint8_t kTcpFin = 0x01;
constexpr std::uint8_t kTcpSyn = 0x02;
constexpr std::uint8_t kTcpRst = 0x04;
constexpr std::uint8_t kTcpAck = 0x10;
// Ports stand in the first four bytes of both UDP and TCP.
constexpr std::size_t kPortBytes = 4;

auto IsIcmpError(std::uint8_t type) -> bool {
  constexpr std::uint8_t kUnreachable = 3;
  constexpr std::uint8_t kTimeExceeded = 11;
  constexpr std::uint8_t kParameterProblem = 12;
  return type == kUnreachable || type == kTimeExceeded ||
         type == kParameterProblem;
}

auto TcpKind(std::uint8_t flags) -> PacketKind {
  if ((flags & kTcpRst) != 0) {
    return PacketKind::kReset;
  }
  if ((flags & (kTcpSyn | kTcpAck)) == kTcpSyn) {
    return PacketKind::kOpening;
  }
  return (flags & kTcpFin) != 0 ? PacketKind::kFinish : PacketKind::kData;
}

auto ParseTcp(ByteView segment, PacketView& view) -> void {
  if (segment.size() < kTcpHeaderBytes) {
    return;
  }
  const std::size_t header = std::size_t{segment[12]} / 16 * 4;
  if (header < kTcpHeaderBytes || header > segment.size()) {
    return;
  }
  view.transport = Transport::kTcp;
  view.payload = segment.subspan(header);
  view.kind = TcpKind(segment[13]);
}

auto ParseUdp(ByteView segment, PacketView& view) -> void {
  if (segment.size() < kUdpHeaderBytes) {
    return;
  }
  const std::size_t length = Load16(segment.data() + 4);
  if (length < kUdpHeaderBytes || length > segment.size()) {
    return;
  }
  view.transport = Transport::kUdp;
  view.payload = segment.subspan(kUdpHeaderBytes, length - kUdpHeaderBytes);
  view.kind = PacketKind::kData;
}

// An ICMP error quotes the packet that a target sent, so the flow's caller is
// the quoted destination.
auto ParseIcmp(ByteView message, PacketView& view) -> void {
  if (message.size() < kUdpHeaderBytes + kIpv4HeaderBytes ||
      !IsIcmpError(message[0])) {
    return;
  }
  const ByteView quoted = message.subspan(kUdpHeaderBytes);
  const std::size_t header = std::size_t{quoted[0]} % 16 * 4;
  const bool known = quoted[9] == kProtocolTcp || quoted[9] == kProtocolUdp;
  if (quoted[0] / 16 != 4 || header < kIpv4HeaderBytes || !known ||
      quoted.size() < header + kPortBytes) {
    return;
  }
  const auto* const ports = quoted.data() + header;
  view.transport = static_cast<Transport>(quoted[9]);
  view.source = Endpoint{.address = Load32(quoted.data() + 16),
                         .port = Load16(ports + 2)};
  view.destination =
      Endpoint{.address = Load32(quoted.data() + 12), .port = Load16(ports)};
  view.kind = PacketKind::kIcmpError;
}

}  // namespace

auto ParsePacket(ByteView bytes) -> PacketView {
  PacketView view{.bytes = bytes};
  if (bytes.size() < kIpv4HeaderBytes || bytes[0] / 16 != 4) {
    return view;
  }
  const std::size_t header = std::size_t{bytes[0]} % 16 * 4;
  const std::size_t total = Load16(bytes.data() + 2);
  if (header < kIpv4HeaderBytes || total < header || total > bytes.size()) {
    return view;
  }
  view.bytes = bytes.first(total);
  view.source.address = Load32(bytes.data() + 12);
  view.destination.address = Load32(bytes.data() + 16);
  const std::uint16_t fragment = Load16(bytes.data() + 6);
  if ((fragment & (kMoreFragments | kFragmentOffsetMask)) != 0) {
    view.kind = PacketKind::kFragment;
    return view;
  }
  const ByteView segment = view.bytes.subspan(header);
  if (bytes[9] == kProtocolIcmp) {
    ParseIcmp(segment, view);
    return view;
  }
  if (segment.size() < kPortBytes) {
    return view;
  }
  view.source.port = Load16(segment.data());
  view.destination.port = Load16(segment.data() + 2);
  if (bytes[9] == kProtocolTcp) {
    ParseTcp(segment, view);
  } else if (bytes[9] == kProtocolUdp) {
    ParseUdp(segment, view);
  }
  return view;
}

}  // namespace hawthornbank
