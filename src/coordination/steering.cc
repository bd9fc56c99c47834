#include "hawthornbank/steering.h"

#include <algorithm>
#include <utility>

#include "coordination/steering_internal.h"

namespace hawthornbank {
namespace detail {

using Kind = SteeringAction::Kind;

auto AppendSteeringAction(Steering& steering,
                          SteeringAction action,
                          std::vector<SteeringAction>& out) -> void {
  ++steering.counts[static_cast<std::size_t>(action.reason)];
  out.push_back(std::move(action));
}

auto AppendResetAction(Steering& steering,
                       const FlowKey& flow,
                       SteeringReason reason,
                       std::uint32_t acknowledgement,
                       std::vector<SteeringAction>& out) -> void {
  AppendSteeringAction(steering,
                       SteeringAction{.kind = Kind::kReset,
                                      .reason = reason,
                                      .flow = flow,
                                      .acknowledgement = acknowledgement},
                       out);
}

auto AppendDropAction(Steering& steering,
                      const FlowKey& flow,
                      SteeringReason reason,
                      std::vector<SteeringAction>& out) -> void {
  AppendSteeringAction(
      steering,
      SteeringAction{.kind = Kind::kDrop, .reason = reason, .flow = flow}, out);
}

auto AppendRelayAction(Steering& steering,
                       const FlowKey& flow,
                       Endpoint agent,
                       RelayHeader header,
                       SteeringReason reason,
                       std::vector<std::uint8_t> kept,
                       std::vector<SteeringAction>& out) -> void {
  if (header.wants_flow_reply) {
    header.terms = DescribeTerms(steering, flow, header.service);
  }
  AppendSteeringAction(steering,
                       SteeringAction{.kind = Kind::kRelay,
                                      .reason = reason,
                                      .flow = flow,
                                      .to = agent,
                                      .header = std::move(header),
                                      .kept = std::move(kept)},
                       out);
}

auto RecordFlowAgent(Steering& steering,
                     const FlowKey& flow,
                     Endpoint agent,
                     bool confirmed,
                     TimePoint now) -> SteeredFlow* {
  if (steering.flows.size() >= steering.options.max_remembered_flows &&
      !steering.flows.contains(flow)) {
    return nullptr;
  }
  const auto host = steering.fleet.hosts.find(agent);
  SteeredFlow& recorded = steering.flows[flow];
  recorded = SteeredFlow{
      .agent = agent,
      .target_started_at_ms = host == steering.fleet.hosts.end()
                                  ? 0
                                  : host->second.record.target.started_at_ms,
      .opening = recorded.opening,
      .caller_sequence = recorded.caller_sequence,
      .confirmed = confirmed,
      .last_used = now};
  return &recorded;
}

auto GetReadTime(const Steering& steering, TimePoint now) -> TimePoint {
  return std::clamp(steering.messages_read_until.value_or(now),
                    now - kMaxReadBacklog, now);
}

auto DescribeTerms(const Steering& steering,
                   const FlowKey& flow,
                   std::uint32_t service) -> std::optional<FlowTerms> {
  const Route* const route = FindRoute(steering.routes, flow.address);
  return route != nullptr
             ? std::optional(DescribeFlowTerms(steering.routes, *route, service,
                                               steering.options.warmup))
             : std::nullopt;
}

// A target serves its flows for up to two seconds after announcing its
// shutdown, so the target counts as exited only once its agent is shutting down
// too, or if the target's start is unknown. A target that announced no shutdown
// counts as exited when its agent was shut down
// and has sent nothing for kAgentRestartTime.
auto HasTargetExited(const KnownHost& host, TimePoint now) -> bool {
  const HostRecord& record = host.record;
  if (record.target.state == TargetState::kGone) {
    return record.is_shutting_down || record.target.started_at_ms == 0;
  }
  return record.is_shutting_down &&
         now - host.last_contact >= kAgentRestartTime;
}

}  // namespace detail

namespace {

using detail::AppendDropAction;
using detail::AppendRelayAction;
using detail::AppendResetAction;
using detail::OfferOpeningToNextTarget;
using detail::RecordFlowAgent;
using Kind = SteeringAction::Kind;

constexpr std::array<std::string_view, kSteeringReasonCount> kReasonNames = {
    "placed",       "repeated",    "remembered",   "looked_for",
    "held",         "found",       "unsure",       "search_limit",
    "sent_back",    "unconfirmed", "no_route",     "no_routes_yet",
    "no_target",    "nobody_took", "link_full",    "not_found",
    "flow_unknown", "target_lost", "malformed",    "search_queued",
    "found_former", "found_wide",  "no_zones_yet", "zones_out",
    "warmup_limit", "port_reused",
};
static_assert(!kReasonNames.back().empty());

// Returns whether a packet belongs to another flow of the port than the one
// that is remembered: a late packet of an earlier flow, or one of a later flow
// that another balancer has opened. A reset goes to the remembered agent, which
// can tell more exactly.
auto IsPacketOfOtherFlow(const SteeredFlow& flow, const FlowPacket& packet)
    -> bool {
  return !packet.is_reset &&
         detail::MatchSteeredFlow(flow, packet.sequence) == FlowMatch::kOther;
}

auto HasFlowTargetExited(const Steering& steering,
                         const SteeredFlow& flow,
                         TimePoint now) -> bool {
  const auto host = steering.fleet.hosts.find(flow.agent);
  return host != steering.fleet.hosts.end() && flow.confirmed &&
         detail::HasTargetExited(host->second, now) &&
         flow.target_started_at_ms != 0 &&
         host->second.record.target.started_at_ms == flow.target_started_at_ms;
}

// Returns the service of a flow that an agent holds: the agent's own service,
// because the route's weights may have changed since the flow was placed. If
// the agent is unknown, chooses the service by the current weights.
auto FindServiceOfFlow(const Steering& steering,
                       const FlowKey& flow,
                       const Route& route,
                       Endpoint agent) -> std::uint32_t {
  const auto host = steering.fleet.hosts.find(agent);
  return host != steering.fleet.hosts.end()
             ? host->second.record.service
             : ChooseService(route, HashFlow(flow));
}

// Returns whether a reply may replace the recorded agent of the flow. Two
// targets may accept the same opening; the caller keeps the first answer it
// receives. If the caller kept the answer of the target that isn't recorded,
// the recorded target's agent returns the caller's packets,
// and the returned packets start a search.
auto ReplyMayUpdateFlowAgent(const Steering& steering, const FlowReply& reply)
    -> bool {
  const auto known = steering.flows.find(reply.flow);
  return known == steering.flows.end() || !known->second.confirmed ||
         known->second.agent == reply.agent ||
         steering.searches.flows.contains(reply.flow);
}

// Ends an opening that an agent has rejected; the caller has been reset.
auto EraseRejectedOpening(Steering& steering, const FlowReply& reply) -> void {
  steering.openings.erase(reply.flow);
  const auto known = steering.flows.find(reply.flow);
  if (known != steering.flows.end() && known->second.agent == reply.agent) {
    steering.flows.erase(known);
  }
}

// Returns whether packets of a remembered flow can be relayed to its agent: the
// agent has confirmed the flow, or the agent is live.
auto IsFlowAgentUsable(const Steering& steering,
                       const SteeredFlow& flow,
                       TimePoint now) -> bool {
  if (flow.confirmed) {
    return true;
  }
  const auto host = steering.fleet.hosts.find(flow.agent);
  return host != steering.fleet.hosts.end() && !flow.may_be_open &&
         IsHostLive(host->second, detail::GetReadTime(steering, now));
}

// Ends the memory of an opening that no target took. If a target may still
// accept it, its copies aren't reset either.
auto EndRefusedOpening(Steering& steering,
                       const FlowKey& flow,
                       const PendingOpening& opening) -> void {
  const auto known = steering.flows.find(flow);
  if (known != steering.flows.end() && opening.may_be_open) {
    known->second.may_be_open = true;
  } else if (known != steering.flows.end()) {
    steering.flows.erase(known);
  }
}

}  // namespace

auto ToString(SteeringReason reason) -> std::string_view {
  return kReasonNames[static_cast<std::size_t>(reason)];
}

auto OnCallerPacket(Steering& steering,
                    const FlowPacket& packet,
                    std::span<const std::uint8_t> bytes,
                    TimePoint now,
                    std::vector<SteeringAction>& out) -> void {
  const FlowKey flow = ExtractCallerFlowKey(packet);
  const Route* const route = FindRoute(steering.routes, packet.destination);
  if (route == nullptr) {
    const auto reason = steering.routes.version == 0
                            ? SteeringReason::kNoRoutesYet
                            : SteeringReason::kNoRoute;
    const bool is_learning = reason == SteeringReason::kNoRoutesYet &&
                             detail::IsInLearningTime(steering, now);
    if (packet.is_opening && !is_learning) {
      AppendResetAction(steering, flow, reason, 0, out);
    } else {
      AppendDropAction(steering, flow, reason, out);
    }
    return;
  }
  RecordCallerTraffic(steering.link, flow.address, packet.is_opening,
                      bytes.size());
  if (packet.is_opening) {
    detail::OnCallerOpening(steering, packet, *route, bytes, now, out);
    return;
  }
  detail::EraseAcknowledgedOpening(steering, flow, packet);
  const auto known = steering.flows.find(flow);
  const bool is_of_other_flow = known != steering.flows.end() &&
                                IsPacketOfOtherFlow(known->second, packet);
  const bool is_agent_known = known != steering.flows.end() &&
                              !is_of_other_flow &&
                              IsFlowAgentUsable(steering, known->second, now);
  const bool waits_for_search =
      !is_agent_known || !detail::IsSearchForOtherFlow(steering, flow);
  if (waits_for_search &&
      detail::HoldPacketForSearch(steering, flow, bytes, out)) {
    return;
  }
  if (!is_agent_known) {
    detail::StartFlowSearch(steering, flow, packet, bytes,
                            ChooseService(*route, HashFlow(flow)), {}, now,
                            out);
    return;
  }
  if (HasFlowTargetExited(steering, known->second, now)) {
    steering.flows.erase(known);
    AppendResetAction(steering, flow, SteeringReason::kTargetLost,
                      packet.acknowledgement, out);
    return;
  }
  known->second.last_used = now;
  known->second.caller_sequence = packet.sequence;
  AppendRelayAction(
      steering, flow, known->second.agent,
      RelayHeader{.origin = steering.fleet.self.control,
                  .service = FindServiceOfFlow(steering, flow, *route,
                                               known->second.agent),
                  .wants_flow_reply = !known->second.confirmed},
      SteeringReason::kKnownFlow, {}, out);
}

auto OnPacketReturnedByAgent(Steering& steering,
                             Endpoint agent,
                             RelayHeader header,
                             const FlowPacket& packet,
                             std::span<const std::uint8_t> bytes,
                             TimePoint now,
                             std::vector<SteeringAction>& out) -> void {
  const auto sender = steering.fleet.hosts.find(agent);
  if (sender != steering.fleet.hosts.end()) {
    RecordHostContact(sender->second, now);
    if (header.is_at_warmup_limit) {
      sender->second.warmup_limited_at = now;
    }
  }
  const FlowKey flow = ExtractCallerFlowKey(packet);
  header.is_returned = false;
  const auto opening = steering.openings.find(flow);
  if (packet.is_opening) {
    if (opening == steering.openings.end() ||
        opening->second.sequence != packet.sequence) {
      return;  // The opening was confirmed or reset, or is of an earlier flow.
    }
    PendingOpening& pending = opening->second;
    if (header.is_zone_out_of_service && sender != steering.fleet.hosts.end()) {
      pending.excluded_zones.push_back(sender->second.record.zone);
    }
    pending.was_at_warmup_limit |= header.is_at_warmup_limit;
    // The target has got the opening and may still accept it.
    pending.may_be_open |=
        header.may_be_accepted && !pending.header.may_be_accepted;
    pending.header.may_be_accepted |= header.may_be_accepted;
    for (const auto it : header.returned_by) {
      if (std::find(pending.header.returned_by.begin(),
                    pending.header.returned_by.end(),
                    it) == pending.header.returned_by.end()) {
        pending.header.returned_by.push_back(it);
      }
    }
    if (!OfferOpeningToNextTarget(steering, flow, pending,
                                  SteeringReason::kSentBack, now, out)) {
      EndRefusedOpening(steering, flow, pending);
      steering.openings.erase(flow);
    }
    return;
  }
  if (detail::IsAboutEarlierFlow(steering, flow, agent)) {
    AppendDropAction(steering, flow, SteeringReason::kPortReused, out);
    return;
  }
  if (detail::OnOfferedPacketReturned(steering, flow, agent, now, out) ||
      detail::HoldPacketForSearch(steering, flow, bytes, out)) {
    return;
  }
  const auto known = steering.flows.find(flow);
  if (known != steering.flows.end() &&
      detail::MatchSteeredFlow(known->second, packet.sequence) !=
          FlowMatch::kOther) {
    if (known->second.agent != agent) {
      // The flow has since been found at another agent.
      AppendRelayAction(steering, flow, known->second.agent, std::move(header),
                        SteeringReason::kKnownFlow, {}, out);
      return;
    }
    steering.flows.erase(known);
  }
  detail::StartFlowSearch(steering, flow, packet, bytes, header.service,
                          header.returned_by, now, out);
}

auto OnFlowReply(Steering& steering,
                 const FlowReply& reply,
                 TimePoint now,
                 std::vector<SteeringAction>& out) -> Duration {
  const auto host = steering.fleet.hosts.find(reply.agent);
  if (host != steering.fleet.hosts.end()) {
    RecordHostContact(host->second, now);
    RecordTargetLoad(host->second, reply.load, now);
  }
  if (detail::IsAboutEarlierFlow(steering, reply.flow, reply.agent)) {
    return Duration::zero();
  }
  if (reply.ownership == FlowOwnership::kHeld &&
      ReplyMayUpdateFlowAgent(steering, reply)) {
    RecordFlowAgent(steering, reply.flow, reply.agent, true, now);
  }
  if (reply.ownership == FlowOwnership::kRejected) {
    EraseRejectedOpening(steering, reply);
    return Duration::zero();
  }
  detail::OnFlowSearchReply(steering, reply, now, out);
  const auto opening = steering.openings.find(reply.flow);
  if (opening == steering.openings.end() ||
      reply.ownership != FlowOwnership::kHeld) {
    return Duration::zero();
  }
  const Duration confirmation_time = now - opening->second.received_at;
  steering.openings.erase(opening);
  return confirmation_time;
}

auto EraseIdleFlows(Steering& steering, TimePoint now) -> void {
  const SteeringOptions& options = steering.options;
  const Duration idle_timeout = std::min(
      std::max(steering.routes.idle_timeout, options.min_flow_idle_timeout),
      options.flow_lifetime);
  std::erase_if(steering.flows, [&](const auto& it) {
    return now - it.second.last_used > idle_timeout;
  });
}

auto OnSteeringTick(Steering& steering,
                    TimePoint now,
                    std::vector<SteeringAction>& out) -> void {
  detail::OnFlowSearchTick(steering, now, out);
  const TimePoint read_until = detail::GetReadTime(steering, now);
  for (auto it = steering.openings.begin(); it != steering.openings.end();) {
    PendingOpening& opening = it->second;
    if (read_until - opening.offered_at < steering.options.confirm_timeout) {
      ++it;
      continue;
    }
    const auto host = steering.fleet.hosts.find(opening.agent);
    if (host != steering.fleet.hosts.end()) {
      MarkHostSuspected(host->second, now);
    }
    opening.header.returned_by.push_back(opening.agent.address);
    opening.header.may_be_accepted = true;
    // The confirmation of an agent that is up may be lost, and the caller's
    // answer may have gone through another balancer.
    opening.may_be_open |=
        host != steering.fleet.hosts.end() &&
        now - host->second.last_contact < host->second.unresponsive_after &&
        !IsHostUnreachable(host->second,
                           steering.options.search.unreachable_after, now);
    if (OfferOpeningToNextTarget(steering, it->first, opening,
                                 SteeringReason::kUnconfirmed, now, out)) {
      ++it;
      continue;
    }
    EndRefusedOpening(steering, it->first, opening);
    it = steering.openings.erase(it);
  }
}

}  // namespace hawthornbank
