#ifndef HAWTHORNBANK_APPS_HAWTHORNLOAD_LATENCY_H_
#define HAWTHORNBANK_APPS_HAWTHORNLOAD_LATENCY_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <chrono>
#include <cstdint>

namespace hawthornbank::load {

/// Streaming estimates of a duration's quantiles (P-square algorithm).
struct LatencyAccumulator {
  using AccumulatorSet = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::max,
                                 boost::accumulators::tag::extended_p_square>>;
  LatencyAccumulator();
  AccumulatorSet accumulators;
};

/// Quantiles of the recorded durations; all zero when nothing was recorded.
struct LatencySummary {
  std::uint64_t count = 0;
  std::chrono::microseconds median{0};
  std::chrono::microseconds p90{0};
  std::chrono::microseconds p99{0};
  std::chrono::microseconds max{0};
};

/// Records one duration.
/// @param latency The duration is added to it.
/// @param value The duration.
auto RecordLatency(LatencyAccumulator& latency, std::chrono::microseconds value)
    -> void;

/// Reads the quantiles. Below 17 recorded durations, each quantile is reported
/// as the maximum, as the estimator isn't ready yet.
/// @param latency The recorded durations.
/// @return The quantiles.
auto SummarizeLatency(const LatencyAccumulator& latency) -> LatencySummary;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_LATENCY_H_
