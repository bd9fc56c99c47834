#ifndef HAWTHORNBANK_COORDINATION_MEMBERSHIP_INTERNAL_H_
#define HAWTHORNBANK_COORDINATION_MEMBERSHIP_INTERNAL_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "hawthornbank/membership.h"

/// @file
/// Functions and constants that the source files of membership share.
namespace hawthornbank::detail {

/// Number of member buckets that synchronisation compares by checksum.
inline constexpr std::uint32_t kBucketCount = 128;
/// Maximum size of a digest in bytes; fits in a datagram without fragmentation.
inline constexpr std::size_t kMaxDigestBytes = 1200;
/// Bytes of IPv4 and UDP headers.
inline constexpr std::size_t kDatagramOverhead = 28;
/// Number of watchers of a member.
inline constexpr std::size_t kWatcherCount = 3;
/// Number of a member's watchers in the member's zone.
inline constexpr std::size_t kZoneWatcherCount = 2;

using Actions = std::vector<MembershipAction>;

/// Result of merging a received record: older than the held record, the same,
/// or newer and adopted.
enum class MergeResult : std::uint8_t { kStale, kSame, kAdopted };

/// @return Low 32 bits of the hash of a zone's or region's name, as in zone
///   beacons.
auto HashZoneOrRegionName(const std::string& name) -> std::uint32_t;

/// @return Whether a balancer in this state can receive messages: false if the
///   balancer is dead or has left.
auto IsPresentMemberState(BalancerState state) -> bool;
/// @return Whether a target in this state can hold flows: false if the target
///   is dead or has left.
auto IsPresentMemberState(TargetState state) -> bool;

auto AppendCountEventAction(MembershipEvent event, Actions& out) -> void;

/// Adopts a received record that is newer than the held record, and schedules
/// gossip of significant changes. Ignores dead or departed unknown members.
auto MergeTarget(Membership& membership,
                 const TargetRecord& record,
                 TimePoint now,
                 Actions& out) -> MergeResult;
auto MergeBalancer(Membership& membership,
                   const BalancerRecord& record,
                   TimePoint now,
                   Actions& out) -> MergeResult;

/// Adopts a newer generation of a balancer separately from the rest of its
/// record, because heartbeats advance the sequence without carrying the
/// generation. Within one incarnation the generation only increases.
auto ApplyGenerationUpdate(Membership& membership,
                           const GenerationUpdate& update) -> void;

/// Schedules gossip of a member's record. While many changes are pending, skips
/// unscheduled targets that self doesn't watch, and sets is_far_behind instead.
auto ScheduleTargetGossip(Membership& membership,
                          TargetEntry& entry,
                          bool urgent) -> void;
auto ScheduleBalancerGossip(Membership& membership, BalancerEntry& entry)
    -> void;
auto ScheduleSelfGossip(Membership& membership) -> void;

/// Sets a target's state, reports the change and schedules gossip of the
/// record.
auto ChangeTargetState(Membership& membership,
                       TargetEntry& entry,
                       TargetState state,
                       TimePoint now,
                       Actions& out) -> void;
auto ChangeBalancerState(Membership& membership,
                         BalancerEntry& entry,
                         BalancerState state,
                         TimePoint now) -> void;

/// Rebuilds the roster: self and the balancers that are neither dead nor have
/// left. Watches must be assigned again afterwards.
auto RebuildRoster(Membership& membership) -> void;
/// @return The watchers of a member, chosen from the roster, the primary first.
auto ChooseWatchers(const Membership& membership,
                    std::uint64_t member,
                    std::uint32_t zone,
                    std::uint32_t region) -> std::vector<RosterEntry>;
/// Determines and records whether self watches a target.
auto UpdateTargetWatch(Membership& membership,
                       TargetEntry& entry,
                       TimePoint now) -> void;
/// Determines and records which members self watches.
auto UpdateAllWatches(Membership& membership, TimePoint now) -> void;
/// Probes, suspects or declares dead the silent members that self watches.
auto CheckWatchedMembers(Membership& membership, TimePoint now, Actions& out)
    -> void;
/// After a late tick, raises the local health penalty and restarts all silence
/// timers. After a period without late ticks, lowers the penalty.
auto UpdateLocalHealthPenalty(Membership& membership,
                              TimePoint now,
                              Actions& out) -> void;

/// Treats a newer record of a member as a heartbeat that another watcher
/// received.
auto RecordIndirectHeartbeat(MemberStatus& status, TimePoint now) -> void;
/// Sends those of the requested records whose members self watches and receives
/// heartbeats from.
auto SendRequestedRecordsOfWatchedMembers(Membership& membership,
                                          Endpoint to,
                                          const Digest& request,
                                          TimePoint now,
                                          Actions& out) -> void;

/// @return Whether more than half of the watched members that aren't yet
///   suspected are silent; false if there are fewer than four.
auto AreMostWatchedMembersSilent(const Membership& membership, TimePoint now)
    -> bool;
/// @return Whether this balancer has received no message within the probe
///   timeout. The fault is then more likely on this balancer's side.
auto HasReceiveTimedOut(const Membership& membership, TimePoint now) -> bool;
/// Raises the local health penalty by one step, up to a maximum, after self
/// suspected a live member; at most once per heartbeat interval.
auto RaiseLocalHealthPenalty(Membership& membership, TimePoint now) -> void;

/// @return Whether a service is below its floor: fewer serving targets than
///   `live_floor_percent` of all targets that neither drain nor have left.
auto IsServiceBelowFloor(const Membership& membership, ServiceId service)
    -> bool;

/// Records a received zone beacon if the beacon has advanced.
auto RecordZoneBeacon(Membership& membership,
                      const ZoneBeacon& beacon,
                      TimePoint now) -> void;
/// @return Whether a zone's beacon has not advanced for half of the zone
///   timeout.
auto IsZoneBeaconOverdue(const Membership& membership,
                         std::uint32_t zone,
                         TimePoint now) -> bool;
/// Detects silent zones and marks the zones' targets as unreachable, except
/// targets with a recent newer record.
auto UpdateSilentZones(Membership& membership, TimePoint now, Actions& out)
    -> void;

/// @return Maximum number of bytes sent at once after a period without traffic.
auto ComputeBudgetReserve(const Membership& membership) -> double;
/// @return A random index below `count`.
auto DrawRandomIndex(Random& random, std::size_t count) -> std::size_t;
/// Appends up to `count` different random endpoints of a group to `peers`.
auto AppendRandomEndpoints(std::vector<Endpoint> group,
                           std::size_t count,
                           Random& random,
                           std::vector<Endpoint>& peers) -> void;
/// @return A digest with only the header fields set.
auto MakeEmptyDigest(const Membership& membership) -> Digest;
/// Sends a digest and deducts its size from the byte budget.
auto SendDigestTo(Membership& membership,
                  Endpoint to,
                  Digest digest,
                  Actions& out) -> void;
auto SendHeartbeats(Membership& membership,
                    TimePoint now,
                    Random& random,
                    Actions& out) -> void;
auto SendGossip(Membership& membership, Random& random, Actions& out) -> void;

/// @return One checksum per bucket, beginning with bucket `first`; bucket 0
///   follows the last bucket.
auto ComputeBucketChecksums(const Membership& membership, std::uint32_t first)
    -> std::vector<std::uint32_t>;
/// Refills the byte allowance of synchronisation for the elapsed time.
auto RefillSyncAllowance(Membership& membership, Duration elapsed) -> void;
/// When synchronisation is due, sends bucket checksums to peers. The peers
/// answer with the checksums of their records in the buckets that differ.
auto SendSyncRequests(Membership& membership,
                      TimePoint now,
                      Random& random,
                      Actions& out) -> void;
/// Answers a synchronisation request: for buckets whose checksum differs from
/// the requester's checksum, sends the checksums of self's records.
auto AnswerSyncRequest(Membership& membership,
                       Endpoint to,
                       const Digest& request,
                       Actions& out) -> void;
/// Sends the records in the listed buckets that are missing from a peer's list
/// of checksums, and requests the listed records that self lacks.
auto AnswerHeldChecksums(Membership& membership,
                         Endpoint to,
                         const Digest& offer,
                         Actions& out) -> void;
/// Sends the records that a peer requests by checksum.
auto SendWantedRecords(Membership& membership,
                       Endpoint to,
                       const Digest& request,
                       Actions& out) -> void;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_COORDINATION_MEMBERSHIP_INTERNAL_H_
