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

// Resets the caller of an opening that no target takes, unless its flow may be
// open.
auto AppendRefusalAction(Steering& steering,
                         const FlowKey& flow,
                         const PendingOpening& opening,
                         SteeringReason reason,
                         std::vector<SteeringAction>& out) -> void {
  if (opening.may_be_open) {
    AppendDropAction(steering, flow, reason, out);
  } else {
    AppendResetAction(steering, flow, reason, 0, out);
  }
}

// Handles an opening for which no target is left. Returns false.
auto RejectOpening(Steering& steering,
                   const FlowKey& flow,
                   const PendingOpening& opening,
                   bool has_excluded_target,
                   TimePoint now,
                   std::vector<SteeringAction>& out) -> bool {
  if (IsAnyTargetAtWarmupLimit(steering, opening.header.service, now)) {
    AppendRefusalAction(steering, flow, opening, SteeringReason::kWarmupLimit,
                        out);
  } else if (opening.header.returned_by.empty() &&
             IsInLearningTime(steering, now)) {
    AppendDropAction(steering, flow, SteeringReason::kNoTarget, out);
  } else {
    AppendRefusalAction(steering, flow, opening,
                        ChooseRefusalReason(opening, has_excluded_target), out);
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
  SteeredFlow* const recorded =
      RecordFlowAgent(steering, flow, opening.agent, false, now);
  if (recorded != nullptr) {
    recorded->opening = FlowOpening{.sequence = opening.sequence,
                                    .service = opening.header.service};
    recorded->caller_sequence = opening.sequence;
  }
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

auto MakePendingOpening(const Steering& steering,
                        const FlowPacket& packet,
                        const Route& route,
                        EarlierCopies earlier,
                        std::span<const std::uint8_t> bytes,
                        TimePoint now) -> PendingOpening {
  const FlowKey flow = ExtractCallerFlowKey(packet);
  PendingOpening opening{
      .packet = {bytes.begin(), bytes.end()},
      .sequence = packet.sequence,
      .header = {.origin = steering.fleet.self.control,
                 .service = ChooseService(route, HashFlow(flow)),
                 .wants_flow_reply = true,
                 .may_be_accepted = earlier.may_be_accepted},
      .received_at = now,
      .may_be_open = earlier.may_be_open};
  opening.header.terms = DescribeTerms(steering, flow, opening.header.service);
  return opening;
}

auto OfferNewFlow(Steering& steering,
                  const FlowPacket& packet,
                  const Route& route,
                  EarlierCopies earlier,
                  std::span<const std::uint8_t> bytes,
                  TimePoint now,
                  std::vector<SteeringAction>& out) -> void {
  const FlowKey flow = ExtractCallerFlowKey(packet);
  if (MustWaitForZones(steering, now)) {
    AppendDropAction(steering, flow, SteeringReason::kNoZonesYet, out);
    return;
  }
  PendingOpening opening =
      MakePendingOpening(steering, packet, route, earlier, bytes, now);
  if (OfferOpeningToNextTarget(steering, flow, opening, SteeringReason::kPlaced,
                               now, out)) {
    steering.openings.insert_or_assign(flow, std::move(opening));
  }
}

}  // namespace hawthornbank::detail
