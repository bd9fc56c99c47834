#include <algorithm>
#include <memory>
#include <optional>
#include <variant>

#include "hawthornbank/configuration.h"
#include "hawthornbank/membership.h"
#include "hawthornbank/routing_table.h"
#include "protocol/status_json.h"
#include "transport/clock.h"
#include "transport/configuration_binding.h"
#include "transport/control_channel.h"
#include "transport/daemon.h"
#include "transport/daemon_loop.h"
#include "transport/logging.h"
#include "transport/packet_workers.h"
#include "transport/plan_binding.h"
#include "transport/status_server.h"

namespace hawthornbank::transport {
namespace {

/// Maximum number of balancers that compete for the plan's lease. More
/// candidates would only add calls to the platform.
constexpr std::size_t kMaxPlanLeaseCandidates = 3;

/// Time from the start of a balancer's shutdown to its exit, during which the
/// balancer still forwards packets from the fabric.
constexpr std::chrono::milliseconds kLeaveForwardingTime{2000};

auto MakeMembershipOptions(const Settings& settings) -> MembershipOptions {
  return MembershipOptions{
      .self = BalancerRecord{.id = HostId{HashName(settings.name)},
                             .name = settings.name,
                             .peer = settings.peer,
                             .zone = settings.zone,
                             .region = settings.region,
                             .incarnation = MakeIncarnation()},
      .seeds = settings.balancers,
  };
}

auto MakeWorkerOptions(const Settings& settings) -> WorkerOptions {
  const bool alone =
      std::all_of(settings.balancers.begin(), settings.balancers.end(),
                  [&settings](Endpoint it) { return it == settings.peer; });
  return WorkerOptions{.packet_endpoint = settings.packets,
                       .workers = settings.workers,
                       .cache_entries = settings.flow_cache_entries,
                       .self = settings.peer,
                       .has_no_peers = alone};
}

/// A balancer: one thread runs membership and configuration, worker threads
/// forward packets.
class BalancerDaemon {
 public:
  explicit BalancerDaemon(const Settings& settings)
      : settings_(settings),
        keys_(DeriveKeyRing(settings.key, settings.previous_key)),
        random_(HashName(settings.name)),
        membership_(MakeMembership(MakeMembershipOptions(settings),
                                   GetMonotonicTime())),
        workers_(MakeWorkerOptions(settings), keys_),
        channel_(io_, settings.peer, keys_),
        configuration_binding_(
            io_,
            {.self = settings.peer,
             .role = ConfigurationRole::kBalancer,
             .zone = settings.zone,
             .region = settings.region,
             .platform = settings.platform},
            [this](Endpoint to, const ConfigurationMessage& message) {
              channel_.SendMessage(to, message);
            },
            [this](const Configuration& next) {
              ApplyConfigurationInForce(next);
            }),
        daemon_loop_(
            io_,
            {.on_tick = [this]() { RunPeriodicBalancerWork(); },
             .on_stop =
                 [this](const std::string& reason) { BeginShutdown(reason); },
             .on_forced_stop = []() {}}) {
    if (settings.execute_plan) {
      StartPlanExecution();
    }
  }

  auto RunBalancerDaemon() -> int {
    channel_.StartReceiving(
        [this](Endpoint from, const Message& message) {
          HandleControlMessage(from, message);
        },
        [](const TunnelPacket&) {});

    const StatusServer status(
        io_, settings_.metrics,
        {.status = [this]() { return EncodeStatusJson(); },
         .metrics = [this]() { return CollectMetrics(); }});
    LogEvent(Layer::kCoordination, LogLevel::kInfo, "balancer_started",
             {{"name", settings_.name}, {"zone", settings_.zone}});
    return daemon_loop_.RunUntilStopped();
  }

 private:
  auto StartPlanExecution() -> void {
    const auto& self = membership_.self;
    const auto start = std::to_string(ToInteger(self.incarnation));
    plan_.emplace(
        io_,
        PlanBindingOptions{.region = settings_.region,
                           .platform = settings_.platform,
                           .executor = {.self = self.name + "/" + start}},
        [this](bool with_targets) { return MakePlanView(with_targets); },
        [this](const std::string& value) {
          configuration_binding_.HandleAcceptedConfiguration(value);
        });
  }

  auto MakePlanView(bool with_targets) const -> PlanView {
    PlanView view{.is_membership_ready = IsMembershipReady(membership_),
                  .is_lease_candidate = CompetesForPlanLease()};
    if (with_targets) {
      for (const auto& it : configuration_.services) {
        const auto targets = ListTargets(membership_, it.id);
        view.targets.insert(view.targets.end(), targets.begin(), targets.end());
      }
    }
    return view;
  }

  auto CompetesForPlanLease() const -> bool {
    const auto balancers = ListBalancers(membership_);
    const auto before = std::count_if(
        balancers.begin(), balancers.end(), [this](const BalancerRecord& it) {
          return it.state == BalancerState::kAlive &&
                 it.id < membership_.self.id;
        });
    return static_cast<std::size_t>(before) < kMaxPlanLeaseCandidates;
  }

  auto IsTargetOrderedToRest(const std::string& target) const -> bool {
    const auto contains = [&target](const std::vector<std::string>& names) {
      return std::find(names.begin(), names.end(), target) != names.end();
    };
    return contains(configuration_.resting) &&
           !contains(configuration_.draining);
  }

  auto HandleControlMessage(Endpoint from, const Message& message) -> void {
    const TimePoint now = GetMonotonicTime();
    std::vector<MembershipAction> actions;
    if (const auto* announcement = std::get_if<Announcement>(&message)) {
      OnAnnouncement(membership_, from, *announcement, now, actions);
    } else if (const auto* digest = std::get_if<Digest>(&message)) {
      workers_.SetLastPeerOrPlatformContact(now);
      OnDigestReceived(membership_, from, *digest, now, actions);
    } else if (const auto* hint = std::get_if<FlowHint>(&message)) {
      OnFlowHintReceived(workers_.flow_cache(), hint->flow, hint->owner, now,
                         workers_.counters());
    } else if (const auto* configuration =
                   std::get_if<ConfigurationMessage>(&message)) {
      configuration_binding_.HandleConfigurationMessage(from, *configuration);
    }
    PerformMembershipActions(actions);
  }

  auto PerformMembershipActions(const std::vector<MembershipAction>& actions)
      -> void {
    bool changed = false;
    for (const auto& action : actions) {
      if (const auto* digest = std::get_if<SendDigest>(&action)) {
        channel_.SendMessage(digest->to, digest->digest);
      } else if (const auto* ack = std::get_if<SendAnnouncementAck>(&action)) {
        channel_.SendMessage(ack->to, ack->ack);
      } else if (std::holds_alternative<TargetsChanged>(action)) {
        changed = true;
      } else if (const auto* count =
                     std::get_if<CountMembershipEvent>(&action)) {
        ++membership_event_counts_[GetMembershipEventName(count->event)];
      } else if (const auto* ignored = std::get_if<LogIgnoredRecord>(&action)) {
        LogWithRateLimit(
            ignored_records_, GetMonotonicTime(), Layer::kCoordination,
            LogLevel::kWarn, "record_ignored",
            {{"id", std::to_string(ignored->id)}, {"reason", ignored->reason}});
      }
    }
    if (changed) {
      RebuildRoutingTable();
    }
  }

  auto ApplyConfigurationInForce(const Configuration& next) -> void {
    if (next.generation <= configuration_.generation) {
      return;
    }
    configuration_ = next;
    SetGeneration(membership_, next.generation);
    LogEvent(Layer::kCoordination, LogLevel::kInfo, "configuration_in_force",
             {{"generation", std::to_string(ToInteger(next.generation))},
              {"operation", next.operation}});
    RebuildRoutingTable();
    const auto& stopping = next.stopping;
    if (std::find(stopping.begin(), stopping.end(), settings_.name) !=
        stopping.end()) {
      BeginShutdown("listed as stopping in the configuration");
    }
  }

  auto RebuildRoutingTable() -> void {
    table_ = std::make_shared<const RoutingTable>(BuildRoutingTable(
        configuration_, membership_, *table_, ConvertIncarnationToMonotonicTime,
        GetMonotonicTime()));
    workers_.SetRoutingTable(table_);
  }

  auto RunPeriodicBalancerWork() -> void {
    std::vector<MembershipAction> actions;
    OnMembershipTick(membership_, GetMonotonicTime(), random_, actions);
    PerformMembershipActions(actions);
    configuration_binding_.SetBalancerPeers(ListLiveBalancers());
    configuration_binding_.RunBindingTick();
    if (plan_ && !stopping_) {
      plan_->RunPlanTick(configuration_);
    }
    if (IsConfigurationConfirmed(configuration_binding_.configuration_store(),
                                 GetMonotonicTime())) {
      workers_.SetLastPeerOrPlatformContact(GetMonotonicTime());
    }
    // A balancer that lacks targets or a configuration refuses flows, so the
    // balancer answers the fabric's health checks with "not ready".
    workers_.SetHealthCheckReady(!stopping_ && IsMembershipReady(membership_) &&
                                 configuration_.generation != Generation{});
  }

  auto ListLiveBalancers() const -> std::vector<LiveBalancer> {
    std::vector<LiveBalancer> live;
    for (const auto& it : ListBalancers(membership_)) {
      if (it.state == BalancerState::kAlive ||
          it.state == BalancerState::kSuspect) {
        live.push_back(
            {.host = ConvertEndpointToHostId(it.peer), .zone = it.zone});
      }
    }
    std::sort(live.begin(), live.end(),
              [](const LiveBalancer& a, const LiveBalancer& b) {
                return a.host < b.host;
              });
    return live;
  }

  auto BeginShutdown(const std::string& reason) -> void {
    if (stopping_) {
      return;
    }
    stopping_ = true;
    LogEvent(Layer::kCoordination, LogLevel::kInfo, "balancer_leaving",
             {{"reason", reason}});
    workers_.SetHealthCheckReady(false);
    std::vector<MembershipAction> actions;
    AnnounceShutdown(membership_, actions);
    PerformMembershipActions(actions);
    auto timer =
        std::make_shared<asio::steady_timer>(io_, kLeaveForwardingTime);
    timer->async_wait([this, timer](const asio::error_code&) {
      daemon_loop_.StopDaemonLoop(kGracefulExitCode);
    });
  }

  auto EncodeStatusJson() -> std::string {
    ProcessStatus status{
        .role = "balancer",
        .name = settings_.name,
        .zone = settings_.zone,
        .generation = configuration_.generation,
        .confirmed = IsConfigurationConfirmed(
            configuration_binding_.configuration_store(), GetMonotonicTime()),
        .hosts = CollectHostsStatus(),
        .counters = ConvertMetricsToCounters(CollectMetrics())};
    for (const auto& service : configuration_.services) {
      for (const auto& it : ListTargets(membership_, service.id)) {
        const bool rests = it.state == TargetState::kDraining &&
                           IsTargetOrderedToRest(it.name);
        status.targets.push_back(
            {.name = it.name,
             .service = service.name,
             .zone = it.zone,
             .state = rests ? "resting" : GetTargetStateName(it.state),
             .connections = it.load.connections,
             .slots_busy = it.load.slots_busy});
      }
    }
    for (const auto& it : ListBalancers(membership_)) {
      status.balancers.push_back({.name = it.name,
                                  .zone = it.zone,
                                  .state = GetBalancerStateName(it.state),
                                  .generation = it.generation});
    }
    return EncodeStatus(status);
  }

  auto CollectHostsStatus() const -> HostsStatus {
    const auto sum = CountHostsAtNewestGeneration(
        configuration_binding_.configuration_store(), GetMonotonicTime());
    HostsStatus hosts{.root = FindHostName(GetReportTreeRoot(
                          configuration_binding_.configuration_store())),
                      .generation = sum.generation,
                      .total = sum.hosts,
                      .in_force = sum.in_force};
    for (const auto host : sum.lagging) {
      hosts.lagging.push_back(FindHostName(host));
    }
    return hosts;
  }

  /// @return The name of a balancer, or of the target of an agent; the host's
  ///         endpoint when no name is known.
  auto FindHostName(HostId host) const -> std::string {
    const Endpoint endpoint = ConvertHostIdToEndpoint(host);
    for (const auto& it : ListBalancers(membership_)) {
      if (it.peer == endpoint) {
        return it.name;
      }
    }
    for (const auto& service : configuration_.services) {
      for (const auto& it : ListTargets(membership_, service.id)) {
        if (it.agent == endpoint) {
          return it.name;
        }
      }
    }
    return ToString(endpoint);
  }

  auto CollectMetrics() -> Metrics {
    Metrics metrics;
    AddCountersToMetrics(workers_.counters(), metrics);
    AddCountersToMetrics(channel_.counters(), metrics);
    for (const auto& [name, count] : membership_event_counts_) {
      metrics["membership_" + name] = static_cast<double>(count);
    }
    const auto sum = CountHostsAtNewestGeneration(
        configuration_binding_.configuration_store(), GetMonotonicTime());
    metrics["configuration_hosts_below"] = sum.hosts;
    metrics["configuration_hosts_in_force"] = sum.in_force;
    const auto& configuration =
        configuration_binding_.configuration_store().counters;
    metrics["configuration_stale_refused"] =
        static_cast<double>(configuration.stale_values_rejected);
    metrics["platform_calls"] =
        static_cast<double>(configuration.platform_calls);
    metrics["platform_failures"] =
        static_cast<double>(configuration.platform_failures);
    if (plan_) {
      plan_->AddPlanMetrics(metrics);
    }
    metrics["flow_cache_entries"] =
        static_cast<double>(workers_.flow_cache().CountEntries());
    return metrics;
  }

  Settings settings_;
  KeyRing keys_;
  Random random_;
  asio::io_context io_;
  Membership membership_;
  Configuration configuration_;
  PacketWorkers workers_;
  std::shared_ptr<const RoutingTable> table_ =
      std::make_shared<const RoutingTable>();
  ControlChannel channel_;
  ConfigurationBinding configuration_binding_;
  std::optional<PlanBinding> plan_;
  DaemonLoop daemon_loop_;
  LogRateLimit ignored_records_;
  std::map<std::string, std::uint64_t> membership_event_counts_;
  bool stopping_ = false;
};

}  // namespace

auto RunBalancer(const Settings& settings) -> int {
  return BalancerDaemon(settings).RunBalancerDaemon();
}

}  // namespace hawthornbank::transport
