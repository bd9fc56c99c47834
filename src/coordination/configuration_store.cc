#include "hawthornbank/configuration_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "coordination/configuration_internal.h"
#include "coordination/configuration_transfer.h"
#include "hawthornbank/error.h"

namespace hawthornbank {
namespace {

/// Mean interval at which a balancer offers its generation to a random peer.
constexpr std::chrono::milliseconds kGossipInterval{500};
/// Number of random balancers to which a process offers a new generation at
/// once, and to which a balancer without a configuration gossips at each
/// interval.
constexpr std::size_t kNewGenerationFanout = 4;
/// Maximum number of offers of one generation that a balancer sends as the
/// backup balancer of an agent. Each backup report of the agent sets the number
/// of offers back to 0.
constexpr std::uint32_t kMaxBackupOffers = 3;
/// Maximum number of earlier values kept to compute differences from.
constexpr std::size_t kMaxEarlierValues = 4;

auto SendConfigurationOffer(const ConfigurationStore& store,
                            HostId to,
                            TimePoint now,
                            ConfigurationActions& actions) -> void {
  actions.push_back(SendConfigurationMessage{
      .to = to, .message = detail::MakeConfigurationOffer(store, now)});
}

auto SendOffersToRandomBalancers(const ConfigurationStore& store,
                                 std::size_t count,
                                 TimePoint now,
                                 Random& random,
                                 ConfigurationActions& actions) -> void {
  const auto size = static_cast<std::uint32_t>(store.balancers.size());
  for (std::size_t n = 0; size > 0 && n < count; ++n) {
    const auto peer = store.balancers[random(size)].host;
    if (peer != store.options.self) {
      SendConfigurationOffer(store, peer, now, actions);
    }
  }
}

/// Offers the generation in force to each agent and child balancer whose last
/// report has an older generation. An agent whose last report is a backup
/// report gets at most kMaxBackupOffers offers per report.
auto SendOffersToLaggingHosts(ConfigurationStore& store,
                              TimePoint now,
                              ConfigurationActions& actions) -> void {
  const auto ours = GetGenerationInForce(store);
  for (const auto& [host, report] : store.reports) {
    if (report.status.generation < ours) {
      SendConfigurationOffer(store, host, now, actions);
    }
  }
  for (auto& [host, report] : store.backup_reports) {
    // The agent may by now report to other balancers, so offers are limited.
    if (report.status.generation < ours &&
        report.unanswered_offers < kMaxBackupOffers) {
      ++report.unanswered_offers;
      SendConfigurationOffer(store, host, now, actions);
    }
  }
}

auto AnnounceNewGeneration(ConfigurationStore& store,
                           TimePoint now,
                           Random& random,
                           ConfigurationActions& actions) -> void {
  if (store.options.role == ConfigurationRole::kAgent) {
    detail::SendReportToCountingAndBackupBalancer(store, now, actions);
    return;
  }
  SendOffersToRandomBalancers(store, kNewGenerationFanout, now, random,
                              actions);
  for (auto& [host, report] : store.backup_reports) {
    report.unanswered_offers = 0;
  }
  SendOffersToLaggingHosts(store, now, actions);
}

/// Records when the platform confirmed the generation in force, if an offer of
/// a peer states a later time than this process knows.
auto RecordPeerConfirmation(ConfigurationStore& store,
                            const ConfigurationOffer& offer,
                            TimePoint now) -> void {
  if (offer.generation != GetGenerationInForce(store) ||
      offer.confirmed_age_ms == ConfigurationOffer::kNeverConfirmed) {
    return;
  }
  const auto then = now - std::chrono::milliseconds(offer.confirmed_age_ms);
  store.last_confirmed = std::max(store.last_confirmed.value_or(then), then);
}

/// Remembers the newest offered generation and its sender while this process
/// has no configuration. The first offer starts the join window
/// (kJoinOfferWindow), after which that generation is fetched.
auto RecordNewestOffer(ConfigurationStore& store,
                       HostId from,
                       Generation generation,
                       TimePoint now) -> void {
  if (!store.join_deadline) {
    store.join_deadline = now + kJoinOfferWindow;
  }
  if (generation > store.newest_offered_generation) {
    store.newest_offered_generation = generation;
    store.newest_offer_sender = from;
  }
}

auto RecordOrEraseAgentReport(ConfigurationStore& store,
                              HostId from,
                              const ConfigurationOffer& offer,
                              TimePoint now) -> void {
  store.reports.erase(from);
  store.backup_reports.erase(from);
  if (offer.report == ReportKind::kWithdrawn) {
    return;
  }
  auto& below = offer.report == ReportKind::kBackup ? store.backup_reports
                                                    : store.reports;
  below[from] = ReceivedReport{.status = {.generation = offer.generation,
                                          .hosts = 1,
                                          .in_force = 1,
                                          .lagging = {}},
                               .received = now};
}

auto HandleConfigurationMessage(ConfigurationStore& store,
                                HostId from,
                                const ConfigurationOffer& offer,
                                TimePoint now,
                                Random& /*random*/,
                                ConfigurationActions& actions) -> void {
  const auto ours = GetGenerationInForce(store);
  if (offer.report != ReportKind::kNone) {
    RecordOrEraseAgentReport(store, from, offer, now);
  } else if (from == detail::GetCountingBalancer(store)) {
    store.last_balancer_answer = now;
  }
  RecordPeerConfirmation(store, offer, now);
  if (offer.generation < ours || offer.report == ReportKind::kPrimary) {
    SendConfigurationOffer(store, from, now, actions);
  }
  if (offer.generation > ours) {
    if (ours == Generation{}) {
      RecordNewestOffer(store, from, offer.generation, now);
    } else {
      detail::StartConfigurationTransfer(store, from, offer.generation, now,
                                         actions);
    }
  }
}

auto HandleConfigurationMessage(ConfigurationStore& store,
                                HostId from,
                                const ConfigurationFetch& fetch,
                                TimePoint now,
                                Random& /*random*/,
                                ConfigurationActions& actions) -> void {
  const auto ours = GetGenerationInForce(store);
  if (fetch.generation == ours && ours != Generation{}) {
    detail::SendRequestedParts(store, from, fetch, actions);
  } else if (fetch.generation < ours) {
    SendConfigurationOffer(store, from, now, actions);
  }
}

auto HandleConfigurationMessage(ConfigurationStore& store,
                                HostId from,
                                const ConfigurationPart& part,
                                TimePoint now,
                                Random& random,
                                ConfigurationActions& actions) -> void {
  const auto value =
      detail::HandleConfigurationPart(store, from, part, now, actions);
  if (value) {
    detail::PutConfigurationInForceIfNewer(store, *value, false, now, random,
                                           actions);
  }
}

auto HandleConfigurationMessage(ConfigurationStore& store,
                                HostId from,
                                const ConfigurationStatusReport& status,
                                TimePoint now,
                                Random& /*random*/,
                                ConfigurationActions& actions) -> void {
  detail::RecordChildBalancerReport(store, from, status, now);
  if (status.generation < GetGenerationInForce(store)) {
    SendConfigurationOffer(store, from, now, actions);
  }
}

auto StartTransferAfterJoinWindow(ConfigurationStore& store,
                                  TimePoint now,
                                  ConfigurationActions& actions) -> void {
  if (!store.join_deadline || now < *store.join_deadline) {
    return;
  }
  store.join_deadline.reset();
  if (store.newest_offered_generation > GetGenerationInForce(store)) {
    detail::StartConfigurationTransfer(store, store.newest_offer_sender,
                                       store.newest_offered_generation, now,
                                       actions);
  }
  store.newest_offered_generation = Generation{};
}

auto SendGossipWhenDue(ConfigurationStore& store,
                       TimePoint now,
                       Random& random,
                       ConfigurationActions& actions) -> void {
  if (store.options.role == ConfigurationRole::kAgent ||
      now < store.next_gossip) {
    return;
  }
  store.next_gossip = now + detail::AddJitter(kGossipInterval, random);
  SendOffersToLaggingHosts(store, now, actions);
  const bool newcomer = store.in_force == nullptr;
  SendOffersToRandomBalancers(store, newcomer ? kNewGenerationFanout : 1, now,
                              random, actions);
}

auto DecodeConfigurationOrCountMalformed(ConfigurationStore& store,
                                         const std::string& value)
    -> std::shared_ptr<const Configuration> {
  try {
    return std::make_shared<const Configuration>(DecodeConfiguration(value));
  } catch (const Error&) {
    ++store.counters.malformed;
    return nullptr;
  }
}

auto KeepValueAsDifferenceBase(ConfigurationStore& store) -> void {
  if (store.in_force == nullptr) {
    return;
  }
  store.compressed_payloads.clear();
  store.earlier_values[GetGenerationInForce(store)] = std::move(store.value);
  if (store.earlier_values.size() > kMaxEarlierValues) {
    store.earlier_values.erase(store.earlier_values.begin());
  }
}

}  // namespace

namespace detail {

auto AddJitter(Duration interval, Random& random) -> Duration {
  const auto half = static_cast<double>(interval.count()) / 2;
  return Duration{
      static_cast<Duration::rep>(half + 2 * half * DrawRandomFraction(random))};
}

auto MakeConfigurationOffer(const ConfigurationStore& store, TimePoint now)
    -> ConfigurationOffer {
  ConfigurationOffer offer{.generation = GetGenerationInForce(store)};
  if (store.in_force) {
    offer.operation = store.in_force->operation;
  }
  if (store.last_confirmed) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - *store.last_confirmed);
    offer.confirmed_age_ms =
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(
            age.count(), 0, ConfigurationOffer::kNeverConfirmed - 1));
  }
  return offer;
}

auto PutConfigurationInForceIfNewer(ConfigurationStore& store,
                                    const std::string& value,
                                    bool confirmed,
                                    TimePoint now,
                                    Random& random,
                                    ConfigurationActions& actions) -> bool {
  const auto decoded = DecodeConfigurationOrCountMalformed(store, value);
  if (!decoded) {
    return false;
  }
  const auto ours = GetGenerationInForce(store);
  if (decoded->generation < ours) {
    ++store.counters.stale_values_rejected;
    return false;
  }
  if (confirmed) {
    store.last_confirmed = now;
  }
  if (decoded->generation == ours) {
    return true;
  }
  if (!confirmed) {
    store.last_confirmed.reset();
  }
  KeepValueAsDifferenceBase(store);
  store.in_force = decoded;
  // Every process stores the value in the same JSON form, so that differences
  // and hashes agree. Values from peers already have this JSON form.
  store.value = confirmed ? nlohmann::json::parse(value).dump() : value;
  if (store.transfer && store.transfer->generation <= decoded->generation) {
    store.transfer.reset();
  }
  actions.push_back(
      ApplyConfiguration{.configuration = decoded,
                         .confirmed = IsConfigurationConfirmed(store, now)});
  AnnounceNewGeneration(store, now, random, actions);
  return true;
}

}  // namespace detail

auto MakeConfigurationStore(ConfigurationStoreOptions options,
                            TimePoint now,
                            Random& random) -> ConfigurationStore {
  // Time over which the first platform calls of processes are spread, since
  // many processes may start at once.
  constexpr std::chrono::milliseconds kFirstCallSpread{2000};
  ConfigurationStore store{.options = std::move(options),
                           .started = now,
                           .next_gossip = now,
                           .next_report = now,
                           .last_balancer_answer = now};
  store.platform.next_call =
      now + detail::AddJitter(kFirstCallSpread, random) - kFirstCallSpread / 2;
  store.platform.tokens_updated = now;
  detail::RecomputeWatcherRoleAndReportReceivers(store);
  return store;
}

auto SetLiveBalancers(ConfigurationStore& store,
                      std::vector<LiveBalancer> balancers) -> void {
  std::sort(balancers.begin(), balancers.end(),
            [](const auto& a, const auto& b) { return a.host < b.host; });
  store.balancers = std::move(balancers);
  detail::RecomputeWatcherRoleAndReportReceivers(store);
}

auto OnConfigurationTick(ConfigurationStore& store,
                         TimePoint now,
                         Random& random,
                         ConfigurationActions& actions) -> void {
  StartTransferAfterJoinWindow(store, now, actions);
  detail::RetryOrAbandonStalledTransfer(store, now, actions);
  SendGossipWhenDue(store, now, random, actions);
  detail::SendReportWhenDue(store, now, random, actions);
  detail::CallPlatformWhenDue(store, now, random, actions);
}

auto OnConfigurationMessage(ConfigurationStore& store,
                            HostId from,
                            const ConfigurationMessage& message,
                            TimePoint now,
                            Random& random,
                            ConfigurationActions& actions) -> void {
  std::visit(
      [&](const auto& it) {
        HandleConfigurationMessage(store, from, it, now, random, actions);
      },
      message);
}

auto OnConfigurationAcceptedByPlatform(ConfigurationStore& store,
                                       const std::string& value,
                                       TimePoint now,
                                       Random& random,
                                       ConfigurationActions& actions) -> void {
  detail::PutConfigurationInForceIfNewer(store, value, true, now, random,
                                         actions);
}

auto GetGenerationInForce(const ConfigurationStore& store) -> Generation {
  return store.in_force ? store.in_force->generation : Generation{};
}

auto IsConfigurationConfirmed(const ConfigurationStore& store, TimePoint now)
    -> bool {
  return store.in_force && store.last_confirmed &&
         now - *store.last_confirmed <= kMaxConfirmationAge;
}

}  // namespace hawthornbank
