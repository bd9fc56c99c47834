#include <fmt/format.h>

#include "soak/operator_events.h"
#include "soak/world.h"
#include "transport/clock.h"

/// @file
/// Changes that the operator makes in the store: zones out of service, and
/// routes that lead to another service.
namespace hawthornbank::soak {
namespace {

using transport::GetMonotonicTime;

constexpr const char* kFirstChangingRoute = "198.18.0.3:443";
constexpr const char* kSecondChangingRoute = "198.18.0.4:443";

}  // namespace

auto SoakEnvironment::AddChangingRoutes() -> void {
  changing_routes_ = {{.address = ParseEndpoint(kFirstChangingRoute),
                       .service = routes_.front().service},
                      {.address = ParseEndpoint(kSecondChangingRoute),
                       .service = routes_.back().service}};
}

auto SoakEnvironment::ScheduleOperatorEvents(Duration start) -> void {
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
