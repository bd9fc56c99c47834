#ifndef HAWTHORNBANK_STATE_LATENCY_DISTRIBUTION_H_
#define HAWTHORNBANK_STATE_LATENCY_DISTRIBUTION_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "hawthornbank/request_gate.h"
#include "hawthornbank/types.h"

/// @file
/// Distribution of durations in constant memory.
namespace hawthornbank {

/// Running count, mean, maximum, median and 99th percentile, in seconds.
struct LatencyDistribution {
  using Median = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::mean,
                                 boost::accumulators::tag::max,
                                 boost::accumulators::tag::p_square_quantile>>;
  using Tail = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

  Median median{boost::accumulators::quantile_probability = 0.5};
  Tail tail{boost::accumulators::quantile_probability = 0.99};
};

/// Adds one sample to a distribution.
/// @param distribution The distribution.
/// @param sample The measured duration.
auto RecordLatency(LatencyDistribution& distribution, Duration sample) -> void;

/// @param distribution The distribution.
/// @return Summary of the samples; all values are zero without samples.
auto SummarizeLatency(const LatencyDistribution& distribution)
    -> LatencySummary;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_STATE_LATENCY_DISTRIBUTION_H_
