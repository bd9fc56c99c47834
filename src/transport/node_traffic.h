#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_TRAFFIC_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_TRAFFIC_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// Counts the datagrams that a node exchanges with other balancers and agents,
/// by kind, direction and whether they cross availability zones.
namespace hawthornbank::transport {

/// Kind of a datagram between balancers and agents. All kinds but the two kinds
/// of packets are control traffic.
enum class DatagramKind : std::uint8_t {
  kAnnouncement,
  kHeartbeat,
  kRoster,  ///< Records, checksums of records and requests for a record.
  kFlowQuery,
  kFlowReply,
  kRelayedPacket,   ///< A caller's packet on its way to a target.
  kReturnedPacket,  ///< A caller's packet that an agent sent back.
  kCount,
};

/// Number of datagram kinds.
inline constexpr auto kDatagramKindCount =
    static_cast<std::size_t>(DatagramKind::kCount);

/// @param kind A datagram kind.
/// @return The kind's name in metrics and logs.
auto ToString(DatagramKind kind) -> std::string_view;

/// Direction of a datagram as seen from this node.
enum class Direction : std::uint8_t { kReceived, kSent };

/// Whether both ends of a datagram are in the same availability zone. A host
/// whose record this node doesn't have counts as one of another zone.
enum class ZoneScope : std::uint8_t { kSameZone, kOtherZone };

/// Number of datagrams and their bytes, with IPv4 and UDP headers.
struct DatagramCount {
  std::uint64_t datagrams = 0;
  std::uint64_t bytes = 0;
};

/// Traffic counters of a node.
struct NodeTraffic {
  std::array<std::array<std::array<DatagramCount, 2>, 2>, kDatagramKindCount>
      counts{};  ///< By kind, direction and zone scope.
};

/// Counts a datagram.
/// @param traffic Counters.
/// @param kind Kind of the datagram.
/// @param direction Whether this node received or sent the datagram.
/// @param scope Whether the other end is in this node's zone.
/// @param payload_bytes Size of the datagram's payload.
auto CountDatagram(NodeTraffic& traffic,
                   DatagramKind kind,
                   Direction direction,
                   ZoneScope scope,
                   std::size_t payload_bytes) -> void;

/// Adds up the control traffic of all kinds and scopes.
/// @param traffic Counters.
/// @param direction Direction to add up.
/// @return Number of control datagrams and their bytes.
auto SumControlTraffic(const NodeTraffic& traffic, Direction direction)
    -> DatagramCount;

/// Formats the counters as metrics.
/// @param traffic Counters.
/// @return Two lines for each counter that isn't zero, in the exposition
///   format.
auto FormatTrafficMetrics(const NodeTraffic& traffic) -> std::string;

/// Formats the bytes since the start of the process for a log line.
/// @param traffic Counters.
/// @return For each kind "KIND=IN/OUT", in bytes, and for traffic with other
///   zones "KIND_other=IN/OUT".
auto FormatTrafficSummary(const NodeTraffic& traffic) -> std::string;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_TRAFFIC_H_
