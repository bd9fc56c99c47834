#include "hawthornbank/routing.h"

namespace hawthornbank {
namespace {

auto CountAndDecideDrop(Counters& counters, Counter reason) -> RouteDecision {
  IncrementCounter(counters, reason);
  return {};
}

auto CountAndDecideForward(const RoutingTable& table,
                           const BalancerContext& state,
                           ServiceId service,
                           Endpoint agent,
                           Counters& counters) -> RouteDecision {
  IncrementCounter(counters, Counter::kPacketsForwarded);
  return RouteDecision{
      .verdict = RouteVerdict::kForward,
      .agent = agent,
      .header = TunnelHeader{.service = service,
                             .generation = table.generation,
                             .balancer = state.self},
  };
}

// Whether the owner's agent is live and hasn't restarted since the flow's last
// packet.
auto IsOwnerStillRunning(const RoutingTable& table, const CachedOwner& owner)
    -> bool {
  const auto it = table.live_agents.find(owner.agent);
  return it != table.live_agents.end() && it->second <= owner.last_used;
}

// Whether a flow was cached more than kMaxFailureDetectionTime before its owner
// failed or restarted, and so was established. If so, the agent that receives
// the packet must not treat the flow as new.
auto WasFlowEstablished(const RoutingTable& table, const CachedOwner& owner)
    -> bool {
  TimePoint ended = TimePoint::max();
  if (const auto it = table.live_agents.find(owner.agent);
      it != table.live_agents.end()) {
    ended = it->second;
  } else if (const auto gone = table.departed_agents.find(owner.agent);
             gone != table.departed_agents.end()) {
    ended = gone->second;
  }
  return owner.inserted < ended - kMaxFailureDetectionTime;
}

auto BalancerMayOpenFlows(const BalancerContext& state, TimePoint now) -> bool {
  return state.has_no_peers || now - state.last_contact <= kIsolationTimeout;
}

}  // namespace

auto RoutePacket(const RoutingTable& table,
                 FlowCache& cache,
                 const BalancerContext& state,
                 const PacketView& packet,
                 TimePoint now,
                 Counters& counters) -> RouteDecision {
  if (packet.kind == PacketKind::kMalformed) {
    return CountAndDecideDrop(counters, Counter::kDropMalformed);
  }
  if (packet.kind == PacketKind::kFragment) {
    IncrementCounter(counters, Counter::kDropFragment);
    return RouteDecision{.verdict = RouteVerdict::kFragmentationNeeded};
  }
  const auto it = table.services.find(ServiceAddress{
      .address = packet.destination, .transport = packet.transport});
  if (it == table.services.end()) {
    IncrementCounter(counters, Counter::kDropUnknownService);
    return RouteDecision{.verdict = RouteVerdict::kReset};
  }
  const RoutedService& service = it->second;
  const FlowKey key = MakeFlowKey(service.id, packet);
  bool established = false;
  if (const auto owner = cache.FindOwner(key, now)) {
    if (IsOwnerStillRunning(table, *owner)) {
      IncrementCounter(counters, Counter::kCacheHits);
      return CountAndDecideForward(table, state, service.id, owner->agent,
                                   counters);
    }
    established = packet.kind != PacketKind::kOpening &&
                  WasFlowEstablished(table, *owner);
    cache.EraseCachedOwner(key);
  }
  IncrementCounter(counters, Counter::kCacheMisses);
  if (!established && PacketMayOpenFlow(packet) &&
      !BalancerMayOpenFlows(state, now)) {
    return CountAndDecideDrop(counters, Counter::kDropIsolated);
  }
  const auto* const home = FindFlowHome(service.candidates, HashFlow(key), now);
  if (home == nullptr) {
    return CountAndDecideDrop(counters, Counter::kDropNoTarget);
  }
  if (packet.kind != PacketKind::kIcmpError &&
      cache.InsertOrReplaceOwner(key, home->agent, now)) {
    IncrementCounter(counters, Counter::kCacheEvictions);
  }
  auto decision =
      CountAndDecideForward(table, state, service.id, home->agent, counters);
  decision.header.established = established;
  return decision;
}

auto OnFlowHintReceived(FlowCache& cache,
                        const FlowKey& key,
                        Endpoint owner,
                        TimePoint now,
                        Counters& counters) -> void {
  IncrementCounter(counters, Counter::kHintsReceived);
  if (cache.InsertOrReplaceOwner(key, owner, now)) {
    IncrementCounter(counters, Counter::kCacheEvictions);
  }
}

}  // namespace hawthornbank
