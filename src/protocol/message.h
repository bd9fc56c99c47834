#ifndef HAWTHORNBANK_SRC_PROTOCOL_MESSAGE_H_
#define HAWTHORNBANK_SRC_PROTOCOL_MESSAGE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>

#include "hawthornbank/configuration_messages.h"
#include "hawthornbank/flow_key.h"
#include "hawthornbank/membership_messages.h"
#include "hawthornbank/packet.h"
#include "hawthornbank/tunnel.h"

/// @file
/// Control messages between processes. A datagram consists of a header with a
/// keyed digest, and of the message as cereal encodes it.
namespace hawthornbank {

/// Informs a balancer which agent owns a flow.
struct FlowHint {
  FlowKey flow;
  Endpoint owner;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(flow, owner);
  }
};

/// Informs the home of a flow which agent owns the flow.
struct FlowPointerUpdate {
  FlowKey flow;
  Endpoint owner;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(flow, owner);
  }
};

/// Acknowledgement of a FlowPointerUpdate, which the home of a flow sends to
/// the flow's owner.
struct FlowPointerAck {
  FlowKey flow;
  Endpoint home;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(flow, home);
  }
};

/// Any control message.
using Message = std::variant<Announcement,
                             AnnouncementAck,
                             Digest,
                             FlowHint,
                             FlowPointerUpdate,
                             FlowPointerAck,
                             ConfigurationMessage>;

/// Key for the digest of control messages; 256 bits.
using ControlKey = std::array<std::uint8_t, 32>;

/// Current keys of a process and, during a key rotation, the previous keys.
struct KeyRing {
  ControlKey control{};
  std::optional<ControlKey> previous_control;
  TunnelKey tunnel{};
  std::optional<TunnelKey> previous_tunnel;
};

/// Derives the keys for control messages and tunnelled packets from the keys in
/// the settings.
/// @param current Current key: 64 hexadecimal digits.
/// @param previous Previous key: 64 hexadecimal digits, or empty when no
///     previous key is valid.
/// @return The control and tunnel keys.
/// @throws Error kInvalidSettings when a key isn't 64 hexadecimal digits.
auto DeriveKeyRing(const std::string& current, const std::string& previous)
    -> KeyRing;

/// Distinguishes control messages from tunnelled packets by the magic number,
/// without checking the digest.
/// @param datagram A datagram that another process sent.
/// @return Whether the datagram has the magic number of a control message and
///     at least one byte after the header.
auto HasControlMessageMagic(ByteView datagram) -> bool;

/// Encodes a message and adds a header with the digest under the current key.
/// @param message The message.
/// @param keys Keys of this process.
/// @return The datagram.
auto EncodeMessage(const Message& message, const KeyRing& keys) -> Bytes;

/// Writes the message header and the digest of the body under the current key.
/// @param datagram Space for the header, followed by the encoded body.
/// @param keys Keys of this process.
/// @return The datagram with header and digest filled in.
auto WriteMessageHeaderAndDigest(Bytes datagram, const KeyRing& keys) -> Bytes;

/// Verifies the digest of a received message and decodes it.
/// @param datagram The received datagram.
/// @param keys Keys of this process.
/// @return The message.
/// @throws Error kUnauthenticated when the digest matches neither the current
///     nor the previous key; kMalformed when the magic number or the version is
///     wrong, or the body is missing or can't be decoded.
auto DecodeMessage(ByteView datagram, const KeyRing& keys) -> Message;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_MESSAGE_H_
