#include "hawthornbank/relay.h"

#include <algorithm>

#include "protocol/byte_order.h"

namespace hawthornbank {
namespace {

// Fixed part of the header: magic number, flags, number of addresses, a
// reserved byte, service, origin. The addresses in `returned_by` follow.
constexpr std::uint8_t kMagic = 0x52;
constexpr std::size_t kFixedHeaderBytes = 14;
constexpr std::size_t kAddressBytes = 4;
constexpr std::uint8_t kWantsFlowReplyFlag = 1;
constexpr std::uint8_t kReturnedFlag = 2;
constexpr std::uint8_t kLastCandidateFlag = 4;

}  // namespace

auto AppendRelayHeader(const RelayHeader& header,
                       std::vector<std::uint8_t>& out) -> void {
  const std::size_t count =
      std::min(header.returned_by.size(), kMaxReturnedByAddresses);
  const std::size_t start = out.size();
  out.resize(start + kFixedHeaderBytes + count * kAddressBytes);
  auto* encoded = out.data() + start;
  encoded[0] = kMagic;
  encoded[1] = static_cast<std::uint8_t>(
      (header.wants_flow_reply ? kWantsFlowReplyFlag : 0) |
      (header.is_returned ? kReturnedFlag : 0) |
      (header.is_last_candidate ? kLastCandidateFlag : 0));
  encoded[2] = static_cast<std::uint8_t>(count);
  encoded[3] = 0;
  detail::StoreBigEndian32(encoded + 4, header.service);
  detail::StoreBigEndian32(encoded + 8, header.origin.address);
  detail::StoreBigEndian16(encoded + 12, header.origin.port);
  encoded += kFixedHeaderBytes;
  for (std::size_t n = 0; n < count; ++n) {
    detail::StoreBigEndian32(encoded + n * kAddressBytes,
                             header.returned_by[n]);
  }
}

auto DecodeRelayHeader(std::span<const std::uint8_t> bytes, std::size_t& size)
    -> std::optional<RelayHeader> {
  if (bytes.size() < kFixedHeaderBytes || bytes[0] != kMagic) {
    return std::nullopt;
  }
  const std::size_t count = bytes[2];
  size = kFixedHeaderBytes + count * kAddressBytes;
  if (count > kMaxReturnedByAddresses || bytes.size() < size) {
    return std::nullopt;
  }
  RelayHeader header{
      .origin = {.address = detail::LoadBigEndian32(bytes.data() + 8),
                 .port = detail::LoadBigEndian16(bytes.data() + 12)},
      .service = detail::LoadBigEndian32(bytes.data() + 4),
      .wants_flow_reply = (bytes[1] & kWantsFlowReplyFlag) != 0,
      .is_returned = (bytes[1] & kReturnedFlag) != 0,
      .is_last_candidate = (bytes[1] & kLastCandidateFlag) != 0,
  };
  header.returned_by.reserve(count);
  for (std::size_t n = 0; n < count; ++n) {
    header.returned_by.push_back(detail::LoadBigEndian32(
        bytes.data() + kFixedHeaderBytes + n * kAddressBytes));
  }
  return header;
}

}  // namespace hawthornbank
