#ifndef HAWTHORNBANK_APPS_HAWTHORNLOAD_LATENCY_H_
#define HAWTHORNBANK_APPS_HAWTHORNLOAD_LATENCY_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <chrono>
#include <cstdint>

namespace hawthornbank::load {

/// Streaming quantiles of a duration.
struct Latency {
  using Set = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::max,
                                 boost::accumulators::tag::extended_p_square>>;
  Latency();
  Set set;
};

/// Figures to print, all zero when nothing was recorded.
struct LatencySummary {
  std::uint64_t count = 0;
  std::chrono::microseconds median{0};
  std::chrono::microseconds p90{0};
  std::chrono::microseconds p99{0};
  std::chrono::microseconds max{0};
};

/// Adds one duration.
/// @param latency Where to add it.
/// @param value The duration.
auto Record(Latency& latency, std::chrono::microseconds value) -> void;

/// Reads the quantiles; of a handful of values, each is given as the largest.
/// @param latency What was recorded.
/// @return The figures.
auto Summarize(const Latency& latency) -> LatencySummary;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_LATENCY_H_
