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
/// Control messages between processes: cereal behind a keyed digest.
namespace hawthornbank {

/// Tells a balancer which agent owns a flow.
struct FlowHint {
  FlowKey flow;
  Endpoint owner;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(flow, owner);
  }
};

/// Tells the home of a flow which agent owns it.
struct FlowPointerNote {
  FlowKey flow;
  Endpoint owner;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(flow, owner);
  }
};

/// Answers a FlowPointerNote to the owner.
struct FlowPointerAck {
  FlowKey flow;
  Endpoint home;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(flow, home);
  }
};

/// Every control message.
using Message = std::variant<Announce,
                             AnnounceAck,
                             Digest,
                             FlowHint,
                             FlowPointerNote,
                             FlowPointerAck,
                             ConfigurationMessage>;

/// Key of the control messages' digest; 256 bits.
using ControlKey = std::array<std::uint8_t, 32>;

/// Keys of a process: the current one and, during a rotation, the previous.
struct KeyRing {
  ControlKey control{};
  std::optional<ControlKey> previous_control;
  TunnelKey tunnel{};
  std::optional<TunnelKey> previous_tunnel;
};

/// Derives the keys of control messages and packets from the settings.
/// @param current 64 hexadecimal digits.
/// @param previous The same, or empty.
/// @return The keys.
/// @throws Error kInvalidSettings when a key isn't 64 hexadecimal digits.
auto MakeKeyRing(const std::string& current, const std::string& previous)
    -> KeyRing;

/// Tells control messages from packets, before any digest is checked.
/// @param datagram A datagram on the endpoint between processes.
/// @return Whether it claims to be a control message.
auto IsControlMessage(ByteView datagram) -> bool;

/// Encodes a message under the current key.
/// @param message The message.
/// @param keys Keys of this process.
/// @return The datagram.
auto EncodeMessage(const Message& message, const KeyRing& keys) -> Bytes;

/// Writes the digest of the current key over a datagram's body.
/// @param datagram Room for the digest, then the body.
/// @param keys Keys of this process.
/// @return The datagram with its digest.
auto SealMessage(Bytes datagram, const KeyRing& keys) -> Bytes;

/// Decodes a message.
/// @param datagram What was received.
/// @param keys Keys of this process.
/// @return The message.
/// @throws Error kUnauthenticated when the digest fits no key; kMalformed when
/// the body can't be decoded.
auto DecodeMessage(ByteView datagram, const KeyRing& keys) -> Message;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_MESSAGE_H_
