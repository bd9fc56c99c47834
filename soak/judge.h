#ifndef HAWTHORNBANK_SOAK_JUDGE_H_
#define HAWTHORNBANK_SOAK_JUDGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "hawthornbank/flow_key.h"
#include "hawthornbank/types.h"
#include "soak/rules.h"

/// @file
/// Checks the rules of soak/rules.h on what callers, targets and the operator
/// observe during a soak and on process exits. The only internal state of the
/// load balancer that the checks use is the routes version in the metrics of
/// the balancers.
namespace hawthornbank::soak {

/// A violated rule or check.
struct Violation {
  std::string invariant;  ///< Name in soak/rules.h.
  std::string detail;
  TimePoint at{};
  std::optional<FlowKey> flow{};       ///< If the violation is about one flow.
  std::uint32_t opening_sequence = 0;  ///< Of the flow's opening packet.
};

/// End times of the last disturbances of a process or of the store.
struct Disturbance {
  /// End of the last disturbance, such as a kill, freeze or cut, that was not a
  /// planned stop or a restart.
  TimePoint unplanned{};
  TimePoint any{};  ///< End of the last disturbance of any kind.
};

/// A flow. Flows that use a caller's port and a route one after the other
/// differ in the sequence number of the opening packet.
struct FlowId {
  FlowKey key;
  std::uint32_t opening_sequence = 0;

  auto operator==(const FlowId&) const -> bool = default;
};

/// Hashes a flow for unordered containers.
struct FlowIdHash {
  auto operator()(const FlowId& flow) const noexcept -> std::size_t {
    return HashFlow(flow.key) ^ flow.opening_sequence;
  }
};

/// A request of a caller. Retransmissions belong to the same request.
struct RequestRecord {
  FlowId flow;
  /// Whether an earlier flow to the same route used the port.
  bool is_port_reused = false;
  int execution_count = 0;
};

/// A start of a process.
struct ProcessStart {
  std::string subject;  ///< Name of the process, the same for all starts.
  int number = 0;
};

/// An opening packet that a caller sent.
struct SentOpening {
  ProcessStart balancer;  ///< Balancer that the router chose.
  TimePoint at{};
};

/// An opening packet at a target.
struct TakenOpening {
  FlowId flow;
  std::uint32_t copy = 0;  ///< Number of earlier copies of the packet.
  std::string service;     ///< Service of the target.
  std::string zone;        ///< Zone of the target.
  std::string agent;       ///< Subject name of the target's agent.
  std::string target;      ///< Name of the target in violations.
  /// Time at which an agent acknowledged that the target drains or is gone;
  /// zero if it doesn't.
  TimePoint leaving_since{};
  bool is_gone = false;   ///< Whether the target has ended.
  bool is_known = false;  ///< Whether the target has the flow already.
};

/// Routes of a configuration that the store accepted.
struct StoredRoutes {
  std::uint64_t version = 0;
  TimePoint at{};
  std::map<std::string, std::string> services;  ///< Service by route.
};

/// First effect of a version that was seen through a start of a process.
struct SeenVersion {
  std::uint64_t version = 0;
  TimePoint at{};
};

/// A reset that a caller received on an open flow.
struct ResetRecord {
  FlowId flow;
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

/// A packet of an open flow, not an opening, at a target.
struct FlowPacketRecord {
  FlowId flow;
  bool is_at_holder = false;  ///< Whether the target holds the flow.
  /// Agent of the live target that holds the flow; empty if there is none or
  /// if it was unresponsive in the last kRecoveryTime.
  std::string holder_agent;
  std::string holder_target;                  ///< Subject name of the target.
  bool is_exempt = false;                     ///< As in ResetRecord.
  std::vector<std::string> recent_balancers;  ///< As in ResetRecord.
};

/// Packets of a flow at other targets since the last one at its own.
struct StrayPackets {
  TimePoint first{};
  int count = 0;
};

/// A reset that the load balancer sent instead of opening a flow.
struct RefusalRecord {
  FlowId flow;
  /// Balancers that the caller used for the opening.
  std::vector<std::string> balancers;
  TimePoint sent{};  ///< Time of the opening packet.
  /// Agents of the ready targets of FindServicesInForce(); none if one of these
  /// services has no ready target whose agent is in touch.
  std::vector<std::string> ready_agents;
};

/// State of all checks, and the violations found.
struct InvariantChecker {
  TimePoint started{};
  std::map<std::string, Disturbance> disturbances;
  std::map<std::uint64_t, RequestRecord> requests;
  /// Openings that callers sent, by flow and number of earlier copies.
  std::unordered_map<FlowId, std::map<std::uint32_t, SentOpening>, FlowIdHash>
      openings;
  /// Services to which each route led in any configuration.
  std::map<std::string, std::set<std::string>> services_by_route;
  std::vector<StoredRoutes> stored_routes;  ///< In order of acceptance.
  /// Versions seen through each start of a balancer, ascending.
  std::map<std::string, std::vector<SeenVersion>> seen_versions;
  /// Times at which the store accepted the orders in force, by zone.
  std::map<std::string, TimePoint> zones_out;
  std::unordered_map<FlowId, StrayPackets, FlowIdHash> stray_packets;
  /// Flows for which ROUTE is already reported.
  std::unordered_set<FlowId, FlowIdHash> misrouted;
  /// Configuration version last reported by each process, by process name.
  std::map<std::string, std::uint64_t> last_versions;
  /// Time at which the store accepted each configuration version.
  std::map<std::uint64_t, TimePoint> accepted_at;
  std::vector<Violation> violations;
  std::uint64_t served = 0;
  std::uint64_t failed = 0;
  /// `served` and `failed` when the last disturbance began.
  std::uint64_t served_before_fault = 0;
  std::uint64_t failed_before_fault = 0;
  TimePoint final_phase_start{};
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

/// @return Whether the store was stable for the last kRecoveryTime.
auto HasStoreRecovered(const InvariantChecker& checker, TimePoint now) -> bool;

/// Records a route of a configuration that the store accepted.
/// @param route Address that callers open flows to.
auto OnRouteStored(InvariantChecker& checker,
                   Endpoint route,
                   const std::string& service) -> void;

/// Records the whole configuration that the store accepted.
/// @param routes Service by route address; routes that aren't named have none.
auto OnRoutesStored(InvariantChecker& checker,
                    std::uint64_t version,
                    const std::vector<std::pair<Endpoint, std::string>>& routes,
                    TimePoint now) -> void;

/// Records that the store accepted an order that takes a zone out of service.
auto OnZoneOut(InvariantChecker& checker,
               const std::string& zone,
               TimePoint now) -> void;

/// Records that the operator takes an order back.
auto OnZoneReturned(InvariantChecker& checker, const std::string& zone) -> void;

/// Records an opening packet that a caller sends. The time is that at which the
/// caller sends it, even if the packet reaches the balancer later.
/// @param copy Number of earlier copies of the packet.
auto OnOpeningSent(InvariantChecker& checker,
                   const FlowId& flow,
                   std::uint32_t copy,
                   const SentOpening& opening) -> void;

/// Checks an opening packet at a target: UNASKED if no caller sent it, ROUTE,
/// CONFIG, DRAIN and EVAC. DRAIN, CONFIG and EVAC hold if the agent and the
/// balancer that took the packet weren't disturbed in the last kRecoveryTime;
/// CONFIG and EVAC also require that the store wasn't. A target that has ended
/// is only checked for DRAIN. A copy of an opening that the target has taken
/// before starts no flow and is only checked for UNASKED.
auto OnOpeningTaken(InvariantChecker& checker,
                    const TakenOpening& opening,
                    TimePoint now) -> void;

/// Reports UNASKED for a packet at a target that isn't as its sender wrote it.
auto OnForgedPacketAtTarget(InvariantChecker& checker,
                            const FlowId& flow,
                            const std::string& detail,
                            TimePoint now) -> void;

/// Reports MIXED for a packet at a caller that isn't as its sender wrote it.
auto OnForgedPacketAtCaller(InvariantChecker& checker,
                            const FlowId& flow,
                            const std::string& detail,
                            TimePoint now) -> void;

/// Records a request that a caller sends for the first time.
auto OnRequestSent(InvariantChecker& checker,
                   std::uint64_t request,
                   const RequestRecord& record) -> void;

/// Checks that the request that a target executes was sent by a caller
/// (UNASKED), that the request's route led to the target's service in some
/// configuration (ROUTE), and that the request is executed for the first time.
/// @param flow Flow on which the target got the request.
/// @param service Service of the target.
/// @param target Name of the target in violations.
auto OnRequestExecuted(InvariantChecker& checker,
                       const FlowId& flow,
                       std::uint64_t request,
                       const std::string& service,
                       const std::string& target,
                       TimePoint now) -> void;

/// @return Number of violations of a rule or check.
auto CountViolations(const InvariantChecker& checker,
                     const std::string& invariant) -> std::size_t;

/// @return Names of the violated rules and checks.
auto GetViolatedInvariants(const InvariantChecker& checker)
    -> std::set<std::string>;

/// Checks that a caller receives the answer to the request that the caller's
/// flow waits for (MIXED). Repeated answers to earlier requests of the caller's
/// port and route are allowed.
/// @param asked Number of the request that waits for an answer on the flow; 0:
/// none waits.
/// @param answered Number of the request that the received answer belongs to.
auto OnAnswerReceived(InvariantChecker& checker,
                      const FlowId& flow,
                      std::uint64_t asked,
                      std::uint64_t answered,
                      TimePoint now) -> void;

/// Checks a reset that the load balancer, not a target, sent to a caller
/// (FLOW). The reset is excused when no target holds the flow, when the flow is
/// exempt, or within kRecoveryTime after an unplanned disturbance of the agent,
/// of the target or of a balancer in the record. Planned stops don't excuse it.
auto OnFlowReset(InvariantChecker& checker,
                 const ResetRecord& reset,
                 TimePoint now) -> void;

/// @return Services to which the configurations lead a route that a balancer
/// may have in force for an opening sent at `sent`: the newest one accepted
/// more than kPropagationTime before, and all later ones.
auto FindServicesInForce(const InvariantChecker& checker,
                         Endpoint route,
                         TimePoint sent) -> std::set<std::string>;

/// Checks that the load balancer doesn't reset an opening to a route as only a
/// configuration without the route allows. The cause of a reset can't be seen,
/// so the reset is excused unless an older configuration has no route and the
/// store, the balancers and the agent of a ready target weren't disturbed in
/// the last kRecoveryTime.
auto OnOpeningReset(InvariantChecker& checker,
                    const RefusalRecord& refusal,
                    TimePoint now) -> void;

/// Checks that packets of an open flow don't reach other targets only (FLOW):
/// kMinStrayPackets or more in kReorderTime. Excused as in OnFlowReset().
auto OnFlowPacketAtTarget(InvariantChecker& checker,
                          const FlowPacketRecord& packet,
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

/// Checks that the exit of a process was expected (EXIT).
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

/// Notes that a fault or other event begins, for RECOVER.
auto OnFaultStarted(InvariantChecker& checker) -> void;

/// Notes that the final phase begins.
auto OnFinalPhaseStarted(InvariantChecker& checker, TimePoint now) -> void;

/// Checks RECOVER: if the last disturbance ended at least kRecoverTime before
/// the final phase, that at least kMinRecoveredShare of the requests of the
/// final phase was served, unless less was served before the last fault.
/// Otherwise checks that the final phase had requests and that at least
/// kMinServedShare of them was served.
auto CheckServedShareOfFinalPhase(InvariantChecker& checker, TimePoint now)
    -> void;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_JUDGE_H_
