#include "hawthornbank/fleet.h"

#include <algorithm>
#include <utility>

namespace hawthornbank {
namespace {

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

auto RecordStartOfColdTarget(KnownHost& host) -> void {
  if (host.record.target.cold) {
    host.cold_target_started_at_ms = host.record.target.started_at_ms;
  }
}

}  // namespace

auto MergeHostRecord(Fleet& fleet,
                     const HostRecord& record,
                     Duration age,
                     TimePoint now) -> MergeOutcome {
  if (record.control == fleet.self.control) {
    if (!IsNewerRecord(record, fleet.self)) {
      return MergeOutcome::kKnownRecord;
    }
    // An earlier start of this process has a larger incarnation, because the
    // wall clock has gone back since.
    fleet.digest -= ComputeRecordDigest(fleet.self);
    fleet.self.incarnation = record.incarnation + 1;
    fleet.digest += ComputeRecordDigest(fleet.self);
    return MergeOutcome::kOwnRecordSuperseded;
  }
  if (age > kHostExpiryTime) {
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
    known.suspected_until = {};
  }
  fleet.digest +=
      ComputeRecordDigest(record) - ComputeRecordDigest(known.record);
  known.record = record;
  RecordStartOfColdTarget(known);
  known.changed = now;
  return MergeOutcome::kChanged;
}

auto LacksHostRecords(const Fleet& fleet,
                      HostRole role,
                      std::uint64_t digest,
                      bool wants_roster) -> bool {
  return wants_roster ||
         (role == HostRole::kBalancer && digest != fleet.digest);
}

auto MustIntroduceBalancer(const KnownHost& host, TimePoint now) -> bool {
  return host.record.role == HostRole::kAgent &&
         (host.load_reported_at == TimePoint{} ||
          now - host.load_reported_at >= host.unresponsive_after);
}

auto ListAgentsToNotifyOfRoutes(const Fleet& fleet,
                                std::uint64_t version,
                                TimePoint now) -> std::vector<Endpoint> {
  std::vector<const KnownHost*> agents;
  for (const auto& [control, host] : fleet.hosts) {
    if (host.record.role == HostRole::kAgent && !host.record.is_shutting_down &&
        IsHostLive(host, now)) {
      agents.push_back(&host);
    }
  }
  const auto count = std::min(agents.size(), kRouteHolderCount);
  const auto address_order = [](const KnownHost* host) {
    return std::pair(host->record.control.address, host->record.control.port);
  };
  std::partial_sort(agents.begin(),
                    agents.begin() + static_cast<std::ptrdiff_t>(count),
                    agents.end(), [&](const KnownHost* a, const KnownHost* b) {
                      return address_order(a) < address_order(b);
                    });
  std::vector<Endpoint> endpoints;
  for (std::size_t n = 0; n < count; ++n) {
    if (agents[n]->version < version) {
      endpoints.push_back(agents[n]->record.control);
    }
  }
  return endpoints;
}

auto RecordTargetLoad(KnownHost& host, const TargetLoad& load, TimePoint now)
    -> void {
  host.load = load;
  host.load_reported_at = now;
  host.openings_since_load = 0;
}

auto RecordRequestToHost(KnownHost& host, TimePoint now) -> void {
  if (host.unanswered_since == TimePoint{}) {
    host.unanswered_since = now;
  }
}

auto RecordHostContact(KnownHost& host, TimePoint now) -> void {
  host.last_contact = now;
  host.unanswered_since = {};
  host.suspected_until = {};
}

auto MarkHostSuspected(KnownHost& host, TimePoint now) -> void {
  host.suspected_until = now + kSuspicionTime;
}

auto IsHostLive(const KnownHost& host, TimePoint now) -> bool {
  const bool is_reply_overdue =
      host.unanswered_since != TimePoint{} &&
      now - host.unanswered_since >= kHostReplyTimeout;
  return now - host.last_contact < host.unresponsive_after &&
         now >= host.suspected_until && !is_reply_overdue;
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
    if (now - it.second.last_contact < kHostExpiryTime) {
      return false;
    }
    fleet.digest -= ComputeRecordDigest(it.second.record);
    erased.push_back(it.first);
    return true;
  });
  return erased;
}

}  // namespace hawthornbank
