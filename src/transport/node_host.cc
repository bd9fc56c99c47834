#include "transport/node_host.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include "hawthornbank/error.h"
#include "transport/clock.h"

namespace hawthornbank::transport {
namespace {

auto ToSteady(Duration duration) -> std::chrono::steady_clock::duration {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      duration);
}

auto ToMilliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

auto RoleName(HostRole role) -> const char* {
  return role == HostRole::kBalancer ? "balancer" : "agent";
}

}  // namespace

NodeHost::NodeHost(NodeSettings settings, NodeCodec codec, Fleet& fleet)
    : settings_(std::move(settings)),
      codec_(std::move(codec)),
      fleet_(fleet),
      log_(STDOUT_FILENO, settings_.name),
      random_(static_cast<std::uint64_t>(
          WallNow().time_since_epoch().count() ^
          (std::int64_t{settings_.control.address} << 20))),
      control_(io_, settings_.control),
      announce_timer_(io_),
      slow_timer_(io_),
      signals_(io_, SIGTERM, SIGHUP),
      started_(MonotonicNow()) {
  registry_ =
      std::make_unique<RegistryClient>(io_, settings_.store, codec_, log_);
  search_at_ = started_ + kSeedPatience;
  fleet_.self.control = settings_.control;
  fleet_.self.role = settings_.role;
  fleet_.self.zone = settings_.zone;
  fleet_.self.incarnation = ToInteger(MakeIncarnation());
}

auto NodeHost::Run(NodeRole role) -> int {
  role_ = std::move(role);
  const TimePoint now = MonotonicNow();
  log_.Write(EventKind::kProcess, now,
             "start role={} zone={} control={} seeds={}",
             RoleName(settings_.role), settings_.zone,
             ToString(settings_.control), settings_.seeds.size());
  control_.Receive([this](Endpoint from, ByteView datagram) {
    OnDatagram(from, datagram, MonotonicNow());
  });
  for (const auto it : settings_.http) {
    servers_.push_back(std::make_unique<HttpServer>(
        io_, it, [this](const HttpCall& call) { return role_.on_call(call); }));
  }
  if (codec_.settings_stamp) {
    settings_stamp_ = codec_.settings_stamp();
  }
  WaitForSignal();
  AnnounceTimer();
  SlowTimer();
  io_.run();
  log_.Write(EventKind::kProcess, MonotonicNow(), "stop log_lines_left_out={}",
             log_.dropped());
  return 0;
}

auto NodeHost::Exit() -> void {
  io_.stop();
}

auto NodeHost::Send(Endpoint to, ByteView datagram) -> void {
  control_.Send(to, datagram);
}

auto NodeHost::CallerOf(const FlowKey& flow) const -> Endpoint {
  return Endpoint{.address = flow.caller.address, .port = settings_.data.port};
}

auto NodeHost::SendReset(UdpSocket& socket,
                         const FlowKey& flow,
                         std::uint32_t acknowledgement) const -> void {
  socket.Send(CallerOf(flow), codec_.encode_reset(flow, acknowledgement));
}

auto NodeHost::After(asio::steady_timer& timer,
                     Duration pause,
                     std::function<void(TimePoint now)> handler) -> void {
  timer.expires_after(ToSteady(pause));
  timer.async_wait([handler = std::move(handler)](const asio::error_code& ec) {
    if (!ec) {
      handler(MonotonicNow());
    }
  });
}

// All balancers, and seeds that haven't been heard of.
auto NodeHost::Receivers() const -> std::vector<Endpoint> {
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
  if (!KnowsBalancers()) {
    std::for_each(listed_.begin(), listed_.end(), add);
  }
  return receivers;
}

auto NodeHost::MakeAnnounce(TimePoint now) -> Bytes {
  HostRecord record = fleet_.self;
  HostAnnounce announce;
  role_.describe(record, announce.load);
  if (UpdateSelf(fleet_, record)) {
    log_.Write(EventKind::kBelief, now,
               "own_record revision={} leaving={} target={} born={}",
               fleet_.self.revision, fleet_.self.leaving,
               ToString(fleet_.self.target.state), fleet_.self.target.born);
  }
  announce.record = fleet_.self;
  announce.digest = fleet_.digest;
  role_.version(announce, now);
  version_ = announce.version;
  announce.wants_reply = !KnowsBalancers();
  return EncodeNodeMessage(announce);
}

auto NodeHost::Announce(TimePoint now) -> void {
  const Bytes datagram = MakeAnnounce(now);
  for (const auto it : Receivers()) {
    Send(it, datagram);
  }
  if (settings_.role == HostRole::kBalancer) {
    TellAgents(datagram, now);
  }
}

auto NodeHost::TellAgents(ByteView announce, TimePoint now) -> void {
  for (const auto& [control, host] : fleet_.hosts) {
    if (NeedsIntroduction(host, now)) {
      Send(control, announce);
    }
  }
  for (const auto it : KeepersToTell(fleet_, version_, now)) {
    Send(it, announce);
  }
}

auto NodeHost::CountBalancers() const -> std::size_t {
  const auto count = std::count_if(
      fleet_.hosts.begin(), fleet_.hosts.end(), [](const auto& it) {
        return it.second.record.role == HostRole::kBalancer;
      });
  return static_cast<std::size_t>(count);
}

auto NodeHost::KnowsBalancers() const -> bool {
  return CountBalancers() > 0;
}

// Seeds may be down for long; the store lists the others.
auto NodeHost::SearchRegistry(TimePoint now) -> void {
  if (now < search_at_ || registry_->busy()) {
    return;
  }
  search_at_ = now + kRegistryRetry;
  registry_->Read([this](const std::vector<Endpoint>& hosts) {
    const TimePoint then = MonotonicNow();
    log_.Write(EventKind::kBelief, then, "registry_read balancers={}",
               hosts.size());
    listed_ = hosts;
    Announce(then);
  });
}

auto NodeHost::AnnounceTimer() -> void {
  const TimePoint now = MonotonicNow();
  Announce(now);
  const bool searching = !KnowsBalancers();
  if (searching) {
    SearchRegistry(now);
  }
  After(announce_timer_,
        searching ? kSearchInterval : AnnounceInterval(CountBalancers()),
        [this](TimePoint) { AnnounceTimer(); });
}

auto NodeHost::SlowTimer() -> void {
  const TimePoint now = MonotonicNow();
  for (const auto it : ForgetSilentHosts(fleet_, now)) {
    log_.Write(EventKind::kBelief, now, "host_forgotten host={}", ToString(it));
    roster_sent_.erase(it);
  }
  if (codec_.settings_stamp && codec_.settings_stamp() != settings_stamp_) {
    ReloadSettings(now, "file");
  }
  role_.on_slow_tick(now);
  log_.Flush();
  After(slow_timer_, kSlowInterval, [this](TimePoint) { SlowTimer(); });
}

auto NodeHost::WaitForSignal() -> void {
  signals_.async_wait([this](const asio::error_code& ec, int signal) {
    if (ec) {
      return;
    }
    const TimePoint now = MonotonicNow();
    if (signal == SIGHUP) {
      ReloadSettings(now, "signal");
    } else if (!stopping_) {
      stopping_ = true;
      log_.Write(EventKind::kProcess, now, "stopping grace_ms={}",
                 ToMilliseconds(settings_.grace));
      role_.on_stop(now);
    }
    WaitForSignal();
  });
}

auto NodeHost::ReloadSettings(TimePoint now, const char* cause) -> void {
  settings_stamp_ = codec_.settings_stamp ? codec_.settings_stamp() : 0;
  try {
    NodeSettings changed = codec_.load_settings();
    // Addresses that are bound stay until the next start.
    settings_.seeds = changed.seeds;
    if (settings_.store != changed.store) {
      settings_.store = changed.store;
      registry_ =
          std::make_unique<RegistryClient>(io_, settings_.store, codec_, log_);
    }
    settings_.grace = changed.grace;
    settings_.heartbeat = changed.heartbeat;
    log_.Write(EventKind::kProcess, now, "reload cause={} seeds={} store={}",
               cause, settings_.seeds.size(), ToString(settings_.store));
    role_.on_settings(settings_);
  } catch (const Error& error) {
    log_.Write(EventKind::kInput, now, "reload_failed cause={} error=\"{}\"",
               cause, error.what());
  }
}

auto NodeHost::OnDatagram(Endpoint from, ByteView datagram, TimePoint now)
    -> void {
  const auto message = DecodeNodeMessage(datagram);
  if (!message.has_value()) {
    role_.on_relay(from, datagram, now);
    return;
  }
  if (const auto* const announce = std::get_if<HostAnnounce>(&*message)) {
    OnAnnounce(*announce, now);
  } else if (const auto* const part = std::get_if<RosterPart>(&*message)) {
    OnRoster(*part, now);
  } else if (const auto* const query = std::get_if<FlowQuery>(&*message)) {
    role_.on_query(*query, now);
  } else {
    role_.on_note(std::get<FlowNote>(*message), now);
  }
}

auto NodeHost::NoteMerge(const HostRecord& record,
                         MergeOutcome outcome,
                         TimePoint now) -> void {
  if (outcome == MergeOutcome::kChanged) {
    log_.Write(EventKind::kBelief, now,
               "host_changed host={} role={} zone={} incarnation={} "
               "revision={} leaving={} target={} born={} slots={}",
               ToString(record.control), RoleName(record.role), record.zone,
               record.incarnation, record.revision, record.leaving,
               ToString(record.target.state), record.target.born,
               record.target.slots);
  } else if (outcome == MergeOutcome::kOutranked) {
    log_.Write(EventKind::kBelief, now, "own_record_outranked incarnation={}",
               fleet_.self.incarnation);
    Announce(now);
  }
}

auto NodeHost::OnAnnounce(const HostAnnounce& announce, TimePoint now) -> void {
  const auto outcome =
      MergeRecord(fleet_, announce.record, Duration::zero(), now);
  NoteMerge(announce.record, outcome, now);
  const auto host = fleet_.hosts.find(announce.record.control);
  if (host == fleet_.hosts.end()) {
    return;
  }
  if (outcome != MergeOutcome::kOld) {
    NoteHeard(host->second, now);
    host->second.silent_after =
        kMissedAnnounces * AnnounceInterval(CountBalancers());
    NoteLoad(host->second, announce.load, now);
    host->second.version = announce.version;
    role_.on_announce(announce, now);
  }
  if (settings_.role == HostRole::kBalancer &&
      NeedsRoster(fleet_, announce.record.role, announce.digest,
                  announce.wants_reply)) {
    SendRoster(host->second.record, announce.wants_reply, now);
  }
}

auto NodeHost::SendRoster(const HostRecord& receiver,
                          bool is_new,
                          TimePoint now) -> void {
  const Endpoint to = receiver.control;
  RosterTimes& sent = roster_sent_[to];
  if (!is_new && sent.any != TimePoint{} && now - sent.any < kRosterInterval) {
    return;
  }
  const bool whole = is_new || sent.whole == TimePoint{} ||
                     now - sent.whole >= kWholeRosterInterval;
  sent.any = now;
  if (whole) {
    sent.whole = now;
  }
  RosterPart part;
  part.records.push_back(PassedRecord{.record = fleet_.self});
  const auto flush = [&] {
    Send(to, EncodeNodeMessage(part));
    part.records.clear();
  };
  for (const auto& [control, host] : fleet_.hosts) {
    const bool is_old = !whole && now - host.changed > kRecentChange;
    if (is_old || !IsOfUse(host.record, receiver.role)) {
      continue;
    }
    part.records.push_back(PassedRecord{.record = host.record,
                                        .age_ms = static_cast<std::uint32_t>(
                                            ToMilliseconds(now - host.heard))});
    if (part.records.size() == kRecordsPerPart) {
      flush();
    }
  }
  if (!part.records.empty()) {
    flush();
  }
}

auto NodeHost::OnRoster(const RosterPart& part, TimePoint now) -> void {
  for (const auto& it : part.records) {
    if (!IsOfUse(it.record, settings_.role)) {
      continue;
    }
    const auto outcome = MergeRecord(fleet_, it.record,
                                     std::chrono::milliseconds{it.age_ms}, now);
    NoteMerge(it.record, outcome, now);
  }
}

}  // namespace hawthornbank::transport
