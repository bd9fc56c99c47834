#include "../apps/hawthornctl/watch_events.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace hawthornbank::hawthornctl;
using std::chrono::seconds;

namespace {

auto Entry(std::uint64_t generation, std::uint64_t drops) -> ProcessStatus {
  return ProcessStatus{.role = "balancer",
                       .name = "entry-1",
                       .generation = Generation{generation},
                       .targets = {{.name = "fitquote-1", .state = "serving"}},
                       .counters = {{"drop_no_target", drops}}};
}

/// Snapshots of one second after another.
struct Sequence {
  WatchSnapshot last;
  std::chrono::steady_clock::time_point now{seconds{1}};
};

auto Look(Sequence& sequence, const StatusPages& pages) -> std::string {
  sequence.now += seconds{1};
  auto next = MakeSnapshot(pages, sequence.now);
  std::string text;
  for (const auto& it : CompareSnapshots(sequence.last, next)) {
    text += ToText(it) + "\n";
  }
  sequence.last = std::move(next);
  return text;
}

const StatusPages kSilence{.unanswered = {"10.0.0.1:1 does not answer"}};

}  // namespace

TEST_GROUP(WatchEvents){};

TEST(WatchEvents, NothingIsPrintedTwice) {
  Sequence sequence;
  STRCMP_EQUAL(
      "in force on balancers: generation 2 on 1 of 1\n"
      "target fitquote-1: serving\n",
      Look(sequence, {.pages = {Entry(2, 5)}}).c_str());
  STRCMP_EQUAL("", Look(sequence, {.pages = {Entry(2, 5)}}).c_str());
}

TEST(WatchEvents, SilenceIsSaidOnceAndWhatWasKnownStays) {
  Sequence sequence;
  Look(sequence, {.pages = {Entry(2, 5)}});
  STRCMP_EQUAL("10.0.0.1:1 does not answer\nno balancer answers\n",
               Look(sequence, kSilence).c_str());
  STRCMP_EQUAL("", Look(sequence, kSilence).c_str());
  STRCMP_EQUAL(
      "answers again; before: 10.0.0.1:1 does not answer\n"
      "in force on balancers: generation 7 on 1 of 1\n",
      Look(sequence, {.pages = {Entry(7, 5)}}).c_str());
  Sequence silent_from_the_start;
  STRCMP_CONTAINS("no balancer answers",
                  Look(silent_from_the_start, kSilence).c_str());
}

TEST(WatchEvents, RatesAreOfOneProcessAtATime) {
  Sequence sequence;
  Look(sequence, {.pages = {Entry(2, 5)}});
  STRCMP_EQUAL("refusals: drop_no_target 20/s\n",
               Look(sequence, {.pages = {Entry(2, 25)}}).c_str());
  // An agent that answers for the first time brings old counts.
  const ProcessStatus agent{.role = "agent",
                            .name = "fitquote-1",
                            .counters = {{"refused_connections", 900}}};
  STRCMP_EQUAL("refusals: none\n",
               Look(sequence, {.pages = {Entry(2, 25), agent}}).c_str());
  // A balancer that was restarted counts from 0.
  STRCMP_EQUAL("refusals: drop_no_target 4/s\n",
               Look(sequence, {.pages = {Entry(2, 4), agent}}).c_str());
}

TEST(WatchEvents, AgentsAreCountedByTheRootAlone) {
  Sequence sequence;
  auto entry = Entry(2, 0);
  entry.hosts = {.root = "entry-2", .total = 4};
  CHECK(Look(sequence, {.pages = {entry}}).find("agents") == std::string::npos);
  entry.hosts = {.root = "entry-1",
                 .generation = Generation{2},
                 .total = 13,
                 .in_force = 12,
                 .lagging = {"fitquote-3"}};
  STRCMP_EQUAL(
      "in force on balancers and agents: generation 2 on 12 of 13; lags: "
      "fitquote-3\n",
      Look(sequence, {.pages = {entry}}).c_str());
}

TEST(WatchEvents, TargetsComeAndGo) {
  Sequence sequence;
  Look(sequence, {.pages = {Entry(2, 0)}});
  auto entry = Entry(2, 0);
  entry.targets = {{.name = "fitquote-2", .state = "draining"}};
  STRCMP_EQUAL(
      "target fitquote-1: serving -> gone\n"
      "target fitquote-2: draining\n",
      Look(sequence, {.pages = {entry}}).c_str());
}

TEST(WatchEvents, JsonIsOneLine) {
  STRCMP_EQUAL(
      R"({"event":"refusals","rates":{"drop_no_target":1.5},"time":"now"})",
      ToJson({.kind = "refusals", .rates = {{"drop_no_target", 1.5}}}, "now")
          .c_str());
  STRCMP_EQUAL(R"({"after":"draining","before":"serving","event":"state",)"
               R"("subject":"target a-1","time":"now"})",
               ToJson({.kind = "state",
                       .subject = "target a-1",
                       .before = "serving",
                       .after = "draining"},
                      "now")
                   .c_str());
}
