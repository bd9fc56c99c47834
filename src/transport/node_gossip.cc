#include "transport/node_gossip.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "hawthornbank/random.h"
#include "hawthornbank/roster_sync.h"
#include "transport/clock.h"
#include "transport/node_host.h"

namespace hawthornbank::transport {
namespace {

auto GetRoleName(HostRole role) -> const char* {
  return role == HostRole::kBalancer ? "balancer" : "agent";
}

// A process that has been up for longer than the largest value is as good as
// one that reports it.
auto GetUptimeMilliseconds(Duration uptime) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::min<std::int64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(uptime).count(),
      std::numeric_limits<std::uint32_t>::max()));
}

// Draws the next interval around the mean. Processes that started together
// would otherwise send all heartbeats at the same moment, and balancers that
// restart would know no agent until then.
auto DrawHeartbeatInterval(Duration mean, Random& random) -> Duration {
  constexpr double kSpread = 0.25;
  const double factor = 1 + kSpread * (2 * DrawRandomFraction(random) - 1);
  return Duration{
      static_cast<Duration::rep>(static_cast<double>(mean.count()) * factor)};
}

}  // namespace

NodeGossip::NodeGossip(NodeHost& host, Fleet& fleet)
    : host_(host),
      fleet_(fleet),
      timer_(host.io_context()),
      relay_timer_(host.io_context()),
      comparison_timer_(host.io_context()),
      next_registry_read_(host.start_time() + kSeedReplyTimeout) {
  fleet_.knows_agents_since = host.start_time();
}

auto NodeGossip::StartGossip(GossipCallbacks callbacks) -> void {
  callbacks_ = std::move(callbacks);
  RunGossipTick();
}

auto NodeGossip::IsBalancer() const -> bool {
  return fleet_.self.role == HostRole::kBalancer;
}

// A balancer whose peers have all shut down doesn't search for others: those
// that start find it.
auto NodeGossip::KnowsAnyBalancer(TimePoint now) const -> bool {
  return IsBalancer() ? CountBalancers(fleet_).balancers > 1
                      : hawthornbank::KnowsAnyBalancer(fleet_, now);
}

// Own state -----------------------------------------------------------------

// Returns whether the own record changed.
auto NodeGossip::UpdateOwnState(TimePoint now) -> bool {
  HostRecord record = fleet_.self;
  callbacks_.describe_self(record, load_);
  if (!UpdateOwnRecord(fleet_, record)) {
    return false;
  }
  host_.event_log().WriteEvent(
      EventKind::kStateChange, now,
      "own_record revision={} leaving={} target={} born={}",
      fleet_.self.revision, fleet_.self.is_shutting_down,
      ToString(fleet_.self.target.state), fleet_.self.target.started_at_ms);
  return true;
}

auto NodeGossip::MakeAnnouncement(TimePoint now) -> HostAnnouncement {
  return HostAnnouncement{
      .record = fleet_.self,
      .load = load_,
      .roster_digest = fleet_.digest,
      .routes = callbacks_.describe_routes(now),
      .uptime_ms = GetUptimeMilliseconds(now - fleet_.knows_agents_since)};
}

auto NodeGossip::MakeHeartbeat(TimePoint now) -> HostHeartbeat {
  return HostHeartbeat{.incarnation = fleet_.self.incarnation,
                       .revision = fleet_.self.revision,
                       .load = load_,
                       .roster_digest = fleet_.digest,
                       .routes = callbacks_.describe_routes(now)};
}

auto NodeGossip::AnnounceSelf(TimePoint now) -> void {
  UpdateOwnState(now);
  const Bytes datagram = EncodeNodeMessage(MakeAnnouncement(now));
  for (const auto it : ListChangeReceivers(fleet_, now)) {
    host_.SendControlDatagram(DatagramKind::kAnnouncement, it, datagram);
  }
  SendToUnknownSeeds(now);
}

auto NodeGossip::SendAnnouncement(Endpoint to, TimePoint now) -> void {
  UpdateOwnState(now);
  host_.SendControlDatagram(DatagramKind::kAnnouncement, to,
                            EncodeNodeMessage(MakeAnnouncement(now)));
}

auto NodeGossip::SendRoutesNews(bool from_store, TimePoint now) -> void {
  const Bytes datagram = EncodeNodeMessage(MakeHeartbeat(now));
  for (const auto it : ListRoutesNewsReceivers(fleet_, from_store, now)) {
    host_.SendControlDatagram(DatagramKind::kHeartbeat, it, datagram);
  }
  NotifyRouteHolders(now);
}

auto NodeGossip::SendHeartbeats(TimePoint now) -> void {
  const Bytes datagram = EncodeNodeMessage(MakeHeartbeat(now));
  for (const auto it : ListHeartbeatReceivers(fleet_, round_, now)) {
    host_.SendControlDatagram(DatagramKind::kHeartbeat, it, datagram);
  }
  ++round_;
}

auto NodeGossip::IntroduceBalancer(TimePoint now) -> void {
  const Bytes datagram = EncodeNodeMessage(MakeAnnouncement(now));
  for (const auto& [control, host] : fleet_.hosts) {
    if (MustIntroduceBalancer(fleet_, size_, host, now)) {
      host_.SendControlDatagram(DatagramKind::kAnnouncement, control, datagram);
    }
  }
}

// Tells the agents that keep the routes, and those that don't know which zones
// are out of service.
auto NodeGossip::NotifyRouteHolders(TimePoint now) -> void {
  if (!IsBalancer()) {
    return;
  }
  const HostAnnouncement announcement = MakeAnnouncement(now);
  const Bytes datagram = EncodeNodeMessage(announcement);
  for (const auto it :
       ListAgentsToNotifyOfRoutes(fleet_, announcement.routes.version, now)) {
    host_.SendControlDatagram(DatagramKind::kAnnouncement, it, datagram);
  }
  if (AreZonesKnown(announcement.routes.zones)) {
    for (const auto it : ListAgentsToNotifyOfZones(
             fleet_, ComputeZonesDigest(announcement.routes.zones),
             zone_notice_round_++, now)) {
      host_.SendControlDatagram(DatagramKind::kAnnouncement, it, datagram);
    }
  }
}

auto NodeGossip::RunGossipTick() -> void {
  const TimePoint now = GetMonotonicTime();
  size_ = CountBalancers(fleet_);
  fleet_.expiry_time = ComputeExpiryTime(size_, fleet_.self.role);
  const bool was_searching =
      std::exchange(is_searching_, !KnowsAnyBalancer(now));
  if (is_searching_) {
    AnnounceSelf(now);
    RequestBalancersFromRegistry(now);
  } else if (UpdateOwnState(now) || was_searching) {
    AnnounceSelf(now);
  } else {
    SendHeartbeats(now);
    SendToUnknownSeeds(now);
  }
  if (IsBalancer()) {
    if (MustReadRegistry(now)) {
      RequestBalancersFromRegistry(now);
    }
    IntroduceBalancer(now);
    NotifyRouteHolders(now);
  }
  NodeHost::ScheduleHandler(
      timer_,
      (is_searching_ && fleet_.hosts.empty()) ||
              (IsBalancer() && !has_asked_registry_)
          ? kSearchAnnouncementInterval
          : DrawHeartbeatInterval(ComputeHeartbeatInterval(size_),
                                  host_.random()),
      [this](TimePoint) { RunGossipTick(); });
}

// Messages of other processes -----------------------------------------------

auto NodeGossip::OnGossipMessage(Endpoint from,
                                 const NodeMessage& message,
                                 TimePoint now) -> void {
  if (const auto* const announcement =
          std::get_if<HostAnnouncement>(&message)) {
    OnAnnouncement(*announcement, now);
  } else if (const auto* const heartbeat =
                 std::get_if<HostHeartbeat>(&message)) {
    OnHeartbeat(from, *heartbeat, now);
  } else if (const auto* const part = std::get_if<RosterPart>(&message)) {
    OnRosterPart(*part, now);
  } else if (const auto* const comparison =
                 std::get_if<RosterComparison>(&message)) {
    OnRosterComparison(from, *comparison, now);
  } else if (std::holds_alternative<RecordRequest>(message)) {
    OnRecordRequest(from, now);
  }
}

// A balancer that has lost a record has restarted, maybe with all others, so
// the record is sent to all that are told of changes.
auto NodeGossip::OnRecordRequest(Endpoint from, TimePoint now) -> void {
  SendAnnouncement(from, now);
  if (now >= next_repeated_announcement_) {
    next_repeated_announcement_ = now + kRepeatedAnnouncementInterval;
    AnnounceSelf(now);
  }
}

// Returns whether a received record can be used, and logs it if not.
auto NodeGossip::IsUsable(const HostRecord& record, TimePoint now) -> bool {
  const char* const failure = CheckRecord(record);
  if (failure != nullptr) {
    host_.event_log().WriteEvent(EventKind::kMalformedInput, now,
                                 "record_ignored host={} reason=\"{}\"",
                                 ToString(record.control), failure);
  }
  return failure == nullptr;
}

auto NodeGossip::MergeRecord(const HostRecord& record,
                             Duration age,
                             TimePoint now) -> MergeOutcome {
  const auto outcome = MergeHostRecord(fleet_, record, age, now);
  if (outcome == MergeOutcome::kChanged) {
    same_zone_sync_.has_changed = other_zones_sync_.has_changed = true;
    fleet_.hosts.at(record.control).unresponsive_after =
        ComputeUnresponsiveTime(size_, record.zone == fleet_.self.zone);
    host_.event_log().WriteEvent(
        EventKind::kStateChange, now,
        "host_changed host={} role={} zone={} service={} incarnation={} "
        "revision={} leaving={} target={} born={} slots={}",
        ToString(record.control), GetRoleName(record.role), record.zone,
        FormatService(host_.service_names(), record.service),
        record.incarnation, record.revision, record.is_shutting_down,
        ToString(record.target.state), record.target.started_at_ms,
        record.target.slots);
  } else if (outcome == MergeOutcome::kOwnRecordSuperseded) {
    host_.event_log().WriteEvent(EventKind::kStateChange, now,
                                 "own_record_outranked incarnation={}",
                                 fleet_.self.incarnation);
    AnnounceSelf(now);
  }
  return outcome;
}

auto NodeGossip::RecordContact(KnownHost& host,
                               const TargetLoad& load,
                               const RoutesReport& routes,
                               TimePoint now) -> void {
  RecordHostContact(host, now);
  RecordTargetLoad(host, load, now);
  host.unresponsive_after =
      ComputeUnresponsiveTime(size_, host.record.zone == fleet_.self.zone);
  host.version = routes.version;
  host.zones_digest = ComputeZonesDigest(routes.zones);
  callbacks_.on_routes_report(host.record.control, routes, now);
}

// Sends a host its own record if the host announces an earlier start.
auto NodeGossip::ReturnRecord(KnownHost& host,
                              std::uint64_t incarnation,
                              TimePoint now) -> void {
  if (!MustReturnRecord(host, incarnation, now)) {
    return;
  }
  host_.event_log().WriteEvent(
      EventKind::kStateChange, now,
      "record_returned host={} incarnation={} announced={}",
      ToString(host.record.control), host.record.incarnation, incarnation);
  SendRecords(host.record.control, {ForwardHostRecord(host, now)});
}

// Tells an agent that has restarted which start of its target it had before.
auto NodeGossip::SendFormerRecord(KnownHost& host, TimePoint now) -> void {
  if (IsBalancer() && MustSendFormerRecord(host, now)) {
    SendRecords(host.record.control, {{.record = MakeFormerRecord(host)}});
  }
}

auto NodeGossip::OnAnnouncement(const HostAnnouncement& announcement,
                                TimePoint now) -> void {
  const HostRecord& record = announcement.record;
  if (!IsUsable(record, now)) {
    return;
  }
  if (announcement.uptime_ms.has_value()) {
    RecordUptime(fleet_, std::chrono::milliseconds{*announcement.uptime_ms},
                 now);
  }
  const auto outcome = MergeRecord(record, Duration::zero(), now);
  const auto host = fleet_.hosts.find(record.control);
  if (host == fleet_.hosts.end()) {
    return;
  }
  if (outcome != MergeOutcome::kOlderRecord) {
    RecordContact(host->second, announcement.load, announcement.routes, now);
    if (announcement.uptime_ms.has_value()) {
      host->second.knows_agents_since =
          now - std::chrono::milliseconds{*announcement.uptime_ms};
    }
    SendFormerRecord(host->second, now);
  } else {
    ReturnRecord(host->second, record.incarnation, now);
  }
  if (outcome == MergeOutcome::kChanged && record.zone != fleet_.self.zone) {
    RelayLater(record);
  }
  if (!IsBalancer()) {
    // Balancers announce themselves to agents that they haven't heard from.
    SendAnnouncement(record.control, now);
  } else if (announcement.wants_roster) {
    SendAnnouncement(record.control, now);
    SendRosterToNewcomer(record, now);
  } else if (record.role == HostRole::kBalancer) {
    CompareRecordsIfDue(host->second, announcement.roster_digest, now);
  }
}

auto NodeGossip::OnHeartbeat(Endpoint from,
                             const HostHeartbeat& heartbeat,
                             TimePoint now) -> void {
  const auto host = fleet_.hosts.find(from);
  const auto version = std::pair(heartbeat.incarnation, heartbeat.revision);
  if (host == fleet_.hosts.end() ||
      std::pair(host->second.record.incarnation, host->second.record.revision) <
          version) {
    host_.SendControlDatagram(DatagramKind::kRoster, from,
                              EncodeNodeMessage(RecordRequest{}));
    return;
  }
  if (host->second.record.incarnation != heartbeat.incarnation) {
    ReturnRecord(host->second, heartbeat.incarnation, now);
    return;
  }
  RecordContact(host->second, heartbeat.load, heartbeat.routes, now);
  if (host->second.record.role == HostRole::kBalancer) {
    CompareRecordsIfDue(host->second, heartbeat.roster_digest, now);
  }
}

auto NodeGossip::EraseExpiredHosts(TimePoint now) -> void {
  for (const auto it : EraseSilentHosts(fleet_, now)) {
    host_.event_log().WriteEvent(EventKind::kStateChange, now,
                                 "host_forgotten host={}", ToString(it));
  }
}

}  // namespace hawthornbank::transport
