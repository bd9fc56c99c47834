#include <utility>

#include "hawthornbank/target_flows.h"
#include "hawthornbank/target_presence.h"
#include "transport/clock.h"
#include "transport/node.h"
#include "transport/node_host.h"
#include "transport/route_peers.h"

namespace hawthornbank::transport {
namespace {

// Interval at which unanswered openings are looked at, while there are any.
constexpr Duration kOpeningTick = std::chrono::milliseconds{10};
// Interval at which the load is averaged.
constexpr Duration kLoadTick = std::chrono::milliseconds{100};
// A stopping agent waits for running requests for this long.
constexpr Duration kFinishTime = std::chrono::milliseconds{600};
constexpr Duration kFinishTick = std::chrono::milliseconds{20};
// Routes that are kept say nothing about how new they are.
constexpr std::uint32_t kUnconfirmedAge = 3'600'000;

class AgentNode {
 public:
  AgentNode(const NodeSettings& settings, const NodeCodec& codec)
      : host_(settings, codec, fleet_),
        outbound_(host_.io(), settings.outbound),

        opening_timer_(host_.io()),
        load_timer_(host_.io()),
        stop_timer_(host_.io()),
        peers_(host_,
               follower_,
               [this](const RouteSet& routes, const std::string& document) {
                 Keep(routes, document, MonotonicNow());
               }) {
    target_.options.service =
        static_cast<std::uint32_t>(HashName(settings.service));
    target_.options.self = settings.control;
    target_.averaged = MonotonicNow();
    target_.random = host_.random();
    presence_.service = settings.service;
    fleet_.self.service = target_.options.service;
  }

  auto Run() -> int {
    outbound_.Receive([this](Endpoint, ByteView datagram) {
      OnOutbound(datagram, MonotonicNow());
    });
    LoadTimer();
    return host_.Run(NodeRole{
        .describe =
            [this](HostRecord& record, TargetLoad& load) {
              record.leaving = host_.stopping();
              record.target = presence_.status;
              load = LoadOf(target_);
            },
        .on_relay = [this](Endpoint, ByteView datagram,
                           TimePoint now) { OnRelay(datagram, now); },
        .on_note = [](const FlowNote&, TimePoint) {},
        .on_query = [this](const FlowQuery& query,
                           TimePoint now) { OnQuery(query, now); },
        .on_announce =
            [this](const HostAnnounce& announce, TimePoint now) {
              peers_.OnAnnounce(announce, version_, now);
            },
        .on_call = [this](const HttpCall& call) { return OnCall(call); },
        .on_slow_tick =
            [this](TimePoint now) {
              ForgetOldFlows(target_, now);
              NotePresence(OnSilence(presence_, host_.settings().heartbeat,
                                     now - host_.started()),
                           presence_.id, now);
            },
        .on_stop = [this](TimePoint now) { Stop(now); },
        .on_settings = [](const NodeSettings&) {},
        .version =
            [this](HostAnnounce& announce, TimePoint) {
              announce.version = version_;
              announce.version_age_ms = kUnconfirmedAge;
            },
    });
  }

 private:
  auto OnRelay(ByteView datagram, TimePoint now) -> void {
    std::size_t size = 0;
    const auto header = DecodeRelayHeader(datagram, size);
    if (!header.has_value()) {
      host_.log().Write(EventKind::kInput, now, "datagram_malformed bytes={}",
                        datagram.size());
      return;
    }
    const ByteView bytes = datagram.subspan(size);
    const auto packet = host_.codec().decode_packet(bytes);
    if (!packet.has_value()) {
      ++target_.counts[static_cast<std::size_t>(TargetReason::kMalformed)];
      return;
    }
    actions_.clear();
    OnRelayedPacket(target_, *header, *packet, bytes, now, actions_);
    Perform(bytes, now);
  }

  auto OnQuery(const FlowQuery& query, TimePoint now) -> void {
    actions_.clear();
    OnFlowQuery(target_, query, actions_);
    Perform({}, now);
  }

  auto OnOutbound(ByteView datagram, TimePoint now) -> void {
    const auto packet = host_.codec().decode_packet(datagram);
    if (!packet.has_value()) {
      ++target_.counts[static_cast<std::size_t>(TargetReason::kMalformed)];
      host_.log().Write(EventKind::kInput, now, "packet_malformed bytes={}",
                        datagram.size());
      return;
    }
    actions_.clear();
    OnTargetPacket(target_, *packet, now, actions_);
    Perform(datagram, now);
  }

  auto Perform(ByteView bytes, TimePoint now) -> void {
    for (const auto& it : actions_) {
      const ByteView packet = it.opening.empty() ? bytes : ByteView(it.opening);
      switch (it.kind) {
        case TargetAction::Kind::kDeliver:
          buf_.assign(packet.begin(), packet.end());
          host_.codec().prepare_packet(buf_, it.cursor);
          outbound_.Send(host_.settings().target, buf_);
          break;
        case TargetAction::Kind::kSendBack:
          buf_.clear();
          EncodeRelayHeader(it.header, buf_);
          SendPrepared(it.to, packet);
          break;
        case TargetAction::Kind::kToCaller:
          outbound_.Send(host_.CallerOf(it.flow), packet);
          break;
        case TargetAction::Kind::kNote:
          host_.Send(it.to, EncodeNodeMessage(
                                FlowNote{.flow = it.flow,
                                         .agent = host_.settings().control,
                                         .load = LoadOf(target_),
                                         .holding = it.holding}));
          break;
        case TargetAction::Kind::kReset:
          host_.SendReset(outbound_, it.flow, it.acknowledgement);
          break;
        case TargetAction::Kind::kDrop:
          break;
      }
      Log(it, now);
    }
    if (!target_.openings.empty() && !opening_armed_) {
      opening_armed_ = true;
      OpeningTimer();
    }
  }

  auto SendPrepared(Endpoint to, ByteView packet) -> void {
    const std::size_t start = buf_.size();
    buf_.insert(buf_.end(), packet.begin(), packet.end());
    host_.codec().prepare_packet(std::span(buf_).subspan(start), 0);
    host_.Send(to, buf_);
  }

  auto Log(const TargetAction& action, TimePoint now) -> void {
    switch (action.kind) {
      case TargetAction::Kind::kSendBack:
        host_.log().Write(
            EventKind::kFlow, now,
            "flow_sent_back flow={} reason={} running={} slots={} target={} "
            "asked={}",
            FlowText(action.flow), ToString(action.reason), target_.running,
            target_.status.slots, ToString(target_.status.state),
            action.header.asked.size());
        break;
      case TargetAction::Kind::kReset:
      case TargetAction::Kind::kDrop:
        host_.log().Write(
            EventKind::kRefusal, now, "{} flow={} reason={} born={}",
            action.kind == TargetAction::Kind::kReset ? "flow_reset"
                                                      : "packet_dropped",
            FlowText(action.flow), ToString(action.reason),
            target_.status.born);
        break;
      default:
        if (action.reason == TargetReason::kOpened ||
            action.reason == TargetReason::kOffered) {
          host_.log().Write(EventKind::kFlow, now,
                            "flow_{} flow={} running={} flows={} knows_all={}",
                            ToString(action.reason), FlowText(action.flow),
                            target_.running, target_.flows.size(),
                            target_.knows_all);
        }
        break;
    }
  }

  auto OpeningTimer() -> void {
    NodeHost::After(opening_timer_, kOpeningTick, [this](TimePoint now) {
      Tick(now);
      opening_armed_ = !target_.openings.empty();
      if (opening_armed_) {
        OpeningTimer();
      }
    });
  }

  auto LoadTimer() -> void {
    NodeHost::After(load_timer_, kLoadTick, [this](TimePoint now) {
      Tick(now);
      LoadTimer();
    });
  }

  auto Tick(TimePoint now) -> void {
    actions_.clear();
    OnTargetTick(target_, now, actions_);
    Perform({}, now);
  }

  auto OnCall(const HttpCall& call) -> HttpAnswer {
    if (call.target == host_.settings().metrics_path) {
      return HttpAnswer{.type = "text/plain", .body = Metrics()};
    }
    const TimePoint now = MonotonicNow();
    const NodeCall decoded =
        host_.codec().decode_call(call.method, call.target, call.body);
    if (const auto* const beat = std::get_if<TargetHeartbeat>(&decoded)) {
      return OnBeat(*beat, now);
    }
    if (const auto* const departure = std::get_if<DepartureCall>(&decoded)) {
      NotePresence(OnDeparture(presence_, departure->id), departure->id, now);
      return HttpAnswer{.body = "{}"};
    }
    if (std::holds_alternative<ReadyCall>(decoded)) {
      return HttpAnswer{.status = host_.stopping() ? 503 : 200, .body = "{}"};
    }
    const auto& invalid = std::get<InvalidCall>(decoded);
    host_.log().Write(EventKind::kInput, now,
                      "call_invalid method={} target={} reason=\"{}\"",
                      call.method, call.target, invalid.reason);
    return HttpAnswer{.status = invalid.status, .body = "{}"};
  }

  auto OnBeat(const TargetHeartbeat& beat, TimePoint now) -> HttpAnswer {
    const auto outcome = OnHeartbeat(presence_, beat, now);
    NotePresence(outcome, beat.id, now);
    return HttpAnswer{
        .status = outcome == PresenceOutcome::kForeign ? 409 : 200,
        .body = "{}"};
  }

  auto NotePresence(PresenceOutcome outcome,
                    const std::string& id,
                    TimePoint now) -> void {
    target_.knows_all = presence_.seen_since_start;
    if (outcome != PresenceOutcome::kChanged &&
        outcome != PresenceOutcome::kRestarted) {
      if (outcome != PresenceOutcome::kKnown) {
        host_.log().Write(EventKind::kInput, now,
                          "heartbeat_ignored id={} outcome={}", id,
                          ToString(outcome));
      }
      return;
    }
    actions_.clear();
    SetTargetStatus(target_, presence_.status, now, actions_);
    Perform({}, now);
    host_.log().Write(
        EventKind::kBelief, now,
        "target_{} id={} state={} born={} seq={} slots={} cold={}",
        ToString(outcome), id, ToString(presence_.status.state),
        presence_.status.born, presence_.sequence, presence_.status.slots,
        presence_.status.cold);
    host_.Announce(now);
  }

  // An agent needs no routes. It keeps them for balancers that start while the
  // store is down.
  auto Keep(const RouteSet& routes, const std::string& document, TimePoint now)
      -> void {
    if (routes.version <= version_) {
      return;
    }
    version_ = routes.version;
    peers_.SetDocument(document);
    host_.log().Write(EventKind::kBelief, now,
                      "routes_kept version={} bytes={}", version_,
                      document.size());
    host_.Announce(now);
  }

  auto Metrics() -> std::string {
    std::string text = ReasonLines<TargetReason>(target_.counts);
    text += fmt::format("hawthornbank_target_failure {:.3f}\n",
                        target_.health.failure);
    text += fmt::format("hawthornbank_target_running {}\n", target_.running);
    text += fmt::format("hawthornbank_flows {}\n", target_.flows.size());
    return text;
  }

  auto Stop(TimePoint now) -> void {
    target_.leaving = true;
    stop_by_ = now + kFinishTime;
    if (presence_.status.state == TargetState::kGone) {
      // The platform stops an agent after its target has ended.
      actions_.clear();
      EndTarget(target_, actions_);
      Perform({}, now);
    }
    host_.Announce(now);
    StopTimer();
  }

  auto StopTimer() -> void {
    NodeHost::After(stop_timer_, kFinishTick, [this](TimePoint now) {
      const bool gone = presence_.status.state == TargetState::kGone;
      if (gone || target_.running == 0 || now > stop_by_) {
        host_.Exit();
      } else {
        StopTimer();
      }
    });
  }

  Fleet fleet_;
  TargetFlows target_;
  TargetPresence presence_;
  NodeHost host_;
  UdpSocket outbound_;

  asio::steady_timer opening_timer_;
  asio::steady_timer load_timer_;
  asio::steady_timer stop_timer_;
  RouteFollower follower_;
  RoutePeers peers_;
  std::uint64_t version_ = 0;  ///< Of the routes that are kept.
  std::vector<TargetAction> actions_;
  Bytes buf_;
  TimePoint stop_by_{};
  bool opening_armed_ = false;
};

}  // namespace

auto RunAgentNode(const NodeSettings& settings, const NodeCodec& codec) -> int {
  return AgentNode(settings, codec).Run();
}

}  // namespace hawthornbank::transport
