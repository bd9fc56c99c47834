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
/// An agent owns the flows that its target serves. The agent is also the home
/// of the flows that rank its target first: the home decides which target takes
/// a new flow, and keeps a pointer to the owner of each flow that it forwarded.
namespace hawthornbank {

/// Limits and timeouts of an agent's flow handling.
struct AgentOptions {
  Endpoint self;  ///< Where balancers and other agents reach this agent.
  ServiceId service{};
  std::uint32_t max_connections = 2000;
  Duration idle_timeout = std::chrono::minutes{10};
  /// Time for which one end of a flow may stay silent while the other end
  /// sends, before the agent probes both ends.
  Duration silence_timeout = std::chrono::seconds{20};
  Duration probe_interval = std::chrono::seconds{2};
  /// Number of unanswered probes after which the flow ends.
  std::uint32_t max_unanswered_probes = 3;
  /// Time after a change of the view in which a home looks up the owner of each
  /// unknown flow, also when the packet may open the flow.
  Duration learning_time = std::chrono::seconds{6};
  Duration pointer_retry = std::chrono::seconds{1};
  Duration pointer_refresh = std::chrono::minutes{3};
  /// Limit on hints that this agent sends, so that balancers stay within their
  /// budget.
  double hints_per_second = 3;
  double hint_burst = 500;
  std::size_t max_pointers = 20000;
  Duration drain_limit = std::chrono::hours{1};
};

/// State of a flow that this agent's target serves.
struct OwnedFlow {
  /// Home to which the pointer was last sent, or this agent if it is the home.
  Endpoint home;
  TimePoint last_from_caller{};
  TimePoint last_from_target{};
  TimePoint last_probe{};
  TimePoint last_pointer_sent{};  ///< When the pointer was last sent.
  /// Whether the home acknowledged the pointer or this agent is the home.
  bool home_acknowledged = false;
  std::uint32_t unanswered_probes = 0;
};

/// Agent to which this agent forwards the packets of a flow that it doesn't
/// own.
struct FlowPointer {
  Endpoint owner;
  TimePoint last_used{};
  /// Whether the pointer was sent by the owner or by a home that shut down.
  /// Otherwise `owner` is an agent on a walk for the flow. The walk may be
  /// unfinished, or its packet lost.
  bool confirmed = false;
};

/// Numbers of slots and requests that the target's request gate reports.
struct TargetUsage {
  std::uint32_t slots = 0;
  std::uint32_t slots_busy = 0;
  std::uint32_t queued = 0;
};

/// State of one agent: its flows, pointers and view of the service's targets.
struct Agent {
  AgentOptions options;
  std::vector<Candidate> view;  ///< The service's targets, own included.
  TimePoint view_changed{};     ///< Time of the last change of `view`.
  std::uint16_t weight_percent = 100;
  /// Last reported mean number of connections per target of the service, scaled
  /// to a target of full weight.
  double mean_connections = 0;
  /// Number of the agent's own connections when it received the mean before the
  /// last, which is about when the last mean was measured.
  std::size_t connections_at_mean = 0;
  /// Number of the agent's own connections when it received the last mean.
  std::size_t connections_at_last_update = 0;
  TargetUsage target_usage;
  bool draining = false;
  bool resting = false;  ///< Standby under the plan: no drain limit.
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
    kForwardToAgent,  ///< Send the packet with `header` to agent `to`.
    kReset,           ///< Notify the caller that the flow has ended.
    kHint,            ///< Notify balancer `to` that `owner` owns the flow.
    kPointer,         ///< Notify agent `to` that `owner` owns the flow.
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
/// @param out List to which the actions for `packet` are appended.
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

/// Ends a flow after its caller or target closed the flow or lost its state.
/// Does nothing if this agent doesn't own the flow.
/// @param agent The agent.
/// @param flow The flow.
/// @param out List to which the actions are appended.
auto EndFlow(Agent& agent, const FlowKey& flow, std::vector<AgentAction>& out)
    -> void;

/// Stores and acknowledges a pointer to the owner of a flow whose home is this
/// agent.
/// @param agent The agent.
/// @param flow The flow.
/// @param owner Agent that owns the flow.
/// @param now Current time.
/// @param out List to which the acknowledgement is appended.
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
/// The mean is out of date when the report arrives, so the agent adds the
/// growth of its own connections since about the time when the mean was
/// measured.
/// @param agent The agent.
/// @param mean Mean number of connections for a target of full weight.
auto SetMeanConnections(Agent& agent, double mean) -> void;

/// Replaces the view of the service's targets. For each owned flow
/// whose home changed or restarted, sends a pointer to the flow's current home.
/// @param agent The agent.
/// @param view The service's targets, including the agent's own.
/// @param now Current time.
/// @param out List to which the actions are appended.
auto SetServiceView(Agent& agent,
                    std::vector<Candidate> view,
                    TimePoint now,
                    std::vector<AgentAction>& out) -> void;

/// Starts a drain, also from standby: the agent takes no new flows and keeps
/// its open flows until the drain limit.
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

/// Sends each pointer of an agent that shuts down to the flow's next home.
/// @param agent Agent that shuts down. Its view must not contain its own
/// target.
/// @param out List to which the actions are appended.
auto SendPointersToNextHomes(Agent& agent, std::vector<AgentAction>& out)
    -> void;

/// Probes silent flows, ends dead flows and flows beyond the drain limit,
/// resends pointers to homes, and erases unused pointers.
/// @param agent The agent.
/// @param now Current time.
/// @param out List to which the actions are appended.
auto OnAgentTick(Agent& agent, TimePoint now, std::vector<AgentAction>& out)
    -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_AGENT_H_
