#include "coordination/flow_walk.h"

#include <algorithm>
#include <limits>

namespace hawthornbank::detail {
namespace {

using Kind = AgentAction::Kind;

/// Load of an agent that refuses all new flows.
constexpr std::uint32_t kLoadWhenRefusingAll =
    std::numeric_limits<std::uint32_t>::max();
/// Connection limit of a target: the mean of the service's targets times
/// kConnectionSlack, plus kConnectionSlackCount connections, so that at a low
/// mean, one more connection doesn't exceed the limit.
constexpr double kConnectionSlack = 1.02;
constexpr double kConnectionSlackCount = 2;

/// A packet of an unknown flow and the agent that handles it.
struct PacketVisit {
  Agent& agent;
  const FlowKey& key;
  const TunnelHeader& header;
  const PacketView& packet;
  TimePoint now;
  std::vector<AgentAction>& out;
};

auto RefusesAllNewFlows(const Agent& agent) -> bool {
  return agent.draining || agent.flows.size() >= agent.options.max_connections;
}

// New flows spread evenly over the targets, so the mean is assumed to have
// grown since the last report by as much as the agent's own connections.
auto ComputeConnectionLimit(const Agent& agent) -> double {
  const double growth = static_cast<double>(agent.flows.size()) -
                        static_cast<double>(agent.connections_at_mean);
  const double mean = agent.mean_connections + std::max(growth, 0.0);
  return mean * agent.weight_percent / 100 * kConnectionSlack +
         kConnectionSlackCount;
}

auto CanTakeNewFlow(const Agent& agent) -> bool {
  const auto& usage = agent.target_usage;
  const bool has_slot = usage.slots == 0 || usage.slots_busy < usage.slots;
  return !RefusesAllNewFlows(agent) && has_slot &&
         static_cast<double>(agent.flows.size()) <
             ComputeConnectionLimit(agent);
}

// Returns a number by which agents are compared:
// first by running and queued requests, then by connections.
auto ComputeAgentLoad(const Agent& agent) -> std::uint32_t {
  constexpr std::uint32_t kConnectionBits = 20;
  constexpr std::uint32_t kMaxConnections = (1U << kConnectionBits) - 1;
  constexpr std::uint32_t kMaxRequests = (1U << (32 - kConnectionBits)) - 2;
  if (RefusesAllNewFlows(agent)) {
    return kLoadWhenRefusingAll;
  }
  const std::uint32_t requests = std::min(
      agent.target_usage.slots_busy + agent.target_usage.queued, kMaxRequests);
  const auto connections = static_cast<std::uint32_t>(
      agent.flows.size() * 100 /
      std::max<std::uint16_t>(agent.weight_percent, 1));
  return (requests << kConnectionBits) | std::min(connections, kMaxConnections);
}

auto RejectFlow(const PacketVisit& visit, Counter reason) -> void {
  IncrementCounter(visit.agent.counters, reason);
  visit.out.push_back(AgentAction{.kind = Kind::kReset, .flow = visit.key});
}

// Stores an unconfirmed pointer to the walk's next agent, so that later packets
// of the flow follow the walk while it is in progress.
auto RecordWalkPointer(const PacketVisit& visit, Endpoint next) -> void {
  StoreFlowPointer(visit.agent, visit.key,
                   FlowPointer{.owner = next, .last_used = visit.now});
}

auto ForwardToWalkIndex(const PacketVisit& visit,
                        TunnelHeader header,
                        std::uint8_t index) -> void {
  header.walk_index = index;
  ForwardToNextAgent(visit.agent, visit.key, header.walk[index], header,
                     visit.out);
}

// Accepts the flow for this agent's target, or sends the caller a reset if the
// agent refuses all new flows.
auto AcceptOrRejectFlow(const PacketVisit& visit) -> void {
  Agent& agent = visit.agent;
  if (RefusesAllNewFlows(agent)) {
    RejectFlow(visit, Counter::kRefusedConnections);
    return;
  }
  const Endpoint self = agent.options.self;
  const Endpoint home =
      visit.header.walk_size > 0 ? visit.header.walk[0] : self;
  agent.pointers.erase(visit.key);
  agent.flows.emplace(visit.key, OwnedFlow{.home = home,
                                           .last_from_caller = visit.now,
                                           .last_from_target = visit.now,
                                           .last_pointer_sent = visit.now,
                                           .home_acknowledged = home == self});
  IncrementCounter(agent.counters, Counter::kFlowsAccepted);
  if (home != self) {
    IncrementCounter(agent.counters, Counter::kPointersSent);
    visit.out.push_back(AgentAction{
        .kind = Kind::kPointer, .flow = visit.key, .to = home, .owner = self});
  }
  AppendOwnerHint(agent, visit.key, visit.header, visit.now, visit.out);
  visit.out.push_back(AgentAction{.kind = Kind::kDeliver, .flow = visit.key});
}

// Returns the packet's header with a new walk: the agents to visit, this agent
// first and then the highest-ranked agents of the flow.
auto BuildWalk(const PacketVisit& visit) -> TunnelHeader {
  TunnelHeader header = visit.header;
  const Endpoint self = visit.agent.options.self;
  header.walk[0] = self;
  header.walk_size = 1;
  const auto ranked =
      RankCandidates(visit.agent.view, HashFlow(visit.key), kMaxWalk);
  for (const auto& it : ranked) {
    if (it != self && header.walk_size < kMaxWalk) {
      header.walk[header.walk_size++] = it;
    }
  }
  return header;
}

auto ContinueTargetSelection(const PacketVisit& visit, TunnelHeader header)
    -> void {
  const std::uint32_t load = ComputeAgentLoad(visit.agent);
  if (header.walk_index == 0 || load < header.lowest_load) {
    header.lowest_load_index = header.walk_index;
    header.lowest_load = load;
  }
  const auto next = static_cast<std::uint8_t>(header.walk_index + 1);
  if (next < header.walk_size) {
    RecordWalkPointer(visit, header.walk[next]);
    header.phase = WalkPhase::kSelectTarget;
    ForwardToWalkIndex(visit, header, next);
    return;
  }
  if (header.lowest_load_index == header.walk_index ||
      header.lowest_load == kLoadWhenRefusingAll) {
    AcceptOrRejectFlow(visit);
    return;
  }
  RecordWalkPointer(visit, header.walk[header.lowest_load_index]);
  header.phase = WalkPhase::kAccept;
  ForwardToWalkIndex(visit, header, header.lowest_load_index);
}

auto AcceptFlowOrSelectTarget(const PacketVisit& visit) -> void {
  if (CanTakeNewFlow(visit.agent)) {
    AcceptOrRejectFlow(visit);
    return;
  }
  IncrementCounter(visit.agent.counters, Counter::kFlowsPassed);
  TunnelHeader header = BuildWalk(visit);
  header.walk_index = 0;
  ContinueTargetSelection(visit, header);
}

auto DecideOnFlowWithoutOwner(const PacketVisit& visit) -> void {
  if (visit.packet.kind == PacketKind::kIcmpError) {
    IncrementCounter(visit.agent.counters, Counter::kDropUnknownIcmp);
    return;
  }
  if (!PacketMayOpenFlow(visit.packet) || visit.header.established) {
    RejectFlow(visit, Counter::kResetUnknownFlow);
    return;
  }
  AcceptFlowOrSelectTarget(visit);
}

auto StartOwnerLookup(const PacketVisit& visit) -> void {
  IncrementCounter(visit.agent.counters, Counter::kLookups);
  TunnelHeader header = BuildWalk(visit);
  if (header.walk_size == 1) {
    DecideOnFlowWithoutOwner(visit);
    return;
  }
  header.phase = WalkPhase::kLookup;
  ForwardToWalkIndex(visit, header, 1);
}

auto ContinueOwnerLookup(const PacketVisit& visit) -> void {
  TunnelHeader header = visit.header;
  // If a balancer sends the flow's next packet directly to this agent, the
  // pointer takes the packet to the flow's home.
  if (PacketMayOpenFlow(visit.packet)) {
    RecordWalkPointer(visit, header.walk[0]);
  }
  const auto next = static_cast<std::uint8_t>(header.walk_index + 1);
  if (next < header.walk_size) {
    ForwardToWalkIndex(visit, header, next);
    return;
  }
  header.phase = WalkPhase::kDecideAtHome;
  ForwardToWalkIndex(visit, header, 0);
}

// Returns the home of the packet's flow, or this agent if there is no target.
// Shortly after a target joins, the flow's home is still an older target's
// agent: only some balancers know the new target then, and all balancers must
// send the flow's packets to the same agent.
auto FindHomeOrSelf(const PacketVisit& visit) -> Endpoint {
  const auto* const home =
      FindFlowHome(visit.agent.view, HashFlow(visit.key), visit.now);
  return home == nullptr ? visit.agent.options.self : home->agent;
}

auto ForwardToHomeOrDecide(const PacketVisit& visit) -> void {
  const Agent& agent = visit.agent;
  const Endpoint home = FindHomeOrSelf(visit);
  if (home != agent.options.self &&
      visit.header.phase != WalkPhase::kSentToHome) {
    TunnelHeader header = visit.header;
    header.phase = WalkPhase::kSentToHome;
    ForwardToNextAgent(visit.agent, visit.key, home, header, visit.out);
    return;
  }
  // A stored pointer may come from an unfinished walk that found an owner, so
  // the owner is looked up.
  const bool may_have_owner =
      visit.now - agent.view_changed < agent.options.learning_time ||
      agent.pointers.contains(visit.key);
  if (PacketMayOpenFlow(visit.packet) && !visit.header.established &&
      !may_have_owner) {
    AcceptFlowOrSelectTarget(visit);
    return;
  }
  StartOwnerLookup(visit);
}

}  // namespace

auto ForwardToNextAgent(Agent& agent,
                        const FlowKey& key,
                        Endpoint to,
                        const TunnelHeader& header,
                        std::vector<AgentAction>& out) -> void {
  if (header.hops >= kMaxHops) {
    IncrementCounter(agent.counters, Counter::kDropWalkTooLong);
    return;
  }
  IncrementCounter(agent.counters, Counter::kPacketsPassed);
  AgentAction action{
      .kind = Kind::kForwardToAgent, .flow = key, .to = to, .header = header};
  ++action.header.hops;
  out.push_back(action);
}

auto AppendOwnerHint(Agent& agent,
                     const FlowKey& key,
                     const TunnelHeader& header,
                     TimePoint now,
                     std::vector<AgentAction>& out) -> void {
  if (header.hops == 0 || header.balancer.port == 0) {
    return;
  }
  const std::chrono::duration<double> elapsed = now - agent.hints_refilled;
  agent.hints_refilled = now;
  agent.hint_tokens = std::min(
      agent.options.hint_burst,
      agent.hint_tokens + elapsed.count() * agent.options.hints_per_second);
  // Without a hint, the flow's next packet only takes another hop.
  if (agent.hint_tokens < 1) {
    IncrementCounter(agent.counters, Counter::kHintsWithheld);
    return;
  }
  agent.hint_tokens -= 1;
  IncrementCounter(agent.counters, Counter::kHintsSent);
  out.push_back(AgentAction{.kind = Kind::kHint,
                            .flow = key,
                            .to = header.balancer,
                            .owner = agent.options.self});
}

auto StoreFlowPointer(Agent& agent,
                      const FlowKey& key,
                      const FlowPointer& pointer) -> void {
  if (agent.flows.contains(key) || pointer.owner == agent.options.self) {
    return;
  }
  auto& pointers = agent.pointers;
  if (pointers.size() >= agent.options.max_pointers &&
      !pointers.contains(key)) {
    // Any pointer may be evicted, because a lost pointer only costs a lookup.
    pointers.erase(pointers.begin());
    IncrementCounter(agent.counters, Counter::kPointersEvicted);
  }
  pointers.insert_or_assign(key, pointer);
}

auto HandleUnknownFlowPacket(Agent& agent,
                             const FlowKey& key,
                             const TunnelHeader& header,
                             const PacketView& packet,
                             TimePoint now,
                             std::vector<AgentAction>& out) -> void {
  const PacketVisit visit{.agent = agent,
                          .key = key,
                          .header = header,
                          .packet = packet,
                          .now = now,
                          .out = out};
  switch (header.phase) {
    case WalkPhase::kNone:
    case WalkPhase::kSentToHome:
      ForwardToHomeOrDecide(visit);
      break;
    case WalkPhase::kLookup:
      ContinueOwnerLookup(visit);
      break;
    case WalkPhase::kDecideAtHome:
      DecideOnFlowWithoutOwner(visit);
      break;
    case WalkPhase::kSelectTarget:
      if (CanTakeNewFlow(agent)) {
        AcceptOrRejectFlow(visit);
      } else {
        ContinueTargetSelection(visit, header);
      }
      break;
    case WalkPhase::kAccept:
      AcceptOrRejectFlow(visit);
      break;
    case WalkPhase::kRequestHandover:
      break;
  }
}

}  // namespace hawthornbank::detail
