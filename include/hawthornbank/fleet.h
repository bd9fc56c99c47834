#ifndef HAWTHORNBANK_FLEET_H_
#define HAWTHORNBANK_FLEET_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "hawthornbank/types.h"
#include "hawthornbank/warmup_limit.h"
#include "hawthornbank/wire.h"

/// @file
/// State of all processes as one process knows it: the hosts of balancers and
/// agents, the targets that take new flows and the load of the targets.
///
/// Each process announces its own record; other processes forward the record
/// but never change it. Records of a host are ordered by (incarnation,
/// revision), so that merging them in any order gives the same result.
namespace hawthornbank {

/// Role of a process on its host.
enum class HostRole : std::uint8_t { kBalancer, kAgent };

/// Whether a target takes new flows.
enum class TargetState : std::uint8_t { kUnknown, kReady, kDraining, kGone };

/// State of a target, as its agent announces it.
struct TargetStatus {
  TargetState state = TargetState::kUnknown;
  /// Start time of the target, Unix milliseconds.
  std::uint64_t started_at_ms = 0;
  std::uint16_t slots = 1;
  bool cold = false;  ///< The target has just started and is slow.

  auto operator==(const TargetStatus&) const -> bool = default;

  /// Doesn't check the values: CheckRecord() does.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(state, slots);
    wire::SerializeFlag(archive, cold);
    wire::SerializeVarint(archive, started_at_ms);
  }
};

/// Load of a target, as its agent derives it from the packets of the flows.
struct TargetLoad {
  std::uint16_t running = 0;  ///< Number of requests in flight.
  std::uint16_t flows = 0;    ///< Number of open flows.
  /// Average of requests in flight over the last seconds, in sixteenths.
  std::uint16_t mean_in_flight_x16 = 0;
  bool failing = false;  ///< Most requests end without a reply.
  /// Number of openings that the limit of the target's warm-up lets through at
  /// once, up to kMaxReportedOpenings; kUnlimitedOpenings while there is no
  /// limit.
  std::uint8_t openings_left = kUnlimitedOpenings;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(running, flows, mean_in_flight_x16);
    // One byte, which earlier builds read as `failing` while there is no limit.
    const unsigned limit =
        openings_left == kUnlimitedOpenings
            ? 0U
            : std::min(openings_left, kMaxReportedOpenings) + 1U;
    auto packed = static_cast<std::uint8_t>(limit * 2 + (failing ? 1U : 0U));
    archive(packed);
    if constexpr (Archive::is_loading::value) {
      failing = packed % 2 == 1;
      openings_left = packed < 2 ? kUnlimitedOpenings
                                 : static_cast<std::uint8_t>(packed / 2 - 1);
    }
  }
};

/// Record that a process announces about itself.
struct HostRecord {
  Endpoint control;  ///< Address for messages of other processes.
  HostRole role = HostRole::kBalancer;
  /// The process is shutting down and takes no new flows.
  bool is_shutting_down = false;
  /// HashName() of the service of the agent's target; unset for balancers.
  std::uint32_t service = 0;
  std::string zone;
  std::uint64_t incarnation = 0;  ///< Grows with each start of the process.
  std::uint32_t revision = 0;     ///< Grows with each change of the record.
  TargetStatus target;  ///< State of the agent's target; unset for balancers.

  auto operator==(const HostRecord&) const -> bool = default;

  /// Doesn't check the values, so that the records after one that can't be used
  /// are read: CheckRecord() does.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(control, role, service, target);
    wire::SerializeFlag(archive, is_shutting_down);
    wire::SerializeString(archive, zone);
    wire::SerializeVarint(archive, incarnation);
    wire::SerializeVarint(archive, revision);
  }
};

/// Maximum incarnation of a usable record. Leaves room for a process that takes
/// a larger incarnation than an earlier start of it.
inline constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 62U;

/// Checks a record that another process sent.
/// @param record The record.
/// @return Why the record can't be used, or null if it can.
auto CheckRecord(const HostRecord& record) -> const char*;

/// Time without contact after which a host is suspected, in a fleet whose
/// processes send their heartbeats to all balancers.
inline constexpr Duration kUnresponsiveAfter = std::chrono::seconds{2};

/// Time without contact after which the record of a host is erased. Allows for
/// a host that is down or partitioned and returns at the same address.
inline constexpr Duration kHostExpiryTime = std::chrono::seconds{60};

/// Time without contact after which an agent erases the record of a balancer.
inline constexpr Duration kBalancerExpiryTimeAtAgents =
    std::chrono::minutes{10};

/// Time for which a host that didn't answer an opening is suspected and isn't
/// the first to be offered another opening. Longer than a restart of the host's
/// process. Doubles with each further opening without an answer, up to
/// kMaxSuspicionTime. A message from the host ends the suspicion earlier.
inline constexpr Duration kSuspicionTime = std::chrono::milliseconds{800};
inline constexpr Duration kMaxSuspicionTime = std::chrono::milliseconds{6400};

/// Time within which a host must reply to a message: twice the longest one-way
/// delay between availability zones, plus the host's processing time.
inline constexpr Duration kHostReplyTimeout = std::chrono::milliseconds{60};

/// What this process knows of another host.
struct KnownHost {
  HostRecord record;
  TargetLoad load;
  /// When any process last received a message from the host.
  TimePoint last_contact{};
  /// End of the suspicion that a missing reply caused.
  TimePoint suspected_until{};
  TimePoint load_reported_at{};  ///< When the host reported `load`.
  TimePoint changed{};           ///< When this process first received `record`.
  /// Time without contact after which the host is suspected.
  Duration unresponsive_after = kUnresponsiveAfter;
  /// When the oldest message without a reply was sent to the host; zero when
  /// the host has replied to all messages.
  TimePoint unanswered_since{};
  /// When the host was last tried after messages without a reply, or
  /// `unanswered_since`. The host counts as not live for kSuspicionTime from
  /// kHostReplyTimeout after this time on.
  TimePoint tried_at{};
  /// Number of messages that require a reply since the last contact.
  std::uint32_t unanswered_requests = 0;
  /// Number of openings without an answer since the last contact.
  std::uint32_t unanswered_openings = 0;
  /// Number of openings sent to the host since `load_reported_at`.
  std::uint16_t openings_since_load = 0;
  /// When the host last returned an opening at the limit of its target's
  /// warm-up; zero once it reports room.
  TimePoint warmup_limited_at{};
  std::uint64_t version = 0;  ///< Routes version that the host reported.
  /// Digest of the zones out of service that the host reported.
  std::uint64_t zones_digest = 0;
  /// Start time of the target that was last announced as cold, Unix
  /// milliseconds; zero when no target was announced as cold.
  std::uint64_t cold_target_started_at_ms = 0;
  /// This process has known an earlier start of the host's process.
  bool has_restarted = false;
  /// Start time of the target that the latest of these starts had announced,
  /// Unix milliseconds; zero when none had, or the target was gone.
  std::uint64_t former_target_started_at_ms = 0;
  /// Since when the host, a balancer, knows every agent, as it announced.
  TimePoint knows_agents_since = TimePoint::max();
  /// When the host was last sent its own record because it had announced an
  /// earlier one, or that of an earlier start.
  TimePoint record_returned_at{};
};

/// This process's own record and all other hosts that this process knows.
struct Fleet {
  HostRecord self;
  std::unordered_map<Endpoint, KnownHost> hosts;
  std::uint64_t digest = 0;  ///< Digest of all records, `self` included.
  /// Time without contact after which a record is erased.
  Duration expiry_time = kHostExpiryTime;
  /// Start of the process that has been up for longest, of those that announced
  /// since when they are up.
  TimePoint earliest_start = TimePoint::max();
  /// Since when this balancer knows every agent: its own start, or the earlier
  /// time of a balancer whose records it has all received. An agent that it
  /// doesn't know got its last flow through a balancer before that time.
  TimePoint knows_agents_since = TimePoint::max();
};

/// @param record A record.
/// @return Hash of the record's host, incarnation and revision.
auto ComputeRecordDigest(const HostRecord& record) -> std::uint64_t;

/// Tells whether a record replaces another one of the same host.
/// @param a A record.
/// @param b Another record of the same host.
/// @return Whether `a` is newer than `b`.
auto IsNewerRecord(const HostRecord& a, const HostRecord& b) -> bool;

/// Result of merging a received record.
enum class MergeOutcome : std::uint8_t {
  kOlderRecord,  ///< A newer record is known, or the record has expired.
  kKnownRecord,  ///< The record is known, or is an old one of this process.
  kChanged,      ///< The record is new or replaced an older one.
  kOwnRecordSuperseded  ///< Another host has a newer record of this process.
};

/// Merges a received record, sent by the record's own host or by another host.
/// @param fleet Known hosts.
/// @param record The received record.
/// @param age Time since the last contact with the host of the record.
/// @param now Current time.
/// @return Result of the merge. After kOwnRecordSuperseded this process's
///   record has a larger incarnation and must be announced.
auto MergeHostRecord(Fleet& fleet,
                     const HostRecord& record,
                     Duration age,
                     TimePoint now) -> MergeOutcome;

/// Tells whether a process stores a record. Agents announce themselves to
/// balancers and don't need the records of other agents.
/// @param record Record of another process.
/// @param role Role of the process that would store the record.
/// @return Whether the process stores the record.
constexpr auto ShouldStoreRecord(const HostRecord& record, HostRole role)
    -> bool {
  return role == HostRole::kBalancer || record.role == HostRole::kBalancer;
}

/// Tells whether the record in a message is merged: one that the process
/// stores, or its own, by which it learns that an earlier start outranks it.
/// @param fleet Known hosts.
/// @param record The record.
/// @return Whether the record is merged.
auto ShouldMergeRecord(const Fleet& fleet, const HostRecord& record) -> bool;

/// Minimum time between two replies to a host that announces an earlier start.
inline constexpr Duration kRecordReturnInterval =
    std::chrono::milliseconds{100};

/// Tells whether a host is sent its own record, because a message came from a
/// start of its process that the record outranks. Incarnations are start times,
/// so the later start may have the smaller one; it then takes a larger one. A
/// message of a start that has ended costs the reply.
/// @param host The host.
/// @param incarnation Incarnation in the host's message.
/// @param now Current time.
/// @return Whether the record is to be sent; records the time if so.
auto MustReturnRecord(KnownHost& host, std::uint64_t incarnation, TimePoint now)
    -> bool;

/// Tells whether an agent is sent the record of an earlier start of its
/// process: it has just started, so it can't tell whether its target has
/// restarted too.
/// @param host The host of the agent.
/// @param now Current time.
/// @return Whether the record is to be sent; records the time if so.
auto MustSendFormerRecord(KnownHost& host, TimePoint now) -> bool;

/// @param host The host of an agent.
/// @return Record of an earlier start of its process, which no record of the
/// process is older than.
auto MakeFormerRecord(const KnownHost& host) -> HostRecord;

/// Returns the target's start time in a record of an earlier start of this
/// process.
/// @param fleet Known hosts.
/// @param record A received record.
/// @return The start time in Unix milliseconds; 0 for any other record, and for
/// one whose target was gone or of another service.
auto FindFormerTargetStart(const Fleet& fleet, const HostRecord& record)
    -> std::uint64_t;

/// Records that another process announced since when it is up.
/// @param fleet Known hosts.
/// @param uptime Time since the start of the process.
/// @param now Current time.
auto RecordUptime(Fleet& fleet, Duration uptime, TimePoint now) -> void;

/// Records that a balancer's records have this digest. If they are the same as
/// this balancer's, this one knows every agent that the other one knows.
/// @param fleet Known hosts.
/// @param peer The other balancer.
/// @param peer_digest Digest of its records.
auto LearnOfAgentsFrom(Fleet& fleet,
                       const KnownHost& peer,
                       std::uint64_t peer_digest) -> void;

/// Tells whether this balancer knows every agent whose target can hold a flow.
/// No time since a start shows it: agents may know only balancers that have
/// gone, and read of others late. So nothing else may take agents that a
/// balancer doesn't know for agents that don't exist.
/// @param fleet Known hosts.
/// @param flow_lifetime Maximum lifetime of a flow.
/// @param now Current time.
/// @return Whether flows from before Fleet::knows_agents_since have expired.
auto KnowsAllAgents(const Fleet& fleet, Duration flow_lifetime, TimePoint now)
    -> bool;

/// Records the load of a host's target and resets `openings_since_load`.
/// @param host The host that reported the load.
/// @param load The reported load.
/// @param now Current time.
auto RecordTargetLoad(KnownHost& host, const TargetLoad& load, TimePoint now)
    -> void;

/// Time for which a host that is at the limit of its target's warm-up gets no
/// further opening. Short, as the limit lets single openings through all the
/// time.
inline constexpr Duration kWarmupLimitRetryTime =
    std::chrono::milliseconds{100};

/// The same time while other targets have room.
inline constexpr Duration kWarmupLimitAvoidTime =
    std::chrono::milliseconds{400};

/// Tells whether a host would return an opening at the limit of its target's
/// warm-up, according to its reports of the last time.
/// @param host The host.
/// @param report_time Age from which a report of the limit no longer counts.
/// @param now Current time.
/// @return Whether the target counts as being at the limit.
auto IsAtWarmupLimit(const KnownHost& host, Duration report_time, TimePoint now)
    -> bool;

/// Records that a message that requires a reply is sent to a host.
/// @param host The host.
/// @param now Current time.
auto RecordRequestToHost(KnownHost& host, TimePoint now) -> void;

/// Records that a message from a host arrived, and ends the host's suspicion.
/// @param host The host.
/// @param now Current time.
auto RecordHostContact(KnownHost& host, TimePoint now) -> void;

/// Marks a host as suspected because the host didn't confirm an opening.
/// @param host The host.
/// @param now Current time.
auto MarkHostSuspected(KnownHost& host, TimePoint now) -> void;

/// Tells whether a host is live: the host had recent contact, isn't suspected
/// and has left no message unanswered for kHostReplyTimeout. A host that has
/// left messages unanswered for kSuspicionTime counts as live for another try.
/// @param host The host.
/// @param now Current time.
/// @return Whether the host is live.
auto IsHostLive(const KnownHost& host, TimePoint now) -> bool;

/// Minimum number of messages without a reply after which a host can count as
/// unreachable, because single datagrams are lost on working links.
inline constexpr std::uint32_t kMinRequestsToUnreachable = 3;

/// Tells whether a host has been silent for a time: heartbeats that are due
/// haven't arrived, or several messages have had no reply.
/// @param host The host.
/// @param silence The time.
/// @param now Current time.
/// @return Whether the host counts as unreachable.
auto IsHostUnreachable(const KnownHost& host, Duration silence, TimePoint now)
    -> bool;

/// Tells whether an agent's target has been announced as cold since the
/// target's last start.
/// @param host The host of the agent.
/// @return Whether the target has been announced as cold.
auto WasTargetAnnouncedCold(const KnownHost& host) -> bool;

/// Replaces this process's record if the new content differs, and increments
/// the revision.
/// @param fleet Known hosts and this process's record.
/// @param record The new record; the incarnation and revision are ignored.
/// @return Whether this process's record changed.
auto UpdateOwnRecord(Fleet& fleet, HostRecord record) -> bool;

/// Erases hosts without contact for Fleet::expiry_time.
/// @param fleet Known hosts.
/// @param now Current time.
/// @return Addresses of the erased hosts.
auto EraseSilentHosts(Fleet& fleet, TimePoint now) -> std::vector<Endpoint>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_FLEET_H_
