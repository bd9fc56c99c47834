#ifndef HAWTHORNBANK_SRC_COORDINATION_FLOW_SEARCH_SCOPE_H_
#define HAWTHORNBANK_SRC_COORDINATION_FLOW_SEARCH_SCOPE_H_

#include <cstddef>
#include <vector>

#include "hawthornbank/placement.h"
#include "hawthornbank/steering.h"

/// @file
/// Which agents a flow search queries, and in which order.
///
/// Load pattern: routes that change under open flows; balancers that start
/// after the change; all targets that start at once after a power loss, when
/// the callers of all flows wait for a reset.
namespace hawthornbank::detail {

/// Ranks the agents whose targets may hold a flow and that haven't been queried
/// yet: those of one service of the flow's route, and when none is left, of the
/// next service that the route leads to or formerly led to. When none of these
/// is left either and routes of the flow's lifetime may be unknown, the agents
/// of all other services, except those whose targets have all just started.
/// @param steering The balancer's state.
/// @param flow The flow.
/// @param search The flow's search; its service and scope are updated.
/// @param now Current time.
/// @return The agents; empty when none is left.
auto RankAgentsToQuery(Steering& steering,
                       const FlowKey& flow,
                       FlowSearch& search,
                       TimePoint now) -> std::vector<RankedAgent>;

/// Tells whether this balancer and all targets of a service that it knows have
/// just started. Agents that don't know their target's state are ignored if
/// they are fewer than the targets that have just started, because most agents
/// then know their targets.
/// @param steering The balancer's state.
/// @param service The service.
/// @param now Current time.
/// @return Whether no known target has been running for longer.
auto HaveKnownTargetsJustStarted(const Steering& steering,
                                 std::uint32_t service,
                                 TimePoint now) -> bool;

/// Tells whether this balancer and all targets that may hold a flow have just
/// started, as after a power loss; such targets hold no older flows.
/// @param steering The balancer's state.
/// @param flow The flow.
/// @param search The flow's search.
/// @param now Current time.
/// @return Whether the flow has ended.
auto HaveSearchedTargetsJustStarted(const Steering& steering,
                                    const FlowKey& flow,
                                    const FlowSearch& search,
                                    TimePoint now) -> bool;

/// @param steering The balancer's state.
/// @param search A flow search.
/// @return Maximum number of agents that the search queries.
auto GetAgentLimit(const Steering& steering, const FlowSearch& search)
    -> std::size_t;

/// @param steering The balancer's state.
/// @param flow A flow whose agent has been found.
/// @param service Service of the agent.
/// @param now Current time.
/// @return Why the search queried the agent, as the reason of relaying packets
/// to it.
auto DescribeFoundService(const Steering& steering,
                          const FlowKey& flow,
                          std::uint32_t service,
                          TimePoint now) -> SteeringReason;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_SRC_COORDINATION_FLOW_SEARCH_SCOPE_H_
