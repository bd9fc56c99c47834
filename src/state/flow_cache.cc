#include "hawthornbank/flow_cache.h"

#include <algorithm>
#include <bit>

namespace hawthornbank {
namespace {

// 32-bit counts of ticks of 2^20 ns (1.05 ms) wrap around after 52 days; ages
// are computed modulo 2^32.
constexpr Duration kTick{1 << 20};

auto ConvertToTicks(TimePoint now) -> std::uint32_t {
  return static_cast<std::uint32_t>(now.time_since_epoch().count() /
                                    kTick.count());
}

}  // namespace

FlowCache::FlowCache(std::size_t capacity)
    : set_mask_(std::bit_ceil(
                    std::max((capacity + kEntriesPerSet - 1) / kEntriesPerSet,
                             kStripeCount)) -
                1),
      entries_((set_mask_ + 1) * kEntriesPerSet) {}

auto FlowCache::EntryMatchesFlow(const Entry& entry, const FlowKey& key)
    -> bool {
  return entry.owner_port != 0 && entry.caller_address == key.caller.address &&
         entry.caller_port == key.caller.port &&
         entry.service == ToInteger(key.service) &&
         entry.transport == static_cast<std::uint32_t>(key.transport);
}

auto FlowCache::ComputeSetIndex(const FlowKey& key) const -> std::size_t {
  return HashFlow(key) & set_mask_;
}

auto FlowCache::FindOwner(const FlowKey& key, TimePoint now)
    -> std::optional<CachedOwner> {
  const std::size_t set = ComputeSetIndex(key);
  const std::lock_guard lock(stripes_[set % kStripeCount].mutex);
  Entry* const first = &entries_[set * kEntriesPerSet];
  for (Entry* it = first; it != first + kEntriesPerSet; ++it) {
    if (EntryMatchesFlow(*it, key)) {
      const std::uint32_t ticks = ConvertToTicks(now);
      const std::uint32_t age = ticks - it->last_used;
      it->last_used = ticks;
      return CachedOwner{
          .agent = {.address = it->owner_address, .port = it->owner_port},
          .inserted = now - kTick * (ticks - it->inserted),
          .last_used = now - kTick * age,
      };
    }
  }
  return std::nullopt;
}

auto FlowCache::InsertOrReplaceOwner(const FlowKey& key,
                                     Endpoint owner,
                                     TimePoint now) -> bool {
  const std::size_t set = ComputeSetIndex(key);
  Stripe& stripe = stripes_[set % kStripeCount];
  const std::lock_guard lock(stripe.mutex);
  Entry* const first = &entries_[set * kEntriesPerSet];
  const std::uint32_t ticks = ConvertToTicks(now);
  Entry* place = nullptr;
  for (Entry* it = first; it != first + kEntriesPerSet; ++it) {
    if (EntryMatchesFlow(*it, key)) {
      place = it;
      break;
    }
    const bool is_free = it->owner_port == 0;
    const bool is_older =
        place == nullptr || (place->owner_port != 0 &&
                             ticks - it->last_used > ticks - place->last_used);
    if ((is_free && (place == nullptr || place->owner_port != 0)) ||
        (!is_free && is_older)) {
      place = it;
    }
  }
  const bool evicted = place->owner_port != 0 && !EntryMatchesFlow(*place, key);
  stripe.used_entries += place->owner_port == 0 ? 1 : 0;
  const std::uint32_t inserted =
      EntryMatchesFlow(*place, key) ? place->inserted : ticks;
  *place = Entry{
      .service = ToInteger(key.service),
      .caller_address = key.caller.address,
      .owner_address = owner.address,
      .caller_port = key.caller.port,
      .owner_port = owner.port,
      .last_used = ticks,
      .inserted = inserted,
      .transport = static_cast<std::uint32_t>(key.transport),
  };
  return evicted;
}

auto FlowCache::EraseCachedOwner(const FlowKey& key) -> void {
  const std::size_t set = ComputeSetIndex(key);
  Stripe& stripe = stripes_[set % kStripeCount];
  const std::lock_guard lock(stripe.mutex);
  Entry* const first = &entries_[set * kEntriesPerSet];
  for (Entry* it = first; it != first + kEntriesPerSet; ++it) {
    if (EntryMatchesFlow(*it, key)) {
      *it = Entry{};
      --stripe.used_entries;
      return;
    }
  }
}

auto FlowCache::CountEntries() const -> std::size_t {
  std::size_t size = 0;
  for (const auto& stripe : stripes_) {
    const std::lock_guard lock(stripe.mutex);
    size += stripe.used_entries;
  }
  return size;
}

auto FlowCache::GetCapacity() const -> std::size_t {
  return entries_.size();
}

}  // namespace hawthornbank
