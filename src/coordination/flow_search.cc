#include "hawthornbank/flow_search.h"

#include <algorithm>
#include <utility>

#include "coordination/flow_search_scope.h"
#include "coordination/steering_internal.h"
#include "coordination/unsure_agents.h"

namespace hawthornbank::detail {
namespace {

using Kind = SteeringAction::Kind;
using SearchEntry = std::unordered_map<FlowKey, FlowSearch>::iterator;

auto RemoveFlowSearch(Steering& steering, SearchEntry entry) -> void {
  steering.searches.packets -= entry->second.packets.size();
  OnQueriesEnded(steering.searches.window, entry->second.unanswered.size());
  steering.searches.flows.erase(entry);
}

// Ends a search in which no agent reported that its target holds the flow. The
// caller is sent a reset only if the balancer knows all agents or their targets
// have just started, all agents have been queried, each of them replied or is
// unreachable, and at most half of them are unreachable. Otherwise, or if the
// first waiting packet is itself a reset, the waiting packets are dropped. They
// are dropped too if the balancer remembers another flow of the port: they may
// be late packets of an earlier flow, and that one must not be reset.
auto EndUnsuccessfulSearch(Steering& steering,
                           SearchEntry entry,
                           TimePoint now,
                           std::vector<SteeringAction>& out) -> void {
  const FlowSearch& search = entry->second;
  const bool knows_holders =
      KnowsAllAgents(steering.fleet, steering.options.flow_lifetime, now) ||
      HaveSearchedTargetsJustStarted(steering, entry->first, search, now);
  // If most agents are unreachable, this balancer itself may be cut off.
  const bool most_are_reachable =
      search.unreachable.size() * 2 <= search.queried_addresses.size();
  const bool all_have_replied =
      !search.queried_addresses.empty() && search.unresponsive.empty() &&
      most_are_reachable &&
      search.queried_addresses.size() < GetAgentLimit(steering, search);
  const bool may_reset = !search.first_packet_is_reset &&
                         !IsSearchForOtherFlow(steering, entry->first);
  if (knows_holders && all_have_replied && may_reset) {
    AppendResetAction(steering, entry->first, SteeringReason::kFlowUnknown,
                      search.acknowledgement, out);
  } else {
    AppendDropAction(steering, entry->first, SteeringReason::kAgentNotFound,
                     out);
    out.back().receivers = search.unresponsive;
  }
  RemoveFlowSearch(steering, entry);
}

auto QueryAgents(Steering& steering,
                 SearchEntry entry,
                 std::span<const RankedAgent> agents,
                 TimePoint now,
                 std::vector<SteeringAction>& out) -> void {
  auto& [flow, search] = *entry;
  SteeringAction action{
      .kind = Kind::kQuery,
      .reason = SteeringReason::kSearchStarted,
      .flow = flow,
      .query = {.flow = flow,
                .origin = steering.fleet.self.control,
                .acknowledgement = search.acknowledgement,
                .has_acknowledgement = search.has_acknowledgement}};
  for (const auto& it : agents) {
    const Endpoint control = it.host->record.control;
    search.queried_addresses.push_back(control.address);
    search.unanswered.push_back(control);
    action.receivers.push_back(control);
    RecordRequestToHost(*it.host, now);
  }
  search.asked_at = now;
  search.round_queries = agents.size();
  OnQueriesSent(steering.searches.window, agents.size());
  AppendSteeringAction(steering, std::move(action), out);
}

// Makes a search wait until the window has room for its next round.
auto QueueSearch(Steering& steering, SearchEntry entry, TimePoint now) -> void {
  FlowSearch& search = entry->second;
  search.is_queued = true;
  search.queued_at = now;
  steering.searches.queue.push_back(entry->first);
  ++steering.counts[static_cast<std::size_t>(SteeringReason::kSearchQueued)];
}

// Returns whether an agent is unknown, or has been unreachable for longer than
// callers wait for an answer. Flows that the target of such an agent still
// holds count as lost to this balancer.
auto IsAgentUnreachable(const Steering& steering, Endpoint agent, TimePoint now)
    -> bool {
  const auto host = steering.fleet.hosts.find(agent);
  return host == steering.fleet.hosts.end() ||
         IsHostUnreachable(host->second,
                           steering.options.search.unreachable_after, now);
}

// Returns whether an agent has announced that its target has exited. Nobody
// would return a packet that is offered to it.
auto IsTargetKnownAsExited(const Steering& steering,
                           Endpoint agent,
                           TimePoint now) -> bool {
  const auto host = steering.fleet.hosts.find(agent);
  return host != steering.fleet.hosts.end() &&
         HasTargetExited(host->second, now);
}

// Queries the next agents. When all agents have been queried, offers the first
// waiting packet to the next unsure agent.
// When no unsure agent is left either, ends the search.
auto ContinueFlowSearch(Steering& steering,
                        SearchEntry entry,
                        TimePoint now,
                        std::vector<SteeringAction>& out) -> void {
  FlowSearch& search = entry->second;
  const FlowSearchOptions& options = steering.options.search;
  const auto ranked = RankAgentsToQuery(steering, entry->first, search, now);
  const std::size_t limit = GetAgentLimit(steering, search);
  const std::size_t left =
      limit - std::min(search.queried_addresses.size(), limit);
  const std::size_t count =
      std::min({ranked.size(), left,
                search.queried_addresses.empty() ? options.first_query_agents
                                                 : options.next_query_agents});
  if (count > 0 && !MaySendQueries(steering.searches.window, count)) {
    QueueSearch(steering, entry, now);
  } else if (count > 0) {
    QueryAgents(steering, entry, std::span(ranked).first(count), now, out);
  } else if (!search.unsure_agents.empty()) {
    OfferPacketToUnsureAgent(steering, entry->first, search, now, out);
  } else if (!search.unreturned.empty()) {
    RelayToPossibleHolders(steering, entry->first, search, out);
    RemoveFlowSearch(steering, entry);
  } else {
    EndUnsuccessfulSearch(steering, entry, now, out);
  }
}

// Continues the search of the first flow in the queue. Drops its packets if it
// was queued for too long. Returns false if the window has no room for it.
auto ContinueFirstQueuedSearch(Steering& steering,
                               TimePoint now,
                               std::vector<SteeringAction>& out) -> bool {
  FlowSearches& searches = steering.searches;
  const FlowKey flow = searches.queue.front();
  searches.queue.pop_front();
  const auto entry = searches.flows.find(flow);
  if (entry == searches.flows.end() || !entry->second.is_queued) {
    return true;
  }
  const TimePoint queued_at = entry->second.queued_at;
  if (now - queued_at >= steering.options.search.max_queue_time) {
    AppendDropAction(steering, flow, SteeringReason::kSearchLimit, out);
    RemoveFlowSearch(steering, entry);
    return true;
  }
  entry->second.is_queued = false;
  ContinueFlowSearch(steering, entry, now, out);
  const auto continued = searches.flows.find(flow);
  if (continued == searches.flows.end() || !continued->second.is_queued) {
    return true;
  }
  continued->second.queued_at = queued_at;
  searches.queue.pop_back();
  searches.queue.push_front(flow);
  return false;
}

// Continues queued searches, oldest first, while the window has room.
auto ContinueQueuedSearches(Steering& steering,
                            TimePoint now,
                            std::vector<SteeringAction>& out) -> void {
  FlowSearches& searches = steering.searches;
  while (!searches.queue.empty() &&
         MaySendQueries(searches.window,
                        steering.options.search.first_query_agents) &&
         ContinueFirstQueuedSearch(steering, now, out)) {
  }
}

// Relays the waiting packets from index `first` on to the agent and ends the
// search. The packets before `first` have already been sent to the agent.
auto RelayWaitingPacketsAndEndSearch(Steering& steering,
                                     SearchEntry entry,
                                     Endpoint agent,
                                     std::size_t first,
                                     TimePoint now,
                                     std::vector<SteeringAction>& out) -> void {
  const auto known = steering.flows.find(entry->first);
  if (known != steering.flows.end()) {
    if (IsSearchForOtherFlow(steering, entry->first)) {
      known->second.opening.reset();
    }
    known->second.caller_sequence = entry->second.sequence;
  }
  auto& [flow, search] = *entry;
  const SteeringReason reason =
      DescribeFoundService(steering, flow, search.service, now);
  for (std::size_t n = first; n < search.packets.size(); ++n) {
    AppendRelayAction(steering, flow, agent,
                      RelayHeader{.origin = steering.fleet.self.control,
                                  .service = search.service},
                      reason, std::move(search.packets[n]), out);
  }
  RemoveFlowSearch(steering, entry);
}

// Stores a packet that waits for the search. If too many packets are waiting,
// drops the packet and returns false.
auto StoreOrDropWaitingPacket(Steering& steering,
                              const FlowKey& flow,
                              FlowSearch& search,
                              std::span<const std::uint8_t> bytes,
                              std::vector<SteeringAction>& out) -> bool {
  const FlowSearchOptions& options = steering.options.search;
  if (search.packets.size() >= options.max_packets_per_flow ||
      steering.searches.packets >= options.max_waiting_packets) {
    AppendDropAction(steering, flow, SteeringReason::kSearchLimit, out);
    return false;
  }
  search.packets.emplace_back(bytes.begin(), bytes.end());
  ++steering.searches.packets;
  return true;
}

}  // namespace

auto StartFlowSearch(Steering& steering,
                     const FlowKey& flow,
                     const FlowPacket& packet,
                     std::span<const std::uint8_t> bytes,
                     std::uint32_t service,
                     std::span<const std::uint32_t> agents_without_flow,
                     TimePoint now,
                     std::vector<SteeringAction>& out) -> void {
  FlowSearch search{.service = service,
                    .queried_addresses = {agents_without_flow.begin(),
                                          agents_without_flow.end()},
                    .sequence = packet.sequence,
                    .acknowledgement = packet.acknowledgement,
                    .has_acknowledgement = packet.has_acknowledgement,
                    .first_packet_is_reset = packet.is_reset};
  if (!StoreOrDropWaitingPacket(steering, flow, search, bytes, out)) {
    return;
  }
  const auto entry =
      steering.searches.flows.emplace(flow, std::move(search)).first;
  ContinueFlowSearch(steering, entry, now, out);
}

auto EndSearchOfEarlierFlow(Steering& steering,
                            const FlowKey& flow,
                            std::vector<SteeringAction>& out) -> void {
  const auto entry = steering.searches.flows.find(flow);
  if (entry != steering.searches.flows.end()) {
    AppendDropAction(steering, flow, SteeringReason::kPortReused, out);
    RemoveFlowSearch(steering, entry);
  }
}

auto HoldPacketForSearch(Steering& steering,
                         const FlowKey& flow,
                         std::span<const std::uint8_t> bytes,
                         std::vector<SteeringAction>& out) -> bool {
  const auto entry = steering.searches.flows.find(flow);
  if (entry == steering.searches.flows.end()) {
    return false;
  }
  if (StoreOrDropWaitingPacket(steering, flow, entry->second, bytes, out)) {
    ++steering
          .counts[static_cast<std::size_t>(SteeringReason::kWaitsForSearch)];
  }
  return true;
}

auto OnFlowSearchReply(Steering& steering,
                       const FlowReply& reply,
                       TimePoint now,
                       std::vector<SteeringAction>& out) -> void {
  const auto entry = steering.searches.flows.find(reply.flow);
  if (entry == steering.searches.flows.end()) {
    return;
  }
  FlowSearch& search = entry->second;
  if (reply.ownership == FlowOwnership::kHeld) {
    const bool was_offered =
        search.offered_to == reply.agent ||
        std::find(search.unreturned.begin(), search.unreturned.end(),
                  reply.agent) != search.unreturned.end();
    search.service = FindServiceOfAgent(steering, reply.agent, search.service);
    RelayWaitingPacketsAndEndSearch(steering, entry, reply.agent,
                                    was_offered ? 1 : 0, now, out);
    ContinueQueuedSearches(steering, now, out);
    return;
  }
  if (std::erase(search.unanswered, reply.agent) == 0) {
    return;  // The reply came after the timeout or is a duplicate.
  }
  OnQueriesEnded(steering.searches.window, 1);
  if (reply.ownership == FlowOwnership::kUnsure &&
      !IsTargetKnownAsExited(steering, reply.agent, now)) {
    search.unsure_agents.push_back(reply.agent);
    search.has_unsure_reply = true;
  }
  if (search.unanswered.empty()) {
    OnRoundAnswered(steering.searches.window);
    ContinueFlowSearch(steering, entry, now, out);
  }
  ContinueQueuedSearches(steering, now, out);
}

auto OnOfferedPacketReturned(Steering& steering,
                             const FlowKey& flow,
                             Endpoint agent,
                             TimePoint now,
                             std::vector<SteeringAction>& out) -> bool {
  const auto entry = steering.searches.flows.find(flow);
  if (entry == steering.searches.flows.end()) {
    return false;
  }
  if (entry->second.offered_to != agent) {
    return std::erase(entry->second.unreturned, agent) > 0;
  }
  entry->second.offered_to = {};
  ContinueFlowSearch(steering, entry, now, out);
  return true;
}

auto OnFlowSearchTick(Steering& steering,
                      TimePoint now,
                      std::vector<SteeringAction>& out) -> void {
  std::vector<FlowKey> due;
  const TimePoint read_until = GetReadTime(steering, now);
  for (const auto& [flow, search] : steering.searches.flows) {
    if (!search.is_queued &&
        read_until - search.asked_at >= kHostReplyTimeout) {
      due.push_back(flow);
    }
  }
  for (const auto& it : due) {
    const auto entry = steering.searches.flows.find(it);
    FlowSearch& search = entry->second;
    if (search.offered_to != Endpoint{}) {
      search.unreturned.push_back(std::exchange(search.offered_to, {}));
      ContinueFlowSearch(steering, entry, now, out);
      continue;
    }
    for (const auto agent : search.unanswered) {
      // An agent whose target has exited must not delay the reset of a flow.
      if (!IsTargetKnownAsExited(steering, agent, now)) {
        (IsAgentUnreachable(steering, agent, now) ? search.unreachable
                                                  : search.unresponsive)
            .push_back(agent);
      }
    }
    OnQueriesEnded(steering.searches.window, search.unanswered.size());
    if (search.unanswered.size() * 2 > search.round_queries) {
      OnRoundUnanswered(steering.searches.window, now);
    }
    search.unanswered.clear();
    ContinueFlowSearch(steering, entry, now, out);
  }
  ContinueQueuedSearches(steering, now, out);
}

}  // namespace hawthornbank::detail
