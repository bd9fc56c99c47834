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
/// configuration from peers: balancers gossip, and agents report to a balancer
/// chosen by hash. A balancer that gets no configuration from peers calls the
/// platform. The generation in force at a process never decreases.
namespace hawthornbank {

/// Interval at which the network binding calls OnConfigurationTick.
inline constexpr std::chrono::milliseconds kConfigurationTickInterval{100};
/// Number of balancers of a zone that watch the platform.
inline constexpr std::size_t kWatchersPerZone = 2;
/// Time after which the platform ends a watch if the object has not changed.
inline constexpr std::chrono::milliseconds kPlatformWatchTimeout{10000};
/// Maximum age of a confirmation by the platform that still counts.
inline constexpr std::chrono::seconds kMaxConfirmationAge{30};
/// How long a process without a configuration collects offers before it fetches
/// the newest offered generation, since the first offer may be of an old one.
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
  std::uint64_t from = 0;  ///< Changes after this version are reported.
  std::chrono::milliseconds timeout{0};
};

/// Action: send a message to a peer.
struct SendConfigurationMessage {
  HostId to{};
  ConfigurationMessage message;
};

/// Action: apply the configuration that has come into force.
struct ApplyConfiguration {
  std::shared_ptr<const Configuration> configuration;
  bool confirmed = false;  ///< Whether the platform confirmed the value.
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
  std::uint64_t version = 0;  ///< Version of the object, or version at
                              ///< which a watch without a change ended.
  /// Value of the object; empty when the object does not exist, or has not
  /// changed during a watch.
  std::optional<std::string> value;
};

/// An unfinished transfer of a configuration from a peer.
struct ConfigurationTransfer {
  HostId from{};
  Generation generation{};
  Generation base{};
  std::uint64_t hash = 0;
  /// Parts by index; an empty string stands for a part that has not arrived.
  std::vector<std::string> parts;
  /// Number of requested parts that have not arrived yet.
  std::size_t outstanding_parts = 0;
  TimePoint last_progress;  ///< Time of the last new part or fetch.
  int retries = 0;          ///< Repeated fetches since the last new part.
};

/// State of the calls to the platform. One call is in flight at a time, and a
/// token bucket limits their rate.
struct PlatformCallState {
  bool is_call_outstanding = false;
  /// Version from which to watch; empty if the next call is a read.
  std::optional<std::uint64_t> version;
  /// Value of a read that may be stale; kept until a watch shows whether there
  /// is a newer value.
  std::optional<std::string> unproven_value;
  TimePoint next_call;
  Duration backoff{0};
  double tokens = 0;
  TimePoint tokens_updated;
};

/// Last report of an agent or of a child balancer in the report tree.
struct ReceivedReport {
  ConfigurationStatusReport status;
  TimePoint received;
  /// Offers of the generation in force sent to the agent since this report;
  /// counted only in `backup_reports`.
  std::uint32_t unanswered_offers = 0;
};

/// Counters for the operator.
struct ConfigurationCounters {
  std::uint64_t stale_values_rejected = 0;  ///< Older than the value in force.
  std::uint64_t malformed = 0;              ///< Values that can't be decoded.
  std::uint64_t corrupt_transfers = 0;  ///< Undecodable or with a wrong hash.
  std::uint64_t platform_calls = 0;
  std::uint64_t platform_failures = 0;
  std::uint64_t budget_waits = 0;  ///< Calls delayed by the token bucket.
};

/// One process's configuration state: the value in force, the transfer in
/// progress, received reports and the calls to the platform.
struct ConfigurationStore {
  ConfigurationStoreOptions options;
  std::shared_ptr<const Configuration> in_force;
  std::string value;  ///< JSON of `in_force`.
  /// Values of earlier generations, from which differences are computed.
  std::map<Generation, std::string> earlier_values;
  /// Cached compressed payloads by base generation: the difference from the
  /// base, or the whole value at base 0.
  std::map<Generation, std::string> compressed_payloads;
  std::optional<TimePoint> last_confirmed;
  std::vector<LiveBalancer> balancers;  ///< Live balancers, sorted by host.
  std::optional<ConfigurationTransfer> transfer;
  std::optional<TimePoint> join_deadline;
  HostId newest_offer_sender{};
  Generation newest_offered_generation{};
  PlatformCallState platform;
  /// Reports of agents and child balancers that this balancer counts.
  std::map<HostId, ReceivedReport> reports;
  /// Reports of agents that another balancer counts.
  std::map<HostId, ReceivedReport> backup_reports;
  TimePoint started;
  TimePoint next_gossip;
  TimePoint next_report;
  std::uint32_t reports_sent = 0;
  /// Time of the last offer from the balancer that counts this agent; also set
  /// when the process starts and when the agent changes to another balancer.
  TimePoint last_balancer_answer;
  /// Balancers that this agent may report to, best first.
  std::vector<HostId> report_balancers;
  /// Index into `report_balancers` (modulo the size of that list) of the
  /// balancer that counts this agent.
  std::size_t report_balancer_index = 0;
  bool is_platform_watcher = false;
  ConfigurationCounters counters;
};

/// Makes the configuration state of a process that has just started and has no
/// configuration.
/// @param options Properties of the process.
/// @param now Current time.
/// @param random Random number generator; randomizes the time of the first call
///     to the platform.
/// @return The process's configuration state.
auto MakeConfigurationStore(ConfigurationStoreOptions options,
                            TimePoint now,
                            Random& random) -> ConfigurationStore;

/// Records the live balancers of the region, and determines whether this
/// process watches the platform and to which balancers an agent reports.
/// @param store This process's configuration state.
/// @param balancers Live balancers, including this process if it is a balancer.
auto SetLiveBalancers(ConfigurationStore& store,
                      std::vector<LiveBalancer> balancers) -> void;

/// Runs the periodic work that is due: gossip, reports, calls to the platform,
/// the first fetch after the join window, and fetch retries.
/// @param store This process's configuration state.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions List to which new actions are appended.
auto OnConfigurationTick(ConfigurationStore& store,
                         TimePoint now,
                         Random& random,
                         ConfigurationActions& actions) -> void;

/// Handles a message from a peer.
/// @param store This process's configuration state.
/// @param from Host that sent the message.
/// @param message Received message.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions List to which new actions are appended.
auto OnConfigurationMessage(ConfigurationStore& store,
                            HostId from,
                            const ConfigurationMessage& message,
                            TimePoint now,
                            Random& random,
                            ConfigurationActions& actions) -> void;

/// Handles the platform's answer to the call in flight.
/// @param store This process's configuration state.
/// @param answer The answer; `was_answered` is false if the call failed.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions List to which new actions are appended.
auto OnPlatformAnswer(ConfigurationStore& store,
                      const PlatformAnswer& answer,
                      TimePoint now,
                      Random& random,
                      ConfigurationActions& actions) -> void;

/// Puts in force a value that the platform has accepted, if the value is newer
/// than the value in force. The tool that wrote the value sends it to a
/// process, so that the value spreads even if the platform fails right after
/// the write.
/// @param store This process's configuration state.
/// @param value Accepted value, as JSON.
/// @param now Current time.
/// @param random Random number generator.
/// @param actions List to which new actions are appended.
auto OnConfigurationAcceptedByPlatform(ConfigurationStore& store,
                                       const std::string& value,
                                       TimePoint now,
                                       Random& random,
                                       ConfigurationActions& actions) -> void;

/// @param store This process's configuration state.
/// @return Generation in force, or 0 when there is none.
auto GetGenerationInForce(const ConfigurationStore& store) -> Generation;

/// @param store This process's configuration state.
/// @param now Current time.
/// @return Whether the platform confirmed the configuration in force, to this
///     process or to a peer, within kMaxConfirmationAge.
auto IsConfigurationConfirmed(const ConfigurationStore& store, TimePoint now)
    -> bool;

/// @param store This process's configuration state.
/// @return Whether this process is one of the balancers that watch the
///     platform for its zone.
auto IsPlatformWatcher(const ConfigurationStore& store) -> bool;

/// Counts this process and all hosts below this process in the report tree.
/// @param store This process's configuration state.
/// @param now Current time.
/// @return Newest known generation, number of hosts, number of hosts that have
///     that generation in force, and up to kMaxLaggingHosts hosts that don't.
auto CountHostsAtNewestGeneration(const ConfigurationStore& store,
                                  TimePoint now) -> ConfigurationStatusReport;

/// @param store This process's configuration state.
/// @return The balancer that is the root of the report tree and counts all
///     hosts; 0 when no balancer is known to be live.
auto GetReportTreeRoot(const ConfigurationStore& store) -> HostId;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_CONFIGURATION_STORE_H_
