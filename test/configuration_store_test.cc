#include "hawthornbank/configuration_store.h"

#include "common/configuration_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;
using bench::ConfigurationFixture;

namespace {

auto MakeConfigurationValue(std::uint64_t generation, std::size_t services = 2)
    -> std::string {
  Configuration configuration{.generation = Generation{generation},
                              .operation = "op-" + std::to_string(generation),
                              .author = "ana"};
  for (std::size_t n = 0; n < services; ++n) {
    configuration.services.push_back(Service{
        .id = ServiceId{static_cast<std::uint32_t>(n + 1)},
        .name = "service-" + std::to_string(n),
        .address = Endpoint{.address = 1, .port = 5683},
        .weight = n == 0 ? static_cast<std::uint32_t>(generation) : 100});
  }
  return EncodeConfiguration(configuration);
}

/// A balancer that receives messages and platform answers from the test.
struct SingleProcess {
  Random random{1};
  TimePoint now{10s};
  ConfigurationActions actions;
  ConfigurationStore store =
      MakeConfigurationStore({.self = HostId{1}, .zone = "a"},
                             TimePoint{},
                             random);

  auto ReceiveOffer(std::uint64_t from, std::uint64_t generation) -> void {
    OnConfigurationMessage(store, HostId{from},
                           ConfigurationOffer{Generation{generation}}, now,
                           random, actions);
  }
  auto ReceivePlatformAnswer(const PlatformAnswer& answer) -> void {
    OnPlatformAnswer(store, answer, now, random, actions);
  }
  auto ReceivePlatformValue(std::uint64_t version, std::uint64_t generation)
      -> void {
    ReceivePlatformAnswer({.was_answered = true,
                           .version = version,
                           .value = MakeConfigurationValue(generation)});
  }
  auto ClearActionsAndRunTick() -> void {
    actions.clear();
    OnConfigurationTick(store, now, random, actions);
  }
  template <class Action>
  auto FindLastActionOfType() const -> const Action* {
    const Action* found = nullptr;
    for (const auto& it : actions) {
      const auto* action = std::get_if<Action>(&it);
      found = action != nullptr ? action : found;
    }
    return found;
  }
};

}  // namespace

TEST_GROUP(ConfigurationStore){};

TEST(ConfigurationStore, ConfigurationReachesEveryProcessOverLossyLinks) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    ConfigurationFixture fixture({.seed = seed});
    fixture.RunFor(3s);
    fixture.StoreOnPlatform(MakeConfigurationValue(1));
    CHECK(fixture.RunUntilGenerationInForce(Generation{1}, 10s) < 3s);
  }
}

TEST(ConfigurationStore, ReportTreeCountsEveryProcessOnce) {
  ConfigurationFixture fixture({.loss = 0});
  fixture.StoreOnPlatform(MakeConfigurationValue(1));
  fixture.RunFor(4s);
  const auto root = ToInteger(GetReportTreeRoot(fixture.nodes[0].store)) - 1;
  const auto sum = CountHostsAtNewestGeneration(fixture.nodes[root].store,
                                                fixture.network.now());
  LONGS_EQUAL(13, sum.hosts);
  LONGS_EQUAL(13, sum.in_force);
  LONGS_EQUAL(0, sum.lagging.size());
}

TEST(ConfigurationStore,
     NewGenerationReachesEveryProcessInThreeSecondsAfterABalancerDied) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6}) {
    for (std::size_t dead = 0; dead < 3; ++dead) {
      ConfigurationFixture fixture({.seed = seed});
      fixture.StoreOnPlatform(MakeConfigurationValue(1));
      fixture.RunUntilGenerationInForce(Generation{1}, 60s);
      fixture.RunFor(10s);
      fixture.KillProcess(dead);
      fixture.RunFor(1s);
      fixture.StoreOnPlatform(MakeConfigurationValue(2));
      CHECK(fixture.RunUntilGenerationInForce(Generation{2}, 30s) < 3s);
    }
  }
}

TEST(ConfigurationStore, StatusReportListsTheLaggingHost) {
  ConfigurationFixture fixture({.loss = 0});
  fixture.StoreOnPlatform(MakeConfigurationValue(1));
  fixture.RunFor(8s);
  fixture.network.SetLinkRule([](std::uint64_t, std::uint64_t to) {
    return bench::Link{.loss = to == 7 ? 1.0 : 0.0};
  });
  fixture.StoreOnPlatform(MakeConfigurationValue(2));
  fixture.RunFor(4s);
  const auto sum = CountHostsAtNewestGeneration(fixture.nodes[0].store,
                                                fixture.network.now());
  LONGS_EQUAL(13, sum.hosts);
  LONGS_EQUAL(12, sum.in_force);
  LONGS_EQUAL(1, sum.lagging.size());
  CHECK(sum.lagging[0] == HostId{8});
}

TEST(ConfigurationStore, LargeValuesArriveInPartsOverLossyLinks) {
  ConfigurationFixture fixture({.loss = 0.1});
  const auto value = MakeConfigurationValue(1, 410);
  CHECK(value.size() > 80000);
  fixture.StoreOnPlatform(value);
  CHECK(fixture.RunUntilGenerationInForce(Generation{1}, 30s) < 30s);
  STRCMP_EQUAL(value.c_str(), fixture.nodes[12].store.value.c_str());
  for (auto& node : fixture.nodes) {
    node.bytes = 0;
  }
  fixture.StoreOnPlatform(MakeConfigurationValue(2, 410));
  fixture.RunFor(10s);
  LONGS_EQUAL(13, fixture.CountProcessesInForce(Generation{2}));
  // Generation 2 is sent as a difference, which is much smaller than the value.
  CHECK(fixture.nodes[12].bytes < value.size() / 4);
}

TEST(ConfigurationStore, ProcessRejectsOlderGenerationsFromPlatformAndPeers) {
  SingleProcess single;
  single.ReceivePlatformValue(5, 5);
  single.ReceivePlatformAnswer({.was_answered = true, .version = 5});
  CHECK(GetGenerationInForce(single.store) == Generation{5});
  single.ReceivePlatformValue(4, 4);
  CHECK(GetGenerationInForce(single.store) == Generation{5});
  LONGS_EQUAL(1, single.store.counters.stale_values_rejected);
  single.actions.clear();
  single.ReceiveOffer(2, 4);
  // The process offers generation 5 to the peer with the older generation, and
  // fetches nothing from that peer.
  const auto* send = single.FindLastActionOfType<SendConfigurationMessage>();
  CHECK(std::get<ConfigurationOffer>(send->message).generation ==
        Generation{5});
  CHECK(!single.store.transfer);
}

TEST(ConfigurationStore, NewProcessVerifiesAReadByAWatchBeforeUse) {
  SingleProcess single;
  single.ReceivePlatformValue(4, 4);
  CHECK(!single.store.in_force);
  single.ClearActionsAndRunTick();
  const auto* watch = single.FindLastActionOfType<WatchConfigurationObject>();
  LONGS_EQUAL(4, watch->from);
  LONGS_EQUAL(0, watch->timeout.count());
  single.ReceivePlatformValue(5, 5);
  CHECK(GetGenerationInForce(single.store) == Generation{5});
}

TEST(ConfigurationStore, NewProcessFetchesTheNewestOfferOfTheJoinWindow) {
  SingleProcess single;
  single.ReceiveOffer(2, 4);
  single.ReceiveOffer(3, 5);
  single.ClearActionsAndRunTick();
  CHECK(!single.store.transfer);
  single.now += kJoinOfferWindow;
  single.ClearActionsAndRunTick();
  CHECK(single.store.transfer->from == HostId{3});
  CHECK(single.store.transfer->generation == Generation{5});
}

TEST(ConfigurationStore, ProcessDiscardsACorruptTransfer) {
  SingleProcess single;
  single.ReceiveOffer(2, 5);
  single.now += kJoinOfferWindow;
  single.ClearActionsAndRunTick();
  const auto value = MakeConfigurationValue(5, 1);
  ConfigurationPart part{.generation = Generation{5},
                         .hash = HashName(value) + 1,
                         .count = 1,
                         .index = 0,
                         .bytes = value};
  OnConfigurationMessage(single.store, HostId{2}, part, single.now,
                         single.random, single.actions);
  CHECK(!single.store.in_force);
  LONGS_EQUAL(1, single.store.counters.corrupt_transfers);
}

TEST(ConfigurationStore, FailedPlatformCallsAreRetriedWithBackoff) {
  SingleProcess single;
  const auto end = single.now + 60s;
  for (; single.now < end; single.now += 100ms) {
    single.ClearActionsAndRunTick();
    if (single.FindLastActionOfType<ReadConfigurationObject>() != nullptr) {
      single.ReceivePlatformAnswer({.was_answered = false});
    }
  }
  const auto calls = single.store.counters.platform_calls;
  CHECK(calls >= 6);
  CHECK(calls <= 20);
}

TEST(ConfigurationStore, ProcessReadsTheObjectAgainWhenTheWatchVersionExpired) {
  SingleProcess single;
  single.ReceivePlatformValue(5, 5);
  single.ReceivePlatformAnswer({.was_answered = true, .version = 5});
  single.ReceivePlatformAnswer({.was_answered = true, .history_expired = true});
  single.now += 2s;
  single.ClearActionsAndRunTick();
  CHECK(single.FindLastActionOfType<ReadConfigurationObject>() != nullptr);
}

TEST(ConfigurationStore, EachZoneHasTwoPlatformWatchers) {
  ConfigurationFixture fixture({.balancers = 60, .agents = 0, .zones = 6});
  std::size_t watchers = 0;
  for (const auto& node : fixture.nodes) {
    watchers += IsPlatformWatcher(node.store) ? 1 : 0;
  }
  LONGS_EQUAL(6 * kWatchersPerZone, watchers);
}

TEST(ConfigurationStore,
     ProcessRestartedInAnOutageGetsTheConfigurationUnconfirmed) {
  ConfigurationFixture fixture({});
  fixture.StoreOnPlatform(MakeConfigurationValue(1));
  fixture.RunFor(5s);
  CHECK(
      IsConfigurationConfirmed(fixture.nodes[12].store, fixture.network.now()));
  fixture.platform.down = true;
  fixture.RunFor(60s);
  LONGS_EQUAL(13, fixture.CountProcessesInForce(Generation{1}));
  fixture.RestartProcess(0);
  fixture.RestartProcess(12);
  fixture.RunFor(4s);
  LONGS_EQUAL(13, fixture.CountProcessesInForce(Generation{1}));
  CHECK(
      !IsConfigurationConfirmed(fixture.nodes[0].store, fixture.network.now()));
  CHECK(!IsConfigurationConfirmed(fixture.nodes[12].store,
                                  fixture.network.now()));
  fixture.platform.down = false;
  fixture.RunFor(20s);
  CHECK(
      IsConfigurationConfirmed(fixture.nodes[12].store, fixture.network.now()));
}

TEST(ConfigurationStore, StaleReadsAfterARestartOfAllProcessesRevertNoProcess) {
  ConfigurationFixture fixture({});
  for (const std::uint64_t n : {1, 2}) {
    fixture.StoreOnPlatform(MakeConfigurationValue(n));
    fixture.RunFor(5s);
  }
  LONGS_EQUAL(13, fixture.CountProcessesInForce(Generation{2}));
  for (std::size_t n = 0; n < fixture.nodes.size(); ++n) {
    fixture.RestartProcess(n);
  }
  fixture.platform.stale_reads = 3;
  fixture.RunFor(10s);
  LONGS_EQUAL(13, fixture.CountProcessesInForce(Generation{2}));
  LONGS_EQUAL(0, fixture.generation_decreases);
}

TEST(ConfigurationStore,
     EmptiedPlatformNeitherRevertsNorConfirmsTheConfiguration) {
  ConfigurationFixture fixture({});
  for (const std::uint64_t n : {1, 2}) {
    fixture.StoreOnPlatform(MakeConfigurationValue(n));
    fixture.RunFor(5s);
  }
  fixture.platform.empty = true;
  fixture.RunFor(2min);
  fixture.RestartProcess(0);
  fixture.RestartProcess(12);
  fixture.RunFor(10s);
  LONGS_EQUAL(13, fixture.CountProcessesInForce(Generation{2}));
  LONGS_EQUAL(0, fixture.generation_decreases);
  for (const auto& it : fixture.nodes) {
    CHECK(!IsConfigurationConfirmed(it.store, fixture.network.now()));
  }
  fixture.platform.empty = false;
  fixture.RunFor(30s);
  CHECK(
      IsConfigurationConfirmed(fixture.nodes[12].store, fixture.network.now()));
}

TEST(ConfigurationStore, UnchangedWatchOfAnEmptiedPlatformConfirmsNothing) {
  SingleProcess single;
  single.ReceivePlatformValue(5, 3);
  single.ReceivePlatformAnswer({.was_answered = true, .version = 5});
  LONGS_EQUAL(3, ToInteger(GetGenerationInForce(single.store)));
  single.now += kMaxConfirmationAge * 2;
  single.ReceivePlatformAnswer({.was_answered = true, .version = 0});
  CHECK(!IsConfigurationConfirmed(single.store, single.now));
  single.now += 10s;
  single.ClearActionsAndRunTick();
  CHECK(single.FindLastActionOfType<ReadConfigurationObject>() != nullptr);
  LONGS_EQUAL(3, ToInteger(GetGenerationInForce(single.store)));
}

TEST(ConfigurationStore, OutageBetweenWriteAndWatchRevertsNoProcess) {
  ConfigurationFixture fixture({});
  fixture.StoreOnPlatform(MakeConfigurationValue(1));
  fixture.RunFor(5s);
  fixture.StoreOnPlatform(MakeConfigurationValue(2));
  fixture.platform.down = true;
  // The tool that wrote generation 2 sends the value to one balancer.
  auto& node = fixture.nodes[1];
  ConfigurationActions actions;
  OnConfigurationAcceptedByPlatform(node.store, MakeConfigurationValue(2),
                                    fixture.network.now(), node.random,
                                    actions);
  fixture.RunFor(3s);
  LONGS_EQUAL(13, fixture.CountProcessesInForce(Generation{2}));
  fixture.platform.down = false;
  fixture.platform.stale_reads = 5;
  fixture.RunFor(20s);
  LONGS_EQUAL(13, fixture.CountProcessesInForce(Generation{2}));
  LONGS_EQUAL(0, fixture.generation_decreases);
}
