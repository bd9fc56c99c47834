#ifndef HAWTHORNBANK_MEMBERSHIP_H_
#define HAWTHORNBANK_MEMBERSHIP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "hawthornbank/membership_messages.h"
#include "hawthornbank/random.h"
#include "hawthornbank/types.h"

/// @file
/// Balancer side of membership: keeps the list of live targets and balancers by
/// heartbeats, gossip, suspicion and synchronisation between peers.
///
/// Every function is deterministic: the current time and the random number
/// generator are arguments, and actions to carry out are appended to `out`. The
/// caller serialises calls on one Membership.
namespace hawthornbank {

/// Settings of a balancer's membership.
struct MembershipOptions {
  BalancerRecord self;
  std::vector<Endpoint> seeds;  ///< Peers asked at start; may include self.
  Duration tick_interval = std::chrono::milliseconds{100};
  Duration heartbeat_interval = std::chrono::seconds{1};
  Duration probe_timeout = std::chrono::milliseconds{1200};
  Duration probe_interval = std::chrono::milliseconds{250};
  Duration suspect_timeout = std::chrono::milliseconds{2500};
  /// Time for which a silent member is suspected before being declared dead.
  Duration dead_timeout = std::chrono::milliseconds{1500};
  /// Maximum time for which a silent target stays suspected instead of being
  /// declared dead, because the target's service is below `live_floor_percent`.
  Duration floor_hold = std::chrono::seconds{60};
  Duration zone_timeout = std::chrono::seconds{6};
  Duration sync_interval = std::chrono::seconds{5};
  Duration tombstone_lifetime = std::chrono::minutes{10};
  std::uint32_t budget_bytes_per_second = 3072;
  std::uint32_t live_floor_percent = 30;
  /// Whether only significant load changes are gossiped.
  bool gossips_only_significant_load = true;
};

/// Membership events that are counted.
enum class MembershipEvent : std::uint8_t {
  kStaleAnnounce,      ///< Announcement not newer than the held record.
  kStaleRecord,        ///< Digest whose sender has an older incarnation.
  kMalformedAnnounce,  ///< Announced state is suspect or dead.
  kSuspected,          ///< This balancer suspects a member.
  /// A newer record or heartbeat refuted a suspicion or death.
  kRefuted,
  kDeclaredDead,         ///< This balancer declared a member dead.
  kLocalHealthWorsened,  ///< A late tick, or most watched members are silent.
  /// A target isn't declared dead because its service has too few live targets.
  kHeldByFloor,
  kZoneSilent,       ///< The beacon of a zone has timed out.
  kZoneBack,         ///< The beacon of a silent zone advanced again.
  kLoadPutOff,       ///< Load changes weren't gossiped, to save budget.
  kMalformedRecord,  ///< A record with values out of range was ignored.
};

/// Number of membership events.
inline constexpr std::size_t kMembershipEventCount = 12;

/// Names an event for metrics and logs.
/// @param event Any event.
/// @return The event's name in snake_case.
auto GetMembershipEventName(MembershipEvent event) -> const char*;

/// Action: send a digest to a peer.
struct SendDigest {
  Endpoint to;
  Digest digest;
};

/// Action: send an acknowledgement or a probe to an agent.
struct SendAnnouncementAck {
  Endpoint to;
  AnnouncementAck ack;
};

/// Action: a service's targets, or their states or weights, have changed.
struct TargetsChanged {
  ServiceId service{};
};

/// Action: count an event.
struct CountMembershipEvent {
  MembershipEvent event{};
};

/// Action: log that a received record is ignored.
struct LogIgnoredRecord {
  std::uint64_t id = 0;  ///< Of the target or balancer.
  const char* reason = "";
};

using MembershipAction = std::variant<SendDigest,
                                      SendAnnouncementAck,
                                      TargetsChanged,
                                      CountMembershipEvent,
                                      LogIgnoredRecord>;

namespace detail {

/// State of the watch on a member and of the gossip about the member.
struct MemberStatus {
  TimePoint first_seen{};
  /// Time of the last direct heartbeat, or start of the watch. A heartbeat that
  /// another watcher received counts as slightly older (see
  /// RecordIndirectHeartbeat()).
  TimePoint last_contact{};
  TimePoint state_changed{};  ///< Time of the last change of state.
  /// When a newer record of the member last arrived, from any sender.
  TimePoint last_record{};
  TimePoint last_probe{};   ///< Time of the last probe sent.
  bool is_watched = false;  ///< This balancer watches the member.
  /// The member's zone is silent, and no newer record of the member arrived
  /// within the zone timeout.
  bool is_unreachable = false;
  std::uint8_t gossip_rounds_left = 0;
  /// The pending gossip is a change of state, not only of load.
  bool is_state_change = false;
  /// The pending gossip is only a balancer's generation.
  bool is_generation_only = false;
};

struct TargetEntry {
  TargetRecord record;
  TargetLoad gossiped_load;  ///< Load that was last gossiped.
  MemberStatus status;
};

struct BalancerEntry {
  BalancerRecord record;
  MemberStatus status;
};

struct ZoneEntry {
  std::uint32_t beacon = 0;
  TimePoint last_advanced{};
  bool is_silent = false;
};

/// A balancer that is neither dead nor has left, and so can watch members and
/// receive messages.
struct RosterEntry {
  HostId id{};
  Endpoint peer;
  std::uint32_t zone = 0;    ///< Hash of the zone's name.
  std::uint32_t region = 0;  ///< Hash of the region's name.
};

}  // namespace detail

/// Membership state of one balancer: all known targets and balancers. Use only
/// the functions below; the members of this type are not part of the interface.
struct Membership {
  MembershipOptions options;
  BalancerRecord self;
  std::map<TargetId, detail::TargetEntry> targets;
  std::map<HostId, detail::BalancerEntry> balancers;  ///< All except self.
  std::map<std::uint32_t, detail::ZoneEntry> zones;
  /// Hash of the region of each zone, by hash of the zone, as reported by the
  /// zone's balancers; kept when the zone has no balancer left.
  std::map<std::uint32_t, std::uint32_t> zone_regions;
  std::map<ServiceId, std::vector<TargetId>> services;
  TimePoint started{};
  TimePoint last_tick{};
  TimePoint last_heartbeat{};
  TimePoint last_sync{};
  TimePoint last_received{};
  TimePoint last_watch_assignment{};
  TimePoint local_health_penalty_changed{};
  /// Local health of this balancer: 0 means healthy; n multiplies the timeouts
  /// of suspicion, death and zone silence by n + 1. Metrics name the event
  /// kLocalHealthWorsened "self_doubt".
  std::uint32_t local_health_penalty = 0;
  double budget_bytes = 0;
  /// Number of bytes that synchronisation may currently send.
  double sync_allowance_bytes = 0;
  /// Whether a ready peer has sent a digest since the start.
  bool has_heard_ready_peer = false;
  /// Whether the roster changed since watches were assigned.
  bool are_watches_stale = true;
  bool ready = false;
  /// Whether a peer confirmed, at the last synchronisation, that no record is
  /// missing.
  bool is_in_sync = false;
  /// Whether many records are missing, so that synchronisation runs sooner.
  bool is_far_behind = false;
  /// Number of gossip rounds in which a change is sent.
  std::uint8_t gossip_rounds = 3;
  detail::MemberStatus self_status;
  /// Self first, then the other balancers that are neither dead nor have left.
  std::vector<detail::RosterEntry> roster;
  std::set<TargetId> targets_to_gossip;  ///< Targets with gossip rounds left.
  std::set<HostId> balancers_to_gossip;  ///< Balancers with rounds left.
  std::vector<TargetId> watched_targets;
  std::vector<HostId> watched_balancers;
};

/// Creates a membership that knows only self and the seeds.
/// @param options Settings; self needs id, peer, zone, region, incarnation.
/// @param now Current time.
/// @return The state to pass to the other functions.
auto MakeMembership(const MembershipOptions& options, TimePoint now)
    -> Membership;

/// Handles an announcement from an agent.
/// @param membership State.
/// @param from Sender's endpoint, to which the acknowledgement is sent.
/// @param announcement The message.
/// @param now Current time.
/// @param out Actions are appended to it.
auto OnAnnouncement(Membership& membership,
                    Endpoint from,
                    const Announcement& announcement,
                    TimePoint now,
                    std::vector<MembershipAction>& out) -> void;

/// Handles a digest from a peer.
/// @param membership State.
/// @param from Sender's endpoint, to which answers are sent.
/// @param digest The message.
/// @param now Current time.
/// @param out Actions are appended to it.
auto OnDigestReceived(Membership& membership,
                      Endpoint from,
                      const Digest& digest,
                      TimePoint now,
                      std::vector<MembershipAction>& out) -> void;

/// Runs the periodic work that is due: heartbeats, gossip, suspicion,
/// synchronisation, assignment of watches and removal of expired tombstones.
/// @param membership State.
/// @param now Current time.
/// @param random Random number generator that chooses peers.
/// @param out Actions are appended to it.
/// @return Time of the next call.
auto OnMembershipTick(Membership& membership,
                      TimePoint now,
                      Random& random,
                      std::vector<MembershipAction>& out) -> TimePoint;

/// Sets and gossips the generation of the configuration in force on this
/// balancer.
/// @param membership State.
/// @param generation Generation in force.
auto SetGeneration(Membership& membership, Generation generation) -> void;

/// Appends messages that tell this balancer's watchers that the balancer is
/// shutting down.
/// @param membership State.
/// @param out Actions are appended to it; carry them out before the process
///   ends.
auto AnnounceShutdown(Membership& membership,
                      std::vector<MembershipAction>& out) -> void;

/// Lists the targets of a service, including dead ones, in the order of their
/// ids. An unreachable target of a silent zone is listed as suspect.
/// @param membership State.
/// @param service Service to look up.
/// @return Records of the targets.
auto ListTargets(const Membership& membership, ServiceId service)
    -> std::vector<TargetRecord>;

/// Lists the targets that take new flows: the serving targets and, while the
/// service is below its floor of serving targets, also the suspects.
/// @param membership State.
/// @param service Service to look up.
/// @return Records of the targets, in the order of the ids.
auto ListRoutableTargets(const Membership& membership, ServiceId service)
    -> std::vector<TargetRecord>;

/// Returns the time at which this balancer first learned of a target's current
/// incarnation.
/// @param membership State.
/// @param target Target to look up.
/// @return The time; `TimePoint::max()` for an unknown target.
auto GetFirstSeenTime(const Membership& membership, TargetId target)
    -> TimePoint;

/// Lists the balancers, including self, in the order of the ids.
/// @param membership State.
/// @return Records of the balancers, including dead ones.
auto ListBalancers(const Membership& membership) -> std::vector<BalancerRecord>;

/// Lists the balancers that watch a member, chosen by rendezvous hash: three,
/// preferably two in the member's zone and one in another zone of the region.
/// @param membership State.
/// @param member Identity of the target or balancer.
/// @param zone Zone of the member.
/// @param region Region of the member, or empty if unknown.
/// @return Endpoints of the watchers, the primary watcher first.
auto ListWatchers(const Membership& membership,
                  std::uint64_t member,
                  const std::string& zone,
                  const std::string& region) -> std::vector<Endpoint>;

/// Builds the view of a service that is sent to its agents.
/// @param membership State.
/// @param service Service to look up.
/// @return The view; `version` is a hash of the content, or 0 for an unknown
///   service.
auto BuildServiceView(const Membership& membership, ServiceId service)
    -> ServiceView;

/// Returns whether this balancer knows enough targets to open flows.
/// @param membership State.
/// @return Whether a ready peer confirmed that no target is missing, or no
///   ready peer sent a digest within a short delay after the start, for
///   example because all balancers start at once.
auto IsMembershipReady(const Membership& membership) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_MEMBERSHIP_H_
