#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "membership_internal.h"

namespace hawthornbank::detail {
namespace {

/// Peers that a balancer which isn't ready asks at a time.
constexpr std::size_t kNewcomerFanout = 3;
/// Interval of synchronisation while much is missing.
constexpr Duration kHurriedSyncInterval = std::chrono::milliseconds{200};
/// Bytes a second that synchronisation may spend on others; as many at once.
constexpr double kSyncBytesPerSecond = 80'000;
/// Missing records that make synchronisation hurry.
constexpr std::size_t kBehindRecords = 20;
/// Most bytes by which the lengths of two lists grow.
constexpr std::size_t kListLengthBytes = 4;

auto ChecksumOf(std::uint64_t id,
                Incarnation incarnation,
                std::uint64_t content) -> std::uint32_t {
  std::uint64_t x = id ^ (ToInteger(incarnation) * 0x9E3779B97F4A7C15U);
  x = (x ^ (x >> 29U) ^ (content << 7U)) * 0xBF58476D1CE4E5B9U;
  x = (x ^ (x >> 31U)) * 0x94D049BB133111EBU;
  return static_cast<std::uint32_t>(x >> 32U);
}

auto ChecksumOf(const TargetRecord& record) -> std::uint32_t {
  return ChecksumOf(ToInteger(record.id), record.incarnation,
                    static_cast<std::uint64_t>(record.state));
}

auto ChecksumOf(const BalancerRecord& record) -> std::uint32_t {
  const auto content = (ToInteger(record.generation) << 2U) |
                       static_cast<std::uint64_t>(record.state);
  return ChecksumOf(~ToInteger(record.id), record.incarnation, content);
}

/// @return Checksum of all targets that are present.
auto TargetsChecksum(const Membership& membership) -> std::uint32_t {
  std::uint32_t sum = 0;
  for (const auto& [id, it] : membership.targets) {
    sum += IsPresent(it.record.state) ? ChecksumOf(it.record) : 0;
  }
  return sum;
}

auto BucketOf(std::uint64_t id) -> std::uint32_t {
  return static_cast<std::uint32_t>((id * 0x9E3779B97F4A7C15U) >> 57U);
}
static_assert(kBucketCount == 128, "BucketOf() gives seven bits");

/// Calls a function with the bucket, the checksum and the record of each
/// balancer, self included, and then of each target that is present.
template <class Visit>
auto ForEachPresent(const Membership& membership, Visit visit) -> void {
  const auto call = [&visit](const auto& record) {
    if (IsPresent(record.state)) {
      visit(BucketOf(ToInteger(record.id)), ChecksumOf(record), record);
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

/// Splits records into digests of allowed size, and drops what passes the
/// allowance of synchronisation; it is asked for again, of others mostly.
class SyncWriter {
 public:
  SyncWriter(Membership& membership, Endpoint to, Actions& out)
      : membership_(membership),
        to_(to),
        out_(out),
        digest_(MakeDigest(membership)),
        room_(kMaxDigestBytes - EncodedSize(digest_)) {}

  auto Add(const TargetRecord& record) -> void {
    if (Reserve(EncodedSize(record))) {
      digest_.targets.push_back(record);
    }
  }

  auto Add(const BalancerRecord& record) -> void {
    if (Reserve(EncodedSize(record))) {
      digest_.balancers.push_back(record);
    }
  }

  auto Flush() -> void {
    if (!digest_.targets.empty() || !digest_.balancers.empty()) {
      Send(membership_, to_, std::move(digest_), out_);
    }
    digest_ = MakeDigest(membership_);
    room_ = kMaxDigestBytes - EncodedSize(digest_);
  }

 private:
  auto Reserve(std::size_t size) -> bool {
    if (membership_.sync_allowance <= 0) {
      return false;
    }
    if (size > room_) {
      Flush();
    }
    room_ -= size;
    membership_.sync_allowance -= static_cast<double>(size);
    return true;
  }

  Membership& membership_;
  Endpoint to_;
  Actions& out_;
  Digest digest_;
  std::size_t room_ = 0;
};

/// All other balancers that are present.
auto AllPeers(const Membership& membership) -> std::vector<Endpoint> {
  std::vector<Endpoint> peers;
  for (const auto& it : membership.roster) {
    if (it.id != membership.self.id) {
      peers.push_back(it.peer);
    }
  }
  return peers;
}

/// Whom to ask for what is missing.
auto SyncGroup(const Membership& membership) -> std::vector<Endpoint> {
  std::vector<Endpoint> group = AllPeers(membership);
  if (!membership.ready || group.empty()) {
    for (const auto& it : membership.options.seeds) {
      if (it != membership.self.peer) {
        group.push_back(it);
      }
    }
  }
  return group;
}

/// Seeds and balancers that were declared dead: after a partition in which both
/// sides declared each other, nobody else would write to them.
auto AbsentPeers(const Membership& membership) -> std::vector<Endpoint> {
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

auto ProbeAbsent(Membership& membership, Random& random, Actions& out) -> void {
  std::vector<Endpoint> peers;
  AddRandom(AbsentPeers(membership), 1, random, peers);
  for (const auto& it : peers) {
    Digest digest = MakeDigest(membership);
    digest.probe = true;
    digest.balancers.push_back(membership.self);
    Send(membership, it, std::move(digest), out);
  }
}

auto SyncInterval(const Membership& membership) -> Duration {
  if (!membership.ready || membership.behind) {
    return kHurriedSyncInterval;
  }
  return membership.in_step ? membership.options.sync_interval
                            : membership.options.heartbeat_interval;
}

auto Sorted(std::vector<std::uint32_t> values) -> std::vector<std::uint32_t> {
  std::sort(values.begin(), values.end());
  return values;
}

auto Contains(const std::vector<std::uint32_t>& sorted, std::uint32_t value)
    -> bool {
  return std::binary_search(sorted.begin(), sorted.end(), value);
}

/// Lists the checksums of the records in buckets that differ from those of a
/// request, as many buckets as a datagram takes.
auto AddHeld(const Membership& membership,
             const Digest& request,
             const std::vector<std::uint32_t>& sums,
             Digest& answer) -> void {
  std::vector<std::vector<std::uint32_t>> held(kBucketCount);
  ForEachPresent(membership, [&](auto bucket, auto checksum, const auto&) {
    held[bucket].push_back(checksum);
  });
  const auto first = request.first_bucket % kBucketCount;
  const auto count =
      std::min<std::size_t>(request.checksums.size(), kBucketCount);
  std::size_t room = kMaxDigestBytes - EncodedSize(answer) - kListLengthBytes;
  for (std::uint32_t n = 0; n < count; ++n) {
    if (request.checksums[n] == sums[n]) {
      continue;
    }
    const auto bucket = (first + n) % kBucketCount;
    const auto size = 1 + sizeof(std::uint32_t) * held[bucket].size();
    if (size > room) {
      return;
    }
    room -= size;
    answer.buckets.push_back(static_cast<std::uint8_t>(bucket));
    answer.held.insert(answer.held.end(), held[bucket].begin(),
                       held[bucket].end());
  }
}

}  // namespace

auto BucketChecksums(const Membership& membership, std::uint32_t first)
    -> std::vector<std::uint32_t> {
  std::vector<std::uint32_t> sums(kBucketCount, 0);
  ForEachPresent(membership, [&](auto bucket, auto checksum, const auto&) {
    sums[(bucket + kBucketCount - first) % kBucketCount] += checksum;
  });
  return sums;
}

auto RefillSyncAllowance(Membership& membership, Duration elapsed) -> void {
  const double seconds = std::chrono::duration<double>(elapsed).count();
  membership.sync_allowance =
      std::min(kSyncBytesPerSecond,
               membership.sync_allowance + seconds * kSyncBytesPerSecond);
}

auto SendSync(Membership& membership,
              TimePoint now,
              Random& random,
              Actions& out) -> void {
  if (now - membership.last_sync < SyncInterval(membership)) {
    return;
  }
  membership.last_sync = now;
  membership.in_step = false;
  membership.behind = false;
  if (membership.ready) {
    ProbeAbsent(membership, random, out);
  }
  const std::size_t fanout = membership.ready ? 1 : kNewcomerFanout;
  std::vector<Endpoint> peers;
  AddRandom(SyncGroup(membership), fanout, random, peers);
  if (peers.empty()) {
    return;
  }
  // Each peer is asked for another part, so that no record comes twice.
  auto first = static_cast<std::uint32_t>(Draw(random, kBucketCount));
  const auto parts = static_cast<std::uint32_t>(peers.size());
  const auto buckets = std::min(kBucketCount / parts + 1, kBucketCount);
  for (const auto& it : peers) {
    Digest digest = MakeDigest(membership);
    digest.probe = !membership.ready;
    digest.first_bucket = first;
    digest.targets_checksum = TargetsChecksum(membership);
    digest.checksums = BucketChecksums(membership, first);
    digest.checksums.resize(buckets);
    if (!membership.ready) {
      digest.balancers.push_back(membership.self);
    }
    Send(membership, it, std::move(digest), out);
    first = (first + buckets) % kBucketCount;
  }
}

auto AnswerSync(Membership& membership,
                Endpoint to,
                const Digest& request,
                Actions& out) -> void {
  const auto first = request.first_bucket % kBucketCount;
  const auto sums = BucketChecksums(membership, first);
  Digest answer = MakeDigest(membership);
  answer.complete = request.checksums == sums;
  answer.targets_complete =
      request.targets_checksum == TargetsChecksum(membership);
  const bool starved = (!request.probe && membership.budget_bytes <= 0) ||
                       membership.sync_allowance <= 0;
  if (!answer.complete && !starved) {
    AddHeld(membership, request, sums, answer);
    membership.sync_allowance -= static_cast<double>(EncodedSize(answer));
  }
  const bool verdict =
      answer.complete || (request.probe && answer.targets_complete);
  if (verdict || !answer.buckets.empty()) {
    Send(membership, to, std::move(answer), out);
  }
}

auto AnswerHeld(Membership& membership,
                Endpoint to,
                const Digest& offer,
                Actions& out) -> void {
  std::vector<bool> listed(kBucketCount, false);
  for (const auto it : offer.buckets) {
    listed[it % kBucketCount] = true;
  }
  const auto theirs = Sorted(offer.held);
  std::vector<std::uint32_t> own;
  SyncWriter writer(membership, to, out);
  ForEachPresent(membership,
                 [&](auto bucket, auto checksum, const auto& record) {
                   if (!listed[bucket]) {
                     return;
                   }
                   own.push_back(checksum);
                   if (!Contains(theirs, checksum)) {
                     writer.Add(record);
                   }
                 });
  writer.Flush();
  own = Sorted(std::move(own));
  Digest request = MakeDigest(membership);
  std::set_difference(theirs.begin(), theirs.end(), own.begin(), own.end(),
                      std::back_inserter(request.wanted));
  membership.behind =
      membership.behind || request.wanted.size() >= kBehindRecords;
  if (!request.wanted.empty()) {
    Send(membership, to, std::move(request), out);
  }
}

auto AnswerWanted(Membership& membership,
                  Endpoint to,
                  const Digest& request,
                  Actions& out) -> void {
  const auto wanted = Sorted(request.wanted);
  SyncWriter writer(membership, to, out);
  ForEachPresent(membership, [&](auto, auto checksum, const auto& record) {
    if (Contains(wanted, checksum)) {
      writer.Add(record);
    }
  });
  writer.Flush();
}

}  // namespace hawthornbank::detail
