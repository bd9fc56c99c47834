#include "latency.h"

#include <array>

namespace hawthornbank::load {
namespace {

namespace acc = boost::accumulators;

// The estimator refines neighbouring probabilities by each other, so more than
// the printed ones are tracked.
constexpr std::array<double, 7> kProbabilities = {0.1, 0.25, 0.5,  0.75,
                                                  0.9, 0.99, 0.999};
constexpr std::size_t kMedianIndex = 2;
constexpr std::size_t kP90Index = 4;
constexpr std::size_t kP99Index = 5;

// The estimator's markers are still being filled below this count.
constexpr std::size_t kMinSamples = 2 * kProbabilities.size() + 3;

auto Quantile(const Latency& latency, std::size_t index)
    -> std::chrono::microseconds {
  const bool filled = acc::count(latency.set) >= kMinSamples;
  return std::chrono::microseconds(static_cast<std::int64_t>(
      filled ? acc::extended_p_square(latency.set)[index]
             : acc::max(latency.set)));
}

}  // namespace

Latency::Latency()
    : set(acc::extended_p_square_probabilities = kProbabilities) {}

auto Record(Latency& latency, std::chrono::microseconds value) -> void {
  latency.set(static_cast<double>(value.count()));
}

auto Summarize(const Latency& latency) -> LatencySummary {
  const auto count = acc::count(latency.set);
  if (count == 0) {
    return {};
  }
  return {.count = count,
          .median = Quantile(latency, kMedianIndex),
          .p90 = Quantile(latency, kP90Index),
          .p99 = Quantile(latency, kP99Index),
          .max = std::chrono::microseconds(
              static_cast<std::int64_t>(acc::max(latency.set)))};
}

}  // namespace hawthornbank::load
