#ifndef HAWTHORNBANK_LINK_BUDGET_H_
#define HAWTHORNBANK_LINK_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "hawthornbank/types.h"

/// @file
/// Which new flows a balancer refuses because its link is nearly full.
///
/// Load pattern: routers spread flows evenly over balancers, some of which have
/// a twentieth of the others' link, and uploads bring most of the bytes. A full
/// link delays every packet, callers repeat them, and nothing gets through. So
/// a part of the openings to addresses with heavy flows is reset at once; their
/// callers try again with another flow, which may reach another balancer.
namespace hawthornbank {

/// Limits of a link's use.
struct LinkBudgetOptions {
  /// Bytes a second each way; 0: not known, and nothing is refused.
  std::uint64_t bytes_per_second = 0;
  /// Use of the link from which heavy flows are refused, as a share. Leaves
  /// room for a burst of sixteen packets of some senders.
  double refuse_from = 0.65;
  /// Use at which as many as possible are refused.
  double refuse_most_at = 0.95;
  /// Share of heavy flows that is refused at most. Some must be tried, as a
  /// caller's last try may be among them.
  double most_refused = 0.9;
  /// Mean bytes from callers for each flow from which an address's flows are
  /// heavy: some full packets.
  double heavy_bytes = 16'000;
  /// Openings of an address after which its mean counts.
  double least_openings = 8;
  /// Time constant of the measured use: two round trips of a slow caller.
  Duration average_time = std::chrono::milliseconds{300};
  /// Least time between two measurements.
  Duration interval = std::chrono::milliseconds{50};
  /// Addresses that are kept apart.
  std::size_t max_addresses = 4096;
};

/// Bytes and openings of one address; both are halved from time to time, so
/// that the mean follows the load.
struct AddressTraffic {
  double bytes = 0;
  double openings = 0;
};

/// Use of a balancer's link.
struct LinkBudget {
  LinkBudgetOptions options;
  double use = 0;  ///< Averaged share of the busier way.
  std::uint64_t received = 0;
  std::uint64_t sent = 0;
  TimePoint measured{};  ///< Set it to the start of the process.
  std::unordered_map<Endpoint, AddressTraffic> addresses;
};

/// Measures the use of the link.
/// @param link The link.
/// @param received Bytes received since the process started.
/// @param sent Bytes sent since then.
/// @param now The present instant.
auto MeasureLink(LinkBudget& link,
                 std::uint64_t received,
                 std::uint64_t sent,
                 TimePoint now) -> void;

/// Notes a packet from a caller.
/// @param link The link.
/// @param address The service's address.
/// @param opens Whether the packet opens a flow.
/// @param bytes Its size.
auto NoteTraffic(LinkBudget& link,
                 Endpoint address,
                 bool opens,
                 std::size_t bytes) -> void;

/// Decides whether to refuse a new flow.
/// @param link The link.
/// @param address The service's address.
/// @param chance A random number from 0 up to 1.
/// @return Whether it is refused.
auto RefusesFlow(const LinkBudget& link, Endpoint address, double chance)
    -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_LINK_BUDGET_H_
