#ifndef HAWTHORNBANK_SRC_TRANSPORT_NODE_ZONES_H_
#define HAWTHORNBANK_SRC_TRANSPORT_NODE_ZONES_H_

#include <string>

#include "hawthornbank/fleet.h"
#include "hawthornbank/zone_service.h"
#include "protocol/node_message.h"

/// @file
/// Puts the zones out of service in force at one node and logs their changes.
namespace hawthornbank::transport {

class NodeHost;

/// @param report A peer's report.
/// @return The report without a recent confirmation of what it tells.
auto RemoveConfirmation(RoutesReport report) -> RoutesReport;

/// Zones out of service at one node. Where the platform takes no zones out of
/// service, reports are ignored and the set stays unknown.
class NodeZones {
 public:
  /// @param host Node host of this process.
  /// @param fleet Known hosts; must outlive this object.
  /// @param zones The set in force; must outlive this object.
  NodeZones(NodeHost& host, const Fleet& fleet, ZonesOutOfService& zones);

  /// @return Whether the operator takes zones out of service on this platform.
  [[nodiscard]] auto is_enabled() const -> bool;

  /// Handles the set of the store's newest answer.
  /// @param read The set.
  /// @param has_lost_changes Whether the store has returned from a copy.
  /// @param now Current time.
  /// @return Whether the zones changed.
  auto OnStoreAnswer(ZonesOutOfService read,
                     bool has_lost_changes,
                     TimePoint now) -> bool;

  /// Handles a peer's report.
  /// @param report The report.
  /// @param now Current time.
  /// @return What the report tells; where the platform takes no zones out of
  /// service, all peers have the same zones.
  auto OnPeerReport(const RoutesReport& report, TimePoint now)
      -> PeerZonesOutcome;

  /// @return Metrics of the set.
  [[nodiscard]] auto FormatMetrics() const -> std::string;

 private:
  auto LogChange(const char* source, TimePoint now) -> void;

  NodeHost& host_;
  const Fleet& fleet_;
  ZonesOutOfService& zones_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_NODE_ZONES_H_
