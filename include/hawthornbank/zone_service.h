#ifndef HAWTHORNBANK_ZONE_SERVICE_H_
#define HAWTHORNBANK_ZONE_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornbank/error.h"
#include "hawthornbank/store_position.h"
#include "hawthornbank/wire.h"

/// @file
/// Availability zones that the operator has taken out of service: no new flow
/// opens at a target of such a zone; open flows go on to their end.
///
/// Load pattern: a zone is taken out in a burst of traffic, several zones in
/// quick succession, and a zone is returned before every process has heard that
/// it was out; messages are lost, processes restart, the store is down or
/// returns from a copy. The set is small and nearly always empty. So each
/// process holds all of it with the position of the store at which it was read,
/// and a set with a later position replaces one with an earlier position,
/// whoever sends it.
namespace hawthornbank {

/// Maximum number of zones in the set, so that a report of them fits a
/// datagram.
inline constexpr std::size_t kMaxZonesOutOfService = 32;

/// Maximum length of a zone's name in the set, in bytes.
inline constexpr std::size_t kMaxZoneNameLength = 32;

/// The zones out of service at a position of the store.
struct ZonesOutOfService {
  StorePosition position;          ///< Zero while the set isn't known.
  std::vector<std::string> zones;  ///< Sorted, without duplicates.

  auto operator==(const ZonesOutOfService&) const -> bool = default;

  /// An unknown set takes one byte.
  template <class Archive>
  auto serialize(Archive& archive) -> void {
    std::uint64_t head =
        position == StorePosition{} ? 0 : std::uint64_t{zones.size()} + 1;
    wire::SerializeLength(archive, head, kMaxZonesOutOfService + 1);
    if (head == 0) {
      return;
    }
    wire::SerializeVarint(archive, position.era);
    wire::SerializeVarint(archive, position.revision);
    zones.resize(head - 1);
    for (auto& it : zones) {
      wire::SerializeString(archive, it, kMaxZoneNameLength);
    }
  }
};

/// Builds a set.
/// @param position Position of the store.
/// @param zones Names in any order; names that are empty or too long are left
///   out.
/// @param known_zones Names that are kept before others if there are more than
///   the maximum number: others may be no zones at all.
/// @return The set.
auto MakeZonesOutOfService(StorePosition position,
                           std::vector<std::string> zones,
                           std::span<const std::string> known_zones = {})
    -> ZonesOutOfService;

/// @param set The zones out of service.
/// @return Whether the set has been read by this process or a peer.
constexpr auto AreZonesKnown(const ZonesOutOfService& set) -> bool {
  return set.position != StorePosition{};
}

/// @param set The zones out of service.
/// @param zone Name of a zone.
/// @return Whether the zone is out of service.
auto IsOutOfService(const ZonesOutOfService& set, std::string_view zone)
    -> bool;

/// @param set The zones out of service.
/// @return Hash of the zones' names; 0 if no zone is out of service.
auto ComputeZonesDigest(const ZonesOutOfService& set) -> std::uint64_t;

/// Replaces a set by one that was read from the store.
/// @param in_force The set in force.
/// @param read The set of the store's newest answer.
/// @param has_lost_changes Whether the store has returned from a copy since its
///   answer before. A store that tells no era may then be at a lower revision;
///   the set in force moves to the next era.
/// @return Whether the zones changed.
auto ReplaceZonesByStore(ZonesOutOfService& in_force,
                         ZonesOutOfService read,
                         bool has_lost_changes) -> bool;

/// Result of a peer's report of its set.
struct PeerZonesOutcome {
  bool has_changed = false;  ///< The zones in force changed.
  /// The peer's zones are those in force, so that the time at which the peer
  /// confirmed them holds for this process too.
  bool is_same = false;
};

/// Replaces a set by a peer's if the peer's has a later position.
/// @param in_force The set in force.
/// @param reported The peer's set.
/// @return What the report tells.
auto ReplaceZonesIfNewer(ZonesOutOfService& in_force,
                         const ZonesOutOfService& reported) -> PeerZonesOutcome;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ZONE_SERVICE_H_
