#ifndef HAWTHORNBANK_AGENT_H_
#define HAWTHORNBANK_AGENT_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "hawthornbank/candidates.h"
#include "hawthornbank/counters.h"
#include "hawthornbank/flow_key.h"
#include "hawthornbank/packet.h"
#include "hawthornbank/tunnel.h"
#include "hawthornbank/types.h"

/// @file
/// Handling of flow packets by the agent that runs beside a target.
///
/// An agent owns the flows that its target serves. It is also the home of the
/// flows that rank its target first: the home decides which target takes a new
/// flow, and keeps a pointer to the owner of each flow that it forwarded.
namespace hawthornbank {

/// Limits and timeouts of an agent's flow handling.
struct AgentOptions {
  Endpoint self;  ///< Endpoint of this agent for balancers and agents.
  ServiceId service{};
  std::uint32_t max_connections = 2000;
  Duration idle_timeout = std::chrono::minutes{10};
  /// Time for which one end of a flow may stay silent while the other end
  /// sends, before the agent probes both ends.
  Duration silence_timeout = std::chrono::seconds{20};
  Duration probe_interval = std::chrono::seconds{2};
  /// Number of unanswered probes after which the flow ends.
  std::uint32_t max_unanswered_probes = 3;
  /// Time after a change of targets in which the home looks up the owner of
  /// every flow that it doesn't know.
  Duration learning_time = std::chrono::seconds{6};
  Duration pointer_retry = std::chrono::seconds{1};
  Duration pointer_refresh = std::chrono::minutes{3};
  /// Rate limit of hints, which keeps balancers within their budget.
  double hints_per_second = 3;
  double hint_burst = 500;
  std::size_t max_pointers = 20000;
  Duration drain_limit = std::chrono::hours{1};
};

/// State of a flow that this agent's target serves.
struct OwnedFlow {
  Endpoint home;  ///< Agent that this owner sent the pointer to.
  TimePoint last_from_caller{};
  TimePoint last_from_target{};
  TimePoint last_probe{};
  TimePoint last_pointer_sent{};   ///< When the pointer was last sent.
  bool home_acknowledged = false;  ///< The home acknowledged the pointer.
  std::uint32_t unanswered_probes = 0;
};

/// Agent to which packets of a flow owned elsewhere are forwarded.
struct FlowPointer {
  Endpoint owner;
  TimePoint last_used{};
  /// Whether the pointer was sent by the owner or by a home that shut down.
  /// Otherwise `owner` is the next agent of a walk, which may still be in
  /// progress or lost.
  bool confirmed = false;
};

/// Requests at the target, as its request gate reports them.
struct TargetUsage {
  std::uint32_t slots = 0;
  std::uint32_t slots_busy = 0;
  std::uint32_t queued = 0;
};

/// Flows, pointers and view of the targets that one agent holds.
struct Agent {
  AgentOptions options;
  std::vector<Candidate> view;  ///< The service's targets, including its own.
  TimePoint view_changed{};     ///< When the targets last changed.
  std::uint16_t weight_percent = 100;
  /// Mean number of connections of the service's targets, for a target of full
  /// weight.
  double mean_connections = 0;
  /// Number of the agent's own connections at about the time of the mean.
  std::size_t connections_at_mean = 0;
  /// Number of the agent's own connections when it last received a mean.
  std::size_t connections_at_last_update = 0;
  TargetUsage target_usage;
  bool draining = false;
  bool resting = false;  ///< Draining for the plan (standby): no drain limit.
  TimePoint drain_started{};
  std::unordered_map<FlowKey, OwnedFlow> flows;
  std::unordered_map<FlowKey, FlowPointer> pointers;
  double hint_tokens = 0;
  TimePoint hints_refilled{};
  Counters counters;
};

/// Action that the agent's transport code carries out.
struct AgentAction {
  enum class Kind : std::uint8_t {
    kDeliver,         ///< Hand the packet to the local target.
    kForwardToAgent,  ///< Send the packet with `header` to `to`.
    kReset,           ///< Notify the caller that the flow has ended.
    kHint,            ///< Notify balancer `to` that `owner` has the flow.
    kPointer,         ///< Notify agent `to` that `owner` has the flow.
    kPointerAck,      ///< Acknowledge to owner `to` that its pointer arrived.
    kProbe,           ///< Check that both ends of the flow are alive.
    kClose,           ///< Free the socket and requests of an ended flow.
  };
  Kind kind = Kind::kDeliver;
  FlowKey flow;
  Endpoint to;
  Endpoint owner;
  TunnelHeader header;
};

/// Handles a packet from a balancer or another agent.
/// @param agent The agent.
/// @param header The packet's tunnel header.
/// @param packet The caller's packet.
/// @param now Current time.
/// @param out Actions are appended to it; they refer to `packet`.
auto OnTunnelPacket(Agent& agent,
                    const TunnelHeader& header,
                    const PacketView& packet,
                    TimePoint now,
                    std::vector<AgentAction>& out) -> void;

/// Records that the target sent a packet on a flow.
/// @param agent The agent.
/// @param flow The flow.
/// @param now Current time.
auto OnTargetPacketSent(Agent& agent, const FlowKey& flow, TimePoint now)
    -> void;

/// Records that both ends of a flow answered a probe.
/// @param agent The agent.
/// @param flow The flow.
/// @param now Current time.
auto OnFlowProbeAnswered(Agent& agent, const FlowKey& flow, TimePoint now)
    -> void;

/// Ends a flow whose caller or target closed it or lost its state.
/// @param agent The agent.
/// @param flow The flow.
/// @param out Actions are appended to it.
auto EndFlow(Agent& agent, const FlowKey& flow, std::vector<AgentAction>& out)
    -> void;

/// Stores a pointer: another agent owns a flow whose home is this agent.
/// @param agent The agent.
/// @param flow The flow.
/// @param owner The owner's agent.
/// @param now Current time.
/// @param out Actions are appended to it (the acknowledgement).
auto OnFlowPointerReceived(Agent& agent,
                           const FlowKey& flow,
                           Endpoint owner,
                           TimePoint now,
                           std::vector<AgentAction>& out) -> void;

/// Handles a home's acknowledgement of a pointer.
/// @param agent The agent.
/// @param flow The flow.
/// @param home Agent that acknowledged the pointer.
auto OnPointerAcknowledged(Agent& agent, const FlowKey& flow, Endpoint home)
    -> void;

/// Stores the reported mean number of connections over the service's targets.
/// The report lags behind, so the agent adds the growth of its own connections
/// since then.
/// @param agent The agent.
/// @param mean Mean number of connections for a target of full weight.
auto SetMeanConnections(Agent& agent, double mean) -> void;

/// Replaces the view of the service's targets and sends pointers to the homes
/// that changed or restarted.
/// @param agent The agent.
/// @param view The service's targets, including the agent's own.
/// @param now Current time.
/// @param out Actions are appended to it.
auto SetServiceView(Agent& agent,
                    std::vector<Candidate> view,
                    TimePoint now,
                    std::vector<AgentAction>& out) -> void;

/// Starts a drain: the agent takes no new flows and keeps its open flows.
/// @param agent The agent.
/// @param now Current time.
auto BeginDrain(Agent& agent, TimePoint now) -> void;

/// Puts the target in standby until EndDrain: the agent takes no new flows and
/// keeps the open flows without a time limit. A drain that has already begun
/// continues unchanged.
/// @param agent The agent.
/// @param now Current time.
auto BeginStandby(Agent& agent, TimePoint now) -> void;

/// Ends a drain or standby: the agent takes new flows again.
/// @param agent The agent.
auto EndDrain(Agent& agent) -> void;

/// Sends the agent's pointers to the flows' next homes before it shuts down.
/// @param agent The agent; its view must no longer contain its own target.
/// @param out Actions are appended to it.
auto SendPointersToNextHomes(Agent& agent, std::vector<AgentAction>& out)
    -> void;

/// Probes silent flows, ends dead and expired flows, erases unused pointers.
/// @param agent The agent.
/// @param now Current time.
/// @param out Actions are appended to it.
auto OnAgentTick(Agent& agent, TimePoint now, std::vector<AgentAction>& out)
    -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_AGENT_H_
