#include "soak/restarts.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

#include "hawthornbank/error.h"
#include "run_program.h"
#include "soak/flow_exemptions.h"
#include "soak/judge.h"
#include "soak/node_process.h"
#include "soak/process_clock.h"
#include "soak/store_standin.h"
#include "transport/clock.h"

using namespace hawthornbank;
using namespace hawthornbank::soak;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};
const Endpoint kRoute{.address = 0xC6120003, .port = 443};

// Returns a flow that was opened 20 s before kNow and whose last pause began
// 10 s before.
auto MakePausedFlow(Duration pause) -> FlowTimes {
  return {.route = kRoute,
          .opened_at = kNow - 20s,
          .idle_since = kNow - 10s,
          .resumed_at = kNow - 10s + pause};
}

// Runs clock_probe with an environment and returns its output.
auto RunProbe(const std::vector<std::string>& environment,
              const std::string& arguments = {}) -> std::string {
  std::string line;
  for (const auto& it : environment) {
    line += it + ' ';
  }
  line += CLOCK_PROBE " " + arguments + " 2>&1";
  FILE* const pipe = popen(line.c_str(), "r");
  std::string output;
  std::array<char, 256> buf = {};
  while (const auto n = fread(buf.data(), 1, buf.size(), pipe)) {
    output.append(buf.data(), n);
  }
  pclose(pipe);
  return output;
}

auto GetMachineTimeMs() -> std::int64_t {
  return transport::GetWallTime().time_since_epoch().count();
}

}  // namespace

TEST_GROUP(RestartSeries){};

TEST(RestartSeries, IsEmptyWithoutKinds) {
  CHECK(GenerateRestartSeries(5, 60s, {}).empty());
}

TEST(RestartSeries, SameSeedGivesTheSameSeriesWithAllKinds) {
  const auto events = GenerateRestartSeries(5, 300s, GetAllRestartKinds());
  const auto repeated = GenerateRestartSeries(5, 300s, GetAllRestartKinds());
  const auto other = GenerateRestartSeries(6, 300s, GetAllRestartKinds());
  LONGS_EQUAL(events.size(), repeated.size());
  CHECK(events[0].start_offset != other[0].start_offset);
  std::set<RestartKind> drawn;
  for (std::size_t n = 0; n < events.size(); ++n) {
    const RestartEvent& it = events[n];
    CHECK(it.kind == repeated[n].kind &&
          it.start_offset == repeated[n].start_offset &&
          it.late_arrivals == repeated[n].late_arrivals);
    CHECK(n == 0 || it.start_offset > events[n - 1].start_offset);
    drawn.insert(it.kind);
  }
  CHECK(drawn == GetAllRestartKinds());
}

TEST(RestartSeries, EventsHaveTheFieldsOfTheirKinds) {
  int forward = 0;
  int same_id = 0;
  int first_heartbeats = 0;
  int late_starts = 0;
  int seeming_starts = 0;
  std::size_t repeated_messages = 0;
  const auto events = GenerateRestartSeries(5, 300s, GetAllRestartKinds());
  for (const auto& it : events) {
    const Duration step = std::max(it.clock_step, -it.clock_step);
    CHECK(it.clock_step == Duration{} || (step >= 100ms && step <= 10s));
    CHECK(it.kind != RestartKind::kStepClock || it.clock_step != Duration{});
    CHECK(it.kind != RestartKind::kDropRoute || it.duration.has_value());
    CHECK(it.idle_timeout >= 2s && it.idle_timeout < kFlowLifetime);
    CHECK(!it.late_arrivals.empty());
    for (const auto late : it.late_arrivals) {
      CHECK(late >= 100ms && late <= it.pause + kRecoveryTime + 5s);
    }
    forward += it.clock_step > Duration{} ? 1 : 0;
    same_id += it.has_same_id ? 1 : 0;
    first_heartbeats += it.is_first_heartbeat ? 1 : 0;
    repeated_messages += it.late_arrivals.size() - 1;
    late_starts += it.clock_lead > Duration{} ? 1 : 0;
    seeming_starts += it.age_at_arrival.has_value() ? 1 : 0;
  }
  const auto count = static_cast<int>(events.size());
  CHECK(forward > 0 && same_id > 0 && same_id < count);
  CHECK(first_heartbeats > 0 && first_heartbeats < count);
  CHECK(repeated_messages > 0);
  CHECK(seeming_starts > 0 && seeming_starts < late_starts);
}

TEST(RestartSeries, HalfOfTheSeriesHaveNoLowIdleTimeout) {
  int without = 0;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    const auto events =
        GenerateRestartSeries(seed, 60s, {RestartKind::kIdleTimeout});
    without += std::none_of(events.begin(), events.end(),
                            [](const RestartEvent& it) {
                              return it.idle_timeout < kDefaultIdleTimeout;
                            })
                   ? 1
                   : 0;
  }
  CHECK(without > 30 && without < 70);
}

TEST(RestartSeries, EachKindIsFoundByItsName) {
  for (const auto it : GetAllRestartKinds()) {
    CHECK(ParseRestartKind(ToString(it)) == it);
  }
  CHECK(!ParseRestartKind("late_heartbeat").has_value());
}

TEST(RestartSeries, ClocksOfProcessesStartSecondsApartFromTheMachines) {
  for (std::size_t n = 0; n < 20; ++n) {
    const Duration offset = DrawFirstClockOffset(5, n);
    CHECK(std::max(offset, -offset) >= 2s && offset <= 6s && offset >= -6s);
    CHECK(offset != DrawFirstClockOffset(5, n + 1));
  }
}

TEST(RestartSeries, SoakRejectsUnknownKindsAndAnotherBuildWithoutItsClock) {
  const auto unknown = test::RunBuiltProgram("soak/soak", "--only step_clocks");
  LONGS_EQUAL(2, unknown.exit_code);
  STRCMP_CONTAINS("step_clocks", unknown.output.c_str());
  const auto missing =
      test::RunBuiltProgram("soak/soak", "--restarts --program " HAWTHORNNODE);
  LONGS_EQUAL(2, missing.exit_code);
  STRCMP_CONTAINS("needs --clock-program", missing.output.c_str());
  const auto absent = test::RunBuiltProgram(
      "soak/soak", "--restarts --clock-program /nowhere/node");
  LONGS_EQUAL(2, absent.exit_code);
  STRCMP_CONTAINS("/nowhere/node: process can't be started",
                  absent.output.c_str());
}

TEST(RestartSeries, SoakEndsWhenAProcessDoesNotFollowItsClock) {
  const auto ignored = test::RunBuiltProgram(
      "soak/soak",
      "--only step_clock --seconds 1 --clock-program " HAWTHORNNODE);
  LONGS_EQUAL(2, ignored.exit_code);
  STRCMP_CONTAINS("doesn't follow its clock", ignored.output.c_str());
}

TEST_GROUP(ProcessClock){};

TEST(ProcessClock, ProgramSeesTheOffsetAndItsSteps) {
  ProcessClock clock("soak-clock-test");
  const auto read_offset_ms = [&] {
    return std::stoll(RunProbe(clock.GetEnvironment())) - GetMachineTimeMs();
  };
  CHECK(std::abs(read_offset_ms()) < 1000);
  clock.StepBy(-100s);
  CHECK(std::abs(read_offset_ms() + 100'000) < 1000);
  clock.StepBy(150s);
  CHECK(std::abs(read_offset_ms() - 50'000) < 1000);
  CHECK(clock.offset() == 50s);
}

TEST(ProcessClock, RunningProgramSeesAStep) {
  ProcessClock clock("soak-clock-step-test");
  clock.StepBy(-50s);
  // Steps until the program, which may start late, has seen one.
  std::atomic<bool> has_ended = false;
  std::thread steps([&] {
    while (!has_ended) {
      std::this_thread::sleep_for(200ms);
      clock.StepBy(100s);
    }
  });
  const std::string output = RunProbe(clock.GetEnvironment(), "100");
  has_ended = true;
  steps.join();
  CHECK(std::stoll(output) >= 100);
}

TEST(ProcessClock, ProgramWithoutAReadableOffsetIsEnded) {
  STRCMP_CONTAINS(
      "clock_standin: the file that HAWTHORNBANK_SOAK_CLOCK names can't be op",
      RunProbe({"HAWTHORNBANK_SOAK_CLOCK=/nowhere/clock"}).c_str());
  STRCMP_CONTAINS(
      "clock_standin: the file that HAWTHORNBANK_SOAK_CLOCK names can't be re",
      RunProbe({"HAWTHORNBANK_SOAK_CLOCK=/dev/null"}).c_str());
  STRCMP_CONTAINS("clock_standin: HAWTHORNBANK_SOAK_CLOCK isn't set",
                  RunProbe({}).c_str());
}

TEST(ProcessClock, UnwritableOffsetIsReported) {
  CHECK_THROWS(Error, ProcessClock("nowhere/soak-clock-test"));
}

TEST(ProcessClock, FirstLogTimeIsThatOfTheFirstCompleteLine) {
  CHECK(ReadFirstLogTime("t=1790 node=a event=start\nt=9 b\n") == 1790);
  CHECK(!ReadFirstLogTime("").has_value());
  CHECK(!ReadFirstLogTime("t=1790 node=a").has_value());
  CHECK(!ReadFirstLogTime("time 3\n").has_value());
}

TEST_GROUP(FlowExemptions) {
  FlowExemptions exemptions;
};

TEST(FlowExemptions, PauseCountsBeyondTheIdleTimeoutOnly) {
  CHECK(!IsExemptFlow(exemptions, MakePausedFlow(10s), kNow));
  OnIdleTimeoutStored(exemptions, 8s, kNow - 100s);
  CHECK(!IsExemptFlow(exemptions, MakePausedFlow(8s), kNow));
  CHECK(IsExemptFlow(exemptions, MakePausedFlow(8001ms), kNow));
}

TEST(FlowExemptions, SmallestIdleTimeoutInForceDuringThePauseCounts) {
  // In force for 3 s after the next one was stored, which is before the pause.
  OnIdleTimeoutStored(exemptions, 2s, kNow - 60s);
  OnIdleTimeoutStored(exemptions, 50s, kNow - 13001ms);
  CHECK(!IsExemptFlow(exemptions, MakePausedFlow(9s), kNow));
  // Lowered during the pause.
  OnIdleTimeoutStored(exemptions, 5s, kNow - 8s);
  OnIdleTimeoutStored(exemptions, 50s, kNow - 7s);
  CHECK(!IsExemptFlow(exemptions, MakePausedFlow(5s), kNow));
  CHECK(IsExemptFlow(exemptions, MakePausedFlow(6s), kNow));
  // Stored after the pause.
  OnIdleTimeoutStored(exemptions, 1s, kNow - 1s);
  CHECK(!IsExemptFlow(exemptions, MakePausedFlow(4s), kNow));
}

TEST(FlowExemptions, RaisedIdleTimeoutIsInForceLater) {
  OnIdleTimeoutStored(exemptions, 2s, kNow - 60s);
  OnIdleTimeoutStored(exemptions, 50s, kNow - 12s);
  CHECK(IsExemptFlow(exemptions, MakePausedFlow(3s), kNow));
}

TEST(FlowExemptions, FlowBeyondItsLifetimeIsExempt) {
  FlowTimes flow = MakePausedFlow(1s);
  flow.opened_at = kNow - kFlowLifetime;
  CHECK(!IsExemptFlow(exemptions, flow, kNow));
  CHECK(IsExemptFlow(exemptions, flow, kNow + 1ms));
}

TEST(FlowExemptions, FlowWhoseRouteWasDroppedWhileItWasOpenIsExempt) {
  const FlowTimes flow = MakePausedFlow(1s);
  OnRouteDropped(exemptions, kRoute, kNow - 40s);
  OnRouteReturned(exemptions, kRoute, kNow - 30s);
  CHECK(!IsExemptFlow(exemptions, flow, kNow));
  OnRouteDropped(exemptions, Endpoint{.address = 1, .port = 443}, kNow - 5s);
  CHECK(!IsExemptFlow(exemptions, flow, kNow));
  OnRouteDropped(exemptions, kRoute, kNow + 1s);
  CHECK(!IsExemptFlow(exemptions, flow, kNow));
  CHECK(IsExemptFlow(exemptions, flow, kNow + 1s));
}

TEST(FlowExemptions, RouteThatReturnedJustBeforeTheOpeningCounts) {
  OnRouteDropped(exemptions, kRoute, kNow - 40s);
  OnRouteReturned(exemptions, kRoute, kNow - 22s);
  CHECK(IsExemptFlow(exemptions, MakePausedFlow(1s), kNow));
}

TEST_GROUP(StoredIdleTimeout){};

TEST(StoredIdleTimeout, IsPartOfTheConfigurationWhenSet) {
  StoreStandin store;
  ReplaceRoutes(store, {{.address = kRoute, .service = "a"}});
  const auto read_spec = [&] {
    const auto reply = ExecuteStoreCall(
        store, {.method = "GET", .target = "/api/objects/config"});
    return nlohmann::json::parse(reply.body)["items"][0]["spec"];
  };
  CHECK(!read_spec().contains("limits"));
  store.idle_timeout = 2500ms;
  LONGS_EQUAL(2500, read_spec()["limits"]["idle_timeout_ms"].get<int>());
}
