#include "transport/latency_histogram.h"

#include <fmt/format.h>

#include <iterator>

namespace hawthornbank::transport {

auto LatencyHistogram::AddSample(Duration latency) -> void {
  const auto microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(latency).count();
  for (std::size_t n = 0; n < kLatencyBucketBoundsUs.size(); ++n) {
    if (microseconds <= kLatencyBucketBoundsUs.at(n)) {
      ++buckets_.at(n);
      break;
    }
  }
  seconds_(std::chrono::duration<double>(latency).count());
}

auto LatencyHistogram::FormatMetricLines(std::string_view name) const
    -> std::string {
  constexpr double kSecond = 1e6;
  namespace acc = boost::accumulators;
  std::string text;
  const auto out = std::back_inserter(text);
  std::uint64_t sum = 0;
  for (std::size_t n = 0; n < kLatencyBucketBoundsUs.size(); ++n) {
    sum += buckets_.at(n);
    fmt::format_to(out, "{}_seconds_bucket{{le=\"{}\"}} {}\n", name,
                   static_cast<double>(kLatencyBucketBoundsUs.at(n)) / kSecond,
                   sum);
  }
  fmt::format_to(out, "{}_seconds_bucket{{le=\"+Inf\"}} {}\n", name,
                 acc::count(seconds_));
  fmt::format_to(out, "{}_seconds_sum {:.6f}\n", name, acc::sum(seconds_));
  fmt::format_to(out, "{}_seconds_count {}\n", name, acc::count(seconds_));
  if (acc::count(seconds_) > 0) {
    fmt::format_to(out, "{}_seconds_max {:.6f}\n", name, acc::max(seconds_));
  }
  return text;
}

}  // namespace hawthornbank::transport
