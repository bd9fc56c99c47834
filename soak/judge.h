#ifndef HAWTHORNBANK_SOAK_JUDGE_H_
#define HAWTHORNBANK_SOAK_JUDGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Checks invariants of what callers and targets observe during a soak. The
/// only internal state read is the version of the routes, from the metrics.
namespace hawthornbank::soak {

/// Time after a disturbance until the time bounds apply again.
inline constexpr Duration kRecoveryTime = std::chrono::seconds{4};
/// Time within which a configuration accepted by the store is in force.
inline constexpr Duration kPropagationTime = std::chrono::seconds{3};
/// Time after the acknowledgement of a drain in which opening packets may still
/// reach the target.
inline constexpr Duration kDrainOpeningTime = std::chrono::seconds{3};
/// Minimum share of served requests in the final phase, which has no faults.
inline constexpr double kMinServedShare = 0.99;

/// A violated invariant.
struct Violation {
  std::string invariant;
  std::string detail;
  TimePoint at{};
};

/// Times of the last disturbances of a subject: a process or the store.
struct Disturbance {
  TimePoint unplanned{};  ///< End of the last kill, freeze or cut.
  TimePoint any{};        ///< End of the last disturbance of any kind.
};

/// A request; each attempt of a caller is a request of its own.
struct RequestRecord {
  std::string service;
  int execution_count = 0;
};

/// A reset that a caller received on an open flow.
struct ResetRecord {
  std::uint16_t port = 0;          ///< Port of the caller.
  bool target_holds_flow = false;  ///< Whether a live target has the flow open.
  std::string agent;               ///< Agent of the flow's target.
  /// Balancers that the caller recently sent packets of the flow to.
  std::vector<std::string> recent_balancers;
};

/// State of all checks, and the violations found.
struct InvariantChecker {
  TimePoint started{};
  std::map<std::string, Disturbance> disturbances;
  std::map<std::uint64_t, RequestRecord> requests;
  /// Configuration version last reported by each process.
  std::map<std::string, std::uint64_t> last_versions;
  /// Time at which the store accepted each configuration version.
  std::map<std::uint64_t, TimePoint> accepted_at;
  std::vector<Violation> violations;
  std::uint64_t served = 0;
  std::uint64_t failed = 0;
  std::uint64_t final_served = 0;
  std::uint64_t final_failed = 0;
  std::uint64_t excused_resets = 0;
};

/// Records a disturbance of a subject.
/// @param planned Whether the disturbance is a planned stop.
/// @param until End of the disturbance, which may lie in the future.
auto RecordDisturbance(InvariantChecker& checker,
                       const std::string& subject,
                       bool planned,
                       TimePoint until) -> void;

/// @param planned_counts Whether planned stops count as disturbances.
/// @param now Current time.
/// @return Whether the last disturbance of a subject ended at least
/// kRecoveryTime ago.
auto HasSubjectRecovered(const InvariantChecker& checker,
                         const std::string& subject,
                         bool planned_counts,
                         TimePoint now) -> bool;

/// Records a request that a caller sends for the first time.
auto OnRequestSent(InvariantChecker& checker,
                   std::uint64_t request,
                   const std::string& service) -> void;

/// Checks that an executed request was sent to the target's service and is
/// executed for the first time.
auto OnRequestExecuted(InvariantChecker& checker,
                       std::uint64_t request,
                       const std::string& service,
                       TimePoint now) -> void;

/// Checks an answer to request `answered` on a flow that waits for the answer
/// to request `asked`.
auto OnAnswerReceived(InvariantChecker& checker,
                      std::uint64_t asked,
                      std::uint64_t answered,
                      TimePoint now) -> void;

/// Checks a reset that the load balancer sent, not a target. Resets are excused
/// when no target holds the flow, or after an unplanned disturbance of the
/// agent or of a balancer that the caller recently sent to.
auto OnFlowReset(InvariantChecker& checker,
                 const ResetRecord& reset,
                 TimePoint now) -> void;

/// Checks an opening packet that reaches a draining target.
/// @param since Time at which an agent acknowledged the drain of the target.
/// @param now Current time.
auto OnOpeningAtDrainingTarget(InvariantChecker& checker,
                               const std::string& agent,
                               TimePoint since,
                               TimePoint now) -> void;

/// Checks the configuration version that a process has in force.
/// @param process Name of the process, different for each start.
/// @param subject Name of the process, the same for all starts.
auto OnConfigurationVersionReported(InvariantChecker& checker,
                                    const std::string& process,
                                    const std::string& subject,
                                    std::uint64_t version,
                                    TimePoint now) -> void;

/// Checks that the exit of a process was expected.
/// @param expected Whether the process was stopped or killed by the soak.
/// @param code Exit code, or the negated number of the signal that ended it.
auto OnProcessExited(InvariantChecker& checker,
                     const std::string& process,
                     bool expected,
                     int code,
                     TimePoint now) -> void;

/// Counts a request as served or failed.
/// @param in_final_phase Whether the request was sent in the final phase.
auto OnRequestFinished(InvariantChecker& checker,
                       bool served,
                       bool in_final_phase) -> void;

/// Checks the share of served requests in the final phase.
auto CheckServedShareOfFinalPhase(InvariantChecker& checker, TimePoint now)
    -> void;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_JUDGE_H_
