#ifndef HAWTHORNBANK_SOAK_RULES_H_
#define HAWTHORNBANK_SOAK_RULES_H_

#include <chrono>

#include "hawthornbank/types.h"

/// @file
/// Names of the rules and checks that a soak reports, and the rules' bounds.
namespace hawthornbank::soak {

// Rules of the platform.

/// A caller gets a packet that no target wrote so, other than a reset of the
/// load balancer, or an answer that its flow doesn't wait for.
inline constexpr const char* kMixedRule = "MIXED";
/// A target gets a packet that no caller wrote so.
inline constexpr const char* kUnaskedRule = "UNASKED";
/// A target of a service to which the route never led takes a flow.
inline constexpr const char* kRouteRule = "ROUTE";
/// A draining or gone target gets an opening later than kDrainOpeningTime
/// after the acknowledgement.
inline constexpr const char* kDrainRule = "DRAIN";
/// An opening is handled as only an older configuration allows.
inline constexpr const char* kConfigRule = "CONFIG";
/// A target of a zone out of service gets an opening later than
/// kEvacuationTime after the order.
inline constexpr const char* kEvacRule = "EVAC";
/// Less than kMinRecoveredShare is served after the last disturbance.
inline constexpr const char* kRecoverRule = "RECOVER";
/// An open flow is reset by the load balancer, or led to other targets.
inline constexpr const char* kFlowRule = "FLOW";
/// A process ends by itself.
inline constexpr const char* kExitRule = "EXIT";

// Checks of our own, stricter than the rules or about inner state.

inline constexpr const char* kAtMostOnceCheck = "at most once";
inline constexpr const char* kVersionDecreasedCheck = "version decreased";
inline constexpr const char* kNotInForceCheck = "not in force";
inline constexpr const char* kGraceCheck = "grace";
/// Share served in the final phase, which has no faults.
inline constexpr const char* kServedShareCheck = "served share";
/// DRAIN behind a disturbed balancer, which the rule exempts.
inline constexpr const char* kLateOpeningCheck = "late opening";
/// An opening is reset as if its route, which was stored in time, were still
/// missing. CONFIG judges openings that targets take only.
inline constexpr const char* kRefusedCheck = "refused though routed";
/// EXIT during a disturbance of the process, which the rule exempts.
inline constexpr const char* kExitCheck = "exit in a disturbance";

// Bounds, each named as the platform names it.

/// `stable_window_ms`: time after the end of a disturbance in which violations
/// are still excused.
inline constexpr Duration kRecoveryTime = std::chrono::seconds{4};
/// `propagation_ms`: time within which balancers must put in force routes that
/// the store has accepted.
inline constexpr Duration kPropagationTime = std::chrono::seconds{3};
/// `rollback_slack_ms`: time after the first effect of a version from which a
/// process must not handle openings as older versions say.
inline constexpr Duration kRollbackSlack = std::chrono::milliseconds{250};
/// Factor of kRollbackSlack for a disturbed process.
inline constexpr int kSlowedRollbackFactor = 8;
/// `drain_ms`: time after an agent acknowledges a target's drain in which
/// opening packets may still reach the target.
inline constexpr Duration kDrainOpeningTime = std::chrono::seconds{3};
/// `evacuate_ms`: time after the store accepts an order in which opening
/// packets may still reach targets of the zone.
inline constexpr Duration kEvacuationTime = std::chrono::seconds{5};
/// `reorder_ms`: time for which packets of an open flow may reach other
/// targets only.
inline constexpr Duration kReorderTime = std::chrono::seconds{2};
/// Packets of an open flow that may reach other targets for any time, plus 1.
inline constexpr int kMinStrayPackets = 3;
/// `flow_ttl_s`: age from which a flow may be discarded.
inline constexpr Duration kFlowLifetime = std::chrono::seconds{60};
/// `recovery_s`: time after the last disturbance from which requests count for
/// RECOVER. Shorter than the platform's, as the final phase starts earlier.
inline constexpr Duration kRecoverTime = std::chrono::seconds{6};
/// Share of requests below which RECOVER is broken, if it was reached before
/// the last disturbance.
inline constexpr double kMinRecoveredShare = 0.25;
/// Minimum share of served requests in the final phase, which has no faults.
inline constexpr double kMinServedShare = 0.99;
/// Time after the end of a disturbance in which the end of a process isn't
/// EXIT.
inline constexpr Duration kExitSlack = std::chrono::seconds{1};

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_RULES_H_
