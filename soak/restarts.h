#ifndef HAWTHORNBANK_SOAK_RESTARTS_H_
#define HAWTHORNBANK_SOAK_RESTARTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Series of events around restarts, determined by a seed: clocks that step,
/// late messages of earlier starts, targets that are replaced together, and
/// configurations that change what is kept of open flows.
namespace hawthornbank::soak {

/// Kind of an event.
enum class RestartKind : std::uint8_t {
  kStepClock,         ///< The time of day of a process steps.
  kEarlierHeartbeat,  ///< A crashed target's heartbeats arrive late.
  /// The same, as soon as the target's restarted agent takes calls.
  kHeartbeatAtRestart,
  /// Deregistrations and heartbeats of an ended target arrive late.
  kLateDeregistration,
  kIdleTimeout,  ///< `idle_timeout_ms` is raised or lowered.
  /// Nearly all targets of a service restart, then agents and balancers.
  kReplaceMost,
  kDropRoute,  ///< A route is dropped and returns for the other service.
  kMoveRoute,  ///< A route is given to the other service.
  /// A target starts while its clock is ahead and crashes before it is heard;
  /// its heartbeat arrives seconds after the next start.
  kUnheardStart,
  /// A target starts again under its id and drains; the deregistration of the
  /// start before arrives, then its agent is stopped.
  kDeregistrationAtStop,
  kCount,
};

/// @param name Name of a kind in the options.
/// @return The kind, or nothing if there is none of that name.
auto ParseRestartKind(const std::string& name) -> std::optional<RestartKind>;

/// @param kind A kind.
/// @return Name of the kind in the options and the report.
auto ToString(RestartKind kind) -> std::string;

/// @return All kinds.
auto GetAllRestartKinds() -> std::set<RestartKind>;

/// An event. A field has a meaning only for the kinds that it names.
struct RestartEvent {
  RestartKind kind = RestartKind::kStepClock;
  Duration start_offset{};  ///< Offset from the start of the series.
  /// Index of the process, target or service, taken modulo their number.
  std::size_t subject_index = 0;
  /// Step of the time of day of the process (kStepClock), or of a target
  /// between its starts (all kinds that restart targets).
  Duration clock_step{};
  /// Whether a process whose clock steps is stopped before and restarts after
  /// the step.
  bool restarts = false;
  /// Time after which the clock steps back and the process restarts once more
  /// (kStepClock), or for which a route is dropped (kDropRoute).
  std::optional<Duration> duration;
  /// Time from a target's end to its next start.
  Duration pause{};
  bool has_same_id = false;  ///< Whether targets keep their ids.
  /// Time by which the clock of the unheard start is ahead (kUnheardStart).
  Duration clock_lead{};
  /// Age of the unheard start by its agent's clock when its heartbeat arrives,
  /// which `clock_lead` then follows from (kUnheardStart).
  std::optional<Duration> age_at_arrival;
  /// Arrivals of late messages, from the target's end, in no order; the start
  /// of the drain before the late message (kDeregistrationAtStop).
  std::vector<Duration> late_arrivals;
  /// Time from the target's next start to the stop of its agent
  /// (kHeartbeatAtRestart).
  Duration agent_stop{};
  /// Whether the late heartbeat is the target's first one
  /// (kHeartbeatAtRestart).
  bool is_first_heartbeat = false;
  Duration idle_timeout{};  ///< New value (kIdleTimeout).
  bool drains = false;      ///< Whether replaced targets drain (kReplaceMost).
  /// Whether balancers also restart before the targets (kReplaceMost).
  bool has_early_balancers = false;
  /// Whether the service's last target restarts, too, once the others have
  /// (kReplaceMost).
  bool replaces_last = false;
  /// Whether balancers restart while agents do, not after them (kReplaceMost).
  bool has_joint_restarts = false;
};

/// Draws a series of events, about one each second.
/// @param seed Seed of the random number generator, whose numbers differ from
/// those of other series with the same seed.
/// @param length Length of the series; all events start before its end.
/// @param kinds Kinds to draw from; without any, the series is empty.
/// @return The events, ordered by start.
auto GenerateRestartSeries(std::uint64_t seed,
                           Duration length,
                           const std::set<RestartKind>& kinds)
    -> std::vector<RestartEvent>;

/// Draws the offset at which the clock of a process starts, so that the clocks
/// of all processes differ by seconds.
/// @param seed Seed of the soak.
/// @param process Index of the process.
auto DrawFirstClockOffset(std::uint64_t seed, std::size_t process) -> Duration;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_RESTARTS_H_
