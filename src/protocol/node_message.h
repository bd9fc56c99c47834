#ifndef HAWTHORNBANK_SRC_PROTOCOL_NODE_MESSAGE_H_
#define HAWTHORNBANK_SRC_PROTOCOL_NODE_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/packet.h"
#include "hawthornbank/relay.h"
#include "hawthornbank/roster_sync.h"
#include "hawthornbank/wire.h"
#include "hawthornbank/zone_service.h"

/// @file
/// Messages between the processes of a fleet, each encoded by cereal into one
/// datagram.
namespace hawthornbank {

/// What a process knows of the operator's orders: the version of its routes and
/// the zones out of service.
struct RoutesReport {
  std::uint64_t version = 0;
  /// Time since the process last knew that `version` was the newest version and
  /// that `zones` were out of service.
  std::uint32_t age_ms = 0;
  ZonesOutOfService zones;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    wire::SerializeVarint(archive, version);
    wire::SerializeVarint(archive, age_ms);
    archive(zones);
  }
};

/// Announcement of a process: the sender's record, load and routes version.
/// Sent when the record changes, to hosts that don't know the sender, and in
/// reply to a RecordRequest.
struct HostAnnouncement {
  HostRecord record;
  TargetLoad load;
  /// Digest of all host records that the sender knows.
  std::uint64_t roster_digest = 0;
  RoutesReport routes;
  /// Whether the sender knows no balancer and needs the whole roster.
  bool wants_roster = false;
  /// Time since the start of the sender, or since when it knows every agent if
  /// it is a balancer (Fleet::knows_agents_since). Follows the other fields, as
  /// earlier builds send announcements without it.
  std::optional<std::uint32_t> uptime_ms;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(record, load, roster_digest);
    wire::SerializeBool(archive, wants_roster);
    archive(routes);
  }
};

/// Periodic sign of life of a process whose record hasn't changed.
struct HostHeartbeat {
  std::uint64_t incarnation = 0;  ///< Of the sender's record.
  std::uint32_t revision = 0;     ///< Of the sender's record.
  TargetLoad load;
  std::uint64_t roster_digest = 0;  ///< As in HostAnnouncement.
  RoutesReport routes;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(load, roster_digest, routes);
    wire::SerializeVarint(archive, incarnation);
    wire::SerializeVarint(archive, revision);
  }
};

/// Checksums of a balancer's records. The receiver replies with the records of
/// the groups that differ from its own.
struct RosterComparison {
  std::vector<std::uint32_t> buckets;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    wire::SerializeList(archive, buckets);
  }
};

/// Asks the receiver for its announcement, because the sender doesn't have the
/// record of the receiver's last heartbeat.
struct RecordRequest {
  template <class Archive>
  auto serialize(Archive&) -> void {}
};

/// Records of hosts that the receiver may not know.
struct RosterPart {
  std::vector<ForwardedHostRecord> records;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    wire::SerializeList(archive, records);
  }
};

/// Any message between the processes of a fleet.
using NodeMessage = std::variant<HostAnnouncement,
                                 RosterPart,
                                 FlowReply,
                                 FlowQuery,
                                 HostHeartbeat,
                                 RosterComparison,
                                 RecordRequest>;

/// Maximum number of records in a RosterPart, so that the part fits a datagram
/// of 1,400 bytes.
inline constexpr std::size_t kMaxRecordsPerRosterPart = 16;

/// Encodes a message.
/// @param message The message.
/// @return The datagram.
auto EncodeNodeMessage(const NodeMessage& message) -> Bytes;

/// Decodes a message.
/// @param datagram A datagram that another process sent.
/// @return The message, or nothing when the datagram can't be decoded.
auto DecodeNodeMessage(ByteView datagram) -> std::optional<NodeMessage>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_NODE_MESSAGE_H_
