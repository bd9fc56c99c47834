#include "hawthornbank/routing.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

namespace {

const Endpoint kAddress{.address = 0x0A000001, .port = 5683};
const Endpoint kCaller{.address = 0x0B000001, .port = 4000};
const Endpoint kAgentA{.address = 0x0A010001, .port = 7000};
const Endpoint kAgentB{.address = 0x0A010002, .port = 7000};
const TimePoint kNow{std::chrono::seconds{1000}};

auto MakeCandidate(std::uint64_t id, Endpoint agent) -> Candidate {
  return Candidate{.id = TargetId{id}, .agent = agent};
}

auto MakeRoutingTable(ServiceId service,
                      const std::vector<Candidate>& candidates)
    -> RoutingTable {
  RoutingTable table{.generation = Generation{3}};
  for (const auto& it : candidates) {
    table.live_agents.emplace(it.agent, it.joined_at);
  }
  table.services.emplace(
      ServiceAddress{.address = kAddress, .transport = Transport::kUdp},
      RoutedService{.id = service, .candidates = candidates});
  return table;
}

}  // namespace

TEST_GROUP(Routing) {
  FlowCache cache{1000};
  Counters counters;
  BalancerContext context{.self = {.address = 9, .port = 9},
                          .last_contact = kNow};
  Bytes bytes = BuildUdpPacket(kCaller, kAddress, Bytes(8, 1));

  auto RouteCallerPacket(const RoutingTable& table, TimePoint now = kNow)
      ->RouteDecision {
    return RoutePacket(table, cache, context, ParsePacket(bytes), now,
                       counters);
  }
};

TEST(Routing, PacketCarriesServiceAndGeneration) {
  const auto table =
      MakeRoutingTable(ServiceId{5}, {MakeCandidate(1, kAgentA)});
  const auto decision = RouteCallerPacket(table);
  CHECK(decision.verdict == RouteVerdict::kForward);
  CHECK(decision.agent == kAgentA);
  CHECK(decision.header.service == ServiceId{5});
  CHECK(decision.header.generation == Generation{3});
  CHECK(decision.header.balancer == context.self);
}

TEST(Routing, CachedFlowStaysWhenATargetJoins) {
  const auto before =
      MakeRoutingTable(ServiceId{5}, {MakeCandidate(1, kAgentA)});
  CHECK(RouteCallerPacket(before).agent == kAgentA);
  for (std::uint64_t id = 2; id < 50; ++id) {
    const auto after = MakeRoutingTable(
        ServiceId{5}, {MakeCandidate(1, kAgentA), MakeCandidate(id, kAgentB)});
    CHECK(RouteCallerPacket(after).agent == kAgentA);
  }
}

TEST(Routing, ReusedAddressDoesNotReuseTheCachedOwner) {
  CHECK(RouteCallerPacket(
            MakeRoutingTable(ServiceId{5}, {MakeCandidate(1, kAgentA)}))
            .agent == kAgentA);
  // Another service with another target takes over the address.
  auto table = MakeRoutingTable(ServiceId{6}, {MakeCandidate(2, kAgentB)});
  table.live_agents.emplace(kAgentA, TimePoint{});
  const auto decision = RouteCallerPacket(table);
  CHECK(decision.agent == kAgentB);
  CHECK(decision.header.service == ServiceId{6});
}

TEST(Routing, NewTargetIsNoHomeDuringTheJoinWindow) {
  auto new_target = MakeCandidate(2, kAgentB);
  new_target.joined_at = kNow - std::chrono::seconds{1};
  const auto table =
      MakeRoutingTable(ServiceId{5}, {MakeCandidate(1, kAgentA), new_target});
  for (std::uint16_t port = 1; port < 200; ++port) {
    bytes = BuildUdpPacket({.address = 1, .port = port}, kAddress, {});
    CHECK(RouteCallerPacket(table).agent == kAgentA);
  }
}

TEST(Routing, OldFlowOfADepartedOwnerIsMarkedEstablished) {
  RouteCallerPacket(
      MakeRoutingTable(ServiceId{5}, {MakeCandidate(1, kAgentA)}));
  auto table = MakeRoutingTable(ServiceId{5}, {MakeCandidate(2, kAgentB)});
  const auto later = kNow + std::chrono::minutes{1};
  context.last_contact = later;
  table.departed_agents.emplace(kAgentA, later);
  const auto decision = RouteCallerPacket(table, later);
  CHECK(decision.agent == kAgentB);
  CHECK(decision.header.established);
  // The next packet finds the new owner in the cache and is not marked.
  CHECK(!RouteCallerPacket(table, later).header.established);
}

TEST(Routing, NewFlowOfADepartedOwnerIsNotMarkedEstablished) {
  RouteCallerPacket(
      MakeRoutingTable(ServiceId{5}, {MakeCandidate(1, kAgentA)}));
  auto table = MakeRoutingTable(ServiceId{5}, {MakeCandidate(2, kAgentB)});
  const auto later = kNow + std::chrono::seconds{3};
  table.departed_agents.emplace(kAgentA, later);
  CHECK(!RouteCallerPacket(table, later).header.established);
}

TEST(Routing, FlowOfARestartedOwnerIsMarkedEstablished) {
  RouteCallerPacket(
      MakeRoutingTable(ServiceId{5}, {MakeCandidate(1, kAgentA)}));
  auto restarted = MakeCandidate(1, kAgentA);
  restarted.joined_at = kNow + std::chrono::seconds{20};
  const auto later = kNow + std::chrono::seconds{30};
  context.last_contact = later;
  const auto decision =
      RouteCallerPacket(MakeRoutingTable(ServiceId{5}, {restarted}), later);
  CHECK(decision.header.established);
}

TEST(Routing, IsolatedBalancerOpensNoFlowsAndKeepsCachedFlows) {
  const auto table =
      MakeRoutingTable(ServiceId{5}, {MakeCandidate(1, kAgentA)});
  RouteCallerPacket(table);
  const auto later = kNow + std::chrono::seconds{60};
  CHECK(RouteCallerPacket(table, later).verdict == RouteVerdict::kForward);
  bytes = BuildUdpPacket({.address = 1, .port = 2}, kAddress, {});
  CHECK(RouteCallerPacket(table, later).verdict == RouteVerdict::kDrop);
  LONGS_EQUAL(1, ReadCounter(counters, Counter::kDropIsolated));
}

TEST(Routing, PacketToAnUnknownServiceIsResetAndCounted) {
  const auto table = MakeRoutingTable(ServiceId{5}, {});
  bytes = BuildUdpPacket(kCaller, {.address = 3, .port = 4}, {});
  CHECK(RouteCallerPacket(table).verdict == RouteVerdict::kReset);
  LONGS_EQUAL(1, ReadCounter(counters, Counter::kDropUnknownService));
}

TEST(Routing, MalformedPacketsAndFragmentsAreCounted) {
  const auto table =
      MakeRoutingTable(ServiceId{5}, {MakeCandidate(1, kAgentA)});
  bytes[6] = 0x20;
  CHECK(RouteCallerPacket(table).verdict == RouteVerdict::kFragmentationNeeded);
  bytes.resize(5);
  CHECK(RouteCallerPacket(table).verdict == RouteVerdict::kDrop);
  LONGS_EQUAL(1, ReadCounter(counters, Counter::kDropFragment));
  LONGS_EQUAL(1, ReadCounter(counters, Counter::kDropMalformed));
}

TEST(Routing, HintReplacesTheCachedOwner) {
  const auto table = MakeRoutingTable(
      ServiceId{5}, {MakeCandidate(1, kAgentA), MakeCandidate(2, kAgentB)});
  const auto first = RouteCallerPacket(table).agent;
  const auto other = first == kAgentA ? kAgentB : kAgentA;
  const FlowKey key{
      .service = ServiceId{5}, .caller = kCaller, .address = kAddress};
  OnFlowHintReceived(cache, key, other, kNow, counters);
  CHECK(RouteCallerPacket(table).agent == other);
}
