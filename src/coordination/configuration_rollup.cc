#include <algorithm>
#include <functional>
#include <utility>

#include "coordination/configuration_internal.h"
#include "hawthornbank/configuration_store.h"

namespace hawthornbank {
namespace {

/// Mean interval at which balancers report to their parent.
constexpr std::chrono::milliseconds kReportInterval{1000};
/// Mean interval at which agents report; one with nothing asks more often.
constexpr std::chrono::milliseconds kAgentReportInterval{4000};
/// Silence after which a report no longer counts.
constexpr std::chrono::seconds kReportLifetime{15};
/// Silence after which a standby forgets an agent.
constexpr std::chrono::seconds kStandbyLifetime{90};
/// Of a cycle of reports, the first ones go to the standby too; two, so that
/// one may be lost.
constexpr std::uint32_t kReportCycle = 8;
constexpr std::uint32_t kStandbyReports = 2;
/// Silence after which an agent reports to its next balancer.
constexpr std::chrono::milliseconds kBalancerTimeout{9000};
/// Balancers that an agent chooses from.
constexpr std::size_t kReportChoices = 3;
/// Children of a balancer in the tree of reports: three levels hold 585.
constexpr std::size_t kTreeFanIn = 8;

/// @return Whether this process is among its zone's first by rendezvous hash.
auto ChooseWatcher(const ConfigurationStore& store) -> bool {
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

/// @return The balancers that may count an agent, by rendezvous hash.
auto ChooseReportTargets(const ConfigurationStore& store)
    -> std::vector<HostId> {
  std::vector<std::pair<std::uint64_t, HostId>> ranks;
  for (const auto& it : store.balancers) {
    const auto name = std::to_string(ToInteger(store.options.self)) + "/" +
                      std::to_string(ToInteger(it.host));
    ranks.emplace_back(HashName(name), it.host);
  }
  const auto count = std::min(ranks.size(), kReportChoices);
  std::partial_sort(ranks.begin(),
                    ranks.begin() + static_cast<std::ptrdiff_t>(count),
                    ranks.end(), std::greater<>());
  std::vector<HostId> targets;
  for (std::size_t n = 0; n < count; ++n) {
    targets.push_back(ranks[n].second);
  }
  return targets;
}

/// @return The parent in the tree over the sorted live balancers, or 0.
auto ReportParent(const ConfigurationStore& store) -> HostId {
  const auto it = std::find_if(store.balancers.begin(), store.balancers.end(),
                               [&store](const BalancerPeer& peer) {
                                 return peer.host == store.options.self;
                               });
  const auto rank =
      static_cast<std::size_t>(std::distance(store.balancers.begin(), it));
  if (it == store.balancers.end() || rank == 0) {
    return HostId{};
  }
  return store.balancers[(rank - 1) / kTreeFanIn].host;
}

auto DropOldReports(ConfigurationStore& store, TimePoint now) -> void {
  std::erase_if(store.reports, [now](const auto& it) {
    return now - it.second.heard > kReportLifetime;
  });
  std::erase_if(store.standbys, [now](const auto& it) {
    return now - it.second.heard > kStandbyLifetime;
  });
}

auto SendReport(const ConfigurationStore& store,
                HostId to,
                ReportKind kind,
                TimePoint now,
                ConfigurationActions& actions) -> void {
  if (to == HostId{}) {
    return;
  }
  auto offer = detail::MakeOffer(store, now);
  offer.report = kind;
  actions.push_back(SendConfiguration{.to = to, .message = std::move(offer)});
}

auto NameLaggard(ConfigurationAck& sum, HostId host) -> void {
  if (sum.lagging.size() < kMaxLagging) {
    sum.lagging.push_back(host);
  }
}

}  // namespace

namespace detail {

auto ChooseDuties(ConfigurationStore& store) -> void {
  store.watcher = ChooseWatcher(store);
  if (store.options.role == ConfigurationRole::kAgent) {
    auto choices = ChooseReportTargets(store);
    if (choices != store.report_choices) {
      store.report_choices = std::move(choices);
      store.reports_sent = 0;
    }
  }
}

auto CountingBalancer(const ConfigurationStore& store) -> HostId {
  const auto& choices = store.report_choices;
  return choices.empty() ? HostId{}
                         : choices[store.report_choice % choices.size()];
}

auto ReportToBalancer(const ConfigurationStore& store,
                      ReportKind kind,
                      TimePoint now,
                      ConfigurationActions& actions) -> void {
  SendReport(store, CountingBalancer(store), kind, now, actions);
}

auto ReportToBoth(const ConfigurationStore& store,
                  TimePoint now,
                  ConfigurationActions& actions) -> void {
  ReportToBalancer(store, ReportKind::kReports, now, actions);
  const auto& choices = store.report_choices;
  if (choices.size() > 1) {
    const auto standby = choices[(store.report_choice + 1) % choices.size()];
    SendReport(store, standby, ReportKind::kStandby, now, actions);
  }
}

auto TickReport(ConfigurationStore& store,
                TimePoint now,
                Random& random,
                ConfigurationActions& actions) -> void {
  if (now < store.next_report) {
    return;
  }
  const bool slow = store.options.role == ConfigurationRole::kAgent &&
                    store.in_force != nullptr;
  store.next_report =
      now + WithJitter(slow ? kAgentReportInterval : kReportInterval, random);
  if (store.options.role == ConfigurationRole::kAgent) {
    if (now - store.last_answer > kBalancerTimeout) {
      ReportToBalancer(store, ReportKind::kLeaves, now, actions);
      store.last_answer = now;
      ++store.report_choice;
      store.reports_sent = 0;
    }
    if (store.reports_sent++ % kReportCycle < kStandbyReports) {
      ReportToBoth(store, now, actions);
    } else {
      ReportToBalancer(store, ReportKind::kReports, now, actions);
    }
    return;
  }
  DropOldReports(store, now);
  const auto parent = ReportParent(store);
  if (parent != HostId{}) {
    actions.push_back(
        SendConfiguration{.to = parent, .message = SumUpInForce(store, now)});
  }
}

auto TakeReport(ConfigurationStore& store,
                HostId from,
                const ConfigurationAck& ack,
                TimePoint now) -> void {
  store.reports[from] = ConfigurationReport{.ack = ack, .heard = now};
}

}  // namespace detail

auto SumUpInForce(const ConfigurationStore& store, TimePoint now)
    -> ConfigurationAck {
  ConfigurationAck sum{.generation = GenerationInForce(store),
                       .hosts = 1,
                       .in_force = 1,
                       .lagging = {}};
  for (const auto& [host, report] : store.reports) {
    if (now - report.heard <= kReportLifetime) {
      sum.generation = std::max(sum.generation, report.ack.generation);
    }
  }
  if (sum.generation == Generation{} ||
      sum.generation != GenerationInForce(store)) {
    sum.in_force = 0;
    NameLaggard(sum, store.options.self);
  }
  for (const auto& [host, report] : store.reports) {
    if (now - report.heard > kReportLifetime) {
      continue;
    }
    sum.hosts += report.ack.hosts;
    if (report.ack.generation != sum.generation ||
        sum.generation == Generation{}) {
      NameLaggard(sum, host);
      continue;
    }
    sum.in_force += report.ack.in_force;
    for (const auto laggard : report.ack.lagging) {
      NameLaggard(sum, laggard);
    }
  }
  return sum;
}

auto ReportRoot(const ConfigurationStore& store) -> HostId {
  return store.balancers.empty() ? HostId{} : store.balancers.front().host;
}

}  // namespace hawthornbank
