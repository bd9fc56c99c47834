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
/// What a balancer does with a packet.
///
/// A balancer never decides where a flow belongs. It sends a packet to the
/// cached owner or, knowing none, to the flow's home: the agent that ranks
/// first. The home's agent decides, so packets of one flow meet in one place
/// whichever balancers they come through.
namespace hawthornbank {

/// Time without word from any peer or the platform after which a balancer
/// opens no flows, as its view may be out of date.
inline constexpr Duration kIsolationTimeout = std::chrono::seconds{10};

/// Longest time between the death of a target and the news of it. Packets sent
/// to it meanwhile were lost, so a flow that opened then may never have begun.
inline constexpr Duration kDetectionTime = std::chrono::seconds{6};

/// One service as a balancer routes it.
struct RoutedService {
  ServiceId id{};
  Transport transport = Transport::kUdp;
  std::vector<Candidate> candidates;  ///< Serving, draining and suspect ones.
};

/// A service's public address, by which packets find it.
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

/// Immutable snapshot by which all workers of a balancer route.
struct RoutingTable {
  Generation generation{};
  std::unordered_map<ServiceAddress, RoutedService, ServiceAddressHash>
      services;
  /// Agents that route, with the start of their present incarnation.
  std::unordered_map<Endpoint, TimePoint> live_agents;
  /// Agents that no longer route, with the time of that news.
  std::unordered_map<Endpoint, TimePoint> departed_agents;
};

/// What a balancer knows beside the table.
struct BalancerContext {
  Endpoint self;           ///< Where agents send hints.
  TimePoint last_heard{};  ///< Last word from a peer or the platform.
  bool alone = false;      ///< Has no peers by its settings.
};

/// What to do with a packet.
enum class RouteVerdict : std::uint8_t {
  kForward,  ///< Send it with the header to an agent.
  kReset,    ///< Tell the caller that the flow is over.
  kTooBig,   ///< Tell the caller to send no fragments.
  kDrop,     ///< Nothing; it has been counted.
};

/// Outcome of routing one packet.
struct RouteDecision {
  RouteVerdict verdict = RouteVerdict::kDrop;
  Endpoint agent;
  TunnelHeader header;
};

/// Routes one packet. Never allocates for a packet whose flow is cached.
/// @param table Snapshot in force.
/// @param cache The balancer's flow cache.
/// @param state What the balancer knows beside the table.
/// @param packet The parsed packet.
/// @param now The present instant.
/// @param counters Where refusals and drops are counted.
/// @return What to do.
auto RoutePacket(const RoutingTable& table,
                 FlowCache& cache,
                 const BalancerContext& state,
                 const PacketView& packet,
                 TimePoint now,
                 Counters& counters) -> RouteDecision;

/// Remembers the owner that an agent names for a flow.
/// @param cache The balancer's flow cache.
/// @param key The flow.
/// @param owner The owner's agent.
/// @param now The present instant.
/// @param counters Where it is counted.
auto OnFlowHint(FlowCache& cache,
                const FlowKey& key,
                Endpoint owner,
                TimePoint now,
                Counters& counters) -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ROUTING_H_
