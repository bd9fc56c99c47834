#ifndef HAWTHORNBANK_SRC_COORDINATION_ADDRESS_CLAIM_H_
#define HAWTHORNBANK_SRC_COORDINATION_ADDRESS_CLAIM_H_

#include "hawthornbank/target_presence.h"

/// @file
/// Decides whether a target's address belongs to a target of another service.
///
/// Load pattern: heartbeats of another service come from a target that has got
/// the address, late from one that had it before, or for ever from a writer
/// that is no target. Only the heartbeats of the own service tell these apart:
/// an ended target sends none.
namespace hawthornbank::detail {

/// @param start A start of a target.
/// @param beat A heartbeat.
/// @return Whether the start sent the heartbeat.
auto IsSameStart(const TargetStart& start, const TargetHeartbeat& beat) -> bool;

/// @param presence State of the target.
/// @param beat A heartbeat of another service.
/// @return Whether the start that sent it claims the address.
auto IsSameClaim(const TargetPresence& presence, const TargetHeartbeat& beat)
    -> bool;

/// Records a start that no longer counts as running.
/// @param presence State of the target.
/// @param start The start.
auto RememberReplacedStart(TargetPresence& presence, const TargetStart& start)
    -> void;

/// Ends the claim, if there is one.
/// @param presence State of the target.
auto RejectClaim(TargetPresence& presence) -> void;

/// Records a heartbeat of a target of another service that may have the
/// address. Like a rival, it must go on while the present start is silent. Own
/// heartbeats may lie unread beside one that has.
/// @param presence State of the target.
/// @param beat The heartbeat.
/// @param now Current time.
/// @return Whether the target of the other service has the address.
auto HasTakenAddress(TargetPresence& presence,
                     const TargetHeartbeat& beat,
                     TimePoint now) -> bool;

/// Records a heartbeat of the present start while another service may have its
/// address. In the time after which the claim is rejected, a target of the
/// other service would have sent a heartbeat.
/// @param presence State of the target.
/// @param beat The heartbeat.
/// @param now Current time.
auto AnswerClaim(TargetPresence& presence,
                 const TargetHeartbeat& beat,
                 TimePoint now) -> void;

/// Records a heartbeat of the own service.
/// @param presence State of the target.
/// @param beat The heartbeat, which isn't late.
/// @param now Current time.
/// @return Whether heartbeats of its start have gone on for
/// ComputeOutlastingTime() beside those of another service.
auto HasOutlastedOtherService(TargetPresence& presence,
                              const TargetHeartbeat& beat,
                              TimePoint now) -> bool;

/// Erases the run of own heartbeats once it has ended.
/// @param presence State of the target.
/// @param now Current time.
auto EraseEndedRun(TargetPresence& presence, TimePoint now) -> void;

/// Tells whether claims are ignored, because the present start has outlasted
/// one and has sent heartbeats since.
/// @param presence State of the target.
/// @param now Current time.
/// @return Whether claims are ignored.
auto IgnoresClaims(TargetPresence& presence, TimePoint now) -> bool;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_SRC_COORDINATION_ADDRESS_CLAIM_H_
