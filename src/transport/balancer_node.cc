#include <utility>

#include "hawthornbank/route_follower.h"
#include "hawthornbank/steering.h"
#include "protocol/route_codec.h"
#include "transport/clock.h"
#include "transport/latency_histogram.h"
#include "transport/node.h"
#include "transport/node_host.h"
#include "transport/node_steering_log.h"
#include "transport/node_zones.h"
#include "transport/route_peers.h"
#include "transport/store_reader.h"

namespace hawthornbank::transport {
namespace {

// Interval between checks of unconfirmed opening packets and of flow searches.
// The checks stop while no opening packet and no flow search is pending.
constexpr Duration kOpeningCheckInterval = std::chrono::milliseconds{10};
// Interval between checks whether a call to the platform's store or a fetch of
// a peer's routes is due.
constexpr Duration kStoreCheckInterval = std::chrono::milliseconds{50};
// Time without callers' packets after which a stopping balancer exits. Routers
// check readiness twice a second and stop sending after two failed checks.
constexpr Duration kQuietPeriod = std::chrono::milliseconds{1200};
constexpr Duration kQuietCheckInterval = std::chrono::milliseconds{100};
// A stopping balancer exits at the latest this long before the end of the grace
// period.
constexpr Duration kShutdownMargin = std::chrono::milliseconds{700};

// Returns the size of datagrams on the wire in bytes, with IPv4 and UDP
// headers.
auto ComputeWireBytes(std::uint64_t datagrams, std::uint64_t bytes)
    -> std::uint64_t {
  constexpr std::uint64_t kHeaderBytes = 28;
  return bytes + datagrams * kHeaderBytes;
}

// Formats the traffic counters of a socket as metrics.
auto FormatTrafficCounters(const char* socket, const UdpTraffic& traffic)
    -> std::string {
  return fmt::format(
      "hawthornbank_datagrams_total{{socket=\"{0}\",way=\"in\"}} {1}\n"
      "hawthornbank_datagrams_total{{socket=\"{0}\",way=\"out\"}} {2}\n"
      "hawthornbank_bytes_total{{socket=\"{0}\",way=\"in\"}} {3}\n"
      "hawthornbank_bytes_total{{socket=\"{0}\",way=\"out\"}} {4}\n"
      "hawthornbank_datagrams_unsent_total{{socket=\"{0}\"}} {5}\n",
      socket, traffic.received, traffic.sent, traffic.received_bytes,
      traffic.sent_bytes, traffic.send_failures);
}

// Where a balancer got its routes from.
enum class RoutesSource : std::uint8_t { kStore, kPeer };

class BalancerNode {
 public:
  BalancerNode(const NodeSettings& settings, const NodeCodec& codec)
      : host_(settings, codec, steering_.fleet),
        data_(host_.io_context(), settings.data),
        opening_timer_(host_.io_context()),
        store_timer_(host_.io_context()),
        shutdown_timer_(host_.io_context()),
        store_(host_,
               follower_,
               StoreReaderCallbacks{
                   .on_position =
                       [this](const StorePosition& position) {
                         RepairBalancerRegistryIfDue(position);
                       },
                   .on_routes =
                       [this](const RouteSet& routes,
                              const std::string& document) {
                         OnStoreRoutes(routes, document);
                       },
                   .on_zones =
                       [this](ZonesOutOfService zones, bool has_lost_changes) {
                         OnStoreZones(std::move(zones), has_lost_changes);
                       },
                   .on_answer_handled =
                       [this] {
                         SendRoutesNewsIfDue();
                         ScheduleNextStoreCall();
                       }}),
        zones_(host_, steering_.fleet, steering_.zones),
        peers_(host_,
               follower_,
               [this](const RouteSet& routes, RoutesDocument document) {
                 PutRoutesInForceIfNewer(routes, std::move(document),
                                         RoutesSource::kPeer,
                                         GetMonotonicTime());
               }) {}

  auto RunBalancer() -> NodeExit {
    data_.StartReceiving([this](Endpoint, ByteView datagram) {
      OnCallerSocketDatagram(datagram, GetMonotonicTime());
    });
    steering_.started = host_.start_time();
    follower_.started = host_.start_time();
    steering_.link.options.bytes_per_second =
        host_.settings().link_bytes_per_second;
    steering_.link.measured_at = host_.start_time();
    steering_.options.warmup = host_.settings().warmup;
    steering_.options.flow_lifetime = host_.settings().flow_lifetime;
    steering_.random = host_.random();
    steering_.expects_zones = follower_.lists_zones = zones_.is_enabled();
    RunStoreTick();
    return host_.RunEventLoop(NodeRole{
        .describe_self =
            [this](HostRecord& record, TargetLoad&) {
              record.is_shutting_down = host_.is_stopping();
            },
        .on_relayed_datagram =
            [this](Endpoint from, ByteView datagram, TimePoint now) {
              OnReturnedDatagram(from, datagram, now);
            },
        .on_flow_reply =
            [this](const FlowReply& reply, TimePoint now) {
              OnFlowReplyReceived(reply, now);
            },
        .on_flow_query = [](const FlowQuery&, TimePoint) {},
        .on_routes_report =
            [this](Endpoint peer, const RoutesReport& report, TimePoint now) {
              OnRoutesReport(peer, report, now);
            },
        .on_http_request =
            [this](const HttpServerRequest& call) {
              return OnHttpRequest(call);
            },
        .on_housekeeping_tick =
            [this](TimePoint now) { EraseIdleFlows(steering_, now); },
        .on_shutdown = [this](TimePoint now) { BeginShutdown(now); },
        .on_identity_change = [](TimePoint) {},
        .on_settings_reload =
            [this](const NodeSettings& settings) {
              OnSettingsReload(settings);
            },
        .describe_routes =
            [this](TimePoint now) { return DescribeRoutes(now); },
    });
  }

 private:
  auto OnCallerSocketDatagram(ByteView datagram, TimePoint now) -> void {
    last_packet_at_ = now;
    const auto packet = host_.codec().decode_flow_packet(datagram);
    if (!packet.has_value()) {
      ++steering_.counts[static_cast<std::size_t>(SteeringReason::kMalformed)];
      host_.event_log().WriteEvent(EventKind::kMalformedInput, now,
                                   "packet_malformed bytes={}",
                                   datagram.size());
      return;
    }
    RecordLinkTraffic(now);
    UpdateReadTime();
    const auto opening = DescribeCallerOpening(steering_, *packet);
    actions_.clear();
    OnCallerPacket(steering_, *packet, datagram, now, actions_);
    PerformSteeringActions(opening, datagram, now);
  }

  // Replies of agents may be unread while this process is busy, and newer
  // routes that a peer has may not have arrived.
  auto UpdateReadTime() -> void {
    steering_.messages_read_until = host_.control_socket().read_until();
    steering_.routes_confirmed_at =
        follower_.peer_version > steering_.routes.version
            ? TimePoint{}
            : follower_.confirmed_at;
  }

  auto RecordLinkTraffic(TimePoint now) -> void {
    const UdpTraffic& data = data_.traffic();
    const UdpTraffic& control = host_.control_socket().traffic();
    hawthornbank::UpdateLinkUtilisation(
        steering_.link,
        ComputeWireBytes(data.received, data.received_bytes) +
            ComputeWireBytes(control.received, control.received_bytes),
        ComputeWireBytes(data.sent, data.sent_bytes) +
            ComputeWireBytes(control.sent, control.sent_bytes),
        now);
  }

  auto OnReturnedDatagram(Endpoint from, ByteView datagram, TimePoint now)
      -> void {
    std::size_t size = 0;
    auto header = DecodeRelayHeader(datagram, size);
    if (!header.has_value() || !header->is_returned) {
      host_.event_log().WriteEvent(EventKind::kMalformedInput, now,
                                   "datagram_malformed bytes={}",
                                   datagram.size());
      return;
    }
    const ByteView bytes = datagram.subspan(size);
    const auto packet = host_.codec().decode_flow_packet(bytes);
    if (!packet.has_value()) {
      return;
    }
    actions_.clear();
    OnPacketReturnedByAgent(steering_, from, *header, *packet, bytes, now,
                            actions_);
    if (packet->is_opening && actions_.empty()) {
      LogIgnoredReturn(host_.event_log(), log_context(), from, *header, *packet,
                       now);
    }
    PerformSteeringActions({}, bytes, now);
  }

  auto OnFlowReplyReceived(const FlowReply& reply, TimePoint now) -> void {
    actions_.clear();
    const auto opening = FindPendingOpening(steering_, reply.flow);
    const Duration took = OnFlowReply(steering_, reply, now, actions_);
    PerformSteeringActions({}, {}, now);
    if (took > Duration::zero()) {
      placement_latency_.AddSample(took);
      LogConfirmation(host_.event_log(), reply, opening, took, now);
    }
  }

  // `handled` is the caller's opening that is being handled, if one is.
  auto PerformSteeringActions(const std::optional<SteeredOpening>& handled,
                              ByteView bytes,
                              TimePoint now) -> void {
    for (const auto& it : actions_) {
      switch (it.kind) {
        case SteeringAction::Kind::kRelay:
          RelayPacket(it, it.kept.empty() ? bytes : ByteView(it.kept));
          break;
        case SteeringAction::Kind::kQuery:
          SendFlowQuery(it);
          break;
        case SteeringAction::Kind::kReset:
          host_.SendResetToCaller(data_, it.flow, it.acknowledgement);
          break;
        case SteeringAction::Kind::kDrop:
          break;
      }
      const bool is_stored = !handled.has_value() && !it.kept.empty();
      LogSteeringAction(
          host_.event_log(), log_context(), it,
          is_stored
              ? DescribeStoredOpening(host_.codec().decode_flow_packet(it.kept))
              : handled,
          now);
    }
    if (HasPendingOpeningsOrSearches() && !is_opening_timer_armed_) {
      is_opening_timer_armed_ = true;
      ScheduleOpeningCheck();
    }
  }

  [[nodiscard]] auto log_context() const -> SteeringLogContext {
    return {.steering = steering_, .services = host_.service_names()};
  }

  [[nodiscard]] auto HasPendingOpeningsOrSearches() const -> bool {
    return !steering_.openings.empty() || !steering_.searches.flows.empty();
  }

  auto SendFlowQuery(const SteeringAction& action) -> void {
    const Bytes datagram = EncodeNodeMessage(action.query);
    for (const auto it : action.receivers) {
      host_.SendControlDatagram(DatagramKind::kFlowQuery, it, datagram);
    }
  }

  auto RelayPacket(const SteeringAction& action, ByteView bytes) -> void {
    buf_.clear();
    AppendRelayHeader(action.header, buf_);
    buf_.insert(buf_.end(), bytes.begin(), bytes.end());
    host_.SendControlDatagram(DatagramKind::kRelayedPacket, action.to, buf_);
  }

  auto ScheduleOpeningCheck() -> void {
    NodeHost::ScheduleHandler(
        opening_timer_, kOpeningCheckInterval, [this](TimePoint now) {
          UpdateReadTime();
          actions_.clear();
          OnSteeringTick(steering_, now, actions_);
          PerformSteeringActions({}, {}, now);
          is_opening_timer_armed_ = HasPendingOpeningsOrSearches();
          if (is_opening_timer_armed_) {
            ScheduleOpeningCheck();
          }
        });
  }

  // Routes ------------------------------------------------------------------

  [[nodiscard]] auto DescribeRoutes(TimePoint now) const -> RoutesReport {
    return RoutesReport{
        .version = steering_.routes.version,
        .age_ms = static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - follower_.confirmed_at)
                .count()),
        .zones = steering_.zones};
  }

  // Passes the news of another zone's reader on in this balancer's zone.
  auto OnRoutesReport(Endpoint peer, const RoutesReport& report, TimePoint now)
      -> void {
    const PeerZonesOutcome zones = zones_.OnPeerReport(report, now);
    const bool is_confirmed = peers_.OnPeerReport(
        peer, zones.is_same ? report : RemoveConfirmation(report),
        steering_.routes.version, now);
    if (zones.has_changed && IsInOtherZone(peer)) {
      follower_.news_sent_at = now;
      host_.gossip().SendRoutesNews(false, now);
    } else if (is_confirmed && IsInOtherZone(peer) &&
               ComputeReaderRank(steering_.fleet, now).in_zone == 0 &&
               BeginRoutesNewsIfDue(follower_, now)) {
      host_.gossip().SendRoutesNews(false, now);
    }
  }

  [[nodiscard]] auto IsInOtherZone(Endpoint peer) const -> bool {
    const auto it = steering_.fleet.hosts.find(peer);
    return it != steering_.fleet.hosts.end() &&
           it->second.record.zone != steering_.fleet.self.zone;
  }

  auto RunStoreTick() -> void {
    const TimePoint now = GetMonotonicTime();
    follower_.news_interval =
        ComputeRoutesNewsInterval(host_.gossip().fleet_size());
    steering_.max_routes_age = ComputeMaxRoutesAge(follower_);
    store_.MakeCallIfDue(ComputeReaderRank(steering_.fleet, now), now);
    peers_.FetchRoutesFromPeer(steering_.routes.version, now);
    NodeHost::ScheduleHandler(store_timer_, kStoreCheckInterval,
                              [this](TimePoint) { RunStoreTick(); });
  }

  auto OnStoreRoutes(const RouteSet& routes, const std::string& document)
      -> void {
    const TimePoint now = GetMonotonicTime();
    for (const auto& [service, name] : routes.service_names) {
      host_.LearnServiceName(name, now);
    }
    const bool is_newer = routes.version > steering_.routes.version;
    PutRoutesInForceIfNewer(
        routes,
        is_newer
            ? RoutesDocument{.encoded = EncodeRoutes(routes), .json = document}
            : RoutesDocument{},
        RoutesSource::kStore, now);
  }

  auto OnStoreZones(ZonesOutOfService zones, bool has_lost_changes) -> void {
    const TimePoint now = GetMonotonicTime();
    if (zones_.OnStoreAnswer(std::move(zones), has_lost_changes, now)) {
      follower_.news_sent_at = now;
      host_.gossip().SendRoutesNews(true, now);
    }
  }

  // Tells other balancers that the store has confirmed the routes.
  auto SendRoutesNewsIfDue() -> void {
    const TimePoint now = GetMonotonicTime();
    if (follower_.is_current && BeginRoutesNewsIfDue(follower_, now)) {
      host_.gossip().SendRoutesNews(true, now);
    }
  }

  // Compares the store's list of balancers with the known balancers and repairs
  // the list, because a change of the store's position may mean lost entries.
  auto RepairBalancerRegistryIfDue(const StorePosition& position) -> void {
    const TimePoint now = GetMonotonicTime();
    if (host_.registry_client().HasCallInFlight() ||
        !BeginRegistryRepairIfDue(registry_repair_, steering_.fleet, position,
                                  now - host_.start_time(), now)) {
      return;
    }
    host_.registry_client().RequestBalancerList(
        [this](const std::vector<Endpoint>& hosts) {
          const TimePoint then = GetMonotonicTime();
          host_.registry_client().SendRegistryChanges(PlanRegistryChanges(
              hosts, steering_.fleet, then - host_.start_time(), then));
        });
  }

  // Checks at once whether another call to the store is due, but not from
  // within a callback of the reader.
  auto ScheduleNextStoreCall() -> void {
    NodeHost::ScheduleHandler(store_timer_, Duration::zero(),
                              [this](TimePoint) { RunStoreTick(); });
  }

  auto PutRoutesInForceIfNewer(const RouteSet& routes,
                               RoutesDocument document,
                               RoutesSource source,
                               TimePoint now) -> void {
    const std::uint64_t before = steering_.routes.version;
    const bool is_from_store = source == RoutesSource::kStore;
    if (!ReplaceRoutesIfNewer(steering_.routes, routes,
                              steering_.options.flow_lifetime, now)) {
      return;
    }
    document.history = steering_.routes.history;
    peers_.SetRoutesDocument(std::move(document));
    host_.event_log().WriteEvent(
        EventKind::kStateChange, now,
        "routes_in_force version={} before={} routes={} "
        "source={}",
        routes.version, before, routes.routes.size(),
        is_from_store ? "store" : "peer");
    if (!is_from_store) {
      OnPeerRoutesInForce(follower_, routes.version);
    }
    follower_.news_sent_at = now;
    host_.gossip().SendRoutesNews(is_from_store, now);
  }

  // HTTP and shutdown -------------------------------------------------------

  auto OnHttpRequest(const HttpServerRequest& call) -> HttpServerResponse {
    if (call.target == host_.settings().metrics_path) {
      return HttpServerResponse{.type = "text/plain",
                                .body = FormatNodeMetrics()};
    }
    const NodeRequest decoded =
        host_.codec().decode_node_request(call.method, call.target, call.body);
    if (std::holds_alternative<ReadinessRequest>(decoded)) {
      return HttpServerResponse{.status = IsReadyForTraffic() ? 200 : 503,
                                .body = "{}"};
    }
    const auto* const invalid = std::get_if<InvalidRequest>(&decoded);
    return HttpServerResponse{
        .status = invalid != nullptr ? invalid->status : 404, .body = "{}"};
  }

  auto IsReadyForTraffic() -> bool {
    return !host_.is_stopping() && steering_.routes.version != 0 &&
           !MustWaitForZones(steering_, GetMonotonicTime());
  }

  auto FormatNodeMetrics() -> std::string {
    std::string text = FormatPacketCounters<SteeringReason>(steering_.counts);
    text += placement_latency_.FormatMetricLines("hawthornbank_placing");
    text += store_.FormatMetrics();
    text += FormatRouteFetchMetrics(peers_.fetch_counts());
    text += FormatTrafficCounters("callers", data_.traffic());
    text +=
        FormatTrafficCounters("processes", host_.control_socket().traffic());
    text += FormatTrafficMetrics(host_.traffic());
    text += zones_.FormatMetrics();
    text += fmt::format("hawthornbank_link_use {:.3f}\n",
                        steering_.link.utilisation);
    text += fmt::format("hawthornbank_searches {}\n",
                        steering_.searches.flows.size());
    text += fmt::format("hawthornbank_search_window {}\n",
                        steering_.searches.window.max_outstanding);
    text += fmt::format("hawthornbank_log_events_counted_total {}\n",
                        host_.event_log().counted_events());
    text += fmt::format("hawthornbank_flows {}\n", steering_.flows.size());
    text +=
        fmt::format("hawthornbank_hosts {}\n", steering_.fleet.hosts.size());
    text += fmt::format("hawthornbank_routes_version {}\n",
                        steering_.routes.version);
    return text;
  }

  auto OnSettingsReload(const NodeSettings& settings) -> void {
    store_.SetStore(settings.store);
  }

  auto BeginShutdown(TimePoint now) -> void {
    shutdown_deadline_ = now + host_.settings().grace_period - kShutdownMargin;
    last_packet_at_ = now;
    host_.gossip().AnnounceSelf(now);
    ScheduleShutdownCheck();
  }

  auto ScheduleShutdownCheck() -> void {
    NodeHost::ScheduleHandler(shutdown_timer_, kQuietCheckInterval,
                              [this](TimePoint now) {
                                if (now - last_packet_at_ > kQuietPeriod ||
                                    now > shutdown_deadline_) {
                                  host_.StopEventLoop();
                                } else {
                                  ScheduleShutdownCheck();
                                }
                              });
  }

  Steering steering_;
  NodeHost host_;
  UdpSocket data_;
  RouteFollower follower_;
  RegistryRepair registry_repair_;

  asio::steady_timer opening_timer_;
  asio::steady_timer store_timer_;
  asio::steady_timer shutdown_timer_;
  StoreReader store_;
  NodeZones zones_;
  RoutePeers peers_;
  std::vector<SteeringAction> actions_;
  Bytes buf_;

  LatencyHistogram placement_latency_;
  TimePoint last_packet_at_{};
  TimePoint shutdown_deadline_{};
  bool is_opening_timer_armed_ = false;
};

}  // namespace

auto RunBalancerNode(const NodeSettings& settings, const NodeCodec& codec)
    -> NodeExit {
  return BalancerNode(settings, codec).RunBalancer();
}

}  // namespace hawthornbank::transport
