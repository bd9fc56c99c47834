#ifndef HAWTHORNBANK_COORDINATION_MEMBERSHIP_INTERNAL_H_
#define HAWTHORNBANK_COORDINATION_MEMBERSHIP_INTERNAL_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "hawthornbank/membership.h"

/// @file
/// Parts of membership that its source files share.
namespace hawthornbank::detail {

/// Buckets of members that synchronisation compares by checksum.
inline constexpr std::uint32_t kBucketCount = 128;
/// Most bytes of a digest; fits in a datagram without fragments.
inline constexpr std::size_t kMaxDigestBytes = 1200;
/// Bytes of IPv4 and UDP headers.
inline constexpr std::size_t kDatagramOverhead = 28;
/// Watchers of a member.
inline constexpr std::size_t kWatcherCount = 3;
/// Watchers of a member in its own zone.
inline constexpr std::size_t kZoneWatcherCount = 2;

using Actions = std::vector<MembershipAction>;

/// What became of a record that was offered.
enum class MergeResult : std::uint8_t { kStale, kSame, kAdopted };

/// @return Hash of a zone's or region's name, as beacons carry it.
auto HashPlaceName(const std::string& name) -> std::uint32_t;

/// @return Whether a balancer in this state can be sent to.
auto IsPresent(BalancerState state) -> bool;
/// @return Whether a target in this state can hold flows.
auto IsPresent(TargetState state) -> bool;

auto AppendEventCount(MembershipEvent event, Actions& out) -> void;

/// Takes a record if it is newer and marks what it changes for gossip.
auto MergeTarget(Membership& membership,
                 const TargetRecord& record,
                 TimePoint now,
                 Actions& out) -> MergeResult;
auto MergeBalancer(Membership& membership,
                   const BalancerRecord& record,
                   TimePoint now,
                   Actions& out) -> MergeResult;

/// Takes a generation apart from the rest of a record: heartbeats advance the
/// sequence without it, and in one incarnation it only grows.
auto ApplyGenerationUpdate(Membership& membership, const GenerationUpdate& note)
    -> void;

/// Gossips a member in the next rounds.
auto ScheduleTargetGossip(Membership& membership,
                          TargetEntry& entry,
                          bool urgent) -> void;
auto ScheduleBalancerGossip(Membership& membership, BalancerEntry& entry)
    -> void;
auto ScheduleSelfGossip(Membership& membership) -> void;

/// Sets a target's state, tells of it and gossips it.
auto ChangeTargetState(Membership& membership,
                       TargetEntry& entry,
                       TargetState state,
                       TimePoint now,
                       Actions& out) -> void;
auto ChangeBalancerState(Membership& membership,
                         BalancerEntry& entry,
                         BalancerState state,
                         TimePoint now) -> void;

/// Rebuilds the list of live balancers.
auto RebuildRoster(Membership& membership) -> void;
/// @return The watchers among the roster, the primary first.
auto ChooseWatchers(const Membership& membership,
                    std::uint64_t member,
                    std::uint32_t zone,
                    std::uint32_t region) -> std::vector<RosterEntry>;
/// Finds out whether self watches a target.
auto UpdateTargetWatch(Membership& membership,
                       TargetEntry& entry,
                       TimePoint now) -> void;
/// Finds out which members self watches.
auto UpdateAllWatches(Membership& membership, TimePoint now) -> void;
/// Probes, suspects and declares members that self watches.
auto CheckWatchedMembers(Membership& membership, TimePoint now, Actions& out)
    -> void;
/// Doubts self after late ticks; ends the doubt after timely ones.
auto UpdateSelfDoubt(Membership& membership, TimePoint now, Actions& out)
    -> void;

/// Takes a newer record of a watched member as a sign of life that another
/// watcher heard.
auto RecordIndirectHeartbeat(MemberStatus& status, TimePoint now) -> void;
/// Sends the records of those asked for that self watches and hears.
auto SendRecordsOfUnheardMembers(Membership& membership,
                                 Endpoint to,
                                 const Digest& request,
                                 TimePoint now,
                                 Actions& out) -> void;

/// @return Whether more than half of the watched members are silent.
auto AreMostWatchedMembersSilent(const Membership& membership, TimePoint now)
    -> bool;
/// @return Whether nothing at all is heard: the fault is likelier on this side.
auto HasReceivedNothingLately(const Membership& membership, TimePoint now)
    -> bool;
/// Doubts self one step more after it suspected a member wrongly.
auto RecordWrongSuspicion(Membership& membership, TimePoint now) -> void;

/// @return Whether a service has fewer serving targets than its floor.
auto IsServiceBelowFloor(const Membership& membership, ServiceId service)
    -> bool;

/// Notes a zone's life sign.
auto ApplyZoneBeacon(Membership& membership,
                     const ZoneBeacon& beacon,
                     TimePoint now) -> void;
/// @return Whether a zone has given no life sign for half of its timeout.
auto IsZoneBeaconOverdue(const Membership& membership,
                         std::uint32_t zone,
                         TimePoint now) -> bool;
/// Finds silent zones and marks their targets.
auto UpdateSilentZones(Membership& membership, TimePoint now, Actions& out)
    -> void;

/// @return Bytes that may be spent at once, after a time of quiet.
auto ComputeBudgetReserve(const Membership& membership) -> double;
/// @return A random index below count.
auto DrawRandomIndex(Random& random, std::size_t count) -> std::size_t;
/// Adds count random endpoints out of a group.
auto AppendRandomEndpoints(std::vector<Endpoint> group,
                           std::size_t count,
                           Random& random,
                           std::vector<Endpoint>& peers) -> void;
/// @return A digest with the head filled in.
auto MakeEmptyDigest(const Membership& membership) -> Digest;
/// Sends a digest and takes it off the budget.
auto SendDigestTo(Membership& membership,
                  Endpoint to,
                  Digest digest,
                  Actions& out) -> void;
auto SendHeartbeats(Membership& membership,
                    TimePoint now,
                    Random& random,
                    Actions& out) -> void;
auto SendGossip(Membership& membership, Random& random, Actions& out) -> void;

/// @return A checksum a bucket, beginning with first.
auto ComputeBucketChecksums(const Membership& membership, std::uint32_t first)
    -> std::vector<std::uint32_t>;
/// Lets synchronisation spend again.
auto RefillSyncAllowance(Membership& membership, Duration elapsed) -> void;
/// Asks peers for what is missing.
auto SendSyncRequests(Membership& membership,
                      TimePoint now,
                      Random& random,
                      Actions& out) -> void;
/// Answers checksums of buckets by what self holds in those that differ.
auto AnswerSyncRequest(Membership& membership,
                       Endpoint to,
                       const Digest& request,
                       Actions& out) -> void;
/// Sends the records that the sender of a list lacks; asks for the others.
auto AnswerHeldChecksums(Membership& membership,
                         Endpoint to,
                         const Digest& offer,
                         Actions& out) -> void;
/// Sends the records that are asked for by checksum.
auto SendWantedRecords(Membership& membership,
                       Endpoint to,
                       const Digest& request,
                       Actions& out) -> void;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_COORDINATION_MEMBERSHIP_INTERNAL_H_
