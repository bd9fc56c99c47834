#ifndef HAWTHORNBANK_BENCH_COMMON_REQUEST_FAULTS_H_
#define HAWTHORNBANK_BENCH_COMMON_REQUEST_FAULTS_H_

#include <memory>
#include <vector>

#include "common/request_scenario.h"

/// @file
/// Faults injected into request scenarios (restarts, pauses, grey failures,
/// zone loss, balancer crashes) and functions that measure the recovery.
namespace hawthornbank::bench {

using Targets = std::vector<std::unique_ptr<TargetHost>>;

/// Schedules kills and restarts of all targets, one after the other, and then
/// of three targets at once.
auto ScheduleTargetRestarts(VirtualNetwork& net, Targets& targets) -> void;

/// Schedules pauses of three hosts in turn; each host runs an agent and a
/// target.
auto ScheduleHostPauses(VirtualNetwork& net, Targets& targets) -> void;

/// Schedules grey failures: for eight seconds, one target answers only errors
/// and another never answers, while the health endpoints report both as
/// healthy.
auto ScheduleGreyFailures(VirtualNetwork& net, Targets& targets) -> void;

/// Schedules the permanent loss of a zone of three targets. Callers stop using
/// these targets two seconds later.
auto ScheduleZoneLoss(VirtualNetwork& net, Targets& targets) -> void;

/// Schedules balancer crashes: after each crash, half of the packets in both
/// directions are lost for one second.
auto ScheduleBalancerCrashes(VirtualNetwork& net, Targets& targets) -> void;

/// @return Seconds from the loss of three targets in ScheduleTargetRestarts
///   until 95% of the requests are served again.
auto ComputeTimeToRestoreGoodput(const RequestResult& result) -> double;

/// @return Mean number of requests started at a faulty target of
///   ScheduleGreyFailures over the mean number at a healthy target, without the
///   first two seconds of the faults.
auto ComputeFaultyTargetShareDuringGreyFailure(const RequestResult& result)
    -> double;

/// @return Seconds from the end of the faults of ScheduleGreyFailures until a
///   recovered target gets at least half as many requests as other targets.
auto ComputeTimeToRecoverFromGreyFailure(const RequestResult& result) -> double;

/// @param result Result of the run.
/// @param capacity Requests per second that the remaining targets can serve.
/// @return Seconds from the loss in ScheduleZoneLoss until 95% of the remaining
///   capacity is used, both in the next three seconds and in the rest of the
///   run.
auto ComputeTimeToUseRemainingCapacity(const RequestResult& result,
                                       double capacity) -> double;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_REQUEST_FAULTS_H_
