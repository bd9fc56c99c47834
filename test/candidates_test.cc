#include "hawthornbank/candidates.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

namespace {

auto MakeTargets(std::uint64_t count) -> std::vector<Candidate> {
  std::vector<Candidate> targets;
  for (std::uint64_t n = 1; n <= count; ++n) {
    targets.push_back(Candidate{
        .id = TargetId{n * 0x9E3779B97F4A7C15ULL},
        .agent = {.address = 1, .port = static_cast<std::uint16_t>(n)}});
  }
  return targets;
}

}  // namespace

TEST_GROUP(Candidates){};

TEST(Candidates, JoinMovesFlowsOnlyToTheNewTarget) {
  const auto before = MakeTargets(7);
  const auto after = MakeTargets(8);
  for (std::uint64_t flow = 0; flow < 5000; ++flow) {
    const auto hash = flow * 0xD1B54A32D192ED03ULL;
    const auto* const old = FindTopCandidate(before, hash);
    const auto* const now = FindTopCandidate(after, hash);
    CHECK(now->agent == old->agent || now->agent == after.back().agent);
    // The older home ranks first or second, so a lookup finds its flows.
    const auto ranked = RankCandidates(after, hash, 2);
    CHECK(ranked[0] == old->agent || ranked[1] == old->agent);
  }
}

TEST(Candidates, WeightScalesATargetsShareOfFlows) {
  auto targets = MakeTargets(4);
  targets[0].weight_percent = 50;
  targets[1].weight_percent = 0;
  std::map<std::uint16_t, int> shares;
  constexpr int kFlows = 20000;
  for (std::uint64_t flow = 0; flow < kFlows; ++flow) {
    ++shares[FindTopCandidate(targets, flow * 0xD1B54A32D192ED03ULL)
                 ->agent.port];
  }
  LONGS_EQUAL(0, shares[2]);
  DOUBLES_EQUAL(0.2, shares[1] / double{kFlows}, 0.02);
  DOUBLES_EQUAL(0.4, shares[3] / double{kFlows}, 0.02);
}

TEST(Candidates, TargetsThatJoinedAfterTheLimitAreLeftOut) {
  auto targets = MakeTargets(2);
  targets[0].joined_at = TimePoint{std::chrono::seconds{10}};
  for (std::uint64_t flow = 0; flow < 100; ++flow) {
    const auto* const home =
        FindTopCandidate(targets, flow * 0xD1B54A32D192ED03ULL,
                         TimePoint{std::chrono::seconds{9}});
    LONGS_EQUAL(2, home->agent.port);
  }
  CHECK(FindTopCandidate({}, 1) == nullptr);
}
