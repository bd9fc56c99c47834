#include "soak/packets.h"

#include <algorithm>

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
constexpr std::size_t kPaddingOffset = 1;
constexpr std::size_t kEchoOffset = 26;
constexpr std::size_t kFieldBytes = 4;
// Key of the checksum that callers and targets compute. The load balancer can't
// compute the checksum and puts 0 into packets that it builds.
constexpr std::uint32_t kChecksumKey = 0x5EA15EA1;
constexpr std::uint32_t kChecksumFactor = 16'777'619;

auto IsInField(std::size_t offset, std::size_t field) -> bool {
  return offset >= field && offset < field + kFieldBytes;
}

// Computes the keyed checksum over all bytes except the echo, the padding, the
// returned flag and the checksum itself. Never 0.
auto ComputeChecksum(ByteView bytes) -> std::uint32_t {
  std::uint32_t sum = kChecksumKey;
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    const bool is_covered = n != kPaddingOffset && !IsInField(n, kEchoOffset) &&
                            !IsInField(n, kChecksumOffset);
    const auto byte = static_cast<std::uint32_t>(bytes[n]);
    const std::uint32_t value =
        n == 0 ? byte & ~std::uint32_t{kReturnedFlag} : byte;
    sum = (sum ^ (is_covered ? value : 0)) * kChecksumFactor;
  }
  return std::max(sum, std::uint32_t{1});
}

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
  detail::StoreBigEndian16(header + 30, static_cast<std::uint16_t>(length));
  if (length > 0) {
    detail::StoreBigEndian64(header + kHeaderBytes, payload.request);
  }
  detail::StoreBigEndian32(header + kChecksumOffset, ComputeChecksum(bytes));
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

auto HasValidChecksum(ByteView bytes) -> bool {
  return detail::LoadBigEndian32(bytes.data() + kChecksumOffset) ==
         ComputeChecksum(bytes);
}

auto IsResetByLoadBalancer(ByteView bytes) -> bool {
  return bytes.size() == kHeaderBytes &&
         (bytes[0] & ~std::uint32_t{kReturnedFlag}) == kResetFlag &&
         detail::LoadBigEndian32(bytes.data() + kChecksumOffset) == 0;
}

}  // namespace hawthornbank::soak
