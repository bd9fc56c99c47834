#ifndef HAWTHORNBANK_BENCH_COMMON_CONFIGURATION_FIXTURE_H_
#define HAWTHORNBANK_BENCH_COMMON_CONFIGURATION_FIXTURE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/virtual_network.h"
#include "hawthornbank/configuration_store.h"
#include "hawthornbank/configuration_update.h"

namespace hawthornbank::bench {

/// Simulated platform that stores one object and can be made to fail.
struct FakePlatform {
  bool down = false;
  bool empty = false;  ///< Reads succeed but find no object.
  bool lose_next_answer = false;
  int stale_reads = 0;
  /// Every stored value, oldest first.
  std::vector<StoredConfigurationObject> history;
  /// Number of platform reads in each second of the run.
  std::map<std::int64_t, std::uint64_t> reads;
  /// Number of platform writes in each second of the run.
  std::map<std::int64_t, std::uint64_t> writes;
};

/// Number of processes and properties of the links between them.
struct ConfigurationFixtureOptions {
  std::size_t balancers = 3;
  std::size_t agents = 10;
  std::size_t zones = 3;
  std::uint64_t seed = 1;
  double loss = 0.05;
  Duration delay = std::chrono::milliseconds{4};
  Duration jitter = std::chrono::milliseconds{20};
};

/// @param services Number of services in the configuration.
/// @return A configuration of generation 1.
auto MakeInitialConfiguration(std::size_t services) -> Configuration;

/// Runs the configuration stores of many processes over a virtual network.
class ConfigurationFixture {
  /// Null if the fixture runs over a shared network.
  std::unique_ptr<VirtualNetwork> own_network_;

 public:
  /// A process with its store and the figures recorded for it.
  struct Node {
    ConfigurationStore store;
    Random random;
    /// Incremented when the process starts or is killed.
    std::uint64_t run_number = 0;
    bool alive = true;
    Generation highest{};  ///< Highest generation ever in force on this host.
    std::uint64_t bytes = 0;  ///< Bytes sent and received.
    std::uint64_t sent = 0;   ///< Bytes sent.
    /// Number of calls of the configuration store: ticks, messages, answers.
    std::uint64_t calls = 0;
    /// Wall time inside the configuration store, in seconds.
    double core_seconds = 0;
  };

  explicit ConfigurationFixture(ConfigurationFixtureOptions options);
  /// Runs over a shared network. The fixture's creator must set the live
  /// balancers with SetLiveBalancersOfProcess.
  ConfigurationFixture(ConfigurationFixtureOptions options,
                       VirtualNetwork& shared);
  ConfigurationFixture(const ConfigurationFixture&) = delete;
  auto operator=(const ConfigurationFixture&) -> ConfigurationFixture& = delete;

  VirtualNetwork& network;
  FakePlatform platform;
  std::vector<Node> nodes;  ///< All balancers, followed by all agents.
  /// Number of times that a process put an older generation into force.
  std::uint64_t generation_decreases = 0;

  /// Restarts a process with an empty store. If the fixture has its own
  /// network, the process learns the live balancers one second later.
  auto RestartProcess(std::size_t n) -> void;
  /// Sets the balancers that a process considers live.
  /// @param live Indices of the live balancers.
  auto SetLiveBalancersOfProcess(std::size_t n,
                                 const std::vector<std::size_t>& live) -> void;
  /// Kills a process. Seven seconds later, all processes learn the live
  /// balancers.
  auto KillProcess(std::size_t n) -> void;
  auto RunFor(Duration duration) -> void;
  /// Stores a configuration on the platform, as an accepted update does.
  auto StoreOnPlatform(const std::string& value) -> void;
  /// Writes the object on the platform if its version matches the write.
  auto WriteIfVersionMatches(const WriteForUpdate& write) -> UpdateWriteAnswer;
  /// Reads all values that the platform stored after the version `from`.
  auto ReadStoredChanges(std::uint64_t from) -> ReadChangesAnswer;
  /// Reads the current object from the platform.
  auto ReadCurrentObject() -> std::optional<StoredConfigurationObject>;
  /// Runs until every live process has at least `generation` in force.
  /// @return Elapsed virtual time, which reaches `limit` on a timeout.
  auto RunUntilGenerationInForce(Generation generation, Duration limit)
      -> Duration;
  /// @return Number of live processes whose generation in force is at least
  ///   `generation`.
  auto CountProcessesInForce(Generation generation) const -> std::size_t;
  auto CountLiveProcesses() const -> std::size_t;

 private:
  auto StartAllProcesses() -> void;
  auto StartProcess(std::size_t n) -> void;
  auto RunProcessTick(std::size_t n, std::uint64_t run_number) -> void;
  auto PerformConfigurationActions(std::size_t n, ConfigurationActions& actions)
      -> void;
  auto SendMessageToProcess(std::size_t from, SendConfigurationMessage& send)
      -> void;
  auto ReadObjectForProcess(std::size_t n) -> void;
  auto StartPlatformWatch(std::size_t n, const WatchConfigurationObject& watch)
      -> void;
  auto PollPlatformWatch(std::size_t n,
                         std::uint64_t run_number,
                         std::uint64_t from,
                         TimePoint end) -> void;
  auto DeliverPlatformAnswer(std::size_t n,
                             std::uint64_t run_number,
                             PlatformAnswer answer) -> void;
  auto MakeZoneName(std::size_t n) const -> std::string;
  auto ListLiveBalancers() const -> std::vector<LiveBalancer>;

  ConfigurationFixtureOptions options_;
  std::vector<LiveBalancer> all_balancers_;
  TimePoint last_kill_time_;
};

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_CONFIGURATION_FIXTURE_H_
