#include "common/configuration_fixture.h"

#include <algorithm>
#include <cereal/archives/binary.hpp>
#include <memory>
#include <sstream>
#include <utility>

namespace hawthornbank::bench {
namespace {

using std::chrono::milliseconds;

/// Fixed round-trip time of a platform call; stands for delay and jitter.
constexpr milliseconds kPlatformDelay{5};
/// Interval at which a pending platform watch looks for a new version.
constexpr milliseconds kWatchPollInterval{20};
/// Bytes of the IP and UDP headers, sender, nonce and digest of a datagram.
constexpr std::uint64_t kDatagramOverheadBytes = 28 + 8 + 24 + 32;
/// Address of the first service and port of all services. The addresses of the
/// services are consecutive.
constexpr std::uint32_t kFirstServiceAddress = 0x0A000001;
constexpr std::uint16_t kServicePort = 5683;
/// Time until a new process learns the live balancers from membership.
constexpr milliseconds kMembershipDelay{1000};
/// Time from a process's death until all processes learn the live balancers.
constexpr milliseconds kLossDetectionTime{7000};

auto ComputeDatagramBytes(const ConfigurationMessage& message)
    -> std::uint64_t {
  std::ostringstream stream;
  cereal::BinaryOutputArchive archive(stream);
  std::visit([&archive](const auto& it) { archive(it); }, message);
  return static_cast<std::uint64_t>(stream.tellp()) + 1 +
         kDatagramOverheadBytes;
}

template <class Call>
auto RecordCallDuration(ConfigurationFixture::Node& node, Call call) -> void {
  const auto begin = std::chrono::steady_clock::now();
  call();
  const auto end = std::chrono::steady_clock::now();
  node.core_seconds += std::chrono::duration<double>(end - begin).count();
  ++node.calls;
}

auto GetSecondOfRun(TimePoint now) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::seconds>(
             now.time_since_epoch())
      .count();
}

auto MakeHostId(std::size_t n) -> HostId {
  return HostId{n + 1};
}

}  // namespace

auto MakeInitialConfiguration(std::size_t services) -> Configuration {
  Configuration configuration{.generation = Generation{1},
                              .operation = "first"};
  for (std::size_t n = 0; n < services; ++n) {
    const auto number = static_cast<std::uint32_t>(n);
    configuration.services.push_back(
        Service{.id = ServiceId{number + 1},
                .name = "service-" + std::to_string(n),
                .address = Endpoint{.address = kFirstServiceAddress + number,
                                    .port = kServicePort},
                .zones = {"zone-0", "zone-1", "zone-2"}});
  }
  return configuration;
}

ConfigurationFixture::ConfigurationFixture(ConfigurationFixtureOptions options)
    : own_network_(std::make_unique<VirtualNetwork>(options.seed)),
      network(*own_network_),
      options_(options) {
  network.SetLinkRule([options](std::uint64_t, std::uint64_t) {
    return Link{
        .delay = options.delay, .jitter = options.jitter, .loss = options.loss};
  });
  StartAllProcesses();
}

ConfigurationFixture::ConfigurationFixture(ConfigurationFixtureOptions options,
                                           VirtualNetwork& shared)
    : network(shared), options_(options) {
  StartAllProcesses();
}

auto ConfigurationFixture::StartAllProcesses() -> void {
  nodes.resize(options_.balancers + options_.agents);
  for (std::size_t n = 0; n < options_.balancers; ++n) {
    all_balancers_.push_back({.host = MakeHostId(n), .zone = MakeZoneName(n)});
  }
  for (std::size_t n = 0; n < nodes.size(); ++n) {
    StartProcess(n);
    SetLiveBalancers(nodes[n].store, all_balancers_);
  }
}

auto ConfigurationFixture::MakeZoneName(std::size_t n) const -> std::string {
  return "zone-" + std::to_string(n % options_.zones);
}

auto ConfigurationFixture::ListLiveBalancers() const
    -> std::vector<LiveBalancer> {
  std::vector<LiveBalancer> live;
  for (const auto& it : all_balancers_) {
    if (nodes[ToInteger(it.host) - 1].alive) {
      live.push_back(it);
    }
  }
  return live;
}

auto ConfigurationFixture::StartProcess(std::size_t n) -> void {
  auto& node = nodes[n];
  node.alive = true;
  const auto run_number = ++node.run_number;
  node.random = Random(options_.seed * 1000003 + n, run_number);
  node.store = MakeConfigurationStore(
      {.self = MakeHostId(n),
       .role = n < options_.balancers ? ConfigurationRole::kBalancer
                                      : ConfigurationRole::kAgent,
       .zone = MakeZoneName(n)},
      network.now(), node.random);
  const auto phase =
      milliseconds(node.random(kConfigurationTickInterval.count()));
  network.ScheduleAction(network.now() + phase, [this, n, run_number] {
    RunProcessTick(n, run_number);
  });
}

auto ConfigurationFixture::RestartProcess(std::size_t n) -> void {
  StartProcess(n);
  if (own_network_ == nullptr) {
    return;
  }
  network.ScheduleAction(network.now() + kMembershipDelay, [this, n] {
    SetLiveBalancers(nodes[n].store, ListLiveBalancers());
  });
}

auto ConfigurationFixture::SetLiveBalancersOfProcess(
    std::size_t n,
    const std::vector<std::size_t>& live) -> void {
  std::vector<LiveBalancer> peers;
  peers.reserve(live.size());
  for (const auto it : live) {
    peers.push_back(all_balancers_[it]);
  }
  SetLiveBalancers(nodes[n].store, std::move(peers));
}

auto ConfigurationFixture::KillProcess(std::size_t n) -> void {
  nodes[n].alive = false;
  ++nodes[n].run_number;
  if (std::exchange(last_kill_time_, network.now()) == network.now()) {
    return;
  }
  network.ScheduleAction(network.now() + kLossDetectionTime, [this] {
    for (auto& node : nodes) {
      SetLiveBalancers(node.store, ListLiveBalancers());
    }
  });
}

auto ConfigurationFixture::RunFor(Duration duration) -> void {
  network.RunUntil(network.now() + duration);
}

auto ConfigurationFixture::RunProcessTick(std::size_t n,
                                          std::uint64_t run_number) -> void {
  auto& node = nodes[n];
  if (node.run_number != run_number) {
    return;
  }
  ConfigurationActions actions;
  RecordCallDuration(node, [&] {
    OnConfigurationTick(node.store, network.now(), node.random, actions);
  });
  PerformConfigurationActions(n, actions);
  network.ScheduleAction(
      network.now() + kConfigurationTickInterval,
      [this, n, run_number] { RunProcessTick(n, run_number); });
}

auto ConfigurationFixture::PerformConfigurationActions(
    std::size_t n,
    ConfigurationActions& actions) -> void {
  for (auto& action : actions) {
    if (auto* send = std::get_if<SendConfigurationMessage>(&action)) {
      SendMessageToProcess(n, *send);
    } else if (std::holds_alternative<ReadConfigurationObject>(action)) {
      ReadObjectForProcess(n);
    } else if (const auto* watch =
                   std::get_if<WatchConfigurationObject>(&action)) {
      StartPlatformWatch(n, *watch);
    } else if (const auto* it = std::get_if<ApplyConfiguration>(&action)) {
      const auto generation = it->configuration->generation;
      generation_decreases += generation < nodes[n].highest ? 1 : 0;
      nodes[n].highest = std::max(nodes[n].highest, generation);
    }
  }
}

auto ConfigurationFixture::SendMessageToProcess(std::size_t from,
                                                SendConfigurationMessage& send)
    -> void {
  const auto to = static_cast<std::size_t>(ToInteger(send.to) - 1);
  const auto bytes = ComputeDatagramBytes(send.message);
  nodes[from].bytes += bytes;
  nodes[from].sent += bytes;
  const auto message =
      std::make_shared<ConfigurationMessage>(std::move(send.message));
  const auto run_number = nodes[to].run_number;
  network.SendMessage(from, to, [this, from, to, bytes, message, run_number] {
    auto& node = nodes[to];
    if (!node.alive || node.run_number != run_number) {
      return;
    }
    node.bytes += bytes;
    ConfigurationActions actions;
    RecordCallDuration(node, [&] {
      OnConfigurationMessage(node.store, MakeHostId(from), *message,
                             network.now(), node.random, actions);
    });
    PerformConfigurationActions(to, actions);
  });
}

auto ConfigurationFixture::DeliverPlatformAnswer(std::size_t n,
                                                 std::uint64_t run_number,
                                                 PlatformAnswer answer)
    -> void {
  network.ScheduleAction(network.now() + kPlatformDelay,
                         [this, n, run_number, answer = std::move(answer)] {
                           auto& node = nodes[n];
                           if (node.run_number != run_number) {
                             return;
                           }
                           ConfigurationActions actions;
                           RecordCallDuration(node, [&] {
                             OnPlatformAnswer(node.store, answer, network.now(),
                                              node.random, actions);
                           });
                           PerformConfigurationActions(n, actions);
                         });
}

auto ConfigurationFixture::ReadCurrentObject()
    -> std::optional<StoredConfigurationObject> {
  ++platform.reads[GetSecondOfRun(network.now())];
  const auto& history = platform.history;
  if (platform.empty) {
    return std::nullopt;
  }
  if (platform.stale_reads > 0 && history.size() > 1) {
    --platform.stale_reads;
    return history[history.size() - 2];
  }
  return history.empty() ? std::nullopt : std::optional(history.back());
}

auto ConfigurationFixture::ReadObjectForProcess(std::size_t n) -> void {
  const auto present = ReadCurrentObject();
  PlatformAnswer answer{.was_answered = !platform.down};
  if (answer.was_answered && present) {
    answer.version = present->version;
    answer.value = present->value;
  }
  DeliverPlatformAnswer(n, nodes[n].run_number, std::move(answer));
}

auto ConfigurationFixture::StartPlatformWatch(
    std::size_t n,
    const WatchConfigurationObject& watch) -> void {
  ++platform.reads[GetSecondOfRun(network.now())];
  PollPlatformWatch(n, nodes[n].run_number, watch.from,
                    network.now() + watch.timeout);
}

auto ConfigurationFixture::PollPlatformWatch(std::size_t n,
                                             std::uint64_t run_number,
                                             std::uint64_t from,
                                             TimePoint end) -> void {
  if (nodes[n].run_number != run_number) {
    return;
  }
  const auto version =
      platform.history.empty() ? 0 : platform.history.back().version;
  if (platform.down) {
    DeliverPlatformAnswer(n, run_number, PlatformAnswer{});
  } else if (platform.empty) {
    DeliverPlatformAnswer(
        n, run_number,
        PlatformAnswer{.was_answered = true, .history_expired = true});
  } else if (version > from) {
    DeliverPlatformAnswer(
        n, run_number,
        PlatformAnswer{.was_answered = true,
                       .version = version,
                       .value = platform.history.back().value});
  } else if (network.now() >= end) {
    DeliverPlatformAnswer(
        n, run_number,
        PlatformAnswer{.was_answered = true, .version = version});
  } else {
    network.ScheduleAction(network.now() + kWatchPollInterval,
                           [this, n, run_number, from, end] {
                             PollPlatformWatch(n, run_number, from, end);
                           });
  }
}

auto ConfigurationFixture::StoreOnPlatform(const std::string& value) -> void {
  platform.history.push_back(
      {.version = platform.history.size() + 1, .value = value});
}

auto ConfigurationFixture::WriteIfVersionMatches(const WriteForUpdate& write)
    -> UpdateWriteAnswer {
  ++platform.writes[GetSecondOfRun(network.now())];
  if (platform.down) {
    return UpdateWriteAnswer::kUnknown;
  }
  const auto version =
      platform.history.empty() ? 0 : platform.history.back().version;
  if (version != write.if_version) {
    return UpdateWriteAnswer::kConflict;
  }
  StoreOnPlatform(write.value);
  if (std::exchange(platform.lose_next_answer, false)) {
    return UpdateWriteAnswer::kUnknown;
  }
  return UpdateWriteAnswer::kAccepted;
}

auto ConfigurationFixture::ReadStoredChanges(std::uint64_t from)
    -> ReadChangesAnswer {
  ++platform.reads[GetSecondOfRun(network.now())];
  ReadChangesAnswer answer{.was_answered = !platform.down};
  for (const auto& it : platform.history) {
    if (answer.was_answered && it.version > from) {
      answer.changes.push_back(it);
    }
  }
  return answer;
}

auto ConfigurationFixture::CountProcessesInForce(Generation generation) const
    -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(), [generation](const Node& it) {
        return it.alive && GetGenerationInForce(it.store) >= generation;
      }));
}

auto ConfigurationFixture::CountLiveProcesses() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      nodes.begin(), nodes.end(), [](const Node& it) { return it.alive; }));
}

auto ConfigurationFixture::RunUntilGenerationInForce(Generation generation,
                                                     Duration limit)
    -> Duration {
  constexpr milliseconds kStep{20};
  const auto start = network.now();
  while (CountProcessesInForce(generation) < CountLiveProcesses() &&
         network.now() - start < limit) {
    RunFor(kStep);
  }
  return network.now() - start;
}

}  // namespace hawthornbank::bench
