#include "hawthornbank/target_flows.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornbank {
namespace {

using Kind = TargetAction::Kind;

// Time constant of the averaged load: long enough for a feed's pauses.
constexpr std::chrono::duration<double> kAverageTime{1.5};
// Bytes that a target may have sent before the caller's first packet arrives.
constexpr std::uint32_t kSequenceWindow = 76'800;
// Openings go elsewhere for as long after one was left unanswered.
constexpr Duration kSilentTime = std::chrono::milliseconds{400};

constexpr std::array<std::string_view, kTargetReasonCount> kReasonNames = {
    "delivered",     "opened",    "offered", "answered",
    "wrong_service", "not_ready", "full",    "failing",
    "not_here",      "returned",  "silent",  "target_restarted",
    "target_gone",   "malformed",
};
static_assert(!kReasonNames.back().empty());

auto AddAction(TargetFlows& target,
               TargetAction action,
               std::vector<TargetAction>& out) -> void {
  ++target.counts[static_cast<std::size_t>(action.reason)];
  out.push_back(std::move(action));
}

auto SendBack(TargetFlows& target,
              const FlowKey& flow,
              RelayHeader header,
              TargetReason reason,
              std::vector<TargetAction>& out) -> void {
  header.sent_back = true;
  header.asked.push_back(target.options.self.address);
  const Endpoint origin = header.origin;
  AddAction(target,
            TargetAction{.kind = Kind::kSendBack,
                         .reason = reason,
                         .flow = flow,
                         .to = origin,
                         .header = std::move(header)},
            out);
}

auto AddNote(const FlowKey& flow,
             Endpoint balancer,
             FlowHolding holding,
             std::vector<TargetAction>& out) -> void {
  if (balancer.port == 0) {
    return;
  }
  out.push_back(TargetAction{.kind = Kind::kNote,
                             .reason = TargetReason::kAnswered,
                             .flow = flow,
                             .to = balancer,
                             .holding = holding});
}

auto StartRun(TargetFlows& target, TargetFlow& flow, TimePoint now) -> void {
  if (!flow.running) {
    flow.running = true;
    flow.running_since = now;
    ++target.running;
  }
}

// A request has had an answer. One that took long counts as well: packets may
// have been lost on the way.
auto NoteAnswer(TargetFlows& target, const TargetFlow& flow, TimePoint now)
    -> void {
  if (flow.requested) {
    RecordSuccess(target.health,
                  std::min(now - flow.running_since, StallTime(target.health)),
                  now);
  }
}

auto NoteFailure(TargetFlows& target, const TargetFlow& flow, TimePoint now)
    -> void {
  if (flow.requested) {
    RecordFailure(target.health, now);
  }
}

auto EndRun(TargetFlows& target, TargetFlow& flow) -> void {
  flow.requested = false;
  if (flow.running) {
    flow.running = false;
    --target.running;
  }
}

auto EraseFlow(TargetFlows& target, const FlowKey& key) -> void {
  const auto it = target.flows.find(key);
  if (it != target.flows.end()) {
    EndRun(target, it->second);
    target.flows.erase(it);
  }
}

// Remembers a packet's header until the target returns the packet.
auto Offer(TargetFlows& target, const RelayHeader& header) -> std::uint32_t {
  const std::uint32_t cursor = target.next_cursor;
  target.next_cursor = cursor + 1 == 0 ? 1 : cursor + 1;
  target.offered.at(cursor % kOfferedPackets) =
      OfferedPacket{.cursor = cursor, .header = header};
  return cursor;
}

auto AddDelivery(TargetFlows& target,
                 const FlowKey& flow,
                 TargetReason reason,
                 std::uint32_t cursor,
                 std::vector<TargetAction>& out) -> void {
  AddAction(target,
            TargetAction{.kind = Kind::kDeliver,
                         .reason = reason,
                         .flow = flow,
                         .cursor = cursor},
            out);
}

// Whether a busy target's opening goes to another one.
auto MayPass(const TargetFlows& target, const RelayHeader& header) -> bool {
  return !header.last_offer && header.asked.size() < target.options.max_passes;
}

auto IsFull(const TargetFlows& target, const RelayHeader& header) -> bool {
  return MayPass(target, header) &&
         target.running >= target.status.slots * target.options.full_factor;
}

// Whether an opening goes elsewhere, as the target fails. It gets one now and
// then, and those that others have refused.
auto IsFailing(TargetFlows& target, const RelayHeader& header, TimePoint now)
    -> bool {
  if (!IsDown(target.health) || !MayPass(target, header)) {
    return false;
  }
  if (AllowedSlots(target.health, now) == 0) {
    return true;
  }
  RecordStart(target.health, now, target.random);
  return false;
}

auto OnOpening(TargetFlows& target,
               const RelayHeader& header,
               const FlowKey& flow,
               std::span<const std::uint8_t> bytes,
               TimePoint now,
               std::vector<TargetAction>& out) -> void {
  const auto known = target.flows.find(flow);
  if (known != target.flows.end() && known->second.answered) {
    known->second.origin = header.origin;
    AddDelivery(target, flow, TargetReason::kDelivered, Offer(target, header),
                out);
    AddNote(flow, header.origin, FlowHolding::kHeld, out);
    return;
  }
  if (target.status.state != TargetState::kReady || target.leaving) {
    SendBack(target, flow, header, TargetReason::kNotReady, out);
    return;
  }
  if (now < target.silent_until) {
    SendBack(target, flow, header, TargetReason::kSilent, out);
    return;
  }
  if (IsFailing(target, header, now)) {
    SendBack(target, flow, header, TargetReason::kFailing, out);
    return;
  }
  if (IsFull(target, header)) {
    SendBack(target, flow, header, TargetReason::kFull, out);
    return;
  }
  if (target.flows.size() >= target.options.max_flows) {
    target.overflowed = true;
  } else {
    TargetFlow& added = target.flows[flow];
    added.origin = header.origin;
    added.target_born = target.status.born;
    added.used = now;
    StartRun(target, added, now);
  }
  target.openings[flow] =
      UnansweredOpening{.packet = {bytes.begin(), bytes.end()},
                        .header = header,
                        .delivered = now};
  AddDelivery(target, flow, TargetReason::kOpened, Offer(target, header), out);
}

auto OnReturned(TargetFlows& target,
                const FlowPacket& packet,
                std::vector<TargetAction>& out) -> void {
  const FlowKey key = FlowFromCaller(packet);
  const OfferedPacket& offered =
      target.offered.at(packet.cursor % kOfferedPackets);
  if (offered.cursor != packet.cursor || packet.cursor == 0) {
    AddAction(target,
              TargetAction{.kind = Kind::kDrop,
                           .reason = TargetReason::kReturned,
                           .flow = key},
              out);
    return;
  }
  target.openings.erase(key);
  EraseFlow(target, key);
  SendBack(target, key, offered.header, TargetReason::kReturned, out);
}

// Ends the open flows of targets that started before an instant.
auto ResetFlows(TargetFlows& target,
                std::uint64_t born_before,
                TargetReason reason,
                std::vector<TargetAction>& out) -> void {
  for (auto it = target.flows.begin(); it != target.flows.end();) {
    TargetFlow& flow = it->second;
    if (flow.target_born >= born_before) {
      ++it;
      continue;
    }
    EndRun(target, flow);
    if (flow.answered && flow.closed_at == TimePoint{}) {
      AddAction(target,
                TargetAction{.kind = Kind::kReset,
                             .reason = reason,
                             .flow = it->first,
                             .acknowledgement = flow.acknowledgement},
                out);
    }
    it = target.flows.erase(it);
  }
}

// The new start may have taken flows before its first heartbeat was heard. The
// target returns their next packets if it hasn't.
auto DoubtYoungFlows(TargetFlows& target, TimePoint now) -> void {
  for (auto& [key, flow] : target.flows) {
    if (flow.answered &&
        now - flow.accepted_at < target.options.first_heartbeat) {
      flow.answered = false;
      flow.target_born = target.status.born;
    }
  }
}

// Two targets may have taken the same opening. The caller's first packet
// acknowledges the one that it chose.
auto WasOpenedElsewhere(TargetFlow& flow,
                        bool acknowledges,
                        std::uint32_t acknowledgement) -> bool {
  if (!flow.offered_sequence.has_value() || !acknowledges) {
    return false;
  }
  if (acknowledgement - *flow.offered_sequence > kSequenceWindow) {
    return true;
  }
  flow.offered_sequence.reset();
  return false;
}

auto NoteCallersPacket(TargetFlows& target,
                       TargetFlow& flow,
                       const FlowPacket& packet,
                       TimePoint now) -> void {
  flow.used = now;
  if (packet.acknowledges) {
    flow.acknowledgement = packet.acknowledgement;
  }
  if (packet.length > 0) {
    StartRun(target, flow, now);
    flow.requested = true;
  }
  if (packet.ends) {
    flow.caller_ended = true;
  }
  if (packet.resets) {
    if (IsStall(target.health, now - flow.running_since)) {
      NoteFailure(target, flow, now);  // The caller has waited for long.
    }
    flow.caller_ended = flow.target_ended = true;
    EndRun(target, flow);
  }
  if (flow.caller_ended && flow.target_ended && flow.closed_at == TimePoint{}) {
    flow.closed_at = now;
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
  const FlowKey flow = FlowFromCaller(packet);
  if (header.service != target.options.service) {
    SendBack(target, flow, header, TargetReason::kWrongService, out);
    return;
  }
  if (packet.opens) {
    OnOpening(target, header, flow, bytes, now, out);
    return;
  }
  const auto known = target.flows.find(flow);
  if (known == target.flows.end()) {
    if (target.knows_all && !target.overflowed) {
      SendBack(target, flow, header, TargetReason::kNotHere, out);
      return;
    }
    if (target.flows.size() < target.options.max_flows) {
      // The target's first packet shows that it has the flow.
      target.flows[flow] = TargetFlow{.origin = header.origin,
                                      .target_born = target.status.born,
                                      .used = now};
    }
    AddDelivery(target, flow, TargetReason::kOffered, Offer(target, header),
                out);
    return;
  }
  if (WasOpenedElsewhere(known->second, packet.acknowledges,
                         packet.acknowledgement)) {
    EraseFlow(target, flow);
    SendBack(target, flow, header, TargetReason::kNotHere, out);
    return;
  }
  NoteCallersPacket(target, known->second, packet, now);
  AddDelivery(target, flow, TargetReason::kDelivered, Offer(target, header),
              out);
  const bool is_news =
      header.wants_note || known->second.origin != header.origin;
  known->second.origin = header.origin;
  if (known->second.answered && is_news) {
    AddNote(flow, header.origin, FlowHolding::kHeld, out);
  }
}

auto OnFlowQuery(TargetFlows& target,
                 const FlowQuery& query,
                 std::vector<TargetAction>& out) -> void {
  const auto known = target.flows.find(query.flow);
  auto holding = FlowHolding::kUnsure;
  if (known == target.flows.end()) {
    if (target.knows_all && !target.overflowed) {
      holding = FlowHolding::kNotHeld;
    }
  } else if (WasOpenedElsewhere(known->second, query.acknowledges,
                                query.acknowledgement)) {
    EraseFlow(target, query.flow);
    holding = FlowHolding::kNotHeld;
  } else if (known->second.answered) {
    known->second.origin = query.origin;
    holding = FlowHolding::kHeld;
  }
  AddNote(query.flow, query.origin, holding, out);
}

auto OnTargetPacket(TargetFlows& target,
                    const FlowPacket& packet,
                    TimePoint now,
                    std::vector<TargetAction>& out) -> void {
  target.silent_until = {};
  target.last_from_target = now;
  if (packet.returned) {
    OnReturned(target, packet, out);
    return;
  }
  const FlowKey key = FlowFromTarget(packet);
  TargetFlow& flow = target.flows[key];
  flow.used = now;
  if (flow.target_born == 0) {
    flow.target_born = target.status.born;
  }
  if (!flow.answered) {
    flow.answered = true;
    flow.accepted_at = now;
    if (packet.opens) {
      flow.offered_sequence = packet.sequence;
    }
    target.openings.erase(key);
    AddNote(key, flow.origin, FlowHolding::kHeld, out);
  }
  if (packet.length > 0) {
    NoteAnswer(target, flow, now);
    EndRun(target, flow);
  }
  if (packet.ends) {
    flow.target_ended = true;
  }
  if (packet.resets) {
    NoteFailure(target, flow, now);
    flow.caller_ended = flow.target_ended = true;
    EndRun(target, flow);
  }
  if (flow.caller_ended && flow.target_ended && flow.closed_at == TimePoint{}) {
    flow.closed_at = now;
  }
  AddAction(target,
            TargetAction{.kind = Kind::kToCaller,
                         .reason = TargetReason::kAnswered,
                         .flow = key},
            out);
}

auto SetTargetStatus(TargetFlows& target,
                     const TargetStatus& status,
                     TimePoint now,
                     std::vector<TargetAction>& out) -> void {
  const std::uint64_t before = target.status.born;
  target.status = status;
  if (status.state != TargetState::kGone) {
    target.gone_at = {};
  } else if (target.gone_at == TimePoint{}) {
    target.gone_at = now;
  }
  if (before == 0 || status.born <= before) {
    return;
  }
  // The new start holds none of the flows.
  target.health = {};
  target.silent_until = {};
  target.openings.clear();
  DoubtYoungFlows(target, now);
  ResetFlows(target, status.born, TargetReason::kTargetRestarted, out);
}

auto EndTarget(TargetFlows& target, std::vector<TargetAction>& out) -> void {
  ResetFlows(target, UINT64_MAX, TargetReason::kTargetGone, out);
}

auto OnTargetTick(TargetFlows& target,
                  TimePoint now,
                  std::vector<TargetAction>& out) -> void {
  for (auto it = target.openings.begin(); it != target.openings.end();) {
    if (now - it->second.delivered < target.options.answer_timeout) {
      ++it;
      continue;
    }
    target.silent_until = now + kSilentTime;
    EraseFlow(target, it->first);
    SendBack(target, it->first, std::move(it->second.header),
             TargetReason::kSilent, out);
    out.back().opening = std::move(it->second.packet);
    it = target.openings.erase(it);
  }
  const TimePoint last = std::max(target.gone_at, target.last_from_target);
  if (target.gone_at != TimePoint{} && !target.flows.empty() &&
      now - last >= target.options.exit_time) {
    EndTarget(target, out);
  }
  const std::chrono::duration<double> step = now - target.averaged;
  const double kept = std::exp(-step / kAverageTime);
  target.average_running =
      target.average_running * kept + target.running * (1 - kept);
  target.averaged = now;
}

auto ForgetOldFlows(TargetFlows& target, TimePoint now) -> void {
  for (auto it = target.flows.begin(); it != target.flows.end();) {
    TargetFlow& flow = it->second;
    const bool closed = flow.closed_at != TimePoint{} &&
                        now - flow.closed_at > target.options.closed_linger;
    if (closed || now - flow.used > target.options.flow_idle) {
      EndRun(target, flow);
      it = target.flows.erase(it);
      continue;
    }
    if (flow.running && now - flow.used > target.options.longest_run) {
      NoteFailure(target, flow, now);
      EndRun(target, flow);
    }
    ++it;
  }
}

auto LoadOf(const TargetFlows& target) -> TargetLoad {
  constexpr double kSixteenths = 16;
  constexpr std::size_t kMost = 0xFFFF;
  return TargetLoad{
      .running = target.running,
      .flows = static_cast<std::uint16_t>(std::min(target.flows.size(), kMost)),
      .average_x16 =
          static_cast<std::uint16_t>(target.average_running * kSixteenths),
      .failing = IsDown(target.health)};
}

}  // namespace hawthornbank
