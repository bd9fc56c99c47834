#include "transport/node_warmup_metrics.h"

#include <fmt/format.h>

namespace hawthornbank::transport {

auto FormatWarmupMetrics(const WarmupLimit& warmup, TimePoint now)
    -> std::string {
  const auto limit = ComputeWarmupLimitInForce(warmup, now);
  const double share =
      limit.has_value()
          ? static_cast<double>(CountWarmupRequestsInWindow(warmup, now)) /
                *limit
          : 0;
  return fmt::format(
      "hawthornbank_warmup_limit {:.0f}\nhawthornbank_warmup_limit_use {:.3f}"
      "\n",
      limit.value_or(0), share);
}

}  // namespace hawthornbank::transport
