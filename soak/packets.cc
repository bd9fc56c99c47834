#include "soak/packets.h"

#include "protocol/byte_order.h"

namespace hawthornbank::soak {
namespace {

constexpr std::size_t kHeaderBytes = 32;
constexpr std::size_t kChecksumOffset = 22;
constexpr std::size_t kRequestBytes = 8;
constexpr std::size_t kFillerBlockBytes = 100;
constexpr std::uint8_t kSynFlag = 64;
constexpr std::uint8_t kAckFlag = 1;
constexpr std::uint8_t kFinFlag = 4;
constexpr std::uint8_t kResetFlag = 2;
constexpr std::uint8_t kReturnedFlag = 8;
// Placeholder for the keyed checksum that callers and targets compute. The load
// balancer can't compute this checksum and puts 0 into packets that it builds.
constexpr std::uint32_t kKeyedChecksum = 0x5EA15EA1;

}  // namespace

auto EncodeFlowPacket(const FlowPacket& packet, const Payload& payload)
    -> Bytes {
  const std::size_t length =
      payload.request == 0
          ? 0
          : kRequestBytes + payload.filler_blocks * kFillerBlockBytes;
  Bytes bytes(kHeaderBytes + length);
  auto* const header = bytes.data();
  header[0] = static_cast<std::uint8_t>(
      (packet.is_opening ? kSynFlag : 0) |
      (packet.has_acknowledgement ? kAckFlag : 0) |
      (packet.is_finish ? kFinFlag : 0) | (packet.is_reset ? kResetFlag : 0));
  detail::StoreBigEndian32(header + 2, packet.sequence);
  detail::StoreBigEndian32(header + 6, packet.acknowledgement);
  detail::StoreBigEndian16(header + 10, packet.destination.port);
  detail::StoreBigEndian16(header + 12, packet.source.port);
  detail::StoreBigEndian32(header + 14, packet.destination.address);
  detail::StoreBigEndian32(header + 18, packet.source.address);
  detail::StoreBigEndian32(header + kChecksumOffset, kKeyedChecksum);
  detail::StoreBigEndian16(header + 30, static_cast<std::uint16_t>(length));
  if (length > 0) {
    detail::StoreBigEndian64(header + kHeaderBytes, payload.request);
  }
  return bytes;
}

auto ReadRequestNumber(ByteView bytes) -> std::uint64_t {
  return bytes.size() < kHeaderBytes + kRequestBytes
             ? 0
             : detail::LoadBigEndian64(bytes.data() + kHeaderBytes);
}

auto MarkPacketAsReturned(ByteView bytes) -> Bytes {
  Bytes marked(bytes.begin(), bytes.end());
  marked[0] |= kReturnedFlag;
  return marked;
}

auto IsResetByLoadBalancer(ByteView bytes) -> bool {
  return (bytes[0] & kResetFlag) != 0 &&
         detail::LoadBigEndian32(bytes.data() + kChecksumOffset) == 0;
}

}  // namespace hawthornbank::soak
