#ifndef HAWTHORNBANK_SOAK_PACKETS_H_
#define HAWTHORNBANK_SOAK_PACKETS_H_

#include <cstdint>

#include "hawthornbank/flow_packet.h"
#include "hawthornbank/packet.h"

/// @file
/// Encodes and inspects packets of callers and targets in the platform's
/// layout.
namespace hawthornbank::soak {

/// Data after the header of a caller's or target's packet.
struct Payload {
  std::uint64_t request = 0;  ///< Identifies the request; 0: no payload at all.
  /// Number of 100-byte filler blocks after the request number.
  std::uint8_t filler_blocks = 0;
};

/// @param packet Header of the packet.
/// @param payload Data after the header.
/// @return The encoded datagram.
auto EncodeFlowPacket(const FlowPacket& packet, const Payload& payload)
    -> Bytes;

/// @param bytes A datagram that DecodeFlowPacket accepts.
/// @return Request number in the datagram, or 0 if the payload is too short for
/// a request number.
auto ReadRequestNumber(ByteView bytes) -> std::uint64_t;

/// Copies a packet and marks the copy as returned by a target that doesn't hold
/// the packet's flow.
/// @param bytes The datagram to copy.
/// @return The marked copy.
auto MarkPacketAsReturned(ByteView bytes) -> Bytes;

/// @param bytes A datagram that DecodeFlowPacket accepts.
/// @return Whether the datagram's bytes are as a caller or target wrote them,
/// apart from the fields that the load balancer may change.
auto HasValidChecksum(ByteView bytes) -> bool;

/// @param bytes A datagram that DecodeFlowPacket accepts.
/// @return Whether the datagram is a reset from the load balancer, not a
/// target: no flags but the reset's, no data, no checksum.
auto IsResetByLoadBalancer(ByteView bytes) -> bool;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_PACKETS_H_
