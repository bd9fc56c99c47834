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
/// The configuration in force at a process, and how it spreads.
///
/// Two balancers of each zone watch the platform. Every other process learns
/// from peers: balancers gossip, agents report to a balancer chosen by hash.
/// A process only ever moves to a higher generation.
namespace hawthornbank {

/// Interval at which the binding calls TickConfiguration.
inline constexpr std::chrono::milliseconds kConfigurationTick{100};
/// Balancers of a zone that watch the platform.
inline constexpr std::size_t kWatchersPerZone = 2;
/// How long the platform may hold a watch.
inline constexpr std::chrono::milliseconds kConfigurationWatch{10000};
/// Age up to which a confirmation by the platform counts.
inline constexpr std::chrono::seconds kConfirmationLimit{30};
/// How long a process with nothing collects offers, so that the first peer
/// to answer, which may be behind, does not decide.
inline constexpr std::chrono::milliseconds kJoinWindow{300};
/// Laggards that an acknowledgement names.
inline constexpr std::size_t kMaxLagging = 4;

/// A live balancer, as membership knows it.
struct BalancerPeer {
  HostId host{};
  std::string zone;
};

/// What a process is and does.
enum class ConfigurationRole : std::uint8_t { kBalancer, kAgent };

/// Fixed facts of a process.
struct ConfigurationStoreOptions {
  HostId self{};
  ConfigurationRole role = ConfigurationRole::kBalancer;
  std::string zone;
};

/// Read the configuration object.
struct CallPlatformGet {};

/// Wait for a change of the configuration object.
struct CallPlatformWatch {
  std::uint64_t from = 0;
  std::chrono::milliseconds timeout{0};
};

/// Send a message to a peer.
struct SendConfiguration {
  HostId to{};
  ConfigurationMessage message;
};

/// A configuration is in force from now on.
struct ConfigurationInForce {
  std::shared_ptr<const Configuration> configuration;
  bool confirmed = false;  ///< Whether the platform stands behind it.
};

using ConfigurationAction = std::variant<CallPlatformGet,
                                         CallPlatformWatch,
                                         SendConfiguration,
                                         ConfigurationInForce>;
using ConfigurationActions = std::vector<ConfigurationAction>;

/// Answer to CallPlatformGet or CallPlatformWatch.
struct PlatformAnswer {
  bool reached = false;       ///< Whether there was an answer at all.
  bool gone = false;          ///< The watch can't resume from its version.
  std::uint64_t version = 0;  ///< Of the object, or of the watch.
  std::optional<std::string> value;  ///< The newest value, when there is one.
};

/// Parts of a configuration on their way from a peer.
struct ConfigurationTransfer {
  HostId from{};
  Generation generation{};
  Generation base{};
  std::uint64_t hash = 0;
  std::vector<std::string> parts;  ///< Empty strings are missing.
  std::size_t requested = 0;       ///< Parts that are still to come.
  TimePoint last_progress;
  int stalls = 0;
};

/// Calls to the platform: one at a time, within a budget.
struct ConfigurationPlatform {
  bool waiting = false;                  ///< A call is out.
  std::optional<std::uint64_t> version;  ///< Where the watch resumes.
  std::optional<std::string> candidate;  ///< Read, but not yet proved fresh.
  TimePoint next_call;
  Duration backoff{0};
  double tokens = 0;
  TimePoint tokens_at;
};

/// What a child in the tree of reports last said.
struct ConfigurationReport {
  ConfigurationAck ack;
  TimePoint heard;
};

/// Counters for the operator.
struct ConfigurationCounters {
  std::uint64_t stale_refused = 0;      ///< Older generations turned away.
  std::uint64_t malformed = 0;          ///< Values that can't be decoded.
  std::uint64_t corrupt_transfers = 0;  ///< Parts that don't fit the hash.
  std::uint64_t platform_calls = 0;
  std::uint64_t platform_failures = 0;
  std::uint64_t budget_waits = 0;  ///< Calls put off by the budget.
};

/// State of the configuration at one process.
struct ConfigurationStore {
  ConfigurationStoreOptions options;
  std::shared_ptr<const Configuration> in_force;
  std::string value;                          ///< Of what is in force.
  std::map<Generation, std::string> earlier;  ///< Bases of differences.
  /// Ready to send, compressed, by base; the whole value at base 0.
  std::map<Generation, std::string> differences;
  std::optional<TimePoint> last_confirmed;
  std::vector<BalancerPeer> balancers;  ///< Live, by identity.
  std::optional<ConfigurationTransfer> transfer;
  std::optional<TimePoint> join_deadline;
  HostId best_peer{};
  Generation best_offer{};
  ConfigurationPlatform platform;
  std::map<HostId, ConfigurationReport> reports;  ///< Agents and children.
  TimePoint started;
  TimePoint next_gossip;
  TimePoint next_report;
  TimePoint last_answer;               ///< Of the balancer reported to.
  std::vector<HostId> report_choices;  ///< Balancers to report to, best first.
  std::size_t report_choice = 0;       ///< Which of them.
  bool watcher = false;                ///< Of the platform, for its zone.
  ConfigurationCounters counters;
};

/// Makes the state of a process that knows nothing yet.
/// @param options Fixed facts of the process.
/// @param now Present instant.
/// @param random Spreads the first calls.
/// @return The state.
auto MakeConfigurationStore(ConfigurationStoreOptions options,
                            TimePoint now,
                            Random& random) -> ConfigurationStore;

/// Takes the list of live balancers of the region.
/// @param store State.
/// @param balancers Live balancers, this process included if it is one.
auto SetBalancers(ConfigurationStore& store,
                  std::vector<BalancerPeer> balancers) -> void;

/// Does what is due: gossip, reports, calls, repeated fetches.
/// @param store State.
/// @param now Present instant.
/// @param random Generator.
/// @param actions Where actions are appended.
auto TickConfiguration(ConfigurationStore& store,
                       TimePoint now,
                       Random& random,
                       ConfigurationActions& actions) -> void;

/// Takes a message of a peer.
/// @param store State.
/// @param from Sender.
/// @param message What it sent.
/// @param now Present instant.
/// @param random Generator.
/// @param actions Where actions are appended.
auto OnConfigurationMessage(ConfigurationStore& store,
                            HostId from,
                            const ConfigurationMessage& message,
                            TimePoint now,
                            Random& random,
                            ConfigurationActions& actions) -> void;

/// Takes the platform's answer to the call that is out.
/// @param store State.
/// @param answer What came, or that nothing came.
/// @param now Present instant.
/// @param random Generator.
/// @param actions Where actions are appended.
auto OnPlatformAnswer(ConfigurationStore& store,
                      const PlatformAnswer& answer,
                      TimePoint now,
                      Random& random,
                      ConfigurationActions& actions) -> void;

/// Takes a value that the platform has accepted, from the tool that wrote it,
/// so that it spreads even if the platform is down by now.
/// @param store State.
/// @param value The accepted value.
/// @param now Present instant.
/// @param random Generator.
/// @param actions Where actions are appended.
auto OnAcceptedConfiguration(ConfigurationStore& store,
                             const std::string& value,
                             TimePoint now,
                             Random& random,
                             ConfigurationActions& actions) -> void;

/// @param store State.
/// @return The generation in force, or 0.
auto GenerationInForce(const ConfigurationStore& store) -> Generation;

/// @param store State.
/// @param now Present instant.
/// @return Whether the platform confirmed what is in force, at this process
///     or at a peer, within kConfirmationLimit.
auto IsConfirmed(const ConfigurationStore& store, TimePoint now) -> bool;

/// @param store State.
/// @return Whether this process is one of its zone's watchers.
auto IsWatcher(const ConfigurationStore& store) -> bool;

/// Sums up this process and all below it in the tree of reports.
/// @param store State.
/// @param now Present instant.
/// @return Hosts, how many have the newest known generation in force, and a
///     few that have not.
auto SumUpInForce(const ConfigurationStore& store, TimePoint now)
    -> ConfigurationAck;

/// @param store State.
/// @return The balancer whose sum covers all hosts, or 0 when none is live.
auto ReportRoot(const ConfigurationStore& store) -> HostId;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_CONFIGURATION_STORE_H_
