#include <algorithm>
#include <memory>
#include <variant>

#include "hawthornbank/agent.h"
#include "hawthornbank/announcer.h"
#include "hawthornbank/configuration.h"
#include "hawthornbank/plan_follower.h"
#include "hawthornbank/routing_table.h"
#include "protocol/status_json.h"
#include "transport/agent_setup.h"
#include "transport/clock.h"
#include "transport/configuration_binding.h"
#include "transport/control_channel.h"
#include "transport/daemon.h"
#include "transport/daemon_loop.h"
#include "transport/logging.h"
#include "transport/status_server.h"
#include "transport/target_link.h"

namespace hawthornbank::transport {
namespace {

/// Minimum time between the start of the drain and the exit of a stopping
/// agent.
constexpr std::chrono::seconds kMinAnnouncedDrainTime{3};

/// An agent. All handlers run on one thread.
class AgentDaemon {
 public:
  explicit AgentDaemon(const Settings& settings)
      : settings_(settings),
        random_(HashName(settings.name)),
        follower_({.target_name = settings.name}),
        channel_(io_,
                 settings.peer,
                 DeriveKeyRing(settings.key, settings.previous_key)),
        configuration_binding_(
            io_,
            {.self = settings.peer,
             .role = ConfigurationRole::kAgent,
             .zone = settings.zone,
             .region = settings.region,
             .platform = settings.platform},
            [this](Endpoint to, const ConfigurationMessage& message) {
              channel_.SendMessage(to, message);
            },
            [this](const Configuration& next) {
              ApplyConfigurationInForce(next);
            }),
        target_link_(io_,
                     {.target = settings.target_address,
                      .return_path = settings.return_address},
                     MakeLinkHandlers()),
        daemon_loop_(
            io_,
            {.on_tick = [this]() { RunPeriodicAgentWork(); },
             .on_stop =
                 [this](const std::string& reason) {
                   stopping_ = true;
                   CapDrainLimit();
                   StartTargetDrain(reason);
                 },
             .on_forced_stop = [this]() { target_link_.AbortAllRequests(); }}) {
  }

  auto RunAgentDaemon() -> int {
    channel_.StartReceiving(
        [this](Endpoint from, const Message& message) {
          HandleControlMessage(from, message);
        },
        [this](const TunnelPacket& packet) { HandleTunnelPacket(packet); });
    SetConfigurationPeers(settings_.balancers);
    const StatusServer status(
        io_, settings_.metrics,
        {.status = [this]() { return EncodeStatusJson(); },
         .metrics = [this]() { return CollectMetrics(); }});
    LogEvent(Layer::kCoordination, LogLevel::kInfo, "agent_started",
             {{"target", settings_.name}, {"service", settings_.service}});
    return daemon_loop_.RunUntilStopped();
  }

 private:
  auto MakeLinkHandlers() -> LinkHandlers {
    return LinkHandlers{
        .on_target_sent =
            [this](const FlowKey& flow) {
              OnTargetPacketSent(agent_, flow, GetMonotonicTime());
            },
        .on_flow_lost =
            [this](const FlowKey& flow) { HandleFlowLostByTarget(flow); },
        .forward_to_other_target =
            [this](TargetId target, const FlowKey& flow, ByteView datagram) {
              return ForwardToOtherTarget(target, flow, datagram);
            },
    };
  }

  auto SetConfigurationPeers(const std::vector<Endpoint>& balancers) -> void {
    std::vector<LiveBalancer> peers;
    peers.reserve(balancers.size());
    for (const auto& it : balancers) {
      peers.push_back({.host = ConvertEndpointToHostId(it)});
    }
    std::sort(peers.begin(), peers.end(),
              [](const LiveBalancer& a, const LiveBalancer& b) {
                return a.host < b.host;
              });
    configuration_binding_.SetBalancerPeers(std::move(peers));
  }

  // Opens the request gate and the announcer at the first configuration that
  // lists the service, because announcements contain the service's ID.
  auto ApplyConfigurationInForce(const Configuration& next) -> void {
    generation_ = next.generation;
    const auto* const service = FindService(next, settings_.service);
    if (service == nullptr) {
      LogEvent(Layer::kCoordination, LogLevel::kWarn, "service_unknown",
               {{"service", settings_.service}});
      return;
    }
    if (!announcer_) {
      OpenGateAndAnnouncer(*service);
    }
    agent_.options.max_connections = service->max_connections;
    agent_.options.drain_limit = service->drain_limit;
    CapDrainLimit();
    ApplyTargetOrder(DetermineTargetOrder(follower_, next));
  }

  auto ApplyTargetOrder(TargetOrder order) -> void {
    if (stopping_ || order == GetCurrentOrder(agent_)) {
      return;
    }
    LogEvent(
        Layer::kCoordination, LogLevel::kInfo, "target_order",
        {{"target", settings_.name}, {"order", GetTargetOrderName(order)}});
    const TimePoint now = GetMonotonicTime();
    ApplyOrderToAgent(agent_, order, now);
    PropagateDrainState(now);
  }

  // Passes the agent's drain state on to the request gate and to the balancers.
  auto PropagateDrainState(TimePoint now) -> void {
    agent_.draining ? target_link_.StartRefusingRequests()
                    : target_link_.AcceptRequestsAgain();
    if (announcer_) {
      std::vector<AnnouncerAction> actions;
      agent_.draining ? BeginDrain(*announcer_, now, actions)
                      : CancelDrain(*announcer_, now, actions);
      PerformAnnouncerActions(actions);
    }
  }

  auto OpenGateAndAnnouncer(const Service& service) -> void {
    agent_.options.self = settings_.peer;
    agent_.options.service = service.id;
    slots_ = service.slots;
    const Incarnation incarnation = MakeIncarnation();
    target_link_.OpenRequestGate(
        MakeGateOptions(settings_, service, incarnation));
    announcer_ =
        MakeAnnouncer(MakeAnnouncerOptions(settings_, service, incarnation));
  }

  auto HandleControlMessage(Endpoint from, const Message& message) -> void {
    const TimePoint now = GetMonotonicTime();
    if (const auto* ack = std::get_if<AnnouncementAck>(&message)) {
      if (announcer_) {
        std::vector<AnnouncerAction> actions;
        if (!ack->watchers.empty()) {
          SetConfigurationPeers(ack->watchers);
        }
        OnAnnouncementAckReceived(*announcer_, from, *ack, now, actions);
        PerformAnnouncerActions(actions);
      }
    } else if (const auto* update = std::get_if<FlowPointerUpdate>(&message)) {
      std::vector<AgentAction> actions;
      OnFlowPointerReceived(agent_, update->flow, update->owner, now, actions);
      PerformAgentActions(actions, nullptr);
    } else if (const auto* answer = std::get_if<FlowPointerAck>(&message)) {
      OnPointerAcknowledged(agent_, answer->flow, answer->home);
    } else if (const auto* configuration =
                   std::get_if<ConfigurationMessage>(&message)) {
      configuration_binding_.HandleConfigurationMessage(from, *configuration);
    }
  }

  auto PerformAnnouncerActions(const std::vector<AnnouncerAction>& actions)
      -> void {
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<SendAnnounce>(&action)) {
        channel_.SendMessage(send->to, send->announcement);
      } else if (const auto* changed = std::get_if<ViewChanged>(&action)) {
        ApplyServiceView(changed->view);
      } else if (std::holds_alternative<Superseded>(action)) {
        LogEvent(Layer::kCoordination, LogLevel::kError, "superseded",
                 {{"target", settings_.name}});
        daemon_loop_.StopDaemonLoop(
            LookUpErrorAnswer(ErrorKind::kFenced).exit_code);
      }
    }
  }

  auto ApplyServiceView(const ServiceView& view) -> void {
    SetMeanConnections(agent_, view.mean_connections);
    std::vector<AgentAction> actions;
    SetServiceView(
        agent_, ListPresentCandidates(view, ConvertIncarnationToMonotonicTime),
        GetMonotonicTime(), actions);
    PerformAgentActions(actions, nullptr);
  }

  auto HandleTunnelPacket(const TunnelPacket& tunnel) -> void {
    const PacketView packet = ParsePacket(tunnel.packet);
    if (packet.kind == PacketKind::kMalformed ||
        packet.kind == PacketKind::kFragment) {
      IncrementCounter(agent_.counters, Counter::kDropMalformed);
      return;
    }
    std::vector<AgentAction> actions;
    UpdateTargetUsage();
    OnTunnelPacket(agent_, tunnel.header, packet, GetMonotonicTime(), actions);
    PerformAgentActions(actions, &packet);
  }

  auto PerformAgentActions(const std::vector<AgentAction>& actions,
                           const PacketView* packet) -> void {
    for (const auto& action : actions) {
      switch (action.kind) {
        case AgentAction::Kind::kDeliver:
          DeliverToTarget(action.flow, *packet);
          break;
        case AgentAction::Kind::kForwardToAgent:
          channel_.SendTunnelPacket(action.to, action.header, packet->bytes);
          break;
        case AgentAction::Kind::kReset:
          SendResetToCaller(action.flow, packet);
          break;
        case AgentAction::Kind::kHint:
          channel_.SendMessage(
              action.to, FlowHint{.flow = action.flow, .owner = action.owner});
          break;
        case AgentAction::Kind::kPointer:
          channel_.SendMessage(
              action.to,
              FlowPointerUpdate{.flow = action.flow, .owner = action.owner});
          break;
        case AgentAction::Kind::kPointerAck:
          channel_.SendMessage(
              action.to,
              FlowPointerAck{.flow = action.flow, .home = settings_.peer});
          break;
        case AgentAction::Kind::kProbe:
          target_link_.ProbeFlow(action.flow);
          break;
        case AgentAction::Kind::kClose:
          target_link_.CloseFlow(action.flow);
          break;
      }
    }
  }

  auto DeliverToTarget(const FlowKey& flow, const PacketView& packet) -> void {
    // TCP would need a TUN device towards the kernel; see docs/DESIGN.md.
    if (packet.transport != Transport::kUdp ||
        packet.kind == PacketKind::kIcmpError) {
      ++undelivered_packets_;
      return;
    }
    target_link_.DeliverCallerDatagram(flow, packet.payload);
  }

  auto HandleFlowLostByTarget(const FlowKey& flow) -> void {
    IncrementCounter(agent_.counters, Counter::kResetTargetLost);
    SendResetToCaller(flow, nullptr);
    std::vector<AgentAction> actions;
    EndFlow(agent_, flow, actions);
    PerformAgentActions(actions, nullptr);
  }

  // Forwards a request whose token names another target to that target's agent,
  // because only that target may run the request. Returns whether the agent
  // knows that target.
  auto ForwardToOtherTarget(TargetId target,
                            const FlowKey& flow,
                            ByteView datagram) -> bool {
    for (const auto& it : agent_.view) {
      if (it.id == target) {
        const TunnelHeader header{.service = flow.service,
                                  .generation = generation_,
                                  .phase = WalkPhase::kRequestHandover,
                                  .hops = 1};
        channel_.SendTunnelPacket(
            it.agent, header,
            BuildUdpPacket(flow.caller, flow.address, datagram));
        return true;
      }
    }
    return false;
  }

  auto SendResetToCaller(const FlowKey& flow, const PacketView* packet)
      -> void {
    Bytes answer;
    if (packet != nullptr) {
      answer = BuildFlowReset(*packet);
    } else if (flow.transport == Transport::kUdp) {
      const Bytes last = BuildUdpPacket(flow.caller, flow.address, {});
      answer = BuildFlowReset(ParsePacket(last));
    }
    if (!answer.empty()) {
      target_link_.SendToCaller(answer);
    }
  }

  auto RunPeriodicAgentWork() -> void {
    const TimePoint now = GetMonotonicTime();
    configuration_binding_.RunBindingTick();
    target_link_.RunLinkTick(now);
    UpdateTargetUsage();
    std::vector<AgentAction> actions;
    OnAgentTick(agent_, now, actions);
    PerformAgentActions(actions, nullptr);
    if (announcer_) {
      SetTargetLoad(
          *announcer_,
          TargetLoad{
              .connections = static_cast<std::uint32_t>(agent_.flows.size()),
              .slots_busy =
                  static_cast<std::uint16_t>(agent_.target_usage.slots_busy),
              .slots = static_cast<std::uint16_t>(slots_),
              .queued =
                  static_cast<std::uint16_t>(agent_.target_usage.queued)});
      std::vector<AnnouncerAction> announcements;
      OnAnnouncerTick(*announcer_, now, random_, announcements);
      PerformAnnouncerActions(announcements);
    }
    if (stopping_ && CanLeaveService(now)) {
      LeaveService();
    }
  }

  // Updates the target's usage from the request gate's load, so that each
  // decision on a new flow uses the current number of slots.
  auto UpdateTargetUsage() -> void {
    const GateLoadReport load = target_link_.GetGateLoad();
    agent_.target_usage = {.slots = load.slots_allowed,
                           .slots_busy = load.slots_busy,
                           .queued = load.queued};
  }

  // The agent stays for kMinAnnouncedDrainTime after the start of the drain,
  // because balancers that missed the announcement still send opening packets
  // to this agent, which forwards them.
  auto CanLeaveService(TimePoint now) const -> bool {
    return agent_.flows.empty() && target_link_.IsGateDrainComplete() &&
           now - agent_.drain_started > kMinAnnouncedDrainTime;
  }

  // Limits the drain of a stopping agent to the drain limit in the settings,
  // because a host that shuts down may have less time than the service allows.
  auto CapDrainLimit() -> void {
    if (stopping_) {
      agent_.options.drain_limit =
          std::min<Duration>(agent_.options.drain_limit, settings_.drain_limit);
    }
  }

  auto StartTargetDrain(const std::string& reason) -> void {
    if (GetCurrentOrder(agent_) == TargetOrder::kLeave) {
      return;
    }
    LogEvent(Layer::kCoordination, LogLevel::kInfo, "drain_started",
             {{"target", settings_.name}, {"reason", reason}});
    const TimePoint now = GetMonotonicTime();
    BeginDrain(agent_, now);
    PropagateDrainState(now);
  }

  auto LeaveService() -> void {
    if (announcer_) {
      std::vector<AnnouncerAction> actions;
      AnnounceShutdown(*announcer_, GetMonotonicTime(), actions);
      PerformAnnouncerActions(actions);
    }
    auto& view = agent_.view;
    std::erase_if(view, [this](const Candidate& it) {
      return it.agent == settings_.peer;
    });
    std::vector<AgentAction> actions;
    SendPointersToNextHomes(agent_, actions);
    PerformAgentActions(actions, nullptr);
    LogEvent(Layer::kCoordination, LogLevel::kInfo, "agent_stopped",
             {{"target", settings_.name}});
    daemon_loop_.StopDaemonLoop(kGracefulExitCode);
  }

  auto EncodeStatusJson() -> std::string {
    const TargetStatus self{
        .name = settings_.name,
        .service = settings_.service,
        .zone = settings_.zone,
        .state = GetTargetStateName(agent_.draining ? TargetState::kDraining
                                                    : TargetState::kServing),
        .connections = agent_.flows.size(),
        .slots_busy = agent_.target_usage.slots_busy};
    return EncodeStatus(ProcessStatus{
        .role = "agent",
        .name = settings_.name,
        .zone = settings_.zone,
        .generation = generation_,
        .confirmed = IsConfigurationConfirmed(
            configuration_binding_.configuration_store(), GetMonotonicTime()),
        .targets = {self},
        .counters = ConvertMetricsToCounters(CollectMetrics())});
  }

  auto CollectMetrics() -> Metrics {
    Metrics metrics;
    AddCountersToMetrics(agent_.counters, metrics);
    AddCountersToMetrics(channel_.counters(), metrics);
    metrics["flows"] = static_cast<double>(agent_.flows.size());
    metrics["pointers"] = static_cast<double>(agent_.pointers.size());
    for (const auto& it : target_link_.CollectGateCounters()) {
      metrics["request_" + std::string(it.name)] =
          static_cast<double>(it.value);
    }
    metrics["plan_refused_fenced"] =
        static_cast<double>(follower_.fence.refused);
    metrics["undelivered"] = static_cast<double>(undelivered_packets_);
    return metrics;
  }

  Settings settings_;
  Random random_;
  asio::io_context io_;
  Agent agent_;
  PlanFollower follower_;
  std::optional<Announcer> announcer_;
  ControlChannel channel_;
  ConfigurationBinding configuration_binding_;
  TargetLink target_link_;
  DaemonLoop daemon_loop_;
  Generation generation_{};
  std::uint32_t slots_ = 0;
  std::uint64_t undelivered_packets_ = 0;
  bool stopping_ = false;
};

}  // namespace

auto RunAgent(const Settings& settings) -> int {
  return AgentDaemon(settings).RunAgentDaemon();
}

}  // namespace hawthornbank::transport
