#ifndef HAWTHORNBANK_SOAK_WORLD_H_
#define HAWTHORNBANK_SOAK_WORLD_H_

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "soak/callers.h"
#include "soak/faults.h"
#include "soak/flow_exemptions.h"
#include "soak/judge.h"
#include "soak/node_process.h"
#include "soak/node_settings.h"
#include "soak/plants.h"
#include "soak/process_clock.h"
#include "soak/restarts.h"
#include "soak/reuse.h"
#include "soak/store_standin.h"
#include "soak/target_standin.h"
#include "soak/tcp_proxy.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/udp_socket.h"

/// @file
/// Processes, stand-ins and injected faults of one soak.
namespace hawthornbank::soak {

/// Last byte of the address of the callers' host.
inline constexpr std::uint32_t kCallerHost = 250;

/// Options of a soak.
struct SoakOptions {
  std::string program;  ///< Path of hawthornnode.
  std::uint64_t seed = 1;
  Duration length{};  ///< Length of the series of faults.
  std::size_t balancers = 3;
  std::size_t zones = 1;    ///< Balancers and targets are dealt to in turn.
  std::size_t targets = 5;  ///< Of each five, three start in the first service.
  /// First address of the /24 network that holds the soak's hosts. Soaks with
  /// different networks can run concurrently.
  std::uint32_t network = 0x7F000700;
  /// Whether the report lists events and keeps logs even without violations.
  bool verbose = false;
  bool has_faults = true;  ///< Whether the series of faults is injected.
  /// Whether two further routes change their service.
  bool has_route_changes = false;
  /// Whether targets drain, leave for some time and come back.
  bool has_scale_ins = false;
  /// Entries of another writer in the store, which then lists ten a page.
  std::size_t other_entries = 0;
  /// Whether the operator's series of events is played: zones out of service if
  /// there are several, and changes of routes.
  bool has_operator_events = true;
  /// Mean time between two heartbeats of a target.
  std::chrono::milliseconds heartbeat_interval{200};
  ReuseOptions reuse;              ///< Uses of ports and addresses again.
  std::set<RestartKind> restarts;  ///< Kinds of events around restarts.
  /// Path of hawthornnode with clock_standin.cc, for processes whose clocks
  /// step.
  std::string clock_program;
  /// Faults that break a rule. The soak ends soon after the first violation.
  std::set<Plant> plants;
};

/// Time between the start of the processes and of the series of faults.
inline constexpr Duration kStartupTime = std::chrono::seconds{2};

/// @return Subject name of a target in the checks.
auto GetTargetSubject(std::size_t target) -> std::string;

/// Processes, stand-ins and checks of one soak, on addresses of 127.0.0.0/8.
class SoakEnvironment {
 public:
  explicit SoakEnvironment(SoakOptions options);

  /// Runs the series of faults, then a recovery phase and the final phase, both
  /// without faults. Blocks until the end, SIGTERM or SIGINT.
  /// @return State of the checks, with all violations.
  auto RunAllPhases() -> const InvariantChecker&;

  /// @return Faults and other events, each with the time since the start.
  [[nodiscard]] auto GetEventHistory() const
      -> const std::vector<std::string>& {
    return event_history_;
  }

  /// @return The latest packets of all callers.
  [[nodiscard]] auto caller_packets() const -> const CallerPackets& {
    return callers_->packets();
  }

  /// @return Number of addresses given to a target of another service by an
  /// event of the option `reuse`.
  [[nodiscard]] auto hand_over_count() const -> int { return hand_overs_; }

  /// Makes all node processes, ended ones too, keep their log files.
  /// @return Paths of the log files, one for each start of a process.
  auto KeepLogFiles() -> std::vector<std::string>;

 private:
  // A node: process, proxy to the store and subject name in the checks.
  struct Node {
    std::string subject;
    NodeParameters parameters;
    std::unique_ptr<TcpProxy> store_proxy;
    std::unique_ptr<transport::HttpClient> readiness_client;
    std::unique_ptr<ProcessClock> clock;  ///< Null if clocks don't step.
    std::unique_ptr<NodeProcess> process;
    TimePoint started_at{};           ///< Time of the last start.
    WallTime started_at_wall_time{};  ///< Machine's time at the last start.
    bool is_clock_checked = false;
    TimePoint restart_at{};  ///< Earliest time of the next start.
    TimePoint held_until{};  ///< Ended processes start at this time or later.
    TimePoint stop_deadline{};  ///< Latest time of exit after SIGTERM.
    int start_count = 0;
    std::string started_service;  ///< Service at the last start; agents only.
    int failed_probes = 0;        ///< Consecutive failed readiness probes.
    bool is_in_rotation = false;
    bool is_frozen = false;
    bool is_exit_expected = false;
  };

  // A called route that events drop, return and give to the other service.
  struct MovedRoute {
    CalledRoute route;
    bool is_stored = true;
  };

  auto AddAndStartNode(const std::string& subject, NodeParameters parameters)
      -> void;
  auto StartNodeProcess(Node& node) -> void;
  auto OnTickTimerExpired() -> void;
  auto RestartExitedAndKillOverdueProcesses(TimePoint now) -> void;
  auto ProbeBalancerReadiness() -> void;
  auto CheckRoutesVersions() -> void;
  auto ApplyFault(const Fault& fault, TimePoint now) -> void;
  auto ApplyIfProcessFault(const Fault& fault, TimePoint now) -> bool;
  auto ApplyIfStoreFault(const Fault& fault, TimePoint now) -> bool;
  [[nodiscard]] auto CountTargetsOfService(const std::string& service) const
      -> std::size_t;
  auto ApplyTargetOrPacketLossFault(const Fault& fault, TimePoint now) -> void;
  auto SendSignalWhenLoaded(Node& node, int signal) -> void;
  auto KillProcess(Node& node, TimePoint now) -> void;
  auto StopProcess(Node& node, TimePoint now) -> void;
  auto FreezeProcess(Node& node, Duration duration, TimePoint now) -> void;
  auto SetStoreProxyModesForDuration(ProxyMode mode,
                                     Duration duration,
                                     TimePoint now) -> void;
  auto ReplaceTarget(std::size_t target, bool reuse, TimePoint now) -> void;
  auto ApplyReuse(const ReuseEvent& event, TimePoint now) -> void;
  [[nodiscard]] auto FindTargetToHandOver(const std::string& service,
                                          std::size_t first) const
      -> std::optional<std::size_t>;
  auto StartHandOver(std::size_t target, const ReuseEvent& event, TimePoint now)
      -> void;
  auto EndFormerTarget(std::size_t target, const ReuseEvent& event) -> void;
  auto StopFormerAgent(std::size_t target, TimePoint held_until) -> void;
  auto StartNextTarget(std::size_t target, const ReuseEvent& event) -> void;
  [[nodiscard]] auto HasRestartKind(RestartKind kind) const -> bool;
  auto AddMovedRoute() -> void;
  [[nodiscard]] auto GetCalledRoutes() const -> std::vector<CalledRoute>;
  auto AddClock(Node& node) -> void;
  auto StartRestartSeries() -> void;
  auto CheckClocks() -> void;
  auto ApplyRestartEvent(const RestartEvent& event, TimePoint now) -> void;
  auto StepClockOfProcess(const RestartEvent& event, TimePoint now) -> void;
  [[nodiscard]] auto CanTargetRestart(std::size_t target) const -> bool;
  [[nodiscard]] auto FindTargetToRestart(std::size_t first) const
      -> std::optional<std::size_t>;
  auto PrepareLateMessages(std::size_t target, const RestartEvent& event)
      -> std::vector<transport::HttpRequest>;
  auto TakeTargetToRestart(std::size_t first) -> std::optional<std::size_t>;
  // Returns the time by which the clock of an unheard start is ahead.
  auto ComputeClockLead(std::size_t target, const RestartEvent& event)
      -> Duration;
  auto PlayUnheardStart(const RestartEvent& event, TimePoint now) -> void;
  auto PlayDeregistrationAtStop(const RestartEvent& event, TimePoint now)
      -> void;
  auto DrainAndStopAgent(std::size_t target,
                         const transport::HttpRequest& deregistration) -> void;
  auto EndTargetWithLateMessages(const RestartEvent& event, TimePoint now)
      -> void;
  auto SendLateMessage(std::size_t target,
                       const transport::HttpRequest& message,
                       std::function<void(bool is_answered)> on_end) -> void;
  auto SendToNextStart(std::size_t target,
                       const transport::HttpRequest& message,
                       int start_count,
                       TimePoint until) -> void;
  auto StartTargetAgain(std::size_t target, const RestartEvent& event) -> void;
  auto StopInTurn(std::size_t first,
                  std::size_t count,
                  Duration begin,
                  Duration gap) -> void;
  auto StopWithinSeries(Node& node) -> void;
  auto ReplaceMostTargets(const RestartEvent& event, TimePoint now) -> void;
  auto ReplaceTargetLater(std::size_t target,
                          const RestartEvent& event,
                          Duration delay) -> void;
  auto EndTarget(std::size_t target, const RestartEvent& event) -> void;
  auto MoveRoute(const RestartEvent& event, TimePoint now) -> void;
  [[nodiscard]] auto FindOtherService(const std::string& service) const
      -> std::string;
  auto StoreNewRoutes(TimePoint now) -> void;
  auto AddChangingRoutes() -> void;
  auto ScheduleOperatorEvents(Duration start) -> void;
  auto ScheduleScaleIns(Duration start) -> void;
  auto TakeTargetAway(std::size_t target, Duration away) -> void;
  auto TakeZoneOut(const std::string& zone) -> void;
  auto ReturnZone(const std::string& zone) -> void;
  auto ChangeRoute(std::size_t route) -> void;
  auto RunAfterDelay(Duration delay, std::function<void()> handler) -> void;
  auto RunPeriodically(Duration interval, std::function<void()> handler)
      -> void;
  [[nodiscard]] auto HasPlant(Plant plant) const -> bool;
  auto SchedulePlants(Duration start, Duration end) -> void;
  auto EndAfterPlantedViolation(TimePoint now) -> void;
  auto ChangeRouteForPlant() -> void;
  auto DropRouteForPlant() -> void;
  auto PlantTargetFaults() -> void;
  auto FindWrongTarget(const FlowPacket& opening, TimePoint now)
      -> std::optional<std::size_t>;
  auto InjectCopy(const FlowPacket& packet, ByteView bytes) -> bool;
  auto SendForgedPackets() -> void;
  auto MakeCallerEvents() -> CallerEvents;
  auto MakeTargetEvents(std::size_t target) -> TargetEvents;
  auto OnOpeningReceived(std::size_t target,
                         const FlowPacket& packet,
                         bool is_known) -> void;
  auto OnFlowPacketReceived(std::size_t target,
                            const FlowPacket& packet,
                            bool holds_flow) -> void;
  auto OnCallerFlowReset(const CallerFlow& flow) -> void;
  auto OnCallerOpeningReset(const CallerFlow& flow) -> void;
  auto OnCallerRequestFinished(const CallerFlow& flow, bool served) -> void;
  [[nodiscard]] auto MakeFlowId(const CallerFlow& flow) const -> FlowId;
  [[nodiscard]] auto FindHolder(const FlowId& flow) const
      -> std::optional<std::size_t>;
  [[nodiscard]] auto IsFlowExempt(const CallerFlow& flow, TimePoint now) const
      -> bool;
  auto FindRecentBalancers(const CallerFlow& flow, TimePoint now)
      -> std::vector<std::string>;
  // Returns the zone of the n-th balancer or target.
  [[nodiscard]] auto GetZone(std::size_t n) const -> std::string {
    return std::string(1, static_cast<char>('a' + n % options_.zones));
  }
  auto RecordEvent(const std::string& event) -> void;
  [[nodiscard]] auto DescribeTarget(std::size_t target) -> std::string;
  [[nodiscard]] auto GetHostAddress(std::uint32_t last) const -> std::uint32_t {
    return options_.network + last;
  }
  auto GetBalancer(std::size_t n) -> Node& {
    return *nodes_[n % options_.balancers];
  }
  auto GetAgent(std::size_t n) -> Node& {
    return *nodes_[options_.balancers + n % options_.targets];
  }

  SoakOptions options_;
  HostPorts ports_;
  asio::io_context io_;
  StoreStandin store_;
  std::unique_ptr<transport::HttpServer> store_server_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<NodeProcess>> ended_processes_;
  std::vector<std::unique_ptr<TargetStandin>> targets_;
  std::vector<CalledRoute> routes_;  ///< Of the first and second service.
  /// Routes that callers use too; one without a service isn't stored.
  std::vector<CalledRoute> changing_routes_;
  std::optional<MovedRoute> moved_route_;
  std::unique_ptr<Callers> callers_;
  InvariantChecker checker_;
  FlowExemptions exemptions_;
  std::vector<std::string> event_history_;
  /// Indices of targets that an event is replacing.
  std::set<std::size_t> handing_over_;
  /// A heartbeat of the last start of each target that an event has ended.
  std::map<std::size_t, transport::HttpRequest> earlier_heartbeats_;
  TimePoint replacement_end_{};  ///< Of the last event kReplaceMost.
  int hand_overs_ = 0;
  // State of planted faults.
  std::unique_ptr<transport::UdpSocket> plant_socket_;
  TimePoint next_injection_{};
  TimePoint route_changed_at_{};
  std::string former_service_;  ///< Of the first changing route.
  std::optional<FlowId> stray_flow_;
  std::size_t stray_target_ = 0;
  TimePoint started_{};
  TimePoint last_tick_{};
  bool in_final_phase_ = false;
};

}  // namespace hawthornbank::soak

#endif  // HAWTHORNBANK_SOAK_WORLD_H_
