#include "transport/node_host.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include "hawthornbank/error.h"
#include "transport/clock.h"

namespace hawthornbank::transport {
namespace {

// Cause of a reload: the content of the file has changed.
constexpr std::string_view kFileChanged = "file";

auto ToSteadyDuration(Duration duration)
    -> std::chrono::steady_clock::duration {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      duration);
}

auto ToMilliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

auto GetRoleName(HostRole role) -> const char* {
  return role == HostRole::kBalancer ? "balancer" : "agent";
}

auto ClassifyNodeMessage(const NodeMessage& message) -> DatagramKind {
  if (std::holds_alternative<HostAnnouncement>(message)) {
    return DatagramKind::kAnnouncement;
  }
  if (std::holds_alternative<HostHeartbeat>(message)) {
    return DatagramKind::kHeartbeat;
  }
  if (std::holds_alternative<FlowQuery>(message)) {
    return DatagramKind::kFlowQuery;
  }
  return std::holds_alternative<FlowReply>(message) ? DatagramKind::kFlowReply
                                                    : DatagramKind::kRoster;
}

}  // namespace

NodeHost::NodeHost(NodeSettings settings, NodeCodec codec, Fleet& fleet)
    : settings_(std::move(settings)),
      codec_(std::move(codec)),
      fleet_(fleet),
      log_(STDOUT_FILENO, settings_.name),
      random_(static_cast<std::uint64_t>(
          GetWallTime().time_since_epoch().count() ^
          (std::int64_t{settings_.control.address} << 20))),
      control_(io_, settings_.control),
      housekeeping_timer_(io_),
      settings_timer_(io_),
      signals_(io_, SIGTERM, SIGHUP),
      start_time_(GetMonotonicTime()),
      gossip_(*this, fleet) {
  registry_ =
      std::make_unique<RegistryClient>(io_, settings_.store, codec_, log_);
  fleet_.self.control = settings_.control;
  fleet_.self.role = settings_.role;
  fleet_.self.zone = settings_.zone;
  fleet_.self.incarnation = ToInteger(MakeIncarnation());
}

auto NodeHost::RunEventLoop(NodeRole role) -> NodeExit {
  role_ = std::move(role);
  const TimePoint now = GetMonotonicTime();
  control_.StartReceiving([this](Endpoint from, ByteView datagram) {
    OnControlDatagram(from, datagram, GetMonotonicTime());
  });
  for (const auto it : settings_.http) {
    servers_.push_back(std::make_unique<HttpServer>(
        io_, it, [this](const HttpServerRequest& call) {
          return role_.on_http_request(call);
        }));
  }
  log_.WriteEvent(EventKind::kProcess, now,
                  "start role={} zone={} control={} seeds={}",
                  GetRoleName(settings_.role), settings_.zone,
                  ToString(settings_.control), settings_.seeds.size());
  LearnServiceName(settings_.service, now);
  WaitForSignal();
  gossip_.StartGossip(
      GossipCallbacks{.describe_self = role_.describe_self,
                      .describe_routes = role_.describe_routes,
                      .on_routes_report = role_.on_routes_report,
                      .on_former_target = role_.on_former_target});
  RunHousekeepingTick();
  CheckSettingsFile();
  io_.run();
  log_.WriteEvent(EventKind::kProcess, GetMonotonicTime(),
                  "stop log_events_counted={}", log_.counted_events());
  return NodeExit{.changed = std::move(changed_)};
}

auto NodeHost::StopEventLoop() -> void {
  io_.stop();
}

auto NodeHost::LearnServiceName(std::string_view name, TimePoint now) -> void {
  const std::uint32_t service = RecordServiceName(service_names_, name);
  if (service != 0) {
    log_.WriteEvent(EventKind::kStateChange, now,
                    "service_named service={} hash=#{:08x}",
                    FormatService(service_names_, service), service);
  }
}

auto NodeHost::SendControlDatagram(DatagramKind kind,
                                   Endpoint to,
                                   ByteView datagram) -> void {
  CountDatagram(traffic_, kind, Direction::kSent, GetZoneScope(FindHost(to)),
                datagram.size());
  control_.SendDatagram(to, datagram);
}

auto NodeHost::GetCallerEndpoint(const FlowKey& flow) const -> Endpoint {
  return Endpoint{.address = flow.caller.address, .port = settings_.data.port};
}

auto NodeHost::SendResetToCaller(UdpSocket& socket,
                                 const FlowKey& flow,
                                 std::uint32_t acknowledgement) const -> void {
  socket.SendDatagram(GetCallerEndpoint(flow),
                      codec_.encode_reset_packet(flow, acknowledgement));
}

auto NodeHost::ScheduleHandler(asio::steady_timer& timer,
                               Duration pause,
                               std::function<void(TimePoint now)> handler)
    -> void {
  timer.expires_after(ToSteadyDuration(pause));
  timer.async_wait([handler = std::move(handler)](const asio::error_code& ec) {
    if (!ec) {
      handler(GetMonotonicTime());
    }
  });
}

auto NodeHost::RunHousekeepingTick() -> void {
  const TimePoint now = GetMonotonicTime();
  gossip_.EraseExpiredHosts(now);
  role_.on_housekeeping_tick(now);
  if (now >= next_traffic_report_) {
    next_traffic_report_ = now + kTrafficReportInterval;
    log_.WriteEvent(EventKind::kProcess, now, "traffic {}",
                    FormatTrafficSummary(traffic_));
  }
  log_.WriteCountsIfDue(now);
  log_.FlushPendingBytes();
  ScheduleHandler(housekeeping_timer_, kHousekeepingInterval,
                  [this](TimePoint) { RunHousekeepingTick(); });
}

auto NodeHost::CheckSettingsFile() -> void {
  // Settings that replace rejected ones may be those in force.
  if (codec_.read_settings_version &&
      (!logged_failure_.empty() ||
       codec_.read_settings_version() != settings_.version)) {
    ReloadSettings(GetMonotonicTime(), kFileChanged);
  }
  ScheduleHandler(settings_timer_, kSettingsCheckInterval,
                  [this](TimePoint) { CheckSettingsFile(); });
}

auto NodeHost::WaitForSignal() -> void {
  signals_.async_wait([this](const asio::error_code& ec, int signal) {
    if (ec) {
      return;
    }
    WaitForSignal();
    const TimePoint now = GetMonotonicTime();
    if (signal == SIGHUP) {
      ReloadSettings(now, "signal");
    } else if (!is_stopping_) {
      is_stopping_ = true;
      log_.WriteEvent(EventKind::kProcess, now, "stopping grace_ms={}",
                      ToMilliseconds(settings_.grace_period));
      role_.on_shutdown(now);
    }
  });
}

auto NodeHost::ReloadSettings(TimePoint now, std::string_view cause) -> void {
  try {
    NodeSettings changed = codec_.load_settings();
    if (!HasSameIdentity(settings_, changed)) {
      // Handles a SIGTERM first that has been read together with this change.
      asio::post(io_, [this, changed = std::move(changed), now, cause] {
        EndWithChangedIdentity(changed, now, cause);
      });
      return;
    }
    settings_.version = changed.version;
    logged_failure_.clear();
    // Only these settings change at runtime. The others change at the next
    // start.
    settings_.seeds = changed.seeds;
    if (settings_.store != changed.store) {
      settings_.store = changed.store;
      registry_ =
          std::make_unique<RegistryClient>(io_, settings_.store, codec_, log_);
    }
    settings_.grace_period = changed.grace_period;
    settings_.heartbeat_interval = changed.heartbeat_interval;
    settings_.reuse_delay = changed.reuse_delay;
    log_.WriteEvent(EventKind::kProcess, now,
                    "reload cause={} seeds={} store={}", cause,
                    settings_.seeds.size(), ToString(settings_.store));
    role_.on_settings_reload(settings_);
  } catch (const Error& error) {
    // A file that can't be used is read again at each check, as it may be
    // half-written, and logged once.
    const bool is_logged =
        std::exchange(logged_failure_, error.what()) == error.what();
    if (!is_logged || cause != kFileChanged) {
      log_.WriteEvent(EventKind::kMalformedInput, now,
                      "reload_failed cause={} error=\"{}\"", cause,
                      error.what());
    }
  }
}

auto NodeHost::EndWithChangedIdentity(NodeSettings changed,
                                      TimePoint now,
                                      std::string_view cause) -> void {
  if (is_stopping_ || changed_.has_value()) {
    return;
  }
  log_.WriteEvent(
      EventKind::kProcess, now,
      "identity_changed cause={} role={} zone={} control={} service={} "
      "target={} before_zone={} before_control={} before_service={} "
      "before_target={}",
      cause, GetRoleName(changed.role), changed.zone, ToString(changed.control),
      changed.service, ToString(changed.target), settings_.zone,
      ToString(settings_.control), settings_.service,
      ToString(settings_.target));
  role_.on_identity_change(now);
  if (changed.control != settings_.control) {
    is_stopping_ = true;
    gossip_.AnnounceSelf(now);
  }
  changed_ = std::move(changed);
  StopEventLoop();
}

auto NodeHost::FindHost(Endpoint control) -> KnownHost* {
  const auto it = fleet_.hosts.find(control);
  return it == fleet_.hosts.end() ? nullptr : &it->second;
}

auto NodeHost::GetZoneScope(const KnownHost* host) const -> ZoneScope {
  return host != nullptr && host->record.zone == settings_.zone
             ? ZoneScope::kSameZone
             : ZoneScope::kOtherZone;
}

auto NodeHost::OnControlDatagram(Endpoint from,
                                 ByteView datagram,
                                 TimePoint now) -> void {
  const auto message = DecodeNodeMessage(datagram);
  const DatagramKind kind = message.has_value() ? ClassifyNodeMessage(*message)
                            : settings_.role == HostRole::kBalancer
                                ? DatagramKind::kReturnedPacket
                                : DatagramKind::kRelayedPacket;
  KnownHost* const sender = FindHost(from);
  CountDatagram(traffic_, kind, Direction::kReceived, GetZoneScope(sender),
                datagram.size());
  if (sender != nullptr && settings_.role == HostRole::kAgent) {
    // Balancers send heartbeats to balancers only.
    RecordHostContact(*sender, now);
  }
  if (!message.has_value()) {
    role_.on_relayed_datagram(from, datagram, now);
  } else if (const auto* const query = std::get_if<FlowQuery>(&*message)) {
    role_.on_flow_query(*query, now);
  } else if (const auto* const reply = std::get_if<FlowReply>(&*message)) {
    role_.on_flow_reply(*reply, now);
  } else {
    gossip_.OnGossipMessage(from, *message, now);
  }
}

}  // namespace hawthornbank::transport
