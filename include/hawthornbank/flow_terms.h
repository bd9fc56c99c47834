#ifndef HAWTHORNBANK_FLOW_TERMS_H_
#define HAWTHORNBANK_FLOW_TERMS_H_

#include <cstdint>

#include "hawthornbank/routes.h"

/// @file
/// What a balancer tells an agent of a flow's requests, because balancers know
/// the configuration and agents don't.
namespace hawthornbank {

/// Terms of the requests on one flow.
struct FlowTerms {
  std::uint8_t priority = 0;     ///< RequestTerms::priority of the route.
  bool is_repeatable = false;    ///< RequestTerms::is_repeatable of the route.
  std::uint16_t goal_ms = 0;     ///< RequestTerms::goal; 0: unknown.
  std::uint16_t timeout_ms = 0;  ///< RequestTerms::timeout; 0: unknown.
  /// Requests that the target may be sent in any second while it is cold; 0: no
  /// limit.
  std::uint16_t warmup_limit = 0;

  auto operator==(const FlowTerms&) const -> bool = default;
};

/// What a cold target may get beyond
/// ServiceSettings::warmup_requests_per_second.
struct WarmupAllowance {
  double factor = 1;  ///< Multiplies the rate.
  double extra = 0;   ///< Requests added to the product, in any second.
};

/// Describes the terms of a flow.
/// @param routes The routes in force.
/// @param route The flow's route.
/// @param service The service that the flow is sent to.
/// @param allowance What cold targets may get beyond the service's rate.
/// @return The terms.
auto DescribeFlowTerms(const RouteSet& routes,
                       const Route& route,
                       std::uint32_t service,
                       const WarmupAllowance& allowance) -> FlowTerms;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_FLOW_TERMS_H_
