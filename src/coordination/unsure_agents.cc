#include "coordination/unsure_agents.h"

#include <algorithm>

#include "coordination/steering_internal.h"

namespace hawthornbank::detail {
namespace {

// Whether an agent has announced that its target is silent. It may return
// nothing, whatever it is sent.
auto IsTargetSilent(const Steering& steering, Endpoint agent) -> bool {
  const auto host = steering.fleet.hosts.find(agent);
  return host != steering.fleet.hosts.end() &&
         host->second.record.target.state == TargetState::kUnknown;
}

}  // namespace

auto FindServiceOfAgent(const Steering& steering,
                        Endpoint agent,
                        std::uint32_t otherwise) -> std::uint32_t {
  const auto host = steering.fleet.hosts.find(agent);
  return host == steering.fleet.hosts.end() ? otherwise
                                            : host->second.record.service;
}

auto OfferPacketToUnsureAgent(Steering& steering,
                              const FlowKey& flow,
                              FlowSearch& search,
                              TimePoint now,
                              std::vector<SteeringAction>& out) -> void {
  const auto next =
      std::find_if(search.unsure_agents.begin(), search.unsure_agents.end(),
                   [&](Endpoint it) { return !IsTargetSilent(steering, it); });
  const auto chosen =
      next != search.unsure_agents.end() ? next : search.unsure_agents.begin();
  search.offered_to = *chosen;
  search.unsure_agents.erase(chosen);
  search.asked_at = now;
  AppendRelayAction(
      steering, flow, search.offered_to,
      RelayHeader{.origin = steering.fleet.self.control,
                  .service = FindServiceOfAgent(steering, search.offered_to,
                                                search.service),
                  .wants_flow_reply = true},
      SteeringReason::kOfferedToUnsureAgent, search.packets.front(), out);
}

auto RelayToPossibleHolders(Steering& steering,
                            const FlowKey& flow,
                            const FlowSearch& search,
                            std::vector<SteeringAction>& out) -> void {
  const std::size_t count =
      std::min(search.unreturned.size(), kMaxPossibleHolders);
  for (const auto agent : std::span(search.unreturned).first(count)) {
    for (std::size_t n = 1; n < search.packets.size(); ++n) {
      AppendRelayAction(
          steering, flow, agent,
          RelayHeader{
              .origin = steering.fleet.self.control,
              .service = FindServiceOfAgent(steering, agent, search.service),
              .wants_flow_reply = true},
          SteeringReason::kOfferedToUnsureAgent, search.packets[n], out);
    }
  }
}

}  // namespace hawthornbank::detail
