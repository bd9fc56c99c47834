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

/// State of a target. Of two records with the same incarnation and sequence,
/// the record whose state is listed later below wins.
enum class TargetState : std::uint8_t {
  kServing,
  kDraining,  ///< Takes no new flows; keeps established flows.
  kSuspect,   ///< A watcher has received no heartbeat from the target's agent.
  kDead,
  kLeft,  ///< The target's agent announced the shutdown.
};

/// State of a balancer. Of two records with the same incarnation and sequence,
/// the record whose state is listed later below wins.
enum class BalancerState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

/// Load that a target reports.
struct TargetLoad {
  std::uint32_t connections = 0;
  std::uint16_t slots_busy = 0;
  std::uint16_t slots = 0;
  std::uint16_t queued = 0;
  std::uint16_t weight_percent = 100;

  auto operator==(const TargetLoad&) const -> bool = default;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    wire::SerializeVarint(archive, connections);
    wire::SerializeVarint(archive, slots_busy);
    wire::SerializeVarint(archive, slots);
    wire::SerializeVarint(archive, queued);
    wire::SerializeVarint(archive, weight_percent);
  }
};

/// Record of a target, as gossiped.
struct TargetRecord {
  TargetId id{};
  std::string name;
  ServiceId service{};
  Endpoint agent;
  std::string zone;
  Incarnation incarnation{};
  std::uint64_t sequence = 0;  ///< Increases with each announcement.
  TargetState state = TargetState::kServing;
  TargetLoad load;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(id);
    wire::SerializeString(archive, name);
    wire::SerializeVarint(archive, service);
    archive(agent);
    wire::SerializeString(archive, zone);
    wire::SerializeVarint(archive, incarnation);
    wire::SerializeVarint(archive, sequence);
    archive(state, load);
  }
};

/// Record of a balancer, as gossiped.
struct BalancerRecord {
  HostId id{};
  std::string name;
  Endpoint peer;
  std::string zone;
  std::string region;
  Incarnation incarnation{};
  std::uint64_t sequence = 0;  ///< Increases with each heartbeat.
  BalancerState state = BalancerState::kAlive;
  /// Generation of the configuration in force on the balancer.
  Generation generation{};

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(id);
    wire::SerializeString(archive, name);
    archive(peer);
    wire::SerializeString(archive, zone);
    wire::SerializeString(archive, region);
    wire::SerializeVarint(archive, incarnation);
    wire::SerializeVarint(archive, sequence);
    archive(state);
    wire::SerializeVarint(archive, generation);
  }
};

/// Maximum incarnation of a usable record. Leaves room for a process that takes
/// a larger incarnation than an earlier start of it.
inline constexpr Incarnation kMaxUsableIncarnation{std::uint64_t{1} << 62U};

/// Checks a record that another process sent.
/// @param record Record of a target.
/// @return Why the record can't be used, or null if it can.
auto CheckRecord(const TargetRecord& record) -> const char*;

/// @copydoc CheckRecord(const TargetRecord&)
auto CheckRecord(const BalancerRecord& record) -> const char*;

/// Entry of a target in the view that the agents of its service hold.
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
    wire::SerializeVarint(archive, weight_percent);
    wire::SerializeVarint(archive, incarnation);
  }
};

/// View of a service: the service's targets, as sent to the service's agents.
struct ServiceView {
  ServiceId service{};
  std::uint64_t version = 0;        ///< Hash of the content; 0 means no view.
  std::vector<ViewTarget> targets;  ///< In the order of the ids.
  double mean_connections = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    wire::SerializeVarint(archive, service);
    archive(version);
    wire::SerializeList(archive, targets);
    archive(mean_connections);
  }
};

/// Announcement: the heartbeat that an agent sends to its watchers.
struct Announcement {
  TargetRecord target;
  std::uint64_t view_version = 0;  ///< Version of the agent's view.
  bool wants_ack = false;
  /// Asks the balancer for a view of another version than view_version.
  bool wants_view = false;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(target, view_version, wants_ack, wants_view);
  }
};

/// Acknowledgement of an announcement. An acknowledgement with state kSuspect
/// that answers no announcement is a probe; the agent replies to it at once.
struct AnnouncementAck {
  TargetId target{};
  TargetState state = TargetState::kServing;  ///< In the balancer's record.
  Incarnation incarnation{};                  ///< In the balancer's record.
  std::uint64_t sequence = 0;                 ///< In the balancer's record.
  std::vector<Endpoint> watchers;  ///< Watchers of the target, primary first.
  bool has_view = false;
  ServiceView view;  ///< Sent only if has_view is true.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(target, state);
    wire::SerializeVarint(archive, incarnation);
    wire::SerializeVarint(archive, sequence);
    wire::SerializeList(archive, watchers);
    archive(has_view);
    if (has_view) {
      archive(view);
    }
  }
};

/// Heartbeat counter of a whole zone; the counter advances while any balancer
/// of the zone sends heartbeats that are received.
struct ZoneBeacon {
  std::uint32_t zone = 0;  ///< Low bits of the hash of the zone's name.
  std::uint32_t beacon = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(zone);
    wire::SerializeVarint(archive, beacon);
  }
};

/// Generation that a balancer has put in force; the other fields of the
/// balancer's record are unchanged.
struct GenerationUpdate {
  HostId id{};
  Incarnation incarnation{};
  Generation generation{};

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(id);
    wire::SerializeVarint(archive, incarnation);
    wire::SerializeVarint(archive, generation);
  }
};

/// Message between balancers: heartbeat, changes and synchronisation.
struct Digest {
  HostId sender{};
  Incarnation incarnation{};
  std::uint64_t sequence = 0;
  bool probe = false;  ///< Asks for a heartbeat at once.
  bool ready = false;  ///< The sender knows enough targets to open flows.
  /// Answer to a synchronisation request: the requester lacks no record.
  bool is_complete = false;
  /// Answer to a synchronisation request: the requester lacks no target.
  bool targets_complete = false;
  /// Checksum of the sender's targets; sent with bucket_checksums.
  std::uint32_t targets_checksum = 0;
  std::uint32_t first_bucket = 0;
  /// Checksums of consecutive buckets, beginning with first_bucket.
  std::vector<std::uint32_t> bucket_checksums;
  /// Buckets whose record checksums are in held_checksums.
  std::vector<std::uint8_t> listed_buckets;
  /// Checksums of the records that the sender holds in listed_buckets.
  std::vector<std::uint32_t> held_checksums;
  /// Checksums of the records that the sender requests.
  std::vector<std::uint32_t> wanted_checksums;
  /// Members from which the sender receives no heartbeats. A watcher that
  /// receives heartbeats from these members answers with the members' records.
  std::vector<std::uint64_t> unheard_members;
  std::vector<ZoneBeacon> beacons;
  std::vector<TargetRecord> targets;
  std::vector<BalancerRecord> balancers;
  std::vector<GenerationUpdate> generations;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(sender);
    wire::SerializeVarint(archive, incarnation);
    wire::SerializeVarint(archive, sequence);
    archive(probe, ready, is_complete, targets_complete);
    wire::SerializeVarint(archive, targets_checksum);
    wire::SerializeVarint(archive, first_bucket);
    wire::SerializeList(archive, bucket_checksums);
    wire::SerializeList(archive, listed_buckets);
    wire::SerializeList(archive, held_checksums);
    wire::SerializeList(archive, wanted_checksums);
    wire::SerializeList(archive, unheard_members);
    wire::SerializeList(archive, beacons);
    wire::SerializeList(archive, targets);
    wire::SerializeList(archive, balancers);
    wire::SerializeList(archive, generations);
  }
};

/// @param record A record.
/// @return Encoded size of the record in bytes.
auto ComputeEncodedSize(const TargetRecord& record) -> std::size_t;
/// @param record A record.
/// @return Encoded size of the record in bytes.
auto ComputeEncodedSize(const BalancerRecord& record) -> std::size_t;
/// @param update A generation update.
/// @return Encoded size of the generation update in bytes.
auto ComputeEncodedSize(const GenerationUpdate& update) -> std::size_t;
/// @param digest A message.
/// @return Encoded size of the digest in bytes.
auto ComputeEncodedSize(const Digest& digest) -> std::size_t;
/// @param announcement A message.
/// @return Encoded size of the announcement in bytes.
auto ComputeEncodedSize(const Announcement& announcement) -> std::size_t;
/// @param ack A message.
/// @return Encoded size of the acknowledgement in bytes.
auto ComputeEncodedSize(const AnnouncementAck& ack) -> std::size_t;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_MEMBERSHIP_MESSAGES_H_
