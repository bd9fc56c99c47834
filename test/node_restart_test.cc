#include <CppUTest/TestHarness.h>

#include <asio.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "protocol/node_message.h"
#include "soak/node_process.h"
#include "soak/node_settings.h"
#include "transport/http_client.h"
#include "transport/udp_socket.h"

// Restarts an agent's process beside its running target, on loopback.

using namespace hawthornbank;
using namespace hawthornbank::transport;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kBalancerHost = 0x7F000131;
constexpr std::uint32_t kAgentHost = 0x7F000132;
constexpr std::uint32_t kAskingHost = 0x7F000133;
constexpr auto kStepTimeout = 30s;

}  // namespace

TEST_GROUP(NodeRestart) {
  soak::HostPorts ports = soak::FindFreePorts(kAgentHost);
  asio::io_context io;
  Endpoint agent_control{.address = kAgentHost, .port = ports.internal};
  std::unique_ptr<UdpSocket> asking;
  std::optional<FlowOwnership> reply;

  void setup() override {
    asking = std::make_unique<UdpSocket>(
        io, Endpoint{.address = kAskingHost, .port = ports.internal});
    asking->StartReceiving([this](Endpoint, ByteView bytes) {
      const auto message = DecodeNodeMessage(bytes);
      const auto* const it =
          message.has_value() ? std::get_if<FlowReply>(&*message) : nullptr;
      if (it != nullptr) {
        reply = it->ownership;
      }
    });
  }

  auto BuildSettings(std::uint32_t host)->std::string {
    return soak::FormatNodeSettings(
        ports, soak::NodeParameters{
                   .name = "n" + std::to_string(host & 0xFF),
                   .host = host,
                   .seed_hosts = {kBalancerHost},
                   .store = {.address = kAskingHost, .port = ports.store},
                   .service = host == kAgentHost ? "s" : "",
                   .heartbeat_interval = 1s});
  }

  auto RunFor(std::chrono::milliseconds time)->void {
    io.run_for(time);
    io.restart();
  }

  auto RunUntil(const std::function<bool()>& condition)->bool {
    const auto end = std::chrono::steady_clock::now() + kStepTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      RunFor(20ms);
    }
    return condition();
  }

  // Returns the status of the answer, or 0 without an answer.
  auto SendHeartbeat(std::uint64_t born, int sequence)->int {
    HttpClient client(io,
                      Endpoint{.address = kAgentHost, .port = ports.control});
    const nlohmann::json body = {{"service", "s"}, {"addr", "127.0.1.50:1"},
                                 {"zone", "a"},    {"version", "v1"},
                                 {"slots", 3},     {"state", "ready"},
                                 {"warmup_ms", 0}, {"seq", sequence},
                                 {"born", born}};
    std::optional<int> status;
    client.SendHttpRequest(
        {.method = "PUT", .target = "/api/instances/i", .body = body.dump()},
        500ms, [&](const HttpResponse& answer) { status = answer.status; });
    while (!status.has_value() && io.run_one_for(1s) > 0) {
    }
    io.restart();
    return status.value_or(0);
  }

  // Asks the agent whether its target holds a flow that it hasn't heard of.
  auto AskForUnknownFlow()->FlowOwnership {
    reply.reset();
    CHECK(RunUntil([this] {
      asking->SendDatagram(
          agent_control,
          EncodeNodeMessage(FlowQuery{
              .flow = {.caller = {.address = 0x64400007, .port = 40001},
                       .address = ParseEndpoint("198.18.0.1:443")},
              .origin = asking->local_endpoint()}));
      RunFor(20ms);
      return reply.has_value();
    }));
    return reply.value_or(FlowOwnership::kHeld);
  }

  static auto HasLogged(const soak::NodeProcess& process,
                        const std::string& text)
      ->bool {
    return process.ReadLogFile().find(text) != std::string::npos;
  }
};

// Guards against an agent that denies the flows of a target which counts its
// heartbeats from 0: the second one has the number of another target's first.
TEST(NodeRestart, RestartedAgentDoesntDenyFlowsAfterTheSecondHeartbeat) {
  const soak::NodeProcess balancer(HAWTHORNNODE, BuildSettings(kBalancerHost),
                                   "balancer");
  auto agent = std::make_unique<soak::NodeProcess>(
      HAWTHORNNODE, BuildSettings(kAgentHost), "agent");
  CHECK(RunUntil([&] { return SendHeartbeat(1000, 0) == 200; }));
  CHECK(AskForUnknownFlow() == FlowOwnership::kNotHeld);
  CHECK(
      RunUntil([&] { return HasLogged(balancer, "target=ready born=1000"); }));
  agent.reset();
  agent = std::make_unique<soak::NodeProcess>(
      HAWTHORNNODE, BuildSettings(kAgentHost), "agent");
  CHECK(RunUntil([&] { return HasLogged(balancer, "target=unknown born=0"); }));
  RunFor(200ms);
  CHECK(SendHeartbeat(1000, 1) == 200);
  CHECK(AskForUnknownFlow() == FlowOwnership::kUnsure);
}
