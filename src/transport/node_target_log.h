#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_TARGET_LOG_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_TARGET_LOG_H_

#include <cstdint>
#include <optional>

#include "hawthornbank/flow_packet.h"
#include "hawthornbank/target_flows.h"
#include "hawthornbank/target_presence.h"
#include "transport/event_log.h"
#include "transport/node_service_names.h"

/// @file
/// Log lines of an agent's decisions about flows and about its target.
///
/// An opening has one line for each copy that the agent delivers, returns or
/// rejects, from which the decision follows: the service that the balancer
/// named and the agent's own, the target and its last heartbeat, and what the
/// agent knew of the flow.
namespace hawthornbank::transport {

/// What an agent knew of a flow before an opening of it.
struct KnownTargetFlow {
  bool is_accepted = false;
  std::uint64_t target_started_at_ms = 0;
  TimePoint last_packet_at{};
};

/// An opening as an agent found it before the decision.
struct TargetOpening {
  FlowKey flow;
  std::uint32_t sequence = 0;
  std::uint32_t copy = 0;     ///< Number of earlier copies.
  Endpoint origin;            ///< Balancer that relayed it.
  std::uint32_t service = 0;  ///< Service that the balancer named.
  std::size_t asked = 0;      ///< Agents that were offered it before.
  /// The packet came from a balancer rather than back from the target.
  bool is_from_balancer = false;
  std::optional<KnownTargetFlow> known;
};

/// Process state that the lines contain.
struct TargetLogContext {
  const TargetFlows& target;
  const TargetPresence& presence;
  const ServiceNames& services;
};

/// Describes a packet that a balancer relayed, before it is handled.
/// @param target What the agent keeps about its target's flows.
/// @param header Relay header of the packet.
/// @param packet The packet.
/// @return The opening, or nothing for another packet.
auto DescribeRelayedOpening(const TargetFlows& target,
                            const RelayHeader& header,
                            const FlowPacket& packet)
    -> std::optional<TargetOpening>;

/// Describes the opening that an action returns to a balancer, or drops,
/// although no balancer's packet is being handled.
/// @param action The action.
/// @param packet The packet that is returned, if it could be decoded.
/// @return The opening, or nothing if the action is about another packet.
auto DescribeReturnedOpening(const TargetAction& action,
                             const std::optional<FlowPacket>& packet)
    -> std::optional<TargetOpening>;

/// Logs an action; packets of a known flow aren't logged, its openings are.
/// @param log The log.
/// @param context State of the agent after the decision.
/// @param action The action.
/// @param opening The opening being handled, if one is; counts only if it is of
/// the action's flow.
/// @param now Current time.
auto LogTargetAction(EventLog& log,
                     const TargetLogContext& context,
                     const TargetAction& action,
                     const std::optional<TargetOpening>& opening,
                     TimePoint now) -> void;

/// Logs a heartbeat that isn't applied.
/// @param log The log.
/// @param presence State of the target.
/// @param beat The heartbeat.
/// @param outcome Outcome of the heartbeat.
/// @param now Current time.
auto LogIgnoredHeartbeat(EventLog& log,
                         const TargetPresence& presence,
                         const TargetHeartbeat& beat,
                         PresenceOutcome outcome,
                         TimePoint now) -> void;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_TARGET_LOG_H_
