#ifndef HAWTHORNBANK_TARGET_PRESENCE_H_
#define HAWTHORNBANK_TARGET_PRESENCE_H_

#include <cstdint>
#include <string>

#include "hawthornbank/fleet.h"
#include "hawthornbank/types.h"

/// @file
/// What an agent believes of its target, by the target's heartbeats.
///
/// Load pattern: heartbeats that come late, twice or in the wrong order, from
/// this start of the target or an earlier one. Only the start and the sequence
/// number tell them apart.
namespace hawthornbank {

/// A target's heartbeat, or its word that it goes.
struct TargetHeartbeat {
  std::string id;
  std::string service;
  std::uint64_t born = 0;      ///< Start of the target, Unix milliseconds.
  std::uint64_t sequence = 0;  ///< Grows with each heartbeat of a start.
  TargetState state = TargetState::kUnknown;
  std::uint16_t slots = 1;
  std::uint32_t warmup_ms = 0;
};

/// Sequence number of a start's first heartbeat.
inline constexpr std::uint64_t kFirstSequence = 1;

/// What an agent knows of its target.
struct TargetPresence {
  std::string service;  ///< Name of the service that it serves.
  std::string id;
  std::uint64_t sequence = 0;
  TargetStatus status;
  TimePoint heard{};  ///< Last heartbeat.
  /// Whether every flow of the present start passed this agent.
  bool seen_since_start = false;
};

/// What became of a heartbeat.
enum class PresenceOutcome : std::uint8_t {
  kKnown,      ///< It says nothing new.
  kChanged,    ///< The target's status changed.
  kRestarted,  ///< It comes from a new start: the target holds no flows.
  kLate,       ///< A newer heartbeat or start is known.
  kForeign,    ///< It is of another service.
};

/// Takes a heartbeat.
/// @param presence What is known of the target.
/// @param beat The heartbeat.
/// @param now The present instant.
/// @return What became of it.
auto OnHeartbeat(TargetPresence& presence,
                 const TargetHeartbeat& beat,
                 TimePoint now) -> PresenceOutcome;

/// Takes a target's word that it goes.
/// @param presence What is known of the target.
/// @param id Who goes.
/// @return What became of it.
auto OnDeparture(TargetPresence& presence, const std::string& id)
    -> PresenceOutcome;

/// Notes that no heartbeat has come since this agent started. After two of
/// them there is no target: one that is there calls nobody else.
/// @param presence What is known of the target.
/// @param interval Of heartbeats.
/// @param up Time since this agent started.
/// @return Whether the target is now taken for gone.
auto OnSilence(TargetPresence& presence, Duration interval, Duration up)
    -> PresenceOutcome;

/// @param outcome An outcome.
/// @return Its name in logs.
auto ToString(PresenceOutcome outcome) -> const char*;

/// @param state A target's state.
/// @return Its name in logs.
auto ToString(TargetState state) -> const char*;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_TARGET_PRESENCE_H_
