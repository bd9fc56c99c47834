#ifndef HAWTHORNBANK_SRC_TRANSPORT_PACKET_WORKERS_H_
#define HAWTHORNBANK_SRC_TRANSPORT_PACKET_WORKERS_H_

#include <asio.hpp>
#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "hawthornbank/routing.h"
#include "protocol/message.h"
#include "transport/udp_socket.h"

/// @file
/// Pool of workers that forward packets over shared tables.
///
/// Lock order: PacketWorkers::mutex_ (the table's snapshot) before a stripe of
/// the flow cache; a worker never holds both.
namespace hawthornbank::transport {

/// Settings of the pool.
struct WorkerOptions {
  Endpoint packets;  ///< Where the fabric sends packets.
  std::uint32_t workers = 1;
  std::size_t cache_entries = 500'000;
  Endpoint self;  ///< Where agents send hints.
  bool alone = false;
};

/// Receives packets from the fabric and forwards them to agents.
class PacketWorkers {
 public:
  /// Starts the workers.
  /// @param options Settings.
  /// @param keys Keys of this process.
  /// @throws Error kInvalidSettings when the port can't be bound.
  PacketWorkers(WorkerOptions options, const KeyRing& keys);
  ~PacketWorkers();
  PacketWorkers(const PacketWorkers&) = delete;
  auto operator=(const PacketWorkers&) -> PacketWorkers& = delete;

  /// Puts a new table in force for all workers.
  /// @param table The snapshot.
  auto SetTable(std::shared_ptr<const RoutingTable> table) -> void;

  /// Notes a word from a peer or the platform.
  /// @param now The present instant.
  auto SetLastHeard(TimePoint now) -> void;

  /// Tells the fabric whether to send packets here. It begins with false.
  /// @param ready Whether this balancer knows services and targets.
  auto SetReady(bool ready) -> void { ready_ = ready; }

  /// @return The shared flow cache.
  auto cache() -> FlowCache& { return cache_; }
  /// @return The shared counters.
  auto counters() -> Counters& { return counters_; }
  /// @return The endpoint that the fabric sends to.
  [[nodiscard]] auto local() const -> Endpoint;

 private:
  struct Worker;

  auto HandleDatagram(Worker& worker, Endpoint from, ByteView datagram) -> void;
  auto Snapshot(Worker& worker) -> const RoutingTable&;

  WorkerOptions options_;
  KeyRing keys_;
  FlowCache cache_;
  Counters counters_;
  std::atomic<bool> ready_{false};
  std::atomic<TimePoint::rep> last_heard_{0};
  std::mutex mutex_;
  std::shared_ptr<const RoutingTable> table_;
  std::atomic<std::uint64_t> table_version_{0};
  std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_PACKET_WORKERS_H_
