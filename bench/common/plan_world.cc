#include "common/plan_world.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornbank::bench {
namespace {

using std::chrono::minutes;
using namespace std::chrono_literals;

constexpr ServiceId kService{1};
constexpr Duration kBalancerTick = 500ms;
constexpr Duration kPlatformDelay = 5ms;
/// Time after which an accepted configuration update is in force.
constexpr Duration kUpdateSpread = 2s;
constexpr Duration kSampleInterval = 5s;
constexpr Duration kFlowTick = 10s;
constexpr std::uint32_t kSamplesPerMinute = 12;
/// Number of open flows for each request in flight.
constexpr std::size_t kFlowsPerRequest = 10;
/// One in this many flows is long-lived, such as a watch or a feed.
constexpr std::uint32_t kFlowsPerLongFlow = 50;
/// Mean lifetimes of flows, in multiples of kFlowTick.
constexpr double kShortFlowTicks = 60;
constexpr double kLongFlowTicks = 1440;
constexpr double kHeadroom = 1.2;

auto MakeFirstConfiguration(const std::vector<DemandRow>& rows)
    -> Configuration {
  return Configuration{.generation = Generation{1},
                       .operation = "first",
                       .services = {Service{.id = kService,
                                            .name = "fitquote",
                                            .zones = {"a", "b", "c"},
                                            .slots = kPlanSlots,
                                            .max_connections = kPlanConnections,
                                            .target_count = kPlanTargets}},
                       .demand = rows,
                       .last_service_id = 1};
}

auto MakeFlowKey(std::uint32_t flow) -> FlowKey {
  return FlowKey{.service = kService,
                 .caller = {.address = 0x0B000000U + flow, .port = 7000}};
}

}  // namespace

PlanWorld::PlanWorld(PlanWorldOptions options)
    : network(options.seed), options_(std::move(options)) {
  for (std::size_t n = 0; n < targets.size(); ++n) {
    auto& target = targets[n];
    target.name = "fitquote-" + std::to_string(n + 1);
    target.follower.target_name = target.name;
    target.agent.options = {.service = kService,
                            .max_connections = kPlanConnections,
                            .drain_limit = 1h};
    // At the start of the run, no target is cold: all count as capacity.
    target.serves_since = TimePoint{} - options_.cold_time;
  }
  StoreConfigurationOnPlatform(
      EncodeConfiguration(MakeFirstConfiguration(options_.rows)));
  for (std::size_t n = 0; n < options_.balancers; ++n) {
    auto settings = options_.executor;
    settings.self = "entry-" + std::to_string(n);
    Random random(options_.seed, n);
    balancers.push_back(
        {.executor = MakePlanExecutor(settings, {}, random), .random = random});
  }
  OpenFlowsUpToCount(GetCurrentDemand() * kFlowsPerRate);
  for (std::size_t n = 0; n < balancers.size(); ++n) {
    RunBalancerTick(n);
  }
  EndAndOpenFlows();
  SampleLeaseHolderAndCapacity();
}

auto PlanWorld::RunFor(Duration duration) -> void {
  network.RunUntil(network.now() + duration);
}

auto PlanWorld::FreezeBalancer(std::size_t balancer) -> void {
  balancers[balancer].frozen = true;
  network.FreezeHost(balancer);
}

auto PlanWorld::ThawBalancer(std::size_t balancer) -> void {
  balancers[balancer].frozen = false;
  network.ThawHost(balancer);
}

auto PlanWorld::EditStoredConfiguration(
    const std::function<void(Configuration&)>& edit) -> void {
  auto configuration = DecodeStoredConfiguration();
  edit(configuration);
  configuration.generation =
      Generation{ToInteger(configuration.generation) + 1};
  configuration.operation =
      "operator-" + std::to_string(ToInteger(configuration.generation));
  configuration.author = "operator";
  StoreConfigurationOnPlatform(EncodeConfiguration(configuration));
}

auto PlanWorld::CrashTarget(std::size_t target) -> void {
  targets[target].up = false;
  targets[target].agent.flows.clear();
}

auto PlanWorld::FindLeaseHolder() const -> std::optional<std::size_t> {
  for (std::size_t n = 0; n < balancers.size(); ++n) {
    const auto& it = balancers[n];
    if (!it.frozen && HoldsPlanLease(it.executor, network.now())) {
      return n;
    }
  }
  return std::nullopt;
}

auto PlanWorld::DecodeStoredConfiguration() const -> Configuration {
  return DecodeConfiguration(history_.back().value);
}

auto PlanWorld::CountTargetsAcceptingFlows() const -> std::uint32_t {
  return static_cast<std::uint32_t>(std::count_if(
      targets.begin(), targets.end(),
      [](const Target& it) { return it.up && !it.agent.draining; }));
}

auto PlanWorld::SumCounterOverBalancers(
    std::uint64_t PlanCounters::*counter) const -> std::uint64_t {
  std::uint64_t sum = 0;
  for (const auto& it : balancers) {
    sum += it.executor.counters.*counter;
  }
  return sum;
}

auto PlanWorld::RunBalancerTick(std::size_t n) -> void {
  auto& balancer = balancers[n];
  PlanActions actions;
  OnPlanTick(balancer.executor, in_force_, MakePlanView(n), network.now(),
             balancer.random, actions);
  PerformPlanActions(n, actions);
  network.ScheduleActionOnHost(n, network.now() + kBalancerTick,
                               [this, n] { RunBalancerTick(n); });
}

auto PlanWorld::PerformPlanActions(std::size_t n, const PlanActions& actions)
    -> void {
  for (const auto& action : actions) {
    if (std::holds_alternative<LeaseRead>(action)) {
      ReadLease(n);
    } else if (const auto* lease = std::get_if<LeaseWrite>(&action)) {
      WriteLease(n, *lease);
    } else if (std::holds_alternative<ReadForUpdate>(action)) {
      ReadStoredConfiguration(n);
    } else if (const auto* write = std::get_if<WriteForUpdate>(&action)) {
      StartConfigurationWrite(n, *write);
    } else if (const auto* back = std::get_if<ReadChangesForUpdate>(&action)) {
      ReadConfigurationChanges(n, *back);
    }
  }
}

auto PlanWorld::CountCallAndDrawWhetherAnswered() -> bool {
  ++calls;
  return !platform_down &&
         DrawRandomFraction(network.random()) >= options_.lost_answers;
}

auto PlanWorld::DeliverPlatformAnswer(
    std::size_t n,
    std::function<void(PlanActions&)> handle_answer) -> void {
  network.ScheduleActionOnHost(
      n, network.now() + kPlatformDelay,
      [this, n, handle_answer = std::move(handle_answer)] {
        PlanActions actions;
        handle_answer(actions);
        PerformPlanActions(n, actions);
      });
}

auto PlanWorld::ReadLease(std::size_t n) -> void {
  const LeaseReadAnswer seen{.was_answered = CountCallAndDrawWhetherAnswered(),
                             .version = lease_version_,
                             .record = lease_};
  DeliverPlatformAnswer(n, [this, n, seen](PlanActions& actions) {
    OnPlanLeaseReadAnswered(balancers[n].executor, seen, network.now(),
                            balancers[n].random, actions);
  });
}

auto PlanWorld::WriteLease(std::size_t n, const LeaseWrite& write) -> void {
  auto answer = LeaseWriteOutcome::kUnknown;
  if (!platform_down) {
    const bool matches = write.if_version == lease_version_;
    if (matches) {
      lease_ = write.record;
      lease_version_ = ++version_;
    }
    answer =
        matches ? LeaseWriteOutcome::kAccepted : LeaseWriteOutcome::kConflict;
  }
  answer =
      CountCallAndDrawWhetherAnswered() ? answer : LeaseWriteOutcome::kUnknown;
  DeliverPlatformAnswer(
      n, [this, n, answer, now_at = lease_version_](PlanActions& actions) {
        OnPlanLeaseWriteAnswered(balancers[n].executor, answer, now_at,
                                 network.now(), balancers[n].random, actions);
      });
}

auto PlanWorld::ReadStoredConfiguration(std::size_t n) -> void {
  const PlanReadAnswer stored{.was_answered = CountCallAndDrawWhetherAnswered(),
                              .object = history_.back()};
  DeliverPlatformAnswer(n, [this, n, stored](PlanActions& actions) {
    OnPlanReadAnswered(balancers[n].executor, stored, MakePlanView(n),
                       network.now(), actions);
  });
}

auto PlanWorld::StartConfigurationWrite(std::size_t n,
                                        const WriteForUpdate& write) -> void {
  const auto delay = std::exchange(balancers[n].delay_write, std::nullopt);
  if (delay) {
    FreezeBalancer(n);
    network.ScheduleAction(network.now() + *delay, [this, n, write] {
      ApplyConfigurationWrite(n, write);
      ThawBalancer(n);
    });
    return;
  }
  ApplyConfigurationWrite(n, write);
}

auto PlanWorld::ApplyConfigurationWrite(std::size_t n,
                                        const WriteForUpdate& write) -> void {
  auto answer = UpdateWriteAnswer::kUnknown;
  if (!platform_down) {
    const bool matches = write.if_version == history_.back().version;
    if (matches) {
      StoreConfigurationOnPlatform(write.value);
    }
    answer =
        matches ? UpdateWriteAnswer::kAccepted : UpdateWriteAnswer::kConflict;
  }
  answer =
      CountCallAndDrawWhetherAnswered() ? answer : UpdateWriteAnswer::kUnknown;
  DeliverPlatformAnswer(n, [this, n, answer](PlanActions& actions) {
    OnPlanWriteAnswered(balancers[n].executor, answer, network.now(), actions);
  });
}

auto PlanWorld::ReadConfigurationChanges(std::size_t n,
                                         const ReadChangesForUpdate& back)
    -> void {
  ReadChangesAnswer answer{.was_answered = CountCallAndDrawWhetherAnswered()};
  for (const auto& it : history_) {
    if (answer.was_answered && it.version > back.from) {
      answer.changes.push_back(it);
    }
  }
  DeliverPlatformAnswer(n, [this, n, answer](PlanActions& actions) {
    OnPlanReadChangesAnswered(balancers[n].executor, answer, network.now(),
                              actions);
  });
}

auto PlanWorld::StoreConfigurationOnPlatform(const std::string& value) -> void {
  const auto next = DecodeConfiguration(value);
  if (!history_.empty() && next.author == kPlanAuthor) {
    const auto before = DecodeStoredConfiguration();
    writes_with_outdated_epoch += next.plan_epoch < highest_epoch_ ? 1 : 0;
    accepted_writes.push_back(
        {.when = network.now(),
         .epoch = next.plan_epoch,
         .changes = before.resting == next.resting ? 0U : 1U});
  }
  highest_epoch_ = std::max(highest_epoch_, next.plan_epoch);
  history_.push_back({.version = ++version_, .value = value});
  network.ScheduleAction(network.now() + kUpdateSpread, [this, value] {
    in_force_ = DecodeConfiguration(value);
    for (std::size_t n = 0; n < targets.size(); ++n) {
      ApplyConfigurationToTarget(n, value);
    }
  });
}

auto PlanWorld::ApplyConfigurationToTarget(std::size_t target,
                                           const std::string& value) -> void {
  auto& it = targets[target];
  const auto configuration = DecodeConfiguration(value);
  const auto order = DetermineTargetOrder(it.follower, configuration);
  const bool drained = it.agent.draining;
  ApplyOrderToAgent(it.agent, order, network.now());
  target_changes += drained != it.agent.draining ? 1 : 0;
  if (drained && !it.agent.draining) {
    it.serves_since = network.now();
  }
  if (!drained && it.agent.draining && options_.stop_at_once) {
    BreakAllFlowsOfTarget(it, it.agent.flows.size());
  }
}

auto PlanWorld::BreakAllFlowsOfTarget(Target& target, std::size_t count)
    -> void {
  broken_flows += count;
  cut_requests += count / kFlowsPerRequest;
  target.agent.flows.clear();
}

auto PlanWorld::EndAndOpenFlows() -> void {
  RecordTrafficAndEndRandomFlows();
  OpenFlowsUpToCount(GetCurrentDemand() * kFlowsPerRate);
  network.ScheduleAction(network.now() + kFlowTick,
                         [this] { EndAndOpenFlows(); });
}

/// Records traffic from both ends of every flow, ends some flows at random, and
/// runs the agents' ticks. Flows that a tick ends count as broken.
auto PlanWorld::RecordTrafficAndEndRandomFlows() -> void {
  for (auto& target : targets) {
    std::vector<FlowKey> ended;
    for (auto& [key, flow] : target.agent.flows) {
      flow.last_from_caller = network.now();
      flow.last_from_target = network.now();
      const bool is_long = key.caller.address % kFlowsPerLongFlow == 0;
      const double life = is_long ? kLongFlowTicks : kShortFlowTicks;
      if (DrawRandomFraction(network.random()) * life < 1) {
        ended.push_back(key);
      }
    }
    std::vector<AgentAction> actions;
    for (const auto& key : ended) {
      EndFlow(target.agent, key, actions);
    }
    actions.clear();
    const auto before = target.agent.flows.size();
    OnAgentTick(target.agent, network.now(), actions);
    const auto cut = before - target.agent.flows.size();
    broken_flows += cut;
    cut_requests += cut / kFlowsPerRequest;
  }
}

/// Opens flows until `wanted` flows are open. Each flow goes to the target with
/// the fewest flows among the targets that accept new flows.
auto PlanWorld::OpenFlowsUpToCount(double wanted) -> void {
  std::size_t open_flows = 0;
  for (const auto& it : targets) {
    open_flows += it.agent.flows.size();
  }
  for (; static_cast<double>(open_flows) < wanted; ++open_flows) {
    Target* best = nullptr;
    for (auto& it : targets) {
      const bool takes = it.up && !it.agent.draining &&
                         it.agent.flows.size() < kPlanConnections;
      if (takes && (best == nullptr ||
                    it.agent.flows.size() < best->agent.flows.size())) {
        best = &it;
      }
    }
    if (best == nullptr) {
      return;
    }
    best->agent.flows[MakeFlowKey(next_flow_++)] =
        OwnedFlow{.last_from_caller = network.now(),
                  .last_from_target = network.now(),
                  .last_pointer_sent = network.now(),
                  .home_acknowledged = true};
  }
}

auto PlanWorld::SampleLeaseHolderAndCapacity() -> void {
  const auto now = network.now();
  if (FindLeaseHolder() || !was_lease_ever_held_) {
    was_lease_ever_held_ =
        was_lease_ever_held_ || FindLeaseHolder().has_value();
    lease_last_held_at_ = now;
  }
  longest_time_without_lease_holder = std::max<Duration>(
      longest_time_without_lease_holder, now - lease_last_held_at_);
  if (now.time_since_epoch() % kSampleInterval == Duration{0}) {
    const auto warm = static_cast<double>(
        std::count_if(targets.begin(), targets.end(), [&](const Target& it) {
          return it.up && !it.agent.draining &&
                 now - it.serves_since >= options_.cold_time;
        }));
    const double needed =
        std::ceil(GetCurrentDemand() * kSlotSeconds * kHeadroom / kPlanSlots);
    samples_short_of_capacity_ += warm < needed ? 1 : 0;
    if (++samples_ % kSamplesPerMinute == 0) {
      minutes_short_of_capacity +=
          samples_short_of_capacity_ == kSamplesPerMinute ? 1 : 0;
      samples_short_of_capacity_ = 0;
    }
  }
  network.ScheduleAction(now + 100ms,
                         [this] { SampleLeaseHolderAndCapacity(); });
}

auto PlanWorld::MakePlanView(std::size_t n) const -> PlanView {
  PlanView view{
      .local_time = AddMinutesToLocalTime(options_.start, GetElapsedMinutes()),
      .local_after_warm_up = AddMinutesToLocalTime(
          options_.start, GetElapsedMinutes() + options_.executor.plan.warm_up),
      .is_membership_ready = true,
      .is_lease_candidate = n < 3};
  for (const auto& it : targets) {
    view.targets.push_back(MakeTargetRecord(it));
  }
  return view;
}

auto PlanWorld::MakeTargetRecord(const Target& target) const -> TargetRecord {
  const auto state =
      target.agent.draining ? TargetState::kDraining : TargetState::kServing;
  // Busy slots are spread over the targets in proportion to their flows.
  const double flows = GetCurrentDemand() * kFlowsPerRate;
  const double share =
      flows > 0 ? static_cast<double>(target.agent.flows.size()) / flows : 0;
  const double busy = std::round(GetCurrentDemand() * kSlotSeconds * share);
  return TargetRecord{
      .id = TargetId{HashName(target.name)},
      .name = target.name,
      .service = kService,
      .zone = std::string(1, static_cast<char>('a' + (target.name.back() % 3))),
      .state = target.up ? state : TargetState::kDead,
      .load = {
          .connections = static_cast<std::uint32_t>(target.agent.flows.size()),
          .slots_busy =
              static_cast<std::uint16_t>(std::min<double>(busy, kPlanSlots)),
          .slots = kPlanSlots}};
}

auto PlanWorld::GetCurrentDemand() const -> double {
  return options_.demand(GetElapsedMinutes());
}

auto PlanWorld::GetElapsedMinutes() const -> minutes {
  return std::chrono::duration_cast<minutes>(network.now().time_since_epoch());
}

}  // namespace hawthornbank::bench
