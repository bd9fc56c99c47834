#include "hawthornbank/tunnel.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>

#include "protocol/byte_order.h"

namespace hawthornbank {
namespace {

using detail::LoadBigEndian16;
using detail::LoadBigEndian32;
using detail::LoadBigEndian64;
using detail::StoreBigEndian16;
using detail::StoreBigEndian32;
using detail::StoreBigEndian64;

constexpr std::uint8_t kMagic = 0x48;
constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kDigestBytes = crypto_shorthash_BYTES;
constexpr std::size_t kEndpointBytes = 6;
constexpr std::size_t kFixedHeaderBytes = 36;
constexpr std::uint8_t kEstablishedFlag = 0x80;

static_assert(kDigestBytes == 8);
static_assert(crypto_shorthash_KEYBYTES == sizeof(TunnelKey));
static_assert(kFixedHeaderBytes + kMaxWalk * kEndpointBytes ==
              kMaxTunnelHeaderBytes);

auto StoreEndpoint(std::uint8_t* bytes, Endpoint endpoint) -> void {
  StoreBigEndian32(bytes, endpoint.address);
  StoreBigEndian16(bytes + 4, endpoint.port);
}

auto LoadEndpoint(const std::uint8_t* bytes) -> Endpoint {
  return Endpoint{.address = LoadBigEndian32(bytes),
                  .port = LoadBigEndian16(bytes + 4)};
}

// Whether the digest at the start of a datagram matches the remaining bytes.
auto HasValidDigest(ByteView datagram, const TunnelKey& key) -> bool {
  std::array<std::uint8_t, kDigestBytes> digest{};
  crypto_shorthash(digest.data(), datagram.data() + kDigestBytes,
                   datagram.size() - kDigestBytes, key.data());
  return sodium_memcmp(digest.data(), datagram.data(), kDigestBytes) == 0;
}

}  // namespace

auto EncodeTunnelPacket(const TunnelHeader& header,
                        ByteView packet,
                        const TunnelKey& key,
                        std::span<std::uint8_t> buf) -> std::size_t {
  const std::size_t header_bytes =
      kFixedHeaderBytes + header.walk_size * kEndpointBytes;
  const std::size_t size = header_bytes + packet.size();
  if (size > buf.size() || header.walk_size > kMaxWalk) {
    return 0;
  }
  auto* const fields = buf.data() + kDigestBytes;
  fields[0] = kMagic;
  fields[1] = kVersion;
  fields[2] =
      static_cast<std::uint8_t>(static_cast<std::uint8_t>(header.phase) |
                                (header.established ? kEstablishedFlag : 0U));
  fields[3] = header.hops;
  StoreBigEndian32(fields + 4, ToInteger(header.service));
  StoreBigEndian64(fields + 8, ToInteger(header.generation));
  StoreEndpoint(fields + 16, header.balancer);
  fields[22] = static_cast<std::uint8_t>((header.walk_index << 4U) |
                                         header.lowest_load_index);
  fields[23] = header.walk_size;
  StoreBigEndian32(fields + 24, header.lowest_load);
  for (std::size_t n = 0; n < header.walk_size; ++n) {
    StoreEndpoint(fields + 28 + n * kEndpointBytes, header.walk[n]);
  }
  std::memcpy(buf.data() + header_bytes, packet.data(), packet.size());
  crypto_shorthash(buf.data(), fields, size - kDigestBytes, key.data());
  return size;
}

auto DecodeTunnelPacket(ByteView datagram, std::span<const TunnelKey> keys)
    -> std::optional<TunnelPacket> {
  if (datagram.size() < kFixedHeaderBytes) {
    return std::nullopt;
  }
  const auto* const fields = datagram.data() + kDigestBytes;
  const auto phase = static_cast<std::uint8_t>(fields[2] & ~kEstablishedFlag);
  const std::uint8_t walk_size = fields[23];
  const std::size_t header_bytes =
      kFixedHeaderBytes + walk_size * kEndpointBytes;
  if (fields[0] != kMagic || fields[1] != kVersion ||
      phase > static_cast<std::uint8_t>(WalkPhase::kRequestHandover) ||
      walk_size > kMaxWalk || header_bytes > datagram.size()) {
    return std::nullopt;
  }
  const bool has_valid_digest =
      std::any_of(keys.begin(), keys.end(), [datagram](const TunnelKey& key) {
        return HasValidDigest(datagram, key);
      });
  if (!has_valid_digest) {
    return std::nullopt;
  }
  TunnelPacket packet{.packet = datagram.subspan(header_bytes)};
  TunnelHeader& header = packet.header;
  header.phase = static_cast<WalkPhase>(phase);
  header.established = (fields[2] & kEstablishedFlag) != 0;
  header.hops = fields[3];
  header.service = ServiceId{LoadBigEndian32(fields + 4)};
  header.generation = Generation{LoadBigEndian64(fields + 8)};
  header.balancer = LoadEndpoint(fields + 16);
  header.walk_index = fields[22] >> 4U;
  header.lowest_load_index = fields[22] & 0x0FU;
  header.walk_size = walk_size;
  header.lowest_load = LoadBigEndian32(fields + 24);
  for (std::size_t n = 0; n < walk_size; ++n) {
    header.walk[n] = LoadEndpoint(fields + 28 + n * kEndpointBytes);
  }
  const bool has_valid_walk =
      walk_size == 0 ||
      (header.walk_index < walk_size && header.lowest_load_index < walk_size);
  return has_valid_walk ? std::optional(packet) : std::nullopt;
}

}  // namespace hawthornbank
