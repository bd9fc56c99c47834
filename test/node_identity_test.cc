#include <CppUTest/TestHarness.h>

#include <asio.hpp>
#include <csignal>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "agent_settings.h"
#include "hawthornbank/relay.h"
#include "hawthornbank/types.h"
#include "packet_head.h"
#include "soak/node_process.h"
#include "transport/http_client.h"
#include "transport/udp_socket.h"

// Runs an agent on loopback whose settings file or addresses change hands.

using namespace hawthornbank;
using namespace hawthornbank::transport;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kHost = 0x7F000121;
constexpr int kConflict = 409;
// Timeout of a step of a test, far longer than any step takes.
constexpr auto kStepTimeout = 30s;

}  // namespace

TEST_GROUP(NodeIdentity) {
  soak::HostPorts ports = soak::FindFreePorts(kHost);
  asio::io_context io;
  int sequence = 0;

  auto BuildSettings(const std::string& service)->std::string {
    return test::FormatAgentSettings(ports, kHost, service);
  }

  // Sends the agent a heartbeat of a target; returns the status of the answer,
  // or 0 without an answer.
  auto SendHeartbeat(const std::string& service, int born)->int {
    HttpClient client(io, Endpoint{.address = kHost, .port = ports.control});
    const nlohmann::json body = {
        {"service", service},
        {"addr", ToString(Endpoint{.address = kHost, .port = ports.app})},
        {"zone", "a"},
        {"version", "v1"},
        {"slots", 3},
        {"state", "ready"},
        {"warmup_ms", 0},
        {"seq", ++sequence},
        {"born", born}};
    std::optional<int> status;
    client.SendHttpRequest(
        {.method = "PUT", .target = "/api/instances/i", .body = body.dump()},
        500ms, [&](const HttpResponse& reply) { status = reply.status; });
    while (!status.has_value() && io.run_one_for(1s) > 0) {
    }
    io.restart();
    return status.value_or(0);
  }

  auto WaitForStatus(int status, const std::string& service, int born)->bool {
    const auto end = std::chrono::steady_clock::now() + kStepTimeout;
    while (SendHeartbeat(service, born) != status) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      io.run_for(20ms);
      io.restart();
    }
    return true;
  }
};

// Guards against an agent that goes on for a service that has left its host.
TEST(NodeIdentity, AgentFollowsTheServiceInItsSettings) {
  soak::NodeProcess agent(HAWTHORNNODE, BuildSettings("s"), "identity");
  CHECK(WaitForStatus(200, "s", 1000));
  LONGS_EQUAL(kConflict, SendHeartbeat("t", 900));
  agent.WriteSettingsFile(BuildSettings("t"));
  CHECK(WaitForStatus(200, "t", 900));
  LONGS_EQUAL(kConflict, SendHeartbeat("s", 800));
  // With a signal in addition.
  agent.WriteSettingsFile(BuildSettings("u"));
  agent.SendSignal(SIGHUP);
  CHECK(WaitForStatus(200, "u", 900));
  // Settings that can't be read change nothing.
  agent.WriteSettingsFile("service = ");
  agent.SendSignal(SIGHUP);
  const auto is_logged = [&] {
    return agent.ReadLogFile().find("reload_failed") != std::string::npos;
  };
  const auto end = std::chrono::steady_clock::now() + kStepTimeout;
  while (!is_logged() && std::chrono::steady_clock::now() < end) {
    LONGS_EQUAL(200, SendHeartbeat("u", 900));
  }
  CHECK(is_logged());
  LONGS_EQUAL(200, SendHeartbeat("u", 900));
  CHECK_FALSE(agent.PollExitCode().has_value());
}

// Guards against a process that ends by itself because its predecessor hasn't
// ended yet.
TEST(NodeIdentity, AgentWaitsForTheAddressesOfItsPredecessor) {
  soak::NodeProcess former(HAWTHORNNODE, BuildSettings("s"), "former");
  CHECK(WaitForStatus(200, "s", 1000));
  soak::NodeProcess agent(HAWTHORNNODE, BuildSettings("t"), "agent");
  const auto end = std::chrono::steady_clock::now() + kStepTimeout;
  while (agent.ReadLogFile().find("bind_failed") == std::string::npos &&
         std::chrono::steady_clock::now() < end) {
    LONGS_EQUAL(200, SendHeartbeat("s", 1000));
  }
  former.SendSignal(SIGKILL);
  CHECK(WaitForStatus(200, "t", 900));
  CHECK_FALSE(agent.PollExitCode().has_value());
}

TEST(NodeIdentity, AgentFailsWhenItsAddressesStayInUse) {
  soak::NodeProcess former(HAWTHORNNODE, BuildSettings("s"), "former");
  CHECK(WaitForStatus(200, "s", 1000));
  std::string settings = BuildSettings("t");
  settings.replace(settings.find("grace_s = 6"), 11, "grace_s = 1");
  soak::NodeProcess agent(HAWTHORNNODE, settings, "agent");
  std::optional<int> code;
  const auto end = std::chrono::steady_clock::now() + kStepTimeout;
  while (!code.has_value() && std::chrono::steady_clock::now() < end) {
    LONGS_EQUAL(200, SendHeartbeat("s", 1000));
    code = agent.PollExitCode();
  }
  LONGS_EQUAL(2, code.value_or(-1));
}

// Guards against openings that run at a target of another service, which got
// the address of a target that had crashed.
TEST(NodeIdentity, AgentReturnsOpeningsWhileItsTargetIsSilent) {
  constexpr std::uint32_t kBalancerHost = 0x7F000122;
  soak::NodeProcess agent(HAWTHORNNODE, BuildSettings("s"), "silent");
  UdpSocket app(io, Endpoint{.address = kHost, .port = ports.app});
  UdpSocket balancer(
      io, Endpoint{.address = kBalancerHost, .port = ports.internal});
  int delivered = 0;
  int returned = 0;
  app.StartReceiving([&](Endpoint, ByteView) { ++delivered; });
  balancer.StartReceiving([&](Endpoint, ByteView bytes) {
    std::size_t size = 0;
    const auto header = DecodeRelayHeader(bytes, size);
    returned += header.has_value() && header->is_returned ? 1 : 0;
  });
  std::uint16_t port = 1000;
  const auto send_opening = [&] {
    Bytes datagram;
    AppendRelayHeader(
        RelayHeader{.origin = balancer.local_endpoint(),
                    .service = static_cast<std::uint32_t>(HashName("s"))},
        datagram);
    const auto packet = platform::EncodeResetPacket(
        FlowKey{.caller = {.address = 0xC6120001, .port = 443},
                .address = {.address = kBalancerHost, .port = ++port}},
        0);
    datagram.insert(datagram.end(), packet.begin(), packet.end());
    datagram[datagram.size() - packet.size()] = 0x40;  // An opening.
    balancer.SendDatagram({.address = kHost, .port = ports.internal}, datagram);
    io.run_for(50ms);
    io.restart();
  };
  CHECK(WaitForStatus(200, "s", 1000));
  send_opening();
  LONGS_EQUAL(1, delivered);
  // Two intervals of 200 ms and 300 ms without a heartbeat.
  io.run_for(1s);
  io.restart();
  delivered = returned = 0;
  for (int n = 0; n < 20; ++n) {
    send_opening();
  }
  LONGS_EQUAL(0, delivered);
  LONGS_EQUAL(20, returned);
  CHECK(WaitForStatus(200, "s", 1000));
  send_opening();
  LONGS_EQUAL(1, delivered);
  // One heartbeat of another service's later start may be a late message.
  LONGS_EQUAL(kConflict, SendHeartbeat("t", 2000));
  send_opening();
  LONGS_EQUAL(1, delivered);
  const auto end = std::chrono::steady_clock::now() + kStepTimeout;
  while (delivered == 1 && std::chrono::steady_clock::now() < end) {
    LONGS_EQUAL(200, SendHeartbeat("s", 1000));
    send_opening();
  }
  LONGS_EQUAL(2, delivered);
  CHECK(agent.ReadLogFile().find("target_claimed") != std::string::npos);
  CHECK(agent.ReadLogFile().find("given_away") == std::string::npos);
}
