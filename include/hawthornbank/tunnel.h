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
/// Tunnel header in front of a caller's packet between balancers and agents.
///
/// The header has a fixed layout and isn't serialised with cereal, because
/// every packet carries a header and decoding must not allocate.
namespace hawthornbank {

/// Maximum number of agents in a walk: the ranked agents that a packet visits
/// in turn to find a flow's owner or a target for a new flow.
inline constexpr std::size_t kMaxWalk = 8;

/// Why a packet was sent to the agent that receives it.
enum class WalkPhase : std::uint8_t {
  kNone,             ///< Sent by a balancer or along a pointer.
  kSentToHome,       ///< Sent to the flow's home by another agent.
  kLookup,           ///< Walk in search of the owner of an unknown flow.
  kDecideAtHome,     ///< The walk found no owner; the home decides.
  kSelectTarget,     ///< Walk in search of a target for a new flow.
  kAccept,           ///< The walk chose the receiver to accept the flow.
  kRequestHandover,  ///< A request whose token names the receiver's target.
};

/// Fields of the header that precedes each packet.
struct TunnelHeader {
  ServiceId service{};
  Generation generation{};  ///< Configuration that the balancer routed by.
  Endpoint balancer;        ///< Balancer to send hints about the owner to.
  WalkPhase phase = WalkPhase::kNone;
  /// The packet's flow isn't new, so no agent may open the flow again.
  bool established = false;
  std::uint8_t hops = 0;        ///< How often agents have forwarded the packet.
  std::uint8_t walk_index = 0;  ///< Index of the receiver in `walk`.
  /// Index in `walk` of the least loaded agent visited so far.
  std::uint8_t lowest_load_index = 0;
  std::uint32_t lowest_load = 0;          ///< Load of the least loaded agent.
  std::uint8_t walk_size = 0;             ///< Number of agents in `walk`.
  std::array<Endpoint, kMaxWalk> walk{};  ///< Agents to visit, home first.

  auto operator==(const TunnelHeader&) const -> bool = default;
};

/// Key of the digest that authenticates datagrams; 128 bits.
using TunnelKey = std::array<std::uint8_t, 16>;

/// Maximum size of an encoded header, in bytes.
inline constexpr std::size_t kMaxTunnelHeaderBytes = 36 + kMaxWalk * 6;

/// A decoded header and the packet that follows it.
struct TunnelPacket {
  TunnelHeader header;
  ByteView packet;
};

/// Encodes header and packet into a datagram.
/// @param header The header.
/// @param packet The caller's whole IPv4 packet.
/// @param key Key of the digest.
/// @param buf The datagram is written to it.
/// @return Bytes written; 0 when the buffer is too small or the walk too long.
auto EncodeTunnelPacket(const TunnelHeader& header,
                        ByteView packet,
                        const TunnelKey& key,
                        std::span<std::uint8_t> buf) -> std::size_t;

/// Decodes a datagram from a balancer or an agent and checks its digest.
/// @param datagram Header and packet.
/// @param keys Accepted keys, the current key first.
/// @return Header and packet, or nothing when the datagram is malformed
/// or its digest matches no key.
auto DecodeTunnelPacket(ByteView datagram, std::span<const TunnelKey> keys)
    -> std::optional<TunnelPacket>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_TUNNEL_H_
