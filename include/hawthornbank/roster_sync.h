#ifndef HAWTHORNBANK_ROSTER_SYNC_H_
#define HAWTHORNBANK_ROSTER_SYNC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/types.h"
#include "hawthornbank/wire.h"

/// @file
/// Compares the records of two balancers by checksums of small groups of
/// records, so that only the groups that differ are sent.
///
/// Load pattern: a change that hasn't reached every balancer yet, and lost
/// datagrams, in fleets of any size. Whole lists of records would be the
/// largest part of all traffic between balancers.
namespace hawthornbank {

/// Maximum number of groups into which records are divided.
inline constexpr std::size_t kMaxRosterBuckets = 256;

/// Maximum number of records sent in reply to one comparison.
inline constexpr std::size_t kMaxSyncRecords = 1024;

/// A host's record that another process forwards.
struct ForwardedHostRecord {
  HostRecord record;
  std::uint32_t age_ms = 0;  ///< Time since the last contact with the host.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(record);
    wire::SerializeVarint(archive, age_ms);
  }
};

/// Computes a checksum for each group of records, this process's own included.
/// @param fleet Hosts known to this balancer.
/// @return Checksums by bucket; about eight records a bucket.
auto ComputeRosterBuckets(const Fleet& fleet) -> std::vector<std::uint32_t>;

/// Lists the records of the groups whose checksums differ from a peer's.
/// @param fleet Hosts known to this balancer.
/// @param peer_buckets The peer's checksums; a list of a size that isn't a
/// power
///   of two or exceeds kMaxRosterBuckets is ignored.
/// @param now Current time.
/// @return At most kMaxSyncRecords records, of whole groups but for the last.
auto ListDifferingRecords(const Fleet& fleet,
                          std::span<const std::uint32_t> peer_buckets,
                          TimePoint now) -> std::vector<ForwardedHostRecord>;

/// Makes a copy of a host's record for another process.
/// @param host The host.
/// @param now Current time.
/// @return The record with the time since the last contact with the host.
auto ForwardHostRecord(const KnownHost& host, TimePoint now)
    -> ForwardedHostRecord;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ROSTER_SYNC_H_
