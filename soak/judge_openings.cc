#include <fmt/format.h>

#include "soak/judge.h"
#include "soak/judge_detail.h"

/// @file
/// UNASKED, ROUTE, DRAIN and EVAC of opening packets.
namespace hawthornbank::soak {
namespace {

using detail::AddFlowViolation;
using detail::DescribeFlow;

auto CheckRoute(InvariantChecker& checker,
                const TakenOpening& opening,
                TimePoint now) -> void {
  const auto& services =
      checker.services_by_route[ToString(opening.flow.key.address)];
  if (!services.contains(opening.service) &&
      checker.misrouted.insert(opening.flow).second) {
    AddFlowViolation(checker, kRouteRule, opening.flow,
                     fmt::format("{}, opening taken by service {} at {}",
                                 DescribeFlow(opening.flow), opening.service,
                                 opening.target),
                     now);
  }
}

auto CheckDrain(InvariantChecker& checker,
                const TakenOpening& opening,
                const SentOpening& sent,
                TimePoint now) -> void {
  if (opening.leaving_since == TimePoint{} ||
      now - opening.leaving_since <= kDrainOpeningTime ||
      !HasSubjectRecovered(checker, opening.agent, true, now)) {
    return;
  }
  const bool is_balancer_in_touch =
      HasSubjectRecovered(checker, sent.balancer.subject, true, now);
  AddFlowViolation(
      checker, is_balancer_in_touch ? kDrainRule : kLateOpeningCheck,
      opening.flow,
      fmt::format(
          "{}, opening through {} at {} {:.2f} s after it was acknowledged as "
          "{}",
          DescribeFlow(opening.flow), sent.balancer.subject, opening.target,
          std::chrono::duration<double>(now - opening.leaving_since).count(),
          opening.is_gone ? "gone" : "draining"),
      now);
}

auto CheckZone(InvariantChecker& checker,
               const TakenOpening& opening,
               const SentOpening& sent,
               TimePoint now) -> void {
  const auto it = checker.zones_out.find(opening.zone);
  if (it == checker.zones_out.end() || now - it->second <= kEvacuationTime ||
      !HasStoreRecovered(checker, now) ||
      !HasSubjectRecovered(checker, opening.agent, true, now) ||
      !HasSubjectRecovered(checker, sent.balancer.subject, true, now)) {
    return;
  }
  AddFlowViolation(
      checker, kEvacRule, opening.flow,
      fmt::format("{}, opening through {} at {} in zone {} {:.2f} s after the "
                  "zone was taken out of service",
                  DescribeFlow(opening.flow), sent.balancer.subject,
                  opening.target, opening.zone,
                  std::chrono::duration<double>(now - it->second).count()),
      now);
}

}  // namespace

auto OnZoneOut(InvariantChecker& checker,
               const std::string& zone,
               TimePoint now) -> void {
  checker.zones_out.try_emplace(zone, now);
}

auto OnZoneReturned(InvariantChecker& checker, const std::string& zone)
    -> void {
  checker.zones_out.erase(zone);
}

auto OnOpeningSent(InvariantChecker& checker,
                   const FlowId& flow,
                   std::uint32_t copy,
                   const SentOpening& opening) -> void {
  checker.openings[flow][copy] = opening;
}

auto OnOpeningTaken(InvariantChecker& checker,
                    const TakenOpening& opening,
                    TimePoint now) -> void {
  const auto& copies = checker.openings[opening.flow];
  const auto it = copies.find(opening.copy);
  if (it == copies.end()) {
    OnForgedPacketAtTarget(
        checker, opening.flow,
        fmt::format("opening at {} that no caller sent", opening.target), now);
    return;
  }
  if (opening.is_known) {
    return;
  }
  const SentOpening& sent = it->second;
  CheckDrain(checker, opening, sent, now);
  if (opening.is_gone) {
    return;
  }
  CheckRoute(checker, opening, now);
  detail::CheckConfiguration(checker, opening, sent, now);
  CheckZone(checker, opening, sent, now);
}

auto OnForgedPacketAtTarget(InvariantChecker& checker,
                            const FlowId& flow,
                            const std::string& detail,
                            TimePoint now) -> void {
  AddFlowViolation(checker, kUnaskedRule, flow,
                   fmt::format("{}: {}", DescribeFlow(flow), detail), now);
}

}  // namespace hawthornbank::soak
