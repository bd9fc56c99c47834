#include "hawthornbank/routing_table.h"

#include <algorithm>
#include <utility>

namespace hawthornbank {
namespace {

auto IsTargetPresent(TargetState state) -> bool {
  return state != TargetState::kDead && state != TargetState::kLeft;
}

// A suspected target has weight zero and ranks last, so it is a home only if
// all targets are suspected.
auto ComputeHomeWeight(std::uint16_t weight_percent, bool is_home)
    -> std::uint16_t {
  return is_home ? weight_percent : std::uint16_t{0};
}

auto BuildRoutedService(const Service& service,
                        const Membership& membership,
                        const IncarnationStartClock& start_time_of)
    -> RoutedService {
  const auto routable = ListRoutableTargets(membership, service.id);
  RoutedService routed{.id = service.id, .transport = service.transport};
  for (const auto& it : ListTargets(membership, service.id)) {
    if (!IsTargetPresent(it.state)) {
      continue;
    }
    const bool is_home = it.state != TargetState::kSuspect ||
                         std::any_of(routable.begin(), routable.end(),
                                     [&it](const TargetRecord& other) {
                                       return other.id == it.id;
                                     });
    routed.candidates.push_back(Candidate{
        .id = it.id,
        .agent = it.agent,
        .weight_percent = ComputeHomeWeight(it.load.weight_percent, is_home),
        .joined_at = start_time_of(it.incarnation)});
  }
  return routed;
}

// Lists all agents of the previous table, and the agents that departed within
// kDepartedAgentRetention. BuildRoutingTable erases the agents that the new
// table contains.
auto CollectPossiblyDepartedAgents(const RoutingTable& previous, TimePoint now)
    -> std::unordered_map<Endpoint, TimePoint> {
  auto departed = previous.departed_agents;
  std::erase_if(departed, [now](const auto& it) {
    return now - it.second > kDepartedAgentRetention;
  });
  for (const auto& [agent, joined] : previous.live_agents) {
    departed.emplace(agent, now);
  }
  return departed;
}

}  // namespace

auto BuildRoutingTable(const Configuration& configuration,
                       const Membership& membership,
                       const RoutingTable& previous,
                       const IncarnationStartClock& start_time_of,
                       TimePoint now) -> RoutingTable {
  RoutingTable table{
      .generation = configuration.generation,
      .departed_agents = CollectPossiblyDepartedAgents(previous, now)};
  for (const auto& service : configuration.services) {
    RoutedService routed =
        BuildRoutedService(service, membership, start_time_of);
    for (const auto& it : routed.candidates) {
      table.live_agents.emplace(it.agent, it.joined_at);
      table.departed_agents.erase(it.agent);
    }
    table.services.emplace(ServiceAddress{.address = service.address,
                                          .transport = service.transport},
                           std::move(routed));
  }
  return table;
}

auto ListPresentCandidates(const ServiceView& view,
                           const IncarnationStartClock& start_time_of)
    -> std::vector<Candidate> {
  std::vector<Candidate> candidates;
  for (const auto& it : view.targets) {
    if (!IsTargetPresent(it.state)) {
      continue;
    }
    candidates.push_back(
        Candidate{.id = it.id,
                  .agent = it.agent,
                  .weight_percent = ComputeHomeWeight(
                      it.weight_percent, it.state != TargetState::kSuspect),
                  .joined_at = start_time_of(it.incarnation)});
  }
  return candidates;
}

}  // namespace hawthornbank
