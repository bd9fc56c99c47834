#include "hawthornbank/tunnel.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>

#include "protocol/byte_order.h"

namespace hawthornbank {
namespace {

using detail::Load16;
using detail::Load32;
using detail::Load64;
using detail::Store16;
using detail::Store32;
using detail::Store64;

constexpr std::uint8_t kMagic = 0x48;
constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kDigestBytes = crypto_shorthash_BYTES;
constexpr std::size_t kEndpointBytes = 6;
constexpr std::size_t kFixedBytes = 36;
constexpr std::uint8_t kEstablishedBit = 0x80;

static_assert(kDigestBytes == 8);
static_assert(crypto_shorthash_KEYBYTES == sizeof(TunnelKey));
static_assert(kFixedBytes + kMaxWalk * kEndpointBytes == kMaxTunnelHeaderBytes);

auto StoreEndpoint(std::uint8_t* it, Endpoint endpoint) -> void {
  Store32(it, endpoint.address);
  Store16(it + 4, endpoint.port);
}

auto LoadEndpoint(const std::uint8_t* it) -> Endpoint {
  return Endpoint{.address = Load32(it), .port = Load16(it + 4)};
}

// The digest stands first and covers all that follows it.
auto DigestFits(ByteView datagram, const TunnelKey& key) -> bool {
  std::array<std::uint8_t, kDigestBytes> digest{};
  crypto_shorthash(digest.data(), datagram.data() + kDigestBytes,
                   datagram.size() - kDigestBytes, key.data());
  return sodium_memcmp(digest.data(), datagram.data(), kDigestBytes) == 0;
}

}  // namespace

auto EncodeTunnel(const TunnelHeader& header,
                  ByteView packet,
                  const TunnelKey& key,
                  std::span<std::uint8_t> buf) -> std::size_t {
  const std::size_t head = kFixedBytes + header.walk_size * kEndpointBytes;
  const std::size_t size = head + packet.size();
  if (size > buf.size() || header.walk_size > kMaxWalk) {
    return 0;
  }
  auto* const it = buf.data() + kDigestBytes;
  it[0] = kMagic;
  it[1] = kVersion;
  it[2] =
      static_cast<std::uint8_t>(static_cast<std::uint8_t>(header.phase) |
                                (header.established ? kEstablishedBit : 0U));
  it[3] = header.hops;
  Store32(it + 4, ToInteger(header.service));
  Store64(it + 8, ToInteger(header.generation));
  StoreEndpoint(it + 16, header.balancer);
  it[22] = static_cast<std::uint8_t>((header.index << 4U) | header.best);
  it[23] = header.walk_size;
  Store32(it + 24, header.best_load);
  for (std::size_t n = 0; n < header.walk_size; ++n) {
    StoreEndpoint(it + 28 + n * kEndpointBytes, header.walk[n]);
  }
  std::memcpy(buf.data() + head, packet.data(), packet.size());
  crypto_shorthash(buf.data(), it, size - kDigestBytes, key.data());
  return size;
}

auto DecodeTunnel(ByteView datagram, std::span<const TunnelKey> keys)
    -> std::optional<TunnelPacket> {
  if (datagram.size() < kFixedBytes) {
    return std::nullopt;
  }
  const auto* const it = datagram.data() + kDigestBytes;
  const auto phase = static_cast<std::uint8_t>(it[2] & ~kEstablishedBit);
  const std::uint8_t walk_size = it[23];
  const std::size_t head = kFixedBytes + walk_size * kEndpointBytes;
  if (it[0] != kMagic || it[1] != kVersion ||
      phase > static_cast<std::uint8_t>(WalkPhase::kHandedOver) ||
      walk_size > kMaxWalk || head > datagram.size()) {
    return std::nullopt;
  }
  const bool fits = std::any_of(
      keys.begin(), keys.end(),
      [datagram](const TunnelKey& key) { return DigestFits(datagram, key); });
  if (!fits) {
    return std::nullopt;
  }
  TunnelPacket packet{.packet = datagram.subspan(head)};
  TunnelHeader& header = packet.header;
  header.phase = static_cast<WalkPhase>(phase);
  header.established = (it[2] & kEstablishedBit) != 0;
  header.hops = it[3];
  header.service = ServiceId{Load32(it + 4)};
  header.generation = Generation{Load64(it + 8)};
  header.balancer = LoadEndpoint(it + 16);
  header.index = it[22] >> 4U;
  header.best = it[22] & 0x0FU;
  header.walk_size = walk_size;
  header.best_load = Load32(it + 24);
  for (std::size_t n = 0; n < walk_size; ++n) {
    header.walk[n] = LoadEndpoint(it + 28 + n * kEndpointBytes);
  }
  const bool in_walk =
      walk_size == 0 || (header.index < walk_size && header.best < walk_size);
  return in_walk ? std::optional(packet) : std::nullopt;
}

}  // namespace hawthornbank
