#include <fmt/format.h>

#include "soak/world.h"
#include "transport/clock.h"

/// @file
/// Plays the events of soak/restarts.h in which a message of an earlier start
/// of a target arrives when the next one has run for seconds.
namespace hawthornbank::soak {
namespace {

using std::chrono::milliseconds;
using transport::GetMonotonicTime;
using transport::HttpRequest;

// Times from the start of the drain.
constexpr milliseconds kLateDeregistration{400};
constexpr milliseconds kAgentStop{700};
// Longer than the platform's `drain_ms`, with the agent's restart.
constexpr milliseconds kDrainEnd{6000};
constexpr milliseconds kNextStart{6500};

}  // namespace

auto SoakEnvironment::ComputeClockLead(std::size_t target,
                                       const RestartEvent& event) -> Duration {
  if (!event.age_at_arrival.has_value()) {
    return event.clock_lead;
  }
  const auto& clock = GetAgent(target).clock;
  const Duration agent_offset = clock != nullptr ? clock->offset() : Duration{};
  return event.late_arrivals.front() + agent_offset -
         targets_[target]->clock_offset() - *event.age_at_arrival;
}

auto SoakEnvironment::PlayUnheardStart(const RestartEvent& event, TimePoint now)
    -> void {
  const auto found = TakeTargetToRestart(event.subject_index);
  if (!found.has_value()) {
    return;
  }
  const std::size_t n = *found;
  TargetStandin& target = *targets_[n];
  const auto pause = std::chrono::duration_cast<milliseconds>(event.pause);
  const Duration clock_lead = ComputeClockLead(n, event);
  const auto lead = std::chrono::duration_cast<milliseconds>(clock_lead);
  RecordEvent(fmt::format(
      "{} target {} of {}, clock ahead by {} ms, starts again after {} ms",
      ToString(event.kind), n, target.service_name(), lead.count(),
      pause.count()));
  RecordDisturbance(checker_, GetTargetSubject(n), false, now + event.pause);
  target.CrashTarget();
  target.StepClock(clock_lead);
  target.RestartTarget(target.service_name());
  const HttpRequest unheard = target.MakeFirstHeartbeat();
  target.CrashTarget();
  target.StepClock(-clock_lead);
  RunAfterDelay(event.pause, [this, n, event] { StartTargetAgain(n, event); });
  RunAfterDelay(event.late_arrivals.front(), [this, n, unheard] {
    SendLateMessage(n, unheard, [](bool) {});
  });
}

auto SoakEnvironment::PlayDeregistrationAtStop(const RestartEvent& event,
                                               TimePoint now) -> void {
  const auto found = TakeTargetToRestart(event.subject_index);
  if (!found.has_value()) {
    return;
  }
  const std::size_t n = *found;
  TargetStandin& target = *targets_[n];
  RecordEvent(fmt::format("{} target {} of {}", ToString(event.kind), n,
                          target.service_name()));
  RecordDisturbance(checker_, GetTargetSubject(n), false, now + event.pause);
  const HttpRequest deregistration = target.MakeDeregistration();
  target.CrashTarget();
  RunAfterDelay(event.pause, [this, n] {
    targets_[n]->TakeOverAddress(targets_[n]->service_name(), true);
  });
  RunAfterDelay(event.late_arrivals.front(), [this, n, deregistration] {
    DrainAndStopAgent(n, deregistration);
  });
}

// The target serves on while its agent is stopped and starts again, as it is
// planned.
auto SoakEnvironment::DrainAndStopAgent(std::size_t target,
                                        const HttpRequest& deregistration)
    -> void {
  if (!targets_[target]->is_alive()) {
    handing_over_.erase(target);
    return;
  }
  targets_[target]->StartDraining();
  RunAfterDelay(kLateDeregistration, [this, target, deregistration] {
    SendLateMessage(target, deregistration, [](bool) {});
  });
  RunAfterDelay(kAgentStop,
                [this, target] { StopWithinSeries(GetAgent(target)); });
  RunAfterDelay(kDrainEnd, [this, target] {
    RecordDisturbance(checker_, GetTargetSubject(target), false,
                      GetMonotonicTime() + kNextStart - kDrainEnd);
    targets_[target]->CrashTarget();
  });
  RunAfterDelay(kNextStart, [this, target] {
    targets_[target]->TakeOverAddress(targets_[target]->service_name(), false);
    handing_over_.erase(target);
  });
}

}  // namespace hawthornbank::soak
