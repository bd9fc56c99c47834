#include "transport/packet_workers.h"

#include <array>

#include "transport/clock.h"

namespace hawthornbank::transport {
namespace {

// The fabric's health check is a datagram of one byte. The balancer answers
// with one byte, kReady or kNotReady.
constexpr std::uint8_t kHealthCheck = 0x00;
constexpr std::uint8_t kReady = 'R';
constexpr std::uint8_t kNotReady = 'D';

}  // namespace

struct PacketWorkers::Worker {
  asio::io_context io;
  std::unique_ptr<UdpSocket> socket;
  std::thread thread;
  std::shared_ptr<const RoutingTable> table;
  std::uint64_t table_version = 0;
  std::array<std::uint8_t, kMaxDatagramBytes + kMaxTunnelHeaderBytes> buf{};
};

PacketWorkers::PacketWorkers(WorkerOptions options, const KeyRing& keys)
    : options_(options),
      keys_(keys),
      cache_(options.cache_entries),
      table_(std::make_shared<const RoutingTable>()) {
  for (std::uint32_t n = 0; n < options_.workers; ++n) {
    auto worker = std::make_unique<Worker>();
    worker->table = table_;
    worker->socket =
        n == 0
            ? std::make_unique<UdpSocket>(worker->io, options_.packet_endpoint)
            : std::make_unique<UdpSocket>(worker->io, *workers_[0]->socket);
    workers_.push_back(std::move(worker));
  }
  for (auto& it : workers_) {
    Worker& worker = *it;
    worker.socket->StartReceiving(
        [this, &worker](Endpoint from, ByteView datagram) {
          HandleFabricDatagram(worker, from, datagram);
        });
    worker.thread = std::thread([&worker]() { worker.io.run(); });
  }
}

PacketWorkers::~PacketWorkers() {
  for (auto& it : workers_) {
    it->io.stop();
  }
  for (auto& it : workers_) {
    it->thread.join();
  }
}

auto PacketWorkers::SetRoutingTable(std::shared_ptr<const RoutingTable> table)
    -> void {
  const std::lock_guard lock(mutex_);
  table_ = std::move(table);
  table_version_.fetch_add(1, std::memory_order_release);
}

auto PacketWorkers::SetLastPeerOrPlatformContact(TimePoint now) -> void {
  last_contact_.store(now.time_since_epoch().count(),
                      std::memory_order_relaxed);
}

auto PacketWorkers::local_endpoint() const -> Endpoint {
  return workers_[0]->socket->local_endpoint();
}

auto PacketWorkers::GetCurrentTable(Worker& worker) -> const RoutingTable& {
  const auto version = table_version_.load(std::memory_order_acquire);
  if (version != worker.table_version) {
    const std::lock_guard lock(mutex_);
    worker.table = table_;
    worker.table_version = version;
  }
  return *worker.table;
}

auto PacketWorkers::HandleFabricDatagram(Worker& worker,
                                         Endpoint from,
                                         ByteView datagram) -> void {
  if (datagram.size() == 1 && datagram[0] == kHealthCheck) {
    const std::uint8_t answer = ready_ ? kReady : kNotReady;
    worker.socket->SendDatagram(from, ByteView(&answer, 1));
    return;
  }
  const TimePoint now = GetMonotonicTime();
  const BalancerContext context{
      .self = options_.self,
      .last_contact =
          TimePoint{Duration{last_contact_.load(std::memory_order_relaxed)}},
      .has_no_peers = options_.has_no_peers};
  const PacketView packet = ParsePacket(datagram);
  const RouteDecision decision = RoutePacket(GetCurrentTable(worker), cache_,
                                             context, packet, now, counters_);
  switch (decision.verdict) {
    case RouteVerdict::kForward: {
      const std::size_t size = EncodeTunnelPacket(decision.header, packet.bytes,
                                                  keys_.tunnel, worker.buf);
      worker.socket->SendDatagram(decision.agent,
                                  ByteView(worker.buf).first(size));
      break;
    }
    case RouteVerdict::kReset:
    case RouteVerdict::kFragmentationNeeded: {
      const Bytes answer = decision.verdict == RouteVerdict::kReset
                               ? BuildFlowReset(packet)
                               : BuildFragmentationNeededError(packet);
      if (!answer.empty()) {
        worker.socket->SendDatagram(from, answer);
      }
      break;
    }
    case RouteVerdict::kDrop:
      break;
  }
}

}  // namespace hawthornbank::transport
