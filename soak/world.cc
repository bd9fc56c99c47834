#include "soak/world.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include "transport/clock.h"

namespace hawthornbank::soak {
namespace {

using transport::GetMonotonicTime;
using transport::HttpServerRequest;

// Last byte of the address of the first or only host of each kind.
constexpr std::size_t kShortPageEntries = 10;
constexpr std::uint32_t kStoreHost = 1;
constexpr std::uint32_t kFirstBalancerHost = 2;
constexpr std::uint32_t kFirstTargetHost = 40;
constexpr std::uint32_t kFirstProxyHost = 110;

constexpr std::chrono::milliseconds kTickInterval{20};
// Time between two ticks above which the soak process itself has stalled. A
// stall counts as a disturbance of all nodes and of the store, so that the time
// bounds don't apply.
constexpr std::chrono::milliseconds kStallThreshold{400};
constexpr std::chrono::milliseconds kReadinessInterval{500};
constexpr std::chrono::milliseconds kMetricsInterval{400};
constexpr std::chrono::milliseconds kRestartPause{200};
constexpr std::chrono::seconds kGracePeriod{6};
// Lengths of the phases without faults. During the recovery phase, the time
// bounds start to apply again. The share of requests served in the final phase
// is checked.
constexpr std::chrono::seconds kRecoveryLength{6};
constexpr std::chrono::seconds kFinalPhaseLength{3};
constexpr std::chrono::seconds kDrainDuration{4};
constexpr double kLostPacketShare = 0.2;
constexpr const char* kFirstService = "first";
constexpr const char* kSecondService = "second";

}  // namespace

SoakEnvironment::SoakEnvironment(SoakOptions options)
    : options_(std::move(options)),
      ports_(FindFreePorts(GetHostAddress(kStoreHost))) {
  store_server_ = std::make_unique<transport::HttpServer>(
      io_,
      Endpoint{.address = GetHostAddress(kStoreHost), .port = ports_.store},
      [this](const HttpServerRequest& call) {
        return ExecuteStoreCall(store_, call);
      });
  routes_ = {
      {.address = ParseEndpoint("198.18.0.1:443"), .service = kFirstService},
      {.address = ParseEndpoint("198.18.0.2:443"), .service = kSecondService}};
  AddChangingRoutes();
  AddMovedRoute();
  StoreNewRoutes(GetMonotonicTime());
  std::vector<Endpoint> data_endpoints;
  for (std::size_t n = 0; n < options_.balancers; ++n) {
    const auto host =
        GetHostAddress(kFirstBalancerHost + static_cast<std::uint32_t>(n));
    data_endpoints.push_back({.address = host, .port = ports_.data});
    AddAndStartNode(
        fmt::format("balancer-{}", n),
        NodeParameters{.host = host,
                       .zone = GetZone(n),
                       .heartbeat_interval = options_.heartbeat_interval});
  }
  for (std::size_t n = 0; n < options_.targets; ++n) {
    const auto host =
        GetHostAddress(kFirstTargetHost + static_cast<std::uint32_t>(n));
    const std::string service = n % 5 < 3 ? kFirstService : kSecondService;
    AddAndStartNode(
        fmt::format("agent-{}", n),
        NodeParameters{.host = host,
                       .service = service,
                       .zone = GetZone(n),
                       .heartbeat_interval = options_.heartbeat_interval});
    targets_.push_back(std::make_unique<TargetStandin>(
        io_, host, ports_, service, GetZone(n), options_.heartbeat_interval,
        MakeTargetEvents(n)));
  }
  if (options_.other_entries > 0) {
    store_.other_entries = options_.other_entries;
    store_.page_entries = kShortPageEntries;
  }
  callers_ = std::make_unique<Callers>(
      io_,
      Endpoint{.address = GetHostAddress(kCallerHost), .port = ports_.data},
      data_endpoints, GetCalledRoutes(),
      CallerPorts(options_.reuse.kinds.contains(ReuseKind::kPorts),
                  options_.reuse.kinds.contains(ReuseKind::kLateCopies),
                  options_.seed),
      options_.seed, MakeCallerEvents());
  if (options_.reuse.kinds.contains(ReuseKind::kLatePackets)) {
    callers_->StartLatePackets(options_.seed);
  }
}

auto SoakEnvironment::AddAndStartNode(const std::string& subject,
                                      NodeParameters parameters) -> void {
  auto node = std::make_unique<Node>();
  const auto n = static_cast<std::uint32_t>(nodes_.size());
  node->subject = subject;
  node->parameters = std::move(parameters);
  node->parameters.name = subject;
  if (options_.zones > 1) {
    node->parameters.evacuation_time =
        std::chrono::duration_cast<std::chrono::milliseconds>(kEvacuationTime);
  }
  for (std::size_t zone = 0; zone < options_.zones; ++zone) {
    node->parameters.zones.push_back(GetZone(zone));
  }
  node->parameters.seed_hosts = {GetHostAddress(kFirstBalancerHost),
                                 GetHostAddress(kFirstBalancerHost + 1)};
  node->parameters.store = {.address = GetHostAddress(kFirstProxyHost + n),
                            .port = ports_.store};
  node->store_proxy = std::make_unique<TcpProxy>(
      io_, node->parameters.store,
      Endpoint{.address = GetHostAddress(kStoreHost), .port = ports_.store});
  node->readiness_client = std::make_unique<transport::HttpClient>(
      io_, Endpoint{.address = node->parameters.host, .port = ports_.ready});
  AddClock(*node);
  nodes_.push_back(std::move(node));
  StartNodeProcess(*nodes_.back());
}

auto SoakEnvironment::StartNodeProcess(Node& node) -> void {
  node.restart_at = node.stop_deadline = {};
  node.is_exit_expected = node.is_frozen = false;
  ++node.start_count;
  node.started_at = GetMonotonicTime();
  node.started_service = node.parameters.service;
  node.started_at_wall_time = transport::GetWallTime();
  node.process = std::make_unique<NodeProcess>(
      node.clock != nullptr ? options_.clock_program : options_.program,
      FormatNodeSettings(ports_, node.parameters),
      fmt::format("soak-{}-{}-{}", options_.seed, node.subject,
                  node.start_count),
      node.clock != nullptr ? node.clock->GetEnvironment()
                            : std::vector<std::string>{});
}

auto SoakEnvironment::RunAfterDelay(Duration delay,
                                    std::function<void()> handler) -> void {
  const auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay));
  timer->async_wait(
      [timer, handler = std::move(handler)](const asio::error_code& ec) {
        if (!ec) {
          handler();
        }
      });
}

auto SoakEnvironment::RunPeriodically(Duration interval,
                                      std::function<void()> handler) -> void {
  RunAfterDelay(interval, [this, interval, handler = std::move(handler)] {
    handler();
    RunPeriodically(interval, handler);
  });
}

auto SoakEnvironment::RunAllPhases() -> const InvariantChecker& {
  started_ = last_tick_ = checker_.started = GetMonotonicTime();
  const Duration end = kStartupTime + options_.length;
  if (options_.has_faults) {
    for (const auto& it : GenerateFaultSeries(options_.seed, options_.length)) {
      RunAfterDelay(kStartupTime + it.start_offset,
                    [this, it] { ApplyFault(it, GetMonotonicTime()); });
    }
  }
  for (const auto& it :
       GenerateReuseSeries(options_.seed, options_.length, options_.reuse)) {
    RunAfterDelay(kStartupTime + it.start_offset,
                  [this, it] { ApplyReuse(it, GetMonotonicTime()); });
  }
  StartRestartSeries();
  ScheduleOperatorEvents(kStartupTime);
  SchedulePlants(kStartupTime, end);
  // On SIGTERM or SIGINT, the soak ends its child processes before it exits.
  asio::signal_set signals(io_, SIGTERM, SIGINT);
  signals.async_wait([this](const asio::error_code& ec, int) {
    if (!ec) {
      RecordEvent("stopped by a signal before the end of the soak");
      io_.stop();
    }
  });
  RunPeriodically(kTickInterval, [this] { OnTickTimerExpired(); });
  RunPeriodically(kReadinessInterval, [this] { ProbeBalancerReadiness(); });
  RunPeriodically(kMetricsInterval, [this] { CheckRoutesVersions(); });
  RunAfterDelay(end + kRecoveryLength + kDrainDuration, [this] {
    in_final_phase_ = true;
    OnFinalPhaseStarted(checker_, GetMonotonicTime());
  });
  io_.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(
      end + kRecoveryLength + kDrainDuration + kFinalPhaseLength));
  if (in_final_phase_) {
    CheckServedShareOfFinalPhase(checker_, GetMonotonicTime());
  }
  return checker_;
}

auto SoakEnvironment::KeepLogFiles() -> std::vector<std::string> {
  std::vector<std::string> paths;
  for (const auto& it : ended_processes_) {
    paths.push_back(it->KeepLogFile());
  }
  for (const auto& it : nodes_) {
    if (it->process != nullptr) {
      paths.push_back(it->process->KeepLogFile());
    }
  }
  return paths;
}

auto SoakEnvironment::OnTickTimerExpired() -> void {
  const TimePoint now = GetMonotonicTime();
  if (now - last_tick_ > kStallThreshold) {
    RecordEvent("stall of the soak process");
    RecordDisturbance(checker_, "store", false, now);
    for (const auto& it : nodes_) {
      RecordDisturbance(checker_, it->subject, false, now);
    }
  }
  last_tick_ = now;
  RestartExitedAndKillOverdueProcesses(now);
  EndAfterPlantedViolation(now);
  callers_->OpenFlowsAndSendDuePackets(now, in_final_phase_);
}

auto SoakEnvironment::RestartExitedAndKillOverdueProcesses(TimePoint now)
    -> void {
  for (const auto& it : nodes_) {
    Node& node = *it;
    if (node.process == nullptr) {
      if (now >= node.restart_at) {
        RecordDisturbance(checker_, node.subject, true, now);
        StartNodeProcess(node);
      }
      continue;
    }
    const auto code = node.process->PollExitCode();
    if (code.has_value()) {
      OnProcessExited(checker_, node.subject, node.is_exit_expected, *code,
                      now);
      ended_processes_.push_back(std::move(node.process));
      node.is_in_rotation = false;
      node.restart_at = std::max(now + kRestartPause, node.held_until);
    } else if (node.stop_deadline != TimePoint{} && now > node.stop_deadline) {
      checker_.violations.push_back(Violation{
          .invariant = kGraceCheck, .detail = node.subject, .at = now});
      node.process->SendSignal(SIGKILL);
    }
  }
}

auto SoakEnvironment::ApplyFault(const Fault& fault, TimePoint now) -> void {
  OnFaultStarted(checker_);
  RecordEvent(fmt::format(
      "{} subject {} for {} ms", ToString(fault.kind), fault.subject_index,
      std::chrono::duration_cast<std::chrono::milliseconds>(fault.duration)
          .count()));
  if (!ApplyIfProcessFault(fault, now) && !ApplyIfStoreFault(fault, now)) {
    ApplyTargetOrPacketLossFault(fault, now);
  }
}

auto SoakEnvironment::ApplyIfProcessFault(const Fault& fault, TimePoint now)
    -> bool {
  switch (fault.kind) {
    case FaultKind::kKillBalancer:
      KillProcess(GetBalancer(fault.subject_index), now);
      return true;
    case FaultKind::kKillAgent:
      KillProcess(GetAgent(fault.subject_index), now);
      return true;
    case FaultKind::kKillAllBalancers:
      for (std::size_t n = 0; n < options_.balancers; ++n) {
        KillProcess(GetBalancer(n), now);
      }
      return true;
    case FaultKind::kStopBalancer:
      StopProcess(GetBalancer(fault.subject_index), now);
      return true;
    case FaultKind::kStopAgent:
      StopProcess(GetAgent(fault.subject_index), now);
      return true;
    case FaultKind::kFreezeBalancer:
      FreezeProcess(GetBalancer(fault.subject_index), fault.duration, now);
      return true;
    case FaultKind::kFreezeAgent:
      FreezeProcess(GetAgent(fault.subject_index), fault.duration, now);
      return true;
    case FaultKind::kReload:
      for (std::size_t n = 0; n < nodes_.size(); ++n) {
        if (nodes_[n]->process != nullptr) {
          nodes_[n]->process->WriteSettingsFile(
              FormatNodeSettings(ports_, nodes_[n]->parameters));
          if (n % 2 == 0) {
            SendSignalWhenLoaded(*nodes_[n], SIGHUP);
          }
        }
      }
      return true;
    default:
      return false;
  }
}

auto SoakEnvironment::ApplyTargetOrPacketLossFault(const Fault& fault,
                                                   TimePoint now) -> void {
  const std::size_t n = fault.subject_index % targets_.size();
  TargetStandin& target = *targets_[n];
  switch (fault.kind) {
    case FaultKind::kTargetCrash:
      if (target.is_alive() && !target.is_draining()) {
        target.CrashTarget();
        RunAfterDelay(fault.duration, [&target] {
          target.RestartTarget(target.service_name());
        });
      }
      break;
    case FaultKind::kTargetReplace:
      if (target.is_alive() && !target.is_draining()) {
        target.StartDraining();
        RunAfterDelay(kDrainDuration, [this, n] {
          ReplaceTarget(n, false, GetMonotonicTime());
        });
      }
      break;
    case FaultKind::kTargetAddressReuse:
      if (target.is_alive() && !target.is_draining() &&
          CountTargetsOfService(target.service_name()) > 1) {
        ReplaceTarget(n, true, now);
      }
      break;
    case FaultKind::kTargetMute:
      target.SetTargetUnresponsive(true);
      RunAfterDelay(fault.duration,
                    [&target] { target.SetTargetUnresponsive(false); });
      break;
    case FaultKind::kPacketLoss:
      callers_->SetPacketLossShare(kLostPacketShare);
      RunAfterDelay(fault.duration,
                    [this] { callers_->SetPacketLossShare(0); });
      break;
    default:
      break;
  }
}

auto SoakEnvironment::KillProcess(Node& node, TimePoint now) -> void {
  RecordDisturbance(checker_, node.subject, false, now + kRestartPause);
  if (node.process != nullptr) {
    node.is_exit_expected = true;
    node.process->SendSignal(SIGKILL);
  }
}

auto SoakEnvironment::StopProcess(Node& node, TimePoint now) -> void {
  if (node.process == nullptr || node.is_frozen || node.is_exit_expected) {
    return;
  }
  RecordDisturbance(checker_, node.subject, true, now);
  node.is_exit_expected = true;
  node.stop_deadline = now + kGracePeriod;
  SendSignalWhenLoaded(node, SIGTERM);
}

auto SoakEnvironment::FreezeProcess(Node& node,
                                    Duration duration,
                                    TimePoint now) -> void {
  if (node.process == nullptr || node.is_exit_expected || node.is_frozen) {
    return;
  }
  node.is_frozen = true;
  node.process->SendSignal(SIGSTOP);
  RecordDisturbance(checker_, node.subject, false, now + duration);
  RunAfterDelay(duration, [&node, start_count = node.start_count] {
    if (node.process != nullptr && node.start_count == start_count) {
      node.is_frozen = false;
      node.process->SendSignal(SIGCONT);
    }
  });
}

// Shuts a target down, stops the target's agent and restarts both, as the
// platform does. With `reuse`, kills target and agent instead, and restarts
// both at the same address for the other service.
auto SoakEnvironment::ReplaceTarget(std::size_t target,
                                    bool reuse,
                                    TimePoint now) -> void {
  Node& agent = GetAgent(target);
  TargetStandin& ended = *targets_[target];
  if (reuse) {
    ended.CrashTarget();
    agent.parameters.service = FindOtherService(agent.parameters.service);
    KillProcess(agent, now);
  } else {
    ended.ShutDownTarget();
    StopProcess(agent, now);
  }
  RunAfterDelay(std::chrono::milliseconds{800}, [&agent, &ended] {
    ended.RestartTarget(agent.parameters.service);
  });
}

}  // namespace hawthornbank::soak
