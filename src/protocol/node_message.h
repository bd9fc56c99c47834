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
/// Messages between the processes of a fleet: cereal in one datagram.
namespace hawthornbank {

/// A process's word of itself.
struct HostAnnounce {
  HostRecord record;
  TargetLoad load;
  std::uint64_t digest = 0;          ///< Of all records that it knows.
  std::uint64_t version = 0;         ///< Of the routes that it has in force.
  std::uint32_t version_age_ms = 0;  ///< Since that was the newest.
  bool wants_reply = false;          ///< It knows too few others.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(record, load, digest);
    wire::Flag(archive, wants_reply);
    wire::Varint(archive, version);
    wire::Varint(archive, version_age_ms);
  }
};

/// A record that is passed on.
struct PassedRecord {
  HostRecord record;
  std::uint32_t age_ms = 0;  ///< Since its host was heard.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(record);
    wire::Varint(archive, age_ms);
  }
};

/// Records that the receiver may lack.
struct RosterPart {
  std::vector<PassedRecord> records;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    wire::List(archive, records);
  }
};

/// Every message.
using NodeMessage = std::variant<HostAnnounce, RosterPart, FlowNote, FlowQuery>;

/// Records in one RosterPart, so that it fits a datagram of 1,400 bytes.
inline constexpr std::size_t kRecordsPerPart = 16;

/// @param message A message.
/// @return The datagram.
auto EncodeNodeMessage(const NodeMessage& message) -> Bytes;

/// @param datagram A datagram between processes.
/// @return The message, or nothing when it can't be decoded.
auto DecodeNodeMessage(ByteView datagram) -> std::optional<NodeMessage>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_NODE_MESSAGE_H_
