#ifndef HAWTHORNBANK_FLOW_IDENTITY_H_
#define HAWTHORNBANK_FLOW_IDENTITY_H_

#include <cstdint>
#include <optional>

#include "hawthornbank/flow_packet.h"

/// @file
/// Tells messages of a flow from those of other flows of the same port.
///
/// A caller may use a port again as soon as its earlier flow has ended for it,
/// while packets of that flow are still under way. Key and address are the same
/// then; the numbers that both ends chose at random for each flow differ.
namespace hawthornbank {

/// Which flow of a port a message is about.
enum class FlowMatch : std::uint8_t {
  kSame,     ///< The flow that it was compared with.
  kOther,    ///< Another flow of the port, an earlier or a later one.
  kUnknown,  ///< Can't be told.
};

/// Sequence numbers that one end of a flow has used. Both are empty if unknown.
struct FlowNumberRange {
  std::optional<std::uint32_t> first;   ///< Number of the end's first packet.
  std::optional<std::uint32_t> latest;  ///< Latest number known to be used.
};

/// Sequence numbers of both ends of a flow.
struct FlowNumbers {
  FlowNumberRange caller;
  FlowNumberRange target;
};

/// Sequence numbers that a message names.
struct MessageNumbers {
  std::optional<std::uint32_t> caller;
  std::optional<std::uint32_t> target;
};

/// Maximum number of bytes by which a number is ahead of the latest one that
/// its flow is known to have used: an end sends no more without an answer.
inline constexpr std::uint32_t kMaxSequenceLead = 76'800;

/// Maximum number of bytes between two messages of a flow that one process
/// sees: a message may be late, and other processes may see those between.
inline constexpr std::uint32_t kMaxSequenceDistance = 1U << 24U;

/// @param packet A caller's packet that doesn't open a flow.
/// @return The numbers that the packet names.
auto ReadCallerNumbers(const FlowPacket& packet) -> MessageNumbers;

/// @param packet A target's packet.
/// @return The numbers that the packet names.
auto ReadTargetNumbers(const FlowPacket& packet) -> MessageNumbers;

/// Returns whether a number lies between the first number that an end has used
/// and kMaxSequenceLead bytes after the latest.
/// @param range Numbers of the end; false if its first one is unknown.
/// @param number Number that a message names.
/// @return Whether the end has used or may use the number next.
auto IsInRange(const FlowNumberRange& range, std::uint32_t number) -> bool;

/// Compares the numbers of a message with those of a flow.
/// @param flow Numbers that the flow is known to have used.
/// @param message Numbers that the message names.
/// @return kOther if a number is more than kMaxSequenceDistance away; kSame if
/// both numbers are close, or the only one is in range; otherwise kUnknown.
auto MatchFlow(const FlowNumbers& flow, const MessageNumbers& message)
    -> FlowMatch;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_FLOW_IDENTITY_H_
