#ifndef HAWTHORNBANK_FLOW_SEARCH_H_
#define HAWTHORNBANK_FLOW_SEARCH_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/flow_key.h"
#include "hawthornbank/search_window.h"
#include "hawthornbank/types.h"

/// @file
/// A balancer's search for the agent whose target holds a flow.
///
/// Load pattern: when a balancer joins or leaves, routers move nearly all flows
/// to other balancers at once, including uploads with all their packets in
/// flight. The balancer therefore runs one search for each flow, with small
/// queries to several agents in parallel. The flow's packets wait at the
/// balancer until the agent is known, so that nearly all of these packets cross
/// the balancer's link only once.
namespace hawthornbank {

/// Limits of flow searches.
struct FlowSearchOptions {
  /// Number of agents queried in the first round: as many as placement compares
  /// for an opening packet.
  std::size_t first_query_agents = 4;
  /// Number of agents queried in each later round, when no agent queried before
  /// holds the flow. One round covers all agents of most services, because the
  /// caller of a lost flow waits for a reset.
  std::size_t next_query_agents = 64;
  /// Maximum number of agents queried for one flow, and again of agents of
  /// services that the flow's route isn't known to lead to.
  std::size_t max_agents = 256;
  /// Minimum time without contact after which an agent counts as unreachable
  /// and its flows as lost, unless more than half of the queried agents are
  /// unreachable. Longer than callers wait for an answer.
  Duration unreachable_after = std::chrono::seconds{3};
  /// Maximum time for which a search waits to send a round of queries. The
  /// caller has retransmitted the packet twice by then, or has given up.
  Duration max_queue_time = std::chrono::seconds{1};
  /// Maximum number of waiting packets of one flow: a sender has 16 packets in
  /// flight, and 16 more when the sender retransmits them.
  std::size_t max_packets_per_flow = 32;
  /// Maximum number of waiting packets of all flows:
  /// 2.4 MB of full-size packets.
  std::size_t max_waiting_packets = 2048;
};

/// Maximum number of agents that are sent the further waiting packets of a flow
/// when none of them has returned the first one.
inline constexpr std::size_t kMaxPossibleHolders = 4;

/// State of the search for one flow's agent.
struct FlowSearch {
  std::uint32_t service = 0;  ///< Service whose agents are queried.
  /// Agents of services that the flow's route isn't known to lead to are
  /// queried too.
  bool is_widened = false;
  /// Addresses of agents that were queried or are known not to hold the flow.
  std::vector<std::uint32_t> queried_addresses;
  /// Queried agents whose reply is outstanding and not overdue.
  std::vector<Endpoint> unanswered;
  /// Agents that replied that they don't know whether their target holds the
  /// flow, and that haven't been offered the first waiting packet yet.
  std::vector<Endpoint> unsure_agents;
  /// An agent replied that it is unsure: its target started before it did, so
  /// they haven't started together after a power loss.
  bool has_unsure_reply = false;
  /// Unsure agent that was offered the first waiting packet and hasn't returned
  /// the packet; empty if there is no such agent.
  Endpoint offered_to;
  /// Unsure agents that were offered that packet and haven't returned it within
  /// kHostReplyTimeout. Their targets may hold the flow, or return nothing
  /// because they are gone.
  std::vector<Endpoint> unreturned;
  /// Agents that didn't reply within kHostReplyTimeout but count as reachable.
  std::vector<Endpoint> unresponsive;
  /// Agents that didn't reply and count as unreachable
  /// (FlowSearchOptions::unreachable_after).
  std::vector<Endpoint> unreachable;
  std::uint32_t sequence = 0;  ///< Sequence number of the first waiting packet.
  /// Acknowledgement number of the first waiting packet.
  std::uint32_t acknowledgement = 0;
  bool has_acknowledgement = false;  ///< `acknowledgement` is valid.
  /// The first waiting packet is a reset from the caller.
  bool first_packet_is_reset = false;
  TimePoint asked_at{};           ///< When the last query or offer was sent.
  std::size_t round_queries = 0;  ///< Number of queries of the last round.
  bool is_queued = false;  ///< Waits in FlowSearches::queue for the window.
  TimePoint queued_at{};
  std::vector<std::vector<std::uint8_t>> packets;  ///< Oldest first.
};

/// All flow searches of a balancer.
struct FlowSearches {
  std::unordered_map<FlowKey, FlowSearch> flows;
  std::size_t packets = 0;  ///< Number of waiting packets of all flows.
  SearchWindow window;
  /// Flows whose search waits to send its next round, oldest first. A flow
  /// whose search has ended may still be listed.
  std::deque<FlowKey> queue;
};

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_FLOW_SEARCH_H_
