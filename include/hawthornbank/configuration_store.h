#ifndef HAWTHORNBANK_CONFIGURATION_STORE_H_
#define HAWTHORNBANK_CONFIGURATION_STORE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hawthornbank/configuration.h"
#include "hawthornbank/configuration_messages.h"
#include "hawthornbank/random.h"
#include "hawthornbank/types.h"

/// @file
/// The configuration in force at a process, and how new generations spread.
///
/// Two balancers of each zone watch the platform. Every other process gets the
/// configuration from peers: balancers gossip, agents report to a balancer
/// chosen by hash. The generation in force at a process never decreases.
namespace hawthornbank {

/// Interval at which the network binding calls OnConfigurationTick.
inline constexpr std::chrono::milliseconds kConfigurationTickInterval{100};
/// Number of balancers of a zone that watch the platform.
inline constexpr std::size_t kWatchersPerZone = 2;
/// Time after which the platform answers a watch even without a change.
inline constexpr std::chrono::milliseconds kPlatformWatchTimeout{10000};
/// Maximum age of a valid confirmation by the platform.
inline constexpr std::chrono::seconds kMaxConfirmationAge{30};
/// How long a process without a configuration collects offers before it fetches
/// the newest generation, since the first peer to answer may have an old one.
inline constexpr std::chrono::milliseconds kJoinOfferWindow{300};
/// Maximum number of lagging hosts listed in a status report.
inline constexpr std::size_t kMaxLaggingHosts = 4;

/// A live balancer, according to the membership protocol.
struct LiveBalancer {
  HostId host{};
  std::string zone;
};

/// Whether a process is a balancer or an agent.
enum class ConfigurationRole : std::uint8_t { kBalancer, kAgent };

/// Properties of a process that do not change while it runs.
struct ConfigurationStoreOptions {
  HostId self{};
  ConfigurationRole role = ConfigurationRole::kBalancer;
  std::string zone;
};

/// Action: read the configuration object from the platform.
struct ReadConfigurationObject {};

/// Action: watch the configuration object for a change.
struct WatchConfigurationObject {
  std::uint64_t from = 0;  ///< Version after which changes are reported.
  std::chrono::milliseconds timeout{0};
};

/// Action: send a message to a peer.
struct SendConfigurationMessage {
  HostId to{};
  ConfigurationMessage message;
};

/// Action: apply a configuration that is in force from now on.
struct ApplyConfiguration {
  std::shared_ptr<const Configuration> configuration;
  bool confirmed = false;  ///< Whether the platform confirmed it.
};

using ConfigurationAction = std::variant<ReadConfigurationObject,
                                         WatchConfigurationObject,
                                         SendConfigurationMessage,
                                         ApplyConfiguration>;
using ConfigurationActions = std::vector<ConfigurationAction>;

/// Answer to ReadConfigurationObject or WatchConfigurationObject.
struct PlatformAnswer {
  bool was_answered = false;  ///< Whether the platform answered.
  /// Whether the platform no longer has the version to watch from.
  bool history_expired = false;
  std::uint64_t version = 0;  ///< Version of the object or of the watch.
  /// Newest value; empty when the object does not exist or has not changed.
  std::optional<std::string> value;
};

/// An unfinished transfer of a configuration from a peer.
struct ConfigurationTransfer {
  HostId from{};
  Generation generation{};
  Generation base{};
  std::uint64_t hash = 0;
  std::vector<std::string> parts;  ///< Received parts; empty if missing.
  /// Number of requested parts that have not arrived yet.
  std::size_t outstanding_parts = 0;
  TimePoint last_progress;  ///< Time of the last part, fetch or retry.
  int retries = 0;          ///< Fetches repeated since the last new part.
};

/// State of the calls to the platform. One call is in flight at a time, and a
/// token bucket limits their rate.
struct PlatformCallState {
  bool is_call_outstanding = false;
  std::optional<std::uint64_t> version;  ///< Version to watch from.
  /// Value that was read but may be stale, until a watch shows that it is not.
  std::optional<std::string> unproven_value;
  TimePoint next_call;
  Duration backoff{0};
  double tokens = 0;
  TimePoint tokens_updated;
};

/// Last report of a child in the report tree, an agent or a balancer.
struct ReceivedReport {
  ConfigurationStatusReport status;
  TimePoint received;
  /// Offers of the generation in force sent to the child since the report.
  std::uint32_t unanswered_offers = 0;
};

/// Counters for the operator.
struct ConfigurationCounters {
  std::uint64_t stale_values_rejected = 0;  ///< Rejected older generations.
  std::uint64_t malformed = 0;              ///< Values that can't be decoded.
  std::uint64_t corrupt_transfers = 0;      ///< Values with a wrong hash.
  std::uint64_t platform_calls = 0;
  std::uint64_t platform_failures = 0;
  std::uint64_t budget_waits = 0;  ///< Calls delayed by the token bucket.
};

/// State of the configuration at one process.
struct ConfigurationStore {
  ConfigurationStoreOptions options;
  std::shared_ptr<const Configuration> in_force;
  std::string value;  ///< JSON of `in_force`.
  /// Values of earlier generations, the bases of differences.
  std::map<Generation, std::string> earlier_values;
  /// Compressed payloads to send, by base generation: a difference from the
  /// base, or the whole value at base 0.
  std::map<Generation, std::string> compressed_payloads;
  std::optional<TimePoint> last_confirmed;
  std::vector<LiveBalancer> balancers;  ///< Live balancers, sorted by host.
  std::optional<ConfigurationTransfer> transfer;
  std::optional<TimePoint> join_deadline;
  HostId best_peer{};
  Generation best_offer{};
  PlatformCallState platform;
  std::map<HostId, ReceivedReport> reports;  ///< Children that are counted.
  /// Reports of agents that another balancer counts.
  std::map<HostId, ReceivedReport> backup_reports;
  TimePoint started;
  TimePoint next_gossip;
  TimePoint next_report;
  std::uint32_t reports_sent = 0;
  /// Time of the last offer from the balancer that counts this agent.
  TimePoint last_balancer_answer;
  /// Balancers that this agent may report to, best first.
  std::vector<HostId> report_balancers;
  /// Index of the counting balancer, modulo the size of `report_balancers`.
  std::size_t report_balancer_index = 0;
  bool is_platform_watcher = false;
  ConfigurationCounters counters;
};

/// Makes the state of a process that has no configuration yet.
/// @param options Properties of the process.
/// @param now Current time.
/// @param random Random number generator; spreads the first calls.
/// @return State of the configuration.
auto MakeConfigurationStore(ConfigurationStoreOptions options,
                            TimePoint now,
                            Random& random) -> ConfigurationStore;

/// Records the live balancers of the region.
/// @param store State of the configuration.
/// @param balancers Live balancers, including this process if it is a balancer.
auto SetLiveBalancers(ConfigurationStore& store,
                      std::vector<LiveBalancer> balancers) -> void;

/// Runs the periodic work that is due: gossip, reports, calls to the platform
/// and fetch retries.
/// @param store State of the configuration.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions Actions are appended to it.
auto OnConfigurationTick(ConfigurationStore& store,
                         TimePoint now,
                         Random& random,
                         ConfigurationActions& actions) -> void;

/// Handles a message from a peer.
/// @param store State of the configuration.
/// @param from Host that sent the message.
/// @param message Received message.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions Actions are appended to it.
auto OnConfigurationMessage(ConfigurationStore& store,
                            HostId from,
                            const ConfigurationMessage& message,
                            TimePoint now,
                            Random& random,
                            ConfigurationActions& actions) -> void;

/// Handles the platform's answer to the call in flight.
/// @param store State of the configuration.
/// @param answer Answer; `was_answered` is false when none arrived.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions Actions are appended to it.
auto OnPlatformAnswer(ConfigurationStore& store,
                      const PlatformAnswer& answer,
                      TimePoint now,
                      Random& random,
                      ConfigurationActions& actions) -> void;

/// Puts in force a value that the platform has accepted. The tool that wrote
/// the value passes it here so that it spreads even if the platform fails
/// right after the write.
/// @param store State of the configuration.
/// @param value Accepted value, as JSON.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions Actions are appended to it.
auto OnConfigurationAccepted(ConfigurationStore& store,
                             const std::string& value,
                             TimePoint now,
                             Random& random,
                             ConfigurationActions& actions) -> void;

/// @param store State of the configuration.
/// @return Generation in force, or 0 when there is none.
auto GetGenerationInForce(const ConfigurationStore& store) -> Generation;

/// @param store State of the configuration.
/// @param now Current time.
/// @return Whether the platform confirmed the configuration in force, to this
///     process or to a peer, within kMaxConfirmationAge.
auto IsConfigurationConfirmed(const ConfigurationStore& store, TimePoint now)
    -> bool;

/// @param store State of the configuration.
/// @return Whether this process is one of the balancers that watch the
///     platform for its zone.
auto IsPlatformWatcher(const ConfigurationStore& store) -> bool;

/// Counts this process and all hosts below it in the report tree.
/// @param store State of the configuration.
/// @param now Current time.
/// @return Number of hosts, number of hosts that have the newest known
///     generation in force, and up to kMaxLaggingHosts of the other hosts.
auto CountHostsAtNewestGeneration(const ConfigurationStore& store,
                                  TimePoint now) -> ConfigurationStatusReport;

/// @param store State of the configuration.
/// @return Root of the report tree, the balancer whose sum covers all hosts,
///     or 0 when no balancer is live.
auto GetReportTreeRoot(const ConfigurationStore& store) -> HostId;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_CONFIGURATION_STORE_H_
