#include "common/request_target.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornbank::bench {
namespace {

constexpr std::uint8_t kInternalServerError = 5 << 5;
constexpr std::size_t kAnswerRepeats = 40;
constexpr double kLongestService = 10;  // In mean service times.

auto DrawServiceTime(TargetHost& target, Random& random) -> Duration {
  const double factor =
      std::min(kLongestService, -std::log(1 - DrawRandomFraction(random)));
  return Duration{static_cast<Duration::rep>(
      factor * static_cast<double>(target.service_time.count()))};
}

auto Apply(TargetHost& target, VirtualNetwork& net, GateActions actions)
    -> void;

auto PlanTick(TargetHost& target, VirtualNetwork& net) -> void {
  GateActions actions;
  const auto next = OnGateTick(target.gate, net.now(), net.random(), actions);
  Apply(target, net, std::move(actions));
  if (next >= target.wake && target.wake > net.now()) {
    return;
  }
  target.wake = next;
  net.AtHost(target.host, next, [&target, &net, life = target.life, next]() {
    if (life == target.life && next == target.wake) {
      target.wake = TimePoint::max();
      PlanTick(target, net);
    }
  });
}

auto FinishWork(TargetHost& target, VirtualNetwork& net, std::uint64_t number)
    -> void;

auto StartWork(TargetHost& target, VirtualNetwork& net, TargetHost::Work work)
    -> void {
  const auto number = target.next_work++;
  target.runs->push_back(
      {.id = work.id, .target = target.host, .when = net.now()});
  target.running.emplace(number, std::move(work));
  target.running_max = std::max(target.running_max, target.running.size());
  if (target.sickness == Sickness::kStalls) {
    return;
  }
  net.AtHost(target.host, net.now() + DrawServiceTime(target, net.random()),
             [&target, &net, number, life = target.life]() {
               if (life == target.life) {
                 FinishWork(target, net, number);
               }
             });
}

auto StartQueued(TargetHost& target, VirtualNetwork& net) -> void {
  while (!target.queue.empty() &&
         target.running.size() < target.options.gate.slots) {
    auto work = std::move(target.queue.front());
    target.queue.pop_front();
    StartWork(target, net, std::move(work));
  }
}

auto MakeAnswer(const CoapMessage& request) -> CoapMessage {
  return {.type = CoapType::kAck,
          .code = kCoapContent,
          .id = request.id,
          .token = request.token,
          .payload = AnswerBody(request)};
}

auto HandToGate(TargetHost& target,
                VirtualNetwork& net,
                const FlowKey& flow,
                const CoapMessage& message) -> void {
  GateActions actions;
  OnTargetDatagram(target.gate, flow, EncodeCoapMessage(message), net.now(),
                   net.random(), actions);
  Apply(target, net, std::move(actions));
  PlanTick(target, net);
}

// Sends a confirmable answer until it is acknowledged.
auto SendSeparate(TargetHost& target,
                  VirtualNetwork& net,
                  const FlowKey& flow,
                  const CoapMessage& answer,
                  int sent) -> void {
  constexpr int kMostSendings = 5;
  constexpr std::chrono::milliseconds kRetransmitAfter{400};
  if (sent == kMostSendings || !target.unacknowledged.contains(answer.id)) {
    return;
  }
  HandToGate(target, net, flow, answer);
  net.AtHost(target.host, net.now() + kRetransmitAfter * (1 << sent),
             [&target, &net, flow, answer, sent, life = target.life] {
               if (life == target.life) {
                 SendSeparate(target, net, flow, answer, sent + 1);
               }
             });
}

auto SendAnswer(TargetHost& target,
                VirtualNetwork& net,
                const FlowKey& flow,
                CoapMessage answer) -> void {
  if (!target.separate_answers) {
    HandToGate(target, net, flow, answer);
    return;
  }
  answer.type = CoapType::kCon;
  answer.id = target.next_message++;
  target.unacknowledged.insert(answer.id);
  SendSeparate(target, net, flow, answer, 0);
}

auto FinishWork(TargetHost& target, VirtualNetwork& net, std::uint64_t number)
    -> void {
  const auto it = target.running.find(number);
  if (it == target.running.end()) {
    return;  // Cancelled.
  }
  const auto work = std::move(it->second);
  target.running.erase(it);
  auto answer = MakeAnswer(work.request);
  if (target.sickness == Sickness::kFails) {
    answer.code = kInternalServerError;
    answer.payload.clear();
  }
  if (target.kind == GateKind::kReal) {
    SendAnswer(target, net, work.flow, answer);
    return;
  }
  target.answers[work.id] = answer;
  target.send(work.flow, EncodeCoapMessage(answer));
  StartQueued(target, net);
}

// Confirms to the gate that work has stopped.
auto ConfirmCancel(TargetHost& target,
                   VirtualNetwork& net,
                   const FlowKey& flow,
                   const CoapMessage& cancel) -> void {
  const CoapMessage reply{.type = CoapType::kNon,
                          .code = kCoapDeleted,
                          .id = cancel.id,
                          .token = cancel.token};
  const auto busy = ReportCoapGateLoad(target.gate, net.now()).slots_cancelled;
  GateActions actions;
  OnTargetDatagram(target.gate, flow, EncodeCoapMessage(reply), net.now(),
                   net.random(), actions);
  const auto left = ReportCoapGateLoad(target.gate, net.now()).slots_cancelled;
  target.slots_freed += busy - left;
  Apply(target, net, std::move(actions));
  PlanTick(target, net);
}

auto CancelWork(TargetHost& target,
                VirtualNetwork& net,
                const FlowKey& flow,
                const CoapMessage& cancel,
                const std::string& id) -> void {
  const auto stopped = std::erase_if(
      target.running, [&](const auto& work) { return work.second.id == id; });
  target.cancelled += stopped;
  net.AtHost(target.host, net.now(),
             [&target, &net, flow, cancel, life = target.life] {
               if (life == target.life) {
                 ConfirmCancel(target, net, flow, cancel);
               }
             });
}

// The gate hands a datagram to the target.
auto HandToTarget(TargetHost& target,
                  VirtualNetwork& net,
                  const FlowKey& flow,
                  const std::vector<std::uint8_t>& bytes) -> void {
  const auto request = DecodeCoapMessage(bytes, kMaxUdpPayloadBytes);
  if (const auto id = FindQueryParameter(request, "cancel")) {
    if (!target.ignores_cancel) {
      CancelWork(target, net, flow, request, *id);
    }
    return;
  }
  if (!IsCoapRequestCode(request.code)) {
    target.unacknowledged.erase(request.id);
    return;
  }
  if (target.separate_answers) {
    net.AtHost(target.host, net.now(),
               [&target, &net, flow, id = request.id, life = target.life] {
                 if (life == target.life) {
                   HandToGate(target, net, flow,
                              {.type = CoapType::kAck, .id = id});
                 }
               });
  }
  const auto id = FindQueryParameter(request, "rid").value_or("");
  StartWork(target, net, {.flow = flow, .request = request, .id = id});
}

auto Apply(TargetHost& target, VirtualNetwork& net, GateActions actions)
    -> void {
  for (auto& action : actions) {
    switch (action.kind) {
      case GateAction::Kind::kToCaller:
        target.send(action.flow, std::move(action.bytes));
        break;
      case GateAction::Kind::kToTarget:
        HandToTarget(target, net, action.flow, action.bytes);
        break;
      case GateAction::Kind::kToOtherTarget:
        target.pass(action.target, action.flow, std::move(action.bytes));
        break;
    }
  }
}

auto DeliverToBaseline(TargetHost& target,
                       VirtualNetwork& net,
                       const FlowKey& flow,
                       const CoapMessage& request) -> void {
  const auto id = FindQueryParameter(request, "rid").value_or("");
  if (target.kind == GateKind::kUnboundedQueue) {
    if (const auto it = target.answers.find(id); it != target.answers.end()) {
      auto answer = it->second;
      answer.id = request.id;
      answer.token = request.token;
      target.send(flow, EncodeCoapMessage(answer));
      return;
    }
    if (!target.known.insert(id).second) {
      return;
    }
  }
  target.queue.push_back({.flow = flow, .request = request, .id = id});
  StartQueued(target, net);
}

}  // namespace

auto StartTarget(TargetHost& target, VirtualNetwork& net) -> void {
  ++target.life;
  target.running.clear();
  target.queue.clear();
  target.answers.clear();
  target.known.clear();
  target.unacknowledged.clear();
  target.wake = TimePoint::max();
  target.options.gate.incarnation = Incarnation{target.life};
  target.gate = MakeCoapGate(target.options);
  if (target.kind == GateKind::kReal) {
    PlanTick(target, net);
  }
}

auto DeliverToTarget(TargetHost& target,
                     VirtualNetwork& net,
                     const FlowKey& flow,
                     const std::vector<std::uint8_t>& bytes) -> void {
  if (target.kind != GateKind::kReal) {
    DeliverToBaseline(target, net, flow,
                      DecodeCoapMessage(bytes, kMaxUdpPayloadBytes));
    return;
  }
  GateActions actions;
  OnCallerDatagram(target.gate, flow, bytes, net.now(), net.random(), actions);
  Apply(target, net, std::move(actions));
  PlanTick(target, net);
}

auto AnswerBody(const CoapMessage& request) -> std::vector<std::uint8_t> {
  const auto id = FindQueryParameter(request, "rid").value_or("");
  std::string text;
  for (std::size_t n = 0; n < kAnswerRepeats; ++n) {
    text += id + ';';
  }
  return {text.begin(), text.end()};
}

}  // namespace hawthornbank::bench
