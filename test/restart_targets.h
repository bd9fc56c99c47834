#ifndef HAWTHORNBANK_TEST_RESTART_TARGETS_H_
#define HAWTHORNBANK_TEST_RESTART_TARGETS_H_

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "restart_fleet.h"

/// @file
/// Targets beside a RestartFleet that start, crash and drain, and the messages
/// of their present and earlier starts.
namespace hawthornbank::test {

inline constexpr Duration kWarmup = 8s;
inline constexpr Duration kTargetHeartbeatInterval = 1s;
// A later acknowledgement doesn't count.
inline constexpr Duration kAcknowledgementTimeout = 1s;
// Time from the acknowledgement of a drain until the target gets no openings.
inline constexpr Duration kDrainTime = 3s;
// Time after which a target whose drain isn't acknowledged ends all the same.
inline constexpr Duration kMaxDrainWait = 5s;
inline constexpr std::uint32_t kMaxMessageDelayMs = 6000;
inline constexpr std::uint32_t kMaxClockStepMs = 3000;

// A target of another service may start at the address of one that has ended
// after this time, and the reverse.
inline constexpr Duration kReuseDelay = 2s;
inline constexpr const char* kOtherServiceName = "t";

// Whether the first heartbeat of a start is repeated after later messages.
inline constexpr bool kRepeatsFirstHeartbeats = true;
// Whether heartbeats of ended starts arrive at agents that don't know the start
// and take it for the present one: its start time is the later one, or another
// service has the address.
inline constexpr bool kDelaysHeartbeatsOfUnknownStarts = true;
// Whether heartbeats from before a restart of all balancers and agents arrive
// after it, when no process remembers their starts.
inline constexpr bool kDelaysHeartbeatsPastJointRestarts = false;
// Whether deregistrations arrive after later messages.
inline constexpr bool kDelaysDeregistrations = true;

// Returns the number of a start's first heartbeat: targets count from 0 or 1.
constexpr auto GetFirstSequence(std::uint32_t target) -> std::uint64_t {
  return target % 2;
}

struct Deregistration {
  std::string id;
};

struct TargetMessage {
  std::uint32_t target = 0;
  std::uint32_t start = 0;  // Number of the start that has sent it.
  TimePoint sent_at{};
  std::variant<TargetHeartbeat, Deregistration> content;
};

struct Target {
  std::uint32_t start = 0;  // Number of the present start.
  TargetState state = TargetState::kGone;
  std::string service = kServiceName;
  std::string id;
  std::uint64_t started_at_ms = 0;  // By the clock of the target's host.
  std::uint64_t sequence = 0;
  Duration clock_step{};
  TimePoint started{};
  TimePoint next_heartbeat{};
  TimePoint next_start = TimePoint::max();
  TimePoint end = TimePoint::max();  // Of a draining target.
  TimePoint ended = kBegin;          // Of the start before.
  TimePoint drain_acknowledged_at = TimePoint::max();
  bool is_heartbeat_late = false;       // The newest one.
  std::set<std::uint64_t> start_times;  // Of all starts.
  std::set<std::uint16_t> held;         // Ports of its flows.
};

inline auto ToText(const TargetMessage& message) -> std::string {
  const auto* beat = std::get_if<TargetHeartbeat>(&message.content);
  return beat != nullptr
             ? fmt::format("heartbeat {} of start {}, {}", beat->sequence,
                           message.start, ToString(beat->state))
             : fmt::format("deregistration of start {}", message.start);
}

struct RestartTargets : RestartFleet {
  std::map<std::uint32_t, Target> targets;
  std::multimap<TimePoint, TargetMessage> target_messages;
  TimePoint all_restarted_at{};
  int acknowledged_drains = 0;
  int late_messages = 0;  // Received after later ones or by another start.

  using RestartFleet::RestartFleet;
  RestartTargets(const RestartTargets&) = delete;
  auto operator=(const RestartTargets&) -> RestartTargets& = delete;
  virtual ~RestartTargets() = default;

  virtual auto OnTargetEnded(std::uint32_t n) -> void = 0;
  virtual auto Perform(Endpoint self,
                       const std::vector<TargetAction>& actions,
                       const FlowPacket& packet) -> void = 0;

  auto RecordTarget(std::uint32_t n, const std::string& text) -> void {
    order.Record(
        {.at = now, .agent = n, .text = fmt::format("target {} {}", n, text)});
  }

  // Starts and ends -----------------------------------------------------------

  // Returns the start time by the clock of the target's host. No two starts of
  // a target have the same one.
  auto ChooseStartTime(Target& target) -> std::uint64_t {
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch() + target.clock_step);
    auto started_at_ms = static_cast<std::uint64_t>(wall.count());
    while (!target.start_times.insert(started_at_ms).second) {
      ++started_at_ms;
    }
    return started_at_ms;
  }

  auto StartTarget(std::uint32_t n) -> void {
    Target& target = targets[n];
    if (target.state != TargetState::kGone) {
      EndTarget(n, "crashes");
    }
    if (Draw(3) == 0) {
      target.clock_step = 1ms * (static_cast<int>(Draw(2 * kMaxClockStepMs)) -
                                 static_cast<int>(kMaxClockStepMs));
    }
    ++target.start;
    if (target.id.empty() || Draw(2) == 0) {
      target.id = fmt::format("i-{}-{}", n, target.start);
    }
    target.started_at_ms = ChooseStartTime(target);
    target.state = TargetState::kReady;
    if (now - target.ended >= kReuseDelay) {
      target.service = Draw(4) == 0 ? kOtherServiceName : kServiceName;
    }
    target.sequence = GetFirstSequence(n) - 1;
    target.started = now;
    target.next_heartbeat =
        now + (target.service == kServiceName ? 1ms * Draw(200) : 0ms);
    target.next_start = target.end = TimePoint::max();
    target.drain_acknowledged_at = TimePoint::max();
    RecordTarget(n, fmt::format("starts for the {}th time, id={} born={}",
                                target.start, target.id, target.started_at_ms));
  }

  auto EndTarget(std::uint32_t n, const std::string& how) -> void {
    targets[n].state = TargetState::kGone;
    targets[n].ended = now;
    targets[n].held.clear();
    RecordTarget(n, how);
    OnTargetEnded(n);
  }

  auto CrashTarget(std::uint32_t n) -> void {
    Target& target = targets[n];
    if (target.state != TargetState::kGone) {
      EndTarget(n, "crashes");
      target.next_start = now + 1ms * Draw(4000);
    }
  }

  auto DrainTarget(std::uint32_t n) -> void {
    Target& target = targets[n];
    if (target.state == TargetState::kReady) {
      target.state = TargetState::kDraining;
      target.end = now + kMaxDrainWait;
      target.next_heartbeat = now;
      RecordTarget(n, "drains");
    }
  }

  // Messages ------------------------------------------------------------------

  // Some messages are late and some are repeated, both at times after their
  // start has ended. A target in touch reaches its agent with its first
  // heartbeat and with one of any two that follow each other.
  auto SendTargetMessage(const TargetMessage& message) -> void {
    Target& target = targets[message.target];
    const auto* beat = std::get_if<TargetHeartbeat>(&message.content);
    const bool is_first =
        beat != nullptr && beat->sequence == GetFirstSequence(message.target);
    const bool may_be_late = beat != nullptr
                                 ? !is_first && !target.is_heartbeat_late
                                 : kDelaysDeregistrations;
    const bool may_be_repeated = beat != nullptr
                                     ? kRepeatsFirstHeartbeats || !is_first
                                     : kDelaysDeregistrations;
    const auto fate = Draw(12);
    const bool is_late = may_be_late && fate == 0;
    const bool is_repeated = may_be_repeated && (fate == 1 || fate == 2);
    target.is_heartbeat_late = is_late;
    if (!is_late) {
      target_messages.emplace(now + 1ms * (1 + Draw(5)), message);
    }
    if (is_late || is_repeated) {
      const Duration delay = 1ms * (1 + Draw(kMaxMessageDelayMs));
      RecordTarget(message.target,
                   fmt::format("sends {}, {} {} ms later", ToText(message),
                               is_late ? "received" : "repeated", delay / 1ms));
      target_messages.emplace(now + delay, message);
    }
  }

  auto SendTargetHeartbeat(std::uint32_t n, Target& target) -> void {
    target.next_heartbeat = now + kTargetHeartbeatInterval;
    ++target.sequence;
    const Duration warm_in = target.started + kWarmup - now;
    SendTargetMessage({.target = n,
                       .start = target.start,
                       .sent_at = now,
                       .content = TargetHeartbeat{
                           .id = target.id,
                           .service = target.service,
                           .started_at_ms = target.started_at_ms,
                           .sequence = target.sequence,
                           .state = target.state,
                           .slots = 50,
                           .warmup_ms = static_cast<std::uint32_t>(
                               std::max<std::int64_t>(0, warm_in / 1ms))}});
  }

  auto Deregister(std::uint32_t n, Target& target) -> void {
    SendTargetMessage({.target = n,
                       .start = target.start,
                       .sent_at = now,
                       .content = Deregistration{target.id}});
    EndTarget(n, "has drained and ends");
    target.next_start = now + 1ms * Draw(4000);
  }

  // Whether a message of an ended start is the first that the agent gets of it.
  auto IsOfUnknownStart(const TargetPresence& presence,
                        const TargetMessage& message) -> bool {
    const auto& beat = std::get<TargetHeartbeat>(message.content);
    const auto is_same_start = [&](const TargetStart& start) {
      return start.id == beat.id && start.started_at_ms == beat.started_at_ms;
    };
    const Target& target = targets[message.target];
    return message.start != target.start &&
           (beat.started_at_ms > target.started_at_ms ||
            target.service != kServiceName) &&
           (presence.id != beat.id ||
            presence.status.started_at_ms != beat.started_at_ms) &&
           std::none_of(presence.replaced.begin(), presence.replaced.end(),
                        is_same_start);
  }

  // Adds the age of the start by the clock of the host.
  auto AddAge(TargetHeartbeat beat, std::uint32_t n) -> TargetHeartbeat {
    beat.age = std::chrono::duration_cast<std::chrono::milliseconds>(
                   now.time_since_epoch() + targets[n].clock_step) -
               std::chrono::milliseconds{beat.started_at_ms};
    return beat;
  }

  auto OnTargetMessage(const TargetMessage& message) -> void {
    const Endpoint control = MakeAgentEndpoint(message.target);
    Process& agent = processes[control];
    if (!agent.up) {
      return;
    }
    const auto* beat = std::get_if<TargetHeartbeat>(&message.content);
    if (!kDelaysHeartbeatsOfUnknownStarts && beat != nullptr &&
        IsOfUnknownStart(agent.presence, message)) {
      return;
    }
    if (!kDelaysHeartbeatsPastJointRestarts && beat != nullptr &&
        message.sent_at < all_restarted_at) {
      return;
    }
    const auto outcome =
        beat != nullptr
            ? OnTargetHeartbeat(agent.presence, AddAge(*beat, message.target),
                                now)
            : OnTargetShutdownAnnounced(
                  agent.presence, std::get<Deregistration>(message.content).id,
                  now);
    Target& target = targets[message.target];
    const bool is_late = message.start != target.start ||
                         (beat != nullptr && beat->sequence != target.sequence);
    late_messages += is_late ? 1 : 0;
    if (is_late || outcome != PresenceOutcome::kKnown) {
      RecordProcess(control, fmt::format("receives {}: {}", ToText(message),
                                         ToString(outcome)));
    }
    if (message.start == target.start && beat != nullptr &&
        beat->state == TargetState::kDraining && IsAcknowledged(outcome) &&
        target.drain_acknowledged_at == TimePoint::max() &&
        now - message.sent_at < kAcknowledgementTimeout) {
      ++acknowledged_drains;
      target.drain_acknowledged_at = now;
      target.end = now + kDrainTime + 1ms * Draw(3000);
    }
    ApplyOutcome(control, agent, outcome);
  }

  // As the agent's process does it.
  auto ApplyOutcome(Endpoint control, Process& agent, PresenceOutcome outcome)
      -> void {
    TargetFlows& flows = *agent.flows;
    const TargetPresence& presence = agent.presence;
    flows.knows_all_flows = presence.knows_all_flows;
    flows.silent_from = ComputeSilenceStart(presence);
    SetWarmupEnd(flows.warmup, presence.warm_at, presence.last_heartbeat_at);
    std::vector<TargetAction> out;
    if (outcome == PresenceOutcome::kReplaced) {
      ApplyReplacedTarget(flows, presence.status, presence.first_heard_at, now);
    } else if (outcome == PresenceOutcome::kChanged ||
               outcome == PresenceOutcome::kRestarted ||
               outcome == PresenceOutcome::kGivenAway) {
      ApplyTargetStatus(flows, presence.status, now, out);
    }
    Perform(control, out, {});
    AnnounceTarget(agent);
  }

  auto AnnounceTarget(Process& agent) -> void {
    HostRecord record = agent.fleet().self;
    record.target = DescribeTargetStatus(agent.presence, now);
    if (UpdateOwnRecord(agent.fleet(), record)) {
      Announce(agent, false);
    }
  }

  auto RunAgentHousekeeping(Endpoint control, Process& agent) -> void {
    ExpireFlowsAndRequests(*agent.flows, now);
    const auto outcome =
        MarkSilentTargetGone(agent.presence, now - agent.started);
    if (outcome != PresenceOutcome::kKnown) {
      RecordProcess(control, "takes its silent target for gone");
    }
    ApplyOutcome(control, agent, outcome);
    const auto end =
        ConfirmDeregistration(agent.presence, now - agent.started, now);
    if (end == PresenceOutcome::kChanged) {
      RecordProcess(control, "takes its deregistered target for gone");
      ApplyOutcome(control, agent, end);
    }
  }

  auto CheckDeregistration(Endpoint control, Process& agent) -> void {
    const auto outcome =
        ConfirmDeregistration(agent.presence, now - agent.started, now);
    if (outcome == PresenceOutcome::kChanged) {
      RecordProcess(control, "takes its deregistered target for gone");
      ApplyOutcome(control, agent, outcome);
    }
  }

  // An agent that is shut down after its target resets the target's flows.
  auto StopProcess(Endpoint control, bool is_crash) -> void {
    Process& it = processes[control];
    if (it.up && !is_crash && !it.steering &&
        it.presence.status.state == TargetState::kGone) {
      RecordProcess(control, "has to stop, and its target is gone");
      std::vector<TargetAction> out;
      ResetAllTargetFlows(*it.flows, out);
      Perform(control, out, {});
    }
    Stop(control, is_crash);
  }

  auto RunTargets() -> void {
    while (!target_messages.empty() && target_messages.begin()->first <= now) {
      OnTargetMessage(
          target_messages.extract(target_messages.begin()).mapped());
    }
    for (auto& [n, it] : targets) {
      if (now >= it.next_start) {
        StartTarget(n);
      }
      if (it.state == TargetState::kGone) {
        continue;
      }
      if (now >= it.next_heartbeat) {
        SendTargetHeartbeat(n, it);
      }
      if (now >= it.end) {
        Deregister(n, it);
      }
    }
  }
};

}  // namespace hawthornbank::test

#endif  // HAWTHORNBANK_TEST_RESTART_TARGETS_H_
