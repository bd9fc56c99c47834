#include "common/membership_fleet.h"

#include <algorithm>
#include <utility>

namespace hawthornbank::bench {
namespace {

/// Bytes of IPv4 and UDP headers.
constexpr std::uint64_t kIpUdpHeaderBytes = 28;
constexpr std::uint32_t kFirstBalancerAddress = 0x0A000000;
constexpr std::uint32_t kFirstAgentAddress = 0x0B000000;
constexpr std::uint16_t kMembershipPort = 4000;

auto MakeBalancerEndpoint(std::size_t n) -> Endpoint {
  return Endpoint{
      .address = kFirstBalancerAddress + static_cast<std::uint32_t>(n),
      .port = kMembershipPort};
}

auto MakeAgentEndpoint(std::size_t n) -> Endpoint {
  return Endpoint{.address = kFirstAgentAddress + static_cast<std::uint32_t>(n),
                  .port = kMembershipPort};
}

auto MakeZoneName(std::size_t zone) -> std::string {
  return "zone-" + std::to_string(zone);
}

auto MakeAgentName(std::size_t n) -> std::string {
  return "target-" + std::to_string(n);
}

template <class Call>
auto RecordCallDuration(NodeTraffic& traffic, Call call) -> void {
  const auto begin = std::chrono::steady_clock::now();
  call();
  const auto end = std::chrono::steady_clock::now();
  traffic.core_seconds += std::chrono::duration<double>(end - begin).count();
  ++traffic.calls;
}

}  // namespace

MembershipFleet::MembershipFleet(const FleetOptions& options)
    : options_(options),
      network_(options.seed),
      balancers_(options.balancers),
      agents_(options.agents) {
  network_.SetLinkRule([this](std::uint64_t from, std::uint64_t to) {
    return GetLinkBetweenHosts(from, to);
  });
  for (std::size_t n = 0; n < balancers_.size(); ++n) {
    StartBalancer(n);
  }
  for (std::size_t n = 0; n < agents_.size(); ++n) {
    StartAgent(n);
  }
}

auto MembershipFleet::RunFor(Duration duration) -> void {
  network_.RunUntil(now() + duration);
}

auto MembershipFleet::RunUntil(Duration limit,
                               const std::function<bool()>& condition)
    -> Duration {
  constexpr std::chrono::milliseconds kStep{10};
  const auto begin = now();
  while (!condition() && now() - begin < limit) {
    RunFor(kStep);
  }
  return now() - begin;
}

auto MembershipFleet::GetBalancer(std::size_t n) const -> const Membership& {
  return *balancers_[n].core;
}

auto MembershipFleet::GetAgent(std::size_t n) -> Announcer& {
  return *agents_[n].core;
}

auto MembershipFleet::target_id_of_agent(std::size_t n) const -> TargetId {
  return TargetId{HashName(MakeAgentName(n))};
}

auto MembershipFleet::service_of_agent(std::size_t n) const -> ServiceId {
  return ServiceId{static_cast<std::uint32_t>(1 + n % options_.services)};
}

auto MembershipFleet::zone_of_balancer(std::size_t n) const -> std::size_t {
  return n % options_.zones;
}

auto MembershipFleet::zone_of_agent(std::size_t n) const -> std::size_t {
  return (n / options_.services) % options_.zones;
}

auto MembershipFleet::balancer_host(std::size_t n) const -> std::uint64_t {
  return n;
}

auto MembershipFleet::agent_host(std::size_t n) const -> std::uint64_t {
  return balancers_.size() + n;
}

auto MembershipFleet::GetZoneOfHost(std::uint64_t host) const -> std::size_t {
  return host < balancers_.size() ? zone_of_balancer(host)
                                  : zone_of_agent(host - balancers_.size());
}

auto MembershipFleet::GetLinkBetweenHosts(std::uint64_t from,
                                          std::uint64_t to) const -> Link {
  const auto a = GetZoneOfHost(from);
  const auto b = GetZoneOfHost(to);
  if ((a < first_zone_beyond_cut_) != (b < first_zone_beyond_cut_) ||
      one_way_cuts_.contains({from, to})) {
    return Link{.loss = 1};
  }
  const auto host_loss = inbound_loss_.find(to);
  const double loss_at_host =
      host_loss == inbound_loss_.end() ? 0 : host_loss->second;
  const auto same_zone_delay = std::chrono::microseconds{300};
  return Link{.delay = a == b ? Duration{same_zone_delay} : options_.link_delay,
              .jitter = options_.jitter,
              .loss = std::max(options_.loss, loss_at_host)};
}

auto MembershipFleet::StartBalancer(std::size_t n) -> void {
  auto& node = balancers_[n];
  const auto zone = zone_of_balancer(n);
  const auto region = zone / options_.zones_per_region;
  const auto name = "balancer-" + std::to_string(n);
  ++node.run_number;
  MembershipOptions options{
      .self = BalancerRecord{.id = HostId{HashName(name)},
                             .name = name,
                             .peer = MakeBalancerEndpoint(n),
                             .zone = MakeZoneName(zone),
                             .region = "region-" + std::to_string(region),
                             .incarnation = Incarnation{node.run_number}},
      .budget_bytes_per_second = options_.budget_bytes_per_second,
      .gossips_only_significant_load = options_.gossips_only_significant_load};
  for (std::size_t it = 0; it < std::min(options_.seeds, balancers_.size());
       ++it) {
    options.seeds.push_back(MakeBalancerEndpoint(it));
  }
  node.core = std::make_unique<Membership>(MakeMembership(options, now()));
  node.alive = true;
  network_.ReviveHost(balancer_host(n));
  const auto delay = Duration{
      static_cast<Duration::rep>(DrawRandomFraction(network_.random()) * 1e8)};
  network_.ScheduleActionOnHost(balancer_host(n), now() + delay,
                                [this, n, run_number = node.run_number] {
                                  RunBalancerTick(n, run_number);
                                });
}

auto MembershipFleet::StartAgent(std::size_t n) -> void {
  auto& node = agents_[n];
  ++node.run_number;
  AnnouncerOptions options{
      .self =
          TargetRecord{.id = target_id_of_agent(n),
                       .name = MakeAgentName(n),
                       .service = service_of_agent(n),
                       .agent = MakeAgentEndpoint(n),
                       .zone = MakeZoneName(zone_of_agent(n)),
                       .incarnation = Incarnation{node.run_number},
                       .load = TargetLoad{.connections = 2000, .slots = 3}}};
  for (std::size_t it = 0; it < std::min(options_.seeds, balancers_.size());
       ++it) {
    options.seeds.push_back(MakeBalancerEndpoint(it));
  }
  node.core = std::make_unique<Announcer>(MakeAnnouncer(options));
  node.alive = true;
  network_.ReviveHost(agent_host(n));
  const auto delay = Duration{
      static_cast<Duration::rep>(DrawRandomFraction(network_.random()) * 1e9)};
  network_.ScheduleActionOnHost(
      agent_host(n), now() + delay,
      [this, n, run_number = node.run_number] { RunAgentTick(n, run_number); });
}

auto MembershipFleet::KillBalancer(std::size_t n) -> void {
  balancers_[n].alive = false;
  ++balancers_[n].run_number;
  network_.KillHost(balancer_host(n));
}

auto MembershipFleet::KillAgent(std::size_t n) -> void {
  agents_[n].alive = false;
  ++agents_[n].run_number;
  network_.KillHost(agent_host(n));
}

auto MembershipFleet::DrainAgent(std::size_t n) -> void {
  std::vector<AnnouncerAction> actions;
  BeginDrain(*agents_[n].core, now(), actions);
  PerformAgentActions(n, actions);
  RunAgentTick(n, ++agents_[n].run_number);
}

auto MembershipFleet::SetGeneration(std::size_t n, Generation generation)
    -> void {
  hawthornbank::SetGeneration(*balancers_[n].core, generation);
}

auto MembershipFleet::RunBalancerTick(std::size_t n, std::uint64_t run_number)
    -> void {
  auto& node = balancers_[n];
  if (run_number != node.run_number || !node.alive) {
    return;
  }
  std::vector<MembershipAction> actions;
  TimePoint next;
  RecordCallDuration(node.traffic, [&] {
    next = OnMembershipTick(*node.core, now(), network_.random(), actions);
  });
  PerformBalancerActions(n, actions);
  network_.ScheduleActionOnHost(balancer_host(n), next, [this, n, run_number] {
    RunBalancerTick(n, run_number);
  });
}

auto MembershipFleet::RunAgentTick(std::size_t n, std::uint64_t run_number)
    -> void {
  auto& node = agents_[n];
  if (run_number != node.run_number || !node.alive) {
    return;
  }
  std::vector<AnnouncerAction> actions;
  TimePoint next;
  RecordCallDuration(node.traffic, [&] {
    next = OnAnnouncerTick(*node.core, now(), network_.random(), actions);
  });
  PerformAgentActions(n, actions);
  network_.ScheduleActionOnHost(agent_host(n), next, [this, n, run_number] {
    RunAgentTick(n, run_number);
  });
}

auto MembershipFleet::SendDigestToBalancer(std::size_t n,
                                           const SendDigest& send) -> void {
  const std::size_t to = send.to.address - kFirstBalancerAddress;
  network_.SendMessage(
      balancer_host(n), balancer_host(to),
      [this, n, to, digest = std::make_shared<Digest>(send.digest)] {
        std::vector<MembershipAction> out;
        RecordCallDuration(balancers_[to].traffic, [&] {
          OnDigestReceived(*balancers_[to].core, MakeBalancerEndpoint(n),
                           *digest, now(), out);
        });
        PerformBalancerActions(to, out);
      });
}

auto MembershipFleet::PerformBalancerActions(
    std::size_t n,
    std::vector<MembershipAction>& actions) -> void {
  auto& traffic = balancers_[n].traffic;
  for (const auto& action : actions) {
    if (const auto* digest = std::get_if<SendDigest>(&action)) {
      traffic.bytes += ComputeEncodedSize(digest->digest) + kIpUdpHeaderBytes;
      ++traffic.messages;
      SendDigestToBalancer(n, *digest);
    } else if (const auto* ack = std::get_if<SendAnnouncementAck>(&action)) {
      traffic.bytes += ComputeEncodedSize(ack->ack) + kIpUdpHeaderBytes;
      ++traffic.messages;
      const std::size_t to = ack->to.address - kFirstAgentAddress;
      network_.SendMessage(
          balancer_host(n), agent_host(to),
          [this, n, to, message = std::make_shared<AnnouncementAck>(ack->ack)] {
            std::vector<AnnouncerAction> out;
            RecordCallDuration(agents_[to].traffic, [&] {
              OnAnnouncementAckReceived(*agents_[to].core,
                                        MakeBalancerEndpoint(n), *message,
                                        now(), out);
            });
            PerformAgentActions(to, out);
          });
    } else if (const auto* event = std::get_if<CountMembershipEvent>(&action)) {
      ++events_[static_cast<std::size_t>(event->event)];
    } else {
      ++membership_changes_;
    }
  }
}

auto MembershipFleet::PerformAgentActions(std::size_t n,
                                          std::vector<AnnouncerAction>& actions)
    -> void {
  auto& traffic = agents_[n].traffic;
  for (const auto& action : actions) {
    const auto* send = std::get_if<SendAnnounce>(&action);
    if (send == nullptr) {
      continue;
    }
    traffic.bytes += ComputeEncodedSize(send->announcement) + kIpUdpHeaderBytes;
    ++traffic.messages;
    const std::size_t to = send->to.address - kFirstBalancerAddress;
    network_.SendMessage(
        agent_host(n), balancer_host(to),
        [this, n, to,
         message = std::make_shared<Announcement>(send->announcement)] {
          std::vector<MembershipAction> out;
          RecordCallDuration(balancers_[to].traffic, [&] {
            OnAnnouncement(*balancers_[to].core, MakeAgentEndpoint(n), *message,
                           now(), out);
          });
          PerformBalancerActions(to, out);
        });
  }
}

auto MembershipFleet::DoesBalancerRouteToTarget(std::size_t balancer,
                                                std::size_t agent) const
    -> bool {
  const auto& node = balancers_[balancer];
  if (!node.alive) {
    return false;
  }
  const auto id = target_id_of_agent(agent);
  const auto targets = ListRoutableTargets(*node.core, service_of_agent(agent));
  return std::any_of(targets.begin(), targets.end(),
                     [id](const TargetRecord& it) { return it.id == id; });
}

auto MembershipFleet::CountBalancersRoutingToTarget(std::size_t agent) const
    -> std::size_t {
  std::size_t count = 0;
  for (std::size_t n = 0; n < balancers_.size(); ++n) {
    count += DoesBalancerRouteToTarget(n, agent) ? 1 : 0;
  }
  return count;
}

auto MembershipFleet::GetBalancerIndex(Endpoint peer) const -> std::size_t {
  return peer.address - kFirstBalancerAddress;
}

auto MembershipFleet::CountRoutableTargets(std::size_t balancer) const
    -> std::size_t {
  std::size_t routable = 0;
  for (std::size_t it = 1; it <= options_.services; ++it) {
    const ServiceId service{static_cast<std::uint32_t>(it)};
    routable += ListRoutableTargets(*balancers_[balancer].core, service).size();
  }
  return routable;
}

auto MembershipFleet::IsRoutingComplete() const -> bool {
  const auto alive = static_cast<std::size_t>(
      std::count_if(agents_.begin(), agents_.end(),
                    [](const AgentNode& it) { return it.alive; }));
  for (std::size_t n = 0; n < balancers_.size(); ++n) {
    if (balancers_[n].alive && CountRoutableTargets(n) != alive) {
      return false;
    }
  }
  return true;
}

auto MembershipFleet::ResetTraffic() -> void {
  for (auto& it : balancers_) {
    it.traffic = {};
  }
  for (auto& it : agents_) {
    it.traffic = {};
  }
}

}  // namespace hawthornbank::bench
