#include "coordination/flow_walk.h"

#include <algorithm>
#include <limits>

namespace hawthornbank::detail {
namespace {

using Kind = AgentAction::Kind;

/// Load of an agent that takes no flow at all.
constexpr std::uint32_t kRefusesAll = std::numeric_limits<std::uint32_t>::max();
/// Share over the mean that a target's connections may reach, and a constant
/// so that small numbers aren't refused for one connection.
constexpr double kConnectionSlack = 1.02;
constexpr double kConnectionSlackCount = 2;

/// One packet on its way through the agents.
struct Visit {
  Agent& agent;
  const FlowKey& key;
  const TunnelHeader& header;
  const PacketView& packet;
  TimePoint now;
  std::vector<AgentAction>& out;
};

auto RefusesAll(const Agent& agent) -> bool {
  return agent.draining || agent.flows.size() >= agent.options.max_connections;
}

// New flows spread evenly over the targets, so own growth since the report
// tells how the mean has grown.
auto MostConnections(const Agent& agent) -> double {
  const double growth = static_cast<double>(agent.flows.size()) -
                        static_cast<double>(agent.connections_then);
  const double mean = agent.mean_connections + std::max(growth, 0.0);
  return mean * agent.weight_percent / 100 * kConnectionSlack +
         kConnectionSlackCount;
}

auto HasRoom(const Agent& agent) -> bool {
  const auto& busyness = agent.busyness;
  const bool has_slot =
      busyness.slots == 0 || busyness.slots_busy < busyness.slots;
  return !RefusesAll(agent) && has_slot &&
         static_cast<double>(agent.flows.size()) < MostConnections(agent);
}

// Requests that wait or run count before connections do.
auto LoadOf(const Agent& agent) -> std::uint32_t {
  constexpr std::uint32_t kConnectionBits = 20;
  constexpr std::uint32_t kMaxConnections = (1U << kConnectionBits) - 1;
  constexpr std::uint32_t kMaxRequests = (1U << (32 - kConnectionBits)) - 2;
  if (RefusesAll(agent)) {
    return kRefusesAll;
  }
  const std::uint32_t requests =
      std::min(agent.busyness.slots_busy + agent.busyness.queued, kMaxRequests);
  const auto connections = static_cast<std::uint32_t>(
      agent.flows.size() * 100 /
      std::max<std::uint16_t>(agent.weight_percent, 1));
  return (requests << kConnectionBits) | std::min(connections, kMaxConnections);
}

auto Refuse(const Visit& visit, Counter reason) -> void {
  Count(visit.agent.counters, reason);
  visit.out.push_back(AgentAction{.kind = Kind::kReset, .flow = visit.key});
}

// Later packets of the flow follow the walk while it is under way.
auto NoteWalk(const Visit& visit, Endpoint next) -> void {
  KeepPointer(visit.agent, visit.key,
              FlowPointer{.owner = next, .last_used = visit.now});
}

auto PassTo(const Visit& visit, TunnelHeader header, std::uint8_t index)
    -> void {
  header.index = index;
  Pass(visit.agent, visit.key, header.walk[index], header, visit.out);
}

auto Accept(const Visit& visit) -> void {
  Agent& agent = visit.agent;
  if (RefusesAll(agent)) {
    Refuse(visit, Counter::kRefusedConnections);
    return;
  }
  const Endpoint self = agent.options.self;
  const Endpoint home =
      visit.header.walk_size > 0 ? visit.header.walk[0] : self;
  agent.pointers.erase(visit.key);
  agent.flows.emplace(visit.key, OwnedFlow{.home = home,
                                           .last_from_caller = visit.now,
                                           .last_from_target = visit.now,
                                           .last_told = visit.now,
                                           .home_knows = home == self});
  Count(agent.counters, Counter::kFlowsAccepted);
  if (home != self) {
    Count(agent.counters, Counter::kPointersSent);
    visit.out.push_back(AgentAction{
        .kind = Kind::kPointer, .flow = visit.key, .to = home, .owner = self});
  }
  SendHint(agent, visit.key, visit.header, visit.now, visit.out);
  visit.out.push_back(AgentAction{.kind = Kind::kDeliver, .flow = visit.key});
}

// The list of agents to ask, this one first.
auto PlanWalk(const Visit& visit) -> TunnelHeader {
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

auto ContinueChoice(const Visit& visit, TunnelHeader header) -> void {
  const std::uint32_t load = LoadOf(visit.agent);
  if (header.index == 0 || load < header.best_load) {
    header.best = header.index;
    header.best_load = load;
  }
  const auto next = static_cast<std::uint8_t>(header.index + 1);
  if (next < header.walk_size) {
    NoteWalk(visit, header.walk[next]);
    header.phase = WalkPhase::kChoose;
    PassTo(visit, header, next);
    return;
  }
  if (header.best == header.index || header.best_load == kRefusesAll) {
    Accept(visit);
    return;
  }
  NoteWalk(visit, header.walk[header.best]);
  header.phase = WalkPhase::kAccept;
  PassTo(visit, header, header.best);
}

auto Decide(const Visit& visit) -> void {
  if (HasRoom(visit.agent)) {
    Accept(visit);
    return;
  }
  Count(visit.agent.counters, Counter::kFlowsPassed);
  TunnelHeader header = PlanWalk(visit);
  header.index = 0;
  ContinueChoice(visit, header);
}

auto EndLookup(const Visit& visit) -> void {
  if (visit.packet.kind == PacketKind::kIcmpError) {
    Count(visit.agent.counters, Counter::kDropUnknownIcmp);
    return;
  }
  if (!MayOpenFlow(visit.packet) || visit.header.established) {
    Refuse(visit, Counter::kResetUnknownFlow);
    return;
  }
  Decide(visit);
}

auto StartLookup(const Visit& visit) -> void {
  Count(visit.agent.counters, Counter::kLookups);
  TunnelHeader header = PlanWalk(visit);
  if (header.walk_size == 1) {
    EndLookup(visit);
    return;
  }
  header.phase = WalkPhase::kLookup;
  PassTo(visit, header, 1);
}

auto ContinueLookup(const Visit& visit) -> void {
  TunnelHeader header = visit.header;
  // Should the flow come here first next time, it must meet its home.
  if (MayOpenFlow(visit.packet)) {
    NoteWalk(visit, header.walk[0]);
  }
  const auto next = static_cast<std::uint8_t>(header.index + 1);
  if (next < header.walk_size) {
    PassTo(visit, header, next);
    return;
  }
  header.phase = WalkPhase::kDecide;
  PassTo(visit, header, 0);
}

// While a change is young, openings meet at the older home, so that balancers
// that know the change and ones that don't ask in the same order.
auto HomeFor(const Visit& visit) -> Endpoint {
  const auto* const home =
      FindHome(visit.agent.view, HashFlow(visit.key), visit.now);
  return home == nullptr ? visit.agent.options.self : home->agent;
}

auto StartAtHome(const Visit& visit) -> void {
  const Agent& agent = visit.agent;
  const Endpoint home = HomeFor(visit);
  if (home != agent.options.self &&
      visit.header.phase != WalkPhase::kHomeward) {
    TunnelHeader header = visit.header;
    header.phase = WalkPhase::kHomeward;
    Pass(visit.agent, visit.key, home, header, visit.out);
    return;
  }
  // A walk that didn't end may have found an owner all the same.
  const bool learning =
      visit.now - agent.view_changed < agent.options.learning_time ||
      agent.pointers.contains(visit.key);
  if (MayOpenFlow(visit.packet) && !visit.header.established && !learning) {
    Decide(visit);
    return;
  }
  StartLookup(visit);
}

}  // namespace

auto Pass(Agent& agent,
          const FlowKey& key,
          Endpoint to,
          const TunnelHeader& header,
          std::vector<AgentAction>& out) -> void {
  if (header.hops >= kMaxHops) {
    Count(agent.counters, Counter::kDropWalkTooLong);
    return;
  }
  Count(agent.counters, Counter::kPacketsPassed);
  AgentAction action{
      .kind = Kind::kPass, .flow = key, .to = to, .header = header};
  ++action.header.hops;
  out.push_back(action);
}

auto SendHint(Agent& agent,
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
  // Without a hint the flow's next packet needs a hop again, no more.
  if (agent.hint_tokens < 1) {
    Count(agent.counters, Counter::kHintsWithheld);
    return;
  }
  agent.hint_tokens -= 1;
  Count(agent.counters, Counter::kHintsSent);
  out.push_back(AgentAction{.kind = Kind::kHint,
                            .flow = key,
                            .to = header.balancer,
                            .owner = agent.options.self});
}

auto KeepPointer(Agent& agent, const FlowKey& key, const FlowPointer& pointer)
    -> void {
  if (agent.flows.contains(key) || pointer.owner == agent.options.self) {
    return;
  }
  auto& pointers = agent.pointers;
  if (pointers.size() >= agent.options.max_pointers &&
      !pointers.contains(key)) {
    // Any victim will do: a lost pointer costs a look-up.
    pointers.erase(pointers.begin());
    Count(agent.counters, Counter::kPointersEvicted);
  }
  pointers.insert_or_assign(key, pointer);
}

auto HandleUnknownFlow(Agent& agent,
                       const FlowKey& key,
                       const TunnelHeader& header,
                       const PacketView& packet,
                       TimePoint now,
                       std::vector<AgentAction>& out) -> void {
  const Visit visit{.agent = agent,
                    .key = key,
                    .header = header,
                    .packet = packet,
                    .now = now,
                    .out = out};
  switch (header.phase) {
    case WalkPhase::kNone:
    case WalkPhase::kHomeward:
      StartAtHome(visit);
      break;
    case WalkPhase::kLookup:
      ContinueLookup(visit);
      break;
    case WalkPhase::kDecide:
      EndLookup(visit);
      break;
    case WalkPhase::kChoose:
      if (HasRoom(agent)) {
        Accept(visit);
      } else {
        ContinueChoice(visit, header);
      }
      break;
    case WalkPhase::kAccept:
      Accept(visit);
      break;
    case WalkPhase::kHandedOver:
      break;
  }
}

}  // namespace hawthornbank::detail
