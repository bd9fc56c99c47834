#ifndef HAWTHORNBANK_TEST_RESTART_WORLD_H_
#define HAWTHORNBANK_TEST_RESTART_WORLD_H_

#include <cstring>
#include <string>
#include <string_view>
#include <vector>

#include "restart_targets.h"

/// @file
/// Callers and their flows beside RestartTargets, and the check of what reaches
/// them.
namespace hawthornbank::test {

// Until then all processes have just started together.
inline constexpr Duration kSettlingTime = 5s;
// Time from its start until an agent is in touch. The first message that it
// gets may be a late one, of a time when its target took openings.
inline constexpr Duration kStableTime = 4s;
inline constexpr std::uint32_t kSequenceStep = 1'000'000;  // Between targets.

struct CallerFlow {
  std::uint32_t target = 0;  // Number of the agent; 0 until it has answered.
  bool is_open = false;
  std::uint32_t acknowledgement = 0;  // Of an opening: its earlier copies.
  TimePoint idle_until{};
};

inline auto NameOwnership(FlowOwnership ownership) -> const char* {
  constexpr std::array kNames = {"held", "not held", "unsure", "rejected"};
  return kNames.at(static_cast<std::size_t>(ownership));
}

inline auto MakeFlowKey(std::uint16_t port) -> FlowKey {
  return FlowKey{.caller = {.address = 0x64400007, .port = port},
                 .address = kAddress};
}

struct RestartWorld : RestartTargets {
  std::map<std::uint16_t, CallerFlow> callers;
  bool do_flows_move;
  std::uint16_t next_port = 1;
  // A line for each reset of an open flow and each opening at a target that has
  // drained or is of another service; after the first one the order of events
  // that led to it.
  std::string violations;
  int carried = 0;  // Packets of open flows that reached their target.

  explicit RestartWorld(std::uint32_t seed)
      : RestartTargets(seed), do_flows_move(seed % 2 == 0) {
    for (std::uint32_t n = 1; n <= kBalancers; ++n) {
      Start(MakeBalancerEndpoint(n));
    }
    for (std::uint32_t n = 1; n <= kAgents; ++n) {
      StartTarget(n);
      Start(MakeAgentEndpoint(n));
    }
  }

  // The flows of a target end with it.
  auto OnTargetEnded(std::uint32_t n) -> void override {
    std::erase_if(callers,
                  [&](const auto& it) { return it.second.target == n; });
  }

  auto RecordFlow(std::uint32_t agent,
                  std::uint16_t port,
                  const std::string& text) -> void {
    order.Record({.at = now, .agent = agent, .port = port, .text = text});
  }

  auto ReportViolation(std::uint32_t agent,
                       std::uint16_t port,
                       const std::string& text) -> void {
    RecordFlow(agent, port, text);
    const std::string line = order.Format(order.events.back());
    violations += violations.empty()
                      ? line + " after\n" + order.Describe(agent, port)
                      : line;
  }

  auto OnMessage(Process& to, Endpoint from, const NodeMessage& message)
      -> void {
    const Endpoint self = to.fleet().self.control;
    if (const auto* query = std::get_if<FlowQuery>(&message)) {
      std::vector<TargetAction> out;
      OnFlowQuery(*to.flows, *query, now, out);
      Perform(self, out, {});
    } else if (const auto* reply = std::get_if<FlowReply>(&message)) {
      std::vector<SteeringAction> out;
      OnFlowReply(*to.steering, *reply, now, out);
      Perform(self, out, {});
    } else {
      OnGossipMessage(to, from, message);
    }
  }

  // Flows ---------------------------------------------------------------------

  // Bytes that stand for a packet and from which it is read again.
  static auto Encode(const FlowPacket& packet) -> std::vector<std::uint8_t> {
    std::vector<std::uint8_t> bytes(sizeof packet);
    std::memcpy(bytes.data(), &packet, sizeof packet);
    return bytes;
  }

  static auto ChoosePacket(const std::vector<std::uint8_t>& kept,
                           const FlowPacket& current) -> FlowPacket {
    FlowPacket packet = current;
    if (!kept.empty()) {
      std::memcpy(&packet, kept.data(), sizeof packet);
    }
    return packet;
  }

  auto OnReset(Endpoint by, const FlowKey& flow, std::string_view reason)
      -> void {
    const auto it = callers.find(flow.caller.port);
    if (it == callers.end()) {
      return;
    }
    if (it->second.is_open) {
      ReportViolation(
          it->second.target, flow.caller.port,
          fmt::format("port {} of target {} reset by {}: {}", flow.caller.port,
                      it->second.target, Name(by), reason));
    }
    callers.erase(it);
  }

  auto Perform(Endpoint self,
               const std::vector<SteeringAction>& actions,
               const FlowPacket& packet) -> void {
    for (const auto& it : actions) {
      if (it.kind == SteeringAction::Kind::kReset) {
        OnReset(self, it.flow, ToString(it.reason));
      } else if (it.kind == SteeringAction::Kind::kQuery) {
        RecordFlow(0, it.flow.caller.port,
                   fmt::format("{} queries {} agents", Name(self),
                               it.receivers.size()));
        for (const auto receiver : it.receivers) {
          SendMessage(self, receiver, it.query);
        }
      } else if (it.kind == SteeringAction::Kind::kRelay) {
        network.emplace(
            now + 1ms * (1 + Draw(8)),
            Datagram{self, it.to,
                     RelayedPacket{it.header, ChoosePacket(it.kept, packet)}});
      }
    }
  }

  auto Perform(Endpoint self,
               const std::vector<TargetAction>& actions,
               const FlowPacket& packet) -> void override {
    for (const auto& it : actions) {
      const FlowPacket chosen = ChoosePacket(it.opening, packet);
      if (it.kind == TargetAction::Kind::kReset) {
        OnReset(self, it.flow, ToString(it.reason));
      } else if (it.kind == TargetAction::Kind::kDeliver) {
        DeliverToTarget(self, chosen, it.return_id);
      } else if (it.kind == TargetAction::Kind::kReturnToBalancer) {
        network.emplace(
            now + 1ms * (1 + Draw(8)),
            Datagram{self, it.to, RelayedPacket{it.header, chosen}});
      } else if (it.kind == TargetAction::Kind::kReplyToBalancer) {
        RecordFlow(GetNumber(self), it.flow.caller.port,
                   fmt::format("{} replies {} to {}", Name(self),
                               NameOwnership(it.ownership), Name(it.to)));
        SendMessage(
            self, it.to,
            FlowReply{
                .flow = it.flow, .agent = self, .ownership = it.ownership});
      }
    }
  }

  auto CheckOpening(std::uint32_t n, std::uint16_t port) -> void {
    const Target& target = targets[n];
    if (target.service != kServiceName) {
      ReportViolation(n, port,
                      fmt::format("opening of port {} reaches target {}, which "
                                  "is of another service",
                                  port, n));
    }
    if (target.state == TargetState::kDraining &&
        now - processes[MakeAgentEndpoint(n)].started >= kStableTime &&
        target.drain_acknowledged_at != TimePoint::max() &&
        now - target.drain_acknowledged_at > kDrainTime) {
      ReportViolation(
          n, port,
          fmt::format("opening of port {} reaches target {}, which "
                      "drains, {} ms after the acknowledgement",
                      port, n, (now - target.drain_acknowledged_at) / 1ms));
    }
  }

  auto DeliverToTarget(Endpoint agent, FlowPacket packet, std::uint32_t id)
      -> void {
    const std::uint32_t n = GetNumber(agent);
    Target& target = targets[n];
    const std::uint16_t port = packet.source.port;
    if (target.state == TargetState::kGone) {
      return;
    }
    CallerFlow* const caller =
        callers.contains(port) ? &callers[port] : nullptr;
    FlowPacket answer{.source = packet.destination,
                      .destination = packet.source,
                      .has_acknowledgement = true,
                      .sequence = n * kSequenceStep};
    if (packet.is_opening) {
      CheckOpening(n, port);
      target.held.insert(port);
      answer.is_opening = true;
      if (caller != nullptr && caller->target == 0) {
        *caller = {.target = n, .acknowledgement = answer.sequence + 1};
      }
    } else if (target.held.contains(port) &&
               packet.acknowledgement == answer.sequence + 1) {
      if (caller != nullptr && caller->target == n) {
        if (!caller->is_open) {
          RecordFlow(n, port,
                     fmt::format("port {} opens at target {}", port, n));
        }
        carried += caller->is_open ? 1 : 0;
        caller->is_open = true;
      }
    } else {
      answer = packet;
      answer.is_returned = true;
      answer.return_id = id;
    }
    std::vector<TargetAction> out;
    OnTargetPacket(*processes[agent].flows, answer, now, out);
    Perform(agent, out, packet);
  }

  static auto ChooseBalancer(std::uint32_t n) -> Endpoint {
    return MakeBalancerEndpoint(1 + n % kBalancers);
  }

  auto SendCallerPacket(std::uint16_t port, CallerFlow& caller) -> void {
    // Routers send a flow to the same balancer; in some worlds they send some
    // packets of open flows to others.
    std::uint32_t n = port;
    if (do_flows_move && caller.is_open && now - kBegin > kSettlingTime &&
        Draw(4) == 0) {
      n = Draw(kBalancers);
    }
    for (const auto last = n + kBalancers;
         n < last && !processes[ChooseBalancer(n)].up;) {
      ++n;
    }
    const Endpoint control = ChooseBalancer(n);
    Process& balancer = processes[control];
    if (!balancer.up) {
      return;
    }
    const FlowPacket packet{.source = MakeFlowKey(port).caller,
                            .destination = kAddress,
                            .is_opening = caller.target == 0,
                            .has_acknowledgement = caller.target != 0,
                            .acknowledgement = caller.acknowledgement};
    caller.acknowledgement += packet.is_opening ? 1 : 0;
    std::vector<SteeringAction> out;
    OnCallerPacket(*balancer.steering, packet, Encode(packet), now, out);
    Perform(control, out, packet);
  }

  auto OnRelayed(Process& to, Endpoint from, const RelayedPacket& relayed)
      -> void {
    const Endpoint self = to.fleet().self.control;
    const auto bytes = Encode(relayed.packet);
    if (to.steering) {
      std::vector<SteeringAction> out;
      OnPacketReturnedByAgent(*to.steering, from, relayed.header,
                              relayed.packet, bytes, now, out);
      Perform(self, out, relayed.packet);
    } else {
      std::vector<TargetAction> out;
      OnRelayedPacket(*to.flows, relayed.header, relayed.packet, bytes, now,
                      out);
      Perform(self, out, relayed.packet);
    }
  }
};

}  // namespace hawthornbank::test

#endif  // HAWTHORNBANK_TEST_RESTART_WORLD_H_
