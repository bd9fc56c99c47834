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
/// What a balancer does with a packet where agents return what their targets
/// don't hold.
///
/// Load pattern: packets of any flow at any balancer, balancers that come and
/// go, agents that fall silent between a packet and the next. A balancer
/// remembers where flows are, but needs not: it asks the service's agents in
/// the flow's own order (flow_search.h). An opening that isn't confirmed in
/// time goes to the next target; one that nobody takes is reset at once.
namespace hawthornbank {

/// Intervals of announces after which every agent is known: it hears of a new
/// balancer with one, announces itself with the next, and any may be lost.
inline constexpr int kSettlingAnnounces = 8;

/// Time in which a stopped agent is back when it is only restarted: its grace
/// is over by then, and its process started again.
inline constexpr Duration kReturnTime = std::chrono::seconds{6};

/// Limits of a balancer's decisions.
struct SteeringOptions {
  PlacementOptions placement;
  FlowSearchOptions search;
  /// Time for an agent to confirm an opening: twice the longest way between
  /// zones and the target's handshake.
  Duration confirm_timeout = std::chrono::milliseconds{45};
  /// Agents that one opening is offered to.
  std::size_t max_offers = 8;
  /// Remembered flows; further ones are looked for each time.
  std::size_t max_flows = 262144;
  /// Life of a remembered flow without a packet.
  Duration flow_idle = std::chrono::seconds{30};
  /// Time after a start in which routes and targets are still being learned.
  /// An opening that meets none then isn't given up: its caller sends it again
  /// after 200 ms, and the routers are told that this host isn't ready.
  Duration learning_time = std::chrono::milliseconds{1500};
  /// Time after a start until every agent is known for certain: announces of
  /// three intervals, and the way between regions.
  Duration settling_time = std::chrono::seconds{3};
  /// The same when all targets have just started too, as after a loss of
  /// power: one interval of announces.
  Duration restart_settling_time = std::chrono::milliseconds{400};
};

/// Where a flow is.
struct SteeredFlow {
  Endpoint agent;
  std::uint64_t target_born = 0;  ///< Start of the target that took it.
  bool confirmed = false;         ///< Its agent said so.
  TimePoint used{};
};

/// An opening that no agent has confirmed yet.
struct PendingOpening {
  std::vector<std::uint8_t> packet;
  RelayHeader header;
  Endpoint agent;  ///< Who was asked last.
  TimePoint asked_at{};
  TimePoint since{};
};

/// Why a packet or flow was refused, dropped or sent elsewhere.
enum class SteeringReason : std::uint8_t {
  kPlaced,          ///< An opening went to the least loaded target.
  kRepeated,        ///< A copy of an opening followed the first.
  kRemembered,      ///< The flow is known here.
  kLookedFor,       ///< The flow isn't known; its ranking is asked.
  kHeld,            ///< Kept until the search for its flow ends.
  kFound,           ///< An agent has the flow that was looked for.
  kUnsureAgent,     ///< Sent to a target that may have the flow.
  kSearchLimit,     ///< Too many packets wait for searches.
  kSentBack,        ///< An agent refused it; the next one is asked.
  kUnconfirmed,     ///< An agent didn't confirm it in time.
  kNoRoute,         ///< No route leads from this address.
  kNoRoutesYet,     ///< No configuration is known yet.
  kNoTarget,        ///< No target takes new flows.
  kNobodyTook,      ///< All targets refused the opening.
  kLinkFull,        ///< This host's link is nearly full.
  kHolderNotFound,  ///< No agent has the flow; some may be unknown.
  kFlowUnknown,     ///< No agent has the flow, for certain.
  kTargetLost,      ///< The flow's target restarted or is gone.
  kMalformed,       ///< The packet can't be read.
  kCount,
};

/// Number of reasons.
inline constexpr auto kSteeringReasonCount =
    static_cast<std::size_t>(SteeringReason::kCount);

/// @param reason A reason.
/// @return Its name in logs and metrics.
auto ToString(SteeringReason reason) -> std::string_view;

/// What the binding does for a balancer.
struct SteeringAction {
  enum class Kind : std::uint8_t {
    kRelay,  ///< Send the header and the packet to `to`.
    kQuery,  ///< Send `query` to all `receivers`.
    kReset,  ///< Tell the caller that the flow is over.
    kDrop,   ///< Nothing; it is counted.
  };
  Kind kind = Kind::kDrop;
  SteeringReason reason = SteeringReason::kRemembered;
  FlowKey flow;
  Endpoint to;
  RelayHeader header;
  std::vector<std::uint8_t> kept;  ///< The packet, when it was kept here.
  FlowQuery query;
  /// Of the query; of a search that found nobody, those that were silent.
  std::vector<Endpoint> receivers;
  /// Acknowledgement number of the caller's packet, for a reset.
  std::uint32_t acknowledgement = 0;
  double load_score = 0;  ///< Of the chosen target.
  Duration load_age{};    ///< Age of that knowledge.
};

/// Decisions of one balancer.
struct Steering {
  SteeringOptions options;
  TimePoint started{};
  RouteSet routes;
  Fleet fleet;
  std::unordered_map<FlowKey, SteeredFlow> flows;
  std::unordered_map<FlowKey, PendingOpening> openings;
  FlowSearches searches;
  LinkBudget link;
  Random random{1};  ///< Chooses whom a full link refuses.
  std::array<std::uint64_t, kSteeringReasonCount> counts{};
};

/// Handles a packet from a caller.
/// @param steering The balancer.
/// @param packet Its head.
/// @param bytes The whole packet.
/// @param now The present instant.
/// @param out Receives the actions; they refer to `bytes`.
auto OnCallerPacket(Steering& steering,
                    const FlowPacket& packet,
                    std::span<const std::uint8_t> bytes,
                    TimePoint now,
                    std::vector<SteeringAction>& out) -> void;

/// Handles a packet that an agent sent back.
/// @param steering The balancer.
/// @param agent The agent.
/// @param header Its relay header.
/// @param packet The head of the caller's packet.
/// @param bytes The whole packet.
/// @param now The present instant.
/// @param out Receives the actions; they refer to `bytes`.
auto OnSentBack(Steering& steering,
                Endpoint agent,
                RelayHeader header,
                const FlowPacket& packet,
                std::span<const std::uint8_t> bytes,
                TimePoint now,
                std::vector<SteeringAction>& out) -> void;

/// Handles an agent's note whether it has a flow.
/// @param steering The balancer.
/// @param note The note.
/// @param now The present instant.
/// @param out Receives the actions.
/// @return How long its opening took from the first packet, or zero.
auto OnFlowNote(Steering& steering,
                const FlowNote& note,
                TimePoint now,
                std::vector<SteeringAction>& out) -> Duration;

/// Forgets flows without packets.
/// @param steering The balancer.
/// @param now The present instant.
auto ForgetIdleFlows(Steering& steering, TimePoint now) -> void;

/// Offers unconfirmed openings to the next target and goes on with searches.
/// @param steering The balancer.
/// @param now The present instant.
/// @param out Receives the actions.
auto OnSteeringTick(Steering& steering,
                    TimePoint now,
                    std::vector<SteeringAction>& out) -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_STEERING_H_
