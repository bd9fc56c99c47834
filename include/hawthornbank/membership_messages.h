#ifndef HAWTHORNBANK_MEMBERSHIP_MESSAGES_H_
#define HAWTHORNBANK_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hawthornbank/types.h"
#include "hawthornbank/wire.h"

/// @file
/// Records of members and the messages that carry them.
namespace hawthornbank {

/// State of a target. At the same incarnation and sequence the later wins.
enum class TargetState : std::uint8_t {
  kServing,
  kDraining,  ///< Takes no new flow; keeps the established ones.
  kSuspect,   ///< Its watchers don't hear it.
  kDead,
  kLeft,  ///< Said itself that it ends.
};

/// State of a balancer. At the same incarnation and sequence the later wins.
enum class BalancerState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

/// What a target reports of its load.
struct TargetLoad {
  std::uint32_t connections = 0;
  std::uint16_t slots_busy = 0;
  std::uint16_t slots = 0;
  std::uint16_t queued = 0;
  std::uint16_t weight_percent = 100;

  auto operator==(const TargetLoad&) const -> bool = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    wire::Varint(archive, connections);
    wire::Varint(archive, slots_busy);
    wire::Varint(archive, slots);
    wire::Varint(archive, queued);
    wire::Varint(archive, weight_percent);
  }
};

/// What is known of a target.
struct TargetRecord {
  TargetId id{};
  std::string name;
  ServiceId service{};
  Endpoint agent;
  std::string zone;
  Incarnation incarnation{};
  std::uint64_t sequence = 0;  ///< Grows with each announce.
  TargetState state = TargetState::kServing;
  TargetLoad load;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(id);
    wire::Text(archive, name);
    wire::Varint(archive, service);
    archive(agent);
    wire::Text(archive, zone);
    wire::Varint(archive, incarnation);
    wire::Varint(archive, sequence);
    archive(state, load);
  }
};

/// What is known of a balancer.
struct BalancerRecord {
  HostId id{};
  std::string name;
  Endpoint peer;
  std::string zone;
  std::string region;
  Incarnation incarnation{};
  std::uint64_t sequence = 0;  ///< Grows with each heartbeat.
  BalancerState state = BalancerState::kAlive;
  Generation generation{};  ///< Configuration in force there.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(id);
    wire::Text(archive, name);
    archive(peer);
    wire::Text(archive, zone);
    wire::Text(archive, region);
    wire::Varint(archive, incarnation);
    wire::Varint(archive, sequence);
    archive(state);
    wire::Varint(archive, generation);
  }
};

/// A target as the agents of its service see it.
struct ViewTarget {
  TargetId id{};
  Endpoint agent;
  TargetState state = TargetState::kServing;
  std::uint16_t weight_percent = 100;
  Incarnation incarnation{};

  auto operator==(const ViewTarget&) const -> bool = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(id, agent, state);
    wire::Varint(archive, weight_percent);
    wire::Varint(archive, incarnation);
  }
};

/// The targets of a service, for its agents.
struct ServiceView {
  ServiceId service{};
  std::uint64_t version = 0;        ///< Hash of the content; 0 is none.
  std::vector<ViewTarget> targets;  ///< In the order of identity.
  double mean_connections = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    wire::Varint(archive, service);
    archive(version);
    wire::List(archive, targets);
    archive(mean_connections);
  }
};

/// Sent by an agent to its watchers: its heartbeat.
struct Announce {
  TargetRecord target;
  std::uint64_t view_version = 0;  ///< Of the view it holds.
  bool wants_ack = false;
  bool wants_view = false;  ///< Asks for the view if it is another version.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(target, view_version, wants_ack, wants_view);
  }
};

/// Answer to an announce; unasked with state kSuspect it is a probe, which
/// the agent answers at once.
struct AnnounceAck {
  TargetId target{};
  TargetState state = TargetState::kServing;  ///< As held by the balancer.
  Incarnation incarnation{};                  ///< As held by the balancer.
  std::uint64_t sequence = 0;                 ///< As held by the balancer.
  std::vector<Endpoint> watchers;  ///< Whom to announce to, primary first.
  bool has_view = false;
  ServiceView view;  ///< Sent when has_view.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(target, state);
    wire::Varint(archive, incarnation);
    wire::Varint(archive, sequence);
    wire::List(archive, watchers);
    archive(has_view);
    if (has_view) {
      archive(view);
    }
  }
};

/// Life sign of a whole zone; it advances while any balancer of it is heard.
struct ZoneBeacon {
  std::uint32_t zone = 0;  ///< Low bits of the hash of the zone's name.
  std::uint32_t beacon = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(zone);
    wire::Varint(archive, beacon);
  }
};

/// A generation that a balancer has put in force; the rest of its record is as
/// it was.
struct GenerationUpdate {
  HostId id{};
  Incarnation incarnation{};
  Generation generation{};

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(id);
    wire::Varint(archive, incarnation);
    wire::Varint(archive, generation);
  }
};

/// Message between balancers: heartbeat, changes and synchronisation.
struct Digest {
  HostId sender{};
  Incarnation incarnation{};
  std::uint64_t sequence = 0;
  bool probe = false;        ///< Asks for a heartbeat at once.
  bool ready = false;        ///< The sender knows all that its peers know.
  bool is_complete = false;  ///< Answers a synchronisation: nothing is missing.
  bool targets_complete = false;       ///< Answers it: no target is missing.
  std::uint32_t targets_checksum = 0;  ///< Of all targets, with checksums.
  std::uint32_t first_bucket = 0;
  std::vector<std::uint32_t> bucket_checksums;  ///< From first_bucket on.
  std::vector<std::uint8_t>
      listed_buckets;  ///< Whose records are listed in held.
  std::vector<std::uint32_t> held_checksums;  ///< Checksums of records held.
  std::vector<std::uint32_t>
      wanted_checksums;  ///< Checksums of records asked for.
  /// Members that the sender no longer hears; who does sends their records.
  std::vector<std::uint64_t> unheard_members;
  std::vector<ZoneBeacon> beacons;
  std::vector<TargetRecord> targets;
  std::vector<BalancerRecord> balancers;
  std::vector<GenerationUpdate> generations;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(sender);
    wire::Varint(archive, incarnation);
    wire::Varint(archive, sequence);
    archive(probe, ready, is_complete, targets_complete);
    wire::Varint(archive, targets_checksum);
    wire::Varint(archive, first_bucket);
    wire::List(archive, bucket_checksums);
    wire::List(archive, listed_buckets);
    wire::List(archive, held_checksums);
    wire::List(archive, wanted_checksums);
    wire::List(archive, unheard_members);
    wire::List(archive, beacons);
    wire::List(archive, targets);
    wire::List(archive, balancers);
    wire::List(archive, generations);
  }
};

/// @param record A record.
/// @return Its encoded size in bytes.
auto EncodedSize(const TargetRecord& record) -> std::size_t;
/// @param record A record.
/// @return Its encoded size in bytes.
auto EncodedSize(const BalancerRecord& record) -> std::size_t;
/// @param note A note.
/// @return Its encoded size in bytes.
auto EncodedSize(const GenerationUpdate& note) -> std::size_t;
/// @param digest A message.
/// @return Its encoded size in bytes.
auto EncodedSize(const Digest& digest) -> std::size_t;
/// @param announce A message.
/// @return Its encoded size in bytes.
auto EncodedSize(const Announce& announce) -> std::size_t;
/// @param ack A message.
/// @return Its encoded size in bytes.
auto EncodedSize(const AnnounceAck& ack) -> std::size_t;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_MEMBERSHIP_MESSAGES_H_
