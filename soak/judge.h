#ifndef HAWTHORNBANK_SOAK_JUDGE_H_
#define HAWTHORNBANK_SOAK_JUDGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hawthornbank/flow_key.h"
#include "hawthornbank/types.h"

/// @file
/// Checks invariants on what callers and targets observe during a soak and on
/// process exits. The only internal state of the load balancer that the checks
/// use is the routes version in the metrics of the balancers.
namespace hawthornbank::soak {

/// Invariant that a request runs only at a service to which its route led.
inline constexpr const char* kRouteInvariant = "ROUTE";

/// Time after the end of a disturbance in which violations are still excused.
inline constexpr Duration kRecoveryTime = std::chrono::seconds{4};
/// Time within which balancers must put in force routes that the store has
/// accepted.
inline constexpr Duration kPropagationTime = std::chrono::seconds{3};
/// Time after an agent acknowledges a target's drain in which opening packets
/// may still reach the target.
inline constexpr Duration kDrainOpeningTime = std::chrono::seconds{3};
/// Minimum share of served requests in the final phase, which has no faults.
inline constexpr double kMinServedShare = 0.99;

/// A violated invariant.
struct Violation {
  std::string invariant;
  std::string detail;
  TimePoint at{};
  std::optional<FlowKey> flow{};       ///< If the invariant is about one flow.
  std::uint32_t opening_sequence = 0;  ///< Of the flow's opening packet.
};

/// End times of the last disturbances of a process or of the store.
struct Disturbance {
  /// End of the last disturbance, such as a kill, freeze or cut, that was not a
  /// planned stop or a restart.
  TimePoint unplanned{};
  TimePoint any{};  ///< End of the last disturbance of any kind.
};

/// A request of a caller. Retransmissions belong to the same request.
struct RequestRecord {
  Endpoint route;          ///< Called address.
  std::uint16_t port = 0;  ///< Port of the caller.
  std::uint32_t opening_sequence = 0;
  /// Whether an earlier flow to the same route used the port.
  bool is_port_reused = false;
  int execution_count = 0;
};

/// A reset that a caller received on an open flow.
struct ResetRecord {
  std::uint16_t port = 0;  ///< Port of the caller.
  /// Whether a live and responsive target has the flow open.
  bool target_holds_flow = false;
  std::string agent;  ///< Agent of the target that holds the flow, or empty.
  /// Subject name of the target that holds the flow, or empty.
  std::string target;
  /// Whether the flow is too old, was idle too long or lost its route.
  bool is_exempt = false;
  /// Balancers that the caller used for the flow in the 2 s before the reset.
  std::vector<std::string> recent_balancers;
};

/// State of all checks, and the violations found.
struct InvariantChecker {
  TimePoint started{};
  std::map<std::string, Disturbance> disturbances;
  std::map<std::uint64_t, RequestRecord> requests;
  /// Services to which each route led in any configuration.
  std::map<std::string, std::set<std::string>> services_by_route;
  /// Configuration version last reported by each process, by process name.
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
/// @param subject Name of a process, the same for all starts, or "store".
/// @param planned Whether the disturbance is a planned stop or a restart.
/// @param until End of the disturbance, which may lie in the future.
auto RecordDisturbance(InvariantChecker& checker,
                       const std::string& subject,
                       bool planned,
                       TimePoint until) -> void;

/// @param planned_counts Whether planned stops and restarts count as
/// disturbances.
/// @param now Current time.
/// @return Whether the last disturbance of a subject ended at least
/// kRecoveryTime ago, or the subject was never disturbed.
auto HasSubjectRecovered(const InvariantChecker& checker,
                         const std::string& subject,
                         bool planned_counts,
                         TimePoint now) -> bool;

/// Records a route of a configuration that the store accepted.
/// @param route Address that callers open flows to.
auto OnRouteStored(InvariantChecker& checker,
                   Endpoint route,
                   const std::string& service) -> void;

/// Records a request that a caller sends for the first time.
auto OnRequestSent(InvariantChecker& checker,
                   std::uint64_t request,
                   const RequestRecord& record) -> void;

/// Checks that the request that a target executes was sent by a caller, that
/// the request's route led to the target's service in some configuration, and
/// that the request is executed for the first time.
/// @param service Service of the target.
/// @param target Name of the target in violations.
auto OnRequestExecuted(InvariantChecker& checker,
                       std::uint64_t request,
                       const std::string& service,
                       const std::string& target,
                       TimePoint now) -> void;

/// @return Number of violations of an invariant.
auto CountViolations(const InvariantChecker& checker,
                     const std::string& invariant) -> std::size_t;

/// Checks that a caller receives the answer to the request that the caller's
/// flow waits for.
/// @param asked Number of the request that waits for an answer on the flow.
/// @param answered Number of the request that the received answer belongs to.
auto OnAnswerReceived(InvariantChecker& checker,
                      std::uint64_t asked,
                      std::uint64_t answered,
                      TimePoint now) -> void;

/// Checks a reset that the load balancer, not a target, sent to a caller. The
/// reset is excused when no target holds the flow, when the flow is exempt, or
/// within kRecoveryTime after an unplanned disturbance of the agent, of the
/// target or of a balancer in the record.
auto OnFlowReset(InvariantChecker& checker,
                 const ResetRecord& reset,
                 TimePoint now) -> void;

/// Checks that an opening packet reaches a draining target at most
/// kDrainOpeningTime after the acknowledgement of the drain, unless the agent
/// was disturbed in the last kRecoveryTime.
/// @param agent Subject name of the target's agent.
/// @param since Time at which an agent acknowledged the drain of the target.
/// @param now Current time.
auto OnOpeningAtDrainingTarget(InvariantChecker& checker,
                               const std::string& agent,
                               TimePoint since,
                               TimePoint now) -> void;

/// Checks that the routes version that a process has in force doesn't
/// decrease. Unless the process or the store was disturbed in the last
/// kRecoveryTime, also checks that the process has in force every version that
/// the store accepted more than kPropagationTime ago.
/// @param process Name of the process, different for each start.
/// @param subject Name of the process, the same for all starts.
auto OnRoutesVersionReported(InvariantChecker& checker,
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

/// Checks that the final phase had requests and that at least kMinServedShare
/// of these requests were served.
auto CheckServedShareOfFinalPhase(InvariantChecker& checker, TimePoint now)
    -> void;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_JUDGE_H_
