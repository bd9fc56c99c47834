#include <fmt/format.h>

#include "soak/world.h"
#include "transport/clock.h"

/// @file
/// Passes what callers and targets observe to the checks of the rules.
namespace hawthornbank::soak {
namespace {

using transport::GetMonotonicTime;

// Time for which a balancer that a caller used counts as taking part in what
// happens to the flow.
constexpr std::chrono::seconds kRecentUse{2};

// Returns the flow of a caller's packet that isn't an opening. Callers don't
// count the bytes that they send.
auto MakeFlowIdOfPacket(const FlowPacket& packet) -> FlowId {
  return FlowId{.key = ExtractCallerFlowKey(packet),
                .opening_sequence = packet.sequence - 1};
}

}  // namespace

auto SoakEnvironment::MakeFlowId(const CallerFlow& flow) const -> FlowId {
  return FlowId{.key = MakeFlowKey(flow, GetHostAddress(kCallerHost)),
                .opening_sequence = flow.opening_sequence};
}

auto SoakEnvironment::MakeCallerEvents() -> CallerEvents {
  return CallerEvents{
      .on_opening_sent =
          [this](const CallerFlow& flow, std::uint32_t copy,
                 std::size_t balancer) {
            const Node& node = GetBalancer(balancer);
            OnOpeningSent(
                checker_, MakeFlowId(flow), copy,
                SentOpening{.balancer = {.subject = node.subject,
                                         .number = node.start_count},
                            // A packet of an ended flow was under way.
                            .at = flow.ended_at == TimePoint{}
                                      ? GetMonotonicTime()
                                      : flow.ended_at});
          },
      .on_request_sent =
          [this](const CallerFlow& flow) {
            OnRequestSent(checker_, flow.pending_request,
                          RequestRecord{.flow = MakeFlowId(flow),
                                        .is_port_reused = flow.is_port_reused});
          },
      .on_answer_received =
          [this](const CallerFlow& flow, std::uint64_t answered) {
            OnAnswerReceived(checker_, MakeFlowId(flow), flow.pending_request,
                             answered, GetMonotonicTime());
          },
      .on_flow_reset =
          [this](const CallerFlow& flow) { OnCallerFlowReset(flow); },
      .on_opening_reset =
          [this](const CallerFlow& flow) { OnCallerOpeningReset(flow); },
      .on_forged_packet_received =
          [this](const FlowPacket& packet, const std::string& detail) {
            FlowId flow{.key = ExtractTargetFlowKey(packet)};
            const CallerFlow* const present = callers_->FindFlow(flow.key);
            flow.opening_sequence =
                present == nullptr ? 0 : present->opening_sequence;
            OnForgedPacketAtCaller(checker_, flow, detail, GetMonotonicTime());
          },
      .on_request_finished =
          [this](const CallerFlow& flow, bool served) {
            OnCallerRequestFinished(flow, served);
          }};
}

auto SoakEnvironment::MakeTargetEvents(std::size_t target) -> TargetEvents {
  return TargetEvents{
      .on_request_executed =
          [this, target](const FlowPacket& packet, std::uint64_t request) {
            OnRequestExecuted(checker_, MakeFlowIdOfPacket(packet), request,
                              targets_[target]->service_name(),
                              DescribeTarget(target), GetMonotonicTime());
          },
      .on_opening_received =
          [this, target](const FlowPacket& packet, bool is_known) {
            OnOpeningReceived(target, packet, is_known);
          },
      .on_flow_packet_received =
          [this, target](const FlowPacket& packet, bool holds_flow) {
            OnFlowPacketReceived(target, packet, holds_flow);
          },
      .on_forged_packet_received =
          [this, target](const FlowPacket& packet, const std::string& detail) {
            OnForgedPacketAtTarget(
                checker_, MakeFlowIdOfPacket(packet),
                fmt::format("{} at {}", detail, DescribeTarget(target)),
                GetMonotonicTime());
          }};
}

auto SoakEnvironment::OnOpeningReceived(std::size_t target,
                                        const FlowPacket& packet,
                                        bool is_known) -> void {
  const TargetStandin& it = *targets_[target];
  OnOpeningTaken(
      checker_,
      TakenOpening{.flow = {.key = ExtractCallerFlowKey(packet),
                            .opening_sequence = packet.sequence},
                   .copy = packet.acknowledgement,
                   .service = it.service_name(),
                   .zone = it.zone_name(),
                   .agent = GetAgent(target).subject,
                   .target = DescribeTarget(target),
                   .leaving_since = it.is_alive() ? it.drain_acknowledged_at()
                                                  : it.end_acknowledged_at(),
                   .is_gone = !it.is_alive(),
                   .is_known = is_known},
      GetMonotonicTime());
}

auto SoakEnvironment::OnFlowPacketReceived(std::size_t target,
                                           const FlowPacket& packet,
                                           bool holds_flow) -> void {
  const TimePoint now = GetMonotonicTime();
  const FlowId flow = MakeFlowIdOfPacket(packet);
  const CallerFlow* const sender = callers_->FindFlow(flow.key);
  if (sender == nullptr || sender->opening_sequence != flow.opening_sequence) {
    return;  // Late packet of a flow that has ended.
  }
  FlowPacketRecord record{
      .flow = flow,
      .is_at_holder = holds_flow,
      .is_exempt = IsFlowExempt(*sender, now),
      .recent_balancers = FindRecentBalancers(*sender, now)};
  const auto holder = FindHolder(flow);
  if (holder.has_value() && *holder != target &&
      now - targets_[*holder]->responsive_since() >= kRecoveryTime) {
    record.holder_agent = GetAgent(*holder).subject;
    record.holder_target = GetTargetSubject(*holder);
  }
  OnFlowPacketAtTarget(checker_, record, now);
}

// Returns the live and responsive target that has a flow open.
auto SoakEnvironment::FindHolder(const FlowId& flow) const
    -> std::optional<std::size_t> {
  std::optional<std::size_t> holder;
  for (std::size_t n = 0; n < targets_.size(); ++n) {
    if (targets_[n]->HoldsOpenFlow(flow.key, flow.opening_sequence) &&
        !targets_[n]->is_unresponsive()) {
      holder = n;
    }
  }
  return holder;
}

auto SoakEnvironment::FindRecentBalancers(const CallerFlow& flow, TimePoint now)
    -> std::vector<std::string> {
  std::vector<std::string> balancers;
  for (const auto& [balancer, used] : flow.balancer_last_used) {
    if (now - used < kRecentUse) {
      balancers.push_back(GetBalancer(balancer).subject);
    }
  }
  return balancers;
}

auto SoakEnvironment::IsFlowExempt(const CallerFlow& flow, TimePoint now) const
    -> bool {
  return IsExemptFlow(exemptions_,
                      FlowTimes{.route = flow.route.address,
                                .opened_at = flow.opened_at,
                                .idle_since = flow.idle_since,
                                .resumed_at = flow.resumed_at},
                      now);
}

auto SoakEnvironment::OnCallerFlowReset(const CallerFlow& flow) -> void {
  const TimePoint now = GetMonotonicTime();
  ResetRecord reset{.flow = MakeFlowId(flow),
                    .is_exempt = IsFlowExempt(flow, now),
                    .recent_balancers = FindRecentBalancers(flow, now)};
  const auto holder = FindHolder(reset.flow);
  if (holder.has_value()) {
    reset.target_holds_flow = true;
    reset.agent = GetAgent(*holder).subject;
    reset.target = GetTargetSubject(*holder);
  }
  const std::uint64_t excused_before = checker_.excused_resets;
  OnFlowReset(checker_, reset, now);
  if (reset.target_holds_flow && checker_.excused_resets != excused_before) {
    RecordEvent(fmt::format(
        "excused reset of a held flow: caller port {}, {} of {}, {}", flow.port,
        reset.target, reset.agent,
        reset.is_exempt ? "exempt flow" : "after a disturbance"));
  }
}

auto SoakEnvironment::OnCallerOpeningReset(const CallerFlow& flow) -> void {
  const TimePoint now = GetMonotonicTime();
  RefusalRecord refusal{.flow = MakeFlowId(flow),
                        .balancers = FindRecentBalancers(flow, now),
                        .sent = flow.opened_at};
  for (const auto& service :
       FindServicesInForce(checker_, flow.route.address, flow.opened_at)) {
    bool has_target_in_touch = false;
    for (std::size_t n = 0; n < targets_.size(); ++n) {
      const TargetStandin& it = *targets_[n];
      const std::string& agent = GetAgent(n).subject;
      if (it.is_alive() && !it.is_draining() && !it.is_unresponsive() &&
          it.service_name() == service &&
          !checker_.zones_out.contains(it.zone_name())) {
        refusal.ready_agents.push_back(agent);
        has_target_in_touch = has_target_in_touch ||
                              HasSubjectRecovered(checker_, agent, true, now);
      }
    }
    if (!has_target_in_touch) {
      return;  // The opening may have been reset for want of a target.
    }
  }
  OnOpeningReset(checker_, refusal, now);
}

auto SoakEnvironment::OnCallerRequestFinished(const CallerFlow& flow,
                                              bool served) -> void {
  OnRequestFinished(checker_, served, flow.in_final_phase);
  if (!served && flow.in_final_phase) {
    RecordEvent(fmt::format(
        "request not served in the final phase: port {} to {}{}{}", flow.port,
        ToString(flow.route.address), flow.is_open ? ", open" : "",
        flow.was_reset ? ", reset" : ""));
  }
}

auto SoakEnvironment::RecordEvent(const std::string& event) -> void {
  event_history_.push_back(fmt::format(
      "{:.2f} {}",
      std::chrono::duration<double>(GetMonotonicTime() - started_).count(),
      event));
}

}  // namespace hawthornbank::soak
