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
/// Leases for duties that one process may have at a time, and their fences.
///
/// A lease is an object of the platform, renewed by conditional updates. No
/// wall clocks are compared: a holder counts from the instant at which it
/// *sent* its last renewal that succeeded; a rival counts from the instant at
/// which it *saw* a version and takes over once that version has not changed
/// for the whole duration. So the rival always waits longer than the holder
/// acts. The epoch in every act fences a holder that is paused in between.
namespace hawthornbank {

/// Kind of the lease objects at the platform.
inline constexpr const char* kLeaseKind = "lease";

/// Durations of a lease.
struct LeaseTimes {
  std::chrono::milliseconds duration{6000};
  std::chrono::milliseconds renew_interval{2000};
  /// Before the end, for an act that is still on its way.
  std::chrono::milliseconds margin{1500};
  /// Between two looks at a lease that another process holds.
  std::chrono::milliseconds watch_interval{1000};
};

/// What the platform keeps of a lease.
struct LeaseRecord {
  std::string holder;     ///< Name of the process; empty when given up.
  std::string operation;  ///< Of the write, to read a lost answer back.
  Epoch epoch{};          ///< Grows with each change of the holder.

  auto operator==(const LeaseRecord&) const -> bool = default;
};

/// Encodes a lease as the platform's JSON value.
/// @param record What to encode.
/// @return JSON text.
auto EncodeLease(const LeaseRecord& record) -> std::string;

/// Decodes a lease from the platform's JSON value.
/// @param text JSON text.
/// @return The record.
/// @throws Error kMalformed when a field is missing or has a wrong type.
auto DecodeLease(const std::string& text) -> LeaseRecord;

/// Who wants a lease, and on which terms.
struct LeaseOptions {
  std::string name;  ///< Of the duty, as "plan" or "shard-3".
  std::string self;  ///< Unique to this start of this process.
  LeaseTimes times;
};

/// Read the lease object.
struct LeaseRead {};

/// Write the lease object if it still has the version given.
struct LeaseWrite {
  std::uint64_t if_version = 0;
  LeaseRecord record;
};

/// The duty begins, under an epoch.
struct LeaseGained {
  Epoch epoch{};
};

/// The duty ends.
struct LeaseLost {
  Epoch epoch{};
};

using LeaseAction = std::variant<LeaseRead, LeaseWrite, LeaseGained, LeaseLost>;
using LeaseActions = std::vector<LeaseAction>;

/// Answer to a LeaseRead.
struct LeaseSeen {
  bool reached = false;       ///< Whether there was an answer.
  std::uint64_t version = 0;  ///< 0 when the object does not exist.
  LeaseRecord record;
};

/// Answer to a LeaseWrite.
enum class LeaseWritten : std::uint8_t { kAccepted, kConflict, kUnknown };

/// State of a lease at one process.
struct Lease {
  LeaseOptions options;
  std::uint64_t version = 0;                 ///< Last seen.
  LeaseRecord record;                        ///< Last seen.
  std::optional<TimePoint> unchanged_since;  ///< Of a rival's record.
  std::optional<TimePoint> valid_until;      ///< While this process holds it.
  std::optional<LeaseWrite> pending;         ///< The write that is out.
  TimePoint sent;                            ///< When it was sent.
  bool waiting = false;                      ///< A call is out.
  bool read_first = true;  ///< What is stored has to be read before a write.
  TimePoint next_call;
  Epoch floor{};  ///< Epochs up to this one are known to be used up.
  std::uint64_t writes = 0;
  std::uint64_t platform_failures = 0;
};

/// Makes the state of a process that wants a lease.
/// @param options Name, holder and times.
/// @param now Present instant.
/// @param random Spreads the first calls.
/// @return The state.
auto MakeLease(LeaseOptions options, TimePoint now, Random& random) -> Lease;

/// Renews, watches or takes over, and ends a duty that has run out.
/// @param lease State.
/// @param now Present instant.
/// @param random Generator.
/// @param actions Where actions are appended.
auto TickLease(Lease& lease,
               TimePoint now,
               Random& random,
               LeaseActions& actions) -> void;

/// Takes the answer to a LeaseRead.
/// @param lease State.
/// @param seen What came.
/// @param now Present instant.
/// @param random Generator.
/// @param actions Where actions are appended.
auto OnLeaseSeen(Lease& lease,
                 const LeaseSeen& seen,
                 TimePoint now,
                 Random& random,
                 LeaseActions& actions) -> void;

/// Takes the answer to a LeaseWrite.
/// @param lease State.
/// @param answer What came.
/// @param version New version, when it was accepted.
/// @param now Present instant.
/// @param random Generator.
/// @param actions Where actions are appended.
auto OnLeaseWritten(Lease& lease,
                    LeaseWritten answer,
                    std::uint64_t version,
                    TimePoint now,
                    Random& random,
                    LeaseActions& actions) -> void;

/// Checks, right before an act, that the duty is still this process's.
/// @param lease State.
/// @param now Present instant, read anew for this act.
/// @return The epoch to send with the act, or nothing when it must not act.
auto EpochForAct(const Lease& lease, TimePoint now) -> std::optional<Epoch>;

/// Gives the duty up because a receiver has seen a higher epoch. If nobody else
/// holds the lease, as when its object was lost and epochs began anew, this
/// process gains it again under an epoch above that one.
/// @param lease State.
/// @param seen The epoch that the receiver has seen.
/// @param now Present instant.
/// @param actions Where actions are appended.
auto RaiseEpoch(Lease& lease, Epoch seen, TimePoint now, LeaseActions& actions)
    -> void;

/// What a receiver remembers of the acts of one duty.
struct LeaseFence {
  Epoch highest{};
  std::uint64_t refused = 0;
};

/// Checks the epoch of an act that was received.
/// @param fence State of the receiver.
/// @param epoch Epoch of the act.
/// @throws Error kFenced when a later holder has already acted.
auto CheckFence(LeaseFence& fence, Epoch epoch) -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_LEASE_H_
