#include "common/recovery_fleet.h"

#include <algorithm>

namespace hawthornbank::bench {
namespace {

constexpr Duration kStep = std::chrono::milliseconds{100};
constexpr Duration kSampleInterval = std::chrono::milliseconds{500};
/// Time after which every balancer must route to a newly started target.
constexpr Duration kSettlingTime = std::chrono::seconds{5};

auto MakeConfigurationOptions(const FleetOptions& options)
    -> ConfigurationFixtureOptions {
  return {.balancers = options.balancers,
          .agents = options.agents,
          .zones = options.zones,
          .seed = options.seed,
          .loss = options.loss,
          .delay = options.link_delay,
          .jitter = options.jitter};
}

}  // namespace

RecoveryFleet::RecoveryFleet(const FleetOptions& options)
    : members(options),
      configuration(MakeConfigurationOptions(options), members.network()),
      options_(options),
      passed_balancers_(options.balancers),
      agent_start_times_(options.agents, TimePoint{}) {
  for (std::size_t n = 0; n < options.agents; ++n) {
    SetLiveBalancersOfAgent(n);
  }
  configuration.StoreOnPlatform(
      EncodeConfiguration(MakeInitialConfiguration(options.services)));
}

auto RecoveryFleet::KillBalancer(std::size_t n) -> void {
  members.KillBalancer(n);
  configuration.KillProcess(n);
}

auto RecoveryFleet::StartBalancer(std::size_t n) -> void {
  members.StartBalancer(n);
  configuration.RestartProcess(n);
  passed_balancers_[n].clear();
}

auto RecoveryFleet::KillAgent(std::size_t n) -> void {
  members.KillAgent(n);
  configuration.KillProcess(options_.balancers + n);
  agent_start_times_[n].reset();
}

auto RecoveryFleet::StartAgent(std::size_t n) -> void {
  members.StartAgent(n);
  configuration.RestartProcess(options_.balancers + n);
  agent_start_times_[n] = members.now();
  SetLiveBalancersOfAgent(n);
}

auto RecoveryFleet::GetRegionOfZone(std::size_t zone) const -> std::size_t {
  return zone / options_.zones_per_region;
}

auto RecoveryFleet::SetLiveBalancersOfAgent(std::size_t n) -> void {
  const auto region = GetRegionOfZone(members.zone_of_agent(n));
  std::vector<std::size_t> balancers;
  for (std::size_t it = 0; it < options_.balancers; ++it) {
    if (GetRegionOfZone(members.zone_of_balancer(it)) == region) {
      balancers.push_back(it);
    }
  }
  configuration.SetLiveBalancersOfProcess(options_.balancers + n, balancers);
}

auto RecoveryFleet::StoreNextGeneration() -> void {
  auto next = MakeInitialConfiguration(options_.services);
  next.generation = Generation{++generation_};
  next.operation = "change-" + std::to_string(generation_);
  configuration.StoreOnPlatform(EncodeConfiguration(next));
}

auto RecoveryFleet::SetLiveBalancersOfBalancer(std::size_t n) -> void {
  std::vector<std::size_t> live;
  const auto& roster = members.GetBalancer(n).roster;
  for (const auto& it : roster) {
    if (it.region == roster.front().region) {
      live.push_back(members.GetBalancerIndex(it.peer));
    }
  }
  std::sort(live.begin(), live.end());
  if (live != passed_balancers_[n]) {
    configuration.SetLiveBalancersOfProcess(n, live);
    passed_balancers_[n] = std::move(live);
  }
}

auto RecoveryFleet::SetLiveBalancersOfAllBalancers() -> void {
  for (std::size_t n = 0; n < options_.balancers; ++n) {
    if (members.IsBalancerLive(n)) {
      SetLiveBalancersOfBalancer(n);
    }
  }
}

auto RecoveryFleet::ListTargetsPastSettlingTime() const
    -> std::vector<TargetId> {
  std::vector<TargetId> settled;
  for (std::size_t n = 0; n < agent_start_times_.size(); ++n) {
    if (agent_start_times_[n] &&
        members.now() - *agent_start_times_[n] > kSettlingTime) {
      settled.push_back(members.target_id_of_agent(n));
    }
  }
  return settled;
}

auto RecoveryFleet::RecordSampleOfBalancerView(
    std::size_t n,
    const std::vector<TargetId>& settled) -> void {
  const auto& membership = members.GetBalancer(n);
  if (IsMembershipReady(membership) &&
      members.CountRoutableTargets(n) < settled.size()) {
    ++lost_target_samples_;
  }
  const bool any_dead =
      std::any_of(settled.begin(), settled.end(), [&](TargetId id) {
        const auto it = membership.targets.find(id);
        return it != membership.targets.end() &&
               it->second.record.state >= TargetState::kDead;
      });
  false_death_samples_ += any_dead ? 1 : 0;
}

auto RecoveryFleet::SetLiveBalancersAndSampleViews() -> void {
  SetLiveBalancersOfAllBalancers();
  if (members.now() - last_sample_time_ < kSampleInterval) {
    return;
  }
  last_sample_time_ = members.now();
  const auto settled = ListTargetsPastSettlingTime();
  for (std::size_t n = 0; n < options_.balancers; ++n) {
    if (members.IsBalancerLive(n)) {
      RecordSampleOfBalancerView(n, settled);
    }
  }
}

auto RecoveryFleet::RunFor(Duration duration) -> void {
  const auto end = members.now() + duration;
  while (members.now() < end) {
    members.RunFor(std::min(kStep, end - members.now()));
    SetLiveBalancersAndSampleViews();
  }
}

auto RecoveryFleet::RunUntil(Duration limit,
                             const std::function<bool()>& condition)
    -> Duration {
  const auto begin = members.now();
  while (!condition() && members.now() - begin < limit) {
    RunFor(kStep);
  }
  return members.now() - begin;
}

auto RecoveryFleet::RunUntilRecovered(Duration limit) -> Duration {
  return RunUntil(limit, [this] { return HasRecovered(); });
}

auto RecoveryFleet::HasRecovered() const -> bool {
  for (std::size_t n = 0; n < options_.balancers; ++n) {
    if (members.IsBalancerLive(n) &&
        !IsMembershipReady(members.GetBalancer(n))) {
      return false;
    }
  }
  return configuration.CountProcessesInForce(Generation{generation_}) ==
             configuration.CountLiveProcesses() &&
         members.IsRoutingComplete();
}

auto RecoveryFleet::ResetTrafficAndErrorCounts() -> void {
  members.ResetTraffic();
  for (auto& it : configuration.nodes) {
    it.bytes = 0;
    it.sent = 0;
  }
  lost_target_samples_ = 0;
  false_death_samples_ = 0;
  reset_at_ = members.now();
}

auto RecoveryFleet::ComputeMaxBytesPerSecond() const -> double {
  const std::chrono::duration<double> passed = members.now() - reset_at_;
  std::uint64_t most = 0;
  for (std::size_t n = 0; n < options_.balancers + options_.agents; ++n) {
    const auto& traffic = n < options_.balancers
                              ? members.balancer_traffic(n)
                              : members.agent_traffic(n - options_.balancers);
    most = std::max(most, traffic.bytes + configuration.nodes[n].sent);
  }
  return static_cast<double>(most) / passed.count();
}

}  // namespace hawthornbank::bench
