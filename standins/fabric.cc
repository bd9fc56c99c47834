/// @file
/// Stand-in for the network fabric: forwards each packet from a caller to a
/// random ready balancer and each reply to the caller, with configurable loss,
/// duplication and delay.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <chrono>
#include <future>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <system_error>
#include <unordered_map>
#include <vector>

#include "hawthornbank/error.h"
#include "hawthornbank/random.h"
#include "hawthornbank/types.h"
#include "ipv4.h"
#include "stats_server.h"
#include "transport/command_line.h"

namespace hawthornbank::standins {
namespace {

using asio::ip::udp;
using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kHealthInterval{100};
constexpr std::chrono::milliseconds kHealthTimeout{500};
constexpr std::uint8_t kHealthProbe = 0x00;
constexpr std::uint8_t kHealthReady = 'R';

struct Options {
  std::vector<Endpoint> services;
  std::vector<Endpoint> balancers;
  Endpoint return_address;
  Endpoint stats;
  std::uint64_t seed = 1;
  double loss = 0;       ///< Share of packets dropped, in each direction.
  double duplicate = 0;  ///< Share of packets sent twice, in each direction.
  std::chrono::milliseconds delay{0};  ///< One-way delay.
};

using Buffer = std::array<std::uint8_t, kMaxIpv4Bytes>;

/// Socket bound to a service's public address.
struct ServiceSocket {
  udp::socket socket;
  Endpoint address;
  udp::endpoint caller;
  Buffer buffer{};
};

/// Connection to one balancer. The socket is connected, so that the fabric
/// sees ICMP errors such as "port unreachable" from the balancer's host.
struct BalancerSocket {
  udp::socket socket;
  Endpoint address;
  bool ready = false;
  steady_clock::time_point last_health_answer;
  std::uint64_t packets = 0;
  std::uint64_t refused = 0;
  Buffer buffer{};
};

struct Counters {
  std::uint64_t from_callers = 0;
  std::uint64_t to_callers = 0;
  std::uint64_t lost = 0;
  std::uint64_t duplicated = 0;
  std::uint64_t no_balancer = 0;
  std::uint64_t unreachable = 0;
  std::uint64_t other = 0;
  std::uint64_t malformed = 0;
  std::uint64_t unknown_service = 0;
};

struct Fabric {
  Options options;
  asio::io_context io;
  Random random;
  std::vector<std::unique_ptr<ServiceSocket>> services;
  std::vector<std::unique_ptr<BalancerSocket>> balancers;
  udp::socket return_socket{io};
  Buffer return_buffer{};
  asio::steady_timer health_timer{io};
  Counters counters;
  std::unordered_map<Endpoint, std::uint64_t> unreachable_by_caller;
};

using Packet = std::shared_ptr<const std::vector<std::uint8_t>>;

auto ConvertToAsioEndpoint(Endpoint endpoint) -> udp::endpoint {
  return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

auto ConvertFromAsioEndpoint(const udp::endpoint& endpoint) -> Endpoint {
  return {.address = endpoint.address().to_v4().to_uint(),
          .port = endpoint.port()};
}

auto RecordBalancerSocketError(BalancerSocket& balancer) -> void {
  balancer.ready = false;
  ++balancer.refused;
}

/// Applies the configured loss, duplication and delay to one packet: calls
/// `send` once, twice or never, at once or after the delay.
template <class Send>
auto SendWithLinkFaults(Fabric& fabric, Send send) -> void {
  const bool lost = DrawRandomFraction(fabric.random) < fabric.options.loss;
  const bool twice =
      DrawRandomFraction(fabric.random) < fabric.options.duplicate;
  if (lost) {
    ++fabric.counters.lost;
    return;
  }
  fabric.counters.duplicated += twice ? 1 : 0;
  for (int n = 0; n < (twice ? 2 : 1); ++n) {
    if (fabric.options.delay.count() == 0) {
      send();
      continue;
    }
    auto timer = std::make_shared<asio::steady_timer>(fabric.io);
    timer->expires_after(fabric.options.delay);
    timer->async_wait([timer, send](std::error_code) { send(); });
  }
}

/// Sends a packet to a random ready balancer. If no balancer is ready, drops
/// and counts the packet.
auto SendToRandomBalancer(Fabric& fabric, const Packet& packet) -> void {
  std::vector<BalancerSocket*> ready;
  for (const auto& it : fabric.balancers) {
    if (it->ready) {
      ready.push_back(it.get());
    }
  }
  if (ready.empty()) {
    ++fabric.counters.no_balancer;
    return;
  }
  auto& chosen =
      *ready[fabric.random(static_cast<std::uint32_t>(ready.size()))];
  std::error_code ec;
  chosen.socket.send(asio::buffer(*packet), 0, ec);
  ++chosen.packets;
  if (ec) {
    RecordBalancerSocketError(chosen);
  }
}

auto ReceiveFromCallers(Fabric& fabric, ServiceSocket& service) -> void {
  service.socket.async_receive_from(
      asio::buffer(service.buffer), service.caller,
      [&fabric, &service](std::error_code ec, std::size_t n) {
        if (ec == asio::error::operation_aborted) {
          return;
        }
        if (!ec) {
          ++fabric.counters.from_callers;
          const auto packet =
              std::make_shared<const std::vector<std::uint8_t>>(BuildUdpPacket(
                  ConvertFromAsioEndpoint(service.caller), service.address,
                  std::span(service.buffer).first(n)));
          SendWithLinkFaults(fabric, [&fabric, packet] {
            SendToRandomBalancer(fabric, packet);
          });
        }
        ReceiveFromCallers(fabric, service);
      });
}

auto ProbeBalancerHealth(Fabric& fabric) -> void {
  const auto now = steady_clock::now();
  for (const auto& it : fabric.balancers) {
    if (now - it->last_health_answer > kHealthTimeout) {
      it->ready = false;
    }
    std::error_code ec;
    it->socket.send(asio::buffer(&kHealthProbe, 1), 0, ec);
    if (ec) {
      RecordBalancerSocketError(*it);
    }
  }
  fabric.health_timer.expires_after(kHealthInterval);
  fabric.health_timer.async_wait([&fabric](std::error_code ec) {
    if (!ec) {
      ProbeBalancerHealth(fabric);
    }
  });
}

auto FindServiceSocket(Fabric& fabric, Endpoint address) -> ServiceSocket* {
  for (const auto& it : fabric.services) {
    if (it->address == address) {
      return it.get();
    }
  }
  return nullptr;
}

/// Sends the payload of a reply to the caller from the service's public
/// address. Drops and counts a reply from an unknown service address.
auto DeliverToCaller(Fabric& fabric, const ParsedPacket& parsed) -> void {
  auto* const service = FindServiceSocket(fabric, parsed.service);
  if (service == nullptr) {
    ++fabric.counters.unknown_service;
    return;
  }
  ++fabric.counters.to_callers;
  const auto datagram = std::make_shared<const std::vector<std::uint8_t>>(
      parsed.payload.begin(), parsed.payload.end());
  const auto caller = ConvertToAsioEndpoint(parsed.caller);
  SendWithLinkFaults(fabric, [service, datagram, caller] {
    std::error_code ec;
    service->socket.send_to(asio::buffer(*datagram), caller, 0, ec);
  });
}

auto HandleReturnPacket(Fabric& fabric, std::span<const std::uint8_t> packet)
    -> void {
  const auto parsed = ParsePacket(packet);
  switch (parsed.kind) {
    case PacketKind::kUdp:
      DeliverToCaller(fabric, parsed);
      break;
    case PacketKind::kUnreachable:
      ++fabric.counters.unreachable;
      ++fabric.unreachable_by_caller[parsed.caller];
      break;
    case PacketKind::kOther:
      ++fabric.counters.other;
      break;
    case PacketKind::kMalformed:
      ++fabric.counters.malformed;
      break;
  }
}

/// Receives a balancer's health answers (one byte), and the resets and
/// fragmentation errors that the balancer sends to callers.
auto ReceiveFromBalancer(Fabric& fabric, BalancerSocket& balancer) -> void {
  balancer.socket.async_receive(
      asio::buffer(balancer.buffer),
      [&fabric, &balancer](std::error_code ec, std::size_t n) {
        if (ec == asio::error::operation_aborted) {
          return;
        }
        if (ec) {
          RecordBalancerSocketError(balancer);
        } else if (n == 1) {
          balancer.ready = balancer.buffer[0] == kHealthReady;
          balancer.last_health_answer = steady_clock::now();
        } else {
          HandleReturnPacket(fabric, std::span(balancer.buffer).first(n));
        }
        ReceiveFromBalancer(fabric, balancer);
      });
}

auto ReceiveReturnPackets(Fabric& fabric) -> void {
  fabric.return_socket.async_receive(
      asio::buffer(fabric.return_buffer),
      [&fabric](std::error_code ec, std::size_t n) {
        if (ec == asio::error::operation_aborted) {
          return;
        }
        if (!ec) {
          HandleReturnPacket(fabric, std::span(fabric.return_buffer).first(n));
        }
        ReceiveReturnPackets(fabric);
      });
}

auto FormatCountersAsJson(const Fabric& fabric) -> std::string {
  using nlohmann::json;
  const auto& counters = fabric.counters;
  json balancers = json::array();
  for (const auto& it : fabric.balancers) {
    balancers.push_back({{"address", ToString(it->address)},
                         {"ready", it->ready},
                         {"packets", it->packets},
                         {"refused", it->refused}});
  }
  json unreachable = json::object();
  for (const auto& [caller, n] : fabric.unreachable_by_caller) {
    unreachable[ToString(caller)] = n;
  }
  return json{{"from_callers", counters.from_callers},
              {"to_callers", counters.to_callers},
              {"lost", counters.lost},
              {"duplicated", counters.duplicated},
              {"no_balancer", counters.no_balancer},
              {"unreachable", counters.unreachable},
              {"other", counters.other},
              {"malformed", counters.malformed},
              {"unknown_service", counters.unknown_service},
              {"balancers", balancers},
              {"unreachable_by_caller", unreachable}}
      .dump();
}

auto BindSocket(Fabric& fabric, Endpoint address) -> udp::socket {
  try {
    return udp::socket(fabric.io, ConvertToAsioEndpoint(address));
  } catch (const std::system_error& error) {
    throw Error(ErrorKind::kInvalidSettings, "can't bind " + ToString(address) +
                                                 ": " + error.code().message());
  }
}

auto StartReceivingAndProbing(Fabric& fabric) -> void {
  for (const auto& address : fabric.options.services) {
    fabric.services.push_back(std::make_unique<ServiceSocket>(ServiceSocket{
        .socket = BindSocket(fabric, address), .address = address}));
    ReceiveFromCallers(fabric, *fabric.services.back());
  }
  for (const auto& address : fabric.options.balancers) {
    fabric.balancers.push_back(std::make_unique<BalancerSocket>(BalancerSocket{
        .socket = udp::socket(fabric.io, udp::v4()), .address = address}));
    fabric.balancers.back()->socket.connect(ConvertToAsioEndpoint(address));
    ReceiveFromBalancer(fabric, *fabric.balancers.back());
  }
  fabric.return_socket = BindSocket(fabric, fabric.options.return_address);
  ReceiveReturnPackets(fabric);
  ProbeBalancerHealth(fabric);
}

/// Runs the fabric until SIGINT or SIGTERM.
auto RunFabricStandin(const Options& options) -> void {
  Fabric fabric{.options = options, .random = Random(options.seed)};
  StartReceivingAndProbing(fabric);
  asio::signal_set signals(fabric.io, SIGINT, SIGTERM);
  signals.async_wait([&fabric](std::error_code, int) { fabric.io.stop(); });
  const StatsServer stats(options.stats, [&fabric] {
    // The I/O thread renders the counters, so that the counters need no lock.
    auto task = std::make_shared<std::packaged_task<std::string()>>(
        [&fabric] { return FormatCountersAsJson(fabric); });
    auto text = task->get_future();
    asio::post(fabric.io, [task] { (*task)(); });
    constexpr std::chrono::seconds kRenderTimeout{1};
    return text.wait_for(kRenderTimeout) == std::future_status::ready
               ? text.get()
               : std::string("{}");
  });
  fabric.io.run();
}

auto ReadAddressesRejectingDuplicates(
    const TCLAP::MultiArg<std::string>& option) -> std::vector<Endpoint> {
  std::vector<Endpoint> endpoints;
  for (const auto& it : option.getValue()) {
    const auto address = transport::ReadEndpointOption(it, option.getName());
    if (std::find(endpoints.begin(), endpoints.end(), address) !=
        endpoints.end()) {
      throw Error(ErrorKind::kInvalidSettings,
                  "--" + option.getName() + ": " + it + " is given twice");
    }
    endpoints.push_back(address);
  }
  return endpoints;
}

auto ReadSingleAddress(const TCLAP::ValueArg<std::string>& option) -> Endpoint {
  return transport::ReadEndpointOption(option.getValue(), option.getName());
}

auto ReadShareOption(const TCLAP::ValueArg<double>& option) -> double {
  const double share = option.getValue();
  if (share < 0 || share > 1) {
    throw Error(ErrorKind::kInvalidSettings,
                "--" + option.getName() + ": is out of range: 0 to 1");
  }
  return share;
}

auto ParseOptions(int argc, char** argv) -> Options {
  const std::string address_form = "127.0.0.1:PORT";
  TCLAP::CmdLine line("Stand-in of the network fabric");
  TCLAP::MultiArg<std::string> services(
      "", "service", "public address of a service", true, address_form, line);
  TCLAP::MultiArg<std::string> balancers(
      "", "balancer", "packet port of a balancer", true, address_form, line);
  TCLAP::ValueArg<std::string> back("", "return", "where agents send replies",
                                    true, "", address_form, line);
  TCLAP::ValueArg<std::string> stats("", "stats", "where counters are served",
                                     true, "", address_form, line);
  TCLAP::ValueArg<std::uint64_t> seed(
      "", "seed", "seed of loss, duplication and balancer choice", false, 1,
      "N", line);
  TCLAP::ValueArg<double> loss("", "loss", "share of packets dropped", false, 0,
                               "0..1", line);
  TCLAP::ValueArg<double> duplicate(
      "", "duplicate", "share of packets sent twice", false, 0, "0..1", line);
  TCLAP::ValueArg<int> delay("", "delay-ms", "one-way delay", false, 0, "ms",
                             line);
  transport::ParseCommandLine(
      line, transport::ConvertArgumentsToWords("standin_fabric", argc, argv));
  return Options{.services = ReadAddressesRejectingDuplicates(services),
                 .balancers = ReadAddressesRejectingDuplicates(balancers),
                 .return_address = ReadSingleAddress(back),
                 .stats = ReadSingleAddress(stats),
                 .seed = seed.getValue(),
                 .loss = ReadShareOption(loss),
                 .duplicate = ReadShareOption(duplicate),
                 .delay = std::chrono::milliseconds(delay.getValue())};
}

}  // namespace
}  // namespace hawthornbank::standins

auto main(int argc, char** argv) -> int {
  using namespace hawthornbank;
  return transport::RunAndReportErrors("standin_fabric", [argc, argv] {
    standins::RunFabricStandin(standins::ParseOptions(argc, argv));
  });
}
