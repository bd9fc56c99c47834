#ifndef HAWTHORNBANK_CANDIDATES_H_
#define HAWTHORNBANK_CANDIDATES_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Weighted rendezvous hashing: ranks the targets of a service for a flow.
///
/// When a target joins or leaves, only the flows that rank this target first
/// get another first target. The order of the other targets stays the same.
namespace hawthornbank {

/// Time after a target's start in which the target is not chosen as home of any
/// flow, unless all targets are that new. During this time, balancers can
/// disagree about which targets are present.
inline constexpr Duration kTargetJoinWindow = std::chrono::seconds{3};

/// A target's identity, weight and start time, used for rendezvous hashing.
struct Candidate {
  TargetId id{};
  Endpoint agent;
  std::uint16_t weight_percent = 100;
  TimePoint joined_at{};  ///< Start of the target's current incarnation.

  auto operator==(const Candidate&) const -> bool = default;
};

/// Computes the rendezvous score of a target for a flow.
/// @param candidate The target; its weight scales its share of flows.
/// @param flow_hash The flow's hash from HashFlow.
/// @return The score; the target with the highest score ranks first.
auto ComputeCandidateScore(const Candidate& candidate, std::uint64_t flow_hash)
    -> double;

/// Finds the highest-ranked target among those that joined by a given time.
/// @param candidates Targets to choose from.
/// @param flow_hash The flow's hash from HashFlow.
/// @param joined_by Targets that joined later are left out.
/// @return The target, or null when every target is left out.
auto FindTopCandidate(std::span<const Candidate> candidates,
                      std::uint64_t flow_hash,
                      TimePoint joined_by = TimePoint::max())
    -> const Candidate*;

/// Finds a flow's home. A target is not chosen within kTargetJoinWindow of its
/// start, because some balancers may not know the target yet. If all targets
/// are that new, the service is new and has no older home, so all are
/// considered.
/// @param candidates Targets to choose from.
/// @param flow_hash The flow's hash from HashFlow.
/// @param now Current time.
/// @return The home, or null when there is no target.
auto FindFlowHome(std::span<const Candidate> candidates,
                  std::uint64_t flow_hash,
                  TimePoint now) -> const Candidate*;

/// Lists the highest-ranked targets for a flow.
/// @param candidates Targets to choose from.
/// @param flow_hash The flow's hash from HashFlow.
/// @param count Maximum number of targets to return.
/// @return Endpoints of the targets' agents, highest rank first.
auto RankCandidates(std::span<const Candidate> candidates,
                    std::uint64_t flow_hash,
                    std::size_t count) -> std::vector<Endpoint>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_CANDIDATES_H_
