#ifndef HAWTHORNBANK_SRC_TRANSPORT_LATENCY_HISTOGRAM_H_
#define HAWTHORNBANK_SRC_TRANSPORT_LATENCY_HISTOGRAM_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "hawthornbank/types.h"

/// @file
/// Latency histograms in the Prometheus exposition format.
namespace hawthornbank::transport {

/// Upper bounds of the buckets, in microseconds. Most bounds are twice the
/// previous bound. The bounds range from the latency within a zone to the
/// longest deadline of a call.
inline constexpr std::array<std::int64_t, 12> kLatencyBucketBoundsUs = {
    500,    1'000,  2'000,   4'000,   8'000,     16'000,
    32'000, 64'000, 128'000, 256'000, 1'000'000, 4'000'000};

/// Histogram of one kind of latency.
class LatencyHistogram {
 public:
  /// Adds a latency to the histogram.
  /// @param latency The measured latency.
  auto AddSample(Duration latency) -> void;

  /// Formats the histogram as metrics.
  /// @param name Name of the metric, without its unit.
  /// @return Lines of the buckets, sum, count and maximum, in seconds.
  [[nodiscard]] auto FormatMetricLines(std::string_view name) const
      -> std::string;

 private:
  using Sum = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::max>>;

  std::array<std::uint64_t, kLatencyBucketBoundsUs.size()> buckets_{};
  Sum seconds_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_LATENCY_HISTOGRAM_H_
