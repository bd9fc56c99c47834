#include <utility>

#include "coordination/target_flows_internal.h"

namespace hawthornbank::detail {

auto RecordAnswerToLaterOpening(TargetFlows& target,
                                const FlowKey& key,
                                const FlowPacket& answer,
                                TimePoint now,
                                std::vector<TargetAction>& out) -> bool {
  const auto known = target.flows.find(key);
  if (known == target.flows.end() || !IsFlowOpen(known->second)) {
    return false;
  }
  const auto opening = target.openings.find(key);
  const bool has_opening = opening != target.openings.end();
  const auto& known_sequence = known->second.accepted_sequence;
  if (known_sequence == answer.sequence) {
    target.openings.erase(key);  // A repeated answer of the open flow.
    return false;
  }
  if (!known_sequence.has_value() && !has_opening &&
      MatchTargetPacket(known->second, answer) != FlowMatch::kOther) {
    return false;  // May be a repeated answer of the open flow.
  }
  ReopenedFlow& flow = target.reopened[key];
  flow = ReopenedFlow{.header = {.origin = known->second.last_balancer},
                      .accepted_sequence = answer.sequence,
                      .accepted_at = now};
  if (has_opening) {
    flow.header = std::move(opening->second.header);
    flow.opening_sequence = opening->second.sequence;
    target.openings.erase(opening);
  }
  AppendReplyAction(key, flow.header.origin, FlowOwnership::kHeld, out);
  AppendAnswerAction(target, key, out);
  return true;
}

auto ReplaceFlowIfReopened(TargetFlows& target,
                           const FlowKey& key,
                           bool has_acknowledgement,
                           std::uint32_t acknowledgement,
                           TimePoint now) -> void {
  if (!has_acknowledgement || target.reopened.empty()) {
    return;
  }
  const auto reopened = target.reopened.find(key);
  if (reopened == target.reopened.end() ||
      acknowledgement - reopened->second.accepted_sequence > kMaxSequenceLead) {
    return;
  }
  const ReopenedFlow flow = std::move(reopened->second);
  target.reopened.erase(reopened);
  EraseFlow(target, key);
  RecordOpenedFlow(target, flow.header, key, flow.opening_sequence, now);
  TargetFlow& opened = target.flows[key];
  opened.is_accepted = true;
  opened.accepted_at = flow.accepted_at;
  opened.accepted_sequence = opened.sent_sequence = flow.accepted_sequence;
}

}  // namespace hawthornbank::detail
