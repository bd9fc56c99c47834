#include "common/routing_world.h"

#include <algorithm>

namespace hawthornbank::bench {
namespace {

constexpr Duration kAgentTickInterval = std::chrono::milliseconds{500};
constexpr std::uint64_t kFabricHost = 0;
constexpr std::uint64_t kFirstBalancerHost = 1;
constexpr std::uint64_t kFirstAgentHost = 1000;
const Endpoint kServiceAddress{.address = 0x0A000001, .port = 5683};
const ServiceId kService{1};

auto MakeAgentEndpoint(std::uint32_t target) -> Endpoint {
  return Endpoint{.address = 0x0A010000 + target, .port = 7000};
}

auto MakeBalancerEndpoint(std::uint32_t balancer) -> Endpoint {
  return Endpoint{.address = 0x0A020000 + balancer, .port = 7000};
}

auto GetHostIndex(Endpoint endpoint) -> std::uint32_t {
  return endpoint.address & 0xFFFFU;
}

// Builds a packet of a flow. A TCP packet is a UDP packet with another protocol
// number and header.
auto MakeFlowPacket(const FlowKey& key, bool opening) -> Bytes {
  if (key.transport == Transport::kUdp) {
    return BuildUdpPacket(key.caller, key.address, Bytes(16, 1));
  }
  Bytes buf = BuildUdpPacket(key.caller, key.address, Bytes(12, 0));
  constexpr std::size_t kProtocolOffset = 9;
  constexpr std::size_t kDataOffset = kIpv4HeaderBytes + 12;
  constexpr std::size_t kFlags = kIpv4HeaderBytes + 13;
  buf[kProtocolOffset] = static_cast<std::uint8_t>(Transport::kTcp);
  buf[kDataOffset] = 0x50;
  buf[kFlags] = opening ? 0x02 : 0x10;
  return buf;
}

}  // namespace

auto GetVariantName(Variant variant) -> const char* {
  switch (variant) {
    case Variant::kHawthornbank:
      return "hawthornbank";
    case Variant::kHashModulo:
      return "baseline_hash_modulo";
    case Variant::kFlowTable:
      return "baseline_flow_table";
  }
  return "";
}

RoutingWorld::RoutingWorld(const WorldOptions& options)
    : options_(options), network_(options.seed) {
  network_.SetLinkRule([this](std::uint64_t from, std::uint64_t) {
    // Links from the fabric to balancers lose no packets, so that packets are
    // lost only between processes of the system.
    return from == kFabricHost ? Link{.delay = options_.link.delay}
                               : options_.link;
  });
  // Virtual time starts at 100 s, so that the first targets joined 100 s ago.
  network_.RunUntil(TimePoint{std::chrono::seconds{100}});
  for (std::uint32_t n = 0; n < options_.targets; ++n) {
    AddTarget();
    agents_.back().candidate.joined_at = TimePoint{};
  }
  for (std::uint32_t n = 0; n < options_.targets; ++n) {
    auto& core = *agents_[n].core;
    core.view = BuildTargetList();
    core.view_changed = TimePoint{};
  }
  for (std::uint32_t n = 0; n < options_.balancers; ++n) {
    AddBalancerWithEmptyCache();
  }
  RunTicksOfAllAgents();
}

auto RoutingWorld::RunTicksOfAllAgents() -> void {
  for (std::uint32_t n = 0; n < agents_.size(); ++n) {
    if (agents_[n].alive) {
      std::vector<AgentAction> actions;
      OnAgentTick(*agents_[n].core, network_.now(), actions);
      PerformAgentActions(n, actions, nullptr, {});
    }
  }
  network_.ScheduleAction(network_.now() + kAgentTickInterval,
                          [this]() { RunTicksOfAllAgents(); });
}

auto RoutingWorld::DrawUpdateDelay() -> Duration {
  return Duration{static_cast<Duration::rep>(
      DrawRandomFraction(network_.random()) *
      static_cast<double>(options_.update_spread.count()))};
}

auto RoutingWorld::BuildTargetList() const -> std::vector<Candidate> {
  std::vector<Candidate> listed;
  for (const auto& it : agents_) {
    if (it.is_listed) {
      listed.push_back(it.candidate);
    }
  }
  return listed;
}

auto RoutingWorld::AddBalancerWithEmptyCache() -> std::uint32_t {
  BalancerHost host{
      .table = std::make_shared<RoutingTable>(),
      .cache = std::make_unique<FlowCache>(options_.cache_entries),
      .counters = std::make_unique<Counters>()};
  UpdateRoutingTable(host, BuildTargetList());
  balancers_.push_back(std::move(host));
  return static_cast<std::uint32_t>(balancers_.size() - 1);
}

auto RoutingWorld::CrashBalancer(std::uint32_t balancer) -> void {
  balancers_[balancer].alive = false;
}

auto RoutingWorld::StopUpdatesToBalancer(std::uint32_t balancer) -> void {
  balancers_[balancer].misses_updates = true;
}

auto RoutingWorld::AddTarget() -> std::uint32_t {
  const auto index = static_cast<std::uint32_t>(agents_.size());
  auto core = std::make_unique<Agent>();
  core->options = AgentOptions{.self = MakeAgentEndpoint(index),
                               .service = kService,
                               .max_connections = 100000};
  core->target_usage.slots = options_.slots;
  agents_.push_back(AgentHost{
      .core = std::move(core),
      .candidate =
          Candidate{.id = TargetId{(index + 1) * 0x9E3779B97F4A7C15ULL},
                    .agent = MakeAgentEndpoint(index),
                    .joined_at = network_.now()}});
  if (!balancers_.empty()) {
    UpdateAgentView(index, BuildTargetList());
    SendTargetListToHosts();
  }
  return index;
}

auto RoutingWorld::DrainTarget(std::uint32_t target) -> void {
  agents_[target].drain_started = network_.now();
  network_.ScheduleActionOnHost(
      kFirstAgentHost + target, network_.now() + DrawUpdateDelay(),
      [this, target]() { BeginDrain(*agents_[target].core, network_.now()); });
}

auto RoutingWorld::ShutDownDrainedTarget(std::uint32_t target) -> void {
  agents_[target].is_listed = false;
  auto& core = *agents_[target].core;
  std::vector<AgentAction> actions;
  core.view = BuildTargetList();
  SendPointersToNextHomes(core, actions);
  PerformAgentActions(target, actions, nullptr, {});
  network_.KillHost(kFirstAgentHost + target);
  agents_[target].alive = false;
  SendTargetListToHosts();
}

auto RoutingWorld::CrashTarget(std::uint32_t target, Duration detection)
    -> void {
  agents_[target].alive = false;
  network_.KillHost(kFirstAgentHost + target);
  for (auto& it : flows_) {
    it.target_crashed = it.target_crashed || it.owner == target;
  }
  network_.ScheduleAction(network_.now() + detection, [this, target]() {
    agents_[target].is_listed = false;
    SendTargetListToHosts();
  });
}

auto RoutingWorld::SetTargetWeight(std::uint32_t target, std::uint16_t percent)
    -> void {
  agents_[target].candidate.weight_percent = percent;
  SendTargetListToHosts();
}

auto RoutingWorld::SendTargetListToHosts() -> void {
  const auto listed = BuildTargetList();
  for (std::uint32_t n = 0; n < balancers_.size(); ++n) {
    network_.ScheduleAction(network_.now() + DrawUpdateDelay(),
                            [this, n, listed]() {
                              if (!balancers_[n].misses_updates) {
                                UpdateRoutingTable(balancers_[n], listed);
                              }
                            });
  }
  for (std::uint32_t n = 0; n < agents_.size(); ++n) {
    network_.ScheduleActionOnHost(
        kFirstAgentHost + n, network_.now() + DrawUpdateDelay(),
        [this, n, listed]() { UpdateAgentView(n, listed); });
  }
}

auto RoutingWorld::UpdateRoutingTable(BalancerHost& host,
                                      std::vector<Candidate> targets) -> void {
  auto table = std::make_shared<RoutingTable>();
  table->departed_agents = host.table->departed_agents;
  for (const auto& [agent, joined] : host.table->live_agents) {
    table->departed_agents.emplace(agent, network_.now());
  }
  for (const auto& it : targets) {
    table->departed_agents.erase(it.agent);
    table->live_agents.emplace(it.agent, it.joined_at);
  }
  table->services.emplace(
      ServiceAddress{.address = kServiceAddress, .transport = Transport::kUdp},
      RoutedService{.id = kService, .candidates = targets});
  table->services.emplace(
      ServiceAddress{.address = kServiceAddress, .transport = Transport::kTcp},
      RoutedService{.id = kService,
                    .transport = Transport::kTcp,
                    .candidates = std::move(targets)});
  host.table = std::move(table);
}

auto RoutingWorld::UpdateAgentView(std::uint32_t target,
                                   std::vector<Candidate> targets) -> void {
  std::vector<AgentAction> actions;
  SetServiceView(*agents_[target].core, std::move(targets), network_.now(),
                 actions);
  PerformAgentActions(target, actions, nullptr, {});
}

auto RoutingWorld::OpenFlow() -> std::uint32_t {
  const auto index = static_cast<std::uint32_t>(flows_.size());
  const FlowKey key{
      .service = kService,
      .caller = {.address = 0x0B000000 + index / 50000,
                 .port = static_cast<std::uint16_t>(1024 + index % 50000)},
      .address = kServiceAddress,
      .transport = index % 2 == 0 ? Transport::kUdp : Transport::kTcp};
  flows_.push_back(
      WorldFlow{.key = key, .owner = kNobody, .opened = network_.now()});
  flow_index_.emplace(key, index);
  const auto packet = std::make_shared<const Bytes>(MakeFlowPacket(key, true));
  SendPacketFromCaller(index, packet);
  if (DrawRandomFraction(network_.random()) < options_.duplicate_openings) {
    SendPacketFromCaller(index, packet);
  }
  return index;
}

auto RoutingWorld::SendNextPacketOfFlow(std::uint32_t flow) -> void {
  // A caller whose opening packet was not delivered sends another opening
  // packet.
  const bool opening = flows_[flow].delivered == 0;
  SendPacketFromCaller(flow, std::make_shared<const Bytes>(
                                 MakeFlowPacket(flows_[flow].key, opening)));
}

auto RoutingWorld::SchedulePacketsOfAllFlows(Duration interval, TimePoint end)
    -> void {
  const auto count = static_cast<std::uint32_t>(flows_.size());
  for (std::uint32_t flow = 0; flow < count; ++flow) {
    const auto offset = Duration{
        static_cast<Duration::rep>(DrawRandomFraction(network_.random()) *
                                   static_cast<double>(interval.count()))};
    for (auto when = network_.now() + offset; when <= end; when += interval) {
      network_.ScheduleAction(when,
                              [this, flow]() { SendNextPacketOfFlow(flow); });
    }
  }
}

auto RoutingWorld::EndFlowAtOwner(std::uint32_t flow) -> void {
  const auto owner = flows_[flow].owner;
  if (owner != kNobody) {
    std::vector<AgentAction> actions;
    EndFlow(*agents_[owner].core, flows_[flow].key, actions);
  }
}

auto RoutingWorld::SendPacketFromCaller(std::uint32_t flow,
                                        const Packet& packet) -> void {
  if (flows_[flow].broken || flows_[flow].resets > 0) {
    return;
  }
  std::vector<std::uint32_t> alive;
  for (std::uint32_t n = 0; n < balancers_.size(); ++n) {
    if (balancers_[n].alive) {
      alive.push_back(n);
    }
  }
  const auto chosen =
      alive[network_.random()(static_cast<std::uint32_t>(alive.size()))];
  network_.SendMessage(
      kFabricHost, kFirstBalancerHost + chosen,
      [this, chosen, packet]() { HandlePacketAtBalancer(chosen, packet); });
}

auto RoutingWorld::ChooseBaselineAgent(BalancerHost& host,
                                       const PacketView& packet) -> Endpoint {
  const FlowKey key = MakeFlowKey(kService, packet);
  if (options_.variant == Variant::kFlowTable) {
    const auto it = host.flow_table.find(key);
    if (it != host.flow_table.end()) {
      return it->second;
    }
  }
  const auto& targets = host.table->services.begin()->second.candidates;
  const Endpoint chosen = targets[HashFlow(key) % targets.size()].agent;
  host.flow_table.emplace(key, chosen);
  return chosen;
}

auto RoutingWorld::HandlePacketAtBalancer(std::uint32_t balancer,
                                          const Packet& packet) -> void {
  auto& host = balancers_[balancer];
  if (!host.alive) {
    return;
  }
  const PacketView view = ParsePacket(*packet);
  const auto from = kFirstBalancerHost + balancer;
  if (options_.variant != Variant::kHawthornbank) {
    const auto target = GetHostIndex(ChooseBaselineAgent(host, view));
    network_.SendMessage(
        from, kFirstAgentHost + target, [this, target, packet]() {
          const PacketView arrived = ParsePacket(*packet);
          ++deliveries_;
          RecordPacketDelivery(target, MakeFlowKey(kService, arrived));
        });
    return;
  }
  const BalancerContext context{.self = MakeBalancerEndpoint(balancer),
                                .last_contact = network_.now()};
  const auto decision = RoutePacket(*host.table, *host.cache, context, view,
                                    network_.now(), *host.counters);
  if (decision.verdict == RouteVerdict::kForward) {
    const auto target = GetHostIndex(decision.agent);
    network_.SendMessage(from, kFirstAgentHost + target,
                         [this, target, header = decision.header, packet]() {
                           HandlePacketAtAgent(target, header, packet);
                         });
  } else if (decision.verdict == RouteVerdict::kReset) {
    RecordFlowReset(MakeFlowKey(kService, view));
  }
}

auto RoutingWorld::HandlePacketAtAgent(std::uint32_t target,
                                       const TunnelHeader& header,
                                       const Packet& packet) -> void {
  actions_.clear();
  OnTunnelPacket(*agents_[target].core, header, ParsePacket(*packet),
                 network_.now(), actions_);
  PerformAgentActions(target, std::vector(actions_), packet, header);
}

auto RoutingWorld::PerformAgentActions(std::uint32_t target,
                                       const std::vector<AgentAction>& actions,
                                       const Packet& packet,
                                       const TunnelHeader& header) -> void {
  const auto from = kFirstAgentHost + target;
  for (const auto& it : actions) {
    const auto to = GetHostIndex(it.to);
    switch (it.kind) {
      case AgentAction::Kind::kDeliver:
        ++deliveries_;
        hops_ += header.hops > 0 ? 1 : 0;
        RecordPacketDelivery(target, it.flow);
        // Targets answer every packet; callers and targets answer every probe.
        OnTargetPacketSent(*agents_[target].core, it.flow, network_.now());
        break;
      case AgentAction::Kind::kProbe:
        network_.ScheduleActionOnHost(
            from, network_.now() + options_.link.delay, [this, target, it]() {
              OnFlowProbeAnswered(*agents_[target].core, it.flow,
                                  network_.now());
            });
        break;
      case AgentAction::Kind::kForwardToAgent:
        network_.SendMessage(from, kFirstAgentHost + to,
                             [this, to, it, packet]() {
                               HandlePacketAtAgent(to, it.header, packet);
                             });
        break;
      case AgentAction::Kind::kReset:
        RecordFlowReset(it.flow);
        break;
      case AgentAction::Kind::kHint:
        network_.SendMessage(from, kFirstBalancerHost + to, [this, to, it]() {
          auto& host = balancers_[to];
          OnFlowHintReceived(*host.cache, it.flow, it.owner, network_.now(),
                             *host.counters);
        });
        break;
      case AgentAction::Kind::kPointer:
        network_.SendMessage(from, kFirstAgentHost + to, [this, to, it]() {
          std::vector<AgentAction> answers;
          OnFlowPointerReceived(*agents_[to].core, it.flow, it.owner,
                                network_.now(), answers);
          PerformAgentActions(to, answers, nullptr, {});
        });
        break;
      case AgentAction::Kind::kPointerAck:
        network_.SendMessage(from, kFirstAgentHost + to,
                             [this, to, target, it]() {
                               OnPointerAcknowledged(*agents_[to].core, it.flow,
                                                     MakeAgentEndpoint(target));
                             });
        break;
      case AgentAction::Kind::kClose:
        break;
    }
  }
}

auto RoutingWorld::RecordPacketDelivery(std::uint32_t target,
                                        const FlowKey& key) -> void {
  const auto it = flow_index_.find(key);
  if (it == flow_index_.end()) {
    ++wrong_service_;
    return;
  }
  WorldFlow& flow = flows_[it->second];
  ++flow.delivered;
  if (flow.owner == kNobody) {
    flow.owner = target;
    flow.opened = network_.now();
    if (accept_handler_) {
      accept_handler_(it->second, target);
    }
    return;
  }
  flow.broken = flow.broken || (flow.owner != target && !flow.target_crashed);
}

auto RoutingWorld::RecordFlowReset(const FlowKey& key) -> void {
  WorldFlow& flow = flows_[flow_index_.at(key)];
  ++flow.resets;
  flow.broken = flow.broken || !flow.target_crashed;
}

auto RoutingWorld::CountBrokenFlows() const -> std::uint64_t {
  return static_cast<std::uint64_t>(
      std::count_if(flows_.begin(), flows_.end(),
                    [](const WorldFlow& it) { return it.broken; }));
}

auto RoutingWorld::ComputeExtraHopShare() const -> double {
  return deliveries_ == 0
             ? 0
             : static_cast<double>(hops_) / static_cast<double>(deliveries_);
}

auto RoutingWorld::ComputeConnectionsMaxOverMean() const -> double {
  std::vector<std::size_t> counts(agents_.size(), 0);
  for (const auto& it : flows_) {
    if (it.owner != kNobody && !it.target_crashed) {
      ++counts[it.owner];
    }
  }
  std::size_t serving = 0;
  std::size_t sum = 0;
  std::size_t most = 0;
  for (std::size_t n = 0; n < agents_.size(); ++n) {
    if (agents_[n].is_listed && !agents_[n].core->draining) {
      ++serving;
      sum += counts[n];
      most = std::max(most, counts[n]);
    }
  }
  return sum == 0
             ? 1
             : static_cast<double>(most * serving) / static_cast<double>(sum);
}

auto RoutingWorld::CountFlowsOpenedAfterDrainStart(Duration grace) const
    -> std::uint64_t {
  return static_cast<std::uint64_t>(
      std::count_if(flows_.begin(), flows_.end(), [&](const WorldFlow& it) {
        return it.owner != kNobody &&
               agents_[it.owner].drain_started != TimePoint::max() &&
               it.opened > agents_[it.owner].drain_started + grace;
      }));
}

auto RoutingWorld::SendMeanConnectionsToAgents(Duration lag, double factor)
    -> void {
  std::size_t sum = 0;
  std::size_t serving = 0;
  for (const auto& it : agents_) {
    if (it.is_listed && !it.core->draining) {
      sum += it.core->flows.size();
      ++serving;
    }
  }
  const double mean =
      serving == 0 ? 0
                   : static_cast<double>(sum) / static_cast<double>(serving);
  network_.ScheduleAction(network_.now() + lag, [this, mean = mean * factor]() {
    for (auto& it : agents_) {
      SetMeanConnections(*it.core, mean);
    }
  });
}

}  // namespace hawthornbank::bench
