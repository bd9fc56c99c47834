#include "hawthornbank/target_flows.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/target_flows_internal.h"

namespace hawthornbank {
namespace {

using detail::AppendCountedAction;
using detail::AppendDeliverAction;
using detail::AppendReplyAction;
using detail::AppendReturnAction;
using detail::EraseFlow;
using detail::HandOverWaitingRequests;
using detail::OccupySlotForFlow;
using detail::RecordFailedRequest;
using detail::ReleaseSlotOfFlow;
using detail::StopExpectingRequest;
using detail::StoreReturnableHeader;
using Kind = TargetAction::Kind;

using detail::kMaxAcknowledgementLead;

// Maximum number of bytes that a target can have sent on a flow after a packet
// that is acknowledged by a late packet of the caller.
constexpr std::int32_t kMaxAcknowledgementLag = 1 << 24;

constexpr std::array<std::string_view, kTargetReasonCount> kReasonNames = {
    "delivered",     "opened",      "offered",   "answered",
    "wrong_service", "not_ready",   "full",      "failing",
    "not_here",      "returned",    "silent",    "target_restarted",
    "target_gone",   "malformed",   "zone_out",  "warmup",
    "waiting",       "handed_over", "not_heard",
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

auto OnPacketReturnedByTarget(TargetFlows& target,
                              const FlowPacket& packet,
                              TimePoint now,
                              std::vector<TargetAction>& out) -> void {
  const FlowKey key = ExtractCallerFlowKey(packet);
  const auto known = target.flows.find(key);
  const bool is_of_other_flow =
      packet.is_opening && known != target.flows.end() &&
      known->second.opening_sequence != packet.sequence;
  if (known != target.flows.end() && known->second.is_accepted &&
      !is_of_other_flow) {
    SuspectTargetRestart(target.warmup, now);
  }
  const ReturnablePacket& stored =
      target.returnable_packets.at(packet.return_id % kReturnablePackets);
  if (stored.return_id != packet.return_id || packet.return_id == 0) {
    AppendCountedAction(target,
                        TargetAction{.kind = Kind::kDrop,
                                     .reason = TargetReason::kReturned,
                                     .flow = key},
                        out);
    return;
  }
  EraseUnansweredOpening(target, key, packet);
  if (!is_of_other_flow) {
    EraseFlow(target, key);
  }
  AppendReturnAction(target, key, stored.header, TargetReason::kReturned, out);
}

// Returns whether an acknowledgement number is one of the flow at this target.
// A packet may be late, so it can be far behind what the target has sent.
auto IsAcknowledgementPlausible(const TargetFlow& flow,
                                std::uint32_t acknowledgement) -> bool {
  if (!flow.sent_sequence.has_value()) {
    return true;
  }
  const auto lead =
      static_cast<std::int32_t>(acknowledgement - *flow.sent_sequence);
  return lead <= static_cast<std::int32_t>(kMaxAcknowledgementLead) &&
         lead >= -kMaxAcknowledgementLag;
}

// Returns whether the caller's acknowledgement number shows that the caller
// opened the flow at another target. Two targets may accept the same opening
// packet, or one the opening of a flow and the other that of a later flow of
// the same port. The first number after the opening is checked against the
// number of the target's acceptance.
auto CheckIfOpenedAtAnotherTarget(TargetFlow& flow,
                                  bool has_acknowledgement,
                                  std::uint32_t acknowledgement) -> bool {
  if (!has_acknowledgement) {
    return false;
  }
  if (!flow.unacknowledged_sequence.has_value()) {
    return flow.is_accepted &&
           !IsAcknowledgementPlausible(flow, acknowledgement);
  }
  if (acknowledgement - *flow.unacknowledged_sequence >
      kMaxAcknowledgementLead) {
    return true;
  }
  flow.unacknowledged_sequence.reset();
  return false;
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

auto RecordCallerPacket(TargetFlows& target,
                        TargetFlow& flow,
                        const FlowPacket& packet,
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
    if (target.knows_all_flows && !target.has_untracked_flows) {
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
    if (packet.data_bytes > 0) {
      CountWarmupRequest(target.warmup, now);
    }
    AppendDeliverAction(target, flow, TargetReason::kOffered,
                        StoreReturnableHeader(target, header), out);
    return;
  }
  if (CheckIfOpenedAtAnotherTarget(known->second, packet.has_acknowledgement,
                                   packet.acknowledgement)) {
    EraseFlow(target, flow);
    AppendReturnAction(target, flow, header, TargetReason::kNotHere, out);
    return;
  }
  RecordCallerPacket(target, known->second, packet, now);
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
  auto ownership = FlowOwnership::kUnsure;
  if (known == target.flows.end()) {
    if (target.knows_all_flows && !target.has_untracked_flows) {
      ownership = FlowOwnership::kNotHeld;
    }
  } else if (CheckIfOpenedAtAnotherTarget(known->second,
                                          query.has_acknowledgement,
                                          query.acknowledgement)) {
    EraseFlow(target, query.flow);
    ownership = FlowOwnership::kNotHeld;
  } else if (known->second.is_accepted) {
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
    OnPacketReturnedByTarget(target, packet, now, out);
    return;
  }
  const FlowKey key = ExtractTargetFlowKey(packet);
  if (packet.is_opening && detail::RecordAnswerToLaterOpening(
                               target, key, packet.sequence, now, out)) {
    return;
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
  AppendCountedAction(target,
                      TargetAction{.kind = Kind::kToCaller,
                                   .reason = TargetReason::kAnswered,
                                   .flow = key},
                      out);
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
