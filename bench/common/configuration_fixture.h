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

/// Platform in virtual time that stores one object and can be made to fail.
struct FakePlatform {
  bool down = false;
  bool empty = false;  ///< Reads succeed but find no object.
  bool lose_next_answer = false;
  int stale_reads = 0;
  /// Every stored value, oldest first.
  std::vector<StoredConfigurationObject> history;
  /// Number of reads by second of the run.
  std::map<std::int64_t, std::uint64_t> reads;
  /// Number of writes by second of the run.
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
  /// Null if the network is shared.
  std::unique_ptr<VirtualNetwork> own_network_;

 public:
  /// A process with its store and the figures recorded for it.
  struct Node {
    ConfigurationStore store;
    Random random;
    std::uint64_t run_number = 0;  ///< Incremented by each start and kill.
    bool alive = true;
    Generation highest{};  ///< Highest generation ever in force on this host.
    std::uint64_t bytes = 0;  ///< Bytes sent and received.
    std::uint64_t sent = 0;   ///< Bytes sent.
    std::uint64_t calls = 0;  ///< Calls of the core: ticks, messages, answers.
    double core_seconds = 0;  ///< Wall time inside the core, in seconds.
  };

  explicit ConfigurationFixture(ConfigurationFixtureOptions options);
  /// Uses the caller's network. The caller must set the live balancers with
  /// SetLiveBalancersOfProcess.
  ConfigurationFixture(ConfigurationFixtureOptions options,
                       VirtualNetwork& shared);
  ConfigurationFixture(const ConfigurationFixture&) = delete;
  auto operator=(const ConfigurationFixture&) -> ConfigurationFixture& = delete;

  VirtualNetwork& network;
  FakePlatform platform;
  std::vector<Node> nodes;  ///< Balancers, then agents.
  /// Number of times that an older generation came into force.
  std::uint64_t generation_decreases = 0;

  /// Restarts a process with an empty store. With its own network, it learns
  /// the live balancers from membership after one second.
  auto RestartProcess(std::size_t n) -> void;
  /// Sets the balancers that a process considers live.
  /// @param live Indices of the live balancers.
  auto SetLiveBalancersOfProcess(std::size_t n,
                                 const std::vector<std::size_t>& live) -> void;
  /// Kills a process.
  auto StopProcess(std::size_t n) -> void;
  auto RunFor(Duration duration) -> void;
  /// Stores a value on the platform, as an accepted update does.
  auto WriteConfigurationValue(const std::string& value) -> void;
  /// Handles a conditional write to the platform.
  auto WriteObjectConditionally(const WriteForUpdate& write)
      -> UpdateWriteAnswer;
  /// Handles a read of all values stored after the version `from`.
  auto ReadObjectHistory(std::uint64_t from) -> UpdateReadBackAnswer;
  /// Handles a read of the current object.
  auto ReadStoredObject() -> std::optional<StoredConfigurationObject>;
  /// Runs until every live process has a generation in force.
  /// @return Elapsed time, or the limit.
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
