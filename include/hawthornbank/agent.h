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
/// What the agent beside a target does with packets of flows.
///
/// An agent owns the flows of its target. For flows that rank it first it is
/// also their home: it decides who takes a new one, and keeps a pointer to
/// the owner of each that it passed on.
namespace hawthornbank {

/// Settings of an agent's decisions.
struct AgentOptions {
  Endpoint self;  ///< Its endpoint between processes.
  ServiceId service{};
  std::uint32_t max_connections = 2000;
  Duration idle_timeout = std::chrono::minutes{10};
  Duration silence_timeout = std::chrono::seconds{20};  ///< Before a probe.
  Duration probe_interval = std::chrono::seconds{2};
  std::uint32_t probe_limit = 3;  ///< Unanswered probes that end a flow.
  Duration learning_time = std::chrono::seconds{6};  ///< After a change.
  Duration pointer_retry = std::chrono::seconds{1};
  Duration pointer_refresh = std::chrono::minutes{3};
  double hints_per_second = 3;  ///< So that balancers keep their budget.
  double hint_burst = 500;
  std::size_t max_pointers = 20000;
  Duration drain_limit = std::chrono::hours{1};
};

/// A flow that this agent's target serves.
struct OwnedFlow {
  Endpoint home;  ///< Who was told that this agent owns it.
  TimePoint last_from_caller{};
  TimePoint last_from_target{};
  TimePoint last_probe{};
  TimePoint last_told{};    ///< When the home was last told.
  bool home_knows = false;  ///< The home has acknowledged that.
  std::uint32_t probes = 0;
};

/// Where a flow went that this agent doesn't own.
struct FlowPointer {
  Endpoint owner;
  TimePoint last_used{};
  /// Whether the owner said so itself. Else it is where a walk went on, which
  /// may still be under way or lost.
  bool confirmed = false;
};

/// How busy the target is, as its request gate knows it.
struct TargetBusyness {
  std::uint32_t slots = 0;
  std::uint32_t slots_busy = 0;
  std::uint32_t queued = 0;
};

/// Decisions of one agent about flows.
struct Agent {
  AgentOptions options;
  std::vector<Candidate> view;  ///< The service's targets, also this one.
  TimePoint view_changed{};     ///< When the targets last changed.
  std::uint16_t weight_percent = 100;
  double mean_connections = 0;       ///< Over the service's targets.
  std::size_t connections_then = 0;  ///< Own ones at about that time.
  std::size_t connections_last = 0;  ///< Own ones when last told the mean.
  TargetBusyness busyness;
  bool draining = false;
  bool resting = false;  ///< Draining for the plan: its flows have no limit.
  TimePoint drain_started{};
  std::unordered_map<FlowKey, OwnedFlow> flows;
  std::unordered_map<FlowKey, FlowPointer> pointers;
  double hint_tokens = 0;
  TimePoint hints_refilled{};
  Counters counters;
};

/// What the binding does for an agent.
struct AgentAction {
  enum class Kind : std::uint8_t {
    kDeliver,     ///< Hand the packet to the local target.
    kPass,        ///< Send the packet with `header` to `to`.
    kReset,       ///< Tell the caller that the flow is over.
    kHint,        ///< Tell balancer `to` that `owner` has the flow.
    kPointer,     ///< Tell agent `to` that `owner` has the flow.
    kPointerAck,  ///< Tell owner `to` that its pointer has arrived.
    kProbe,       ///< Ask both ends whether the flow is alive.
    kClose,       ///< The flow ended: free its socket and its requests.
  };
  Kind kind = Kind::kDeliver;
  FlowKey flow;
  Endpoint to;
  Endpoint owner;
  TunnelHeader header;
};

/// Handles a packet from a balancer or another agent.
/// @param agent The agent.
/// @param header Its tunnel header.
/// @param packet The caller's packet.
/// @param now The present instant.
/// @param out Receives the actions; they refer to `packet`.
auto OnTunnelPacket(Agent& agent,
                    const TunnelHeader& header,
                    const PacketView& packet,
                    TimePoint now,
                    std::vector<AgentAction>& out) -> void;

/// Notes that the target sent something on a flow.
/// @param agent The agent.
/// @param flow The flow.
/// @param now The present instant.
auto OnTargetSent(Agent& agent, const FlowKey& flow, TimePoint now) -> void;

/// Notes that both ends of a flow answered a probe.
/// @param agent The agent.
/// @param flow The flow.
/// @param now The present instant.
auto OnProbeAnswered(Agent& agent, const FlowKey& flow, TimePoint now) -> void;

/// Ends a flow, because an end closed it or lost it.
/// @param agent The agent.
/// @param flow The flow.
/// @param out Receives the actions.
auto EndFlow(Agent& agent, const FlowKey& flow, std::vector<AgentAction>& out)
    -> void;

/// Handles a pointer: another agent owns a flow whose home is here.
/// @param agent The agent.
/// @param flow The flow.
/// @param owner The owner's agent.
/// @param now The present instant.
/// @param out Receives the acknowledgement.
auto OnFlowPointer(Agent& agent,
                   const FlowKey& flow,
                   Endpoint owner,
                   TimePoint now,
                   std::vector<AgentAction>& out) -> void;

/// Handles a home's acknowledgement of a pointer.
/// @param agent The agent.
/// @param flow The flow.
/// @param home The agent that acknowledges.
auto OnPointerAck(Agent& agent, const FlowKey& flow, Endpoint home) -> void;

/// Takes the mean number of connections over the service's targets. It is a
/// report and lags, so own growth since is added to it.
/// @param agent The agent.
/// @param mean Connections a target of full weight.
auto SetMeanConnections(Agent& agent, double mean) -> void;

/// Takes a new view of the service's targets and tells new homes of flows.
/// @param agent The agent.
/// @param view The service's targets, also this one.
/// @param now The present instant.
/// @param out Receives the actions.
auto SetServiceView(Agent& agent,
                    std::vector<Candidate> view,
                    TimePoint now,
                    std::vector<AgentAction>& out) -> void;

/// Stops taking new flows; those here stay.
/// @param agent The agent.
/// @param now The present instant.
auto BeginDrain(Agent& agent, TimePoint now) -> void;

/// Takes no new flows until EndDrain, and keeps the established ones for as
/// long as they live. An agent that drains already goes on with that.
/// @param agent The agent.
/// @param now The present instant.
auto BeginRest(Agent& agent, TimePoint now) -> void;

/// Takes new flows again.
/// @param agent The agent.
auto EndDrain(Agent& agent) -> void;

/// Hands its pointers to the flows' next homes before it leaves.
/// @param agent The agent; its view must no longer hold itself.
/// @param out Receives the actions.
auto HandOverPointers(Agent& agent, std::vector<AgentAction>& out) -> void;

/// Probes silent flows, ends dead and expired ones, forgets old pointers.
/// @param agent The agent.
/// @param now The present instant.
/// @param out Receives the actions.
auto OnAgentTick(Agent& agent, TimePoint now, std::vector<AgentAction>& out)
    -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_AGENT_H_
