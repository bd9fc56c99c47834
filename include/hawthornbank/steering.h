#ifndef HAWTHORNBANK_STEERING_H_
#define HAWTHORNBANK_STEERING_H_

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/flow_key.h"
#include "hawthornbank/flow_packet.h"
#include "hawthornbank/flow_search.h"
#include "hawthornbank/link_budget.h"
#include "hawthornbank/placement.h"
#include "hawthornbank/random.h"
#include "hawthornbank/relay.h"
#include "hawthornbank/routes.h"
#include "hawthornbank/types.h"

/// @file
/// Decides what a balancer does with each packet of a flow. Agents return
/// packets of flows that their targets don't hold.
///
/// Load pattern: packets of any flow reach any balancer, balancers join and
/// leave, and agents become unreachable between two packets. A balancer caches
/// the agent of each flow but doesn't depend on the cache: for an unknown flow
/// it queries the service's agents in the order of the flow's ranking
/// (flow_search.h). An opening packet (the first packet of a flow; in short, an
/// opening) that isn't confirmed in time is offered to the next target; an
/// opening that all targets refuse is reset at once.
namespace hawthornbank {

/// Number of announcement intervals after which a new balancer knows every
/// agent. An agent learns of the balancer in one interval and announces itself
/// in the next; the other intervals allow for lost announcements.
inline constexpr int kSettlingAnnouncements = 8;

/// Longest time that the restart of an agent takes: its grace period at the
/// shutdown and the start of its new process.
inline constexpr Duration kAgentRestartTime = std::chrono::seconds{6};

/// Limits and timeouts of a balancer's steering.
struct SteeringOptions {
  PlacementOptions placement;
  FlowSearchOptions search;
  /// Timeout for an agent to confirm an opening packet: the longest round trip
  /// between zones plus the target's handshake.
  Duration confirm_timeout = std::chrono::milliseconds{45};
  /// Maximum number of agents that one opening packet is offered to.
  std::size_t max_offers_per_opening = 8;
  /// Maximum number of remembered flows. The agent of any further flow is
  /// searched for again when its packets arrive.
  std::size_t max_remembered_flows = 262144;
  /// Time without packets after which a remembered flow is erased.
  Duration flow_idle_timeout = std::chrono::seconds{30};
  /// Time after the balancer's start in which it is still learning routes and
  /// targets. An opening packet without a known route or target is dropped
  /// rather than reset: the caller retransmits it after 200 ms, and this host
  /// reports to the routers that it isn't ready.
  Duration learning_time = std::chrono::milliseconds{1500};
  /// Minimum time from the balancer's start until it is certain to know every
  /// agent: three announcement intervals plus the delay between regions.
  Duration settling_time = std::chrono::seconds{3};
  /// Settling time when all targets of a service have just started too, as
  /// after a power loss: one announcement interval.
  Duration restart_settling_time = std::chrono::milliseconds{400};
};

/// The agent that a flow is steered to.
struct SteeredFlow {
  Endpoint agent;
  std::uint64_t target_started_at_ms =
      0;                   ///< Start of the target, Unix milliseconds.
  bool confirmed = false;  ///< The agent replied that it holds the flow.
  TimePoint last_used{};   ///< When the last packet was steered.
};

/// An opening packet that no agent has confirmed yet.
struct PendingOpening {
  std::vector<std::uint8_t> packet;
  RelayHeader header;
  Endpoint agent;           ///< Agent that was last offered the packet.
  TimePoint offered_at{};   ///< When that agent was offered the packet.
  TimePoint received_at{};  ///< When the caller's first packet arrived.
};

/// Reason of a steering action.
enum class SteeringReason : std::uint8_t {
  kPlaced,            ///< An opening was offered to the least loaded target.
  kDuplicateOpening,  ///< A duplicate opening was relayed to the flow's agent.
  kKnownFlow,         ///< The balancer remembers the flow's agent.
  kSearchStarted,     ///< The flow is unknown; its ranked agents are queried.
  kWaitsForSearch,    ///< The packet waits for the search for its flow.
  kAgentFound,        ///< A queried agent holds the flow.
  kOfferedToUnsureAgent,  ///< Relayed to a target that may hold the flow.
  kSearchLimit,           ///< Too many packets wait for flow searches.
  kSentBack,              ///< Returned opening; the next agent is tried.
  kUnconfirmed,           ///< An agent didn't confirm the opening in time.
  kNoRoute,               ///< The destination address has no route.
  kNoRoutesYet,           ///< The balancer has no configuration yet.
  kNoTarget,              ///< No target accepts new flows.
  kAllTargetsRefused,     ///< All targets refused the opening.
  kLinkFull,              ///< The link of the balancer's host is nearly full.
  kAgentNotFound,         ///< No agent reported the flow, but one may hold it.
  kFlowUnknown,           ///< It is certain that no agent holds the flow.
  kTargetLost,            ///< The flow's target has restarted or exited.
  kMalformed,             ///< The packet can't be parsed.
  kCount,
};

/// Number of steering reasons.
inline constexpr auto kSteeringReasonCount =
    static_cast<std::size_t>(SteeringReason::kCount);

/// @param reason A steering reason.
/// @return The reason's name in logs and metrics.
auto ToString(SteeringReason reason) -> std::string_view;

/// An action that the balancer's process carries out for a packet or flow.
struct SteeringAction {
  enum class Kind : std::uint8_t {
    kRelay,  ///< Send the header and the packet to `to`.
    kQuery,  ///< Send `query` to all `receivers`.
    kReset,  ///< Send a reset of the flow to its caller.
    kDrop,   ///< Drop the packet; only its reason is counted.
  };
  Kind kind = Kind::kDrop;
  SteeringReason reason = SteeringReason::kKnownFlow;
  FlowKey flow;
  Endpoint to;
  RelayHeader header;
  /// Packet to relay if the balancer kept a copy; otherwise empty, and the
  /// packet being handled is relayed.
  std::vector<std::uint8_t> kept;
  FlowQuery query;
  /// Agents to send the query to; for kAgentNotFound, the agents that didn't
  /// answer in time.
  std::vector<Endpoint> receivers;
  /// Acknowledgement number of the caller's packet, for a reset.
  std::uint32_t acknowledgement = 0;
  double load_score =
      0;  ///< Load score of the chosen target, in requests per slot.
  Duration load_age{};  ///< Age of the load report behind that score.
};

/// Steering state of one balancer.
struct Steering {
  SteeringOptions options;
  TimePoint started{};
  RouteSet routes;
  Fleet fleet;
  std::unordered_map<FlowKey, SteeredFlow> flows;
  std::unordered_map<FlowKey, PendingOpening> openings;
  FlowSearches searches;
  LinkBudget link;
  Random random{1};  ///< Selects the opening packets that a full link refuses.
  std::array<std::uint64_t, kSteeringReasonCount> counts{};
};

/// Handles a packet from a caller.
/// @param steering The balancer's state.
/// @param packet Parsed header of the packet.
/// @param bytes The whole packet.
/// @param now Current time.
/// @param out Actions are appended to it; they refer to `bytes`.
auto OnCallerPacket(Steering& steering,
                    const FlowPacket& packet,
                    std::span<const std::uint8_t> bytes,
                    TimePoint now,
                    std::vector<SteeringAction>& out) -> void;

/// Handles a caller's packet that an agent returned.
/// @param steering The balancer's state.
/// @param agent The agent.
/// @param header Relay header of the returned packet.
/// @param packet Parsed header of the caller's packet.
/// @param bytes The whole packet.
/// @param now Current time.
/// @param out Actions are appended to it; they refer to `bytes`.
auto OnPacketReturnedByAgent(Steering& steering,
                             Endpoint agent,
                             RelayHeader header,
                             const FlowPacket& packet,
                             std::span<const std::uint8_t> bytes,
                             TimePoint now,
                             std::vector<SteeringAction>& out) -> void;

/// Handles an agent's reply whether its target holds a flow.
/// @param steering The balancer's state.
/// @param reply The agent's reply.
/// @param now Current time.
/// @param out Actions are appended to it.
/// @return Time from the caller's first packet to this confirmation of the
/// opening packet; zero if the reply confirms no opening packet.
auto OnFlowReply(Steering& steering,
                 const FlowReply& reply,
                 TimePoint now,
                 std::vector<SteeringAction>& out) -> Duration;

/// Erases remembered flows that have had no packets for flow_idle_timeout.
/// @param steering The balancer's state.
/// @param now Current time.
auto EraseIdleFlows(Steering& steering, TimePoint now) -> void;

/// Offers opening packets whose confirmation timed out to the next target and
/// continues flow searches whose agents didn't answer in time.
/// @param steering The balancer's state.
/// @param now Current time.
/// @param out Actions are appended to it.
auto OnSteeringTick(Steering& steering,
                    TimePoint now,
                    std::vector<SteeringAction>& out) -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_STEERING_H_
