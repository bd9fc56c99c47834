#include "hawthornbank/routing_table.h"

#include <algorithm>
#include <utility>

namespace hawthornbank {
namespace {

auto IsPresent(TargetState state) -> bool {
  return state != TargetState::kDead && state != TargetState::kLeft;
}

// A suspect of weight zero ranks last, so it is a home only if all are.
auto HomeWeight(std::uint16_t weight_percent, bool is_home) -> std::uint16_t {
  return is_home ? weight_percent : std::uint16_t{0};
}

auto RouteService(const Service& service,
                  const Membership& membership,
                  const StartClock& start_of) -> RoutedService {
  const auto routable = RoutableTargets(membership, service.id);
  RoutedService routed{.id = service.id, .transport = service.transport};
  for (const auto& it : TargetsOf(membership, service.id)) {
    if (!IsPresent(it.state)) {
      continue;
    }
    const bool is_home = it.state != TargetState::kSuspect ||
                         std::any_of(routable.begin(), routable.end(),
                                     [&it](const TargetRecord& other) {
                                       return other.id == it.id;
                                     });
    routed.candidates.push_back(
        Candidate{.id = it.id,
                  .agent = it.agent,
                  .weight_percent = HomeWeight(it.load.weight_percent, is_home),
                  .joined = start_of(it.incarnation)});
  }
  return routed;
}

// Agents of the previous table; those of the next are taken out of it later.
auto NoteDepartures(const RoutingTable& previous, TimePoint now)
    -> std::unordered_map<Endpoint, TimePoint> {
  auto departed = previous.departed_agents;
  std::erase_if(departed, [now](const auto& it) {
    return now - it.second > kDepartureMemory;
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
                       const StartClock& start_of,
                       TimePoint now) -> RoutingTable {
  RoutingTable table{.generation = configuration.generation,
                     .departed_agents = NoteDepartures(previous, now)};
  for (const auto& service : configuration.services) {
    RoutedService routed = RouteService(service, membership, start_of);
    for (const auto& it : routed.candidates) {
      table.live_agents.emplace(it.agent, it.joined);
      table.departed_agents.erase(it.agent);
    }
    table.services.emplace(ServiceAddress{.address = service.address,
                                          .transport = service.transport},
                           std::move(routed));
  }
  return table;
}

auto CandidatesOf(const ServiceView& view, const StartClock& start_of)
    -> std::vector<Candidate> {
  std::vector<Candidate> candidates;
  for (const auto& it : view.targets) {
    if (!IsPresent(it.state)) {
      continue;
    }
    candidates.push_back(Candidate{
        .id = it.id,
        .agent = it.agent,
        .weight_percent =
            HomeWeight(it.weight_percent, it.state != TargetState::kSuspect),
        .joined = start_of(it.incarnation)});
  }
  return candidates;
}

}  // namespace hawthornbank
