#include "hawthornbank/roster_sync.h"

#include <algorithm>
#include <bit>

namespace hawthornbank {
namespace {

constexpr std::size_t kMinRosterBuckets = 16;
constexpr std::size_t kRecordsPerBucket = 8;

auto ComputeBucket(Endpoint control, std::size_t buckets) -> std::size_t {
  const std::uint64_t key =
      (std::uint64_t{control.address} << 16U) | control.port;
  return ((key * 0x9E3779B97F4A7C15ULL) >> 32U) % buckets;
}

auto ComputeBuckets(const Fleet& fleet, std::size_t count)
    -> std::vector<std::uint32_t> {
  std::vector<std::uint32_t> buckets(count);
  const auto add = [&](const HostRecord& record) {
    buckets[ComputeBucket(record.control, count)] +=
        static_cast<std::uint32_t>(ComputeRecordDigest(record) >> 32U);
  };
  add(fleet.self);
  for (const auto& [control, host] : fleet.hosts) {
    add(host.record);
  }
  return buckets;
}

}  // namespace

auto ComputeRosterBuckets(const Fleet& fleet) -> std::vector<std::uint32_t> {
  return ComputeBuckets(
      fleet, std::clamp(std::bit_ceil(fleet.hosts.size() / kRecordsPerBucket),
                        kMinRosterBuckets, kMaxRosterBuckets));
}

auto ListDifferingRecords(const Fleet& fleet,
                          std::span<const std::uint32_t> peer_buckets,
                          TimePoint now) -> std::vector<ForwardedHostRecord> {
  const std::size_t count = peer_buckets.size();
  if (!std::has_single_bit(count) || count > kMaxRosterBuckets) {
    return {};
  }
  const auto own = ComputeBuckets(fleet, count);
  const auto bucket_of = [count](const ForwardedHostRecord& it) {
    return ComputeBucket(it.record.control, count);
  };
  std::vector<ForwardedHostRecord> records{{.record = fleet.self}};
  for (const auto& [control, host] : fleet.hosts) {
    records.push_back(ForwardHostRecord(host, now));
  }
  std::erase_if(records, [&](const ForwardedHostRecord& it) {
    return own[bucket_of(it)] == peer_buckets[bucket_of(it)];
  });
  if (records.size() > kMaxSyncRecords) {
    // Whole groups, so that the next comparison finds other groups.
    std::sort(records.begin(), records.end(),
              [&](const ForwardedHostRecord& a, const ForwardedHostRecord& b) {
                return bucket_of(a) < bucket_of(b);
              });
    records.resize(kMaxSyncRecords);
  }
  return records;
}

auto ForwardHostRecord(const KnownHost& host, TimePoint now)
    -> ForwardedHostRecord {
  return ForwardedHostRecord{
      .record = host.record,
      .age_ms = static_cast<std::uint32_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(
              now - host.last_contact)
              .count())};
}

}  // namespace hawthornbank
