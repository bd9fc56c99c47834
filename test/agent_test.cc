#include "hawthornbank/agent.h"

#include <algorithm>
#include <array>

#include "hawthornbank/routing.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

namespace {

using Kind = AgentAction::Kind;

const Endpoint kAddress{.address = 0x0A000001, .port = 5683};
const Endpoint kBalancer{.address = 0x0A020001, .port = 7000};
const ServiceId kService{5};
const TimePoint kNow{std::chrono::seconds{1000}};
constexpr std::size_t kAgents = 3;

auto AgentAt(std::size_t n) -> Endpoint {
  return {.address = 0x0A010000 + static_cast<std::uint32_t>(n), .port = 7000};
}

auto MakeView(std::size_t count) -> std::vector<Candidate> {
  std::vector<Candidate> view;
  for (std::size_t n = 0; n < count; ++n) {
    view.push_back(Candidate{.id = TargetId{(n + 1) * 0x9E3779B97F4A7C15ULL},
                             .agent = AgentAt(n)});
  }
  return view;
}

auto UdpPacket(std::uint16_t port) -> Bytes {
  return BuildUdpPacket({.address = 0x0B000001, .port = port}, kAddress,
                        Bytes(8, 1));
}

auto TcpPacket(std::uint16_t port, std::uint8_t flags) -> Bytes {
  Bytes buf = BuildUdpPacket({.address = 0x0B000001, .port = port}, kAddress,
                             Bytes(12, 0));
  buf[9] = 6;
  buf[kIpv4HeaderBytes + 12] = 0x50;
  buf[kIpv4HeaderBytes + 13] = flags;
  return buf;
}

auto KeyOf(const Bytes& bytes, ServiceId service = kService) -> FlowKey {
  const auto view = ParsePacket(bytes);
  return FlowKey{.service = service,
                 .caller = view.source,
                 .address = view.destination,
                 .transport = view.transport};
}

}  // namespace

/// Three agents whose messages arrive at once; a dead one gets none.
TEST_GROUP(Agent) {
  std::array<Agent, kAgents> agents;
  std::array<bool, kAgents> dead{};
  std::vector<AgentAction> seen;  // All but passes, with `to` as the actor.
  TimePoint now = kNow;

  void setup() override {
    for (std::size_t n = 0; n < kAgents; ++n) {
      agents[n].options = AgentOptions{.self = AgentAt(n), .service = kService};
      agents[n].view = MakeView(kAgents);
      agents[n].mean_connections = 100;
    }
  }

  auto Run(std::size_t at, const std::vector<AgentAction>& actions,
           const Bytes& packet)
      ->void {
    for (const auto& it : actions) {
      const std::size_t to = it.to.address & 0xFFU;
      switch (it.kind) {
        case Kind::kPass:
          Receive(to, it.header, packet);
          break;
        case Kind::kPointer: {
          std::vector<AgentAction> answers;
          if (!dead[to]) {
            OnFlowPointer(agents[to], it.flow, it.owner, now, answers);
          }
          Run(to, answers, packet);
          break;
        }
        case Kind::kPointerAck:
          OnPointerAck(agents[to], it.flow, AgentAt(at));
          break;
        default:
          seen.push_back(it);
          seen.back().to = AgentAt(at);
      }
    }
  }

  auto Receive(std::size_t at, const TunnelHeader& header, const Bytes& packet)
      ->void {
    if (dead[at]) {
      return;
    }
    std::vector<AgentAction> out;
    OnTunnelPacket(agents[at], header, ParsePacket(packet), now, out);
    Run(at, out, packet);
  }

  auto Send(std::size_t at, const Bytes& packet, bool established = false)
      ->void {
    Receive(at,
            TunnelHeader{.service = kService,
                         .balancer = kBalancer,
                         .established = established},
            packet);
  }

  auto Seen(Kind kind)->std::ptrdiff_t {
    return std::count_if(
        seen.begin(), seen.end(),
        [kind](const AgentAction& it) { return it.kind == kind; });
  }

  auto HomeOf(const Bytes& packet)->std::size_t {
    return FirstCandidate(MakeView(kAgents), HashFlow(KeyOf(packet)))
               ->agent.address &
           0xFFU;
  }

  auto Owners(const Bytes& packet)->std::ptrdiff_t {
    return std::count_if(agents.begin(), agents.end(), [&](const Agent& it) {
      return it.flows.contains(KeyOf(packet));
    });
  }
};

TEST(Agent, DuplicatedOpeningsThroughAnyAgentMakeOneFlow) {
  for (std::uint16_t port = 1; port < 100; ++port) {
    const auto packet = UdpPacket(port);
    for (std::size_t at = 0; at < kAgents; ++at) {
      Send(at, packet);
    }
    LONGS_EQUAL(1, Owners(packet));
  }
  LONGS_EQUAL(99 * kAgents, Seen(Kind::kDeliver));
}

TEST(Agent, PacketOfAnotherServiceIsDropped) {
  const auto packet = UdpPacket(1);
  Receive(0, TunnelHeader{.service = ServiceId{6}}, packet);
  CHECK(seen.empty());
  LONGS_EQUAL(1, Read(agents[0].counters, Counter::kDropWrongService));
}

TEST(Agent, HomeWithoutRoomPassesTheFlowOnAndRemembersIt) {
  const auto packet = UdpPacket(1);
  const auto home = HomeOf(packet);
  agents[home].busyness = {.slots = 3, .slots_busy = 3};
  Send(home, packet);
  LONGS_EQUAL(1, Owners(packet));
  CHECK(!agents[home].flows.contains(KeyOf(packet)));
  CHECK(agents[home].pointers.at(KeyOf(packet)).confirmed);
  // With room again the home still sends the flow's packets to its owner.
  agents[home].busyness = {.slots = 3};
  Send(home, packet);
  LONGS_EQUAL(1, Owners(packet));
  LONGS_EQUAL(2, Seen(Kind::kHint));
}

TEST(Agent, FullTargetsTakeTheLeastLoaded) {
  const auto packet = UdpPacket(1);
  for (std::size_t n = 0; n < kAgents; ++n) {
    agents[n].busyness = {.slots = 3,
                          .slots_busy = 3,
                          .queued = static_cast<std::uint32_t>(n + 1)};
  }
  Send(2, packet);
  CHECK(agents[0].flows.contains(KeyOf(packet)));
}

TEST(Agent, DrainingTargetKeepsItsFlowsAndTakesNoNewOne) {
  const auto old = UdpPacket(1);
  const auto home = HomeOf(old);
  Send(home, old);
  BeginDrain(agents[home], now);
  Send(home, old);
  CHECK(agents[home].flows.contains(KeyOf(old)));
  const auto accepted = agents[home].flows.size();
  for (std::uint16_t port = 2; port < 200; ++port) {
    Send(home, UdpPacket(port));
  }
  LONGS_EQUAL(accepted, agents[home].flows.size());
  LONGS_EQUAL(0, Seen(Kind::kReset));
}

TEST(Agent, RestartedHomeFindsItsFlowsAgain) {
  const auto packet = UdpPacket(1);
  const auto home = HomeOf(packet);
  agents[home].draining = true;
  Send(home, packet);
  const auto self = agents[home].options.self;
  agents[home].pointers.clear();
  agents[home].draining = false;
  agents[home].view_changed = now;  // It has just learnt its first view.
  Send(home, packet);
  LONGS_EQUAL(1, Owners(packet));
  CHECK(self == AgentAt(home));
  CHECK(!agents[home].flows.contains(KeyOf(packet)));
}

TEST(Agent, OwnersTellANewHomeAndRepeatUntilAcknowledged) {
  const auto packet = UdpPacket(1);
  const auto home = HomeOf(packet);
  agents[home].draining = true;
  Send(home, packet);
  const auto owner = static_cast<std::size_t>(
      std::find_if(
          agents.begin(), agents.end(),
          [&](const Agent& it) { return it.flows.contains(KeyOf(packet)); }) -
      agents.begin());
  // The home restarts; the owner's word is lost the first time.
  agents[home].pointers.clear();
  auto view = MakeView(kAgents);
  view[home].joined = now;
  std::vector<AgentAction> out;
  SetServiceView(agents[owner], view, now, out);
  LONGS_EQUAL(1, out.size());
  now += std::chrono::seconds{2};
  out.clear();
  OnAgentTick(agents[owner], now, out);
  LONGS_EQUAL(1, out.size());
  Run(owner, out, packet);
  CHECK(agents[home].pointers.at(KeyOf(packet)).confirmed);
  out.clear();
  now += std::chrono::seconds{2};
  OnAgentTick(agents[owner], now, out);
  CHECK(out.empty());
}

TEST(Agent, UnknownTcpFlowIsResetNotSilent) {
  Send(0, TcpPacket(1, 0x10));
  LONGS_EQUAL(1, Seen(Kind::kReset));
  LONGS_EQUAL(0, Seen(Kind::kDeliver));
  Send(0, TcpPacket(1, 0x02));
  LONGS_EQUAL(1, Seen(Kind::kDeliver));
}

TEST(Agent, EstablishedUdpFlowOfADeadTargetIsReset) {
  Send(0, UdpPacket(1), true);
  LONGS_EQUAL(1, Seen(Kind::kReset));
  LONGS_EQUAL(0, Owners(UdpPacket(1)));
}

TEST(Agent, PointerToADeadOwnerResetsTheCaller) {
  const auto packet = UdpPacket(1);
  const auto home = HomeOf(packet);
  agents[home].draining = true;
  Send(home, packet);
  const auto owner = agents[home].pointers.at(KeyOf(packet)).owner;
  auto view = MakeView(kAgents);
  std::erase_if(view, [&](const Candidate& it) { return it.agent == owner; });
  dead[owner.address & 0xFFU] = true;
  std::vector<AgentAction> out;
  SetServiceView(agents[home], view, now, out);
  Send(home, packet);
  LONGS_EQUAL(1, Seen(Kind::kReset));
  // The next packet begins a new flow.
  Send(home, packet);
  LONGS_EQUAL(1, Seen(Kind::kReset));
}

TEST(Agent, TcpResetEndsTheFlowAndFinDoesNot) {
  const auto key = KeyOf(TcpPacket(1, 0x02));
  const auto home = HomeOf(TcpPacket(1, 0x02));
  Send(home, TcpPacket(1, 0x02));
  Send(home, TcpPacket(1, 0x11));
  CHECK(agents[home].flows.contains(key));
  Send(home, TcpPacket(1, 0x04));
  CHECK(!agents[home].flows.contains(key));
  LONGS_EQUAL(3, Seen(Kind::kDeliver));
  LONGS_EQUAL(1, Seen(Kind::kClose));
}

TEST(Agent, IcmpErrorReachesTheOwnerOfTheQuotedFlow) {
  const auto packet = UdpPacket(1);
  Send(0, packet);
  const auto view = ParsePacket(packet);
  const auto answer = BuildUdpPacket(view.destination, view.source, {});
  const auto icmp = BuildReset(ParsePacket(answer));
  Send(1, icmp);
  LONGS_EQUAL(2, Seen(Kind::kDeliver));
  // One about a flow nobody knows opens nothing and is answered by nothing.
  const auto other =
      BuildUdpPacket(view.destination, {.address = 7, .port = 8}, {});
  Send(1, BuildReset(ParsePacket(other)));
  LONGS_EQUAL(2, Seen(Kind::kDeliver));
  LONGS_EQUAL(0, Seen(Kind::kReset));
}

TEST(Agent, OneSidedFlowIsProbedAndEnded) {
  const auto packet = UdpPacket(1);
  const auto home = HomeOf(packet);
  Send(home, packet);
  std::vector<AgentAction> out;
  // The caller talks on; the target has lost track.
  for (int n = 0; n < 60 && Seen(Kind::kReset) == 0; ++n) {
    now += std::chrono::seconds{1};
    if (n < 25) {
      Send(home, packet);
    }
    out.clear();
    OnAgentTick(agents[home], now, out);
    Run(home, out, packet);
  }
  LONGS_EQUAL(3, Seen(Kind::kProbe));
  LONGS_EQUAL(1, Seen(Kind::kReset));
  CHECK(now - kNow <= std::chrono::seconds{40});
}

TEST(Agent, IdleFlowThatAnswersProbesStays) {
  const auto packet = UdpPacket(1);
  const auto home = HomeOf(packet);
  Send(home, packet);
  std::vector<AgentAction> out;
  for (int n = 0; n < 3600; ++n) {
    now += std::chrono::seconds{1};
    out.clear();
    OnAgentTick(agents[home], now, out);
    for (const auto& it : out) {
      CHECK(it.kind != Kind::kReset);
      if (it.kind == Kind::kProbe) {
        OnProbeAnswered(agents[home], it.flow, now);
      }
    }
  }
  CHECK(agents[home].flows.contains(KeyOf(packet)));
}

TEST(Agent, HintsKeepTheirBudgetAndPacketsGoOn) {
  const auto packet = UdpPacket(1);
  const auto home = HomeOf(packet);
  agents[home].draining = true;
  for (auto& it : agents) {
    it.options.hint_burst = 10;
  }
  for (int n = 0; n < 100; ++n) {
    Send(home, packet);
  }
  LONGS_EQUAL(10, Seen(Kind::kHint));
  LONGS_EQUAL(100, Seen(Kind::kDeliver));
  now += std::chrono::seconds{1};
  Send(home, packet);
  LONGS_EQUAL(11, Seen(Kind::kHint));
}

TEST(Agent, ConnectionLimitRefusesWithAReset) {
  for (auto& it : agents) {
    it.options.max_connections = 2;
    it.mean_connections = 2;
  }
  for (std::uint16_t port = 1; port <= 10; ++port) {
    Send(0, UdpPacket(port));
  }
  for (const auto& it : agents) {
    LONGS_EQUAL(2, it.flows.size());
  }
  LONGS_EQUAL(4, Seen(Kind::kReset));
}

TEST(Agent, PointersAreBounded) {
  agents[0].options.max_pointers = 10;
  std::vector<AgentAction> out;
  for (std::uint16_t port = 1; port <= 100; ++port) {
    OnFlowPointer(agents[0], KeyOf(UdpPacket(port)), AgentAt(1), now, out);
  }
  LONGS_EQUAL(10, agents[0].pointers.size());
  LONGS_EQUAL(90, Read(agents[0].counters, Counter::kPointersEvicted));
}

TEST(Agent, DrainLimitEndsTheLastFlows) {
  const auto packet = UdpPacket(1);
  const auto home = HomeOf(packet);
  Send(home, packet);
  agents[home].options.drain_limit = std::chrono::seconds{30};
  BeginDrain(agents[home], now);
  std::vector<AgentAction> out;
  OnAgentTick(agents[home], now + std::chrono::seconds{29}, out);
  CHECK(agents[home].flows.contains(KeyOf(packet)));
  OnAgentTick(agents[home], now + std::chrono::seconds{31}, out);
  CHECK(agents[home].flows.empty());
}

TEST(Agent, LeavingAgentHandsItsPointersOver) {
  const auto packet = UdpPacket(1);
  const auto home = HomeOf(packet);
  agents[home].draining = true;
  Send(home, packet);
  auto view = MakeView(kAgents);
  view.erase(view.begin() + static_cast<std::ptrdiff_t>(home));
  agents[home].view = view;
  std::vector<AgentAction> out;
  HandOverPointers(agents[home], out);
  const auto next = FirstCandidate(view, HashFlow(KeyOf(packet)))->agent;
  const auto owner = agents[home].pointers.at(KeyOf(packet)).owner;
  LONGS_EQUAL(next == owner ? 0 : 1, out.size());
}
