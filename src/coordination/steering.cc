#include "hawthornbank/steering.h"

#include <algorithm>
#include <utility>

#include "coordination/steering_internal.h"

namespace hawthornbank {
namespace detail {

using Kind = SteeringAction::Kind;

auto AddAction(Steering& steering,
               SteeringAction action,
               std::vector<SteeringAction>& out) -> void {
  ++steering.counts[static_cast<std::size_t>(action.reason)];
  out.push_back(std::move(action));
}

auto AddReset(Steering& steering,
              const FlowKey& flow,
              SteeringReason reason,
              std::uint32_t acknowledgement,
              std::vector<SteeringAction>& out) -> void {
  AddAction(steering,
            SteeringAction{.kind = Kind::kReset,
                           .reason = reason,
                           .flow = flow,
                           .acknowledgement = acknowledgement},
            out);
}

auto AddDrop(Steering& steering,
             const FlowKey& flow,
             SteeringReason reason,
             std::vector<SteeringAction>& out) -> void {
  AddAction(steering,
            SteeringAction{.kind = Kind::kDrop, .reason = reason, .flow = flow},
            out);
}

auto RelayTo(Steering& steering,
             const FlowKey& flow,
             Endpoint agent,
             RelayHeader header,
             SteeringReason reason,
             std::vector<std::uint8_t> kept,
             std::vector<SteeringAction>& out) -> void {
  AddAction(steering,
            SteeringAction{.kind = Kind::kRelay,
                           .reason = reason,
                           .flow = flow,
                           .to = agent,
                           .header = std::move(header),
                           .kept = std::move(kept)},
            out);
}

auto Remember(Steering& steering,
              const FlowKey& flow,
              Endpoint agent,
              bool confirmed,
              TimePoint now) -> void {
  if (steering.flows.size() >= steering.options.max_flows &&
      !steering.flows.contains(flow)) {
    return;
  }
  const auto host = steering.fleet.hosts.find(agent);
  steering.flows[flow] =
      SteeredFlow{.agent = agent,
                  .target_born = host == steering.fleet.hosts.end()
                                     ? 0
                                     : host->second.record.target.born,
                  .confirmed = confirmed,
                  .used = now};
}

// It has ended when it has said that it goes, which it outlives by up to two
// seconds, and its agent has been stopped after it; or when its agent has been
// stopped and hasn't come back.
auto HasTargetEnded(const KnownHost& host, TimePoint now) -> bool {
  const HostRecord& record = host.record;
  if (record.target.state == TargetState::kGone) {
    return record.leaving || record.target.born == 0;
  }
  return record.leaving && now - host.heard >= kReturnTime;
}

}  // namespace detail

namespace {

using detail::AddAction;
using detail::AddDrop;
using detail::AddReset;
using detail::RelayTo;
using detail::Remember;
using Kind = SteeringAction::Kind;

constexpr std::array<std::string_view, kSteeringReasonCount> kReasonNames = {
    "placed",    "repeated",      "remembered",   "looked_for",  "held",
    "found",     "unsure",        "search_limit", "sent_back",   "unconfirmed",
    "no_route",  "no_routes_yet", "no_target",    "nobody_took", "link_full",
    "not_found", "flow_unknown",  "target_lost",  "malformed",
};
static_assert(!kReasonNames.back().empty());

auto IsLearning(const Steering& steering, TimePoint now) -> bool {
  return now - steering.started < steering.options.learning_time;
}

// Offers an opening to the best target that hasn't refused it.
auto OfferOpening(Steering& steering,
                  const FlowKey& flow,
                  PendingOpening& opening,
                  SteeringReason reason,
                  TimePoint now,
                  std::vector<SteeringAction>& out) -> bool {
  const auto ranked = RankHosts(steering.fleet, opening.header.service,
                                HashFlow(flow), opening.header.asked);
  KnownHost* const host = PlaceFlow(ranked, steering.fleet.self.zone,
                                    steering.options.placement, now);
  if (host == nullptr && opening.header.asked.empty() &&
      IsLearning(steering, now)) {
    AddDrop(steering, flow, SteeringReason::kNoTarget, out);
    return false;
  }
  if (host == nullptr ||
      opening.header.asked.size() >= steering.options.max_offers) {
    AddReset(steering, flow,
             opening.header.asked.empty() ? SteeringReason::kNoTarget
                                          : SteeringReason::kNobodyTook,
             0, out);
    return false;
  }
  const auto takers =
      std::count_if(ranked.begin(), ranked.end(),
                    [](const RankedHost& it) { return TakesFlows(*it.host); });
  opening.header.last_offer = takers == 1 || opening.header.asked.size() + 1 ==
                                                 steering.options.max_offers;
  const double score =
      LoadScore(*host, steering.fleet.self.zone, steering.options.placement);
  ++host->sent_since;
  NoteAsked(*host, now);
  opening.agent = host->record.control;
  opening.asked_at = now;
  Remember(steering, flow, opening.agent, false, now);
  AddAction(steering,
            SteeringAction{.kind = Kind::kRelay,
                           .reason = reason,
                           .flow = flow,
                           .to = opening.agent,
                           .header = opening.header,
                           .kept = opening.packet,
                           .load_score = score,
                           .load_age = now - host->load_at},
            out);
  return true;
}

auto OpenFlow(Steering& steering,
              const FlowKey& flow,
              const Route& route,
              std::span<const std::uint8_t> bytes,
              TimePoint now,
              std::vector<SteeringAction>& out) -> void {
  PendingOpening opening{
      .packet = {bytes.begin(), bytes.end()},
      .header = {.origin = steering.fleet.self.control,
                 .service = ChooseService(route, HashFlow(flow)),
                 .wants_note = true},
      .since = now};
  if (OfferOpening(steering, flow, opening, SteeringReason::kPlaced, now,
                   out)) {
    steering.openings.insert_or_assign(flow, std::move(opening));
  }
}

auto HasTargetLeft(const Steering& steering,
                   const SteeredFlow& flow,
                   TimePoint now) -> bool {
  const auto host = steering.fleet.hosts.find(flow.agent);
  return host != steering.fleet.hosts.end() && flow.confirmed &&
         detail::HasTargetEnded(host->second, now) && flow.target_born != 0 &&
         host->second.record.target.born == flow.target_born;
}

// The service of a flow that an agent has: the agent's own. The route's weights
// may have changed since the flow was placed.
auto ServiceOf(const Steering& steering,
               const FlowKey& flow,
               const Route& route,
               Endpoint agent) -> std::uint32_t {
  const auto host = steering.fleet.hosts.find(agent);
  return host != steering.fleet.hosts.end()
             ? host->second.record.service
             : ChooseService(route, HashFlow(flow));
}

// Two targets may accept the same opening; the caller takes the first answer.
// If it took the other one, the first sends its packets back.
auto IsNews(const Steering& steering, const FlowNote& note) -> bool {
  const auto known = steering.flows.find(note.flow);
  return known == steering.flows.end() || !known->second.confirmed ||
         known->second.agent == note.agent ||
         steering.searches.flows.contains(note.flow);
}

// Whether a remembered flow's agent is worth a packet: it has said that it has
// the flow, or it answers.
auto IsUsable(const Steering& steering, const SteeredFlow& flow, TimePoint now)
    -> bool {
  if (flow.confirmed) {
    return true;
  }
  const auto host = steering.fleet.hosts.find(flow.agent);
  return host != steering.fleet.hosts.end() && IsAnswering(host->second, now);
}

auto OnOpening(Steering& steering,
               const FlowKey& flow,
               const Route& route,
               std::span<const std::uint8_t> bytes,
               TimePoint now,
               std::vector<SteeringAction>& out) -> void {
  const auto known = steering.flows.find(flow);
  if (known == steering.flows.end()) {
    if (RefusesFlow(steering.link, flow.address,
                    NextFraction(steering.random))) {
      AddReset(steering, flow, SteeringReason::kLinkFull, 0, out);
      return;
    }
    OpenFlow(steering, flow, route, bytes, now, out);
    return;
  }
  // A copy: its first is under way or its answer was lost.
  const auto host = steering.fleet.hosts.find(known->second.agent);
  if (host == steering.fleet.hosts.end() || !TakesFlows(host->second) ||
      !IsAnswering(host->second, now)) {
    if (!known->second.confirmed) {
      OpenFlow(steering, flow, route, bytes, now, out);
      return;
    }
  }
  known->second.used = now;
  RelayTo(steering, flow, known->second.agent,
          RelayHeader{
              .origin = steering.fleet.self.control,
              .service = ServiceOf(steering, flow, route, known->second.agent),
              .wants_note = true},
          SteeringReason::kRepeated, {}, out);
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
  const FlowKey flow = FlowFromCaller(packet);
  const Route* const route = FindRoute(steering.routes, packet.destination);
  if (route == nullptr) {
    const auto reason = steering.routes.version == 0
                            ? SteeringReason::kNoRoutesYet
                            : SteeringReason::kNoRoute;
    const bool learning =
        reason == SteeringReason::kNoRoutesYet && IsLearning(steering, now);
    if (packet.opens && !learning) {
      AddReset(steering, flow, reason, 0, out);
    } else {
      AddDrop(steering, flow, reason, out);
    }
    return;
  }
  NoteTraffic(steering.link, flow.address, packet.opens, bytes.size());
  if (packet.opens) {
    OnOpening(steering, flow, *route, bytes, now, out);
    return;
  }
  if (detail::HoldForSearch(steering, flow, bytes, out)) {
    return;
  }
  const auto known = steering.flows.find(flow);
  if (known == steering.flows.end() ||
      !IsUsable(steering, known->second, now)) {
    detail::StartSearch(steering, flow, packet, bytes,
                        ChooseService(*route, HashFlow(flow)), {}, now, out);
    return;
  }
  if (HasTargetLeft(steering, known->second, now)) {
    steering.flows.erase(known);
    AddReset(steering, flow, SteeringReason::kTargetLost,
             packet.acknowledgement, out);
    return;
  }
  known->second.used = now;
  RelayTo(steering, flow, known->second.agent,
          RelayHeader{
              .origin = steering.fleet.self.control,
              .service = ServiceOf(steering, flow, *route, known->second.agent),
              .wants_note = !known->second.confirmed},
          SteeringReason::kRemembered, {}, out);
}

auto OnSentBack(Steering& steering,
                Endpoint agent,
                RelayHeader header,
                const FlowPacket& packet,
                std::span<const std::uint8_t> bytes,
                TimePoint now,
                std::vector<SteeringAction>& out) -> void {
  const auto sender = steering.fleet.hosts.find(agent);
  if (sender != steering.fleet.hosts.end()) {
    NoteHeard(sender->second, now);
  }
  const FlowKey flow = FlowFromCaller(packet);
  header.sent_back = false;
  const auto opening = steering.openings.find(flow);
  if (packet.opens) {
    if (opening == steering.openings.end()) {
      return;  // Confirmed by another agent meanwhile, or given up.
    }
    PendingOpening& pending = opening->second;
    for (const auto it : header.asked) {
      if (std::find(pending.header.asked.begin(), pending.header.asked.end(),
                    it) == pending.header.asked.end()) {
        pending.header.asked.push_back(it);
      }
    }
    if (!OfferOpening(steering, flow, pending, SteeringReason::kSentBack, now,
                      out)) {
      steering.openings.erase(flow);
      steering.flows.erase(flow);
    }
    return;
  }
  if (detail::OnOfferReturned(steering, flow, agent, now, out) ||
      detail::HoldForSearch(steering, flow, bytes, out)) {
    return;
  }
  const auto known = steering.flows.find(flow);
  if (known != steering.flows.end()) {
    if (known->second.agent != agent) {
      // Found elsewhere meanwhile.
      RelayTo(steering, flow, known->second.agent, std::move(header),
              SteeringReason::kRemembered, {}, out);
      return;
    }
    steering.flows.erase(known);
  }
  detail::StartSearch(steering, flow, packet, bytes, header.service,
                      header.asked, now, out);
}

auto OnFlowNote(Steering& steering,
                const FlowNote& note,
                TimePoint now,
                std::vector<SteeringAction>& out) -> Duration {
  const auto host = steering.fleet.hosts.find(note.agent);
  if (host != steering.fleet.hosts.end()) {
    NoteHeard(host->second, now);
    NoteLoad(host->second, note.load, now);
  }
  if (note.holding == FlowHolding::kHeld && IsNews(steering, note)) {
    Remember(steering, note.flow, note.agent, true, now);
  }
  detail::OnSearchNote(steering, note, now, out);
  const auto opening = steering.openings.find(note.flow);
  if (opening == steering.openings.end() ||
      note.holding != FlowHolding::kHeld) {
    return Duration::zero();
  }
  const Duration took = now - opening->second.since;
  steering.openings.erase(opening);
  return took;
}

auto ForgetIdleFlows(Steering& steering, TimePoint now) -> void {
  std::erase_if(steering.flows, [&](const auto& it) {
    return now - it.second.used > steering.options.flow_idle;
  });
}

auto OnSteeringTick(Steering& steering,
                    TimePoint now,
                    std::vector<SteeringAction>& out) -> void {
  detail::OnSearchTick(steering, now, out);
  for (auto it = steering.openings.begin(); it != steering.openings.end();) {
    PendingOpening& opening = it->second;
    if (now - opening.asked_at < steering.options.confirm_timeout) {
      ++it;
      continue;
    }
    const auto host = steering.fleet.hosts.find(opening.agent);
    if (host != steering.fleet.hosts.end()) {
      DoubtHost(host->second, now);
    }
    opening.header.asked.push_back(opening.agent.address);
    if (OfferOpening(steering, it->first, opening, SteeringReason::kUnconfirmed,
                     now, out)) {
      ++it;
      continue;
    }
    steering.flows.erase(it->first);
    it = steering.openings.erase(it);
  }
}

}  // namespace hawthornbank
