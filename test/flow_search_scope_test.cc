#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>
#include <vector>

#include "hawthornbank/gossip_plan.h"
#include "hawthornbank/route_follower.h"
#include "hawthornbank/steering.h"
#include "protocol/route_codec.h"
#include "steering_fixture.h"

// Searches for flows whose route has been changed since they were opened.

using namespace hawthornbank;
using namespace hawthornbank::test;
using namespace std::chrono_literals;

namespace {

using Kind = SteeringAction::Kind;

constexpr std::uint32_t kServices = 4;
constexpr std::uint32_t kAgentsPerService = 3;
const TimePoint kStart{1000s};
const TimePoint kNow = kStart + 10s;

auto MakeCallerPacket(std::uint16_t port) -> FlowPacket {
  return FlowPacket{.source = {.address = 0x64400007, .port = port},
                    .destination = kAddress,
                    .has_acknowledgement = true,
                    .acknowledgement = 900,
                    .data_bytes = 1200};
}

// Control endpoint of agent `n` (from 0 on) of a service (from 1 on).
auto MakeAgentOfService(std::uint32_t service, std::uint32_t n) -> Endpoint {
  return MakeAgentEndpoint(service * 16 + n);
}

auto MakeAgentRecord(std::uint32_t service, std::uint32_t n) -> HostRecord {
  return HostRecord{
      .control = MakeAgentOfService(service, n),
      .role = HostRole::kAgent,
      .service = service,
      .zone = "a",
      .incarnation = 1,
      .revision = 1,
      .target = {.state = TargetState::kReady, .started_at_ms = 5, .slots = 3}};
}

auto MakeRoutes(std::uint64_t version, std::vector<ServiceShare> shares)
    -> RouteSet {
  RouteSet routes{.version = version};
  routes.routes[kAddress] = Route{.shares = std::move(shares)};
  return routes;
}

// How a search for a flow ended.
struct SearchResult {
  bool is_found = false;
  bool is_reset = false;
  int queries = 0;
};

// A balancer that knows all agents of all services.
struct SearchingBalancer {
  Steering steering{.started = kStart};

  SearchingBalancer() {
    steering.fleet.self = {
        .control = {.address = 1, .port = 7000}, .zone = "a", .incarnation = 1};
    steering.fleet.knows_agents_since = kStart - kFlowLifetime;
  }

  // Makes this a balancer that has just started: it knows the agents since
  // then.
  auto Start(TimePoint now) -> void {
    steering.started = steering.fleet.knows_agents_since = now;
  }

  auto LearnAgents(TimePoint now) -> void {
    steering.fleet.hosts.clear();
    for (std::uint32_t service = 1; service <= kServices; ++service) {
      for (std::uint32_t n = 0; n < kAgentsPerService; ++n) {
        MergeHostRecord(steering.fleet, MakeAgentRecord(service, n),
                        Duration::zero(), now);
      }
    }
  }

  // The targets of the first service have exited, but for the first `kept`.
  auto LearnExitsOfTargets(std::uint32_t kept, TimePoint now) -> void {
    for (std::uint32_t n = kept; n < kAgentsPerService; ++n) {
      HostRecord record = MakeAgentRecord(1, n);
      record.revision = 2;
      record.target = {.state = TargetState::kGone};
      MergeHostRecord(steering.fleet, record, Duration::zero(), now);
    }
  }

  auto PutInForce(RouteSet routes, TimePoint now) -> void {
    ReplaceRoutesIfNewer(steering.routes, std::move(routes), kFlowLifetime,
                         now);
    steering.routes_confirmed_at = now;
  }

  // Makes the history complete, as after a flow's lifetime without changes.
  auto CompleteHistory(TimePoint now) -> void {
    steering.routes.history.complete_since = now - 1h;
    steering.routes_confirmed_at = now;
  }

  // Searches for a flow that the target of `holder` holds. Each agent replies.
  auto SearchFlow(std::uint16_t port, Endpoint holder, TimePoint now)
      -> SearchResult {
    SearchResult result;
    const FlowPacket packet = MakeCallerPacket(port);
    const std::vector<std::uint8_t> bytes(1232);
    std::vector<SteeringAction> out;
    steering.flows.clear();
    OnCallerPacket(steering, packet, bytes, now, out);
    while (!out.empty() && out[0].kind == Kind::kQuery) {
      const auto receivers = out[0].receivers;
      result.queries += static_cast<int>(receivers.size());
      for (const auto it : receivers) {
        out.clear();
        OnFlowReply(
            steering,
            FlowReply{.flow = ExtractCallerFlowKey(packet),
                      .agent = it,
                      .ownership = it == holder ? FlowOwnership::kHeld
                                                : FlowOwnership::kNotHeld},
            now, out);
        if (it == holder) {
          break;
        }
      }
    }
    for (const auto& it : out) {
      result.is_found |= it.kind == Kind::kRelay && it.to == holder;
      result.is_reset |= it.kind == Kind::kReset;
    }
    return result;
  }

  [[nodiscard]] auto CountReason(SteeringReason reason) const -> std::uint64_t {
    return steering.counts[static_cast<std::size_t>(reason)];
  }
};

}  // namespace

TEST_GROUP(FlowSearchScope) {
  SearchingBalancer balancer;

  void setup() override {
    balancer.LearnAgents(kNow);
    balancer.PutInForce(MakeRoutes(3, {{.service = 1}, {.service = 2}}), kNow);
    balancer.CompleteHistory(kNow);
  }

  auto MoveRoute(std::uint64_t version, std::vector<ServiceShare> shares)
      ->void {
    balancer.PutInForce(MakeRoutes(version, std::move(shares)), kNow);
    balancer.CompleteHistory(kNow);
  }
};

TEST(FlowSearchScope, FlowIsFoundAtAServiceThatItsRouteNoLongerLeadsTo) {
  MoveRoute(4, {{.service = 1}});
  CHECK(balancer.SearchFlow(1, MakeAgentOfService(2, 1), kNow).is_found);
  LONGS_EQUAL(1, balancer.CountReason(SteeringReason::kFoundAtFormerService));
}

TEST(FlowSearchScope, FlowIsFoundAfterItsRouteHasMovedThrice) {
  MoveRoute(4, {{.service = 3}});
  MoveRoute(5, {{.service = 4}});
  MoveRoute(6, {{.service = 3}});
  CHECK(balancer.SearchFlow(1, MakeAgentOfService(1, 0), kNow).is_found);
  CHECK(balancer.SearchFlow(2, MakeAgentOfService(4, 0), kNow).is_found);
}

TEST(FlowSearchScope, FlowIsFoundAtAServiceWhoseWeightIsZero) {
  MoveRoute(4, {{.service = 1}, {.service = 2, .weight = 0}});
  MoveRoute(5, {{.service = 1}});
  CHECK(balancer.SearchFlow(1, MakeAgentOfService(2, 2), kNow).is_found);
}

TEST(FlowSearchScope, FlowIsFoundAfterItsRouteWasRemovedAndAddedAgain) {
  balancer.PutInForce(RouteSet{.version = 4}, kNow);
  MoveRoute(5, {{.service = 3}});
  CHECK(balancer.SearchFlow(1, MakeAgentOfService(2, 2), kNow).is_found);
}

TEST(FlowSearchScope, FormerServicesAreNotQueriedWhenTheirFlowsHaveEnded) {
  MoveRoute(4, {{.service = 1}});
  const TimePoint later = kNow + kFlowLifetime + kRoutesPropagationTime;
  balancer.LearnAgents(later);
  balancer.steering.routes_confirmed_at = later;
  const auto result = balancer.SearchFlow(1, Endpoint{}, later);
  CHECK(result.is_reset);
  LONGS_EQUAL(kAgentsPerService, result.queries);
}

TEST(FlowSearchScope, BalancerThatStartedAfterTheChangeKnowsItFromAPeer) {
  MoveRoute(4, {{.service = 1}});
  SearchingBalancer started;
  started.LearnAgents(kNow);
  const auto [encoded, history] = DecodeRoutesWithHistory(
      EncodeRoutesWithHistory(EncodeRoutes(balancer.steering.routes),
                              balancer.steering.routes.history, kNow),
      kNow);
  RouteSet routes = DecodeRoutes(encoded);
  routes.history = history;
  started.PutInForce(routes, kNow);
  CHECK(started.SearchFlow(1, MakeAgentOfService(2, 1), kNow).is_found);
  LONGS_EQUAL(1, started.CountReason(SteeringReason::kFoundAtFormerService));
  LONGS_EQUAL(2 * kAgentsPerService,
              started.SearchFlow(2, Endpoint{}, kNow).queries);
}

TEST(FlowSearchScope, BalancerThatReadOnlyTheStoreQueriesAllServices) {
  SearchingBalancer started;
  started.LearnAgents(kNow);
  started.PutInForce(MakeRoutes(4, {{.service = 1}}), kNow);
  CHECK(started.SearchFlow(1, MakeAgentOfService(4, 1), kNow).is_found);
  LONGS_EQUAL(1, started.CountReason(SteeringReason::kFoundByWideSearch));
  const auto lost = started.SearchFlow(2, Endpoint{}, kNow);
  CHECK(lost.is_reset);
  LONGS_EQUAL(kServices * kAgentsPerService, lost.queries);
}

TEST(FlowSearchScope, CompleteHistoryNeverWidensTheSearch) {
  const auto lost = balancer.SearchFlow(1, Endpoint{}, kNow);
  CHECK(lost.is_reset);
  LONGS_EQUAL(2 * kAgentsPerService, lost.queries);
}

TEST(FlowSearchScope, SearchIsWidenedWhileNewerRoutesMayBeInForceElsewhere) {
  balancer.steering.routes_confirmed_at = kNow - kMaxRoutesAge - 1ms;
  CHECK(balancer.SearchFlow(1, MakeAgentOfService(4, 1), kNow).is_found);
}

// Load pattern: a fleet of 470 balancers, which are told of the routes at
// intervals, and in which a wide search can't query all agents.
TEST(FlowSearchScope, LargeFleetDoesNotWidenSearchesBetweenTwoMessages) {
  RouteFollower follower{.news_interval = ComputeRoutesNewsInterval(
                             {.balancers = 470, .zone_balancers = 79})};
  CHECK(follower.news_interval > follower.options.first_poll_age);
  balancer.steering.max_routes_age = ComputeMaxRoutesAge(follower);
  balancer.steering.routes_confirmed_at =
      kNow - follower.news_interval - follower.options.first_poll_age;
  const auto lost = balancer.SearchFlow(1, Endpoint{}, kNow);
  CHECK(lost.is_reset);
  LONGS_EQUAL(2 * kAgentsPerService, lost.queries);
}

// Load pattern: all hosts lose power, and the callers of all flows wait for a
// reset at balancers whose history isn't complete.
TEST(FlowSearchScope, WideSearchOmitsServicesWhoseTargetsHaveJustStarted) {
  SearchingBalancer started;
  started.Start(kNow - 500ms);
  for (std::uint32_t service = 1; service <= kServices; ++service) {
    for (std::uint32_t n = 0; n < kAgentsPerService; ++n) {
      HostRecord record = MakeAgentRecord(service, n);
      record.target.cold = true;
      if (service == 4 && n > 0) {
        record.target = {};  // No heartbeat has arrived yet.
      }
      MergeHostRecord(started.steering.fleet, record, Duration::zero(), kNow);
    }
  }
  started.PutInForce(MakeRoutes(4, {{.service = 1}}), kNow);
  const auto lost = started.SearchFlow(1, Endpoint{}, kNow);
  CHECK(lost.is_reset);
  LONGS_EQUAL(kAgentsPerService, lost.queries);
}

// All targets of one service of a split route were replaced while this balancer
// restarted; the other service's targets run on.
TEST(FlowSearchScope, ResetWaitsForSettlingUnlessAllServicesHaveJustStarted) {
  balancer.Start(kNow - 500ms);
  for (std::uint32_t n = 0; n < kAgentsPerService; ++n) {
    HostRecord record = MakeAgentRecord(2, n);
    record.target.cold = true;
    record.target.started_at_ms = 6;
    record.revision = 2;
    MergeHostRecord(balancer.steering.fleet, record, Duration::zero(), kNow);
  }
  for (std::uint16_t port = 1; port < 20; ++port) {
    CHECK_FALSE(balancer.SearchFlow(port, Endpoint{}, kNow).is_reset);
  }
}

namespace {

// Merges cold records of a service's targets; agent 0 has restarted and doesn't
// know its target, as when `earlier_target` ran.
auto ReplaceTargetsAndRestartAgent(SearchingBalancer& balancer,
                                   std::uint32_t service,
                                   const TargetStatus& earlier_target) -> void {
  for (std::uint32_t n = 0; n < kAgentsPerService; ++n) {
    HostRecord record = MakeAgentRecord(service, n);
    record.revision = 2;
    record.target.started_at_ms = 6;
    record.target.cold = true;
    if (n == 0) {
      record.target = earlier_target;
    }
    MergeHostRecord(balancer.steering.fleet, record, 0s, kNow);
  }
}

}  // namespace

// All targets were replaced, and then this balancer and an agent restarted.
TEST(FlowSearchScope, RestartedAgentIsQueriedByABalancerThatRestartedAlone) {
  for (const bool is_joint_start : {true, false}) {
    SearchingBalancer started;
    started.PutInForce(MakeRoutes(3, {{.service = 1}}), kNow);
    started.CompleteHistory(kNow);
    ReplaceTargetsAndRestartAgent(started, 1, {});
    RecordUptime(started.steering.fleet, is_joint_start ? 11s : 15s, kNow);
    const auto result = started.SearchFlow(1, MakeAgentOfService(1, 0), kNow);
    CHECK(result.is_reset == is_joint_start);
    CHECK(result.is_found != is_joint_start);
  }
}

// All targets were replaced, and then all balancers and agents restarted.
TEST(FlowSearchScope, UnsureAgentShowsThatTargetsHaveRunOn) {
  SearchingBalancer started;
  started.PutInForce(MakeRoutes(3, {{.service = 1}}), kNow);
  started.CompleteHistory(kNow);
  ReplaceTargetsAndRestartAgent(started, 1, {});
  const FlowPacket packet = MakeCallerPacket(1);
  std::vector<SteeringAction> out;
  OnCallerPacket(started.steering, packet, std::vector<std::uint8_t>(1232),
                 kNow, out);
  for (std::uint32_t n = 1; n < kAgentsPerService; ++n) {
    out.clear();
    OnFlowReply(started.steering,
                FlowReply{.flow = ExtractCallerFlowKey(packet),
                          .agent = MakeAgentOfService(1, n),
                          .ownership = FlowOwnership::kUnsure},
                kNow, out);
  }
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].receivers == std::vector{MakeAgentOfService(1, 0)});
}

// The announcement of the agent's next target is lost.
TEST(FlowSearchScope, AgentThatHasAnnouncedTheExitOfItsTargetIsQueried) {
  const Endpoint agent = MakeAgentOfService(1, 0);
  HostRecord record = MakeAgentRecord(1, 0);
  record.revision = 2;
  record.target = {.state = TargetState::kGone};
  MergeHostRecord(balancer.steering.fleet, record, Duration::zero(), kNow);
  CHECK(balancer.SearchFlow(1, agent, kNow).is_found);
}

TEST(FlowSearchScope, SilentAgentsOfExitedTargetsDoNotDelayAReset) {
  balancer.LearnExitsOfTargets(1, kNow);
  MoveRoute(4, {{.service = 1}});
  balancer.steering.routes.history.former.clear();
  const FlowPacket packet = MakeCallerPacket(1);
  std::vector<SteeringAction> out;
  OnCallerPacket(balancer.steering, packet, std::vector<std::uint8_t>(1232),
                 kNow, out);
  out.clear();
  OnFlowReply(balancer.steering,
              FlowReply{.flow = ExtractCallerFlowKey(packet),
                        .agent = MakeAgentOfService(1, 0),
                        .ownership = FlowOwnership::kNotHeld},
              kNow, out);
  OnSteeringTick(balancer.steering, kNow + kHostReplyTimeout, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kReset);
}

// Nobody would return a packet that is offered to a target that has exited.
TEST(FlowSearchScope, UnsureAgentOfAnExitedTargetDoesNotDelayAReset) {
  balancer.LearnExitsOfTargets(0, kNow);
  MoveRoute(4, {{.service = 1}});
  balancer.steering.routes.history.former.clear();
  const FlowPacket packet = MakeCallerPacket(1);
  std::vector<SteeringAction> out;
  OnCallerPacket(balancer.steering, packet, std::vector<std::uint8_t>(1232),
                 kNow, out);
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kQuery);
  for (std::uint32_t n = 0; n < kAgentsPerService; ++n) {
    out.clear();
    OnFlowReply(balancer.steering,
                FlowReply{.flow = ExtractCallerFlowKey(packet),
                          .agent = MakeAgentOfService(1, n),
                          .ownership = FlowOwnership::kUnsure},
                kNow, out);
  }
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].kind == Kind::kReset);
}

// All hosts lost power; seconds later an agent restarts beside its new target.
TEST(FlowSearchScope, AgentThatRestartsAfterAPowerLossIsQueried) {
  SearchingBalancer started;
  started.PutInForce(MakeRoutes(3, {{.service = 1}}), kNow);
  started.CompleteHistory(kNow);
  ReplaceTargetsAndRestartAgent(
      started, 1,
      {.state = TargetState::kReady, .started_at_ms = 6, .cold = true});
  HostRecord restarted = MakeAgentRecord(1, 0);
  restarted.incarnation = 2;
  restarted.target = {};
  MergeHostRecord(started.steering.fleet, restarted, 0s, kNow);
  CHECK(started.SearchFlow(1, MakeAgentOfService(1, 0), kNow).is_found);
  const auto lost = started.SearchFlow(2, Endpoint{}, kNow);
  CHECK(lost.is_reset);
  LONGS_EQUAL(kAgentsPerService, lost.queries);
}

// Agents that restarted don't know their targets' flows.
TEST(FlowSearchScope, PacketIsOfferedToAnUnsureAgentUnderTheAgentsService) {
  const FlowPacket packet = MakeCallerPacket(1);
  const std::vector<std::uint8_t> bytes(1232);
  std::vector<SteeringAction> out;
  OnCallerPacket(balancer.steering, packet, bytes, kNow, out);
  while (!out.empty() && out[0].kind == Kind::kQuery) {
    const auto receivers = out[0].receivers;
    for (const auto it : receivers) {
      out.clear();
      OnFlowReply(balancer.steering,
                  FlowReply{.flow = ExtractCallerFlowKey(packet),
                            .agent = it,
                            .ownership = FlowOwnership::kUnsure},
                  kNow, out);
    }
  }
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].reason == SteeringReason::kOfferedToUnsureAgent);
  LONGS_EQUAL(balancer.steering.fleet.hosts.at(out[0].to).record.service,
              out[0].header.service);
}

namespace {

// One version of the routes in the store.
struct StoredVersion {
  RouteSet routes;
  TimePoint stored_at;
};

struct OpenFlow {
  TimePoint opened_at;
  Endpoint holder;
  std::uint16_t port;
};

// A store whose routes change at random, two balancers that see some of the
// versions, and flows that other balancers open by recent versions.
struct RandomChanges {
  std::mt19937 random;
  std::uint64_t revision = 5;
  std::vector<StoredVersion> versions;
  std::vector<OpenFlow> flows;
  SearchingBalancer balancers[2];
  TimePoint now = kStart;
  int found = 0;

  explicit RandomChanges(std::uint32_t seed) : random(seed) {
    StoreNextVersion();
  }

  auto Draw(std::uint32_t limit) -> std::uint32_t {
    return std::uniform_int_distribution<std::uint32_t>(0, limit - 1)(random);
  }

  auto StoreNextVersion() -> void {
    std::vector<ServiceShare> shares;
    for (std::uint32_t service = 1; service <= kServices; ++service) {
      if (Draw(3) == 0) {
        shares.push_back({.service = service, .weight = Draw(3)});
      }
    }
    shares.push_back({.service = 1 + Draw(kServices), .weight = 1});
    RouteSet routes = MakeRoutes(
        versions.empty() ? 1 : versions.back().routes.version + 1 + Draw(4),
        std::move(shares));
    if (Draw(12) == 0) {
      routes.routes.clear();
    }
    routes.changed_at = {.era = 1, .revision = ++revision};
    versions.push_back({.routes = std::move(routes), .stored_at = now});
  }

  // Opens a flow by the newest version, or by one replaced a short while ago.
  auto OpenFlowByRecentVersion() -> void {
    std::size_t n = versions.size() - 1;
    while (n > 0 && now - versions[n].stored_at < kRoutesPropagationTime &&
           Draw(2) == 0) {
      --n;
    }
    const auto port = static_cast<std::uint16_t>(1 + flows.size());
    const Route* const route = FindRoute(versions[n].routes, kAddress);
    if (route != nullptr) {
      const auto service =
          ChooseService(*route, std::uint64_t{random()} << 16U);
      flows.push_back(
          {.opened_at = now,
           .holder = MakeAgentOfService(service, Draw(kAgentsPerService)),
           .port = port});
    }
  }

  auto ReadStore(SearchingBalancer& balancer) -> void {
    RouteSet routes = versions.back().routes;
    routes.read_at = {.era = 1, .revision = revision};
    balancer.PutInForce(std::move(routes), now);
  }

  auto FetchFromPeer(SearchingBalancer& balancer, const Steering& peer)
      -> void {
    if (peer.routes.version <= balancer.steering.routes.version) {
      return;
    }
    const auto [encoded, history] = DecodeRoutesWithHistory(
        EncodeRoutesWithHistory(EncodeRoutes(peer.routes), peer.routes.history,
                                now),
        now);
    RouteSet routes = DecodeRoutes(encoded);
    routes.history = history;
    ReplaceRoutesIfNewer(balancer.steering.routes, std::move(routes),
                         kFlowLifetime, now);
    balancer.steering.routes_confirmed_at = peer.routes_confirmed_at;
  }

  // Searches for some flow that is open and not younger than the routes'
  // confirmations.
  auto SearchSomeFlow(SearchingBalancer& balancer) -> void {
    if (balancer.steering.routes.version == 0 || flows.empty() ||
        now - balancer.steering.started < 4s) {
      return;
    }
    const auto flow = flows[Draw(static_cast<std::uint32_t>(flows.size()))];
    if (now - flow.opened_at < kMaxRoutesAge ||
        now - flow.opened_at >= kFlowLifetime) {
      return;
    }
    balancer.LearnAgents(now);
    const auto result = balancer.SearchFlow(flow.port, flow.holder, now);
    CHECK_FALSE(result.is_reset);
    const bool has_route =
        FindRoute(balancer.steering.routes, kAddress) != nullptr;
    CHECK(result.is_found == has_route);
    found += result.is_found ? 1 : 0;
  }

  auto RunStep() -> void {
    now += 500ms;
    if (Draw(20) == 0) {
      StoreNextVersion();
    }
    revision += Draw(10) == 0 ? 1 : 0;
    OpenFlowByRecentVersion();
    // Both balancers miss some versions, for a long time now and then.
    for (auto& it : balancers) {
      if (Draw(300) == 0) {
        it = SearchingBalancer{};
        it.Start(now);
      }
      const bool is_cut_off = (now - kStart) % 100s > 70s;
      if (!is_cut_off && Draw(3) != 0) {
        ReadStore(it);
      }
      if (Draw(4) == 0) {
        FetchFromPeer(it, balancers[Draw(2)].steering);
      }
    }
    std::erase_if(flows, [this](const OpenFlow& it) {
      return now - it.opened_at >= kFlowLifetime;
    });
    for (auto& it : balancers) {
      SearchSomeFlow(it);
    }
  }
};

}  // namespace

// Whatever versions a balancer saw or missed, it resets no flow whose target
// holds it.
TEST(FlowSearchScope, RandomChangesOfRoutesResetNoOpenFlow) {
  int found = 0;
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    RandomChanges changes(seed);
    for (int n = 0; n < 800; ++n) {
      changes.RunStep();
    }
    found += changes.found;
  }
  CHECK(found > 10'000);
}
