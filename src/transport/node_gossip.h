#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_GOSSIP_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_GOSSIP_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "hawthornbank/fleet.h"
#include "hawthornbank/gossip_plan.h"
#include "protocol/node_message.h"

/// @file
/// Sends and receives what processes tell one another about themselves:
/// announcements, heartbeats and records of other hosts.
namespace hawthornbank::transport {

class NodeHost;

/// Interval of a node's announcements while the node knows no balancer, such as
/// after the node's start.
inline constexpr Duration kSearchAnnouncementInterval =
    std::chrono::milliseconds{50};

/// Time after a node's start at which the node reads the list of balancers from
/// the platform's store. Leaves time for seeds that start at the same time as
/// the node. A node whose seeds have answered reads it too if it is a balancer:
/// seeds that have restarted with the whole fleet know only one another.
inline constexpr Duration kSeedReplyTimeout = std::chrono::milliseconds{100};

/// Minimum time between two reads of the list of balancers while the node knows
/// no balancer.
inline constexpr Duration kRegistryRetryInterval =
    std::chrono::milliseconds{900};

/// Shortest time between two comparisons of a balancer's records with a peer's,
/// right after the start of the process and later.
inline constexpr Duration kFirstSyncInterval = std::chrono::milliseconds{200};
inline constexpr Duration kSyncInterval = std::chrono::seconds{1};

/// Longest time between two comparisons while comparisons bring nothing new.
inline constexpr Duration kMaxSyncInterval = std::chrono::seconds{4};

/// Shortest time between two announcements to all balancers that are told of
/// changes, when balancers ask for the record.
inline constexpr Duration kRepeatedAnnouncementInterval =
    std::chrono::seconds{1};

/// Time for which changed records of other zones are collected before they are
/// forwarded in the own zone.
inline constexpr Duration kRelayDelay = std::chrono::milliseconds{100};

/// Callbacks through which the gossip reads and reports a node's state.
struct GossipCallbacks {
  /// Writes the node's current state to `record`; an agent also writes the
  /// target's load to `load`.
  std::function<void(HostRecord& record, TargetLoad& load)> describe_self;
  std::function<RoutesReport(TimePoint now)> describe_routes;
  /// Handles the version of a peer's routes.
  std::function<void(Endpoint peer, const RoutesReport& report, TimePoint now)>
      on_routes_report;
  /// Handles the start time, in Unix milliseconds, of a target that an earlier
  /// start of this process had. Unset for balancers.
  std::function<void(std::uint64_t started_at_ms, TimePoint now)>
      on_former_target;
};

/// Gossip of one node.
class NodeGossip {
 public:
  /// @param host Node host of this process.
  /// @param fleet Records of all known hosts; must outlive this object.
  NodeGossip(NodeHost& host, Fleet& fleet);

  /// Announces the node and starts its heartbeats.
  /// @param callbacks Callbacks of the node's role.
  auto StartGossip(GossipCallbacks callbacks) -> void;

  /// Announces this node's record at once.
  /// @param now Current time.
  auto AnnounceSelf(TimePoint now) -> void;

  /// Tells other balancers at once which routes this balancer has.
  /// @param from_store Whether the routes were read from the store.
  /// @param now Current time.
  auto SendRoutesNews(bool from_store, TimePoint now) -> void;

  /// Handles a message of another process.
  /// @param from Control endpoint of the sender.
  /// @param message An announcement, a heartbeat or a message about records.
  /// @param now Current time.
  auto OnGossipMessage(Endpoint from, const NodeMessage& message, TimePoint now)
      -> void;

  /// Erases the records of hosts that have been silent for too long.
  /// @param now Current time.
  auto EraseExpiredHosts(TimePoint now) -> void;

  /// @return Number of balancers at the last heartbeat.
  [[nodiscard]] auto fleet_size() const -> const FleetSize& { return size_; }

 private:
  // When records are next compared after a difference of digests.
  struct SyncSchedule {
    TimePoint next_at{};
    Duration interval = kSyncInterval;
    bool has_changed = false;  ///< A record changed since the last comparison.
  };

  auto OnAnnouncement(const HostAnnouncement& announcement, TimePoint now)
      -> void;
  auto OnHeartbeat(Endpoint from, const HostHeartbeat& heartbeat, TimePoint now)
      -> void;
  auto OnRecordRequest(Endpoint from, TimePoint now) -> void;
  auto OnRosterPart(const RosterPart& part, TimePoint now) -> void;
  auto OnRosterComparison(Endpoint from,
                          const RosterComparison& comparison,
                          TimePoint now) -> void;
  auto IsUsable(const HostRecord& record, TimePoint now) -> bool;
  auto MergeRecord(const HostRecord& record, Duration age, TimePoint now)
      -> MergeOutcome;
  auto RelayLater(const HostRecord& record) -> void;
  auto RelayChangedRecords(TimePoint now) -> void;
  auto ReturnRecord(KnownHost& host, std::uint64_t incarnation, TimePoint now)
      -> void;
  auto SendFormerRecord(KnownHost& host, TimePoint now) -> void;
  auto RecordContact(KnownHost& host,
                     const TargetLoad& load,
                     const RoutesReport& routes,
                     TimePoint now) -> void;
  auto CompareRecordsIfDue(const KnownHost& peer,
                           std::uint64_t peer_digest,
                           TimePoint now) -> void;
  auto CompareRecords(Endpoint peer) -> void;
  auto RunFirstComparisons(TimePoint now) -> void;
  auto SendAnnouncement(Endpoint to, TimePoint now) -> void;
  auto SendToUnknownSeeds(TimePoint now) -> void;
  auto SendRosterToNewcomer(const HostRecord& receiver, TimePoint now) -> void;
  auto SendRecords(Endpoint to, const std::vector<ForwardedHostRecord>& records)
      -> void;
  auto IntroduceBalancer(TimePoint now) -> void;
  auto NotifyRouteHolders(TimePoint now) -> void;
  auto SendHeartbeats(TimePoint now) -> void;
  auto UpdateOwnState(TimePoint now) -> bool;
  [[nodiscard]] auto MakeAnnouncement(TimePoint now) -> HostAnnouncement;
  [[nodiscard]] auto MakeHeartbeat(TimePoint now) -> HostHeartbeat;
  [[nodiscard]] auto ListUnknownSeeds(TimePoint now) const
      -> std::vector<Endpoint>;
  [[nodiscard]] auto KnowsAnyBalancer(TimePoint now) const -> bool;
  [[nodiscard]] auto IsBalancer() const -> bool;
  auto RequestBalancersFromRegistry(TimePoint now) -> void;
  auto JoinListedBalancers(TimePoint now) -> void;
  [[nodiscard]] auto MustReadRegistry(TimePoint now) const -> bool;
  auto RunGossipTick() -> void;

  NodeHost& host_;
  Fleet& fleet_;
  GossipCallbacks callbacks_;
  asio::steady_timer timer_;
  asio::steady_timer relay_timer_;
  asio::steady_timer comparison_timer_;
  FleetSize size_;
  TargetLoad load_;          ///< Load in the last announcement or heartbeat.
  std::uint64_t round_ = 0;  ///< Number of heartbeats sent.
  std::uint64_t zone_notice_round_ = 0;
  std::size_t search_round_ = 0;  ///< Number of announcements to the seeds.
  std::vector<Endpoint> listed_balancers_;  ///< Balancers in the store's list.
  std::vector<Endpoint> changed_;  ///< Hosts whose records are to be forwarded.
  TimePoint next_registry_read_{};
  TimePoint next_repeated_announcement_{};
  /// Comparisons with balancers of the own zone and of other zones.
  SyncSchedule same_zone_sync_;
  SyncSchedule other_zones_sync_;
  std::uint64_t first_comparisons_ = 0;  ///< Comparisons after the start.
  bool is_searching_ = true;  ///< No balancer was known at the last tick.
  bool has_asked_registry_ = false;  ///< Since the start, answered or not.
  bool has_read_registry_ = false;
  bool has_begun_comparisons_ = false;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_GOSSIP_H_
