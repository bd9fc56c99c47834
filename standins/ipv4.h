#ifndef HAWTHORNBANK_STANDINS_IPV4_H_
#define HAWTHORNBANK_STANDINS_IPV4_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Builds and parses whole IPv4 packets for the fabric stand-in. This file
/// shares no packet code with the load balancer, so that a fault in the load
/// balancer's packet code can't recur here and stay unnoticed.
namespace hawthornbank::standins {

inline constexpr std::size_t kIpv4HeaderBytes = 20;
inline constexpr std::size_t kUdpHeaderBytes = 8;
inline constexpr std::size_t kIcmpHeaderBytes = 8;
inline constexpr std::uint8_t kIcmpProtocol = 1;
inline constexpr std::uint8_t kUdpProtocol = 17;
inline constexpr std::uint8_t kIcmpUnreachableType = 3;
inline constexpr std::size_t kMaxIpv4Bytes = 65535;

/// Kind of a packet that the fabric receives from a balancer or agent.
enum class PacketKind : std::uint8_t {
  kUdp,
  kUnreachable,  ///< ICMP destination unreachable about a UDP packet.
  kOther,        ///< Other protocol, fragment or other ICMP type.
  kMalformed,
};

/// A parsed packet addressed to a caller, or an ICMP error about one of the
/// caller's packets.
struct ParsedPacket {
  PacketKind kind = PacketKind::kMalformed;
  Endpoint service;  ///< The service's public address.
  Endpoint caller;
  std::span<const std::uint8_t> payload;  ///< Empty unless `kind` is kUdp.
};

/// Adds 16-bit words to the ones' complement sum of an IPv4 or UDP checksum.
/// @param bytes Words to add, in network byte order. If the number of bytes is
/// odd, a zero byte completes the last word.
/// @param sum Partial sum of earlier words; 0 for none.
/// @return The partial sum, not yet folded.
inline auto AddToChecksum(std::span<const std::uint8_t> bytes,
                          std::uint32_t sum) -> std::uint32_t {
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    sum += n % 2 == 0 ? std::uint32_t{bytes[n]} << 8U : bytes[n];
  }
  return sum;
}

/// Folds a partial sum into a checksum.
/// @param sum Result of AddToChecksum.
/// @return The checksum in host byte order, or 0 if the summed bytes include a
/// valid checksum.
inline auto FoldChecksum(std::uint32_t sum) -> std::uint16_t {
  while ((sum >> 16U) != 0) {
    sum = (sum & 0xFFFFU) + (sum >> 16U);
  }
  return static_cast<std::uint16_t>(~sum);
}

namespace detail {

inline auto StoreBigEndian16(std::span<std::uint8_t> bytes,
                             std::size_t at,
                             std::uint16_t value) -> void {
  bytes[at] = static_cast<std::uint8_t>(value >> 8U);
  bytes[at + 1] = static_cast<std::uint8_t>(value);
}

inline auto StoreBigEndian32(std::span<std::uint8_t> bytes,
                             std::size_t at,
                             std::uint32_t value) -> void {
  StoreBigEndian16(bytes, at, static_cast<std::uint16_t>(value >> 16U));
  StoreBigEndian16(bytes, at + 2, static_cast<std::uint16_t>(value));
}

inline auto LoadBigEndian16(std::span<const std::uint8_t> bytes, std::size_t at)
    -> std::uint16_t {
  return static_cast<std::uint16_t>(bytes[at] << 8U | bytes[at + 1]);
}

inline auto LoadBigEndian32(std::span<const std::uint8_t> bytes, std::size_t at)
    -> std::uint32_t {
  return std::uint32_t{LoadBigEndian16(bytes, at)} << 16U |
         LoadBigEndian16(bytes, at + 2);
}

/// @return Partial sum of the pseudo header that the UDP checksum covers.
inline auto SumPseudoHeader(std::span<const std::uint8_t> packet,
                            std::size_t udp_bytes) -> std::uint32_t {
  return AddToChecksum(packet.subspan(12, 8),
                       kUdpProtocol + static_cast<std::uint32_t>(udp_bytes));
}

/// Reads the length of an IPv4 header.
/// @return Whether the packet starts with a complete IPv4 header, whose length
/// is then in `header_bytes`.
inline auto ReadHeaderLength(std::span<const std::uint8_t> packet,
                             std::size_t& header_bytes) -> bool {
  if (packet.size() < kIpv4HeaderBytes || packet[0] >> 4U != 4) {
    return false;
  }
  header_bytes = std::size_t{packet[0] & 0x0FU} * 4;
  return header_bytes >= kIpv4HeaderBytes && header_bytes <= packet.size();
}

/// Parses an ICMP message. The kind is kOther unless the message is a
/// destination unreachable error. The caller sent the quoted packet, so the
/// source in the quoted header is the caller.
inline auto ParseIcmpMessage(std::span<const std::uint8_t> icmp)
    -> ParsedPacket {
  if (icmp.size() < kIcmpHeaderBytes || icmp[0] != kIcmpUnreachableType) {
    return {.kind = PacketKind::kOther};
  }
  const auto quoted = icmp.subspan(kIcmpHeaderBytes);
  std::size_t header_bytes = 0;
  if (!ReadHeaderLength(quoted, header_bytes) ||
      quoted.size() < header_bytes + 4) {
    return {.kind = PacketKind::kMalformed};
  }
  return {.kind = PacketKind::kUnreachable,
          .service = {.address = LoadBigEndian32(quoted, 16),
                      .port = LoadBigEndian16(quoted, header_bytes + 2)},
          .caller = {.address = LoadBigEndian32(quoted, 12),
                     .port = LoadBigEndian16(quoted, header_bytes)}};
}

inline auto ParseUdpPacket(std::span<const std::uint8_t> packet,
                           std::size_t header_bytes) -> ParsedPacket {
  const auto udp = packet.subspan(header_bytes);
  if (udp.size() < kUdpHeaderBytes || LoadBigEndian16(udp, 4) != udp.size()) {
    return {.kind = PacketKind::kMalformed};
  }
  const bool has_checksum = LoadBigEndian16(udp, 6) != 0;
  const auto sum = AddToChecksum(udp, SumPseudoHeader(packet, udp.size()));
  if (has_checksum && FoldChecksum(sum) != 0) {
    return {.kind = PacketKind::kMalformed};
  }
  return {
      .kind = PacketKind::kUdp,
      .service = {.address = LoadBigEndian32(packet, 12),
                  .port = LoadBigEndian16(udp, 0)},
      .caller = {.address = LoadBigEndian32(packet, 16),
                 .port = LoadBigEndian16(udp, 2)},
      .payload = udp.subspan(kUdpHeaderBytes),
  };
}

}  // namespace detail

/// Builds the IPv4 packet that carries a UDP datagram.
/// @param source Sender's address and port.
/// @param destination Receiver's address and port.
/// @param payload Payload of the datagram.
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
  detail::StoreBigEndian16(packet, 2,
                           static_cast<std::uint16_t>(packet.size()));
  detail::StoreBigEndian16(packet, 6, kDontFragment);
  packet[8] = kTimeToLive;
  packet[9] = kUdpProtocol;
  detail::StoreBigEndian32(packet, 12, source.address);
  detail::StoreBigEndian32(packet, 16, destination.address);
  const auto header = std::span(packet).first(kIpv4HeaderBytes);
  detail::StoreBigEndian16(packet, 10, FoldChecksum(AddToChecksum(header, 0)));
  const auto udp = std::span(packet).subspan(kIpv4HeaderBytes);
  detail::StoreBigEndian16(udp, 0, source.port);
  detail::StoreBigEndian16(udp, 2, destination.port);
  detail::StoreBigEndian16(udp, 4, static_cast<std::uint16_t>(udp_bytes));
  const auto sum = FoldChecksum(
      AddToChecksum(udp, detail::SumPseudoHeader(packet, udp_bytes)));
  // UDP transmits a computed checksum of zero as all ones, because zero means
  // "no checksum" (RFC 768).
  detail::StoreBigEndian16(udp, 6, sum == 0 ? std::uint16_t{0xFFFF} : sum);
  return packet;
}

/// Parses a packet that the fabric receives from a balancer or agent.
/// @param packet The bytes as received.
/// @return The parsed packet, whose payload points into `packet`.
inline auto ParsePacket(std::span<const std::uint8_t> packet) -> ParsedPacket {
  constexpr std::uint16_t kFragmentMask = 0x3FFF;
  std::size_t header_bytes = 0;
  if (!detail::ReadHeaderLength(packet, header_bytes) ||
      detail::LoadBigEndian16(packet, 2) != packet.size() ||
      FoldChecksum(AddToChecksum(packet.first(header_bytes), 0)) != 0) {
    return {.kind = PacketKind::kMalformed};
  }
  if ((detail::LoadBigEndian16(packet, 6) & kFragmentMask) != 0) {
    return {.kind = PacketKind::kOther};
  }
  if (packet[9] == kUdpProtocol) {
    return detail::ParseUdpPacket(packet, header_bytes);
  }
  if (packet[9] == kIcmpProtocol) {
    return detail::ParseIcmpMessage(packet.subspan(header_bytes));
  }
  return {.kind = PacketKind::kOther};
}

}  // namespace hawthornbank::standins

#endif  // HAWTHORNBANK_STANDINS_IPV4_H_
