#ifndef HAWTHORNBANK_SRC_COORDINATION_UNSURE_AGENTS_H_
#define HAWTHORNBANK_SRC_COORDINATION_UNSURE_AGENTS_H_

#include <cstdint>
#include <vector>

#include "hawthornbank/steering.h"

/// @file
/// Offers of packets to agents that don't know whether their targets hold the
/// packets' flow.
///
/// Load pattern: all agents restart, and some targets are gone. A live target
/// returns packets of flows that it doesn't hold; one that holds the flow
/// answers, at the latest when it has the whole request. That nothing comes
/// back within a round trip shows neither: a target that is gone returns
/// nothing either.
namespace hawthornbank::detail {

/// @param steering The balancer's state.
/// @param agent Address of an agent.
/// @param otherwise Service to return if the agent is unknown.
/// @return The agent's service.
auto FindServiceOfAgent(const Steering& steering,
                        Endpoint agent,
                        std::uint32_t otherwise) -> std::uint32_t;

/// Relays the first waiting packet to the next unsure agent, first of those
/// whose targets aren't silent. The agent returns the packet if its target
/// doesn't hold the flow.
/// @param steering The balancer's state.
/// @param flow The flow.
/// @param search The flow's search, which has an unsure agent.
/// @param now Current time.
/// @param out An action is appended to it.
auto OfferPacketToUnsureAgent(Steering& steering,
                              const FlowKey& flow,
                              FlowSearch& search,
                              TimePoint now,
                              std::vector<SteeringAction>& out) -> void;

/// Relays the packets after the first one to the agents that haven't returned
/// the first one. None of them counts as the flow's agent before its target
/// answers: the caller's next packet starts another search.
/// @param steering The balancer's state.
/// @param flow The flow.
/// @param search The flow's search.
/// @param out Actions are appended to it.
auto RelayToPossibleHolders(Steering& steering,
                            const FlowKey& flow,
                            const FlowSearch& search,
                            std::vector<SteeringAction>& out) -> void;

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_SRC_COORDINATION_UNSURE_AGENTS_H_
