#include <algorithm>

#include "membership_internal.h"

namespace hawthornbank::detail {
namespace {

/// Stretch of timeouts while nothing is heard; declares nobody in practice.
constexpr std::uint32_t kDeafStretch = 1000;

auto SendProbe(Membership& membership, const TargetEntry& entry, Actions& out)
    -> void {
  const auto& record = entry.record;
  AnnounceAck ack{.target = record.id,
                  .state = TargetState::kSuspect,
                  .incarnation = record.incarnation,
                  .sequence = record.sequence};
  if (membership.ready) {
    ack.watchers =
        WatchersOf(membership, ToInteger(record.id), record.zone, {});
  }
  membership.budget_bytes -=
      static_cast<double>(EncodedSize(ack) + kDatagramOverhead);
  out.emplace_back(SendAnnounceAck{.to = record.agent, .ack = ack});
}

auto SendProbe(Membership& membership, const BalancerEntry& entry, Actions& out)
    -> void {
  Digest digest = MakeDigest(membership);
  digest.probe = true;
  digest.balancers = {membership.self, entry.record};
  Send(membership, entry.record.peer, std::move(digest), out);
}

/// Asks the other watchers whether they hear a member that is about to be
/// suspected: the fault may be of one link, or of one of its directions.
auto AskWatchers(Membership& membership,
                 std::uint64_t member,
                 const MemberStatus& status,
                 std::uint32_t zone,
                 TimePoint now,
                 Actions& out) -> void {
  constexpr int kTries = 2;
  const auto& options = membership.options;
  if (now - status.heard <
      options.suspect_timeout - kTries * options.probe_interval) {
    return;
  }
  for (const auto& it : ChooseWatchers(membership, member, zone, 0)) {
    if (it.id != membership.self.id) {
      Digest digest = MakeDigest(membership);
      digest.asked.push_back(member);
      Send(membership, it.peer, std::move(digest), out);
    }
  }
}

/// Asks a silent member, and the others that watch it, for a sign of life.
template <class Entry>
auto Probe(Membership& membership, Entry& entry, TimePoint now, Actions& out)
    -> void {
  entry.status.probed = now;
  SendProbe(membership, entry, out);
  AskWatchers(membership, ToInteger(entry.record.id), entry.status,
              PlaceHash(entry.record.zone), now, out);
}

/// @return Whether a target's zone lies in another region. Its silence is no
///   evidence then: the regions may have lost each other.
auto IsForeign(const Membership& membership, const TargetRecord& record)
    -> bool {
  const auto it = membership.zone_regions.find(PlaceHash(record.zone));
  return it != membership.zone_regions.end() &&
         it->second != membership.roster.front().region;
}

/// What a watcher is to do about a member.
enum class Verdict : std::uint8_t { kNone, kProbe, kSuspect, kDead };

auto Judge(const Membership& membership,
           const MemberStatus& status,
           bool suspected,
           std::uint32_t stretch,
           TimePoint now) -> Verdict {
  const auto& options = membership.options;
  const Duration silent = now - status.heard;
  if (silent <= options.probe_timeout) {
    return Verdict::kNone;
  }
  if (silent > options.suspect_timeout * stretch) {
    if (!suspected) {
      return Verdict::kSuspect;
    }
    if (now - status.changed > options.dead_timeout * stretch) {
      return Verdict::kDead;
    }
  }
  return now - status.probed > options.probe_interval ? Verdict::kProbe
                                                      : Verdict::kNone;
}

auto CheckTarget(Membership& membership,
                 TargetEntry& entry,
                 std::uint32_t stretch,
                 TimePoint now,
                 Actions& out) -> void {
  const bool suspected = entry.record.state == TargetState::kSuspect;
  const auto verdict = Judge(membership, entry.status, suspected, stretch, now);
  if (verdict == Verdict::kProbe) {
    Probe(membership, entry, now, out);
  } else if (verdict == Verdict::kSuspect) {
    Count(MembershipEvent::kSuspected, out);
    ChangeTargetState(membership, entry, TargetState::kSuspect, now, out);
  } else if (verdict == Verdict::kDead) {
    const bool hold =
        IsBelowFloor(membership, entry.record.service) &&
        now - entry.status.changed < membership.options.floor_hold;
    if (hold) {
      const bool probe =
          now - entry.status.probed > membership.options.heartbeat_interval;
      if (probe) {
        entry.status.probed = now;
        Count(MembershipEvent::kHeldByFloor, out);
        SendProbe(membership, entry, out);
      }
      return;
    }
    Count(MembershipEvent::kDeclaredDead, out);
    ChangeTargetState(membership, entry, TargetState::kDead, now, out);
  }
}

auto CheckBalancer(Membership& membership,
                   BalancerEntry& entry,
                   std::uint32_t stretch,
                   TimePoint now,
                   Actions& out) -> void {
  const bool suspected = entry.record.state == BalancerState::kSuspect;
  const auto verdict = Judge(membership, entry.status, suspected, stretch, now);
  if (verdict == Verdict::kProbe) {
    Probe(membership, entry, now, out);
  } else if (verdict == Verdict::kSuspect) {
    Count(MembershipEvent::kSuspected, out);
    ChangeBalancerState(membership, entry, BalancerState::kSuspect, now);
  } else if (verdict == Verdict::kDead) {
    Count(MembershipEvent::kDeclaredDead, out);
    ChangeBalancerState(membership, entry, BalancerState::kDead, now);
  }
}

}  // namespace

auto CheckWatches(Membership& membership, TimePoint now, Actions& out) -> void {
  const bool doubt = AreMostSilent(membership, now);
  if (doubt &&
      now - membership.health_changed > membership.options.heartbeat_interval) {
    membership.health_changed = now;
    membership.health = std::max(membership.health, 1U);
    Count(MembershipEvent::kSelfDoubt, out);
  }
  const std::uint32_t stretch =
      IsDeaf(membership, now) ? kDeafStretch : 1 + membership.health;
  for (const auto id : membership.watched_targets) {
    const auto it = membership.targets.find(id);
    if (it != membership.targets.end() && IsPresent(it->second.record.state) &&
        it->second.status.watched &&
        !IsForeign(membership, it->second.record)) {
      CheckTarget(membership, it->second, stretch, now, out);
    }
  }
  for (const auto id : membership.watched_balancers) {
    const auto it = membership.balancers.find(id);
    if (it != membership.balancers.end() &&
        IsPresent(it->second.record.state)) {
      CheckBalancer(membership, it->second, stretch, now, out);
    }
  }
}

auto AnswerAsked(Membership& membership,
                 Endpoint to,
                 const Digest& request,
                 TimePoint now,
                 Actions& out) -> void {
  const auto heard = [&](const MemberStatus& status) {
    return status.watched &&
           now - status.heard <= membership.options.probe_timeout;
  };
  Digest answer = MakeDigest(membership);
  for (const auto id : request.asked) {
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
    Send(membership, to, std::move(answer), out);
  }
}

}  // namespace hawthornbank::detail
