#include "hawthornbank/flow_search.h"

#include <algorithm>
#include <utility>

#include "coordination/steering_internal.h"

namespace hawthornbank::detail {
namespace {

using Kind = SteeringAction::Kind;
using SearchEntry = std::unordered_map<FlowKey, FlowSearch>::iterator;

// Time after a start until every agent has announced itself here.
auto SettlingTime(const Steering& steering) -> Duration {
  const auto balancers =
      std::count_if(steering.fleet.hosts.begin(), steering.fleet.hosts.end(),
                    [](const auto& it) {
                      return it.second.record.role == HostRole::kBalancer;
                    });
  return std::max(steering.options.settling_time,
                  kSettlingAnnounces *
                      AnnounceInterval(static_cast<std::size_t>(balancers)));
}

// Whether a service's targets have all just started, as after a loss of power.
// None of them then holds a flow from before, and agents that haven't heard of
// a target needn't be asked, as most of the others have.
auto HasJustStarted(const Steering& steering,
                    std::uint32_t service,
                    TimePoint now) -> bool {
  const Duration up = now - steering.started;
  if (up < steering.options.restart_settling_time ||
      up >= SettlingTime(steering)) {
    return false;
  }
  std::size_t cold = 0;
  std::size_t unknown = 0;
  for (const auto& [control, host] : steering.fleet.hosts) {
    if (host.record.role != HostRole::kAgent ||
        host.record.service != service) {
      continue;
    }
    if (host.record.target.state == TargetState::kUnknown) {
      ++unknown;
    } else if (WasSeenCold(host)) {
      ++cold;
    } else if (host.record.target.state != TargetState::kGone) {
      return false;
    }
  }
  return cold > unknown;
}

// Agents that have heard of their target are asked first, those that don't
// answer last.
enum class Urgency : std::uint8_t { kKnowsTarget, kKnowsNone, kSilent };

auto UrgencyOf(const KnownHost& host, TimePoint now) -> Urgency {
  if (!IsAnswering(host, now)) {
    return Urgency::kSilent;
  }
  return host.record.target.state == TargetState::kUnknown
             ? Urgency::kKnowsNone
             : Urgency::kKnowsTarget;
}

// Ranks the agents that may have a flow and haven't been asked. When a route's
// weights change, the flow may be at another one of its services.
auto RankSearch(Steering& steering,
                const FlowKey& flow,
                FlowSearch& search,
                TimePoint now) -> std::vector<RankedHost> {
  const auto rank = [&](std::uint32_t service) {
    auto ranked =
        RankHosts(steering.fleet, service, HashFlow(flow), search.asked);
    std::erase_if(ranked, [now](const RankedHost& it) {
      return HasTargetEnded(*it.host, now);
    });
    return ranked;
  };
  auto ranked = rank(search.service);
  const Route* const route = FindRoute(steering.routes, flow.address);
  if (ranked.empty() && route != nullptr) {
    for (const auto& it : route->shares) {
      ranked = rank(it.service);
      if (!ranked.empty()) {
        search.service = it.service;
        break;
      }
    }
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [now](const RankedHost& a, const RankedHost& b) {
                     return UrgencyOf(*a.host, now) < UrgencyOf(*b.host, now);
                   });
  if (HasJustStarted(steering, search.service, now)) {
    std::erase_if(ranked, [](const RankedHost& it) {
      return it.host->record.target.state == TargetState::kUnknown;
    });
  }
  return ranked;
}

auto RemoveSearch(Steering& steering, SearchEntry entry) -> void {
  steering.searches.packets -= entry->second.packets.size();
  steering.searches.flows.erase(entry);
}

// Nobody has said that the flow is there.
auto EndSearch(Steering& steering,
               SearchEntry entry,
               TimePoint now,
               std::vector<SteeringAction>& out) -> void {
  const FlowSearch& search = entry->second;
  const bool settled = now - steering.started >= SettlingTime(steering) ||
                       HasJustStarted(steering, search.service, now);
  // When most are lost the fault may be here.
  const bool heard_most = search.lost.size() * 2 <= search.asked.size();
  const bool asked_all =
      !search.asked.empty() && search.silent.empty() && heard_most &&
      search.asked.size() < steering.options.search.max_agents;
  if (settled && asked_all && !search.resets) {
    AddReset(steering, entry->first, SteeringReason::kFlowUnknown,
             search.acknowledgement, out);
  } else {
    AddDrop(steering, entry->first, SteeringReason::kHolderNotFound, out);
    out.back().receivers = search.silent;
  }
  RemoveSearch(steering, entry);
}

auto AskAgents(Steering& steering,
               SearchEntry entry,
               std::span<const RankedHost> agents,
               TimePoint now,
               std::vector<SteeringAction>& out) -> void {
  auto& [flow, search] = *entry;
  SteeringAction action{.kind = Kind::kQuery,
                        .reason = SteeringReason::kLookedFor,
                        .flow = flow,
                        .query = {.flow = flow,
                                  .origin = steering.fleet.self.control,
                                  .acknowledgement = search.acknowledgement,
                                  .acknowledges = search.acknowledges}};
  for (const auto& it : agents) {
    const Endpoint control = it.host->record.control;
    search.asked.push_back(control.address);
    search.unanswered.push_back(control);
    action.receivers.push_back(control);
    NoteAsked(*it.host, now);
  }
  search.asked_at = now;
  AddAction(steering, std::move(action), out);
}

// Sends a waiting packet to a target that may have the flow. It returns what
// it doesn't hold.
auto OfferToUnsure(Steering& steering,
                   SearchEntry entry,
                   TimePoint now,
                   std::vector<SteeringAction>& out) -> void {
  auto& [flow, search] = *entry;
  search.offered_to = search.unsure.front();
  search.unsure.erase(search.unsure.begin());
  search.asked_at = now;
  RelayTo(steering, flow, search.offered_to,
          RelayHeader{.origin = steering.fleet.self.control,
                      .service = search.service,
                      .wants_note = true},
          SteeringReason::kUnsureAgent, search.packets.front(), out);
}

// Whether an agent has been silent for longer than any caller waits for an
// answer. What its target still holds can't be reached from here.
auto IsLost(const Steering& steering, Endpoint agent, TimePoint now) -> bool {
  const auto host = steering.fleet.hosts.find(agent);
  return host == steering.fleet.hosts.end() ||
         now - host->second.heard >=
             std::max(steering.options.search.lost_after,
                      host->second.silent_after);
}

// Asks the next agents, or ends the search when none is left.
auto AskNext(Steering& steering,
             SearchEntry entry,
             TimePoint now,
             std::vector<SteeringAction>& out) -> void {
  FlowSearch& search = entry->second;
  const FlowSearchOptions& options = steering.options.search;
  const auto ranked = RankSearch(steering, entry->first, search, now);
  const std::size_t left =
      options.max_agents - std::min(search.asked.size(), options.max_agents);
  const std::size_t count = std::min(
      {ranked.size(), left,
       search.asked.empty() ? options.first_agents : options.next_agents});
  if (count > 0) {
    AskAgents(steering, entry, std::span(ranked).first(count), now, out);
  } else if (!search.unsure.empty()) {
    OfferToUnsure(steering, entry, now, out);
  } else {
    EndSearch(steering, entry, now, out);
  }
}

// Sends everything that waits to the agent; from `first` on, as those before
// it have been sent.
auto SendWaiting(Steering& steering,
                 SearchEntry entry,
                 Endpoint agent,
                 std::size_t first,
                 bool confirmed,
                 std::vector<SteeringAction>& out) -> void {
  auto& [flow, search] = *entry;
  for (std::size_t n = first; n < search.packets.size(); ++n) {
    RelayTo(steering, flow, agent,
            RelayHeader{.origin = steering.fleet.self.control,
                        .service = search.service,
                        .wants_note = !confirmed},
            SteeringReason::kFound, std::move(search.packets[n]), out);
  }
  RemoveSearch(steering, entry);
}

auto HoldPacket(Steering& steering,
                const FlowKey& flow,
                FlowSearch& search,
                std::span<const std::uint8_t> bytes,
                std::vector<SteeringAction>& out) -> bool {
  const FlowSearchOptions& options = steering.options.search;
  if (search.packets.size() >= options.max_packets ||
      steering.searches.packets >= options.max_all_packets) {
    AddDrop(steering, flow, SteeringReason::kSearchLimit, out);
    return false;
  }
  search.packets.emplace_back(bytes.begin(), bytes.end());
  ++steering.searches.packets;
  return true;
}

}  // namespace

auto StartSearch(Steering& steering,
                 const FlowKey& flow,
                 const FlowPacket& packet,
                 std::span<const std::uint8_t> bytes,
                 std::uint32_t service,
                 std::span<const std::uint32_t> asked,
                 TimePoint now,
                 std::vector<SteeringAction>& out) -> void {
  FlowSearch search{.service = service,
                    .asked = {asked.begin(), asked.end()},
                    .acknowledgement = packet.acknowledgement,
                    .acknowledges = packet.acknowledges,
                    .resets = packet.resets};
  if (!HoldPacket(steering, flow, search, bytes, out)) {
    return;
  }
  const auto entry =
      steering.searches.flows.emplace(flow, std::move(search)).first;
  AskNext(steering, entry, now, out);
}

auto HoldForSearch(Steering& steering,
                   const FlowKey& flow,
                   std::span<const std::uint8_t> bytes,
                   std::vector<SteeringAction>& out) -> bool {
  const auto entry = steering.searches.flows.find(flow);
  if (entry == steering.searches.flows.end()) {
    return false;
  }
  if (HoldPacket(steering, flow, entry->second, bytes, out)) {
    ++steering.counts[static_cast<std::size_t>(SteeringReason::kHeld)];
  }
  return true;
}

auto OnSearchNote(Steering& steering,
                  const FlowNote& note,
                  TimePoint now,
                  std::vector<SteeringAction>& out) -> void {
  const auto entry = steering.searches.flows.find(note.flow);
  if (entry == steering.searches.flows.end()) {
    return;
  }
  FlowSearch& search = entry->second;
  if (note.holding == FlowHolding::kHeld) {
    const std::size_t sent = search.offered_to == note.agent ? 1 : 0;
    const auto host = steering.fleet.hosts.find(note.agent);
    if (host != steering.fleet.hosts.end()) {
      search.service = host->second.record.service;
    }
    SendWaiting(steering, entry, note.agent, sent, true, out);
    return;
  }
  if (std::erase(search.unanswered, note.agent) == 0) {
    return;  // Too late, or said twice.
  }
  if (note.holding == FlowHolding::kUnsure) {
    search.unsure.push_back(note.agent);
  }
  if (search.unanswered.empty()) {
    AskNext(steering, entry, now, out);
  }
}

auto OnOfferReturned(Steering& steering,
                     const FlowKey& flow,
                     Endpoint agent,
                     TimePoint now,
                     std::vector<SteeringAction>& out) -> bool {
  const auto entry = steering.searches.flows.find(flow);
  if (entry == steering.searches.flows.end() ||
      entry->second.offered_to != agent) {
    return false;
  }
  entry->second.offered_to = {};
  AskNext(steering, entry, now, out);
  return true;
}

auto OnSearchTick(Steering& steering,
                  TimePoint now,
                  std::vector<SteeringAction>& out) -> void {
  std::vector<FlowKey> due;
  for (const auto& [flow, search] : steering.searches.flows) {
    if (now - search.asked_at >= kAnswerTime) {
      due.push_back(flow);
    }
  }
  for (const auto& it : due) {
    const auto entry = steering.searches.flows.find(it);
    FlowSearch& search = entry->second;
    if (search.offered_to != Endpoint{}) {
      // The target didn't return the packet, so that it may have taken it.
      const Endpoint agent = search.offered_to;
      Remember(steering, it, agent, false, now);
      SendWaiting(steering, entry, agent, 1, false, out);
      continue;
    }
    for (const auto agent : search.unanswered) {
      (IsLost(steering, agent, now) ? search.lost : search.silent)
          .push_back(agent);
    }
    search.unanswered.clear();
    AskNext(steering, entry, now, out);
  }
}

}  // namespace hawthornbank::detail
