#include "hawthornbank/routing_table.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

namespace {

const TimePoint kStart{std::chrono::seconds{1000}};
const ServiceId kService{1};
const Endpoint kAddress{.address = 0x0A000001, .port = 5683};

auto ConvertIncarnationToStartTime(Incarnation incarnation) -> TimePoint {
  return TimePoint{std::chrono::milliseconds{
      static_cast<std::int64_t>(ToInteger(incarnation))}};
}

auto MakeTarget(std::uint16_t port) -> TargetRecord {
  const std::string name = "fitquote-" + std::to_string(port);
  return TargetRecord{.id = TargetId{HashName(name)},
                      .name = name,
                      .service = kService,
                      .agent = {.address = 1, .port = port},
                      .zone = "civic-hall",
                      .incarnation = Incarnation{5},
                      .sequence = 1};
}

}  // namespace

TEST_GROUP(RoutingTable) {
  const Configuration configuration{
      .generation = Generation{4},
      .services = {
          Service{.id = kService, .name = "fitquote", .address = kAddress}}};
  Membership membership =
      MakeMembership({.self = {.id = HostId{1},
                               .name = "entry",
                               .peer = {.address = 9, .port = 9},
                               .zone = "civic-hall",
                               .region = "main",
                               .incarnation = Incarnation{1}}},
                     kStart);
  std::vector<MembershipAction> actions;

  auto AnnounceTarget(TargetRecord target)->void {
    OnAnnouncement(membership, target.agent,
                   Announcement{.target = std::move(target)}, kStart, actions);
  }

  auto BuildTable(const RoutingTable& previous = {}, TimePoint now = kStart)
      ->RoutingTable {
    return BuildRoutingTable(configuration, membership, previous,
                             ConvertIncarnationToStartTime, now);
  }

  static auto GetCandidates(const RoutingTable& table)
      ->const std::vector<Candidate>& {
    return table.services.at({.address = kAddress}).candidates;
  }
};

TEST(RoutingTable, ServingTargetsAreListed) {
  AnnounceTarget(MakeTarget(1));
  AnnounceTarget(MakeTarget(2));
  const auto table = BuildTable();
  LONGS_EQUAL(4, ToInteger(table.generation));
  LONGS_EQUAL(2, GetCandidates(table).size());
  LONGS_EQUAL(2, table.live_agents.size());
  CHECK(GetCandidates(table)[0].joined_at ==
        ConvertIncarnationToStartTime(Incarnation{5}));
}

TEST(RoutingTable, DrainingTargetStaysLiveAndStaysAHome) {
  AnnounceTarget(MakeTarget(1));
  auto draining = MakeTarget(2);
  draining.state = TargetState::kDraining;
  AnnounceTarget(draining);
  const auto table = BuildTable();
  CHECK(table.live_agents.contains(draining.agent));
  for (const auto& it : GetCandidates(table)) {
    LONGS_EQUAL(100, it.weight_percent);
  }
}

TEST(RoutingTable, TargetThatLeftIsListedAsDepartedForALimitedTime) {
  AnnounceTarget(MakeTarget(1));
  AnnounceTarget(MakeTarget(2));
  const auto before = BuildTable();
  auto left = MakeTarget(2);
  left.state = TargetState::kLeft;
  left.sequence = 2;
  AnnounceTarget(left);
  const auto later = kStart + std::chrono::seconds{1};
  const auto after = BuildTable(before, later);
  CHECK(!after.live_agents.contains(left.agent));
  CHECK(after.departed_agents.at(left.agent) == later);
  const auto much_later = BuildTable(after, later + std::chrono::minutes{20});
  CHECK(much_later.departed_agents.empty());
}

TEST(RoutingTable, SuspectedTargetIsListedWithWeightZero) {
  const ServiceView view{
      .service = kService,
      .targets = {{.id = TargetId{1}, .agent = {.address = 1, .port = 1}},
                  {.id = TargetId{2},
                   .agent = {.address = 1, .port = 2},
                   .state = TargetState::kSuspect},
                  {.id = TargetId{3},
                   .agent = {.address = 1, .port = 3},
                   .state = TargetState::kDead}}};
  const auto candidates =
      ListPresentCandidates(view, ConvertIncarnationToStartTime);
  LONGS_EQUAL(2, candidates.size());
  LONGS_EQUAL(100, candidates[0].weight_percent);
  LONGS_EQUAL(0, candidates[1].weight_percent);
}
