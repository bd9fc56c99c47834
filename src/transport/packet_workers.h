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
/// Pool of worker threads that forward packets and share the routing table and
/// the flow cache.
///
/// Lock order: PacketWorkers::mutex_, which guards the pointer to the current
/// routing table, before the lock of a flow cache stripe. At present, no thread
/// holds both at the same time.
namespace hawthornbank::transport {

/// Options of the worker pool.
struct WorkerOptions {
  Endpoint packet_endpoint;  ///< Endpoint to which the fabric sends packets.
  std::uint32_t workers = 1;
  std::size_t cache_entries = 500'000;
  Endpoint self;              ///< Endpoint to which agents send hints.
  bool has_no_peers = false;  ///< Whether the settings name no other balancer.
};

/// Receives packets from the fabric and forwards them to agents.
class PacketWorkers {
 public:
  /// Starts the workers.
  /// @param options Options of the pool.
  /// @param keys Keys of this process.
  /// @throws Error kInvalidSettings when the port can't be bound.
  PacketWorkers(WorkerOptions options, const KeyRing& keys);
  ~PacketWorkers();
  PacketWorkers(const PacketWorkers&) = delete;
  auto operator=(const PacketWorkers&) -> PacketWorkers& = delete;

  /// Replaces the routing table of all workers.
  /// @param table The new table.
  auto SetRoutingTable(std::shared_ptr<const RoutingTable> table) -> void;

  /// Records the time of the last contact with a peer or the platform.
  /// @param now Current time.
  auto SetLastPeerOrPlatformContact(TimePoint now) -> void;

  /// Sets the answer to the fabric's health checks. Until the first call, the
  /// answer is "not ready".
  /// @param ready Whether to answer "ready".
  auto SetHealthCheckReady(bool ready) -> void { ready_ = ready; }

  /// @return The shared flow cache.
  auto flow_cache() -> FlowCache& { return cache_; }
  /// @return The shared counters.
  auto counters() -> Counters& { return counters_; }
  /// @return The endpoint to which the fabric sends packets.
  [[nodiscard]] auto local_endpoint() const -> Endpoint;

 private:
  struct Worker;

  auto HandleFabricDatagram(Worker& worker, Endpoint from, ByteView datagram)
      -> void;
  auto GetCurrentTable(Worker& worker) -> const RoutingTable&;

  WorkerOptions options_;
  KeyRing keys_;
  FlowCache cache_;
  Counters counters_;
  std::atomic<bool> ready_{false};
  std::atomic<TimePoint::rep> last_contact_{0};
  std::mutex mutex_;
  std::shared_ptr<const RoutingTable> table_;
  std::atomic<std::uint64_t> table_version_{0};
  std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_PACKET_WORKERS_H_
