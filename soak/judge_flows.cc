#include <fmt/format.h>

#include <algorithm>

#include "soak/judge.h"
#include "soak/judge_detail.h"

/// @file
/// FLOW: resets of open flows, and packets of open flows at other targets.
namespace hawthornbank::soak {
namespace {

// Returns whether neither the agent nor the target nor a balancer had an
// unplanned disturbance in the last kRecoveryTime. Planned work excuses
// nothing.
auto AreUndisturbed(const InvariantChecker& checker,
                    const std::string& agent,
                    const std::string& target,
                    const std::vector<std::string>& balancers,
                    TimePoint now) -> bool {
  return HasSubjectRecovered(checker, agent, false, now) &&
         HasSubjectRecovered(checker, target, false, now) &&
         std::all_of(balancers.begin(), balancers.end(),
                     [&](const std::string& it) {
                       return HasSubjectRecovered(checker, it, false, now);
                     });
}

}  // namespace

auto OnFlowReset(InvariantChecker& checker,
                 const ResetRecord& reset,
                 TimePoint now) -> void {
  if (!reset.target_holds_flow || reset.is_exempt ||
      !AreUndisturbed(checker, reset.agent, reset.target,
                      reset.recent_balancers, now)) {
    ++checker.excused_resets;
    return;
  }
  detail::AddFlowViolation(
      checker, kFlowRule, reset.flow,
      fmt::format("{}, reset while the target of {} holds the flow",
                  detail::DescribeFlow(reset.flow), reset.agent),
      now);
}

auto OnFlowPacketAtTarget(InvariantChecker& checker,
                          const FlowPacketRecord& packet,
                          TimePoint now) -> void {
  if (packet.is_at_holder || packet.holder_agent.empty() || packet.is_exempt ||
      !AreUndisturbed(checker, packet.holder_agent, packet.holder_target,
                      packet.recent_balancers, now)) {
    checker.stray_packets.erase(packet.flow);
    return;
  }
  StrayPackets& strays =
      checker.stray_packets.try_emplace(packet.flow, StrayPackets{.first = now})
          .first->second;
  ++strays.count;
  const Duration span = now - strays.first;
  if (strays.count >= kMinStrayPackets && span >= kReorderTime) {
    detail::AddFlowViolation(
        checker, kFlowRule, packet.flow,
        fmt::format("{}, {} packets in {:.2f} s at other targets and none at "
                    "the target of {}",
                    detail::DescribeFlow(packet.flow), strays.count,
                    std::chrono::duration<double>(span).count(),
                    packet.holder_agent),
        now);
    checker.stray_packets.erase(packet.flow);
  }
}

}  // namespace hawthornbank::soak
