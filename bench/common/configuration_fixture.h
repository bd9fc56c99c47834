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

/// One object of the platform in virtual time, with failures.
struct FakePlatform {
  bool down = false;
  bool empty = false;  ///< Holds nothing, and doesn't say that it should.
  bool lose_next_answer = false;
  int stale_reads = 0;
  std::vector<StoredConfigurationObject>
      history;                                   ///< All values, oldest first.
  std::map<std::int64_t, std::uint64_t> reads;   ///< By second.
  std::map<std::int64_t, std::uint64_t> writes;  ///< By second.
};

/// How many processes, over which links.
struct ConfigurationFixtureOptions {
  std::size_t balancers = 3;
  std::size_t agents = 10;
  std::size_t zones = 3;
  std::uint64_t seed = 1;
  double loss = 0.05;
  Duration delay = std::chrono::milliseconds{4};
  Duration jitter = std::chrono::milliseconds{20};
};

/// @param services How many services it has.
/// @return A configuration of generation 1.
auto FirstConfiguration(std::size_t services) -> Configuration;

/// Configuration stores of many processes over a virtual network.
class ConfigurationFixture {
  std::unique_ptr<VirtualNetwork> own_network_;  ///< Null when it is shared.

 public:
  /// A process and what was seen of it.
  struct Node {
    ConfigurationStore store;
    Random random;
    std::uint64_t life = 0;  ///< Grows with each restart.
    bool alive = true;
    Generation highest{};     ///< Ever in force on this host.
    std::uint64_t bytes = 0;  ///< Sent and received.
    std::uint64_t sent = 0;   ///< Of these, sent.
    std::uint64_t calls = 0;  ///< Of the core, for ticks, messages and answers.
    double core_seconds = 0;  ///< Wall time inside the core.
  };

  explicit ConfigurationFixture(ConfigurationFixtureOptions options);
  /// Runs over a network of others, whose owner tells of live balancers.
  ConfigurationFixture(ConfigurationFixtureOptions options,
                       VirtualNetwork& shared);
  ConfigurationFixture(const ConfigurationFixture&) = delete;
  auto operator=(const ConfigurationFixture&) -> ConfigurationFixture& = delete;

  VirtualNetwork& network;
  FakePlatform platform;
  std::vector<Node> nodes;  ///< Balancers, then agents.
  std::uint64_t reverts = 0;

  /// Starts a process anew, with nothing; its balancers are known after a
  /// second, as membership needs time too.
  auto Restart(std::size_t n) -> void;
  /// Tells a process which balancers are live.
  /// @param live Numbers of balancers.
  auto TellBalancers(std::size_t n, const std::vector<std::size_t>& live)
      -> void;
  /// Ends a process.
  auto Kill(std::size_t n) -> void;
  auto RunFor(Duration duration) -> void;
  /// Writes a value to the platform, as an accepted update does.
  auto Write(const std::string& value) -> void;
  /// Answers a conditional write.
  auto Put(const WriteForUpdate& write) -> UpdateWriteAnswer;
  /// Answers a read back.
  auto History(std::uint64_t from) -> UpdateReadBackAnswer;
  /// Answers a read.
  auto Present() -> std::optional<StoredConfigurationObject>;
  /// Runs until a generation is in force at each live process.
  /// @return How long that took, or the limit.
  auto RunUntilInForce(Generation generation, Duration limit) -> Duration;
  /// @return Live processes that have at least a generation in force.
  auto CountInForce(Generation generation) const -> std::size_t;
  auto CountAlive() const -> std::size_t;

 private:
  auto StartAll() -> void;
  auto Start(std::size_t n) -> void;
  auto Tick(std::size_t n, std::uint64_t life) -> void;
  auto Perform(std::size_t n, ConfigurationActions& actions) -> void;
  auto Send(std::size_t from, SendConfigurationMessage& send) -> void;
  auto Get(std::size_t n) -> void;
  auto Watch(std::size_t n, const WatchConfigurationObject& watch) -> void;
  auto PollWatch(std::size_t n,
                 std::uint64_t life,
                 std::uint64_t from,
                 TimePoint end) -> void;
  auto Answer(std::size_t n, std::uint64_t life, PlatformAnswer answer) -> void;
  auto ZoneOf(std::size_t n) const -> std::string;
  auto LiveBalancers() const -> std::vector<LiveBalancer>;

  ConfigurationFixtureOptions options_;
  std::vector<LiveBalancer> all_balancers_;
  TimePoint last_loss_;  ///< When a process was last killed.
};

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_CONFIGURATION_FIXTURE_H_
