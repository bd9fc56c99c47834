#include <algorithm>

#include "hawthornbank/packet.h"
#include "protocol/byte_order.h"

namespace hawthornbank {
namespace {

using detail::LoadBigEndian16;
using detail::LoadBigEndian32;
using detail::StoreBigEndian16;
using detail::StoreBigEndian32;

constexpr std::uint8_t kTimeToLive = 64;
constexpr std::uint8_t kIcmpUnreachable = 3;
constexpr std::uint8_t kCodePortUnreachable = 3;
constexpr std::uint8_t kCodeFragmentationNeeded = 4;
constexpr std::uint16_t kPathMtu = 1400;
constexpr std::uint16_t kFragmentOffsetMask = 0x1FFF;
constexpr std::uint8_t kTcpRst = 0x04;
constexpr std::uint8_t kTcpAck = 0x10;
constexpr std::uint8_t kTcpSynOrFin = 0x03;

auto AddToChecksum(std::uint32_t sum, ByteView bytes) -> std::uint32_t {
  for (std::size_t n = 0; n + 1 < bytes.size(); n += 2) {
    sum += LoadBigEndian16(bytes.data() + n);
  }
  if (bytes.size() % 2 != 0) {
    sum += std::uint32_t{bytes.back()} << 8U;
  }
  return sum;
}

auto FoldAndInvertChecksum(std::uint32_t sum) -> std::uint16_t {
  while (sum > 0xFFFFU) {
    sum = (sum & 0xFFFFU) + (sum >> 16U);
  }
  return static_cast<std::uint16_t>(~sum);
}

auto WriteIpv4Header(Bytes& packet,
                     std::uint8_t protocol,
                     std::uint32_t source,
                     std::uint32_t destination) -> void {
  packet[0] = 0x45;
  StoreBigEndian16(packet.data() + 2,
                   static_cast<std::uint16_t>(packet.size()));
  packet[8] = kTimeToLive;
  packet[9] = protocol;
  StoreBigEndian32(packet.data() + 12, source);
  StoreBigEndian32(packet.data() + 16, destination);
  const ByteView header = ByteView(packet).first(kIpv4HeaderBytes);
  StoreBigEndian16(packet.data() + 10,
                   FoldAndInvertChecksum(AddToChecksum(0, header)));
}

// Computes the TCP or UDP checksum over the pseudo header
// and the segment that follows the IPv4 header.
auto ComputeSegmentChecksum(const Bytes& packet) -> std::uint16_t {
  const ByteView view(packet);
  const ByteView segment = view.subspan(kIpv4HeaderBytes);
  std::uint32_t sum = AddToChecksum(0, view.subspan(12, 8));
  sum += packet[9];
  sum += static_cast<std::uint32_t>(segment.size());
  return FoldAndInvertChecksum(AddToChecksum(sum, segment));
}

auto BuildIcmpError(const PacketView& packet, std::uint8_t code) -> Bytes {
  const std::size_t quoted_bytes =
      std::min(packet.bytes.size(),
               std::size_t{packet.bytes[0]} % 16 * 4 + kUdpHeaderBytes);
  Bytes buf(kIpv4HeaderBytes + kUdpHeaderBytes + quoted_bytes);
  auto* const icmp = buf.data() + kIpv4HeaderBytes;
  icmp[0] = kIcmpUnreachable;
  icmp[1] = code;
  if (code == kCodeFragmentationNeeded) {
    StoreBigEndian16(icmp + 6, kPathMtu);
  }
  std::copy_n(packet.bytes.begin(), quoted_bytes, icmp + kUdpHeaderBytes);
  const ByteView message = ByteView(buf).subspan(kIpv4HeaderBytes);
  StoreBigEndian16(icmp + 2, FoldAndInvertChecksum(AddToChecksum(0, message)));
  WriteIpv4Header(buf, 1, packet.destination.address, packet.source.address);
  return buf;
}

auto BuildTcpReset(const PacketView& packet) -> Bytes {
  const std::size_t header_bytes = std::size_t{packet.bytes[0]} % 16 * 4;
  const auto* const received_tcp = packet.bytes.data() + header_bytes;
  const std::uint8_t flags = received_tcp[13];
  Bytes buf(kIpv4HeaderBytes + kTcpHeaderBytes);
  auto* const tcp = buf.data() + kIpv4HeaderBytes;
  StoreBigEndian16(tcp, packet.destination.port);
  StoreBigEndian16(tcp + 2, packet.source.port);
  tcp[12] = (kTcpHeaderBytes / 4) << 4U;
  // RFC 9293, 3.10.7.1: the reset takes its sequence number from the
  // acknowledgement number of the caller's packet, if that packet has one.
  if ((flags & kTcpAck) != 0) {
    StoreBigEndian32(tcp + 4, LoadBigEndian32(received_tcp + 8));
    tcp[13] = kTcpRst;
  } else {
    const auto length = static_cast<std::uint32_t>(
        packet.payload.size() + ((flags & kTcpSynOrFin) != 0 ? 1 : 0));
    StoreBigEndian32(tcp + 8, LoadBigEndian32(received_tcp + 4) + length);
    tcp[13] = kTcpRst | kTcpAck;
  }
  WriteIpv4Header(buf, 6, packet.destination.address, packet.source.address);
  StoreBigEndian16(tcp + 16, ComputeSegmentChecksum(buf));
  return buf;
}

}  // namespace

auto BuildUdpPacket(Endpoint source, Endpoint destination, ByteView payload)
    -> Bytes {
  Bytes buf(kIpv4HeaderBytes + kUdpHeaderBytes + payload.size());
  auto* const udp = buf.data() + kIpv4HeaderBytes;
  StoreBigEndian16(udp, source.port);
  StoreBigEndian16(udp + 2, destination.port);
  StoreBigEndian16(
      udp + 4, static_cast<std::uint16_t>(kUdpHeaderBytes + payload.size()));
  std::copy(payload.begin(), payload.end(), udp + kUdpHeaderBytes);
  WriteIpv4Header(buf, 17, source.address, destination.address);
  const std::uint16_t checksum = ComputeSegmentChecksum(buf);
  // RFC 768: a zero field means "no checksum", so a computed checksum of zero
  // is sent as all ones.
  StoreBigEndian16(udp + 6, checksum == 0 ? 0xFFFF : checksum);
  return buf;
}

auto BuildFlowReset(const PacketView& packet) -> Bytes {
  switch (packet.kind) {
    case PacketKind::kReset:
    case PacketKind::kIcmpError:
    case PacketKind::kFragment:
    case PacketKind::kMalformed:
      return {};
    case PacketKind::kData:
    case PacketKind::kOpening:
    case PacketKind::kFinish:
      break;
  }
  return packet.transport == Transport::kTcp
             ? BuildTcpReset(packet)
             : BuildIcmpError(packet, kCodePortUnreachable);
}

auto BuildFragmentationNeededError(const PacketView& packet) -> Bytes {
  const bool is_first_fragment =
      packet.kind == PacketKind::kFragment &&
      (LoadBigEndian16(packet.bytes.data() + 6) & kFragmentOffsetMask) == 0;
  return is_first_fragment ? BuildIcmpError(packet, kCodeFragmentationNeeded)
                           : Bytes{};
}

}  // namespace hawthornbank
