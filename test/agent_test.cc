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

auto MakeAgentEndpoint(std::size_t n) -> Endpoint {
  return {.address = 0x0A010000 + static_cast<std::uint32_t>(n), .port = 7000};
}

auto MakeView(std::size_t count) -> std::vector<Candidate> {
  std::vector<Candidate> view;
  for (std::size_t n = 0; n < count; ++n) {
    view.push_back(Candidate{.id = TargetId{(n + 1) * 0x9E3779B97F4A7C15ULL},
                             .agent = MakeAgentEndpoint(n)});
  }
  return view;
}

auto MakeUdpPacket(std::uint16_t port) -> Bytes {
  return BuildUdpPacket({.address = 0x0B000001, .port = port}, kAddress,
                        Bytes(8, 1));
}

auto MakeTcpPacket(std::uint16_t port, std::uint8_t flags) -> Bytes {
  Bytes buf = BuildUdpPacket({.address = 0x0B000001, .port = port}, kAddress,
                             Bytes(12, 0));
  buf[9] = 6;
  buf[kIpv4HeaderBytes + 12] = 0x50;
  buf[kIpv4HeaderBytes + 13] = flags;
  return buf;
}

auto ParseFlowKey(const Bytes& bytes, ServiceId service = kService) -> FlowKey {
  const auto view = ParsePacket(bytes);
  return FlowKey{.service = service,
                 .caller = view.source,
                 .address = view.destination,
                 .transport = view.transport};
}

}  // namespace

/// Three agents that receive each message immediately; dead agents get none.
TEST_GROUP(Agent) {
  std::array<Agent, kAgents> agents;
  std::array<bool, kAgents> dead{};
  // All actions but kForwardToAgent, kPointer and kPointerAck; `to` is the
  // agent that produced the action.
  std::vector<AgentAction> recorded_actions;
  TimePoint now = kNow;

  void setup() override {
    for (std::size_t n = 0; n < kAgents; ++n) {
      agents[n].options =
          AgentOptions{.self = MakeAgentEndpoint(n), .service = kService};
      agents[n].view = MakeView(kAgents);
      agents[n].mean_connections = 100;
    }
  }

  auto ApplyActions(std::size_t at, const std::vector<AgentAction>& actions,
                    const Bytes& packet)
      ->void {
    for (const auto& it : actions) {
      const std::size_t to = it.to.address & 0xFFU;
      switch (it.kind) {
        case Kind::kForwardToAgent:
          DeliverToAgent(to, it.header, packet);
          break;
        case Kind::kPointer: {
          std::vector<AgentAction> answers;
          if (!dead[to]) {
            OnFlowPointerReceived(agents[to], it.flow, it.owner, now, answers);
          }
          ApplyActions(to, answers, packet);
          break;
        }
        case Kind::kPointerAck:
          OnPointerAcknowledged(agents[to], it.flow, MakeAgentEndpoint(at));
          break;
        default:
          recorded_actions.push_back(it);
          recorded_actions.back().to = MakeAgentEndpoint(at);
      }
    }
  }

  auto DeliverToAgent(std::size_t at, const TunnelHeader& header,
                      const Bytes& packet)
      ->void {
    if (dead[at]) {
      return;
    }
    std::vector<AgentAction> out;
    OnTunnelPacket(agents[at], header, ParsePacket(packet), now, out);
    ApplyActions(at, out, packet);
  }

  auto SendFromBalancer(std::size_t at, const Bytes& packet,
                        bool established = false)
      ->void {
    DeliverToAgent(at,
                   TunnelHeader{.service = kService,
                                .balancer = kBalancer,
                                .established = established},
                   packet);
  }

  auto CountActions(Kind kind)->std::ptrdiff_t {
    return std::count_if(
        recorded_actions.begin(), recorded_actions.end(),
        [kind](const AgentAction& it) { return it.kind == kind; });
  }

  auto FindHomeIndex(const Bytes& packet)->std::size_t {
    return FindTopCandidate(MakeView(kAgents), HashFlow(ParseFlowKey(packet)))
               ->agent.address &
           0xFFU;
  }

  auto CountOwners(const Bytes& packet)->std::ptrdiff_t {
    return std::count_if(agents.begin(), agents.end(), [&](const Agent& it) {
      return it.flows.contains(ParseFlowKey(packet));
    });
  }
};

TEST(Agent, DuplicateOpeningPacketsThroughAnyAgentMakeOneFlow) {
  for (std::uint16_t port = 1; port < 100; ++port) {
    const auto packet = MakeUdpPacket(port);
    for (std::size_t at = 0; at < kAgents; ++at) {
      SendFromBalancer(at, packet);
    }
    LONGS_EQUAL(1, CountOwners(packet));
  }
  LONGS_EQUAL(99 * kAgents, CountActions(Kind::kDeliver));
}

TEST(Agent, PacketOfAnotherServiceIsDropped) {
  const auto packet = MakeUdpPacket(1);
  DeliverToAgent(0, TunnelHeader{.service = ServiceId{6}}, packet);
  CHECK(recorded_actions.empty());
  LONGS_EQUAL(1, ReadCounter(agents[0].counters, Counter::kDropWrongService));
}

TEST(Agent, FullHomeForwardsTheFlowAndKeepsAPointer) {
  const auto packet = MakeUdpPacket(1);
  const auto home = FindHomeIndex(packet);
  agents[home].target_usage = {.slots = 3, .slots_busy = 3};
  SendFromBalancer(home, packet);
  LONGS_EQUAL(1, CountOwners(packet));
  CHECK(!agents[home].flows.contains(ParseFlowKey(packet)));
  CHECK(agents[home].pointers.at(ParseFlowKey(packet)).confirmed);
  // The home is no longer full but still forwards the packets to the owner.
  agents[home].target_usage = {.slots = 3};
  SendFromBalancer(home, packet);
  LONGS_EQUAL(1, CountOwners(packet));
  LONGS_EQUAL(2, CountActions(Kind::kHint));
}

TEST(Agent, WhenAllTargetsAreFullTheLeastLoadedTakesTheFlow) {
  const auto packet = MakeUdpPacket(1);
  for (std::size_t n = 0; n < kAgents; ++n) {
    agents[n].target_usage = {.slots = 3,
                              .slots_busy = 3,
                              .queued = static_cast<std::uint32_t>(n + 1)};
  }
  SendFromBalancer(2, packet);
  CHECK(agents[0].flows.contains(ParseFlowKey(packet)));
}

TEST(Agent, DrainingTargetKeepsItsFlowsAndTakesNoNewFlow) {
  const auto old = MakeUdpPacket(1);
  const auto home = FindHomeIndex(old);
  SendFromBalancer(home, old);
  BeginDrain(agents[home], now);
  SendFromBalancer(home, old);
  CHECK(agents[home].flows.contains(ParseFlowKey(old)));
  const auto accepted = agents[home].flows.size();
  for (std::uint16_t port = 2; port < 200; ++port) {
    SendFromBalancer(home, MakeUdpPacket(port));
  }
  LONGS_EQUAL(accepted, agents[home].flows.size());
  LONGS_EQUAL(0, CountActions(Kind::kReset));
}

TEST(Agent, RestartedHomeFindsTheOwnersOfItsFlows) {
  const auto packet = MakeUdpPacket(1);
  const auto home = FindHomeIndex(packet);
  agents[home].draining = true;
  SendFromBalancer(home, packet);
  const auto self = agents[home].options.self;
  agents[home].pointers.clear();
  agents[home].draining = false;
  agents[home].view_changed = now;  // The home has just got its first view.
  SendFromBalancer(home, packet);
  LONGS_EQUAL(1, CountOwners(packet));
  CHECK(self == MakeAgentEndpoint(home));
  CHECK(!agents[home].flows.contains(ParseFlowKey(packet)));
}

TEST(Agent, OwnerSendsItsPointerToARestartedHomeUntilAcknowledged) {
  const auto packet = MakeUdpPacket(1);
  const auto home = FindHomeIndex(packet);
  agents[home].draining = true;
  SendFromBalancer(home, packet);
  const auto owner = static_cast<std::size_t>(
      std::find_if(agents.begin(), agents.end(),
                   [&](const Agent& it) {
                     return it.flows.contains(ParseFlowKey(packet));
                   }) -
      agents.begin());
  // The home restarts, and the owner's first pointer is lost.
  agents[home].pointers.clear();
  auto view = MakeView(kAgents);
  view[home].joined_at = now;
  std::vector<AgentAction> out;
  SetServiceView(agents[owner], view, now, out);
  LONGS_EQUAL(1, out.size());
  now += std::chrono::seconds{2};
  out.clear();
  OnAgentTick(agents[owner], now, out);
  LONGS_EQUAL(1, out.size());
  ApplyActions(owner, out, packet);
  CHECK(agents[home].pointers.at(ParseFlowKey(packet)).confirmed);
  out.clear();
  now += std::chrono::seconds{2};
  OnAgentTick(agents[owner], now, out);
  CHECK(out.empty());
}

TEST(Agent, NonOpeningPacketOfUnknownTcpFlowIsReset) {
  SendFromBalancer(0, MakeTcpPacket(1, 0x10));
  LONGS_EQUAL(1, CountActions(Kind::kReset));
  LONGS_EQUAL(0, CountActions(Kind::kDeliver));
  SendFromBalancer(0, MakeTcpPacket(1, 0x02));
  LONGS_EQUAL(1, CountActions(Kind::kDeliver));
}

TEST(Agent, UnknownUdpFlowMarkedEstablishedIsReset) {
  SendFromBalancer(0, MakeUdpPacket(1), true);
  LONGS_EQUAL(1, CountActions(Kind::kReset));
  LONGS_EQUAL(0, CountOwners(MakeUdpPacket(1)));
}

TEST(Agent, CallerIsResetWhenThePointedOwnerIsDead) {
  const auto packet = MakeUdpPacket(1);
  const auto home = FindHomeIndex(packet);
  agents[home].draining = true;
  SendFromBalancer(home, packet);
  const auto owner = agents[home].pointers.at(ParseFlowKey(packet)).owner;
  auto view = MakeView(kAgents);
  std::erase_if(view, [&](const Candidate& it) { return it.agent == owner; });
  dead[owner.address & 0xFFU] = true;
  std::vector<AgentAction> out;
  SetServiceView(agents[home], view, now, out);
  SendFromBalancer(home, packet);
  LONGS_EQUAL(1, CountActions(Kind::kReset));
  // The flow's next packet opens a new flow.
  SendFromBalancer(home, packet);
  LONGS_EQUAL(1, CountActions(Kind::kReset));
}

TEST(Agent, TcpResetEndsTheFlowAndFinDoesNot) {
  const auto key = ParseFlowKey(MakeTcpPacket(1, 0x02));
  const auto home = FindHomeIndex(MakeTcpPacket(1, 0x02));
  SendFromBalancer(home, MakeTcpPacket(1, 0x02));
  SendFromBalancer(home, MakeTcpPacket(1, 0x11));
  CHECK(agents[home].flows.contains(key));
  SendFromBalancer(home, MakeTcpPacket(1, 0x04));
  CHECK(!agents[home].flows.contains(key));
  LONGS_EQUAL(3, CountActions(Kind::kDeliver));
  LONGS_EQUAL(1, CountActions(Kind::kClose));
}

TEST(Agent, IcmpErrorReachesTheOwnerOfTheQuotedFlow) {
  const auto packet = MakeUdpPacket(1);
  SendFromBalancer(0, packet);
  const auto view = ParsePacket(packet);
  const auto answer = BuildUdpPacket(view.destination, view.source, {});
  const auto icmp = BuildFlowReset(ParsePacket(answer));
  SendFromBalancer(1, icmp);
  LONGS_EQUAL(2, CountActions(Kind::kDeliver));
  // An ICMP error about an unknown flow neither opens a flow nor gets a reply.
  const auto other =
      BuildUdpPacket(view.destination, {.address = 7, .port = 8}, {});
  SendFromBalancer(1, BuildFlowReset(ParsePacket(other)));
  LONGS_EQUAL(2, CountActions(Kind::kDeliver));
  LONGS_EQUAL(0, CountActions(Kind::kReset));
}

TEST(Agent, FlowWithOneSilentEndIsProbedAndEnded) {
  const auto packet = MakeUdpPacket(1);
  const auto home = FindHomeIndex(packet);
  SendFromBalancer(home, packet);
  std::vector<AgentAction> out;
  // The caller keeps sending; the target has lost the flow's state.
  for (int n = 0; n < 60 && CountActions(Kind::kReset) == 0; ++n) {
    now += std::chrono::seconds{1};
    if (n < 25) {
      SendFromBalancer(home, packet);
    }
    out.clear();
    OnAgentTick(agents[home], now, out);
    ApplyActions(home, out, packet);
  }
  LONGS_EQUAL(3, CountActions(Kind::kProbe));
  LONGS_EQUAL(1, CountActions(Kind::kReset));
  CHECK(now - kNow <= std::chrono::seconds{40});
}

TEST(Agent, IdleFlowThatAnswersProbesIsKept) {
  const auto packet = MakeUdpPacket(1);
  const auto home = FindHomeIndex(packet);
  SendFromBalancer(home, packet);
  std::vector<AgentAction> out;
  for (int n = 0; n < 3600; ++n) {
    now += std::chrono::seconds{1};
    out.clear();
    OnAgentTick(agents[home], now, out);
    for (const auto& it : out) {
      CHECK(it.kind != Kind::kReset);
      if (it.kind == Kind::kProbe) {
        OnFlowProbeAnswered(agents[home], it.flow, now);
      }
    }
  }
  CHECK(agents[home].flows.contains(ParseFlowKey(packet)));
}

TEST(Agent, HintsAreLimitedAndPacketsAreStillDelivered) {
  const auto packet = MakeUdpPacket(1);
  const auto home = FindHomeIndex(packet);
  agents[home].draining = true;
  for (auto& it : agents) {
    it.options.hint_burst = 10;
  }
  for (int n = 0; n < 100; ++n) {
    SendFromBalancer(home, packet);
  }
  LONGS_EQUAL(10, CountActions(Kind::kHint));
  LONGS_EQUAL(100, CountActions(Kind::kDeliver));
  now += std::chrono::seconds{1};
  SendFromBalancer(home, packet);
  LONGS_EQUAL(11, CountActions(Kind::kHint));
}

TEST(Agent, FlowsBeyondTheConnectionLimitAreReset) {
  for (auto& it : agents) {
    it.options.max_connections = 2;
    it.mean_connections = 2;
  }
  for (std::uint16_t port = 1; port <= 10; ++port) {
    SendFromBalancer(0, MakeUdpPacket(port));
  }
  for (const auto& it : agents) {
    LONGS_EQUAL(2, it.flows.size());
  }
  LONGS_EQUAL(4, CountActions(Kind::kReset));
}

TEST(Agent, NumberOfPointersIsBounded) {
  agents[0].options.max_pointers = 10;
  std::vector<AgentAction> out;
  for (std::uint16_t port = 1; port <= 100; ++port) {
    OnFlowPointerReceived(agents[0], ParseFlowKey(MakeUdpPacket(port)),
                          MakeAgentEndpoint(1), now, out);
  }
  LONGS_EQUAL(10, agents[0].pointers.size());
  LONGS_EQUAL(90, ReadCounter(agents[0].counters, Counter::kPointersEvicted));
}

TEST(Agent, FlowsEndAtTheDrainLimit) {
  const auto packet = MakeUdpPacket(1);
  const auto home = FindHomeIndex(packet);
  SendFromBalancer(home, packet);
  agents[home].options.drain_limit = std::chrono::seconds{30};
  BeginDrain(agents[home], now);
  std::vector<AgentAction> out;
  OnAgentTick(agents[home], now + std::chrono::seconds{29}, out);
  CHECK(agents[home].flows.contains(ParseFlowKey(packet)));
  OnAgentTick(agents[home], now + std::chrono::seconds{31}, out);
  CHECK(agents[home].flows.empty());
}

TEST(Agent, LeavingAgentSendsItsPointersToTheNextHomes) {
  const auto packet = MakeUdpPacket(1);
  const auto home = FindHomeIndex(packet);
  agents[home].draining = true;
  SendFromBalancer(home, packet);
  auto view = MakeView(kAgents);
  view.erase(view.begin() + static_cast<std::ptrdiff_t>(home));
  agents[home].view = view;
  std::vector<AgentAction> out;
  SendPointersToNextHomes(agents[home], out);
  const auto next =
      FindTopCandidate(view, HashFlow(ParseFlowKey(packet)))->agent;
  const auto owner = agents[home].pointers.at(ParseFlowKey(packet)).owner;
  LONGS_EQUAL(next == owner ? 0 : 1, out.size());
}
