#include <fmt/format.h>

#include <algorithm>

#include "soak/world.h"
#include "transport/clock.h"

/// @file
/// Gives addresses of ended targets to targets of the other service.
namespace hawthornbank::soak {
namespace {

using transport::GetMonotonicTime;

constexpr std::chrono::seconds kDrainBeforeEnd{1};
constexpr std::chrono::milliseconds kPauseAfterHandOver{500};
// Targets that each service keeps while others are replaced.
constexpr int kTargetsKept = 2;

auto ToMilliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

// Names the target's address, its agent's last start and, if the agent started
// for another service, that service.
auto SoakEnvironment::DescribeTarget(std::size_t target) -> std::string {
  const Node& agent = GetAgent(target);
  const bool is_foreign =
      agent.started_service != targets_[target]->service_name();
  return fmt::format(
      "{}, {}#{}{}{}",
      ToString(Endpoint{.address = agent.parameters.host, .port = ports_.app}),
      agent.subject, agent.start_count, is_foreign ? " of service " : "",
      is_foreign ? agent.started_service : "");
}

auto SoakEnvironment::FindOtherService(const std::string& service) const
    -> std::string {
  return routes_.front().service == service ? routes_.back().service
                                            : routes_.front().service;
}

auto SoakEnvironment::ApplyReuse(const ReuseEvent& event, TimePoint now)
    -> void {
  OnFaultStarted(checker_);
  if (event.kind == ReuseKind::kSuspendedBalancer) {
    Node& node = GetBalancer(event.subject_index);
    RecordEvent(fmt::format("{} {} for {} ms{}", ToString(event.kind),
                            node.subject, ToMilliseconds(event.duration),
                            event.ends_suspended ? ", then killed" : ""));
    FreezeProcess(node, event.duration, now);
    if (event.ends_suspended) {
      RunAfterDelay(event.duration - std::chrono::milliseconds{1},
                    [this, &node] { KillProcess(node, GetMonotonicTime()); });
    }
    return;
  }
  if (event.kind == ReuseKind::kKilledAgent) {
    Node& node = GetAgent(event.subject_index);
    RecordEvent(fmt::format("{} {}", ToString(event.kind), node.subject));
    KillProcess(node, now);
    return;
  }
  const auto first =
      FindTargetToHandOver(routes_.front().service, event.subject_index);
  const auto second =
      FindTargetToHandOver(routes_.back().service, event.subject_index);
  if (first.has_value() && second.has_value()) {
    StartHandOver(*first, event, now);
    StartHandOver(*second, event, now);
  }
}

// Returns the number of targets of a service. The last target of a service
// isn't moved to the other service, since callers couldn't be served without a
// target.
auto SoakEnvironment::CountTargetsOfService(const std::string& service) const
    -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      targets_.begin(), targets_.end(),
      [&](const auto& it) { return it->service_name() == service; }));
}

// Returns the first target, from `first` on, that can be replaced; nothing when
// the service would be left with too few targets.
auto SoakEnvironment::FindTargetToHandOver(const std::string& service,
                                           std::size_t first) const
    -> std::optional<std::size_t> {
  std::optional<std::size_t> found;
  int alive = 0;
  for (std::size_t n = 0; n < targets_.size(); ++n) {
    const std::size_t it = (first + n) % targets_.size();
    if (targets_[it]->service_name() == service && targets_[it]->is_alive() &&
        !targets_[it]->is_draining() && !handing_over_.contains(it)) {
      ++alive;
      found = found.value_or(it);
    }
  }
  return alive > kTargetsKept ? found : std::nullopt;
}

auto SoakEnvironment::StartHandOver(std::size_t target,
                                    const ReuseEvent& event,
                                    TimePoint now) -> void {
  handing_over_.insert(target);
  RecordEvent(fmt::format(
      "{} target {} of {}{}{}{}", ToString(event.kind), target,
      targets_[target]->service_name(),
      event.agent_end.has_value()
          ? fmt::format(", agent ends {} ms after the next target listens",
                        ToMilliseconds(*event.agent_end))
          : "",
      event.late_heartbeat.has_value()
          ? fmt::format(", heartbeat {} ms after the end",
                        ToMilliseconds(*event.late_heartbeat))
          : "",
      event.has_same_id ? ", same id" : ""));
  const bool drains = event.kind == ReuseKind::kDrained;
  if (drains) {
    targets_[target]->StartDraining();
  }
  const Duration end = drains ? kDrainBeforeEnd : Duration{};
  const Duration listens = end + kAddressReuseTime;
  RunAfterDelay(end, [this, target, event] { EndFormerTarget(target, event); });
  if (event.agent_end.has_value()) {
    RunAfterDelay(listens + *event.agent_end,
                  [this, target, held_until = now + listens] {
                    StopFormerAgent(target, held_until);
                  });
  }
  RunAfterDelay(listens,
                [this, target, event] { StartNextTarget(target, event); });
}

auto SoakEnvironment::EndFormerTarget(std::size_t target,
                                      const ReuseEvent& event) -> void {
  TargetStandin& former = *targets_[target];
  if (event.late_heartbeat.has_value()) {
    RunAfterDelay(*event.late_heartbeat, former.PrepareLateHeartbeat());
  }
  if (event.kind == ReuseKind::kDrained) {
    former.ShutDownTarget();
  } else {
    former.CrashTarget();
  }
}

auto SoakEnvironment::StopFormerAgent(std::size_t target, TimePoint held_until)
    -> void {
  Node& agent = GetAgent(target);
  const TimePoint now = GetMonotonicTime();
  agent.held_until = held_until;
  if (now < held_until) {
    agent.parameters.service = FindOtherService(agent.parameters.service);
  }
  KillProcess(agent, now);
  RecordDisturbance(checker_, agent.subject, false, held_until);
}

auto SoakEnvironment::StartNextTarget(std::size_t target,
                                      const ReuseEvent& event) -> void {
  Node& agent = GetAgent(target);
  TargetStandin& next = *targets_[target];
  ++hand_overs_;
  const std::string service = FindOtherService(next.service_name());
  agent.parameters.service = service;
  next.TakeOverAddress(service, event.has_same_id);
  // The address isn't used again before its former agent has ended.
  RunAfterDelay(std::max(event.agent_end.value_or(Duration{}), Duration{}) +
                    kPauseAfterHandOver,
                [this, target] { handing_over_.erase(target); });
  if (!event.agent_end.has_value() && agent.process != nullptr) {
    agent.process->WriteSettingsFile(
        FormatNodeSettings(ports_, agent.parameters));
    if (event.kind == ReuseKind::kKeptAgentSighup) {
      SendSignalWhenLoaded(agent, SIGHUP);
    }
  }
}

}  // namespace hawthornbank::soak
