#include <memory>
#include <utility>

#include "hawthornbank/route_follower.h"
#include "hawthornbank/steering.h"
#include "transport/clock.h"
#include "transport/http_client.h"
#include "transport/latency_histogram.h"
#include "transport/node.h"
#include "transport/node_host.h"
#include "transport/route_peers.h"

namespace hawthornbank::transport {
namespace {

// Interval at which unconfirmed openings and searches are looked at, while
// there are any.
constexpr Duration kOpeningTick = std::chrono::milliseconds{10};
// Interval at which the store and peers are looked at.
constexpr Duration kFollowTick = std::chrono::milliseconds{50};
// Packets cease for this long before a stopping balancer ends: routers look
// twice a second and let go after two misses.
constexpr Duration kQuietTime = std::chrono::milliseconds{1200};
constexpr Duration kQuietTick = std::chrono::milliseconds{100};
// Left of the grace when a stopping balancer ends all the same.
constexpr Duration kGraceSlack = std::chrono::milliseconds{700};

// Bytes of datagrams with their IPv4 and UDP heads.
auto WireBytes(std::uint64_t datagrams, std::uint64_t bytes) -> std::uint64_t {
  constexpr std::uint64_t kHeads = 28;
  return bytes + datagrams * kHeads;
}

auto IsBefore(Endpoint a, Endpoint b) -> bool {
  return a.address != b.address ? a.address < b.address : a.port < b.port;
}

// What passed a socket, in the metrics' format.
auto TrafficLines(const char* socket, const UdpTraffic& traffic)
    -> std::string {
  return fmt::format(
      "hawthornbank_datagrams_total{{socket=\"{0}\",way=\"in\"}} {1}\n"
      "hawthornbank_datagrams_total{{socket=\"{0}\",way=\"out\"}} {2}\n"
      "hawthornbank_bytes_total{{socket=\"{0}\",way=\"in\"}} {3}\n"
      "hawthornbank_bytes_total{{socket=\"{0}\",way=\"out\"}} {4}\n"
      "hawthornbank_datagrams_unsent_total{{socket=\"{0}\"}} {5}\n",
      socket, traffic.received, traffic.sent, traffic.received_bytes,
      traffic.sent_bytes, traffic.unsent);
}

class BalancerNode {
 public:
  BalancerNode(const NodeSettings& settings, const NodeCodec& codec)
      : host_(settings, codec, steering_.fleet),
        data_(host_.io(), settings.data),
        store_(std::make_unique<HttpClient>(host_.io(), settings.store)),
        opening_timer_(host_.io()),
        follow_timer_(host_.io()),
        stop_timer_(host_.io()),
        peers_(host_,
               follower_,
               [this](const RouteSet& routes, const std::string& document) {
                 Adopt(routes, document, "peer", MonotonicNow());
               }) {}

  auto Run() -> int {
    data_.Receive([this](Endpoint, ByteView datagram) {
      OnData(datagram, MonotonicNow());
    });
    FollowTimer();
    steering_.started = host_.started();
    steering_.link.options.bytes_per_second =
        host_.settings().link_bytes_per_second;
    steering_.link.measured = host_.started();
    steering_.random = host_.random();
    return host_.Run(NodeRole{
        .describe = [this](HostRecord& record,
                           TargetLoad&) { record.leaving = host_.stopping(); },
        .on_relay = [this](Endpoint from, ByteView datagram,
                           TimePoint now) { OnRelay(from, datagram, now); },
        .on_note = [this](const FlowNote& note,
                          TimePoint now) { OnNote(note, now); },
        .on_query = [](const FlowQuery&, TimePoint) {},
        .on_announce =
            [this](const HostAnnounce& announce, TimePoint now) {
              peers_.OnAnnounce(announce, steering_.routes.version, now);
            },
        .on_call = [this](const HttpCall& call) { return OnCall(call); },
        .on_slow_tick =
            [this](TimePoint now) { ForgetIdleFlows(steering_, now); },
        .on_stop = [this](TimePoint now) { Stop(now); },
        .on_settings =
            [this](const NodeSettings& settings) { OnSettings(settings); },
        .version =
            [this](HostAnnounce& announce, TimePoint now) {
              announce.version = steering_.routes.version;
              announce.version_age_ms = static_cast<std::uint32_t>(
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      now - follower_.confirmed_at)
                      .count());
            },
    });
  }

 private:
  auto OnData(ByteView datagram, TimePoint now) -> void {
    last_packet_ = now;
    const auto packet = host_.codec().decode_packet(datagram);
    if (!packet.has_value()) {
      ++steering_.counts[static_cast<std::size_t>(SteeringReason::kMalformed)];
      host_.log().Write(EventKind::kInput, now, "packet_malformed bytes={}",
                        datagram.size());
      return;
    }
    MeasureLink(now);
    actions_.clear();
    OnCallerPacket(steering_, *packet, datagram, now, actions_);
    Perform(datagram, now);
  }

  auto MeasureLink(TimePoint now) -> void {
    const UdpTraffic& data = data_.traffic();
    const UdpTraffic& control = host_.control().traffic();
    hawthornbank::MeasureLink(
        steering_.link,
        WireBytes(data.received, data.received_bytes) +
            WireBytes(control.received, control.received_bytes),
        WireBytes(data.sent, data.sent_bytes) +
            WireBytes(control.sent, control.sent_bytes),
        now);
  }

  auto OnRelay(Endpoint from, ByteView datagram, TimePoint now) -> void {
    std::size_t size = 0;
    auto header = DecodeRelayHeader(datagram, size);
    if (!header.has_value() || !header->sent_back) {
      host_.log().Write(EventKind::kInput, now, "datagram_malformed bytes={}",
                        datagram.size());
      return;
    }
    const ByteView bytes = datagram.subspan(size);
    const auto packet = host_.codec().decode_packet(bytes);
    if (!packet.has_value()) {
      return;
    }
    actions_.clear();
    OnSentBack(steering_, from, std::move(*header), *packet, bytes, now,
               actions_);
    Perform(bytes, now);
  }

  auto OnNote(const FlowNote& note, TimePoint now) -> void {
    actions_.clear();
    const Duration took = OnFlowNote(steering_, note, now, actions_);
    Perform({}, now);
    if (took > Duration::zero()) {
      placing_.Add(took);
      host_.log().Write(
          EventKind::kFlow, now, "flow_confirmed flow={} agent={} took_us={}",
          FlowText(note.flow), ToString(note.agent),
          std::chrono::duration_cast<std::chrono::microseconds>(took).count());
    }
  }

  auto Perform(ByteView bytes, TimePoint now) -> void {
    for (const auto& it : actions_) {
      switch (it.kind) {
        case SteeringAction::Kind::kRelay:
          Relay(it, it.kept.empty() ? bytes : ByteView(it.kept));
          LogRelay(it, now);
          break;
        case SteeringAction::Kind::kQuery:
          Ask(it);
          LogQuery(it, now);
          break;
        case SteeringAction::Kind::kReset:
          host_.SendReset(data_, it.flow, it.acknowledgement);
          host_.log().Write(EventKind::kRefusal, now,
                            "flow_reset flow={} reason={} version={}",
                            FlowText(it.flow), ToString(it.reason),
                            steering_.routes.version);
          break;
        case SteeringAction::Kind::kDrop:
          host_.log().Write(
              EventKind::kRefusal, now,
              "packet_dropped flow={} reason={} version={} silent={} first={}",
              FlowText(it.flow), ToString(it.reason), steering_.routes.version,
              it.receivers.size(),
              it.receivers.empty() ? "-" : ToString(it.receivers.front()));
          break;
      }
    }
    if (IsWaiting() && !opening_armed_) {
      opening_armed_ = true;
      OpeningTimer();
    }
  }

  [[nodiscard]] auto IsWaiting() const -> bool {
    return !steering_.openings.empty() || !steering_.searches.flows.empty();
  }

  auto Ask(const SteeringAction& action) -> void {
    const Bytes datagram = EncodeNodeMessage(action.query);
    for (const auto it : action.receivers) {
      host_.Send(it, datagram);
    }
  }

  auto LogQuery(const SteeringAction& action, TimePoint now) -> void {
    host_.log().Write(EventKind::kFlow, now,
                      "flow_looked_for flow={} agents={} first={} version={}",
                      FlowText(action.flow), action.receivers.size(),
                      ToString(action.receivers.front()),
                      steering_.routes.version);
  }

  auto Relay(const SteeringAction& action, ByteView bytes) -> void {
    buf_.clear();
    EncodeRelayHeader(action.header, buf_);
    buf_.insert(buf_.end(), bytes.begin(), bytes.end());
    host_.Send(action.to, buf_);
  }

  auto LogRelay(const SteeringAction& action, TimePoint now) -> void {
    if (action.reason == SteeringReason::kRemembered) {
      return;  // A line for each packet of a flow would say nothing new.
    }
    host_.log().Write(
        EventKind::kFlow, now,
        "flow_relayed flow={} agent={} reason={} asked={} score={:.2f} "
        "load_age_ms={} version={}",
        FlowText(action.flow), ToString(action.to), ToString(action.reason),
        action.header.asked.size(), action.load_score,
        std::chrono::duration_cast<std::chrono::milliseconds>(action.load_age)
            .count(),
        steering_.routes.version);
  }

  auto OpeningTimer() -> void {
    NodeHost::After(opening_timer_, kOpeningTick, [this](TimePoint now) {
      actions_.clear();
      OnSteeringTick(steering_, now, actions_);
      Perform({}, now);
      opening_armed_ = IsWaiting();
      if (opening_armed_) {
        OpeningTimer();
      }
    });
  }

  // Routes ------------------------------------------------------------------

  auto FollowTimer() -> void {
    const TimePoint now = MonotonicNow();
    switch (NextStoreCall(follower_, ReadingRank(now), now)) {
      case FollowCall::kRevision:
        store_->Send(host_.codec().read_revision(),
                     follower_.options.answer_time,
                     [this](const HttpReply& reply) { OnRevision(reply); });
        break;
      case FollowCall::kRoutes:
        store_->Send(host_.codec().list_routes(), follower_.options.answer_time,
                     [this](const HttpReply& reply) { OnRoutes(reply); });
        break;
      case FollowCall::kNone:
        break;
    }
    peers_.Fetch(steering_.routes.version, now);
    NodeHost::After(follow_timer_, kFollowTick,
                    [this](TimePoint) { FollowTimer(); });
  }

  // Balancers that read the store before this one.
  [[nodiscard]] auto ReadingRank(TimePoint now) const -> std::size_t {
    std::size_t rank = 0;
    for (const auto& [control, host] : steering_.fleet.hosts) {
      rank += host.record.role == HostRole::kBalancer && !host.record.leaving &&
                      IsAnswering(host, now) &&
                      IsBefore(control, steering_.fleet.self.control)
                  ? 1
                  : 0;
    }
    return rank;
  }

  auto OnRevision(const HttpReply& reply) -> void {
    const auto revision =
        host_.codec().decode_revision(reply.status, reply.body);
    if (!revision.has_value()) {
      NoteStoreFailure(reply, {});
      return;
    }
    NoteStoreAnswer(*revision);
    OnStoreRevision(follower_, *revision);
    FollowSoon();
  }

  auto OnRoutes(const HttpReply& reply) -> void {
    const RoutesAnswer answer =
        host_.codec().decode_routes(reply.status, reply.body);
    if (!answer.understood) {
      NoteStoreFailure(reply, answer.failure);
      return;
    }
    NoteStoreAnswer(answer.revision);
    OnStoreRoutes(follower_, answer.revision);
    if (answer.routes.has_value()) {
      Adopt(*answer.routes, answer.document, "store", MonotonicNow());
    }
    MendRegistry();
    FollowSoon();
  }

  // The store's revision has grown: the list of balancers may have shrunk.
  auto MendRegistry() -> void {
    if (host_.registry().busy()) {
      return;
    }
    host_.registry().Read([this](const std::vector<Endpoint>& hosts) {
      const TimePoint now = MonotonicNow();
      host_.registry().Apply(
          PlanRegistry(hosts, steering_.fleet, now - host_.started(), now));
    });
  }

  auto NoteStoreFailure(const HttpReply& reply, const std::string& reason)
      -> void {
    const TimePoint now = MonotonicNow();
    OnStoreFailure(follower_, now, host_.random());
    ++store_failures_;
    if (follower_.failures == 1) {
      host_.log().Write(EventKind::kDependency, now,
                        "store_lost status={} reason=\"{}{}\"", reply.status,
                        reply.failure, reason);
    }
  }

  auto NoteStoreAnswer(std::uint64_t revision) -> void {
    store_calls_.Add(MonotonicNow() - follower_.called_at);
    if (follower_.failures > 0) {
      host_.log().Write(EventKind::kDependency, MonotonicNow(),
                        "store_regained failures={} revision={}",
                        follower_.failures, revision);
    }
  }

  // The next call goes out at once, but not from within a reply.
  auto FollowSoon() -> void {
    NodeHost::After(follow_timer_, Duration::zero(),
                    [this](TimePoint) { FollowTimer(); });
  }

  auto Adopt(const RouteSet& routes,
             const std::string& document,
             const char* source,
             TimePoint now) -> void {
    const std::uint64_t before = steering_.routes.version;
    if (!PutInForce(steering_.routes, routes)) {
      return;
    }
    peers_.SetDocument(document);
    host_.log().Write(EventKind::kBelief, now,
                      "routes_in_force version={} before={} routes={} "
                      "source={}",
                      routes.version, before, routes.routes.size(), source);
    host_.Announce(now);
  }

  // The platform ------------------------------------------------------------

  auto OnCall(const HttpCall& call) -> HttpAnswer {
    if (call.target == host_.settings().metrics_path) {
      return HttpAnswer{.type = "text/plain", .body = Metrics()};
    }
    const NodeCall decoded =
        host_.codec().decode_call(call.method, call.target, call.body);
    if (std::holds_alternative<ReadyCall>(decoded)) {
      return HttpAnswer{.status = IsReady() ? 200 : 503, .body = "{}"};
    }
    const auto* const invalid = std::get_if<InvalidCall>(&decoded);
    return HttpAnswer{.status = invalid != nullptr ? invalid->status : 404,
                      .body = "{}"};
  }

  auto IsReady() -> bool {
    return !host_.stopping() && steering_.routes.version != 0;
  }

  auto Metrics() -> std::string {
    std::string text = ReasonLines<SteeringReason>(steering_.counts);
    text += placing_.Lines("hawthornbank_placing");
    text += store_calls_.Lines("hawthornbank_store_call");
    text +=
        fmt::format("hawthornbank_store_failures_total {}\n", store_failures_);
    text += TrafficLines("callers", data_.traffic());
    text += TrafficLines("processes", host_.control().traffic());
    text += fmt::format("hawthornbank_link_use {:.3f}\n", steering_.link.use);
    text += fmt::format("hawthornbank_searches {}\n",
                        steering_.searches.flows.size());
    text += fmt::format("hawthornbank_log_lines_left_out_total {}\n",
                        host_.log().dropped());
    text += fmt::format("hawthornbank_flows {}\n", steering_.flows.size());
    text +=
        fmt::format("hawthornbank_hosts {}\n", steering_.fleet.hosts.size());
    text += fmt::format("hawthornbank_routes_version {}\n",
                        steering_.routes.version);
    return text;
  }

  auto OnSettings(const NodeSettings& settings) -> void {
    if (settings.store != store_->server()) {
      store_ = std::make_unique<HttpClient>(host_.io(), settings.store);
      OnStoreFailure(follower_, MonotonicNow(), host_.random());
    }
  }

  auto Stop(TimePoint now) -> void {
    stop_by_ = now + host_.settings().grace - kGraceSlack;
    last_packet_ = now;
    host_.Announce(now);
    StopTimer();
  }

  auto StopTimer() -> void {
    NodeHost::After(stop_timer_, kQuietTick, [this](TimePoint now) {
      if (now - last_packet_ > kQuietTime || now > stop_by_) {
        host_.Exit();
      } else {
        StopTimer();
      }
    });
  }

  Steering steering_;
  NodeHost host_;
  UdpSocket data_;
  RouteFollower follower_;
  std::unique_ptr<HttpClient> store_;

  asio::steady_timer opening_timer_;
  asio::steady_timer follow_timer_;
  asio::steady_timer stop_timer_;
  RoutePeers peers_;
  std::vector<SteeringAction> actions_;
  Bytes buf_;

  LatencyHistogram placing_;
  LatencyHistogram store_calls_;
  std::uint64_t store_failures_ = 0;
  TimePoint last_packet_{};
  TimePoint stop_by_{};
  bool opening_armed_ = false;
};

}  // namespace

auto RunBalancerNode(const NodeSettings& settings, const NodeCodec& codec)
    -> int {
  return BalancerNode(settings, codec).Run();
}

}  // namespace hawthornbank::transport
