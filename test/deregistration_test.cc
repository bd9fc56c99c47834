#include <CppUTest/TestHarness.h>

#include <asio.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "hawthornbank/relay.h"
#include "packet_head.h"
#include "soak/node_process.h"
#include "soak/node_settings.h"
#include "transport/http_client.h"
#include "transport/udp_socket.h"

// Runs an agent on loopback whose target deregisters. A deregistration names no
// start, so it may be a late one of a start before with the same id.

using namespace hawthornbank;
using namespace hawthornbank::transport;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kHost = 0x7F000151;
constexpr std::uint32_t kBalancerHost = 0x7F000152;
constexpr std::uint32_t kCallerHost = 0x7F000153;
constexpr std::uint8_t kSynFlag = 64;
constexpr std::uint8_t kAckFlag = 1;
constexpr std::uint8_t kResetFlag = 2;
constexpr auto kStepTimeout = 30s;
const Endpoint kRoute = ParseEndpoint("198.18.0.1:443");

// A packet with the sequence number 0 whose acknowledgement is 1 if set.
auto EncodePacket(Endpoint source, Endpoint destination, std::uint8_t flags)
    -> Bytes {
  const auto reset = platform::EncodeResetPacket(
      FlowKey{.caller = destination, .address = source}, 0);
  Bytes bytes(reset.begin(), reset.end());
  bytes[0] = flags;
  bytes[9] = (flags & kAckFlag) != 0 ? 1 : 0;
  return bytes;
}

}  // namespace

TEST_GROUP(Deregistration) {
  soak::HostPorts ports = soak::FindFreePorts(kHost);
  asio::io_context io;
  std::unique_ptr<soak::NodeProcess> agent;
  std::unique_ptr<UdpSocket> app;
  std::unique_ptr<UdpSocket> balancer;
  std::unique_ptr<UdpSocket> callers;
  int delivered = 0;
  int returned = 0;
  int accepted = 0;
  int resets = 0;
  int sequence = 0;

  void setup() override {
    app = std::make_unique<UdpSocket>(
        io, Endpoint{.address = kHost, .port = ports.app});
    balancer = std::make_unique<UdpSocket>(
        io, Endpoint{.address = kBalancerHost, .port = ports.internal});
    callers = std::make_unique<UdpSocket>(
        io, Endpoint{.address = kCallerHost, .port = ports.data});
    app->StartReceiving([this](Endpoint, ByteView) { ++delivered; });
    balancer->StartReceiving([this](Endpoint, ByteView bytes) {
      std::size_t size = 0;
      const auto header = DecodeRelayHeader(bytes, size);
      returned += header.has_value() && header->is_returned ? 1 : 0;
    });
    callers->StartReceiving([this](Endpoint, ByteView bytes) {
      resets += bytes[0] == kResetFlag ? 1 : 0;
      accepted += bytes[0] == (kSynFlag | kAckFlag) ? 1 : 0;
    });
    agent = std::make_unique<soak::NodeProcess>(
        HAWTHORNNODE,
        soak::FormatNodeSettings(
            ports, soak::NodeParameters{.name = "n",
                                        .host = kHost,
                                        .seed_hosts = {kBalancerHost},
                                        .store = {.address = kBalancerHost,
                                                  .port = ports.store},
                                        .service = "s"}),
        "deregistration");
    CHECK(RunUntil([this] { return SendHeartbeat("ready") == 200; }));
  }

  void teardown() override {
    agent.reset();
  }

  auto RunFor(std::chrono::milliseconds time)->void {
    io.run_for(time);
    io.restart();
  }

  auto RunUntil(const std::function<bool()>& condition)->bool {
    const auto end = std::chrono::steady_clock::now() + kStepTimeout;
    bool holds = condition();
    while (!holds && std::chrono::steady_clock::now() < end) {
      RunFor(20ms);
      holds = condition();
    }
    return holds;
  }

  auto SendCall(const std::string& method, const std::string& body)->int {
    HttpClient client(io, Endpoint{.address = kHost, .port = ports.control});
    std::optional<int> status;
    client.SendHttpRequest(
        {.method = method, .target = "/api/instances/i", .body = body}, 500ms,
        [&](const HttpResponse& reply) { status = reply.status; });
    while (!status.has_value() && io.run_one_for(1s) > 0) {
    }
    io.restart();
    return status.value_or(0);
  }

  auto SendHeartbeat(const std::string& state)->int {
    const nlohmann::json body = {{"service", "s"}, {"addr", "127.0.1.81:1"},
                                 {"zone", "a"},    {"version", "v1"},
                                 {"slots", 3},     {"state", state},
                                 {"warmup_ms", 0}, {"seq", ++sequence},
                                 {"born", 1000}};
    return SendCall("PUT", body.dump());
  }

  auto Deregister()->int {
    return SendCall("DELETE", "");
  }

  auto SendFromCaller(std::uint16_t port, std::uint8_t flags)->void {
    Bytes datagram;
    AppendRelayHeader(
        RelayHeader{.origin = balancer->local_endpoint(),
                    .service = static_cast<std::uint32_t>(HashName("s"))},
        datagram);
    const Bytes packet =
        EncodePacket({.address = kCallerHost, .port = port}, kRoute, flags);
    datagram.insert(datagram.end(), packet.begin(), packet.end());
    balancer->SendDatagram({.address = kHost, .port = ports.internal},
                           datagram);
  }

  // Returns whether an opening reaches the target rather than going back.
  auto IsOpeningDelivered(std::uint16_t port)->bool {
    const int delivered_before = delivered;
    const int returned_before = returned;
    SendFromCaller(port, kSynFlag);
    CHECK(RunUntil([&] {
      return delivered > delivered_before || returned > returned_before;
    }));
    return delivered > delivered_before;
  }

  auto OpenFlow(std::uint16_t port)->void {
    CHECK(IsOpeningDelivered(port));
    app->SendDatagram(
        {.address = kHost, .port = ports.outbound},
        EncodePacket(kRoute, {.address = kCallerHost, .port = port},
                     kSynFlag | kAckFlag));
    CHECK(RunUntil([&] { return accepted == 1; }));
    const int before = delivered;
    SendFromCaller(port, kAckFlag);
    CHECK(RunUntil([&] { return delivered > before; }));
  }

  auto StopAgent()->void {
    agent->SendSignal(SIGTERM);
    CHECK(RunUntil([this] { return agent->PollExitCode().has_value(); }));
    RunFor(50ms);
  }
};

// Guards against resets of open flows of a live target.
TEST(Deregistration, LateOneOfAnEarlierStartResetsNoFlow) {
  OpenFlow(1000);
  LONGS_EQUAL(200, Deregister());
  // The target may be gone: openings stop at once.
  CHECK_FALSE(IsOpeningDelivered(1001));
  LONGS_EQUAL(200, Deregister());
  CHECK_FALSE(IsOpeningDelivered(1002));
  LONGS_EQUAL(200, SendHeartbeat("ready"));
  CHECK(IsOpeningDelivered(1003));
  // The agent stops before the next heartbeat.
  LONGS_EQUAL(200, Deregister());
  agent->SendSignal(SIGTERM);
  RunFor(200ms);
  LONGS_EQUAL(200, SendHeartbeat("ready"));
  CHECK(RunUntil([this] { return agent->PollExitCode().has_value(); }));
  RunFor(50ms);
  LONGS_EQUAL(0, resets);
}

// Guards against flows that hang when an agent is stopped right after the
// deregistration of a target that wasn't heard draining.
TEST(Deregistration, StoppedAgentResetsTheFlowsOfATargetThatHasEnded) {
  OpenFlow(1000);
  LONGS_EQUAL(200, Deregister());
  StopAgent();
  LONGS_EQUAL(1, resets);
}

TEST(Deregistration, StoppedAgentResetsTheFlowsOfADrainedTargetThatHasEnded) {
  OpenFlow(1000);
  LONGS_EQUAL(200, SendHeartbeat("draining"));
  CHECK_FALSE(IsOpeningDelivered(1001));
  LONGS_EQUAL(200, Deregister());
  StopAgent();
  LONGS_EQUAL(1, resets);
}

// Guards against resets of open flows of a target that drains and lives.
TEST(Deregistration, LateOneWhileTheTargetDrainsResetsNoFlow) {
  OpenFlow(1000);
  LONGS_EQUAL(200, SendHeartbeat("draining"));
  LONGS_EQUAL(200, Deregister());
  agent->SendSignal(SIGTERM);
  RunFor(200ms);
  LONGS_EQUAL(200, SendHeartbeat("draining"));
  CHECK(RunUntil([this] { return agent->PollExitCode().has_value(); }));
  RunFor(50ms);
  LONGS_EQUAL(0, resets);
}

TEST(Deregistration, SilenceConfirmsTheEndAndItsFlowsAreResetAsSoonAsBefore) {
  OpenFlow(1000);
  LONGS_EQUAL(200, Deregister());
  const auto begin = std::chrono::steady_clock::now();
  CHECK(RunUntil([this] { return resets == 1; }));
  const auto time = std::chrono::steady_clock::now() - begin;
  CHECK(time > 2s);
  CHECK(time < 4s);
  CHECK(agent->ReadLogFile().find("state=gone") != std::string::npos);
}
