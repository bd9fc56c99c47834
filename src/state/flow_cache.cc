#include "hawthornbank/flow_cache.h"

#include <algorithm>
#include <bit>

namespace hawthornbank {
namespace {

// Ticks of about a millisecond wrap after 52 days; ages are compared modulo.
constexpr Duration kTick{1 << 20};

auto ToTicks(TimePoint now) -> std::uint32_t {
  return static_cast<std::uint32_t>(now.time_since_epoch().count() /
                                    kTick.count());
}

}  // namespace

FlowCache::FlowCache(std::size_t capacity)
    : set_mask_(
          std::bit_ceil(std::max((capacity + kWays - 1) / kWays, kStripes)) -
          1),
      entries_((set_mask_ + 1) * kWays) {}

auto FlowCache::Matches(const Entry& entry, const FlowKey& key) -> bool {
  return entry.owner_port != 0 && entry.caller_address == key.caller.address &&
         entry.caller_port == key.caller.port &&
         entry.service == ToInteger(key.service) &&
         entry.transport == static_cast<std::uint32_t>(key.transport);
}

auto FlowCache::SetOf(const FlowKey& key) const -> std::size_t {
  return HashFlow(key) & set_mask_;
}

auto FlowCache::Find(const FlowKey& key, TimePoint now)
    -> std::optional<CachedOwner> {
  const std::size_t set = SetOf(key);
  const std::lock_guard lock(stripes_[set % kStripes].mutex);
  Entry* const first = &entries_[set * kWays];
  for (Entry* it = first; it != first + kWays; ++it) {
    if (Matches(*it, key)) {
      const std::uint32_t ticks = ToTicks(now);
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

auto FlowCache::Insert(const FlowKey& key, Endpoint owner, TimePoint now)
    -> bool {
  const std::size_t set = SetOf(key);
  Stripe& stripe = stripes_[set % kStripes];
  const std::lock_guard lock(stripe.mutex);
  Entry* const first = &entries_[set * kWays];
  const std::uint32_t ticks = ToTicks(now);
  Entry* place = nullptr;
  for (Entry* it = first; it != first + kWays; ++it) {
    if (Matches(*it, key)) {
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
  const bool evicted = place->owner_port != 0 && !Matches(*place, key);
  stripe.used += place->owner_port == 0 ? 1 : 0;
  const std::uint32_t inserted = Matches(*place, key) ? place->inserted : ticks;
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

auto FlowCache::Erase(const FlowKey& key) -> void {
  const std::size_t set = SetOf(key);
  Stripe& stripe = stripes_[set % kStripes];
  const std::lock_guard lock(stripe.mutex);
  Entry* const first = &entries_[set * kWays];
  for (Entry* it = first; it != first + kWays; ++it) {
    if (Matches(*it, key)) {
      *it = Entry{};
      --stripe.used;
      return;
    }
  }
}

auto FlowCache::Size() const -> std::size_t {
  std::size_t size = 0;
  for (const auto& stripe : stripes_) {
    const std::lock_guard lock(stripe.mutex);
    size += stripe.used;
  }
  return size;
}

auto FlowCache::Capacity() const -> std::size_t {
  return entries_.size();
}

}  // namespace hawthornbank
