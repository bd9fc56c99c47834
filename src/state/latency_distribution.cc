#include "state/latency_distribution.h"

namespace hawthornbank {
namespace {

auto ConvertSecondsToDuration(double seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>{seconds});
}

}  // namespace

auto RecordLatency(LatencyDistribution& distribution, Duration sample) -> void {
  const double seconds = std::chrono::duration<double>{sample}.count();
  distribution.median(seconds);
  distribution.tail(seconds);
}

auto SummarizeLatency(const LatencyDistribution& distribution)
    -> LatencySummary {
  namespace accumulators = boost::accumulators;
  const auto count = accumulators::count(distribution.median);
  if (count == 0) {
    return {};
  }
  return {
      .count = count,
      .mean = ConvertSecondsToDuration(accumulators::mean(distribution.median)),
      .p50 = ConvertSecondsToDuration(
          accumulators::p_square_quantile(distribution.median)),
      .p99 = ConvertSecondsToDuration(
          accumulators::p_square_quantile(distribution.tail)),
      .max = ConvertSecondsToDuration(accumulators::max(distribution.median)),
  };
}

}  // namespace hawthornbank
