#include "../apps/hawthornctl/watch_events.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace hawthornbank::hawthornctl;
using std::chrono::seconds;

namespace {

auto MakeBalancerStatus(std::uint64_t generation, std::uint64_t drops)
    -> ProcessStatus {
  return ProcessStatus{.role = "balancer",
                       .name = "entry-1",
                       .generation = Generation{generation},
                       .targets = {{.name = "fitquote-1", .state = "serving"}},
                       .counters = {{"drop_no_target", drops}}};
}

/// The latest of a series of snapshots, which are taken every second.
struct SnapshotSequence {
  WatchSnapshot last;
  std::chrono::steady_clock::time_point now{seconds{1}};
};

auto DescribeNextChanges(SnapshotSequence& sequence, const StatusPages& pages)
    -> std::string {
  sequence.now += seconds{1};
  auto next = MakeWatchSnapshot(pages, sequence.now);
  std::string text;
  for (const auto& it : CompleteSnapshotAndListChanges(sequence.last, next)) {
    text += FormatEventAsText(it) + "\n";
  }
  sequence.last = std::move(next);
  return text;
}

const StatusPages kNoAnswers{.fetch_errors = {"10.0.0.1:1 does not answer"}};

}  // namespace

TEST_GROUP(WatchEvents){};

TEST(WatchEvents, UnchangedStatusPrintsNothing) {
  SnapshotSequence sequence;
  STRCMP_EQUAL(
      "in force on balancers: generation 2 on 1 of 1\n"
      "target fitquote-1: serving\n",
      DescribeNextChanges(sequence, {.pages = {MakeBalancerStatus(2, 5)}})
          .c_str());
  STRCMP_EQUAL(
      "", DescribeNextChanges(sequence, {.pages = {MakeBalancerStatus(2, 5)}})
              .c_str());
}

TEST(WatchEvents, MissingAnswersAreReportedOnceAndKeepTheLastStatus) {
  SnapshotSequence sequence;
  DescribeNextChanges(sequence, {.pages = {MakeBalancerStatus(2, 5)}});
  STRCMP_EQUAL("10.0.0.1:1 does not answer\nno balancer answers\n",
               DescribeNextChanges(sequence, kNoAnswers).c_str());
  STRCMP_EQUAL("", DescribeNextChanges(sequence, kNoAnswers).c_str());
  STRCMP_EQUAL(
      "answers again; before: 10.0.0.1:1 does not answer\n"
      "in force on balancers: generation 7 on 1 of 1\n",
      DescribeNextChanges(sequence, {.pages = {MakeBalancerStatus(7, 5)}})
          .c_str());
  SnapshotSequence silent_from_the_start;
  STRCMP_CONTAINS(
      "no balancer answers",
      DescribeNextChanges(silent_from_the_start, kNoAnswers).c_str());
}

TEST(WatchEvents, RefusalRatesAreComputedPerProcess) {
  SnapshotSequence sequence;
  DescribeNextChanges(sequence, {.pages = {MakeBalancerStatus(2, 5)}});
  STRCMP_EQUAL(
      "refusals: drop_no_target 20/s\n",
      DescribeNextChanges(sequence, {.pages = {MakeBalancerStatus(2, 25)}})
          .c_str());
  // An agent that answers for the first time reports counts of unknown age,
  // which must not appear as a rate.
  const ProcessStatus agent{.role = "agent",
                            .name = "fitquote-1",
                            .counters = {{"refused_connections", 900}}};
  STRCMP_EQUAL("refusals: none\n",
               DescribeNextChanges(
                   sequence, {.pages = {MakeBalancerStatus(2, 25), agent}})
                   .c_str());
  // A restarted balancer counts from 0 again.
  STRCMP_EQUAL("refusals: drop_no_target 4/s\n",
               DescribeNextChanges(sequence,
                                   {.pages = {MakeBalancerStatus(2, 4), agent}})
                   .c_str());
}

TEST(WatchEvents, OnlyTheRootBalancerCountsAgents) {
  SnapshotSequence sequence;
  auto entry = MakeBalancerStatus(2, 0);
  entry.hosts = {.root = "entry-2", .total = 4};
  CHECK(DescribeNextChanges(sequence, {.pages = {entry}}).find("agents") ==
        std::string::npos);
  entry.hosts = {.root = "entry-1",
                 .generation = Generation{2},
                 .total = 13,
                 .in_force = 12,
                 .lagging = {"fitquote-3"}};
  STRCMP_EQUAL(
      "in force on balancers and agents: generation 2 on 12 of 13; lags: "
      "fitquote-3\n",
      DescribeNextChanges(sequence, {.pages = {entry}}).c_str());
}

TEST(WatchEvents, AppearingAndVanishingTargetsAreReported) {
  SnapshotSequence sequence;
  DescribeNextChanges(sequence, {.pages = {MakeBalancerStatus(2, 0)}});
  auto entry = MakeBalancerStatus(2, 0);
  entry.targets = {{.name = "fitquote-2", .state = "draining"}};
  STRCMP_EQUAL(
      "target fitquote-1: serving -> gone\n"
      "target fitquote-2: draining\n",
      DescribeNextChanges(sequence, {.pages = {entry}}).c_str());
}

TEST(WatchEvents, JsonEventsTakeOneLine) {
  STRCMP_EQUAL(
      R"({"event":"refusals","rates":{"drop_no_target":1.5},"time":"now"})",
      FormatEventAsJson(
          {.kind = "refusals", .rates = {{"drop_no_target", 1.5}}}, "now")
          .c_str());
  STRCMP_EQUAL(R"({"after":"draining","before":"serving","event":"state",)"
               R"("subject":"target a-1","time":"now"})",
               FormatEventAsJson({.kind = "state",
                                  .subject = "target a-1",
                                  .before = "serving",
                                  .after = "draining"},
                                 "now")
                   .c_str());
}
