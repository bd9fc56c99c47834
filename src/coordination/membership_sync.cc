#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "membership_internal.h"

namespace hawthornbank::detail {
namespace {

/// Number of peers that a balancer asks at once while the balancer isn't ready.
constexpr std::size_t kUnreadySyncFanout = 3;
/// Interval between synchronisation requests while the balancer isn't ready or
/// many records are missing.
constexpr Duration kFastSyncInterval = std::chrono::milliseconds{200};
/// Rate (bytes per second) and burst (bytes) of the token bucket that limits
/// the answers to synchronisation requests.
constexpr double kSyncBytesPerSecond = 80'000;
/// Minimum number of missing records for synchronisation at the fast interval.
constexpr std::size_t kFarBehindRecordCount = 20;
/// Maximum number of bytes by which the encoded lengths of listed_buckets and
/// held_checksums grow when the lists are filled.
constexpr std::size_t kListLengthBytes = 4;

auto ComputeRecordChecksum(std::uint64_t id,
                           Incarnation incarnation,
                           std::uint64_t content) -> std::uint32_t {
  std::uint64_t x = id ^ (ToInteger(incarnation) * 0x9E3779B97F4A7C15U);
  x = (x ^ (x >> 29U) ^ (content << 7U)) * 0xBF58476D1CE4E5B9U;
  x = (x ^ (x >> 31U)) * 0x94D049BB133111EBU;
  return static_cast<std::uint32_t>(x >> 32U);
}

auto ComputeRecordChecksum(const TargetRecord& record) -> std::uint32_t {
  return ComputeRecordChecksum(ToInteger(record.id), record.incarnation,
                               static_cast<std::uint64_t>(record.state));
}

auto ComputeRecordChecksum(const BalancerRecord& record) -> std::uint32_t {
  const auto content = (ToInteger(record.generation) << 2U) |
                       static_cast<std::uint64_t>(record.state);
  return ComputeRecordChecksum(~ToInteger(record.id), record.incarnation,
                               content);
}

/// @return Checksum of the records of all targets that aren't dead and haven't
///   left.
auto ComputeTargetsChecksum(const Membership& membership) -> std::uint32_t {
  std::uint32_t sum = 0;
  for (const auto& [id, it] : membership.targets) {
    sum += IsPresentMemberState(it.record.state)
               ? ComputeRecordChecksum(it.record)
               : 0;
  }
  return sum;
}

auto ComputeBucket(std::uint64_t id) -> std::uint32_t {
  return static_cast<std::uint32_t>((id * 0x9E3779B97F4A7C15U) >> 57U);
}
static_assert(kBucketCount == 128, "ComputeBucket() gives seven bits");

/// Calls `visit` with the bucket, the checksum and the record of self, of each
/// balancer and then of each target, except those that are dead or have left.
template <class Visit>
auto ForEachPresentRecord(const Membership& membership, Visit visit) -> void {
  const auto call = [&visit](const auto& record) {
    if (IsPresentMemberState(record.state)) {
      visit(ComputeBucket(ToInteger(record.id)), ComputeRecordChecksum(record),
            record);
    }
  };
  call(membership.self);
  for (const auto& [id, it] : membership.balancers) {
    call(it.record);
  }
  for (const auto& [id, it] : membership.targets) {
    call(it.record);
  }
}

/// Splits records into digests of at most kMaxDigestBytes. Drops records beyond
/// the byte allowance of synchronisation; the requester requests the dropped
/// records again, mostly from other peers.
class SyncRecordWriter {
 public:
  SyncRecordWriter(Membership& membership, Endpoint to, Actions& out)
      : membership_(membership),
        to_(to),
        out_(out),
        digest_(MakeEmptyDigest(membership)),
        bytes_left_(kMaxDigestBytes - ComputeEncodedSize(digest_)) {}

  auto AddRecordIfAllowed(const TargetRecord& record) -> void {
    if (ReserveDigestBytes(ComputeEncodedSize(record))) {
      digest_.targets.push_back(record);
    }
  }

  auto AddRecordIfAllowed(const BalancerRecord& record) -> void {
    if (ReserveDigestBytes(ComputeEncodedSize(record))) {
      digest_.balancers.push_back(record);
    }
  }

  auto FlushDigest() -> void {
    if (!digest_.targets.empty() || !digest_.balancers.empty()) {
      SendDigestTo(membership_, to_, std::move(digest_), out_);
    }
    digest_ = MakeEmptyDigest(membership_);
    bytes_left_ = kMaxDigestBytes - ComputeEncodedSize(digest_);
  }

 private:
  auto ReserveDigestBytes(std::size_t size) -> bool {
    if (membership_.sync_allowance_bytes <= 0) {
      return false;
    }
    if (size > bytes_left_) {
      FlushDigest();
    }
    bytes_left_ -= size;
    membership_.sync_allowance_bytes -= static_cast<double>(size);
    return true;
  }

  Membership& membership_;
  Endpoint to_;
  Actions& out_;
  Digest digest_;
  std::size_t bytes_left_ = 0;
};

/// Lists the peer endpoints of all other balancers in the roster.
auto ListPeersOfOtherBalancers(const Membership& membership)
    -> std::vector<Endpoint> {
  std::vector<Endpoint> peers;
  for (const auto& it : membership.roster) {
    if (it.id != membership.self.id) {
      peers.push_back(it.peer);
    }
  }
  return peers;
}

/// Lists the peers that can be asked for missing records: the other balancers
/// of the roster and, if self isn't ready or is alone, also the seeds.
auto ListSyncPeers(const Membership& membership) -> std::vector<Endpoint> {
  std::vector<Endpoint> group = ListPeersOfOtherBalancers(membership);
  if (!membership.ready || group.empty()) {
    for (const auto& it : membership.options.seeds) {
      if (it != membership.self.peer) {
        group.push_back(it);
      }
    }
  }
  return group;
}

/// Lists the seeds outside the roster and the balancers that were declared
/// dead. After a partition in which both sides declared each other dead,
/// neither would send to the other again.
auto ListAbsentPeers(const Membership& membership) -> std::vector<Endpoint> {
  std::vector<Endpoint> absent = membership.options.seeds;
  for (const auto& [id, it] : membership.balancers) {
    if (it.record.state == BalancerState::kDead) {
      absent.push_back(it.record.peer);
    }
  }
  std::erase_if(absent, [&membership](const Endpoint& peer) {
    return std::any_of(
        membership.roster.begin(), membership.roster.end(),
        [&peer](const RosterEntry& it) { return it.peer == peer; });
  });
  return absent;
}

auto ProbeRandomAbsentPeer(Membership& membership, Random& random, Actions& out)
    -> void {
  std::vector<Endpoint> peers;
  AppendRandomEndpoints(ListAbsentPeers(membership), 1, random, peers);
  for (const auto& it : peers) {
    Digest digest = MakeEmptyDigest(membership);
    digest.probe = true;
    digest.balancers.push_back(membership.self);
    SendDigestTo(membership, it, std::move(digest), out);
  }
}

auto ComputeSyncInterval(const Membership& membership) -> Duration {
  if (!membership.ready || membership.is_far_behind) {
    return kFastSyncInterval;
  }
  return membership.is_in_sync ? membership.options.sync_interval
                               : membership.options.heartbeat_interval;
}

auto SortChecksums(std::vector<std::uint32_t> values)
    -> std::vector<std::uint32_t> {
  std::sort(values.begin(), values.end());
  return values;
}

auto ContainsChecksum(const std::vector<std::uint32_t>& sorted,
                      std::uint32_t value) -> bool {
  return std::binary_search(sorted.begin(), sorted.end(), value);
}

/// Appends the checksums of self's records in the buckets whose checksums
/// differ from those in a request, for as many buckets as fit in a datagram.
auto AppendHeldChecksums(const Membership& membership,
                         const Digest& request,
                         const std::vector<std::uint32_t>& sums,
                         Digest& answer) -> void {
  std::vector<std::vector<std::uint32_t>> held(kBucketCount);
  ForEachPresentRecord(membership,
                       [&](auto bucket, auto checksum, const auto&) {
                         held[bucket].push_back(checksum);
                       });
  const auto first = request.first_bucket % kBucketCount;
  const auto count =
      std::min<std::size_t>(request.bucket_checksums.size(), kBucketCount);
  std::size_t bytes_left =
      kMaxDigestBytes - ComputeEncodedSize(answer) - kListLengthBytes;
  for (std::uint32_t n = 0; n < count; ++n) {
    if (request.bucket_checksums[n] == sums[n]) {
      continue;
    }
    const auto bucket = (first + n) % kBucketCount;
    const auto size = 1 + sizeof(std::uint32_t) * held[bucket].size();
    if (size > bytes_left) {
      return;
    }
    bytes_left -= size;
    answer.listed_buckets.push_back(static_cast<std::uint8_t>(bucket));
    answer.held_checksums.insert(answer.held_checksums.end(),
                                 held[bucket].begin(), held[bucket].end());
  }
}

}  // namespace

auto ComputeBucketChecksums(const Membership& membership, std::uint32_t first)
    -> std::vector<std::uint32_t> {
  std::vector<std::uint32_t> sums(kBucketCount, 0);
  ForEachPresentRecord(
      membership, [&](auto bucket, auto checksum, const auto&) {
        sums[(bucket + kBucketCount - first) % kBucketCount] += checksum;
      });
  return sums;
}

auto RefillSyncAllowance(Membership& membership, Duration elapsed) -> void {
  const double seconds = std::chrono::duration<double>(elapsed).count();
  membership.sync_allowance_bytes =
      std::min(kSyncBytesPerSecond,
               membership.sync_allowance_bytes + seconds * kSyncBytesPerSecond);
}

auto SendSyncRequests(Membership& membership,
                      TimePoint now,
                      Random& random,
                      Actions& out) -> void {
  if (now - membership.last_sync < ComputeSyncInterval(membership)) {
    return;
  }
  membership.last_sync = now;
  membership.is_in_sync = false;
  membership.is_far_behind = false;
  if (membership.ready) {
    ProbeRandomAbsentPeer(membership, random, out);
  }
  const std::size_t fanout = membership.ready ? 1 : kUnreadySyncFanout;
  std::vector<Endpoint> peers;
  AppendRandomEndpoints(ListSyncPeers(membership), fanout, random, peers);
  if (peers.empty()) {
    return;
  }
  // Each peer is asked for different buckets, so that no record is received
  // twice.
  auto first =
      static_cast<std::uint32_t>(DrawRandomIndex(random, kBucketCount));
  const auto parts = static_cast<std::uint32_t>(peers.size());
  const auto buckets = std::min(kBucketCount / parts + 1, kBucketCount);
  for (const auto& it : peers) {
    Digest digest = MakeEmptyDigest(membership);
    digest.probe = !membership.ready;
    digest.first_bucket = first;
    digest.targets_checksum = ComputeTargetsChecksum(membership);
    digest.bucket_checksums = ComputeBucketChecksums(membership, first);
    digest.bucket_checksums.resize(buckets);
    if (!membership.ready) {
      digest.balancers.push_back(membership.self);
    }
    SendDigestTo(membership, it, std::move(digest), out);
    first = (first + buckets) % kBucketCount;
  }
}

auto AnswerSyncRequest(Membership& membership,
                       Endpoint to,
                       const Digest& request,
                       Actions& out) -> void {
  const auto first = request.first_bucket % kBucketCount;
  const auto sums = ComputeBucketChecksums(membership, first);
  Digest answer = MakeEmptyDigest(membership);
  answer.is_complete = request.bucket_checksums == sums;
  answer.targets_complete =
      request.targets_checksum == ComputeTargetsChecksum(membership);
  const bool over_budget = (!request.probe && membership.budget_bytes <= 0) ||
                           membership.sync_allowance_bytes <= 0;
  if (!answer.is_complete && !over_budget) {
    AppendHeldChecksums(membership, request, sums, answer);
    membership.sync_allowance_bytes -=
        static_cast<double>(ComputeEncodedSize(answer));
  }
  const bool has_result =
      answer.is_complete || (request.probe && answer.targets_complete);
  if (has_result || !answer.listed_buckets.empty()) {
    SendDigestTo(membership, to, std::move(answer), out);
  }
}

auto AnswerHeldChecksums(Membership& membership,
                         Endpoint to,
                         const Digest& offer,
                         Actions& out) -> void {
  std::vector<bool> listed(kBucketCount, false);
  for (const auto it : offer.listed_buckets) {
    listed[it % kBucketCount] = true;
  }
  const auto peer_checksums = SortChecksums(offer.held_checksums);
  std::vector<std::uint32_t> own_checksums;
  SyncRecordWriter writer(membership, to, out);
  ForEachPresentRecord(membership,
                       [&](auto bucket, auto checksum, const auto& record) {
                         if (!listed[bucket]) {
                           return;
                         }
                         own_checksums.push_back(checksum);
                         if (!ContainsChecksum(peer_checksums, checksum)) {
                           writer.AddRecordIfAllowed(record);
                         }
                       });
  writer.FlushDigest();
  own_checksums = SortChecksums(std::move(own_checksums));
  Digest request = MakeEmptyDigest(membership);
  std::set_difference(peer_checksums.begin(), peer_checksums.end(),
                      own_checksums.begin(), own_checksums.end(),
                      std::back_inserter(request.wanted_checksums));
  membership.is_far_behind =
      membership.is_far_behind ||
      request.wanted_checksums.size() >= kFarBehindRecordCount;
  if (!request.wanted_checksums.empty()) {
    SendDigestTo(membership, to, std::move(request), out);
  }
}

auto SendWantedRecords(Membership& membership,
                       Endpoint to,
                       const Digest& request,
                       Actions& out) -> void {
  const auto wanted = SortChecksums(request.wanted_checksums);
  SyncRecordWriter writer(membership, to, out);
  ForEachPresentRecord(membership,
                       [&](auto, auto checksum, const auto& record) {
                         if (ContainsChecksum(wanted, checksum)) {
                           writer.AddRecordIfAllowed(record);
                         }
                       });
  writer.FlushDigest();
}

}  // namespace hawthornbank::detail
