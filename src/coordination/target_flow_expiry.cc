#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/target_flows_internal.h"

namespace hawthornbank {
namespace {

using detail::AppendCountedAction;
using detail::AppendReturnAction;
using detail::EraseFlow;
using detail::HandOverWaitingRequests;
using detail::RecordFailedRequest;
using detail::ReleaseSlotOfFlow;
using Kind = TargetAction::Kind;

// Time constant of the averaged load, long enough to span the pauses between
// the packets of a feed (a long-lived flow).
constexpr std::chrono::duration<double> kLoadTimeConstant{1.5};
// Time for which opening packets are returned
// after the target left an opening packet unanswered.
constexpr Duration kUnresponsiveTime = std::chrono::milliseconds{400};

// Erases the flows of all starts of the target but one, and sends resets to the
// callers of flows that were accepted and not closed. A flow whose acceptance
// the caller hasn't acknowledged may be open at another target that accepted
// the same opening.
auto ResetFlowsOfOtherStarts(TargetFlows& target,
                             std::optional<std::uint64_t> kept_start_ms,
                             TargetReason reason,
                             std::vector<TargetAction>& out) -> void {
  for (auto it = target.flows.begin(); it != target.flows.end();) {
    TargetFlow& flow = it->second;
    if (flow.target_started_at_ms == kept_start_ms) {
      ++it;
      continue;
    }
    ReleaseSlotOfFlow(target, flow);
    if (flow.is_accepted && !flow.unacknowledged_sequence.has_value() &&
        flow.closed_at == TimePoint{}) {
      AppendCountedAction(target,
                          TargetAction{.kind = Kind::kReset,
                                       .reason = reason,
                                       .flow = it->first,
                                       .acknowledgement = flow.acknowledgement},
                          out);
    }
    it = target.flows.erase(it);
  }
}

// Marks a flow as not accepted and assigns it to the target's new start. If the
// target doesn't hold the flow, the target returns the flow's next packet.
auto MarkFlowUnaccepted(const TargetFlows& target, TargetFlow& flow) -> void {
  flow.is_accepted = false;
  flow.target_started_at_ms = target.status.started_at_ms;
}

// Marks flows that were accepted recently as not accepted. A restarted target
// may have accepted these flows before the agent received the target's first
// heartbeat.
auto MarkRecentFlowsUnaccepted(TargetFlows& target, TimePoint now) -> void {
  for (auto& [key, flow] : target.flows) {
    if (flow.is_accepted &&
        now - flow.accepted_at < target.options.max_first_heartbeat_delay) {
      MarkFlowUnaccepted(target, flow);
    }
  }
}

// Forgets what was learnt about the target's previous start.
auto ForgetPreviousStart(TargetFlows& target) -> void {
  target.health = {};
  target.unresponsive_until = {};
  target.openings.clear();
  target.reopened.clear();
  ForgetTargetCapacity(target.order);
}

auto SetTargetStatus(TargetFlows& target,
                     const TargetStatus& status,
                     TimePoint now) -> void {
  target.status = status;
  if (status.state != TargetState::kGone) {
    target.gone_since = {};
  } else if (target.gone_since == TimePoint{}) {
    target.gone_since = now;
  }
}

// Frees the slots of flows whose callers have sent no request in time.
auto ReleaseSlotsWithoutRequest(TargetFlows& target, TimePoint now) -> void {
  auto& openings = target.delivered_openings;
  while (!openings.empty() && now - openings.front().delivered_at >=
                                  target.options.first_request_timeout) {
    const auto it = target.flows.find(openings.front().flow);
    if (it != target.flows.end() && it->second.is_request_expected) {
      ReleaseSlotOfFlow(target, it->second);
    }
    openings.pop_front();
  }
}

// Returns whether the port's open flow isn't that of the opening. A target may
// leave a late copy of an earlier opening unanswered.
auto HasEarlierOpenFlow(const TargetFlows& target,
                        const FlowKey& key,
                        std::uint32_t sequence) -> bool {
  const auto known = target.flows.find(key);
  return known != target.flows.end() && detail::IsFlowOpen(known->second) &&
         known->second.opening_sequence != sequence;
}

}  // namespace

auto ApplyTargetStatus(TargetFlows& target,
                       const TargetStatus& status,
                       TimePoint now,
                       std::vector<TargetAction>& out) -> void {
  const std::uint64_t previous_start_ms = target.status.started_at_ms;
  SetTargetStatus(target, status, now);
  if (previous_start_ms == 0 || status.started_at_ms == previous_start_ms) {
    return;
  }
  // The restarted target holds no flows of its previous start.
  ForgetPreviousStart(target);
  MarkRecentFlowsUnaccepted(target, now);
  ResetFlowsOfOtherStarts(target, status.started_at_ms,
                          TargetReason::kTargetRestarted, out);
}

auto ApplyReplacedTarget(TargetFlows& target,
                         const TargetStatus& status,
                         TimePoint heard_since,
                         TimePoint now) -> void {
  SetTargetStatus(target, status, now);
  ForgetPreviousStart(target);
  for (auto& [key, flow] : target.flows) {
    if (flow.is_accepted && flow.accepted_at >= heard_since) {
      flow.target_started_at_ms = status.started_at_ms;
    } else {
      MarkFlowUnaccepted(target, flow);
    }
  }
}

auto ResetAllTargetFlows(TargetFlows& target, std::vector<TargetAction>& out)
    -> void {
  ResetFlowsOfOtherStarts(target, std::nullopt, TargetReason::kTargetGone, out);
}

auto OnTargetTick(TargetFlows& target,
                  TimePoint now,
                  std::vector<TargetAction>& out) -> void {
  for (auto it = target.openings.begin(); it != target.openings.end();) {
    if (now - it->second.delivered_at < target.options.answer_timeout) {
      ++it;
      continue;
    }
    if (!HasEarlierOpenFlow(target, it->first, it->second.sequence)) {
      target.unresponsive_until = now + kUnresponsiveTime;
      SuspectTargetRestart(target.warmup, now);
      EraseFlow(target, it->first);
    }
    it->second.header.may_be_accepted = true;
    AppendReturnAction(target, it->first, std::move(it->second.header),
                       TargetReason::kSilent, out);
    out.back().opening = std::move(it->second.packet);
    it = target.openings.erase(it);
  }
  ReleaseSlotsWithoutRequest(target, now);
  HandOverWaitingRequests(target, now, out);
  const TimePoint last_activity_at =
      std::max(target.gone_since, target.last_target_packet_at);
  if (target.gone_since != TimePoint{} && !target.flows.empty() &&
      now - last_activity_at >= target.options.exit_timeout) {
    ResetAllTargetFlows(target, out);
  }
  const std::chrono::duration<double> step = now - target.averaged_at;
  const double previous_weight = std::exp(-step / kLoadTimeConstant);
  target.average_running = target.average_running * previous_weight +
                           target.running * (1 - previous_weight);
  target.averaged_at = now;
}

auto ExpireFlowsAndRequests(TargetFlows& target, TimePoint now) -> void {
  std::erase_if(target.reopened, [&](const auto& it) {
    return now - it.second.accepted_at > target.options.closed_flow_retention;
  });
  for (auto it = target.flows.begin(); it != target.flows.end();) {
    TargetFlow& flow = it->second;
    const bool is_closed =
        flow.closed_at != TimePoint{} &&
        now - flow.closed_at > target.options.closed_flow_retention;
    if (is_closed || now - flow.last_packet_at > target.options.flow_lifetime) {
      ReleaseSlotOfFlow(target, flow);
      it = target.flows.erase(it);
      continue;
    }
    if (flow.occupies_slot &&
        now - flow.last_packet_at > target.options.request_idle_timeout) {
      RecordFailedRequest(target, flow, now);
      ReleaseSlotOfFlow(target, flow);
    }
    ++it;
  }
}

}  // namespace hawthornbank
