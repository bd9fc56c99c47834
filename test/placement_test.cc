#include "hawthornbank/placement.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>

#include "hawthornbank/random.h"

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kService = 77;
constexpr std::uint16_t kSlots = 2;
const TimePoint kNow{std::chrono::seconds{1000}};

auto MakeAgentEndpoint(std::uint32_t zone, std::uint32_t n) -> Endpoint {
  return Endpoint{.address = 0x0A000000 + (zone << 16U) + n, .port = 7000};
}

auto GetZoneName(std::uint32_t zone) -> std::string {
  return std::string(1, static_cast<char>('a' + zone));
}

}  // namespace

TEST_GROUP(Placement) {
  Fleet fleet;
  PlacementOptions options;

  auto AddAgents(std::uint32_t zones, std::uint32_t agents_per_zone)->void {
    for (std::uint32_t zone = 0; zone < zones; ++zone) {
      for (std::uint32_t n = 0; n < agents_per_zone; ++n) {
        MergeHostRecord(fleet,
                        HostRecord{.control = MakeAgentEndpoint(zone, n),
                                   .role = HostRole::kAgent,
                                   .service = kService,
                                   .zone = GetZoneName(zone),
                                   .incarnation = 1,
                                   .target = {.state = TargetState::kReady,
                                              .started_at_ms = 5,
                                              .slots = kSlots}},
                        0s, kNow);
      }
    }
  }

  auto ReportLoad(std::uint32_t zone, std::uint32_t n, std::uint16_t running,
                  std::uint16_t average, TimePoint now)
      ->void {
    RecordTargetLoad(fleet.hosts.at(MakeAgentEndpoint(zone, n)),
                     TargetLoad{.running = running,
                                .mean_in_flight_x16 =
                                    static_cast<std::uint16_t>(average * 16)},
                     now);
  }

  auto ChooseTarget(std::uint64_t flow_hash, const std::string& zone,
                    TimePoint now)
      ->KnownHost* {
    const auto ranked = RankAgentsForFlow(fleet, kService, flow_hash, {});
    return ChooseTargetForFlow(ranked, zone, options, now);
  }
};

TEST(Placement, CandidatesOfTheOwnZoneComeFirst) {
  AddAgents(5, 22);
  auto ranked = RankAgentsForFlow(fleet, kService, 99, {});
  const auto by_rank = ranked;
  const std::size_t count = MoveCandidatesToFront(ranked, "c", options);
  LONGS_EQUAL(options.max_candidates + options.min_other_zone_candidates,
              count);
  LONGS_EQUAL(by_rank.size(), ranked.size());
  const auto is_own = [](const RankedAgent& it) {
    return it.host->record.zone == "c";
  };
  for (std::size_t n = 0; n < options.max_candidates; ++n) {
    CHECK(is_own(ranked[n]));
  }
  for (std::size_t n = options.max_candidates; n < count; ++n) {
    CHECK_FALSE(is_own(ranked[n]));
  }
  // The other agents of the zone follow, so that a search asks them next.
  for (std::size_t n = count; n < count + 18; ++n) {
    CHECK(is_own(ranked[n]));
  }
  // The rank decides within each group.
  const auto first_own = std::find_if(by_rank.begin(), by_rank.end(), is_own);
  CHECK(ranked[0].host == first_own->host);
}

TEST(Placement, ZoneWithFewTargetsHasCandidatesInOtherZones) {
  AddAgents(3, 1);
  auto ranked = RankAgentsForFlow(fleet, kService, 99, {});
  LONGS_EQUAL(3, MoveCandidatesToFront(ranked, "b", options));
  CHECK(ranked[0].host->record.zone == "b");
  auto elsewhere = RankAgentsForFlow(fleet, kService, 99, {});
  LONGS_EQUAL(3, MoveCandidatesToFront(elsewhere, "z", options));
}

TEST(Placement, FullZoneSpillsToTargetsWithLessLoad) {
  AddAgents(2, 4);
  CHECK(ChooseTarget(1, "a", kNow)->record.zone == "a");
  for (std::uint32_t n = 0; n < 4; ++n) {
    ReportLoad(0, n, 4, 4, kNow);
  }
  CHECK(ChooseTarget(1, "a", kNow)->record.zone == "b");
}

// Load pattern: each balancer of a large fleet places few flows on each target,
// so its last report of a target is often older than the requests that the
// report counted.
TEST(Placement, OldReportOfRunningRequestsDoesNotSendFlowsToOtherZones) {
  AddAgents(2, 4);
  for (std::uint32_t n = 0; n < 4; ++n) {
    ReportLoad(0, n, kSlots, 0, kNow);
  }
  CHECK(ChooseTarget(1, "a", kNow)->record.zone == "b");
  CHECK(ChooseTarget(1, "a", kNow + 1s)->record.zone == "a");
}

// Load pattern: a quiet day of a large fleet. Callers arrive evenly in all
// zones; a tenth of the slots is busy. Each zone's balancers see only the loads
// that are reported to them with each opening.
TEST(Placement, QuietFleetPlacesNearlyAllFlowsInTheCallersZone) {
  constexpr std::uint32_t kZones = 5;
  constexpr std::uint32_t kAgentsPerZone = 22;
  constexpr int kFlows = 40000;
  AddAgents(kZones, kAgentsPerZone);
  struct End {
    TimePoint at;
    Endpoint agent;
    auto operator>(const End& other) const -> bool { return at > other.at; }
  };
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::unordered_map<Endpoint, std::uint16_t> running;
  std::unordered_map<Endpoint, int> flows;
  Random random{7};
  TimePoint now = kNow;
  int in_other_zone = 0;
  int queued = 0;
  for (int n = 0; n < kFlows; ++n) {
    now += 850us;
    for (auto& [control, host] : fleet.hosts) {
      host.last_contact = now;
    }
    while (!ends.empty() && ends.top().at <= now) {
      --running[ends.top().agent];
      ends.pop();
    }
    const std::string zone = GetZoneName(random() % kZones);
    KnownHost* const host = ChooseTarget(random(), zone, now);
    const Endpoint agent = host->record.control;
    ++running[agent];
    ++flows[agent];
    in_other_zone += host->record.zone == zone ? 0 : 1;
    queued += running[agent] > kSlots ? 1 : 0;
    RecordTargetLoad(*host, TargetLoad{.running = running[agent]}, now);
    const double work = -24.0 * std::log(1.0 - DrawRandomFraction(random));
    ends.push(End{
        .at = now + std::chrono::microseconds{static_cast<int>(work * 1000)},
        .agent = agent});
  }
  CHECK(in_other_zone <= kFlows / 50);
  CHECK(queued <= kFlows / 100);
  int most = 0;
  for (const auto& [agent, count] : flows) {
    most = std::max(most, count);
  }
  CHECK(most * static_cast<int>(kZones * kAgentsPerZone) <= kFlows * 13 / 10);
}

// Load pattern: callers move to one zone, which then gets more work than its
// targets can do. All targets together have more slots than the work needs.
TEST(Placement, CallersOfOneZoneUseTheTargetsOfAllZones) {
  constexpr std::uint32_t kZones = 3;
  constexpr std::uint32_t kAgentsPerZone = 4;
  constexpr int kFlows = 20000;
  constexpr std::size_t kRunningFlows = 12;
  constexpr double kAverageShare = 3.0 / 1500;  // 3 ms of 1.5 s.
  AddAgents(kZones, kAgentsPerZone);
  std::unordered_map<Endpoint, std::uint16_t> running;
  std::unordered_map<Endpoint, double> average;
  std::vector<Endpoint> started;
  Random random{11};
  TimePoint now = kNow;
  int queued = 0;
  int in_other_zone = 0;
  for (int n = 0; n < kFlows; ++n) {
    now += 3ms;
    for (auto& [control, host] : fleet.hosts) {
      host.last_contact = now;
      average[control] += (running[control] - average[control]) * kAverageShare;
    }
    KnownHost* const host = ChooseTarget(random(), "a", now);
    const Endpoint agent = host->record.control;
    queued += ++running[agent] > kSlots ? 1 : 0;
    in_other_zone += host->record.zone == "a" ? 0 : 1;
    started.push_back(agent);
    RecordTargetLoad(
        *host,
        TargetLoad{.running = running[agent],
                   .mean_in_flight_x16 =
                       static_cast<std::uint16_t>(average[agent] * 16)},
        now);
    if (started.size() > kRunningFlows) {
      --running[started[started.size() - 1 - kRunningFlows]];
    }
  }
  CHECK(in_other_zone >= kFlows / 3);
  CHECK(queued <= kFlows / 20);
}
