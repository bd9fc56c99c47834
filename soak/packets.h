#ifndef HAWTHORNBANK_SOAK_PACKETS_H_
#define HAWTHORNBANK_SOAK_PACKETS_H_

#include <cstdint>

#include "hawthornbank/flow_packet.h"
#include "hawthornbank/packet.h"

/// @file
/// Packets as callers and targets write them, by the platform's layout.
namespace hawthornbank::soak {

/// What a caller's or target's packet says beside its head.
struct Payload {
  std::uint64_t request = 0;  ///< Number of a request; 0: no data.
  std::uint8_t filler = 0;    ///< Further bytes, in hundreds.
};

/// @param packet Its head.
/// @param payload Its data.
/// @return The datagram.
auto MakePacket(const FlowPacket& packet, const Payload& payload) -> Bytes;

/// @param bytes A datagram that DecodeFlowPacket accepts.
/// @return Number of the request in it, or 0.
auto RequestOf(ByteView bytes) -> std::uint64_t;

/// Marks a packet as returned by its target.
/// @param bytes The datagram.
/// @return The marked one.
auto MarkReturned(ByteView bytes) -> Bytes;

/// @param bytes A datagram that DecodeFlowPacket accepts.
/// @return Whether it is a reset that no target wrote.
auto IsSystemReset(ByteView bytes) -> bool;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_PACKETS_H_
