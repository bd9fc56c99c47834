#include "coordination/target_flows_internal.h"

namespace hawthornbank::detail {
namespace {

auto DescribeNumbers(const TargetFlow& flow) -> FlowNumbers {
  return {.caller = {.first = flow.opening_sequence,
                     .latest = flow.acknowledged_by_target},
          .target = {.first = flow.accepted_sequence,
                     .latest = flow.sent_sequence}};
}

auto IsAcknowledgedBy(const TargetFlow& flow, const MessageNumbers& message)
    -> bool {
  return message.target.has_value() &&
         *message.target - *flow.unacknowledged_sequence <= kMaxSequenceLead;
}

}  // namespace

auto MatchCallerMessage(const TargetFlow& flow, const MessageNumbers& message)
    -> FlowMatch {
  if (flow.unacknowledged_sequence.has_value() && message.target.has_value() &&
      !IsAcknowledgedBy(flow, message)) {
    return FlowMatch::kOther;
  }
  return MatchFlow(DescribeNumbers(flow), message);
}

auto MatchTargetPacket(const TargetFlow& flow, const FlowPacket& packet)
    -> FlowMatch {
  return MatchFlow(DescribeNumbers(flow), ReadTargetNumbers(packet));
}

auto IsOpenedAtAnotherTarget(const TargetFlow& flow,
                             const MessageNumbers& message) -> bool {
  return flow.unacknowledged_sequence.has_value() &&
         message.target.has_value() && !IsAcknowledgedBy(flow, message) &&
         message.caller.has_value() &&
         IsInRange(DescribeNumbers(flow).caller, *message.caller);
}

auto RecordAcknowledgedAcceptance(TargetFlow& flow,
                                  const MessageNumbers& message) -> void {
  if (message.target.has_value()) {
    flow.unacknowledged_sequence.reset();
  }
}

}  // namespace hawthornbank::detail
