#include "refusals.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace hawthornbank::hawthornctl {
namespace {

/// Prefixes of the names of counters that count refusals or retries.
constexpr auto kRefusalCounterPrefixes = std::to_array<std::string_view>({
    "configuration_stale_refused",
    "control_forged",
    "control_malformed",
    "drop_",
    "refused_",
    "request_cancelled_",
    "request_challenged",
    "request_refused_",
    "request_retried_",
    "request_retry_refused_",
    "request_unknown_",
    "reset_",
    "undelivered",
});

}  // namespace

auto IsRefusalCounter(const std::string& counter) -> bool {
  return std::any_of(
      kRefusalCounterPrefixes.begin(), kRefusalCounterPrefixes.end(),
      [&counter](std::string_view it) { return counter.starts_with(it); });
}

auto SumRefusalsByReason(const StatusPages& pages) -> RefusalCounts {
  RefusalCounts sum;
  for (const auto& page : pages.pages) {
    for (const auto& [name, count] : page.counters) {
      if (count > 0 && IsRefusalCounter(name)) {
        sum[name] += count;
      }
    }
  }
  return sum;
}

}  // namespace hawthornbank::hawthornctl
