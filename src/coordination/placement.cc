#include "hawthornbank/placement.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace hawthornbank {
namespace {

auto ComputeRendezvousRank(std::uint64_t flow_hash, std::uint32_t address)
    -> std::uint64_t {
  std::uint64_t hash = flow_hash ^ (address * 0x9E3779B97F4A7C15ULL);
  hash = (hash ^ (hash >> 33U)) * 0xFF51AFD7ED558CCDULL;
  hash = (hash ^ (hash >> 33U)) * 0xC4CEB9FE1A85EC53ULL;
  return hash ^ (hash >> 33U);
}

// Returns the share of a reported value that still counts after `age`.
auto ComputeRemainingShare(Duration age, Duration lifetime) -> double {
  return std::exp(-(std::chrono::duration<double>(age) /
                    std::chrono::duration<double>(lifetime)));
}

// Estimates the number of requests that run at a target, from the last report.
auto EstimateRunningRequests(const KnownHost& host,
                             const PlacementOptions& options,
                             double average,
                             TimePoint now) -> double {
  return average + (host.load.running - average) *
                       ComputeRemainingShare(now - host.load_reported_at,
                                             options.load_report_lifetime);
}

auto EstimateAverageRequests(const KnownHost& host,
                             const PlacementOptions& options,
                             TimePoint now) -> double {
  constexpr double kSixteenth = 1.0 / 16;
  return host.load.mean_in_flight_x16 * kSixteenth *
         ComputeRemainingShare(now - host.load_reported_at,
                               options.average_lifetime);
}

auto CountSlots(const KnownHost& host) -> double {
  return std::max<double>(host.record.target.slots, 1);
}

auto FindLeastLoadedHost(std::span<const RankedAgent> candidates,
                         const std::string& zone,
                         const PlacementOptions& options,
                         TimePoint now) -> KnownHost* {
  KnownHost* best = nullptr;
  double best_score = 0;
  for (const auto& it : candidates) {
    const double score = ComputeLoadScore(*it.host, zone, options, now);
    if (best == nullptr || score < best_score) {
      best = it.host;
      best_score = score;
    }
  }
  return best;
}

auto FindLeastLoadedCandidate(std::span<const RankedAgent> ranked,
                              const std::string& zone,
                              const PlacementOptions& options,
                              TimePoint now,
                              auto&& is_allowed) -> KnownHost* {
  std::vector<RankedAgent> allowed;
  allowed.reserve(ranked.size());
  std::copy_if(ranked.begin(), ranked.end(), std::back_inserter(allowed),
               [&](const RankedAgent& it) { return is_allowed(*it.host); });
  allowed.resize(MoveCandidatesToFront(allowed, zone, options));
  const auto others = std::find_if(
      allowed.begin(), allowed.end(),
      [&](const RankedAgent& it) { return it.host->record.zone != zone; });
  KnownHost* const nearest =
      FindLeastLoadedHost({allowed.begin(), others}, zone, options, now);
  return nearest != nullptr && !IsTargetBusy(*nearest, options, now)
             ? nearest
             : FindLeastLoadedHost(allowed, zone, options, now);
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

auto MoveCandidatesToFront(std::vector<RankedAgent>& ranked,
                           const std::string& zone,
                           const PlacementOptions& options) -> std::size_t {
  const auto others = std::stable_partition(
      ranked.begin(), ranked.end(),
      [&](const RankedAgent& it) { return it.host->record.zone == zone; });
  const auto same_zone = static_cast<std::size_t>(others - ranked.begin());
  const std::size_t own = std::min(same_zone, options.max_candidates);
  const std::size_t foreign = std::min(
      ranked.size() - same_zone, std::max(options.max_candidates - own,
                                          options.min_other_zone_candidates));
  std::rotate(ranked.begin() + static_cast<std::ptrdiff_t>(own), others,
              others + static_cast<std::ptrdiff_t>(foreign));
  return own + foreign;
}

auto AcceptsNewFlows(const KnownHost& host) -> bool {
  return host.record.target.state == TargetState::kReady &&
         !host.record.is_shutting_down;
}

auto ComputeLoadScore(const KnownHost& host,
                      const std::string& zone,
                      const PlacementOptions& options,
                      TimePoint now) -> double {
  const double average = EstimateAverageRequests(host, options, now);
  const double running = EstimateRunningRequests(host, options, average, now);
  double score =
      (running + host.openings_since_load + average * options.average_weight +
       host.load.flows * options.flow_weight) /
      CountSlots(host);
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

auto IsTargetBusy(const KnownHost& host,
                  const PlacementOptions& options,
                  TimePoint now) -> bool {
  const double average = EstimateAverageRequests(host, options, now);
  const double running = EstimateRunningRequests(host, options, average, now) +
                         host.openings_since_load;
  const double factor =
      host.record.target.cold ? options.cold_target_factor : 1.0;
  return host.load.failing ||
         running * factor >= options.busy_share * CountSlots(host);
}

auto PreferWarmTargets(std::vector<RankedAgent>& ranked, TimePoint now)
    -> void {
  const bool has_warm_target =
      std::any_of(ranked.begin(), ranked.end(), [now](const RankedAgent& it) {
        return !it.host->record.target.cold && AcceptsNewFlows(*it.host) &&
               IsHostLive(*it.host, now) &&
               !IsAtWarmupLimit(*it.host, kWarmupLimitRetryTime, now);
      });
  if (has_warm_target) {
    std::erase_if(ranked, [](const RankedAgent& it) {
      return it.host->record.target.cold;
    });
  }
}

auto ChooseTargetForFlow(std::span<const RankedAgent> ranked,
                         const std::string& zone,
                         const PlacementOptions& options,
                         TimePoint now) -> KnownHost* {
  bool is_any_live = false;
  for (const Duration time : {kWarmupLimitAvoidTime, kWarmupLimitRetryTime}) {
    KnownHost* const answering = FindLeastLoadedCandidate(
        ranked, zone, options, now, [&](const KnownHost& it) {
          const bool is_live = AcceptsNewFlows(it) && IsHostLive(it, now);
          is_any_live |= is_live;
          return is_live && !IsAtWarmupLimit(it, time, now);
        });
    if (answering != nullptr) {
      return answering;
    }
    if (!is_any_live) {
      break;
    }
  }
  if (is_any_live) {
    return nullptr;
  }
  // If no agent that accepts new flows is live, this balancer itself may be cut
  // off, so agents that aren't live are considered too.
  return FindLeastLoadedCandidate(ranked, zone, options, now, AcceptsNewFlows);
}

}  // namespace hawthornbank
