#include "hawthornbank/target_flows.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/target_flows_internal.h"

namespace hawthornbank {
namespace {

using detail::AppendAnswerAction;
using detail::AppendCountedAction;
using detail::AppendDeliverAction;
using detail::AppendReplyAction;
using detail::AppendReturnAction;
using detail::EraseFlow;
using detail::HandOverWaitingRequests;
using detail::MatchCallerMessage;
using detail::OccupySlotForFlow;
using detail::RecordFailedRequest;
using detail::ReleaseSlotOfFlow;
using detail::StopExpectingRequest;
using detail::StoreReturnableHeader;
using Kind = TargetAction::Kind;

constexpr std::array<std::string_view, kTargetReasonCount> kReasonNames = {
    "delivered",     "opened",      "offered",   "answered",
    "wrong_service", "not_ready",   "full",      "failing",
    "not_here",      "returned",    "silent",    "target_restarted",
    "target_gone",   "malformed",   "zone_out",  "warmup",
    "waiting",       "handed_over", "not_heard", "other_flow",
};
static_assert(!kReasonNames.back().empty());

// Records an answered request as a success. A slow answer is a success too,
// because lost packets may have delayed the answer.
auto RecordAnsweredRequest(TargetFlows& target,
                           const TargetFlow& flow,
                           TimePoint now) -> void {
  RecordRequestAnswered(target.order, target.status.slots, flow.request_id,
                        now);
  if (flow.has_unanswered_request) {
    RecordRequestAnswer(
        target.health,
        std::min(now - flow.running_since, ComputeStallTimeout(target.health)),
        now);
  }
}

// Compares sequence numbers, which wrap around.
auto IsSequenceAfter(std::uint32_t a, std::uint32_t b) -> bool {
  return static_cast<std::int32_t>(a - b) > 0;
}

// Returns whether a caller's packet carries data that the target hasn't
// received yet. A repeated packet can arrive after the answer to its request.
auto CarriesNewData(const TargetFlow& flow, const FlowPacket& packet) -> bool {
  return packet.data_bytes > 0 &&
         (!flow.acknowledged_by_target.has_value() ||
          IsSequenceAfter(packet.sequence + packet.data_bytes,
                          *flow.acknowledged_by_target));
}

// Records the end of a flow that both sides have ended, and of a request that
// was left without an answer.
auto CloseFlowIfEnded(TargetFlows& target, TargetFlow& flow, TimePoint now)
    -> void {
  if (!flow.caller_ended || !flow.target_ended ||
      flow.closed_at != TimePoint{}) {
    return;
  }
  flow.closed_at = now;
  RecordFailedRequest(target, flow, now);
  ReleaseSlotOfFlow(target, flow);
}

// Records a caller's packet. Its end or reset counts only if the packet is
// certainly of the flow: a flow that is taken for ended is forgotten.
auto RecordCallerPacket(TargetFlows& target,
                        TargetFlow& flow,
                        const FlowPacket& packet,
                        FlowMatch match,
                        TimePoint now) -> void {
  flow.last_packet_at = now;
  if (packet.has_acknowledgement) {
    flow.acknowledgement = packet.acknowledgement;
  }
  if (flow.closed_at == TimePoint{} && CarriesNewData(flow, packet)) {
    OccupySlotForFlow(target, flow, now);
    StopExpectingRequest(target, flow);
    if (!flow.has_unanswered_request) {
      CountWarmupFlowRequest(target.warmup, flow.opening_counted_at, now);
    }
    flow.has_unanswered_request = true;
  }
  if (match != FlowMatch::kSame) {
    return;
  }
  if (packet.is_finish) {
    flow.caller_ended = true;
  }
  if (packet.is_reset) {
    if (ExceedsStallTimeout(target.health, now - flow.running_since)) {
      // The caller gave up after waiting longer than the stall timeout.
      RecordFailedRequest(target, flow, now);
    }
    flow.caller_ended = flow.target_ended = true;
    ReleaseSlotOfFlow(target, flow);
  }
  CloseFlowIfEnded(target, flow, now);
}

// Delivers a packet of a known flow, unless the packet's request waits for a
// place at the target.
auto DeliverOrKeepPacket(TargetFlows& target,
                         TargetFlow& flow,
                         const RelayHeader& header,
                         const FlowPacket& packet,
                         std::span<const std::uint8_t> bytes,
                         TimePoint now,
                         std::vector<TargetAction>& out) -> void {
  const FlowKey key = ExtractCallerFlowKey(packet);
  if (header.terms.has_value()) {
    flow.terms = header.terms;
  }
  const bool begins_request =
      flow.has_unanswered_request && flow.request_id == 0;
  if (begins_request) {
    flow.request_id = BeginRequest(target.order, target.status.slots, key,
                                   flow.terms, bytes.size(), now);
  }
  if (IsWaiting(target.order, flow.request_id)) {
    AppendToWaitingRequest(target.order, flow.request_id,
                           WaitingPacket{.bytes = {bytes.begin(), bytes.end()},
                                         .header = header,
                                         .sequence = packet.sequence,
                                         .data_bytes = packet.data_bytes});
    AppendCountedAction(
        target,
        TargetAction{
            .kind = Kind::kKeep, .reason = TargetReason::kWaiting, .flow = key},
        out);
    return;
  }
  AppendDeliverAction(target, key, TargetReason::kDelivered,
                      StoreReturnableHeader(target, header), out);
}

// Whether a flow that isn't recorded isn't held by the target either.
auto DeniesUnknownFlows(const TargetFlows& target) -> bool {
  return target.knows_all_flows && !target.has_untracked_flows;
}

// Offers a packet of a flow that isn't recorded to the target, which returns it
// if it doesn't hold the flow.
auto OfferPacket(TargetFlows& target,
                 const FlowKey& flow,
                 const RelayHeader& header,
                 const FlowPacket& packet,
                 TimePoint now,
                 std::vector<TargetAction>& out) -> void {
  if (packet.data_bytes > 0) {
    CountWarmupRequest(target.warmup, now);
  }
  AppendDeliverAction(target, flow, TargetReason::kOffered,
                      StoreReturnableHeader(target, header), out);
}

auto OnPacketOfUnknownFlow(TargetFlows& target,
                           const FlowKey& flow,
                           const RelayHeader& header,
                           const FlowPacket& packet,
                           TimePoint now,
                           std::vector<TargetAction>& out) -> void {
  if (DeniesUnknownFlows(target)) {
    AppendReturnAction(target, flow, header, TargetReason::kNotHere, out);
    return;
  }
  if (target.flows.size() < target.options.max_flows) {
    // The flow counts as accepted when the target's first packet arrives.
    target.flows[flow] =
        TargetFlow{.last_balancer = header.origin,
                   .target_started_at_ms = target.status.started_at_ms,
                   .last_packet_at = now};
  }
  OfferPacket(target, flow, header, packet, now, out);
}

// Handles a packet of another flow than the one that is recorded for its port.
// The recorded flow may be open: it is forgotten only if the caller has opened
// it at another target.
auto OnPacketOfOtherFlow(TargetFlows& target,
                         const FlowKey& flow,
                         const RelayHeader& header,
                         const FlowPacket& packet,
                         TimePoint now,
                         std::vector<TargetAction>& out) -> void {
  if (detail::IsOpenedAtAnotherTarget(target.flows.at(flow),
                                      ReadCallerNumbers(packet))) {
    EraseFlow(target, flow);
    AppendReturnAction(target, flow, header, TargetReason::kNotHere, out);
  } else if (DeniesUnknownFlows(target)) {
    AppendReturnAction(target, flow, header, TargetReason::kOtherFlow, out);
  } else {
    OfferPacket(target, flow, header, packet, now, out);
  }
}

}  // namespace

auto ToString(TargetReason reason) -> std::string_view {
  return kReasonNames[static_cast<std::size_t>(reason)];
}

auto OnRelayedPacket(TargetFlows& target,
                     const RelayHeader& header,
                     const FlowPacket& packet,
                     std::span<const std::uint8_t> bytes,
                     TimePoint now,
                     std::vector<TargetAction>& out) -> void {
  const FlowKey flow = ExtractCallerFlowKey(packet);
  if (header.terms.has_value() && header.service == target.options.service) {
    SetWarmupLimit(target.warmup, header.terms->warmup_limit);
  }
  if (packet.is_opening) {
    detail::OnOpeningPacket(target, header, flow, packet.sequence, bytes, now,
                            out);
    return;
  }
  detail::ReplaceFlowIfReopened(target, flow, packet.has_acknowledgement,
                                packet.acknowledgement, now);
  const auto known = target.flows.find(flow);
  if (known == target.flows.end()) {
    OnPacketOfUnknownFlow(target, flow, header, packet, now, out);
    return;
  }
  const MessageNumbers numbers = ReadCallerNumbers(packet);
  const FlowMatch match = MatchCallerMessage(known->second, numbers);
  if (match == FlowMatch::kOther) {
    OnPacketOfOtherFlow(target, flow, header, packet, now, out);
    return;
  }
  detail::RecordAcknowledgedAcceptance(known->second, numbers);
  RecordCallerPacket(target, known->second, packet, match, now);
  DeliverOrKeepPacket(target, known->second, header, packet, bytes, now, out);
  const bool must_reply =
      header.wants_flow_reply || known->second.last_balancer != header.origin;
  known->second.last_balancer = header.origin;
  if (known->second.is_accepted && must_reply) {
    AppendReplyAction(flow, header.origin, FlowOwnership::kHeld, out);
  }
  HandOverWaitingRequests(target, now, out);
}

auto OnFlowQuery(TargetFlows& target,
                 const FlowQuery& query,
                 TimePoint now,
                 std::vector<TargetAction>& out) -> void {
  detail::ReplaceFlowIfReopened(target, query.flow, query.has_acknowledgement,
                                query.acknowledgement, now);
  const auto known = target.flows.find(query.flow);
  const MessageNumbers numbers{
      .target = query.has_acknowledgement ? std::optional(query.acknowledgement)
                                          : std::nullopt};
  auto ownership = FlowOwnership::kUnsure;
  if (known == target.flows.end() ||
      MatchCallerMessage(known->second, numbers) == FlowMatch::kOther) {
    if (DeniesUnknownFlows(target)) {
      ownership = FlowOwnership::kNotHeld;
    }
  } else if (known->second.is_accepted) {
    detail::RecordAcknowledgedAcceptance(known->second, numbers);
    known->second.last_balancer = query.origin;
    ownership = FlowOwnership::kHeld;
  }
  AppendReplyAction(query.flow, query.origin, ownership, out);
}

auto OnTargetPacket(TargetFlows& target,
                    const FlowPacket& packet,
                    TimePoint now,
                    std::vector<TargetAction>& out) -> void {
  target.unresponsive_until = {};
  target.last_target_packet_at = now;
  if (packet.is_returned) {
    detail::OnPacketReturnedByTarget(target, packet, now, out);
    return;
  }
  const FlowKey key = ExtractTargetFlowKey(packet);
  if (packet.is_opening &&
      detail::RecordAnswerToLaterOpening(target, key, packet, now, out)) {
    return;
  }
  const auto known = target.flows.find(key);
  if (known != target.flows.end() &&
      detail::MatchTargetPacket(known->second, packet) == FlowMatch::kOther) {
    if (!packet.is_opening || known->second.is_accepted) {
      AppendAnswerAction(target, key, out);
      return;
    }
    // The recorded opening is another one of the port, such as a late copy.
    known->second.opening_sequence = packet.acknowledgement - 1;
  }
  TargetFlow& flow = target.flows[key];
  flow.last_packet_at = now;
  if (flow.target_started_at_ms == 0) {
    flow.target_started_at_ms = target.status.started_at_ms;
  }
  if (!flow.is_accepted) {
    flow.is_accepted = true;
    flow.accepted_at = now;
    if (packet.is_opening) {
      flow.unacknowledged_sequence = flow.accepted_sequence = packet.sequence;
    }
    target.openings.erase(key);
    AppendReplyAction(key, flow.last_balancer, FlowOwnership::kHeld, out);
  }
  const std::uint32_t sent_until = packet.sequence + packet.data_bytes;
  if (!packet.is_reset &&
      (!flow.sent_sequence.has_value() ||
       (!packet.is_opening &&
        IsSequenceAfter(sent_until, *flow.sent_sequence)))) {
    flow.sent_sequence = sent_until;
  }
  if (packet.has_acknowledgement &&
      (!flow.acknowledged_by_target.has_value() ||
       IsSequenceAfter(packet.acknowledgement, *flow.acknowledged_by_target))) {
    flow.acknowledged_by_target = packet.acknowledgement;
  }
  if (packet.data_bytes > 0) {
    RecordAnsweredRequest(target, flow, now);
    ReleaseSlotOfFlow(target, flow);
  }
  if (packet.is_finish) {
    flow.target_ended = true;
  }
  if (packet.is_reset) {
    RecordFailedRequest(target, flow, now);
    RecordRequestReset(target.order, target.status.slots, flow.request_id);
    flow.caller_ended = flow.target_ended = true;
    ReleaseSlotOfFlow(target, flow);
  }
  CloseFlowIfEnded(target, flow, now);
  AppendAnswerAction(target, key, out);
  HandOverWaitingRequests(target, now, out);
}

auto ComputeTargetLoad(const TargetFlows& target, TimePoint now) -> TargetLoad {
  constexpr double kSixteenthsPerUnit = 16;
  constexpr std::size_t kMaxReportedFlows = 0xFFFF;
  return TargetLoad{.running = target.running,
                    .flows = static_cast<std::uint16_t>(
                        std::min(target.flows.size(), kMaxReportedFlows)),
                    .mean_in_flight_x16 = static_cast<std::uint16_t>(
                        target.average_running * kSixteenthsPerUnit),
                    .failing = IsTargetDown(target.health),
                    .openings_left = CountWarmupOpeningsLeft(
                        target.warmup, target.knows_all_flows, now)};
}

}  // namespace hawthornbank
