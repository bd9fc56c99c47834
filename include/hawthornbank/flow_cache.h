#ifndef HAWTHORNBANK_FLOW_CACHE_H_
#define HAWTHORNBANK_FLOW_CACHE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <vector>

#include "hawthornbank/flow_key.h"
#include "hawthornbank/types.h"

/// @file
/// Bounded set-associative cache of flow owners; each balancer has one.
///
/// An entry is only a hint: losing an entry costs an extra hop, never the flow.
/// When a set is full, its least recently used entry is replaced.
///
/// Lock order: a stripe's mutex is acquired last. No other lock, including the
/// mutex of another stripe, is acquired while a stripe's mutex is held.
namespace hawthornbank {

/// Cached owner of a flow.
struct CachedOwner {
  Endpoint agent;
  /// When the flow was cached, rounded to 2^20 ns (1.05 ms).
  TimePoint inserted{};
  /// Last use before this lookup, rounded to 2^20 ns (1.05 ms).
  TimePoint last_used{};
};

/// Cache of flow owners, shared by the workers of a balancer.
class FlowCache {
 public:
  /// @param capacity Minimum number of entries; rounded up to whole sets.
  explicit FlowCache(std::size_t capacity);

  /// Looks up a flow's owner and marks the flow's entry as used now.
  /// @param key The flow.
  /// @param now Current time.
  /// @return The flow's owner; std::nullopt if the flow isn't cached.
  auto FindOwner(const FlowKey& key, TimePoint now)
      -> std::optional<CachedOwner>;

  /// Caches a flow's owner, or replaces the owner that is cached for the flow.
  /// @param key The flow.
  /// @param owner Agent of the flow's owner.
  /// @param now Current time.
  /// @return Whether another flow's entry was evicted.
  auto InsertOrReplaceOwner(const FlowKey& key, Endpoint owner, TimePoint now)
      -> bool;

  /// Removes the flow's entry; does nothing if the flow isn't cached.
  /// @param key The flow.
  auto EraseCachedOwner(const FlowKey& key) -> void;

  /// @return Number of entries in use.
  [[nodiscard]] auto CountEntries() const -> std::size_t;
  /// @return Maximum number of entries.
  [[nodiscard]] auto GetCapacity() const -> std::size_t;
  /// @return Size of an entry in bytes.
  static constexpr auto GetEntryBytes() -> std::size_t { return sizeof(Entry); }

 private:
  struct Entry {
    std::uint32_t service = 0;
    std::uint32_t caller_address = 0;
    std::uint32_t owner_address = 0;
    std::uint16_t caller_port = 0;
    std::uint16_t owner_port = 0;  ///< 0 if the entry is free.
    std::uint32_t last_used = 0;   ///< In ticks of 2^20 ns.
    std::uint32_t inserted = 0;
    std::uint32_t transport = 0;
  };
  static_assert(sizeof(Entry) <= 64);

  static constexpr std::size_t kEntriesPerSet = 8;
  static constexpr std::size_t kStripeCount = 256;

  struct alignas(64) Stripe {
    mutable std::mutex mutex;
    std::size_t used_entries = 0;
  };

  static auto EntryMatchesFlow(const Entry& entry, const FlowKey& key) -> bool;
  [[nodiscard]] auto ComputeSetIndex(const FlowKey& key) const -> std::size_t;

  std::size_t set_mask_;
  std::vector<Entry> entries_;
  std::array<Stripe, kStripeCount> stripes_;
};

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_FLOW_CACHE_H_
