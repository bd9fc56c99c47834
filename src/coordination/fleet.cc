#include "hawthornbank/fleet.h"

#include <algorithm>
#include <utility>

namespace hawthornbank {
namespace {

// Order-independent, so that it can be kept up to date record by record.
auto DigestOf(const HostRecord& record) -> std::uint64_t {
  std::uint64_t hash =
      (std::uint64_t{record.control.address} << 16U) | record.control.port;
  hash ^= record.incarnation * 0x9E3779B97F4A7C15ULL;
  hash ^= std::uint64_t{record.revision} * 0xD1B54A32D192ED03ULL;
  hash = (hash ^ (hash >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  hash = (hash ^ (hash >> 27U)) * 0x94D049BB133111EBULL;
  return hash ^ (hash >> 31U);
}

auto IsNewer(const HostRecord& a, const HostRecord& b) -> bool {
  return std::pair(a.incarnation, a.revision) >
         std::pair(b.incarnation, b.revision);
}

auto NoteCold(KnownHost& host) -> void {
  if (host.record.target.cold) {
    host.cold_start = host.record.target.born;
  }
}

}  // namespace

auto MergeRecord(Fleet& fleet,
                 const HostRecord& record,
                 Duration age,
                 TimePoint now) -> MergeOutcome {
  if (record.control == fleet.self.control) {
    if (!IsNewer(record, fleet.self)) {
      return MergeOutcome::kSame;
    }
    // The wall clock went back between two starts of this process.
    fleet.digest -= DigestOf(fleet.self);
    fleet.self.incarnation = record.incarnation + 1;
    fleet.digest += DigestOf(fleet.self);
    return MergeOutcome::kOutranked;
  }
  if (age > kForgetAfter) {
    return MergeOutcome::kOld;
  }
  const auto [it, added] = fleet.hosts.try_emplace(record.control);
  KnownHost& known = it->second;
  if (added) {
    known.record = record;
    NoteCold(known);
    known.heard = now - age;
    known.changed = now;
    fleet.digest += DigestOf(record);
    return MergeOutcome::kChanged;
  }
  if (IsNewer(known.record, record)) {
    return MergeOutcome::kOld;
  }
  known.heard = std::max(known.heard, now - age);
  if (!IsNewer(record, known.record)) {
    return MergeOutcome::kSame;
  }
  if (record.incarnation != known.record.incarnation) {
    // A new process has no load yet, and no doubt hangs over it.
    known.load = {};
    known.doubted_until = {};
  }
  fleet.digest += DigestOf(record) - DigestOf(known.record);
  known.record = record;
  NoteCold(known);
  known.changed = now;
  return MergeOutcome::kChanged;
}

auto NeedsRoster(const Fleet& fleet,
                 HostRole role,
                 std::uint64_t digest,
                 bool wants_reply) -> bool {
  return wants_reply || (role == HostRole::kBalancer && digest != fleet.digest);
}

auto NeedsIntroduction(const KnownHost& host, TimePoint now) -> bool {
  return host.record.role == HostRole::kAgent &&
         (host.load_at == TimePoint{} ||
          now - host.load_at >= host.silent_after);
}

auto KeepersToTell(const Fleet& fleet, std::uint64_t version, TimePoint now)
    -> std::vector<Endpoint> {
  std::vector<const KnownHost*> agents;
  for (const auto& [control, host] : fleet.hosts) {
    if (host.record.role == HostRole::kAgent && !host.record.leaving &&
        IsAnswering(host, now)) {
      agents.push_back(&host);
    }
  }
  const auto count = std::min(agents.size(), kRouteKeepers);
  const auto rank = [](const KnownHost* host) {
    return std::pair(host->record.control.address, host->record.control.port);
  };
  std::partial_sort(agents.begin(),
                    agents.begin() + static_cast<std::ptrdiff_t>(count),
                    agents.end(), [&](const KnownHost* a, const KnownHost* b) {
                      return rank(a) < rank(b);
                    });
  std::vector<Endpoint> keepers;
  for (std::size_t n = 0; n < count; ++n) {
    if (agents[n]->version < version) {
      keepers.push_back(agents[n]->record.control);
    }
  }
  return keepers;
}

auto NoteLoad(KnownHost& host, const TargetLoad& load, TimePoint now) -> void {
  host.load = load;
  host.load_at = now;
  host.sent_since = 0;
}

auto NoteAsked(KnownHost& host, TimePoint now) -> void {
  if (host.unanswered_since == TimePoint{}) {
    host.unanswered_since = now;
  }
}

auto NoteHeard(KnownHost& host, TimePoint now) -> void {
  host.heard = now;
  host.unanswered_since = {};
  host.doubted_until = {};
}

auto DoubtHost(KnownHost& host, TimePoint now) -> void {
  host.doubted_until = now + kDoubtTime;
}

auto IsAnswering(const KnownHost& host, TimePoint now) -> bool {
  const bool owes_answer = host.unanswered_since != TimePoint{} &&
                           now - host.unanswered_since >= kAnswerTime;
  return now - host.heard < host.silent_after && now >= host.doubted_until &&
         !owes_answer;
}

auto WasSeenCold(const KnownHost& host) -> bool {
  return host.cold_start != 0 && host.cold_start == host.record.target.born;
}

auto UpdateSelf(Fleet& fleet, HostRecord record) -> bool {
  record.incarnation = fleet.self.incarnation;
  record.revision = fleet.self.revision;
  if (record == fleet.self) {
    return false;
  }
  fleet.digest -= DigestOf(fleet.self);
  fleet.self = std::move(record);
  ++fleet.self.revision;
  fleet.digest += DigestOf(fleet.self);
  return true;
}

auto ForgetSilentHosts(Fleet& fleet, TimePoint now) -> std::vector<Endpoint> {
  std::vector<Endpoint> forgotten;
  std::erase_if(fleet.hosts, [&](const auto& it) {
    if (now - it.second.heard < kForgetAfter) {
      return false;
    }
    fleet.digest -= DigestOf(it.second.record);
    forgotten.push_back(it.first);
    return true;
  });
  return forgotten;
}

}  // namespace hawthornbank
