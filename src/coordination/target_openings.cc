#include "coordination/target_flows_internal.h"

namespace hawthornbank::detail {
namespace {

using Kind = TargetAction::Kind;

// Whether an opening packet may be returned so that another target gets it.
auto MayRefuseOpening(const TargetFlows& target, const RelayHeader& header)
    -> bool {
  return !header.is_last_candidate &&
         header.returned_by.size() < target.options.max_refusals;
}

auto MustRefuseOpeningForLoad(const TargetFlows& target,
                              const RelayHeader& header) -> bool {
  return MayRefuseOpening(target, header) &&
         target.running >=
             target.status.slots * target.options.max_running_per_slot;
}

// Returns whether an opening packet is refused because the target fails its
// requests. A failing target still gets probes at intervals, whose start is
// recorded here, and opening packets that the agent may not refuse.
auto CheckIfFailingTargetRefusesOpening(TargetFlows& target,
                                        const RelayHeader& header,
                                        TimePoint now) -> bool {
  if (!IsTargetDown(target.health) || !MayRefuseOpening(target, header)) {
    return false;
  }
  if (ComputeAllowedSlots(target.health, now) == 0) {
    return true;
  }
  RecordRequestStart(target.health, now, target.random);
  return false;
}

// Returns whether an opening packet exceeds the limit of the target's warm-up.
// No balancer may override it. A copy of an opening that the target hasn't
// answered yet was counted before.
auto ExceedsWarmupLimit(const TargetFlows& target,
                        const FlowKey& flow,
                        TimePoint now) -> bool {
  return !target.openings.contains(flow) &&
         CountWarmupOpeningsLeft(target.warmup, target.knows_all_flows, now) ==
             0;
}

// Whether no target can have accepted the opening: each one that was offered it
// has returned it.
auto MayRejectOpening(const TargetFlows& target,
                      const RelayHeader& header,
                      const FlowKey& flow,
                      std::uint32_t sequence) -> bool {
  const auto known = target.flows.find(flow);
  return !header.may_be_accepted && (known == target.flows.end() ||
                                     HasOtherOpening(known->second, sequence));
}

// Forgets what is left of an earlier opening of the port. An earlier flow that
// is open is kept until the target answers the opening, which may be a late
// copy of an opening that came before the flow's.
auto EraseEarlierOpening(TargetFlows& target,
                         const FlowKey& flow,
                         std::uint32_t sequence) -> void {
  const auto known = target.flows.find(flow);
  if (known != target.flows.end() && !IsFlowOpen(known->second) &&
      HasOtherOpening(known->second, sequence)) {
    EraseFlow(target, flow);
  }
  const auto opening = target.openings.find(flow);
  if (opening != target.openings.end() &&
      opening->second.sequence != sequence) {
    target.openings.erase(opening);
  }
}

}  // namespace

auto HasOtherOpening(const TargetFlow& flow, std::uint32_t sequence) -> bool {
  return flow.opening_sequence.value_or(sequence) != sequence;
}

auto IsFlowOpen(const TargetFlow& flow) -> bool {
  return flow.is_accepted && flow.closed_at == TimePoint{};
}

auto RecordOpenedFlow(TargetFlows& target,
                      const RelayHeader& header,
                      const FlowKey& flow,
                      std::optional<std::uint32_t> sequence,
                      TimePoint now) -> void {
  if (target.flows.size() >= target.options.max_flows) {
    target.has_untracked_flows = true;
    return;
  }
  TargetFlow& added = target.flows[flow];
  added.last_balancer = header.origin;
  added.target_started_at_ms = target.status.started_at_ms;
  added.last_packet_at = now;
  added.opening_sequence = sequence;
  added.opening_counted_at = now;
  added.terms = header.terms;
  OccupySlotForFlow(target, added, now);
  if (!added.is_request_expected) {
    added.is_request_expected = true;
    ++target.expected_requests;
  }
  target.delivered_openings.push_back({.flow = flow, .delivered_at = now});
}

auto OnOpeningPacket(TargetFlows& target,
                     const RelayHeader& header,
                     const FlowKey& flow,
                     std::uint32_t sequence,
                     std::span<const std::uint8_t> bytes,
                     TimePoint now,
                     std::vector<TargetAction>& out) -> void {
  EraseEarlierOpening(target, flow, sequence);
  const auto known = target.flows.find(flow);
  if (now >= target.silent_from) {
    AppendReturnAction(target, flow, header, TargetReason::kNotHeard, out);
    out.back().header.may_be_accepted |= known != target.flows.end();
    return;
  }
  if (known != target.flows.end() && known->second.is_accepted &&
      known->second.opening_sequence == sequence) {
    known->second.last_balancer = header.origin;
    AppendDeliverAction(target, flow, TargetReason::kDelivered,
                        StoreReturnableHeader(target, header), out);
    AppendReplyAction(flow, header.origin, FlowOwnership::kHeld, out);
    return;
  }
  // The service decides only where a flow opens: the balancer of an open flow
  // may know another service for the flow's route.
  if (header.service != target.options.service) {
    AppendReturnAction(target, flow, header, TargetReason::kWrongService, out);
    return;
  }
  if (target.is_zone_out_of_service) {
    AppendReturnAction(target, flow, header, TargetReason::kZoneOut, out);
    out.back().header.is_zone_out_of_service = true;
    return;
  }
  if (target.status.state != TargetState::kReady || target.is_shutting_down) {
    AppendReturnAction(target, flow, header, TargetReason::kNotReady, out);
    return;
  }
  if (now < target.unresponsive_until) {
    AppendReturnAction(target, flow, header, TargetReason::kSilent, out);
    return;
  }
  if (ExceedsWarmupLimit(target, flow, now)) {
    AppendReturnAction(target, flow, header, TargetReason::kWarmup, out);
    return;
  }
  if (CheckIfFailingTargetRefusesOpening(target, header, now)) {
    AppendReturnAction(target, flow, header, TargetReason::kFailing, out);
    return;
  }
  if (MustRefuseOpeningForLoad(target, header)) {
    AppendReturnAction(target, flow, header, TargetReason::kFull, out);
    return;
  }
  RecordPriority(target.order, header.terms);
  if (MayRejectOpening(target, header, flow, sequence) &&
      MustRejectOpening(target.order, target.status.slots, header.terms,
                        target.expected_requests)) {
    AppendCountedAction(
        target,
        TargetAction{
            .kind = Kind::kReset, .reason = TargetReason::kFull, .flow = flow},
        out);
    // Without a reply the balancer would offer the opening to another target.
    AppendReplyAction(flow, header.origin, FlowOwnership::kRejected, out);
    return;
  }
  if (!target.openings.contains(flow)) {
    CountWarmupRequest(target.warmup, now);
  }
  if (known == target.flows.end() || !IsFlowOpen(known->second)) {
    if (known != target.flows.end() &&
        known->second.opening_sequence != sequence) {
      EraseFlow(target, flow);
    }
    RecordOpenedFlow(target, header, flow, sequence, now);
  }
  target.openings[flow] =
      UnansweredOpening{.packet = {bytes.begin(), bytes.end()},
                        .sequence = sequence,
                        .header = header,
                        .delivered_at = now};
  AppendDeliverAction(target, flow, TargetReason::kOpened,
                      StoreReturnableHeader(target, header), out);
}

}  // namespace hawthornbank::detail
