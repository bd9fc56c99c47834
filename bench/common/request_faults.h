#ifndef HAWTHORNBANK_BENCH_COMMON_REQUEST_FAULTS_H_
#define HAWTHORNBANK_BENCH_COMMON_REQUEST_FAULTS_H_

#include <memory>
#include <vector>

#include "common/request_scenario.h"

/// @file
/// Faults of the request scenarios, and how soon their effect is over.
namespace hawthornbank::bench {

using Targets = std::vector<std::unique_ptr<TargetHost>>;

/// Kills targets one after the other, then three at once.
auto PlanRestarts(VirtualNetwork& net, Targets& targets) -> void;

/// Freezes agent and target of a host and lets them go on.
auto PlanPauses(VirtualNetwork& net, Targets& targets) -> void;

/// Makes one target fail and one stall for a time, while their health
/// endpoints say well.
auto PlanSickness(VirtualNetwork& net, Targets& targets) -> void;

/// Loses a zone of three targets for good; callers learn of it later.
auto PlanZoneLoss(VirtualNetwork& net, Targets& targets) -> void;

/// Balancers die: for a second each, half of what they were to forward is lost
/// in either direction.
auto PlanBalancerCrashes(VirtualNetwork& net, Targets& targets) -> void;

/// @return Seconds from the loss of three targets in PlanRestarts until 95% are
///   served again.
auto TimeToGoodput(const RequestResult& result) -> double;

/// @return Starts at the sick targets of PlanSickness, after the first seconds,
///   over those at as many well ones.
auto ShareWhileSick(const RequestResult& result) -> double;

/// @return Seconds until a target that got well gets half of what others get.
auto TimeToRecover(const RequestResult& result) -> double;

/// @param result What was seen.
/// @param capacity Requests a second that the targets left can serve.
/// @return Seconds from the loss of PlanZoneLoss until 95% of the capacity left
///   is used, over three seconds and over the rest of the run.
auto TimeToCapacityLeft(const RequestResult& result, double capacity) -> double;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_REQUEST_FAULTS_H_
