#include "latency.h"

#include <array>

namespace hawthornbank::load {
namespace {

namespace acc = boost::accumulators;

// The estimator improves each quantile with neighbouring quantiles, so more
// probabilities are tracked than are reported.
constexpr std::array<double, 7> kProbabilities = {0.1, 0.25, 0.5,  0.75,
                                                  0.9, 0.99, 0.999};
constexpr std::size_t kMedianIndex = 2;
constexpr std::size_t kP90Index = 4;
constexpr std::size_t kP99Index = 5;

// With fewer durations, some markers of the estimator have no value yet.
constexpr std::size_t kMinSamples = 2 * kProbabilities.size() + 3;

auto ReadQuantile(const LatencyAccumulator& latency, std::size_t index)
    -> std::chrono::microseconds {
  const bool filled = acc::count(latency.accumulators) >= kMinSamples;
  return std::chrono::microseconds(static_cast<std::int64_t>(
      filled ? acc::extended_p_square(latency.accumulators)[index]
             : acc::max(latency.accumulators)));
}

}  // namespace

LatencyAccumulator::LatencyAccumulator()
    : accumulators(acc::extended_p_square_probabilities = kProbabilities) {}

auto RecordLatency(LatencyAccumulator& latency, std::chrono::microseconds value)
    -> void {
  latency.accumulators(static_cast<double>(value.count()));
}

auto SummarizeLatency(const LatencyAccumulator& latency) -> LatencySummary {
  const auto count = acc::count(latency.accumulators);
  if (count == 0) {
    return {};
  }
  return {.count = count,
          .median = ReadQuantile(latency, kMedianIndex),
          .p90 = ReadQuantile(latency, kP90Index),
          .p99 = ReadQuantile(latency, kP99Index),
          .max = std::chrono::microseconds(
              static_cast<std::int64_t>(acc::max(latency.accumulators)))};
}

}  // namespace hawthornbank::load
