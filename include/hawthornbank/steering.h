#ifndef HAWTHORNBANK_STEERING_H_
#define HAWTHORNBANK_STEERING_H_

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/flow_key.h"
#include "hawthornbank/flow_packet.h"
#include "hawthornbank/flow_search.h"
#include "hawthornbank/flow_terms.h"
#include "hawthornbank/link_budget.h"
#include "hawthornbank/placement.h"
#include "hawthornbank/random.h"
#include "hawthornbank/relay.h"
#include "hawthornbank/routes.h"
#include "hawthornbank/types.h"
#include "hawthornbank/zone_service.h"

/// @file
/// Decides what a balancer does with each packet of a flow. Agents return
/// packets of flows that their targets don't hold.
///
/// Load pattern: packets of any flow reach any balancer, balancers join and
/// leave, and agents become unreachable between two packets. A balancer caches
/// the agent of each flow but doesn't depend on the cache: for an unknown flow
/// the balancer queries the service's agents in the order of the flow's ranking
/// (flow_search.h). An opening packet (the first packet of a flow; in short, an
/// opening) that no agent confirms in time is offered to the next target. An
/// opening that all targets refuse is answered with a reset at once.
namespace hawthornbank {

/// Longest time that the restart of an agent takes: the grace period of the old
/// process at shutdown, and the start of the new process.
inline constexpr Duration kAgentRestartTime = std::chrono::seconds{6};

/// Maximum time for which unread messages delay the timeouts of replies. A
/// process that is further behind can't tell a silent agent from its own
/// backlog, and callers give up before long.
inline constexpr Duration kMaxReadBacklog = std::chrono::milliseconds{500};

/// Limits and timeouts of a balancer's steering.
struct SteeringOptions {
  PlacementOptions placement;
  FlowSearchOptions search;
  WarmupAllowance warmup;
  /// Timeout for an agent to confirm an opening packet: the longest round trip
  /// between zones plus the target's handshake.
  Duration confirm_timeout = std::chrono::milliseconds{45};
  /// Maximum number of agents that one opening packet is offered to.
  std::size_t max_offers_per_opening = 8;
  /// Maximum number of remembered flows. The agent of any further flow is
  /// searched for again when packets of the flow arrive.
  std::size_t max_remembered_flows = 262144;
  /// Minimum time without packets after which a remembered flow is erased,
  /// however short the configured idle timeout is.
  Duration min_flow_idle_timeout = std::chrono::seconds{1};
  /// Maximum lifetime of a flow.
  Duration flow_lifetime = kFlowLifetime;
  /// Time after the balancer's start in which the balancer is still learning
  /// routes and targets. If the balancer has no routes or knows no target for
  /// an opening packet, it drops the packet and sends no reset: the caller
  /// retransmits the packet after 200 ms, and a balancer without routes reports
  /// to the routers that it isn't ready.
  Duration learning_time = std::chrono::milliseconds{1500};
  /// Time after the start from which searches for lost flows end, when the
  /// balancer and all known targets of a service have
  /// just started, for example after a power loss.
  Duration restart_settling_time = std::chrono::milliseconds{400};
  /// Time after the balancer's start in which targets can count as just
  /// started. Longer than a stopped agent's grace period: an agent whose target
  /// doesn't return is stopped then, and searches don't wait for it.
  Duration restart_period = std::chrono::seconds{20};
  /// Longest time between the starts of two processes that lost power together.
  Duration joint_start_time = std::chrono::seconds{2};
};

/// The opening that a flow began with. A caller that uses its port again sends
/// an opening with another sequence number; copies have the same one.
struct FlowOpening {
  std::uint32_t sequence = 0;
  std::uint32_t service = 0;  ///< Service that the opening was placed for.
};

/// The agent that a flow is steered to.
struct SteeredFlow {
  Endpoint agent;
  /// Start of the agent's target in Unix milliseconds; 0 if unknown.
  std::uint64_t target_started_at_ms = 0;
  /// Empty if this balancer hasn't placed the flow's opening.
  std::optional<FlowOpening> opening;
  /// Sequence number of the caller's latest packet, if one was seen.
  std::optional<std::uint32_t> caller_sequence;
  bool confirmed = false;  ///< The agent replied that its target has the flow.
  /// The opening was dropped because a target that left it unanswered may still
  /// accept it; `agent` isn't known to have the flow.
  bool may_be_open = false;
  TimePoint last_used{};  ///< When the agent was recorded or sent a packet.
};

/// An opening packet that no agent has confirmed yet.
struct PendingOpening {
  std::vector<std::uint8_t> packet;
  std::uint32_t sequence = 0;  ///< Sequence number of `packet`.
  RelayHeader header;
  /// Zones whose agents returned the packet because the zone is out of service.
  std::vector<std::string> excluded_zones;
  Endpoint agent;           ///< Agent that was last offered the packet.
  TimePoint offered_at{};   ///< When `agent` was offered the packet.
  TimePoint received_at{};  ///< When the opening arrived from the caller.
  /// A target returned the opening at the limit of its warm-up.
  bool was_at_warmup_limit = false;
  /// The packet may be a late copy of the opening of an open flow, or a target
  /// that has left it unanswered may still accept it, so its caller isn't
  /// reset.
  bool may_be_open = false;
};

/// Reason of a steering action.
enum class SteeringReason : std::uint8_t {
  kPlaced,            ///< An opening was offered to the least loaded target.
  kDuplicateOpening,  ///< A duplicate opening was relayed to the flow's agent.
  kKnownFlow,         ///< The balancer remembers the flow's agent.
  kSearchStarted,     ///< The flow's agent is unknown; agents are queried.
  kWaitsForSearch,    ///< The packet waits until the flow's search ends.
  kAgentFound,        ///< A waiting packet is relayed to the agent found.
  kOfferedToUnsureAgent,  ///< Relayed to a target that may hold the flow.
  kSearchLimit,           ///< The limit of waiting packets is reached.
  kSentBack,              ///< Offers a returned opening to the next target.
  kUnconfirmed,           ///< Offers an unconfirmed opening to the next target.
  kNoRoute,               ///< The destination address has no route.
  kNoRoutesYet,           ///< The balancer has no routes yet.
  kNoTarget,              ///< No target accepts new flows.
  kAllTargetsRefused,     ///< No target that was offered the opening took it.
  kLinkFull,              ///< The link of the balancer's host is nearly full.
  kAgentNotFound,         ///< No agent reported the flow; a target may hold it.
  kFlowUnknown,           ///< No reachable agent's target holds the flow.
  kTargetLost,            ///< The flow's target has exited.
  kMalformed,             ///< The packet can't be parsed.
  kSearchQueued,          ///< The flow's search waits to send its queries.
  kFoundAtFormerService,  ///< kAgentFound, at a service the route led to.
  kFoundByWideSearch,     ///< kAgentFound, at a service that wasn't known.
  kNoZonesYet,            ///< The zones out of service aren't known yet.
  kZonesOut,              ///< All zones with a ready target are out of service.
  kWarmupLimit,  ///< All targets left are at the limits of their warm-ups.
  kPortReused,   ///< The packet belongs to an earlier flow of the same port.
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
    kDrop,   ///< Drop the packet.
  };
  Kind kind = Kind::kDrop;
  SteeringReason reason = SteeringReason::kKnownFlow;
  FlowKey flow;
  Endpoint to;
  RelayHeader header;
  /// For kRelay: stored copy of the packet to relay;
  /// if empty, the packet being handled is relayed. Of an opening that no
  /// target took: the opening, for logs.
  std::vector<std::uint8_t> kept;
  FlowQuery query;
  /// Agents to send the query to;
  /// for kAgentNotFound, the agents that didn't reply in time.
  std::vector<Endpoint> receivers;
  /// Acknowledgement number of the caller's packet, for a reset.
  std::uint32_t acknowledgement = 0;
  /// Load score of the chosen target, in requests per slot.
  double load_score = 0;
  Duration load_age{};  ///< Age of the load report used for `load_score`.
};

/// Steering state of one balancer.
struct Steering {
  SteeringOptions options;
  TimePoint started{};
  /// While messages of agents are unread: all that arrived before this time
  /// have been handled.
  std::optional<TimePoint> messages_read_until;
  RouteSet routes;
  /// When `routes` were last confirmed as the newest ones.
  TimePoint routes_confirmed_at{};
  /// Time since `routes_confirmed_at` from which newer routes may be in force
  /// elsewhere; ComputeMaxRoutesAge() gives a longer one in a large fleet.
  Duration max_routes_age = kMaxRoutesAge;
  /// The operator takes zones out of service on this platform.
  bool expects_zones = false;
  ZonesOutOfService zones;
  Fleet fleet;
  std::unordered_map<FlowKey, SteeredFlow> flows;
  std::unordered_map<FlowKey, PendingOpening> openings;
  FlowSearches searches;
  LinkBudget link;
  Random random{1};  ///< Selects the openings that a nearly full link refuses.
  std::array<std::uint64_t, kSteeringReasonCount> counts{};
};

/// Tells whether a starting balancer has yet to learn which zones are out of
/// service. If neither the store nor a peer tells it within the learning time,
/// the balancer places flows without.
/// @param steering The balancer's state.
/// @param now Current time.
/// @return Whether the balancer places no flows yet.
auto MustWaitForZones(const Steering& steering, TimePoint now) -> bool;

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

/// Handles an agent's reply that tells whether its target holds a flow.
/// @param steering The balancer's state.
/// @param reply The agent's reply.
/// @param now Current time.
/// @param out Actions are appended to it.
/// @return Time from the arrival of the opening packet to this reply; zero if
/// the reply confirms no pending opening.
auto OnFlowReply(Steering& steering,
                 const FlowReply& reply,
                 TimePoint now,
                 std::vector<SteeringAction>& out) -> Duration;

/// Erases remembered flows without packets for longer than the configured idle
/// timeout or a flow's lifetime. A flow that goes on all the same is searched
/// for: its agent remembers it for the lifetime.
/// @param steering The balancer's state.
/// @param now Current time.
auto EraseIdleFlows(Steering& steering, TimePoint now) -> void;

/// Offers opening packets that weren't confirmed in time to the next target,
/// marks the agents that didn't confirm them as suspected, and continues flow
/// searches whose agents didn't reply in time.
/// @param steering The balancer's state.
/// @param now Current time.
/// @param out Actions are appended to it.
auto OnSteeringTick(Steering& steering,
                    TimePoint now,
                    std::vector<SteeringAction>& out) -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_STEERING_H_
