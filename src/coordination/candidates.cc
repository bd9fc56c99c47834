#include "hawthornbank/candidates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornbank {
namespace {

constexpr std::uint16_t kFullWeight = 100;

// Combines a flow's hash with a target's id by the finaliser of MurmurHash3.
auto MixFlowHashWithTarget(std::uint64_t flow_hash, TargetId id)
    -> std::uint64_t {
  std::uint64_t hash = flow_hash ^ ToInteger(id);
  hash = (hash ^ (hash >> 33U)) * 0xFF51AFD7ED558CCDULL;
  hash = (hash ^ (hash >> 33U)) * 0xC4CEB9FE1A85EC53ULL;
  return hash ^ (hash >> 33U);
}

auto ConvertHashToFraction(std::uint64_t hash) -> double {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return (static_cast<double>(hash >> 11U) + 0.5) * kScale;
}

using ScoredEndpoint = std::pair<double, Endpoint>;

auto HasHigherScore(const ScoredEndpoint& a, const ScoredEndpoint& b) -> bool {
  if (a.first != b.first) {
    return a.first > b.first;
  }
  return a.second.address != b.second.address
             ? a.second.address < b.second.address
             : a.second.port < b.second.port;
}

}  // namespace

auto ComputeCandidateScore(const Candidate& candidate, std::uint64_t flow_hash)
    -> double {
  if (candidate.weight_percent == 0) {
    return 0;
  }
  const double fraction =
      ConvertHashToFraction(MixFlowHashWithTarget(flow_hash, candidate.id));
  // The exponent is 1 at full weight, so the score is the fraction itself.
  if (candidate.weight_percent == kFullWeight) {
    return fraction;
  }
  return std::pow(fraction,
                  static_cast<double>(kFullWeight) / candidate.weight_percent);
}

auto FindTopCandidate(std::span<const Candidate> candidates,
                      std::uint64_t flow_hash,
                      TimePoint joined_by) -> const Candidate* {
  const Candidate* first = nullptr;
  double best = -1;
  for (const auto& it : candidates) {
    if (it.joined_at > joined_by) {
      continue;
    }
    const double score = ComputeCandidateScore(it, flow_hash);
    if (score > best) {
      best = score;
      first = &it;
    }
  }
  return first;
}

auto FindFlowHome(std::span<const Candidate> candidates,
                  std::uint64_t flow_hash,
                  TimePoint now) -> const Candidate* {
  const auto* const home =
      FindTopCandidate(candidates, flow_hash, now - kTargetJoinWindow);
  return home != nullptr ? home : FindTopCandidate(candidates, flow_hash);
}

auto RankCandidates(std::span<const Candidate> candidates,
                    std::uint64_t flow_hash,
                    std::size_t count) -> std::vector<Endpoint> {
  std::vector<ScoredEndpoint> ranked;
  ranked.reserve(candidates.size());
  for (const auto& it : candidates) {
    ranked.emplace_back(ComputeCandidateScore(it, flow_hash), it.agent);
  }
  const std::size_t kept = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                    ranked.end(), HasHigherScore);
  std::vector<Endpoint> endpoints;
  endpoints.reserve(kept);
  for (std::size_t n = 0; n < kept; ++n) {
    endpoints.push_back(ranked[n].second);
  }
  return endpoints;
}

}  // namespace hawthornbank
