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

/// Least time between the news of a stop and the end of the process.
constexpr std::chrono::seconds kLeaveGrace{3};

/// An agent: everything runs on one thread.
class AgentDaemon {
 public:
  explicit AgentDaemon(const Settings& settings)
      : settings_(settings),
        random_(HashName(settings.name)),
        follower_({.self = settings.name}),
        channel_(io_,
                 settings.peer,
                 MakeKeyRing(settings.key, settings.previous_key)),
        binding_(
            io_,
            {.self = settings.peer,
             .role = ConfigurationRole::kAgent,
             .zone = settings.zone,
             .region = settings.region,
             .platform = settings.platform},
            [this](Endpoint to, const ConfigurationMessage& message) {
              channel_.Send(to, message);
            },
            [this](const Configuration& next) { PutInForce(next); }),
        link_(io_,
              {.target = settings.target_address,
               .return_path = settings.return_address},
              MakeLinkHandlers()),
        loop_(io_,
              {.on_tick = [this]() { Tick(); },
               .on_stop =
                   [this](const std::string& reason) {
                     stopping_ = true;
                     LimitDrain();
                     StartDrain(reason);
                   },
               .on_force = [this]() { link_.Abort(); }}) {}

  auto Run() -> int {
    channel_.Receive(
        [this](Endpoint from, const Message& message) {
          HandleMessage(from, message);
        },
        [this](const TunnelPacket& packet) { HandlePacket(packet); });
    SetConfigurationPeers(settings_.balancers);
    const StatusServer status(
        io_, settings_.metrics,
        {.status = [this]() { return StatusJson(); },
         .metrics = [this]() { return CollectMetrics(); }});
    Log(Layer::kCoordination, LogLevel::kInfo, "agent_started",
        {{"target", settings_.name}, {"service", settings_.service}});
    return loop_.Run();
  }

 private:
  auto MakeLinkHandlers() -> LinkHandlers {
    return LinkHandlers{
        .on_target_sent =
            [this](const FlowKey& flow) {
              OnTargetSent(agent_, flow, MonotonicNow());
            },
        .on_target_lost =
            [this](const FlowKey& flow) { HandleTargetLost(flow); },
        .hand_over =
            [this](TargetId target, const FlowKey& flow, ByteView datagram) {
              return HandOver(target, flow, datagram);
            },
    };
  }

  auto SetConfigurationPeers(const std::vector<Endpoint>& balancers) -> void {
    std::vector<BalancerPeer> peers;
    peers.reserve(balancers.size());
    for (const auto& it : balancers) {
      peers.push_back({.host = ToHostId(it)});
    }
    std::sort(peers.begin(), peers.end(),
              [](const BalancerPeer& a, const BalancerPeer& b) {
                return a.host < b.host;
              });
    binding_.SetPeers(std::move(peers));
  }

  // The first configuration names the service's identity; until then the
  // agent has nothing to announce.
  auto PutInForce(const Configuration& next) -> void {
    generation_ = next.generation;
    const auto* const service = FindService(next, settings_.service);
    if (service == nullptr) {
      Log(Layer::kCoordination, LogLevel::kWarn, "service_unknown",
          {{"service", settings_.service}});
      return;
    }
    if (!announcer_) {
      Start(*service);
    }
    agent_.options.max_connections = service->max_connections;
    agent_.options.drain_limit = service->drain_limit;
    LimitDrain();
    TakeOrder(OrderFor(follower_, next));
  }

  auto TakeOrder(TargetOrder order) -> void {
    if (stopping_ || order == OrderOf(agent_)) {
      return;
    }
    Log(Layer::kCoordination, LogLevel::kInfo, "target_order",
        {{"target", settings_.name}, {"order", OrderName(order)}});
    const TimePoint now = MonotonicNow();
    Follow(agent_, order, now);
    TellDrain(now);
  }

  // The gate and the balancers follow what the agent does.
  auto TellDrain(TimePoint now) -> void {
    agent_.draining ? link_.BeginDrain() : link_.EndDrain();
    if (announcer_) {
      std::vector<AnnouncerAction> actions;
      agent_.draining ? BeginDrain(*announcer_, now, actions)
                      : CancelDrain(*announcer_, now, actions);
      PerformAnnouncer(actions);
    }
  }

  auto Start(const Service& service) -> void {
    agent_.options.self = settings_.peer;
    agent_.options.service = service.id;
    slots_ = service.slots;
    const Incarnation incarnation = MakeIncarnation();
    link_.OpenGate(GateOptionsFor(settings_, service, incarnation));
    announcer_ =
        MakeAnnouncer(AnnouncerOptionsFor(settings_, service, incarnation));
  }

  auto HandleMessage(Endpoint from, const Message& message) -> void {
    const TimePoint now = MonotonicNow();
    if (const auto* ack = std::get_if<AnnounceAck>(&message)) {
      if (announcer_) {
        std::vector<AnnouncerAction> actions;
        if (!ack->watchers.empty()) {
          SetConfigurationPeers(ack->watchers);
        }
        OnAnnounceAck(*announcer_, from, *ack, now, actions);
        PerformAnnouncer(actions);
      }
    } else if (const auto* note = std::get_if<FlowPointerNote>(&message)) {
      std::vector<AgentAction> actions;
      OnFlowPointer(agent_, note->flow, note->owner, now, actions);
      PerformAgent(actions, nullptr);
    } else if (const auto* answer = std::get_if<FlowPointerAck>(&message)) {
      OnPointerAck(agent_, answer->flow, answer->home);
    } else if (const auto* configuration =
                   std::get_if<ConfigurationMessage>(&message)) {
      binding_.HandleMessage(from, *configuration);
    }
  }

  auto PerformAnnouncer(const std::vector<AnnouncerAction>& actions) -> void {
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<SendAnnounce>(&action)) {
        channel_.Send(send->to, send->announce);
      } else if (const auto* changed = std::get_if<ViewChanged>(&action)) {
        TakeView(changed->view);
      } else if (std::holds_alternative<Superseded>(action)) {
        Log(Layer::kCoordination, LogLevel::kError, "superseded",
            {{"target", settings_.name}});
        loop_.Exit(AnswerFor(ErrorKind::kFenced).exit_code);
      }
    }
  }

  auto TakeView(const ServiceView& view) -> void {
    SetMeanConnections(agent_, view.mean_connections);
    std::vector<AgentAction> actions;
    SetServiceView(agent_, CandidatesOf(view, StartOf), MonotonicNow(),
                   actions);
    PerformAgent(actions, nullptr);
  }

  auto HandlePacket(const TunnelPacket& tunnel) -> void {
    const PacketView packet = ParsePacket(tunnel.packet);
    if (packet.kind == PacketKind::kMalformed ||
        packet.kind == PacketKind::kFragment) {
      Count(agent_.counters, Counter::kDropMalformed);
      return;
    }
    std::vector<AgentAction> actions;
    TakeLoad();
    OnTunnelPacket(agent_, tunnel.header, packet, MonotonicNow(), actions);
    PerformAgent(actions, &packet);
  }

  auto PerformAgent(const std::vector<AgentAction>& actions,
                    const PacketView* packet) -> void {
    for (const auto& action : actions) {
      switch (action.kind) {
        case AgentAction::Kind::kDeliver:
          Deliver(action.flow, *packet);
          break;
        case AgentAction::Kind::kPass:
          channel_.SendPacket(action.to, action.header, packet->bytes);
          break;
        case AgentAction::Kind::kReset:
          SendReset(action.flow, packet);
          break;
        case AgentAction::Kind::kHint:
          channel_.Send(action.to,
                        FlowHint{.flow = action.flow, .owner = action.owner});
          break;
        case AgentAction::Kind::kPointer:
          channel_.Send(action.to, FlowPointerNote{.flow = action.flow,
                                                   .owner = action.owner});
          break;
        case AgentAction::Kind::kPointerAck:
          channel_.Send(action.to, FlowPointerAck{.flow = action.flow,
                                                  .home = settings_.peer});
          break;
        case AgentAction::Kind::kProbe:
          link_.Probe(action.flow);
          break;
        case AgentAction::Kind::kClose:
          link_.Close(action.flow);
          break;
      }
    }
  }

  auto Deliver(const FlowKey& flow, const PacketView& packet) -> void {
    // TCP would need a TUN device towards the kernel; see docs/DESIGN.md.
    if (packet.transport != Transport::kUdp ||
        packet.kind == PacketKind::kIcmpError) {
      ++undelivered_;
      return;
    }
    link_.Deliver(flow, packet.payload);
  }

  auto HandleTargetLost(const FlowKey& flow) -> void {
    Count(agent_.counters, Counter::kResetTargetLost);
    SendReset(flow, nullptr);
    std::vector<AgentAction> actions;
    EndFlow(agent_, flow, actions);
    PerformAgent(actions, nullptr);
  }

  // A request whose token names another target runs there or nowhere.
  auto HandOver(TargetId target, const FlowKey& flow, ByteView datagram)
      -> bool {
    for (const auto& it : agent_.view) {
      if (it.id == target) {
        const TunnelHeader header{.service = flow.service,
                                  .generation = generation_,
                                  .phase = WalkPhase::kHandedOver,
                                  .hops = 1};
        channel_.SendPacket(
            it.agent, header,
            BuildUdpPacket(flow.caller, flow.address, datagram));
        return true;
      }
    }
    return false;
  }

  auto SendReset(const FlowKey& flow, const PacketView* packet) -> void {
    Bytes answer;
    if (packet != nullptr) {
      answer = BuildReset(*packet);
    } else if (flow.transport == Transport::kUdp) {
      const Bytes last = BuildUdpPacket(flow.caller, flow.address, {});
      answer = BuildReset(ParsePacket(last));
    }
    if (!answer.empty()) {
      link_.SendToCaller(answer);
    }
  }

  auto Tick() -> void {
    const TimePoint now = MonotonicNow();
    binding_.Tick();
    link_.Tick(now);
    TakeLoad();
    std::vector<AgentAction> actions;
    OnAgentTick(agent_, now, actions);
    PerformAgent(actions, nullptr);
    if (announcer_) {
      SetLoad(
          *announcer_,
          TargetLoad{
              .connections = static_cast<std::uint32_t>(agent_.flows.size()),
              .slots_busy =
                  static_cast<std::uint16_t>(agent_.busyness.slots_busy),
              .slots = static_cast<std::uint16_t>(slots_),
              .queued = static_cast<std::uint16_t>(agent_.busyness.queued)});
      std::vector<AnnouncerAction> announcements;
      OnAnnouncerTick(*announcer_, now, random_, announcements);
      PerformAnnouncer(announcements);
    }
    if (stopping_ && MayLeave(now)) {
      Leave();
    }
  }

  // Every decision on a new flow sees the slots as they are now.
  auto TakeLoad() -> void {
    const GateLoadReport load = link_.Load();
    agent_.busyness = {.slots = load.slots_allowed,
                       .slots_busy = load.slots_busy,
                       .queued = load.queued};
  }

  // Balancers that missed the news still send openings here for a while, and
  // these are passed on.
  auto MayLeave(TimePoint now) const -> bool {
    return agent_.flows.empty() && link_.IsDrained() &&
           now - agent_.drain_started > kLeaveGrace;
  }

  // A host that is told to stop may have less time than the service allows.
  auto LimitDrain() -> void {
    if (stopping_) {
      agent_.options.drain_limit =
          std::min<Duration>(agent_.options.drain_limit, settings_.drain_limit);
    }
  }

  auto StartDrain(const std::string& reason) -> void {
    if (OrderOf(agent_) == TargetOrder::kLeave) {
      return;
    }
    Log(Layer::kCoordination, LogLevel::kInfo, "drain_started",
        {{"target", settings_.name}, {"reason", reason}});
    const TimePoint now = MonotonicNow();
    BeginDrain(agent_, now);
    TellDrain(now);
  }

  auto Leave() -> void {
    if (announcer_) {
      std::vector<AnnouncerAction> actions;
      BeginLeave(*announcer_, MonotonicNow(), actions);
      PerformAnnouncer(actions);
    }
    auto& view = agent_.view;
    std::erase_if(view, [this](const Candidate& it) {
      return it.agent == settings_.peer;
    });
    std::vector<AgentAction> actions;
    HandOverPointers(agent_, actions);
    PerformAgent(actions, nullptr);
    Log(Layer::kCoordination, LogLevel::kInfo, "agent_stopped",
        {{"target", settings_.name}});
    loop_.Exit(kExitStopped);
  }

  auto StatusJson() -> std::string {
    const TargetStatus self{
        .name = settings_.name,
        .service = settings_.service,
        .zone = settings_.zone,
        .state = StateName(agent_.draining ? TargetState::kDraining
                                           : TargetState::kServing),
        .connections = agent_.flows.size(),
        .slots_busy = agent_.busyness.slots_busy};
    return EncodeStatus(ProcessStatus{
        .role = "agent",
        .name = settings_.name,
        .zone = settings_.zone,
        .generation = generation_,
        .confirmed = IsConfirmed(binding_.store(), MonotonicNow()),
        .targets = {self},
        .counters = ToCounters(CollectMetrics())});
  }

  auto CollectMetrics() -> Metrics {
    Metrics metrics;
    AddCounters(agent_.counters, metrics);
    AddCounters(channel_.counters(), metrics);
    metrics["flows"] = static_cast<double>(agent_.flows.size());
    metrics["pointers"] = static_cast<double>(agent_.pointers.size());
    for (const auto& it : link_.Counters()) {
      metrics["request_" + std::string(it.name)] =
          static_cast<double>(it.value);
    }
    metrics["plan_refused_fenced"] =
        static_cast<double>(follower_.fence.refused);
    metrics["undelivered"] = static_cast<double>(undelivered_);
    return metrics;
  }

  Settings settings_;
  Random random_;
  asio::io_context io_;
  Agent agent_;
  PlanFollower follower_;
  std::optional<Announcer> announcer_;
  ControlChannel channel_;
  ConfigurationBinding binding_;
  TargetLink link_;
  DaemonLoop loop_;
  Generation generation_{};
  std::uint32_t slots_ = 0;
  std::uint64_t undelivered_ = 0;
  bool stopping_ = false;
};

}  // namespace

auto RunAgent(const Settings& settings) -> int {
  return AgentDaemon(settings).Run();
}

}  // namespace hawthornbank::transport
