#include "hawthornbank/flow_identity.h"

namespace hawthornbank {
namespace {

enum class Closeness : std::uint8_t { kNotCompared, kFar, kNear, kInRange };

auto CompareNumber(const FlowNumberRange& range,
                   std::optional<std::uint32_t> number) -> Closeness {
  const auto reference = range.latest.has_value() ? range.latest : range.first;
  if (!reference.has_value() || !number.has_value()) {
    return Closeness::kNotCompared;
  }
  if (IsInRange(range, *number)) {
    return Closeness::kInRange;
  }
  // Numbers wrap around, so the distance is the smaller of both directions.
  const std::uint32_t lead = *number - *reference;
  return lead > kMaxSequenceDistance && 0 - lead > kMaxSequenceDistance
             ? Closeness::kFar
             : Closeness::kNear;
}

}  // namespace

auto ReadCallerNumbers(const FlowPacket& packet) -> MessageNumbers {
  return {.caller = packet.sequence,
          .target = packet.has_acknowledgement
                        ? std::optional(packet.acknowledgement)
                        : std::nullopt};
}

auto ReadTargetNumbers(const FlowPacket& packet) -> MessageNumbers {
  return {.caller = packet.has_acknowledgement
                        ? std::optional(packet.acknowledgement)
                        : std::nullopt,
          .target = packet.sequence};
}

auto IsInRange(const FlowNumberRange& range, std::uint32_t number) -> bool {
  if (!range.first.has_value()) {
    return false;
  }
  const std::uint32_t used = range.latest.value_or(*range.first) - *range.first;
  return number - *range.first <= used + kMaxSequenceLead;
}

auto MatchFlow(const FlowNumbers& flow, const MessageNumbers& message)
    -> FlowMatch {
  const Closeness caller = CompareNumber(flow.caller, message.caller);
  const Closeness target = CompareNumber(flow.target, message.target);
  if (caller == Closeness::kFar || target == Closeness::kFar) {
    return FlowMatch::kOther;
  }
  if (caller == Closeness::kNotCompared) {
    return target == Closeness::kInRange ? FlowMatch::kSame
                                         : FlowMatch::kUnknown;
  }
  if (target == Closeness::kNotCompared) {
    return caller == Closeness::kInRange ? FlowMatch::kSame
                                         : FlowMatch::kUnknown;
  }
  return FlowMatch::kSame;
}

}  // namespace hawthornbank
