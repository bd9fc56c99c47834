#ifndef HAWTHORNBANK_CANDIDATES_H_
#define HAWTHORNBANK_CANDIDATES_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Weighted rendezvous hashing: the order in which targets are asked.
///
/// A target that joins or leaves moves only the flows that rank it first; the
/// order of all others stays.
namespace hawthornbank {

/// Time for which a new target isn't asked first by balancers. It covers the
/// time in which balancers can disagree about who is there.
inline constexpr Duration kTargetJoinWindow = std::chrono::seconds{3};

/// A target as the hash sees it.
struct Candidate {
  TargetId id{};
  Endpoint agent;
  std::uint16_t weight_percent = 100;
  TimePoint joined{};  ///< When its present incarnation started.

  auto operator==(const Candidate&) const -> bool = default;
};

/// Ranks one target for one flow.
/// @param candidate The target; its weight scales its share of flows.
/// @param flow_hash HashFlow of the flow.
/// @return The score; the highest goes first.
auto CandidateScore(const Candidate& candidate, std::uint64_t flow_hash)
    -> double;

/// Finds the first target for a flow among those that joined by an instant.
/// @param candidates Targets to choose from.
/// @param flow_hash HashFlow of the flow.
/// @param joined_by Targets that joined later are left out.
/// @return The target, or null when none is left.
auto FirstCandidate(std::span<const Candidate> candidates,
                    std::uint64_t flow_hash,
                    TimePoint joined_by = TimePoint::max()) -> const Candidate*;

/// Finds a flow's home. A new target is none until every balancer can know
/// it; if all are new, the service itself is, and there is no older home.
/// @param candidates Targets to choose from.
/// @param flow_hash HashFlow of the flow.
/// @param now The present instant.
/// @return The home, or null when there is no target.
auto FindHome(std::span<const Candidate> candidates,
              std::uint64_t flow_hash,
              TimePoint now) -> const Candidate*;

/// Ranks the first targets for a flow.
/// @param candidates Targets to choose from.
/// @param flow_hash HashFlow of the flow.
/// @param count Most targets to return.
/// @return Endpoints of their agents, best first.
auto RankCandidates(std::span<const Candidate> candidates,
                    std::uint64_t flow_hash,
                    std::size_t count) -> std::vector<Endpoint>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_CANDIDATES_H_
