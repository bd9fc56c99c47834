#include "hawthornbank/configuration_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "coordination/configuration_internal.h"
#include "coordination/configuration_transfer.h"
#include "hawthornbank/error.h"

namespace hawthornbank {
namespace {

/// Mean interval at which a balancer offers what it has to a random peer.
constexpr std::chrono::milliseconds kGossipInterval{500};
/// Peers that are told at once of a new generation.
constexpr std::size_t kFanout = 4;
/// Offers to an agent that another balancer counts, until it is heard again.
constexpr std::uint32_t kMaxStandbyOffers = 3;
/// Earlier values kept as bases of differences.
constexpr std::size_t kEarlierKept = 4;

auto SendOffer(const ConfigurationStore& store,
               HostId to,
               TimePoint now,
               ConfigurationActions& actions) -> void {
  actions.push_back(
      SendConfiguration{.to = to, .message = detail::MakeOffer(store, now)});
}

auto OfferToRandomPeers(const ConfigurationStore& store,
                        std::size_t count,
                        TimePoint now,
                        Random& random,
                        ConfigurationActions& actions) -> void {
  const auto size = static_cast<std::uint32_t>(store.balancers.size());
  for (std::size_t n = 0; size > 0 && n < count; ++n) {
    const auto peer = store.balancers[random(size)].host;
    if (peer != store.options.self) {
      SendOffer(store, peer, now, actions);
    }
  }
}

/// Offers what is in force to each process below that has not said to have it.
auto OfferToLaggards(ConfigurationStore& store,
                     TimePoint now,
                     ConfigurationActions& actions) -> void {
  const auto ours = GenerationInForce(store);
  for (const auto& [host, report] : store.reports) {
    if (report.ack.generation < ours) {
      SendOffer(store, host, now, actions);
    }
  }
  for (auto& [host, report] : store.standbys) {
    // It may report to another balancer by now.
    if (report.ack.generation < ours && report.unanswered < kMaxStandbyOffers) {
      ++report.unanswered;
      SendOffer(store, host, now, actions);
    }
  }
}

auto TellPeers(ConfigurationStore& store,
               TimePoint now,
               Random& random,
               ConfigurationActions& actions) -> void {
  if (store.options.role == ConfigurationRole::kAgent) {
    detail::ReportToBoth(store, now, actions);
    return;
  }
  OfferToRandomPeers(store, kFanout, now, random, actions);
  for (auto& [host, report] : store.standbys) {
    report.unanswered = 0;
  }
  OfferToLaggards(store, now, actions);
}

/// Notes that the platform stood behind what is in force some time ago.
auto NoteConfirmation(ConfigurationStore& store,
                      const ConfigurationOffer& offer,
                      TimePoint now) -> void {
  if (offer.generation != GenerationInForce(store) ||
      offer.confirmed_age_ms == ConfigurationOffer::kNeverConfirmed) {
    return;
  }
  const auto then = now - std::chrono::milliseconds(offer.confirmed_age_ms);
  store.last_confirmed = std::max(store.last_confirmed.value_or(then), then);
}

/// Remembers the best of several offers while nothing is in force.
auto CollectOffer(ConfigurationStore& store,
                  HostId from,
                  Generation generation,
                  TimePoint now) -> void {
  if (!store.join_deadline) {
    store.join_deadline = now + kJoinWindow;
  }
  if (generation > store.best_offer) {
    store.best_offer = generation;
    store.best_peer = from;
  }
}

auto CountAgent(ConfigurationStore& store,
                HostId from,
                const ConfigurationOffer& offer,
                TimePoint now) -> void {
  store.reports.erase(from);
  store.standbys.erase(from);
  if (offer.report == ReportKind::kLeaves) {
    return;
  }
  auto& below =
      offer.report == ReportKind::kStandby ? store.standbys : store.reports;
  below[from] = ConfigurationReport{.ack = {.generation = offer.generation,
                                            .hosts = 1,
                                            .in_force = 1,
                                            .lagging = {}},
                                    .heard = now};
}

auto OnMessage(ConfigurationStore& store,
               HostId from,
               const ConfigurationOffer& offer,
               TimePoint now,
               Random& /*random*/,
               ConfigurationActions& actions) -> void {
  const auto ours = GenerationInForce(store);
  if (offer.report != ReportKind::kNone) {
    CountAgent(store, from, offer, now);
  } else if (from == detail::CountingBalancer(store)) {
    store.last_answer = now;
  }
  NoteConfirmation(store, offer, now);
  if (offer.generation < ours || offer.report == ReportKind::kReports) {
    SendOffer(store, from, now, actions);
  }
  if (offer.generation > ours) {
    if (ours == Generation{}) {
      CollectOffer(store, from, offer.generation, now);
    } else {
      detail::StartTransfer(store, from, offer.generation, now, actions);
    }
  }
}

auto OnMessage(ConfigurationStore& store,
               HostId from,
               const ConfigurationFetch& fetch,
               TimePoint now,
               Random& /*random*/,
               ConfigurationActions& actions) -> void {
  const auto ours = GenerationInForce(store);
  if (fetch.generation == ours && ours != Generation{}) {
    detail::ServeFetch(store, from, fetch, actions);
  } else if (fetch.generation < ours) {
    SendOffer(store, from, now, actions);
  }
}

auto OnMessage(ConfigurationStore& store,
               HostId from,
               const ConfigurationChunk& chunk,
               TimePoint now,
               Random& random,
               ConfigurationActions& actions) -> void {
  const auto value = detail::TakeChunk(store, from, chunk, now, actions);
  if (value) {
    detail::Adopt(store, *value, false, now, random, actions);
  }
}

auto OnMessage(ConfigurationStore& store,
               HostId from,
               const ConfigurationAck& ack,
               TimePoint now,
               Random& /*random*/,
               ConfigurationActions& actions) -> void {
  detail::TakeReport(store, from, ack, now);
  if (ack.generation < GenerationInForce(store)) {
    SendOffer(store, from, now, actions);
  }
}

auto TickJoin(ConfigurationStore& store,
              TimePoint now,
              ConfigurationActions& actions) -> void {
  if (!store.join_deadline || now < *store.join_deadline) {
    return;
  }
  store.join_deadline.reset();
  if (store.best_offer > GenerationInForce(store)) {
    detail::StartTransfer(store, store.best_peer, store.best_offer, now,
                          actions);
  }
  store.best_offer = Generation{};
}

auto TickGossip(ConfigurationStore& store,
                TimePoint now,
                Random& random,
                ConfigurationActions& actions) -> void {
  if (store.options.role == ConfigurationRole::kAgent ||
      now < store.next_gossip) {
    return;
  }
  store.next_gossip = now + detail::WithJitter(kGossipInterval, random);
  OfferToLaggards(store, now, actions);
  const bool newcomer = store.in_force == nullptr;
  OfferToRandomPeers(store, newcomer ? kFanout : 1, now, random, actions);
}

auto Decode(ConfigurationStore& store, const std::string& value)
    -> std::shared_ptr<const Configuration> {
  try {
    return std::make_shared<const Configuration>(DecodeConfiguration(value));
  } catch (const Error&) {
    ++store.counters.malformed;
    return nullptr;
  }
}

auto KeepEarlier(ConfigurationStore& store) -> void {
  if (store.in_force == nullptr) {
    return;
  }
  store.differences.clear();
  store.earlier[GenerationInForce(store)] = std::move(store.value);
  if (store.earlier.size() > kEarlierKept) {
    store.earlier.erase(store.earlier.begin());
  }
}

}  // namespace

namespace detail {

auto WithJitter(Duration interval, Random& random) -> Duration {
  const auto half = static_cast<double>(interval.count()) / 2;
  return Duration{
      static_cast<Duration::rep>(half + 2 * half * NextFraction(random))};
}

auto MakeOffer(const ConfigurationStore& store, TimePoint now)
    -> ConfigurationOffer {
  ConfigurationOffer offer{.generation = GenerationInForce(store)};
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

auto Adopt(ConfigurationStore& store,
           const std::string& value,
           bool confirmed,
           TimePoint now,
           Random& random,
           ConfigurationActions& actions) -> bool {
  const auto decoded = Decode(store, value);
  if (!decoded) {
    return false;
  }
  const auto ours = GenerationInForce(store);
  if (decoded->generation < ours) {
    ++store.counters.stale_refused;
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
  KeepEarlier(store);
  store.in_force = decoded;
  // One spelling everywhere, so that differences and hashes agree; what peers
  // send has it already.
  store.value = confirmed ? nlohmann::json::parse(value).dump() : value;
  if (store.transfer && store.transfer->generation <= decoded->generation) {
    store.transfer.reset();
  }
  actions.push_back(ConfigurationInForce{.configuration = decoded,
                                         .confirmed = IsConfirmed(store, now)});
  TellPeers(store, now, random, actions);
  return true;
}

}  // namespace detail

auto MakeConfigurationStore(ConfigurationStoreOptions options,
                            TimePoint now,
                            Random& random) -> ConfigurationStore {
  // Many processes may start at once: spread their first calls.
  constexpr std::chrono::milliseconds kStartSpread{2000};
  ConfigurationStore store{.options = std::move(options),
                           .started = now,
                           .next_gossip = now,
                           .next_report = now,
                           .last_answer = now};
  store.platform.next_call =
      now + detail::WithJitter(kStartSpread, random) - kStartSpread / 2;
  store.platform.tokens_at = now;
  detail::ChooseDuties(store);
  return store;
}

auto SetBalancers(ConfigurationStore& store,
                  std::vector<BalancerPeer> balancers) -> void {
  std::sort(balancers.begin(), balancers.end(),
            [](const auto& a, const auto& b) { return a.host < b.host; });
  store.balancers = std::move(balancers);
  detail::ChooseDuties(store);
}

auto TickConfiguration(ConfigurationStore& store,
                       TimePoint now,
                       Random& random,
                       ConfigurationActions& actions) -> void {
  TickJoin(store, now, actions);
  detail::RepeatTransfer(store, now, actions);
  TickGossip(store, now, random, actions);
  detail::TickReport(store, now, random, actions);
  detail::TickPlatform(store, now, random, actions);
}

auto OnConfigurationMessage(ConfigurationStore& store,
                            HostId from,
                            const ConfigurationMessage& message,
                            TimePoint now,
                            Random& random,
                            ConfigurationActions& actions) -> void {
  std::visit(
      [&](const auto& it) { OnMessage(store, from, it, now, random, actions); },
      message);
}

auto OnAcceptedConfiguration(ConfigurationStore& store,
                             const std::string& value,
                             TimePoint now,
                             Random& random,
                             ConfigurationActions& actions) -> void {
  detail::Adopt(store, value, true, now, random, actions);
}

auto GenerationInForce(const ConfigurationStore& store) -> Generation {
  return store.in_force ? store.in_force->generation : Generation{};
}

auto IsConfirmed(const ConfigurationStore& store, TimePoint now) -> bool {
  return store.in_force && store.last_confirmed &&
         now - *store.last_confirmed <= kConfirmationLimit;
}

}  // namespace hawthornbank
