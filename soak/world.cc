#include "soak/world.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <utility>

#include "transport/clock.h"

namespace hawthornbank::soak {
namespace {

using transport::GetMonotonicTime;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::HttpServerRequest;

// Last bytes of addresses.
constexpr std::uint32_t kStoreHost = 1;
constexpr std::uint32_t kFirstBalancerHost = 2;
constexpr std::uint32_t kFirstTargetHost = 40;
constexpr std::uint32_t kFirstProxyHost = 110;
constexpr std::uint32_t kCallerHost = 250;

constexpr std::chrono::milliseconds kTick{20};
// A tick that comes so late held up everything here: no bound holds then.
constexpr std::chrono::milliseconds kStall{400};
constexpr std::chrono::milliseconds kReadyInterval{500};
constexpr std::chrono::milliseconds kProbeTime{450};
constexpr std::chrono::milliseconds kMetricsInterval{400};
constexpr std::chrono::milliseconds kRestartPause{200};
constexpr std::chrono::seconds kGrace{6};
constexpr std::chrono::seconds kSettleTime{2};
// The quiet end: bounds hold again, then requests are counted.
constexpr std::chrono::seconds kQuietBefore{6};
constexpr std::chrono::seconds kQuietLength{3};
constexpr std::chrono::seconds kDrainLength{4};
constexpr int kMostMissed = 2;
constexpr double kLossShare = 0.2;
constexpr const char* kFirstService = "first";
constexpr const char* kSecondService = "second";

auto Other(const std::string& service) -> std::string {
  return service == kFirstService ? kSecondService : kFirstService;
}

auto VersionIn(const std::string& metrics) -> std::optional<std::uint64_t> {
  constexpr std::string_view kName = "hawthornbank_routes_version ";
  const auto at = metrics.find(kName);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  std::uint64_t version = 0;
  const char* const start = metrics.data() + at + kName.size();
  std::from_chars(start, metrics.data() + metrics.size(), version);
  return version;
}

}  // namespace

World::World(SoakOptions options)
    : options_(std::move(options)), ports_(FreePorts(Host(kStoreHost))) {
  store_server_ = std::make_unique<transport::HttpServer>(
      io_, Endpoint{.address = Host(kStoreHost), .port = ports_.store},
      [this](const HttpServerRequest& call) {
        return AnswerCall(store_, call);
      });
  routes_ = {
      {.address = ParseEndpoint("198.18.0.1:443"), .service = kFirstService},
      {.address = ParseEndpoint("198.18.0.2:443"), .service = kSecondService}};
  Accept(GetMonotonicTime());
  std::vector<Endpoint> entries;
  for (std::size_t n = 0; n < options_.balancers; ++n) {
    const auto host = Host(kFirstBalancerHost + static_cast<std::uint32_t>(n));
    entries.push_back({.address = host, .port = ports_.data});
    AddNode(fmt::format("balancer-{}", n), NodePlace{.host = host});
  }
  for (std::size_t n = 0; n < options_.targets; ++n) {
    const auto host = Host(kFirstTargetHost + static_cast<std::uint32_t>(n));
    const std::string service = n % 5 < 3 ? kFirstService : kSecondService;
    AddNode(fmt::format("agent-{}", n),
            NodePlace{.host = host, .service = service});
    targets_.push_back(std::make_unique<TargetStandin>(
        io_, host, ports_, service,
        TargetEvents{.on_run =
                         [this, n](std::uint64_t request) {
                           OnRequestRun(judge_, request, targets_[n]->service(),
                                        GetMonotonicTime());
                         },
                     .on_opening =
                         [this, n] {
                           const TimePoint since =
                               targets_[n]->drain_acknowledged();
                           if (since != TimePoint{}) {
                             OnOpeningWhileDraining(judge_, Agent(n).subject,
                                                    since, GetMonotonicTime());
                           }
                         }}));
  }
  callers_ = std::make_unique<Callers>(
      io_, Endpoint{.address = Host(kCallerHost), .port = ports_.data}, entries,
      routes_, options_.seed,
      CallerEvents{
          .on_request =
              [this](const CallerFlow& flow) {
                OnRequestSent(judge_, flow.request, flow.route.service);
              },
          .on_answer =
              [this](const CallerFlow& flow, std::uint64_t answered) {
                OnAnswer(judge_, flow.request, answered, GetMonotonicTime());
              },
          .on_reset = [this](const CallerFlow& flow) { OnCallersReset(flow); },
          .on_outcome = [this](
                            const CallerFlow& flow,
                            bool served) { OnCallersOutcome(flow, served); }});
}

auto World::AddNode(const std::string& subject, NodePlace place) -> void {
  auto node = std::make_unique<Node>();
  const auto n = static_cast<std::uint32_t>(nodes_.size());
  node->subject = subject;
  node->place = std::move(place);
  node->place.name = subject;
  node->place.seeds = {Host(kFirstBalancerHost), Host(kFirstBalancerHost + 1)};
  node->place.store = {.address = Host(kFirstProxyHost + n),
                       .port = ports_.store};
  node->store = std::make_unique<TcpProxy>(
      io_, node->place.store,
      Endpoint{.address = Host(kStoreHost), .port = ports_.store});
  node->probe = std::make_unique<transport::HttpClient>(
      io_, Endpoint{.address = node->place.host, .port = ports_.ready});
  nodes_.push_back(std::move(node));
  StartNode(*nodes_.back());
}

auto World::StartNode(Node& node) -> void {
  node.start_at = node.stop_by = {};
  node.end_expected = node.frozen = false;
  ++node.starts;
  node.process = std::make_unique<NodeProcess>(
      options_.program, SettingsText(ports_, node.place),
      fmt::format("soak-{}-{}", options_.seed, node.subject));
}

auto World::After(Duration pause, std::function<void()> handler) -> void {
  const auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(pause));
  timer->async_wait(
      [timer, handler = std::move(handler)](const asio::error_code& ec) {
        if (!ec) {
          handler();
        }
      });
}

auto World::Every(Duration interval, std::function<void()> handler) -> void {
  After(interval, [this, interval, handler = std::move(handler)] {
    handler();
    Every(interval, handler);
  });
}

auto World::Run() -> const Judge& {
  started_ = last_tick_ = judge_.started = GetMonotonicTime();
  const Duration end = kSettleTime + options_.length;
  for (const auto& it : PlanFaults(options_.seed, options_.length)) {
    After(kSettleTime + it.at, [this, it] { Apply(it, GetMonotonicTime()); });
  }
  // Told to end, it ends its processes first.
  asio::signal_set signals(io_, SIGTERM, SIGINT);
  signals.async_wait([this](const asio::error_code& ec, int) {
    if (!ec) {
      Remember("stopped before its end");
      io_.stop();
    }
  });
  Every(kTick, [this] { Tick(); });
  Every(kReadyInterval, [this] { CheckReady(); });
  Every(kMetricsInterval, [this] { ReadMetrics(); });
  After(end + kQuietBefore + kDrainLength, [this] { quiet_ = true; });
  io_.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(
      end + kQuietBefore + kDrainLength + kQuietLength));
  CheckEnd(judge_, GetMonotonicTime());
  return judge_;
}

auto World::KeepLogs() -> std::vector<std::string> {
  std::vector<std::string> paths;
  for (const auto& it : nodes_) {
    if (it->process != nullptr) {
      paths.push_back(it->process->KeepLog());
    }
  }
  return paths;
}

auto World::Tick() -> void {
  const TimePoint now = GetMonotonicTime();
  if (now - last_tick_ > kStall) {
    Remember("stall of the soak itself");
    Disturb(judge_, "store", false, now);
    for (const auto& it : nodes_) {
      Disturb(judge_, it->subject, false, now);
    }
  }
  last_tick_ = now;
  WatchProcesses(now);
  callers_->Step(now, quiet_);
}

auto World::WatchProcesses(TimePoint now) -> void {
  for (const auto& it : nodes_) {
    Node& node = *it;
    if (node.process == nullptr) {
      if (now >= node.start_at) {
        Disturb(judge_, node.subject, true, now);
        StartNode(node);
      }
      continue;
    }
    const auto code = node.process->TryWait();
    if (code.has_value()) {
      OnEnd(judge_, node.subject, node.end_expected, *code, now);
      node.process.reset();
      node.in_rotation = false;
      node.start_at = now + kRestartPause;
    } else if (node.stop_by != TimePoint{} && now > node.stop_by) {
      judge_.violations.push_back(
          Violation{.rule = "grace", .detail = node.subject, .at = now});
      node.process->Signal(SIGKILL);
    }
  }
}

auto World::CheckReady() -> void {
  for (std::size_t n = 0; n < options_.balancers; ++n) {
    Node& node = Balancer(n);
    if (node.probe->busy()) {
      continue;
    }
    node.probe->Send(HttpRequest{.target = "/api/readyz"}, kProbeTime,
                     [this, n](const HttpResponse& reply) {
                       Node& probed = Balancer(n);
                       probed.missed =
                           reply.status == 200 ? 0 : probed.missed + 1;
                       probed.in_rotation =
                           probed.missed == 0 ||
                           (probed.in_rotation && probed.missed < kMostMissed);
                       std::vector<bool> rotation;
                       for (std::size_t it = 0; it < options_.balancers; ++it) {
                         rotation.push_back(Balancer(it).in_rotation);
                       }
                       callers_->SetRotation(std::move(rotation));
                     });
  }
}

auto World::ReadMetrics() -> void {
  for (std::size_t n = 0; n < options_.balancers; ++n) {
    const Node& node = Balancer(n);
    const auto client = std::make_shared<transport::HttpClient>(
        io_, Endpoint{.address = node.place.host, .port = ports_.ready});
    client->Send(
        HttpRequest{.target = "/metrics"}, kProbeTime,
        [this, n, client, starts = node.starts](const HttpResponse& reply) {
          const Node& asked = Balancer(n);
          const auto version = VersionIn(reply.body);
          if (version.has_value() && asked.starts == starts) {
            OnVersion(judge_, fmt::format("{}#{}", asked.subject, starts),
                      asked.subject, *version, GetMonotonicTime());
          }
        });
  }
}

auto World::OnCallersReset(const CallerFlow& flow) -> void {
  constexpr std::chrono::seconds kLately{2};
  const TimePoint now = GetMonotonicTime();
  const FlowKey key{.caller = {.address = Host(kCallerHost), .port = flow.port},
                    .address = flow.route.address};
  ResetRecord reset{.port = flow.port};
  for (std::size_t n = 0; n < targets_.size(); ++n) {
    if (targets_[n]->Holds(key) && !targets_[n]->mute()) {
      reset.target_holds_flow = true;
      reset.agent = Agent(n).subject;
    }
  }
  for (const auto& [balancer, used] : flow.takers) {
    if (now - used < kLately) {
      reset.takers.push_back(Balancer(balancer).subject);
    }
  }
  OnReset(judge_, reset, now);
}

auto World::OnCallersOutcome(const CallerFlow& flow, bool served) -> void {
  OnOutcome(judge_, served, flow.quiet);
  if (!served && flow.quiet) {
    Remember(fmt::format("not served in the quiet end: port {} to {}{}{}",
                         flow.port, ToString(flow.route.address),
                         flow.open ? ", open" : "",
                         flow.reset ? ", reset" : ""));
  }
}

auto World::Remember(const std::string& what) -> void {
  history_.push_back(fmt::format(
      "{:.2f} {}",
      std::chrono::duration<double>(GetMonotonicTime() - started_).count(),
      what));
}

auto World::Apply(const Fault& fault, TimePoint now) -> void {
  Remember(fmt::format(
      "{} subject {} for {} ms", ToString(fault.kind), fault.subject,
      std::chrono::duration_cast<std::chrono::milliseconds>(fault.lasts)
          .count()));
  if (!ApplyToProcess(fault, now) && !ApplyToStore(fault, now)) {
    ApplyToTarget(fault, now);
  }
}

auto World::ApplyToProcess(const Fault& fault, TimePoint now) -> bool {
  switch (fault.kind) {
    case FaultKind::kKillBalancer:
      Kill(Balancer(fault.subject), now);
      return true;
    case FaultKind::kKillAgent:
      Kill(Agent(fault.subject), now);
      return true;
    case FaultKind::kKillAllBalancers:
      for (std::size_t n = 0; n < options_.balancers; ++n) {
        Kill(Balancer(n), now);
      }
      return true;
    case FaultKind::kStopBalancer:
      Stop(Balancer(fault.subject), now);
      return true;
    case FaultKind::kStopAgent:
      Stop(Agent(fault.subject), now);
      return true;
    case FaultKind::kFreezeBalancer:
      Freeze(Balancer(fault.subject), fault.lasts, now);
      return true;
    case FaultKind::kFreezeAgent:
      Freeze(Agent(fault.subject), fault.lasts, now);
      return true;
    case FaultKind::kReload:
      for (std::size_t n = 0; n < nodes_.size(); ++n) {
        if (nodes_[n]->process != nullptr) {
          nodes_[n]->process->WriteSettings(
              SettingsText(ports_, nodes_[n]->place));
          if (n % 2 == 0) {
            nodes_[n]->process->Signal(SIGHUP);
          }
        }
      }
      return true;
    default:
      return false;
  }
}

auto World::ApplyToStore(const Fault& fault, TimePoint now) -> bool {
  switch (fault.kind) {
    case FaultKind::kStoreReset:
      SetStoreMode(ProxyMode::kReset, fault.lasts, now);
      return true;
    case FaultKind::kStoreSilent:
      SetStoreMode(ProxyMode::kSilent, fault.lasts, now);
      return true;
    case FaultKind::kStoreSlow:
      SetStoreMode(ProxyMode::kDelay, fault.lasts, now);
      return true;
    case FaultKind::kStoreNoAnswers:
      SetStoreMode(ProxyMode::kNoAnswers, fault.lasts, now);
      return true;
    case FaultKind::kStoreBusy:
      store_.busy = true;
      Disturb(judge_, "store", false, now + fault.lasts);
      After(fault.lasts, [this] { store_.busy = false; });
      return true;
    case FaultKind::kStoreLapse:
      Lapse(store_);
      return true;
    case FaultKind::kStoreCut: {
      Node& node = *nodes_[fault.subject % nodes_.size()];
      node.store->SetMode(ProxyMode::kSilent);
      Disturb(judge_, node.subject, false, now + fault.lasts);
      After(fault.lasts, [&node] { node.store->SetMode(ProxyMode::kPass); });
      return true;
    }
    case FaultKind::kSilentConnections:
      for (const auto& it : nodes_) {
        it->store->SilenceOpen();
        Disturb(judge_, it->subject, false, now);
      }
      return true;
    case FaultKind::kConfigure:
      Accept(now);
      return true;
    default:
      return false;
  }
}

// Targets of a service; without any, nobody could serve its callers.
auto World::CountOf(const std::string& service) const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(targets_.begin(), targets_.end(),
                    [&](const auto& it) { return it->service() == service; }));
}

auto World::ApplyToTarget(const Fault& fault, TimePoint now) -> void {
  const std::size_t n = fault.subject % targets_.size();
  TargetStandin& target = *targets_[n];
  switch (fault.kind) {
    case FaultKind::kTargetCrash:
      if (target.alive() && !target.draining()) {
        target.Crash();
        After(fault.lasts, [&target] { target.Restart(target.service()); });
      }
      break;
    case FaultKind::kTargetReplace:
      if (target.alive() && !target.draining()) {
        target.Drain();
        After(kDrainLength,
              [this, n] { Replace(n, false, GetMonotonicTime()); });
      }
      break;
    case FaultKind::kTargetReuse:
      if (target.alive() && !target.draining() &&
          CountOf(target.service()) > 1) {
        Replace(n, true, now);
      }
      break;
    case FaultKind::kTargetMute:
      target.SetMute(true);
      After(fault.lasts, [&target] { target.SetMute(false); });
      break;
    case FaultKind::kLoss:
      callers_->SetLoss(kLossShare);
      After(fault.lasts, [this] { callers_->SetLoss(0); });
      break;
    default:
      break;
  }
}

auto World::Kill(Node& node, TimePoint now) -> void {
  Disturb(judge_, node.subject, false, now + kRestartPause);
  if (node.process != nullptr) {
    node.end_expected = true;
    node.process->Signal(SIGKILL);
  }
}

auto World::Stop(Node& node, TimePoint now) -> void {
  if (node.process == nullptr || node.frozen || node.end_expected) {
    return;
  }
  Disturb(judge_, node.subject, true, now);
  node.end_expected = true;
  node.stop_by = now + kGrace;
  node.process->Signal(SIGTERM);
}

auto World::Freeze(Node& node, Duration lasts, TimePoint now) -> void {
  if (node.process == nullptr || node.end_expected || node.frozen) {
    return;
  }
  node.frozen = true;
  node.process->Signal(SIGSTOP);
  Disturb(judge_, node.subject, false, now + lasts);
  After(lasts, [&node, starts = node.starts] {
    if (node.process != nullptr && node.starts == starts) {
      node.frozen = false;
      node.process->Signal(SIGCONT);
    }
  });
}

auto World::SetStoreMode(ProxyMode mode, Duration lasts, TimePoint now)
    -> void {
  Disturb(judge_, "store", false, now + lasts);
  for (const auto& it : nodes_) {
    it->store->SetMode(mode);
  }
  After(lasts, [this] {
    for (const auto& it : nodes_) {
      it->store->SetMode(ProxyMode::kPass);
    }
  });
}

// The platform ends a target, then stops the agent; both start anew. With
// `reuse` both end at once, and the address goes to the other service.
auto World::Replace(std::size_t target, bool reuse, TimePoint now) -> void {
  Node& agent = Agent(target);
  TargetStandin& ended = *targets_[target];
  if (reuse) {
    ended.Crash();
    agent.place.service = Other(agent.place.service);
    Kill(agent, now);
  } else {
    ended.Depart();
    Stop(agent, now);
  }
  After(std::chrono::milliseconds{800},
        [&agent, &ended] { ended.Restart(agent.place.service); });
}

// Adds and removes routes that nobody uses.
auto World::Accept(TimePoint now) -> void {
  std::vector<StoredRoute> routes;
  for (const auto& it : routes_) {
    routes.push_back({.address = it.address, .service = it.service});
  }
  for (std::uint16_t n = 0; n < 4; ++n) {
    const auto port =
        static_cast<std::uint16_t>(1000 + (store_.version + n) % 7);
    routes.push_back({.address = {.address = 0xC6120009, .port = port},
                      .service = kFirstService});
  }
  judge_.accepted[Configure(store_, std::move(routes))] = now;
}

}  // namespace hawthornbank::soak
