#ifndef HAWTHORNBANK_SOAK_REUSE_H_
#define HAWTHORNBANK_SOAK_REUSE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Series of events in which callers' ports and targets' addresses are used
/// again, determined by a seed.
namespace hawthornbank::soak {

/// Time between the end of a target and the start of the next one at its
/// address.
inline constexpr Duration kAddressReuseTime = std::chrono::seconds{2};

/// What is used again, and how.
enum class ReuseKind : std::uint8_t {
  kPorts,       ///< Callers use ports again, after some seconds or at once.
  kLateCopies,  ///< Copies of openings arrive after their port's next opening.
  kTogether,    ///< The agent ends just before the next target listens.
  kEarlyAgent,  ///< The agent ends up to 2 s before.
  kLateAgent,   ///< The agent ends some time after.
  kKeptAgent,   ///< The agent's settings file names the next service.
  kKeptAgentSighup,    ///< The same, with SIGHUP.
  kDrained,            ///< The former target drains; its agent may end late.
  kLateHeartbeat,      ///< A heartbeat of the former target arrives late.
  kSuspendedBalancer,  ///< A balancer gets SIGSTOP, then SIGCONT or SIGKILL.
  kKilledAgent,        ///< An agent is killed and restarts; its target lives.
  /// Data, ends and resets of ended flows arrive through any balancer, when
  /// their port's next flow may be open.
  kLatePackets,
  kCount,
};

/// @param name Name of a kind in the options.
/// @return The kind, or nothing if there is none of that name.
auto ParseReuseKind(const std::string& name) -> std::optional<ReuseKind>;

/// @param kind A kind.
/// @return Name of the kind in the options and the report.
auto ToString(ReuseKind kind) -> std::string;

/// @return All kinds.
auto GetAllReuseKinds() -> std::set<ReuseKind>;

/// @return The kinds that end targets and give their addresses away.
auto GetHandOverKinds() -> std::set<ReuseKind>;

/// Choice of events.
struct ReuseOptions {
  std::set<ReuseKind> kinds;
  /// Time for which former agents run on after the next target listens; drawn
  /// for each event if absent.
  std::optional<Duration> agent_delay;
};

/// An event. All kinds but those of a balancer or agent alone replace one
/// target of each service by a target of the other service at its address.
struct ReuseEvent {
  ReuseKind kind = ReuseKind::kTogether;
  Duration start_offset{};  ///< Offset from the start of the series.
  std::size_t subject_index = 0;
  /// End of the former agent, from the time at which the next target listens.
  /// Absent if the agent is kept.
  std::optional<Duration> agent_end;
  /// Arrival of the former target's heartbeat, from the target's end.
  std::optional<Duration> late_heartbeat;
  /// Whether the next target has the instance id of the former one.
  bool has_same_id = false;
  Duration duration{};          ///< Length of a suspension.
  bool ends_suspended = false;  ///< Whether the suspended process is killed.
};

/// Draws a series of events, about one each second.
/// @param seed Seed of the random number generator.
/// @param length Length of the series; all events start before its end.
/// @param options Kinds to draw from; without any, the series is empty.
/// @return The events, ordered by start.
auto GenerateReuseSeries(std::uint64_t seed,
                         Duration length,
                         const ReuseOptions& options)
    -> std::vector<ReuseEvent>;

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_REUSE_H_
