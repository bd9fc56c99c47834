#ifndef HAWTHORNBANK_LINK_BUDGET_H_
#define HAWTHORNBANK_LINK_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "hawthornbank/types.h"

/// @file
/// Selects the new flows that a balancer refuses when its link is nearly full.
///
/// Load pattern: routers spread flows evenly over balancers, some of which have
/// a twentieth of the others' link capacity, and uploads bring most of the
/// bytes. A full link delays every packet, callers retransmit, and the retry
/// storm leaves no useful throughput. The balancer therefore resets a share of
/// the opening packets to addresses with heavy flows at once; the callers retry
/// with another flow, which may reach another balancer.
namespace hawthornbank {

/// Limits of a link's utilisation.
struct LinkBudgetOptions {
  /// Link capacity in each direction, in bytes per second. 0: the capacity is
  /// unknown, and no flow is refused.
  std::uint64_t bytes_per_second = 0;
  /// Utilisation (share of the capacity) above which heavy flows are refused.
  /// Leaves capacity for bursts of sixteen packets from a few senders.
  double min_refusal_utilisation = 0.65;
  /// Utilisation at which all heavy flows would be refused if
  /// max_refused_share didn't limit the share. The share grows linearly from
  /// min_refusal_utilisation.
  double max_refusal_utilisation = 0.95;
  /// Maximum share of heavy flows that is refused. Some must be accepted,
  /// because a caller's last retry may be among them.
  double max_refused_share = 0.9;
  /// Mean number of callers' bytes per flow from which an address's flows
  /// count as heavy: a few full packets.
  double heavy_bytes_per_flow = 16'000;
  /// Minimum number of opening packets to an address before the mean number of
  /// bytes per flow is compared with heavy_bytes_per_flow.
  double min_openings = 8;
  /// Time constant of the average utilisation: two round trips of a slow
  /// caller.
  Duration averaging_time = std::chrono::milliseconds{300};
  /// Minimum time between two measurements.
  Duration measuring_interval = std::chrono::milliseconds{50};
  /// Maximum number of addresses whose traffic is tracked.
  std::size_t max_addresses = 4096;
};

/// Numbers of bytes and of opening packets to one service address. Both are
/// halved whenever the opening packets reach a limit, so that the mean number
/// of bytes per flow follows the current load.
struct AddressTraffic {
  double bytes = 0;
  double openings = 0;
};

/// Utilisation of a balancer's link.
struct LinkBudget {
  LinkBudgetOptions options;
  /// Average utilisation of the busier direction, as a share.
  double utilisation = 0;
  std::uint64_t received = 0;  ///< Bytes received up to the last measurement.
  std::uint64_t sent = 0;      ///< Bytes sent up to the last measurement.
  /// Time of the last measurement; initialise it to the start of the process.
  TimePoint measured_at{};
  std::unordered_map<Endpoint, AddressTraffic> addresses;
};

/// Updates the average utilisation of the link. Does nothing if the capacity is
/// unknown or the last measurement is less than measuring_interval ago.
/// @param link The link.
/// @param received Bytes received since the process started.
/// @param sent Bytes sent since the process started.
/// @param now Current time.
auto UpdateLinkUtilisation(LinkBudget& link,
                           std::uint64_t received,
                           std::uint64_t sent,
                           TimePoint now) -> void;

/// Records a packet from a caller. Ignores packets to an untracked address when
/// max_addresses addresses are tracked.
/// @param link The link.
/// @param address Service address that the packet is sent to.
/// @param is_opening Whether the packet opens a flow.
/// @param bytes Size of the packet in bytes.
auto RecordCallerTraffic(LinkBudget& link,
                         Endpoint address,
                         bool is_opening,
                         std::size_t bytes) -> void;

/// Decides whether to refuse a new flow because the link is nearly full.
/// @param link The link.
/// @param address Service address that the flow opens to.
/// @param random_fraction Random number in [0, 1).
/// @return Whether the flow is refused.
auto ShouldRefuseFlow(const LinkBudget& link,
                      Endpoint address,
                      double random_fraction) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_LINK_BUDGET_H_
