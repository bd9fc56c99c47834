#include "soak/world.h"

/// @file
/// Faults of the store and of the connections to it.
namespace hawthornbank::soak {
auto SoakEnvironment::ApplyIfStoreFault(const Fault& fault, TimePoint now)
    -> bool {
  switch (fault.kind) {
    case FaultKind::kStoreReset:
      SetStoreProxyModesForDuration(ProxyMode::kReset, fault.duration, now);
      return true;
    case FaultKind::kStoreSilent:
      SetStoreProxyModesForDuration(ProxyMode::kSilent, fault.duration, now);
      return true;
    case FaultKind::kStoreSlow:
      SetStoreProxyModesForDuration(ProxyMode::kDelay, fault.duration, now);
      return true;
    case FaultKind::kStoreNoAnswers:
      SetStoreProxyModesForDuration(ProxyMode::kNoAnswers, fault.duration, now);
      return true;
    case FaultKind::kStoreBusy:
      store_.is_busy = true;
      RecordDisturbance(checker_, "store", false, now + fault.duration);
      RunAfterDelay(fault.duration, [this] { store_.is_busy = false; });
      return true;
    case FaultKind::kStoreLapse:
      EraseLoadBalancerObjects(store_);
      return true;
    case FaultKind::kStoreCut: {
      Node& node = *nodes_[fault.subject_index % nodes_.size()];
      node.store_proxy->SetProxyMode(ProxyMode::kSilent);
      RecordDisturbance(checker_, node.subject, false, now + fault.duration);
      RunAfterDelay(fault.duration, [&node] {
        node.store_proxy->SetProxyMode(ProxyMode::kForward);
      });
      return true;
    }
    case FaultKind::kSilentConnections:
      for (const auto& it : nodes_) {
        it->store_proxy->SilenceOpenConnections();
        RecordDisturbance(checker_, it->subject, false, now);
      }
      return true;
    case FaultKind::kConfigure:
      StoreNewRoutes(now);
      return true;
    default:
      return false;
  }
}

auto SoakEnvironment::SetStoreProxyModesForDuration(ProxyMode mode,
                                                    Duration duration,
                                                    TimePoint now) -> void {
  RecordDisturbance(checker_, "store", false, now + duration);
  for (const auto& it : nodes_) {
    it->store_proxy->SetProxyMode(mode);
  }
  RunAfterDelay(duration, [this] {
    for (const auto& it : nodes_) {
      it->store_proxy->SetProxyMode(ProxyMode::kForward);
    }
  });
}

// Stores new routes: those that callers use and four further routes, which no
// caller uses and which change with the routes version.
auto SoakEnvironment::StoreNewRoutes(TimePoint now) -> void {
  std::vector<StoredRoute> routes;
  for (const auto& it : routes_) {
    routes.push_back({.address = it.address, .service = it.service});
  }
  for (const auto& it : changing_routes_) {
    if (!it.service.empty()) {
      routes.push_back({.address = it.address, .service = it.service});
    }
  }
  if (moved_route_.has_value() && moved_route_->is_stored) {
    routes.push_back({.address = moved_route_->route.address,
                      .service = moved_route_->route.service});
  }
  for (std::uint16_t n = 0; n < 4; ++n) {
    const auto port =
        static_cast<std::uint16_t>(1000 + (store_.routes_version + n) % 7);
    routes.push_back({.address = {.address = 0xC6120009, .port = port},
                      .service = routes_.front().service});
  }
  std::vector<std::pair<Endpoint, std::string>> services;
  services.reserve(routes.size());
  for (const auto& it : routes) {
    services.emplace_back(it.address, it.service);
  }
  OnRoutesStored(checker_, ReplaceRoutes(store_, std::move(routes)), services,
                 now);
}

}  // namespace hawthornbank::soak
