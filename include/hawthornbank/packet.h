#ifndef HAWTHORNBANK_PACKET_H_
#define HAWTHORNBANK_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "hawthornbank/flow_key.h"
#include "hawthornbank/types.h"

/// @file
/// Parser of IPv4 packets, and builders of UDP packets, resets and ICMP errors.
namespace hawthornbank {

using Bytes = std::vector<std::uint8_t>;
using ByteView = std::span<const std::uint8_t>;

/// Kind of a packet, by the packet's effect on the flow.
enum class PacketKind : std::uint8_t {
  kData,       ///< UDP datagram, or TCP segment of no kind below.
  kOpening,    ///< TCP SYN without ACK.
  kFinish,     ///< TCP FIN.
  kReset,      ///< TCP RST.
  kIcmpError,  ///< ICMP error about a packet that a target sent.
  kFragment,   ///< IPv4 fragment; most fragments carry no ports.
  kMalformed,  ///< Not a complete TCP, UDP or ICMP error packet.
};

/// Parsed header fields of a packet. The calling code owns the packet's bytes.
struct PacketView {
  PacketKind kind = PacketKind::kMalformed;
  Transport transport = Transport::kUdp;
  Endpoint source;       ///< Sender; for an ICMP error, the flow's caller.
  Endpoint destination;  ///< Receiver; for an ICMP error, the service.
  ByteView bytes;        ///< The whole packet.
  ByteView payload;      ///< Bytes after the UDP or TCP header.
};

/// Minimum size of an IPv4 header, in bytes.
inline constexpr std::size_t kIpv4HeaderBytes = 20;
/// Size of a UDP header and of an ICMP header, in bytes.
inline constexpr std::size_t kUdpHeaderBytes = 8;
/// Minimum size of a TCP header, in bytes.
inline constexpr std::size_t kTcpHeaderBytes = 20;

/// Parses an IPv4 packet.
/// @param bytes The packet; must outlive the view.
/// @return The parsed fields; `kind` is kMalformed when parsing fails.
auto ParsePacket(ByteView bytes) -> PacketView;

/// @param service Service that the packet is addressed to.
/// @param packet A parsed packet from a caller.
/// @return The flow that the packet belongs to.
constexpr auto MakeFlowKey(ServiceId service, const PacketView& packet)
    -> FlowKey {
  return FlowKey{.service = service,
                 .caller = packet.source,
                 .address = packet.destination,
                 .transport = packet.transport};
}

/// @param packet A parsed packet.
/// @return Whether the packet may be the first packet of a flow: a TCP SYN
/// without ACK, or any UDP packet.
constexpr auto PacketMayOpenFlow(const PacketView& packet) -> bool {
  return packet.kind == PacketKind::kOpening ||
         (packet.transport == Transport::kUdp &&
          packet.kind == PacketKind::kData);
}

/// Builds an IPv4 packet that carries one UDP datagram.
/// @param source Endpoint of the sender.
/// @param destination Endpoint of the receiver.
/// @param payload The datagram's payload.
/// @return The packet, with valid checksums.
auto BuildUdpPacket(Endpoint source, Endpoint destination, ByteView payload)
    -> Bytes;

/// Builds the packet that tells a caller that the flow has ended: TCP RST, or
/// ICMP port unreachable for UDP.
/// @param packet A packet of the flow, from the caller to the service.
/// @return The packet to send to the caller; empty for a TCP RST, an ICMP
/// error, a fragment or a malformed packet, which never get an error as answer.
auto BuildFlowReset(const PacketView& packet) -> Bytes;

/// Builds the ICMP "fragmentation needed" error
/// that answers the first fragment of a packet.
/// @param packet A parsed packet.
/// @return The packet to send to the caller;
/// empty if `packet` is not a first fragment.
auto BuildFragmentationNeededError(const PacketView& packet) -> Bytes;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PACKET_H_
