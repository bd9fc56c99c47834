#ifndef HAWTHORNBANK_SOAK_PACKETS_H_
#define HAWTHORNBANK_SOAK_PACKETS_H_

#include <cstdint>

#include "hawthornbank/flow_packet.h"
#include "hawthornbank/packet.h"

/// @file
/// Encodes packets of callers and targets in the platform's layout.
namespace hawthornbank::soak {

/// Data after the header of a caller's or target's packet.
struct Payload {
  std::uint64_t request = 0;       ///< Number of the request; 0: no data.
  std::uint8_t filler_blocks = 0;  ///< Number of further 100-byte blocks.
};

/// @param packet Header of the packet.
/// @param payload Data of the packet.
/// @return The datagram.
auto EncodeFlowPacket(const FlowPacket& packet, const Payload& payload)
    -> Bytes;

/// @param bytes A datagram that DecodeFlowPacket accepts.
/// @return Number of the request in the datagram; 0: no data.
auto ReadRequestNumber(ByteView bytes) -> std::uint64_t;

/// Marks a packet as returned by a target that doesn't hold its flow.
/// @param bytes The datagram.
/// @return The marked datagram.
auto MarkPacketAsReturned(ByteView bytes) -> Bytes;

/// @param bytes A datagram that DecodeFlowPacket accepts.
/// @return Whether the datagram is a reset that the load balancer sent, not a
/// target.
auto IsResetByLoadBalancer(ByteView bytes) -> bool;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_PACKETS_H_
