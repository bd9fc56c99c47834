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
/// The search of a balancer for the agent that has a flow.
///
/// Load pattern: when a balancer joins or leaves, routers hand nearly all flows
/// to other balancers at once, uploads with all their packets in flight. So a
/// flow is looked for once, by small queries to several agents side by side,
/// and its packets wait here; they cross the link once, when its agent is
/// known.
namespace hawthornbank {

/// Limits of searches.
struct FlowSearchOptions {
  /// Agents asked first: as many as a flow's opening is weighed for.
  std::size_t first_agents = 4;
  /// Agents asked next, each time that none has the flow: all of most services
  /// at once, as the caller of a lost flow waits for its reset.
  std::size_t next_agents = 64;
  /// Agents asked for one flow.
  std::size_t max_agents = 256;
  /// Silence of an agent after which its flows are given up, if most others
  /// answer: longer than callers wait for an answer.
  Duration lost_after = std::chrono::seconds{3};
  /// Packets that wait for one flow: a sender has 16 in flight, and as many
  /// again when it repeats them.
  std::size_t max_packets = 32;
  /// Packets that wait in all: 2.4 MB of full ones.
  std::size_t max_all_packets = 2048;
};

/// A search.
struct FlowSearch {
  std::uint32_t service = 0;          ///< Whose agents are asked.
  std::vector<std::uint32_t> asked;   ///< Addresses of agents.
  std::vector<Endpoint> unanswered;   ///< Of these, who hasn't answered.
  std::vector<Endpoint> unsure;       ///< Agents whose targets may have it.
  Endpoint offered_to;                ///< Such a target was sent a packet.
  std::vector<Endpoint> silent;       ///< Who didn't answer in time.
  std::vector<Endpoint> lost;         ///< Who hasn't been heard for long.
  std::uint32_t acknowledgement = 0;  ///< Of the first packet.
  bool acknowledges = false;          ///< It has such a number.
  bool resets = false;                ///< The caller gives the flow up.
  TimePoint asked_at{};               ///< When somebody was last asked.
  std::vector<std::vector<std::uint8_t>> packets;  ///< They wait.
};

/// All searches of a balancer.
struct FlowSearches {
  std::unordered_map<FlowKey, FlowSearch> flows;
  std::size_t packets = 0;  ///< That wait in all.
};

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_FLOW_SEARCH_H_
