#include "hawthornbank/link_budget.h"

#include <algorithm>
#include <cmath>

namespace hawthornbank {
namespace {

// Number of opening packets to an address at which the counts of bytes and of
// opening packets are halved.
constexpr double kMaxCountedOpenings = 256;

}  // namespace

auto UpdateLinkUtilisation(LinkBudget& link,
                           std::uint64_t received,
                           std::uint64_t sent,
                           TimePoint now) -> void {
  const Duration step = now - link.measured_at;
  if (link.options.bytes_per_second == 0 ||
      step < link.options.measuring_interval) {
    return;
  }
  const std::chrono::duration<double> seconds = step;
  const auto capacity =
      static_cast<double>(link.options.bytes_per_second) * seconds.count();
  const auto transferred =
      static_cast<double>(std::max(received - link.received, sent - link.sent));
  const double previous_weight = std::exp(
      -seconds / std::chrono::duration<double>(link.options.averaging_time));
  link.utilisation = link.utilisation * previous_weight +
                     transferred / capacity * (1 - previous_weight);
  link.received = received;
  link.sent = sent;
  link.measured_at = now;
}

auto RecordCallerTraffic(LinkBudget& link,
                         Endpoint address,
                         bool is_opening,
                         std::size_t bytes) -> void {
  auto it = link.addresses.find(address);
  if (it == link.addresses.end()) {
    if (link.addresses.size() >= link.options.max_addresses) {
      return;
    }
    it = link.addresses.emplace(address, AddressTraffic{}).first;
  }
  AddressTraffic& traffic = it->second;
  traffic.bytes += static_cast<double>(bytes);
  traffic.openings += is_opening ? 1 : 0;
  if (traffic.openings >= kMaxCountedOpenings) {
    traffic.bytes /= 2;
    traffic.openings /= 2;
  }
}

auto ShouldRefuseFlow(const LinkBudget& link,
                      Endpoint address,
                      double random_fraction) -> bool {
  const LinkBudgetOptions& options = link.options;
  const auto it = link.addresses.find(address);
  if (options.bytes_per_second == 0 || it == link.addresses.end() ||
      it->second.openings < options.min_openings ||
      it->second.bytes < options.heavy_bytes_per_flow * it->second.openings) {
    return false;
  }
  const double excess =
      (link.utilisation - options.min_refusal_utilisation) /
      (options.max_refusal_utilisation - options.min_refusal_utilisation);
  return random_fraction < std::clamp(excess, 0.0, options.max_refused_share);
}

}  // namespace hawthornbank
