#include <algorithm>
#include <utility>

#include "coordination/steering_internal.h"

namespace hawthornbank::detail {
namespace {

using Kind = SteeringAction::Kind;

// Returns whether a target of the service, in a zone that is in service, is at
// the limit of its warm-up.
auto IsAnyTargetAtWarmupLimit(const Steering& steering,
                              std::uint32_t service,
                              TimePoint now) -> bool {
  return std::any_of(
      steering.fleet.hosts.begin(), steering.fleet.hosts.end(),
      [&](const auto& it) {
        const KnownHost& host = it.second;
        return host.record.service == service && AcceptsNewFlows(host) &&
               !IsOutOfService(steering.zones, host.record.zone) &&
               IsAtWarmupLimit(host, kWarmupLimitRetryTime, now);
      });
}

// Handles an opening for which no target is left. Returns false.
auto RejectOpening(Steering& steering,
                   const FlowKey& flow,
                   const PendingOpening& opening,
                   bool has_excluded_target,
                   TimePoint now,
                   std::vector<SteeringAction>& out) -> bool {
  if (IsAnyTargetAtWarmupLimit(steering, opening.header.service, now)) {
    AppendResetAction(steering, flow, SteeringReason::kWarmupLimit, 0, out);
  } else if (opening.header.returned_by.empty() &&
             IsInLearningTime(steering, now)) {
    AppendDropAction(steering, flow, SteeringReason::kNoTarget, out);
  } else {
    AppendResetAction(steering, flow,
                      ChooseRefusalReason(opening, has_excluded_target), 0,
                      out);
  }
  out.back().kept = opening.packet;
  return false;
}

}  // namespace

auto IsInLearningTime(const Steering& steering, TimePoint now) -> bool {
  return now - steering.started < steering.options.learning_time;
}

auto OfferOpeningToNextTarget(Steering& steering,
                              const FlowKey& flow,
                              PendingOpening& opening,
                              SteeringReason reason,
                              TimePoint now,
                              std::vector<SteeringAction>& out) -> bool {
  auto ranked = RankAgentsForFlow(steering.fleet, opening.header.service,
                                  HashFlow(flow), opening.header.returned_by);
  const bool has_excluded_target =
      EraseAgentsOutOfService(steering, opening, ranked);
  const auto accepting_targets =
      std::count_if(ranked.begin(), ranked.end(), [now](const RankedAgent& it) {
        return AcceptsNewFlows(*it.host) &&
               !IsAtWarmupLimit(*it.host, kWarmupLimitRetryTime, now);
      });
  if (opening.was_at_warmup_limit) {
    PreferWarmTargets(ranked, now);
  }
  KnownHost* const host = ChooseTargetForFlow(ranked, steering.fleet.self.zone,
                                              steering.options.placement, now);
  if (host == nullptr || opening.header.returned_by.size() >=
                             steering.options.max_offers_per_opening) {
    return RejectOpening(steering, flow, opening, has_excluded_target, now,
                         out);
  }
  opening.header.is_last_candidate =
      accepting_targets == 1 || opening.header.returned_by.size() + 1 ==
                                    steering.options.max_offers_per_opening;
  const double score = ComputeLoadScore(*host, steering.fleet.self.zone,
                                        steering.options.placement, now);
  ++host->openings_since_load;
  RecordRequestToHost(*host, now);
  opening.agent = host->record.control;
  opening.offered_at = now;
  RecordFlowAgent(steering, flow, opening.agent, false, now);
  AppendSteeringAction(steering,
                       SteeringAction{.kind = Kind::kRelay,
                                      .reason = reason,
                                      .flow = flow,
                                      .to = opening.agent,
                                      .header = opening.header,
                                      .kept = opening.packet,
                                      .load_score = score,
                                      .load_age = now - host->load_reported_at},
                       out);
  return true;
}

auto OfferNewFlow(Steering& steering,
                  const FlowKey& flow,
                  const Route& route,
                  bool may_be_accepted,
                  std::span<const std::uint8_t> bytes,
                  TimePoint now,
                  std::vector<SteeringAction>& out) -> void {
  if (MustWaitForZones(steering, now)) {
    AppendDropAction(steering, flow, SteeringReason::kNoZonesYet, out);
    return;
  }
  PendingOpening opening{
      .packet = {bytes.begin(), bytes.end()},
      .header = {.origin = steering.fleet.self.control,
                 .service = ChooseService(route, HashFlow(flow)),
                 .wants_flow_reply = true,
                 .may_be_accepted = may_be_accepted},
      .received_at = now};
  opening.header.terms = DescribeTerms(steering, flow, opening.header.service);
  if (OfferOpeningToNextTarget(steering, flow, opening, SteeringReason::kPlaced,
                               now, out)) {
    steering.openings.insert_or_assign(flow, std::move(opening));
  }
}

}  // namespace hawthornbank::detail
