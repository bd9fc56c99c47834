#ifndef HAWTHORNBANK_SOAK_WORLD_H_
#define HAWTHORNBANK_SOAK_WORLD_H_

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "soak/callers.h"
#include "soak/faults.h"
#include "soak/judge.h"
#include "soak/node_process.h"
#include "soak/node_settings.h"
#include "soak/store_standin.h"
#include "soak/target_standin.h"
#include "soak/tcp_proxy.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

/// @file
/// Processes, stand-ins and faults of one soak.
namespace hawthornbank::soak {

/// What a soak runs with.
struct SoakOptions {
  std::string program;  ///< Path of hawthornnode.
  std::uint64_t seed = 1;
  Duration length{};  ///< Of the series of faults.
  std::size_t balancers = 3;
  std::size_t targets = 5;  ///< Three of five belong to the first service.
  /// Hosts are addresses of this network, so that soaks may run side by side.
  std::uint32_t network = 0x7F000700;
  bool verbose = false;  ///< Lists faults and keeps logs in any case.
};

/// One soak on 127.0.0.0/8.
class World {
 public:
  explicit World(SoakOptions options);

  /// Runs the series of faults and a quiet end.
  /// @return What was found.
  auto Run() -> const Judge&;

  /// @return Kinds and times of the faults, a line each.
  [[nodiscard]] auto History() const -> const std::vector<std::string>& {
    return history_;
  }

  /// Keeps the processes' logs.
  /// @return Their paths.
  auto KeepLogs() -> std::vector<std::string>;

 private:
  // A process, its way to the store and its subject for the judge.
  struct Node {
    std::string subject;
    NodePlace place;
    std::unique_ptr<TcpProxy> store;
    std::unique_ptr<transport::HttpClient> probe;
    std::unique_ptr<NodeProcess> process;
    TimePoint start_at{};  ///< When it starts again.
    TimePoint stop_by{};   ///< When a stop is over at the latest.
    int starts = 0;
    int missed = 0;  ///< Ready checks in a row.
    bool in_rotation = false;
    bool frozen = false;
    bool end_expected = false;
  };

  auto AddNode(const std::string& subject, NodePlace place) -> void;
  auto StartNode(Node& node) -> void;
  auto Tick() -> void;
  auto WatchProcesses(TimePoint now) -> void;
  auto CheckReady() -> void;
  auto ReadMetrics() -> void;
  auto Apply(const Fault& fault, TimePoint now) -> void;
  auto ApplyToProcess(const Fault& fault, TimePoint now) -> bool;
  auto ApplyToStore(const Fault& fault, TimePoint now) -> bool;
  [[nodiscard]] auto CountOf(const std::string& service) const -> std::size_t;
  auto ApplyToTarget(const Fault& fault, TimePoint now) -> void;
  auto Kill(Node& node, TimePoint now) -> void;
  auto Stop(Node& node, TimePoint now) -> void;
  auto Freeze(Node& node, Duration lasts, TimePoint now) -> void;
  auto SetStoreMode(ProxyMode mode, Duration lasts, TimePoint now) -> void;
  auto Replace(std::size_t target, bool reuse, TimePoint now) -> void;
  auto Accept(TimePoint now) -> void;
  auto After(Duration pause, std::function<void()> handler) -> void;
  auto Every(Duration interval, std::function<void()> handler) -> void;
  auto OnCallersReset(const CallerFlow& flow) -> void;
  auto OnCallersOutcome(const CallerFlow& flow, bool served) -> void;
  auto Remember(const std::string& what) -> void;
  [[nodiscard]] auto Host(std::uint32_t last) const -> std::uint32_t {
    return options_.network + last;
  }
  auto Balancer(std::size_t n) -> Node& {
    return *nodes_[n % options_.balancers];
  }
  auto Agent(std::size_t n) -> Node& {
    return *nodes_[options_.balancers + n % options_.targets];
  }

  SoakOptions options_;
  Ports ports_;
  asio::io_context io_;
  StoreStandin store_;
  std::unique_ptr<transport::HttpServer> store_server_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<TargetStandin>> targets_;
  std::vector<CalledRoute> routes_;
  std::unique_ptr<Callers> callers_;
  Judge judge_;
  std::vector<std::string> history_;
  TimePoint started_{};
  TimePoint last_tick_{};
  bool quiet_ = false;
};

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_WORLD_H_
