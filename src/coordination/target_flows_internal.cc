#include "coordination/target_flows_internal.h"

#include <utility>

namespace hawthornbank::detail {
namespace {

using Kind = TargetAction::Kind;

}  // namespace

auto AppendCountedAction(TargetFlows& target,
                         TargetAction action,
                         std::vector<TargetAction>& out) -> void {
  ++target.counts[static_cast<std::size_t>(action.reason)];
  out.push_back(std::move(action));
}

auto AppendAnswerAction(TargetFlows& target,
                        const FlowKey& flow,
                        std::vector<TargetAction>& out) -> void {
  AppendCountedAction(target,
                      TargetAction{.kind = Kind::kToCaller,
                                   .reason = TargetReason::kAnswered,
                                   .flow = flow},
                      out);
}

auto AppendReturnAction(TargetFlows& target,
                        const FlowKey& flow,
                        RelayHeader header,
                        TargetReason reason,
                        std::vector<TargetAction>& out) -> void {
  header.is_returned = true;
  header.is_at_warmup_limit = reason == TargetReason::kWarmup;
  header.returned_by.push_back(target.options.self.address);
  const Endpoint origin = header.origin;
  AppendCountedAction(target,
                      TargetAction{.kind = Kind::kReturnToBalancer,
                                   .reason = reason,
                                   .flow = flow,
                                   .to = origin,
                                   .header = std::move(header)},
                      out);
}

auto AppendReplyAction(const FlowKey& flow,
                       Endpoint balancer,
                       FlowOwnership ownership,
                       std::vector<TargetAction>& out) -> void {
  if (balancer.port == 0) {
    return;
  }
  out.push_back(TargetAction{.kind = Kind::kReplyToBalancer,
                             .reason = TargetReason::kAnswered,
                             .flow = flow,
                             .to = balancer,
                             .ownership = ownership});
}

auto OccupySlotForFlow(TargetFlows& target, TargetFlow& flow, TimePoint now)
    -> void {
  if (!flow.occupies_slot) {
    flow.occupies_slot = true;
    flow.running_since = now;
    ++target.running;
  }
}

// Stores a packet's relay header in case the target returns the packet.
// Returns the id that the target copies into the returned packet.
auto StoreReturnableHeader(TargetFlows& target, const RelayHeader& header)
    -> std::uint32_t {
  while (target.next_return_id == 0) {
    target.next_return_id = target.random();
  }
  const std::uint32_t return_id = target.next_return_id++;
  target.returnable_packets.at(return_id % kReturnablePackets) =
      ReturnablePacket{.return_id = return_id, .header = header};
  return return_id;
}

auto AppendDeliverAction(TargetFlows& target,
                         const FlowKey& flow,
                         TargetReason reason,
                         std::uint32_t return_id,
                         std::vector<TargetAction>& out) -> void {
  AppendCountedAction(target,
                      TargetAction{.kind = Kind::kDeliver,
                                   .reason = reason,
                                   .flow = flow,
                                   .return_id = return_id},
                      out);
}

auto RecordFailedRequest(TargetFlows& target,
                         const TargetFlow& flow,
                         TimePoint now) -> void {
  if (flow.has_unanswered_request) {
    RecordRequestFailure(target.health, now);
  }
}

auto StopExpectingRequest(TargetFlows& target, TargetFlow& flow) -> void {
  if (flow.is_request_expected) {
    flow.is_request_expected = false;
    --target.expected_requests;
  }
}

auto ReleaseSlotOfFlow(TargetFlows& target, TargetFlow& flow) -> void {
  StopExpectingRequest(target, flow);
  flow.has_unanswered_request = false;
  EndRequest(target.order, flow.request_id);
  flow.request_id = 0;
  if (flow.occupies_slot) {
    flow.occupies_slot = false;
    --target.running;
  }
}

auto EraseFlow(TargetFlows& target, const FlowKey& key) -> void {
  const auto it = target.flows.find(key);
  if (it != target.flows.end()) {
    ReleaseSlotOfFlow(target, it->second);
    target.flows.erase(it);
  }
}

auto HandOverWaitingRequests(TargetFlows& target,
                             TimePoint now,
                             std::vector<TargetAction>& out) -> void {
  if (target.order.waiting.empty()) {
    return;
  }
  for (HandedOverRequest& it :
       TakeRequestsToHandOver(target.order, target.status.slots, now)) {
    for (WaitingPacket& packet : it.request.packets) {
      AppendDeliverAction(target, it.request.flow, TargetReason::kHandedOver,
                          StoreReturnableHeader(target, packet.header), out);
      out.back().opening = std::move(packet.bytes);
      out.back().hand_over_reason = it.reason;
      out.back().waited = now - it.request.arrived_at;
    }
  }
}

}  // namespace hawthornbank::detail
