#include <algorithm>
#include <utility>

#include "coordination/flow_search_scope.h"
#include "coordination/steering_internal.h"

namespace hawthornbank::detail {
namespace {

using FlowEntry = std::unordered_map<FlowKey, SteeredFlow>::iterator;

// An opening that arrived from a caller.
struct ArrivedOpening {
  const FlowPacket& packet;
  const Route& route;
  std::span<const std::uint8_t> bytes;
  TimePoint now;
};

// Returns whether a target may have accepted an earlier copy of an opening that
// came through another balancer. When all targets have just started, that
// balancer and its target are gone too.
auto MayCopyBeAccepted(const Steering& steering, const ArrivedOpening& opening)
    -> bool {
  const bool is_copy = opening.packet.acknowledgement > 0;
  return is_copy &&
         !HaveKnownTargetsJustStarted(
             steering,
             ChooseService(opening.route,
                           HashFlow(ExtractCallerFlowKey(opening.packet))),
             opening.now);
}

// Returns whether an agent's target takes new flows of a service.
auto TakesNewFlowsOfService(const Steering& steering,
                            Endpoint agent,
                            std::uint32_t service,
                            TimePoint now) -> bool {
  const auto host = steering.fleet.hosts.find(agent);
  return host != steering.fleet.hosts.end() &&
         host->second.record.service == service &&
         AcceptsNewFlows(host->second) &&
         !IsOutOfService(steering.zones, host->second.record.zone) &&
         IsHostLive(host->second, GetReadTime(steering, now));
}

// Returns whether a copy of the opening of a remembered flow is relayed to the
// flow's agent. A flow that the agent has confirmed stays there unless another
// service has got the address; any other is placed by the routes in force.
auto BelongsToFlowAgent(const Steering& steering,
                        const SteeredFlow& flow,
                        std::uint32_t route_service,
                        TimePoint now) -> bool {
  const std::uint32_t service = flow.opening->service;
  if (flow.confirmed) {
    const auto host = steering.fleet.hosts.find(flow.agent);
    return host == steering.fleet.hosts.end() ||
           host->second.record.service == service;
  }
  return service == route_service &&
         TakesNewFlowsOfService(steering, flow.agent, service, now);
}

// Relays an opening to the agent of its remembered flow. If the agent returns
// it or stays silent, it is placed by the routes in force.
auto RelayToFlowAgent(Steering& steering,
                      FlowEntry known,
                      const ArrivedOpening& opening,
                      EarlierCopies earlier,
                      std::vector<SteeringAction>& out) -> void {
  auto& [flow, remembered] = *known;
  remembered.last_used = opening.now;
  if (!steering.openings.contains(flow)) {
    PendingOpening pending =
        MakePendingOpening(steering, opening.packet, opening.route, earlier,
                           opening.bytes, opening.now);
    pending.agent = remembered.agent;
    pending.offered_at = opening.now;
    steering.openings.emplace(flow, std::move(pending));
  }
  AppendRelayAction(steering, flow, remembered.agent,
                    RelayHeader{.origin = steering.fleet.self.control,
                                .service = remembered.opening->service,
                                .wants_flow_reply = true,
                                .may_be_accepted = true},
                    SteeringReason::kDuplicateOpening, {}, out);
}

auto OfferOpening(Steering& steering,
                  const ArrivedOpening& opening,
                  EarlierCopies earlier,
                  std::vector<SteeringAction>& out) -> void {
  OfferNewFlow(steering, opening.packet, opening.route, earlier, opening.bytes,
               opening.now, out);
}

// Handles an opening of a remembered flow whose own opening isn't known: it is
// a late copy, or the caller uses its port again.
auto OnOpeningOfFoundFlow(Steering& steering,
                          FlowEntry known,
                          std::uint32_t route_service,
                          const ArrivedOpening& opening,
                          std::vector<SteeringAction>& out) -> void {
  const EarlierCopies earlier{.may_be_accepted = true, .may_be_open = true};
  SteeredFlow& flow = known->second;
  if (MustWaitForZones(steering, opening.now) ||
      !TakesNewFlowsOfService(steering, flow.agent, route_service,
                              opening.now)) {
    OfferOpening(steering, opening, earlier, out);
    return;
  }
  flow.opening = FlowOpening{.sequence = opening.packet.sequence,
                             .service = route_service};
  flow.caller_sequence = opening.packet.sequence;
  flow.confirmed = false;
  RelayToFlowAgent(steering, known, opening, earlier, out);
}

// Places the opening of a flow that isn't remembered.
auto OnOpeningOfUnknownFlow(Steering& steering,
                            const ArrivedOpening& opening,
                            std::vector<SteeringAction>& out) -> void {
  const FlowKey flow = ExtractCallerFlowKey(opening.packet);
  if (steering.searches.flows.contains(flow)) {
    EndSearchOfEarlierFlow(steering, flow, out);
    OfferOpening(steering, opening,
                 {.may_be_accepted = true, .may_be_open = true}, out);
    return;
  }
  if (ShouldRefuseFlow(steering.link, flow.address,
                       DrawRandomFraction(steering.random))) {
    AppendResetAction(steering, flow, SteeringReason::kLinkFull, 0, out);
    return;
  }
  OfferOpening(steering, opening,
               {.may_be_accepted = MayCopyBeAccepted(steering, opening)}, out);
}

}  // namespace

auto OnCallerOpening(Steering& steering,
                     const FlowPacket& packet,
                     const Route& route,
                     std::span<const std::uint8_t> bytes,
                     TimePoint now,
                     std::vector<SteeringAction>& out) -> void {
  const ArrivedOpening opening{
      .packet = packet, .route = route, .bytes = bytes, .now = now};
  const FlowKey flow = ExtractCallerFlowKey(packet);
  const auto pending = steering.openings.find(flow);
  if (pending != steering.openings.end() &&
      pending->second.sequence != packet.sequence) {
    steering.openings.erase(pending);
  }
  const auto known = steering.flows.find(flow);
  if (known == steering.flows.end()) {
    OnOpeningOfUnknownFlow(steering, opening, out);
    return;
  }
  const std::uint32_t route_service = ChooseService(route, HashFlow(flow));
  const SteeredFlow& remembered = known->second;
  if (!remembered.opening.has_value()) {
    OnOpeningOfFoundFlow(steering, known, route_service, opening, out);
    return;
  }
  if (remembered.opening->sequence != packet.sequence) {
    steering.flows.erase(known);
    EndSearchOfEarlierFlow(steering, flow, out);
    OnOpeningOfUnknownFlow(steering, opening, out);
    return;
  }
  const EarlierCopies earlier{
      .may_be_accepted = true,
      .may_be_open = remembered.confirmed || remembered.may_be_open};
  if (BelongsToFlowAgent(steering, remembered, route_service, now)) {
    RelayToFlowAgent(steering, known, opening, earlier, out);
  } else {
    OfferOpening(steering, opening, earlier, out);
  }
}

auto IsAboutEarlierFlow(const Steering& steering,
                        const FlowKey& flow,
                        Endpoint agent) -> bool {
  const auto opening = steering.openings.find(flow);
  if (opening == steering.openings.end() ||
      steering.searches.flows.contains(flow)) {
    return false;
  }
  const PendingOpening& pending = opening->second;
  const auto& earlier_agents = pending.header.returned_by;
  return pending.agent != agent &&
         std::find(earlier_agents.begin(), earlier_agents.end(),
                   agent.address) == earlier_agents.end();
}

}  // namespace hawthornbank::detail
