#include <fmt/format.h>

#include <algorithm>

#include "soak/operator_events.h"
#include "soak/world.h"
#include "transport/clock.h"

/// @file
/// Changes that the operator makes in the store: zones out of service, and
/// routes that lead to another service.
namespace hawthornbank::soak {
namespace {

using transport::GetMonotonicTime;

// Serving targets of a service with which none is taken away.
constexpr int kTargetsKept = 2;
constexpr const char* kFirstChangingRoute = "198.18.0.5:443";
constexpr const char* kSecondChangingRoute = "198.18.0.6:443";

}  // namespace

auto SoakEnvironment::AddChangingRoutes() -> void {
  if (!options_.has_route_changes) {
    return;
  }
  changing_routes_ = {{.address = ParseEndpoint(kFirstChangingRoute),
                       .service = routes_.front().service},
                      {.address = ParseEndpoint(kSecondChangingRoute),
                       .service = routes_.back().service}};
}

auto SoakEnvironment::ScheduleOperatorEvents(Duration start) -> void {
  ScheduleScaleIns(start);
  if (options_.has_operator_events) {
    for (const auto& it :
         GenerateZoneOrders(options_.seed, options_.length, options_.zones)) {
      RunAfterDelay(start + it.start_offset,
                    [this, it] { TakeZoneOut(GetZone(it.zone)); });
      RunAfterDelay(start + it.start_offset + it.duration,
                    [this, it] { ReturnZone(GetZone(it.zone)); });
    }
    for (const auto& it : GenerateRouteChanges(options_.seed, options_.length,
                                               changing_routes_.size())) {
      RunAfterDelay(start + it.start_offset,
                    [this, it] { ChangeRoute(it.route); });
    }
  }
}

auto SoakEnvironment::ScheduleScaleIns(Duration start) -> void {
  if (options_.has_scale_ins) {
    for (const auto& it : GenerateScaleIns(options_.seed, options_.length)) {
      RunAfterDelay(start + it.start_offset, [this, it] {
        TakeTargetAway(it.target % targets_.size(), it.away);
      });
    }
  }
}

// Drains a target, unless its service has few or it is being replaced, ends it
// and starts it again later. Its agent runs on.
auto SoakEnvironment::TakeTargetAway(std::size_t target, Duration away)
    -> void {
  TargetStandin& leaving = *targets_[target];
  const auto serving =
      std::count_if(targets_.begin(), targets_.end(), [&](const auto& it) {
        return it->service_name() == leaving.service_name() && it->is_alive() &&
               !it->is_draining();
      });
  if (!leaving.is_alive() || leaving.is_draining() ||
      handing_over_.contains(target) || serving <= kTargetsKept) {
    return;
  }
  OnFaultStarted(checker_);
  handing_over_.insert(target);
  RecordEvent(fmt::format(
      "target {} leaves for {} ms", target,
      std::chrono::duration_cast<std::chrono::milliseconds>(away).count()));
  leaving.StartDraining();
  RunAfterDelay(kScaleInDrain, [&leaving] { leaving.ShutDownTarget(); });
  RunAfterDelay(kScaleInDrain + away, [this, target, &leaving] {
    leaving.RestartTarget(GetAgent(target).parameters.service);
    handing_over_.erase(target);
  });
}

auto SoakEnvironment::TakeZoneOut(const std::string& zone) -> void {
  const TimePoint now = GetMonotonicTime();
  OnFaultStarted(checker_);
  RecordEvent(fmt::format("zone {} out of service", zone));
  SetZoneOutOfService(store_, zone, true);
  OnZoneOut(checker_, zone, now);
}

auto SoakEnvironment::ReturnZone(const std::string& zone) -> void {
  RecordEvent(fmt::format("zone {} returned", zone));
  SetZoneOutOfService(store_, zone, false);
  OnZoneReturned(checker_, zone);
}

auto SoakEnvironment::ChangeRoute(std::size_t route) -> void {
  CalledRoute& it = changing_routes_[route];
  it.service = FindOtherService(it.service);
  StoreNewRoutes(GetMonotonicTime());
  RecordEvent(fmt::format("route {} leads to {} from version {} on",
                          ToString(it.address), it.service,
                          store_.routes_version));
}

}  // namespace hawthornbank::soak
