#include "hawthornbank/relay.h"

#include <algorithm>

#include "protocol/byte_order.h"

namespace hawthornbank {
namespace {

// magic, flags, agents asked, reserved, service, origin, then the agents.
constexpr std::uint8_t kMagic = 0x52;
constexpr std::size_t kFixedBytes = 14;
constexpr std::size_t kAddressBytes = 4;
constexpr std::uint8_t kWantsNote = 1;
constexpr std::uint8_t kSentBack = 2;
constexpr std::uint8_t kLastOffer = 4;

}  // namespace

auto EncodeRelayHeader(const RelayHeader& header,
                       std::vector<std::uint8_t>& out) -> void {
  const std::size_t count = std::min(header.asked.size(), kMaxOffers);
  const std::size_t start = out.size();
  out.resize(start + kFixedBytes + count * kAddressBytes);
  auto* it = out.data() + start;
  it[0] = kMagic;
  it[1] = static_cast<std::uint8_t>((header.wants_note ? kWantsNote : 0) |
                                    (header.sent_back ? kSentBack : 0) |
                                    (header.last_offer ? kLastOffer : 0));
  it[2] = static_cast<std::uint8_t>(count);
  it[3] = 0;
  detail::Store32(it + 4, header.service);
  detail::Store32(it + 8, header.origin.address);
  detail::Store16(it + 12, header.origin.port);
  it += kFixedBytes;
  for (std::size_t n = 0; n < count; ++n) {
    detail::Store32(it + n * kAddressBytes, header.asked[n]);
  }
}

auto DecodeRelayHeader(std::span<const std::uint8_t> bytes, std::size_t& size)
    -> std::optional<RelayHeader> {
  if (bytes.size() < kFixedBytes || bytes[0] != kMagic) {
    return std::nullopt;
  }
  const std::size_t count = bytes[2];
  size = kFixedBytes + count * kAddressBytes;
  if (count > kMaxOffers || bytes.size() < size) {
    return std::nullopt;
  }
  RelayHeader header{
      .origin = {.address = detail::Load32(bytes.data() + 8),
                 .port = detail::Load16(bytes.data() + 12)},
      .service = detail::Load32(bytes.data() + 4),
      .wants_note = (bytes[1] & kWantsNote) != 0,
      .sent_back = (bytes[1] & kSentBack) != 0,
      .last_offer = (bytes[1] & kLastOffer) != 0,
  };
  header.asked.reserve(count);
  for (std::size_t n = 0; n < count; ++n) {
    header.asked.push_back(
        detail::Load32(bytes.data() + kFixedBytes + n * kAddressBytes));
  }
  return header;
}

}  // namespace hawthornbank
