#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_STEERING_LOG_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_STEERING_LOG_H_

#include <cstdint>
#include <optional>

#include "hawthornbank/flow_packet.h"
#include "hawthornbank/steering.h"
#include "transport/event_log.h"
#include "transport/node_service_names.h"

/// @file
/// Log lines of a balancer's decisions about flows.
///
/// An opening has one line for each offer, copy and refusal, from which the
/// decision follows: the balancer's memory of the flow, the service that the
/// agent is told, the one that the route leads to and the agent's record.
namespace hawthornbank::transport {

/// An opening as a balancer found it before the decision.
struct SteeredOpening {
  FlowKey flow;
  std::uint32_t sequence = 0;
  std::uint32_t copy = 0;  ///< Number of earlier copies.
  /// The packet came from the caller rather than back from an agent.
  bool is_from_caller = false;
  std::optional<SteeredFlow> remembered;  ///< What the balancer remembered.
};

/// Process state that the lines contain.
struct SteeringLogContext {
  const Steering& steering;
  const ServiceNames& services;
};

/// Describes a packet of a caller before it is handled.
/// @param steering The balancer's state.
/// @param packet The packet.
/// @return The opening, or nothing for another packet.
auto DescribeCallerOpening(const Steering& steering, const FlowPacket& packet)
    -> std::optional<SteeredOpening>;

/// Describes the opening of an action that offers or refuses a stored opening.
/// @param packet The stored packet, if it could be decoded.
/// @return The opening, or nothing for another packet.
auto DescribeStoredOpening(const std::optional<FlowPacket>& packet)
    -> std::optional<SteeredOpening>;

/// Logs an action; further packets of a remembered flow aren't logged.
/// @param log The log.
/// @param context State of the balancer after the decision.
/// @param action The action.
/// @param opening The opening that the action is about, if it is about one.
/// @param now Current time.
auto LogSteeringAction(EventLog& log,
                       const SteeringLogContext& context,
                       const SteeringAction& action,
                       const std::optional<SteeredOpening>& opening,
                       TimePoint now) -> void;

/// @param steering The balancer's state.
/// @param flow A flow.
/// @return Sequence number of the flow's opening that no agent has confirmed,
/// or nothing.
auto FindPendingOpening(const Steering& steering, const FlowKey& flow)
    -> std::optional<std::uint32_t>;

/// Logs that an agent's reply has confirmed an opening.
/// @param log The log.
/// @param reply The reply.
/// @param opening FindPendingOpening() before the reply.
/// @param took Time from the opening's arrival to the reply.
/// @param now Current time.
auto LogConfirmation(EventLog& log,
                     const FlowReply& reply,
                     std::optional<std::uint32_t> opening,
                     Duration took,
                     TimePoint now) -> void;

/// Logs an opening that an agent returned after it was confirmed or refused.
/// @param log The log.
/// @param context State of the balancer.
/// @param agent The agent.
/// @param header Relay header of the returned opening.
/// @param packet The opening.
/// @param now Current time.
auto LogIgnoredReturn(EventLog& log,
                      const SteeringLogContext& context,
                      Endpoint agent,
                      const RelayHeader& header,
                      const FlowPacket& packet,
                      TimePoint now) -> void;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_STEERING_LOG_H_
