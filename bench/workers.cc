#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "common/report.h"
#include "transport/clock.h"
#include "transport/packet_workers.h"

/// @file
/// Packets per second through 1, 2 and 4 packet workers on loopback, relative
/// to a plain UDP relay in the same run.

namespace hawthornbank::bench {
namespace {

using transport::ConvertFromAsioEndpoint;
using transport::ConvertToAsioEndpoint;
using transport::PacketWorkers;
using transport::UdpSocket;

constexpr std::uint32_t kSenders = 4;
constexpr std::uint32_t kWindowPackets = 32;  ///< Packets in flight per sender.
constexpr std::chrono::milliseconds kRunTime{1500};
constexpr std::chrono::milliseconds kLossTimeout{20};
const Endpoint kLoopback{.address = 0x7F000001};
const Endpoint kServiceAddress{.address = 0x0A000001, .port = 5683};

/// Sends windows of packets to a forwarder and counts the packets that arrive
/// at the sink.
auto CountForwardedPackets(Endpoint forwarder,
                           asio::ip::udp::socket& sink,
                           std::uint32_t sender) -> std::uint64_t {
  asio::io_context io;
  asio::ip::udp::socket source(io, ConvertToAsioEndpoint(kLoopback));
  const timeval timeout{.tv_usec = kLossTimeout.count() * 1000};
  ::setsockopt(sink.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
               sizeof timeout);
  std::array<std::uint8_t, 2048> buf{};
  std::uint64_t arrived = 0;
  const auto end = std::chrono::steady_clock::now() + kRunTime;
  for (std::uint16_t port = 1; std::chrono::steady_clock::now() < end;) {
    for (std::uint32_t n = 0; n < kWindowPackets; ++n, ++port) {
      const Endpoint caller{.address = 0x0B000000 + sender, .port = port};
      source.send_to(
          asio::buffer(BuildUdpPacket(caller, kServiceAddress, Bytes(64, 1))),
          ConvertToAsioEndpoint(forwarder));
    }
    for (std::uint32_t n = 0; n < kWindowPackets; ++n) {
      if (::recv(sink.native_handle(), buf.data(), buf.size(), 0) <= 0) {
        break;
      }
      ++arrived;
    }
  }
  return arrived;
}

/// Runs all senders through a forwarder and returns the number of packets per
/// second that arrive at the sinks.
auto MeasurePacketsPerSecond(
    const std::function<Endpoint(const std::vector<Endpoint>&)>& start)
    -> double {
  asio::io_context io;
  std::vector<asio::ip::udp::socket> sinks;
  std::vector<Endpoint> endpoints;
  for (std::uint32_t n = 0; n < kSenders; ++n) {
    sinks.emplace_back(io, ConvertToAsioEndpoint(kLoopback));
    endpoints.push_back(ConvertFromAsioEndpoint(sinks.back().local_endpoint()));
  }
  const Endpoint forwarder = start(endpoints);
  std::atomic<std::uint64_t> arrived{0};
  std::vector<std::thread> threads;
  for (std::uint32_t n = 0; n < kSenders; ++n) {
    threads.emplace_back(
        [&, n]() { arrived += CountForwardedPackets(forwarder, sinks[n], n); });
  }
  for (auto& it : threads) {
    it.join();
  }
  return static_cast<double>(arrived) /
         std::chrono::duration<double>(kRunTime).count();
}

/// Measures the packet rate of a relay that does the minimum of any forwarder:
/// receive a packet, choose a sink by the source address, and send the packet.
auto MeasureUdpRelayRate() -> double {
  asio::io_context io;
  UdpSocket socket(io, kLoopback);
  std::thread thread;
  const double rate =
      MeasurePacketsPerSecond([&](const std::vector<Endpoint>& sinks) {
        socket.StartReceiving([&socket, sinks](Endpoint, ByteView datagram) {
          const auto view = ParsePacket(datagram);
          socket.SendDatagram(sinks[view.source.address % kSenders], datagram);
        });
        thread = std::thread([&io]() { io.run(); });
        return socket.local_endpoint();
      });
  io.stop();
  thread.join();
  return rate;
}

auto MeasurePacketWorkersRate(std::uint32_t count) -> double {
  const auto keys = DeriveKeyRing(std::string(64, 'a'), "");
  PacketWorkers workers({.packet_endpoint = kLoopback,
                         .workers = count,
                         .cache_entries = 500'000,
                         .has_no_peers = true},
                        keys);
  return MeasurePacketsPerSecond([&workers](
                                     const std::vector<Endpoint>& sinks) {
    auto table = std::make_shared<RoutingTable>();
    RoutedService service{.id = ServiceId{1}};
    for (std::uint32_t n = 0; n < kSenders; ++n) {
      service.candidates.push_back({.id = TargetId{n + 1}, .agent = sinks[n]});
      table->live_agents.emplace(sinks[n], TimePoint{});
    }
    table->services.emplace(ServiceAddress{.address = kServiceAddress,
                                           .transport = Transport::kUdp},
                            service);
    // Each sender's flows go to that sender's own sink, as with the UDP relay.
    for (std::uint32_t sender = 0; sender < kSenders; ++sender) {
      for (std::uint32_t port = 0; port < 65536; ++port) {
        const Endpoint caller{.address = 0x0B000000 + sender,
                              .port = static_cast<std::uint16_t>(port)};
        workers.flow_cache().InsertOrReplaceOwner(
            FlowKey{.service = ServiceId{1},
                    .caller = caller,
                    .address = kServiceAddress},
            sinks[sender], transport::GetMonotonicTime());
      }
    }
    workers.SetRoutingTable(std::move(table));
    return workers.local_endpoint();
  });
}

auto PrintFigure(const std::string& variant,
                 const std::string& figure,
                 double value,
                 const std::string& unit) -> void {
  PrintRow(Row{.bench = "workers",
               .name = "loopback",
               .variant = variant,
               .figure = figure,
               .value = value,
               .unit = unit});
}

auto CompareWorkersWithRelay() -> int {
  const double relay = MeasureUdpRelayRate();
  PrintFigure("baseline_udp_relay", "packets_per_second", relay, "1/s");
  for (const std::uint32_t count : {1, 2, 4}) {
    const double rate = MeasurePacketWorkersRate(count);
    const std::string name = "workers_" + std::to_string(count);
    PrintFigure("hawthornbank", name + "_packets_per_second", rate, "1/s");
    PrintFigure("hawthornbank", name + "_over_relay", rate / relay, "ratio");
  }
  return GetExitCode();
}

}  // namespace
}  // namespace hawthornbank::bench

auto main() -> int {
  return hawthornbank::bench::CompareWorkersWithRelay();
}
