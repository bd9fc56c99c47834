#include "hawthornbank/placement.h"

#include <algorithm>

namespace hawthornbank {
namespace {

auto ComputeRendezvousRank(std::uint64_t flow_hash, std::uint32_t address)
    -> std::uint64_t {
  std::uint64_t hash = flow_hash ^ (address * 0x9E3779B97F4A7C15ULL);
  hash = (hash ^ (hash >> 33U)) * 0xFF51AFD7ED558CCDULL;
  hash = (hash ^ (hash >> 33U)) * 0xC4CEB9FE1A85EC53ULL;
  return hash ^ (hash >> 33U);
}

auto FindLeastLoadedHost(std::span<const RankedAgent> ranked,
                         const std::string& zone,
                         const PlacementOptions& options,
                         auto&& is_allowed) -> KnownHost* {
  KnownHost* best = nullptr;
  double best_score = 0;
  std::size_t compared = 0;
  for (const auto& it : ranked) {
    if (!is_allowed(*it.host)) {
      continue;
    }
    const double score = ComputeLoadScore(*it.host, zone, options);
    if (best == nullptr || score < best_score) {
      best = it.host;
      best_score = score;
    }
    if (++compared == options.max_candidates) {
      break;
    }
  }
  return best;
}

}  // namespace

auto RankAgentsForFlow(Fleet& fleet,
                       std::uint32_t service,
                       std::uint64_t flow_hash,
                       std::span<const std::uint32_t> excluded_addresses)
    -> std::vector<RankedAgent> {
  std::vector<RankedAgent> ranked;
  ranked.reserve(fleet.hosts.size());
  for (auto& [control, host] : fleet.hosts) {
    if (host.record.role == HostRole::kAgent &&
        host.record.service == service &&
        std::find(excluded_addresses.begin(), excluded_addresses.end(),
                  control.address) == excluded_addresses.end()) {
      ranked.push_back(RankedAgent{
          .host = &host,
          .rank = ComputeRendezvousRank(flow_hash, control.address)});
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedAgent& a, const RankedAgent& b) {
              return a.rank > b.rank;
            });
  return ranked;
}

auto AcceptsNewFlows(const KnownHost& host) -> bool {
  return host.record.target.state == TargetState::kReady &&
         !host.record.is_shutting_down;
}

auto ComputeLoadScore(const KnownHost& host,
                      const std::string& zone,
                      const PlacementOptions& options) -> double {
  constexpr double kSixteenth = 1.0 / 16;
  const double now = host.load.running + host.openings_since_load;
  const double average = host.load.mean_in_flight_x16 * kSixteenth;
  const double slots = std::max<double>(host.record.target.slots, 1);
  double score = (now + average * options.average_weight +
                  host.load.flows * options.flow_weight) /
                 slots;
  if (host.record.target.cold) {
    score *= options.cold_target_factor;
  }
  if (host.load.failing) {
    score += options.failing_cost;
  }
  if (host.record.zone != zone) {
    score += options.other_zone_cost;
  }
  return score;
}

auto ChooseTargetForFlow(std::span<const RankedAgent> ranked,
                         const std::string& zone,
                         const PlacementOptions& options,
                         TimePoint now) -> KnownHost* {
  KnownHost* const answering =
      FindLeastLoadedHost(ranked, zone, options, [now](const KnownHost& it) {
        return AcceptsNewFlows(it) && IsHostLive(it, now);
      });
  if (answering != nullptr) {
    return answering;
  }
  // If no agent that accepts new flows is live, this balancer itself may be cut
  // off, so agents that aren't live are considered too.
  return FindLeastLoadedHost(ranked, zone, options, AcceptsNewFlows);
}

}  // namespace hawthornbank
