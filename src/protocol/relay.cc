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
// The terms of the flow stand between the fixed part and the addresses:
// priority, whether it is repeatable, goal, timeout, limit of warm-up.
constexpr std::uint8_t kTermsFlag = 8;
constexpr std::size_t kTermsBytes = 8;
constexpr std::uint8_t kWarmupLimitFlag = 16;
constexpr std::uint8_t kZoneOutOfServiceFlag = 32;
constexpr std::uint8_t kMayBeAcceptedFlag = 64;

auto StoreTerms(const FlowTerms& terms, std::uint8_t* encoded) -> void {
  encoded[0] = terms.priority;
  encoded[1] = terms.is_repeatable ? 1 : 0;
  detail::StoreBigEndian16(encoded + 2, terms.goal_ms);
  detail::StoreBigEndian16(encoded + 4, terms.timeout_ms);
  detail::StoreBigEndian16(encoded + 6, terms.warmup_limit);
}

auto LoadTerms(const std::uint8_t* encoded) -> FlowTerms {
  return FlowTerms{.priority = encoded[0],
                   .is_repeatable = encoded[1] != 0,
                   .goal_ms = detail::LoadBigEndian16(encoded + 2),
                   .timeout_ms = detail::LoadBigEndian16(encoded + 4),
                   .warmup_limit = detail::LoadBigEndian16(encoded + 6)};
}

}  // namespace

auto AppendRelayHeader(const RelayHeader& header,
                       std::vector<std::uint8_t>& out) -> void {
  const std::size_t count =
      std::min(header.returned_by.size(), kMaxReturnedByAddresses);
  const std::size_t start = out.size();
  const std::size_t terms_bytes = header.terms.has_value() ? kTermsBytes : 0;
  out.resize(start + kFixedHeaderBytes + terms_bytes + count * kAddressBytes);
  auto* encoded = out.data() + start;
  encoded[0] = kMagic;
  encoded[1] = static_cast<std::uint8_t>(
      (header.wants_flow_reply ? kWantsFlowReplyFlag : 0) |
      (header.is_returned ? kReturnedFlag : 0) |
      (header.is_last_candidate ? kLastCandidateFlag : 0) |
      (header.terms.has_value() ? kTermsFlag : 0) |
      (header.is_zone_out_of_service ? kZoneOutOfServiceFlag : 0) |
      (header.is_at_warmup_limit ? kWarmupLimitFlag : 0) |
      (header.may_be_accepted ? kMayBeAcceptedFlag : 0));
  encoded[2] = static_cast<std::uint8_t>(count);
  encoded[3] = 0;
  detail::StoreBigEndian32(encoded + 4, header.service);
  detail::StoreBigEndian32(encoded + 8, header.origin.address);
  detail::StoreBigEndian16(encoded + 12, header.origin.port);
  encoded += kFixedHeaderBytes;
  if (header.terms.has_value()) {
    StoreTerms(*header.terms, encoded);
    encoded += kTermsBytes;
  }
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
  const bool has_terms = (bytes[1] & kTermsFlag) != 0;
  const std::size_t addresses =
      kFixedHeaderBytes + (has_terms ? kTermsBytes : 0);
  size = addresses + count * kAddressBytes;
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
      .is_zone_out_of_service = (bytes[1] & kZoneOutOfServiceFlag) != 0,
      .is_at_warmup_limit = (bytes[1] & kWarmupLimitFlag) != 0,
      .may_be_accepted = (bytes[1] & kMayBeAcceptedFlag) != 0,
  };
  header.returned_by.reserve(count);
  for (std::size_t n = 0; n < count; ++n) {
    header.returned_by.push_back(
        detail::LoadBigEndian32(bytes.data() + addresses + n * kAddressBytes));
  }
  if (has_terms) {
    header.terms = LoadTerms(bytes.data() + kFixedHeaderBytes);
  }
  return header;
}

}  // namespace hawthornbank
