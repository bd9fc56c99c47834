#include "hawthornbank/flow_terms.h"

#include <algorithm>
#include <chrono>

namespace hawthornbank {
namespace {

constexpr double kMaxWarmupLimit = 0xFFFF;

auto CountMilliseconds(Duration time) -> std::uint16_t {
  constexpr std::int64_t kMost = 0xFFFF;
  return static_cast<std::uint16_t>(std::clamp<std::int64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count(), 0,
      kMost));
}

// A service that limits the warm-up lets a cold target have one request at
// least: a target without any stays unproved.
auto ComputeWarmupLimit(const ServiceSettings& service,
                        const WarmupAllowance& allowance) -> std::uint16_t {
  const double limit =
      service.warmup_requests_per_second * allowance.factor + allowance.extra;
  return static_cast<std::uint16_t>(
      std::max(1.0, std::min(limit, kMaxWarmupLimit)));
}

}  // namespace

auto DescribeFlowTerms(const RouteSet& routes,
                       const Route& route,
                       std::uint32_t service,
                       const WarmupAllowance& allowance) -> FlowTerms {
  FlowTerms terms{.priority = route.terms.priority,
                  .is_repeatable = route.terms.is_repeatable,
                  .goal_ms = CountMilliseconds(route.terms.goal),
                  .timeout_ms = CountMilliseconds(route.terms.timeout)};
  const auto settings = routes.services.find(service);
  if (settings != routes.services.end() &&
      settings->second.warmup_requests_per_second > 0) {
    terms.warmup_limit = ComputeWarmupLimit(settings->second, allowance);
  }
  return terms;
}

}  // namespace hawthornbank
