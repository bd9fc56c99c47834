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

/// Schedules kills and restarts of all targets, one after the other, and then
/// of three targets at once.
auto ScheduleTargetRestarts(VirtualNetwork& net, Targets& targets) -> void;

/// Schedules pauses of three hosts in turn; each host runs an agent and a
/// target.
auto ScheduleHostPauses(VirtualNetwork& net, Targets& targets) -> void;

/// Schedules grey failures: for a time, one target fails and another stalls
/// while the health endpoints report both as healthy.
auto ScheduleGreyFailures(VirtualNetwork& net, Targets& targets) -> void;

/// Schedules the permanent loss of a zone of three targets. Callers stop using
/// these targets two seconds later.
auto ScheduleZoneLoss(VirtualNetwork& net, Targets& targets) -> void;

/// Schedules balancer crashes: after each crash, half of the packets in both
/// directions are lost for one second.
auto ScheduleBalancerCrashes(VirtualNetwork& net, Targets& targets) -> void;

/// @return Seconds from the loss of three targets in ScheduleTargetRestarts
/// until 95% of
///   the requests are served again.
auto ComputeTimeToRestoreGoodput(const RequestResult& result) -> double;

/// @return Number of requests started at the faulty targets of
///   ScheduleGreyFailures over the number started at as many healthy targets,
///   without the first two seconds of the fault.
auto ComputeShareDuringGreyFailure(const RequestResult& result) -> double;

/// @return Seconds from the end of the faults of ScheduleGreyFailures until the
///   recovered targets get half as many requests as other targets.
auto ComputeTimeToRecover(const RequestResult& result) -> double;

/// @param result Result of the run.
/// @param capacity Requests per second that the remaining targets can serve.
/// @return Seconds from the loss in ScheduleZoneLoss until 95% of the remaining
///   capacity is used, both in the next three seconds and in the rest of the
///   run.
auto ComputeTimeToUseRemainingCapacity(const RequestResult& result,
                                       double capacity) -> double;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_REQUEST_FAULTS_H_
