#include <algorithm>
#include <csignal>

#include "packet_head.h"
#include "soak/packets.h"
#include "soak/world.h"
#include "transport/clock.h"

/// @file
/// Plants faults that break a rule, to prove that the judge reports it. The
/// faults act on stand-ins and packets only.
namespace hawthornbank::soak {
namespace {

using transport::GetMonotonicTime;

constexpr std::uint32_t kPlantHost = 251;
constexpr std::chrono::milliseconds kPlantStart{300};
constexpr std::chrono::milliseconds kInjectionInterval{300};
constexpr std::chrono::milliseconds kForgeryInterval{200};
constexpr std::chrono::milliseconds kExitDelay{1200};
constexpr std::chrono::seconds kTimeUntilShutDown{2};
// Time beyond a rule's bound, or before its end, of an injected opening.
constexpr std::chrono::milliseconds kBoundSlack{250};
// Span after a change of a route in which CONFIG-regress injects openings.
constexpr std::chrono::milliseconds kRegressStart{1800};
constexpr std::chrono::milliseconds kRegressEnd{2800};
constexpr std::chrono::seconds kRegressInterval{5};
// Time for which a soak with planted faults runs on after a violation, in which
// others would be reported.
constexpr std::chrono::milliseconds kTimeAfterViolation{1500};
constexpr std::uint64_t kAnswerOffset = 1'000'000;
// Requests still to come on a flow that is long enough to be led astray.
constexpr int kMinRequestsLeft = 5;

}  // namespace

auto SoakEnvironment::HasPlant(Plant plant) const -> bool {
  return options_.plants.contains(plant);
}

auto SoakEnvironment::SchedulePlants(Duration start, Duration end) -> void {
  if (options_.plants.empty()) {
    return;
  }
  plant_socket_ = std::make_unique<transport::UdpSocket>(
      io_, Endpoint{.address = GetHostAddress(kPlantHost), .port = 0});
  RunAfterDelay(start + kPlantStart, [this] {
    PlantTargetFaults();
    callers_->SetPacketTap([this](const FlowPacket& packet, ByteView bytes) {
      return InjectCopy(packet, bytes);
    });
    RunPeriodically(kForgeryInterval, [this] { SendForgedPackets(); });
  });
  if (HasPlant(Plant::kExitAgent)) {
    RunAfterDelay(start + kExitDelay, [this] {
      GetAgent(options_.seed).process->SendSignal(SIGKILL);
    });
  }
  if (HasPlant(Plant::kConfigDropped)) {
    RunAfterDelay(start, [this] { DropRouteForPlant(); });
  }
  if (HasPlant(Plant::kConfigBound)) {
    RunAfterDelay(start, [this] { ChangeRouteForPlant(); });
  }
  if (HasPlant(Plant::kConfigRegress)) {
    RunAfterDelay(start, [this] { ChangeRouteForPlant(); });
    RunPeriodically(kRegressInterval, [this] { ChangeRouteForPlant(); });
  }
  if (HasPlant(Plant::kEvacZone)) {
    RunAfterDelay(start, [this] { TakeZoneOut(GetZone(options_.zones - 1)); });
  }
  if (HasPlant(Plant::kRecoverSilence)) {
    RunAfterDelay(end, [this] {
      callers_->SetPacketTap([](const FlowPacket&, ByteView) { return false; });
    });
  }
}

auto SoakEnvironment::EndAfterPlantedViolation(TimePoint now) -> void {
  if (!options_.plants.empty() && !checker_.violations.empty() &&
      now - checker_.violations.front().at > kTimeAfterViolation) {
    io_.stop();
  }
}

auto SoakEnvironment::ChangeRouteForPlant() -> void {
  former_service_ = changing_routes_.front().service;
  route_changed_at_ = GetMonotonicTime();
  ChangeRoute(0);
}

auto SoakEnvironment::DropRouteForPlant() -> void {
  former_service_ = changing_routes_.front().service;
  route_changed_at_ = GetMonotonicTime();
  changing_routes_.front().service.clear();
  OnRouteDropped(exemptions_, changing_routes_.front().address,
                 route_changed_at_);
  StoreNewRoutes(route_changed_at_);
}

// Makes the target chosen by the seed misbehave.
auto SoakEnvironment::PlantTargetFaults() -> void {
  const std::size_t n = options_.seed % targets_.size();
  TargetStandin& target = *targets_[n];
  if (HasPlant(Plant::kMixedAnswer)) {
    target.SetPlants({.answer_offset = kAnswerOffset});
  }
  if (HasPlant(Plant::kRouteTarget)) {
    Node& agent = GetAgent(n);
    agent.parameters.service = FindOtherService(target.service_name());
    target.SetPlants({.reported_service = agent.parameters.service});
    KillProcess(agent, GetMonotonicTime());
  }
  if (HasPlant(Plant::kDrainDraining) || HasPlant(Plant::kDrainGone)) {
    target.StartDraining();
  }
  if (HasPlant(Plant::kDrainGone)) {
    RunAfterDelay(kTimeUntilShutDown, [&target] { target.ShutDownTarget(); });
  }
}

// Returns a target that gets a copy of an opening which breaks a rule now.
auto SoakEnvironment::FindWrongTarget(const FlowPacket& opening, TimePoint now)
    -> std::optional<std::size_t> {
  const std::size_t chosen = options_.seed % targets_.size();
  const std::string service = [&] {
    for (const auto& it : routes_) {
      if (it.address == opening.destination) {
        return it.service;
      }
    }
    return std::string();
  }();
  const TargetStandin& leaving = *targets_[chosen];
  const TimePoint since = leaving.is_alive() ? leaving.drain_acknowledged_at()
                                             : leaving.end_acknowledged_at();
  const bool is_gone_wanted = HasPlant(Plant::kDrainGone);
  if ((HasPlant(Plant::kDrainDraining) || is_gone_wanted) &&
      leaving.service_name() == service &&
      leaving.is_alive() != is_gone_wanted && since != TimePoint{} &&
      now - since > kDrainOpeningTime + kBoundSlack) {
    return chosen;
  }
  const Duration age = now - route_changed_at_;
  const bool is_config_due = HasPlant(Plant::kConfigRegress)
                                 ? age > kRegressStart && age < kRegressEnd
                                 : (HasPlant(Plant::kConfigBound) ||
                                    HasPlant(Plant::kConfigDropped)) &&
                                       age > kPropagationTime + kBoundSlack;
  const bool is_changed = !changing_routes_.empty() &&
                          opening.destination == changing_routes_[0].address;
  const auto out = checker_.zones_out.begin();
  const bool is_zone_due = HasPlant(Plant::kEvacZone) &&
                           out != checker_.zones_out.end() &&
                           now - out->second > kEvacuationTime + kBoundSlack;
  for (std::size_t n = 0; n < targets_.size(); ++n) {
    const TargetStandin& it = *targets_[n];
    if ((is_config_due && is_changed && it.service_name() == former_service_) ||
        (is_zone_due && it.service_name() == service &&
         it.zone_name() == out->first)) {
      return n;
    }
  }
  return std::nullopt;
}

// Sends a caller's packet to a target where it breaks a rule. Returns whether
// the packet still goes to its balancer.
auto SoakEnvironment::InjectCopy(const FlowPacket& packet, ByteView bytes)
    -> bool {
  const TimePoint now = GetMonotonicTime();
  const FlowKey key = ExtractCallerFlowKey(packet);
  const CallerFlow* const flow = callers_->FindFlow(key);
  if (HasPlant(Plant::kFlowStrays) && !packet.is_opening && flow != nullptr) {
    const FlowId id = MakeFlowId(*flow);
    const auto holder = FindHolder(id);
    if (!stray_flow_.has_value() && holder.has_value() &&
        flow->requests_left >= kMinRequestsLeft) {
      stray_flow_ = id;
      stray_target_ = (*holder + 1) % targets_.size();
      targets_[stray_target_]->SetPlants({.swallows_unknown = true});
    }
    if (stray_flow_ == id) {
      plant_socket_->SendDatagram(targets_[stray_target_]->app(), bytes);
      return false;
    }
  }
  if (now < next_injection_) {
    return true;
  }
  if (HasPlant(Plant::kUnaskedBytes) && ReadRequestNumber(bytes) != 0) {
    next_injection_ = now + kInjectionInterval;
    Bytes changed(bytes.begin(), bytes.end());
    changed.back() ^= 1U;
    plant_socket_->SendDatagram(
        targets_[options_.seed % targets_.size()]->app(), changed);
    return true;
  }
  if (packet.is_opening) {
    const auto wrong = FindWrongTarget(packet, now);
    if (wrong.has_value()) {
      next_injection_ = now + kInjectionInterval;
      plant_socket_->SendDatagram(targets_[*wrong]->app(), bytes);
      return false;
    }
  }
  return true;
}

// Sends a forged packet to the caller of an open flow.
auto SoakEnvironment::SendForgedPackets() -> void {
  const auto& flows = callers_->flows();
  const auto it =
      std::find_if(flows.begin(), flows.end(), [this](const auto& flow) {
        return flow.second.is_open && flow.second.pending_request != 0 &&
               FindHolder(MakeFlowId(flow.second)).has_value();
      });
  if (it == flows.end()) {
    return;
  }
  const CallerFlow& flow = it->second;
  const FlowKey key = MakeFlowId(flow).key;
  const Endpoint caller{.address = GetHostAddress(kCallerHost),
                        .port = ports_.data};
  const std::uint32_t sequence = flow.target_sequence + 1;
  if (HasPlant(Plant::kFlowReset)) {
    plant_socket_->SendDatagram(caller,
                                platform::EncodeResetPacket(key, sequence));
  }
  if (HasPlant(Plant::kMixedBytes)) {
    Bytes answer = EncodeFlowPacket(
        FlowPacket{.source = key.address,
                   .destination = key.caller,
                   .has_acknowledgement = true,
                   .sequence = sequence},
        Payload{.request = flow.pending_request, .filler_blocks = 1});
    answer.back() ^= 1U;
    plant_socket_->SendDatagram(caller, answer);
  }
}

}  // namespace hawthornbank::soak
