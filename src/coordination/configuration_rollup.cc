#include <algorithm>
#include <functional>
#include <utility>

#include "coordination/configuration_internal.h"
#include "hawthornbank/configuration_store.h"

namespace hawthornbank {
namespace {

/// Mean interval of reports.
constexpr std::chrono::milliseconds kReportInterval{1000};
/// Silence after which a report no longer counts.
constexpr std::chrono::seconds kReportLifetime{5};
/// Silence after which an agent reports to its next balancer.
constexpr std::chrono::milliseconds kBalancerTimeout{3500};
/// Balancers that an agent chooses from.
constexpr std::size_t kReportChoices = 3;
/// Children of a balancer in the tree of reports: three levels hold 585.
constexpr std::size_t kTreeFanIn = 8;

/// @return The balancer that counts an agent, chosen by rendezvous hash.
auto ChosenBalancer(const ConfigurationStore& store) -> HostId {
  std::vector<std::pair<std::uint64_t, HostId>> ranks;
  for (const auto& it : store.balancers) {
    const auto name = std::to_string(ToInteger(store.options.self)) + "/" +
                      std::to_string(ToInteger(it.host));
    ranks.emplace_back(HashName(name), it.host);
  }
  const auto choices = std::min(ranks.size(), kReportChoices);
  if (choices == 0) {
    return HostId{};
  }
  std::partial_sort(ranks.begin(),
                    ranks.begin() + static_cast<std::ptrdiff_t>(choices),
                    ranks.end(), std::greater<>());
  return ranks[store.report_choice % choices].second;
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
}

auto NameLaggard(ConfigurationAck& sum, HostId host) -> void {
  if (sum.lagging.size() < kMaxLagging) {
    sum.lagging.push_back(host);
  }
}

}  // namespace

namespace detail {

auto ReportToBalancer(const ConfigurationStore& store,
                      ReportKind kind,
                      TimePoint now,
                      ConfigurationActions& actions) -> void {
  const auto balancer = ChosenBalancer(store);
  if (balancer == HostId{}) {
    return;
  }
  auto offer = MakeOffer(store, now);
  offer.report = kind;
  actions.push_back(
      SendConfiguration{.to = balancer, .message = std::move(offer)});
}

auto TickReport(ConfigurationStore& store,
                TimePoint now,
                Random& random,
                ConfigurationActions& actions) -> void {
  if (now < store.next_report) {
    return;
  }
  store.next_report = now + WithJitter(kReportInterval, random);
  if (store.options.role == ConfigurationRole::kAgent) {
    if (now - store.last_answer > kBalancerTimeout) {
      ReportToBalancer(store, ReportKind::kLeaves, now, actions);
      store.last_answer = now;
      ++store.report_choice;
    }
    ReportToBalancer(store, ReportKind::kReports, now, actions);
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
