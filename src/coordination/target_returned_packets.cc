#include "coordination/target_flows_internal.h"

namespace hawthornbank::detail {
namespace {

// Forgets an opening that the target has returned, or whose flow's packet the
// target has returned.
auto EraseUnansweredOpening(TargetFlows& target,
                            const FlowKey& key,
                            const FlowPacket& packet) -> void {
  const auto opening = target.openings.find(key);
  if (opening != target.openings.end() &&
      (!packet.is_opening || opening->second.sequence == packet.sequence)) {
    target.openings.erase(opening);
  }
}

// Returns whether a packet that the target has returned shows that the target
// doesn't hold the flow that is recorded for the packet's port.
auto IsReturnOfFlow(const TargetFlow& flow, const FlowPacket& packet) -> bool {
  if (packet.is_opening) {
    return flow.opening_sequence == packet.sequence;
  }
  const FlowMatch match = MatchCallerMessage(flow, ReadCallerNumbers(packet));
  return match == FlowMatch::kSame ||
         (match == FlowMatch::kUnknown && !flow.is_accepted);
}

}  // namespace

auto OnPacketReturnedByTarget(TargetFlows& target,
                              const FlowPacket& packet,
                              TimePoint now,
                              std::vector<TargetAction>& out) -> void {
  const FlowKey key = ExtractCallerFlowKey(packet);
  const auto known = target.flows.find(key);
  const bool is_known = known != target.flows.end();
  const bool is_of_flow = is_known && IsReturnOfFlow(known->second, packet);
  if (is_of_flow && known->second.is_accepted) {
    SuspectTargetRestart(target.warmup, now);
  }
  const ReturnablePacket& stored =
      target.returnable_packets.at(packet.return_id % kReturnablePackets);
  if (stored.return_id != packet.return_id || packet.return_id == 0) {
    AppendCountedAction(target,
                        TargetAction{.kind = TargetAction::Kind::kDrop,
                                     .reason = TargetReason::kReturned,
                                     .flow = key},
                        out);
    return;
  }
  if (packet.is_opening || is_of_flow || !is_known) {
    EraseUnansweredOpening(target, key, packet);
  }
  if (is_of_flow) {
    EraseFlow(target, key);
  }
  AppendReturnAction(target, key, stored.header, TargetReason::kReturned, out);
}

}  // namespace hawthornbank::detail
