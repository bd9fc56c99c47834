#include "hawthornbank/fleet.h"

#include <algorithm>
#include <utility>

namespace hawthornbank {
namespace {

auto RecordStartOfColdTarget(KnownHost& host) -> void {
  if (host.record.target.cold) {
    host.cold_target_started_at_ms = host.record.target.started_at_ms;
  }
}

// A name with a control character would break the line of a log.
auto HasControlCharacter(const std::string& text) -> bool {
  constexpr unsigned char kDelete = 0x7F;
  return std::any_of(text.begin(), text.end(), [](char it) {
    const auto byte = static_cast<unsigned char>(it);
    return byte < ' ' || byte == kDelete;
  });
}

}  // namespace

auto CheckRecord(const HostRecord& record) -> const char* {
  constexpr std::uint32_t kFirstMulticastAddress = 0xE0000000;
  if (record.control.address == 0 || record.control.port == 0 ||
      record.control.address >= kFirstMulticastAddress) {
    return "address names no host";
  }
  if (record.role > HostRole::kAgent) {
    return "unknown role";
  }
  if (record.target.state > TargetState::kGone) {
    return "unknown state of the target";
  }
  if (record.incarnation > kMaxIncarnation) {
    return "incarnation out of range";
  }
  if (HasControlCharacter(record.zone)) {
    return "control character in the name of the zone";
  }
  return nullptr;
}

// Fleet::digest is the sum of the hashes of all records. The sum doesn't depend
// on the order of the records and can be updated record by record.
auto ComputeRecordDigest(const HostRecord& record) -> std::uint64_t {
  std::uint64_t hash =
      (std::uint64_t{record.control.address} << 16U) | record.control.port;
  hash ^= record.incarnation * 0x9E3779B97F4A7C15ULL;
  hash ^= std::uint64_t{record.revision} * 0xD1B54A32D192ED03ULL;
  hash = (hash ^ (hash >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  hash = (hash ^ (hash >> 27U)) * 0x94D049BB133111EBULL;
  return hash ^ (hash >> 31U);
}

auto IsNewerRecord(const HostRecord& a, const HostRecord& b) -> bool {
  return std::pair(a.incarnation, a.revision) >
         std::pair(b.incarnation, b.revision);
}

auto MergeHostRecord(Fleet& fleet,
                     const HostRecord& record,
                     Duration age,
                     TimePoint now) -> MergeOutcome {
  if (record.control == fleet.self.control) {
    if (!IsNewerRecord(record, fleet.self) ||
        record.incarnation >= kMaxIncarnation) {
      return MergeOutcome::kKnownRecord;
    }
    // An earlier start of this process has a larger incarnation, because the
    // wall clock has gone back since.
    fleet.digest -= ComputeRecordDigest(fleet.self);
    fleet.self.incarnation = record.incarnation + 1;
    fleet.digest += ComputeRecordDigest(fleet.self);
    return MergeOutcome::kOwnRecordSuperseded;
  }
  if (age > fleet.expiry_time) {
    return MergeOutcome::kOlderRecord;
  }
  const auto [it, added] = fleet.hosts.try_emplace(record.control);
  KnownHost& known = it->second;
  if (added) {
    known.record = record;
    RecordStartOfColdTarget(known);
    known.last_contact = now - age;
    known.changed = now;
    fleet.digest += ComputeRecordDigest(record);
    return MergeOutcome::kChanged;
  }
  if (IsNewerRecord(known.record, record)) {
    return MergeOutcome::kOlderRecord;
  }
  known.last_contact = std::max(known.last_contact, now - age);
  if (!IsNewerRecord(record, known.record)) {
    return MergeOutcome::kKnownRecord;
  }
  if (record.incarnation != known.record.incarnation) {
    // A restarted process has no load yet and isn't suspected.
    known.load = {};
    known.warmup_limited_at = {};
    known.suspected_until = {};
    known.has_restarted = true;
    known.knows_agents_since = TimePoint::max();
    if (known.record.target.state == TargetState::kGone ||
        known.record.service != record.service) {
      known.former_target_started_at_ms = 0;
    } else if (known.record.target.started_at_ms != 0) {
      known.former_target_started_at_ms = known.record.target.started_at_ms;
    }
  }
  fleet.digest +=
      ComputeRecordDigest(record) - ComputeRecordDigest(known.record);
  known.record = record;
  RecordStartOfColdTarget(known);
  known.changed = now;
  return MergeOutcome::kChanged;
}

auto ShouldMergeRecord(const Fleet& fleet, const HostRecord& record) -> bool {
  return record.control == fleet.self.control ||
         ShouldStoreRecord(record, fleet.self.role);
}

auto MustReturnRecord(KnownHost& host, std::uint64_t incarnation, TimePoint now)
    -> bool {
  if (incarnation >= host.record.incarnation ||
      now - host.record_returned_at < kRecordReturnInterval) {
    return false;
  }
  host.record_returned_at = now;
  return true;
}

auto MustSendFormerRecord(KnownHost& host, TimePoint now) -> bool {
  if (host.record.role != HostRole::kAgent ||
      host.former_target_started_at_ms == 0 ||
      host.record.target.started_at_ms != 0 ||
      now - host.record_returned_at < kRecordReturnInterval) {
    return false;
  }
  host.record_returned_at = now;
  return true;
}

auto MakeFormerRecord(const KnownHost& host) -> HostRecord {
  return HostRecord{
      .control = host.record.control,
      .role = host.record.role,
      .service = host.record.service,
      .zone = host.record.zone,
      .target = {.started_at_ms = host.former_target_started_at_ms}};
}

auto FindFormerTargetStart(const Fleet& fleet, const HostRecord& record)
    -> std::uint64_t {
  const bool is_former = record.control == fleet.self.control &&
                         record.incarnation != fleet.self.incarnation;
  const bool may_hold_flows = record.service == fleet.self.service &&
                              record.target.state != TargetState::kGone;
  return is_former && may_hold_flows ? record.target.started_at_ms : 0;
}

auto RecordUptime(Fleet& fleet, Duration uptime, TimePoint now) -> void {
  fleet.earliest_start = std::min(fleet.earliest_start, now - uptime);
}

auto LearnOfAgentsFrom(Fleet& fleet,
                       const KnownHost& peer,
                       std::uint64_t peer_digest) -> void {
  if (peer.record.role == HostRole::kBalancer && peer_digest == fleet.digest) {
    fleet.knows_agents_since =
        std::min(fleet.knows_agents_since, peer.knows_agents_since);
  }
}

auto KnowsAllAgents(const Fleet& fleet, Duration flow_lifetime, TimePoint now)
    -> bool {
  return now - fleet.knows_agents_since >= flow_lifetime;
}

auto RecordTargetLoad(KnownHost& host, const TargetLoad& load, TimePoint now)
    -> void {
  host.load = load;
  host.load_reported_at = now;
  host.openings_since_load = 0;
  if (load.openings_left > 0) {
    host.warmup_limited_at = {};
  }
}

auto IsAtWarmupLimit(const KnownHost& host, Duration report_time, TimePoint now)
    -> bool {
  return now - host.warmup_limited_at < report_time ||
         (host.load.openings_left != kUnlimitedOpenings &&
          host.openings_since_load >= host.load.openings_left &&
          now - host.load_reported_at < report_time);
}

auto RecordRequestToHost(KnownHost& host, TimePoint now) -> void {
  if (host.unanswered_since == TimePoint{}) {
    host.unanswered_since = now;
  }
  if (host.unanswered_requests == 0 ||
      now - host.tried_at >= kHostReplyTimeout + kSuspicionTime) {
    host.tried_at = now;
  }
  ++host.unanswered_requests;
}

auto RecordHostContact(KnownHost& host, TimePoint now) -> void {
  host.last_contact = now;
  host.unanswered_since = {};
  host.unanswered_requests = 0;
  host.unanswered_openings = 0;
  host.suspected_until = {};
}

auto MarkHostSuspected(KnownHost& host, TimePoint now) -> void {
  constexpr std::uint32_t kMaxDoublings = 3;
  const auto doublings = std::min(host.unanswered_openings, kMaxDoublings);
  host.suspected_until =
      now + std::min(kSuspicionTime * (1U << doublings), kMaxSuspicionTime);
  ++host.unanswered_openings;
}

auto IsHostLive(const KnownHost& host, TimePoint now) -> bool {
  const Duration waited = now - host.tried_at;
  const bool is_reply_overdue = host.unanswered_requests > 0 &&
                                waited >= kHostReplyTimeout &&
                                waited < kHostReplyTimeout + kSuspicionTime;
  return now - host.last_contact < host.unresponsive_after &&
         now >= host.suspected_until && !is_reply_overdue;
}

auto IsHostUnreachable(const KnownHost& host, Duration silence, TimePoint now)
    -> bool {
  const bool leaves_requests_unanswered =
      host.unanswered_requests >= kMinRequestsToUnreachable &&
      now - host.unanswered_since >= silence;
  return leaves_requests_unanswered ||
         now - host.last_contact >= std::max(silence, host.unresponsive_after);
}

auto WasTargetAnnouncedCold(const KnownHost& host) -> bool {
  return host.cold_target_started_at_ms != 0 &&
         host.cold_target_started_at_ms == host.record.target.started_at_ms;
}

auto UpdateOwnRecord(Fleet& fleet, HostRecord record) -> bool {
  record.incarnation = fleet.self.incarnation;
  record.revision = fleet.self.revision;
  if (record == fleet.self) {
    return false;
  }
  fleet.digest -= ComputeRecordDigest(fleet.self);
  fleet.self = std::move(record);
  ++fleet.self.revision;
  fleet.digest += ComputeRecordDigest(fleet.self);
  return true;
}

auto EraseSilentHosts(Fleet& fleet, TimePoint now) -> std::vector<Endpoint> {
  std::vector<Endpoint> erased;
  std::erase_if(fleet.hosts, [&](const auto& it) {
    if (now - it.second.last_contact < fleet.expiry_time) {
      return false;
    }
    fleet.digest -= ComputeRecordDigest(it.second.record);
    erased.push_back(it.first);
    return true;
  });
  return erased;
}

}  // namespace hawthornbank
