#ifndef HAWTHORNBANK_APPS_HAWTHORNLOAD_LATENCY_H_
#define HAWTHORNBANK_APPS_HAWTHORNLOAD_LATENCY_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <chrono>
#include <cstdint>

namespace hawthornbank::load {

/// Streaming estimator for quantiles of durations (P-square algorithm).
struct LatencyAccumulator {
  using AccumulatorSet = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::max,
                                 boost::accumulators::tag::extended_p_square>>;
  LatencyAccumulator();
  AccumulatorSet accumulators;
};

/// Count, quantiles and maximum of the recorded durations; all 0 when nothing
/// was recorded.
struct LatencySummary {
  std::uint64_t count = 0;
  std::chrono::microseconds median{0};
  std::chrono::microseconds p90{0};
  std::chrono::microseconds p99{0};
  std::chrono::microseconds max{0};
};

/// Records one duration.
/// @param latency Estimator that records the duration.
/// @param value The duration.
auto RecordLatency(LatencyAccumulator& latency, std::chrono::microseconds value)
    -> void;

/// Reads the count, the quantiles and the maximum. With fewer than 17 recorded
/// durations, the estimator has no quantiles yet, and the maximum is returned
/// in place of each quantile.
/// @param latency Estimator with the recorded durations.
/// @return The summary.
auto SummarizeLatency(const LatencyAccumulator& latency) -> LatencySummary;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_LATENCY_H_
