#include <CppUTest/TestHarness.h>

#include <asio.hpp>
#include <csignal>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "hawthornbank/flow_packet.h"
#include "packet_head.h"
#include "soak/node_process.h"
#include "soak/node_settings.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/udp_socket.h"

// Runs the program `hawthornnode` on loopback. The platform's store, one or
// two targets and a caller are stand-ins. Each host has its own address in
// 127.0.0.0/8.

using namespace hawthornbank;
using namespace hawthornbank::transport;
using namespace std::chrono_literals;

namespace {

constexpr const char* kService = "s";
const Endpoint kRoute = ParseEndpoint("198.18.0.1:443");
const Endpoint kNoRoute = ParseEndpoint("198.18.0.1:444");
constexpr std::uint32_t kStoreHost = 0x7F000102;
constexpr std::uint32_t kBalancerHost = 0x7F000103;
constexpr std::uint32_t kCallerHost = 0x7F000109;
// Timeout of a step of a test, far longer than any step takes.
constexpr auto kStepTimeout = 30s;

auto EncodeFlowPacketWithFlags(const FlowPacket& packet, std::uint8_t flags)
    -> Bytes {
  const FlowKey towards{.caller = packet.destination, .address = packet.source};
  const auto reset = platform::EncodeResetPacket(towards, packet.sequence);
  Bytes bytes(reset.begin(), reset.end());
  bytes[0] = flags;
  return bytes;
}

constexpr std::uint8_t kSynFlag = 64;
constexpr std::uint8_t kAckFlag = 1;
constexpr std::uint8_t kReturnedFlag = 8;

}  // namespace

TEST_GROUP(NodePath) {
  soak::HostPorts ports = soak::FindFreePorts(kStoreHost);
  asio::io_context io;
  std::unique_ptr<HttpServer> store;
  std::uint64_t version = 3;
  std::string store_headers;  // Further headers of the store's answers.

  std::vector<std::uint32_t> seed_hosts = {kBalancerHost};
  std::vector<std::uint32_t> listed_balancers;  // In the store.

  auto BuildSettings(std::uint32_t host, bool is_agent,
                     const std::string& zone = "a")
      ->std::string {
    return soak::FormatNodeSettings(
        ports, soak::NodeParameters{
                   .name = "n" + std::to_string(host & 0xFF),
                   .host = host,
                   .seed_hosts = seed_hosts,
                   .store = {.address = kStoreHost, .port = ports.store},
                   .service = is_agent ? kService : "",
                   .zone = zone});
  }

  auto AnswerStoreRequest(const HttpServerRequest& call)->HttpServerResponse {
    nlohmann::json reply = {
        {"items", nlohmann::json::array()}, {"has_more", false}, {"as_of", 9}};
    if (call.target == "/api/objects/config") {
      reply["items"].push_back({{"meta", {{"name", "main"}, {"revision", 9}}},
                                {"spec",
                                 {{"version", version},
                                  {"routes",
                                   {{{"name", "r"},
                                     {"host", "198.18.0.1"},
                                     {"path_prefix", "/443/"},
                                     {"service", kService}}}}}}});
    }
    if (call.target.starts_with("/api/objects/balancers")) {
      for (const auto host : listed_balancers) {
        const std::string name =
            ToString(Endpoint{.address = host, .port = ports.internal});
        reply["items"].push_back(
            {{"meta", {{"name", name}}}, {"spec", {{"address", name}}}});
      }
    }
    return HttpServerResponse{.body = reply.dump(), .headers = store_headers};
  }

  void setup() override {
    store = std::make_unique<HttpServer>(
        io, Endpoint{.address = kStoreHost, .port = ports.store},
        [this](const HttpServerRequest& call) {
          return AnswerStoreRequest(call);
        });
  }

  // Runs the event loop and calls `step` every 50 ms until the condition holds.
  // Returns false if the condition doesn't hold within kStepTimeout.
  auto RunUntil(const std::function<bool()>& condition,
                const std::function<void()>& step)
      ->bool {
    const auto end = std::chrono::steady_clock::now() + kStepTimeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      step();
      io.run_for(50ms);
      io.restart();
    }
    return true;
  }
};

namespace {

// A target that accepts every opening packet, answers data and can drain.
struct TargetStandIn {
  TargetStandIn(asio::io_context& io,
                std::uint32_t host,
                const soak::HostPorts& ports)
      : app(ToString(Endpoint{.address = host, .port = ports.app})),
        outbound{.address = host, .port = ports.outbound},
        socket(io, Endpoint{.address = host, .port = ports.app}),
        client(io, Endpoint{.address = host, .port = ports.control}) {
    socket.StartReceiving(
        [this](Endpoint, ByteView bytes) { OnPacketFromAgent(bytes); });
  }

  auto SendHeartbeat() -> void {
    if (client.HasCallInFlight()) {
      return;
    }
    const nlohmann::json body = {
        {"service", kService}, {"addr", app},       {"zone", "a"},
        {"version", "v1"},     {"slots", 3},        {"state", state},
        {"warmup_ms", 0},      {"seq", ++sequence}, {"born", 1000}};
    client.SendHttpRequest(
        {.method = "PUT", .target = "/api/instances/i-1", .body = body.dump()},
        1s, [this](const HttpResponse& reply) {
          acknowledged += reply.status == 200 ? 1 : 0;
        });
  }

  auto OnPacketFromAgent(ByteView bytes) -> void {
    const auto packet = platform::DecodeFlowPacket(bytes);
    const FlowKey flow = ExtractCallerFlowKey(*packet);
    if (packet->is_opening) {
      ++openings;
    } else if (!flows.contains(flow)) {
      Bytes back(bytes.begin(), bytes.end());
      back[0] |= kReturnedFlag;
      socket.SendDatagram(outbound, back);
      return;
    }
    flows[flow] = true;
    const FlowPacket answer{.source = packet->destination,
                            .destination = packet->source};
    Bytes reply = EncodeFlowPacketWithFlags(
        answer, packet->is_opening ? kSynFlag | kAckFlag : kAckFlag);
    socket.SendDatagram(outbound, reply);
  }

  std::string app;
  Endpoint outbound;
  UdpSocket socket;
  HttpClient client;
  std::map<FlowKey, bool> flows;
  std::string state = "ready";
  int sequence = 0;
  int acknowledged = 0;
  int openings = 0;
};

}  // namespace

TEST(NodePath, OpeningsAreServedOrResetAndADrainingTargetGetsNone) {
  constexpr std::uint32_t kFirst = 0x7F000104;
  constexpr std::uint32_t kSecond = 0x7F000105;
  soak::NodeProcess balancer(HAWTHORNNODE, BuildSettings(kBalancerHost, false),
                             "balancer");
  soak::NodeProcess first_agent(HAWTHORNNODE, BuildSettings(kFirst, true),
                                "first");
  soak::NodeProcess second_agent(HAWTHORNNODE, BuildSettings(kSecond, true),
                                 "second");
  TargetStandIn first(io, kFirst, ports);
  TargetStandIn second(io, kSecond, ports);
  const Endpoint balancer_endpoint{.address = kBalancerHost,
                                   .port = ports.data};
  UdpSocket caller(io, Endpoint{.address = kCallerHost, .port = ports.data});
  std::map<std::uint16_t, FlowPacket> answers;
  caller.StartReceiving([&](Endpoint, ByteView bytes) {
    const auto packet = platform::DecodeFlowPacket(bytes);
    answers[packet->destination.port] = *packet;
  });
  const auto send = [&](std::uint16_t port, Endpoint to, std::uint8_t flags) {
    caller.SendDatagram(
        balancer_endpoint,
        EncodeFlowPacketWithFlags(
            FlowPacket{.source = {.address = kCallerHost, .port = port},
                       .destination = to},
            flags));
  };
  const auto send_heartbeats = [&] {
    first.SendHeartbeat();
    second.SendHeartbeat();
  };

  // Opening packets are served once the targets' heartbeats have reached their
  // agents and the agents have announced the targets to the balancer.
  CHECK(RunUntil(
      [&] { return answers.contains(1000) && answers[1000].is_opening; },
      [&] {
        send_heartbeats();
        send(1000, kRoute, kSynFlag);
      }));
  // Both logs tell where the opening went, and why.
  const std::string opening =
      " flow=" + ToString(Endpoint{.address = kCallerHost, .port = 1000}) +
      ">198.18.0.1:443 reason=";
  const std::string relayed =
      "kind=opening event=flow_relayed" + opening + "placed opening=";
  std::string balancers_log;
  CHECK(RunUntil(
      [&] {
        balancers_log = balancer.ReadLogFile();
        return balancers_log.find(relayed) != std::string::npos;
      },
      [] {}));
  STRCMP_CONTAINS("event=service_named service=s hash=#",
                  balancers_log.c_str());
  STRCMP_CONTAINS(" service=s record=s incarnation=", balancers_log.c_str());
  const std::string agents_log =
      first_agent.ReadLogFile() + second_agent.ReadLogFile();
  STRCMP_CONTAINS(
      ("kind=opening event=flow_opened" + opening + "opened opening=").c_str(),
      agents_log.c_str());
  STRCMP_CONTAINS(" service=s own=s from=127.0.1.3:", agents_log.c_str());
  // A later packet of the flow is answered by the target, not opened again.
  const int openings = first.openings + second.openings;
  answers.clear();
  CHECK(RunUntil([&] { return answers.contains(1000); },
                 [&] { send(1000, kRoute, kAckFlag); }));
  CHECK_FALSE(answers[1000].is_opening);

  // An opening packet to an address without a route is answered with a reset.
  CHECK(RunUntil([&] { return answers.contains(1001); },
                 [&] { send(1001, kNoRoute, kSynFlag); }));
  CHECK(answers[1001].is_reset);

  // A draining target gets no opening packets.
  first.state = "draining";
  const int before = first.acknowledged;
  CHECK(RunUntil([&] { return first.acknowledged >= before + 2; },
                 send_heartbeats));
  const int openings_before = first.openings;
  for (std::uint16_t port = 2000; port < 2020; ++port) {
    CHECK(RunUntil([&] { return answers.contains(port); },
                   [&] { send(port, kRoute, kSynFlag); }));
  }
  LONGS_EQUAL(openings_before, first.openings);
  CHECK(first.openings + second.openings > openings);

  // A stopping balancer exits when callers send no more packets.
  balancer.SendSignal(SIGTERM);
  std::optional<int> code;
  CHECK(RunUntil(
      [&] {
        code = code.has_value() ? code : balancer.PollExitCode();
        return code.has_value();
      },
      send_heartbeats));
  LONGS_EQUAL(0, *code);
  // The log names the start, the reset, the routes in force and the stop.
  const std::string log = balancer.ReadLogFile();
  STRCMP_CONTAINS("event=start role=balancer", log.c_str());
  STRCMP_CONTAINS(
      "event=flow_reset flow=127.0.1.9:1001>198.18.0.1:444 "
      "reason=no_route",
      log.c_str());
  STRCMP_CONTAINS("event=routes_in_force version=3", log.c_str());
  STRCMP_CONTAINS("event=stop ", log.c_str());
}

// Load pattern: all balancers restart during an outage of the store, while the
// agents keep running and keep the routes.
TEST(NodePath, BalancerStartedWithoutTheStoreFetchesRoutesFromAnAgent) {
  constexpr std::uint32_t kHost = 0x7F000106;
  auto balancer = std::make_unique<soak::NodeProcess>(
      HAWTHORNNODE, BuildSettings(kBalancerHost, false), "balancer-first");
  const soak::NodeProcess agent(HAWTHORNNODE, BuildSettings(kHost, true),
                                "keeper");
  TargetStandIn target(io, kHost, ports);
  const Endpoint balancer_endpoint{.address = kBalancerHost,
                                   .port = ports.data};
  UdpSocket caller(io, Endpoint{.address = kCallerHost, .port = ports.data});
  bool answered = false;
  caller.StartReceiving([&](Endpoint, ByteView bytes) {
    answered = answered || platform::DecodeFlowPacket(bytes)->is_opening;
  });
  CHECK(RunUntil(
      [&] {
        return agent.ReadLogFile().find("routes_kept version=3") !=
               std::string::npos;
      },
      [&] { target.SendHeartbeat(); }));
  store.reset();
  // The first process must have released its ports before the second starts.
  balancer.reset();
  balancer = std::make_unique<soak::NodeProcess>(
      HAWTHORNNODE, BuildSettings(kBalancerHost, false), "balancer-second");
  CHECK(RunUntil(
      [&] { return answered; },
      [&] {
        target.SendHeartbeat();
        caller.SendDatagram(
            balancer_endpoint,
            EncodeFlowPacketWithFlags(
                FlowPacket{.source = {.address = kCallerHost, .port = 1000},
                           .destination = kRoute},
                kSynFlag));
      }));
  STRCMP_CONTAINS("source=peer", balancer->ReadLogFile().c_str());
  CHECK(RunUntil(
      [&] {
        return balancer->ReadLogFile().find("event=store_lost") !=
               std::string::npos;
      },
      [&] { target.SendHeartbeat(); }));
  // Routes of a peer have no names of services; the agent sends them later.
  std::uint16_t port = 2000;
  CHECK(RunUntil(
      [&] {
        return balancer->ReadLogFile().find(" service=s record=s ") !=
               std::string::npos;
      },
      [&] {
        target.SendHeartbeat();
        caller.SendDatagram(
            balancer_endpoint,
            EncodeFlowPacketWithFlags(
                FlowPacket{.source = {.address = kCallerHost, .port = ++port},
                           .destination = kRoute},
                kSynFlag));
      }));
}

// Load pattern: a drill in which the store returns from a copy, and the
// operator writes again, which gives out the same revision for other routes.
TEST(NodePath, RoutesOfALaterEraAreReadThoughTheRevisionIsTheSame) {
  const soak::NodeProcess balancer(HAWTHORNNODE,
                                   BuildSettings(kBalancerHost, false), "eras");
  const auto is_logged = [&](const std::string& text) {
    return RunUntil(
        [&] { return balancer.ReadLogFile().find(text) != std::string::npos; },
        [] {});
  };
  CHECK(is_logged("event=routes_in_force version=3"));
  for (std::uint64_t era = 1; era <= 2; ++era) {
    store_headers = "Store-Era: " + std::to_string(era) + "\r\n";
    version = 3 + era;
    CHECK(
        is_logged("event=routes_in_force version=" + std::to_string(version)));
    CHECK(
        is_logged("event=store_returned_from_copy era=" + std::to_string(era)));
  }
  // The store shows an older version, and its era can't be read.
  version = 1;
  store_headers = "Store-Era: soon\r\n";
  CHECK(is_logged("era=\"soon\""));
  STRCMP_EQUAL("",
               balancer.ReadLogFile().find("version=1 ") == std::string::npos
                   ? ""
                   : "an older version is in force");
}

// Load pattern: a fleet with too many balancers for each process to tell all of
// them. The only target is in one zone, and callers of the other zone use it.
TEST(NodePath, LargeFleetServesCallersOfAZoneWithoutTargets) {
  constexpr std::uint32_t kAgentHost = 0x7F000201;
  constexpr std::uint32_t kFirstBalancer = 0x7F000210;
  constexpr std::uint32_t kBalancersPerZone = 7;
  std::vector<std::unique_ptr<soak::NodeProcess>> balancers;
  const auto start_balancer = [&](std::uint32_t host, const std::string& zone) {
    balancers.push_back(std::make_unique<soak::NodeProcess>(
        HAWTHORNNODE, BuildSettings(host, false, zone),
        "fleet-" + std::to_string(host & 0xFF)));
  };
  start_balancer(kBalancerHost, "a");  // The seed of all processes.
  for (std::uint32_t n = 1; n < 2 * kBalancersPerZone; ++n) {
    start_balancer(kFirstBalancer + n, n < kBalancersPerZone ? "a" : "b");
  }
  const soak::NodeProcess agent(HAWTHORNNODE, BuildSettings(kAgentHost, true),
                                "fleet-agent");
  TargetStandIn target(io, kAgentHost, ports);
  const Endpoint other_zone{
      .address = kFirstBalancer + 2 * kBalancersPerZone - 1,
      .port = ports.data};
  UdpSocket caller(io, Endpoint{.address = kCallerHost, .port = ports.data});
  bool answered = false;
  caller.StartReceiving([&](Endpoint, ByteView bytes) {
    answered = answered || platform::DecodeFlowPacket(bytes)->is_opening;
  });
  const auto open_flow = [&](std::uint16_t port) {
    answered = false;
    return RunUntil(
        [&] { return answered; },
        [&] {
          target.SendHeartbeat();
          caller.SendDatagram(
              other_zone,
              EncodeFlowPacketWithFlags(
                  FlowPacket{.source = {.address = kCallerHost, .port = port},
                             .destination = kRoute},
                  kSynFlag));
        });
  };
  CHECK(open_flow(1000));
  // A message that is cut short is logged and changes nothing.
  const std::vector<std::uint8_t> cut = {0x4E, 1, 4, 0, 0, 0, 9};
  caller.SendDatagram({.address = other_zone.address, .port = ports.internal},
                      cut);
  CHECK(RunUntil(
      [&] {
        return balancers.back()->ReadLogFile().find(
                   "event=datagram_malformed bytes=7") != std::string::npos;
      },
      [&] { target.SendHeartbeat(); }));
  CHECK(open_flow(1001));
}

// Load pattern: all hosts restart, and the seeds start last. Each seed knows
// the other at once, while no other process knows that they are back.
TEST(NodePath, SeedsThatRestartLastJoinTheBalancersOfTheRegistry) {
  constexpr std::uint32_t kOtherSeed = 0x7F000104;
  constexpr std::uint32_t kRunningBalancer = 0x7F000220;
  constexpr std::uint32_t kAgentHost = 0x7F000221;
  seed_hosts = {kBalancerHost, kOtherSeed};
  listed_balancers = {kBalancerHost, kOtherSeed, kRunningBalancer};
  const soak::NodeProcess running(
      HAWTHORNNODE, BuildSettings(kRunningBalancer, false), "join-running");
  const soak::NodeProcess agent(HAWTHORNNODE, BuildSettings(kAgentHost, true),
                                "join-agent");
  TargetStandIn target(io, kAgentHost, ports);
  const auto heartbeat = [&] { target.SendHeartbeat(); };
  const std::string agent_record =
      "host_changed host=" +
      ToString(Endpoint{.address = kAgentHost, .port = ports.internal});
  CHECK(RunUntil(
      [&] {
        return running.ReadLogFile().find(agent_record) != std::string::npos;
      },
      heartbeat));
  const soak::NodeProcess seed(
      HAWTHORNNODE, BuildSettings(kBalancerHost, false), "join-seed");
  const soak::NodeProcess other_seed(
      HAWTHORNNODE, BuildSettings(kOtherSeed, false), "join-other-seed");
  for (const auto* const it : {&seed, &other_seed}) {
    CHECK(RunUntil(
        [&] {
          const std::string log = it->ReadLogFile();
          return log.find("registry_read balancers=3") != std::string::npos &&
                 log.find(agent_record) != std::string::npos;
        },
        heartbeat));
  }
}
