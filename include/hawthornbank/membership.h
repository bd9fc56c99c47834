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
/// Balancer side of membership: which targets and balancers are there.
///
/// Every function is deterministic: time and chance come in, actions go out.
/// The caller serialises calls on one Membership.
namespace hawthornbank {

/// Settings of a balancer's membership.
struct MembershipOptions {
  BalancerRecord self;
  std::vector<Endpoint> seeds;  ///< Peers to ask at start; may hold self.
  Duration tick_interval = std::chrono::milliseconds{100};
  Duration heartbeat_interval = std::chrono::seconds{1};
  Duration probe_timeout = std::chrono::milliseconds{1200};
  Duration probe_interval = std::chrono::milliseconds{250};
  Duration suspect_timeout = std::chrono::milliseconds{2500};
  Duration dead_timeout = std::chrono::milliseconds{1500};  ///< As suspect.
  Duration floor_hold = std::chrono::seconds{60};  ///< Suspects below floor.
  Duration zone_timeout = std::chrono::seconds{6};
  Duration sync_interval = std::chrono::seconds{5};
  Duration tombstone_lifetime = std::chrono::minutes{10};
  std::uint32_t budget_bytes_per_second = 3072;
  std::uint32_t live_floor_percent = 30;
  bool quantise_load = true;  ///< Spread only significant load changes.
};

/// Why membership refused or noted something.
enum class MembershipEvent : std::uint8_t {
  kStaleAnnounce,      ///< Announce with an older incarnation or sequence.
  kStaleRecord,        ///< Digest record older than the one held.
  kMalformedAnnounce,  ///< A target can't announce that state.
  kSuspected,          ///< This balancer began to suspect a member.
  kRefuted,            ///< A newer record ended a suspicion or a death.
  kDeclaredDead,       ///< This balancer declared a member dead.
  kSelfDoubt,          ///< Own ticks late or most members silent.
  kHeldByFloor,        ///< A death put off: too few live targets are left.
  kZoneSilent,         ///< A whole zone stopped being heard of.
  kZoneBack,           ///< A silent zone is heard of again.
  kLoadPutOff,         ///< A load change waits for bytes in the budget.
};

/// Number of membership events.
inline constexpr std::size_t kMembershipEventCount = 11;

/// Names an event for metrics and logs.
/// @param event Any event.
/// @return Its name in snake_case.
auto MembershipEventName(MembershipEvent event) -> const char*;

/// Send a digest to a peer.
struct SendDigest {
  Endpoint to;
  Digest digest;
};

/// Send an answer or a probe to an agent.
struct SendAnnounceAck {
  Endpoint to;
  AnnounceAck ack;
};

/// The targets of a service, their states or weights changed.
struct TargetsChanged {
  ServiceId service{};
};

/// Count an event.
struct CountMembershipEvent {
  MembershipEvent event{};
};

using MembershipAction = std::
    variant<SendDigest, SendAnnounceAck, TargetsChanged, CountMembershipEvent>;

namespace detail {

/// Watching and spreading state of one member.
struct MemberStatus {
  TimePoint first_seen{};
  TimePoint last_heard{};       ///< Last direct message, or start of the watch.
  TimePoint state_changed{};    ///< Last change of state.
  TimePoint last_record{};      ///< Last record from anywhere.
  TimePoint last_probe{};       ///< Last probe.
  bool is_watched = false;      ///< This balancer is one of its watchers.
  bool is_unreachable = false;  ///< Its zone is silent and nobody vouches.
  std::uint8_t gossip_rounds_left = 0;  ///< Gossip rounds left.
  bool is_state_change =
      false;  ///< The rumour is a change of state, not of load.
  bool is_generation_only = false;  ///< The rumour is a balancer's generation.
};

struct TargetEntry {
  TargetRecord record;
  TargetLoad gossiped_load;  ///< Load as last spread.
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

/// A balancer that can watch or be sent to.
struct RosterEntry {
  HostId id{};
  Endpoint peer;
  std::uint32_t zone = 0;    ///< Hash of the name.
  std::uint32_t region = 0;  ///< Hash of the name.
};

}  // namespace detail

/// All that a balancer knows of targets and balancers. Use the functions
/// below; the members are not part of the interface.
struct Membership {
  MembershipOptions options;
  BalancerRecord self;
  std::map<TargetId, detail::TargetEntry> targets;
  std::map<HostId, detail::BalancerEntry> balancers;  ///< Without self.
  std::map<std::uint32_t, detail::ZoneEntry> zones;
  /// Regions of zones, by hash, as balancers told; kept when these are gone.
  std::map<std::uint32_t, std::uint32_t> zone_regions;
  std::map<ServiceId, std::vector<TargetId>> services;
  TimePoint started{};
  TimePoint last_tick{};
  TimePoint last_heartbeat{};
  TimePoint last_sync{};
  TimePoint last_received{};
  TimePoint last_watch_assignment{};  ///< Of watches.
  TimePoint self_doubt_changed{};
  std::uint32_t self_doubt = 0;  ///< 0 is well; each step stretches timeouts.
  double budget_bytes = 0;
  double sync_allowance_bytes =
      0;  ///< Bytes that synchronisation may send now.
  bool has_heard_ready_peer = false;  ///< A peer that is ready has been heard.
  bool are_watches_stale =
      true;  ///< The balancers changed since last assigned.
  bool ready = false;
  bool is_in_sync = false;         ///< A peer answered that nothing is missing.
  bool is_far_behind = false;      ///< Much is missing; synchronise soon.
  std::uint8_t gossip_rounds = 3;  ///< Rounds that a change is sent in.
  detail::MemberStatus self_status;
  std::vector<detail::RosterEntry> roster;  ///< Live balancers and self.
  std::set<TargetId> targets_to_gossip;     ///< With gossip rounds left.
  std::set<HostId> balancers_to_gossip;     ///< With gossip rounds left.
  std::vector<TargetId> watched_targets;
  std::vector<HostId> watched_balancers;
};

/// Starts membership with nothing known but self and seeds.
/// @param options Settings; self needs id, peer, zone, region, incarnation.
/// @param now Present instant.
/// @return The state to pass to the other functions.
auto MakeMembership(const MembershipOptions& options, TimePoint now)
    -> Membership;

/// Takes an agent's announce.
/// @param membership State.
/// @param from Where it came from; the answer goes there.
/// @param announce The message.
/// @param now Present instant.
/// @param out Actions are appended.
auto OnAnnounce(Membership& membership,
                Endpoint from,
                const Announce& announce,
                TimePoint now,
                std::vector<MembershipAction>& out) -> void;

/// Takes a peer's digest.
/// @param membership State.
/// @param from Where it came from.
/// @param digest The message.
/// @param now Present instant.
/// @param out Actions are appended.
auto OnDigest(Membership& membership,
              Endpoint from,
              const Digest& digest,
              TimePoint now,
              std::vector<MembershipAction>& out) -> void;

/// Does what is due: heartbeats, gossip, suspicion, synchronisation.
/// @param membership State.
/// @param now Present instant.
/// @param random Chooses peers.
/// @param out Actions are appended.
/// @return When to call again.
auto OnMembershipTick(Membership& membership,
                      TimePoint now,
                      Random& random,
                      std::vector<MembershipAction>& out) -> TimePoint;

/// Tells the peers which configuration this balancer has in force.
/// @param membership State.
/// @param generation Generation in force.
auto SetGeneration(Membership& membership, Generation generation) -> void;

/// Tells the peers that this balancer leaves.
/// @param membership State.
/// @param out Actions are appended; send them before the process ends.
auto BeginLeave(Membership& membership, std::vector<MembershipAction>& out)
    -> void;

/// Lists the targets of a service, dead ones too, in the order of identity.
/// A target whose zone is silent is given as suspect.
/// @param membership State.
/// @param service Which service.
/// @return Their records.
auto TargetsOf(const Membership& membership, ServiceId service)
    -> std::vector<TargetRecord>;

/// Lists the targets that take new flows: the serving ones, and the suspects
/// too when the serving ones are below the floor of the service.
/// @param membership State.
/// @param service Which service.
/// @return Their records, in the order of identity.
auto RoutableTargets(const Membership& membership, ServiceId service)
    -> std::vector<TargetRecord>;

/// Says when this balancer first heard of a target in this incarnation.
/// @param membership State.
/// @param target Which target.
/// @return The instant; the latest possible one for an unknown target.
auto GetFirstSeenTime(const Membership& membership, TargetId target)
    -> TimePoint;

/// Lists the balancers, self included, in the order of identity.
/// @param membership State.
/// @return Their records, dead ones too.
auto Balancers(const Membership& membership) -> std::vector<BalancerRecord>;

/// Chooses the balancers that watch a member, by rendezvous hash: two of its
/// zone, one outside it.
/// @param membership State.
/// @param member Identity of the target or balancer.
/// @param zone Its zone.
/// @param region Its region, or empty when unknown.
/// @return Their endpoints, the primary watcher first.
auto ListWatchers(const Membership& membership,
                  std::uint64_t member,
                  const std::string& zone,
                  const std::string& region) -> std::vector<Endpoint>;

/// Gives the targets of a service as agents need them.
/// @param membership State.
/// @param service Which service.
/// @return The view; its version is a hash of its content.
auto ViewOf(const Membership& membership, ServiceId service) -> ServiceView;

/// Says whether this balancer knows enough to open flows.
/// @param membership State.
/// @return Whether a peer confirmed that nothing is missing, or that no peer
///   that is ready has been heard since the start, as when all start at once.
auto IsReady(const Membership& membership) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_MEMBERSHIP_H_
