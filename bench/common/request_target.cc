#include "common/request_target.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornbank::bench {
namespace {

constexpr std::uint8_t kInternalServerError = 5 << 5;
constexpr std::size_t kAnswerRepeats = 40;
/// Maximum service time of a request, in mean service times.
constexpr double kMaxServiceFactor = 10;

auto DrawServiceTime(TargetHost& target, Random& random) -> Duration {
  const double factor =
      std::min(kMaxServiceFactor, -std::log(1 - DrawRandomFraction(random)));
  return Duration{static_cast<Duration::rep>(
      factor * static_cast<double>(target.service_time.count()))};
}

auto PerformGateActions(TargetHost& target,
                        VirtualNetwork& net,
                        GateActions actions) -> void;

auto RunGateTick(TargetHost& target, VirtualNetwork& net) -> void {
  GateActions actions;
  const auto next =
      OnCoapGateTick(target.gate, net.now(), net.random(), actions);
  PerformGateActions(target, net, std::move(actions));
  if (next >= target.next_tick && target.next_tick > net.now()) {
    return;
  }
  target.next_tick = next;
  net.ScheduleActionOnHost(
      target.host, next,
      [&target, &net, run_number = target.run_number, next]() {
        if (run_number == target.run_number && next == target.next_tick) {
          target.next_tick = TimePoint::max();
          RunGateTick(target, net);
        }
      });
}

auto FinishRequestAndSendAnswer(TargetHost& target,
                                VirtualNetwork& net,
                                std::uint64_t number) -> void;

auto StartRequest(TargetHost& target,
                  VirtualNetwork& net,
                  TargetHost::Work work) -> void {
  const auto number = target.next_work++;
  target.runs->push_back(
      {.id = work.id, .target = target.host, .when = net.now()});
  target.running.emplace(number, std::move(work));
  target.running_max = std::max(target.running_max, target.running.size());
  if (target.fault == TargetFault::kStalls) {
    return;
  }
  net.ScheduleActionOnHost(
      target.host, net.now() + DrawServiceTime(target, net.random()),
      [&target, &net, number, run_number = target.run_number]() {
        if (run_number == target.run_number) {
          FinishRequestAndSendAnswer(target, net, number);
        }
      });
}

auto StartQueuedRequests(TargetHost& target, VirtualNetwork& net) -> void {
  while (!target.queue.empty() &&
         target.running.size() < target.options.gate.slots) {
    auto work = std::move(target.queue.front());
    target.queue.pop_front();
    StartRequest(target, net, std::move(work));
  }
}

auto BuildAnswer(const CoapMessage& request) -> CoapMessage {
  return {.type = CoapType::kAck,
          .code = kCoapContent,
          .id = request.id,
          .token = request.token,
          .payload = BuildAnswerBody(request)};
}

auto SendTargetMessageToGate(TargetHost& target,
                             VirtualNetwork& net,
                             const FlowKey& flow,
                             const CoapMessage& message) -> void {
  GateActions actions;
  OnTargetDatagram(target.gate, flow, EncodeCoapMessage(message), net.now(),
                   net.random(), actions);
  PerformGateActions(target, net, std::move(actions));
  RunGateTick(target, net);
}

// Sends a confirmable answer and retransmits it with exponential backoff until
// the caller acknowledges the answer or kMaxTransmissions is reached.
auto SendSeparateAnswer(TargetHost& target,
                        VirtualNetwork& net,
                        const FlowKey& flow,
                        const CoapMessage& answer,
                        int sent) -> void {
  constexpr int kMaxTransmissions = 5;
  constexpr std::chrono::milliseconds kRetransmitAfter{400};
  if (sent == kMaxTransmissions || !target.unacknowledged.contains(answer.id)) {
    return;
  }
  SendTargetMessageToGate(target, net, flow, answer);
  net.ScheduleActionOnHost(
      target.host, net.now() + kRetransmitAfter * (1 << sent),
      [&target, &net, flow, answer, sent, run_number = target.run_number] {
        if (run_number == target.run_number) {
          SendSeparateAnswer(target, net, flow, answer, sent + 1);
        }
      });
}

auto SendAnswerToGate(TargetHost& target,
                      VirtualNetwork& net,
                      const FlowKey& flow,
                      CoapMessage answer) -> void {
  if (!target.separate_answers) {
    SendTargetMessageToGate(target, net, flow, answer);
    return;
  }
  answer.type = CoapType::kCon;
  answer.id = target.next_message++;
  target.unacknowledged.insert(answer.id);
  SendSeparateAnswer(target, net, flow, answer, 0);
}

auto FinishRequestAndSendAnswer(TargetHost& target,
                                VirtualNetwork& net,
                                std::uint64_t number) -> void {
  const auto it = target.running.find(number);
  // A request that is no longer in `running` was cancelled.
  if (it == target.running.end()) {
    return;
  }
  const auto work = std::move(it->second);
  target.running.erase(it);
  auto answer = BuildAnswer(work.request);
  if (target.fault == TargetFault::kFails) {
    answer.code = kInternalServerError;
    answer.payload.clear();
  }
  if (target.kind == GateKind::kReal) {
    SendAnswerToGate(target, net, work.flow, answer);
    return;
  }
  target.answers[work.id] = answer;
  target.send_to_caller(work.flow, EncodeCoapMessage(answer));
  StartQueuedRequests(target, net);
}

// Confirms to the gate that a cancelled request has stopped.
auto ConfirmCancellation(TargetHost& target,
                         VirtualNetwork& net,
                         const FlowKey& flow,
                         const CoapMessage& cancel) -> void {
  const CoapMessage reply{.type = CoapType::kNon,
                          .code = kCoapDeleted,
                          .id = cancel.id,
                          .token = cancel.token};
  const auto busy = ComputeCoapGateLoad(target.gate, net.now()).slots_cancelled;
  GateActions actions;
  OnTargetDatagram(target.gate, flow, EncodeCoapMessage(reply), net.now(),
                   net.random(), actions);
  const auto left = ComputeCoapGateLoad(target.gate, net.now()).slots_cancelled;
  target.slots_freed += busy - left;
  PerformGateActions(target, net, std::move(actions));
  RunGateTick(target, net);
}

auto CancelRequest(TargetHost& target,
                   VirtualNetwork& net,
                   const FlowKey& flow,
                   const CoapMessage& cancel,
                   const std::string& id) -> void {
  const auto stopped = std::erase_if(
      target.running, [&](const auto& work) { return work.second.id == id; });
  target.cancelled += stopped;
  net.ScheduleActionOnHost(
      target.host, net.now(),
      [&target, &net, flow, cancel, run_number = target.run_number] {
        if (run_number == target.run_number) {
          ConfirmCancellation(target, net, flow, cancel);
        }
      });
}

// Handles a datagram that the gate sends to the target.
auto HandleDatagramAtTarget(TargetHost& target,
                            VirtualNetwork& net,
                            const FlowKey& flow,
                            const std::vector<std::uint8_t>& bytes) -> void {
  const auto request = DecodeCoapMessage(bytes, kMaxUdpPayloadBytes);
  if (const auto id = FindQueryParameter(request, "cancel")) {
    if (!target.ignores_cancel) {
      CancelRequest(target, net, flow, request, *id);
    }
    return;
  }
  if (!IsCoapRequestCode(request.code)) {
    target.unacknowledged.erase(request.id);
    return;
  }
  if (target.separate_answers) {
    net.ScheduleActionOnHost(
        target.host, net.now(),
        [&target, &net, flow, id = request.id, run_number = target.run_number] {
          if (run_number == target.run_number) {
            SendTargetMessageToGate(target, net, flow,
                                    {.type = CoapType::kAck, .id = id});
          }
        });
  }
  const auto id = FindQueryParameter(request, "rid").value_or("");
  StartRequest(target, net, {.flow = flow, .request = request, .id = id});
}

auto PerformGateActions(TargetHost& target,
                        VirtualNetwork& net,
                        GateActions actions) -> void {
  for (auto& action : actions) {
    switch (action.kind) {
      case GateAction::Kind::kToCaller:
        target.send_to_caller(action.flow, std::move(action.bytes));
        break;
      case GateAction::Kind::kToTarget:
        HandleDatagramAtTarget(target, net, action.flow, action.bytes);
        break;
      case GateAction::Kind::kToOtherTarget:
        target.forward_to_target(action.target, action.flow,
                                 std::move(action.bytes));
        break;
    }
  }
}

auto DeliverRequestToBaseline(TargetHost& target,
                              VirtualNetwork& net,
                              const FlowKey& flow,
                              const CoapMessage& request) -> void {
  const auto id = FindQueryParameter(request, "rid").value_or("");
  if (target.kind == GateKind::kUnboundedQueue) {
    if (const auto it = target.answers.find(id); it != target.answers.end()) {
      auto answer = it->second;
      answer.id = request.id;
      answer.token = request.token;
      target.send_to_caller(flow, EncodeCoapMessage(answer));
      return;
    }
    if (!target.known_ids.insert(id).second) {
      return;
    }
  }
  target.queue.push_back({.flow = flow, .request = request, .id = id});
  StartQueuedRequests(target, net);
}

}  // namespace

auto StartTargetHost(TargetHost& target, VirtualNetwork& net) -> void {
  ++target.run_number;
  target.running.clear();
  target.queue.clear();
  target.answers.clear();
  target.known_ids.clear();
  target.unacknowledged.clear();
  target.next_tick = TimePoint::max();
  target.options.gate.incarnation = Incarnation{target.run_number};
  target.gate = MakeCoapGate(target.options);
  if (target.kind == GateKind::kReal) {
    RunGateTick(target, net);
  }
}

auto DeliverDatagramToTarget(TargetHost& target,
                             VirtualNetwork& net,
                             const FlowKey& flow,
                             const std::vector<std::uint8_t>& bytes) -> void {
  if (target.kind != GateKind::kReal) {
    DeliverRequestToBaseline(target, net, flow,
                             DecodeCoapMessage(bytes, kMaxUdpPayloadBytes));
    return;
  }
  GateActions actions;
  OnCallerDatagram(target.gate, flow, bytes, net.now(), net.random(), actions);
  PerformGateActions(target, net, std::move(actions));
  RunGateTick(target, net);
}

auto BuildAnswerBody(const CoapMessage& request) -> std::vector<std::uint8_t> {
  const auto id = FindQueryParameter(request, "rid").value_or("");
  std::string text;
  for (std::size_t n = 0; n < kAnswerRepeats; ++n) {
    text += id + ';';
  }
  return {text.begin(), text.end()};
}

}  // namespace hawthornbank::bench
