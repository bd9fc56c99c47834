#ifndef HAWTHORNBANK_TUNNEL_H_
#define HAWTHORNBANK_TUNNEL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "hawthornbank/packet.h"
#include "hawthornbank/types.h"

/// @file
/// Header in front of a caller's packet between balancers and agents.
///
/// It has a fixed layout rather than a cereal one, as every packet bears it
/// and decoding must not allocate.
namespace hawthornbank {

/// Most agents that one packet visits on a walk.
inline constexpr std::size_t kMaxWalk = 8;

/// Why an agent passes a packet on.
enum class WalkPhase : std::uint8_t {
  kNone,        ///< Straight from a balancer, or along a pointer.
  kHomeward,    ///< Sent to the flow's home by an agent with a newer view.
  kLookup,      ///< Looking for the owner of a flow the home doesn't know.
  kDecide,      ///< Nobody knew the flow; the home decides.
  kChoose,      ///< Looking for a target with room for a new flow.
  kAccept,      ///< The walk ended: the receiver takes the flow.
  kHandedOver,  ///< One request, whose token names the receiver's target.
};

/// Fields that travel with each packet.
struct TunnelHeader {
  ServiceId service{};
  Generation generation{};  ///< Under which the balancer routed it.
  Endpoint balancer;        ///< Where hints about the flow's owner go.
  WalkPhase phase = WalkPhase::kNone;
  bool established = false;  ///< The flow is known to have existed before.
  std::uint8_t hops = 0;     ///< Agents visited so far.
  std::uint8_t index = 0;    ///< Place of the receiver in the walk.
  std::uint8_t best = 0;     ///< Place of the least loaded agent so far.
  std::uint32_t best_load = 0;
  std::uint8_t walk_size = 0;
  std::array<Endpoint, kMaxWalk> walk{};  ///< The home first.

  auto operator==(const TunnelHeader&) const -> bool = default;
};

/// Key of the packets' digest; 128 bits.
using TunnelKey = std::array<std::uint8_t, 16>;

/// Bytes that the header takes at most.
inline constexpr std::size_t kMaxTunnelHeaderBytes = 36 + kMaxWalk * 6;

/// A decoded header and the packet behind it.
struct TunnelPacket {
  TunnelHeader header;
  ByteView packet;
};

/// Writes header and packet into a buffer.
/// @param header The header.
/// @param packet The caller's whole IPv4 packet.
/// @param key Key of the digest.
/// @param buf Receives the datagram.
/// @return Bytes written; 0 when the buffer is too small.
auto EncodeTunnel(const TunnelHeader& header,
                  ByteView packet,
                  const TunnelKey& key,
                  std::span<std::uint8_t> buf) -> std::size_t;

/// Reads a datagram from another process of the system.
/// @param datagram Header and packet.
/// @param keys Keys that are accepted, the current one first.
/// @return Header and packet, or nothing when it is malformed or its digest
/// fits no key.
auto DecodeTunnel(ByteView datagram, std::span<const TunnelKey> keys)
    -> std::optional<TunnelPacket>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_TUNNEL_H_
