#ifndef HAWTHORNBANK_BENCH_COMMON_REQUEST_FAULTS_H_
#define HAWTHORNBANK_BENCH_COMMON_REQUEST_FAULTS_H_

#include <memory>
#include <vector>

#include "common/request_scenario.h"

/// @file
/// Faults injected into request scenarios (restarts, pauses, grey failures,
/// zone loss, balancer crashes) and measures of the recovery from them.
namespace hawthornbank::bench {

using Targets = std::vector<std::unique_ptr<TargetHost>>;

/// Kills and restarts the targets one after the other, then three at once.
auto PlanRestarts(VirtualNetwork& net, Targets& targets) -> void;

/// Freezes three hosts in turn, each with agent and target, and thaws them.
auto PlanPauses(VirtualNetwork& net, Targets& targets) -> void;

/// Makes one target fail and one stall for a time while their health endpoints
/// report them healthy (grey failure).
auto PlanSickness(VirtualNetwork& net, Targets& targets) -> void;

/// Kills a zone of three targets permanently; callers learn of the loss later.
auto PlanZoneLoss(VirtualNetwork& net, Targets& targets) -> void;

/// Simulates balancer crashes: after each, half of the packets in both
/// directions are lost for one second.
auto PlanBalancerCrashes(VirtualNetwork& net, Targets& targets) -> void;

/// @return Seconds from the loss of three targets in PlanRestarts until 95% of
///   the requests are served again.
auto TimeToGoodput(const RequestResult& result) -> double;

/// @return Requests started at the faulty targets of PlanSickness over those
///   started at as many healthy targets, without the first two seconds.
auto ShareWhileSick(const RequestResult& result) -> double;

/// @return Seconds until a recovered target gets half as many requests as the
///   other targets.
auto TimeToRecover(const RequestResult& result) -> double;

/// @param result Result of the run.
/// @param capacity Requests per second that the remaining targets can serve.
/// @return Seconds from the loss in PlanZoneLoss until 95% of the remaining
///   capacity is used, over three seconds and over the rest of the run.
auto TimeToCapacityLeft(const RequestResult& result, double capacity) -> double;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_REQUEST_FAULTS_H_
