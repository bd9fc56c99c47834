#include <fmt/format.h>

#include "hawthornbank/error.h"
#include "soak/world.h"
#include "transport/clock.h"

/// @file
/// Steps the clocks of single processes, and checks that processes follow them.
namespace hawthornbank::soak {
namespace {

using transport::GetMonotonicTime;

auto ToMilliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

auto ToUnixMilliseconds(WallTime time) -> std::int64_t {
  return time.time_since_epoch().count();
}

}  // namespace

auto SoakEnvironment::AddClock(Node& node) -> void {
  if (!HasRestartKind(RestartKind::kStepClock)) {
    return;
  }
  node.clock = std::make_unique<ProcessClock>(
      fmt::format("soak-{}-{}", options_.seed, node.subject));
  node.clock->StepBy(DrawFirstClockOffset(options_.seed, nodes_.size()));
}

// Checks that the first log line of each process has the time of the process's
// clock.
auto SoakEnvironment::CheckClocks() -> void {
  for (const auto& it : nodes_) {
    Node& node = *it;
    if (node.start_count != 1 || node.process == nullptr ||
        node.is_clock_checked) {
      continue;
    }
    const auto logged_ms = ReadFirstLogTime(node.process->ReadLogFile());
    if (!logged_ms.has_value()) {
      continue;
    }
    node.is_clock_checked = true;
    // The line was written between the start and now.
    const std::int64_t by_machine_ms =
        *logged_ms - ToMilliseconds(node.clock->offset());
    if (by_machine_ms < ToUnixMilliseconds(node.started_at_wall_time) ||
        by_machine_ms > ToUnixMilliseconds(transport::GetWallTime())) {
      throw Error(
          ErrorKind::kInternal,
          fmt::format(
              "{} doesn't follow its clock, which is {} ms "
              "ahead: its first log line has t={}; is {} built with it?",
              node.subject, ToMilliseconds(node.clock->offset()), *logged_ms,
              options_.clock_program));
    }
  }
}

auto SoakEnvironment::StepClockOfProcess(const RestartEvent& event,
                                         TimePoint now) -> void {
  Node& node = *nodes_[event.subject_index % nodes_.size()];
  const auto step_and_restart = [this, &node, event](Duration step,
                                                     TimePoint time) {
    if (event.restarts) {
      StopProcess(node, time);
    }
    RunAfterDelay(
        event.restarts ? event.pause : Duration{}, [this, &node, step, event] {
          node.clock->StepBy(step);
          RecordDisturbance(checker_, node.subject, false, GetMonotonicTime());
          RecordEvent(fmt::format(
              "{} {} by {} ms to {} ms{}", ToString(event.kind), node.subject,
              ToMilliseconds(step), ToMilliseconds(node.clock->offset()),
              event.restarts ? ", at a restart" : ""));
        });
  };
  step_and_restart(event.clock_step, now);
  if (event.duration.has_value()) {
    RunAfterDelay(event.pause + *event.duration, [step_and_restart, event] {
      step_and_restart(-event.clock_step, GetMonotonicTime());
    });
  }
}

}  // namespace hawthornbank::soak
