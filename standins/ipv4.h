#ifndef HAWTHORNBANK_STANDINS_IPV4_H_
#define HAWTHORNBANK_STANDINS_IPV4_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Builds and reads whole IPv4 packets for the stand-in fabric. It shares no
/// code with the system under test, so that a fault there can't hide here.
namespace hawthornbank::standins {

inline constexpr std::size_t kIpv4HeaderBytes = 20;
inline constexpr std::size_t kUdpHeaderBytes = 8;
inline constexpr std::size_t kIcmpHeaderBytes = 8;
inline constexpr std::uint8_t kIcmpProtocol = 1;
inline constexpr std::uint8_t kUdpProtocol = 17;
inline constexpr std::uint8_t kIcmpUnreachable = 3;
inline constexpr std::size_t kMaxIpv4Bytes = 65535;

/// What a packet from a target's side turned out to be.
enum class PacketKind : std::uint8_t {
  kUdp,
  kUnreachable,  ///< ICMP destination unreachable about a UDP packet.
  kOther,        ///< Another protocol, a fragment, another ICMP type.
  kMalformed,
};

/// A parsed packet on its way to a caller.
struct ParsedPacket {
  PacketKind kind = PacketKind::kMalformed;
  Endpoint service;  ///< The service's public address.
  Endpoint caller;
  std::span<const std::uint8_t> payload;  ///< Of UDP; else empty.
};

/// Adds up 16-bit words in ones' complement, as IPv4 and UDP do.
/// @param bytes What to add; an odd last byte is padded with zero.
/// @param sum Partial sum from earlier bytes.
/// @return The partial sum, not yet folded.
inline auto AddChecksum(std::span<const std::uint8_t> bytes, std::uint32_t sum)
    -> std::uint32_t {
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    sum += n % 2 == 0 ? std::uint32_t{bytes[n]} << 8U : bytes[n];
  }
  return sum;
}

/// Folds a partial sum into a checksum.
/// @param sum Result of AddChecksum.
/// @return The checksum in host byte order; 0 over bytes that include theirs.
inline auto FoldChecksum(std::uint32_t sum) -> std::uint16_t {
  while ((sum >> 16U) != 0) {
    sum = (sum & 0xFFFFU) + (sum >> 16U);
  }
  return static_cast<std::uint16_t>(~sum);
}

namespace detail {

inline auto Put16(std::span<std::uint8_t> bytes,
                  std::size_t at,
                  std::uint16_t value) -> void {
  bytes[at] = static_cast<std::uint8_t>(value >> 8U);
  bytes[at + 1] = static_cast<std::uint8_t>(value);
}

inline auto Put32(std::span<std::uint8_t> bytes,
                  std::size_t at,
                  std::uint32_t value) -> void {
  Put16(bytes, at, static_cast<std::uint16_t>(value >> 16U));
  Put16(bytes, at + 2, static_cast<std::uint16_t>(value));
}

inline auto Get16(std::span<const std::uint8_t> bytes, std::size_t at)
    -> std::uint16_t {
  return static_cast<std::uint16_t>(bytes[at] << 8U | bytes[at + 1]);
}

inline auto Get32(std::span<const std::uint8_t> bytes, std::size_t at)
    -> std::uint32_t {
  return std::uint32_t{Get16(bytes, at)} << 16U | Get16(bytes, at + 2);
}

/// @return Sum of the pseudo header that the UDP checksum covers.
inline auto PseudoHeaderSum(std::span<const std::uint8_t> packet,
                            std::size_t udp_bytes) -> std::uint32_t {
  return AddChecksum(packet.subspan(12, 8),
                     kUdpProtocol + static_cast<std::uint32_t>(udp_bytes));
}

/// @return Whether a header starts here, with its length in header_bytes.
inline auto ReadHeader(std::span<const std::uint8_t> packet,
                       std::size_t& header_bytes) -> bool {
  if (packet.size() < kIpv4HeaderBytes || packet[0] >> 4U != 4) {
    return false;
  }
  header_bytes = std::size_t{packet[0] & 0x0FU} * 4;
  return header_bytes >= kIpv4HeaderBytes && header_bytes <= packet.size();
}

/// Reads the packet that an ICMP error quotes: it went from the caller.
inline auto ParseUnreachable(std::span<const std::uint8_t> icmp)
    -> ParsedPacket {
  if (icmp.size() < kIcmpHeaderBytes || icmp[0] != kIcmpUnreachable) {
    return {.kind = PacketKind::kOther};
  }
  const auto quoted = icmp.subspan(kIcmpHeaderBytes);
  std::size_t header_bytes = 0;
  if (!ReadHeader(quoted, header_bytes) || quoted.size() < header_bytes + 4) {
    return {.kind = PacketKind::kMalformed};
  }
  return {.kind = PacketKind::kUnreachable,
          .service = {.address = Get32(quoted, 16),
                      .port = Get16(quoted, header_bytes + 2)},
          .caller = {.address = Get32(quoted, 12),
                     .port = Get16(quoted, header_bytes)}};
}

inline auto ParseUdp(std::span<const std::uint8_t> packet,
                     std::size_t header_bytes) -> ParsedPacket {
  const auto udp = packet.subspan(header_bytes);
  if (udp.size() < kUdpHeaderBytes || Get16(udp, 4) != udp.size()) {
    return {.kind = PacketKind::kMalformed};
  }
  const bool has_checksum = Get16(udp, 6) != 0;
  const auto sum = AddChecksum(udp, PseudoHeaderSum(packet, udp.size()));
  if (has_checksum && FoldChecksum(sum) != 0) {
    return {.kind = PacketKind::kMalformed};
  }
  return {
      .kind = PacketKind::kUdp,
      .service = {.address = Get32(packet, 12), .port = Get16(udp, 0)},
      .caller = {.address = Get32(packet, 16), .port = Get16(udp, 2)},
      .payload = udp.subspan(kUdpHeaderBytes),
  };
}

}  // namespace detail

/// Wraps a datagram as the network would have carried it.
/// @param source Sender's address and port.
/// @param destination Receiver's address and port.
/// @param payload The datagram.
/// @return A whole IPv4 packet with valid checksums.
inline auto BuildUdpPacket(Endpoint source,
                           Endpoint destination,
                           std::span<const std::uint8_t> payload)
    -> std::vector<std::uint8_t> {
  constexpr std::uint8_t kVersionAndLength = 0x45;
  constexpr std::uint16_t kDontFragment = 0x4000;
  constexpr std::uint8_t kTimeToLive = 64;
  const std::size_t udp_bytes = kUdpHeaderBytes + payload.size();
  std::vector<std::uint8_t> packet(kIpv4HeaderBytes + udp_bytes);
  std::copy(payload.begin(), payload.end(),
            packet.begin() + kIpv4HeaderBytes + kUdpHeaderBytes);
  packet[0] = kVersionAndLength;
  detail::Put16(packet, 2, static_cast<std::uint16_t>(packet.size()));
  detail::Put16(packet, 6, kDontFragment);
  packet[8] = kTimeToLive;
  packet[9] = kUdpProtocol;
  detail::Put32(packet, 12, source.address);
  detail::Put32(packet, 16, destination.address);
  const auto header = std::span(packet).first(kIpv4HeaderBytes);
  detail::Put16(packet, 10, FoldChecksum(AddChecksum(header, 0)));
  const auto udp = std::span(packet).subspan(kIpv4HeaderBytes);
  detail::Put16(udp, 0, source.port);
  detail::Put16(udp, 2, destination.port);
  detail::Put16(udp, 4, static_cast<std::uint16_t>(udp_bytes));
  const auto sum = FoldChecksum(
      AddChecksum(udp, detail::PseudoHeaderSum(packet, udp_bytes)));
  // UDP sends a computed zero as all ones; zero means "no checksum".
  detail::Put16(udp, 6, sum == 0 ? std::uint16_t{0xFFFF} : sum);
  return packet;
}

/// Reads a packet from a target's side.
/// @param packet The bytes as received.
/// @return What it is; its spans point into the given bytes.
inline auto ParsePacket(std::span<const std::uint8_t> packet) -> ParsedPacket {
  constexpr std::uint16_t kFragmentMask = 0x3FFF;
  std::size_t header_bytes = 0;
  if (!detail::ReadHeader(packet, header_bytes) ||
      detail::Get16(packet, 2) != packet.size() ||
      FoldChecksum(AddChecksum(packet.first(header_bytes), 0)) != 0) {
    return {.kind = PacketKind::kMalformed};
  }
  if ((detail::Get16(packet, 6) & kFragmentMask) != 0) {
    return {.kind = PacketKind::kOther};
  }
  if (packet[9] == kUdpProtocol) {
    return detail::ParseUdp(packet, header_bytes);
  }
  if (packet[9] == kIcmpProtocol) {
    return detail::ParseUnreachable(packet.subspan(header_bytes));
  }
  return {.kind = PacketKind::kOther};
}

}  // namespace hawthornbank::standins

#endif  // HAWTHORNBANK_STANDINS_IPV4_H_
