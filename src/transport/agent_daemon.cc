#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <variant>

#include "hawthornbank/agent.h"
#include "hawthornbank/announcer.h"
#include "hawthornbank/configuration.h"
#include "transport/clock.h"
#include "transport/configuration_follower.h"
#include "transport/control_channel.h"
#include "transport/daemon.h"
#include "transport/logging.h"
#include "transport/status_server.h"

namespace hawthornbank::transport {
namespace {

constexpr std::chrono::milliseconds kTickInterval{100};
/// CoAP ping (RFC 7252, 4.3): an empty confirmable message.
constexpr std::array<std::uint8_t, 4> kCoapPing = {0x40, 0x00, 0x70, 0x01};

/// An agent: everything runs on one thread.
class AgentDaemon {
 public:
  explicit AgentDaemon(const Settings& settings)
      : settings_(settings),
        random_(HashName(settings.name)),
        channel_(io_,
                 settings.peer,
                 MakeKeyRing(settings.key, settings.previous_key)),
        return_socket_(io_, Endpoint{.address = settings.peer.address}),
        timer_(io_),
        signals_(io_, SIGTERM, SIGINT) {}

  auto Run() -> int {
    channel_.Receive(
        [this](Endpoint from, const Message& message) {
          HandleMessage(from, message);
        },
        [this](const TunnelPacket& packet) { HandlePacket(packet); });
    const ConfigurationFollower follower(
        io_, {.platform = settings_.platform, .region = settings_.region},
        [this](const Configuration& next) { PutInForce(next); });
    const StatusServer status(
        io_, settings_.metrics,
        {.status = [this]() { return StatusJson(); },
         .metrics = [this]() { return CollectMetrics(); }});
    WaitForSignal();
    Tick();
    Log(Layer::kCoordination, LogLevel::kInfo, "agent_started",
        {{"target", settings_.name}, {"service", settings_.service}});
    io_.run();
    return exit_code_;
  }

 private:
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
    const auto& draining = next.draining;
    const bool leaves = std::find(draining.begin(), draining.end(),
                                  settings_.name) != draining.end();
    leaves ? StartDrain("told by the configuration") : CancelOwnDrain();
  }

  auto Start(const Service& service) -> void {
    agent_.options.self = settings_.peer;
    agent_.options.service = service.id;
    slots_ = service.slots;
    announcer_ = MakeAnnouncer(AnnouncerOptions{
        .self = TargetRecord{.id = TargetId{HashName(settings_.name)},
                             .name = settings_.name,
                             .service = service.id,
                             .agent = settings_.peer,
                             .zone = settings_.zone,
                             .incarnation = MakeIncarnation()},
        .seeds = settings_.balancers,
    });
  }

  auto HandleMessage(Endpoint from, const Message& message) -> void {
    const TimePoint now = MonotonicNow();
    if (const auto* ack = std::get_if<AnnounceAck>(&message)) {
      if (announcer_) {
        std::vector<AnnouncerAction> actions;
        OnAnnounceAck(*announcer_, from, *ack, now, actions);
        PerformAnnouncer(actions);
      }
    } else if (const auto* note = std::get_if<FlowPointerNote>(&message)) {
      std::vector<AgentAction> actions;
      OnFlowPointer(agent_, note->flow, note->owner, now, actions);
      PerformAgent(actions, nullptr, nullptr);
    } else if (const auto* answer = std::get_if<FlowPointerAck>(&message)) {
      OnPointerAck(agent_, answer->flow, answer->home);
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
        exit_code_ = AnswerFor(ErrorKind::kFenced).exit_code;
        io_.stop();
      }
    }
  }

  auto TakeView(const ServiceView& view) -> void {
    std::vector<Candidate> candidates;
    for (const auto& it : view.targets) {
      if (it.state == TargetState::kDead || it.state == TargetState::kLeft) {
        continue;
      }
      candidates.push_back(Candidate{.id = it.id,
                                     .agent = it.agent,
                                     .weight_percent = it.weight_percent,
                                     .joined = StartOf(it.incarnation)});
    }
    SetMeanConnections(agent_, view.mean_connections);
    std::vector<AgentAction> actions;
    SetServiceView(agent_, std::move(candidates), MonotonicNow(), actions);
    PerformAgent(actions, nullptr, nullptr);
  }

  auto HandlePacket(const TunnelPacket& tunnel) -> void {
    const PacketView packet = ParsePacket(tunnel.packet);
    if (packet.kind == PacketKind::kMalformed ||
        packet.kind == PacketKind::kFragment) {
      Count(agent_.counters, Counter::kDropMalformed);
      return;
    }
    std::vector<AgentAction> actions;
    OnTunnelPacket(agent_, tunnel.header, packet, MonotonicNow(), actions);
    PerformAgent(actions, &packet, &tunnel.header);
  }

  auto PerformAgent(const std::vector<AgentAction>& actions,
                    const PacketView* packet,
                    const TunnelHeader* header) -> void {
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
          Probe(action.flow);
          break;
        case AgentAction::Kind::kClose:
          CloseSocket(action.flow);
          break;
      }
    }
    static_cast<void>(header);
  }

  auto Deliver(const FlowKey& flow, const PacketView& packet) -> void {
    // TCP would need a TUN device towards the kernel; see docs/DESIGN.md.
    if (packet.transport != Transport::kUdp ||
        packet.kind == PacketKind::kIcmpError) {
      ++undelivered_;
      return;
    }
    SocketOf(flow).Send(packet.payload);
  }

  auto SocketOf(const FlowKey& flow) -> UdpSocket& {
    auto& socket = sockets_[flow];
    if (!socket) {
      socket = std::make_shared<UdpSocket>(
          io_, Endpoint{.address = settings_.target_address.address});
      socket->Connect(settings_.target_address);
      socket->Receive(
          [this, flow](Endpoint, ByteView datagram) {
            OnTargetSent(agent_, flow, MonotonicNow());
            return_socket_.Send(
                settings_.return_address,
                BuildUdpPacket(flow.address, flow.caller, datagram));
          },
          [this, flow](const asio::error_code& ec) {
            HandleTargetError(flow, ec);
          });
    }
    return *socket;
  }

  // A refused connection means that the target lost the flow.
  auto HandleTargetError(const FlowKey& flow, const asio::error_code& ec)
      -> void {
    if (ec != asio::error::connection_refused) {
      return;
    }
    Count(agent_.counters, Counter::kResetTargetLost);
    SendReset(flow, nullptr);
    std::vector<AgentAction> actions;
    EndFlow(agent_, flow, actions);
    PerformAgent(actions, nullptr, nullptr);
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
      return_socket_.Send(settings_.return_address, answer);
    }
  }

  auto Probe(const FlowKey& flow) -> void {
    if (flow.transport != Transport::kUdp) {
      return;
    }
    SocketOf(flow).Send(kCoapPing);
    return_socket_.Send(settings_.return_address,
                        BuildUdpPacket(flow.address, flow.caller, kCoapPing));
  }

  // The socket may be the one whose handler runs, so it is freed later.
  auto CloseSocket(const FlowKey& flow) -> void {
    const auto it = sockets_.find(flow);
    if (it == sockets_.end()) {
      return;
    }
    it->second->Close();
    asio::post(io_, [socket = std::move(it->second)]() {});
    sockets_.erase(it);
  }

  auto Tick() -> void {
    const TimePoint now = MonotonicNow();
    std::vector<AgentAction> actions;
    OnAgentTick(agent_, now, actions);
    PerformAgent(actions, nullptr, nullptr);
    if (announcer_) {
      SetLoad(*announcer_,
              TargetLoad{.connections =
                             static_cast<std::uint32_t>(agent_.flows.size()),
                         .slots = static_cast<std::uint16_t>(slots_)});
      std::vector<AnnouncerAction> announcements;
      OnAnnouncerTick(*announcer_, now, random_, announcements);
      PerformAnnouncer(announcements);
    }
    if (stopping_ && agent_.flows.empty()) {
      Leave();
      return;
    }
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](const asio::error_code& ec) {
      if (!ec) {
        Tick();
      }
    });
  }

  auto StartDrain(const std::string& reason) -> void {
    if (agent_.draining) {
      return;
    }
    Log(Layer::kCoordination, LogLevel::kInfo, "drain_started",
        {{"target", settings_.name}, {"reason", reason}});
    BeginDrain(agent_, MonotonicNow());
    if (announcer_) {
      std::vector<AnnouncerAction> actions;
      BeginDrain(*announcer_, MonotonicNow(), actions);
      PerformAnnouncer(actions);
    }
  }

  auto CancelOwnDrain() -> void {
    if (!agent_.draining || stopping_) {
      return;
    }
    EndDrain(agent_);
    if (announcer_) {
      std::vector<AnnouncerAction> actions;
      CancelDrain(*announcer_, MonotonicNow(), actions);
      PerformAnnouncer(actions);
    }
  }

  auto WaitForSignal() -> void {
    signals_.async_wait([this](const asio::error_code& ec, int) {
      if (ec) {
        return;
      }
      if (stopping_) {
        exit_code_ = kExitForced;
        io_.stop();
        return;
      }
      stopping_ = true;
      StartDrain("signal");
      WaitForSignal();
    });
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
    PerformAgent(actions, nullptr, nullptr);
    Log(Layer::kCoordination, LogLevel::kInfo, "agent_stopped",
        {{"target", settings_.name}});
    io_.stop();
  }

  auto StatusJson() -> std::string {
    return nlohmann::json{{"role", "agent"},
                          {"name", settings_.name},
                          {"zone", settings_.zone},
                          {"service", settings_.service},
                          {"generation", ToInteger(generation_)},
                          {"draining", agent_.draining},
                          {"connections", agent_.flows.size()},
                          {"counters", CollectMetrics()}}
        .dump();
  }

  auto CollectMetrics() -> Metrics {
    Metrics metrics;
    for (std::size_t n = 0; n < kCounterCount; ++n) {
      metrics[std::string(kCounterNames[n])] =
          static_cast<double>(Read(agent_.counters, static_cast<Counter>(n)));
    }
    const auto& channel = channel_.counters();
    metrics["control_bytes_sent"] = static_cast<double>(channel.bytes_sent);
    metrics["control_bytes_received"] =
        static_cast<double>(channel.bytes_received);
    metrics["control_forged"] = static_cast<double>(channel.forged);
    metrics["control_malformed"] = static_cast<double>(channel.malformed);
    metrics["flows"] = static_cast<double>(agent_.flows.size());
    metrics["pointers"] = static_cast<double>(agent_.pointers.size());
    metrics["undelivered"] = static_cast<double>(undelivered_);
    return metrics;
  }

  Settings settings_;
  Random random_;
  asio::io_context io_;
  Agent agent_;
  std::optional<Announcer> announcer_;
  std::unordered_map<FlowKey, std::shared_ptr<UdpSocket>> sockets_;
  ControlChannel channel_;
  UdpSocket return_socket_;
  asio::steady_timer timer_;
  asio::signal_set signals_;
  Generation generation_{};
  std::uint32_t slots_ = 0;
  std::uint64_t undelivered_ = 0;
  bool stopping_ = false;
  int exit_code_ = kExitStopped;
};

}  // namespace

auto RunAgent(const Settings& settings) -> int {
  return AgentDaemon(settings).Run();
}

}  // namespace hawthornbank::transport
