#ifndef HAWTHORNBANK_SOAK_CALLER_PACKETS_H_
#define HAWTHORNBANK_SOAK_CALLER_PACKETS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

#include "hawthornbank/types.h"

/// @file
/// Record of the packets that callers have sent and received.
namespace hawthornbank::soak {

/// Maximum number of packets that are kept: some minutes of a soak.
inline constexpr std::size_t kMaxCallerPackets = 200'000;

/// A packet of a caller's flow.
struct CallerPacket {
  std::int64_t time_ms = 0;  ///< Unix time.
  Endpoint caller;
  Endpoint route;                      ///< Called address.
  std::uint32_t opening_sequence = 0;  ///< Of the flow's opening packet.
  std::string_view what;      ///< What was sent or received; a literal.
  std::uint64_t request = 0;  ///< The request that it carries; 0: none.
  int copy = 0;               ///< Number of earlier copies.
  /// Balancer that it was sent to; counts only for a sent packet.
  std::size_t balancer = 0;
  bool is_sent = false;
  bool is_lost = false;  ///< Lost on the way to the balancer.
};

/// The latest packets.
struct CallerPackets {
  std::deque<CallerPacket> packets;
};

/// Records a packet and drops the oldest one beyond kMaxCallerPackets.
/// @param record The packets.
/// @param packet The packet.
auto RecordCallerPacket(CallerPackets& record, const CallerPacket& packet)
    -> void;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_CALLER_PACKETS_H_
