#include <utility>

#include "hawthornbank/listening_time.h"
#include "hawthornbank/target_flows.h"
#include "hawthornbank/target_presence.h"
#include "protocol/log_text.h"
#include "transport/clock.h"
#include "transport/node.h"
#include "transport/node_host.h"
#include "transport/node_target_log.h"
#include "transport/node_warmup_metrics.h"
#include "transport/node_work_order.h"
#include "transport/node_zones.h"
#include "transport/route_peers.h"

namespace hawthornbank::transport {
namespace {

// Interval between checks of opening packets that the target hasn't answered
// and of requests that wait for a place. The checks stop while there are none.
constexpr Duration kOpeningCheckInterval = std::chrono::milliseconds{10};
// Interval between two samples of the target's load for its moving average.
constexpr Duration kLoadSampleInterval = std::chrono::milliseconds{100};
// Maximum time for which a stopping agent waits for the target's running
// requests.
constexpr Duration kFinishTimeout = std::chrono::milliseconds{600};
constexpr Duration kFinishCheckInterval = std::chrono::milliseconds{20};
// An agent exits at the latest this long before the end of the grace period.
constexpr Duration kShutdownMargin = std::chrono::milliseconds{700};
// Age that an agent announces for its stored routes: one hour, because the
// agent can't confirm that the routes are current.
constexpr std::uint32_t kUnconfirmedRoutesAgeMs = 3'600'000;

class AgentNode {
 public:
  AgentNode(const NodeSettings& settings, const NodeCodec& codec)
      : host_(settings, codec, fleet_),
        outbound_(host_.io_context(), settings.outbound),

        opening_timer_(host_.io_context()),
        load_timer_(host_.io_context()),
        shutdown_timer_(host_.io_context()),
        zones_(host_, fleet_, zones_out_of_service_),
        peers_(host_,
               follower_,
               [this](const RouteSet& routes, RoutesDocument document) {
                 KeepNewestRoutesForPeers(routes, std::move(document),
                                          GetMonotonicTime());
               }) {
    target_.options.service =
        static_cast<std::uint32_t>(HashName(settings.service));
    target_.options.self = settings.control;
    target_.options.flow_lifetime = settings.flow_lifetime;
    target_.averaged_at = GetMonotonicTime();
    target_.random = host_.random();
    target_.warmup.counting_since = GetMonotonicTime();
    presence_.service = settings.service;
    presence_.address = settings.target;
    presence_.heartbeat_interval = settings.heartbeat_interval;
    presence_.reuse_delay = settings.reuse_delay;
    presence_.process_started_at = host_.start_time();
    fleet_.self.service = target_.options.service;
  }

  auto RunAgent() -> NodeExit {
    outbound_.StartReceiving([this](Endpoint, ByteView datagram) {
      OnOutboundDatagram(datagram, GetMonotonicTime());
    });
    ScheduleLoadSample();
    return host_.RunEventLoop(NodeRole{
        .describe_self =
            [this](HostRecord& record, TargetLoad& load) {
              record.is_shutting_down = host_.is_stopping();
              const TimePoint now = GetMonotonicTime();
              record.target = DescribeTargetStatus(presence_, now);
              load = ComputeTargetLoad(target_, now);
            },
        .on_relayed_datagram =
            [this](Endpoint, ByteView datagram, TimePoint now) {
              OnRelayedDatagram(datagram, now);
            },
        .on_flow_reply = [](const FlowReply&, TimePoint) {},
        .on_flow_query =
            [this](const FlowQuery& query, TimePoint now) {
              OnFlowQueryReceived(query, now);
            },
        .on_routes_report =
            [this](Endpoint peer, const RoutesReport& report, TimePoint now) {
              if (zones_.OnPeerReport(report, now).has_changed) {
                target_.is_zone_out_of_service = IsOutOfService(
                    zones_out_of_service_, host_.settings().zone);
              }
              peers_.OnPeerReport(peer, report, stored_routes_version_, now);
            },
        .on_former_target =
            [this](std::uint64_t started_at_ms, TimePoint now) {
              OnFormerTarget(started_at_ms, now);
            },
        .on_http_request =
            [this](const HttpServerRequest& call) {
              return OnHttpRequest(call);
            },
        .on_housekeeping_tick =
            [this](TimePoint now) {
              NoteActivity();
              ExpireFlowsAndRequests(target_, now);
              ApplyPresenceOutcome(
                  MarkSilentTargetGone(presence_,
                                       listening_.last - listening_.since),
                  now);
            },
        .on_shutdown = [this](TimePoint now) { BeginShutdown(now); },
        .on_identity_change = [this](TimePoint now) { ReturnOpenings(now); },
        .on_settings_reload =
            [this](const NodeSettings& settings) {
              presence_.heartbeat_interval = settings.heartbeat_interval;
              presence_.reuse_delay = settings.reuse_delay;
              target_.silent_from = ComputeSilenceStart(presence_);
            },
        .describe_routes =
            [this](TimePoint) {
              return RoutesReport{.version = stored_routes_version_,
                                  .age_ms = kUnconfirmedRoutesAgeMs,
                                  .zones = zones_out_of_service_};
            },
    });
  }

 private:
  auto OnRelayedDatagram(ByteView datagram, TimePoint now) -> void {
    std::size_t size = 0;
    const auto header = DecodeRelayHeader(datagram, size);
    if (!header.has_value()) {
      host_.event_log().WriteEvent(EventKind::kMalformedInput, now,
                                   "datagram_malformed bytes={}",
                                   datagram.size());
      return;
    }
    const ByteView bytes = datagram.subspan(size);
    const auto packet = host_.codec().decode_flow_packet(bytes);
    if (!packet.has_value()) {
      ++target_.counts[static_cast<std::size_t>(TargetReason::kMalformed)];
      return;
    }
    const auto opening = DescribeRelayedOpening(target_, *header, *packet);
    if (packet->is_opening) {
      NoteActivity();
    }
    actions_.clear();
    const auto known_limit = target_.warmup.requests_per_second;
    OnRelayedPacket(target_, *header, *packet, bytes, now, actions_);
    PerformTargetActions(opening, bytes, now);
    if (target_.warmup.requests_per_second != known_limit) {
      host_.event_log().WriteEvent(
          EventKind::kStateChange, now, "warmup_limit_set limit={} before={}",
          target_.warmup.requests_per_second, known_limit);
    }
  }

  auto OnFlowQueryReceived(const FlowQuery& query, TimePoint now) -> void {
    actions_.clear();
    OnFlowQuery(target_, query, now, actions_);
    PerformTargetActions({}, {}, now);
  }

  auto OnOutboundDatagram(ByteView datagram, TimePoint now) -> void {
    const auto packet = host_.codec().decode_flow_packet(datagram);
    if (!packet.has_value()) {
      ++target_.counts[static_cast<std::size_t>(TargetReason::kMalformed)];
      host_.event_log().WriteEvent(EventKind::kMalformedInput, now,
                                   "packet_malformed bytes={}",
                                   datagram.size());
      return;
    }
    actions_.clear();
    OnTargetPacket(target_, *packet, now, actions_);
    PerformTargetActions({}, datagram, now);
  }

  // `handled` is the opening that is being handled, if one is.
  auto PerformTargetActions(const std::optional<TargetOpening>& handled,
                            ByteView bytes,
                            TimePoint now) -> void {
    const TargetLogContext context{.target = target_,
                                   .presence = presence_,
                                   .services = host_.service_names()};
    for (const auto& it : actions_) {
      const ByteView packet = it.opening.empty() ? bytes : ByteView(it.opening);
      switch (it.kind) {
        case TargetAction::Kind::kDeliver:
          buf_.assign(packet.begin(), packet.end());
          host_.codec().prepare_packet_for_target(buf_, it.return_id);
          outbound_.SendDatagram(host_.settings().target, buf_);
          break;
        case TargetAction::Kind::kReturnToBalancer:
          buf_.clear();
          AppendRelayHeader(it.header, buf_);
          PreparePacketAndReturnToBalancer(it.to, packet);
          break;
        case TargetAction::Kind::kToCaller:
          outbound_.SendDatagram(host_.GetCallerEndpoint(it.flow), packet);
          break;
        case TargetAction::Kind::kReplyToBalancer:
          host_.SendControlDatagram(DatagramKind::kFlowReply, it.to,
                                    EncodeNodeMessage(FlowReply{
                                        .flow = it.flow,
                                        .agent = host_.settings().control,
                                        .load = ComputeTargetLoad(target_, now),
                                        .ownership = it.ownership}));
          break;
        case TargetAction::Kind::kReset:
          host_.SendResetToCaller(outbound_, it.flow, it.acknowledgement);
          break;
        case TargetAction::Kind::kDrop:
        case TargetAction::Kind::kKeep:
          break;
      }
      LogTargetAction(host_.event_log(), context, it,
                      FindOpening(it, handled, packet), now);
    }
    if (NeedsFrequentTicks() && !is_opening_timer_armed_) {
      is_opening_timer_armed_ = true;
      ScheduleOpeningCheck();
    }
  }

  auto PreparePacketAndReturnToBalancer(Endpoint to, ByteView packet) -> void {
    const std::size_t start = buf_.size();
    buf_.insert(buf_.end(), packet.begin(), packet.end());
    host_.codec().prepare_packet_for_target(std::span(buf_).subspan(start), 0);
    host_.SendControlDatagram(DatagramKind::kReturnedPacket, to, buf_);
  }

  // Returns the opening that an action is about: the one that is being handled,
  // or the one that is returned long after it was delivered.
  [[nodiscard]] auto FindOpening(const TargetAction& action,
                                 const std::optional<TargetOpening>& handled,
                                 ByteView packet) const
      -> std::optional<TargetOpening> {
    const bool may_be_opening =
        action.kind == TargetAction::Kind::kReturnToBalancer ||
        action.kind == TargetAction::Kind::kDrop;
    return handled.has_value() || !may_be_opening
               ? handled
               : DescribeReturnedOpening(
                     action, host_.codec().decode_flow_packet(packet));
  }

  [[nodiscard]] auto NeedsFrequentTicks() const -> bool {
    return !target_.openings.empty() || !target_.order.waiting.empty();
  }

  auto ScheduleOpeningCheck() -> void {
    NodeHost::ScheduleHandler(opening_timer_, kOpeningCheckInterval,
                              [this](TimePoint now) {
                                RunTargetFlowsTick(now);
                                is_opening_timer_armed_ = NeedsFrequentTicks();
                                if (is_opening_timer_armed_) {
                                  ScheduleOpeningCheck();
                                }
                              });
  }

  auto ScheduleLoadSample() -> void {
    NodeHost::ScheduleHandler(load_timer_, kLoadSampleInterval,
                              [this](TimePoint now) {
                                RunTargetFlowsTick(now);
                                CheckDeregistration(now);
                                ScheduleLoadSample();
                              });
  }

  auto RunTargetFlowsTick(TimePoint now) -> void {
    NoteActivity();
    actions_.clear();
    OnTargetTick(target_, now, actions_);
    PerformTargetActions({}, {}, now);
  }

  // Returns the openings that the target hasn't answered yet.
  auto ReturnOpenings(TimePoint now) -> void {
    actions_.clear();
    OnTargetTick(target_, now + target_.options.answer_timeout, actions_);
    PerformTargetActions({}, {}, now);
  }

  auto OnHttpRequest(const HttpServerRequest& call) -> HttpServerResponse {
    if (call.target == host_.settings().metrics_path) {
      return HttpServerResponse{.type = "text/plain",
                                .body = FormatNodeMetrics()};
    }
    const TimePoint now = GetMonotonicTime();
    const NodeRequest decoded =
        host_.codec().decode_node_request(call.method, call.target, call.body);
    if (const auto* const heartbeat = std::get_if<TargetHeartbeat>(&decoded)) {
      return OnHeartbeatRequest(*heartbeat, now);
    }
    if (const auto* const departure =
            std::get_if<DeregistrationRequest>(&decoded)) {
      return OnDeregistrationRequest(*departure, now);
    }
    if (std::holds_alternative<ReadinessRequest>(decoded)) {
      return HttpServerResponse{.status = host_.is_stopping() ? 503 : 200,
                                .body = "{}"};
    }
    const auto& invalid = std::get<InvalidRequest>(decoded);
    host_.event_log().WriteEvent(
        EventKind::kMalformedInput, now,
        "call_invalid method={} target={} reason=\"{}\"", call.method,
        FormatForLog(call.target, kMaxLoggedName), invalid.reason);
    return HttpServerResponse{.status = invalid.status, .body = "{}"};
  }

  // Takes the time for which the host was suspended into account before the
  // decision on an opening or a heartbeat.
  // Reads both clocks: `now` of a handler may be older than the present.
  auto NoteActivity() -> void {
    const Duration suspended = RecordListening(
        listening_, GetTimeWithSuspensions(), GetMonotonicTime());
    if (suspended > Duration::zero()) {
      presence_.heard_at -= suspended;
      target_.silent_from = ComputeSilenceStart(presence_);
    }
  }

  auto OnHeartbeatRequest(TargetHeartbeat heartbeat, TimePoint now)
      -> HttpServerResponse {
    NoteActivity();
    heartbeat.unread_time = ComputeMaxUnreadTime(listening_);
    heartbeat.age = ComputeAge(heartbeat.started_at_ms);
    const auto outcome = OnTargetHeartbeat(presence_, heartbeat, now);
    ApplyPresenceOutcome(outcome, now);
    if (outcome == PresenceOutcome::kLate || !IsAcknowledged(outcome)) {
      LogIgnoredHeartbeat(host_.event_log(), presence_, heartbeat, outcome,
                          now);
    }
    return MakePresenceResponse(outcome);
  }

  // Returns the time since a start by the clock of this host.
  static auto ComputeAge(std::uint64_t started_at_ms)
      -> std::chrono::milliseconds {
    return GetWallTime().time_since_epoch() -
           std::chrono::milliseconds{started_at_ms};
  }

  auto OnDeregistrationRequest(const DeregistrationRequest& departure,
                               TimePoint now) -> HttpServerResponse {
    const auto outcome =
        OnTargetShutdownAnnounced(presence_, departure.id, now);
    ApplyPresenceOutcome(outcome, now);
    if (!IsAcknowledged(outcome)) {
      host_.event_log().WriteEvent(
          EventKind::kMalformedInput, now,
          "deregistration_ignored id={} outcome={} present_id={}",
          FormatForLog(departure.id, kMaxLoggedName), ToString(outcome),
          PresentId());
    }
    return MakePresenceResponse(outcome);
  }

  auto OnFormerTarget(std::uint64_t started_at_ms, TimePoint now) -> void {
    if (!RecordFormerStart(presence_, started_at_ms)) {
      return;
    }
    target_.knows_all_flows = presence_.knows_all_flows;
    host_.event_log().WriteEvent(
        EventKind::kStateChange, now,
        "former_target_known former={} born={} knows_all={}", started_at_ms,
        presence_.status.started_at_ms, presence_.knows_all_flows);
  }

  auto CheckDeregistration(TimePoint now) -> void {
    const auto outcome = ConfirmDeregistration(
        presence_, listening_.last - listening_.since, now);
    if (outcome == PresenceOutcome::kChanged) {
      ApplyPresenceOutcome(outcome, now);
    }
  }

  [[nodiscard]] auto IsAnnouncedAsSilent() const -> bool {
    return presence_.status.state == TargetState::kReady &&
           fleet_.self.target.state == TargetState::kUnknown;
  }

  [[nodiscard]] auto PresentId() const -> std::string {
    return FormatForLog(presence_.id, kMaxLoggedName);
  }

  static auto MakePresenceResponse(PresenceOutcome outcome)
      -> HttpServerResponse {
    constexpr int kConflict = 409;
    return IsAcknowledged(outcome)
               ? HttpServerResponse{.body = "{}"}
               : HttpServerResponse{.status = kConflict, .body = "{}"};
  }

  auto ApplyPresenceOutcome(PresenceOutcome outcome, TimePoint now) -> void {
    target_.knows_all_flows = presence_.knows_all_flows;
    target_.silent_from = ComputeSilenceStart(presence_);
    SetWarmupEnd(target_.warmup, presence_.warm_at,
                 presence_.last_heartbeat_at);
    switch (outcome) {
      case PresenceOutcome::kChanged:
      case PresenceOutcome::kRestarted:
      case PresenceOutcome::kGivenAway:
        actions_.clear();
        ApplyTargetStatus(target_, presence_.status, now, actions_);
        if (presence_.status.state == TargetState::kGone) {
          target_.gone_since = presence_.deregistered_at.value_or(now);
        }
        PerformTargetActions({}, {}, now);
        break;
      case PresenceOutcome::kReplaced:
        ApplyReplacedTarget(target_, presence_.status, presence_.first_heard_at,
                            now);
        break;
      case PresenceOutcome::kClaimed:
      case PresenceOutcome::kDeregistered:
        break;
      case PresenceOutcome::kKnown:
        if (IsAnnouncedAsSilent() && now < target_.silent_from) {
          host_.gossip().AnnounceSelf(now);
        }
        return;
      case PresenceOutcome::kLate:
      case PresenceOutcome::kOtherStart:
      case PresenceOutcome::kForeign:
        return;
    }
    host_.event_log().WriteEvent(
        EventKind::kStateChange, now,
        "target_{} id={} state={} born={} age_ms={} seq={} slots={} cold={} "
        "knows_all={}",
        ToString(outcome), PresentId(), ToString(presence_.status.state),
        presence_.status.started_at_ms,
        ComputeAge(presence_.status.started_at_ms).count(), presence_.sequence,
        presence_.status.slots, presence_.status.cold,
        presence_.knows_all_flows);
    host_.gossip().AnnounceSelf(now);
  }

  // An agent doesn't use the routes. The agent keeps the newest routes for
  // balancers that start while the platform's store is down.
  auto KeepNewestRoutesForPeers(const RouteSet& routes,
                                RoutesDocument document,
                                TimePoint now) -> void {
    if (routes.version <= stored_routes_version_) {
      return;
    }
    stored_routes_version_ = routes.version;
    host_.event_log().WriteEvent(
        EventKind::kStateChange, now, "routes_kept version={} bytes={}",
        stored_routes_version_, document.encoded.size());
    peers_.SetRoutesDocument(std::move(document));
    host_.gossip().AnnounceSelf(now);
  }

  auto FormatNodeMetrics() -> std::string {
    std::string text = FormatPacketCounters<TargetReason>(target_.counts);
    text += fmt::format("hawthornbank_target_failure {:.3f}\n",
                        target_.health.failure);
    text += fmt::format("hawthornbank_target_running {}\n", target_.running);
    text += fmt::format("hawthornbank_flows {}\n", target_.flows.size());
    text += zones_.FormatMetrics();
    text += FormatWarmupMetrics(target_.warmup, GetMonotonicTime());
    text += FormatWorkOrderMetrics(target_.order);
    text += FormatTrafficMetrics(host_.traffic());
    return text;
  }

  auto BeginShutdown(TimePoint now) -> void {
    target_.is_shutting_down = true;
    shutdown_deadline_ = now + kFinishTimeout;
    confirmation_deadline_ =
        now + host_.settings().grace_period - kShutdownMargin;
    ResetFlowsIfTargetIsGone(now);
    host_.gossip().AnnounceSelf(now);
    ScheduleShutdownCheck();
  }

  auto ScheduleShutdownCheck() -> void {
    NodeHost::ScheduleHandler(shutdown_timer_, kFinishCheckInterval,
                              [this](TimePoint now) {
                                if (MustStayUp(now)) {
                                  ScheduleShutdownCheck();
                                } else {
                                  ResetFlowsIfTargetIsGone(now);
                                  host_.StopEventLoop();
                                }
                              });
  }

  // A deregistration that isn't confirmed may be a late one: the agent waits
  // until it knows whether the target's flows are to be reset.
  [[nodiscard]] auto MustStayUp(TimePoint now) const -> bool {
    if (presence_.status.state == TargetState::kGone) {
      return false;
    }
    return presence_.deregistered_at.has_value()
               ? now < confirmation_deadline_
               : target_.running > 0 && now <= shutdown_deadline_;
  }

  // The platform stops an agent only after the agent's target has terminated,
  // so no flow of the target can continue.
  auto ResetFlowsIfTargetIsGone(TimePoint now) -> void {
    if (presence_.status.state == TargetState::kGone) {
      actions_.clear();
      ResetAllTargetFlows(target_, actions_);
      PerformTargetActions({}, {}, now);
    }
  }

  Fleet fleet_;
  TargetFlows target_;
  TargetPresence presence_;
  ListeningTime listening_ =
      StartListening(GetTimeWithSuspensions(), GetMonotonicTime());
  NodeHost host_;
  UdpSocket outbound_;

  asio::steady_timer opening_timer_;
  asio::steady_timer load_timer_;
  asio::steady_timer shutdown_timer_;
  RouteFollower follower_;
  ZonesOutOfService zones_out_of_service_;
  NodeZones zones_;
  RoutePeers peers_;
  std::uint64_t stored_routes_version_ = 0;  ///< Version of the stored routes.
  std::vector<TargetAction> actions_;
  Bytes buf_;
  TimePoint shutdown_deadline_{};
  /// Latest end of the wait for the confirmation of a deregistration.
  TimePoint confirmation_deadline_{};
  bool is_opening_timer_armed_ = false;
};

}  // namespace

auto RunAgentNode(const NodeSettings& settings, const NodeCodec& codec)
    -> NodeExit {
  return AgentNode(settings, codec).RunAgent();
}

}  // namespace hawthornbank::transport
