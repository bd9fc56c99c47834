#include "soak/packets.h"

#include "protocol/byte_order.h"

namespace hawthornbank::soak {
namespace {

constexpr std::size_t kHeadBytes = 32;
constexpr std::size_t kSumOffset = 22;
constexpr std::size_t kRequestBytes = 8;
constexpr std::size_t kFillerBytes = 100;
constexpr std::uint8_t kSyn = 64;
constexpr std::uint8_t kAck = 1;
constexpr std::uint8_t kFin = 4;
constexpr std::uint8_t kRst = 2;
constexpr std::uint8_t kBounced = 8;
// Stands for the keyed sum, which the system can't write.
constexpr std::uint32_t kSum = 0x5EA15EA1;

}  // namespace

auto MakePacket(const FlowPacket& packet, const Payload& payload) -> Bytes {
  const std::size_t length =
      payload.request == 0 ? 0 : kRequestBytes + payload.filler * kFillerBytes;
  Bytes bytes(kHeadBytes + length);
  auto* const it = bytes.data();
  it[0] = static_cast<std::uint8_t>(
      (packet.opens ? kSyn : 0) | (packet.acknowledges ? kAck : 0) |
      (packet.ends ? kFin : 0) | (packet.resets ? kRst : 0));
  detail::StoreBigEndian32(it + 2, packet.sequence);
  detail::StoreBigEndian32(it + 6, packet.acknowledgement);
  detail::StoreBigEndian16(it + 10, packet.destination.port);
  detail::StoreBigEndian16(it + 12, packet.source.port);
  detail::StoreBigEndian32(it + 14, packet.destination.address);
  detail::StoreBigEndian32(it + 18, packet.source.address);
  detail::StoreBigEndian32(it + kSumOffset, kSum);
  detail::StoreBigEndian16(it + 30, static_cast<std::uint16_t>(length));
  if (length > 0) {
    detail::StoreBigEndian64(it + kHeadBytes, payload.request);
  }
  return bytes;
}

auto RequestOf(ByteView bytes) -> std::uint64_t {
  return bytes.size() < kHeadBytes + kRequestBytes
             ? 0
             : detail::LoadBigEndian64(bytes.data() + kHeadBytes);
}

auto MarkReturned(ByteView bytes) -> Bytes {
  Bytes marked(bytes.begin(), bytes.end());
  marked[0] |= kBounced;
  return marked;
}

auto IsSystemReset(ByteView bytes) -> bool {
  return (bytes[0] & kRst) != 0 &&
         detail::LoadBigEndian32(bytes.data() + kSumOffset) == 0;
}

}  // namespace hawthornbank::soak
