#include "hawthornbank/agent.h"

#include <algorithm>

#include "coordination/flow_walk.h"

namespace hawthornbank {
namespace {

using Kind = AgentAction::Kind;

auto IsAgentInView(const Agent& agent, Endpoint endpoint) -> bool {
  return std::any_of(
      agent.view.begin(), agent.view.end(),
      [endpoint](const Candidate& it) { return it.agent == endpoint; });
}

auto AppendFlowReset(Agent& agent,
                     const FlowKey& flow,
                     Counter reason,
                     std::vector<AgentAction>& out) -> void {
  IncrementCounter(agent.counters, reason);
  out.push_back(AgentAction{.kind = Kind::kReset, .flow = flow});
}

auto SendPointerToHome(Agent& agent,
                       const FlowKey& key,
                       OwnedFlow& owned,
                       Endpoint home,
                       TimePoint now,
                       std::vector<AgentAction>& out) -> void {
  owned.home = home;
  owned.last_pointer_sent = now;
  owned.home_acknowledged = home == agent.options.self;
  if (home == agent.options.self || home.port == 0) {
    return;
  }
  IncrementCounter(agent.counters, Counter::kPointersSent);
  out.push_back(AgentAction{.kind = Kind::kPointer,
                            .flow = key,
                            .to = home,
                            .owner = agent.options.self});
}

auto HandleOwnedFlowPacket(Agent& agent,
                           OwnedFlow& owned,
                           const FlowKey& key,
                           const TunnelHeader& header,
                           const PacketView& packet,
                           TimePoint now,
                           std::vector<AgentAction>& out) -> void {
  owned.last_from_caller = now;
  // After a hint, the balancer sends the flow's next packet to the owner
  // without an extra hop.
  detail::AppendOwnerHint(agent, key, header, now, out);
  // The home had to look up the flow, so the owner sends the pointer again.
  if (header.phase == WalkPhase::kLookup) {
    SendPointerToHome(agent, key, owned, header.walk[0], now, out);
  }
  out.push_back(AgentAction{.kind = Kind::kDeliver, .flow = key});
  if (packet.kind == PacketKind::kReset) {
    EndFlow(agent, key, out);
  }
}

auto IsWalkInProgress(WalkPhase phase) -> bool {
  return phase != WalkPhase::kNone && phase != WalkPhase::kSentToHome;
}

// Whether a packet may be forwarded along a pointer. An unconfirmed pointer,
// which a walk stored, is used for kWalkTimeout and not by packets on a walk. A
// confirmed pointer is not used by a packet that the agent must accept, nor by
// a lookup if the pointer names the home that started the lookup.
auto IsPointerUsable(const FlowPointer& pointer,
                     const TunnelHeader& header,
                     TimePoint now) -> bool {
  if (!pointer.confirmed) {
    return !IsWalkInProgress(header.phase) &&
           now - pointer.last_used < detail::kWalkTimeout;
  }
  return header.phase != WalkPhase::kAccept &&
         (header.phase != WalkPhase::kLookup ||
          pointer.owner != header.walk[0]);
}

// Forwards a packet along the flow's pointer. If the pointer is confirmed and
// its agent has left the view, the caller is sent a reset instead. Returns
// whether the packet was forwarded or the caller was sent a reset.
auto ForwardAlongPointer(Agent& agent,
                         const FlowKey& key,
                         const TunnelHeader& header,
                         TimePoint now,
                         std::vector<AgentAction>& out) -> bool {
  const auto it = agent.pointers.find(key);
  if (it == agent.pointers.end() || !IsPointerUsable(it->second, header, now)) {
    return false;
  }
  if (!IsAgentInView(agent, it->second.owner)) {
    const bool confirmed = it->second.confirmed;
    agent.pointers.erase(it);
    if (!confirmed) {
      return false;
    }
    AppendFlowReset(agent, key, Counter::kResetTargetLost, out);
    return true;
  }
  if (it->second.confirmed) {
    it->second.last_used = now;
  }
  TunnelHeader next_header = header;
  next_header.phase = WalkPhase::kNone;
  next_header.walk_size = 0;
  detail::ForwardToNextAgent(agent, key, it->second.owner, next_header, out);
  return true;
}

auto FindHomeInView(const Agent& agent, const FlowKey& key) -> Endpoint {
  const auto* const home = FindTopCandidate(agent.view, HashFlow(key));
  return home == nullptr ? agent.options.self : home->agent;
}

// Returns false if the caller was sent a reset, so that the flow must be
// erased.
auto ProbeOrResetSilentFlow(Agent& agent,
                            const FlowKey& key,
                            OwnedFlow& owned,
                            TimePoint now,
                            std::vector<AgentAction>& out) -> bool {
  if (owned.unanswered_probes >= agent.options.max_unanswered_probes) {
    AppendFlowReset(agent, key, Counter::kResetSilentFlow, out);
    return false;
  }
  if (now - owned.last_probe >= agent.options.probe_interval) {
    owned.last_probe = now;
    ++owned.unanswered_probes;
    IncrementCounter(agent.counters, Counter::kProbesSent);
    out.push_back(AgentAction{.kind = Kind::kProbe, .flow = key});
  }
  return true;
}

// Whether one end's last packet is later than the other end's by more than the
// silence timeout. The silent end may have lost the flow's state.
auto HasOneSidedTraffic(const Agent& agent, const OwnedFlow& owned) -> bool {
  const auto gap = owned.last_from_caller > owned.last_from_target
                       ? owned.last_from_caller - owned.last_from_target
                       : owned.last_from_target - owned.last_from_caller;
  return gap > agent.options.silence_timeout;
}

// Returns false if the caller was sent a reset, so that the flow must be
// erased.
auto ApplyFlowTimeouts(Agent& agent,
                       const FlowKey& key,
                       OwnedFlow& owned,
                       TimePoint now,
                       std::vector<AgentAction>& out) -> bool {
  const auto last = std::max(owned.last_from_caller, owned.last_from_target);
  const bool has_drain_limit = agent.draining && !agent.resting;
  if (has_drain_limit &&
      now - agent.drain_started > agent.options.drain_limit) {
    AppendFlowReset(agent, key, Counter::kFlowsEnded, out);
    return false;
  }
  if (now - last > agent.options.idle_timeout ||
      HasOneSidedTraffic(agent, owned)) {
    return ProbeOrResetSilentFlow(agent, key, owned, now, out);
  }
  owned.unanswered_probes = 0;
  return true;
}

}  // namespace

auto OnTunnelPacket(Agent& agent,
                    const TunnelHeader& header,
                    const PacketView& packet,
                    TimePoint now,
                    std::vector<AgentAction>& out) -> void {
  if (header.service != agent.options.service) {
    IncrementCounter(agent.counters, Counter::kDropWrongService);
    return;
  }
  const FlowKey key = MakeFlowKey(header.service, packet);
  if (header.phase == WalkPhase::kRequestHandover) {
    out.push_back(AgentAction{.kind = Kind::kDeliver, .flow = key});
    return;
  }
  const auto owned = agent.flows.find(key);
  if (owned != agent.flows.end()) {
    HandleOwnedFlowPacket(agent, owned->second, key, header, packet, now, out);
    return;
  }
  if (ForwardAlongPointer(agent, key, header, now, out)) {
    return;
  }
  detail::HandleUnknownFlowPacket(agent, key, header, packet, now, out);
}

auto OnTargetPacketSent(Agent& agent, const FlowKey& flow, TimePoint now)
    -> void {
  const auto it = agent.flows.find(flow);
  if (it != agent.flows.end()) {
    it->second.last_from_target = now;
  }
}

auto OnFlowProbeAnswered(Agent& agent, const FlowKey& flow, TimePoint now)
    -> void {
  const auto it = agent.flows.find(flow);
  if (it != agent.flows.end()) {
    it->second.last_from_caller = now;
    it->second.last_from_target = now;
    it->second.unanswered_probes = 0;
  }
}

auto EndFlow(Agent& agent, const FlowKey& flow, std::vector<AgentAction>& out)
    -> void {
  if (agent.flows.erase(flow) > 0) {
    IncrementCounter(agent.counters, Counter::kFlowsEnded);
    out.push_back(AgentAction{.kind = Kind::kClose, .flow = flow});
  }
}

auto OnFlowPointerReceived(Agent& agent,
                           const FlowKey& flow,
                           Endpoint owner,
                           TimePoint now,
                           std::vector<AgentAction>& out) -> void {
  IncrementCounter(agent.counters, Counter::kPointersReceived);
  detail::StoreFlowPointer(
      agent, flow,
      FlowPointer{.owner = owner, .last_used = now, .confirmed = true});
  out.push_back(
      AgentAction{.kind = Kind::kPointerAck, .flow = flow, .to = owner});
}

auto OnPointerAcknowledged(Agent& agent, const FlowKey& flow, Endpoint home)
    -> void {
  const auto it = agent.flows.find(flow);
  if (it != agent.flows.end() && it->second.home == home) {
    it->second.home_acknowledged = true;
  }
}

auto SetMeanConnections(Agent& agent, double mean) -> void {
  agent.mean_connections = mean;
  agent.connections_at_mean = agent.connections_at_last_update;
  agent.connections_at_last_update = agent.flows.size();
}

auto SetServiceView(Agent& agent,
                    std::vector<Candidate> view,
                    TimePoint now,
                    std::vector<AgentAction>& out) -> void {
  if (agent.view == view) {
    return;
  }
  std::vector<Endpoint> restarted;
  for (const auto& it : view) {
    const auto old = std::find_if(
        agent.view.begin(), agent.view.end(),
        [&it](const Candidate& known) { return known.agent == it.agent; });
    if (old == agent.view.end() || old->joined_at != it.joined_at) {
      restarted.push_back(it.agent);
    }
  }
  agent.view = std::move(view);
  agent.view_changed = now;
  for (const auto& it : agent.view) {
    if (it.agent == agent.options.self) {
      agent.weight_percent = it.weight_percent;
    }
  }
  // The owner sends its pointer to a flow's new home, and to a home that lost
  // the pointer in a restart.
  for (auto& [key, owned] : agent.flows) {
    const Endpoint home = FindHomeInView(agent, key);
    const bool has_restarted =
        std::find(restarted.begin(), restarted.end(), home) != restarted.end();
    if (home != owned.home || has_restarted) {
      SendPointerToHome(agent, key, owned, home, now, out);
    }
  }
}

auto BeginDrain(Agent& agent, TimePoint now) -> void {
  // The drain limit counts from the start of the drain, not from the start of
  // a standby before it.
  if (!agent.draining || agent.resting) {
    agent.draining = true;
    agent.resting = false;
    agent.drain_started = now;
  }
}

auto BeginStandby(Agent& agent, TimePoint now) -> void {
  if (!agent.draining) {
    agent.draining = true;
    agent.resting = true;
    agent.drain_started = now;
  }
}

auto EndDrain(Agent& agent) -> void {
  agent.draining = false;
  agent.resting = false;
}

auto SendPointersToNextHomes(Agent& agent, std::vector<AgentAction>& out)
    -> void {
  for (const auto& [key, pointer] : agent.pointers) {
    const Endpoint home = FindHomeInView(agent, key);
    if (home != agent.options.self && home != pointer.owner) {
      IncrementCounter(agent.counters, Counter::kPointersSent);
      out.push_back(AgentAction{.kind = Kind::kPointer,
                                .flow = key,
                                .to = home,
                                .owner = pointer.owner});
    }
  }
}

auto OnAgentTick(Agent& agent, TimePoint now, std::vector<AgentAction>& out)
    -> void {
  for (auto it = agent.flows.begin(); it != agent.flows.end();) {
    if (ApplyFlowTimeouts(agent, it->first, it->second, now, out)) {
      // The home erases unused pointers, so the owner refreshes the pointer of
      // a live flow.
      const Duration pointer_age = now - it->second.last_pointer_sent;
      if (pointer_age > agent.options.pointer_refresh ||
          (!it->second.home_acknowledged &&
           pointer_age > agent.options.pointer_retry)) {
        SendPointerToHome(agent, it->first, it->second,
                          FindHomeInView(agent, it->first), now, out);
      }
      ++it;
      continue;
    }
    out.push_back(AgentAction{.kind = Kind::kClose, .flow = it->first});
    it = agent.flows.erase(it);
  }
  std::erase_if(agent.pointers, [&](const auto& it) {
    return now - it.second.last_used > agent.options.idle_timeout;
  });
}

}  // namespace hawthornbank
