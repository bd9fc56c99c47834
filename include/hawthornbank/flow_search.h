#ifndef HAWTHORNBANK_FLOW_SEARCH_H_
#define HAWTHORNBANK_FLOW_SEARCH_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/flow_key.h"
#include "hawthornbank/types.h"

/// @file
/// A balancer's search for the agent that holds a flow.
///
/// Load pattern: when a balancer joins or leaves, routers move nearly all flows
/// to other balancers at once, including uploads with all their packets in
/// flight. The balancer therefore runs one search for each flow, with small
/// queries to several agents in parallel. The flow's packets wait at the
/// balancer and cross its link only once, when the agent is known.
namespace hawthornbank {

/// Limits of flow searches.
struct FlowSearchOptions {
  /// Number of agents queried first: as many as placement compares for an
  /// opening packet.
  std::size_t first_query_agents = 4;
  /// Number of agents queried in each further round when no agent holds the
  /// flow. Covers all agents of most services at once, because the caller of a
  /// lost flow waits for its reset.
  std::size_t next_query_agents = 64;
  /// Maximum number of agents queried for one flow.
  std::size_t max_agents = 256;
  /// Time without contact after which an agent counts as unreachable and its
  /// flows as lost, if most other agents answer. Longer than callers wait for
  /// an answer.
  Duration unreachable_after = std::chrono::seconds{3};
  /// Maximum number of waiting packets of one flow: a sender has 16 in flight,
  /// and 16 more when it retransmits them.
  std::size_t max_packets_per_flow = 32;
  /// Maximum number of waiting packets of all flows: 2.4 MB of full-size
  /// packets.
  std::size_t max_waiting_packets = 2048;
};

/// State of the search for one flow's agent.
struct FlowSearch {
  std::uint32_t service = 0;  ///< Service whose agents are queried.
  /// Addresses of agents that were queried or are known not to hold the flow.
  std::vector<std::uint32_t> queried_addresses;
  /// Agents in `queried_addresses` whose reply is outstanding.
  std::vector<Endpoint> unanswered;
  /// Agents that can't tell whether their target holds the flow.
  std::vector<Endpoint> unsure_agents;
  /// Unsure agent whose target was sent the first waiting packet.
  Endpoint offered_to;
  /// Agents that didn't answer in time but aren't unreachable.
  std::vector<Endpoint> unresponsive;
  /// Agents that didn't answer and have been unreachable for
  /// FlowSearchOptions::unreachable_after.
  std::vector<Endpoint> unreachable;
  /// Acknowledgement number of the first waiting packet.
  std::uint32_t acknowledgement = 0;
  bool has_acknowledgement = false;  ///< `acknowledgement` is valid.
  /// The first waiting packet resets the flow.
  bool first_packet_is_reset = false;
  TimePoint asked_at{};  ///< When the last query or offer was sent.
  std::vector<std::vector<std::uint8_t>> packets;  ///< Waiting packets.
};

/// All flow searches of a balancer.
struct FlowSearches {
  std::unordered_map<FlowKey, FlowSearch> flows;
  std::size_t packets = 0;  ///< Number of waiting packets of all flows.
};

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_FLOW_SEARCH_H_
