#include "common/configuration_fixture.h"

#include <algorithm>
#include <cereal/archives/binary.hpp>
#include <memory>
#include <sstream>
#include <utility>

namespace hawthornbank::bench {
namespace {

using std::chrono::milliseconds;

/// Time of a call to the platform and back, and its share of jitter.
constexpr milliseconds kPlatformDelay{5};
/// How often a waiting watch is looked at.
constexpr milliseconds kWatchStep{20};
/// IP and UDP headers, sender, nonce and digest of a datagram.
constexpr std::uint64_t kDatagramBytes = 28 + 8 + 24 + 32;
/// Where callers reach the services.
constexpr std::uint32_t kServiceNet = 0x0A000001;
constexpr std::uint16_t kServicePort = 5683;
/// Time that membership needs to tell a new process of the balancers.
constexpr milliseconds kMembershipDelay{1000};
/// Until agents replace a balancer that no longer answers.
constexpr milliseconds kLossNoticed{7000};

auto SizeOf(const ConfigurationMessage& message) -> std::uint64_t {
  std::ostringstream stream;
  cereal::BinaryOutputArchive archive(stream);
  std::visit([&archive](const auto& it) { archive(it); }, message);
  return static_cast<std::uint64_t>(stream.tellp()) + 1 + kDatagramBytes;
}

template <class Call>
auto Timed(ConfigurationFixture::Node& node, Call call) -> void {
  const auto begin = std::chrono::steady_clock::now();
  call();
  const auto end = std::chrono::steady_clock::now();
  node.core_seconds += std::chrono::duration<double>(end - begin).count();
  ++node.calls;
}

auto SecondOf(TimePoint now) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::seconds>(
             now.time_since_epoch())
      .count();
}

auto HostOf(std::size_t n) -> HostId {
  return HostId{n + 1};
}

}  // namespace

auto FirstConfiguration(std::size_t services) -> Configuration {
  Configuration configuration{.generation = Generation{1},
                              .operation = "first"};
  for (std::size_t n = 0; n < services; ++n) {
    const auto number = static_cast<std::uint32_t>(n);
    configuration.services.push_back(Service{
        .id = ServiceId{number + 1},
        .name = "service-" + std::to_string(n),
        .address =
            Endpoint{.address = kServiceNet + number, .port = kServicePort},
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
  StartAll();
}

ConfigurationFixture::ConfigurationFixture(ConfigurationFixtureOptions options,
                                           VirtualNetwork& shared)
    : network(shared), options_(options) {
  StartAll();
}

auto ConfigurationFixture::StartAll() -> void {
  nodes.resize(options_.balancers + options_.agents);
  for (std::size_t n = 0; n < options_.balancers; ++n) {
    all_balancers_.push_back({.host = HostOf(n), .zone = ZoneOf(n)});
  }
  for (std::size_t n = 0; n < nodes.size(); ++n) {
    Start(n);
    SetLiveBalancers(nodes[n].store, all_balancers_);
  }
}

auto ConfigurationFixture::ZoneOf(std::size_t n) const -> std::string {
  return "zone-" + std::to_string(n % options_.zones);
}

auto ConfigurationFixture::LiveBalancers() const -> std::vector<LiveBalancer> {
  std::vector<LiveBalancer> live;
  for (const auto& it : all_balancers_) {
    if (nodes[ToInteger(it.host) - 1].alive) {
      live.push_back(it);
    }
  }
  return live;
}

auto ConfigurationFixture::Start(std::size_t n) -> void {
  auto& node = nodes[n];
  node.alive = true;
  const auto life = ++node.life;
  node.random = Random(options_.seed * 1000003 + n, life);
  node.store = MakeConfigurationStore(
      {.self = HostOf(n),
       .role = n < options_.balancers ? ConfigurationRole::kBalancer
                                      : ConfigurationRole::kAgent,
       .zone = ZoneOf(n)},
      network.now(), node.random);
  const auto phase =
      milliseconds(node.random(kConfigurationTickInterval.count()));
  network.At(network.now() + phase, [this, n, life] { Tick(n, life); });
}

auto ConfigurationFixture::Restart(std::size_t n) -> void {
  Start(n);
  if (own_network_ == nullptr) {
    return;
  }
  network.At(network.now() + kMembershipDelay,
             [this, n] { SetLiveBalancers(nodes[n].store, LiveBalancers()); });
}

auto ConfigurationFixture::TellBalancers(std::size_t n,
                                         const std::vector<std::size_t>& live)
    -> void {
  std::vector<LiveBalancer> peers;
  peers.reserve(live.size());
  for (const auto it : live) {
    peers.push_back(all_balancers_[it]);
  }
  SetLiveBalancers(nodes[n].store, std::move(peers));
}

auto ConfigurationFixture::Kill(std::size_t n) -> void {
  nodes[n].alive = false;
  ++nodes[n].life;
  if (std::exchange(last_loss_, network.now()) == network.now()) {
    return;
  }
  network.At(network.now() + kLossNoticed, [this] {
    for (auto& node : nodes) {
      SetLiveBalancers(node.store, LiveBalancers());
    }
  });
}

auto ConfigurationFixture::RunFor(Duration duration) -> void {
  network.RunUntil(network.now() + duration);
}

auto ConfigurationFixture::Tick(std::size_t n, std::uint64_t life) -> void {
  auto& node = nodes[n];
  if (node.life != life) {
    return;
  }
  ConfigurationActions actions;
  Timed(node, [&] {
    TickConfiguration(node.store, network.now(), node.random, actions);
  });
  Perform(n, actions);
  network.At(network.now() + kConfigurationTickInterval,
             [this, n, life] { Tick(n, life); });
}

auto ConfigurationFixture::Perform(std::size_t n, ConfigurationActions& actions)
    -> void {
  for (auto& action : actions) {
    if (auto* send = std::get_if<SendConfigurationMessage>(&action)) {
      Send(n, *send);
    } else if (std::holds_alternative<ReadConfigurationObject>(action)) {
      Get(n);
    } else if (const auto* watch =
                   std::get_if<WatchConfigurationObject>(&action)) {
      Watch(n, *watch);
    } else if (const auto* it = std::get_if<ApplyConfiguration>(&action)) {
      const auto generation = it->configuration->generation;
      reverts += generation < nodes[n].highest ? 1 : 0;
      nodes[n].highest = std::max(nodes[n].highest, generation);
    }
  }
}

auto ConfigurationFixture::Send(std::size_t from,
                                SendConfigurationMessage& send) -> void {
  const auto to = static_cast<std::size_t>(ToInteger(send.to) - 1);
  const auto bytes = SizeOf(send.message);
  nodes[from].bytes += bytes;
  nodes[from].sent += bytes;
  const auto message =
      std::make_shared<ConfigurationMessage>(std::move(send.message));
  const auto life = nodes[to].life;
  network.Send(from, to, [this, from, to, bytes, message, life] {
    auto& node = nodes[to];
    if (!node.alive || node.life != life) {
      return;
    }
    node.bytes += bytes;
    ConfigurationActions actions;
    Timed(node, [&] {
      OnConfigurationMessage(node.store, HostOf(from), *message, network.now(),
                             node.random, actions);
    });
    Perform(to, actions);
  });
}

auto ConfigurationFixture::Answer(std::size_t n,
                                  std::uint64_t life,
                                  PlatformAnswer answer) -> void {
  network.At(network.now() + kPlatformDelay, [this, n, life,
                                              answer = std::move(answer)] {
    auto& node = nodes[n];
    if (node.life != life) {
      return;
    }
    ConfigurationActions actions;
    Timed(node, [&] {
      OnPlatformAnswer(node.store, answer, network.now(), node.random, actions);
    });
    Perform(n, actions);
  });
}

auto ConfigurationFixture::Present()
    -> std::optional<StoredConfigurationObject> {
  ++platform.reads[SecondOf(network.now())];
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

auto ConfigurationFixture::Get(std::size_t n) -> void {
  const auto present = Present();
  PlatformAnswer answer{.reached = !platform.down};
  if (answer.reached && present) {
    answer.version = present->version;
    answer.value = present->value;
  }
  Answer(n, nodes[n].life, std::move(answer));
}

auto ConfigurationFixture::Watch(std::size_t n,
                                 const WatchConfigurationObject& watch)
    -> void {
  ++platform.reads[SecondOf(network.now())];
  PollWatch(n, nodes[n].life, watch.from, network.now() + watch.timeout);
}

auto ConfigurationFixture::PollWatch(std::size_t n,
                                     std::uint64_t life,
                                     std::uint64_t from,
                                     TimePoint end) -> void {
  if (nodes[n].life != life) {
    return;
  }
  const auto version =
      platform.history.empty() ? 0 : platform.history.back().version;
  if (platform.down) {
    Answer(n, life, PlatformAnswer{});
  } else if (platform.empty) {
    Answer(n, life, PlatformAnswer{.reached = true, .gone = true});
  } else if (version > from) {
    Answer(n, life,
           PlatformAnswer{.reached = true,
                          .version = version,
                          .value = platform.history.back().value});
  } else if (network.now() >= end) {
    Answer(n, life, PlatformAnswer{.reached = true, .version = version});
  } else {
    network.At(network.now() + kWatchStep,
               [this, n, life, from, end] { PollWatch(n, life, from, end); });
  }
}

auto ConfigurationFixture::Write(const std::string& value) -> void {
  platform.history.push_back(
      {.version = platform.history.size() + 1, .value = value});
}

auto ConfigurationFixture::Put(const WriteForUpdate& write)
    -> UpdateWriteAnswer {
  ++platform.writes[SecondOf(network.now())];
  if (platform.down) {
    return UpdateWriteAnswer::kUnknown;
  }
  const auto version =
      platform.history.empty() ? 0 : platform.history.back().version;
  if (version != write.if_version) {
    return UpdateWriteAnswer::kConflict;
  }
  Write(write.value);
  if (std::exchange(platform.lose_next_answer, false)) {
    return UpdateWriteAnswer::kUnknown;
  }
  return UpdateWriteAnswer::kAccepted;
}

auto ConfigurationFixture::History(std::uint64_t from) -> UpdateReadBackAnswer {
  ++platform.reads[SecondOf(network.now())];
  UpdateReadBackAnswer history{.reached = !platform.down};
  for (const auto& it : platform.history) {
    if (history.reached && it.version > from) {
      history.changes.push_back(it);
    }
  }
  return history;
}

auto ConfigurationFixture::CountInForce(Generation generation) const
    -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(), [generation](const Node& it) {
        return it.alive && GetGenerationInForce(it.store) >= generation;
      }));
}

auto ConfigurationFixture::CountAlive() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      nodes.begin(), nodes.end(), [](const Node& it) { return it.alive; }));
}

auto ConfigurationFixture::RunUntilInForce(Generation generation,
                                           Duration limit) -> Duration {
  constexpr milliseconds kStep{20};
  const auto start = network.now();
  while (CountInForce(generation) < CountAlive() &&
         network.now() - start < limit) {
    RunFor(kStep);
  }
  return network.now() - start;
}

}  // namespace hawthornbank::bench
