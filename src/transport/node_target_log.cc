#include "transport/node_target_log.h"

#include <chrono>
#include <iterator>

#include "protocol/log_text.h"
#include "transport/node_work_order.h"

namespace hawthornbank::transport {
namespace {

using Kind = TargetAction::Kind;
using Line = fmt::memory_buffer;

auto CountMilliseconds(Duration time) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

auto DescribeEvent(std::string_view name, const TargetAction& action)
    -> FlowEvent {
  return {.name = name, .flow = action.flow, .reason = ToString(action.reason)};
}

// Appends the target's start, its state and the time since its last heartbeat.
auto AppendTarget(const TargetLogContext& context, TimePoint now, Line& line)
    -> void {
  const TargetPresence& presence = context.presence;
  const TargetStatus& status = context.target.status;
  fmt::format_to(
      std::back_inserter(line), " target={} born={} state={}",
      presence.id.empty() ? "-" : FormatForLog(presence.id, kMaxLoggedName),
      status.started_at_ms, ToString(status.state));
  if (presence.last_heartbeat_at != TimePoint{}) {
    fmt::format_to(std::back_inserter(line), " heartbeat_ms={}",
                   CountMilliseconds(now - presence.last_heartbeat_at));
  }
}

// Appends the time for which the target hasn't certainly run, which decides
// that it gets no openings: its last heartbeat may have lain unread.
auto AppendSilence(const TargetLogContext& context, TimePoint now, Line& line)
    -> void {
  if (context.presence.heard_at != TimePoint{}) {
    fmt::format_to(std::back_inserter(line), " heard_ms={}",
                   CountMilliseconds(now - context.presence.heard_at));
  }
}

// Appends what the agent knew of the flow, and the start of the target that had
// it where that isn't the present one.
auto AppendKnownFlow(const TargetLogContext& context,
                     const TargetOpening& opening,
                     TimePoint now,
                     Line& line) -> void {
  if (!opening.is_from_balancer) {
    return;
  }
  if (!opening.known.has_value()) {
    line.append(std::string_view(" known=no"));
    return;
  }
  const KnownTargetFlow& known = *opening.known;
  fmt::format_to(std::back_inserter(line), " known={} known_ms={}",
                 known.is_accepted ? "accepted" : "unaccepted",
                 CountMilliseconds(now - known.last_packet_at));
  if (known.target_started_at_ms != context.target.status.started_at_ms) {
    fmt::format_to(std::back_inserter(line), " known_born={}",
                   known.target_started_at_ms);
  }
}

auto AppendOpening(const TargetLogContext& context,
                   const TargetOpening& opening,
                   TargetReason reason,
                   TimePoint now,
                   Line& line) -> void {
  const TargetFlows& target = context.target;
  fmt::format_to(std::back_inserter(line),
                 "opening={} copy={} service=", opening.sequence, opening.copy);
  AppendService(context.services, opening.service, line);
  line.append(std::string_view(" own="));
  AppendService(context.services, target.options.service, line);
  line.append(std::string_view(" from="));
  AppendEndpoint(opening.origin, line);
  AppendTarget(context, now, line);
  if (reason == TargetReason::kNotHeard) {
    AppendSilence(context, now, line);
  }
  AppendKnownFlow(context, opening, now, line);
  fmt::format_to(std::back_inserter(line),
                 " asked={} running={} slots={} flows={} knows_all={}",
                 opening.asked, target.running, target.status.slots,
                 target.flows.size(), target.knows_all_flows);
}

auto LogOpening(EventLog& log,
                const TargetLogContext& context,
                const TargetAction& action,
                const TargetOpening& opening,
                TimePoint now) -> void {
  const auto write = [&](EventKind kind, std::string_view name) {
    log.AppendFlowEvent(
        kind, now, DescribeEvent(name, action), [&](Line& line) {
          AppendOpening(context, opening, action.reason, now, line);
        });
  };
  switch (action.kind) {
    case Kind::kDeliver:
      write(EventKind::kOpening, action.reason == TargetReason::kOpened
                                     ? "flow_opened"
                                     : "opening_delivered");
      break;
    case Kind::kReturnToBalancer:
      write(EventKind::kOpening, "flow_sent_back");
      break;
    case Kind::kReset:
      write(EventKind::kRefusal, "flow_reset");
      break;
    case Kind::kDrop:
      write(EventKind::kRefusal, "packet_dropped");
      break;
    case Kind::kToCaller:
    case Kind::kReplyToBalancer:
    case Kind::kKeep:
      break;
  }
}

auto LogDelivery(EventLog& log,
                 const TargetFlows& target,
                 const TargetAction& action,
                 TimePoint now) -> void {
  if (action.reason == TargetReason::kHandedOver) {
    log.AppendFlowEvent(
        EventKind::kFlow, now,
        {.name = "request_handed_over", .flow = action.flow}, [&](Line& line) {
          line.append(FormatHandOver(target.order, action.hand_over_reason,
                                     action.waited));
        });
  } else if (action.reason == TargetReason::kOffered) {
    log.WriteFlowEvent(EventKind::kFlow, now,
                       {.name = "flow_offered", .flow = action.flow},
                       "running={} flows={} knows_all={}", target.running,
                       target.flows.size(), target.knows_all_flows);
  }
}

}  // namespace

auto DescribeRelayedOpening(const TargetFlows& target,
                            const RelayHeader& header,
                            const FlowPacket& packet)
    -> std::optional<TargetOpening> {
  if (!packet.is_opening) {
    return std::nullopt;
  }
  TargetOpening opening{.flow = ExtractCallerFlowKey(packet),
                        .sequence = packet.sequence,
                        .copy = packet.acknowledgement,
                        .origin = header.origin,
                        .service = header.service,
                        .asked = header.returned_by.size(),
                        .is_from_balancer = true};
  const auto it = target.flows.find(opening.flow);
  if (it != target.flows.end()) {
    opening.known =
        KnownTargetFlow{.is_accepted = it->second.is_accepted,
                        .target_started_at_ms = it->second.target_started_at_ms,
                        .last_packet_at = it->second.last_packet_at};
  }
  return opening;
}

auto DescribeReturnedOpening(const TargetAction& action,
                             const std::optional<FlowPacket>& packet)
    -> std::optional<TargetOpening> {
  const bool is_about_packet =
      action.kind == Kind::kReturnToBalancer || action.kind == Kind::kDrop;
  if (!is_about_packet || !packet.has_value() || !packet->is_opening) {
    return std::nullopt;
  }
  return TargetOpening{.flow = ExtractCallerFlowKey(*packet),
                       .sequence = packet->sequence,
                       .copy = packet->acknowledgement,
                       .origin = action.header.origin,
                       .service = action.header.service,
                       // The agent has added itself.
                       .asked = action.header.returned_by.size() -
                                (action.header.returned_by.empty() ? 0 : 1)};
}

auto LogTargetAction(EventLog& log,
                     const TargetLogContext& context,
                     const TargetAction& action,
                     const std::optional<TargetOpening>& opening,
                     TimePoint now) -> void {
  const TargetFlows& target = context.target;
  if (opening.has_value() && opening->flow == action.flow &&
      action.reason != TargetReason::kHandedOver) {
    LogOpening(log, context, action, *opening, now);
    return;
  }
  switch (action.kind) {
    case Kind::kDeliver:
      LogDelivery(log, target, action, now);
      break;
    case Kind::kReturnToBalancer:
      log.WriteFlowEvent(
          EventKind::kFlow, now, DescribeEvent("flow_sent_back", action),
          "running={} slots={} target={} asked={}", target.running,
          target.status.slots, ToString(target.status.state),
          action.header.returned_by.size());
      break;
    case Kind::kReset:
    case Kind::kDrop:
      log.WriteFlowEvent(
          EventKind::kRefusal, now,
          DescribeEvent(
              action.kind == Kind::kReset ? "flow_reset" : "packet_dropped",
              action),
          "born={}", target.status.started_at_ms);
      break;
    case Kind::kToCaller:
    case Kind::kReplyToBalancer:
    case Kind::kKeep:
      break;
  }
}

auto LogIgnoredHeartbeat(EventLog& log,
                         const TargetPresence& presence,
                         const TargetHeartbeat& beat,
                         PresenceOutcome outcome,
                         TimePoint now) -> void {
  log.WriteEvent(
      EventKind::kMalformedInput, now,
      "heartbeat_ignored id={} outcome={} service={} own={} born={} "
      "seq={} present_id={} present_born={} present_seq={} addr={}",
      FormatForLog(beat.id, kMaxLoggedName), ToString(outcome),
      FormatForLog(beat.service, kMaxLoggedName),
      FormatForLog(presence.service, kMaxLoggedName), beat.started_at_ms,
      beat.sequence, FormatForLog(presence.id, kMaxLoggedName),
      presence.status.started_at_ms, presence.sequence, ToString(beat.address));
}

}  // namespace hawthornbank::transport
