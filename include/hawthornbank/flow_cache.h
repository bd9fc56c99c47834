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
/// Bounded cache of where flows are, kept by each balancer.
///
/// It is only a hint: a lost entry costs a hop, never a flow. When a set is
/// full, its least recently used entry is replaced.
///
/// Lock order: a stripe's mutex is taken last, with no other lock inside it,
/// and never two stripes at once.
namespace hawthornbank {

/// What the cache knows of a flow.
struct CachedOwner {
  Endpoint agent;
  TimePoint inserted{};   ///< To about a millisecond, as the next.
  TimePoint last_used{};  ///< Before this look-up.
};

/// Cache of flow owners, shared by the workers of a balancer.
class FlowCache {
 public:
  /// @param capacity Entries to hold, rounded up to whole sets.
  explicit FlowCache(std::size_t capacity);

  /// Looks up a flow and marks it as used.
  /// @param key The flow.
  /// @param now The present instant.
  /// @return Its owner, if cached.
  auto Find(const FlowKey& key, TimePoint now) -> std::optional<CachedOwner>;

  /// Inserts or replaces an entry.
  /// @param key The flow.
  /// @param owner Its owner's agent.
  /// @param now The present instant.
  /// @return Whether another flow's entry was evicted.
  auto Insert(const FlowKey& key, Endpoint owner, TimePoint now) -> bool;

  /// Removes an entry, if there.
  /// @param key The flow.
  auto Erase(const FlowKey& key) -> void;

  /// @return Entries that are in use.
  [[nodiscard]] auto Size() const -> std::size_t;
  /// @return Entries that fit.
  [[nodiscard]] auto Capacity() const -> std::size_t;
  /// @return Bytes an entry takes.
  static constexpr auto EntryBytes() -> std::size_t { return sizeof(Entry); }

 private:
  struct Entry {
    std::uint32_t service = 0;
    std::uint32_t caller_address = 0;
    std::uint32_t owner_address = 0;
    std::uint16_t caller_port = 0;
    std::uint16_t owner_port = 0;  ///< 0: the entry is free.
    std::uint32_t last_used = 0;   ///< In ticks of 2^20 ns.
    std::uint32_t inserted = 0;
    std::uint32_t transport = 0;
  };
  static_assert(sizeof(Entry) <= 64);

  static constexpr std::size_t kWays = 8;
  static constexpr std::size_t kStripes = 256;

  struct alignas(64) Stripe {
    mutable std::mutex mutex;
    std::size_t used = 0;
  };

  static auto Matches(const Entry& entry, const FlowKey& key) -> bool;
  [[nodiscard]] auto SetOf(const FlowKey& key) const -> std::size_t;

  std::size_t set_mask_;
  std::vector<Entry> entries_;
  std::array<Stripe, kStripes> stripes_;
};

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_FLOW_CACHE_H_
