#ifndef HAWTHORNBANK_GOSSIP_PLAN_H_
#define HAWTHORNBANK_GOSSIP_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/random.h"
#include "hawthornbank/types.h"

/// @file
/// Decides which processes a process tells of itself, and how often.
///
/// Load pattern: fleets of 10 to 5,000 hosts, most of which don't change for
/// hours, while racks, zones or all hosts may restart in one second. What each
/// process sends and receives must not grow with the fleet. So a change of a
/// record is sent at once, to the balancers of the own zone and to a few relays
/// of each other zone, which forward it in their zone; a heartbeat, which only
/// shows that a process lives, goes to a few balancers at a time, in turn. In
/// fleets of up to kMaxFullMeshBalancers balancers both go to all balancers.
namespace hawthornbank {

/// Maximum number of balancers with which changes and heartbeats are sent to
/// all of them.
inline constexpr std::size_t kMaxFullMeshBalancers = 12;

/// Number of balancers of the own zone that are sent each heartbeat, and of
/// other zones, in a larger fleet.
inline constexpr std::size_t kHeartbeatFanout = 4;
inline constexpr std::size_t kOtherZoneHeartbeatFanout = 1;

/// Number of balancers of each other zone that are sent a change of a record.
inline constexpr std::size_t kRelaysPerZone = 2;

/// Maximum number of listed balancers to which a starting balancer announces
/// itself: all of a fleet in which changes are sent to all.
inline constexpr std::size_t kMaxBalancersToJoin = kMaxFullMeshBalancers;

/// Number of these that are asked for records. One of them may be down.
inline constexpr std::size_t kRostersAtJoin = 2;

/// Shortest interval between two heartbeats of a process.
inline constexpr Duration kMinHeartbeatInterval =
    std::chrono::milliseconds{800};

/// Longest interval between two heartbeats of a process.
inline constexpr Duration kMaxHeartbeatInterval =
    std::chrono::milliseconds{1600};

/// Number of balancers up to which heartbeats keep the shortest interval.
inline constexpr std::size_t kBalancersAtMinHeartbeatInterval = 60;

/// Size of a heartbeat in bytes, with its IPv4 and UDP headers.
inline constexpr std::uint32_t kHeartbeatBytes = 70;

/// Maximum rate at which a balancer tells its zone that its routes are current,
/// in bytes per second.
inline constexpr std::uint32_t kMaxRoutesNewsBytesPerSecond = 2000;

/// Time after its announced shutdown in which a balancer still forwards packets
/// and is told of other hosts.
inline constexpr Duration kBalancerShutdownTime = std::chrono::seconds{6};

/// Number of balancers that a process knows, itself included.
struct FleetSize {
  std::size_t balancers = 0;
  std::size_t zone_balancers = 0;  ///< Those of the process's own zone.
};

/// @param fleet Hosts known to this process.
/// @return Number of balancers, in all and in this process's zone.
auto CountBalancers(const Fleet& fleet) -> FleetSize;

/// Tells whether a host is known and may still send messages. One that has
/// announced its shutdown may start again at the same address, without knowing
/// this process.
/// @param fleet Hosts known to this process.
/// @param control Address of the host.
/// @param now Current time.
/// @return Whether the host is known and hasn't shut down.
auto KnowsHost(const Fleet& fleet, Endpoint control, TimePoint now) -> bool;

/// @param fleet Hosts known to this process.
/// @param now Current time.
/// @return Whether another balancer is known that hasn't shut down.
auto KnowsAnyBalancer(const Fleet& fleet, TimePoint now) -> bool;

/// @param size Size of the fleet.
/// @return Whether changes and heartbeats are sent to all balancers.
constexpr auto IsFullMesh(const FleetSize& size) -> bool {
  return size.balancers <= kMaxFullMeshBalancers;
}

/// Computes the interval between two heartbeats of a process.
/// @param size Size of the fleet.
/// @return The interval.
auto ComputeHeartbeatInterval(const FleetSize& size) -> Duration;

/// Computes the time without contact after which a host is suspected: two
/// heartbeats to this process are missing.
/// @param size Size of the fleet.
/// @param is_same_zone Whether the host is in this process's zone.
/// @return The time.
auto ComputeUnresponsiveTime(const FleetSize& size, bool is_same_zone)
    -> Duration;

/// Computes the time without contact after which a record is erased.
/// @param size Size of the fleet.
/// @param role Role of this process. Agents, to which no heartbeats are sent,
///   keep the records of balancers longer.
/// @return The time.
auto ComputeExpiryTime(const FleetSize& size, HostRole role) -> Duration;

/// Computes the time after its start within which a balancer learns of every
/// agent, though all balancers may have restarted at once: each agent's next
/// heartbeats reach some balancers, which then compare their records.
/// @param size Size of the fleet.
/// @return The time; at most 5.2 s.
auto ComputeSettlingTime(const FleetSize& size) -> Duration;

/// Computes the shortest interval at which a balancer tells its zone that its
/// routes are current.
/// @param size Size of the fleet.
/// @return The interval.
auto ComputeRoutesNewsInterval(const FleetSize& size) -> Duration;

/// Lists the balancers that are sent this process's next heartbeat.
/// @param fleet Hosts known to this process.
/// @param round Number of heartbeats sent before.
/// @param now Current time.
/// @return Addresses of the balancers.
auto ListHeartbeatReceivers(const Fleet& fleet,
                            std::uint64_t round,
                            TimePoint now) -> std::vector<Endpoint>;

/// Lists the balancers that are told of a change of this process's record.
/// @param fleet Hosts known to this process.
/// @param now Current time.
/// @return Addresses of the balancers.
auto ListChangeReceivers(const Fleet& fleet, TimePoint now)
    -> std::vector<Endpoint>;

/// Lists the balancers to which a starting balancer announces itself because
/// the registry lists them and this balancer doesn't know them.
/// @param fleet Hosts known to this balancer.
/// @param listed Balancers of the registry.
/// @param random Random number generator that chooses among many, so that
///   balancers that start together ask different ones.
/// @return At most kMaxBalancersToJoin balancers.
auto ListBalancersToJoin(const Fleet& fleet,
                         std::span<const Endpoint> listed,
                         Random& random) -> std::vector<Endpoint>;

/// Chooses the balancer with which a starting balancer compares its records
/// next: one of the own zone and one of each other zone, in turn.
/// @param fleet Hosts known to this balancer.
/// @param round Number of comparisons before.
/// @param random Random number generator that chooses a balancer of the zone.
/// @param now Current time.
/// @return The balancer's address, or nothing if none is known.
auto ChooseComparisonPeer(const Fleet& fleet,
                          std::uint64_t round,
                          Random& random,
                          TimePoint now) -> std::optional<Endpoint>;

/// Lists the balancers to which this balancer forwards the changed record of a
/// host of another zone; none if the host tells all balancers itself.
/// @param fleet Hosts known to this balancer.
/// @param now Current time.
/// @return Addresses of the balancers.
auto ListRelayReceivers(const Fleet& fleet, TimePoint now)
    -> std::vector<Endpoint>;

/// Lists the balancers that are told that this balancer's routes are current or
/// new: all balancers of the own zone, and the first live balancer of each
/// other zone when the routes were read from the store.
/// @param fleet Hosts known to this balancer.
/// @param from_store Whether this balancer read the routes from the store.
/// @param now Current time.
/// @return Addresses of the balancers.
auto ListRoutesNewsReceivers(const Fleet& fleet, bool from_store, TimePoint now)
    -> std::vector<Endpoint>;

/// Place of a balancer in the order in which balancers read the store.
struct ReaderRank {
  /// Number of live balancers of the own zone that precede this one.
  std::size_t in_zone = 0;
  /// Number of zones whose first live balancer precedes the own zone's.
  std::size_t zones = 0;
};

/// Ranks this balancer among the balancers that read the store.
/// @param fleet Hosts known to this balancer.
/// @param now Current time.
/// @return The rank.
auto ComputeReaderRank(const Fleet& fleet, TimePoint now) -> ReaderRank;

/// Tells whether this balancer must introduce itself to a host: an agent of its
/// own zone, or any agent of a small fleet, that hasn't announced itself to
/// this balancer or has been silent for too long, presumably because the agent
/// doesn't know the balancer.
/// @param fleet Hosts known to this balancer.
/// @param size Size of the fleet.
/// @param host One of the hosts.
/// @param now Current time.
/// @return Whether this balancer must introduce itself to the host.
auto MustIntroduceBalancer(const Fleet& fleet,
                           const FleetSize& size,
                           const KnownHost& host,
                           TimePoint now) -> bool;

/// Number of agents that store the newest routes, for balancers that start when
/// no other process has the newest routes; in a large fleet, of each zone.
inline constexpr std::size_t kRouteHolderCount = 4;

/// Lists the agents to notify of the routes in force: those with an older
/// version among the first kRouteHolderCount agents, by address, that are live
/// and aren't shutting down.
/// @param fleet Hosts known to this balancer.
/// @param version Version of the routes in force.
/// @param now Current time.
/// @return Addresses of the agents to notify.
auto ListAgentsToNotifyOfRoutes(const Fleet& fleet,
                                std::uint64_t version,
                                TimePoint now) -> std::vector<Endpoint>;

/// Maximum number of agents that a balancer tells of the zones out of service
/// at a time.
inline constexpr std::size_t kMaxZoneNoticesPerRound = 64;

/// Lists the agents that this balancer tells of the zones out of service: live
/// agents that reported other zones, if this balancer is the first live one of
/// the agent's zone or, when that zone has none, of all. An agent's report
/// after the notice takes it off the list.
/// @param fleet Hosts known to this balancer.
/// @param zones_digest Digest of the zones out of service.
/// @param round Grows with each call, so that no agent is left out for good.
/// @param now Current time.
/// @return Addresses of at most kMaxZoneNoticesPerRound agents.
auto ListAgentsToNotifyOfZones(const Fleet& fleet,
                               std::uint64_t zones_digest,
                               std::uint64_t round,
                               TimePoint now) -> std::vector<Endpoint>;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_GOSSIP_PLAN_H_
