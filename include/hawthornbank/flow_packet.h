#ifndef HAWTHORNBANK_FLOW_PACKET_H_
#define HAWTHORNBANK_FLOW_PACKET_H_

#include <cstdint>

#include "hawthornbank/flow_key.h"
#include "hawthornbank/types.h"

/// @file
/// The head of a flow's packet, decoded once by the binding of a platform.
namespace hawthornbank {

/// What the decisions read of a packet. The bytes stay with the binding.
struct FlowPacket {
  Endpoint source;
  Endpoint destination;
  bool opens = false;         ///< Asks for a new flow, or accepts one.
  bool acknowledges = false;  ///< Its acknowledgement number counts.
  bool ends = false;          ///< The sender has nothing more to send.
  bool resets = false;        ///< The sender gives the flow up.
  bool returned = false;      ///< A target didn't take it.
  std::uint32_t sequence = 0;
  std::uint32_t acknowledgement = 0;  ///< In an opening: copies sent before.
  std::uint32_t cursor = 0;           ///< Set by the system, kept by a target.
  std::uint16_t length = 0;           ///< Bytes of data.
};

/// @param packet A packet of a caller.
/// @return Its flow.
constexpr auto FlowFromCaller(const FlowPacket& packet) -> FlowKey {
  return FlowKey{.caller = packet.source, .address = packet.destination};
}

/// @param packet A packet of a target.
/// @return Its flow.
constexpr auto FlowFromTarget(const FlowPacket& packet) -> FlowKey {
  return FlowKey{.caller = packet.destination, .address = packet.source};
}

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_FLOW_PACKET_H_
