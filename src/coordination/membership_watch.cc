#include <algorithm>

#include "membership_internal.h"

namespace hawthornbank::detail {
namespace {

/// Factor of the timeouts of suspicion and death while this balancer receives
/// no message, so that practically no member is declared dead.
constexpr std::uint32_t kNothingReceivedTimeoutFactor = 1000;

auto SendProbeTo(Membership& membership, const TargetEntry& entry, Actions& out)
    -> void {
  const auto& record = entry.record;
  AnnouncementAck ack{.target = record.id,
                      .state = TargetState::kSuspect,
                      .incarnation = record.incarnation,
                      .sequence = record.sequence};
  if (membership.ready) {
    ack.watchers =
        ListWatchers(membership, ToInteger(record.id), record.zone, {});
  }
  membership.budget_bytes -=
      static_cast<double>(ComputeEncodedSize(ack) + kDatagramOverhead);
  out.emplace_back(SendAnnouncementAck{.to = record.agent, .ack = ack});
}

auto SendProbeTo(Membership& membership,
                 const BalancerEntry& entry,
                 Actions& out) -> void {
  Digest digest = MakeEmptyDigest(membership);
  digest.probe = true;
  digest.balancers = {membership.self, entry.record};
  SendDigestTo(membership, entry.record.peer, std::move(digest), out);
}

/// Asks the other watchers whether they receive heartbeats of a member that is
/// about to be suspected, because the fault may affect only one link or one
/// direction of the link.
auto AskOtherWatchersBeforeSuspicion(Membership& membership,
                                     std::uint64_t member,
                                     const MemberStatus& status,
                                     std::uint32_t zone,
                                     TimePoint now,
                                     Actions& out) -> void {
  constexpr int kTries = 2;
  const auto& options = membership.options;
  if (now - status.last_contact <
      options.suspect_timeout - kTries * options.probe_interval) {
    return;
  }
  for (const auto& it : ChooseWatchers(membership, member, zone, 0)) {
    if (it.id != membership.self.id) {
      Digest digest = MakeEmptyDigest(membership);
      digest.unheard_members.push_back(member);
      SendDigestTo(membership, it.peer, std::move(digest), out);
    }
  }
}

/// Probes a silent member and, shortly before a suspicion, asks the member's
/// other watchers whether they receive heartbeats.
template <class Entry>
auto ProbeMember(Membership& membership,
                 Entry& entry,
                 TimePoint now,
                 Actions& out) -> void {
  entry.status.last_probe = now;
  SendProbeTo(membership, entry, out);
  AskOtherWatchersBeforeSuspicion(
      membership, ToInteger(entry.record.id), entry.status,
      HashZoneOrRegionName(entry.record.zone), now, out);
}

/// @return Whether a target's zone lies in another region. The target's silence
///   then does not show a crash, because the regions may be partitioned.
auto IsTargetInOtherRegion(const Membership& membership,
                           const TargetRecord& record) -> bool {
  const auto it =
      membership.zone_regions.find(HashZoneOrRegionName(record.zone));
  return it != membership.zone_regions.end() &&
         it->second != membership.roster.front().region;
}

/// Action that a watcher takes on a member: none, a probe, or a change of the
/// member's state to suspect or dead.
enum class WatchAction : std::uint8_t { kNone, kProbe, kSuspect, kDead };

auto DetermineWatchAction(const Membership& membership,
                          const MemberStatus& status,
                          bool suspected,
                          std::uint32_t timeout_factor,
                          TimePoint now) -> WatchAction {
  const auto& options = membership.options;
  const Duration silent = now - status.last_contact;
  if (silent <= options.probe_timeout) {
    return WatchAction::kNone;
  }
  if (silent > options.suspect_timeout * timeout_factor) {
    if (!suspected) {
      return WatchAction::kSuspect;
    }
    if (now - status.state_changed > options.dead_timeout * timeout_factor) {
      return WatchAction::kDead;
    }
  }
  return now - status.last_probe > options.probe_interval ? WatchAction::kProbe
                                                          : WatchAction::kNone;
}

auto CheckWatchedTarget(Membership& membership,
                        TargetEntry& entry,
                        std::uint32_t timeout_factor,
                        TimePoint now,
                        Actions& out) -> void {
  const bool suspected = entry.record.state == TargetState::kSuspect;
  const auto action = DetermineWatchAction(membership, entry.status, suspected,
                                           timeout_factor, now);
  if (action == WatchAction::kProbe) {
    ProbeMember(membership, entry, now, out);
  } else if (action == WatchAction::kSuspect) {
    AppendCountEventAction(MembershipEvent::kSuspected, out);
    ChangeTargetState(membership, entry, TargetState::kSuspect, now, out);
  } else if (action == WatchAction::kDead) {
    const bool deferred_by_floor =
        IsServiceBelowFloor(membership, entry.record.service) &&
        now - entry.status.state_changed < membership.options.floor_hold;
    if (deferred_by_floor) {
      const bool probe =
          now - entry.status.last_probe > membership.options.heartbeat_interval;
      if (probe) {
        entry.status.last_probe = now;
        AppendCountEventAction(MembershipEvent::kHeldByFloor, out);
        SendProbeTo(membership, entry, out);
      }
      return;
    }
    AppendCountEventAction(MembershipEvent::kDeclaredDead, out);
    ChangeTargetState(membership, entry, TargetState::kDead, now, out);
  }
}

auto CheckWatchedBalancer(Membership& membership,
                          BalancerEntry& entry,
                          std::uint32_t timeout_factor,
                          TimePoint now,
                          Actions& out) -> void {
  const bool suspected = entry.record.state == BalancerState::kSuspect;
  const auto action = DetermineWatchAction(membership, entry.status, suspected,
                                           timeout_factor, now);
  if (action == WatchAction::kProbe) {
    ProbeMember(membership, entry, now, out);
  } else if (action == WatchAction::kSuspect) {
    AppendCountEventAction(MembershipEvent::kSuspected, out);
    ChangeBalancerState(membership, entry, BalancerState::kSuspect, now);
  } else if (action == WatchAction::kDead) {
    AppendCountEventAction(MembershipEvent::kDeclaredDead, out);
    ChangeBalancerState(membership, entry, BalancerState::kDead, now);
  }
}

}  // namespace

auto CheckWatchedMembers(Membership& membership, TimePoint now, Actions& out)
    -> void {
  const bool most_silent = AreMostWatchedMembersSilent(membership, now);
  if (most_silent && now - membership.local_health_penalty_changed >
                         membership.options.heartbeat_interval) {
    membership.local_health_penalty_changed = now;
    membership.local_health_penalty =
        std::max(membership.local_health_penalty, 1U);
    AppendCountEventAction(MembershipEvent::kLocalHealthWorsened, out);
  }
  const std::uint32_t timeout_factor =
      HasReceiveTimedOut(membership, now) ? kNothingReceivedTimeoutFactor
                                          : 1 + membership.local_health_penalty;
  for (const auto id : membership.watched_targets) {
    const auto it = membership.targets.find(id);
    if (it != membership.targets.end() &&
        IsPresentMemberState(it->second.record.state) &&
        it->second.status.is_watched &&
        !IsTargetInOtherRegion(membership, it->second.record)) {
      CheckWatchedTarget(membership, it->second, timeout_factor, now, out);
    }
  }
  for (const auto id : membership.watched_balancers) {
    const auto it = membership.balancers.find(id);
    if (it != membership.balancers.end() &&
        IsPresentMemberState(it->second.record.state)) {
      CheckWatchedBalancer(membership, it->second, timeout_factor, now, out);
    }
  }
}

auto SendRequestedRecordsOfWatchedMembers(Membership& membership,
                                          Endpoint to,
                                          const Digest& request,
                                          TimePoint now,
                                          Actions& out) -> void {
  const auto heard = [&](const MemberStatus& status) {
    return status.is_watched &&
           now - status.last_contact <= membership.options.probe_timeout;
  };
  Digest answer = MakeEmptyDigest(membership);
  for (const auto id : request.unheard_members) {
    const auto target = membership.targets.find(TargetId{id});
    if (target != membership.targets.end() && heard(target->second.status)) {
      answer.targets.push_back(target->second.record);
    }
    const auto balancer = membership.balancers.find(HostId{id});
    if (balancer != membership.balancers.end() &&
        heard(balancer->second.status)) {
      answer.balancers.push_back(balancer->second.record);
    }
  }
  if (!answer.targets.empty() || !answer.balancers.empty()) {
    SendDigestTo(membership, to, std::move(answer), out);
  }
}

}  // namespace hawthornbank::detail
