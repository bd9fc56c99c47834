#ifndef HAWTHORNBANK_LEASE_H_
#define HAWTHORNBANK_LEASE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hawthornbank/random.h"
#include "hawthornbank/types.h"

/// @file
/// Leases that elect one process at a time for a role, and fencing by epoch.
///
/// A lease is an object on the platform, renewed by conditional updates. No
/// wall clocks are compared: the holder counts the lease's duration from the
/// time at which the holder *sent* the last successful renewal; a candidate
/// counts from the time at which the candidate first *saw* a version, and takes
/// over once the version has not changed for the whole duration. So a candidate
/// always takes over only after the holder itself considers the lease expired.
/// A holder that is paused between the check of the lease and a write is fenced
/// by the epoch that every write carries.
namespace hawthornbank {

/// Kind of the lease objects on the platform.
inline constexpr const char* kLeaseKind = "lease";

/// Durations and intervals of a lease.
struct LeaseTimes {
  std::chrono::milliseconds duration{6000};
  std::chrono::milliseconds renew_interval{2000};
  /// Time before the expiry of the lease at which the holder stops writing, so
  /// that a write in flight arrives while the lease is still valid.
  std::chrono::milliseconds margin{1500};
  /// Interval between reads of a lease that another process holds.
  std::chrono::milliseconds watch_interval{1000};
};

/// A lease as stored on the platform.
struct LeaseRecord {
  std::string holder;  ///< Name of the holding process; empty if released.
  /// Unique name of the write, to recognise the write after a lost answer.
  std::string operation;
  Epoch epoch{};  ///< Increases with each acquisition of the lease.

  auto operator==(const LeaseRecord&) const -> bool = default;
};

/// Encodes a lease as the platform's JSON value.
/// @param record Lease record.
/// @return JSON text.
auto EncodeLeaseRecord(const LeaseRecord& record) -> std::string;

/// Decodes a lease from the platform's JSON value.
/// @param text JSON text.
/// @return Lease record.
/// @throws Error kMalformed when a field is missing or has a wrong type.
auto DecodeLeaseRecord(const std::string& text) -> LeaseRecord;

/// Names of a lease and of the process that competes for the lease, and the
/// times of the lease.
struct LeaseOptions {
  std::string name;  ///< Name of the lease, such as "plan" or "shard-3".
  std::string self;  ///< Name of the process, unique to each start.
  LeaseTimes times;
};

/// Request to read the lease object.
struct LeaseRead {};

/// Request to write the lease object if the stored version is `if_version`.
struct LeaseWrite {
  std::uint64_t if_version = 0;
  LeaseRecord record;
};

/// Event: this process acquired the lease under a new epoch.
struct LeaseAcquired {
  Epoch epoch{};
};

/// Event: this process no longer holds the lease.
struct LeaseLost {
  Epoch epoch{};
};

using LeaseAction =
    std::variant<LeaseRead, LeaseWrite, LeaseAcquired, LeaseLost>;
using LeaseActions = std::vector<LeaseAction>;

/// Answer to a LeaseRead.
struct LeaseReadAnswer {
  bool was_answered = false;  ///< Whether the platform answered.
  std::uint64_t version = 0;  ///< 0 if the object does not exist.
  LeaseRecord record;
};

/// Answer to a LeaseWrite.
enum class LeaseWriteOutcome : std::uint8_t { kAccepted, kConflict, kUnknown };

/// State of one process that holds or competes for a lease.
struct Lease {
  LeaseOptions options;
  std::uint64_t version = 0;  ///< Object version last read or written.
  LeaseRecord record;         ///< Object content last read or written.
  /// When a read first returned `version`; unset after an accepted own write.
  std::optional<TimePoint> unchanged_since;
  /// Expiry of the lease; unset while this process doesn't hold the lease.
  std::optional<TimePoint> valid_until;
  /// Write whose outcome is not known yet.
  std::optional<LeaseWrite> pending_write;
  TimePoint pending_sent_at;        ///< When `pending_write` was sent.
  bool is_awaiting_answer = false;  ///< A platform call is outstanding.
  /// The stored object has to be read before the next write.
  bool must_read_first = true;
  TimePoint next_call;
  /// Highest epoch that a receiver of writes reported; this process acquires
  /// the lease only under higher epochs.
  Epoch highest_seen_epoch{};
  /// Number of writes sent; makes each `operation` unique.
  std::uint64_t write_count = 0;
  std::uint64_t platform_failures = 0;
};

/// Creates the state of a process that competes for a lease. The process
/// doesn't hold the lease yet.
/// @param options Names and timing.
/// @param now Current time.
/// @param random Random number generator; adds jitter to the first call.
/// @return Lease state.
auto MakeLeaseState(LeaseOptions options, TimePoint now, Random& random)
    -> Lease;

/// Gives up a held lease that expires within the margin. If a platform call is
/// due, renews a held lease, takes over a free or expired lease, or reads the
/// lease object when another process holds the lease or the stored content is
/// not known for certain.
/// @param lease Lease state.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions Actions are appended to it.
auto OnLeaseTick(Lease& lease,
                 TimePoint now,
                 Random& random,
                 LeaseActions& actions) -> void;

/// Handles the answer to a LeaseRead; takes over a free or expired lease.
/// @param lease Lease state.
/// @param answer Answer of the platform.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions Actions are appended to it.
auto OnLeaseReadAnswered(Lease& lease,
                         const LeaseReadAnswer& answer,
                         TimePoint now,
                         Random& random,
                         LeaseActions& actions) -> void;

/// Handles the answer to a LeaseWrite.
/// @param lease Lease state.
/// @param answer Outcome of the write.
/// @param version New version of the object, if the write was accepted.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions Actions are appended to it.
auto OnLeaseWriteAnswered(Lease& lease,
                          LeaseWriteOutcome answer,
                          std::uint64_t version,
                          TimePoint now,
                          Random& random,
                          LeaseActions& actions) -> void;

/// Checks, right before a write, that this process still holds the lease.
/// @param lease Lease state.
/// @param now Current time, read from the clock for this write.
/// @return The epoch to send with the write; empty if the lease is not held or
///   expires within the margin.
auto GetEpochIfLeaseHeld(const Lease& lease, TimePoint now)
    -> std::optional<Epoch>;

/// Gives the lease up because a receiver has seen a higher epoch, and makes a
/// read of the lease object due. If no other process holds the lease, this
/// process then acquires the lease under an epoch higher than `receiver_epoch`.
/// Needed after a loss of the lease object, because epochs then start from the
/// beginning.
/// @param lease Lease state.
/// @param receiver_epoch Highest epoch that the receiver has seen.
/// @param now Current time.
/// @param actions Actions are appended to it.
auto StepDownForHigherEpoch(Lease& lease,
                            Epoch receiver_epoch,
                            TimePoint now,
                            LeaseActions& actions) -> void;

/// State with which a receiver rejects writes of superseded lease holders.
struct LeaseFence {
  Epoch highest_epoch{};      ///< Highest epoch of the accepted writes.
  std::uint64_t refused = 0;  ///< Writes rejected for an older epoch.
};

/// Checks the epoch of a received write and records the epoch as the highest
/// accepted one.
/// @param fence Fence of the receiver.
/// @param epoch Epoch of the write.
/// @throws Error kFenced if a write with a higher epoch was accepted before.
auto CheckAndRecordEpoch(LeaseFence& fence, Epoch epoch) -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_LEASE_H_
