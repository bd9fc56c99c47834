#include <algorithm>
#include <string>
#include <utility>

#include "membership_internal.h"

namespace hawthornbank::detail {
namespace {

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

/// Splits the records of some buckets into digests of allowed size.
class SyncWriter {
 public:
  SyncWriter(Membership& membership, Endpoint to, Actions& out)
      : membership_(membership),
        to_(to),
        out_(out),
        digest_(MakeDigest(membership)),
        room_(kMaxDigestBytes - EncodedSize(digest_)) {}

  auto Add(const TargetRecord& record) -> void {
    Reserve(EncodedSize(record));
    digest_.targets.push_back(record);
  }

  auto Add(const BalancerRecord& record) -> void {
    Reserve(EncodedSize(record));
    digest_.balancers.push_back(record);
  }

  auto Flush() -> void {
    if (!digest_.targets.empty() || !digest_.balancers.empty()) {
      Send(membership_, to_, std::move(digest_), out_);
      ++sent_;
    }
    digest_ = MakeDigest(membership_);
    room_ = kMaxDigestBytes - EncodedSize(digest_);
  }

  [[nodiscard]] auto sent() const -> std::size_t { return sent_; }

 private:
  auto Reserve(std::size_t size) -> void {
    if (size > room_) {
      Flush();
    }
    room_ -= size;
  }

  Membership& membership_;
  Endpoint to_;
  Actions& out_;
  Digest digest_;
  std::size_t room_ = 0;
  std::size_t sent_ = 0;
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

}  // namespace

auto BucketChecksums(const Membership& membership, std::uint32_t first)
    -> std::vector<std::uint32_t> {
  std::vector<std::uint32_t> sums(kBucketCount, 0);
  const auto add = [&](std::uint64_t id, std::uint32_t checksum) {
    sums[(BucketOf(id) + kBucketCount - first) % kBucketCount] += checksum;
  };
  for (const auto& [id, it] : membership.targets) {
    if (IsPresent(it.record.state)) {
      add(ToInteger(id), ChecksumOf(it.record));
    }
  }
  const auto add_balancer = [&](const BalancerRecord& record) {
    const auto content = (ToInteger(record.generation) << 2U) |
                         static_cast<std::uint64_t>(record.state);
    const auto id = ToInteger(record.id);
    add(id, ChecksumOf(~id, record.incarnation, content));
  };
  add_balancer(membership.self);
  for (const auto& [id, it] : membership.balancers) {
    if (IsPresent(it.record.state)) {
      add_balancer(it.record);
    }
  }
  return sums;
}

auto SendSync(Membership& membership,
              TimePoint now,
              Random& random,
              Actions& out) -> void {
  constexpr std::size_t kNewcomerFanout = 3;
  constexpr Duration kNewcomerInterval = std::chrono::milliseconds{200};
  const auto& options = membership.options;
  const auto interval = !membership.ready    ? kNewcomerInterval
                        : membership.in_step ? options.sync_interval
                                             : options.heartbeat_interval;
  if (now - membership.last_sync < interval) {
    return;
  }
  membership.last_sync = now;
  membership.in_step = false;
  std::vector<Endpoint> group = AllPeers(membership);
  if (!membership.ready || group.empty()) {
    for (const auto& it : membership.options.seeds) {
      if (it != membership.self.peer) {
        group.push_back(it);
      }
    }
  }
  std::vector<Endpoint> peers;
  AddRandom(group, membership.ready ? 1 : kNewcomerFanout, random, peers);
  for (const auto& it : peers) {
    Digest digest = MakeDigest(membership);
    digest.probe = !membership.ready;
    digest.first_bucket =
        static_cast<std::uint32_t>(Draw(random, kBucketCount));
    digest.targets_checksum = TargetsChecksum(membership);
    digest.checksums = BucketChecksums(membership, digest.first_bucket);
    if (!membership.ready) {
      digest.balancers.push_back(membership.self);
    }
    Send(membership, it, std::move(digest), out);
  }
}

auto AnswerSync(Membership& membership,
                Endpoint to,
                const Digest& request,
                Actions& out) -> void {
  constexpr std::size_t kMaxAnswerDigests = 16;
  const auto first = request.first_bucket % kBucketCount;
  const auto sums = BucketChecksums(membership, first);
  Digest verdict = MakeDigest(membership);
  verdict.complete = request.checksums == sums;
  verdict.targets_complete =
      request.targets_checksum == TargetsChecksum(membership);
  if (verdict.complete || (request.probe && verdict.targets_complete)) {
    Send(membership, to, verdict, out);
  }
  if (verdict.complete) {
    return;
  }
  // Two that have just started have little to give each other.
  if (request.probe && !membership.ready) {
    Send(membership, to, MakeDigest(membership), out);
    return;
  }
  if (!request.probe && membership.budget_bytes <= 0) {
    return;
  }
  std::vector<std::vector<const TargetRecord*>> targets(kBucketCount);
  std::vector<std::vector<const BalancerRecord*>> balancers(kBucketCount);
  for (const auto& [id, it] : membership.targets) {
    targets[BucketOf(ToInteger(id))].push_back(&it.record);
  }
  for (const auto& [id, it] : membership.balancers) {
    balancers[BucketOf(ToInteger(id))].push_back(&it.record);
  }
  balancers[BucketOf(ToInteger(membership.self.id))].push_back(
      &membership.self);
  SyncWriter writer(membership, to, out);
  for (std::uint32_t n = 0; n < kBucketCount; ++n) {
    if (n < request.checksums.size() && request.checksums[n] == sums[n]) {
      continue;
    }
    const auto bucket = (first + n) % kBucketCount;
    for (const auto* it : balancers[bucket]) {
      writer.Add(*it);
    }
    for (const auto* it : targets[bucket]) {
      writer.Add(*it);
    }
    if (writer.sent() >= kMaxAnswerDigests) {
      break;
    }
  }
  writer.Flush();
}

}  // namespace hawthornbank::detail
