#ifndef HAWTHORNBANK_ROUTING_H_
#define HAWTHORNBANK_ROUTING_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "hawthornbank/candidates.h"
#include "hawthornbank/counters.h"
#include "hawthornbank/flow_cache.h"
#include "hawthornbank/flow_key.h"
#include "hawthornbank/packet.h"
#include "hawthornbank/tunnel.h"
#include "hawthornbank/types.h"

/// @file
/// Routing of callers' packets by a balancer.
///
/// A balancer never decides which target serves a flow. It forwards a packet to
/// the cached owner or, if none is cached, to the flow's home: the agent that
/// ranks first. The home decides, so all packets of a flow reach the same agent
/// whichever balancers forward the packets.
namespace hawthornbank {

/// Time without contact with any peer or the platform after which a balancer
/// opens no flows, because its view of the targets may be out of date.
inline constexpr Duration kIsolationTimeout = std::chrono::seconds{10};

/// Longest time from a target's failure until balancers detect it. Packets sent
/// to the target during this time are lost, so a flow whose opening packet was
/// among them may never have been established.
inline constexpr Duration kMaxFailureDetectionTime = std::chrono::seconds{6};

/// A service and the targets that a balancer may route its flows to.
struct RoutedService {
  ServiceId id{};
  Transport transport = Transport::kUdp;
  std::vector<Candidate> candidates;  ///< Serving, draining, suspected targets.
};

/// Public address of a service, compared with a packet's destination.
struct ServiceAddress {
  Endpoint address;
  Transport transport = Transport::kUdp;

  auto operator==(const ServiceAddress&) const -> bool = default;
};

/// Hash of a service's address.
struct ServiceAddressHash {
  auto operator()(const ServiceAddress& address) const noexcept -> std::size_t {
    return std::hash<Endpoint>{}(address.address) * 31 +
           static_cast<std::size_t>(address.transport);
  }
};

/// Immutable snapshot that all workers of a balancer use to route packets.
struct RoutingTable {
  Generation generation{};
  std::unordered_map<ServiceAddress, RoutedService, ServiceAddressHash>
      services;
  /// Agents of the services' candidates, with the start time of each agent.
  std::unordered_map<Endpoint, TimePoint> live_agents;
  /// Agents whose targets left the table, with the time of their removal.
  std::unordered_map<Endpoint, TimePoint> departed_agents;
};

/// State of a balancer that routing needs besides the routing table.
struct BalancerContext {
  Endpoint self;              ///< Endpoint to which agents send hints.
  TimePoint last_contact{};   ///< Last contact with a peer or the platform.
  bool has_no_peers = false;  ///< No peers in the settings: never isolated.
};

/// What the balancer does with a packet.
enum class RouteVerdict : std::uint8_t {
  kForward,              ///< Send the packet with the header to an agent.
  kReset,                ///< Notify the caller that the flow has ended.
  kFragmentationNeeded,  ///< Send the caller an ICMP error.
  kDrop,                 ///< Drop the packet, which is already counted.
};

/// Outcome of routing one packet.
struct RouteDecision {
  RouteVerdict verdict = RouteVerdict::kDrop;
  Endpoint agent;
  TunnelHeader header;
};

/// Routes one packet. Allocates no memory for a packet whose flow is cached.
/// @param table Current routing table.
/// @param cache The balancer's flow cache.
/// @param state State of the balancer.
/// @param packet The parsed packet.
/// @param now Current time.
/// @param counters Counters of forwarded and dropped packets.
/// @return What to do with the packet.
auto RoutePacket(const RoutingTable& table,
                 FlowCache& cache,
                 const BalancerContext& state,
                 const PacketView& packet,
                 TimePoint now,
                 Counters& counters) -> RouteDecision;

/// Caches the owner that an agent's hint names for a flow.
/// @param cache The balancer's flow cache.
/// @param key The flow.
/// @param owner The owner's agent.
/// @param now Current time.
/// @param counters Counters of hints and cache evictions.
auto OnFlowHintReceived(FlowCache& cache,
                        const FlowKey& key,
                        Endpoint owner,
                        TimePoint now,
                        Counters& counters) -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ROUTING_H_
