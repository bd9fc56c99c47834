#ifndef HAWTHORNBANK_SRC_PROTOCOL_NODE_MESSAGE_H_
#define HAWTHORNBANK_SRC_PROTOCOL_NODE_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/packet.h"
#include "hawthornbank/relay.h"
#include "hawthornbank/wire.h"

/// @file
/// Messages between the processes of a fleet, each encoded by cereal into one
/// datagram.
namespace hawthornbank {

/// Announcement of a process: the sender's record, load and routes version.
struct HostAnnouncement {
  HostRecord record;
  TargetLoad load;
  /// Digest of all host records that the sender knows.
  std::uint64_t roster_digest = 0;
  /// Version of the routes in force at the sender.
  std::uint64_t routes_version = 0;
  /// Time since the sender last knew that `routes_version` was the newest
  /// version.
  std::uint32_t routes_version_age_ms = 0;
  /// Whether the sender knows no balancer and needs the whole roster.
  bool wants_roster = false;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(record, load, roster_digest);
    wire::SerializeBool(archive, wants_roster);
    wire::SerializeVarint(archive, routes_version);
    wire::SerializeVarint(archive, routes_version_age_ms);
  }
};

/// A host's record that another process forwards.
struct ForwardedHostRecord {
  HostRecord record;
  std::uint32_t age_ms = 0;  ///< Time since the host's last announcement.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(record);
    wire::SerializeVarint(archive, age_ms);
  }
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
using NodeMessage =
    std::variant<HostAnnouncement, RosterPart, FlowReply, FlowQuery>;

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
