#include "transport/packet_workers.h"

#include <asio.hpp>
#include <thread>
#include <vector>

#include "transport/clock.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace hawthornbank::transport;

namespace {

constexpr std::uint32_t kSenders = 4;
constexpr std::uint32_t kPacketsPerSender = 200;
const Endpoint kLoopback{.address = 0x7F000001};

auto MakeServiceEndpoint(std::uint32_t sender) -> Endpoint {
  return {.address = 0x0A000001 + sender, .port = 5683};
}

/// A sender of callers' packets with a socket of its own for the agent. Sends
/// each packet only after the agent's socket has received the previous packet.
struct Sender {
  asio::io_context io;
  asio::ip::udp::socket agent{io, ConvertToAsioEndpoint(kLoopback)};
  asio::ip::udp::socket fabric{io, ConvertToAsioEndpoint(kLoopback)};
  std::uint32_t received = 0;

  auto SendAndCountPackets(std::uint32_t index, Endpoint workers) -> void {
    std::array<std::uint8_t, 2048> buf{};
    for (std::uint32_t n = 0; n < kPacketsPerSender; ++n) {
      const Endpoint caller{.address = 0x0B000000 + index,
                            .port = static_cast<std::uint16_t>(1 + n % 50)};
      const auto packet =
          BuildUdpPacket(caller, MakeServiceEndpoint(index), Bytes(8, 1));
      fabric.send_to(asio::buffer(packet), ConvertToAsioEndpoint(workers));
      received += agent.receive(asio::buffer(buf)) > packet.size() ? 1 : 0;
    }
  }
};

}  // namespace

TEST_GROUP(PacketWorkers){};

TEST(PacketWorkers, EveryPacketIsForwardedWhileTheTableIsReplaced) {
  std::vector<std::unique_ptr<Sender>> senders;
  auto table = std::make_shared<RoutingTable>();
  for (std::uint32_t n = 0; n < kSenders; ++n) {
    senders.push_back(std::make_unique<Sender>());
    const Endpoint agent =
        ConvertFromAsioEndpoint(senders[n]->agent.local_endpoint());
    table->live_agents.emplace(agent, TimePoint{});
    table->services.emplace(
        ServiceAddress{.address = MakeServiceEndpoint(n),
                       .transport = Transport::kUdp},
        RoutedService{.id = ServiceId{n + 1},
                      .candidates = {{.id = TargetId{n + 1}, .agent = agent}}});
  }
  const auto keys = DeriveKeyRing(std::string(64, 'a'), "");
  PacketWorkers workers({.packet_endpoint = kLoopback,
                         .workers = 4,
                         .cache_entries = 2048,
                         .has_no_peers = true},
                        keys);
  workers.SetRoutingTable(table);
  std::vector<std::thread> threads;
  for (std::uint32_t n = 0; n < kSenders; ++n) {
    threads.emplace_back([&senders, n, &workers]() {
      senders[n]->SendAndCountPackets(n, workers.local_endpoint());
    });
  }
  for (int n = 0; n < 500; ++n) {
    workers.SetRoutingTable(std::make_shared<RoutingTable>(*table));
    workers.SetLastPeerOrPlatformContact(GetMonotonicTime());
    workers.SetHealthCheckReady(n % 2 == 0);
    static_cast<void>(workers.flow_cache().CountEntries());
  }
  for (auto& it : threads) {
    it.join();
  }
  for (const auto& it : senders) {
    LONGS_EQUAL(kPacketsPerSender, it->received);
  }
  LONGS_EQUAL(kSenders * kPacketsPerSender,
              ReadCounter(workers.counters(), Counter::kPacketsForwarded));
}
