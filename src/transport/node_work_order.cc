#include "transport/node_work_order.h"

#include <fmt/format.h>

#include <chrono>

namespace hawthornbank::transport {
namespace {

auto CountMilliseconds(Duration time) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}  // namespace

auto FormatWorkOrderMetrics(const WorkOrder& order) -> std::string {
  std::string text;
  for (std::size_t n = 0; n < kHandOverReasonCount; ++n) {
    text += fmt::format(
        "hawthornbank_requests_handed_over_total{{reason=\"{}\"}} {}\n",
        ToString(static_cast<HandOverReason>(n)), order.handed_over.at(n));
  }
  // The buckets of a Prometheus histogram are cumulative.
  std::uint64_t waits = 0;
  for (std::size_t n = 0; n < order.waits.size(); ++n) {
    waits += order.waits.at(n);
    text +=
        fmt::format("hawthornbank_request_wait_ms_bucket{{le=\"{}\"}} {}\n",
                    n < kWaitBuckets.size()
                        ? std::to_string(CountMilliseconds(kWaitBuckets.at(n)))
                        : "+Inf",
                    waits);
  }
  text +=
      fmt::format("hawthornbank_requests_waiting {}\n", order.waiting.size());
  text +=
      fmt::format("hawthornbank_requests_dropped_total {}\n", order.dropped);
  text +=
      fmt::format("hawthornbank_requests_refused_total {}\n", order.refused);
  text += fmt::format("hawthornbank_target_capacity {}\n", order.capacity);
  return text;
}

auto FormatHandOver(const WorkOrder& order,
                    HandOverReason reason,
                    Duration waited) -> std::string {
  return fmt::format("reason={} waited_ms={} pending={} waiting={}",
                     ToString(reason), CountMilliseconds(waited),
                     order.pending.size(), order.waiting.size());
}

}  // namespace hawthornbank::transport
