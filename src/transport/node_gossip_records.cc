#include <utility>

#include "hawthornbank/roster_sync.h"
#include "transport/node_gossip.h"
#include "transport/node_host.h"

namespace hawthornbank::transport {
namespace {

// Shortest time by which a log line reports that this balancer's knowledge of
// the agents reaches further back. Peers' reports differ by their delays.
constexpr Duration kMinLoggedKnowledge = std::chrono::seconds{1};

}  // namespace

auto NodeGossip::OnRosterPart(const RosterPart& part, TimePoint now) -> void {
  const bool searched = !KnowsAnyBalancer(now);
  bool has_new_record = false;
  for (const auto& it : part.records) {
    if (!IsUsable(it.record, now) || !ShouldMergeRecord(fleet_, it.record)) {
      continue;
    }
    const auto former_start = FindFormerTargetStart(fleet_, it.record);
    if (former_start != 0 && callbacks_.on_former_target) {
      callbacks_.on_former_target(former_start, now);
    }
    const bool is_unknown = !fleet_.hosts.contains(it.record.control);
    const auto outcome =
        MergeRecord(it.record, std::chrono::milliseconds{it.age_ms}, now);
    const bool is_near =
        IsFullMesh(size_) || it.record.zone == fleet_.self.zone;
    if (outcome == MergeOutcome::kChanged && is_unknown && !searched &&
        is_near && it.record.role == HostRole::kBalancer) {
      // The balancer has started since this process announced itself.
      SendAnnouncement(it.record.control, now);
    }
    has_new_record = has_new_record || outcome == MergeOutcome::kChanged;
  }
  if (searched && has_new_record) {
    RunGossipTick();
  }
  if (has_new_record && IsBalancer() && !has_begun_comparisons_ &&
      !IsFullMesh(CountBalancers(fleet_))) {
    has_begun_comparisons_ = true;
    RunFirstComparisons(now);
  }
}

// Comparison of records -----------------------------------------------------

auto NodeGossip::CompareRecordsIfDue(const KnownHost& peer,
                                     std::uint64_t peer_digest,
                                     TimePoint now) -> void {
  const TimePoint known_since = fleet_.knows_agents_since;
  LearnOfAgentsFrom(fleet_, peer, peer_digest);
  if (IsBalancer() &&
      known_since - fleet_.knows_agents_since >= kMinLoggedKnowledge) {
    host_.event_log().WriteEvent(
        EventKind::kStateChange, now, "agents_known from={} since_ms={}",
        ToString(peer.record.control),
        (now - fleet_.knows_agents_since) / std::chrono::milliseconds{1});
  }
  SyncSchedule& sync = peer.record.zone == fleet_.self.zone ? same_zone_sync_
                                                            : other_zones_sync_;
  if (!IsBalancer() || peer_digest == fleet_.digest || now < sync.next_at) {
    return;
  }
  sync.interval = sync.has_changed
                      ? kSyncInterval
                      : std::min(sync.interval * 2, kMaxSyncInterval);
  sync.next_at = now + sync.interval;
  sync.has_changed = false;
  CompareRecords(peer.record.control);
}

auto NodeGossip::CompareRecords(Endpoint peer) -> void {
  host_.SendControlDatagram(DatagramKind::kRoster, peer,
                            EncodeNodeMessage(RosterComparison{
                                .buckets = ComputeRosterBuckets(fleet_)}));
}

// Compares records with balancers of all zones, one after the other, until this
// balancer certainly knows every agent.
auto NodeGossip::RunFirstComparisons(TimePoint now) -> void {
  const auto peer =
      ChooseComparisonPeer(fleet_, first_comparisons_, host_.random(), now);
  if (peer.has_value()) {
    ++first_comparisons_;
    CompareRecords(*peer);
  }
  if (now - host_.start_time() < ComputeSettlingTime(size_)) {
    NodeHost::ScheduleHandler(
        comparison_timer_, kFirstSyncInterval,
        [this](TimePoint then) { RunFirstComparisons(then); });
  }
}

auto NodeGossip::OnRosterComparison(Endpoint from,
                                    const RosterComparison& comparison,
                                    TimePoint now) -> void {
  SendRecords(from, ListDifferingRecords(fleet_, comparison.buckets, now));
}

// Sends a starting process the records of all balancers and, in a small fleet,
// of all agents. In a large fleet a starting balancer gets the agents' records
// by comparisons with many balancers, because all processes ask the same few
// seeds.
auto NodeGossip::SendRosterToNewcomer(const HostRecord& receiver, TimePoint now)
    -> void {
  const bool sends_agents =
      IsFullMesh(size_) && receiver.role == HostRole::kBalancer;
  std::vector<ForwardedHostRecord> records{{.record = fleet_.self}};
  for (const auto& [control, host] : fleet_.hosts) {
    if (control != receiver.control &&
        (sends_agents || host.record.role == HostRole::kBalancer)) {
      records.push_back(ForwardHostRecord(host, now));
    }
  }
  SendRecords(receiver.control, records);
}

auto NodeGossip::SendRecords(Endpoint to,
                             const std::vector<ForwardedHostRecord>& records)
    -> void {
  RosterPart part;
  const auto flush = [&] {
    host_.SendControlDatagram(DatagramKind::kRoster, to,
                              EncodeNodeMessage(part));
    part.records.clear();
  };
  for (const auto& it : records) {
    part.records.push_back(it);
    if (part.records.size() == kMaxRecordsPerRosterPart) {
      flush();
    }
  }
  if (!part.records.empty()) {
    flush();
  }
}

// Forwarding between zones --------------------------------------------------

auto NodeGossip::RelayLater(const HostRecord& record) -> void {
  if (!IsBalancer() || IsFullMesh(size_)) {
    return;
  }
  if (changed_.empty()) {
    NodeHost::ScheduleHandler(relay_timer_, kRelayDelay, [this](TimePoint now) {
      RelayChangedRecords(now);
    });
  }
  changed_.push_back(record.control);
}

auto NodeGossip::RelayChangedRecords(TimePoint now) -> void {
  std::vector<ForwardedHostRecord> records;
  for (const auto it : std::exchange(changed_, {})) {
    const auto host = fleet_.hosts.find(it);
    if (host != fleet_.hosts.end()) {
      records.push_back(ForwardHostRecord(host->second, now));
    }
  }
  for (const auto it : ListRelayReceivers(fleet_, now)) {
    SendRecords(it, records);
  }
}

}  // namespace hawthornbank::transport
