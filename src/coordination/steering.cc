#include "hawthornbank/steering.h"

#include <algorithm>
#include <utility>

namespace hawthornbank {
namespace {

using Kind = SteeringAction::Kind;

constexpr std::array<std::string_view, kSteeringReasonCount> kReasonNames = {
    "placed",      "repeated",     "remembered",    "looked_for", "sent_back",
    "unconfirmed", "no_route",     "no_routes_yet", "no_target",  "nobody_took",
    "not_found",   "flow_unknown", "target_lost",   "malformed",
};
static_assert(!kReasonNames.back().empty());

auto AddAction(Steering& steering,
               SteeringAction action,
               std::vector<SteeringAction>& out) -> SteeringAction& {
  ++steering.counts[static_cast<std::size_t>(action.reason)];
  return out.emplace_back(std::move(action));
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

auto IsLearning(const Steering& steering, TimePoint now) -> bool {
  return now - steering.started < steering.options.learning_time;
}

// Time after a start until every agent has announced itself here.
auto SettlingTime(const Steering& steering) -> Duration {
  const auto balancers =
      std::count_if(steering.fleet.hosts.begin(), steering.fleet.hosts.end(),
                    [](const auto& it) {
                      return it.second.record.role == HostRole::kBalancer;
                    });
  return std::max(steering.options.settling_time,
                  kSettlingAnnounces *
                      AnnounceInterval(static_cast<std::size_t>(balancers)));
}

// Whether a service's targets have all just started, as after a loss of power.
// None of them then holds a flow from before, and agents that haven't heard of
// a target needn't be asked, as most of the others have.
auto HasJustStarted(const Steering& steering,
                    std::uint32_t service,
                    TimePoint now) -> bool {
  const Duration up = now - steering.started;
  if (up < steering.options.restart_settling_time ||
      up >= steering.options.settling_time) {
    return false;
  }
  std::size_t cold = 0;
  std::size_t unknown = 0;
  for (const auto& [control, host] : steering.fleet.hosts) {
    if (host.record.role != HostRole::kAgent ||
        host.record.service != service) {
      continue;
    }
    if (host.record.target.state == TargetState::kUnknown) {
      ++unknown;
    } else if (host.record.target.cold) {
      ++cold;
    } else if (host.record.target.state != TargetState::kGone) {
      return false;
    }
  }
  return cold > unknown;
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
                           .opening = opening.packet,
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

// Whether a host's target has ended: it has said that it goes, which it
// outlives by up to two seconds, and its agent has been stopped after it; or
// its agent has been stopped and hasn't come back.
auto HasTargetEnded(const KnownHost& host, TimePoint now) -> bool {
  const HostRecord& record = host.record;
  if (record.target.state == TargetState::kGone) {
    return record.leaving || record.target.born == 0;
  }
  return record.leaving && now - host.heard >= kReturnTime;
}

auto HasTargetLeft(const Steering& steering,
                   const SteeredFlow& flow,
                   TimePoint now) -> bool {
  const auto host = steering.fleet.hosts.find(flow.agent);
  return host != steering.fleet.hosts.end() && flow.confirmed &&
         HasTargetEnded(host->second, now) && flow.target_born != 0 &&
         host->second.record.target.born == flow.target_born;
}

auto RelayTo(Steering& steering,
             const FlowKey& flow,
             Endpoint agent,
             RelayHeader header,
             SteeringReason reason,
             std::vector<SteeringAction>& out) -> void {
  AddAction(steering,
            SteeringAction{.kind = Kind::kRelay,
                           .reason = reason,
                           .flow = flow,
                           .to = agent,
                           .header = std::move(header)},
            out);
}

// All agents of the service have said that they don't have the flow.
auto EndSearch(Steering& steering,
               const FlowKey& flow,
               const FlowPacket& packet,
               const RelayHeader& header,
               TimePoint now,
               std::vector<SteeringAction>& out) -> void {
  const bool certain = now - steering.started >= SettlingTime(steering) ||
                       HasJustStarted(steering, header.service, now);
  if (certain && !header.asked.empty() && header.asked.size() < kMaxOffers &&
      !packet.resets) {
    AddReset(steering, flow, SteeringReason::kFlowUnknown,
             packet.acknowledgement, out);
  } else {
    AddDrop(steering, flow, SteeringReason::kHolderNotFound, out);
  }
}

// Ranks the agents that may have a flow and haven't been asked. When a route's
// weights change, the flow may be at another one of its services.
auto RankSearch(Steering& steering,
                const FlowKey& flow,
                RelayHeader& header,
                TimePoint now) -> std::vector<RankedHost> {
  const auto rank = [&](std::uint32_t service) {
    auto ranked =
        RankHosts(steering.fleet, service, HashFlow(flow), header.asked);
    std::erase_if(ranked, [now](const RankedHost& it) {
      return HasTargetEnded(*it.host, now);
    });
    return ranked;
  };
  auto ranked = rank(header.service);
  const Route* const route = FindRoute(steering.routes, flow.address);
  if (!ranked.empty() || route == nullptr) {
    return ranked;
  }
  for (const auto& it : route->shares) {
    ranked = rank(it.service);
    if (!ranked.empty()) {
      header.service = it.service;
      break;
    }
  }
  return ranked;
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

// Asks the next agent of the flow's ranking: those that have heard of their
// target first, those that don't answer last.
auto LookForFlow(Steering& steering,
                 const FlowKey& flow,
                 const FlowPacket& packet,
                 RelayHeader header,
                 SteeringReason reason,
                 TimePoint now,
                 std::vector<SteeringAction>& out) -> void {
  const auto ranked = RankSearch(steering, flow, header, now);
  const auto urgency = [now](const KnownHost& host) {
    if (!IsAnswering(host, now)) {
      return 2;
    }
    return host.record.target.state == TargetState::kUnknown ? 1 : 0;
  };
  const auto next =
      std::min_element(ranked.begin(), ranked.end(),
                       [&](const RankedHost& a, const RankedHost& b) {
                         return urgency(*a.host) < urgency(*b.host);
                       });
  if (next == ranked.end() || header.asked.size() >= kMaxOffers ||
      (urgency(*next->host) == 1 &&
       HasJustStarted(steering, header.service, now))) {
    EndSearch(steering, flow, packet, header, now, out);
    return;
  }
  header.wants_note = true;
  NoteAsked(*next->host, now);
  RelayTo(steering, flow, next->host->record.control, std::move(header), reason,
          out);
}

auto OnOpening(Steering& steering,
               const FlowKey& flow,
               const Route& route,
               std::span<const std::uint8_t> bytes,
               TimePoint now,
               std::vector<SteeringAction>& out) -> void {
  const auto known = steering.flows.find(flow);
  if (known == steering.flows.end()) {
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
          SteeringReason::kRepeated, out);
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
  if (packet.opens) {
    OnOpening(steering, flow, *route, bytes, now, out);
    return;
  }
  RelayHeader header{.origin = steering.fleet.self.control,
                     .service = ChooseService(*route, HashFlow(flow))};
  const auto known = steering.flows.find(flow);
  if (known == steering.flows.end()) {
    LookForFlow(steering, flow, packet, std::move(header),
                SteeringReason::kLookedFor, now, out);
    return;
  }
  if (HasTargetLeft(steering, known->second, now)) {
    steering.flows.erase(known);
    AddReset(steering, flow, SteeringReason::kTargetLost,
             packet.acknowledgement, out);
    return;
  }
  known->second.used = now;
  header.service = ServiceOf(steering, flow, *route, known->second.agent);
  header.wants_note = !known->second.confirmed;
  RelayTo(steering, flow, known->second.agent, std::move(header),
          SteeringReason::kRemembered, out);
}

auto OnSentBack(Steering& steering,
                Endpoint agent,
                RelayHeader header,
                const FlowPacket& packet,
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
  const auto known = steering.flows.find(flow);
  if (header.lost) {
    steering.flows.erase(flow);
    AddReset(steering, flow, SteeringReason::kTargetLost,
             packet.acknowledgement, out);
    return;
  }
  if (known != steering.flows.end() && !header.asked.empty()) {
    if (known->second.agent.address != header.asked.back()) {
      // Found elsewhere meanwhile.
      RelayTo(steering, flow, known->second.agent, std::move(header),
              SteeringReason::kRemembered, out);
      return;
    }
    steering.flows.erase(known);
  }
  LookForFlow(steering, flow, packet, std::move(header),
              SteeringReason::kSentBack, now, out);
}

auto OnFlowNote(Steering& steering, const FlowNote& note, TimePoint now)
    -> Duration {
  const auto host = steering.fleet.hosts.find(note.agent);
  if (host != steering.fleet.hosts.end()) {
    NoteHeard(host->second, now);
    NoteLoad(host->second, note.load, now);
  }
  Remember(steering, note.flow, note.agent, true, now);
  const auto opening = steering.openings.find(note.flow);
  if (opening == steering.openings.end()) {
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
