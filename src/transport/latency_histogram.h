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
/// Histograms of latencies in the usual exposition format.
namespace hawthornbank::transport {

/// Upper bounds of the buckets, in microseconds. They double from the way
/// within a zone to the longest deadline of a call.
inline constexpr std::array<std::int64_t, 12> kLatencyBuckets = {
    500,    1'000,  2'000,   4'000,   8'000,     16'000,
    32'000, 64'000, 128'000, 256'000, 1'000'000, 4'000'000};

/// Latencies of one kind.
class LatencyHistogram {
 public:
  /// Counts a latency.
  /// @param latency What was measured.
  auto Add(Duration latency) -> void;

  /// @param name Name of the metric, without its unit.
  /// @return Its lines: buckets, sum, count and maximum, in seconds.
  [[nodiscard]] auto Lines(std::string_view name) const -> std::string;

 private:
  using Sum = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::max>>;

  std::array<std::uint64_t, kLatencyBuckets.size()> buckets_{};
  Sum seconds_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_LATENCY_HISTOGRAM_H_
