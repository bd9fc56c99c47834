#ifndef HAWTHORNBANK_FLEET_H_
#define HAWTHORNBANK_FLEET_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "hawthornbank/types.h"
#include "hawthornbank/wire.h"

/// @file
/// What a process knows of the others: who runs where, which targets take new
/// flows and how busy they are.
///
/// Each process announces its own record; others pass it on but never change
/// it. Records are ordered by (incarnation, revision), so that merging them in
/// any order gives the same result.
namespace hawthornbank {

/// What a process of the system does on its host.
enum class HostRole : std::uint8_t { kBalancer, kAgent };

/// Whether a target takes new flows.
enum class TargetState : std::uint8_t { kUnknown, kReady, kDraining, kGone };

/// What an agent says of its target.
struct TargetStatus {
  TargetState state = TargetState::kUnknown;
  std::uint64_t born = 0;  ///< Start of the target, Unix milliseconds.
  std::uint16_t slots = 1;
  bool cold = false;  ///< It has just started and is slow.

  auto operator==(const TargetStatus&) const -> bool = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(state, slots);
    wire::Flag(archive, cold);
    wire::Varint(archive, born);
    wire::CheckRange(state, TargetState::kGone);
  }
};

/// How busy a target is, as its agent sees it in the packets.
struct TargetLoad {
  std::uint16_t running = 0;  ///< Requests without an answer yet.
  std::uint16_t flows = 0;    ///< Open flows.
  /// Running requests averaged over the last seconds, in sixteenths.
  std::uint16_t average_x16 = 0;
  bool failing = false;  ///< Most requests end without an answer.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(running, flows, average_x16);
    wire::Flag(archive, failing);
  }
};

/// What a process says of itself.
struct HostRecord {
  Endpoint control;  ///< Where other processes reach it.
  HostRole role = HostRole::kBalancer;
  bool leaving = false;       ///< Takes no new flows, as the process stops.
  std::uint32_t service = 0;  ///< HashName of the target's service; agents.
  std::string zone;
  std::uint64_t incarnation = 0;  ///< Grows with each start.
  std::uint32_t revision = 0;     ///< Grows with each change of the record.
  TargetStatus target;            ///< Agents only.

  auto operator==(const HostRecord&) const -> bool = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(control, role, service, target);
    wire::Flag(archive, leaving);
    wire::Text(archive, zone);
    wire::Varint(archive, incarnation);
    wire::Varint(archive, revision);
    wire::CheckRange(role, HostRole::kAgent);
  }
};

/// Shortest interval of announces. A change of a target's load matters within
/// some tens of requests.
inline constexpr Duration kAnnounceInterval = std::chrono::milliseconds{400};

/// Bytes that a process may send a second as announces; the rest of its 3 KB
/// is for rosters and notes.
inline constexpr std::uint32_t kAnnounceBytesPerSecond = 2400;

/// Bytes of one announce, with its IPv4 and UDP heads.
inline constexpr std::uint32_t kAnnounceBytes = 100;

/// Announces that may be lost or late before a host is doubted.
inline constexpr int kMissedAnnounces = 4;

/// Interval of announces that keeps within the bytes allowed.
/// @param balancers Receivers of an announce.
/// @return The interval.
constexpr auto AnnounceInterval(std::size_t balancers) -> Duration {
  const Duration paced = Duration{std::chrono::seconds{1}} * kAnnounceBytes *
                         static_cast<std::int64_t>(balancers) /
                         kAnnounceBytesPerSecond;
  return paced > kAnnounceInterval ? paced : kAnnounceInterval;
}

/// Time without a word from a host after which it is doubted, in a fleet whose
/// announces come at the shortest interval.
inline constexpr Duration kSilentAfter = kMissedAnnounces * kAnnounceInterval;

/// Time for which a host stays known without a word. Covers a host that is
/// dark or cut off and comes back at its address.
inline constexpr Duration kForgetAfter = std::chrono::seconds{60};

/// Time for which a host that left an opening unanswered isn't asked first.
/// Longer than a restart of its process, unless it is heard before.
inline constexpr Duration kDoubtTime = std::chrono::milliseconds{800};

/// Time for a host to answer what it was asked: twice the longest way between
/// zones, and its own work.
inline constexpr Duration kAnswerTime = std::chrono::milliseconds{60};

/// Another process, as this one knows it.
struct KnownHost {
  HostRecord record;
  TargetLoad load;
  TimePoint heard{};          ///< Last word from the host itself or of it.
  TimePoint doubted_until{};  ///< It left something unanswered.
  TimePoint load_at{};        ///< When `load` was said.
  TimePoint changed{};        ///< When the record was heard first.
  Duration silent_after = kSilentAfter;  ///< Then it is doubted.
  /// When it was asked what it hasn\'t answered yet; zero: it answered all.
  TimePoint unanswered_since{};
  std::uint16_t sent_since = 0;  ///< Openings sent to it since then.
  std::uint64_t version = 0;     ///< Of the routes that it said it has.
  /// Start of its target, if that has been heard of while it was cold.
  std::uint64_t cold_start = 0;
};

/// All hosts that a process knows, itself left out.
struct Fleet {
  HostRecord self;
  std::unordered_map<Endpoint, KnownHost> hosts;
  std::uint64_t digest = 0;  ///< Of all records, its own included.
};

/// What became of a record that was heard.
enum class MergeOutcome : std::uint8_t {
  kOld,       ///< A newer one is known.
  kSame,      ///< It was known.
  kChanged,   ///< It is new, or replaces an older one.
  kOutranked  ///< Others hold a newer start of this very process.
};

/// Merges a record that was heard, from its host or from another.
/// @param fleet What is known.
/// @param record The record.
/// @param age Time since its host was last heard.
/// @param now The present instant.
/// @return What became of it. After kOutranked the own record has a larger
/// incarnation and is to be announced.
auto MergeRecord(Fleet& fleet,
                 const HostRecord& record,
                 Duration age,
                 TimePoint now) -> MergeOutcome;

/// Tells whether a process keeps a record. Agents announce themselves to
/// balancers and don't need one another.
/// @param record A record of another process.
/// @param role Role of the process.
/// @return Whether it is of use there.
constexpr auto IsOfUse(const HostRecord& record, HostRole role) -> bool {
  return role == HostRole::kBalancer || record.role == HostRole::kBalancer;
}

/// Tells whether a process that has announced itself to this balancer lacks
/// records. An agent is told of balancers when it knows none; those that start
/// later introduce themselves.
/// @param fleet What this balancer knows.
/// @param role Role of the process.
/// @param digest Of the records that the process knows.
/// @param wants_reply The process knows no balancer.
/// @return Whether to send it records.
auto NeedsRoster(const Fleet& fleet,
                 HostRole role,
                 std::uint64_t digest,
                 bool wants_reply) -> bool;

/// Tells whether an agent doesn't announce itself to this balancer, as it
/// doesn't know of it.
/// @param host A host, as this balancer knows it.
/// @param now The present instant.
/// @return Whether it is an agent that is to be told of this balancer.
auto NeedsIntroduction(const KnownHost& host, TimePoint now) -> bool;

/// Agents that keep the newest routes for balancers that start while nobody
/// else has them.
inline constexpr std::size_t kRouteKeepers = 4;

/// Lists the agents that are to be told of the routes in force: the first ones
/// that answer, as far as they have an older version.
/// @param fleet What this balancer knows.
/// @param version Of the routes in force.
/// @param now The present instant.
/// @return Whom to tell.
auto KeepersToTell(const Fleet& fleet, std::uint64_t version, TimePoint now)
    -> std::vector<Endpoint>;

/// Notes what a host said of its target's load.
/// @param host The host.
/// @param load What it said.
/// @param now The present instant.
auto NoteLoad(KnownHost& host, const TargetLoad& load, TimePoint now) -> void;

/// Notes that a host is asked something that it answers.
/// @param host The host.
/// @param now The present instant.
auto NoteAsked(KnownHost& host, TimePoint now) -> void;

/// Notes a word from a host itself.
/// @param host The host.
/// @param now The present instant.
auto NoteHeard(KnownHost& host, TimePoint now) -> void;

/// Notes that a host left something unanswered.
/// @param host The host.
/// @param now The present instant.
auto DoubtHost(KnownHost& host, TimePoint now) -> void;

/// @param host A host.
/// @param now The present instant.
/// @return Whether it was heard lately and answers.
auto IsAnswering(const KnownHost& host, TimePoint now) -> bool;

/// @param host A host of an agent.
/// @return Whether its target was cold at some time since it became known.
auto WasSeenCold(const KnownHost& host) -> bool;

/// Replaces the own record, with a new revision when it differs.
/// @param fleet What is known.
/// @param record The new record; its incarnation and revision don't matter.
/// @return Whether it differs.
auto UpdateSelf(Fleet& fleet, HostRecord record) -> bool;

/// Forgets hosts that were silent for long.
/// @param fleet What is known.
/// @param now The present instant.
/// @return The hosts that were forgotten.
auto ForgetSilentHosts(Fleet& fleet, TimePoint now) -> std::vector<Endpoint>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_FLEET_H_
