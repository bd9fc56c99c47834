#ifndef HAWTHORNBANK_COUNTERS_H_
#define HAWTHORNBANK_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

/// @file
/// Counters of the data path: packets and flows that are forwarded, refused,
/// dropped, passed to another agent or ended, and messages about these flows.
namespace hawthornbank {

/// Events of the data path that the daemon counts, with one metric per event.
enum class Counter : std::uint8_t {
  kPacketsForwarded,
  kCacheHits,
  kCacheMisses,
  kCacheEvictions,
  kDropMalformed,
  kDropUnknownService,
  kDropFragment,
  kDropNoTarget,
  kDropIsolated,
  kDropWrongService,
  kDropWalkTooLong,
  kDropUnknownIcmp,
  kResetTargetLost,
  kResetUnknownFlow,
  kResetSilentFlow,
  kRefusedConnections,
  kFlowsAccepted,
  kFlowsPassed,
  kFlowsEnded,
  kPacketsPassed,
  kLookups,
  kHintsSent,
  kHintsWithheld,
  kHintsReceived,
  kPointersSent,
  kPointersReceived,
  kPointersEvicted,
  kProbesSent,
  kCount,
};

/// Number of counters.
inline constexpr auto kCounterCount = static_cast<std::size_t>(Counter::kCount);

/// Names of the counters in metrics, in the order of the enumeration.
inline constexpr std::array<std::string_view, kCounterCount> kCounterNames = {
    "packets_forwarded",   "cache_hits",         "cache_misses",
    "cache_evictions",     "drop_malformed",     "drop_unknown_service",
    "drop_fragment",       "drop_no_target",     "drop_isolated",
    "drop_wrong_service",  "drop_walk_too_long", "drop_unknown_icmp",
    "reset_target_lost",   "reset_unknown_flow", "reset_silent_flow",
    "refused_connections", "flows_accepted",     "flows_passed",
    "flows_ended",         "packets_passed",     "lookups",
    "hints_sent",          "hints_withheld",     "hints_received",
    "pointers_sent",       "pointers_received",  "pointers_evicted",
    "probes_sent",
};
static_assert(!kCounterNames.back().empty());

/// Counters that several workers may increment concurrently.
struct Counters {
  std::array<std::atomic<std::uint64_t>, kCounterCount> values{};
};

/// Increments a counter by one.
/// @param counters The counters.
/// @param counter The counter to increment.
inline auto IncrementCounter(Counters& counters, Counter counter) -> void {
  counters.values[static_cast<std::size_t>(counter)].fetch_add(
      1, std::memory_order_relaxed);
}

/// Reads a counter.
/// @param counters The counters.
/// @param counter The counter to read.
/// @return The counter's current value.
inline auto ReadCounter(const Counters& counters, Counter counter)
    -> std::uint64_t {
  return counters.values[static_cast<std::size_t>(counter)].load(
      std::memory_order_relaxed);
}

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_COUNTERS_H_
