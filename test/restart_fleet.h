#ifndef HAWTHORNBANK_TEST_RESTART_FLEET_H_
#define HAWTHORNBANK_TEST_RESTART_FLEET_H_

#include <array>
#include <map>
#include <memory>
#include <random>
#include <variant>

#include "hawthornbank/steering.h"
#include "hawthornbank/target_flows.h"
#include "hawthornbank/target_presence.h"
#include "protocol/node_message.h"
#include "restart_events.h"
#include "steering_fixture.h"

/// @file
/// Balancers and agents that restart, and what they tell one another about
/// themselves, in a model without a network.
namespace hawthornbank::test {

using namespace std::chrono_literals;

inline constexpr std::uint32_t kBalancers = 3;
inline constexpr std::uint32_t kAgents = 6;
inline const TimePoint kBegin{std::chrono::seconds{100'000}};
inline constexpr const char* kServiceName = "s";  // Of all agents.

struct EndpointOrder {
  auto operator()(Endpoint a, Endpoint b) const -> bool {
    return std::pair(a.address, a.port) < std::pair(b.address, b.port);
  }
};

struct RelayedPacket {
  RelayHeader header;
  FlowPacket packet;
};

struct Datagram {
  Endpoint from;
  Endpoint to;
  std::variant<NodeMessage, RelayedPacket> content;
};

struct Process {
  bool up = false;
  TimePoint started{};
  TimePoint next_heartbeat{};
  TimePoint next_housekeeping{};
  TimePoint restart_at{};
  Duration clock_step{};
  std::unique_ptr<Steering> steering;  // Balancers.
  std::unique_ptr<TargetFlows> flows;  // Agents.
  TargetPresence presence;
  Fleet agent_fleet;

  auto fleet() -> Fleet& { return steering ? steering->fleet : agent_fleet; }
};

inline auto MakeBalancerEndpoint(std::uint32_t n) -> Endpoint {
  return Endpoint{.address = 0x0A020000 + n, .port = 7000};
}

// Returns the number of a balancer or an agent.
inline auto GetNumber(Endpoint control) -> std::uint32_t {
  return control.address & 0xFF;
}

inline auto NameMessage(const NodeMessage& message) -> const char* {
  constexpr std::array kNames = {"announcement",  "roster",    "reply",
                                 "query",         "heartbeat", "comparison",
                                 "record request"};
  static_assert(kNames.size() == std::variant_size_v<NodeMessage>);
  return kNames.at(message.index());
}

// Balancers and agents whose messages are late, repeated or lost.
struct RestartFleet {
  std::mt19937 random;
  TimePoint now = kBegin;
  EventOrder order{.begin = kBegin, .events = {}};
  std::map<Endpoint, Process, EndpointOrder> processes;
  std::multimap<TimePoint, Datagram> network;

  explicit RestartFleet(std::uint32_t seed) : random(seed) {}

  auto Draw(std::uint32_t limit) -> std::uint32_t {
    return std::uniform_int_distribution<std::uint32_t>(0, limit - 1)(random);
  }

  static auto IsBalancer(Endpoint control) -> bool {
    return (control.address & 0xFFFF0000) == 0x0A020000;
  }

  static auto Name(Endpoint control) -> std::string {
    return fmt::format("{} {}", IsBalancer(control) ? "balancer" : "agent",
                       GetNumber(control));
  }

  auto RecordProcess(Endpoint control, const std::string& text) -> void {
    order.Record({.at = now,
                  .agent = IsBalancer(control) ? 0 : GetNumber(control),
                  .text = Name(control) + " " + text});
  }

  auto StepClock(Endpoint control, Duration step) -> void {
    processes[control].clock_step = step;
    RecordProcess(control,
                  fmt::format("has its clock set to {:+} ms", step / 1ms));
  }

  auto Start(Endpoint control) -> void {
    Process& it = processes[control];
    it.up = true;
    it.started = it.next_heartbeat = it.next_housekeeping = now;
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch() + it.clock_step);
    HostRecord self{
        .control = control,
        .role = IsBalancer(control) ? HostRole::kBalancer : HostRole::kAgent,
        .zone = "a",
        .incarnation = static_cast<std::uint64_t>(wall.count())};
    if (IsBalancer(control)) {
      it.steering = std::make_unique<Steering>();
      it.steering->started = now;
      it.steering->routes.version = 3;
      it.steering->routes.routes[kAddress] =
          Route{.shares = {{.service = kService}}};
      it.steering->routes.history.complete_since = now - 1h;
      it.steering->routes_confirmed_at = now + 1h;
    } else {
      self.service = kService;
      it.flows = std::make_unique<TargetFlows>();
      it.flows->options.service = kService;
      it.flows->options.self = control;
      it.presence =
          TargetPresence{.service = kServiceName, .process_started_at = now};
      it.agent_fleet = {};
    }
    it.fleet().self = self;
    // No flow is older than the processes that start first.
    it.fleet().knows_agents_since =
        now == kBegin ? now - kFlowLifetime : it.started;
    RecordProcess(control,
                  fmt::format("starts, incarnation {}", self.incarnation));
    Announce(it, true);
  }

  auto Stop(Endpoint control, bool is_crash) -> void {
    Process& it = processes[control];
    if (!it.up) {
      return;
    }
    RecordProcess(control, is_crash ? "crashes" : "shuts down");
    if (!is_crash) {
      HostRecord record = it.fleet().self;
      record.is_shutting_down = true;
      UpdateOwnRecord(it.fleet(), record);
      Announce(it, false);
    }
    it.up = false;
    it.restart_at = now + 1ms * (100 + Draw(700));
  }

  // Gossip --------------------------------------------------------------------

  // Some messages are lost, some repeated, some arrive seconds later.
  auto SendMessage(Endpoint from, Endpoint to, NodeMessage message) -> void {
    const bool is_of_flow = std::holds_alternative<FlowQuery>(message) ||
                            std::holds_alternative<FlowReply>(message);
    const auto copies = Draw(25) == 0 ? 0 : Draw(25) == 0 ? 2 : 1;
    if (copies == 0) {
      RecordMessage(from, to, message, "lost");
    }
    for (int n = 0; n < copies; ++n) {
      const bool is_late = !is_of_flow && Draw(40) == 0;
      const Duration delay = 1ms * (1 + Draw(is_late ? 4000 : 10));
      if (is_late) {
        RecordMessage(from, to, message,
                      fmt::format("late by {} ms", delay / 1ms));
      }
      network.emplace(now + delay, Datagram{from, to, message});
    }
  }

  auto RecordMessage(Endpoint from,
                     Endpoint to,
                     const NodeMessage& message,
                     const std::string& fate) -> void {
    const bool is_between_balancers = IsBalancer(from) && IsBalancer(to);
    if (is_between_balancers &&
        std::holds_alternative<HostHeartbeat>(message)) {
      return;  // Too many to report.
    }
    std::uint16_t port = 0;
    if (const auto* query = std::get_if<FlowQuery>(&message)) {
      port = query->flow.caller.port;
    } else if (const auto* reply = std::get_if<FlowReply>(&message)) {
      port = reply->flow.caller.port;
    }
    const Endpoint agent = IsBalancer(from) ? to : from;
    order.Record(
        {.at = now,
         .agent = IsBalancer(agent) ? 0 : GetNumber(agent),
         .port = port,
         .text = fmt::format("{} of {} to {} is {}", NameMessage(message),
                             Name(from), Name(to), fate)});
  }

  auto MakeAnnouncement(Process& from, bool wants_roster) -> HostAnnouncement {
    return HostAnnouncement{.record = from.fleet().self,
                            .roster_digest = from.fleet().digest,
                            .wants_roster = wants_roster,
                            .uptime_ms = static_cast<std::uint32_t>(
                                (now - from.fleet().knows_agents_since) / 1ms)};
  }

  auto Announce(Process& from, bool wants_roster) -> void {
    for (std::uint32_t n = 1; n <= kBalancers; ++n) {
      if (MakeBalancerEndpoint(n) != from.fleet().self.control) {
        SendMessage(from.fleet().self.control, MakeBalancerEndpoint(n),
                    MakeAnnouncement(from, wants_roster));
      }
    }
    if (from.steering) {
      for (std::uint32_t n = 1; n <= kAgents; ++n) {
        SendMessage(from.fleet().self.control, MakeAgentEndpoint(n),
                    MakeAnnouncement(from, false));
      }
    }
  }

  auto SendHeartbeats(Process& from) -> void {
    from.next_heartbeat = now + 700ms + 1ms * Draw(200);
    const HostRecord& self = from.fleet().self;
    for (std::uint32_t n = 1; n <= kBalancers; ++n) {
      if (MakeBalancerEndpoint(n) != self.control) {
        SendMessage(self.control, MakeBalancerEndpoint(n),
                    HostHeartbeat{.incarnation = self.incarnation,
                                  .revision = self.revision,
                                  .roster_digest = from.fleet().digest});
      }
    }
  }

  auto Merge(Process& to, const HostRecord& record, Duration age)
      -> MergeOutcome {
    const auto outcome = MergeHostRecord(to.fleet(), record, age, now);
    if (outcome == MergeOutcome::kOwnRecordSuperseded) {
      Announce(to, false);
    }
    return outcome;
  }

  auto ReturnRecord(Process& to, KnownHost& host, std::uint64_t incarnation)
      -> void {
    if (MustReturnRecord(host, incarnation, now)) {
      SendMessage(to.fleet().self.control, host.record.control,
                  RosterPart{.records = {ForwardHostRecord(host, now)}});
    }
  }

  auto SendFormerRecord(Process& from, KnownHost& host) -> void {
    if (from.steering && MustSendFormerRecord(host, now)) {
      SendMessage(from.fleet().self.control, host.record.control,
                  RosterPart{.records = {{.record = MakeFormerRecord(host)}}});
    }
  }

  auto OnFormerTarget(Process& agent, std::uint64_t started_at_ms) -> void {
    if (RecordFormerStart(agent.presence, started_at_ms)) {
      agent.flows->knows_all_flows = agent.presence.knows_all_flows;
      RecordProcess(agent.fleet().self.control,
                    fmt::format("is told of its former target's start, born={}",
                                started_at_ms));
    }
  }

  auto OnAnnouncement(Process& to, const HostAnnouncement& message) -> void {
    const Endpoint from = message.record.control;
    RecordUptime(to.fleet(), 1ms * message.uptime_ms.value_or(0), now);
    const auto outcome = Merge(to, message.record, 0s);
    KnownHost& host = to.fleet().hosts.at(from);
    if (outcome == MergeOutcome::kOlderRecord) {
      ReturnRecord(to, host, message.record.incarnation);
    } else {
      RecordHostContact(host, now);
      host.knows_agents_since = now - 1ms * message.uptime_ms.value_or(0);
      LearnOfAgentsFrom(to.fleet(), host, message.roster_digest);
      SendFormerRecord(to, host);
    }
    if (!to.steering || message.wants_roster) {
      SendMessage(to.fleet().self.control, from, MakeAnnouncement(to, false));
    }
    if (message.wants_roster) {
      RosterPart part;
      for (const auto& [control, it] : to.fleet().hosts) {
        if (control != from) {
          part.records.push_back(ForwardHostRecord(it, now));
        }
      }
      SendMessage(to.fleet().self.control, from, part);
    }
  }

  auto OnHeartbeat(Process& to, Endpoint from, const HostHeartbeat& message)
      -> void {
    const auto host = to.fleet().hosts.find(from);
    if (host == to.fleet().hosts.end() ||
        std::pair(host->second.record.incarnation,
                  host->second.record.revision) <
            std::pair(message.incarnation, message.revision)) {
      SendMessage(to.fleet().self.control, from, RecordRequest{});
    } else if (host->second.record.incarnation != message.incarnation) {
      ReturnRecord(to, host->second, message.incarnation);
    } else {
      RecordHostContact(host->second, now);
      LearnOfAgentsFrom(to.fleet(), host->second, message.roster_digest);
    }
  }

  // Handles what processes tell one another about themselves.
  auto OnGossipMessage(Process& to, Endpoint from, const NodeMessage& message)
      -> void {
    const Endpoint self = to.fleet().self.control;
    if (const auto* it = std::get_if<HostAnnouncement>(&message)) {
      OnAnnouncement(to, *it);
    } else if (const auto* beat = std::get_if<HostHeartbeat>(&message)) {
      OnHeartbeat(to, from, *beat);
    } else if (std::holds_alternative<RecordRequest>(message)) {
      SendMessage(self, from, MakeAnnouncement(to, false));
    } else if (const auto* part = std::get_if<RosterPart>(&message)) {
      for (const auto& record : part->records) {
        const auto former_start =
            FindFormerTargetStart(to.fleet(), record.record);
        if (former_start != 0 && to.flows) {
          OnFormerTarget(to, former_start);
        }
        if (ShouldMergeRecord(to.fleet(), record.record)) {
          Merge(to, record.record, 1ms * record.age_ms);
        }
      }
    }
  }
};

}  // namespace hawthornbank::test

#endif  // HAWTHORNBANK_TEST_RESTART_FLEET_H_
