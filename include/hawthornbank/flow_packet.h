#ifndef HAWTHORNBANK_FLOW_PACKET_H_
#define HAWTHORNBANK_FLOW_PACKET_H_

#include <cstdint>

#include "hawthornbank/flow_key.h"
#include "hawthornbank/types.h"

/// @file
/// Header fields of a flow's packet, decoded once by the binding of a platform.
namespace hawthornbank {

/// Decoded fields of a packet. The binding of the platform keeps the bytes.
struct FlowPacket {
  Endpoint source;
  Endpoint destination;
  bool is_opening = false;  ///< Caller opens, or target accepts, a flow.
  bool has_acknowledgement = false;  ///< `acknowledgement` is valid.
  bool is_finish = false;            ///< The sender will send no more data.
  bool is_reset = false;             ///< The sender aborts the flow.
  bool is_returned = false;          ///< A target returned the caller's packet.
  std::uint32_t sequence = 0;
  /// Acknowledgement number. In an opening packet: the number of earlier copies
  /// that the caller has sent.
  std::uint32_t acknowledgement = 0;
  /// Id that the agent sets in a delivered packet. The target copies the id
  /// into a packet that it returns.
  std::uint32_t return_id = 0;
  std::uint16_t data_bytes = 0;  ///< Size of the data that the packet carries.
};

/// @param packet A packet from a caller.
/// @return Key of the packet's flow.
constexpr auto ExtractCallerFlowKey(const FlowPacket& packet) -> FlowKey {
  return FlowKey{.caller = packet.source, .address = packet.destination};
}

/// @param packet A packet from a target.
/// @return Key of the packet's flow.
constexpr auto ExtractTargetFlowKey(const FlowPacket& packet) -> FlowKey {
  return FlowKey{.caller = packet.destination, .address = packet.source};
}

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_FLOW_PACKET_H_
