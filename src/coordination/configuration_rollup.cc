#include <algorithm>
#include <functional>
#include <utility>

#include "coordination/configuration_internal.h"
#include "hawthornbank/configuration_store.h"

namespace hawthornbank {
namespace {

/// Mean interval at which a balancer reports to its parent in the report tree.
constexpr std::chrono::milliseconds kBalancerReportInterval{1000};
/// Mean interval at which an agent reports. An agent without a configuration
/// uses kBalancerReportInterval.
constexpr std::chrono::milliseconds kAgentReportInterval{4000};
/// Age after which a received report no longer counts and may be erased.
constexpr std::chrono::seconds kReportLifetime{15};
/// Age after which a backup balancer erases an agent's report.
constexpr std::chrono::seconds kBackupReportLifetime{90};
/// Length of an agent's report cycle, in reports.
constexpr std::uint32_t kReportsPerCycle = 8;
/// Number of reports at the start of each cycle that the agent also sends to
/// the backup balancer; two, so that one may be lost.
constexpr std::uint32_t kBackupReportsPerCycle = 2;
/// Time without an offer from the balancer that counts an agent, after which
/// the agent reports to the next balancer in `report_balancers`.
constexpr std::chrono::milliseconds kBalancerTimeout{9000};
/// Maximum size of `report_balancers`.
constexpr std::size_t kMaxReportBalancers = 3;
/// Maximum number of balancers that report to the same parent in the report
/// tree. The root and three levels below the root hold 585 balancers.
constexpr std::size_t kReportTreeFanIn = 8;

/// @return Whether this process ranks among the first kWatchersPerZone
///     balancers of its zone by rendezvous hash.
auto RanksAmongZoneWatchers(const ConfigurationStore& store) -> bool {
  const auto& self = store.options;
  if (self.role == ConfigurationRole::kAgent) {
    return false;
  }
  const auto rank = [&self](HostId host) {
    return HashName(self.zone + "/" + std::to_string(ToInteger(host)));
  };
  const auto ours = rank(self.self);
  const auto better = std::count_if(
      store.balancers.begin(), store.balancers.end(), [&](const auto& peer) {
        return peer.zone == self.zone && rank(peer.host) > ours;
      });
  return static_cast<std::size_t>(better) < kWatchersPerZone;
}

/// @return The balancers that this agent may report to: the highest-ranked ones
///     by rendezvous hash, best first.
auto ChooseReportBalancers(const ConfigurationStore& store)
    -> std::vector<HostId> {
  std::vector<std::pair<std::uint64_t, HostId>> ranks;
  for (const auto& it : store.balancers) {
    const auto name = std::to_string(ToInteger(store.options.self)) + "/" +
                      std::to_string(ToInteger(it.host));
    ranks.emplace_back(HashName(name), it.host);
  }
  const auto count = std::min(ranks.size(), kMaxReportBalancers);
  std::partial_sort(ranks.begin(),
                    ranks.begin() + static_cast<std::ptrdiff_t>(count),
                    ranks.end(), std::greater<>());
  std::vector<HostId> targets;
  for (std::size_t n = 0; n < count; ++n) {
    targets.push_back(ranks[n].second);
  }
  return targets;
}

/// @return The parent of this balancer in the report tree, which is built from
///     the sorted live balancers; 0 for the root and for a balancer that is
///     not listed as live.
auto FindReportParent(const ConfigurationStore& store) -> HostId {
  const auto it = std::find_if(store.balancers.begin(), store.balancers.end(),
                               [&store](const LiveBalancer& peer) {
                                 return peer.host == store.options.self;
                               });
  const auto rank =
      static_cast<std::size_t>(std::distance(store.balancers.begin(), it));
  if (it == store.balancers.end() || rank == 0) {
    return HostId{};
  }
  return store.balancers[(rank - 1) / kReportTreeFanIn].host;
}

auto EraseExpiredReports(ConfigurationStore& store, TimePoint now) -> void {
  std::erase_if(store.reports, [now](const auto& it) {
    return now - it.second.received > kReportLifetime;
  });
  std::erase_if(store.backup_reports, [now](const auto& it) {
    return now - it.second.received > kBackupReportLifetime;
  });
}

auto SendAgentReport(const ConfigurationStore& store,
                     HostId to,
                     ReportKind kind,
                     TimePoint now,
                     ConfigurationActions& actions) -> void {
  if (to == HostId{}) {
    return;
  }
  auto offer = detail::MakeConfigurationOffer(store, now);
  offer.report = kind;
  actions.push_back(
      SendConfigurationMessage{.to = to, .message = std::move(offer)});
}

auto AppendLaggingHostUpToLimit(ConfigurationStatusReport& sum, HostId host)
    -> void {
  if (sum.lagging.size() < kMaxLaggingHosts) {
    sum.lagging.push_back(host);
  }
}

}  // namespace

namespace detail {

auto RecomputeWatcherRoleAndReportReceivers(ConfigurationStore& store) -> void {
  store.is_platform_watcher = RanksAmongZoneWatchers(store);
  if (store.options.role == ConfigurationRole::kAgent) {
    auto choices = ChooseReportBalancers(store);
    if (choices != store.report_balancers) {
      store.report_balancers = std::move(choices);
      store.reports_sent = 0;
    }
  }
}

auto GetCountingBalancer(const ConfigurationStore& store) -> HostId {
  const auto& choices = store.report_balancers;
  return choices.empty()
             ? HostId{}
             : choices[store.report_balancer_index % choices.size()];
}

auto SendReportToCountingBalancer(const ConfigurationStore& store,
                                  ReportKind kind,
                                  TimePoint now,
                                  ConfigurationActions& actions) -> void {
  SendAgentReport(store, GetCountingBalancer(store), kind, now, actions);
}

auto SendReportToCountingAndBackupBalancer(const ConfigurationStore& store,
                                           TimePoint now,
                                           ConfigurationActions& actions)
    -> void {
  SendReportToCountingBalancer(store, ReportKind::kPrimary, now, actions);
  const auto& choices = store.report_balancers;
  if (choices.size() > 1) {
    const auto backup =
        choices[(store.report_balancer_index + 1) % choices.size()];
    SendAgentReport(store, backup, ReportKind::kBackup, now, actions);
  }
}

auto SendReportWhenDue(ConfigurationStore& store,
                       TimePoint now,
                       Random& random,
                       ConfigurationActions& actions) -> void {
  if (now < store.next_report) {
    return;
  }
  const bool slow = store.options.role == ConfigurationRole::kAgent &&
                    store.in_force != nullptr;
  store.next_report =
      now +
      AddJitter(slow ? kAgentReportInterval : kBalancerReportInterval, random);
  if (store.options.role == ConfigurationRole::kAgent) {
    if (now - store.last_balancer_answer > kBalancerTimeout) {
      SendReportToCountingBalancer(store, ReportKind::kWithdrawn, now, actions);
      store.last_balancer_answer = now;
      ++store.report_balancer_index;
      store.reports_sent = 0;
    }
    if (store.reports_sent++ % kReportsPerCycle < kBackupReportsPerCycle) {
      SendReportToCountingAndBackupBalancer(store, now, actions);
    } else {
      SendReportToCountingBalancer(store, ReportKind::kPrimary, now, actions);
    }
    return;
  }
  EraseExpiredReports(store, now);
  const auto parent = FindReportParent(store);
  if (parent != HostId{}) {
    actions.push_back(SendConfigurationMessage{
        .to = parent, .message = CountHostsAtNewestGeneration(store, now)});
  }
}

auto RecordChildBalancerReport(ConfigurationStore& store,
                               HostId from,
                               const ConfigurationStatusReport& status,
                               TimePoint now) -> void {
  store.reports[from] = ReceivedReport{.status = status, .received = now};
}

}  // namespace detail

auto CountHostsAtNewestGeneration(const ConfigurationStore& store,
                                  TimePoint now) -> ConfigurationStatusReport {
  ConfigurationStatusReport sum{.generation = GetGenerationInForce(store),
                                .hosts = 1,
                                .in_force = 1,
                                .lagging = {}};
  for (const auto& [host, report] : store.reports) {
    if (now - report.received <= kReportLifetime) {
      sum.generation = std::max(sum.generation, report.status.generation);
    }
  }
  if (sum.generation == Generation{} ||
      sum.generation != GetGenerationInForce(store)) {
    sum.in_force = 0;
    AppendLaggingHostUpToLimit(sum, store.options.self);
  }
  for (const auto& [host, report] : store.reports) {
    if (now - report.received > kReportLifetime) {
      continue;
    }
    sum.hosts += report.status.hosts;
    if (report.status.generation != sum.generation ||
        sum.generation == Generation{}) {
      AppendLaggingHostUpToLimit(sum, host);
      continue;
    }
    sum.in_force += report.status.in_force;
    for (const auto laggard : report.status.lagging) {
      AppendLaggingHostUpToLimit(sum, laggard);
    }
  }
  return sum;
}

auto GetReportTreeRoot(const ConfigurationStore& store) -> HostId {
  return store.balancers.empty() ? HostId{} : store.balancers.front().host;
}

}  // namespace hawthornbank
