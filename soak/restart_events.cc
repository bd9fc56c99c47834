#include <fmt/format.h>

#include <algorithm>

#include "soak/world.h"
#include "transport/clock.h"

/// @file
/// Plays the events of soak/restarts.h.
namespace hawthornbank::soak {
namespace {

using std::chrono::milliseconds;
using transport::GetMonotonicTime;
using transport::HttpClient;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr milliseconds kLateMessageTimeout{1000};
constexpr milliseconds kRestartPollInterval{10};
constexpr std::chrono::seconds kMaxRestartTime{8};
constexpr milliseconds kPauseAfterRestart{500};
// A target's drain, longer than the platform's `drain_ms`.
constexpr milliseconds kDrainBeforeReplacement{3200};
constexpr milliseconds kReplacementSpread{2500};
constexpr std::chrono::seconds kWarmupTime{2};
constexpr milliseconds kBalancerRestartGap{1500};
constexpr milliseconds kAgentRestartGap{300};
constexpr milliseconds kClockCheckInterval{500};

auto ToMilliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

auto GetTargetSubject(std::size_t target) -> std::string {
  return fmt::format("target-{}", target);
}

auto SoakEnvironment::HasRestartKind(RestartKind kind) const -> bool {
  return options_.restarts.contains(kind);
}

// Adds a route that changes its service, if the events need one.
auto SoakEnvironment::AddMovedRoute() -> void {
  if (HasRestartKind(RestartKind::kDropRoute) ||
      HasRestartKind(RestartKind::kMoveRoute)) {
    moved_route_ =
        MovedRoute{.route = {.address = ParseEndpoint("198.18.0.3:443"),
                             .service = routes_.front().service}};
  }
}

auto SoakEnvironment::GetCalledRoutes() const -> std::vector<CalledRoute> {
  std::vector<CalledRoute> called = routes_;
  if (moved_route_.has_value()) {
    called.push_back(moved_route_->route);
  }
  called.insert(called.end(), changing_routes_.begin(), changing_routes_.end());
  return called;
}

auto SoakEnvironment::StartRestartSeries() -> void {
  if (HasRestartKind(RestartKind::kIdleTimeout)) {
    callers_->StartFlowsWithLongPauses(options_.seed);
  }
  for (const auto& it : GenerateRestartSeries(options_.seed, options_.length,
                                              options_.restarts)) {
    RunAfterDelay(kStartupTime + it.start_offset,
                  [this, it] { ApplyRestartEvent(it, GetMonotonicTime()); });
  }
  if (HasRestartKind(RestartKind::kStepClock)) {
    RunPeriodically(kClockCheckInterval, [this] { CheckClocks(); });
  }
}

auto SoakEnvironment::ApplyRestartEvent(const RestartEvent& event,
                                        TimePoint now) -> void {
  OnFaultStarted(checker_);
  switch (event.kind) {
    case RestartKind::kStepClock:
      StepClockOfProcess(event, now);
      break;
    case RestartKind::kEarlierHeartbeat:
    case RestartKind::kHeartbeatAtRestart:
    case RestartKind::kLateDeregistration:
      EndTargetWithLateMessages(event, now);
      break;
    case RestartKind::kIdleTimeout:
      RecordEvent(fmt::format("idle_timeout {} ms",
                              ToMilliseconds(event.idle_timeout)));
      store_.idle_timeout =
          std::chrono::duration_cast<milliseconds>(event.idle_timeout);
      OnIdleTimeoutStored(exemptions_, event.idle_timeout, now);
      StoreNewRoutes(now);
      break;
    case RestartKind::kReplaceMost:
      ReplaceMostTargets(event, now);
      break;
    case RestartKind::kDropRoute:
    case RestartKind::kMoveRoute:
      MoveRoute(event, now);
      break;
    case RestartKind::kUnheardStart:
      PlayUnheardStart(event, now);
      break;
    case RestartKind::kDeregistrationAtStop:
      PlayDeregistrationAtStop(event, now);
      break;
    case RestartKind::kCount:
      break;
  }
}

auto SoakEnvironment::CanTargetRestart(std::size_t target) const -> bool {
  return targets_[target]->is_alive() && !targets_[target]->is_draining() &&
         !handing_over_.contains(target);
}

// Returns the first target, from `first` on, that can be restarted and whose
// service has another one.
auto SoakEnvironment::FindTargetToRestart(std::size_t first) const
    -> std::optional<std::size_t> {
  std::map<std::string, int> alive;
  for (std::size_t n = 0; n < targets_.size(); ++n) {
    alive[targets_[n]->service_name()] += CanTargetRestart(n) ? 1 : 0;
  }
  for (std::size_t n = 0; n < targets_.size(); ++n) {
    const std::size_t it = (first + n) % targets_.size();
    if (CanTargetRestart(it) && alive[targets_[it]->service_name()] > 1) {
      return it;
    }
  }
  return std::nullopt;
}

// Finds a target as FindTargetToRestart() does, and keeps other events away
// from it until it has started again.
auto SoakEnvironment::TakeTargetToRestart(std::size_t first)
    -> std::optional<std::size_t> {
  const auto found = FindTargetToRestart(first);
  if (found.has_value()) {
    handing_over_.insert(*found);
  }
  return found;
}

// Returns messages of a target's present start, in another order than the
// target would send them, and a heartbeat of an earlier start.
auto SoakEnvironment::PrepareLateMessages(std::size_t target,
                                          const RestartEvent& event)
    -> std::vector<HttpRequest> {
  const TargetStandin& ended = *targets_[target];
  std::vector<HttpRequest> messages;
  if (event.kind == RestartKind::kLateDeregistration) {
    messages.push_back(ended.MakeDeregistration());
  } else if (event.kind == RestartKind::kHeartbeatAtRestart &&
             event.is_first_heartbeat) {
    messages.push_back(ended.MakeFirstHeartbeat());
  }
  messages.push_back(ended.MakeLateHeartbeat(2));
  messages.push_back(ended.MakeLateHeartbeat(1));
  if (earlier_heartbeats_.contains(target)) {
    messages.push_back(earlier_heartbeats_[target]);
  }
  earlier_heartbeats_[target] = ended.MakeLateHeartbeat(3);
  return messages;
}

auto SoakEnvironment::EndTargetWithLateMessages(const RestartEvent& event,
                                                TimePoint now) -> void {
  const auto found = TakeTargetToRestart(event.subject_index);
  if (!found.has_value()) {
    return;
  }
  const std::size_t n = *found;
  TargetStandin& target = *targets_[n];
  RecordEvent(fmt::format("{} target {} of {}, starts again after {} ms{}",
                          ToString(event.kind), n, target.service_name(),
                          ToMilliseconds(event.pause),
                          event.has_same_id ? ", same id" : ""));
  const std::vector<HttpRequest> messages = PrepareLateMessages(n, event);
  if (event.kind != RestartKind::kLateDeregistration) {
    RecordDisturbance(checker_, GetTargetSubject(n), false, now + event.pause);
  }
  target.CrashTarget();
  RunAfterDelay(event.pause, [this, n, event] { StartTargetAgain(n, event); });
  if (event.kind == RestartKind::kHeartbeatAtRestart) {
    RunAfterDelay(event.pause + event.agent_stop,
                  [this, n, message = messages.front()] {
                    Node& agent = GetAgent(n);
                    StopWithinSeries(agent);
                    SendToNextStart(n, message, agent.start_count,
                                    GetMonotonicTime() + kMaxRestartTime);
                  });
    return;
  }
  for (std::size_t k = 0; k < event.late_arrivals.size(); ++k) {
    RunAfterDelay(event.late_arrivals[k],
                  [this, n, message = messages[k % messages.size()]] {
                    SendLateMessage(n, message, [](bool) {});
                  });
  }
}

auto SoakEnvironment::SendLateMessage(
    std::size_t target,
    const HttpRequest& message,
    std::function<void(bool is_answered)> on_end) -> void {
  const auto client =
      std::make_shared<HttpClient>(io_, targets_[target]->control());
  client->SendHttpRequest(
      message, kLateMessageTimeout,
      [this, client, target, message,
       on_end = std::move(on_end)](const HttpResponse& reply) {
        if (reply.status != 0) {
          RecordEvent(fmt::format("late {} {} {} at {}#{}: status {}",
                                  message.method, message.target, message.body,
                                  GetAgent(target).subject,
                                  GetAgent(target).start_count, reply.status));
        }
        on_end(reply.status != 0);
      });
}

// Sends a late message to the next start of a target's agent as soon as that
// start takes calls.
auto SoakEnvironment::SendToNextStart(std::size_t target,
                                      const HttpRequest& message,
                                      int start_count,
                                      TimePoint until) -> void {
  const auto try_again = [this, target, message, start_count, until] {
    if (GetMonotonicTime() < until) {
      RunAfterDelay(kRestartPollInterval,
                    [this, target, message, start_count, until] {
                      SendToNextStart(target, message, start_count, until);
                    });
    }
  };
  if (GetAgent(target).start_count == start_count) {
    try_again();
    return;
  }
  SendLateMessage(target, message, [try_again](bool is_answered) {
    if (!is_answered) {
      try_again();
    }
  });
}

auto SoakEnvironment::StartTargetAgain(std::size_t target,
                                       const RestartEvent& event) -> void {
  TargetStandin& next = *targets_[target];
  if (!next.is_alive()) {
    next.StepClock(event.clock_step);
    if (event.clock_step != Duration{}) {
      RecordDisturbance(checker_, GetTargetSubject(target), false,
                        GetMonotonicTime());
    }
    next.TakeOverAddress(next.service_name(), event.has_same_id);
  }
  RunAfterDelay(kPauseAfterRestart,
                [this, target] { handing_over_.erase(target); });
}

auto SoakEnvironment::StopInTurn(std::size_t first,
                                 std::size_t count,
                                 Duration begin,
                                 Duration gap) -> void {
  for (std::size_t n = 0; n < count; ++n) {
    RunAfterDelay(begin + gap * n,
                  [this, n = first + n] { StopWithinSeries(*nodes_[n]); });
  }
}

// Stops a process, unless the series has ended.
auto SoakEnvironment::StopWithinSeries(Node& node) -> void {
  const TimePoint now = GetMonotonicTime();
  if (now - started_ < kStartupTime + options_.length) {
    RecordEvent(fmt::format("stop {}", node.subject));
    StopProcess(node, now);
  }
}

// One replacement at a time, so that balancers are up for some seconds before
// the agents restart.
auto SoakEnvironment::ReplaceMostTargets(const RestartEvent& event,
                                         TimePoint now) -> void {
  const CalledRoute& route =
      event.subject_index % 2 == 0 ? routes_.front() : routes_.back();
  std::vector<std::size_t> replaced;
  for (std::size_t n = 0; n < targets_.size(); ++n) {
    if (targets_[n]->service_name() == route.service && CanTargetRestart(n)) {
      replaced.push_back(n);
    }
  }
  if (replaced.size() < 2 || now < replacement_end_) {
    return;
  }
  const auto last =
      replaced.begin() +
      static_cast<std::ptrdiff_t>(event.subject_index % replaced.size());
  std::rotate(last, last + 1, replaced.end());
  RecordEvent(fmt::format("{} {} of {} targets of {}{}", ToString(event.kind),
                          replaced.size() - (event.replaces_last ? 0 : 1),
                          replaced.size(), route.service,
                          event.drains ? ", drained" : ""));
  Duration begin{};
  if (event.has_early_balancers) {
    StopInTurn(0, options_.balancers, begin, kBalancerRestartGap);
    begin = kBalancerRestartGap * options_.balancers;
  }
  const std::size_t others = replaced.size() - 1;
  for (std::size_t k = 0; k < others; ++k) {
    ReplaceTargetLater(replaced[k], event,
                       begin + kReplacementSpread * k / others);
  }
  const Duration replacement =
      event.pause + (event.drains ? kDrainBeforeReplacement : Duration{});
  Duration end = begin + kReplacementSpread + replacement;
  if (event.replaces_last) {
    ReplaceTargetLater(replaced.back(), event, end);
    end += replacement;
  }
  StopInTurn(options_.balancers, options_.targets, end, kAgentRestartGap);
  if (!event.has_joint_restarts) {
    end += kAgentRestartGap * options_.targets;
  }
  StopInTurn(0, options_.balancers, end, kBalancerRestartGap);
  replacement_end_ = now + end + kBalancerRestartGap * options_.balancers;
}

// Ends a target after a delay and starts it again, slow at first.
auto SoakEnvironment::ReplaceTargetLater(std::size_t target,
                                         const RestartEvent& event,
                                         Duration delay) -> void {
  const Duration end =
      delay + (event.drains ? kDrainBeforeReplacement : Duration{});
  handing_over_.insert(target);
  if (event.drains) {
    RunAfterDelay(delay, [this, target] { targets_[target]->StartDraining(); });
  }
  RunAfterDelay(end, [this, target, event] { EndTarget(target, event); });
  RunAfterDelay(end + event.pause, [this, target, event] {
    targets_[target]->SetWarmupTime(kWarmupTime);
    StartTargetAgain(target, event);
    targets_[target]->SetWarmupTime({});
  });
}

auto SoakEnvironment::EndTarget(std::size_t target, const RestartEvent& event)
    -> void {
  if (event.drains) {
    targets_[target]->ShutDownTarget();
    return;
  }
  targets_[target]->CrashTarget();
  RecordDisturbance(checker_, GetTargetSubject(target), false,
                    GetMonotonicTime() + event.pause);
}

auto SoakEnvironment::MoveRoute(const RestartEvent& event, TimePoint now)
    -> void {
  if (!moved_route_->is_stored) {
    return;  // Dropped by an earlier event.
  }
  const Endpoint address = moved_route_->route.address;
  const std::string service = FindOtherService(moved_route_->route.service);
  const bool is_dropped = event.kind == RestartKind::kDropRoute;
  RecordEvent(fmt::format("{} {} to {}{}", ToString(event.kind),
                          ToString(address), service,
                          is_dropped ? ", after some time" : ""));
  moved_route_->route.service = service;
  if (!is_dropped) {
    StoreNewRoutes(now);
    return;
  }
  moved_route_->is_stored = false;
  OnRouteDropped(exemptions_, address, now);
  StoreNewRoutes(now);
  RunAfterDelay(*event.duration, [this, address] {
    RecordEvent(fmt::format("{} returns", ToString(address)));
    moved_route_->is_stored = true;
    OnRouteReturned(exemptions_, address, GetMonotonicTime());
    StoreNewRoutes(GetMonotonicTime());
  });
}

}  // namespace hawthornbank::soak
