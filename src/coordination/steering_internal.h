#ifndef HAWTHORNBANK_SRC_COORDINATION_STEERING_INTERNAL_H_
#define HAWTHORNBANK_SRC_COORDINATION_STEERING_INTERNAL_H_

#include <optional>
#include <span>
#include <vector>

#include "hawthornbank/flow_identity.h"
#include "hawthornbank/steering.h"

/// @file
/// Declarations shared by the source files of a balancer's steering.
namespace hawthornbank::detail {

/// Counts an action's reason and appends the action to `out`.
auto AppendSteeringAction(Steering& steering,
                          SteeringAction action,
                          std::vector<SteeringAction>& out) -> void;

/// Appends the action that sends the caller a reset of the flow,
/// and counts the reason.
/// @param acknowledgement Acknowledgement number of the caller's packet;
/// 0 for an opening packet.
auto AppendResetAction(Steering& steering,
                       const FlowKey& flow,
                       SteeringReason reason,
                       std::uint32_t acknowledgement,
                       std::vector<SteeringAction>& out) -> void;

/// Appends the action that drops a packet, and counts the reason.
auto AppendDropAction(Steering& steering,
                      const FlowKey& flow,
                      SteeringReason reason,
                      std::vector<SteeringAction>& out) -> void;

/// Appends the action that relays a packet to an agent, and counts the reason.
/// @param kept Stored copy of the packet;
/// empty to relay the packet that is being handled.
auto AppendRelayAction(Steering& steering,
                       const FlowKey& flow,
                       Endpoint agent,
                       RelayHeader header,
                       SteeringReason reason,
                       std::vector<std::uint8_t> kept,
                       std::vector<SteeringAction>& out) -> void;

/// Records the agent that a flow is steered to; the flow's opening stays as
/// recorded. Does nothing for a flow that isn't recorded yet when
/// max_remembered_flows is reached.
/// @return The recorded flow, or null.
auto RecordFlowAgent(Steering& steering,
                     const FlowKey& flow,
                     Endpoint agent,
                     bool confirmed,
                     TimePoint now) -> SteeredFlow*;

/// @param flow A remembered flow.
/// @param sequence Sequence number of a caller's packet.
/// @return Which flow of the port the packet is of.
auto MatchSteeredFlow(const SteeredFlow& flow, std::uint32_t sequence)
    -> FlowMatch;

/// @return Whether the search for a flow's agent is for another flow of the
/// port than the remembered one.
auto IsSearchForOtherFlow(const Steering& steering, const FlowKey& flow)
    -> bool;

/// Ends a pending opening whose flow a caller's packet acknowledges: a target
/// has accepted it, and the confirmation may be lost.
auto EraseAcknowledgedOpening(Steering& steering,
                              const FlowKey& flow,
                              const FlowPacket& packet) -> void;

/// @return Time up to which the absence of a reply is known: a process that is
/// behind with reading must not take its own delay for an agent's silence.
auto GetReadTime(const Steering& steering, TimePoint now) -> TimePoint;

/// @return Terms of the flow's requests at a service; nothing when the flow's
/// address has no route.
auto DescribeTerms(const Steering& steering,
                   const FlowKey& flow,
                   std::uint32_t service) -> std::optional<FlowTerms>;

/// @return Whether the target of an agent's host has exited,
/// so that the target's flows have ended.
auto HasTargetExited(const KnownHost& host, TimePoint now) -> bool;

/// Removes the agents whose zone is out of service, according to this balancer
/// or to an agent that returned the opening.
/// @param ranked Agents of the opening's service.
/// @return Whether the target of a removed agent is ready.
auto EraseAgentsOutOfService(const Steering& steering,
                             const PendingOpening& opening,
                             std::vector<RankedAgent>& ranked) -> bool;

/// @return Reason of the reset of an opening that is offered to no other
/// target.
auto ChooseRefusalReason(const PendingOpening& opening,
                         bool has_excluded_target) -> SteeringReason;

/// @return Whether the balancer has started so recently that it may not know
/// all routes and targets.
auto IsInLearningTime(const Steering& steering, TimePoint now) -> bool;

/// Offers an opening to the least loaded of the first ranked targets, without
/// those that returned it or didn't confirm it in time.
/// @return False if the opening was reset or dropped instead.
auto OfferOpeningToNextTarget(Steering& steering,
                              const FlowKey& flow,
                              PendingOpening& opening,
                              SteeringReason reason,
                              TimePoint now,
                              std::vector<SteeringAction>& out) -> bool;

/// What may have become of earlier copies of an opening.
struct EarlierCopies {
  bool may_be_accepted = false;  ///< A target may have accepted one.
  bool may_be_open = false;      ///< The caller may have opened the flow.
};

/// @return An opening that is offered to no target yet.
auto MakePendingOpening(const Steering& steering,
                        const FlowPacket& packet,
                        const Route& route,
                        EarlierCopies earlier,
                        std::span<const std::uint8_t> bytes,
                        TimePoint now) -> PendingOpening;

/// Places an opening by the routes in force.
auto OfferNewFlow(Steering& steering,
                  const FlowPacket& packet,
                  const Route& route,
                  EarlierCopies earlier,
                  std::span<const std::uint8_t> bytes,
                  TimePoint now,
                  std::vector<SteeringAction>& out) -> void;

/// Handles a caller's opening: places a new flow, relays a copy.
auto OnCallerOpening(Steering& steering,
                     const FlowPacket& packet,
                     const Route& route,
                     std::span<const std::uint8_t> bytes,
                     TimePoint now,
                     std::vector<SteeringAction>& out) -> void;

/// Returns whether an agent's message about a flow is outdated: an opening of
/// the flow is pending that the agent wasn't offered, and no search runs.
auto IsAboutEarlierFlow(const Steering& steering,
                        const FlowKey& flow,
                        Endpoint agent) -> bool;

/// Ends the search of a flow whose port is used again: the waiting packets
/// belong to the earlier flow. Does nothing if no search is running.
auto EndSearchOfEarlierFlow(Steering& steering,
                            const FlowKey& flow,
                            std::vector<SteeringAction>& out) -> void;

/// Starts the search for the agent whose target holds a flow. The packet waits
/// until the search ends. If too many packets are waiting, the packet is
/// dropped and no search starts.
/// @param service Service that the flow probably belongs to.
/// @param agents_without_flow Addresses of agents whose targets are known not
/// to hold the flow.
auto StartFlowSearch(Steering& steering,
                     const FlowKey& flow,
                     const FlowPacket& packet,
                     std::span<const std::uint8_t> bytes,
                     std::uint32_t service,
                     std::span<const std::uint32_t> agents_without_flow,
                     TimePoint now,
                     std::vector<SteeringAction>& out) -> void;

/// Holds a packet if a search for its flow is running. The packet is dropped
/// if too many packets are waiting.
/// @return Whether a search for the flow is running.
auto HoldPacketForSearch(Steering& steering,
                         const FlowKey& flow,
                         std::span<const std::uint8_t> bytes,
                         std::vector<SteeringAction>& out) -> bool;

/// Handles an agent's reply to a flow search. If the agent's target holds the
/// flow, relays the waiting packets to the agent and ends the search. Otherwise
/// continues the search once all queried agents have replied.
auto OnFlowSearchReply(Steering& steering,
                       const FlowReply& reply,
                       TimePoint now,
                       std::vector<SteeringAction>& out) -> void;

/// Continues a flow search when the target that was offered
/// the first waiting packet returned the packet.
/// @return Whether the flow's search had offered the packet to `agent`.
auto OnOfferedPacketReturned(Steering& steering,
                             const FlowKey& flow,
                             Endpoint agent,
                             TimePoint now,
                             std::vector<SteeringAction>& out) -> bool;

/// Continues flow searches whose agents didn't reply within kHostReplyTimeout.
/// If an offered packet wasn't returned in that time, offers it to the next
/// unsure agent, too; after the last one relays the other waiting packets to
/// all that haven't returned it and ends the search.
auto OnFlowSearchTick(Steering& steering,
                      TimePoint now,
                      std::vector<SteeringAction>& out) -> void;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_SRC_COORDINATION_STEERING_INTERNAL_H_
