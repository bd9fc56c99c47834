#ifndef HAWTHORNBANK_PLACEMENT_H_
#define HAWTHORNBANK_PLACEMENT_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/types.h"

/// @file
/// Chooses the target of a new flow and the order in which agents are searched
/// for a flow.
///
/// Load pattern: short requests, each with its own flow, beside long feeds that
/// tie up a share of a target's work; slow start of targets that begin empty
/// and cold; callers that arrive evenly in all availability zones or mostly in
/// one. A new flow goes to the least loaded of the flow's candidates: the
/// targets of the balancer's own zone that rank first for the flow, and, when
/// these are busy, a few of other zones, which get the flow only when their
/// load is lower by PlacementOptions::other_zone_cost. Routers hand all packets
/// of a flow to balancers of one zone, so a balancer that doesn't remember the
/// flow finds the flow's agent after a few queries to the same candidates.
namespace hawthornbank {

/// Weights of the load score that placement minimises.
struct PlacementOptions {
  /// Number of targets whose load is compared: first those of the own zone,
  /// then of other zones.
  std::size_t max_candidates = 4;
  /// Minimum number of candidates in other zones.
  std::size_t min_other_zone_candidates = 2;
  /// Running requests per slot from which a target counts as busy. A flow stays
  /// in the zone while the least loaded candidate of the zone isn't busy: it
  /// wouldn't wait less elsewhere.
  double busy_share = 0.75;
  /// Cost of a hop to another availability zone, in requests per slot.
  double other_zone_cost = 0.25;
  /// Weight of the average of running requests over the last seconds, relative
  /// to the requests that are running now.
  double average_weight = 1.0;
  /// Time constant with which a report of running requests approaches the
  /// average as the report gets older: requests end within some tens of
  /// milliseconds, so an old report says little about the requests that are
  /// running now.
  Duration load_report_lifetime = std::chrono::milliseconds{60};
  /// Time constant with which the reported average itself approaches zero, so
  /// that a target without recent reports gets a flow, whose confirmation
  /// reports the target's load.
  Duration average_lifetime = std::chrono::seconds{3};
  /// Weight of an open flow, in requests.
  double flow_weight = 0.02;
  /// Factor on the load of a cold target, which is slow because the target has
  /// just started.
  double cold_target_factor = 1.6;
  /// Cost of a failing target, in requests per slot. Exceeds the load of any
  /// other target, so that a failing target is chosen only when all others fail
  /// too.
  double failing_cost = 100;
};

/// An agent of a flow's service with its rank for the flow.
struct RankedAgent {
  KnownHost* host = nullptr;
  std::uint64_t rank = 0;  ///< Hash of flow and agent; the highest comes first.
};

/// Ranks a service's agents for a flow by rendezvous hashing.
/// @param fleet The known hosts.
/// @param service The service.
/// @param flow_hash The flow's hash from HashFlow.
/// @param excluded_addresses Addresses of agents to leave out.
/// @return The agents, highest rank first.
auto RankAgentsForFlow(Fleet& fleet,
                       std::uint32_t service,
                       std::uint64_t flow_hash,
                       std::span<const std::uint32_t> excluded_addresses)
    -> std::vector<RankedAgent>;

/// Moves the flow's candidates to the front: the first ranked agents of a zone,
/// then the first ranked agents of other zones. The remaining agents of the
/// zone and then those of other zones follow. Each group keeps its order.
/// @param ranked The service's agents, highest rank first; reordered.
/// @param zone Availability zone of the balancer.
/// @param options Numbers of candidates.
/// @return Number of candidates.
auto MoveCandidatesToFront(std::vector<RankedAgent>& ranked,
                           const std::string& zone,
                           const PlacementOptions& options) -> std::size_t;

/// Tells whether a target accepts new flows, according to its agent's record.
/// @param host The agent's host.
/// @return Whether the target is ready and its agent isn't shutting down.
auto AcceptsNewFlows(const KnownHost& host) -> bool;

/// Computes the load score of a target.
/// @param host The agent's host.
/// @param zone Availability zone of the balancer.
/// @param options Weights of the score.
/// @param now Current time.
/// @return Load in requests per slot; a lower score is better.
auto ComputeLoadScore(const KnownHost& host,
                      const std::string& zone,
                      const PlacementOptions& options,
                      TimePoint now) -> double;

/// Tells whether a new flow may have to wait for a slot of a target.
/// @param host The agent's host.
/// @param options Options of placement.
/// @param now Current time.
/// @return Whether the target is busy or failing.
auto IsTargetBusy(const KnownHost& host,
                  const PlacementOptions& options,
                  TimePoint now) -> bool;

/// Leaves out the cold targets of an opening that a target returned at the
/// limit of its warm-up, if a target that isn't cold takes new flows.
/// @param ranked The service's agents.
/// @param now Current time.
auto PreferWarmTargets(std::vector<RankedAgent>& ranked, TimePoint now) -> void;

/// Chooses the target of a new flow: the least loaded candidate among the
/// targets with live agents, or among all targets if no agent is live. Targets
/// at the limit of their warm-up are left out.
/// @param ranked The service's agents, highest rank first.
/// @param zone Availability zone of the balancer.
/// @param options Weights of the load score.
/// @param now Current time.
/// @return Host of the target's agent, or null when no target accepts new
/// flows.
auto ChooseTargetForFlow(std::span<const RankedAgent> ranked,
                         const std::string& zone,
                         const PlacementOptions& options,
                         TimePoint now) -> KnownHost*;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PLACEMENT_H_
