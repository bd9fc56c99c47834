#ifndef HAWTHORNBANK_PLACEMENT_H_
#define HAWTHORNBANK_PLACEMENT_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/types.h"

/// @file
/// Which target a new flow goes to, and where a flow is looked for.
///
/// Load pattern: short requests, each with a flow of its own, beside long
/// feeds that pin their share of a target's work; targets that start empty
/// and slow. A flow goes to the least loaded of the first targets of its own
/// ranking, so that a balancer without memory finds it after a few tries.
namespace hawthornbank {

/// Weights of a placement.
struct PlacementOptions {
  /// Targets of the ranking that are weighed.
  std::size_t choices = 4;
  /// What a hop to another availability zone costs, in requests a slot.
  double other_zone = 0.25;
  /// Weight of the running requests averaged over seconds, beside those now.
  double average_weight = 1.0;
  /// Weight of an open flow, in requests.
  double flow_weight = 0.02;
  /// How much slower a target is that has just started.
  double cold_factor = 1.6;
  /// What a failing target costs, in requests a slot: more than any other is
  /// busy, so that it is chosen when all others fail too.
  double failing = 100;
};

/// A target that a flow may go to.
struct RankedHost {
  KnownHost* host = nullptr;
  std::uint64_t rank = 0;  ///< The flow's own; the highest is asked first.
};

/// Ranks a service's agents for a flow by rendezvous hashing.
/// @param fleet The hosts.
/// @param service The service.
/// @param flow_hash HashFlow of the flow.
/// @param asked Addresses of agents that are left out.
/// @return The agents, best first.
auto RankHosts(Fleet& fleet,
               std::uint32_t service,
               std::uint64_t flow_hash,
               std::span<const std::uint32_t> asked) -> std::vector<RankedHost>;

/// Tells whether a target takes new flows, as far as is known.
/// @param host The host of its agent.
/// @return Whether it is ready and its agent stays.
auto TakesFlows(const KnownHost& host) -> bool;

/// Weighs a target's load.
/// @param host The host of its agent.
/// @param zone Availability zone of the balancer.
/// @param options Weights.
/// @return Requests a slot; the smallest is best.
auto LoadScore(const KnownHost& host,
               const std::string& zone,
               const PlacementOptions& options) -> double;

/// Chooses the target of a new flow.
/// @param ranked The service's agents, best first.
/// @param zone Availability zone of the balancer.
/// @param options Weights.
/// @param now The present instant.
/// @return The host of its agent, or null when no target takes new flows.
auto PlaceFlow(std::span<const RankedHost> ranked,
               const std::string& zone,
               const PlacementOptions& options,
               TimePoint now) -> KnownHost*;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PLACEMENT_H_
