#include "transport/node_host.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include "hawthornbank/error.h"
#include "transport/clock.h"

namespace hawthornbank::transport {
namespace {

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
  if (std::holds_alternative<RosterPart>(message)) {
    return DatagramKind::kRoster;
  }
  return std::holds_alternative<FlowQuery>(message) ? DatagramKind::kFlowQuery
                                                    : DatagramKind::kFlowReply;
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
      announcement_timer_(io_),
      housekeeping_timer_(io_),
      signals_(io_, SIGTERM, SIGHUP),
      start_time_(GetMonotonicTime()) {
  registry_ =
      std::make_unique<RegistryClient>(io_, settings_.store, codec_, log_);
  next_registry_read_ = start_time_ + kSeedReplyTimeout;
  fleet_.self.control = settings_.control;
  fleet_.self.role = settings_.role;
  fleet_.self.zone = settings_.zone;
  fleet_.self.incarnation = ToInteger(MakeIncarnation());
}

auto NodeHost::RunEventLoop(NodeRole role) -> int {
  role_ = std::move(role);
  const TimePoint now = GetMonotonicTime();
  log_.WriteEvent(EventKind::kProcess, now,
                  "start role={} zone={} control={} seeds={}",
                  GetRoleName(settings_.role), settings_.zone,
                  ToString(settings_.control), settings_.seeds.size());
  control_.StartReceiving([this](Endpoint from, ByteView datagram) {
    OnControlDatagram(from, datagram, GetMonotonicTime());
  });
  for (const auto it : settings_.http) {
    servers_.push_back(std::make_unique<HttpServer>(
        io_, it, [this](const HttpServerRequest& call) {
          return role_.on_http_request(call);
        }));
  }
  if (codec_.get_settings_modification_time) {
    settings_modification_time_ = codec_.get_settings_modification_time();
  }
  WaitForSignal();
  RunAnnouncementTick();
  RunHousekeepingTick();
  io_.run();
  log_.WriteEvent(EventKind::kProcess, GetMonotonicTime(),
                  "stop log_lines_left_out={}", log_.dropped_lines());
  return 0;
}

auto NodeHost::StopEventLoop() -> void {
  io_.stop();
}

auto NodeHost::SendControlDatagram(DatagramKind kind,
                                   Endpoint to,
                                   ByteView datagram) -> void {
  CountDatagram(traffic_, kind, Direction::kSent, GetZoneScope(to),
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

// Returns all known balancers and the seeds that are not in the fleet yet.
// While no balancer is known, the result also contains the balancers that the
// store lists.
auto NodeHost::ListAnnouncementReceivers() const -> std::vector<Endpoint> {
  std::vector<Endpoint> receivers;
  for (const auto& [control, host] : fleet_.hosts) {
    if (host.record.role == HostRole::kBalancer) {
      receivers.push_back(control);
    }
  }
  const auto add = [&](Endpoint it) {
    if (it != settings_.control && !fleet_.hosts.contains(it)) {
      receivers.push_back(it);
    }
  };
  std::for_each(settings_.seeds.begin(), settings_.seeds.end(), add);
  if (!KnowsAnyBalancer()) {
    std::for_each(listed_balancers_.begin(), listed_balancers_.end(), add);
  }
  return receivers;
}

auto NodeHost::EncodeOwnAnnouncement(TimePoint now) -> Bytes {
  HostRecord record = fleet_.self;
  HostAnnouncement announcement;
  role_.describe_self(record, announcement.load);
  if (UpdateOwnRecord(fleet_, record)) {
    log_.WriteEvent(EventKind::kStateChange, now,
                    "own_record revision={} leaving={} target={} born={}",
                    fleet_.self.revision, fleet_.self.is_shutting_down,
                    ToString(fleet_.self.target.state),
                    fleet_.self.target.started_at_ms);
  }
  announcement.record = fleet_.self;
  announcement.roster_digest = fleet_.digest;
  role_.describe_routes_version(announcement, now);
  announced_routes_version_ = announcement.routes_version;
  announcement.wants_roster = !KnowsAnyBalancer();
  return EncodeNodeMessage(announcement);
}

auto NodeHost::AnnounceSelf(TimePoint now) -> void {
  const Bytes datagram = EncodeOwnAnnouncement(now);
  for (const auto it : ListAnnouncementReceivers()) {
    SendControlDatagram(DatagramKind::kAnnouncement, it, datagram);
  }
  if (settings_.role == HostRole::kBalancer) {
    AnnounceToAgents(datagram, now);
  }
}

auto NodeHost::AnnounceToAgents(ByteView announcement, TimePoint now) -> void {
  for (const auto& [control, host] : fleet_.hosts) {
    if (MustIntroduceBalancer(host, now)) {
      SendControlDatagram(DatagramKind::kAnnouncement, control, announcement);
    }
  }
  for (const auto it :
       ListAgentsToNotifyOfRoutes(fleet_, announced_routes_version_, now)) {
    SendControlDatagram(DatagramKind::kAnnouncement, it, announcement);
  }
}

auto NodeHost::CountBalancers() const -> std::size_t {
  const auto count = std::count_if(
      fleet_.hosts.begin(), fleet_.hosts.end(), [](const auto& it) {
        return it.second.record.role == HostRole::kBalancer;
      });
  return static_cast<std::size_t>(count);
}

auto NodeHost::KnowsAnyBalancer() const -> bool {
  return CountBalancers() > 0;
}

// Reads the store's list of balancers if a read is due, because all seeds may
// stay down for a long time while other balancers run.
auto NodeHost::RequestBalancersFromRegistry(TimePoint now) -> void {
  if (now < next_registry_read_ || registry_->HasCallInFlight()) {
    return;
  }
  next_registry_read_ = now + kRegistryRetryInterval;
  registry_->RequestBalancerList([this](const std::vector<Endpoint>& hosts) {
    const TimePoint then = GetMonotonicTime();
    log_.WriteEvent(EventKind::kStateChange, then, "registry_read balancers={}",
                    hosts.size());
    listed_balancers_ = hosts;
    AnnounceSelf(then);
  });
}

auto NodeHost::RunAnnouncementTick() -> void {
  const TimePoint now = GetMonotonicTime();
  AnnounceSelf(now);
  const bool searching = !KnowsAnyBalancer();
  if (searching) {
    RequestBalancersFromRegistry(now);
  }
  ScheduleHandler(announcement_timer_,
                  searching ? kSearchAnnouncementInterval
                            : ComputeAnnouncementInterval(CountBalancers()),
                  [this](TimePoint) { RunAnnouncementTick(); });
}

auto NodeHost::RunHousekeepingTick() -> void {
  const TimePoint now = GetMonotonicTime();
  for (const auto it : EraseSilentHosts(fleet_, now)) {
    log_.WriteEvent(EventKind::kStateChange, now, "host_forgotten host={}",
                    ToString(it));
    roster_send_times_.erase(it);
  }
  if (codec_.get_settings_modification_time &&
      codec_.get_settings_modification_time() != settings_modification_time_) {
    ReloadSettings(now, "file");
  }
  role_.on_housekeeping_tick(now);
  if (now >= next_traffic_report_) {
    next_traffic_report_ = now + kTrafficReportInterval;
    log_.WriteEvent(EventKind::kProcess, now, "traffic {}",
                    FormatTrafficSummary(traffic_));
  }
  log_.FlushPendingBytes();
  ScheduleHandler(housekeeping_timer_, kHousekeepingInterval,
                  [this](TimePoint) { RunHousekeepingTick(); });
}

auto NodeHost::WaitForSignal() -> void {
  signals_.async_wait([this](const asio::error_code& ec, int signal) {
    if (ec) {
      return;
    }
    const TimePoint now = GetMonotonicTime();
    if (signal == SIGHUP) {
      ReloadSettings(now, "signal");
    } else if (!is_stopping_) {
      is_stopping_ = true;
      log_.WriteEvent(EventKind::kProcess, now, "stopping grace_ms={}",
                      ToMilliseconds(settings_.grace_period));
      role_.on_shutdown(now);
    }
    WaitForSignal();
  });
}

auto NodeHost::ReloadSettings(TimePoint now, const char* cause) -> void {
  settings_modification_time_ = codec_.get_settings_modification_time
                                    ? codec_.get_settings_modification_time()
                                    : 0;
  try {
    NodeSettings changed = codec_.load_settings();
    // Only these settings change at runtime. The others, such as the bound
    // endpoints, change at the next start.
    settings_.seeds = changed.seeds;
    if (settings_.store != changed.store) {
      settings_.store = changed.store;
      registry_ =
          std::make_unique<RegistryClient>(io_, settings_.store, codec_, log_);
    }
    settings_.grace_period = changed.grace_period;
    settings_.heartbeat_interval = changed.heartbeat_interval;
    log_.WriteEvent(EventKind::kProcess, now,
                    "reload cause={} seeds={} store={}", cause,
                    settings_.seeds.size(), ToString(settings_.store));
    role_.on_settings_reload(settings_);
  } catch (const Error& error) {
    log_.WriteEvent(EventKind::kMalformedInput, now,
                    "reload_failed cause={} error=\"{}\"", cause, error.what());
  }
}

auto NodeHost::GetZoneScope(Endpoint host) const -> ZoneScope {
  const auto it = fleet_.hosts.find(host);
  return it != fleet_.hosts.end() && it->second.record.zone == settings_.zone
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
  CountDatagram(traffic_, kind, Direction::kReceived, GetZoneScope(from),
                datagram.size());
  if (!message.has_value()) {
    role_.on_relayed_datagram(from, datagram, now);
    return;
  }
  if (const auto* const announcement =
          std::get_if<HostAnnouncement>(&*message)) {
    OnHostAnnouncement(*announcement, now);
  } else if (const auto* const part = std::get_if<RosterPart>(&*message)) {
    OnRosterPartReceived(*part, now);
  } else if (const auto* const query = std::get_if<FlowQuery>(&*message)) {
    role_.on_flow_query(*query, now);
  } else {
    role_.on_flow_reply(std::get<FlowReply>(*message), now);
  }
}

auto NodeHost::HandleMergeOutcome(const HostRecord& record,
                                  MergeOutcome outcome,
                                  TimePoint now) -> void {
  if (outcome == MergeOutcome::kChanged) {
    log_.WriteEvent(EventKind::kStateChange, now,
                    "host_changed host={} role={} zone={} incarnation={} "
                    "revision={} leaving={} target={} born={} slots={}",
                    ToString(record.control), GetRoleName(record.role),
                    record.zone, record.incarnation, record.revision,
                    record.is_shutting_down, ToString(record.target.state),
                    record.target.started_at_ms, record.target.slots);
  } else if (outcome == MergeOutcome::kOwnRecordSuperseded) {
    log_.WriteEvent(EventKind::kStateChange, now,
                    "own_record_outranked incarnation={}",
                    fleet_.self.incarnation);
    AnnounceSelf(now);
  }
}

auto NodeHost::OnHostAnnouncement(const HostAnnouncement& announcement,
                                  TimePoint now) -> void {
  const auto outcome =
      MergeHostRecord(fleet_, announcement.record, Duration::zero(), now);
  HandleMergeOutcome(announcement.record, outcome, now);
  const auto host = fleet_.hosts.find(announcement.record.control);
  if (host == fleet_.hosts.end()) {
    return;
  }
  if (outcome != MergeOutcome::kOlderRecord) {
    RecordHostContact(host->second, now);
    host->second.unresponsive_after =
        kMaxMissedAnnouncements * ComputeAnnouncementInterval(CountBalancers());
    RecordTargetLoad(host->second, announcement.load, now);
    host->second.version = announcement.routes_version;
    role_.on_announcement(announcement, now);
  }
  if (settings_.role == HostRole::kBalancer &&
      LacksHostRecords(fleet_, announcement.record.role,
                       announcement.roster_digest, announcement.wants_roster)) {
    SendRoster(host->second.record, announcement.wants_roster, now);
  }
}

auto NodeHost::SendRoster(const HostRecord& receiver,
                          bool is_new,
                          TimePoint now) -> void {
  const Endpoint to = receiver.control;
  RosterSendTimes& sent = roster_send_times_[to];
  if (!is_new && sent.any_part != TimePoint{} &&
      now - sent.any_part < kMinRosterInterval) {
    return;
  }
  const bool whole = is_new || sent.whole_roster == TimePoint{} ||
                     now - sent.whole_roster >= kMinWholeRosterInterval;
  sent.any_part = now;
  if (whole) {
    sent.whole_roster = now;
  }
  RosterPart part;
  part.records.push_back(ForwardedHostRecord{.record = fleet_.self});
  const auto flush = [&] {
    SendControlDatagram(DatagramKind::kRoster, to, EncodeNodeMessage(part));
    part.records.clear();
  };
  for (const auto& [control, host] : fleet_.hosts) {
    const bool is_old = !whole && now - host.changed > kRecentChangePeriod;
    if (is_old || !ShouldStoreRecord(host.record, receiver.role)) {
      continue;
    }
    part.records.push_back(
        ForwardedHostRecord{.record = host.record,
                            .age_ms = static_cast<std::uint32_t>(
                                ToMilliseconds(now - host.last_contact))});
    if (part.records.size() == kMaxRecordsPerRosterPart) {
      flush();
    }
  }
  if (!part.records.empty()) {
    flush();
  }
}

auto NodeHost::OnRosterPartReceived(const RosterPart& part, TimePoint now)
    -> void {
  for (const auto& it : part.records) {
    if (!ShouldStoreRecord(it.record, settings_.role)) {
      continue;
    }
    const auto outcome = MergeHostRecord(
        fleet_, it.record, std::chrono::milliseconds{it.age_ms}, now);
    HandleMergeOutcome(it.record, outcome, now);
  }
}

}  // namespace hawthornbank::transport
