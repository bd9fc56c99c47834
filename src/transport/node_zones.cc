#include "transport/node_zones.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "transport/node_host.h"

namespace hawthornbank::transport {
namespace {

// Age of a report that confirms nothing: one hour.
constexpr std::uint32_t kUnconfirmedAgeMs = 3'600'000;

auto IsZoneOfAnyHost(const Fleet& fleet, const std::string& zone) -> bool {
  return fleet.self.zone == zone ||
         std::any_of(
             fleet.hosts.begin(), fleet.hosts.end(),
             [&](const auto& it) { return it.second.record.zone == zone; });
}

}  // namespace

auto RemoveConfirmation(RoutesReport report) -> RoutesReport {
  report.age_ms = std::max(report.age_ms, kUnconfirmedAgeMs);
  return report;
}

NodeZones::NodeZones(NodeHost& host,
                     const Fleet& fleet,
                     ZonesOutOfService& zones)
    : host_(host), fleet_(fleet), zones_(zones) {}

auto NodeZones::is_enabled() const -> bool {
  return host_.settings().zone_evacuation_time > Duration::zero();
}

auto NodeZones::OnStoreAnswer(ZonesOutOfService read,
                              bool has_lost_changes,
                              TimePoint now) -> bool {
  if (!ReplaceZonesByStore(zones_, std::move(read), has_lost_changes)) {
    return false;
  }
  LogChange("store", now);
  return true;
}

auto NodeZones::OnPeerReport(const RoutesReport& report, TimePoint now)
    -> PeerZonesOutcome {
  if (!is_enabled()) {
    return PeerZonesOutcome{.is_same = true};
  }
  const PeerZonesOutcome outcome = ReplaceZonesIfNewer(zones_, report.zones);
  if (outcome.has_changed) {
    LogChange("peer", now);
  }
  return outcome;
}

// A balancer knows hosts of all zones; a zone of none of them is a mistake of
// the operator or has no hosts any more.
auto NodeZones::LogChange(const char* source, TimePoint now) -> void {
  std::vector<std::string> unknown;
  if (fleet_.self.role == HostRole::kBalancer) {
    std::copy_if(
        zones_.zones.begin(), zones_.zones.end(), std::back_inserter(unknown),
        [this](const std::string& it) { return !IsZoneOfAnyHost(fleet_, it); });
  }
  host_.event_log().WriteEvent(
      EventKind::kStateChange, now,
      "zones_out_of_service era={} revision={} zones=\"{}\" "
      "without_hosts=\"{}\" source={}",
      zones_.position.era, zones_.position.revision,
      fmt::join(zones_.zones, ","), fmt::join(unknown, ","), source);
}

auto NodeZones::FormatMetrics() const -> std::string {
  return fmt::format("hawthornbank_zones_out_of_service {}\n",
                     zones_.zones.size());
}

}  // namespace hawthornbank::transport
