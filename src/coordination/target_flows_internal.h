#ifndef HAWTHORNBANK_SRC_COORDINATION_TARGET_FLOWS_INTERNAL_H_
#define HAWTHORNBANK_SRC_COORDINATION_TARGET_FLOWS_INTERNAL_H_

#include <cstdint>
#include <span>
#include <vector>

#include "hawthornbank/flow_identity.h"
#include "hawthornbank/target_flows.h"

/// @file
/// Declarations shared by the source files of an agent's packet handling.
namespace hawthornbank::detail {

/// @param flow A flow that the target holds or may hold.
/// @param message Numbers of a caller's packet or of a query about one.
/// @return Which flow of the port the message is about. As long as the caller
/// hasn't acknowledged the target's acceptance, another acknowledgement number
/// is one of another flow, or of another target that accepted the opening too.
auto MatchCallerMessage(const TargetFlow& flow, const MessageNumbers& message)
    -> FlowMatch;

/// @param flow A flow that the target holds or may hold.
/// @param packet A packet that the target has sent to the caller.
/// @return Which flow of the port the packet is about: the target may still
/// send packets of an earlier one, for example the reset of late data.
auto MatchTargetPacket(const TargetFlow& flow, const FlowPacket& packet)
    -> FlowMatch;

/// Returns whether a message shows that the caller opened the flow at another
/// target: two targets may accept the same opening, and the caller acknowledges
/// the answer of one.
/// @param message Numbers of a caller's packet.
auto IsOpenedAtAnotherTarget(const TargetFlow& flow,
                             const MessageNumbers& message) -> bool;

/// Records that a message of the flow acknowledges the target's acceptance.
auto RecordAcknowledgedAcceptance(TargetFlow& flow,
                                  const MessageNumbers& message) -> void;

/// Counts an action's reason and appends the action to `out`.
auto AppendCountedAction(TargetFlows& target,
                         TargetAction action,
                         std::vector<TargetAction>& out) -> void;

/// Appends the action that sends a target's packet to the caller.
auto AppendAnswerAction(TargetFlows& target,
                        const FlowKey& flow,
                        std::vector<TargetAction>& out) -> void;

/// Appends the action that returns a packet to the balancer that relayed it.
auto AppendReturnAction(TargetFlows& target,
                        const FlowKey& flow,
                        RelayHeader header,
                        TargetReason reason,
                        std::vector<TargetAction>& out) -> void;

/// Appends the action that tells a balancer whether the target holds a flow.
/// Does nothing for a balancer without an address.
auto AppendReplyAction(const FlowKey& flow,
                       Endpoint balancer,
                       FlowOwnership ownership,
                       std::vector<TargetAction>& out) -> void;

/// Counts the flow's opening or request in TargetFlows::running.
auto OccupySlotForFlow(TargetFlows& target, TargetFlow& flow, TimePoint now)
    -> void;

/// Stores a packet's relay header in case the target returns the packet.
/// @return The id that the target copies into the returned packet.
auto StoreReturnableHeader(TargetFlows& target, const RelayHeader& header)
    -> std::uint32_t;

/// Appends the action that sends a packet to the target.
/// @param return_id Result of StoreReturnableHeader().
auto AppendDeliverAction(TargetFlows& target,
                         const FlowKey& flow,
                         TargetReason reason,
                         std::uint32_t return_id,
                         std::vector<TargetAction>& out) -> void;

/// Records a request that was left without an answer, if the flow has one.
auto RecordFailedRequest(TargetFlows& target,
                         const TargetFlow& flow,
                         TimePoint now) -> void;

/// Records that the first request of a flow has arrived or isn't expected any
/// more.
auto StopExpectingRequest(TargetFlows& target, TargetFlow& flow) -> void;

/// Frees the slot of a flow whose request has ended.
auto ReleaseSlotOfFlow(TargetFlows& target, TargetFlow& flow) -> void;

/// Erases a flow, if it is known, and frees its slot.
auto EraseFlow(TargetFlows& target, const FlowKey& key) -> void;

/// Delivers the waiting requests that get a place or whose wait has ended.
auto HandOverWaitingRequests(TargetFlows& target,
                             TimePoint now,
                             std::vector<TargetAction>& out) -> void;

/// @return Whether the flow is known to have another opening than the one with
/// the sequence number.
auto HasOtherOpening(const TargetFlow& flow, std::uint32_t sequence) -> bool;

/// @return Whether the target has accepted the flow and it hasn't been closed.
auto IsFlowOpen(const TargetFlow& flow) -> bool;

/// Records the flow of an opening that was delivered to the target, and that
/// the target may accept.
/// @param sequence Sequence number of the opening; empty if unknown.
auto RecordOpenedFlow(TargetFlows& target,
                      const RelayHeader& header,
                      const FlowKey& flow,
                      std::optional<std::uint32_t> sequence,
                      TimePoint now) -> void;

/// Records that the target has accepted a later opening of the port of an open
/// flow. The caller's next acknowledgement tells which of the two flows is
/// open, as the opening may be a late copy of an earlier one.
/// @param answer The target's answer to an opening.
/// @return Whether the answer is of another flow than the open one. It is
/// passed on to the caller then.
auto RecordAnswerToLaterOpening(TargetFlows& target,
                                const FlowKey& key,
                                const FlowPacket& answer,
                                TimePoint now,
                                std::vector<TargetAction>& out) -> bool;

/// Replaces an open flow if the caller's acknowledgement number shows that the
/// caller has opened the port's later flow at this target.
auto ReplaceFlowIfReopened(TargetFlows& target,
                           const FlowKey& key,
                           bool has_acknowledgement,
                           std::uint32_t acknowledgement,
                           TimePoint now) -> void;

/// Handles a caller's packet that the target has returned. The packet's flow
/// is forgotten only if the packet is certainly of the flow that is recorded.
auto OnPacketReturnedByTarget(TargetFlows& target,
                              const FlowPacket& packet,
                              TimePoint now,
                              std::vector<TargetAction>& out) -> void;

/// Handles an opening that a balancer relayed: delivers it, returns it to the
/// balancer or rejects it.
/// @param sequence Sequence number of the opening. An opening of a known flow
/// with another number opens a new flow.
auto OnOpeningPacket(TargetFlows& target,
                     const RelayHeader& header,
                     const FlowKey& flow,
                     std::uint32_t sequence,
                     std::span<const std::uint8_t> bytes,
                     TimePoint now,
                     std::vector<TargetAction>& out) -> void;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_SRC_COORDINATION_TARGET_FLOWS_INTERNAL_H_
